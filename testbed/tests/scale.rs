//! Scale runs: validation of the plan, the fit, the page against its results, and a small fixed run whose
//! counts stay within bounds. Times are not checked.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use testbed::allocation::{counting, CountingAllocator, Memory};
use testbed::scale::fit::{Fit, Model, Point};
use testbed::scale::limits::Limits;
use testbed::scale::membership;
use testbed::scale::page::{self, PageError, BEGIN, END};
use testbed::scale::plan::Plan;
use testbed::scale::result::{
    Axis, Condition, Figures, Measurement, Outcome, Quantity, Recorder, Role, Run, Value, FORMAT,
};

#[global_allocator]
static ALLOCATOR: CountingAllocator = counting();

/// Allows one measurement of memory at a time: the allocator counts for all threads.
static MEASUREMENT_LOCK: Mutex<()> = Mutex::new(());

fn lock_measurement() -> MutexGuard<'static, ()> {
    MEASUREMENT_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

const PLAN: &str = include_str!("../plans/scale-ci.toml");

fn ci_plan() -> Plan {
    Plan::parse(PLAN).expect("the plan of CI is valid")
}

fn measured(axis: Axis) -> Vec<Measurement> {
    measured_by(&ci_plan(), axis)
}

fn measured_by(plan: &Plan, axis: Axis) -> Vec<Measurement> {
    let measure = |size: &u64| testbed::scale::measure(plan, axis, *size, Memory::new(&ALLOCATOR));
    plan.sizes(axis).iter().flat_map(measure).collect()
}

/// Returns the worst process' figure at each size, in the order of the sizes.
fn worst(measurements: &[Measurement], role: Role, condition: Condition, quantity: Quantity) -> Vec<f64> {
    let wanted = measurements.iter().filter(|m| m.role == role && m.condition == condition);
    let figure = |m: &Measurement| match &m.outcome {
        Outcome::Measured(figures) => figures[&quantity].worst,
        Outcome::NotRun(reason) => panic!("{role:?} {condition:?} at {}: {reason}", m.size),
    };
    wanted.map(figure).collect()
}

/// Checks that each figure lies within its bound.
fn assert_within(name: &str, figures: &[f64], bounds: [f64; 3]) {
    assert_eq!(figures.len(), bounds.len(), "{name}: {figures:?}");
    let is_expected = figures.iter().zip(bounds).all(|(figure, bound)| *figure <= bound);
    assert!(is_expected, "{name}: {figures:?} within {bounds:?}");
}

/// Measured values are nine tenths of the bounds; the margin allows for small differences of allocators and
/// libraries.
mod bounds {
    pub const MEMBER_STEADY_MESSAGES: [f64; 3] = [2.7, 3.3, 5.5];
    pub const MEMBER_STEADY_BYTES: [f64; 3] = [341.0, 436.0, 644.0];
    pub const MEMBER_STATE: [f64; 3] = [32_710.0, 59_640.0, 97_380.0];
    pub const MEMBER_CHANGE_MESSAGES: [f64; 3] = [4.6, 5.2, 8.3];
    pub const MEMBER_ZONE_LOST_BYTES: [f64; 3] = [2_721.0, 3_868.0, 6_000.0];
    pub const IN_FORCE_MS: [f64; 3] = [7_000.0; 3];
    pub const DISPATCHER_STATE: [f64; 3] = [23_610.0, 32_970.0, 52_390.0];
    pub const LIST_BYTES: [f64; 3] = [5_190.0, 10_340.0, 20_710.0];
    pub const SENDS: [f64; 3] = [1.4; 3];
    pub const RATES_MESSAGES: [f64; 3] = [16.0; 3];
    pub const RATES_BYTES: [f64; 3] = [1_390.0, 2_860.0, 16_240.0];
    pub const RELAY_STATE: [f64; 3] = [250_100.0, 250_400.0, 248_800.0];
    pub const RELAY_MESSAGES: [f64; 3] = [335.0, 189.0, 84.0];
    pub const VOTER_STATE: [f64; 3] = [17_540.0, 19_930.0, 25_970.0];
    pub const VOTER_MESSAGES: [f64; 3] = [34.1, 41.8, 57.2];
    pub const RELAY_BYTES: [f64; 3] = [193_500.0, 108_900.0, 48_400.0];
}

#[test]
fn membership_of_a_small_fleet_stays_within_its_bounds() {
    let _lock = lock_measurement();
    let found = measured(Axis::Nodes);
    let member = |condition, quantity| worst(&found, Role::Member, condition, quantity);
    assert_within(
        "messages",
        &member(Condition::Steady, Quantity::MessagesOut),
        bounds::MEMBER_STEADY_MESSAGES,
    );
    assert_within("bytes", &member(Condition::Steady, Quantity::BytesOut), bounds::MEMBER_STEADY_BYTES);
    assert_within("state", &member(Condition::Steady, Quantity::StateBytes), bounds::MEMBER_STATE);
    assert_within(
        "zone lost",
        &member(Condition::ZoneLost, Quantity::BytesOut),
        bounds::MEMBER_ZONE_LOST_BYTES,
    );
    let phase_change = member(Condition::PhaseChange, Quantity::MessagesOut);
    assert_within("messages of one change", &phase_change, bounds::MEMBER_CHANGE_MESSAGES);
    assert_within("phase", &member(Condition::PhaseChange, Quantity::InForceMs), bounds::IN_FORCE_MS);
}

#[test]
fn decision_module_and_endpoint_list_stay_within_their_bounds() {
    let _lock = lock_measurement();
    let found = measured(Axis::Workers);
    let dispatcher = |quantity| worst(&found, Role::Dispatcher, Condition::LiveWeights, quantity);
    assert_within("state", &dispatcher(Quantity::StateBytes), bounds::DISPATCHER_STATE);
    assert_within("list", &dispatcher(Quantity::ListBytes), bounds::LIST_BYTES);
    assert_within("sends", &dispatcher(Quantity::Sends), bounds::SENDS);
}

#[test]
fn published_rates_stay_within_their_bounds() {
    let _lock = lock_measurement();
    let found = measured(Axis::Tenants);
    let publisher = |quantity| worst(&found, Role::RatePublisher, Condition::Steady, quantity);
    assert_within("messages", &publisher(Quantity::MessagesOut), bounds::RATES_MESSAGES);
    assert_within("bytes", &publisher(Quantity::BytesOut), bounds::RATES_BYTES);
}

#[test]
fn list_broadcast_and_voters_stay_within_their_bounds() {
    let _lock = lock_measurement();
    let found = measured(Axis::Zones);
    let relay = |quantity| worst(&found, Role::ListRelay, Condition::LiveWeights, quantity);
    assert_within("state", &relay(Quantity::StateBytes), bounds::RELAY_STATE);
    assert_within("messages", &relay(Quantity::MessagesOut), bounds::RELAY_MESSAGES);
    assert_within("bytes", &relay(Quantity::BytesOut), bounds::RELAY_BYTES);
    assert_within("in force", &relay(Quantity::InForceMs), bounds::IN_FORCE_MS);
    let voter = |quantity| worst(&found, Role::Voter, Condition::Steady, quantity);
    assert_within("state of a voter", &voter(Quantity::StateBytes), bounds::VOTER_STATE);
    assert_within("messages of a voter", &voter(Quantity::MessagesOut), bounds::VOTER_MESSAGES);
}

/// Removes processor times and allocated bytes, so that only counts remain.
fn counts(mut measurements: Vec<Measurement>) -> Vec<Measurement> {
    let measured = [
        Quantity::StateBytes,
        Quantity::ListStateBytes,
        Quantity::ProcessorShare,
        Quantity::ListProcessorUs,
        Quantity::RequestProcessorUs,
    ];
    for measurement in &mut measurements {
        if let Outcome::Measured(figures) = &mut measurement.outcome {
            figures.retain(|quantity, _| !measured.contains(quantity));
        }
    }
    measurements
}

#[test]
fn same_seed_gives_same_counts() {
    let _lock = lock_measurement();
    let small = PLAN.replace("nodes = [20, 40, 80]", "nodes = [10, 15, 20]");
    let small = Plan::parse(&small).expect("its sizes are in ascending order");
    for axis in [Axis::Nodes, Axis::Workers, Axis::Zones] {
        let (once, again) = (measured_by(&small, axis), measured_by(&small, axis));
        assert_eq!(counts(once), counts(again), "{axis:?}");
    }
}

#[test]
fn measurement_beyond_a_limit_is_recorded_as_not_run() {
    let _lock = lock_measurement();
    let spec = membership::Spec {
        nodes: 20,
        seed: 1,
        warm_up: Duration::from_secs(1),
        steady_time: Duration::from_secs(1),
        crashes: 1,
        zones: 4,
    };
    for (memory_mb, time, reason) in [(0, Duration::from_secs(60), "memory"), (2000, Duration::ZERO, "time")]
    {
        let limits = Limits::start(Memory::new(&ALLOCATOR), memory_mb, time);
        let mut recorder = Recorder::new(Axis::Nodes, 20);
        membership::measure(&spec, &limits, &mut recorder);
        let found = recorder.finish();
        let is_expected =
            |m: &Measurement| matches!(&m.outcome, Outcome::NotRun(why) if why.starts_with(reason));
        assert_eq!(found.len(), membership::CONDITIONS.len());
        assert!(found.iter().all(is_expected), "{found:?}");
    }
}

#[test]
fn invalid_plan_is_reported_by_its_line() {
    let line_of = |start: &str| {
        1 + PLAN.lines().position(|line| line.starts_with(start)).expect("the plan has this line")
    };
    for (from, to) in [
        ("memory_mb = 2000", "memory_mb = 0"),
        ("starts = 40.0", "starts = -1.0"),
        ("starts = 40.0", "starts = nan"),
        ("nodes = [20, 40, 80]", "nodes = [20, 40]"),
        ("nodes = [20, 40, 80]", "nodes = [20, 40, 40]"),
        ("nodes = [20, 40, 80]", "nodes = [0, 40, 80]"),
        ("nodes = [20, 40, 80]", "nodes = [3, 40, 80]"),
        ("nodes = [20, 40, 80]", "nodes = [20, 40, 800000]"),
        ("workers = [30, 60, 120]", "wrokers = [30, 60, 120]"),
        ("calm_s = 10", "calm_s = 0"),
        ("job_s = 2.0", "job_s = \"long\""),
    ] {
        let error = Plan::parse(&PLAN.replace(from, to)).expect_err(to);
        assert_eq!(error.line, line_of(from), "{to}: {error}");
    }
    assert!(Plan::parse(include_str!("../plans/scale.toml")).is_ok());
}

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(size, value)| Point { size: *size, value: *value }).collect()
}

fn is_close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-6 * b.abs().max(1.0)
}

/// The interval was calculated by hand with the quantile 4.302653 of two degrees of freedom.
#[test]
fn line_is_fitted_with_its_prediction_interval() {
    let measured = points(&[(1.0, 2.0), (2.0, 4.1), (3.0, 5.9), (4.0, 8.2)]);
    let fit = Fit::with(Model::Linear, &measured).expect("four sizes are enough");
    assert!(is_close(fit.intercept, -0.05) && is_close(fit.slope, 2.04), "{fit:?}");
    let estimate = fit.estimate(10.0);
    assert!(is_close(estimate.value, 20.35), "{estimate:?}");
    assert!(is_close(estimate.low, 18.145546) && is_close(estimate.high, 22.554453), "{estimate:?}");
}

#[test]
fn model_that_fits_better_is_chosen() {
    let power: Vec<Point> =
        [10.0, 100.0, 1000.0].map(|size: f64| Point { size, value: 3.0 * size.powf(0.5) }).to_vec();
    let fit = Fit::of(&power).expect("three sizes are enough");
    assert_eq!(fit.model, Model::Power);
    assert!(is_close(fit.slope, 0.5) && is_close(fit.estimate(10_000.0).value, 300.0), "{fit:?}");
    let line = Fit::of(&points(&[(10.0, 120.0), (100.0, 300.0), (1000.0, 2100.0)])).expect("three sizes");
    assert_eq!(line.model, Model::Linear);
    assert!(is_close(line.estimate(0.0).value, 100.0), "{line:?}");
    assert_eq!(Fit::of(&points(&[(1.0, 1.0), (2.0, 2.0)])), None, "two sizes have no interval");
}

/// Returns results in which a member's state grows with the number of nodes.
fn saved_results(per_node: f64) -> Vec<Run> {
    let measurement = |size: u64| {
        let figures = Figures::from([(Quantity::StateBytes, Value::single(per_node * size as f64))]);
        let (role, condition) = (Role::Member, Condition::Steady);
        Measurement { axis: Axis::Nodes, size, role, condition, outcome: Outcome::Measured(figures) }
    };
    let run = Run {
        format: FORMAT,
        command: "testbed scale".to_string(),
        seed: 1,
        date: "2026-12-02T00:00:00Z".to_string(),
        commit: "unknown".to_string(),
        version: "0.1.0".to_string(),
        processors: 1,
        took_s: 1,
        measurements: [30, 100, 300, 1000].map(measurement).to_vec(),
    };
    vec![run]
}

#[test]
fn page_that_differs_from_its_results_is_reported_by_its_line() {
    let path = std::env::temp_dir().join(format!("capacity-{}.md", std::process::id()));
    std::fs::write(&path, format!("# Page\n{BEGIN}\nold\n{END}\nmore\n")).expect("a temporary file");
    assert!(matches!(page::check(&path, &saved_results(1000.0)), Err(PageError::Differs { .. })));
    page::write(&path, &saved_results(1000.0)).expect("the page has both markers");
    page::check(&path, &saved_results(1000.0)).expect("the page was written before");
    let text = std::fs::read_to_string(&path).expect("the page was written before");
    let at = text.lines().position(|line| line.contains("3.6 MB at 3,600 nodes")).expect("the extrapolation");
    assert!(text.ends_with(&format!("{END}\nmore\n")), "text after the markers stays");
    assert!(matches!(page::check(&path, &saved_results(1001.0)), Ok(())), "three digits are shown");
    for (results, page) in [
        (saved_results(1100.0), text.clone()),
        (saved_results(1000.0), text.replace("3.6 MB at", "3.5 MB at")),
    ] {
        std::fs::write(&path, page).expect("a temporary file");
        let found = page::check(&path, &results);
        assert!(matches!(found, Err(PageError::Differs { line, .. }) if line == at + 1), "{found:?}");
    }
    std::fs::write(&path, "no markers").expect("a temporary file");
    assert!(matches!(page::check(&path, &saved_results(1000.0)), Err(PageError::NoMarkers { .. })));
    std::fs::remove_file(&path).expect("the file exists");
}

/// Checks the page of this version against its saved results.
#[test]
fn capacity_page_agrees_with_the_saved_results() {
    let docs = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let runs =
        testbed::scale::store::read_all(&docs.join("capacity")).expect("the saved results can be read");
    page::check(&docs.join("CAPACITY.md"), &runs)
        .expect("`testbed scale --page docs/CAPACITY.md` updates the page");
}
