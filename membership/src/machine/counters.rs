//! Counters of a machine. Their JSON keys are part of the management interface.

use crate::packet::DecodeError;
use serde::{Deserialize, Serialize};

/// Rejected datagrams and states, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejections {
    /// Longer than any that a node sends.
    pub oversized: u64,
    /// Of another version of the format.
    pub version: u64,
    /// Not authenticated with one of the keys.
    #[serde(rename = "seal")]
    pub unauthenticated: u64,
    /// Authenticated, but invalid.
    pub malformed: u64,
    /// Of another fleet, or for another node.
    #[serde(rename = "astray")]
    pub misdirected: u64,
    /// Received before, or too old to tell.
    pub replayed: u64,
    /// From a process without a session.
    #[serde(rename = "unproven")]
    pub without_session: u64,
}

impl Rejections {
    /// Counts a message that could not be decoded.
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

/// Counters of one machine.
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
    /// Datagrams and states rejected.
    #[serde(rename = "refused")]
    pub rejected: Rejections,
    /// Full states accepted.
    #[serde(rename = "states")]
    pub full_states: u64,
    /// Messages with tenant rates accepted.
    #[serde(rename = "rates")]
    pub rate_messages: u64,
    /// Members that came to be held dead.
    pub deaths: u64,
    /// How often this node was held dead and rejoined.
    #[serde(rename = "returns")]
    pub rejoins: u64,
    /// Sessions and pending challenges.
    pub sessions: u64,
}
