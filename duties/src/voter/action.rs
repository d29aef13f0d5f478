//! What a voter asks its embedder to do, and what it reports.

use crate::lease_table::Holder;
use crate::message::Message;
use crate::store::WriteBatch;
use std::net::SocketAddr;

/// Action for the embedder of a voter.
#[derive(Debug, PartialEq)]
pub enum VoterAction {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write a batch to the store, then call [`crate::Voter::persisted`]. At most one write is under way.
    Write(WriteBatch),
    /// Log an event.
    Report(VoterEvent),
}

/// Event of a voter that is worth a log record.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterEvent {
    /// The founders formed a cluster, this voter among them.
    ClusterFormed {
        /// Id of the new cluster.
        cluster_id: u64,
    },
    /// Enough other voters confirmed that this voter's store is not an older copy.
    VotingEnabled,
    /// This voter was elected.
    BecameLeader {
        /// The term that it leads.
        term: u64,
    },
    /// This voter leads no longer.
    LeadershipLost,
    /// The store is an older copy or a copy in another place: this voter never votes again.
    StaleCopy,
    /// This voter's disk is not among the voters.
    NotMember,
    /// The store failed: this voter grants nothing and votes no longer.
    StorageFailed {
        /// Why.
        reason: String,
    },
    /// A voter was added or removed.
    VotersChanged {
        /// Names of all voters.
        names: Vec<String>,
    },
    /// This voter, as the leader, granted a lease.
    LeaseGranted {
        /// Name of the lease.
        lease: String,
        /// The new holder.
        holder: Holder,
        /// The new fencing token.
        token: u64,
    },
}
