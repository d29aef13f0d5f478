//! Transient errors of system calls: which errors are transient, and how calls are retried. Such errors are local
//! to this machine and say nothing about the other end of a connection.
//!
//! Source: the Linux manual pages of `send`, `recv`, `accept`, `socket` and `connect`.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Instant, Sleep};

/// Retries in a row without a pause.
pub const IMMEDIATE_RETRIES: u32 = 16;
/// Pause before the retry of a call that lacked a buffer or descriptor, or was interrupted many times in a row.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);
/// Longest pause of [`retry_local_failures`], which doubles the pause each time.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// When to retry a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// At once.
    Immediately,
    /// After a pause.
    AfterPause,
}

/// When to retry a failed `send` or `recv`; `None` if the error ends the connection.
pub fn transfer_retry(error: &io::Error) -> Option<Retry> {
    match Errno::from_io_error(error)? {
        Errno::INTR => Some(Retry::Immediately),
        Errno::NOBUFS | Errno::NOMEM => Some(Retry::AfterPause),
        _ => None,
    }
}

/// When to retry a failed `accept`. Besides its own errors it reports those of connections that ended in the backlog,
/// behind which the next connection may wait.
pub fn accept_retry(error: &io::Error) -> Retry {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) | None => Retry::AfterPause,
        Some(_) => Retry::Immediately,
    }
}

/// Whether a `socket`, `bind` or `connect` failed for lack of a resource on this machine.
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

/// Retries a call until it succeeds, fails for another reason than a local one, or `limit` has passed.
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
                log::debug!(event = "local_failure_retried", error:%; "call retried after a local failure");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
            result => return result,
        }
    }
}

/// Backoff of a call that keeps failing: [`IMMEDIATE_RETRIES`] in a row without a pause, then a pause. Prevents a
/// loop that uses the whole processor while the error lasts.
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

    /// Records that the call did not fail with a transient error.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure. Returns whether it starts a pause, of length `pause`.
    pub fn record_failure(&mut self, retry: Retry, pause: Duration) -> bool {
        self.failures += 1;
        if retry == Retry::Immediately && self.failures < IMMEDIATE_RETRIES {
            return false;
        }
        self.failures = 0;
        self.pause = Some(Box::pin(sleep(pause)));
        true
    }

    /// Takes the current pause, for a caller that awaits it; the call may be made afterwards.
    pub fn take_pause(&mut self) -> Option<impl Future<Output = ()>> {
        self.pause.take()
    }
}
