//! Run times: of each class, of each kind of worker relative to them, and the mean work of a request.

use crate::api::{Micros, SECOND};
use crate::concurrency_limit::REJECTION_GAIN;
use crate::table::{KindId, Table};

/// The least first guess at a class's run time.
const MIN_FIRST_GUESS: Micros = 10_000;
/// First guess at a long run time over a typical one.
const LONG_FIRST_GUESS: f64 = 8.0;
/// Step of the estimate of a long run time; it settles where one run in 50 is longer.
const LONG_STEP: f64 = 0.004;
/// Runs for each that is longer than a long one.
const RUNS_A_LONG_ONE: f64 = 50.0;
/// The least step of the estimate of a typical run time, and gain of a kind's average.
const MIN_STEP: f64 = 0.03;
/// Gain of a worker's own average.
const WORKER_GAIN: f64 = 0.1;
/// Bounds of one run's time over the typical one.
const RELATIVE_RANGE: (f64, f64) = (0.3, 3.0);
/// Gain of the averages of served requests and of work: over about 20.
pub const CLASS_GAIN: f64 = 0.05;

/// What is known of a class's requests.
pub struct ClassHistory {
    /// Median run time, in microseconds.
    pub median_run_us: f64,
    /// Run time that one in 50 exceeds, in microseconds.
    pub p98_run_us: f64,
    runs: f64,
    /// The longest time left that a client came with.
    pub longest_time_left: Micros,
    /// The part of requests that were served.
    pub served_ratio: f64,
}

impl ClassHistory {
    /// Nothing is known but the class's objective.
    pub fn from_objective(objective: Micros) -> ClassHistory {
        let median_run_us = objective.max(MIN_FIRST_GUESS) as f64;
        ClassHistory::with_run_times(median_run_us, LONG_FIRST_GUESS * median_run_us)
    }

    /// A class that continues another one under other rules: its run times are the first guess.
    pub fn inheriting(other: &ClassHistory) -> ClassHistory {
        ClassHistory::with_run_times(other.median_run_us, other.p98_run_us)
    }

    fn with_run_times(median_run_us: f64, p98_run_us: f64) -> ClassHistory {
        ClassHistory { median_run_us, p98_run_us, runs: 0.0, longest_time_left: 0, served_ratio: 1.0 }
    }

    /// Records a run that was served, and returns its time over the typical one.
    pub fn record_run(&mut self, run_us: f64) -> f64 {
        self.runs += 1.0;
        self.served_ratio += CLASS_GAIN * (1.0 - self.served_ratio);
        let step = (1.0 / self.runs).max(MIN_STEP);
        let is_long = run_us > self.p98_run_us;
        self.p98_run_us *= if is_long { 1.0 + (RUNS_A_LONG_ONE - 1.0) * LONG_STEP } else { 1.0 - LONG_STEP };
        self.median_run_us *= if run_us > self.median_run_us { 1.0 + step } else { 1.0 / (1.0 + step) };
        (run_us / self.median_run_us).clamp(RELATIVE_RANGE.0, RELATIVE_RANGE.1)
    }

    /// Records a request that got its final answer without being served.
    pub fn record_unserved(&mut self) {
        self.served_ratio *= 1.0 - CLASS_GAIN;
    }
}

/// What is known of a kind of worker.
#[derive(Clone, Debug)]
pub struct KindHistory {
    /// Run times over the typical ones.
    pub relative_run_time: f64,
    runs: f64,
    /// The part of load reports that show room.
    pub free_slots_ratio: f64,
}

impl Default for KindHistory {
    fn default() -> Self {
        KindHistory { relative_run_time: 1.0, runs: 0.0, free_slots_ratio: 1.0 }
    }
}

impl KindHistory {
    /// Records a run's time over the typical one.
    pub fn record_run(&mut self, relative: f64) {
        self.runs += 1.0; // the first guess counts for a run
        self.relative_run_time +=
            (1.0 / (self.runs + 1.0)).max(MIN_STEP) * (relative - self.relative_run_time);
    }

    /// Records whether a load report showed free slots.
    pub fn record_free_slots(&mut self, has_free_slots: bool) {
        let room = if has_free_slots { 1.0 } else { 0.0 };
        self.free_slots_ratio += REJECTION_GAIN * (room - self.free_slots_ratio);
    }
}

/// What is known of the kinds of worker, by kind.
pub type KindHistories = Table<KindId, KindHistory>;

/// A worker's run times over the typical ones.
#[derive(Clone, Copy, Debug)]
pub struct RelativeRunTime(f64);

impl Default for RelativeRunTime {
    fn default() -> Self {
        RelativeRunTime(1.0)
    }
}

impl RelativeRunTime {
    /// The average.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Records a run's time over the typical one.
    pub fn record_run(&mut self, relative: f64) {
        self.0 += WORKER_GAIN * (relative - self.0);
    }
}

/// Mean work of a request, in seconds of a standard core.
pub struct MeanWork(f64);

impl Default for MeanWork {
    fn default() -> Self {
        MeanWork(1.0)
    }
}

impl MeanWork {
    /// The mean, in seconds.
    pub fn seconds(&self) -> f64 {
        self.0
    }

    /// Records a request's expected work.
    pub fn record(&mut self, work_us: f64) {
        self.0 += CLASS_GAIN * (work_us / SECOND as f64 - self.0);
    }
}
