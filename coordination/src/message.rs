//! Messages between voters and clients. The embedder encrypts each message and delivers it to one receiver.
//!
//! They are encoded with `postcard`: the bytes depend on the order of variants and fields, not on their names.

use crate::lease_table::{Holder, LeaseTable, VoterMember};
use crate::store::ProcessStart;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a node or lease name, in bytes.
pub const NAME_MAX: usize = 64;
/// Maximum size of a message, in bytes; large enough for a snapshot of a full lease table.
pub const MESSAGE_MAX: usize = 64 * 1024;

/// Message between voters, or between a client and a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Raft message between two voters.
    Raft {
        /// Cluster that both voters belong to.
        cluster_id: u64,
        /// Disk id of the sender.
        from: u64,
        /// Disk id of the receiver.
        to: u64,
        /// Message in the encoding of the Raft library.
        bytes: Vec<u8>,
    },
    /// Identity of a voter, sent to the other voters.
    Handshake(Handshake),
    /// Request from a client.
    Request(Request),
    /// Response from a voter.
    Response(Response),
}

/// Identity of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// Name of the node.
    pub name: String,
    /// Id of the voter's disk.
    pub disk_id: u64,
    /// Number of starts from this disk; a lower number than one seen before reveals an older copy of the store.
    pub starts: u64,
    /// Id of the process.
    pub process_id: u64,
    /// Id of the cluster that the disk belongs to, if any.
    pub cluster_id: Option<u64>,
    /// Hash of the initial voters that the voter would form a new cluster with.
    pub initial_voters_digest: u64,
    /// Answer to the receiver's handshake; `None` if this handshake asks for an answer.
    pub answer: Option<HandshakeAnswer>,
}

/// Answer to a handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeAnswer {
    /// Process start that the answer is for: a late answer to an earlier process must not count for the current one.
    pub start: ProcessStart,
    /// Status of the receiver, as the sender sees it.
    pub status: VoterStatus,
}

/// Status of a voter, as another voter sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// Its store is not known to be an older copy, nor its disk to be outside the cluster.
    Current,
    /// Its disk is not among the voters of the cluster.
    NotMember,
    /// A later start of its disk is known, so its store is an older copy.
    StaleCopy,
}

/// Request from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Request id, which the response repeats.
    pub id: u64,
    /// The client's process.
    pub client: Holder,
    /// Time since the client last received a response from a leader, in milliseconds. Without it, a holder whose requests
    /// arrive but whose responses are lost would keep its lease renewed without knowing it.
    pub last_response_age_ms: u64,
    /// Operation that is requested.
    pub operation: Operation,
}

/// Operation that a client requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Acquire or renew a lease.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// Fencing token under which the client holds the lease; 0 if it does not hold it.
        token: u64,
    },
    /// Release a lease.
    Release {
        /// Name of the lease.
        lease: String,
        /// Fencing token under which the client holds the lease.
        token: u64,
    },
    /// Save state for the next holder of the lease.
    SaveState {
        /// Name of the lease.
        lease: String,
        /// Fencing token under which the client holds the lease.
        token: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Return the status of the cluster.
    Status,
    /// Add a voter.
    AddVoter(VoterMember),
    /// Remove the voter with this name.
    RemoveVoter(String),
}

/// Response from a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Id of the request.
    pub request_id: u64,
    /// Id of the process that sent the request. The next process of the same name reuses request ids from the beginning,
    /// and a late response must not give it a lease that was granted long ago.
    pub process_id: u64,
    /// Name of the voter that sent the response.
    pub voter: String,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The client holds the lease; its validity counts from the time at which the request was sent.
    Granted {
        /// Name of the lease.
        lease: String,
        /// Fencing token.
        token: u64,
        /// State that the previous holder saved.
        state: Vec<u8>,
    },
    /// Another process holds the lease. The request stays queued for a short time in case the lease is released.
    HeldByOther {
        /// Name of the lease.
        lease: String,
        /// Name of the holder.
        holder: String,
        /// The holder's fencing token.
        token: u64,
    },
    /// The client does not hold the lease: it has released it, or another process has acquired it.
    NotHolder {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the last grant.
        token: u64,
    },
    /// The operation was carried out.
    Done,
    /// The client has received no response for a long time: the operation is refused until a later request shows that this
    /// response arrived.
    ConfirmReceipt,
    /// This voter is not the leader; holds the address of the leader, if known.
    NotLeader(Option<SocketAddr>),
    /// The operation was rejected, for this reason.
    Rejected(String),
    /// Status of the cluster.
    Status(Box<ClusterStatus>),
}

/// Status of the cluster, as the leader reports it to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Leases, voters and the most recent changes.
    pub table: LeaseTable,
    /// Id of the cluster.
    #[serde(rename = "founded")]
    pub cluster_id: u64,
    /// Term of the leader.
    pub term: u64,
    /// Remaining time of each lease by the leader's clock, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Vec<(String, u64)>,
}
