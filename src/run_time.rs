//! Run time estimates: for each class, for workers and kinds of worker relative to the class, and the mean
//! work of a request.

use crate::api::{Micros, SECOND};
use crate::concurrency_limit::REJECTION_GAIN;
use crate::table::{KindId, Table};

/// Lower bound of the initial estimate of a class's median run time.
const MIN_INITIAL_RUN_TIME_US: Micros = 10_000;
/// Initial ratio of the 98th percentile to the median.
const INITIAL_P98_TO_MEDIAN_RATIO: f64 = 8.0;
/// Relative step of the estimate of the 98th percentile, which converges where one run in 50 is longer.
const P98_STEP_RATIO: f64 = 0.004;
/// Number of runs of which one exceeds the 98th percentile.
const RUNS_PER_LONG_RUN: f64 = 50.0;
/// Minimum relative step of the estimate of the median, and minimum gain of a kind's average.
const MIN_STEP_RATIO: f64 = 0.03;
/// Gain of a worker's average.
const WORKER_GAIN: f64 = 0.1;
/// Bounds of the ratio of a single run time to the median.
const RELATIVE_RUN_TIME_BOUNDS: (f64, f64) = (0.3, 3.0);
/// Gain of the averages of the served ratio and of the work, over about 20 requests.
pub const CLASS_GAIN: f64 = 0.05;

/// Statistics of a class's requests.
pub struct ClassHistory {
    /// Estimated median run time.
    pub median_run_us: f64,
    /// Estimated 98th percentile of the run time.
    pub p98_run_us: f64,
    runs: f64,
    /// Longest time remaining until the deadline among received requests.
    pub longest_time_left: Micros,
    /// Ratio of served requests.
    pub served_ratio: f64,
}

impl ClassHistory {
    /// Initial statistics, estimated from the class's objective.
    pub fn from_objective(objective_us: Micros) -> ClassHistory {
        let median_run_us = objective_us.max(MIN_INITIAL_RUN_TIME_US) as f64;
        ClassHistory::with_run_times(median_run_us, INITIAL_P98_TO_MEDIAN_RATIO * median_run_us)
    }

    /// Initial statistics of a class that replaces another one: it starts with the other's run times.
    pub fn inheriting(other: &ClassHistory) -> ClassHistory {
        ClassHistory::with_run_times(other.median_run_us, other.p98_run_us)
    }

    fn with_run_times(median_run_us: f64, p98_run_us: f64) -> ClassHistory {
        ClassHistory { median_run_us, p98_run_us, runs: 0.0, longest_time_left: 0, served_ratio: 1.0 }
    }

    /// Records the run time of a served request and returns its ratio to the median.
    pub fn record_run(&mut self, run_us: f64) -> f64 {
        self.runs += 1.0;
        self.served_ratio += CLASS_GAIN * (1.0 - self.served_ratio);
        let step = (1.0 / self.runs).max(MIN_STEP_RATIO);
        let is_long = run_us > self.p98_run_us;
        self.p98_run_us *=
            if is_long { 1.0 + (RUNS_PER_LONG_RUN - 1.0) * P98_STEP_RATIO } else { 1.0 - P98_STEP_RATIO };
        self.median_run_us *= if run_us > self.median_run_us { 1.0 + step } else { 1.0 / (1.0 + step) };
        (run_us / self.median_run_us).clamp(RELATIVE_RUN_TIME_BOUNDS.0, RELATIVE_RUN_TIME_BOUNDS.1)
    }

    /// Records a request that received its final answer without being served.
    pub fn record_unserved(&mut self) {
        self.served_ratio *= 1.0 - CLASS_GAIN;
    }
}

/// Statistics of a kind of worker.
#[derive(Clone, Debug)]
pub struct KindHistory {
    /// Mean ratio of run times to their class's median.
    pub relative_run_time: f64,
    runs: f64,
    /// Ratio of load reports that show free slots.
    pub free_slots_ratio: f64,
}

impl Default for KindHistory {
    fn default() -> Self {
        KindHistory { relative_run_time: 1.0, runs: 0.0, free_slots_ratio: 1.0 }
    }
}

impl KindHistory {
    /// Records the ratio of a run time to the median.
    pub fn record_run(&mut self, relative_run_time: f64) {
        self.runs += 1.0; // the initial value counts as one run
        self.relative_run_time +=
            (1.0 / (self.runs + 1.0)).max(MIN_STEP_RATIO) * (relative_run_time - self.relative_run_time);
    }

    /// Records whether a load report showed free slots.
    pub fn record_free_slots(&mut self, has_free_slots: bool) {
        let sample = if has_free_slots { 1.0 } else { 0.0 };
        self.free_slots_ratio += REJECTION_GAIN * (sample - self.free_slots_ratio);
    }
}

/// Statistics by kind of worker.
pub type KindHistories = Table<KindId, KindHistory>;

/// Mean ratio of a worker's run times to their class's median.
#[derive(Clone, Copy, Debug)]
pub struct RelativeRunTime(f64);

impl Default for RelativeRunTime {
    fn default() -> Self {
        RelativeRunTime(1.0)
    }
}

impl RelativeRunTime {
    /// The mean ratio.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Records the ratio of a run time to the median.
    pub fn record_run(&mut self, relative_run_time: f64) {
        self.0 += WORKER_GAIN * (relative_run_time - self.0);
    }
}

/// Mean work of a request, in seconds on a standard core.
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
