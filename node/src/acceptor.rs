//! Accepts connections, whatever `accept` says for a moment, and tells how long each may have waited in the backlog.

use crate::transient::{self, Retry, IMMEDIATE_RETRIES};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant, Sleep};

/// Between tries to accept where the process or the machine has no descriptor left.
const PAUSE: Duration = Duration::from_millis(20);
/// For which the backlog is emptied at most where `accept` fails all the time.
const EMPTYING: Duration = Duration::from_secs(1);

/// A connection out of the backlog.
pub struct Accepted {
    /// The connection.
    pub socket: TcpStream,
    /// It has waited this long at most; what its client has sent may be as old.
    pub waited: Duration,
}

/// The one way in which connections are accepted.
pub struct Acceptor {
    /// Since when nobody has seen the backlog empty; `None` while it is, as far as the kernel has told.
    unseen_since: Option<Instant>,
    failures: u32,
    pause: Option<Pin<Box<Sleep>>>,
}

impl Default for Acceptor {
    fn default() -> Self {
        Acceptor { unseen_since: Some(Instant::now()), failures: 0, pause: None }
    }
}

impl Acceptor {
    /// Nobody looks at the backlog from now on until the next call.
    pub fn backlog_unwatched(&mut self) {
        self.unseen_since.get_or_insert_with(Instant::now);
    }

    /// The next connection. A call that is given up takes none.
    pub async fn next(&mut self, listener: &TcpListener) -> Accepted {
        poll_fn(|cx| self.poll(listener, cx)).await
    }

    /// The next connection that lies in the backlog already.
    pub async fn next_in_backlog(&mut self, listener: &TcpListener) -> Option<Accepted> {
        let started = Instant::now();
        loop {
            // With no wait: the poller is asked all the same.
            if let Ok(accepted) = timeout(Duration::ZERO, self.next(listener)).await {
                return Some(accepted);
            }
            let pause = self.pause.take();
            if self.unseen_since.is_none() || started.elapsed() > EMPTYING {
                return None;
            }
            if let Some(pause) = pause {
                pause.await;
            }
        }
    }

    fn poll(&mut self, listener: &TcpListener, cx: &mut Context) -> Poll<Accepted> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            match listener.poll_accept(cx) {
                Poll::Pending => {
                    self.unseen_since = None;
                    return Poll::Pending;
                }
                Poll::Ready(Ok((socket, _))) => {
                    let waited = self.unseen_since.map_or(Duration::ZERO, |since| since.elapsed());
                    self.failures = 0;
                    self.backlog_unwatched();
                    return Poll::Ready(Accepted { socket, waited });
                }
                Poll::Ready(Err(e)) => {
                    log::debug!("cannot accept: {e}");
                    self.backlog_unwatched();
                    self.failures += 1;
                    // Guards against a spin where no descriptor is left: the connection stays in the backlog.
                    if transient::accept_retry(&e) == Retry::AfterPause || self.failures >= IMMEDIATE_RETRIES
                    {
                        log::warn!("cannot accept: {e}");
                        self.failures = 0;
                        self.pause = Some(Box::pin(sleep(PAUSE)));
                    }
                }
            }
        }
    }
}
