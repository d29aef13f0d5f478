//! Rolling restart of an emulated fleet: order, limits and the conditions for an abort.

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

/// Advances the restart. Nodes that receive a restart request are absent for one pass and return with a new process at the
/// next; returns their names.
fn advance(
    restart: &mut RollingRestart,
    now: Duration,
    members: &mut Vec<FleetMember>,
    restarting: &mut Vec<FleetMember>,
) -> Vec<String> {
    members.append(restarting);
    restart.advance(now, members);
    let mut requested = Vec::new();
    while let Some(step) = restart.next_step() {
        if let RestartStep::Restart { name, process_id, .. } = step {
            let position = members.iter().position(|m| m.name == name && m.process_id == process_id);
            let member = members.remove(position.expect("the process is a member"));
            restarting.push(FleetMember { process_id: process_id + 1, ..member });
            requested.push(name);
        }
    }
    requested
}

#[test]
fn each_node_restarts_once_within_the_limit_of_its_zone() {
    let (mut members, mut restarting) = (fleet(8), Vec::new());
    let mut holder = "n3";
    let mut restart = RollingRestart::start(holder, 7, 1, &members);
    let (mut order, mut now) = (Vec::new(), S);
    while restart.progress().outcome.is_none() {
        let requested = advance(&mut restart, now, &mut members, &mut restarting);
        for zone in ["z0", "z1"] {
            assert!(restarting.iter().filter(|m| m.zone == zone).count() <= 1);
        }
        order.extend(requested);
        now += S;
        assert!(now < 100 * S, "{:?}", restart.progress());
        // The holder restarts alone, and the next holder resumes from the saved progress.
        if order.last().is_some_and(|n| n == "n3") && holder == "n3" {
            assert_eq!(restarting.len(), 1);
            holder = "n0";
            restart = RollingRestart::resume(holder, restart.progress().clone());
        }
    }
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::Completed));
    assert_eq!((order.len(), restart.progress().completed), (8, 8), "{order:?}");
    assert!(members.iter().all(|m| m.process_id == 2) && members.len() == 8);
}

#[test]
fn restart_aborts_when_members_disappear() {
    let mut restart = RollingRestart::start("n0", 7, 1, &fleet(4));
    let three = fleet(3);
    restart.advance(S, &three);
    assert!(restart.progress().in_progress.is_empty(), "no node restarts while one is missing");
    restart.advance(S + MISSING_TOLERANCE, &three);
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::NodesMissing(1)));
}

#[test]
fn restart_aborts_when_too_many_requests_fail() {
    let mut restart = RollingRestart::start("n0", 7, 1, &fleet(4));
    restart.record_requests(1, 30);
    assert_eq!(restart.progress().outcome, None);
    restart.record_requests(2, 30);
    assert_eq!(restart.progress().outcome, Some(RestartOutcome::RequestsFailed(2, 30)));
}

#[test]
fn restart_aborts_when_a_node_does_not_return() {
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
