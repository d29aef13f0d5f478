//! Counters of one frontend and its dispatcher, logged at SIGUSR1 and at the end of the process.

use crate::invariants::Violations;
use crate::metrics::{Counter, Gauge};
use dispatch_policy::api::Outcome;
use std::fmt;
use std::sync::OnceLock;

/// Resources that a frontend holds. All of them are released when nothing is in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Client connections.
    pub client_connections: usize,
    /// Client connections with an open request.
    pub busy_clients: usize,
    /// Worker connections that attempts hold.
    pub attempt_connections: usize,
    /// Idle worker connections.
    pub idle_connections: usize,
    /// Ids (X-Request-Id) of open requests.
    pub wire_ids: usize,
    /// Memory for bodies, in KiB.
    pub bodies_kib: usize,
    /// Ids of ended requests that went to a worker.
    pub recent_ids: usize,
    /// Memory for large answers of workers, in KiB.
    pub answers_kib: usize,
    /// Memory that the process has allocated, in KiB.
    pub heap_kib: usize,
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
            recent_ids,
            answers_kib,
            heap_kib,
        } = self;
        write!(
            f,
            "clients={client_connections} at_work={busy_clients} attempts={attempt_connections} \
             idle={idle_connections} ids={wire_ids} bodies_kib={bodies_kib} recent_ids={recent_ids} \
             answers_kib={answers_kib} heap_kib={heap_kib}"
        )
    }
}

type UsageSource = Box<dyn Fn() -> ResourceUsage + Send + Sync>;

/// Defines [`Counters`] from the names of the fields and the labels that operators read, which are fixed.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident $label:literal,)*) => {
        /// Counters of one frontend and its dispatcher.
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
            fn labeled(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
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
    /// Requests transferred with their running attempt to the successor process.
    transferred_out "moved",
    /// Requests adopted with their running attempt from the predecessor process.
    transferred_in "adopted",
    /// Requests answered without the decision module: malformed, not found, too large, or over the resource budget.
    rejected_early "turned_away",
    /// Final answers with a worker's result.
    served "served",
    /// Final answers that shed the request: not executed, may be retried.
    shed "refused",
    /// Final answers that report a failure: the request may have been executed.
    failed "failed",
    /// Clients that left before their answer.
    client_left "left",
    /// Attempts that the dispatcher sent.
    attempts_sent "sent",
    /// Attempts that the worker acknowledged.
    acknowledged "word",
    /// Attempts that the decision module chose and that were not sent.
    not_sent "moot",
    /// Attempts that the last check before the first byte blocked.
    send_blocked "held_back",
    /// Attempts that ended with a result.
    succeeded "ok",
    /// Attempts that ended with an error.
    errors "error",
    /// Attempts that the worker rejected without starting the request.
    rejected "full",
    /// Attempts that timed out.
    timed_out "timeout",
    /// Attempts for which no connection could be opened.
    connect_failed "connect_failed",
    /// Attempts whose connection was lost.
    connection_lost "reset",
    /// Attempts that were cancelled.
    cancelled "cancelled",
    /// Probes sent to workers.
    probes "probes",
    /// Probes answered in time.
    probes_answered "probed",
    /// Gossip datagrams sent to peers.
    gossip_sent "told",
    /// Gossip datagrams of peers that were accepted.
    gossip_received "heard",
    /// Worker connections opened.
    worker_connections_opened "opened",
    /// Worker connections kept open for reuse after a response.
    kept_alive "kept",
    /// Endpoint lists and changes of discovery that were applied.
    endpoint_lists_applied "lists",
    /// Requests answered with a conflict because their id went to a worker before; also counted as `turned_away`.
    ids_repeated "repeated",
    /// Ids of ended requests that were forgotten before their time, because there were too many.
    ids_forgotten "forgotten",
    /// Requests shed because no memory was left for them; also counted as `turned_away`.
    shed_for_memory "no_memory",
    /// Client connections closed to make room for others, or because much memory was in use.
    connections_evicted "evicted",
}

impl Counters {
    /// Sets the source of [`Counters::usage`]. Only the first call has an effect.
    pub fn set_usage_source(&self, source: impl Fn() -> ResourceUsage + Send + Sync + 'static) {
        let _ = self.usage.set(Box::new(source)); // fails if a source is set already
    }

    /// Resources that the frontend holds; `None` if no source was set.
    pub fn usage(&self) -> Option<ResourceUsage> {
        self.usage.get().map(|source| source())
    }

    /// Counts an ended attempt by its outcome.
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
        for (i, (label, value)) in self.labeled().enumerate() {
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
