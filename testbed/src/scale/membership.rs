//! The membership machines of a fleet in emulated time: state, traffic and processor time without changes,
//! and the time until a change is in force at all nodes.

use super::limits::{Limits, NotRun};
use super::processor::Stopwatch;
use super::result::{Condition, Figures, Quantity, Recorder, Role, Value};
use super::traffic::TrafficSnapshot;
use crate::emulated_membership::{address, name, EmulatedFleet, Spec as FleetSpec};
use membership::{MembershipEvent, Phase};
use std::collections::HashSet;
use std::time::Duration;

/// Emulated time between two checks of the limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Emulated time within which the views must become equal.
const CONVERGENCE_TIME_MAX: Duration = Duration::from_secs(300);
/// Emulated time within which a change must be in force at all nodes.
const IN_FORCE_MAX: Duration = Duration::from_secs(60);
/// Minimum emulated time for which traffic is counted after a change.
const CHANGE_WINDOW: Duration = Duration::from_secs(10);
/// Emulated time for the dissemination of one change before the next one is made.
const DISSEMINATION_TIME: Duration = Duration::from_secs(10);

/// Conditions that [`measure`] records, in this order.
pub const CONDITIONS: [Condition; 5] = [
    Condition::Steady,
    Condition::PhaseChange,
    Condition::Crashes,
    Condition::ZoneLost,
    Condition::ZoneReturns,
];

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Time from equal views to the start of the measurement.
    pub warm_up: Duration,
    /// Duration of the measurement without changes.
    pub steady_time: Duration,
    /// Number of nodes that are killed at once.
    pub crashes: usize,
    /// Number of zones, of which one is lost.
    pub zones: usize,
}

/// Measures a fleet under each of [`CONDITIONS`]; those that a limit prevents are recorded as not run.
pub fn measure(spec: &Spec, limits: &Limits, recorder: &mut Recorder) {
    if let Err(reason) = measure_all(spec, limits, recorder) {
        recorder.rest_not_run(Role::Member, &CONDITIONS, &reason);
    }
}

fn measure_all(spec: &Spec, limits: &Limits, recorder: &mut Recorder) -> Result<(), NotRun> {
    let mut measured = MeasuredFleet::converged(spec, limits)?;
    measured.run(spec.warm_up)?;
    let steady = measured.measure_steady(spec.steady_time)?;
    let phase = measured.measure_phase_change(spec.nodes / 2)?;
    measured.run(DISSEMINATION_TIME)?;
    let crashes = measured.measure_crashes(&spread_out(spec.nodes, spec.crashes))?;
    let steady = with_state(steady, &crashes.state);
    recorder.measured(Role::Member, Condition::Steady, steady);
    recorder.measured(Role::Member, Condition::PhaseChange, phase);
    recorder.measured(Role::Member, Condition::Crashes, crashes.figures);
    measured.run(DISSEMINATION_TIME)?;
    let zone: Vec<usize> = (0..spec.nodes).filter(|i| i % spec.zones == 1 % spec.zones).collect();
    let zone: Vec<usize> = zone.into_iter().filter(|i| measured.fleet.is_running(*i)).collect();
    let lost = measured.measure_crashes(&zone)?;
    recorder.measured(Role::Member, Condition::ZoneLost, lost.figures);
    measured.run(DISSEMINATION_TIME)?;
    let returns = measured.measure_zone_return(&zone)?;
    recorder.measured(Role::Member, Condition::ZoneReturns, returns);
    Ok(())
}

/// Returns `count` nodes at equal distances, without seeds and without the node that changes its phase.
fn spread_out(nodes: usize, count: usize) -> Vec<usize> {
    let seeds = FleetSpec::default().seeds;
    let free: Vec<usize> = (seeds..nodes).filter(|i| *i != nodes / 2).collect();
    let count = count.min(free.len());
    (0..count).map(|i| free[i * free.len() / count]).collect()
}

fn with_state(mut figures: Figures, state: &[f64]) -> Figures {
    if let Some(state) = Value::of(state.to_vec()) {
        figures.insert(Quantity::StateBytes, state);
    }
    figures
}

/// Results of a crash of several nodes.
struct Crashes {
    figures: Figures,
    /// State of each killed node, in bytes.
    state: Vec<f64>,
}

/// Emulated fleet under measurement.
struct MeasuredFleet<'a> {
    fleet: EmulatedFleet,
    limits: &'a Limits,
    nodes: usize,
}

impl<'a> MeasuredFleet<'a> {
    fn converged(spec: &Spec, limits: &'a Limits) -> Result<MeasuredFleet<'a>, NotRun> {
        let fleet_spec = FleetSpec { nodes: spec.nodes, seed: spec.seed, ..FleetSpec::default() };
        let emulated = EmulatedFleet::started(fleet_spec);
        let mut fleet = MeasuredFleet { fleet: emulated, limits, nodes: spec.nodes };
        fleet.run_until_equal()?;
        Ok(fleet)
    }

    /// Lets emulated time pass, within the limits.
    fn run(&mut self, span: Duration) -> Result<(), NotRun> {
        let end = self.fleet.now() + span;
        while self.fleet.now() < end {
            let remaining = end - self.fleet.now();
            self.fleet.run(CHECK_INTERVAL.min(remaining));
            self.limits.check()?;
        }
        self.fleet.events.clear();
        Ok(())
    }

    /// Lets emulated time pass until all running nodes have equal views that contain all of them.
    fn run_until_equal(&mut self) -> Result<(), NotRun> {
        let end = self.fleet.now() + CONVERGENCE_TIME_MAX;
        while !self.views_are_equal() {
            if self.fleet.now() >= end {
                return Err(NotRun::NotConverged { after_s: CONVERGENCE_TIME_MAX.as_secs() });
            }
            self.run(CHECK_INTERVAL)?;
        }
        Ok(())
    }

    fn views_are_equal(&mut self) -> bool {
        let running = self.running();
        let digests: HashSet<Option<u64>> = running.iter().map(|i| self.digest(*i)).collect();
        digests.len() == 1 && !digests.contains(&None) && self.has_present(running[0], running.len())
    }

    fn digest(&mut self, node: usize) -> Option<u64> {
        self.fleet.with_machine(node, |machine, _| machine.digest()).flatten()
    }

    /// Returns whether this number of members, including the node itself, is present in a node's view.
    fn has_present(&self, node: usize, running: usize) -> bool {
        let view = self.fleet.view(node);
        let present = |view: &membership::View| view.members.iter().filter(|m| m.status.is_present()).count();
        view.is_some_and(|view| present(&view) == running)
    }

    fn running(&self) -> Vec<usize> {
        (0..self.nodes).filter(|i| self.fleet.is_running(*i)).collect()
    }

    /// Returns the counters of the running nodes.
    fn traffic(&self) -> TrafficSnapshot {
        TrafficSnapshot::of(self.running().into_iter().map(|i| (i, self.fleet.counters(i))))
    }

    fn measure_steady(&mut self, duration: Duration) -> Result<Figures, NotRun> {
        let before = self.traffic();
        let stopwatch = Stopwatch::start();
        self.run(duration)?;
        let mut figures = self.figures_since(&before, duration, &stopwatch);
        figures.insert(Quantity::FullStateBytes, Value::single(self.full_state_bytes() as f64));
        Ok(figures)
    }

    /// Traffic and processor time since `before`. The processor time includes the emulator's own work: it is
    /// an upper bound.
    fn figures_since(&self, before: &TrafficSnapshot, span: Duration, stopwatch: &Stopwatch) -> Figures {
        let processor = stopwatch.elapsed().as_secs_f64();
        let node_seconds = self.running().len() as f64 * span.as_secs_f64();
        let mut figures = self.traffic().since(before, span);
        figures.insert(Quantity::ProcessorShare, Value::single(processor / node_seconds));
        figures
    }

    fn full_state_bytes(&mut self) -> usize {
        let length =
            |machine: &mut membership::Machine, now| machine.request_sync(now, address(1), 1).1.len();
        self.fleet.with_machine(0, length).unwrap_or(0)
    }

    fn measure_phase_change(&mut self, node: usize) -> Result<Figures, NotRun> {
        let others = self.running().len() - 1;
        let draining =
            |event: &MembershipEvent| matches!(event, MembershipEvent::Up(id) if id.phase == Phase::Draining);
        self.fleet.events.clear();
        let (before, changed_at) = (self.traffic(), self.fleet.now());
        self.fleet.with_machine(node, |machine, now| machine.set_draining(now, true));
        self.run_until_reported(changed_at, others, draining, &before)
    }

    fn measure_crashes(&mut self, killed: &[usize]) -> Result<Crashes, NotRun> {
        self.fleet.events.clear();
        let (changed_at, memory) = (self.fleet.now(), self.limits.memory());
        let state: Vec<f64> =
            killed.iter().map(|node| memory.freed_by(|| self.fleet.kill(*node)) as f64).collect();
        let names: HashSet<String> = killed.iter().map(|node| name(*node)).collect();
        let before = self.traffic();
        let reports = before.nodes() * killed.len();
        let down =
            |event: &MembershipEvent| matches!(event, MembershipEvent::Down(id) if names.contains(&id.name));
        let figures = self.run_until_reported(changed_at, reports, down, &before)?;
        Ok(Crashes { figures, state })
    }

    /// Runs until the expected number of events has arrived, and to the end of the window in which traffic is
    /// counted. Returns the figures of the window and the delays of the events.
    fn run_until_reported(
        &mut self,
        changed_at: Duration,
        expected: usize,
        wanted: impl Fn(&MembershipEvent) -> bool,
        before: &TrafficSnapshot,
    ) -> Result<Figures, NotRun> {
        let mut delays = Vec::with_capacity(expected);
        let mut figures = Figures::new();
        let stopwatch = Stopwatch::start();
        loop {
            self.fleet.run(CHECK_INTERVAL);
            self.limits.check()?;
            let events = std::mem::take(&mut self.fleet.events);
            let wanted = events.iter().filter(|(_, _, event)| wanted(event));
            delays.extend(wanted.map(|(at, _, _)| (*at - changed_at).as_secs_f64() * 1e3));
            let elapsed = self.fleet.now() - changed_at;
            if elapsed >= CHANGE_WINDOW && figures.is_empty() {
                figures = self.figures_since(before, elapsed, &stopwatch);
            }
            if delays.len() >= expected && !figures.is_empty() {
                break;
            }
            if elapsed >= IN_FORCE_MAX {
                let after_s = IN_FORCE_MAX.as_secs();
                return Err(NotRun::NotInForce { reached: delays.len(), expected, after_s });
            }
        }
        if let Some(in_force) = Value::of(delays) {
            figures.insert(Quantity::InForceMs, in_force);
        }
        Ok(figures)
    }

    fn measure_zone_return(&mut self, zone: &[usize]) -> Result<Figures, NotRun> {
        zone.iter().for_each(|node| self.fleet.start(*node));
        let (before, started) = (self.traffic(), self.fleet.now());
        let stopwatch = Stopwatch::start();
        self.run_until_equal()?;
        let elapsed = self.fleet.now() - started;
        self.run(CHANGE_WINDOW.saturating_sub(elapsed))?;
        let window = self.fleet.now() - started;
        let mut figures = self.figures_since(&before, window, &stopwatch);
        let state_rate = self.full_state_bytes() as f64 / window.as_secs_f64();
        if let Some(full_states) = figures.get(&Quantity::FullStatesIn).copied() {
            let (median, worst) = (full_states.median * state_rate, full_states.worst * state_rate);
            figures.insert(Quantity::FullStateBytesIn, Value { median, worst });
        }
        figures.insert(Quantity::InForceMs, Value::single(elapsed.as_secs_f64() * 1e3));
        Ok(figures)
    }
}
