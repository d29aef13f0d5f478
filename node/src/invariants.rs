//! Rules of the protocol that the node checks on itself while it runs. Each has one guard, through which every path
//! goes; the guard holds back what would break the rule, or counts what has broken it. All counts stay zero in a node
//! that is well: any other is a fault of the node, said in the log with the request.

use crate::counters::Count;
use std::fmt;

macro_rules! invariants {
    ($($(#[$doc:meta])* $name:ident $label:literal,)*) => {
        /// A rule.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Invariant { $($(#[$doc])* $name,)* }

        impl Invariant {
            /// All rules.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$name,)*];

            /// Its name in counters and logs.
            pub fn label(self) -> &'static str {
                match self { $(Invariant::$name => $label,)* }
            }
        }
    };
}

invariants! {
    /// At most one attempt of a request is out. Guard: `Dispatcher::send`.
    OneAttempt "one_attempt",
    /// A request is sent as often as its settings allow at most. Guard: `Dispatcher::send`.
    AttemptsLeft "attempts_left",
    /// What may have run is repeated only as its class allows. Guard: `Dispatcher::send`.
    Repeatable "repeatable",
    /// A cold worker gets no more than this node's part of its budget. Guard: `Policy::send`.
    ColdBudget "cold_budget",
    /// A request that was read has its answer before its connection is closed. Guard: the drop of what waits for it.
    Answered "answered",
}

/// How often each rule was broken or would have been.
#[derive(Default)]
pub struct Violations([Count; Invariant::ALL.len()]);

impl Violations {
    /// Counts one, and says so.
    pub fn add(&self, invariant: Invariant, request: impl fmt::Display) {
        self.0[invariant as usize].add();
        log::error!(invariant = invariant.label(), request:%; "an invariant was broken");
    }

    /// How often this one was.
    pub fn get(&self, invariant: Invariant) -> u64 {
        self.0[invariant as usize].get()
    }
}

impl fmt::Display for Violations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, invariant) in Invariant::ALL.iter().enumerate() {
            write!(f, "{}{}={}", if i > 0 { " " } else { "" }, invariant.label(), self.get(*invariant))?;
        }
        Ok(())
    }
}
