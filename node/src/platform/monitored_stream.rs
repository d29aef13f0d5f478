//! A client's stream that follows the messages that come in and bounds the time that each may take.

use super::framing::{Framing, MessageBoundaries};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep_until, Instant, Sleep};

/// Time that a message may take to come in, from the connection's start or from its own first byte. The platform wants bad
/// clients to have an answer or a close 3 s after they connect.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);

struct State {
    boundaries: MessageBoundaries,
    /// Whether a message has had its answer.
    was_answered: bool,
    /// Time of the last byte that came, or the last answer, or the start.
    last_activity: Instant,
    /// When the message that is coming in has to be complete.
    deadline: Option<Instant>,
    /// Whether a complete message waits for its answer.
    is_serving: bool,
}

/// State of a connection that has no request at work.
#[derive(Clone, Copy, Debug)]
pub struct IdleState {
    /// Whether part of a message has come.
    pub has_partial_message: bool,
    /// Whether an earlier message had its answer.
    pub was_answered: bool,
    /// When the last byte came, or the last answer went out, or when it connected.
    pub last_activity: Instant,
}

/// View of a connection's messages that its service and its stream share.
#[derive(Clone)]
pub struct MessageMonitor(Arc<Mutex<State>>);

impl MessageMonitor {
    fn new(deadline: Instant) -> MessageMonitor {
        MessageMonitor(Arc::new(Mutex::new(State {
            boundaries: MessageBoundaries::default(),
            was_answered: false,
            last_activity: Instant::now(),
            deadline: Some(deadline),
            is_serving: false,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How the request of this number, from 1 on, is framed.
    pub fn framing(&self, request: u64) -> Framing {
        self.state().boundaries.framing(request)
    }

    /// When the message that is coming in has to be complete.
    pub fn message_deadline(&self) -> Instant {
        self.state().deadline.unwrap_or_else(|| Instant::now() + MESSAGE_TIMEOUT)
    }

    /// Whether nothing follows the message that is at work.
    pub fn is_between_messages(&self) -> bool {
        self.state().boundaries.is_between_messages()
    }

    /// How the connection is idle.
    pub fn idle_state(&self) -> IdleState {
        let state = self.state();
        IdleState {
            has_partial_message: !state.boundaries.is_between_messages(),
            was_answered: state.was_answered,
            last_activity: state.last_activity,
        }
    }

    /// The message is complete; its answer may take its time.
    pub fn request_complete(&self) {
        let mut state = self.state();
        state.deadline = None;
        state.is_serving = true;
    }

    /// The message has its answer. The next one's time runs from its own first byte, which may have come by now.
    pub fn response_sent(&self) {
        let mut state = self.state();
        let has_partial_message = !state.boundaries.is_between_messages();
        state.was_answered = true;
        state.last_activity = Instant::now();
        state.deadline = has_partial_message.then(|| Instant::now() + MESSAGE_TIMEOUT);
        state.is_serving = false;
    }

    fn bytes_read(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.boundaries.read(bytes);
        state.last_activity = Instant::now();
        if state.deadline.is_none() && !state.is_serving && !bytes.is_empty() {
            state.deadline = Some(Instant::now() + MESSAGE_TIMEOUT);
        }
    }

    /// When reading is to fail, where a head is coming in. A body's time is the service's to keep: it answers.
    fn head_deadline(&self) -> Option<Instant> {
        let state = self.state();
        state.deadline.filter(|_| state.boundaries.is_in_head())
    }
}

/// A client's stream. Reading fails where a head does not come in time.
pub struct MonitoredStream<S> {
    stream: S,
    monitor: MessageMonitor,
    timer: Pin<Box<Sleep>>,
}

impl<S> MonitoredStream<S> {
    /// Starts with the time of the first message, which runs from now.
    pub fn new(stream: S) -> MonitoredStream<S> {
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let timer = Box::pin(sleep_until(deadline));
        MonitoredStream { stream, monitor: MessageMonitor::new(deadline), timer }
    }

    /// The stream inside.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The monitor, for the connection's service.
    pub fn monitor(&self) -> MessageMonitor {
        self.monitor.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buf)?.is_ready() {
            self.monitor.bytes_read(&buf.filled()[before..]);
            return Poll::Ready(Ok(()));
        }
        let Some(deadline) = self.monitor.head_deadline() else { return Poll::Pending };
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MonitoredStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
