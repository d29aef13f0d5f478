//! Membership machines in emulated time: fixed scenarios, then random schedules against a simple model.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{MemberStatus, MembershipEvent, Timing};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use testbed::check::ExpectedViews;
use testbed::emulated_membership::{address, name, test_key, EmulatedFleet, Spec};
use testbed::fault_proxy::LinkRule;

const S: Duration = Duration::from_secs(1);

/// Returns a fleet with converged views.
fn converged_fleet(nodes: usize, seed: u64) -> EmulatedFleet {
    let mut fleet = EmulatedFleet::started(Spec { nodes, seed, ..Spec::default() });
    wait_until_converged(&mut fleet, 20 * S);
    fleet
}

/// Waits until all running nodes have equal and correct views, and checks that they keep them.
fn wait_until_converged(fleet: &mut EmulatedFleet, bound: Duration) -> Duration {
    let expected = fleet.expected_views();
    let took = fleet
        .run_until_converged(bound, &expected)
        .unwrap_or_else(|faults| panic!("after {bound:?}: {faults:?}"));
    assert_stays_converged(fleet, &expected);
    took
}

fn assert_stays_converged(fleet: &mut EmulatedFleet, expected: &ExpectedViews) {
    for _ in 0..20 {
        fleet.run(S / 2);
        assert_eq!(fleet.faults(expected), [], "the views converged and then diverged");
    }
}

fn status(fleet: &EmulatedFleet, viewer: usize, of: usize) -> Option<MemberStatus> {
    fleet.view(viewer)?.members.iter().find(|m| m.name == name(of)).map(|m| m.status)
}

#[test]
fn restart_before_detection_takes_a_higher_incarnation() {
    let mut fleet = converged_fleet(10, 1);
    let before = fleet.view(3).unwrap().incarnation;
    // Restarts the process before its death is detected.
    fleet.kill(3);
    fleet.run(S / 10);
    fleet.start(3);
    wait_until_converged(&mut fleet, 10 * S);
    assert!(fleet.view(3).unwrap().incarnation > before);
    assert!(
        fleet.events.iter().all(|(_, _, event)| !matches!(event, MembershipEvent::Down(_))),
        "no member declared it dead"
    );
}

#[test]
fn views_converge_after_a_third_is_killed_and_after_all_restart() {
    let mut fleet = converged_fleet(12, 2);
    (0..4).for_each(|i| fleet.kill(i)); // including all seeds
    wait_until_converged(&mut fleet, 40 * S);
    assert_eq!(status(&fleet, 9, 0), Some(MemberStatus::Dead));
    (0..12).for_each(|i| fleet.kill(i));
    fleet.run(S);
    (0..12).for_each(|i| fleet.start(i));
    wait_until_converged(&mut fleet, 20 * S);
}

#[test]
fn partitioned_halves_declare_each_other_dead_and_merge_after_healing() {
    let mut fleet = converged_fleet(10, 3);
    let parts: Vec<u32> = (0..10).map(|i| i % 2).collect();
    fleet.rules.partition(&parts);
    let mut expected = fleet.expected_views();
    expected.partitions.values_mut().enumerate().for_each(|(i, part)| *part = i as u32 % 2);
    fleet.run_until_converged(60 * S, &expected).unwrap();
    assert_stays_converged(&mut fleet, &expected);
    fleet.rules.heal();
    wait_until_converged(&mut fleet, 20 * S);
}

/// Two cuts, one after the other: a node that reaches half of the others, and a cut in one direction only.
#[test]
fn partially_reachable_member_stays_and_one_way_partition_heals() {
    let mut fleet = converged_fleet(9, 4);
    for to in 1..9 {
        let half = to % 2 == 0;
        fleet.rules.set_rule(0, to, LinkRule { cut: half, ..LinkRule::default() });
        fleet.rules.set_rule(to, 0, LinkRule { cut: half, ..LinkRule::default() });
    }
    // Members that reach it probe it for those that cannot: none declares it dead.
    for _ in 0..30 {
        fleet.run(S);
        assert!((1..9).all(|i| status(&fleet, i, 0).is_some_and(MemberStatus::is_present)));
    }
    fleet.rules.heal();
    for to in 1..9 {
        fleet.rules.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() });
    }
    fleet.run(30 * S);
    fleet.rules.heal();
    wait_until_converged(&mut fleet, 20 * S);
}

#[test]
fn views_converge_after_a_fifth_of_datagrams_was_lost() {
    let mut fleet = converged_fleet(10, 5);
    fleet.rules.set_default_rule(LinkRule { loss: 0.2, twice: 0.1, jitter_ms: 50, ..LinkRule::default() });
    fleet.run(60 * S);
    let deaths = fleet.events.iter().filter(|(_, _, n)| matches!(n, MembershipEvent::Down(_))).count();
    assert!(deaths <= 9, "{deaths} reports of a death: more than one false death that all members report");
    // Guards members that have refuted a suspicion against being declared dead nevertheless.
    let returns = fleet.events.iter().filter(|(_, _, n)| matches!(n, MembershipEvent::Rejoined(_))).count();
    assert!(returns <= deaths, "{returns} rejoined, after {deaths} reports of a death");
    fleet.rules.heal();
    wait_until_converged(&mut fleet, 20 * S);
}

#[test]
fn paused_process_rejoins_and_declares_nobody_dead() {
    let mut fleet = converged_fleet(8, 6);
    fleet.pause(5);
    let expected = fleet.expected_views();
    fleet.run_until_converged(40 * S, &expected).unwrap();
    assert_eq!(status(&fleet, 0, 5), Some(MemberStatus::Dead));
    fleet.run(30 * S);
    fleet.events.clear();
    fleet.resume(5);
    wait_until_converged(&mut fleet, 20 * S);
    assert!(fleet.events.iter().any(|(_, i, n)| *i == 5 && matches!(n, MembershipEvent::Rejoined(_))));
    // Probes that others did not answer during the pause do not count as failures.
    assert!(
        fleet.events.iter().all(|(_, _, n)| !matches!(n, MembershipEvent::Down(_))),
        "{:?}",
        fleet.events
    );
}

/// Guards members against a process that is paused while it suspects one of them, and so cannot receive the
/// refutation.
#[test]
fn paused_process_declares_no_suspect_dead_when_it_resumes() {
    // Whether it resumes before the others declare it dead, and would be wrong to declare a death, depends on
    // the order of probes.
    for seed in 100..130 {
        let mut fleet = converged_fleet(4, seed);
        fleet.rules.partition(&[0, 0, 0, 1]);
        while !suspects(&fleet, 3) {
            fleet.run(S / 20);
        }
        fleet.rules.heal();
        fleet.pause(3);
        fleet.run(S * 81 / 20);
        fleet.events.clear();
        fleet.resume(3);
        fleet.run(S / 50);
        let down =
            |(_, i, n): &(Duration, usize, MembershipEvent)| *i == 3 && matches!(n, MembershipEvent::Down(_));
        assert!(!fleet.events.iter().any(down), "seed {seed}: {:?}", fleet.events);
    }
}

fn suspects(fleet: &EmulatedFleet, i: usize) -> bool {
    fleet.view(i).unwrap().members.iter().any(|m| m.status == MemberStatus::Suspect)
}

/// Guards against partitioned halves that stay apart because no seed is running.
#[test]
fn partitioned_halves_merge_without_seeds() {
    let mut fleet = EmulatedFleet::started(Spec { nodes: 9, seed: 17, seeds: 1, ..Spec::default() });
    wait_until_converged(&mut fleet, 20 * S);
    fleet.kill(0);
    wait_until_converged(&mut fleet, 40 * S);
    let parts: Vec<u32> = (0..9).map(|i| i % 2).collect();
    fleet.rules.partition(&parts);
    fleet.run(40 * S);
    assert_eq!(status(&fleet, 1, 2), Some(MemberStatus::Dead));
    fleet.rules.heal();
    wait_until_converged(&mut fleet, 40 * S);
}

/// Guards against a dead member that newcomers pass on to each other, each counting its age from the time it
/// heard of the death.
#[test]
fn age_of_a_death_is_passed_to_new_members() {
    let timing = Timing { remove_after: 60 * S, ..Timing::default() };
    let mut fleet = EmulatedFleet::started(Spec { nodes: 8, seed: 18, timing, seeds: 2 });
    wait_until_converged(&mut fleet, 20 * S);
    fleet.kill(7);
    // The two seeds restart in turn, each learning of the dead member from the other.
    for round in 0..6 {
        fleet.run(40 * S);
        fleet.kill(round % 2);
        fleet.start(round % 2);
    }
    fleet.run(10 * S);
    assert!((0..7).all(|i| status(&fleet, i, 7).is_none()));
}

/// Guards against a second process that is started by mistake under the same name: the newer one counts; the
/// older one reports the conflict, yields, and returns when the newer one has ended.
#[test]
fn older_of_two_processes_with_one_name_yields_without_flapping() {
    let mut fleet = EmulatedFleet::new(Spec { nodes: 8, seed: 7, ..Spec::default() });
    (0..7).for_each(|i| fleet.start(i));
    fleet.run(20 * S);
    fleet.events.clear();
    fleet.start_as(7, &name(4));
    fleet.run(20 * S);
    let yielded = |fleet: &EmulatedFleet, i: usize| fleet.view(i).unwrap().yielded_to;
    assert_eq!((yielded(&fleet, 4), yielded(&fleet, 7)), (Some(address(7)), None));
    let reporters: Vec<usize> = fleet
        .events
        .iter()
        .filter(|(_, _, n)| matches!(n, MembershipEvent::NameConflict(_) | MembershipEvent::Yielded(_)))
        .map(|(_, i, _)| *i)
        .collect();
    assert!(reporters.contains(&4), "{reporters:?}");
    let observed = |fleet: &EmulatedFleet, by: usize| {
        let member = fleet.view(by).unwrap().members.into_iter().find(|m| m.name == name(4)).unwrap();
        (member.address, member.incarnation, member.status)
    };
    let first = observed(&fleet, 0);
    assert_eq!((first.0, first.2), (address(7), MemberStatus::Alive));
    for _ in 0..60 {
        fleet.run(S);
        assert!(
            (0..7).filter(|i| *i != 4).all(|i| observed(&fleet, i) == first),
            "a view changes back and forth"
        );
    }
    fleet.kill(7);
    wait_until_converged(&mut fleet, 60 * S);
    assert_eq!(observed(&fleet, 0).0, address(4));
}

#[test]
fn restart_with_a_clock_set_back_rejoins() {
    let mut fleet = converged_fleet(6, 8);
    fleet.kill(2);
    fleet.set_clock_skew(2, -86_400_000);
    fleet.start(2);
    wait_until_converged(&mut fleet, 20 * S);
    fleet.kill(2);
    fleet.set_clock_skew(2, 86_400_000);
    fleet.start(2);
    wait_until_converged(&mut fleet, 20 * S);
    fleet.kill(2);
    fleet.set_clock_skew(2, 0);
    fleet.run(60 * S);
    fleet.start(2);
    wait_until_converged(&mut fleet, 20 * S);
}

#[test]
fn member_that_leaves_is_not_declared_dead() {
    let mut fleet = converged_fleet(8, 9);
    fleet.with_machine(3, |m, now| m.set_draining(now, true));
    fleet.run(5 * S);
    assert!((0..8).all(|i| status(&fleet, i, 3) == Some(MemberStatus::Draining)));
    fleet.leave(3);
    wait_until_converged(&mut fleet, 10 * S);
    assert!((0..8).filter(|i| *i != 3).all(|i| status(&fleet, i, 3) == Some(MemberStatus::Left)));
    assert!(fleet.events.iter().all(|(_, _, n)| !matches!(n, MembershipEvent::Down(_))));
    let senders = fleet.with_machine(0, |m, now| m.fleet_size(now, 1).senders).unwrap();
    assert_eq!(senders, 7, "a member that left is no sender");
}

#[test]
fn members_that_come_and_go_are_removed() {
    let timing = Timing { remove_after: 60 * S, ..Timing::default() };
    let mut fleet = EmulatedFleet::started(Spec { nodes: 8, seed: 10, timing, ..Spec::default() });
    fleet.run(10 * S);
    for round in 0..40 {
        fleet.start_as(7, &format!("pod-{round}"));
        fleet.run(10 * S);
        match round % 2 {
            0 => fleet.leave(7),
            _ => fleet.kill(7),
        }
        fleet.run(5 * S);
        // Newcomers learn of dead members from others, which must not keep a name forever.
        fleet.kill(6);
        fleet.start(6);
        let max_names = (0..7).filter_map(|i| fleet.view(i)).map(|v| v.members.len()).max().unwrap();
        assert!(max_names <= 7 + 6, "{max_names} names after round {round}");
    }
    fleet.run(150 * S);
    assert!((0..7).all(|i| fleet.view(i).unwrap().members.len() == 7));
}

/// Guards against effects of datagrams that are forged, foreign or damaged.
#[test]
fn forged_foreign_and_mutated_datagrams_are_rejected() {
    let mut fleet = EmulatedFleet::new(Spec { nodes: 7, seed: 11, ..Spec::default() });
    fleet.set_key(6, test_key(2)); // wrong key
    (0..7).for_each(|i| fleet.start(i));
    fleet.run(10 * S);
    let names: Vec<String> = (0..6).map(name).collect();
    let expected = ExpectedViews::unpartitioned(names.iter().map(String::as_str));
    fleet.run_until_converged(10 * S, &expected).unwrap();
    let rejected =
        |fleet: &EmulatedFleet| (0..6).map(|i| fleet.counters(i).rejected.unauthenticated).sum::<u64>();
    assert!(rejected(&fleet) > 0, "datagrams of the node with the wrong key");
    fleet.rules.set_default_rule(LinkRule { mutated: 0.1, ..LinkRule::default() });
    let mut rng = SmallRng::seed_from_u64(11);
    for _ in 0..200 {
        let length = rng.random_range(0..2000);
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        fleet.inject(rng.random_range(0..6), &bytes);
        fleet.run(S / 10);
    }
    assert_eq!(fleet.faults(&expected), []);
    let rejected = fleet.counters(0).rejected;
    assert!(rejected.oversized > 0 && rejected.malformed > 0, "{rejected:?}");
}

/// Replays all datagrams of a fleet after some members have died and some were restarted: the views do not
/// change.
#[test]
fn replay_of_all_datagrams_changes_no_view() {
    let mut fleet = EmulatedFleet::new(Spec { nodes: 8, seed: 12, ..Spec::default() });
    fleet.sent_datagrams = Some(Vec::new());
    (0..8).for_each(|i| fleet.start(i));
    fleet.run(15 * S);
    fleet.kill(7);
    fleet.run(15 * S);
    fleet.kill(2);
    fleet.start(2);
    wait_until_converged(&mut fleet, 20 * S);
    let sent_datagrams = fleet.sent_datagrams.take().unwrap();
    let incarnations =
        |fleet: &EmulatedFleet| (0..7).map(|i| fleet.view(i).unwrap().incarnation).collect::<Vec<_>>();
    let (expected, before) = (fleet.expected_views(), incarnations(&fleet));
    for (n, (to, bytes)) in sent_datagrams.iter().enumerate().filter(|(_, (to, _))| *to != 7) {
        fleet.inject(*to, bytes);
        fleet.inject((*to + 1) % 7, bytes); // and to another receiver
        if n % 20 == 0 {
            fleet.run(S / 20);
            assert_eq!(fleet.faults(&expected), []);
        }
    }
    fleet.run(10 * S);
    assert_eq!((fleet.faults(&expected), incarnations(&fleet)), (vec![], before));
    assert!(fleet.counters(0).rejected.replayed > 100);
}

/// Runs a schedule of random faults against a simple model: which nodes run, and which reach each other.
#[allow(
    clippy::too_many_lines,
    reason = "one random run: a match over the kinds of faults, and the checks after each"
)]
fn run_random_faults(seed: u64, max_nodes: usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let n = rng.random_range(3..=max_nodes);
    let mut fleet = EmulatedFleet::started(Spec { nodes: n, seed, ..Spec::default() });
    fleet.run(Duration::from_millis(rng.random_range(0..15_000)));
    // Killed and not restarted since: an incarnation that has ended in a view must not return there.
    let mut killed: Vec<bool> = vec![false; n];
    let mut ended_incarnations: Vec<Vec<u64>> = vec![vec![0; n]; n]; // by viewer and member
    for _ in 0..rng.random_range(3..12) {
        let i = rng.random_range(0..n);
        match rng.random_range(0..10) {
            0 | 1 => {
                fleet.kill(i);
                killed[i] = true;
            }
            2 => {
                fleet.start(i);
                killed[i] = false;
                ended_incarnations[i].fill(0);
                ended_incarnations.iter_mut().for_each(|b| b[i] = 0);
            }
            3 if fleet.is_running(i) => fleet.pause(i),
            4 if !fleet.is_running(i) && fleet.has_process(i) => fleet.resume(i),
            5 => {
                let parts: Vec<u32> = (0..n).map(|_| rng.random_range(0..3)).collect();
                fleet.rules.partition(&parts);
            }
            6 => fleet.rules.heal(),
            7 => {
                let to = rng.random_range(0..n);
                fleet.rules.set_rule(i, to, LinkRule { cut: true, ..LinkRule::default() });
            }
            8 => {
                let (loss, jitter_ms) = (rng.random::<f64>() * 0.4, rng.random_range(0..200));
                fleet.rules.set_default_rule(LinkRule {
                    loss,
                    jitter_ms,
                    twice: 0.1,
                    mutated: 0.01,
                    ..LinkRule::default()
                });
            }
            _ => {}
        }
        for _ in 0..rng.random_range(1..10) {
            fleet.run(S);
            for viewer in (0..n).filter(|v| fleet.is_running(*v)) {
                let view = fleet.view(viewer).unwrap();
                for dead in (0..n).filter(|d| killed[*d]) {
                    let Some(member) = view.members.iter().find(|m| m.name == name(dead)) else { continue };
                    // A later incarnation may be new here if it started and ended behind a cut.
                    let is_revived =
                        member.status.is_present() && member.incarnation <= ended_incarnations[viewer][dead];
                    assert!(
                        !is_revived,
                        "seed {seed}: {dead} returned after its death in the view of {viewer}"
                    );
                    if !member.status.is_present() {
                        ended_incarnations[viewer][dead] = member.incarnation;
                    }
                }
            }
        }
    }
    fleet.rules.heal();
    (0..n)
        .filter(|i| fleet.has_process(*i) && !fleet.is_running(*i))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|i| fleet.resume(i));
    let expected = fleet.expected_views();
    let took = fleet.run_until_converged(60 * S, &expected);
    assert!(took.is_ok(), "seed {seed}, {n} nodes: {:?}", took.unwrap_err());
    assert_stays_converged(&mut fleet, &expected);
}

#[test]
fn views_converge_after_random_faults() {
    (0..60).for_each(|seed| run_random_faults(seed, 12));
    (1000..1004).for_each(|seed| run_random_faults(seed, 60));
    // Extended set of seeds.
    if std::env::var_os("TESTBED_LONG").is_some() {
        (60..1000).for_each(|seed| run_random_faults(seed, 12));
        (1004..1040).for_each(|seed| run_random_faults(seed, 60));
        (2000..2004).for_each(|seed| run_random_faults(seed, 150));
        (3000..3002).for_each(|seed| run_random_faults(seed, 1000));
    }
}
