//! What `raft` reads of its log: all of it is in memory, and bounded by the snapshots. What is durable is [`crate::store`]'s
//! business; it is written before anything that hangs on it leaves.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// A log: a snapshot, and the entries behind it.
#[derive(Default)]
pub(crate) struct Log {
    pub hard_state: HardState,
    pub conf_state: ConfState,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl Log {
    /// The index of the snapshot.
    pub fn base(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    /// Takes entries in, in place of those that they contradict.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let keep = first.index.saturating_sub(self.base() + 1) as usize;
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    /// Begins anew from a snapshot that another one sent.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.hard_state.commit = self.hard_state.commit.max(meta.index);
        self.hard_state.term = self.hard_state.term.max(meta.term);
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Puts a snapshot of what was applied in place of the entries up to there.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let drop = (snapshot.get_metadata().index - self.base()) as usize;
        self.entries.drain(..drop.min(self.entries.len()));
        self.snapshot = snapshot;
    }
}

impl Storage for Log {
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
        let part = |index: u64| (index - self.base() - 1) as usize;
        let mut entries = self.entries[part(low)..part(high)].to_vec();
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
        let at = (index - self.base() - 1) as usize;
        self.entries.get(at).map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
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
