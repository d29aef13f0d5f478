//! Lease table: the replicated state machine of the voters. The same commands in the same order give the same table at each
//! voter; it knows no time.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Most leases; bounds the table, and with it each snapshot.
pub const LEASES_MAX: usize = 64;
/// Changes that the history keeps.
pub const HISTORY_MAX: usize = 32;
/// Most bytes of state that a holder may save for the next one.
pub const STATE_MAX: usize = 512;

/// Process that holds a lease. A process that was started again is another holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the node.
    pub name: String,
    /// Id of the process, drawn at each start.
    #[serde(rename = "boot")]
    pub process_id: u64,
}

/// Record of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Holder; `None` after a release. The holder of an expired lease stays here until the next grant.
    pub holder: Option<Holder>,
    /// Fencing token of the last grant.
    pub token: u64,
    /// Unix time of the grant in milliseconds, by the clock of the leader that granted it: for display, never compared.
    #[serde(rename = "since_ms")]
    pub granted_at_ms: u64,
    /// State that the last holder saved for the next one.
    #[serde(rename = "left")]
    pub state: Vec<u8>,
}

/// Name and address of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterMember {
    /// Name of the node.
    pub name: String,
    /// Address at which the other nodes reach it.
    pub address: SocketAddr,
}

/// Kind of a change of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    /// The lease was granted.
    Granted,
    /// The holder released the lease.
    #[serde(rename = "freed")]
    Released,
}

/// Change of a lease, as the history keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseChange {
    /// Name of the lease.
    #[serde(rename = "duty")]
    pub lease: String,
    /// Kind of the change.
    #[serde(rename = "what")]
    pub kind: ChangeKind,
    /// Name of the node that got or released the lease.
    #[serde(rename = "name")]
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Unix time in milliseconds, by the clock of the leader.
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
        /// Token of the grant before; if another grant came in between, the command is ignored.
        previous_token: u64,
        /// Unix time in milliseconds by the leader's clock.
        at_ms: u64,
    },
    /// Release a lease.
    Release {
        /// Name of the lease.
        lease: String,
        /// The holder's token.
        token: u64,
        /// Unix time in milliseconds by the leader's clock.
        at_ms: u64,
    },
    /// Save state for the next holder.
    SaveState {
        /// Name of the lease.
        lease: String,
        /// The holder's token.
        token: u64,
        /// The state.
        state: Vec<u8>,
    },
}

/// Result of an applied command.
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
    /// The command was ignored: its token is not the lease's, or a bound is reached.
    Ignored {
        /// Name of the lease.
        lease: String,
    },
}

/// All leases, and the voters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseTable {
    /// Last fencing token that was granted, of any lease.
    pub last_token: u64,
    /// Leases that were ever granted, by name.
    #[serde(rename = "held")]
    pub leases: BTreeMap<String, LeaseRecord>,
    /// Voters by disk id.
    #[serde(rename = "seats")]
    pub voters: BTreeMap<u64, VoterMember>,
    /// Last changes, oldest first.
    pub history: VecDeque<LeaseChange>,
}

impl LeaseTable {
    /// Returns the fencing token of a lease's last grant; 0 if there was none.
    pub fn token(&self, lease: &str) -> u64 {
        self.leases.get(lease).map_or(0, |record| record.token)
    }

    /// Returns the holder of a lease, as far as the log tells.
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
        let has_room = self.leases.contains_key(&lease) || self.leases.len() < LEASES_MAX;
        if self.token(&lease) != previous_token || !has_room {
            return ApplyResult::Ignored { lease };
        }
        // The first token is no lower than the time, so that tokens go on growing when all voters were lost and a new
        // cluster is formed, for those that remember the old tokens.
        self.last_token = if self.last_token == 0 { at_ms.max(1) } else { self.last_token + 1 };
        let token = self.last_token;
        let name = holder.name.clone();
        let state = self.leases.remove(&lease).map_or(Vec::new(), |record| record.state);
        let record = LeaseRecord { holder: Some(holder), token, granted_at_ms: at_ms, state };
        self.leases.insert(lease.clone(), record);
        let kind = ChangeKind::Granted;
        self.record(LeaseChange { lease: lease.clone(), kind, holder: name, token, at_ms });
        ApplyResult::Granted { lease, token }
    }

    fn release(&mut self, lease: String, token: u64, at_ms: u64) -> ApplyResult {
        let record = self.leases.get_mut(&lease).filter(|record| record.token == token);
        let Some(holder) = record.and_then(|record| record.holder.take()) else {
            return ApplyResult::Ignored { lease };
        };
        let kind = ChangeKind::Released;
        self.record(LeaseChange { lease: lease.clone(), kind, holder: holder.name, token, at_ms });
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

    fn record(&mut self, change: LeaseChange) {
        while self.history.len() >= HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(change);
    }
}
