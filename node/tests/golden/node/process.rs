//! The program in a folder of its own, and the link between the two processes of a hand-over as the other one has it.

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

/// A wire id.
pub const ID: &str = "9b1f03aa5c7e2d41";
/// Time for a process to start or to say something, after which it is held to hang.
const HUNG: Duration = Duration::from_secs(10);

/// A loopback address of this process's own.
pub fn own_address(part: u8) -> String {
    let pid = std::process::id();
    format!("127.{part}.{}.{}", pid / 250 % 250, 1 + pid % 250)
}

/// A folder that ends with its test.
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

/// Runs the program to its end: code, standard output and standard error. One that does not end has no code.
pub fn run(folder: &Folder, arguments: &[&str], variables: &[(&str, &str)]) -> (Option<i32>, String, String) {
    let mut command = command(folder, arguments);
    command
        .envs(variables.iter().copied())
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let started = Instant::now();
    while child.try_wait().unwrap().is_none() {
        if started.elapsed() > HUNG {
            child.kill().unwrap();
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let out = child.wait_with_output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code(), text(out.stdout), text(out.stderr))
}

/// A process of the program that serves; it ends with this value.
pub struct Node(Child);

impl Node {
    /// Starts it on `config.json` in this folder, and waits for nothing.
    pub fn spawn(folder: &Folder, arguments: &[&str]) -> Node {
        let mut command = command(folder, arguments);
        command.env("RELAY_CONFIG", "config.json").env("TMPDIR", &folder.0).stdin(Stdio::null());
        Node(command.spawn().unwrap())
    }

    /// The same; returns once its management address says that it serves.
    pub async fn start(folder: &Folder, arguments: &[&str], management: &str) -> Node {
        let node = Node::spawn(folder, arguments);
        timeout(HUNG, async {
            while !ready(management).await {
                sleep(Duration::from_millis(20)).await
            }
        })
        .await
        .expect("it serves");
        node
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

async fn ready(at: &str) -> bool {
    let Ok(mut socket) = TcpStream::connect(at).await else { return false };
    let mut answer = String::new();
    let asked = socket.write_all(b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await;
    asked.is_ok() && socket.read_to_string(&mut answer).await.is_ok() && answer.contains(" 200 ")
}

/// A link to a process, by its bytes and the descriptors that go along.
pub struct Link(UnixStream);

impl Link {
    pub fn of(stream: UnixStream) -> Link {
        Link(stream)
    }

    /// One byte, and how many descriptors came with it.
    pub async fn receive(&self) -> (char, usize) {
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
        timeout(HUNG, self.0.async_io(Interest::READABLE, receive)).await.expect("a byte").unwrap()
    }

    /// Passes descriptors on, with the one byte that they go with.
    pub async fn send(&self, descriptors: &[BorrowedFd<'_>]) {
        let send = || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            assert!(control.push(SendAncillaryMessage::ScmRights(descriptors)));
            Ok(sendmsg(&self.0, &[IoSlice::new(b"D")], &mut control, SendFlags::empty())?)
        };
        assert_eq!(self.0.async_io(Interest::WRITABLE, send).await.unwrap(), 1);
    }

    /// The next line, with its end.
    pub async fn line(&mut self) -> String {
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            line.push(timeout(HUNG, self.0.read_u8()).await.expect("a line").unwrap());
        }
        String::from_utf8(line).unwrap()
    }

    pub async fn say(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }
}
