//! Says what is wrong with the views of many nodes, beside what the rig knows to be true. It knows nothing of how nodes
//! come to their views.

use fleet::View;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What the rig knows of a node: which others it can talk to, if it runs at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Truth {
    /// The part of the fleet that each running node is in, by its name. Those of one part reach each other.
    pub parts: BTreeMap<String, u32>,
}

impl Truth {
    /// Of a fleet in one part.
    pub fn whole<'a>(names: impl IntoIterator<Item = &'a str>) -> Truth {
        Truth { parts: names.into_iter().map(|n| (n.to_string(), 0)).collect() }
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
pub fn faults(truth: &Truth, views: &BTreeMap<String, Option<View>>) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut lives: BTreeMap<(u32, &str), (&str, u64)> = BTreeMap::new();
    for (name, part) in &truth.parts {
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
            truth.parts.iter().filter(|(_, p)| *p == part).map(|(n, _)| n.as_str()).collect();
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

#[cfg(test)]
mod tests {
    use super::*;
    use fleet::{MemberInfo, MemberStatus};

    fn view(node: &str, members: &[(&str, MemberStatus, u64)]) -> View {
        let line = |(name, status, incarnation): &(&str, MemberStatus, u64)| MemberInfo {
            name: name.to_string(),
            zone: String::new(),
            address: "127.0.0.1:1".parse().unwrap(),
            incarnation: *incarnation,
            boot: 1,
            status: *status,
            for_ms: 0,
        };
        let members: Vec<MemberInfo> = members.iter().map(line).collect();
        let incarnation = members.iter().find(|m| m.name == node).map_or(0, |m| m.incarnation);
        View { fleet: "f".into(), node: node.into(), incarnation, yielded_to: None, joined: true, members }
    }

    fn views(all: Vec<View>) -> BTreeMap<String, Option<View>> {
        all.into_iter().map(|v| (v.node.clone(), Some(v))).collect()
    }

    /// Each planted fault is told, and nothing else is.
    #[test]
    fn planted_faults_are_told() {
        use MemberStatus::*;
        let truth = Truth::whole(["a", "b", "c"]);
        let good = [("a", Alive, 1), ("b", Suspect, 1), ("c", Draining, 1), ("d", Dead, 1)];
        let all = |change: &dyn Fn(&mut Vec<View>)| {
            let mut all = ["a", "b", "c"].map(|n| view(n, &good)).to_vec();
            change(&mut all);
            faults(&truth, &views(all))
        };
        assert_eq!(all(&|_| {}), []);
        assert_eq!(
            all(&|v| v[0].members[3].status = Alive),
            [Fault::Kept("a".into(), "d".into())],
            "a dead one kept"
        );
        assert_eq!(
            all(&|v| v[1].members[0].status = Dead),
            [Fault::Lost("b".into(), "a".into())],
            "a live one lost"
        );
        assert_eq!(all(&|v| drop(v[1].members.remove(0))), [Fault::Lost("b".into(), "a".into())]);
        assert_eq!(all(&|v| drop(v.remove(2))), [Fault::Silent("c".into())]);
        let differ = Fault::Differ("a".into(), "c".into(), "b".into());
        assert_eq!(all(&|v| v[2].members[1].incarnation = 2), [differ]);
        for lie in [
            |v: &mut Vec<View>| v[0].incarnation = 9,
            |v: &mut Vec<View>| v[0].node = "b".into(),
            |v: &mut Vec<View>| {
                let twice = v[0].members[1].clone();
                v[0].members.push(twice);
            },
        ] {
            let told = faults(&truth, &{
                let mut all = ["a", "b", "c"].map(|n| view(n, &good)).to_vec();
                lie(&mut all);
                ["a", "b", "c"].into_iter().map(String::from).zip(all.into_iter().map(Some)).collect()
            });
            assert_eq!(told, [Fault::Twisted("a".into())]);
        }
    }

    #[test]
    fn the_halves_of_a_partition_are_judged_by_what_each_can_reach() {
        use MemberStatus::*;
        let mut truth = Truth::whole(["a", "b"]);
        truth.parts.insert("c".into(), 1);
        let half = [("a", Alive, 1), ("b", Alive, 1), ("c", Dead, 1)];
        let alone = [("a", Dead, 1), ("b", Dead, 1), ("c", Alive, 7)];
        let all = views(vec![view("a", &half), view("b", &half), view("c", &alone)]);
        assert_eq!(faults(&truth, &all), []);
        let whole = Truth::whole(["a", "b", "c"]);
        assert_eq!(faults(&whole, &all).len(), 4, "and as one fleet each lacks the others");
    }
}
