//! Actions that a client returns to its embedder.

use crate::message::Request;
use std::net::SocketAddr;

/// Action that the embedder of a client carries out.
#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Send a request to a voter.
    Send {
        /// Address of the voter.
        to: SocketAddr,
        /// The request.
        request: Request,
    },
    /// This process now holds a lease.
    Acquired {
        /// Name of the lease.
        lease: String,
        /// Fencing token, which must accompany each operation under the lease.
        token: u64,
        /// State that the previous holder saved.
        state: Vec<u8>,
    },
    /// This process no longer holds a lease; operations in progress under it must be aborted.
    Lost {
        /// Name of the lease.
        lease: String,
        /// Fencing token under which the lease was held.
        token: u64,
        /// Reason for the loss.
        reason: LeaseLost,
    },
}

/// Reason for which a lease was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseLost {
    /// No renewal was confirmed in time.
    Expired,
    /// The voters report that the lease is no longer assigned under this token.
    TakenOver,
    /// This process released it.
    Released,
}
