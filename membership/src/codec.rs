//! Codec of `foca`'s messages (`postcard`), which also records other processes that claim the node's own name: `foca`
//! itself takes each such claim for an outdated one.

use crate::member::Identity;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, State};
use std::sync::{Arc, Mutex, PoisonError};

/// Highest identity of another process with the node's name that was seen since the last [`NameConflicts::take`]. Shared
/// with the codec, which `foca` owns and gives no access to.
#[derive(Clone, Default)]
pub(crate) struct NameConflicts(Arc<Mutex<Option<Identity>>>);

impl NameConflicts {
    /// Records an identity, unless a higher one is recorded.
    pub fn add(&self, id: &Identity) {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if last.as_ref().is_none_or(|r| id.supersedes(r)) {
            *last = Some(id.clone());
        }
    }

    /// Returns the recorded identity and forgets it.
    pub fn take(&self) -> Option<Identity> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// A codec that records conflicts over one name.
pub(crate) struct ConflictCodec {
    /// Name of this node.
    pub name: String,
    /// This process.
    pub process_id: u64,
    /// Record of conflicts.
    pub name_conflicts: NameConflicts,
}

impl ConflictCodec {
    fn check_name(&self, id: &Identity) {
        if id.name == self.name && id.process_id != self.process_id {
            self.name_conflicts.add(id);
        }
    }
}

type Result<T> = std::result::Result<T, postcard::Error>;

fn put(value: &impl serde::Serialize, mut buf: impl BufMut) -> Result<()> {
    let bytes = postcard::to_stdvec(value)?;
    if buf.remaining_mut() < bytes.len() {
        return Err(postcard::Error::SerializeBufferFull);
    }
    buf.put_slice(&bytes);
    Ok(())
}

fn take<T: for<'a> serde::Deserialize<'a>>(mut buf: impl Buf) -> Result<T> {
    let (value, rest) = postcard::take_from_bytes(buf.chunk())?;
    let used = buf.remaining() - rest.len();
    buf.advance(used);
    Ok(value)
}

fn validate(id: &Identity) -> Result<()> {
    if id.is_valid() {
        Ok(())
    } else {
        Err(postcard::Error::SerdeDeCustom)
    }
}

impl Codec<Identity> for ConflictCodec {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<()> {
        put(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>> {
        let header: Header<Identity> = take(buf)?;
        validate(&header.src)?;
        self.check_name(&header.src);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<()> {
        put(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>> {
        let member: Member<Identity> = take(buf)?;
        validate(member.id())?;
        if member.state() != State::Down {
            self.check_name(member.id());
        }
        Ok(member)
    }
}
