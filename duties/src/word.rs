//! What voters and clients tell each other. The embedder carries it, sealed and for one receiver each.

use crate::table::{Holder, Seat, Table};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest name of a node or duty, in bytes.
pub const NAME_MAX: usize = 64;
/// The longest word, in bytes: a snapshot of a full table goes in.
pub const WORD_MAX: usize = 64 * 1024;

/// A word.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Between voters: `raft`'s own, from one disk to another.
    Raft {
        /// The foundation that both belong to.
        founded: u64,
        /// From which disk.
        from: u64,
        /// To which.
        to: u64,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Between voters: who is there, with which disk.
    Hello(Hello),
    /// A client's wish.
    Ask(Ask),
    /// The voters' answer.
    Answer(Answer),
}

/// A voter says who it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Its name.
    pub name: String,
    /// Its disk: drawn when the folder was made.
    pub disk: u64,
    /// How often this folder has been started from: one that goes back is an older copy.
    pub starts: u64,
    /// The process.
    pub boot: u64,
    /// The foundation it belongs to, if it was founded.
    pub founded: Option<u64>,
    /// Whom it would found a new set of voters with: a hash of their names and places.
    pub founders: u64,
    /// To one that asked: which start of which process it was, and what that is here. Guards a process against an answer
    /// that is late, and was for the one before it. None in a question.
    pub you: Option<(u64, u64, You)>,
}

/// What a voter is to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum You {
    /// Nothing is known that speaks against it.
    Fine,
    /// Its disk is not among the voters'.
    Unseated,
    /// A later start of its disk was seen here: its folder is an older copy.
    Older,
}

/// A client's wish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Comes back with the answer.
    pub number: u64,
    /// Who asks.
    pub who: Holder,
    /// How long ago it heard anything of the voters last, in milliseconds. Guards a duty against a holder that is heard
    /// and hears nothing: its lease would be extended for ever, and it would never know.
    pub heard_ms: u64,
    /// What for.
    pub wish: Wish,
}

/// What a client wishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Wish {
    /// To have a duty, or to hold on to it.
    Have {
        /// Which.
        duty: String,
        /// The token it holds it under; 0 where it does not.
        token: u64,
    },
    /// To give it back.
    Give {
        /// Which.
        duty: String,
        /// Its token.
        token: u64,
    },
    /// To leave word for the next holder.
    Leave {
        /// Of which duty.
        duty: String,
        /// Its token.
        token: u64,
        /// What.
        left: Vec<u8>,
    },
    /// To see all of it.
    Show,
    /// An operator's word: this one is to be a voter, too.
    Add(Seat),
    /// An operator's word: this one is to be none.
    Remove(String),
}

/// The voters' answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The ask's.
    pub number: u64,
    /// The process that asked. Guards the next process of its name against an answer that is late: it counts its asks from
    /// the start, too, and would take a lease that began long ago for one that begins now.
    pub boot: u64,
    /// Who answers.
    pub name: String,
    /// What it says.
    pub reply: Reply,
}

/// What an answer says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The duty is the asker's, from when it asked.
    Granted {
        /// Which.
        duty: String,
        /// Its token.
        token: u64,
        /// What the holder before left.
        left: Vec<u8>,
    },
    /// Another holds it. The wish is kept for a moment, in case it is given back.
    Busy {
        /// Which.
        duty: String,
        /// Who.
        holder: String,
        /// Under which token.
        token: u64,
    },
    /// The asker does not hold it: it gave it back, or another has it.
    Gone {
        /// Which.
        duty: String,
        /// The token of its last grant.
        token: u64,
    },
    /// It was done.
    Done,
    /// The asker has heard nothing for long: nothing is done before it asks again and says that it heard this.
    Listen,
    /// Another voter leads; `None` where none is known to.
    Elsewhere(Option<SocketAddr>),
    /// It can't be done, and why.
    No(String),
    /// All of it.
    Shown(Box<Told>),
}

/// What the leader tells an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The duties, voters and last changes.
    pub table: Table,
    /// The foundation.
    pub founded: u64,
    /// The leader's term.
    pub term: u64,
    /// How long each duty's lease has yet to go, as its grantor counts, in milliseconds.
    pub left_ms: Vec<(String, u64)>,
}
