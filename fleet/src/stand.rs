//! What the decisions of a node are told of the fleet. Some figures follow the view at once, some late, one never
//! shrinks for want of news: a node that is held dead may be cut off from here and still reach the same workers.

use crate::member::{Line, Status};
use std::time::Duration;

/// Before a member that died no longer counts among the siblings: it may yet refute.
const SHRINK_AFTER: Duration = Duration::from_secs(1);

/// What the decisions are told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stand {
    /// Nodes that take jobs, this one included.
    pub siblings: u32,
    /// This node's place among them, by name, from 0 on.
    pub ordinal: u32,
    /// The most nodes that may be sending to workers.
    pub senders: u32,
    /// Who the siblings are, in order: a number means the same node for as long as this is the same.
    pub names: Vec<String>,
}

/// The members other than this node, for [`Stand::of`].
pub struct Others<'a> {
    /// All that the view holds.
    pub lines: &'a [Line],
    /// Whether any other node was ever heard of.
    pub joined: bool,
}

impl Stand {
    /// Of a view: `planned` is the number of nodes that the settings tell of.
    ///
    /// A node that has heard of nobody yet can't tell a fleet of one from a cut cable: it goes by the plan. `senders`
    /// never goes under the plan, and counts the dead until they are forgotten: only who left on purpose is known to
    /// send no more.
    pub fn of(own: &str, others: &Others, planned: u32) -> Stand {
        let late = |m: &&Line| m.status != Status::Dead || m.for_ms < SHRINK_AFTER.as_millis() as u64;
        let takes = |m: &&Line| !matches!(m.status, Status::Left | Status::Draining) && late(m);
        let mut names: Vec<String> = others.lines.iter().filter(takes).map(|m| m.name.clone()).collect();
        names.push(own.to_string());
        names.sort();
        names.dedup();
        let may_send = |m: &&Line| m.status != Status::Left && m.name != own;
        let senders = others.lines.iter().filter(may_send).count() as u32 + 1;
        if !others.joined {
            return Stand { siblings: planned, ordinal: 0, senders: planned, names: Vec::new() };
        }
        let ordinal = names.iter().position(|n| n == own).unwrap_or(0) as u32;
        Stand { siblings: names.len() as u32, ordinal, senders: senders.max(planned), names }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(name: &str, status: Status, for_ms: u64) -> Line {
        let address = "127.0.0.1:1".parse().unwrap();
        Line { name: name.into(), zone: String::new(), address, incarnation: 1, boot: 1, status, for_ms }
    }

    fn stand(lines: &[Line], planned: u32) -> Stand {
        Stand::of("m", &Others { lines, joined: true }, planned)
    }

    #[test]
    fn the_dead_shrink_the_siblings_late_and_the_senders_never() {
        use Status::*;
        let lines = |dead_for| {
            [
                line("a", Alive, 0),
                line("b", Suspect, 0),
                line("c", Draining, 0),
                line("d", Left, 0),
                line("m", Alive, 0),
                line("x", Dead, dead_for),
            ]
        };
        let young = stand(&lines(999), 3);
        assert_eq!((young.siblings, young.ordinal, young.senders), (4, 2, 5));
        let old = stand(&lines(3_600_000), 3);
        assert_eq!((old.siblings, old.ordinal, old.senders), (3, 2, 5));
        assert_eq!(old.names, ["a", "b", "m"]);
        assert_eq!(stand(&lines(0), 20).senders, 20, "nor ever under the plan");
    }

    #[test]
    fn a_node_that_has_heard_of_nobody_goes_by_the_plan() {
        let alone = Stand::of("m", &Others { lines: &[], joined: false }, 7);
        assert_eq!((alone.siblings, alone.senders), (7, 7));
        assert_eq!(stand(&[], 7).siblings, 1, "while one that saw all others go does not");
    }
}
