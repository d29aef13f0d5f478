//! Versions of the list, and their transfer between nodes in chunks.

use super::heartbeat::HOLDER_TIMEOUT;
use super::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta, ListEntry};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of deltas that are kept for nodes that lag behind.
const DELTAS_MAX: usize = 16;
/// Maximum size of the entries in a chunk, in bytes.
const CHUNK_BYTES_MAX: usize = 40 * 1024;
/// Estimated encoding overhead of an entry, in addition to its key and contents.
const ENTRY_OVERHEAD_BYTES: usize = 16;
/// Maximum number of chunks in a transfer.
const CHUNKS_MAX: usize = 256;

/// Delta that is kept for nodes that lag behind.
struct KeptDelta {
    base_version: u64,
    version: u64,
    entries: Vec<ListEntry>,
}

/// List with its most recent deltas.
#[derive(Default)]
pub(super) struct VersionedList {
    version: u64,
    entries: BTreeMap<String, ListEntry>,
    deltas: VecDeque<KeptDelta>,
}

impl VersionedList {
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    pub(super) fn entries(&self) -> impl ExactSizeIterator<Item = &ListEntry> {
        self.entries.values()
    }

    /// Resets the version, because another discovery service assigns the next ones.
    pub(super) fn reset_version(&mut self) {
        self.version = 0;
        self.deltas.clear();
    }

    /// Applies a delta; returns whether it was newer than the list.
    pub(super) fn apply(&mut self, delta: &ListDelta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        if delta.complete {
            self.entries.clear();
            self.deltas.clear();
        } else {
            let entries = delta.entries.clone();
            self.deltas.push_back(KeptDelta { base_version: self.version, version: delta.version, entries });
            if self.deltas.len() > DELTAS_MAX {
                self.deltas.pop_front();
            }
        }
        for entry in &delta.entries {
            if entry.removed {
                self.entries.remove(&entry.key);
            } else {
                self.entries.insert(entry.key.clone(), entry.clone());
            }
        }
        self.version = delta.version;
        true
    }

    /// Returns the version that the last applied delta is based on; 0 if it was a complete list.
    fn base_of(&self, delta: &ListDelta) -> u64 {
        match self.deltas.back() {
            Some(last) if last.version == delta.version && !delta.complete => last.base_version,
            _ => 0,
        }
    }

    /// Returns the entries that changed after a version, if all deltas since then are kept.
    fn changed_since(&self, version: u64) -> Option<Vec<ListEntry>> {
        let first = self.deltas.iter().position(|delta| delta.base_version == version)?;
        let mut changed: BTreeMap<&str, &ListEntry> = BTreeMap::new();
        for delta in self.deltas.iter().skip(first) {
            changed.extend(delta.entries.iter().map(|entry| (entry.key.as_str(), entry)));
        }
        Some(changed.into_values().cloned().collect())
    }
}

/// Identifies the transfer that a chunk belongs to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct TransferId {
    pub(super) token: u64,
    pub(super) base_version: u64,
    pub(super) version: u64,
    /// Number of chunks.
    pub(super) count: u16,
}

/// Received chunks of an incomplete transfer.
pub(super) struct ChunkAssembly {
    id: TransferId,
    chunks: Vec<Option<Vec<ListEntry>>>,
}

impl ListBroadcast {
    /// Handles a chunk whose version was assigned by this node's discovery service.
    pub(super) fn receive_chunk(
        &mut self,
        now: Duration,
        id: TransferId,
        index: u16,
        entries: Vec<ListEntry>,
    ) {
        let applies = id.base_version == 0 || id.base_version == self.list.version();
        if id.version <= self.list.version() || !applies {
            return;
        }
        let Some(entries) = self.assemble(id, index, entries) else { return };
        let delta = ListDelta { version: id.version, complete: id.base_version == 0, entries };
        if self.list.apply(&delta) {
            self.metrics.applied += 1;
            self.actions.push_back(BroadcastAction::Apply(delta.clone()));
            self.forward(id.token, &delta);
            if self.timer.last_received.is_some_and(|at| now - at < HOLDER_TIMEOUT) {
                self.set_polling(false);
            }
        }
    }

    /// Adds a chunk to its transfer, and returns all entries once the transfer is complete.
    fn assemble(&mut self, id: TransferId, index: u16, entries: Vec<ListEntry>) -> Option<Vec<ListEntry>> {
        let count = usize::from(id.count);
        if usize::from(index) >= count || count > CHUNKS_MAX {
            return None;
        }
        if count == 1 {
            return Some(entries);
        }
        if self.assembly.as_ref().is_none_or(|assembly| assembly.id != id) {
            self.assembly = Some(ChunkAssembly { id, chunks: vec![None; count] });
        }
        let assembly = self.assembly.as_mut()?;
        assembly.chunks[usize::from(index)] = Some(entries);
        if assembly.chunks.iter().any(Option::is_none) {
            return None;
        }
        Some(self.assembly.take()?.chunks.into_iter().flatten().flatten().collect())
    }

    /// Sends the delta that was applied last down the tree.
    pub(super) fn forward(&mut self, token: u64, delta: &ListDelta) {
        let base_version = self.list.base_of(delta);
        for to in self.children() {
            self.send_chunks(to, token, base_version, &delta.entries);
        }
    }

    /// Sends the changes since a version, or the complete list if not all deltas since then are kept.
    pub(super) fn send_since(&mut self, to: SocketAddr, version: u64) {
        let token = self.holder.token;
        let changed = if version == 0 { None } else { self.list.changed_since(version) };
        match changed {
            Some(entries) => self.send_chunks(to, token, version, &entries),
            None => {
                let entries: Vec<ListEntry> = self.list.entries().cloned().collect();
                self.send_chunks(to, token, 0, &entries);
            }
        }
    }

    /// Sends entries in chunks. Sends nothing if there are too many; the nodes then poll discovery.
    fn send_chunks(&mut self, to: SocketAddr, token: u64, base_version: u64, entries: &[ListEntry]) {
        let chunks = split(entries);
        if chunks.len() > CHUNKS_MAX {
            return;
        }
        let (source, version) = (self.source, self.list.version());
        let count = chunks.len() as u16;
        for (index, entries) in (0..count).zip(chunks) {
            let chunk =
                BroadcastMessage::Chunk { token, source, base_version, version, index, count, entries };
            self.send(to, chunk);
        }
    }
}

/// Splits entries into chunks of at most [`CHUNK_BYTES_MAX`]; a larger entry gets a chunk of its own.
fn split(entries: &[ListEntry]) -> Vec<Vec<ListEntry>> {
    let mut chunks = Vec::new();
    let mut chunk: Vec<ListEntry> = Vec::new();
    let mut remaining_bytes = CHUNK_BYTES_MAX;
    for entry in entries {
        let size = entry.bytes.len() + entry.key.len() + ENTRY_OVERHEAD_BYTES;
        if size > remaining_bytes && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            remaining_bytes = CHUNK_BYTES_MAX;
        }
        remaining_bytes = remaining_bytes.saturating_sub(size);
        chunk.push(entry.clone());
    }
    chunks.push(chunk);
    chunks
}
