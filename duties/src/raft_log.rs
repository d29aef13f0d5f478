//! In-memory Raft log, as the Raft library reads it. Snapshots bound its length; [`crate::store`] keeps it on the disk.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// A snapshot and the entries after it.
#[derive(Default)]
pub(crate) struct RaftLog {
    pub hard_state: HardState,
    pub conf_state: ConfState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl RaftLog {
    /// Returns the index of the snapshot.
    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// Appends entries; they replace the ones that they conflict with.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.base() + 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log by a snapshot of another voter.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(meta.index);
        self.hard_state.term = self.hard_state.term.max(meta.term);
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to the snapshot's index by the snapshot.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let covered = (snapshot.get_metadata().index - self.base()) as usize;
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
        if low <= self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let position = |index: u64| (index - self.base() - 1) as usize;
        let mut entries = self.entries[position(low)..position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.base() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.base() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let position = (index - self.base() - 1) as usize;
        self.entries.get(position).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.base() + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if self.base() < request_index || self.base() == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
