//! What waits for the disk, and what waits for a write. Nothing that depends on a write leaves before the write is done.

use super::{Voter, VoterAction};
use crate::store::WriteBatch;
use raft::eraftpb::Snapshot;

/// Snapshot that goes into the next write.
pub(super) struct PendingSnapshot {
    pub(super) snapshot: Snapshot,
    /// It is another voter's, and replaces all of the log before it.
    pub(super) replaces_log: bool,
}

/// Write that the embedder carries out.
pub(super) struct PendingWrite {
    number: u64,
    /// Raft's ready state that the write completes.
    pub(super) ready: Option<u64>,
    /// Actions that depend on the write.
    pub(super) actions: Vec<VoterAction>,
}

/// What is to be written.
#[derive(Default)]
pub(super) struct Persistence {
    pub(super) identity_changed: bool,
    pub(super) snapshot: Option<PendingSnapshot>,
    /// Actions that depend on the next write.
    pub(super) after_write: Vec<VoterAction>,
    in_flight: Option<PendingWrite>,
    last_number: u64,
}

impl Persistence {
    pub(super) fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Empty batch for the next write.
    pub(super) fn next_batch(&self) -> WriteBatch {
        WriteBatch { number: self.last_number + 1, ..WriteBatch::default() }
    }

    pub(super) fn start(&mut self, ready: Option<u64>, actions: Vec<VoterAction>) {
        self.last_number += 1;
        self.in_flight = Some(PendingWrite { number: self.last_number, ready, actions });
    }

    /// The write under way, if it has this number.
    pub(super) fn finish(&mut self, number: u64) -> Option<PendingWrite> {
        self.in_flight.take_if(|write| write.number == number)
    }
}

impl Voter {
    /// Continues with what depended on a write.
    pub(super) fn release(&mut self, write: PendingWrite) {
        self.raft_persisted(write.ready);
        write.actions.into_iter().for_each(|action| self.push(action));
    }

    /// Tells Raft that the ready state with this number is on the disk.
    pub(super) fn raft_persisted(&mut self, ready: Option<u64>) {
        if let (Some(raft), Some(ready)) = (self.raft.running_mut(), ready) {
            raft.on_persist_ready(ready);
        }
    }
}
