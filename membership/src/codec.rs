//! Codec for `foca` messages (`postcard`). It also records other processes that claim this node's name, which `foca`
//! itself treats as outdated identities.

use crate::member::Identity;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, State};
use std::sync::{Arc, Mutex, PoisonError};

/// Highest identity of another process with this node's name seen since the last [`NameConflicts::take`]. Shared with
/// the codec, which `foca` owns and does not expose.
#[derive(Clone, Default)]
pub(crate) struct NameConflicts(Arc<Mutex<Option<Identity>>>);

impl NameConflicts {
    /// Records an identity, unless a higher one is already recorded.
    pub fn add(&self, id: &Identity) {
        let mut highest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if highest.as_ref().is_none_or(|recorded| id.supersedes(recorded)) {
            *highest = Some(id.clone());
        }
    }

    /// Removes and returns the recorded identity.
    pub fn take(&self) -> Option<Identity> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Codec that records conflicts over this node's name.
pub(crate) struct NameConflictCodec {
    /// Name of this node.
    pub name: String,
    /// Random id of this process.
    pub process_id: u64,
    /// Conflicts found, shared with the machine.
    pub name_conflicts: NameConflicts,
}

impl NameConflictCodec {
    fn check_name(&self, id: &Identity) {
        if id.name == self.name && id.process_id != self.process_id {
            self.name_conflicts.add(id);
        }
    }
}

type Result<T> = std::result::Result<T, postcard::Error>;

fn encode(value: &impl serde::Serialize, mut buf: impl BufMut) -> Result<()> {
    let bytes = postcard::to_stdvec(value)?;
    if buf.remaining_mut() < bytes.len() {
        return Err(postcard::Error::SerializeBufferFull);
    }
    buf.put_slice(&bytes);
    Ok(())
}

fn decode<T: for<'a> serde::Deserialize<'a>>(mut buf: impl Buf) -> Result<T> {
    let (value, rest) = postcard::take_from_bytes(buf.chunk())?;
    let used = buf.remaining() - rest.len();
    buf.advance(used);
    Ok(value)
}

fn validate_identity(id: &Identity) -> Result<()> {
    if id.is_valid() {
        Ok(())
    } else {
        Err(postcard::Error::SerdeDeCustom)
    }
}

impl Codec<Identity> for NameConflictCodec {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<()> {
        encode(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>> {
        let header: Header<Identity> = decode(buf)?;
        validate_identity(&header.src)?;
        self.check_name(&header.src);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<()> {
        encode(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>> {
        let member: Member<Identity> = decode(buf)?;
        validate_identity(member.id())?;
        if member.state() != State::Down {
            self.check_name(member.id());
        }
        Ok(member)
    }
}
