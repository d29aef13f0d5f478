//! Actions and events that a voter returns to its embedder.

use crate::lease_table::Holder;
use crate::message::Message;
use crate::store::WriteBatch;
use std::net::SocketAddr;

/// Action that the embedder of a voter carries out.
#[derive(Debug, PartialEq)]
pub enum VoterAction {
    /// Send a message.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Write a batch to the store, then call [`crate::Voter::persisted`]. At most one write is in progress at a time.
    Write(WriteBatch),
    /// Log an event.
    Report(VoterEvent),
}

/// Event of a voter for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterEvent {
    /// The initial voters, including this one, formed a cluster.
    ClusterFormed {
        /// Id of the new cluster.
        cluster_id: u64,
    },
    /// Enough other voters confirmed that this voter's store is not an older copy.
    VotingEnabled,
    /// This voter was elected.
    BecameLeader {
        /// Term that it leads.
        term: u64,
    },
    /// This voter is no longer the leader.
    LeadershipLost,
    /// The store is an older copy, or a copy at another location: this voter never votes again.
    StaleCopy,
    /// This voter's disk is not among the voters of the cluster.
    NotMember,
    /// The store failed: this voter no longer votes or grants leases.
    StorageFailed {
        /// Reason for the failure.
        reason: String,
    },
    /// A voter was added or removed.
    VotersChanged {
        /// Names of all voters.
        names: Vec<String>,
    },
    /// This voter granted a lease as the leader.
    LeaseGranted {
        /// Name of the lease.
        lease: String,
        /// New holder.
        holder: Holder,
        /// New fencing token.
        token: u64,
    },
}
