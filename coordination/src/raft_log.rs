//! In-memory Raft log that the Raft library reads. Snapshots bound its length; [`crate::store`] makes it durable.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Snapshot and the entries that follow it.
#[derive(Default)]
pub(crate) struct RaftLog {
    pub hard_state: HardState,
    pub conf_state: ConfState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// Returns the index of the snapshot.
    pub fn base_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn end_index(&self) -> u64 {
        self.base_index() + self.entries.len() as u64
    }

    /// Appends entries, replacing existing ones from the first new index on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.base_index() + 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log with a snapshot from another voter.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(meta.index);
        self.hard_state.term = self.hard_state.term.max(meta.term);
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to the snapshot's index with the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = (snapshot.get_metadata().index - self.base_index()) as usize;
        self.entries.drain(..covered.min(self.entries.len()));
        self.snapshot = snapshot;
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low <= self.base_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.end_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let position = |index: u64| (index - self.base_index() - 1) as usize;
        let mut entries = self.entries[position(low)..position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let position = (index - self.base_index() - 1) as usize;
        self.entries.get(position).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base_index() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.end_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if self.base_index() < request_index || self.base_index() == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
