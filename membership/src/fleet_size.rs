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
        MemberStatus::Dead => member.status_age_ms < DEATH_DELAY.as_millis() as u64,
    }
}
