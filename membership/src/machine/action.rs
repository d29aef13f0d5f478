//! Output of a machine: actions for the embedder, and membership events.

use crate::member::Identity;
use std::net::SocketAddr;

/// Action for the embedder to carry out.
#[derive(Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Encoded datagram.
        bytes: Vec<u8>,
    },
    /// Initiate a state synchronization over a stream: see [`Machine::request_sync`](crate::Machine::request_sync).
    SyncState {
        /// Address of the responder.
        to: SocketAddr,
    },
    /// Handle the tenant rates that another node sent.
    Rates {
        /// Name of the sender.
        from: String,
        /// Rates by the hash of the tenant name, in 1/64 of a request per second.
        rates: Vec<(u64, u16)>,
    },
    /// Handle a message of another subsystem.
    Message {
        /// Address of the sender, which has a session.
        from: SocketAddr,
        /// Complete message.
        bytes: Vec<u8>,
    },
    /// Log an event.
    Event(MembershipEvent),
}

/// Change of the view, or of this node's participation.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A member is present: it is new, has rejoined, or has changed its identity.
    Up(Identity),
    /// A member was declared dead.
    Down(Identity),
    /// A member left on purpose.
    Left(Identity),
    /// A dead member, or one that left, was removed from the view.
    Removed(String),
    /// This node has rejoined with this incarnation: it was declared dead, resumed, or took its name back.
    Rejoined(u64),
    /// This process has yielded its name to another process and left the view.
    Yielded(Identity),
    /// Another process claims this node's name with an identity that supersedes this one's.
    NameConflict(Identity),
}
