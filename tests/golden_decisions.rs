//! Compares the decisions on fixed event streams with the digests recorded in `golden/decisions.txt`: the
//! same actions in the same order and with the same values, floats bit by bit.
//!
//! After an intended change of a decision, `GOLDEN_WRITE=1 cargo test --test golden_decisions` records new
//! digests, and the commit message states what changed. The digests also depend on the platform's math
//! library, which computes logarithms and exponentials.

mod common;

use common::fleet_simulation::{FleetSimulation, SimulationPlan};
use common::property_harness::{random_settings, PropertyHarness, Rng};
use common::recording::{Recording, BLOCK_EVENTS};
use common::*;
use dispatch_policy::api::*;
use dispatch_policy::settings;
use std::fmt::Write;
use std::path::PathBuf;

/// Seeds of the property harness with random settings.
const HARNESS_SEEDS: std::ops::Range<u64> = 100..136;
/// Number of steps of the property harness in each stream.
const HARNESS_STEPS: usize = 700;
/// Digests per line of the golden file.
const DIGESTS_PER_LINE: usize = 16;

struct Stream {
    name: String,
    recording: Recording,
}

fn golden_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/decisions.txt")
}

fn golden_file(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn run_harness(name: String, mut harness: PropertyHarness) -> Stream {
    for _ in 0..HARNESS_STEPS {
        harness.random_step();
        let duration = harness.rng.below(20) * MS;
        harness.advance(duration);
    }
    harness.advance(30 * S);
    assert!(
        harness.requests.values().all(|request| request.answered),
        "{name}: a request has no final answer"
    );
    Stream { name, recording: harness.recording }
}

fn harness_streams() -> Vec<Stream> {
    let small = HARNESS_SEEDS.map(|seed| run_harness(format!("harness-{seed}"), PropertyHarness::new(seed)));
    let larger = (200..206).map(|seed| {
        let mut rng = Rng(seed);
        let settings = random_settings(&mut rng);
        let workers = 10 + rng.below(60);
        run_harness(
            format!("harness-{seed}-of-{workers}-workers"),
            PropertyHarness::with_settings(seed, rng, settings, workers),
        )
    });
    small.chain(larger).collect()
}

/// A stream of a simulated fleet with the settings of a golden file, modified by `change`.
fn fleet_stream(
    file: &str,
    variant: &str,
    plan: SimulationPlan,
    change: impl FnOnce(&mut Settings),
) -> Stream {
    let (mut settings, _) =
        settings::parse(&golden_file(&format!("{file}.settings"))).expect("valid settings");
    change(&mut settings);
    let name = format!("{file}{variant}-{}", plan.seed);
    Stream { name, recording: FleetSimulation::run(plan, settings) }
}

fn simulation_plan(seed: u64, workers: u64, rate: u64) -> SimulationPlan {
    SimulationPlan { seed, workers, zones: 3, rate, events: 4_000, acknowledges: false, reports: true }
}

fn fleet_streams() -> Vec<Stream> {
    let unchanged = |_: &mut Settings| ();
    let mut streams = Vec::new();
    for seed in 1..3 {
        streams.extend([
            fleet_stream("pushed-list-live-weights", "", simulation_plan(seed, 24, 30), unchanged),
            fleet_stream("polled-list", "", simulation_plan(seed, 10, 25), unchanged),
            fleet_stream("survey-lab", "", simulation_plan(seed, 13, 25), unchanged),
            fleet_stream("tile-press", "", simulation_plan(seed, 12, 60), unchanged),
            fleet_stream(
                "ward-round",
                "",
                SimulationPlan { reports: false, ..simulation_plan(seed, 14, 25) },
                unchanged,
            ),
            fleet_stream("probed-workers", "", simulation_plan(seed, 60, 90), unchanged),
            fleet_stream(
                "large-fleet",
                "",
                SimulationPlan { acknowledges: true, ..simulation_plan(seed, 80, 60) },
                unchanged,
            ),
            fleet_stream("charged-fetches", "", simulation_plan(seed, 40, 60), unchanged),
            fleet_stream(
                "pushed-list-live-weights",
                "-many-siblings",
                simulation_plan(seed, 70, 40),
                |settings| settings.dispatchers = 40,
            ),
            fleet_stream(
                "polled-list",
                "-acknowledged",
                SimulationPlan { acknowledges: true, ..simulation_plan(seed, 48, 60) },
                |settings| {
                    settings.acknowledges = true;
                    settings.max_send_delay_us = 20 * MS;
                },
            ),
            fleet_stream("tile-press", "-closed-connections", simulation_plan(seed, 50, 120), |settings| {
                (settings.handshake_price, settings.dispatchers, settings.max_attempts) = (0.0, 60, 3);
            }),
            fleet_stream("pushed-list-live-weights", "-overload", simulation_plan(seed, 12, 150), unchanged),
            fleet_stream("tile-press", "-overload", simulation_plan(seed, 12, 300), unchanged),
            fleet_stream("probed-workers", "-not-probed", simulation_plan(seed, 20, 500), |settings| {
                (settings.can_probe, settings.dispatchers, settings.peer_message_price) = (false, 30, 0.05);
            }),
        ]);
    }
    streams
}

fn digest_lines(stream: &Stream) -> String {
    let digests: Vec<String> =
        stream.recording.digests().iter().map(|d| format!("{:08x}", d >> 32)).collect();
    let mut out = format!("{} {}\n", stream.name, stream.recording.events());
    for line in digests.chunks(DIGESTS_PER_LINE) {
        let _ = writeln!(out, " {}", line.join(" "));
    }
    out
}

/// The first stream and block whose recorded digest differs, with its current actions.
fn first_difference(golden: &str, streams: &[Stream]) -> Option<String> {
    let recorded_digests = |name: &str| -> Option<Vec<&str>> {
        let mut lines = golden.lines().skip_while(|line| line.split(' ').next() != Some(name)).skip(1);
        let mut digests = Vec::new();
        while let Some(line) = lines.next().filter(|line| line.starts_with(' ')) {
            digests.extend(line.split_whitespace());
        }
        (!digests.is_empty()).then_some(digests)
    };
    for stream in streams {
        let Some(expected) = recorded_digests(&stream.name) else {
            return Some(format!("the golden file has no digests of {}", stream.name));
        };
        let text = digest_lines(stream);
        let current: Vec<&str> = text.split_whitespace().skip(2).collect();
        if let Some(block) =
            (0..current.len().max(expected.len())).find(|&i| current.get(i) != expected.get(i))
        {
            let actions = stream.recording.text(block);
            return Some(format!("{}, block {block} of {BLOCK_EVENTS} events:\n{actions}", stream.name));
        }
    }
    None
}

#[test]
fn decisions_on_recorded_event_streams_are_unchanged() {
    let streams: Vec<Stream> = harness_streams().into_iter().chain(fleet_streams()).collect();
    let all: String = streams.iter().map(digest_lines).collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() {
        std::fs::write(golden_path(), &all).unwrap();
        return;
    }
    let golden = golden_file("decisions.txt");
    if let Some(difference) = first_difference(&golden, &streams) {
        panic!("decisions differ from tests/golden/decisions.txt first in {difference}");
    }
    assert_eq!(golden, all, "the golden file has digests of streams that are not run");
}

/// Guards against recorded streams that don't cover some kind of action, so that a change to it would not be
/// seen.
#[test]
fn recorded_event_streams_cover_every_kind_of_action() {
    let mut counts = std::collections::BTreeMap::new();
    for stream in harness_streams().into_iter().chain(fleet_streams()) {
        for action in stream.recording.actions() {
            let kind = match action {
                Action::Notify(notice) => format!("{notice:?}"),
                other => format!("{other:?}"),
            };
            let kind: String = kind.chars().take_while(char::is_ascii_alphanumeric).collect();
            *counts.entry(kind).or_insert(0) += 1;
            if let Action::Notify(Notice::RequestGivenUp { request: _, reason }) = action {
                *counts.entry(format!("{reason:?}")).or_insert(0) += 1;
            }
        }
    }
    // Nine kinds of actions other than notices, six kinds of notices and five reasons.
    assert_eq!(counts.len(), 9 + 6 + 5, "{counts:?}");
    assert!(counts.values().all(|count| *count >= 5), "{counts:?}");
}
