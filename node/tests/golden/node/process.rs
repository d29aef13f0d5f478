//! Runs the program in a folder of its own, and plays the peer on the Unix socket of a process handover.

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::BorrowedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpStream, UnixStream};
use tokio::time::{sleep, timeout};

/// The id of a request.
pub const ID: &str = "9b1f03aa5c7e2d41";
/// Time for a process to start or to respond, after which it counts as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(10);

/// A loopback address that only this test process uses.
pub fn own_address(second_byte: u8) -> String {
    let pid = std::process::id();
    format!("127.{second_byte}.{}.{}", pid / 250 % 250, 1 + pid % 250)
}

/// A folder that is removed when the value is dropped.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("molevale-golden-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path(name), text).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn command(folder: &Folder, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.args(arguments).current_dir(&folder.0).env_clear().env("MOLEVALE_LOG", "off");
    command
}

/// Runs the program until it exits; returns its exit code, standard output and standard error. One that hangs is killed
/// and has no exit code.
pub fn run_command(
    folder: &Folder,
    arguments: &[&str],
    variables: &[(&str, &str)],
) -> (Option<i32>, String, String) {
    let mut command = command(folder, arguments);
    command
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let started = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if started.elapsed() > HANG_TIMEOUT {
            child.kill().unwrap();
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// A serving process of the program, killed when the value is dropped.
pub struct Node(Child);

impl Node {
    /// Starts the program with `config.json` of this folder, without waiting until it serves.
    pub fn spawn(folder: &Folder, arguments: &[&str]) -> Node {
        let mut command = command(folder, arguments);
        command.env("RELAY_CONFIG", "config.json").env("TMPDIR", &folder.0).stdin(Stdio::null());
        Node(command.spawn().unwrap())
    }

    /// Starts the program and waits until its health check succeeds.
    pub async fn start(folder: &Folder, arguments: &[&str], management: &str) -> Node {
        let node = Node::spawn(folder, arguments);
        timeout(HANG_TIMEOUT, async {
            while !is_ready(management).await {
                sleep(Duration::from_millis(20)).await
            }
        })
        .await
        .expect("a serving node");
        node
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn is_ready(at: &str) -> bool {
    let Ok(mut socket) = TcpStream::connect(at).await else { return false };
    let mut answer = String::new();
    let sent = socket.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
    sent.is_ok() && socket.read_to_string(&mut answer).await.is_ok() && answer.contains(" 200 ")
}

/// A connection to a process on its handover socket, which carries text and descriptors.
pub struct Link(UnixStream);

impl Link {
    pub fn new(stream: UnixStream) -> Link {
        Link(stream)
    }

    /// Receives one byte and the number of descriptors that came with it.
    pub async fn receive_descriptors(&self) -> (char, usize) {
        let receive = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0];
            recvmsg(&self.0, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let descriptors = control.drain().map(|message| match message {
                RecvAncillaryMessage::ScmRights(descriptors) => descriptors.count(),
                _ => 0,
            });
            Ok((byte[0] as char, descriptors.sum()))
        };
        timeout(HANG_TIMEOUT, self.0.async_io(Interest::READABLE, receive)).await.expect("a byte").unwrap()
    }

    /// Sends descriptors, with the byte that must accompany them.
    pub async fn send_descriptors(&self, descriptors: &[BorrowedFd<'_>]) {
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(3))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            assert!(control.push(SendAncillaryMessage::ScmRights(descriptors)));
            Ok(sendmsg(&self.0, &[IoSlice::new(b"D")], &mut control, SendFlags::empty())?)
        };
        assert_eq!(self.0.async_io(Interest::WRITABLE, send).await.unwrap(), 1);
    }

    /// Reads the next line, with its line end.
    pub async fn read_line(&mut self) -> String {
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            line.push(timeout(HANG_TIMEOUT, self.0.read_u8()).await.expect("a line").unwrap());
        }
        String::from_utf8(line).unwrap()
    }

    pub async fn send_text(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }
}
