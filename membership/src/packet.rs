//! Datagram format: a version, sender and receiver, a packet number and a body, authenticated with a shared key.

use crate::fragments::Fragment;
use crate::keys::{Keys, MAC_LENGTH};
use crate::member::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest datagram, in bytes: fits one frame of common networks.
pub const DATAGRAM_MAX: usize = 1400;
/// Longest `foca` message, in bytes: leaves room for the envelope.
pub(crate) const GOSSIP_MAX: usize = DATAGRAM_MAX - 160;
/// Version of the format. A datagram of another version is rejected and counted; a new format keeps this position.
pub(crate) const VERSION: u8 = 1;
/// First bytes of every datagram and frame.
const MAGIC: [u8; 2] = *b"mv";
/// Most tenant rates in one datagram.
pub const RATES_MAX: usize = 90;

/// Content of a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Hash of the fleet's name. Guards against another fleet that was given the same key by mistake.
    pub fleet_hash: u64,
    /// Number of the sending process.
    pub process_id: u64,
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Address of the receiver. Guards against datagrams that are replayed to another node.
    pub to: SocketAddr,
    /// Packet number of the sending process; only grows.
    pub sequence_number: u64,
    /// Body.
    pub body: Body,
}

/// Body of a datagram. The order of the variants is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Challenge to a process that has no session here, with a nonce to return.
    Challenge(u64),
    /// Response to a challenge: the nonce, and the last body sent, which was not accepted before.
    ChallengeResponse(u64, Option<Box<Body>>),
    /// Digest of the sender's view, and a SWIM message as `foca` encodes it.
    Gossip(u64, Vec<u8>),
    /// Request for the identity of the process at an address.
    IdentityRequest,
    /// Response to an identity request.
    IdentityResponse(Identity),
    /// Notification that another process has the name of the receiver.
    NameConflict(Identity),
    /// Name of the sender, and rates of tenants by the hash of their names, in 1/64 of a job per second.
    Rates(String, Vec<(u64, u16)>),
    /// Message number of the sending process, and a fragment of that message of another subsystem.
    Fragment(u64, Fragment),
}

/// Reason for which bytes were rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than allowed.
    Oversized,
    /// Of another version of the format.
    Version,
    /// Not authenticated with one of the keys.
    Unauthenticated,
    /// Not a message of this format.
    Malformed,
}

/// Encodes and authenticates a message.
pub fn encode<T: Serialize>(keys: &Keys, message: &T) -> Vec<u8> {
    let start = vec![MAGIC[0], MAGIC[1], VERSION];
    // Fails only for types that can't be serialized at all.
    let mut bytes = postcard::to_extend(message, start).unwrap_or_default();
    keys.sign(&mut bytes);
    bytes
}

/// Verifies and decodes a message of at most `max` bytes. Checks the cheap reasons for rejection first.
///
/// # Errors
///
/// Returns the reason for which the bytes were rejected.
pub fn decode<T: for<'a> Deserialize<'a>>(keys: &Keys, bytes: &[u8], max: usize) -> Result<T, DecodeError> {
    if bytes.len() > max {
        return Err(DecodeError::Oversized);
    }
    let [first, second, version, ..] = *bytes else { return Err(DecodeError::Malformed) };
    if [first, second] != MAGIC || bytes.len() < 3 + MAC_LENGTH {
        return Err(DecodeError::Malformed);
    }
    if version != VERSION {
        return Err(DecodeError::Version);
    }
    let opened = keys.verify(bytes).ok_or(DecodeError::Unauthenticated)?;
    match postcard::take_from_bytes(&opened[3..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::Malformed),
    }
}
