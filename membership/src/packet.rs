//! Datagram format: a version, sender and receiver, a sequence number and a body, authenticated with a shared key.

use crate::fragments::Fragment;
use crate::keys::{Keys, MAC_LENGTH};
use crate::member::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Longest datagram, in bytes: fits in one Ethernet frame without IP fragmentation.
pub const DATAGRAM_MAX: usize = 1400;
/// Longest `foca` message, in bytes: a datagram less the other fields of [`Packet`] and the MAC.
pub(crate) const GOSSIP_MAX: usize = DATAGRAM_MAX - 160;
/// Format version. A datagram of another version is rejected and counted; a new format keeps this byte in place.
pub(crate) const VERSION: u8 = 1;
/// First bytes of every datagram and of every state synchronization frame.
const MAGIC: [u8; 2] = *b"mv";
/// Maximum number of tenant rates in one datagram.
pub const RATES_MAX: usize = 90;

/// Content of a datagram; the order of the fields is part of the format.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Hash of the fleet's name. Guards against another fleet that uses the same key by mistake.
    pub fleet_hash: u64,
    /// Process id of the sender.
    pub process_id: u64,
    /// Address at which the sender is reached.
    pub from: SocketAddr,
    /// Address of the receiver. Guards against datagrams that are replayed to another node.
    pub to: SocketAddr,
    /// Sequence number, which increases with each datagram of the sending process.
    pub sequence_number: u64,
    /// Payload.
    pub body: Body,
}

/// Body of a datagram; the order of the variants is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Challenge to a process without a session: a nonce to echo.
    Challenge(u64),
    /// Response to a challenge: the nonce, and the last body sent, which the receiver did not accept.
    ChallengeResponse(u64, Option<Box<Body>>),
    /// Digest of the sender's view, and a SWIM message encoded by `foca`.
    Gossip(u64, Vec<u8>),
    /// Request for the identity of the process at an address.
    IdentityRequest,
    /// Response to an identity request.
    IdentityResponse(Identity),
    /// Notification that another process holds the receiver's name.
    NameConflict(Identity),
    /// Name of the sender, and request rates by the hash of the tenant name, in 1/64 of a request per second.
    Rates(String, Vec<(u64, u16)>),
    /// A fragment of another subsystem's message, and the number of that message at the sending process.
    Fragment(u64, Fragment),
}

/// Reason why a datagram or frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Longer than the maximum.
    Oversized,
    /// Another version of the format.
    Version,
    /// The MAC matches neither key.
    Unauthenticated,
    /// Not a valid message of this format.
    Malformed,
}

/// Encodes and authenticates a message.
pub fn encode<T: Serialize>(keys: &Keys, message: &T) -> Vec<u8> {
    let header = vec![MAGIC[0], MAGIC[1], VERSION];
    // Fails only for types that postcard can't serialize.
    let mut bytes = postcard::to_extend(message, header).unwrap_or_default();
    keys.sign(&mut bytes);
    bytes
}

/// Verifies and decodes a message of at most `max` bytes. The cheap checks come before the MAC.
///
/// # Errors
///
/// Returns the reason for the rejection.
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
    let verified = keys.verify(bytes).ok_or(DecodeError::Unauthenticated)?;
    match postcard::take_from_bytes(&verified[3..]) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::Malformed),
    }
}
