//! A client's socket that follows where messages begin and end in the bytes that come in. It tells what the
//! HTTP library does not: whether a head had both `Content-Length` and `Transfer-Encoding`, and by when the
//! message that is coming in has to be whole.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep_until, Instant, Sleep};

/// For which a message may take to come in, from the connection's start or from its own first byte. Bad clients
/// are owed a word or a close 3 s after they connect.
const MESSAGE_WAIT: Duration = Duration::from_millis(2500);
/// What is kept of a line: the fields that matter here are shorter.
const LINE_MAX: usize = 64;

/// How a request's body is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// By its length; 0 where none is stated.
    Length,
    /// By chunks. What follows is not looked into: the connection must close after the answer.
    Chunks,
    /// By both, so that two readers may not agree where it ends.
    Both,
}

/// Where in the messages the bytes so far end.
#[derive(Debug, Default)]
pub struct Messages {
    heads: u64,       // whole heads so far
    left: u64,        // bytes of the body that are still to come
    begun: bool,      // the head that is coming in has a line
    line: Vec<u8>,    // its current line, cut off
    length: u64,      // as that head states it
    lengthy: bool,    // whether it states one
    chunked: bool,    // whether it names a transfer encoding
    odd: Option<Odd>, // the head after which nothing is followed
}

#[derive(Debug)]
struct Odd {
    head: u64,
    framing: Framing,
}

impl Messages {
    /// Takes note of bytes that came in.
    pub fn note(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.odd.is_none() {
            if self.left > 0 {
                let skipped = bytes.len().min(usize::try_from(self.left).unwrap_or(usize::MAX));
                self.left -= skipped as u64;
                bytes = &bytes[skipped..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let room = LINE_MAX.saturating_sub(self.line.len()).min(part.len());
            self.line.extend_from_slice(&part[..room]);
            if let Some(end) = end {
                bytes = &bytes[end + 1..];
                self.line_ended();
            } else {
                return;
            }
        }
    }

    fn line_ended(&mut self) {
        let mut line = std::mem::take(&mut self.line);
        let text = line.trim_ascii_end();
        if text.is_empty() {
            // Empty lines before a head are passed over, as the HTTP library does.
            if std::mem::take(&mut self.begun) {
                self.head_ended();
            }
        } else {
            if let Some(colon) = text.iter().position(|b| *b == b':').filter(|_| self.begun) {
                let value = std::str::from_utf8(text[colon + 1..].trim_ascii()).unwrap_or("");
                if text[..colon].eq_ignore_ascii_case(b"content-length") {
                    // One that is no number is refused by the HTTP library.
                    (self.lengthy, self.length) = (true, value.parse().unwrap_or(0));
                } else if text[..colon].eq_ignore_ascii_case(b"transfer-encoding") {
                    self.chunked = true;
                }
            }
            self.begun = true;
        }
        line.clear();
        self.line = line;
    }

    fn head_ended(&mut self) {
        self.heads += 1;
        let framing = match (self.chunked, self.lengthy) {
            (true, true) => Framing::Both,
            (true, false) => Framing::Chunks,
            (false, _) => Framing::Length,
        };
        if framing != Framing::Length {
            self.odd = Some(Odd { head: self.heads, framing });
        }
        self.left = if framing == Framing::Length { self.length } else { 0 };
        (self.length, self.lengthy, self.chunked) = (0, false, false);
    }

    /// How the request of this number, from 1 on, is framed.
    pub fn framing(&self, request: u64) -> Framing {
        self.odd.as_ref().filter(|o| o.head == request).map_or(Framing::Length, |o| o.framing)
    }

    /// Whether a head is coming in, or is yet to.
    fn in_head(&self) -> bool {
        self.left == 0 && self.odd.is_none()
    }

    /// Whether nothing of a next message has come.
    fn between(&self) -> bool {
        self.in_head() && !self.begun && self.line.is_empty()
    }
}

struct State {
    messages: Messages,
    answered: bool,         // a message has had its answer
    heard: Instant,         // the last byte that came, or the last answer, or the start
    until: Option<Instant>, // by when the message that is coming in has to be whole
    serving: bool,          // the last one is, and waits for its answer
}

/// How a connection is quiet that has no request at work.
#[derive(Clone, Copy, Debug)]
pub struct IdleState {
    /// Part of a message has come.
    pub begun: bool,
    /// An earlier one had its answer.
    pub answered: bool,
    /// When the last byte came, or the last answer went out, or when it connected.
    pub since: Instant,
}

/// What a connection's service shares with its socket.
#[derive(Clone)]
pub struct MessageMonitor(Arc<Mutex<State>>);

impl MessageMonitor {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How the request of this number, from 1 on, is framed.
    pub fn framing(&self, request: u64) -> Framing {
        self.state().messages.framing(request)
    }

    /// By when the message that is coming in has to be whole.
    pub fn message_deadline(&self) -> Instant {
        self.state().until.unwrap_or_else(|| Instant::now() + MESSAGE_WAIT)
    }

    /// Whether nothing follows on the message that is at work.
    pub fn is_between_messages(&self) -> bool {
        self.state().messages.between()
    }

    /// How the connection is quiet.
    pub fn idle_state(&self) -> IdleState {
        let state = self.state();
        let begun = !state.messages.between();
        IdleState { begun, answered: state.answered, since: state.heard }
    }

    /// The message is whole; its answer may take its time.
    pub fn request_complete(&self) {
        let mut state = self.state();
        (state.until, state.serving) = (None, true);
    }

    /// It has its answer. The next one's time runs from its own first byte, which may have come by now.
    pub fn response_sent(&self) {
        let mut state = self.state();
        let begun = !state.messages.between();
        (state.answered, state.heard) = (true, Instant::now());
        (state.until, state.serving) = (begun.then(|| Instant::now() + MESSAGE_WAIT), false);
    }
}

/// A client's socket.
pub struct MonitoredStream<S> {
    socket: S,
    watcher: MessageMonitor,
    timer: Pin<Box<Sleep>>,
}

impl<S> MonitoredStream<S> {
    /// Starts with the time of the first message, which runs from now.
    pub fn new(socket: S) -> MonitoredStream<S> {
        let until = Instant::now() + MESSAGE_WAIT;
        let state = State {
            messages: Messages::default(),
            answered: false,
            heard: Instant::now(),
            until: Some(until),
            serving: false,
        };
        MonitoredStream {
            socket,
            watcher: MessageMonitor(Arc::new(Mutex::new(state))),
            timer: Box::pin(sleep_until(until)),
        }
    }

    /// What it reads from.
    pub fn socket(&self) -> &S {
        &self.socket
    }

    /// For the connection's service.
    pub fn monitor(&self) -> MessageMonitor {
        self.watcher.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let ready = Pin::new(&mut self.socket).poll_read(cx, buf)?.is_ready();
        let until = {
            let mut state = self.watcher.state();
            if ready {
                state.messages.note(&buf.filled()[before..]);
                state.heard = Instant::now();
                if state.until.is_none() && !state.serving && buf.filled().len() > before {
                    state.until = Some(Instant::now() + MESSAGE_WAIT);
                }
                return Poll::Ready(Ok(()));
            }
            // Guards against silence and unfinished heads. A body's time is the service's to keep: it answers.
            match state.until.filter(|_| state.messages.in_head()) {
                Some(until) => until,
                None => return Poll::Pending,
            }
        };
        if self.timer.deadline() != until {
            self.timer.as_mut().reset(until);
        }
        std::task::ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};
    use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};
    use tokio::time::timeout;

    /// Guards against silence and unfinished heads, and the idle time of a connection that was served.
    #[tokio::test(start_paused = true)]
    async fn a_head_is_bounded_in_time_and_an_idle_connection_is_not() {
        let hour = Duration::from_secs(3600);
        let (mut client, node) = duplex(1024);
        let mut gate = MonitoredStream::new(node);
        let watcher = gate.monitor();
        let start = Instant::now();
        let mut buffer = [0; 1024];
        client.write_all(b"GET /up HT").await.unwrap();
        assert!(gate.read(&mut buffer).await.is_ok());
        client.write_all(b"TP/1.1\r\n\r\n").await.unwrap();
        assert!(gate.read(&mut buffer).await.is_ok());
        watcher.request_complete();
        assert!(timeout(hour, gate.read(&mut buffer)).await.is_err(), "an answer may take its time");
        watcher.response_sent();
        assert!(timeout(hour, gate.read(&mut buffer)).await.is_err(), "idle between requests");
        client.write_all(b"G").await.unwrap();
        assert!(gate.read(&mut buffer).await.is_ok());
        let begun = Instant::now();
        assert_eq!(gate.read(&mut buffer).await.unwrap_err().kind(), io::ErrorKind::TimedOut);
        assert_eq!(begun.elapsed().as_millis(), MESSAGE_WAIT.as_millis());
        let (_client, node) = duplex(1024);
        let (silent, at) =
            (MonitoredStream::new(node).read(&mut buffer).await, start + 2 * hour + 2 * MESSAGE_WAIT);
        assert!(silent.is_err() && (Instant::now() - at).as_millis() <= 10, "a timer may be some ms late");
    }

    /// A model of messages: each is a head with these fields, and a body of this length.
    fn message(kind: u8, length: u8) -> (String, Framing) {
        let (length, body) = (usize::from(length), "\r\n\r".repeat(100)[..usize::from(length)].to_string());
        let (fields, framing) = match kind % 8 {
            0 => ("Transfer-Encoding: chunked\r\n".to_string(), Framing::Chunks),
            1 => (format!("content-length: {length}\r\ntransfer-encoding:chunked\r\n"), Framing::Both),
            2 => (format!("TRANSFER-ENCODING: chunked\nContent-Length:{length}\n"), Framing::Both),
            3 => {
                return (
                    "GET /up HTTP/1.1\r\nX-Long: ".to_string() + &"x".repeat(200) + "\r\n\r\n",
                    Framing::Length,
                )
            }
            _ => (format!("Host: x\r\nContent-Length:  {length} \r\n"), Framing::Length),
        };
        (format!("POST /transfer-encoding: HTTP/1.1\r\n{fields}\r\n{body}"), framing)
    }

    /// Guards against a hidden request: whichever way the bytes are cut, each head's framing is seen.
    #[test]
    fn framing_is_seen_however_the_bytes_are_cut() {
        fn property(messages: Vec<(u8, u8)>, cuts: Vec<u8>) -> bool {
            let (mut bytes, mut want) = (Vec::new(), Vec::new());
            for (kind, length) in messages {
                let (text, framing) = message(kind, length);
                bytes.extend_from_slice(text.as_bytes());
                want.push(framing);
                if framing != Framing::Length {
                    break;
                }
            }
            let (mut seen, mut at) = (Messages::default(), 0);
            for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
                let to = (at + cut).min(bytes.len());
                seen.note(&bytes[at..to]);
                at = to;
            }
            let framed = want.iter().enumerate().all(|(i, f)| seen.framing(i as u64 + 1) == *f);
            framed && seen.heads == want.len() as u64 && (seen.odd.is_some() || seen.between())
        }
        let generator = Gen::from_size_and_seed(30, 11); // the same in every run
        QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<(u8, u8)>, Vec<u8>) -> bool);
    }
}
