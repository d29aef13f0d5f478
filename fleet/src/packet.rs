//! What one datagram holds: a version, who sends it to whom as its which one, and what it says.

use crate::keys::{Keys, TAG};
use crate::member::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest datagram, in bytes: it fits one frame of any usual network.
pub const DATAGRAM_MAX: usize = 1400;
/// What `foca` may fill: the rest is for the frame round it.
pub(crate) const GOSSIP_MAX: usize = DATAGRAM_MAX - 160;
/// The version of this format. A datagram of another one is refused and counted; a new format keeps this place.
pub(crate) const VERSION: u8 = 1;
/// The first bytes of every datagram and frame.
const MAGIC: [u8; 2] = *b"mv";
/// The bytes of one piece of a word.
pub(crate) const PIECE: usize = 1200;
/// The longest word of another subsystem, in bytes.
pub const WORD_MAX: usize = 64 * 1024;
/// The rates of tenants in one message at most.
pub const RATES_MAX: usize = 90;

/// A datagram's content.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    /// Guards against another fleet with the same key by mistake: a hash of its name.
    pub fleet: u64,
    /// The process that sends it.
    pub boot: u64,
    /// Where that one is reached.
    pub from: SocketAddr,
    /// For whom it is. Guards against datagrams that are played back to another node.
    pub to: SocketAddr,
    /// Which one of those that this process sends; only grows.
    pub number: u64,
    /// What it says.
    pub body: Body,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// 'Show that your datagrams are new': asked of a process that has no session here.
    Challenge(u64),
    /// The answer, with the number asked for, and the last message, which did not count before that.
    Proof(u64, Option<Box<Body>>),
    /// SWIM, as `foca` writes it, with a digest of the sender's view.
    Gossip(u64, Vec<u8>),
    /// 'Who are you?': asked of addresses that are known and names that are not.
    Ask,
    /// The answer.
    Here(Identity),
    /// 'Another one has your name.'
    Rival(Identity),
    /// Rates of tenants, by a hash of their names, in 64ths of a job a second.
    Rates(String, Vec<(u64, u16)>),
    /// A piece of a word of another subsystem: which word of this process, which piece of how many.
    Piece(u64, u16, u16, Vec<u8>),
}

/// Why bytes were refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Bad {
    Oversized,
    Version,
    Seal,
    Malformed,
}

/// Bytes on the wire, sealed.
pub(crate) fn pack<T: Serialize>(keys: &Keys, what: &T) -> Vec<u8> {
    let start = vec![MAGIC[0], MAGIC[1], VERSION];
    // Fails for types that can't be written at all, and none of ours is one.
    let mut bytes = postcard::to_extend(what, start).unwrap_or_default();
    keys.seal(&mut bytes);
    bytes
}

/// What these bytes say, if one of the keys sealed them. Cheap reasons to refuse come first.
pub(crate) fn unpack<T: for<'a> Deserialize<'a>>(keys: &Keys, bytes: &[u8], most: usize) -> Result<T, Bad> {
    if bytes.len() > most {
        return Err(Bad::Oversized);
    }
    let [first, second, version, ..] = *bytes else { return Err(Bad::Malformed) };
    if [first, second] != MAGIC || bytes.len() < 3 + TAG {
        return Err(Bad::Malformed);
    }
    if version != VERSION {
        return Err(Bad::Version);
    }
    let message = keys.open(bytes).ok_or(Bad::Seal)?;
    match postcard::take_from_bytes(&message[3..]) {
        Ok((what, [])) => Ok(what),
        _ => Err(Bad::Malformed),
    }
}

/// A hash of a name that is the same at every node: FNV-1a.
pub fn hash(text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}
