//! Rolling restart of an emulated fleet.

use coordination::{
    FleetMember, RestartOutcome, RestartProgress, RestartStep, RollingRestart, IN_PROGRESS_MAX,
    MISSING_TOLERANCE, RETURN_TIMEOUT, STATE_MAX,
};
use std::net::SocketAddr;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn fleet(n: usize) -> Vec<FleetMember> {
    let member = |i: usize| FleetMember {
        name: format!("n{i}"),
        zone: format!("z{}", i % 2),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16)),
        process_id: 1,
    };
    (0..n).map(member).collect()
}

/// Nodes that are told to restart are gone for one pass, and back with another process at the next.
fn advance(
    restart: &mut RollingRestart,
    now: Duration,
    members: &mut Vec<FleetMember>,
    away: &mut Vec<FleetMember>,
) -> Vec<String> {
    members.append(away);
    restart.advance(now, members);
    let mut told = Vec::new();
    while let Some(step) = restart.next_step() {
        if let RestartStep::Restart { name, process_id, .. } = step {
            let found = members.iter().position(|m| m.name == name && m.process_id == process_id);
            let member = members.remove(found.expect("it is there"));
            away.push(FleetMember { process_id: process_id + 1, ..member });
            told.push(name);
        }
    }
    told
}

#[test]
fn all_nodes_restart_once_and_never_too_many_of_a_zone() {
    let (mut members, mut away) = (fleet(8), Vec::new());
    let mut holder = "n3";
    let mut restart = RollingRestart::start(holder, 7, 1, &members);
    let (mut order, mut now) = (Vec::new(), S);
    while restart.progress().outcome.is_none() {
        let told = advance(&mut restart, now, &mut members, &mut away);
        for zone in ["z0", "z1"] {
            assert!(away.iter().filter(|m| m.zone == zone).count() <= 1);
        }
        order.extend(told);
        now += S;
        assert!(now < 100 * S, "{:?}", restart.progress());
        // The holder restarts alone, and another resumes from what it saved.
        if order.last().is_some_and(|n| n == "n3") && holder == "n3" {
            assert_eq!(away.len(), 1);
            holder = "n0";
            restart = RollingRestart::resume(holder, restart.progress().clone());
        }
    }
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::Completed));
    assert_eq!((order.len(), restart.progress().completed), (8, 8), "{order:?}");
    assert!(members.iter().all(|m| m.process_id == 2) && members.len() == 8);
}

#[test]
fn restart_halts_when_members_disappear() {
    let mut restart = RollingRestart::start("n0", 7, 1, &fleet(4));
    let three = fleet(3);
    restart.advance(S, &three);
    assert!(restart.progress().in_progress.is_empty(), "no node restarts while one is missing");
    restart.advance(S + MISSING_TOLERANCE, &three);
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::NodesMissing(1)));
}

#[test]
fn restart_halts_when_too_many_jobs_fail() {
    let mut restart = RollingRestart::start("n0", 7, 1, &fleet(4));
    restart.record_requests(1, 30);
    assert_eq!(restart.progress().outcome, None);
    restart.record_requests(2, 30);
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::RequestsFailed(2, 30)));
}

#[test]
fn restart_halts_when_a_node_does_not_come_back() {
    let mut members = fleet(4);
    let mut restart = RollingRestart::start("n0", 7, 1, &members);
    restart.advance(S, &members);
    members.remove(0);
    restart.advance(2 * S, &members);
    restart.advance(S + RETURN_TIMEOUT, &members);
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::NodeNotReturned("n0".into())));
}

#[test]
fn the_saved_progress_fits_into_the_state_of_a_lease() {
    let long = "n".repeat(64);
    let progress = RestartProgress {
        id: u64::MAX,
        max_unavailable: 4,
        cursor: long.clone(),
        in_progress: vec![(long.clone(), u64::MAX); IN_PROGRESS_MAX],
        total: u16::MAX,
        completed: u16::MAX,
        outcome: Some(RestartOutcome::NodeNotReturned(long)),
    };
    assert!(postcard::to_stdvec(&progress).unwrap().len() <= STATE_MAX);
}
