//! Output of a machine: actions for its embedder, and events among them.

use crate::member::Identity;
use std::net::SocketAddr;

/// An action that the embedder is to carry out.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Synchronize states over a stream: see [`Machine::request_sync`](crate::Machine::request_sync).
    SyncState {
        /// Address of the responder.
        to: SocketAddr,
    },
    /// Handle the tenant rates that another node sent.
    Rates {
        /// Name of that node.
        from: String,
        /// Rates by the hash of the tenant's name, in 1/64 of a job per second.
        rates: Vec<(u64, u16)>,
    },
    /// Handle a message of another subsystem.
    Message {
        /// Address of the sender, whose process has a session here.
        from: SocketAddr,
        /// Content.
        bytes: Vec<u8>,
    },
    /// Log an event.
    Event(MembershipEvent),
}

/// A change of the view, or of this node's place in it.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member is present: new, again, or with another phase.
    Up(Identity),
    /// A member is held dead.
    Down(Identity),
    /// A member left on purpose.
    Left(Identity),
    /// A member that was dead or had left is forgotten.
    Removed(String),
    /// This node was held dead, or its name was, and has rejoined under this incarnation.
    Rejoined(u64),
    /// Another process with this node's name prevails; this one stays out of the view.
    Yielded(Identity),
    /// Another process claims this node's name.
    NameConflict(Identity),
}
