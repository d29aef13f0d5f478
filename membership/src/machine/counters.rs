//! Counters of a machine. Their JSON keys are part of the management interface.

use crate::packet::DecodeError;
use serde::{Deserialize, Serialize};

/// Rejected datagrams and full states, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// Longer than the maximum.
    pub oversized: u64,
    /// Another version of the format.
    pub version: u64,
    /// The MAC matches neither key.
    #[serde(rename = "seal")]
    pub unauthenticated: u64,
    /// Authentic, but invalid.
    pub malformed: u64,
    /// From another fleet, or addressed to another node.
    #[serde(rename = "astray")]
    pub misdirected: u64,
    /// Duplicate, or older than the replay window.
    pub replayed: u64,
    /// From a process without a session.
    #[serde(rename = "unproven")]
    pub without_session: u64,
}

impl Rejections {
    /// Counts a datagram or frame that could not be decoded.
    pub(crate) fn count(&mut self, error: DecodeError) {
        let counter = match error {
            DecodeError::Oversized => &mut self.oversized,
            DecodeError::Version => &mut self.version,
            DecodeError::Unauthenticated => &mut self.unauthenticated,
            DecodeError::Malformed => &mut self.malformed,
        };
        *counter += 1;
    }
}

/// Protocol counters of one machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams accepted.
    pub received: u64,
    /// Bytes of the datagrams accepted.
    pub received_bytes: u64,
    /// Datagrams and full states rejected.
    #[serde(rename = "refused")]
    pub rejected: Rejections,
    /// Full states accepted.
    #[serde(rename = "states")]
    pub full_states: u64,
    /// Messages with tenant rates accepted.
    #[serde(rename = "rates")]
    pub rate_messages: u64,
    /// Members declared dead.
    pub deaths: u64,
    /// How often this node rejoined.
    #[serde(rename = "returns")]
    pub rejoins: u64,
    /// Sessions and pending challenges.
    pub sessions: u64,
}
