//! Writes and reads `foca`'s messages with `postcard`, and notes who else claims the node's own name: `foca` itself
//! takes every such word for an old one.

use crate::member::Identity;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, State};
use std::sync::{Arc, Mutex, PoisonError};

/// The strongest other process of the node's name that was told to be there since this was looked at last. `foca` owns
/// the codec and gives no way to it.
#[derive(Clone, Default)]
pub(crate) struct Sightings(Arc<Mutex<Option<Identity>>>);

impl Sightings {
    pub fn add(&self, id: &Identity) {
        let mut last = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if last.as_ref().is_none_or(|r| id.beats(r)) {
            *last = Some(id.clone());
        }
    }

    pub fn take(&self) -> Option<Identity> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// A codec that looks out for one name.
pub(crate) struct Watchful {
    pub name: String,
    pub boot: u64,
    pub sightings: Sightings,
}

impl Watchful {
    fn sight(&self, id: &Identity) {
        if id.name == self.name && id.boot != self.boot {
            self.sightings.add(id);
        }
    }
}

type Result<T> = std::result::Result<T, postcard::Error>;

fn put(what: &impl serde::Serialize, mut buf: impl BufMut) -> Result<()> {
    let bytes = postcard::to_stdvec(what)?;
    if buf.remaining_mut() < bytes.len() {
        return Err(postcard::Error::SerializeBufferFull);
    }
    buf.put_slice(&bytes);
    Ok(())
}

fn take<T: for<'a> serde::Deserialize<'a>>(mut buf: impl Buf) -> Result<T> {
    let (what, rest) = postcard::take_from_bytes(buf.chunk())?;
    let used = buf.remaining() - rest.len();
    buf.advance(used);
    Ok(what)
}

fn sound(id: &Identity) -> Result<()> {
    if id.sound() {
        Ok(())
    } else {
        Err(postcard::Error::SerdeDeCustom)
    }
}

impl Codec<Identity> for Watchful {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Identity>, buf: impl BufMut) -> Result<()> {
        put(header, buf)
    }

    fn decode_header(&mut self, buf: impl Buf) -> Result<Header<Identity>> {
        let header: Header<Identity> = take(buf)?;
        sound(&header.src)?;
        self.sight(&header.src);
        Ok(header)
    }

    fn encode_member(&mut self, member: &Member<Identity>, buf: impl BufMut) -> Result<()> {
        put(member, buf)
    }

    fn decode_member(&mut self, buf: impl Buf) -> Result<Member<Identity>> {
        let member: Member<Identity> = take(buf)?;
        sound(member.id())?;
        if member.state() != State::Down {
            self.sight(member.id());
        }
        Ok(member)
    }
}
