//! Table of the other members: their recorded status, and a digest of those that are present.

use super::action::MembershipEvent;
use crate::member::{Identity, MemberInfo, MemberStatus};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Entry of the table.
pub(super) struct KnownMember {
    /// Identity in the latest incarnation.
    pub identity: Identity,
    /// Status; a suspect member is recorded as alive.
    pub status: MemberStatus,
    /// Local time since which the member has this status.
    pub since: Duration,
}

impl KnownMember {
    fn is_present_at(&self, address: SocketAddr) -> bool {
        self.identity.address == address && self.status.is_present()
    }
}

/// The other members, by name.
#[derive(Default)]
pub(super) struct MemberTable {
    members: BTreeMap<String, KnownMember>,
    present_count: usize,
    /// Wrapping sum of the digests of the present members, so that a change updates it in constant time.
    digest: u64,
    /// Whether any member was ever present.
    joined: bool,
    /// Local time of the last change.
    changed_at: Duration,
}

impl MemberTable {
    /// Creates an empty table at the local time `now`.
    pub fn new(now: Duration) -> MemberTable {
        MemberTable { changed_at: now, ..MemberTable::default() }
    }

    /// Returns the member of a name.
    pub fn get(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name)
    }

    /// Returns the member of a name if it is present.
    pub fn get_present(&self, name: &str) -> Option<&KnownMember> {
        self.members.get(name).filter(|member| member.status.is_present())
    }

    /// Iterates over all members, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &KnownMember> {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Number of members that are present.
    pub fn present_count(&self) -> usize {
        self.present_count
    }

    /// Whether any member was ever present.
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Local time of the last change.
    pub fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Digest of the present members and of `own`: equal for equal views.
    pub fn digest_with(&self, own: &Identity) -> u64 {
        self.digest.wrapping_add(identity_digest(own))
    }

    /// Whether a present member has this address.
    pub fn has_present_at(&self, address: SocketAddr) -> bool {
        self.iter().any(|member| member.is_present_at(address))
    }

    /// Whether the table holds this identity with this status.
    pub fn is_recorded(&self, id: &Identity, status: MemberStatus) -> bool {
        self.get(&id.name).is_some_and(|known| known.identity == *id && known.status == status)
    }

    /// Records the status of a member; for one that is not present, the status began `age` ago. Returns the event to
    /// report, if any.
    pub fn record(
        &mut self,
        now: Duration,
        id: Identity,
        status: MemberStatus,
        age: Duration,
    ) -> Option<MembershipEvent> {
        if self.is_recorded(&id, status) {
            return None;
        }
        self.changed_at = now;
        let previous = self.members.remove(&id.name);
        if let Some(old) = previous.as_ref().filter(|old| old.status.is_present()) {
            self.remove_from_digest(&old.identity);
        }
        let same_status = previous.as_ref().filter(|old| old.status == status);
        let event = match status {
            MemberStatus::Dead => same_status.is_none().then(|| MembershipEvent::Down(id.clone())),
            MemberStatus::Left => same_status.is_none().then(|| MembershipEvent::Left(id.clone())),
            _ => Some(MembershipEvent::Up(id.clone())),
        };
        let since = if status.is_present() {
            self.joined = true;
            self.present_count += 1;
            self.digest = self.digest.wrapping_add(identity_digest(&id));
            // A new incarnation with the same status does not reset the time since which it has that status.
            same_status.map_or(now, |old| old.since)
        } else {
            now.saturating_sub(age)
        };
        self.members.insert(id.name.clone(), KnownMember { identity: id, status, since });
        event
    }

    /// Removes the members whose names are not in `names`, and returns the removed names in order.
    pub fn retain_names(&mut self, now: Duration, names: &HashSet<&str>) -> Vec<String> {
        let removed = self.members.keys().filter(|name| !names.contains(name.as_str()));
        let removed: Vec<String> = removed.cloned().collect();
        for name in &removed {
            if let Some(old) = self.members.remove(name).filter(|old| old.status.is_present()) {
                self.remove_from_digest(&old.identity);
            }
            self.changed_at = now;
        }
        removed
    }

    fn remove_from_digest(&mut self, id: &Identity) {
        self.present_count -= 1;
        self.digest = self.digest.wrapping_sub(identity_digest(id));
    }
}

/// Contribution of an identity to the view digest.
fn identity_digest(id: &Identity) -> u64 {
    let x = id.hash ^ id.incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ x >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ x >> 29
}

/// Creates the view entry of a member whose status began `age` ago.
pub(super) fn member_info(id: &Identity, status: MemberStatus, age: Duration) -> MemberInfo {
    MemberInfo {
        name: id.name.clone(),
        zone: id.zone.clone(),
        address: id.address,
        incarnation: id.incarnation,
        process_id: id.process_id,
        status,
        status_age_ms: crate::member::millis(age),
    }
}
