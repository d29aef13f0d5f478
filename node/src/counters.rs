//! Counters of what is taken in, sent and answered; printed on SIGUSR1 and at exit.

use dewlever::api::Outcome;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// A number that only grows.
#[derive(Default)]
pub struct Count(AtomicU64);

impl Count {
    /// One more.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The number so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The counters of one front and its core.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get()),)*];
                for (i, (name, count)) in all.iter().enumerate() {
                    write!(f, "{}{name}={count}", if i > 0 { " " } else { "" })?;
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Connections of clients that were given a place.
    accepted,
    /// Requests handed to the module.
    taken,
    /// Requests that went to the next process while they ran.
    moved,
    /// Requests that came from the process before while they ran.
    adopted,
    /// Requests answered without it: malformed, not found, too large, over the descriptor budget.
    turned_away,
    /// Final answers: served.
    served,
    /// Final answers: refused.
    refused,
    /// Final answers: failed.
    failed,
    /// Clients gone before their answer.
    left,
    /// Attempts sent.
    sent,
    /// Attempts whose worker said that it took the job.
    word,
    /// Sends that could not go out.
    moot,
    /// Attempts that ended as served.
    ok,
    /// Attempts that ended as an error.
    error,
    /// Attempts turned away unstarted.
    full,
    /// Attempts that timed out.
    timeout,
    /// Attempts that never got a connection.
    connect_failed,
    /// Attempts whose connection broke.
    reset,
    /// Attempts called off.
    cancelled,
    /// Connections opened to workers.
    opened,
    /// Connections to workers kept after an answer that ended cleanly.
    kept,
    /// Answers of discovery taken.
    lists,
}

impl Counters {
    /// Counts how an attempt ended.
    pub fn ended(&self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => &self.ok,
            Outcome::Error => &self.error,
            Outcome::Full => &self.full,
            Outcome::Timeout => &self.timeout,
            Outcome::ConnectFailed => &self.connect_failed,
            Outcome::Reset => &self.reset,
            Outcome::Cancelled => &self.cancelled,
            Outcome::Moot => &self.moot,
        }
        .add();
    }
}
