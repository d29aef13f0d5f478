//! Fleet size as one node's decisions use it: how many nodes take jobs, and how many may be sending to workers.
//!
//! The figures follow the view at different paces: a node that leaves counts no more at once, one held dead only after a
//! delay, and the number of senders never shrinks because of a death: a node held dead may be partitioned from this one
//! and still reach the same workers.

use crate::member::{MemberInfo, MemberStatus};
use std::time::Duration;

/// Delay after which a dead member no longer counts as a sibling: it may still refute.
const DEATH_DELAY: Duration = Duration::from_secs(1);

/// Counts that a node's decisions go by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetSize {
    /// Nodes that take jobs, this one included.
    pub siblings: u32,
    /// Position of this node among them, by name, from 0.
    pub ordinal: u32,
    /// Upper bound on the nodes that send to workers.
    pub senders: u32,
    /// Names of the siblings, in order. A position means the same node for as long as this is unchanged. Empty while
    /// no other node was heard of.
    pub names: Vec<String>,
}

/// Members other than this node: the input of [`FleetSize::from_members`].
pub struct OtherMembers<'a> {
    /// All that the view holds.
    pub members: &'a [MemberInfo],
    /// Whether any other node was ever heard of.
    pub joined: bool,
}

impl FleetSize {
    /// Derives the counts from a view; `planned` is the number of nodes in the settings.
    ///
    /// A node that has heard of no other can't tell a fleet of one from a partition, so it returns the planned number.
    /// `senders` never drops below the planned number, and includes the dead until they are forgotten: only a node that
    /// left on purpose is known to send no more.
    pub fn from_members(own: &str, others: &OtherMembers, planned: u32) -> FleetSize {
        if !others.joined {
            return FleetSize { siblings: planned, ordinal: 0, senders: planned, names: Vec::new() };
        }
        let siblings = others.members.iter().filter(|m| is_sibling(m));
        let mut names: Vec<String> = siblings.map(|m| m.name.clone()).chain([own.to_string()]).collect();
        names.sort();
        names.dedup();
        let ordinal = names.iter().position(|name| name == own).unwrap_or(0) as u32;
        let may_send = |m: &&MemberInfo| m.status != MemberStatus::Left && m.name != own;
        let senders = others.members.iter().filter(may_send).count() as u32 + 1;
        FleetSize { siblings: names.len() as u32, ordinal, senders: senders.max(planned), names }
    }
}

/// Whether a member counts as one that takes jobs.
fn is_sibling(member: &MemberInfo) -> bool {
    match member.status {
        MemberStatus::Alive | MemberStatus::Suspect => true,
        MemberStatus::Draining | MemberStatus::Left => false,
        MemberStatus::Dead => member.for_ms < DEATH_DELAY.as_millis() as u64,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(name: &str, status: MemberStatus, for_ms: u64) -> MemberInfo {
        let address = "127.0.0.1:1".parse().unwrap();
        MemberInfo {
            name: name.into(),
            zone: String::new(),
            address,
            incarnation: 1,
            boot: 1,
            status,
            for_ms,
        }
    }

    fn fleet_size(members: &[MemberInfo], planned: u32) -> FleetSize {
        FleetSize::from_members("m", &OtherMembers { members, joined: true }, planned)
    }

    #[test]
    fn the_dead_shrink_the_siblings_late_and_the_senders_never() {
        use MemberStatus::*;
        let members = |dead_for| {
            [
                member("a", Alive, 0),
                member("b", Suspect, 0),
                member("c", Draining, 0),
                member("d", Left, 0),
                member("m", Alive, 0),
                member("x", Dead, dead_for),
            ]
        };
        let young = fleet_size(&members(999), 3);
        assert_eq!((young.siblings, young.ordinal, young.senders), (4, 2, 5));
        let old = fleet_size(&members(3_600_000), 3);
        assert_eq!((old.siblings, old.ordinal, old.senders), (3, 2, 5));
        assert_eq!(old.names, ["a", "b", "m"]);
        assert_eq!(fleet_size(&members(0), 20).senders, 20, "nor ever under the plan");
    }

    #[test]
    fn a_node_that_has_heard_of_nobody_goes_by_the_plan() {
        let alone = FleetSize::from_members("m", &OtherMembers { members: &[], joined: false }, 7);
        assert_eq!((alone.siblings, alone.senders), (7, 7));
        assert_eq!(fleet_size(&[], 7).siblings, 1, "while one that saw all others go does not");
    }
}
