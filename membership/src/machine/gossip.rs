//! Gossip: SWIM messages of other members, and the view digests that accompany them.

use super::{Action, Machine, Participation};
use crate::member::Identity;
use crate::packet::Body;
use std::net::SocketAddr;
use std::time::Duration;

/// Minimum interval between state synchronizations that this node initiates.
const SYNC_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which two views may differ before a state synchronization: gossip needs some rounds to converge.
const DIVERGENCE_MAX: Duration = Duration::from_secs(3);

impl Machine {
    /// Handles a SWIM message and the digest of the sender's view.
    pub(super) fn handle_gossip(
        &mut self,
        now: Duration,
        process_id: u64,
        from: SocketAddr,
        digest: u64,
        data: &[u8],
    ) {
        if matches!(self.participation, Participation::Yielded(_)) {
            return;
        }
        let Some(source) = claimed_sender(data).filter(|id| id.process_id == process_id && id.is_valid())
        else {
            self.counters.rejected.malformed += 1;
            return;
        };
        if source.name == self.config.name {
            return self.note_name_conflict(source);
        }
        if let Some(member) = self.members.get(&source.name) {
            if member.identity.process_id != process_id && member.identity.supersedes(&source) {
                // The rest of the message is ignored: the sender may be a suspended process that was replaced
                // meanwhile.
                let current = member.identity.clone();
                return self.send(now, from, Body::NameConflict(current));
            }
        }
        // Fails if the message can't be decoded.
        if self.foca.handle_data(data, &mut self.effects).is_err() {
            self.counters.rejected.malformed += 1;
        }
        self.compare_digests(now, source.address, digest);
    }

    /// Requests a state synchronization with the node at an address, unless the last one was too recent.
    pub(super) fn start_sync(&mut self, now: Duration, to: SocketAddr) {
        if now >= self.next_sync_at && to != self.config.advertise {
            self.next_sync_at = now + SYNC_INTERVAL;
            self.actions.push_back(Action::SyncState { to });
        }
    }

    /// Starts a state synchronization if the views have differed for too long. Otherwise they would differ forever if
    /// the gossip about a change was lost.
    fn compare_digests(&mut self, now: Duration, peer: SocketAddr, digest: u64) {
        if digest == self.view_digest() {
            self.diverged_since = None;
            return;
        }
        let since = *self.diverged_since.get_or_insert(now);
        let is_settled = now.saturating_sub(self.members.changed_at()) >= DIVERGENCE_MAX / 2;
        if now - since >= DIVERGENCE_MAX && is_settled {
            self.start_sync(now, peer);
        }
    }
}

/// Identity of the sender as a SWIM message claims it. The caller must compare it with the process that sent the
/// datagram, so that no member can impersonate another.
fn claimed_sender(data: &[u8]) -> Option<Identity> {
    let header = postcard::take_from_bytes::<foca::Header<Identity>>(data);
    header.ok().map(|(header, _)| header.src)
}
