//! Transient errors of system calls: which ones pass, and how a call is repeated. Such an error is this machine's own
//! and says nothing about the other end of a connection.
//!
//! Source: the Linux manual pages of `send`, `recv`, `accept`, `socket` and `connect`.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Calls that are repeated without a pause, in a row.
pub const IMMEDIATE_RETRIES: u32 = 16;
/// Pause before a call is repeated for which the machine had no buffer or descriptor, or which was interrupted often.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Longest pause of [`retry_local_failures`], which doubles it.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// When a call that failed is to be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// At once.
    Immediately,
    /// After a pause.
    AfterPause,
}

/// When to repeat a `send` or `recv` that failed; `None` where the error is the connection's end.
pub fn transfer_retry(error: &io::Error) -> Option<Retry> {
    match Errno::from_io_error(error)? {
        Errno::INTR => Some(Retry::Immediately),
        Errno::NOBUFS | Errno::NOMEM => Some(Retry::AfterPause),
        _ => None,
    }
}

/// When to repeat an `accept` that failed. It fails by itself, or passes on the error of a connection that has ended in
/// the backlog: the next one may be there.
pub fn accept_retry(error: &io::Error) -> Retry {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) | None => Retry::AfterPause,
        Some(_) => Retry::Immediately,
    }
}

/// Whether a `socket`, `bind` or `connect` failed because this machine lacked a resource.
pub fn is_local(error: &io::Error) -> bool {
    let local = [
        Errno::INTR,
        Errno::AGAIN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
    ];
    Errno::from_io_error(error).is_some_and(|errno| local.contains(&errno))
}

/// Repeats a call until it succeeds, fails for a reason that is not this machine's, or `limit` has passed.
///
/// # Errors
/// The error of the last call.
pub async fn retry_local_failures<T, F: Future<Output = io::Result<T>>>(
    limit: Duration,
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    let started = Instant::now();
    let mut pause = RETRY_PAUSE;
    loop {
        match call().await {
            Err(error) if is_local(&error) && started.elapsed() < limit => {
                log::debug!(event = "local_failure_retried", error:%; "call repeated after a local failure");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

/// Backoff of a call that fails again and again: [`IMMEDIATE_RETRIES`] in a row without a pause, then a pause. Prevents
/// a loop that takes all of the processor while the error lasts.
#[derive(Default)]
pub struct FailureBackoff {
    /// Failures in a row since the last success or pause.
    failures: u32,
    pause: Option<Pin<Box<Sleep>>>,
}

impl FailureBackoff {
    /// Ready once the call may be made.
    pub fn poll_ready(&mut self, context: &mut Context) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    /// Notes that the call did not fail for a passing reason.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure. Returns whether it begins a pause, of length `pause`.
    pub fn record_failure(&mut self, retry: Retry, pause: Duration) -> bool {
        self.failures += 1;
        if retry == Retry::Immediately && self.failures < IMMEDIATE_RETRIES {
            return false;
        }
        self.failures = 0;
        self.pause = Some(Box::pin(sleep(pause)));
        true
    }

    /// The pause that is under way, for a caller that awaits it; the call may be made afterwards.
    pub fn take_pause(&mut self) -> Option<impl Future<Output = ()>> {
        self.pause.take()
    }
}
