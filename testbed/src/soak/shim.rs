//! Control of the system-call shim of a process under test: rates of faults, and how often each was injected.
//!
//! The library itself is `testbed/shim/faults.c`; it shares a file with this module. A run that injected none of a fault
//! which it was to inject shows nothing about it, so the counts are part of each report.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const SOURCE: &str = include_str!("../../shim/faults.c");
/// Entries of each of the three arrays in the shared file.
const SLOTS: u64 = 64;
/// Where processes under test listen for clients.
pub const CLIENT_PORT: u16 = 8000;
/// Length of an entry, in bytes.
const ENTRY: u64 = 8;
/// Stall of a new file.
const DEFAULT_STALL: Duration = Duration::from_millis(150);
/// The offset of the wall clock, in nanoseconds.
const CLOCK_OFFSET: u64 = 0;
/// For which a stalled call holds the process up, in nanoseconds.
const STALL: u64 = 1;
/// The port that the process listens on: connections that it accepted have it.
const LISTEN_PORT: u64 = 2;

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// A fault that the shim injects; the order is that of the library's own list.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Fault { $($(#[$doc])* $name,)* }

        impl Fault {
            /// All of them.
            pub const ALL: &'static [Fault] = &[$(Fault::$name,)*];
        }
    };
}

faults! {
    /// `recv` of data ends with `EINTR`.
    RecvEintr,
    /// `recv` with `MSG_PEEK` ends with `EINTR`.
    PeekEintr,
    /// `send` and `writev` to a socket end with `EINTR`.
    SendEintr,
    /// `recv` returns less than there is.
    RecvShort,
    /// `send` takes less than it is given.
    SendShort,
    /// `send` ends with `ENOBUFS`.
    SendEnobufs,
    /// `accept` ends with `ECONNABORTED`.
    AcceptEconnaborted,
    /// `accept` ends with `ENFILE`.
    AcceptEnfile,
    /// `accept` ends with `ENOBUFS`.
    AcceptEnobufs,
    /// `accept` ends with `EINTR`.
    AcceptEintr,
    /// `socket` ends with `ENFILE`.
    SocketEnfile,
    /// `socket` ends with `ENOBUFS`.
    SocketEnobufs,
    /// `connect` ends with `EADDRNOTAVAIL`.
    ConnectEaddrnotavail,
    /// `connect` ends with `ENETUNREACH`.
    ConnectEnetunreach,
    /// `connect` ends with `ENOBUFS`.
    ConnectEnobufs,
    /// `connect` ends with `EINTR`.
    ConnectEintr,
    /// A connection breaks with `ETIMEDOUT`.
    RecvEtimedout,
    /// A connection breaks with `EHOSTUNREACH`.
    RecvEhostunreach,
    /// The process is held up before it writes.
    StallBeforeSend,
    /// The process is held up before it connects.
    StallBeforeConnect,
    /// The process is held up after it has read.
    StallAfterRecv,
    /// A write to a file ends with `ENOSPC`.
    WriteEnospc,
    /// A write to a file ends with `EIO`.
    WriteEio,
    /// A sync of a file ends with `EIO`.
    SyncEio,
    /// A write to a file takes less than it is given.
    WriteShort,
}

/// Builds the shim in a folder with the C compiler that links Rust programs too. Returns where it lies.
///
/// # Errors
/// Where there is no compiler, or the folder can't be written.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let (source, library) = (folder.join("faults.c"), folder.join("libfaults.so"));
    std::fs::write(&source, SOURCE)?;
    let compiler = std::env::var("CC").unwrap_or_else(|_| "cc".to_string());
    let output = Command::new(compiler)
        .args(["-O1", "-shared", "-fPIC", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl")
        .output()?;
    if output.status.success() {
        return Ok(library);
    }
    Err(io::Error::other(format!("the shim does not build: {}", String::from_utf8_lossy(&output.stderr))))
}

/// The file that a process shares with its shim.
#[derive(Debug)]
pub struct Control {
    file: File,
    /// Where it lies.
    pub path: PathBuf,
}

impl Control {
    /// A new file, of a process that listens at [`CLIENT_PORT`]: nothing is injected, the clock is right, a stall takes 0.15 s.
    ///
    /// # Errors
    /// Where the file can't be created or written.
    pub fn create(path: PathBuf) -> io::Result<Control> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(3 * SLOTS * ENTRY)?;
        let control = Control { file, path };
        control.set_stall(DEFAULT_STALL)?;
        control.set_parameter(LISTEN_PORT, i64::from(CLIENT_PORT))?;
        Ok(control)
    }

    /// Injects a fault in so many of a million calls.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_rate(&self, fault: Fault, per_million: u64) -> io::Result<()> {
        self.file.write_all_at(&per_million.to_ne_bytes(), fault as u64 * ENTRY)
    }

    /// Sets the wall clock this far from the machine's, in nanoseconds.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_clock_offset(&self, nanoseconds: i64) -> io::Result<()> {
        self.set_parameter(CLOCK_OFFSET, nanoseconds)
    }

    /// Sets for how long a stalled call holds the process up.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set_stall(&self, span: Duration) -> io::Result<()> {
        self.set_parameter(STALL, span.as_nanos() as i64)
    }

    fn set_parameter(&self, parameter: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (2 * SLOTS + parameter) * ENTRY)
    }

    /// Number of times that a fault was injected.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn injected(&self, fault: Fault) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, (SLOTS + fault as u64) * ENTRY)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}
