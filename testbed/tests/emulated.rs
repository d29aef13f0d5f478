//! The fleet's machines in emulated time: hard cases one by one, then random schedules against a plain model.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::{MemberStatus, MembershipEvent, Timing};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use testbed::check::ExpectedViews;
use testbed::emulated::{address, key, name, Spec, World};
use testbed::fault_proxy::LinkRule;

const S: Duration = Duration::from_secs(1);

/// A fleet that has settled.
fn fleet(nodes: usize, seed: u64) -> World {
    let mut world = World::started(Spec { nodes, seed, ..Spec::default() });
    settled(&mut world, 20 * S);
    world
}

/// All that run come to equal and true views within this time, and keep them.
fn settled(world: &mut World, bound: Duration) -> Duration {
    let expected = world.expected_views();
    let took = world.until(bound, &expected).unwrap_or_else(|wrong| panic!("after {bound:?}: {wrong:?}"));
    stays(world, &expected);
    took
}

fn stays(world: &mut World, expected: &ExpectedViews) {
    for _ in 0..20 {
        world.run(S / 2);
        assert_eq!(world.faults(expected), [], "it settled and did not stay so");
    }
}

fn status(world: &World, viewer: usize, of: usize) -> Option<MemberStatus> {
    world.view(viewer)?.members.iter().find(|m| m.name == name(of)).map(|m| m.status)
}

#[test]
fn restart_before_detection_takes_a_higher_incarnation() {
    let mut world = fleet(10, 1);
    let before = world.view(3).unwrap().incarnation;
    // Restarted before anybody noticed that it died.
    world.kill(3);
    world.run(S / 10);
    world.start(3);
    settled(&mut world, 10 * S);
    assert!(world.view(3).unwrap().incarnation > before);
    assert!(
        world.events.iter().all(|(_, _, note)| !matches!(note, MembershipEvent::Down(_))),
        "nobody held it dead"
    );
}

#[test]
fn views_converge_after_a_third_is_killed_and_after_all_restart() {
    let mut world = fleet(12, 2);
    (0..4).for_each(|i| world.kill(i)); // all seeds are among them
    settled(&mut world, 40 * S);
    assert_eq!(status(&world, 9, 0), Some(MemberStatus::Dead));
    (0..12).for_each(|i| world.kill(i));
    world.run(S);
    (0..12).for_each(|i| world.start(i));
    settled(&mut world, 20 * S);
}

#[test]
fn partitioned_halves_declare_each_other_dead_and_merge_after_healing() {
    let mut world = fleet(10, 3);
    let parts: Vec<u32> = (0..10).map(|i| i % 2).collect();
    world.rules.partition(&parts);
    let mut expected = world.expected_views();
    expected.partitions.values_mut().enumerate().for_each(|(i, part)| *part = i as u32 % 2);
    world.until(60 * S, &expected).unwrap();
    stays(&mut world, &expected);
    world.rules.heal();
    settled(&mut world, 20 * S);
}

/// Both in one cut: one direction only, and a node that reaches half of the others.
#[test]
fn partially_reachable_member_stays_and_one_way_partition_heals() {
    let mut world = fleet(9, 4);
    for to in 1..9 {
        let half = to % 2 == 0;
        world.rules.set_rule(0, to, LinkRule { cut: half, ..LinkRule::default() });
        world.rules.set_rule(to, 0, LinkRule { cut: half, ..LinkRule::default() });
    }
    // Others reach it for those that can't: nobody drops it.
    for _ in 0..30 {
        world.run(S);
        assert!((1..9).all(|i| status(&world, i, 0).is_some_and(MemberStatus::is_present)));
    }
    world.rules.heal();
    for to in 1..9 {
        world.rules.set_rule(0, to, LinkRule { cut: true, ..LinkRule::default() });
    }
    world.run(30 * S);
    world.rules.heal();
    settled(&mut world, 20 * S);
}

#[test]
fn views_converge_after_a_fifth_of_datagrams_was_lost() {
    let mut world = fleet(10, 5);
    world.rules.set_default_rule(LinkRule { loss: 0.2, twice: 0.1, jitter_ms: 50, ..LinkRule::default() });
    world.run(60 * S);
    let deaths = world.events.iter().filter(|(_, _, n)| matches!(n, MembershipEvent::Down(_))).count();
    assert!(deaths <= 9, "{deaths} times somebody was held dead: more than one wrong death, told to all");
    // Guards those that refuted a suspicion against being told that they are dead all the same.
    let returns = world.events.iter().filter(|(_, _, n)| matches!(n, MembershipEvent::Rejoined(_))).count();
    assert!(returns <= deaths, "{returns} came back, of {deaths} told deaths");
    world.rules.heal();
    settled(&mut world, 20 * S);
}

#[test]
fn paused_process_rejoins_and_declares_nobody_dead() {
    let mut world = fleet(8, 6);
    world.stop(5);
    let expected = world.expected_views();
    world.until(40 * S, &expected).unwrap();
    assert_eq!(status(&world, 0, 5), Some(MemberStatus::Dead));
    world.run(30 * S);
    world.events.clear();
    world.go_on(5);
    settled(&mut world, 20 * S);
    assert!(world.events.iter().any(|(_, i, n)| *i == 5 && matches!(n, MembershipEvent::Rejoined(_))));
    // What others did not answer while it stood still is not held against them.
    assert!(
        world.events.iter().all(|(_, _, n)| !matches!(n, MembershipEvent::Down(_))),
        "{:?}",
        world.events
    );
}

/// Guards the living against a process that stood still while it suspected one of them, and had no ear for its answer.
#[test]
fn paused_process_declares_no_suspect_dead_when_it_resumes() {
    // Whether it goes on before the others hold it dead, and would have to be wrong, depends on who probed when.
    for seed in 100..130 {
        let mut world = fleet(4, seed);
        world.rules.partition(&[0, 0, 0, 1]);
        while !suspects(&world, 3) {
            world.run(S / 20);
        }
        world.rules.heal();
        world.stop(3);
        world.run(S * 81 / 20);
        world.events.clear();
        world.go_on(3);
        world.run(S / 50);
        let down =
            |(_, i, n): &(Duration, usize, MembershipEvent)| *i == 3 && matches!(n, MembershipEvent::Down(_));
        assert!(!world.events.iter().any(down), "seed {seed}: {:?}", world.events);
    }
}

fn suspects(world: &World, i: usize) -> bool {
    world.view(i).unwrap().members.iter().any(|m| m.status == MemberStatus::Suspect)
}

/// Guards the halves of a partition where no seed is there to bring them together.
#[test]
fn partitioned_halves_merge_without_seeds() {
    let mut world = World::started(Spec { nodes: 9, seed: 17, seeds: 1, ..Spec::default() });
    settled(&mut world, 20 * S);
    world.kill(0);
    settled(&mut world, 40 * S);
    let parts: Vec<u32> = (0..9).map(|i| i % 2).collect();
    world.rules.partition(&parts);
    world.run(40 * S);
    assert_eq!(status(&world, 1, 2), Some(MemberStatus::Dead));
    world.rules.heal();
    settled(&mut world, 40 * S);
}

/// Guards against a dead name that newcomers hand on to each other, each counting its death from when it heard of it.
#[test]
fn age_of_a_death_is_passed_to_new_members() {
    let timing = Timing { remove_after: 60 * S, ..Timing::default() };
    let mut world = World::started(Spec { nodes: 8, seed: 18, timing, seeds: 2 });
    settled(&mut world, 20 * S);
    world.kill(7);
    // Each of the two seeds in turn begins anew, and hears of the dead from the other.
    for round in 0..6 {
        world.run(40 * S);
        world.kill(round % 2);
        world.start(round % 2);
    }
    world.run(10 * S);
    assert!((0..7).all(|i| status(&world, i, 7).is_none()));
}

/// Guards against a second process that is started under a name by mistake: the newer one counts, the older one says so
/// and keeps out, and comes back when the newer one has gone.
#[test]
fn older_of_two_processes_with_one_name_yields_without_flapping() {
    let mut world = World::new(Spec { nodes: 8, seed: 7, ..Spec::default() });
    (0..7).for_each(|i| world.start(i));
    world.run(20 * S);
    world.events.clear();
    world.start_as(7, &name(4));
    world.run(20 * S);
    let yielded = |world: &World, i: usize| world.view(i).unwrap().yielded_to;
    assert_eq!((yielded(&world, 4), yielded(&world, 7)), (Some(address(7)), None));
    let said: Vec<usize> = world
        .events
        .iter()
        .filter(|(_, _, n)| matches!(n, MembershipEvent::NameConflict(_) | MembershipEvent::Yielded(_)))
        .map(|(_, i, _)| *i)
        .collect();
    assert!(said.contains(&4), "{said:?}");
    let seen = |world: &World, by: usize| {
        let line = world.view(by).unwrap().members.into_iter().find(|m| m.name == name(4)).unwrap();
        (line.address, line.incarnation, line.status)
    };
    let first = seen(&world, 0);
    assert_eq!((first.0, first.2), (address(7), MemberStatus::Alive));
    for _ in 0..60 {
        world.run(S);
        assert!((0..7).filter(|i| *i != 4).all(|i| seen(&world, i) == first), "a view flaps");
    }
    world.kill(7);
    settled(&mut world, 60 * S);
    assert_eq!(seen(&world, 0).0, address(4));
}

#[test]
fn restart_with_a_clock_set_back_rejoins() {
    let mut world = fleet(6, 8);
    world.kill(2);
    world.set_skew(2, -86_400_000);
    world.start(2);
    settled(&mut world, 20 * S);
    world.kill(2);
    world.set_skew(2, 86_400_000);
    world.start(2);
    settled(&mut world, 20 * S);
    world.kill(2);
    world.set_skew(2, 0);
    world.run(60 * S);
    world.start(2);
    settled(&mut world, 20 * S);
}

#[test]
fn member_that_leaves_is_not_declared_dead() {
    let mut world = fleet(8, 9);
    world.with(3, |m, now| m.set_draining(now, true));
    world.run(5 * S);
    assert!((0..8).all(|i| status(&world, i, 3) == Some(MemberStatus::Draining)));
    world.leave(3);
    settled(&mut world, 10 * S);
    assert!((0..8).filter(|i| *i != 3).all(|i| status(&world, i, 3) == Some(MemberStatus::Left)));
    assert!(world.events.iter().all(|(_, _, n)| !matches!(n, MembershipEvent::Down(_))));
    let senders = world.with(0, |m, now| m.fleet_size(now, 1).senders).unwrap();
    assert_eq!(senders, 7, "who left sends no more");
}

#[test]
fn members_that_come_and_go_are_removed() {
    let timing = Timing { remove_after: 60 * S, ..Timing::default() };
    let mut world = World::started(Spec { nodes: 8, seed: 10, timing, ..Spec::default() });
    world.run(10 * S);
    for round in 0..40 {
        world.start_as(7, &format!("pod-{round}"));
        world.run(10 * S);
        match round % 2 {
            0 => world.leave(7),
            _ => world.kill(7),
        }
        world.run(5 * S);
        // Newcomers are told of the dead by those that know them: that must not keep a name for ever.
        world.kill(6);
        world.start(6);
        let most = (0..7).filter_map(|i| world.view(i)).map(|v| v.members.len()).max().unwrap();
        assert!(most <= 7 + 6, "{most} names after round {round}");
    }
    world.run(150 * S);
    assert!((0..7).all(|i| world.view(i).unwrap().members.len() == 7));
}

/// A datagram that is not what it seems changes nothing, whatever is wrong with it.
#[test]
fn forged_foreign_and_mutated_datagrams_are_rejected() {
    let mut world = World::new(Spec { nodes: 7, seed: 11, ..Spec::default() });
    world.set_key(6, key(2)); // the wrong one
    (0..7).for_each(|i| world.start(i));
    world.run(10 * S);
    let names: Vec<String> = (0..6).map(name).collect();
    let expected = ExpectedViews::unpartitioned(names.iter().map(String::as_str));
    world.until(10 * S, &expected).unwrap();
    let refused = |world: &World| (0..6).map(|i| world.counters(i).rejected.unauthenticated).sum::<u64>();
    assert!(refused(&world) > 0, "what the one with the wrong key sends");
    world.rules.set_default_rule(LinkRule { mutated: 0.1, ..LinkRule::default() });
    let mut rng = SmallRng::seed_from_u64(11);
    for _ in 0..200 {
        let length = rng.random_range(0..2000);
        let bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        world.inject(rng.random_range(0..6), &bytes);
        world.run(S / 10);
    }
    assert_eq!(world.faults(&expected), []);
    let refused = world.counters(0).rejected;
    assert!(refused.oversized > 0 && refused.malformed > 0, "{refused:?}");
}

/// All that a fleet ever said, said again after some have died and some were restarted: nothing comes of it.
#[test]
fn replay_of_a_whole_day_revives_and_kills_nobody() {
    let mut world = World::new(Spec { nodes: 8, seed: 12, ..Spec::default() });
    world.tape = Some(Vec::new());
    (0..8).for_each(|i| world.start(i));
    world.run(15 * S);
    world.kill(7);
    world.run(15 * S);
    world.kill(2);
    world.start(2);
    settled(&mut world, 20 * S);
    let tape = world.tape.take().unwrap();
    let lives = |world: &World| (0..7).map(|i| world.view(i).unwrap().incarnation).collect::<Vec<_>>();
    let (expected, before) = (world.expected_views(), lives(&world));
    for (n, (to, bytes)) in tape.iter().enumerate().filter(|(_, (to, _))| *to != 7) {
        world.inject(*to, bytes);
        world.inject((*to + 1) % 7, bytes); // and to somebody that it was not for
        if n % 20 == 0 {
            world.run(S / 20);
            assert_eq!(world.faults(&expected), []);
        }
    }
    world.run(10 * S);
    assert_eq!((world.faults(&expected), lives(&world)), (vec![], before));
    assert!(world.counters(0).rejected.replayed > 100);
}

/// The drawn faults of one schedule, and a plain model of them: who runs, and who can talk to whom.
#[allow(
    clippy::too_many_lines,
    reason = "one drawn run: a match over the kinds of faults, and what must hold after it"
)]
fn walk(seed: u64, most: usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let n = rng.random_range(3..=most);
    let mut world = World::started(Spec { nodes: n, seed, ..Spec::default() });
    world.run(Duration::from_millis(rng.random_range(0..15_000)));
    // Those that died and were not started again since: in whose view a life of theirs is over, it stays so.
    let mut killed: Vec<bool> = vec![false; n];
    let mut buried: Vec<Vec<u64>> = vec![vec![0; n]; n]; // which life, in whose view
    for _ in 0..rng.random_range(3..12) {
        let i = rng.random_range(0..n);
        match rng.random_range(0..10) {
            0 | 1 => {
                world.kill(i);
                killed[i] = true;
            }
            2 => {
                world.start(i);
                killed[i] = false;
                buried[i].fill(0);
                buried.iter_mut().for_each(|b| b[i] = 0);
            }
            3 if world.runs(i) => world.stop(i),
            4 if !world.runs(i) && world.is_there(i) => world.go_on(i),
            5 => {
                let parts: Vec<u32> = (0..n).map(|_| rng.random_range(0..3)).collect();
                world.rules.partition(&parts);
            }
            6 => world.rules.heal(),
            7 => {
                let to = rng.random_range(0..n);
                world.rules.set_rule(i, to, LinkRule { cut: true, ..LinkRule::default() });
            }
            8 => {
                let (loss, jitter_ms) = (rng.random::<f64>() * 0.4, rng.random_range(0..200));
                world.rules.set_default_rule(LinkRule {
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
            world.run(S);
            for viewer in (0..n).filter(|v| world.runs(*v)) {
                let view = world.view(viewer).unwrap();
                for dead in (0..n).filter(|d| killed[*d]) {
                    let Some(line) = view.members.iter().find(|m| m.name == name(dead)) else { continue };
                    // A later life may be news here where it was led, and ended, behind a cut.
                    let risen = line.status.is_present() && line.incarnation <= buried[viewer][dead];
                    assert!(!risen, "seed {seed}: {dead} rose from the dead at {viewer}");
                    if !line.status.is_present() {
                        buried[viewer][dead] = line.incarnation;
                    }
                }
            }
        }
    }
    world.rules.heal();
    (0..n)
        .filter(|i| world.is_there(*i) && !world.runs(*i))
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|i| world.go_on(i));
    let expected = world.expected_views();
    let took = world.until(60 * S, &expected);
    assert!(took.is_ok(), "seed {seed}, {n} nodes: {:?}", took.unwrap_err());
    stays(&mut world, &expected);
}

#[test]
fn views_converge_after_random_faults() {
    (0..60).for_each(|seed| walk(seed, 12));
    (1000..1004).for_each(|seed| walk(seed, 60));
    // The long set.
    if std::env::var_os("TESTBED_LONG").is_some() {
        (60..1000).for_each(|seed| walk(seed, 12));
        (1004..1040).for_each(|seed| walk(seed, 60));
        (2000..2004).for_each(|seed| walk(seed, 150));
        (3000..3002).for_each(|seed| walk(seed, 1000));
    }
}
