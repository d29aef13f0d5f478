//! Faults planted in views, and whether the checker reports each.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{MemberInfo, MemberStatus, View};
use std::collections::BTreeMap;
use testbed::check::{view_faults, ExpectedViews, ViewFault};

fn view(node: &str, members: &[(&str, MemberStatus, u64)]) -> View {
    let line = |(name, status, incarnation): &(&str, MemberStatus, u64)| MemberInfo {
        name: name.to_string(),
        zone: String::new(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: *incarnation,
        process_id: 1,
        status: *status,
        status_age_ms: 0,
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
fn each_planted_fault_is_reported() {
    use MemberStatus::*;
    let expected = ExpectedViews::whole(["a", "b", "c"]);
    let good = [("a", Alive, 1), ("b", Suspect, 1), ("c", Draining, 1), ("d", Dead, 1)];
    let all = |change: &dyn Fn(&mut Vec<View>)| {
        let mut all = ["a", "b", "c"].map(|n| view(n, &good)).to_vec();
        change(&mut all);
        view_faults(&expected, &views(all))
    };
    assert_eq!(all(&|_| {}), []);
    assert_eq!(
        all(&|v| v[0].members[3].status = Alive),
        [ViewFault::Stale("a".into(), "d".into())],
        "a dead one kept"
    );
    assert_eq!(
        all(&|v| v[1].members[0].status = Dead),
        [ViewFault::Missing("b".into(), "a".into())],
        "a live one lost"
    );
    assert_eq!(all(&|v| drop(v[1].members.remove(0))), [ViewFault::Missing("b".into(), "a".into())]);
    assert_eq!(all(&|v| drop(v.remove(2))), [ViewFault::NoView("c".into())]);
    let differ = ViewFault::IncarnationMismatch("a".into(), "c".into(), "b".into());
    assert_eq!(all(&|v| v[2].members[1].incarnation = 2), [differ]);
    for lie in [
        |v: &mut Vec<View>| v[0].incarnation = 9,
        |v: &mut Vec<View>| v[0].node = "b".into(),
        |v: &mut Vec<View>| {
            let twice = v[0].members[1].clone();
            v[0].members.push(twice);
        },
    ] {
        let told = view_faults(&expected, &{
            let mut all = ["a", "b", "c"].map(|n| view(n, &good)).to_vec();
            lie(&mut all);
            ["a", "b", "c"].into_iter().map(String::from).zip(all.into_iter().map(Some)).collect()
        });
        assert_eq!(told, [ViewFault::Inconsistent("a".into())]);
    }
}

#[test]
fn partitions_are_judged_by_what_each_can_reach() {
    use MemberStatus::*;
    let mut expected = ExpectedViews::whole(["a", "b"]);
    expected.partitions.insert("c".into(), 1);
    let half = [("a", Alive, 1), ("b", Alive, 1), ("c", Dead, 1)];
    let alone = [("a", Dead, 1), ("b", Dead, 1), ("c", Alive, 7)];
    let all = views(vec![view("a", &half), view("b", &half), view("c", &alone)]);
    assert_eq!(view_faults(&expected, &all), []);
    let whole = ExpectedViews::whole(["a", "b", "c"]);
    assert_eq!(view_faults(&whole, &all).len(), 4, "and as one fleet each lacks the others");
}
