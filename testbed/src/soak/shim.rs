//! Control of the system-call shim of a process under test: rates of faults, and the number of injections of
//! each.
//!
//! The library is `testbed/shim/faults.c`; it shares a file with this module. A run that never injected a
//! scheduled fault is no evidence about that fault, so the counts are part of each report.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const SOURCE: &str = include_str!("../../shim/faults.c");
/// Entries of each of the three arrays in the shared file.
const ARRAY_LENGTH: u64 = 64;
/// Port at which processes under test listen for clients.
pub const CLIENT_PORT: u16 = 8000;
/// Size of an entry, in bytes.
const ENTRY_SIZE: u64 = 8;
/// Initial duration of a stall.
const DEFAULT_STALL: Duration = Duration::from_millis(150);
/// Index of the parameter: offset of the wall clock, in nanoseconds.
const CLOCK_OFFSET_INDEX: u64 = 0;
/// Index of the parameter: duration of a stall, in nanoseconds.
const STALL_INDEX: u64 = 1;
/// Index of the parameter: port at which the process listens, which identifies accepted connections.
const LISTEN_PORT_INDEX: u64 = 2;

macro_rules! faults {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// A fault that the shim injects, in the order of `enum fault` in the library.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Fault { $($(#[$doc])* $name,)* }

        impl Fault {
            /// All faults.
            pub const ALL: &'static [Fault] = &[$(Fault::$name,)*];
        }
    };
}

faults! {
    /// `recv` of data fails with `EINTR`.
    RecvEintr,
    /// `recv` with `MSG_PEEK` fails with `EINTR`.
    PeekEintr,
    /// `send` and `writev` to a socket fail with `EINTR`.
    SendEintr,
    /// `recv` returns fewer bytes than are available.
    RecvShort,
    /// `send` writes fewer bytes than requested.
    SendShort,
    /// `send` fails with `ENOBUFS`.
    SendEnobufs,
    /// `accept` fails with `ECONNABORTED`.
    AcceptEconnaborted,
    /// `accept` fails with `ENFILE`.
    AcceptEnfile,
    /// `accept` fails with `ENOBUFS`.
    AcceptEnobufs,
    /// `accept` fails with `EINTR`.
    AcceptEintr,
    /// `socket` fails with `ENFILE`.
    SocketEnfile,
    /// `socket` fails with `ENOBUFS`.
    SocketEnobufs,
    /// `connect` fails with `EADDRNOTAVAIL`.
    ConnectEaddrnotavail,
    /// `connect` fails with `ENETUNREACH`.
    ConnectEnetunreach,
    /// `connect` fails with `ENOBUFS`.
    ConnectEnobufs,
    /// `connect` fails with `EINTR`.
    ConnectEintr,
    /// A connection breaks with `ETIMEDOUT`.
    RecvEtimedout,
    /// A connection breaks with `EHOSTUNREACH`.
    RecvEhostunreach,
    /// The process stalls before a write to a socket.
    StallBeforeSend,
    /// The process stalls before a connect.
    StallBeforeConnect,
    /// The process stalls after a read from a socket.
    StallAfterRecv,
    /// A write to a file fails with `ENOSPC`.
    WriteEnospc,
    /// A write to a file fails with `EIO`.
    WriteEio,
    /// A sync of a file fails with `EIO`.
    SyncEio,
    /// A write to a file writes fewer bytes than requested.
    WriteShort,
    /// The process stalls before it sends a descriptor to another process.
    StallBeforeSendmsg,
    /// The process stalls after it has received a descriptor from another process.
    StallAfterRecvmsg,
    /// The process stalls before a write to a Unix socket.
    StallBeforeLinkWrite,
}

/// Builds the shim in a folder with the C compiler. Returns the path of the library.
///
/// # Errors
/// If there is no compiler, the folder can't be written, or the build fails.
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
    Err(io::Error::other(format!("cannot build the shim: {}", String::from_utf8_lossy(&output.stderr))))
}

/// The control file, shared with the shim of a process.
#[derive(Debug)]
pub struct Control {
    file: File,
    /// Path of the file.
    pub path: PathBuf,
}

impl Control {
    /// Creates a control file for a process that listens at [`CLIENT_PORT`]: no faults, no clock offset,
    /// stalls of 0.15 s.
    ///
    /// # Errors
    /// If the file can't be created or written.
    pub fn create(path: PathBuf) -> io::Result<Control> {
        let file = File::options().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(3 * ARRAY_LENGTH * ENTRY_SIZE)?;
        let control = Control { file, path };
        control.set_stall(DEFAULT_STALL)?;
        control.set_parameter(LISTEN_PORT_INDEX, i64::from(CLIENT_PORT))?;
        Ok(control)
    }

    /// Sets the rate of a fault, in calls per million.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_rate(&self, fault: Fault, per_million: u64) -> io::Result<()> {
        self.file.write_all_at(&per_million.to_ne_bytes(), fault as u64 * ENTRY_SIZE)
    }

    /// Sets the offset of the process's wall clock from the system's, in nanoseconds.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_clock_offset(&self, nanoseconds: i64) -> io::Result<()> {
        self.set_parameter(CLOCK_OFFSET_INDEX, nanoseconds)
    }

    /// Sets the duration of a stall.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set_stall(&self, duration: Duration) -> io::Result<()> {
        self.set_parameter(STALL_INDEX, duration.as_nanos() as i64)
    }

    fn set_parameter(&self, parameter: u64, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), (2 * ARRAY_LENGTH + parameter) * ENTRY_SIZE)
    }

    /// Returns how often a fault was injected.
    ///
    /// # Errors
    /// If the file can't be read.
    pub fn injected(&self, fault: Fault) -> io::Result<u64> {
        let mut bytes = [0; 8];
        self.file.read_exact_at(&mut bytes, (ARRAY_LENGTH + fault as u64) * ENTRY_SIZE)?;
        Ok(u64::from_ne_bytes(bytes))
    }
}
