//! Accepts connections: retries after transient errors of `accept`, and bounds the time that a connection may have
//! waited in the backlog.

use crate::transient::{self, FailureBackoff};
use std::future::poll_fn;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// First and longest pause between calls of `accept` while the process or the machine has no free descriptor. It doubles with
/// each failure in a row.
const ACCEPT_PAUSE_MIN: Duration = Duration::from_millis(1);
const ACCEPT_PAUSE_MAX: Duration = Duration::from_millis(20);
/// Longest time for emptying the backlog while `accept` keeps failing.
const BACKLOG_DRAIN_LIMIT: Duration = Duration::from_secs(1);

/// Accepted connection.
pub struct Accepted {
    /// Socket of the connection.
    pub socket: TcpStream,
    /// Upper bound of its time in the backlog. Bytes that its client has sent may be as old.
    pub backlog_wait: Duration,
}

/// Time since which a listener's backlog may hold connections; none if the last poll found it empty. Clones share it.
#[derive(Clone)]
pub struct QueuedSince(Arc<Mutex<Option<Instant>>>);

impl QueuedSince {
    /// Connections may have queued since this time.
    pub fn new(since: Instant) -> QueuedSince {
        QueuedSince(Arc::new(Mutex::new(Some(since))))
    }

    /// The time; `None` if the backlog was found empty and is being watched.
    pub fn get(&self) -> Option<Instant> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Instant>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts the connections of one listener.
pub struct Acceptor {
    queued_since: QueuedSince,
    backoff: FailureBackoff,
    /// Pause after the next failure.
    next_pause: Duration,
}

impl Default for Acceptor {
    fn default() -> Self {
        Acceptor::new(QueuedSince::new(Instant::now()))
    }
}

impl Acceptor {
    /// Creates an acceptor for a listener whose backlog may hold connections since this time.
    pub fn new(queued_since: QueuedSince) -> Acceptor {
        Acceptor { queued_since, backoff: FailureBackoff::default(), next_pause: ACCEPT_PAUSE_MIN }
    }

    /// Notes that the listener is not polled until the next call, so that connections may queue from now on.
    pub fn stop_watching(&mut self) {
        self.queued_since.lock().get_or_insert_with(Instant::now);
    }

    /// Waits for the next connection. Cancel safe: a call that is dropped has accepted none.
    pub async fn accept(&mut self, listener: &TcpListener) -> Accepted {
        poll_fn(|context| self.poll_accept(listener, context)).await
    }

    /// Accepts a connection that is in the backlog already. Returns `None` once the backlog is empty, or if `accept`
    /// keeps failing for a second.
    pub async fn accept_queued(&mut self, listener: &TcpListener) -> Option<Accepted> {
        let started = Instant::now();
        loop {
            // A zero timeout still polls the listener once.
            if let Ok(accepted) = timeout(Duration::ZERO, self.accept(listener)).await {
                return Some(accepted);
            }
            let pause = self.backoff.take_pause();
            if self.queued_since.get().is_none() || started.elapsed() > BACKLOG_DRAIN_LIMIT {
                return None;
            }
            if let Some(pause) = pause {
                pause.await;
            }
        }
    }

    fn poll_accept(&mut self, listener: &TcpListener, context: &mut Context) -> Poll<Accepted> {
        loop {
            ready!(self.backoff.poll_ready(context));
            match listener.poll_accept(context) {
                Poll::Pending => {
                    *self.queued_since.lock() = None;
                    return Poll::Pending;
                }
                Poll::Ready(Ok((socket, _))) => return Poll::Ready(self.accepted(socket)),
                Poll::Ready(Err(error)) => self.record_failure(&error),
            }
        }
    }

    fn accepted(&mut self, socket: TcpStream) -> Accepted {
        let backlog_wait = self.queued_since.get().map_or(Duration::ZERO, |since| since.elapsed());
        self.backoff.reset();
        self.next_pause = ACCEPT_PAUSE_MIN;
        self.stop_watching();
        Accepted { socket, backlog_wait }
    }

    fn record_failure(&mut self, error: &io::Error) {
        log::debug!(event = "accept_failed", error:%; "accept failed");
        self.stop_watching();
        // Without a free descriptor the connection stays in the backlog, so retrying without a pause would spin.
        if self.backoff.record_failure(transient::accept_retry(error), self.next_pause) {
            self.next_pause = (2 * self.next_pause).min(ACCEPT_PAUSE_MAX);
            log::warn!(event = "accept_paused", error:%; "accept failed; retrying after a pause");
        }
    }
}
