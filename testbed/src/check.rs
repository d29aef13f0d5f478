//! Checker of membership views: compares the views of many nodes with what must be true. It does not depend on how nodes
//! come to their views.

use membership::View;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The right views: which nodes run, and which of them reach each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExpectedViews {
    /// Network partition of each running node, by its name. Nodes of one partition reach each other.
    pub partitions: BTreeMap<String, u32>,
}

impl ExpectedViews {
    /// Expected views of nodes that all reach each other.
    pub fn whole<'a>(names: impl IntoIterator<Item = &'a str>) -> ExpectedViews {
        ExpectedViews { partitions: names.into_iter().map(|n| (n.to_string(), 0)).collect() }
    }
}

/// What is wrong with a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A running node tells nothing.
    Silent(String),
    /// A node's view lacks one that runs and that it can reach.
    Lost(String, String),
    /// A node's view holds one to be there that isn't, or that it can't reach.
    Kept(String, String),
    /// Two nodes that reach each other know different lives of a third.
    Differ(String, String, String),
    /// A view has one name twice, or says something of the node itself that is not so.
    Twisted(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Silent(n) => write!(f, "{n} tells nothing"),
            Fault::Lost(n, other) => write!(f, "{n} lacks {other}"),
            Fault::Kept(n, other) => write!(f, "{n} holds {other} to be there"),
            Fault::Differ(n, m, other) => write!(f, "{n} and {m} know different lives of {other}"),
            Fault::Twisted(n) => write!(f, "{n}'s view is at odds with itself"),
        }
    }
}

/// All that is wrong; empty where the views of all that run are equal and true.
pub fn faults(expected: &ExpectedViews, views: &BTreeMap<String, Option<View>>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut lives: BTreeMap<(u32, &str), (&str, u64)> = BTreeMap::new();
    for (name, part) in &expected.partitions {
        let Some(view) = views.get(name).and_then(Option::as_ref) else {
            faults.push(Fault::Silent(name.clone()));
            continue;
        };
        let names: BTreeSet<&str> = view.members.iter().map(|m| m.name.as_str()).collect();
        let own = view.members.iter().find(|m| m.name == *name);
        let own_is_so = own.is_some_and(|m| m.status.is_present() && m.incarnation == view.incarnation);
        if names.len() != view.members.len() || view.node != *name || !own_is_so {
            faults.push(Fault::Twisted(name.clone()));
        }
        let there: BTreeSet<&str> = view.present_names().collect();
        let reached: BTreeSet<&str> =
            expected.partitions.iter().filter(|(_, p)| *p == part).map(|(n, _)| n.as_str()).collect();
        faults.extend(reached.difference(&there).map(|o| Fault::Lost(name.clone(), o.to_string())));
        faults.extend(there.difference(&reached).map(|o| Fault::Kept(name.clone(), o.to_string())));
        for m in view.members.iter().filter(|m| m.status.is_present()) {
            let (first, life) = *lives.entry((*part, &m.name)).or_insert((name, m.incarnation));
            if life != m.incarnation {
                faults.push(Fault::Differ(first.to_string(), name.clone(), m.name.clone()));
            }
        }
    }
    faults
}
