//! Counters of what is taken in, sent and answered; printed on SIGUSR1 and at exit.

use crate::invariants::Violations;
use dewlever::api::Outcome;
use std::fmt;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;

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

/// How many there are now; its one owner sets it.
#[derive(Default)]
pub struct Gauge(AtomicUsize);

impl Gauge {
    /// So many.
    pub fn set(&self, n: usize) {
        self.0.store(n, Ordering::Relaxed);
    }

    /// How many.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// What a front holds now: all of it is given back when nothing is at work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holdings {
    /// Clients' connections.
    pub clients: usize,
    /// Of these, with a request at work.
    pub at_work: usize,
    /// Connections to workers that an attempt has.
    pub attempts: usize,
    /// Idle connections to workers.
    pub idle: usize,
    /// Wire ids that are open.
    pub ids: usize,
    /// Memory for bodies, in KiB.
    pub bodies_kib: usize,
}

type Look = Box<dyn Fn() -> Holdings + Send + Sync>;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// The counters of one front and its core.
        #[derive(Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Count,)*
            /// Broken invariants.
            pub violations: Violations,
            /// Requests in the core's table.
            pub open: Gauge,
            /// Attempts that are out.
            pub out: Gauge,
            /// Timers of the core.
            pub timers: Gauge,
            look: OnceLock<Look>,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get()),)*];
                for (i, (name, count)) in all.iter().enumerate() {
                    write!(f, "{}{name}={count}", if i > 0 { " " } else { "" })?;
                }
                write!(f, "; violations {}", self.violations)?;
                write!(f, "; now open={} out={} timers={}", self.open.get(), self.out.get(), self.timers.get())?;
                let Some(Holdings { clients, at_work, attempts, idle, ids, bodies_kib }) = self.holdings() else {
                    return Ok(());
                };
                write!(f, " clients={clients} at_work={at_work} attempts={attempts} idle={idle} ids={ids} \
                    bodies_kib={bodies_kib}")
            }
        }
    };
}

impl Counters {
    /// Where the front looks what it holds; the first one counts.
    pub fn look(&self, look: impl Fn() -> Holdings + Send + Sync + 'static) {
        let _ = self.look.set(Box::new(look));
    }

    /// What the front holds now, where it says so.
    pub fn holdings(&self) -> Option<Holdings> {
        self.look.get().map(|look| look())
    }
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
    /// Attempts that were held back right before their first byte.
    held_back,
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
    /// Workers asked for their load.
    probes,
    /// Those that answered in time.
    probed,
    /// Datagrams sent to other nodes.
    told,
    /// Datagrams of theirs that counted.
    heard,
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
