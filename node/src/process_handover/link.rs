//! Link between the two processes of a handover: lines of text, and descriptors attached to single bytes.
//!
//! Errors that pass, such as an interrupted call, are retried here: each process takes the end of the link for the end
//! of the other one.

use crate::line_buffer::LineBuffer;
use crate::transient::{transfer_retry, Retry, RETRY_PAUSE};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::Serialize;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::time::sleep;

/// Byte to which descriptors are attached.
const DESCRIPTORS_TAG: &[u8] = b"D";
/// Byte before a report, where the receiver also expects descriptors.
const REPORT_TAG: &[u8] = b"H";
/// Maximum number of descriptors that are attached to one byte: two sockets and a claim.
const DESCRIPTORS_MAX: usize = 3;
/// Size of one read, in bytes.
const READ_SIZE: usize = 4096;

/// Message from the new process to the old one: one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// The new process serves: the old one must accept nothing new.
    Serving,
    /// The new process is ready to continue running requests, but cannot take claims.
    Ready,
    /// The new process is ready to continue running requests, and takes their claims, but reads them by its own rules.
    ReadyToClaim,
    /// The new process is ready to continue running requests by the rules that come with them, and takes their claims.
    ReadyForRules,
    /// The new process continues the transferred request.
    JobAccepted,
    /// The new process does not continue the request, which remains in the old one.
    JobRejected,
    /// The new process is told to stop and has released the listener, although it still answers its open requests.
    ListenerReleased,
}

impl Message {
    /// The message of a line; `None` if it is none.
    pub fn parse(line: &str) -> Option<Message> {
        let all = [
            Message::Serving,
            Message::Ready,
            Message::ReadyToClaim,
            Message::ReadyForRules,
            Message::JobAccepted,
            Message::JobRejected,
            Message::ListenerReleased,
        ];
        all.into_iter().find(|message| message.text() == line)
    }

    fn text(self) -> &'static str {
        match self {
            Message::Serving => "serving",
            Message::Ready => "ready",
            Message::ReadyToClaim => "ready claims",
            Message::ReadyForRules => "ready rules",
            Message::JobAccepted => "ok",
            Message::JobRejected => "no",
            Message::ListenerReleased => "released",
        }
    }
}

/// Whether an error of the link proves that the other process has ended, or has closed its end.
pub fn is_end_of_link(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::UnexpectedEof | ErrorKind::BrokenPipe | ErrorKind::ConnectionReset)
}

/// One end of the link. Receiving may be cancelled without loss; sending must be completed.
pub struct Link {
    stream: UnixStream,
    /// Bytes that were received and not consumed.
    buffer: LineBuffer,
}

impl Link {
    pub fn new(stream: UnixStream) -> Link {
        Link { stream, buffer: LineBuffer::default() }
    }

    pub async fn send(&mut self, message: Message) -> io::Result<()> {
        self.send_line(message.text()).await
    }

    /// Receives a message, and fails if the line is none.
    pub async fn receive(&mut self) -> io::Result<Message> {
        Message::parse(&self.read_line().await?).ok_or(ErrorKind::InvalidData.into())
    }

    /// Receives a message, and fails if it is not the expected one.
    pub async fn expect(&mut self, expected: Message) -> io::Result<()> {
        match self.receive().await? {
            message if message == expected => Ok(()),
            _ => Err(ErrorKind::InvalidData.into()),
        }
    }

    /// Sends a value as a line of JSON.
    pub async fn send_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        self.send_line(&serde_json::to_string(value)?).await
    }

    /// Sends a report while the receiver expects either descriptors or a report.
    pub async fn send_report(&mut self, report: &impl Serialize) -> io::Result<()> {
        self.write_all(REPORT_TAG).await?;
        self.send_json(report).await
    }

    pub async fn send_line(&mut self, line: &str) -> io::Result<()> {
        self.write_all(format!("{line}\n").as_bytes()).await
    }

    async fn write_all(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        let stream = &self.stream;
        while !bytes.is_empty() {
            let written = retried(stream, Interest::WRITABLE, || stream.try_write(bytes)).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    pub async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(line) = self.buffer.next_line() {
                let text = line[..line.len() - 1].to_vec();
                return String::from_utf8(text).map_err(|_| ErrorKind::InvalidData.into());
            }
            let mut bytes = [0; READ_SIZE];
            let stream = &self.stream;
            match retried(stream, Interest::READABLE, || stream.try_read(&mut bytes)).await? {
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                length => self.buffer.extend(&bytes[..length]),
            }
        }
    }

    pub async fn send_descriptors(&self, descriptors: &[BorrowedFd<'_>]) -> io::Result<()> {
        let stream = &self.stream;
        let send = || stream.try_io(Interest::WRITABLE, || send_descriptors(stream, descriptors));
        retried(stream, Interest::WRITABLE, send).await
    }

    /// Receives one byte and the descriptors attached to it. A buffered byte has none: the descriptors of a
    /// request are attached to its first byte, and nothing follows a request before its reply.
    pub async fn receive_descriptors(&mut self) -> io::Result<Vec<OwnedFd>> {
        if self.buffer.take_byte().is_some() {
            return Ok(Vec::new());
        }
        let stream = &self.stream;
        let receive = || stream.try_io(Interest::READABLE, || receive_descriptors(stream));
        retried(stream, Interest::READABLE, receive).await
    }
}

/// Makes a call once the stream is ready, and again after an error that passes.
async fn retried<T>(
    stream: &UnixStream,
    interest: Interest,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        stream.ready(interest).await?;
        let error = match call() {
            Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
            Err(error) => error,
            Ok(done) => return Ok(done),
        };
        match transfer_retry(&error) {
            Some(Retry::Immediately) => {}
            Some(Retry::AfterPause) => sleep(RETRY_PAUSE).await,
            None => return Err(error),
        }
    }
}

fn send_descriptors(stream: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_MAX))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    sendmsg(stream, &[IoSlice::new(DESCRIPTORS_TAG)], &mut control, SendFlags::empty())?;
    Ok(())
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(DESCRIPTORS_MAX))];
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
