//! Transient errors of system calls, and the backoff after them.

use molevale::transient::{
    accept_retry, is_local, transfer_retry, FailureBackoff, Retry, IMMEDIATE_RETRIES, RETRY_PAUSE,
};
use rustix::io::Errno;
use std::future::poll_fn;
use std::io;
use tokio::time::Instant;

fn error(errno: Errno) -> io::Error {
    errno.into()
}

#[test]
fn only_errors_of_this_machine_are_retried() {
    assert_eq!(transfer_retry(&error(Errno::INTR)), Some(Retry::Immediately));
    assert_eq!(transfer_retry(&error(Errno::NOBUFS)), Some(Retry::AfterPause));
    assert_eq!(transfer_retry(&error(Errno::CONNRESET)), None, "the connection has ended");
    assert_eq!(accept_retry(&error(Errno::CONNABORTED)), Retry::Immediately);
    assert_eq!(accept_retry(&error(Errno::MFILE)), Retry::AfterPause);
    assert!(is_local(&error(Errno::ADDRNOTAVAIL)));
    assert!(!is_local(&error(Errno::CONNREFUSED)));
}

/// Waits until the backoff permits the next call; returns the time waited.
async fn wait_for_backoff(backoff: &mut FailureBackoff) -> std::time::Duration {
    let started = Instant::now();
    poll_fn(|context| backoff.poll_ready(context)).await;
    started.elapsed()
}

#[tokio::test(start_paused = true)]
async fn a_pause_follows_many_consecutive_failures_or_one_exhausted_resource() {
    let mut backoff = FailureBackoff::default();
    for _ in 0..2 {
        for _ in 1..IMMEDIATE_RETRIES {
            assert!(!backoff.record_failure(Retry::Immediately, RETRY_PAUSE));
            assert!(wait_for_backoff(&mut backoff).await.is_zero());
        }
        backoff.reset();
    }
    for _ in 1..IMMEDIATE_RETRIES {
        assert!(!backoff.record_failure(Retry::Immediately, RETRY_PAUSE));
    }
    assert!(
        backoff.record_failure(Retry::Immediately, RETRY_PAUSE),
        "a pause after this many consecutive failures"
    );
    assert!(wait_for_backoff(&mut backoff).await >= RETRY_PAUSE);
    assert!(wait_for_backoff(&mut backoff).await.is_zero(), "one pause only");
    assert!(backoff.record_failure(Retry::AfterPause, RETRY_PAUSE));
    assert!(wait_for_backoff(&mut backoff).await >= RETRY_PAUSE);
}
