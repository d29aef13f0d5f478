//! Stream of a client connection that tracks incoming messages and limits the time in which each must arrive.

use super::framing::{Framing, MessageBoundaries};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{sleep, sleep_until, Instant, Sleep};

/// Time limit for receiving a message, from the start of the connection or from the message's first byte. The
/// platform requires that a bad client gets an answer or a close within 3 s after it connects.
pub const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for a client to take more of an answer. Until then the answer keeps its share of the memory.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(2500);

struct State {
    boundaries: MessageBoundaries,
    /// Whether a request was answered.
    was_answered: bool,
    /// Time of the last received byte, the last answer, or the start of the connection.
    last_activity: Instant,
    /// Deadline for receiving the current message.
    deadline: Option<Instant>,
    /// Whether a complete request waits for its answer.
    has_request_in_flight: bool,
}

/// State of a connection that has no request in flight.
#[derive(Clone, Copy, Debug)]
pub struct IdleState {
    /// Whether a message has been received in part.
    pub has_partial_message: bool,
    /// Whether an earlier request was answered.
    pub was_answered: bool,
    /// Time of the last received byte, the last answer, or the start of the connection.
    pub last_activity: Instant,
}

/// State of a connection's messages that its HTTP service and its stream share.
#[derive(Clone)]
pub struct MessageMonitor(Arc<Mutex<State>>);

impl MessageMonitor {
    fn new(deadline: Instant) -> MessageMonitor {
        MessageMonitor(Arc::new(Mutex::new(State {
            boundaries: MessageBoundaries::default(),
            was_answered: false,
            last_activity: Instant::now(),
            deadline: Some(deadline),
            has_request_in_flight: false,
        })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Framing of the request with this number, counted from 1.
    pub fn framing(&self, request: u64) -> Framing {
        self.state().boundaries.framing(request)
    }

    /// Deadline for receiving the current message.
    pub fn message_deadline(&self) -> Instant {
        self.state().deadline.unwrap_or_else(|| Instant::now() + MESSAGE_TIMEOUT)
    }

    /// Whether no byte of the next message has been received.
    pub fn is_between_messages(&self) -> bool {
        self.state().boundaries.is_between_messages()
    }

    /// Whether a complete request waits for its answer.
    pub fn has_request_in_flight(&self) -> bool {
        self.state().has_request_in_flight
    }

    /// State of the connection if it has no request in flight.
    pub fn idle_state(&self) -> IdleState {
        let state = self.state();
        IdleState {
            has_partial_message: !state.boundaries.is_between_messages(),
            was_answered: state.was_answered,
            last_activity: state.last_activity,
        }
    }

    /// Records that the current request is complete. Its answer has no time limit here.
    pub fn request_complete(&self) {
        let mut state = self.state();
        state.deadline = None;
        state.has_request_in_flight = true;
    }

    /// Records that the current request is answered. The time limit of the next message starts with its first
    /// byte, which may have been received already.
    pub fn response_sent(&self) {
        let mut state = self.state();
        let has_partial_message = !state.boundaries.is_between_messages();
        state.was_answered = true;
        state.last_activity = Instant::now();
        state.deadline = has_partial_message.then(|| Instant::now() + MESSAGE_TIMEOUT);
        state.has_request_in_flight = false;
    }

    fn record_read(&self, bytes: &[u8]) {
        let mut state = self.state();
        state.boundaries.read(bytes);
        state.last_activity = Instant::now();
        if state.deadline.is_none() && !state.has_request_in_flight && !bytes.is_empty() {
            state.deadline = Some(Instant::now() + MESSAGE_TIMEOUT);
        }
    }

    /// Deadline at which reading fails while a head is received. The service enforces the deadline of a body,
    /// because it can still answer the request.
    fn head_deadline(&self) -> Option<Instant> {
        let state = self.state();
        state.deadline.filter(|_| state.boundaries.is_in_head())
    }
}

/// Stream of a client connection. Reading fails if a head is not received in time, and writing if the client does not take
/// its answer.
pub struct MonitoredStream<S> {
    stream: S,
    monitor: MessageMonitor,
    timer: Pin<Box<Sleep>>,
    /// Runs while a write waits for the client.
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> MonitoredStream<S> {
    /// Wraps a stream. The time limit of the first message starts now.
    pub fn new(stream: S) -> MonitoredStream<S> {
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let timer = Box::pin(sleep_until(deadline));
        MonitoredStream { stream, monitor: MessageMonitor::new(deadline), timer, write_timer: None }
    }

    /// The wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The monitor that the connection's HTTP service shares with this stream.
    pub fn monitor(&self) -> MessageMonitor {
        self.monitor.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MonitoredStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if Pin::new(&mut self.stream).poll_read(cx, buf)?.is_ready() {
            self.monitor.record_read(&buf.filled()[before..]);
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
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(cx, bytes) {
            self.write_timer = None;
            return Poll::Ready(written);
        }
        let timer = self.write_timer.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
