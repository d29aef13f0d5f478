//! Lease table: the replicated state machine of the voters. It is deterministic and reads no clock, so the same commands in
//! the same order produce the same table at each voter.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of leases, which bounds the size of the table and its snapshots.
pub const LEASES_MAX: usize = 64;
/// Maximum number of changes in the history.
pub const HISTORY_MAX: usize = 32;
/// Maximum size of the state that a holder may save for the next one, in bytes.
pub const STATE_MAX: usize = 512;

/// Process that holds a lease. A restarted process is a different holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the node.
    pub name: String,
    /// Id of the process, chosen at random at each start.
    #[serde(rename = "boot")]
    pub process_id: u64,
}

/// Record of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Current holder; `None` after a release. The holder of an expired lease remains until the next grant.
    pub holder: Option<Holder>,
    /// Fencing token of the last grant.
    pub token: u64,
    /// Unix time of the grant in milliseconds, by the clock of the leader that granted it; for display only.
    #[serde(rename = "since_ms")]
    pub granted_at_ms: u64,
    /// State that the previous holder saved for the next one.
    #[serde(rename = "left")]
    pub state: Vec<u8>,
}

/// Name and address of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMember {
    /// Name of the node.
    pub name: String,
    /// Address at which the other nodes reach the voter.
    pub address: SocketAddr,
}

/// Kind of a change to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The lease was granted.
    Granted,
    /// The holder released the lease.
    #[serde(rename = "freed")]
    Released,
}

/// Change to a lease, as recorded in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub lease: String,
    /// Kind of the change.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
    /// Name of the node that acquired or released the lease.
    #[serde(rename = "name")]
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Unix time in milliseconds by the leader's clock.
    pub at_ms: u64,
}

/// Command in the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Grant a lease.
    Grant {
        /// Name of the lease.
        lease: String,
        /// The new holder.
        holder: Holder,
        /// Token of the previous grant. The command is ignored if another grant was applied in the meantime.
        previous_token: u64,
        /// Unix time in milliseconds by the leader's clock.
        at_ms: u64,
    },
    /// Release a lease.
    Release {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the holder.
        token: u64,
        /// Unix time in milliseconds by the leader's clock.
        at_ms: u64,
    },
    /// Save state for the next holder.
    SaveState {
        /// Name of the lease.
        lease: String,
        /// Fencing token of the holder.
        token: u64,
        /// The state.
        state: Vec<u8>,
    },
}

/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The lease was granted.
    Granted {
        /// Name of the lease.
        lease: String,
        /// The new fencing token.
        token: u64,
    },
    /// The lease was released.
    Released {
        /// Name of the lease.
        lease: String,
    },
    /// The state was saved.
    StateSaved {
        /// Name of the lease.
        lease: String,
    },
    /// The command was ignored: its token does not match the lease, or a limit is reached.
    Ignored {
        /// Name of the lease.
        lease: String,
    },
}

/// Leases and voters of a cluster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Last fencing token that was granted for any lease.
    pub last_token: u64,
    /// All leases that have ever been granted, by name.
    #[serde(rename = "held")]
    pub leases: BTreeMap<String, LeaseRecord>,
    /// Voters by disk id.
    #[serde(rename = "seats")]
    pub voters: BTreeMap<u64, VoterMember>,
    /// Most recent changes, oldest first.
    pub history: VecDeque<LeaseChange>,
}

impl LeaseTable {
    /// Returns the fencing token of a lease's last grant; 0 if it was never granted.
    pub fn token(&self, lease: &str) -> u64 {
        self.leases.get(lease).map_or(0, |record| record.token)
    }

    /// Returns the holder of a lease according to the log, which does not record expirations.
    pub fn holder(&self, lease: &str) -> Option<&Holder> {
        self.leases.get(lease)?.holder.as_ref()
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: Command) -> ApplyResult {
        match command {
            Command::Grant { lease, holder, previous_token, at_ms } => {
                self.grant(lease, holder, previous_token, at_ms)
            }
            Command::Release { lease, token, at_ms } => self.release(lease, token, at_ms),
            Command::SaveState { lease, token, state } => self.save_state(lease, token, state),
        }
    }

    fn grant(&mut self, lease: String, holder: Holder, previous_token: u64, at_ms: u64) -> ApplyResult {
        let has_capacity = self.leases.contains_key(&lease) || self.leases.len() < LEASES_MAX;
        if self.token(&lease) != previous_token || !has_capacity {
            return ApplyResult::Ignored { lease };
        }
        // The first token is at least the current time, so that tokens keep increasing for fencing guards that remember the
        // old ones when all voters are lost and a new cluster is formed.
        self.last_token = if self.last_token == 0 { at_ms.max(1) } else { self.last_token + 1 };
        let token = self.last_token;
        let holder_name = holder.name.clone();
        let state = self.leases.remove(&lease).map_or(Vec::new(), |record| record.state);
        let record = LeaseRecord { holder: Some(holder), token, granted_at_ms: at_ms, state };
        self.leases.insert(lease.clone(), record);
        let kind = ChangeKind::Granted;
        self.add_to_history(LeaseChange { lease: lease.clone(), kind, holder: holder_name, token, at_ms });
        ApplyResult::Granted { lease, token }
    }

    fn release(&mut self, lease: String, token: u64, at_ms: u64) -> ApplyResult {
        let record = self.leases.get_mut(&lease).filter(|record| record.token == token);
        let Some(holder) = record.and_then(|record| record.holder.take()) else {
            return ApplyResult::Ignored { lease };
        };
        let kind = ChangeKind::Released;
        self.add_to_history(LeaseChange { lease: lease.clone(), kind, holder: holder.name, token, at_ms });
        ApplyResult::Released { lease }
    }

    fn save_state(&mut self, lease: String, token: u64, state: Vec<u8>) -> ApplyResult {
        let record = self.leases.get_mut(&lease).filter(|r| r.token == token && r.holder.is_some());
        match record {
            Some(record) if state.len() <= STATE_MAX => {
                record.state = state;
                ApplyResult::StateSaved { lease }
            }
            _ => ApplyResult::Ignored { lease },
        }
    }

    fn add_to_history(&mut self, change: LeaseChange) {
        while self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }
}
