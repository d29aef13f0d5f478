//! What voters and clients tell each other. The embedder carries it, sealed and for one receiver each.

use crate::lease_table::{Holder, LeaseTable, VoterMember};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a node or duty, in bytes.
pub const NAME_MAX: usize = 64;
/// The longest word, in bytes: a snapshot of a full table goes in.
pub const MESSAGE_MAX: usize = 64 * 1024;

/// A word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: `raft`'s own, from one disk to another.
    Raft {
        /// The foundation that both belong to.
        cluster_id: u64,
        /// From which disk.
        from: u64,
        /// To which.
        to: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Between voters: who is there, with which disk.
    Handshake(Handshake),
    /// A client's wish.
    Request(Request),
    /// The voters' answer.
    Response(Response),
}

/// A voter says who it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Handshake {
    /// Its name.
    pub name: String,
    /// Its disk: drawn when the folder was made.
    pub disk_id: u64,
    /// How often this folder has been started from: one that goes back is an older copy.
    pub starts: u64,
    /// The process.
    pub process_id: u64,
    /// The foundation it belongs to, if it was founded.
    pub cluster_id: Option<u64>,
    /// Whom it would found a new set of voters with: a hash of their names and places.
    pub founders_digest: u64,
    /// To one that asked: which start of which process it was, and what that is here. Guards a process against an answer
    /// that is late, and was for the one before it. None in a question.
    pub answer: Option<(u64, u64, VoterStatus)>,
}

/// What a voter is to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoterStatus {
    /// Nothing is known that speaks against it.
    Current,
    /// Its disk is not among the voters'.
    NotMember,
    /// A later start of its disk was seen here: its folder is an older copy.
    StaleCopy,
}

/// A client's wish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Comes back with the answer.
    pub id: u64,
    /// Who asks.
    pub client: Holder,
    /// How long ago it heard anything of the voters last, in milliseconds. Guards a duty against a holder that is heard
    /// and hears nothing: its lease would be extended for ever, and it would never know.
    pub silence_ms: u64,
    /// What for.
    pub operation: Operation,
}

/// What a client wishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Operation {
    /// To have a duty, or to hold on to it.
    Acquire {
        /// Which.
        lease: String,
        /// The token it holds it under; 0 where it does not.
        token: u64,
    },
    /// To give it back.
    Release {
        /// Which.
        lease: String,
        /// Its token.
        token: u64,
    },
    /// To leave word for the next holder.
    SaveState {
        /// Of which duty.
        lease: String,
        /// Its token.
        token: u64,
        /// What.
        state: Vec<u8>,
    },
    /// To see all of it.
    Status,
    /// An operator's word: this one is to be a voter, too.
    AddVoter(VoterMember),
    /// An operator's word: this one is to be none.
    RemoveVoter(String),
}

/// The voters' answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Response {
    /// The ask's.
    pub request_id: u64,
    /// The process that asked. Guards the next process of its name against an answer that is late: it counts its asks from
    /// the start, too, and would take a lease that began long ago for one that begins now.
    pub process_id: u64,
    /// Who answers.
    pub voter: String,
    /// What it says.
    pub outcome: Outcome,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The duty is the asker's, from when it asked.
    Granted {
        /// Which.
        lease: String,
        /// Its token.
        token: u64,
        /// What the holder before left.
        state: Vec<u8>,
    },
    /// Another holds it. The wish is kept for a moment, in case it is given back.
    HeldByOther {
        /// Which.
        lease: String,
        /// Who.
        holder: String,
        /// Under which token.
        token: u64,
    },
    /// The asker does not hold it: it gave it back, or another has it.
    NotHolder {
        /// Which.
        lease: String,
        /// The token of its last grant.
        token: u64,
    },
    /// It was done.
    Done,
    /// The asker has heard nothing for long: nothing is done before it asks again and says that it heard this.
    ConfirmReceipt,
    /// Another voter leads; `None` where none is known to.
    NotLeader(Option<SocketAddr>),
    /// It can't be done, and why.
    Rejected(String),
    /// All of it.
    Status(Box<ClusterStatus>),
}

/// What the leader tells an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The duties, voters and last changes.
    pub table: LeaseTable,
    /// The foundation.
    #[serde(rename = "founded")]
    pub cluster_id: u64,
    /// The leader's term.
    pub term: u64,
    /// How long each duty's lease has yet to go, as its grantor counts, in milliseconds.
    #[serde(rename = "left_ms")]
    pub remaining_ms: Vec<(String, u64)>,
}
