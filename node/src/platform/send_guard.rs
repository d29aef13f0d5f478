//! Last check before a request is sent: made right before its first byte goes to a worker, on whichever connection and
//! however long that took to come up.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a request must not be written. Nothing of it has gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendBlocked {
    /// Its client has left.
    #[error("its client has left")]
    ClientLeft,
    /// Its client stops waiting now.
    #[error("its deadline has passed")]
    DeadlinePassed,
    /// Its worker was told to drain, or is gone, for about as long as the settings allow.
    #[error("its worker is draining or gone")]
    EndpointDraining,
}

type Check = Box<dyn FnOnce() -> Result<(), SendBlocked> + Send>;

/// What is known of the next request.
#[derive(Default)]
enum State {
    /// Nothing is to be checked, or the check has passed.
    #[default]
    Open,
    /// The check is made with the next byte.
    Armed(Check),
    /// The check has failed.
    Blocked(SendBlocked),
}

/// Guard that a connection's user and its socket share.
#[derive(Clone, Default)]
pub struct SendGuard(Arc<Mutex<State>>);

impl SendGuard {
    /// Has this checked before the next byte goes out.
    pub fn arm(&self, check: impl FnOnce() -> Result<(), SendBlocked> + Send + 'static) {
        *self.state() = State::Armed(Box::new(check));
    }

    /// Why the request was not sent, if its check failed.
    pub fn blocked_by(&self) -> Option<SendBlocked> {
        match *self.state() {
            State::Blocked(reason) => Some(reason),
            State::Open | State::Armed(_) => None,
        }
    }

    /// Makes the check, once for each request.
    ///
    /// # Errors
    /// The request must not be written; its connection ends with this error, whose source is a [`SendBlocked`].
    pub fn check(&self) -> io::Result<()> {
        // Taken out first: the check may take its time, and locks of its own.
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
