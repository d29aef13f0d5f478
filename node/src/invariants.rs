//! Invariants that the node checks on itself while it runs.
//!
//! Each has one guard, through which every path goes. The guard prevents a violation, or counts one that has happened. In
//! a node without faults all counts are zero; any other is logged as an error, with the request.

use crate::metrics::Counter;
use std::fmt;

/// Defines [`Invariant`] from the names of the variants and their labels in counters and logs.
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
    /// At most one attempt of a request is in flight. Guard: `Dispatcher::send`.
    SingleAttempt "one_attempt",
    /// A request has at most as many attempts as its settings allow. Guard: `Dispatcher::send`.
    AttemptLimit "attempts_left",
    /// A request that may have run is retried only as its class allows. Guard: `Dispatcher::send`.
    RetryAllowed "repeatable",
    /// A worker that is warming up gets at most this node's part of its budget. Guard: `Policy::send`.
    SlowStartBudget "cold_budget",
    /// A request that was read is answered before its connection is closed. Guard: the drop of what waits for the answer.
    Answered "answered",
}

/// Number of violations of each invariant, prevented ones included.
#[derive(Default)]
pub struct Violations([Counter; Invariant::ALL.len()]);

impl Violations {
    /// Counts and logs a violation by a request.
    pub fn add(&self, invariant: Invariant, request: impl fmt::Display) {
        self.0[invariant as usize].add();
        log::error!(event = "invariant_violated", invariant = invariant.label(), request:%;
            "invariant violated: this is a fault of the node");
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
