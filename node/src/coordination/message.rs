//! Messages of coordination between nodes. They are encoded by `postcard`: their bytes depend on the order of variants and
//! fields.

use ::coordination::{BroadcastMessage, Message};
use serde::{Deserialize, Serialize};

/// Message between nodes.
#[derive(Serialize, Deserialize)]
pub enum NodeMessage {
    /// Between voters, and between clients and voters.
    Coordination(Message),
    /// Between the nodes of a zone.
    Lists(BroadcastMessage),
    /// Between the holder of the rolling restart's lease and the nodes.
    RollingRestart(RestartMessage),
}

/// Message of a rolling restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartMessage {
    /// Request of an operator, to the holder.
    Requested(RestartRequest),
    /// Request to a process to drain and end.
    Restart {
        /// Token of the holder.
        token: u64,
        /// Id of the process.
        process_id: u64,
    },
    /// Request for the counters of jobs.
    HealthQuery {
        /// Token of the holder.
        token: u64,
    },
    /// Counters of jobs.
    HealthReport {
        /// Id of the process.
        process_id: u64,
        /// Jobs that failed since its start.
        failed: u64,
        /// Jobs that ended since its start.
        ended: u64,
    },
}

/// Request of an operator for a rolling restart.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum RestartRequest {
    /// Start a rolling restart.
    Start {
        /// Id: Unix time of the request in milliseconds.
        id: u64,
        /// Most nodes of one zone that may be unavailable at once.
        max_unavailable: u8,
    },
    /// Stop the rolling restart.
    Stop,
}
