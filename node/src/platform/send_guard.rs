//! Last check before a request is sent, made right before its first byte is written to a worker: on a new or
//! a reused connection, however long connecting took.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a request must not be sent. None of its bytes have been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendBlocked {
    /// The client has disconnected.
    #[error("the client has disconnected")]
    ClientLeft,
    /// The deadline has passed.
    #[error("the deadline has passed")]
    DeadlinePassed,
    /// The worker has been draining or gone for nearly the drain grace period of the settings.
    #[error("the worker is draining or gone")]
    EndpointDraining,
}

type Check = Box<dyn FnOnce() -> Result<(), SendBlocked> + Send>;

/// State of the check for the next request.
#[derive(Default)]
enum State {
    /// No check is set, or it has passed.
    #[default]
    Inactive,
    /// The check is made before the next byte is written.
    Armed(Check),
    /// The check has failed.
    Blocked(SendBlocked),
}

/// Guard that is shared between a connection's user and its stream.
#[derive(Clone, Default)]
pub struct SendGuard(Arc<Mutex<State>>);

impl SendGuard {
    /// Sets the check to make before the next byte is written.
    pub fn arm(&self, check: impl FnOnce() -> Result<(), SendBlocked> + Send + 'static) {
        *self.state() = State::Armed(Box::new(check));
    }

    /// Why the request was not sent, if its check failed.
    pub fn block_reason(&self) -> Option<SendBlocked> {
        match *self.state() {
            State::Blocked(reason) => Some(reason),
            State::Inactive | State::Armed(_) => None,
        }
    }

    /// Whether bytes of the request may have been written: no check is due, and none has failed.
    pub fn has_passed(&self) -> bool {
        matches!(*self.state(), State::Inactive)
    }

    /// Makes the check if one is set, once for each request.
    ///
    /// # Errors
    /// The request must not be written; the connection ends with this error, whose source is a
    /// [`SendBlocked`].
    pub fn check(&self) -> io::Result<()> {
        // Made without holding the lock: the check may take time, and other locks.
        let check = {
            let mut state = self.state();
            match std::mem::take(&mut *state) {
                State::Armed(check) => check,
                other => {
                    *state = other;
                    return Ok(());
                }
            }
        };
        check().map_err(|reason| {
            *self.state() = State::Blocked(reason);
            io::Error::other(reason)
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
