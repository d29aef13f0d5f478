//! Fleet size, as input of a node's decisions: how many nodes accept requests, and how many may send to workers.
//!
//! The counts follow the view at different speeds. A node that left is excluded at once, and a dead one from the
//! dispatchers after a delay. The number of senders does not decrease because of a death: a node declared dead may be
//! partitioned from this one and still reach the same workers.

use crate::member::{MemberInfo, MemberStatus};
use std::time::Duration;

/// Time for which a dead member still counts as a dispatcher: it may refute its death.
const DEATH_DELAY: Duration = Duration::from_secs(1);

/// Fleet size, as the view of one node gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of nodes that accept requests, this one included.
    pub dispatchers: u32,
    /// Index of this node among the dispatchers, sorted by name.
    pub ordinal: u32,
    /// Upper bound on the number of nodes that send to workers.
    pub senders: u32,
    /// Sorted names of the dispatchers; an index denotes the same node for as long as this list is unchanged. Empty
    /// until another node was seen.
    pub dispatcher_names: Vec<String>,
}

/// Input of [`FleetSize::from_members`]: the members other than this node.
pub struct OtherMembers<'a> {
    /// All other members in the view.
    pub members: &'a [MemberInfo],
    /// Whether any other node was ever present in the view.
    pub joined: bool,
}

impl FleetSize {
    /// Derives the counts from a view; `planned_dispatchers` is the number of nodes in the settings.
    ///
    /// A node that has never seen another can't distinguish a fleet of one from a partition, so it uses the planned
    /// number. `senders` never drops below the planned number and includes dead members until they are removed: only a
    /// node that left on purpose is known to have stopped sending.
    pub fn from_members(own_name: &str, others: &OtherMembers, planned_dispatchers: u32) -> FleetSize {
        if !others.joined {
            return FleetSize {
                dispatchers: planned_dispatchers,
                ordinal: 0,
                senders: planned_dispatchers,
                dispatcher_names: Vec::new(),
            };
        }
        let dispatchers = others.members.iter().filter(|m| is_dispatcher(m));
        let mut names: Vec<String> =
            dispatchers.map(|m| m.name.clone()).chain([own_name.to_string()]).collect();
        names.sort();
        names.dedup();
        let ordinal = names.iter().position(|name| name == own_name).unwrap_or(0) as u32;
        let may_send = |m: &&MemberInfo| m.status != MemberStatus::Left && m.name != own_name;
        let senders = others.members.iter().filter(may_send).count() as u32 + 1;
        FleetSize {
            dispatchers: names.len() as u32,
            ordinal,
            senders: senders.max(planned_dispatchers),
            dispatcher_names: names,
        }
    }
}

/// Whether a member counts as one that accepts requests.
fn is_dispatcher(member: &MemberInfo) -> bool {
    match member.status {
        MemberStatus::Alive | MemberStatus::Suspect => true,
        MemberStatus::Draining | MemberStatus::Left => false,
        MemberStatus::Dead => member.status_age_ms < DEATH_DELAY.as_millis() as u64,
    }
}
