//! Leases in emulated time: fixed scenarios, then random faults. The operations recorded by a resource are
//! checked.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use coordination::{LeaseLost, Operation, Store, VoterEvent, VoterMember, VoterState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use testbed::coordination::{address, name, EmulatedCluster, Spec};
use testbed::disk::MemDisk;
use testbed::fault_proxy::LinkRule;
use testbed::history_check::violations;

const S: Duration = Duration::from_secs(1);
/// Bound after the last fault: a lease, elections, and the interval between two requests of a client.
const HELD_WITHIN: Duration = Duration::from_secs(15);

fn cluster(seed: u64) -> EmulatedCluster {
    let mut cluster = EmulatedCluster::started(Spec::new(seed));
    wait_until_held(&mut cluster);
    cluster
}

fn wait_until_held(cluster: &mut EmulatedCluster) -> (usize, u64) {
    let took = cluster.run_until_held(HELD_WITHIN);
    assert!(
        took.is_some(),
        "no node holds the lease after {HELD_WITHIN:?}: {:?}",
        (0..3).map(|i| cluster.voter_state(i)).collect::<Vec<_>>()
    );
    cluster.holder().unwrap()
}

fn assert_no_violations(cluster: &EmulatedCluster) {
    assert_eq!(violations(&cluster.operations), []);
}

fn other_candidate(holder: usize) -> usize {
    if holder == 3 {
        4
    } else {
        3
    }
}

#[test]
fn voters_form_a_cluster_and_one_node_holds_the_lease() {
    let mut cluster = cluster(1);
    let first = cluster.holder().unwrap();
    cluster.run(60 * S);
    assert_eq!(cluster.holder(), Some(first), "the holder renews its lease");
    assert!(cluster.operations.len() > 1000 && cluster.rejected_operations == 0);
    assert_no_violations(&cluster);
    // Renewals cost no write: a majority of the voters confirms them.
    let writes: u64 = (0..3).map(|i| cluster.voter_metrics(i).writes).sum();
    assert!(writes < 60, "{writes}");
}

#[test]
fn a_release_hands_over_at_once_and_a_crash_after_the_lease_expires() {
    let mut cluster = cluster(2);
    let (holder, token) = cluster.holder().unwrap();
    cluster.run(3 * S);
    let before = cluster.now();
    cluster.release_lease(holder);
    let (next, newer) = wait_until_held(&mut cluster);
    assert!(next == other_candidate(holder) && newer > token);
    assert!(cluster.now() - before < S / 2, "{:?}", cluster.now() - before);
    cluster.request_lease(holder);
    cluster.run(3 * S);
    let before = cluster.now();
    cluster.crash(next);
    assert_eq!(wait_until_held(&mut cluster).0, holder);
    let took = cluster.now() - before;
    assert!(took > 3 * S && took < 8 * S, "{took:?}");
    assert_no_violations(&cluster);
}

/// Guards against the use of a token after its release, when the release message, or the response to an
/// earlier renewal, arrives late and another process holds the lease.
#[test]
fn a_released_token_is_never_used_again() {
    for seed in 70..90 {
        let mut cluster = cluster(seed);
        let (holder, token) = cluster.holder().unwrap();
        cluster.rules.set_default_rule(LinkRule { jitter_ms: 1500, ..LinkRule::default() });
        cluster.run(Duration::from_millis(2000 + seed * 37 % 1000));
        if cluster.holder() != Some((holder, token)) {
            continue;
        }
        cluster.release_lease(holder);
        let since = cluster.now();
        cluster.run(S / 50);
        cluster.request_lease(holder);
        cluster.run(20 * S);
        assert!(cluster.operations.iter().all(|o| o.token != token || o.started_at <= since), "seed {seed}");
        assert_no_violations(&cluster);
    }
}

/// Guards against a lease from the late response of a stalled leader, which responds to old requests when it
/// resumes. Found by seed 11322 of the random faults.
#[test]
fn a_late_response_gives_the_next_process_no_lease() {
    run_random_faults(11322);
    for seed in 90..110 {
        let mut cluster = cluster(seed);
        let (holder, token) = cluster.holder().unwrap();
        cluster.rules.set_default_rule(LinkRule { jitter_ms: 2500, ..LinkRule::default() });
        cluster.run(Duration::from_millis(3000 + seed * 53 % 2000));
        cluster.crash(holder);
        cluster.start(holder);
        cluster.run(20 * S);
        assert_no_violations(&cluster);
        assert!(cluster.holder().is_none_or(|(_, t)| t > token));
    }
}

/// The holder is stalled after its lease check until the lease has expired: the resource rejects its
/// operation.
#[test]
fn an_operation_of_a_stalled_holder_is_rejected() {
    let mut cluster = cluster(3);
    let (holder, token) = cluster.holder().unwrap();
    cluster.run(S);
    cluster.stall(holder);
    let (next, newer) = wait_until_held(&mut cluster);
    assert!(next != holder && newer > token);
    cluster.run(S);
    let rejected_before = cluster.rejected_operations;
    cluster.resume(holder);
    cluster.run(S);
    assert_eq!(cluster.rejected_operations, rejected_before + 1);
    let lost = cluster
        .lease_events
        .iter()
        .find(|e| (e.node, e.token) == (holder, token) && e.lost.is_some())
        .unwrap();
    assert!(matches!(lost.lost, Some(LeaseLost::Expired | LeaseLost::TakenOver)));
    assert_no_violations(&cluster);
}

#[test]
fn a_partitioned_holder_stops_before_the_next_one_starts() {
    for seed in 10..16 {
        // The holder may be a voter itself, and still reaches that voter.
        let candidates = if seed % 2 == 0 { vec![3, 4] } else { vec![0, 1, 2] };
        let mut cluster = EmulatedCluster::started(Spec { candidates, ..Spec::new(seed) });
        wait_until_held(&mut cluster);
        let (holder, _) = cluster.holder().unwrap();
        // Cuts both directions, then each direction alone.
        for direction in 0..3 {
            let (holder, token) = if direction == 0 { (holder, 0) } else { wait_until_held(&mut cluster) };
            for voter in 0..3 {
                let cut = LinkRule { cut: true, ..LinkRule::default() };
                if direction != 1 {
                    cluster.rules.set_rule(holder, voter, cut);
                }
                if direction != 2 {
                    cluster.rules.set_rule(voter, holder, cut);
                }
            }
            cluster.run(10 * S);
            assert!(cluster.holder().is_some_and(|(i, t)| i != holder && t > token));
            cluster.rules.heal();
            cluster.run(2 * S);
        }
        assert_no_violations(&cluster);
    }
}

#[test]
fn a_lease_survives_crashes_of_holder_and_leader_and_waits_for_a_majority() {
    let mut cluster = EmulatedCluster::started(Spec { candidates: vec![0, 1, 2], ..Spec::new(20) });
    wait_until_held(&mut cluster);
    let leader = cluster.leader().unwrap();
    // Lets the leader hold the lease.
    for i in (0..3).filter(|i| *i != leader) {
        cluster.release_lease(i);
    }
    cluster.request_lease(leader);
    cluster.run(6 * S);
    assert_eq!(cluster.holder().map(|h| h.0), Some(leader));
    (0..3).for_each(|i| cluster.request_lease(i));
    cluster.crash(leader);
    let (next, _) = wait_until_held(&mut cluster);
    // After a further crash there is no majority, so nobody holds the lease once it expires.
    let last = (0..3).find(|i| *i != leader && *i != next).unwrap();
    cluster.crash(last);
    cluster.run(8 * S);
    assert_eq!(cluster.holder(), None);
    cluster.start(leader);
    cluster.start(last);
    wait_until_held(&mut cluster);
    assert_no_violations(&cluster);
}

/// A voter with an empty disk, or with an older copy of its disk, does not vote.
#[test]
fn an_empty_or_stale_store_does_not_vote() {
    let mut cluster = cluster(30);
    let old = cluster.disk(2).copy();
    // The voter starts once more, so the copy is older than the disk.
    cluster.crash(2);
    cluster.start(2);
    cluster.run(3 * S);
    assert!(matches!(cluster.voter_state(2), Some(VoterState::Follower | VoterState::Leader)));
    cluster.crash(2);
    cluster.set_disk(2, old);
    cluster.start(2);
    cluster.run(3 * S);
    assert_eq!(cluster.voter_state(2), Some(VoterState::StaleCopy));
    assert!(cluster.voter_events.iter().any(|(_, i, event)| *i == 2 && *event == VoterEvent::StaleCopy));
    // It does not vote after further starts either, when its start count is no longer behind.
    for _ in 0..4 {
        cluster.crash(2);
        cluster.start(2);
        cluster.run(2 * S);
    }
    assert_eq!(cluster.voter_state(2), Some(VoterState::StaleCopy));
    // A voter with an empty store has another identity, which is not a member.
    cluster.crash(2);
    cluster.set_disk(2, MemDisk::new());
    cluster.start(2);
    cluster.run(3 * S);
    assert_eq!(cluster.voter_state(2), Some(VoterState::NotMember));
    // Without it, the majority consists of both other voters.
    wait_until_held(&mut cluster);
    // An operator removes the member and adds it again.
    let voted = |cluster: &EmulatedCluster| {
        matches!(cluster.voter_state(2), Some(VoterState::Follower | VoterState::Leader))
    };
    let member = VoterMember { name: name(2), address: address(2) };
    for _ in 0..20 {
        cluster.request(4, Operation::RemoveVoter(name(2)));
        cluster.run(S / 2);
        cluster.request(4, Operation::AddVoter(member.clone()));
        cluster.run(S / 2);
    }
    assert!(voted(&cluster), "{:?}", cluster.voter_state(2));
    assert_eq!(cluster.voter_names(cluster.leader().unwrap()).len(), 3);
    // Its vote counts: with another voter crashed, there still is a majority.
    let crashed = (0..2).find(|i| Some(*i) != cluster.leader()).unwrap();
    cluster.crash(crashed);
    cluster.run(10 * S);
    wait_until_held(&mut cluster);
    assert_no_violations(&cluster);
}

/// Guards against a late answer 'there was a later start' to the previous process: the later start is then
/// that of the process that receives it.
#[test]
fn a_late_handshake_answer_does_not_disqualify_the_next_process() {
    let mut cluster = cluster(31);
    for round in 0..12 {
        for to in 0..2 {
            cluster.rules.set_rule(2, to, LinkRule { delay_ms: 1000, ..LinkRule::default() });
        }
        cluster.run(Duration::from_millis(700 + 170 * round));
        cluster.crash(2);
        cluster.rules.heal();
        cluster.start(2);
        cluster.run(3 * S);
        assert!(
            matches!(cluster.voter_state(2), Some(VoterState::Follower | VoterState::Leader)),
            "round {round}"
        );
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut cluster = cluster(32);
        cluster.rules.set_default_rule(LinkRule {
            loss: 0.2,
            jitter_ms: 300,
            twice: 0.1,
            ..LinkRule::default()
        });
        cluster.run(20 * S);
        cluster.crash(cluster.leader().unwrap_or(0));
        cluster.run(20 * S);
        (cluster.messages_sent, cluster.operations)
    };
    assert_eq!(run(), run());
}

#[test]
fn a_voter_whose_disk_fails_grants_nothing() {
    let mut cluster = cluster(40);
    let leader = cluster.leader().unwrap();
    cluster.disk(leader).set_full(true);
    let (holder, _) = cluster.holder().unwrap();
    cluster.release_lease(holder);
    wait_until_held(&mut cluster);
    assert!(matches!(cluster.voter_state(leader), Some(VoterState::StorageFailed(_))));
    assert!(cluster.leader().is_some_and(|l| l != leader));
    assert_no_violations(&cluster);
}

/// A voter is replaced in single steps while another one is isolated.
#[test]
fn a_voter_is_replaced_during_a_partition() {
    let mut cluster = cluster(50);
    cluster.start_with_disk(4);
    let cut = (0..3).find(|i| Some(*i) != cluster.leader()).unwrap();
    let parts: Vec<u32> = (0..5).map(|i| u32::from(i == cut)).collect();
    cluster.rules.partition(&parts);
    cluster.run(2 * S);
    for _ in 0..20 {
        cluster.request(3, Operation::AddVoter(VoterMember { name: name(4), address: address(4) }));
        cluster.run(S / 2);
        cluster.request(3, Operation::RemoveVoter(name(cut)));
        cluster.run(S / 2);
    }
    let voters = cluster.voter_names(cluster.leader().unwrap());
    assert!(voters.len() == 3 && !voters.contains(&name(cut)) && voters.contains(&name(4)), "{voters:?}");
    cluster.rules.heal();
    cluster.run(5 * S);
    assert_eq!(
        cluster.voter_state(cut),
        Some(VoterState::NotMember),
        "the removed voter learns that it is not a member"
    );
    wait_until_held(&mut cluster);
    assert_no_violations(&cluster);
}

/// Injects a random fault at a random node.
fn inject_fault(cluster: &mut EmulatedCluster, nodes: usize, rng: &mut SmallRng) {
    let i = rng.random_range(0..nodes);
    // Lease holder and leader are hit more often.
    let i = match rng.random_range(0..4) {
        0 => cluster.holder().map_or(i, |h| h.0),
        1 => cluster.leader().unwrap_or(i),
        _ => i,
    };
    match rng.random_range(0..13) {
        0 | 1 => cluster.crash(i),
        2 => {
            cluster.crash(i);
            cluster.start(i);
        }
        3 if cluster.is_running(i) => cluster.stall(i),
        4 | 5 if cluster.has_process(i) && !cluster.is_running(i) => cluster.resume(i),
        6 => {
            let parts: Vec<u32> = (0..nodes).map(|_| rng.random_range(0..2)).collect();
            cluster.rules.partition(&parts);
        }
        7 => cluster.rules.heal(),
        8 => {
            let to = rng.random_range(0..nodes);
            cluster.rules.set_rule(i, to, LinkRule { cut: true, ..LinkRule::default() });
        }
        9 => {
            let (loss, jitter_ms) = (rng.random::<f64>() * 0.3, rng.random_range(0..1500));
            cluster.rules.set_default_rule(LinkRule { loss, jitter_ms, twice: 0.1, ..LinkRule::default() });
        }
        10 => {
            cluster.release_lease(i);
            cluster.run(Duration::from_millis(rng.random_range(0..300)));
            cluster.request_lease(i);
        }
        11 => cluster.shut_down(i),
        _ => cluster.start(i),
    }
}

/// Runs a cluster with random faults from a seed.
fn run_random_faults(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let voters = [3, 5][rng.random_range(0..2)];
    let nodes = voters + rng.random_range(0..4);
    let candidates = (0..nodes).filter(|_| rng.random_bool(0.6)).chain([nodes - 1]).collect();
    let mut cluster = EmulatedCluster::started(Spec { nodes, voters, candidates, ..Spec::new(seed) });
    cluster.run(Duration::from_millis(rng.random_range(0..10_000)));
    for _ in 0..rng.random_range(5..25) {
        inject_fault(&mut cluster, nodes, &mut rng);
        cluster.run(Duration::from_millis(rng.random_range(0..6000)));
    }
    cluster.rules.heal();
    for i in 0..nodes {
        if cluster.has_process(i) {
            cluster.resume(i);
        } else {
            cluster.start(i);
        }
    }
    cluster.run(6 * S);
    let took = cluster.run_until_held(HELD_WITHIN);
    let states: Vec<_> = (0..voters).map(|i| cluster.voter_state(i)).collect();
    assert!(took.is_some(), "seed {seed}: no node holds the lease: {states:?}");
    let violations_found = violations(&cluster.operations);
    assert!(violations_found.is_empty(), "seed {seed}: {violations_found:?}");
}

#[test]
fn random_faults_never_give_two_holders_and_end_with_one() {
    (0..40).for_each(run_random_faults);
    if std::env::var_os("TESTBED_LONG").is_some() {
        (40..20_000).for_each(run_random_faults);
    }
}

/// A store that crashes after any write operation opens with all that it had acknowledged, or more.
#[test]
fn a_store_that_crashes_at_any_step_of_a_write_keeps_what_it_acknowledged() {
    let mut rng = SmallRng::seed_from_u64(60);
    let complete_run = open_repeatedly(&MemDisk::with_crash_tracking(), u64::MAX);
    let mut crashes = 0;
    for step in 0..complete_run.1 {
        let disk = MemDisk::with_crash_tracking();
        let (acknowledged, _) = open_repeatedly(&disk, step);
        for _ in 0..3 {
            let after = disk.after_crash(&mut rng);
            let contents = Store::open(after, "f", "v", 9, 1);
            match (contents, acknowledged) {
                (Ok((_, contents)), at_least) => assert!(contents.identity.starts > at_least, "step {step}"),
                // Nothing was acknowledged yet: the store was never complete.
                (Err(_), 0) => {}
                (Err(e), n) => panic!("step {step}: {e}, after {n} acknowledged starts"),
            }
            crashes += 1;
        }
    }
    assert!(crashes > 100, "{crashes}");
}

/// Opens a store repeatedly; returns the number of starts acknowledged before the simulated power loss at
/// this step, and the total number of steps.
fn open_repeatedly(disk: &MemDisk, step: u64) -> (u64, u64) {
    disk.fail_after(step);
    let mut acknowledged = 0;
    for _ in 0..4 {
        match Store::open(disk.clone(), "f", "v", 9, 1) {
            Ok((_, contents)) => acknowledged = contents.identity.starts,
            Err(_) => break,
        }
    }
    (acknowledged, disk.operations())
}

/// Each fault of the disk is reported in one line, and no voter uses the store.
#[test]
fn a_corrupt_or_foreign_store_is_reported() {
    let disk = MemDisk::new();
    drop(Store::open(disk.clone(), "f", "v", 9, 1).unwrap());
    let open_error = |disk: MemDisk, fleet: &str, name: &str| match Store::open(disk, fleet, name, 8, 1) {
        Ok(_) => String::new(),
        Err(e) => e.to_string(),
    };
    assert!(open_error(disk.copy(), "other", "v").contains("belongs to"));
    assert!(open_error(disk.copy(), "f", "w").contains("belongs to"));
    let full = disk.copy();
    full.set_full(true);
    assert!(open_error(full, "f", "v").contains("storage failed"));
    let (mut detected, mut harmless, mut rng) = (0, 0, SmallRng::seed_from_u64(61));
    std::panic::set_hook(Box::new(|_| {})); // redb may panic on a damaged structure
    for _ in 0..400 {
        let corrupted = disk.copy();
        corrupted.flip_bit(rng.random());
        match Store::open(corrupted, "f", "v", 8, 1) {
            Err(e) => {
                assert!(!e.to_string().contains('\n'));
                detected += 1;
            }
            // The bit is unused, or was repaired from its copy: all written data is there.
            Ok((_, contents)) => {
                assert_eq!((contents.identity.disk_id, contents.identity.starts), (9, 2));
                harmless += 1;
            }
        }
    }
    drop(std::panic::take_hook());
    assert!(detected > 0 && harmless > 0, "{detected} detected, {harmless} harmless");
    let torn = disk.copy();
    torn.truncate(torn.bytes().len() / 2);
    assert!(!open_error(torn, "f", "v").is_empty());
}
