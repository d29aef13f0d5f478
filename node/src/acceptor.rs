//! Acceptor of connections: outlasts transient errors of `accept`, and tells how long a connection may have waited in the
//! backlog.

use crate::transient::{self, FailureBackoff};
use std::future::poll_fn;
use std::io;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{timeout, Instant};

/// Pause between calls of `accept` where the process or the machine has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Limit of the time for which the backlog is emptied where `accept` fails all the time.
const EMPTYING_LIMIT: Duration = Duration::from_secs(1);

/// Connection out of the backlog.
pub struct Accepted {
    /// The connection.
    pub socket: TcpStream,
    /// Upper bound of its time in the backlog; what its client has sent may be as old.
    pub backlog_wait: Duration,
}

/// Acceptor of one listener's connections.
pub struct Acceptor {
    /// Since when nobody has seen the backlog empty; `None` while it is, as far as the kernel has told.
    unseen_since: Option<Instant>,
    backoff: FailureBackoff,
}

impl Default for Acceptor {
    fn default() -> Self {
        Acceptor { unseen_since: Some(Instant::now()), backoff: FailureBackoff::default() }
    }
}

impl Acceptor {
    /// Notes that nobody looks at the backlog from now on until the next call.
    pub fn stop_watching(&mut self) {
        self.unseen_since.get_or_insert_with(Instant::now);
    }

    /// Waits for the next connection. Cancel safe: a call that is dropped takes none.
    pub async fn accept(&mut self, listener: &TcpListener) -> Accepted {
        poll_fn(|context| self.poll_accept(listener, context)).await
    }

    /// Takes the next connection that lies in the backlog already; `None` once it is empty.
    pub async fn accept_queued(&mut self, listener: &TcpListener) -> Option<Accepted> {
        let started = Instant::now();
        loop {
            // A timeout of zero polls the listener once all the same.
            if let Ok(accepted) = timeout(Duration::ZERO, self.accept(listener)).await {
                return Some(accepted);
            }
            let pause = self.backoff.take_pause();
            if self.unseen_since.is_none() || started.elapsed() > EMPTYING_LIMIT {
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
                    self.unseen_since = None;
                    return Poll::Pending;
                }
                Poll::Ready(Ok((socket, _))) => return Poll::Ready(self.accepted(socket)),
                Poll::Ready(Err(error)) => self.record_failure(&error),
            }
        }
    }

    fn accepted(&mut self, socket: TcpStream) -> Accepted {
        let backlog_wait = self.unseen_since.map_or(Duration::ZERO, |since| since.elapsed());
        self.backoff.reset();
        self.stop_watching();
        Accepted { socket, backlog_wait }
    }

    fn record_failure(&mut self, error: &io::Error) {
        log::debug!(event = "accept_failed", error:%; "no connection accepted");
        self.stop_watching();
        // The connection stays in the backlog where no descriptor is left: without a pause, this would spin.
        if self.backoff.record_failure(transient::accept_retry(error), ACCEPT_PAUSE) {
            log::warn!(event = "accept_paused", error:%; "no connection accepted: next attempt after a pause");
        }
    }
}
