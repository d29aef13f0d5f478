//! Errors of system calls that pass: the one place that says which. They are this machine's own and tell nothing of
//! the other end of a connection.
//!
//! Source: the Linux manual pages of `send`, `recv`, `accept`, `socket` and `connect`.

use rustix::io::Errno;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Calls that are made again at once, in a row; then there is a pause.
pub const IMMEDIATE_RETRIES: u32 = 16;
/// Before a call is made again for which the machine had no buffer or descriptor, or which was interrupted often.
pub const PAUSE: Duration = Duration::from_millis(2);
/// The longest pause of calls that fail again and again.
const PAUSE_MAX: Duration = Duration::from_millis(50);

/// When a call that failed is to be made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// At once.
    Immediately,
    /// After a pause.
    AfterPause,
}

/// For a `send` or `recv` on a connection: `None` is the connection's end.
pub fn transfer_retry(error: &io::Error) -> Option<Retry> {
    match Errno::from_io_error(error)? {
        Errno::INTR => Some(Retry::Immediately),
        Errno::NOBUFS | Errno::NOMEM => Some(Retry::AfterPause),
        _ => None,
    }
}

/// For an `accept`, which fails by itself or hands on the error of a connection that has ended in the backlog: the next
/// one may be there.
pub fn accept_retry(error: &io::Error) -> Retry {
    match Errno::from_io_error(error) {
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM) | None => Retry::AfterPause,
        Some(_) => Retry::Immediately,
    }
}

/// Whether a `socket`, `bind` or `connect` failed for want of something on this machine.
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

/// Makes a call until it succeeds, or fails for a reason that is not this machine's, or the time is over.
///
/// # Errors
/// The call's last one.
pub async fn retry_local_failures<T, F: Future<Output = io::Result<T>>>(
    limit: Duration,
    mut call: impl FnMut() -> F,
) -> io::Result<T> {
    let (started, mut pause) = (Instant::now(), PAUSE);
    loop {
        match call().await {
            Err(e) if is_local(&e) && started.elapsed() < limit => {
                log::debug!("made again: {e}");
                sleep(pause).await;
                pause = (pause * 2).min(PAUSE_MAX);
            }
            result => return result,
        }
    }
}
