//! Process of the program under test: start, signals, resource use and management calls. It is killed on
//! drop.

use membership::Status;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit of a call to a management address: a process that does not answer is stopped or has ended.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A process of the program; killed when dropped.
pub struct Process {
    child: Child,
    /// Management address.
    pub management: SocketAddr,
    /// Log file.
    pub log: PathBuf,
    config: PathBuf,
}

/// Replaces a file atomically: a reader sees either the old content or the new one.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, path)
}

/// Returns the anonymous resident memory of a process, in KiB: what it has allocated and touched.
pub fn anonymous_memory_kib(process: u32) -> Option<u64> {
    memory_field_kib(process, "RssAnon")
}

/// Returns a field of a process' memory status, in KiB.
fn memory_field_kib(process: u32, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))?;
    value.trim().trim_end_matches("kB").trim().parse().ok()
}

/// Returns the management address of a configuration.
fn management_address(config: &Value) -> io::Result<SocketAddr> {
    let invalid =
        || io::Error::new(io::ErrorKind::InvalidInput, "the configuration has no valid management address");
    config["management"].as_str().ok_or_else(invalid)?.parse().map_err(|_| invalid())
}

impl Process {
    /// Starts the program at `binary` in its own folder, with this configuration and these arguments.
    ///
    /// # Errors
    /// If the configuration has no valid management address, a file can't be written, or the program can't be
    /// started.
    pub fn start(binary: &Path, folder: &Path, config: &Value, arguments: &[&str]) -> io::Result<Process> {
        Process::start_with(binary, folder, config, arguments, &[])
    }

    /// Like [`Process::start`], with additional environment variables.
    ///
    /// # Errors
    /// See [`Process::start`].
    pub fn start_with(
        binary: &Path,
        folder: &Path,
        config: &Value,
        arguments: &[&str],
        variables: &[(&str, &Path)],
    ) -> io::Result<Process> {
        std::fs::create_dir_all(folder)?;
        let management = management_address(config)?;
        // A successor gets its own file, as its predecessor may reload the old one.
        let file = folder.join(format!("config-{}.json", management.port()));
        replace_file(&file, &config.to_string())?;
        let log = folder.join(format!("log-{}", management.port()));
        let out = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(binary)
            .args(arguments)
            .env_clear()
            .env("RELAY_CONFIG", &file)
            .env("TMPDIR", folder)
            .env("MOLEVALE_LOG_FORMAT", "json")
            .env("MOLEVALE_LOG", std::env::var("MOLEVALE_LOG").unwrap_or_else(|_| "info".into()))
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(out)
            .spawn()?;
        Ok(Process { child, management, log, config: file })
    }

    /// Replaces the configuration and sends SIGHUP, so that the process reloads it.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn reload(&mut self, config: &Value) -> io::Result<()> {
        replace_file(&self.config, &config.to_string())?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub fn signal(&mut self, signal: Signal) {
        // The id of a process that was reaped may belong to another process.
        if let (Ok(None), Some(pid)) = (self.child.try_wait(), Pid::from_raw(self.child.id() as i32)) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Stops the process with SIGSTOP.
    pub fn stop(&mut self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a stopped process with SIGCONT.
    pub fn resume(&mut self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill(); // fails if the process has already ended
        let _ = self.child.wait();
    }

    /// Returns the exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns the processor time used, in clock ticks (usually 10 ms each).
    pub fn cpu_ticks(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }

    /// Returns the resident memory, in KiB.
    pub fn memory_kib(&self) -> Option<u64> {
        memory_field_kib(self.child.id(), "VmRSS")
    }

    /// Returns the peak of the resident memory, in KiB.
    pub fn peak_memory_kib(&self) -> Option<u64> {
        memory_field_kib(self.child.id(), "VmHWM")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the membership status of the node at a management address; `None` if it reports none.
pub async fn fleet_status(at: SocketAddr) -> Option<Status> {
    let (status, body) = call(at, "GET", "/fleet").await?;
    serde_json::from_slice(&body).ok().filter(|_| status == 200)
}

/// Calls a management address; returns status and body, or `None` without a complete response.
pub async fn call(at: SocketAddr, method: &str, path: &str) -> Option<(u16, Vec<u8>)> {
    let exchange = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: testbed\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        let end = answer.windows(4).position(|w| w == b"\r\n\r\n")?;
        let status = crate::wire::status(std::str::from_utf8(&answer[..end]).ok()?)?;
        Some((status, answer.split_off(end + 4)))
    };
    timeout(CALL_TIMEOUT, exchange).await.ok().flatten()
}
