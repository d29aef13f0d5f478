//! Messages between voters and clients. The embedder carries them, encrypted and each for one receiver.
//!
//! They are encoded by `postcard`: the bytes depend on the order of variants and fields, not on their names.

use crate::lease_table::{Holder, LeaseTable, VoterMember};
use crate::store::ProcessStart;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest name of a node or lease, in bytes.
pub const NAME_MAX: usize = 64;
/// Longest message, in bytes; a snapshot of a full lease table fits.
pub const MESSAGE_MAX: usize = 64 * 1024;

/// Message between voters, or between a client and a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Raft message from one disk to another.
    Raft {
        /// Cluster that both disks belong to.
        cluster_id: u64,
        /// Disk of the sender.
        from: u64,
        /// Disk of the receiver.
        to: u64,
        /// The message as the Raft library encodes it.
        bytes: Vec<u8>,
    },
    /// Identity of a voter, sent to the other voters.
    Handshake(Handshake),
    /// Request of a client.
    Request(Request),
    /// Response of a voter.
    Response(Response),
}

/// Identity of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// Name of the node.
    pub name: String,
    /// Id of its disk.
    pub disk_id: u64,
    /// Number of starts from this disk; one that goes back shows an older copy.
    pub starts: u64,
    /// Id of the process.
    pub process_id: u64,
    /// Cluster that the disk belongs to, if any.
    pub cluster_id: Option<u64>,
    /// Hash of the founders that the voter would form a new cluster with.
    pub initial_voters_digest: u64,
    /// Answer to a handshake; `None` in one that asks for an answer.
    pub answer: Option<HandshakeAnswer>,
}

/// Answer to a handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandshakeAnswer {
    /// The start that it answers: a late answer for an earlier process must not count for this one.
    pub start: ProcessStart,
    /// What the receiver is to the sender.
    pub status: VoterStatus,
}

/// What a voter is to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// Nothing is known that speaks against it.
    Current,
    /// Its disk is not among the voters.
    NotMember,
    /// A later start of its disk was seen: its store is an older copy.
    StaleCopy,
}

/// Request of a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Number that the response repeats.
    pub id: u64,
    /// The client's process.
    pub client: Holder,
    /// Time since the client last received anything from a leader, in milliseconds. A holder whose requests arrive but who
    /// receives nothing would otherwise keep its lease without knowing it.
    pub last_response_age_ms: u64,
    /// What is requested.
    pub operation: Operation,
}

/// Operation that a client requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// Acquire or renew a lease.
    Acquire {
        /// Name of the lease.
        lease: String,
        /// Token under which the client holds it; 0 if it does not.
        token: u64,
    },
    /// Release a lease.
    Release {
        /// Name of the lease.
        lease: String,
        /// Token under which the client holds it.
        token: u64,
    },
    /// Save state for the next holder of a lease.
    SaveState {
        /// Name of the lease.
        lease: String,
        /// Token under which the client holds it.
        token: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Show the status of the cluster.
    Status,
    /// Add a voter.
    AddVoter(VoterMember),
    /// Remove the voter with this name.
    RemoveVoter(String),
}

/// Response of a voter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// Number of the request.
    pub request_id: u64,
    /// Process that sent the request. The next process of the same name counts its requests from the start, too, and a late
    /// response must not give it a lease that began long ago.
    pub process_id: u64,
    /// Name of the voter that responds.
    pub voter: String,
    /// The outcome.
    pub outcome: Outcome,
}

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The client holds the lease, counted from the moment of its request.
    Granted {
        /// Name of the lease.
        lease: String,
        /// Its fencing token.
        token: u64,
        /// State that the last holder saved.
        state: Vec<u8>,
    },
    /// Another process holds the lease. The request waits for a moment, in case the lease is released.
    HeldByOther {
        /// Name of the lease.
        lease: String,
        /// Name of the holder.
        holder: String,
        /// The holder's token.
        token: u64,
    },
    /// The client does not hold the lease: it released it, or another process holds it.
    NotHolder {
        /// Name of the lease.
        lease: String,
        /// Token of its last grant.
        token: u64,
    },
    /// The operation was carried out.
    Done,
    /// The client has received nothing for long: nothing is done before a request shows that it received this.
    ConfirmReceipt,
    /// This voter does not lead; the address of the leader, if known.
    NotLeader(Option<SocketAddr>),
    /// The operation can't be carried out, for this reason.
    Rejected(String),
    /// Status of the cluster.
    Status(Box<ClusterStatus>),
}

/// Status of the cluster, as its leader shows it to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// Leases, voters and last changes.
    pub table: LeaseTable,
    /// Id of the cluster.
    #[serde(rename = "founded")]
    pub cluster_id: u64,
    /// The leader's term.
    pub term: u64,
    /// Time left of each lease by the leader's clock, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Vec<(String, u64)>,
}
