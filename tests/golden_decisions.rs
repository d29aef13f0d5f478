//! The decisions on fixed event streams, against the digests kept in `golden/decisions.txt`: the same actions in the
//! same order and with the same values, floats by their bits.
//!
//! Where a decision is changed on purpose, `GOLDEN_WRITE=1 cargo test --test golden_decisions` writes the digests anew,
//! and the commit says what changed. Logarithms and exponentials come from the platform's mathematical library.

mod common;

use common::fleet_simulation::{Fleet, Plan};
use common::property_harness::{widely, Rng, World};
use common::recording::{Recording, BLOCK};
use common::*;
use dispatch_policy::api::*;
use dispatch_policy::settings;
use std::fmt::Write;
use std::path::PathBuf;

/// Seeds of the property harness under settings that it draws.
const DRAWN_SEEDS: std::ops::Range<u64> = 100..136;
/// Steps of the property harness in each stream.
const STEPS: usize = 700;
/// Digests on a line of the kept file.
const A_LINE: usize = 16;

struct Stream {
    name: String,
    recorded: Recording,
}

fn kept_file() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/decisions.txt")
}

fn text(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn harness(name: String, mut world: World) -> Stream {
    for _ in 0..STEPS {
        world.act();
        let span = world.rng.below(20) * MS;
        world.pass(span);
    }
    world.pass(30 * S);
    assert!(world.jobs.values().all(|job| job.over), "{name}: a request without an answer");
    Stream { name, recorded: world.recorded }
}

fn drawn_streams() -> Vec<Stream> {
    let drawn = DRAWN_SEEDS.map(|seed| harness(format!("harness-{seed}"), World::new(seed)));
    let many = (200..206).map(|seed| {
        let mut rng = Rng(seed);
        let set = widely(&mut rng);
        let workers = 10 + rng.below(60);
        harness(format!("harness-{seed}-of-{workers}-workers"), World::with(seed, rng, set, workers))
    });
    drawn.chain(many).collect()
}

/// A stream of a simulated fleet under settings of a file, some of them changed.
fn fleet(file: &str, variant: &str, plan: Plan, change: impl FnOnce(&mut Settings)) -> Stream {
    let (mut set, _) = settings::parse(&text(&format!("{file}.settings"))).expect("valid settings");
    change(&mut set);
    let name = format!("{file}{variant}-{}", plan.seed);
    Stream { name, recorded: Fleet::run(plan, set) }
}

fn plan(seed: u64, workers: u64, rate: u64) -> Plan {
    Plan { seed, workers, zones: 3, rate, events: 4_000, acknowledges: false, reports: true }
}

fn fleet_streams() -> Vec<Stream> {
    let as_it_is = |_: &mut Settings| ();
    let mut streams = Vec::new();
    for seed in 1..3 {
        streams.extend([
            fleet("pushed-list-live-weights", "", plan(seed, 24, 30), as_it_is),
            fleet("polled-list", "", plan(seed, 10, 25), as_it_is),
            fleet("survey-lab", "", plan(seed, 13, 25), as_it_is),
            fleet("tile-press", "", plan(seed, 12, 60), as_it_is),
            fleet("ward-round", "", Plan { reports: false, ..plan(seed, 14, 25) }, as_it_is),
            fleet("probed-workers", "", plan(seed, 60, 90), as_it_is),
            fleet("large-fleet", "", Plan { acknowledges: true, ..plan(seed, 80, 60) }, as_it_is),
            fleet("charged-fetches", "", plan(seed, 40, 60), as_it_is),
            fleet("pushed-list-live-weights", "-many-siblings", plan(seed, 70, 40), |set| {
                set.dispatchers = 40
            }),
            fleet("polled-list", "-acknowledged", Plan { acknowledges: true, ..plan(seed, 48, 60) }, |set| {
                set.acknowledges = true;
                set.max_send_delay_us = 20 * MS;
            }),
            fleet("tile-press", "-closed-connections", plan(seed, 50, 120), |set| {
                (set.handshake_price, set.dispatchers, set.max_attempts) = (0.0, 60, 3);
            }),
            fleet("pushed-list-live-weights", "-overload", plan(seed, 12, 150), as_it_is),
            fleet("tile-press", "-overload", plan(seed, 12, 300), as_it_is),
            fleet("probed-workers", "-not-probed", plan(seed, 20, 500), |set| {
                (set.can_probe, set.dispatchers, set.peer_message_price) = (false, 30, 0.05);
            }),
        ]);
    }
    streams
}

fn written(stream: &Stream) -> String {
    let digests: Vec<String> = stream.recorded.digests().iter().map(|d| format!("{:08x}", d >> 32)).collect();
    let mut out = format!("{} {}\n", stream.name, stream.recorded.events());
    for line in digests.chunks(A_LINE) {
        let _ = writeln!(out, " {}", line.join(" "));
    }
    out
}

/// The first stream and block at which the kept digests disagree, with the actions as they are now.
fn difference(kept: &str, streams: &[Stream]) -> Option<String> {
    let kept_of = |name: &str| -> Option<Vec<&str>> {
        let mut lines = kept.lines().skip_while(|line| line.split(' ').next() != Some(name)).skip(1);
        let mut digests = Vec::new();
        while let Some(line) = lines.next().filter(|line| line.starts_with(' ')) {
            digests.extend(line.split_whitespace());
        }
        (!digests.is_empty()).then_some(digests)
    };
    for stream in streams {
        let Some(kept) = kept_of(&stream.name) else {
            return Some(format!("no digests are kept of {}", stream.name));
        };
        let now = written(stream);
        let now: Vec<&str> = now.split_whitespace().skip(2).collect();
        if let Some(block) = (0..now.len().max(kept.len())).find(|&i| now.get(i) != kept.get(i)) {
            let actions = stream.recorded.text(block);
            return Some(format!("{}, block {block} of {BLOCK} events:\n{actions}", stream.name));
        }
    }
    None
}

#[test]
fn the_decisions_on_kept_event_streams_stay_the_same() {
    let streams: Vec<Stream> = drawn_streams().into_iter().chain(fleet_streams()).collect();
    let all: String = streams.iter().map(written).collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(kept_file(), &all).unwrap();
        return;
    }
    let kept = text("decisions.txt");
    if let Some(difference) = difference(&kept, &streams) {
        panic!("decisions differ from tests/golden/decisions.txt first in {difference}");
    }
    assert_eq!(kept, all, "streams are kept that are not run");
}

/// Guards the streams' reach: what the policy can do, they make it do.
#[test]
fn the_kept_event_streams_contain_every_kind_of_action() {
    let mut counts = std::collections::BTreeMap::new();
    for stream in drawn_streams().into_iter().chain(fleet_streams()) {
        for action in stream.recorded.actions() {
            let kind = match action {
                Action::Notify(trace) => format!("{trace:?}"),
                other => format!("{other:?}"),
            };
            let kind: String = kind.chars().take_while(char::is_ascii_alphanumeric).collect();
            *counts.entry(kind).or_insert(0) += 1;
            if let Action::Notify(Notice::RequestGivenUp { request: _, reason }) = action {
                *counts.entry(format!("{reason:?}")).or_insert(0) += 1;
            }
        }
    }
    // Nine kinds of actions beside traces, six kinds of traces and five reasons.
    assert_eq!(counts.len(), 9 + 6 + 5, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 5), "{counts:?}");
}
