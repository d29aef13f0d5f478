//! What a client asks its embedder to do.

use crate::message::Request;
use std::net::SocketAddr;

/// Action for the embedder of a client.
#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Send a request to a voter.
    Send {
        /// Address of the voter.
        to: SocketAddr,
        /// The request.
        request: Request,
    },
    /// This process holds a lease from now on.
    Acquired {
        /// Name of the lease.
        lease: String,
        /// Fencing token; it goes with each act.
        token: u64,
        /// State that the last holder saved.
        state: Vec<u8>,
    },
    /// This process holds a lease no longer: whatever is under way must not go on.
    Lost {
        /// Name of the lease.
        lease: String,
        /// Its fencing token.
        token: u64,
        /// Why.
        reason: LeaseLost,
    },
}

/// Why a lease was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLost {
    /// No voter confirmed a renewal in time.
    Expired,
    /// The voters say that another process holds it.
    TakenOver,
    /// This process released it.
    Released,
}
