//! The one guard of sending: asked right before the first byte of a request goes to a worker, on whichever connection
//! and however long that took to come up.

use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a request must not be written. Nothing of it has gone out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendBlocked {
    /// Its client has left.
    ClientLeft,
    /// Its client stops waiting now.
    Overdue,
    /// Its worker was told to drain, or is gone, for about as long as the settings allow.
    Withdrawn,
}

type Check = Box<dyn FnOnce() -> Result<(), SendBlocked> + Send>;

#[derive(Default)]
struct State {
    check: Option<Check>,
    barred: Option<SendBlocked>,
}

/// What a connection's user and its socket share.
#[derive(Clone, Default)]
pub struct SendGuard(Arc<Mutex<State>>);

impl SendGuard {
    /// Has this asked before the next byte goes out.
    pub fn arm(&self, check: impl FnOnce() -> Result<(), SendBlocked> + Send + 'static) {
        *self.state() = State { check: Some(Box::new(check)), barred: None };
    }

    /// Why the request was held back, if it was.
    pub fn blocked_by(&self) -> Option<SendBlocked> {
        self.state().barred
    }

    /// Asks, once for each request.
    ///
    /// # Errors
    /// Where the request must not be written; its connection ends with that.
    pub fn check(&self) -> io::Result<()> {
        // Taken out first: the check may take its time, and locks of its own.
        let Some(check) = self.state().check.take() else { return Ok(()) };
        let Err(barred) = check() else { return Ok(()) };
        self.state().barred = Some(barred);
        Err(io::Error::other(format!("held back: {barred:?}")))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
