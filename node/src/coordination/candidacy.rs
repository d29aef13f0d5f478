//! Candidacy: which leases this node requests. It only limits the voters' load; the holder is decided by their grants.

use super::clock::boottime;
use super::rolling_restart::LEASE as RESTART_LEASE;
use super::scheduled_call;
use super::task::Task;
use ::membership::{name_hash, Peer};
use std::time::Duration;

/// Number of nodes that request the same lease; all nodes select the same ones. If every node requested it, the load of
/// the voters would grow with the fleet.
const CANDIDATES_PER_LEASE: usize = 3;

/// Which nodes may hold a lease.
enum Scope {
    Fleet,
    Zone,
}

impl Task {
    /// Name of the lease for watching discovery on behalf of this node's zone.
    pub(super) fn list_lease(&self) -> String {
        format!("lists/{}", self.dependencies.zone)
    }

    /// Requests the leases for which this node is a candidate, and releases the others.
    pub(super) fn update_candidacy(&mut self, peers: &[Peer]) {
        let now = boottime();
        let process_id = self.dependencies.membership.process_id();
        let is_own = |peer: &Peer| peer.name == self.dependencies.name && peer.process_id == process_id;
        let is_serving = self.phase.is_serving() && peers.iter().any(is_own);
        let all: Vec<&Peer> = peers.iter().collect();
        let zone: Vec<&Peer> = peers.iter().filter(|peer| peer.zone == self.dependencies.zone).collect();
        if let Some(list_delivery) = &mut self.dependencies.list_delivery {
            list_delivery.set_peers(&zone);
        }
        for (lease, scope) in self.leases(now) {
            let peers = match scope {
                Scope::Fleet => &all,
                Scope::Zone => &zone,
            };
            // A holder keeps its lease when the fleet grows and other nodes become the candidates.
            let is_holder = self.client.valid_token(now, &lease).is_some();
            if is_serving && (self.is_candidate(&lease, peers) || is_holder) {
                self.client.acquire(now, &lease);
            } else {
                self.client.release(now, &lease);
            }
        }
    }

    /// All leases that this node may request, with their scopes.
    fn leases(&self, now: Duration) -> Vec<(String, Scope)> {
        let settings = &self.dependencies.settings;
        let calls = settings.scheduled_calls.iter().map(scheduled_call::lease_name);
        let mut leases: Vec<(String, Scope)> = calls.map(|lease| (lease, Scope::Fleet)).collect();
        let list_delivery = self.dependencies.list_delivery.as_ref();
        if list_delivery.is_some_and(|lists| !lists.discovery_failed_recently(now)) {
            leases.push((self.list_lease(), Scope::Zone));
        }
        if settings.rolling_restart {
            leases.push((RESTART_LEASE.to_string(), Scope::Fleet));
        }
        leases
    }

    fn is_candidate(&self, lease: &str, peers: &[&Peer]) -> bool {
        let rank = |name: &str| name_hash(&format!("{lease}\n{name}"));
        let own_rank = rank(&self.dependencies.name);
        peers.iter().filter(|peer| rank(&peer.name) < own_rank).count() < CANDIDATES_PER_LEASE
    }
}
