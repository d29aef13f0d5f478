//! Duties that one node of the fleet holds at a time. A majority of a few voters grants each for a lease, with a fencing
//! token that only grows; everything else in the fleet is a client of theirs.
//!
//! [`Voter`] and [`Client`] have no I/O, clock or thread of their own: words, timers and the outcome of writes go in with
//! the time, and actions come out. So the same code runs over sockets and in emulated time. The voters' log is `raft`'s;
//! [`Store`] keeps it on `redb`, over whatever the embedder gives as a disk.
//!
//! Times are spans on a clock of the embedder's that only runs forward and goes on while the machine sleeps. No two
//! clocks are ever compared.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod fencing;
mod lease_table;
mod list_broadcast;
mod message;
mod raft_log;
mod rolling_restart;
mod store;
mod voter;

pub use client::{Client, ClientAction, LeaseLost};
pub use fencing::{FencingGuard, StaleToken};
pub use lease_table::{
    ApplyResult, ChangeKind, Command, Holder, LeaseChange, LeaseRecord, LeaseTable, VoterMember, HISTORY_MAX,
    LEASES_MAX, STATE_MAX,
};
pub use list_broadcast::{
    BroadcastAction, BroadcastMessage, BroadcastMetrics, Entry, ListBroadcast, ListDelta,
};
pub use message::{
    ClusterStatus, Handshake, HandshakeAnswer, Message, Operation, Outcome, Request, Response, VoterStatus,
    MESSAGE_MAX, NAME_MAX,
};
pub use rolling_restart::{
    Member, RestartOutcome, RestartProgress, RestartStep, RollingRestart, IN_PROGRESS_MAX, MISSING_TOLERANCE,
    RETURN_TIMEOUT,
};
pub use store::{DiskIdentity, ProcessStart, Store, StoreContents, StoreError, WriteBatch};
pub use voter::{Voter, VoterAction, VoterConfig, VoterEvent, VoterMetrics, VoterState};

use std::time::Duration;

/// How long leases and elections take. All voters and clients of a fleet have to agree on the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// For which a duty is granted, as its grantor counts.
    pub lease: Duration,
    /// Without a leader, before a voter calls for an election; it waits up to twice as long.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing { lease: Duration::from_secs(10), election: Duration::from_secs(1) }
    }
}

impl Timing {
    /// For which a holder may act from the moment at which it *asked*. The grantor counts the whole lease from a later
    /// moment; what is left over covers two clocks of which one runs 5% fast and the other 5% slow.
    pub fn holder_validity(&self) -> Duration {
        self.lease * 17 / 20
    }

    /// Between two asks of a holder.
    pub(crate) fn renew_interval(&self) -> Duration {
        self.lease / 5
    }
}
