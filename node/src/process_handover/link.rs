//! Link between the two processes of a handover: lines of text, and descriptors attached to single bytes.

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

/// Byte to which descriptors are attached.
const DESCRIPTORS_TAG: &[u8] = b"D";
/// Byte before a report of held resources, where the receiver also expects descriptors.
const HELD_RESOURCES_TAG: &[u8] = b"H";

/// Message from the new process to the old one: one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The new process serves: the old one must accept nothing new.
    Serving,
    /// The new process is ready to continue running requests.
    Ready,
    /// The new process continues the transferred request.
    JobAccepted,
    /// The new process does not continue the request, which remains in the old one.
    JobRejected,
}

impl Message {
    /// Whether a line is this message.
    pub fn matches(self, line: &str) -> bool {
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

    /// Receives a message, and fails if it is not the expected one.
    pub async fn expect(&mut self, expected: Message) -> io::Result<()> {
        match self.read_line().await? {
            line if expected.matches(&line) => Ok(()),
            _ => Err(ErrorKind::InvalidData.into()),
        }
    }

    /// Sends a value as a line of JSON.
    pub async fn send_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(value)?;
        text.push(b'\n');
        self.0.get_mut().write_all(&text).await
    }

    /// Sends a report of held resources while the receiver expects either descriptors or a report.
    pub async fn send_held_resources(&mut self, held: &impl Serialize) -> io::Result<()> {
        self.0.get_mut().write_all(HELD_RESOURCES_TAG).await?;
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

    /// Receives one byte and the descriptors attached to it. A buffered byte has none: the sockets of a
    /// request are attached to its first byte, and nothing follows a request before its reply.
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
    sendmsg(stream, &[IoSlice::new(DESCRIPTORS_TAG)], &mut control, SendFlags::empty())?;
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
