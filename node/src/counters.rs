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
    pub client_connections: usize,
    /// Client connections with a request in flight.
    pub busy_clients: usize,
    /// Worker connections that an attempt holds.
    pub attempt_connections: usize,
    /// Idle worker connections.
    pub idle_connections: usize,
    /// Wire ids in flight.
    pub wire_ids: usize,
    /// Memory for bodies, in KiB.
    pub bodies_kib: usize,
}

impl fmt::Display for ResourceUsage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ResourceUsage {
            client_connections,
            busy_clients,
            attempt_connections,
            idle_connections,
            wire_ids,
            bodies_kib,
        } = self;
        write!(
            f,
            "clients={client_connections} at_work={busy_clients} attempts={attempt_connections} idle={idle_connections} \
             ids={wire_ids} bodies_kib={bodies_kib}"
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
            pub open_requests: Gauge,
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
    connections_accepted "accepted",
    /// Requests passed to the decision module.
    requests_accepted "taken",
    /// Running requests transferred to the next process.
    transferred_out "moved",
    /// Running requests transferred from the previous process.
    transferred_in "adopted",
    /// Requests answered without the decision module: malformed, not found, too large, or over the descriptor budget.
    rejected_early "turned_away",
    /// Final answers: served.
    served "served",
    /// Final answers: refused.
    shed "refused",
    /// Final answers: failed.
    failed "failed",
    /// Clients that left before their answer.
    client_left "left",
    /// Attempts started.
    attempts_sent "sent",
    /// Attempts that their worker acknowledged.
    acknowledged "word",
    /// Attempts that could not be sent.
    not_sent "moot",
    /// Attempts that the send guard held back right before their first byte.
    send_blocked "held_back",
    /// Attempts that ended as served.
    succeeded "ok",
    /// Attempts that ended with an error.
    errors "error",
    /// Attempts that the worker rejected before it started.
    rejected "full",
    /// Attempts that timed out.
    timed_out "timeout",
    /// Attempts that got no connection.
    connect_failed "connect_failed",
    /// Attempts whose connection broke.
    connection_lost "reset",
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
    worker_connections_opened "opened",
    /// Worker connections that were kept after an answer, for reuse.
    kept_alive "kept",
    /// Answers of discovery that were applied.
    endpoint_lists_applied "lists",
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
            Outcome::Success => &self.succeeded,
            Outcome::Error => &self.errors,
            Outcome::Rejected => &self.rejected,
            Outcome::Timeout => &self.timed_out,
            Outcome::ConnectFailed => &self.connect_failed,
            Outcome::ConnectionLost => &self.connection_lost,
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
        let (open, in_flight, timers) = (self.open_requests.get(), self.in_flight.get(), self.timers.get());
        write!(f, "; now open={open} out={in_flight} timers={timers}")?;
        match self.usage() {
            Some(usage) => write!(f, " {usage}"),
            None => Ok(()),
        }
    }
}
