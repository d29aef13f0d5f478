//! Invariants that the node checks at run time.
//!
//! Each is checked at one place that every path passes, which prevents a violation or counts one that has happened.
//! All counts of a correct node are zero; each violation is logged as an error with its request.

use crate::metrics::Counter;
use std::fmt;

/// Defines [`Invariant`] from the names of the variants and their labels in counters and logs, which are fixed.
macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident $label:literal,)*) => {
        /// Invariant of the protocol.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant { $($(#[$doc])* $name,)* }

        impl Invariant {
            /// All invariants.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$name,)*];

            /// Label in counters and logs.
            pub fn label(self) -> &'static str {
                match self { $(Invariant::$name => $label,)* }
            }
        }
    };
}

invariants! {
    /// At most one attempt of a request is in flight. Checked in `Dispatcher::send`.
    SingleAttempt "one_attempt",
    /// A request has at most as many attempts as its settings allow. Checked in `Dispatcher::send`.
    AttemptLimit "attempts_left",
    /// A request that may have been executed is retried only as its class allows. Checked in `Dispatcher::send`.
    RetryAllowed "repeatable",
    /// A worker that is warming up gets at most this node's share of its budget. Checked in `Policy::send`.
    SlowStartBudget "cold_budget",
    /// A request that was read is answered before its connection is closed. Checked when the wait for its answer is
    /// dropped.
    Answered "answered",
}

/// Number of violations of each invariant, including prevented ones.
#[derive(Default)]
pub struct Violations([Counter; Invariant::ALL.len()]);

impl Violations {
    /// Counts and logs a violation that concerns this request.
    pub fn add(&self, invariant: Invariant, request: impl fmt::Display) {
        self.0[invariant as usize].add();
        log::error!(event = "invariant_violated", invariant = invariant.label(), request:%;
            "invariant violated: this is a bug in the node");
    }

    /// Number of violations of one invariant.
    pub fn get(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, invariant) in Invariant::ALL.iter().enumerate() {
            let separator = if i > 0 { " " } else { "" };
            write!(f, "{separator}{}={}", invariant.label(), self.get(*invariant))?;
        }
        Ok(())
    }
}
