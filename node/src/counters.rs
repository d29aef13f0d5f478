//! Counters of one front and its dispatcher, logged on SIGUSR1 and at the end of the process.

use crate::invariants::Violations;
use crate::metrics::{Counter, Gauge};
use dispatch_policy::api::Outcome;
use std::fmt;
use std::sync::OnceLock;

/// Resources that a front holds now. All of them are released when nothing is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Client connections.
    pub clients: usize,
    /// Client connections with a request in flight.
    pub at_work: usize,
    /// Worker connections that an attempt holds.
    pub attempts: usize,
    /// Idle worker connections.
    pub idle: usize,
    /// Wire ids in flight.
    pub ids: usize,
    /// Memory for bodies, in KiB.
    pub bodies_kib: usize,
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ResourceUsage { clients, at_work, attempts, idle, ids, bodies_kib } = self;
        write!(
            f,
            "clients={clients} at_work={at_work} attempts={attempts} idle={idle} ids={ids} bodies_kib={bodies_kib}"
        )
    }
}

type UsageSource = Box<dyn Fn() -> ResourceUsage + Send + Sync>;

/// Defines [`Counters`] from the names of the fields and the labels under which operators read them.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident $label:literal,)*) => {
        /// Counters of one front and its dispatcher.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $field: Counter,)*
            /// Violations of invariants.
            pub violations: Violations,
            /// Requests in the dispatcher's table.
            pub open: Gauge,
            /// Attempts in flight.
            pub in_flight: Gauge,
            /// Timers of the dispatcher.
            pub timers: Gauge,
            usage: OnceLock<UsageSource>,
        }

        impl Counters {
            /// Labels and values, in the order in which they are logged.
            fn labelled(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
                [$(($label, self.$field.get()),)*].into_iter()
            }
        }
    };
}

counters! {
    /// Client connections that got a slot.
    accepted "accepted",
    /// Requests passed to the decision module.
    taken "taken",
    /// Running requests transferred to the next process.
    transferred_out "moved",
    /// Running requests transferred from the previous process.
    transferred_in "adopted",
    /// Requests answered without the decision module: malformed, not found, too large, or over the descriptor budget.
    rejected_early "turned_away",
    /// Final answers: served.
    served "served",
    /// Final answers: refused.
    refused "refused",
    /// Final answers: failed.
    failed "failed",
    /// Clients that left before their answer.
    client_left "left",
    /// Attempts started.
    sent "sent",
    /// Attempts that their worker acknowledged.
    acknowledged "word",
    /// Attempts that could not be sent.
    not_sent "moot",
    /// Attempts that the send guard held back right before their first byte.
    held_back "held_back",
    /// Attempts that ended as served.
    ok "ok",
    /// Attempts that ended with an error.
    error "error",
    /// Attempts that the worker rejected before it started.
    full "full",
    /// Attempts that timed out.
    timeout "timeout",
    /// Attempts that got no connection.
    connect_failed "connect_failed",
    /// Attempts whose connection broke.
    reset "reset",
    /// Attempts that were cancelled.
    cancelled "cancelled",
    /// Health checks sent to workers.
    probes "probes",
    /// Health checks answered in time.
    probes_answered "probed",
    /// Gossip datagrams sent to other nodes.
    gossip_sent "told",
    /// Gossip datagrams of other nodes that were accepted.
    gossip_received "heard",
    /// Worker connections opened.
    opened "opened",
    /// Worker connections that were kept after an answer, for reuse.
    kept_alive "kept",
    /// Answers of discovery that were applied.
    lists "lists",
}

impl Counters {
    /// Sets the source of [`Counters::usage`]. Only the first call has an effect.
    pub fn set_usage_source(&self, source: impl Fn() -> ResourceUsage + Send + Sync + 'static) {
        let _ = self.usage.set(Box::new(source)); // fails if there is a source already
    }

    /// Resources that the front holds now; `None` if it has no source for that.
    pub fn usage(&self) -> Option<ResourceUsage> {
        self.usage.get().map(|source| source())
    }

    /// Counts the end of an attempt, by its outcome.
    pub fn count_outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Success => &self.ok,
            Outcome::Error => &self.error,
            Outcome::Rejected => &self.full,
            Outcome::Timeout => &self.timeout,
            Outcome::ConnectFailed => &self.connect_failed,
            Outcome::ConnectionLost => &self.reset,
            Outcome::Cancelled => &self.cancelled,
            Outcome::NotSent => &self.not_sent,
        }
        .add();
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (label, value)) in self.labelled().enumerate() {
            let separator = if i > 0 { " " } else { "" };
            write!(f, "{separator}{label}={value}")?;
        }
        write!(f, "; violations {}", self.violations)?;
        let (open, in_flight, timers) = (self.open.get(), self.in_flight.get(), self.timers.get());
        write!(f, "; now open={open} out={in_flight} timers={timers}")?;
        match self.usage() {
            Some(usage) => write!(f, " {usage}"),
            None => Ok(()),
        }
    }
}
