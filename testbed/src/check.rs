//! Checker of membership views: compares the views of many nodes with the expected ones. It does not depend
//! on how nodes compute their views.

use membership::View;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Expected views: each running node lists the nodes that it can reach.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpectedViews {
    /// Partition of each running node, by its name. Nodes of one partition reach each other.
    pub partitions: BTreeMap<String, u32>,
}

impl ExpectedViews {
    /// Returns the expected views of nodes that all reach each other.
    pub fn unpartitioned<'a>(names: impl IntoIterator<Item = &'a str>) -> ExpectedViews {
        ExpectedViews { partitions: names.into_iter().map(|name| (name.to_string(), 0)).collect() }
    }

    /// Returns the names of the nodes in a partition, in order.
    fn members_of(&self, partition: u32) -> BTreeSet<&str> {
        let members = self.partitions.iter().filter(|(_, other)| **other == partition);
        members.map(|(name, _)| name.as_str()).collect()
    }
}

/// Fault in the views of the nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewFault {
    /// A running node reports no view.
    NoView(String),
    /// The view of the first node lacks the second, which runs and is reachable.
    Missing(String, String),
    /// The view of the first node lists the second as present, which does not run or is not reachable.
    Stale(String, String),
    /// The first two nodes, which reach each other, know different incarnations of the third.
    IncarnationMismatch(String, String, String),
    /// The view of a node has a duplicate name, or a wrong entry for the node itself.
    Inconsistent(String),
}

impl fmt::Display for ViewFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewFault::NoView(node) => write!(f, "{node} reports no view"),
            ViewFault::Missing(node, other) => write!(f, "the view of {node} lacks {other}"),
            ViewFault::Stale(node, other) => write!(f, "the view of {node} lists {other} as present"),
            ViewFault::IncarnationMismatch(node, other, member) => {
                write!(f, "{node} and {other} know different incarnations of {member}")
            }
            ViewFault::Inconsistent(node) => write!(f, "the view of {node} is inconsistent"),
        }
    }
}

/// Returns all faults; none if the views of all running nodes are equal and as expected.
pub fn view_faults(expected: &ExpectedViews, views: &BTreeMap<String, Option<View>>) -> Vec<ViewFault> {
    let mut faults = Vec::new();
    let mut incarnations: BTreeMap<(u32, &str), (&str, u64)> = BTreeMap::new();
    for (name, partition) in &expected.partitions {
        let Some(view) = views.get(name).and_then(Option::as_ref) else {
            faults.push(ViewFault::NoView(name.clone()));
            continue;
        };
        if !is_consistent(name, view) {
            faults.push(ViewFault::Inconsistent(name.clone()));
        }
        let present: BTreeSet<&str> = view.present_names().collect();
        let reachable = expected.members_of(*partition);
        let missing = reachable.difference(&present);
        faults.extend(missing.map(|other| ViewFault::Missing(name.clone(), other.to_string())));
        let stale = present.difference(&reachable);
        faults.extend(stale.map(|other| ViewFault::Stale(name.clone(), other.to_string())));
        for member in view.members.iter().filter(|member| member.status.is_present()) {
            let seen = (name.as_str(), member.incarnation);
            let (first, incarnation) = *incarnations.entry((*partition, &member.name)).or_insert(seen);
            if incarnation != member.incarnation {
                let (first, name) = (first.to_string(), name.clone());
                faults.push(ViewFault::IncarnationMismatch(first, name, member.name.clone()));
            }
        }
    }
    faults
}

/// Whether a view has each name once and a correct entry for its own node.
fn is_consistent(name: &str, view: &View) -> bool {
    let names: BTreeSet<&str> = view.members.iter().map(|member| member.name.as_str()).collect();
    let own = view.members.iter().find(|member| member.name == name);
    let own_agrees =
        own.is_some_and(|member| member.status.is_present() && member.incarnation == view.incarnation);
    names.len() == view.members.len() && view.node == name && own_agrees
}
