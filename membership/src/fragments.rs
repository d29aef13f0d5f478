//! Fragmentation of messages of other subsystems into datagrams, and reassembly in bounded memory.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::Duration;

/// Longest payload of a fragment, in bytes.
pub const FRAGMENT_MAX: usize = 1200;
/// Longest message of another subsystem, in bytes.
pub const MESSAGE_MAX: usize = 64 * 1024;
/// Maximum number of incomplete messages; the oldest is evicted for a new one.
pub const INCOMPLETE_MAX: usize = 32;
/// Age from which an incomplete message is dropped if the table is full.
const REASSEMBLY_TIMEOUT: Duration = Duration::from_secs(2);

/// One fragment of a message. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fragment {
    /// Index in the message, from 0.
    pub index: u16,
    /// Number of fragments of the message.
    pub count: u16,
    /// Payload.
    pub bytes: Vec<u8>,
}

/// Splits a message into fragments, in order. An empty message becomes one empty fragment.
pub fn split(message: &[u8]) -> impl Iterator<Item = Fragment> + '_ {
    let count = message.len().div_ceil(FRAGMENT_MAX).max(1);
    (0..count).map(move |index| {
        let start = index * FRAGMENT_MAX;
        let end = message.len().min(start + FRAGMENT_MAX);
        Fragment { index: index as u16, count: count as u16, bytes: message[start..end].to_vec() }
    })
}

struct IncompleteMessage {
    fragments: Vec<Option<Vec<u8>>>,
    missing: usize,
    started_at: Duration,
}

/// Incomplete messages, by process id of the sender and message number.
///
/// Memory is bounded against any input: at most [`INCOMPLETE_MAX`] messages of [`MESSAGE_MAX`] bytes are held.
#[derive(Default)]
pub struct Reassembler(HashMap<(u64, u64), IncompleteMessage>);

impl Reassembler {
    /// Adds a fragment, and returns the message if that completes it. An invalid or duplicate fragment is ignored.
    pub fn insert(
        &mut self,
        now: Duration,
        process_id: u64,
        message_number: u64,
        fragment: Fragment,
    ) -> Option<Vec<u8>> {
        let Fragment { index, count, bytes } = fragment;
        let (index, count) = (usize::from(index), usize::from(count));
        if index >= count || count > MESSAGE_MAX.div_ceil(FRAGMENT_MAX) || bytes.len() > FRAGMENT_MAX {
            return None;
        }
        if count == 1 {
            return Some(bytes);
        }
        let key = (process_id, message_number);
        if !self.0.contains_key(&key) {
            self.evict_for_insert(now);
        }
        let empty = || IncompleteMessage { fragments: vec![None; count], missing: count, started_at: now };
        let incomplete = self.0.entry(key).or_insert_with(empty);
        let slot = incomplete.fragments.get_mut(index).filter(|slot| slot.is_none())?;
        *slot = Some(bytes);
        incomplete.missing -= 1;
        if incomplete.missing > 0 {
            return None;
        }
        let complete = self.0.remove(&key)?;
        Some(complete.fragments.into_iter().flatten().flatten().collect())
    }

    /// Number of incomplete messages.
    pub fn incomplete_count(&self) -> usize {
        self.0.len()
    }

    /// If the table is full, drops expired messages, and the oldest one if none has expired.
    fn evict_for_insert(&mut self, now: Duration) {
        if self.0.len() < INCOMPLETE_MAX {
            return;
        }
        self.0.retain(|_, incomplete| now.saturating_sub(incomplete.started_at) < REASSEMBLY_TIMEOUT);
        if self.0.len() < INCOMPLETE_MAX {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(key, incomplete)| (incomplete.started_at, **key));
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.0.remove(&key);
        }
    }
}
