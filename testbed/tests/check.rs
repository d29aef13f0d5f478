//! The checker of membership views reports each fault injected into views.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{MemberInfo, MemberStatus, View};
use std::collections::BTreeMap;
use testbed::check::{view_faults, ExpectedViews, ViewFault};

fn view(node: &str, members: &[(&str, MemberStatus, u64)]) -> View {
    let member_info = |(name, status, incarnation): &(&str, MemberStatus, u64)| MemberInfo {
        name: name.to_string(),
        zone: String::new(),
        address: "127.0.0.1:1".parse().unwrap(),
        incarnation: *incarnation,
        process_id: 1,
        status: *status,
        status_age_ms: 0,
    };
    let members: Vec<MemberInfo> = members.iter().map(member_info).collect();
    let incarnation = members.iter().find(|m| m.name == node).map_or(0, |m| m.incarnation);
    View { fleet: "f".into(), node: node.into(), incarnation, yielded_to: None, joined: true, members }
}

fn views(all: Vec<View>) -> BTreeMap<String, Option<View>> {
    all.into_iter().map(|v| (v.node.clone(), Some(v))).collect()
}

/// Guards against a checker that misses a fault, or reports one in correct views.
#[test]
fn injected_view_faults_are_reported() {
    use MemberStatus::*;
    let expected = ExpectedViews::unpartitioned(["a", "b", "c"]);
    let correct = [("a", Alive, 1), ("b", Suspect, 1), ("c", Draining, 1), ("d", Dead, 1)];
    let faults_after = |change: &dyn Fn(&mut Vec<View>)| {
        let mut all = ["a", "b", "c"].map(|n| view(n, &correct)).to_vec();
        change(&mut all);
        view_faults(&expected, &views(all))
    };
    assert_eq!(faults_after(&|_| {}), []);
    assert_eq!(
        faults_after(&|v| v[0].members[3].status = Alive),
        [ViewFault::Stale("a".into(), "d".into())],
        "a dead node listed as present"
    );
    assert_eq!(
        faults_after(&|v| v[1].members[0].status = Dead),
        [ViewFault::Missing("b".into(), "a".into())],
        "a running node listed as dead"
    );
    assert_eq!(faults_after(&|v| drop(v[1].members.remove(0))), [ViewFault::Missing("b".into(), "a".into())]);
    assert_eq!(faults_after(&|v| drop(v.remove(2))), [ViewFault::NoView("c".into())]);
    let differ = ViewFault::IncarnationMismatch("a".into(), "c".into(), "b".into());
    assert_eq!(faults_after(&|v| v[2].members[1].incarnation = 2), [differ]);
    for corrupt in [
        |v: &mut Vec<View>| v[0].incarnation = 9,
        |v: &mut Vec<View>| v[0].node = "b".into(),
        |v: &mut Vec<View>| {
            let twice = v[0].members[1].clone();
            v[0].members.push(twice);
        },
    ] {
        let faults = view_faults(&expected, &{
            let mut all = ["a", "b", "c"].map(|n| view(n, &correct)).to_vec();
            corrupt(&mut all);
            ["a", "b", "c"].into_iter().map(String::from).zip(all.into_iter().map(Some)).collect()
        });
        assert_eq!(faults, [ViewFault::Inconsistent("a".into())]);
    }
}

#[test]
fn partitioned_nodes_are_expected_to_list_their_own_partition() {
    use MemberStatus::*;
    let mut expected = ExpectedViews::unpartitioned(["a", "b"]);
    expected.partitions.insert("c".into(), 1);
    let majority_view = [("a", Alive, 1), ("b", Alive, 1), ("c", Dead, 1)];
    let minority_view = [("a", Dead, 1), ("b", Dead, 1), ("c", Alive, 7)];
    let all = views(vec![view("a", &majority_view), view("b", &majority_view), view("c", &minority_view)]);
    assert_eq!(view_faults(&expected, &all), []);
    let unpartitioned = ExpectedViews::unpartitioned(["a", "b", "c"]);
    assert_eq!(
        view_faults(&unpartitioned, &all).len(),
        4,
        "if all nodes are expected to reach each other, each view lacks some"
    );
}
