//! Link between the two processes of a hand-over: lines of text, and descriptors that go with one byte each.

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::Serialize;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::UnixStream;

/// Byte that descriptors go with.
const DESCRIPTORS: &[u8] = b"D";
/// Byte before a report of held resources, where descriptors might come as well.
const HELD_RESOURCES: &[u8] = b"H";

/// Message of the new process: one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// It serves: the old process takes nothing new.
    Serving,
    /// It is ready to continue running jobs.
    Ready,
    /// It continues the job that it was sent.
    JobAccepted,
    /// It does not; the job goes on in the old process.
    JobRejected,
}

impl Message {
    /// Whether a line is this message.
    pub fn is(self, line: &str) -> bool {
        self.text() == line
    }

    fn text(self) -> &'static str {
        match self {
            Message::Serving => "serving",
            Message::Ready => "ready",
            Message::JobAccepted => "ok",
            Message::JobRejected => "no",
        }
    }
}

/// One end of the link.
pub struct Link(BufReader<UnixStream>);

impl Link {
    pub fn new(stream: UnixStream) -> Link {
        Link(BufReader::new(stream))
    }

    pub async fn send(&mut self, message: Message) -> io::Result<()> {
        self.0.get_mut().write_all(format!("{}\n", message.text()).as_bytes()).await
    }

    /// Receives this message; another one is an error.
    pub async fn expect(&mut self, expected: Message) -> io::Result<()> {
        match self.read_line().await? {
            line if expected.is(&line) => Ok(()),
            _ => Err(ErrorKind::InvalidData.into()),
        }
    }

    /// Sends a value as a line of JSON.
    pub async fn send_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(value)?;
        text.push(b'\n');
        self.0.get_mut().write_all(&text).await
    }

    /// Sends a report of held resources where the other process waits for descriptors or for it.
    pub async fn send_held_resources(&mut self, held: &impl Serialize) -> io::Result<()> {
        self.0.get_mut().write_all(HELD_RESOURCES).await?;
        self.send_json(held).await
    }

    pub async fn send_line(&mut self, line: &str) -> io::Result<()> {
        self.0.get_mut().write_all(format!("{line}\n").as_bytes()).await
    }

    pub async fn read_line(&mut self) -> io::Result<String> {
        let mut text = String::new();
        self.0.read_line(&mut text).await?;
        match text.strip_suffix('\n') {
            Some(line) => Ok(line.to_string()),
            None => Err(ErrorKind::UnexpectedEof.into()),
        }
    }

    pub async fn send_descriptors(&self, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let stream = self.0.get_ref();
        stream.async_io(Interest::WRITABLE, || send_descriptors(stream, descriptors)).await
    }

    /// Receives one byte and the descriptors that came with it. What is buffered came without any: a job's sockets come
    /// with its first byte, and nothing follows a job before it has its answer.
    pub async fn receive_descriptors(&mut self) -> io::Result<Vec<OwnedFd>> {
        if !self.0.buffer().is_empty() {
            self.0.consume(1);
            return Ok(Vec::new());
        }
        let stream = self.0.get_ref();
        stream.async_io(Interest::READABLE, || receive_descriptors(stream)).await
    }
}

fn send_descriptors(stream: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    sendmsg(stream, &[IoSlice::new(DESCRIPTORS)], &mut control, SendFlags::empty())?;
    Ok(())
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let received = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let descriptors = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
        _ => None,
    });
    Ok(descriptors.flatten().collect())
}
