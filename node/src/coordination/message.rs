//! Coordination messages between nodes, encoded by `postcard`: the bytes depend on the order of variants and fields.

use ::coordination::{BroadcastMessage, Message};
use serde::{Deserialize, Serialize};

/// Message between nodes.
#[derive(Serialize, Deserialize)]
pub enum NodeMessage {
    /// Between voters, and between clients and voters.
    Coordination(Message),
    /// List broadcast among the nodes of a zone.
    Lists(BroadcastMessage),
    /// Between the holder of the rolling restart's lease and other nodes.
    RollingRestart(RestartMessage),
}

/// Message of a rolling restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartMessage {
    /// Operator's request, forwarded to the holder.
    Requested(RestartRequest),
    /// Instruction to a process to drain and end.
    Restart {
        /// The holder's fencing token.
        token: u64,
        /// Random id of the process.
        process_id: u64,
    },
    /// Query for the counters of requests.
    HealthQuery {
        /// The holder's fencing token.
        token: u64,
    },
    /// Counters of requests.
    HealthReport {
        /// Random id of the process.
        process_id: u64,
        /// Requests that failed since its start.
        failed: u64,
        /// Requests that ended since its start.
        ended: u64,
    },
}

/// Operator's request about a rolling restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartRequest {
    /// Start a rolling restart.
    Start {
        /// Id: Unix time of the request in milliseconds.
        id: u64,
        /// Maximum number of nodes of one zone that are unavailable at once.
        max_unavailable: u8,
    },
    /// Stop the rolling restart in progress.
    Stop,
}
