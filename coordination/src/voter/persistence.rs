//! Pending writes, and the actions that depend on them. Such an action is returned only after its write has completed.

use super::{Voter, VoterAction};
use crate::store::WriteBatch;
use raft::eraftpb::Snapshot;

/// Snapshot to include in the next write.
pub(super) struct PendingSnapshot {
    pub(super) snapshot: Snapshot,
    /// Whether the snapshot replaces the whole log, not only the entries that it covers.
    pub(super) replaces_log: bool,
}

/// Write that the embedder is carrying out.
pub(super) struct PendingWrite {
    number: u64,
    /// Number of the Raft ready state that the write makes durable.
    pub(super) ready: Option<u64>,
    /// Actions that depend on the write.
    pub(super) actions: Vec<VoterAction>,
}

/// Changes that are to be written, and the write in progress.
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

    /// Returns an empty batch for the next write.
    pub(super) fn next_batch(&self) -> WriteBatch {
        WriteBatch { number: self.last_number + 1, ..WriteBatch::default() }
    }

    pub(super) fn start(&mut self, ready: Option<u64>, actions: Vec<VoterAction>) {
        self.last_number += 1;
        self.in_flight = Some(PendingWrite { number: self.last_number, ready, actions });
    }

    /// Takes the write in progress, if it has this number.
    pub(super) fn finish(&mut self, number: u64) -> Option<PendingWrite> {
        self.in_flight.take_if(|write| write.number == number)
    }
}

impl Voter {
    /// Queues the actions that depend on a write, after its completion.
    pub(super) fn complete_write(&mut self, write: PendingWrite) {
        self.raft_persisted(write.ready);
        write.actions.into_iter().for_each(|action| self.push(action));
    }

    /// Notifies Raft that the ready state with this number is durable.
    pub(super) fn raft_persisted(&mut self, ready: Option<u64>) {
        if let (Some(raft), Some(ready)) = (self.raft.running_mut(), ready) {
            raft.on_persist_ready(ready);
        }
    }
}
