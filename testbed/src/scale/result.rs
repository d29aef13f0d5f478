//! What a run measured, as it is kept in JSON.

use super::limits::NotRun;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the result format.
pub const FORMAT: u32 = 1;

/// What grows in a series of measurements while all else stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Nodes in the membership machine.
    Nodes,
    /// Workers on the list.
    Workers,
    /// Tenants with quotas.
    Tenants,
    /// Zones that the nodes are spread over.
    Zones,
    /// Task starts a second, over all nodes.
    Starts,
    /// All of these together.
    Together,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Keeps the view of the fleet: every node.
    Member,
    /// Decides on jobs: every dispatching node.
    Dispatcher,
    /// Tells other nodes the rates of its tenants: every dispatching node.
    #[serde(rename = "rate_teller")]
    RatePublisher,
    /// Takes the worker list from another node of its zone, or passes it on.
    ListRelay,
    /// Votes on duties, one for each zone.
    Voter,
    /// The service that has the worker list, where all nodes ask it.
    Discovery,
    /// The same, where one node of each zone asks it.
    SharedDiscovery,
}

/// What happens while it is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No process starts or ends, and no phase changes.
    #[serde(rename = "calm")]
    Steady,
    /// One node changes its phase.
    PhaseChange,
    /// Several nodes are killed at once.
    Crashes,
    /// All nodes of a zone are killed at once.
    ZoneLost,
    /// All nodes of the lost zone start again at once.
    ZoneReturns,
    /// Live weights of all workers are renewed each second.
    LiveWeights,
}

/// A figure of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Memory that the state machine holds, in bytes.
    StateBytes,
    /// Messages sent a second.
    MessagesOut,
    /// Messages received a second.
    MessagesIn,
    /// Bytes sent a second, without IP and UDP headers.
    BytesOut,
    /// Bytes received a second, without IP and UDP headers.
    BytesIn,
    /// Processor time, as a part of a core.
    ProcessorShare,
    /// From a change until it is in force at a node, in milliseconds.
    InForceMs,
    /// The state that is exchanged over a stream where two views differ, in bytes.
    #[serde(rename = "exchange_bytes")]
    FullStateBytes,
    /// Exchanges of whole states that were taken in.
    #[serde(rename = "exchanges")]
    FullStatesIn,
    /// Whole states that were taken in, in bytes a second.
    #[serde(rename = "exchange_bytes_in")]
    FullStateBytesIn,
    /// The worker list as discovery sends it, in bytes a second.
    ListBytes,
    /// Memory that the list takes where it is kept as it was read, in bytes.
    ListStateBytes,
    /// Processor time of reading one list and handing it to the decision module, in microseconds.
    ListProcessorUs,
    /// Processor time of the decision module apart from lists, for each job sent, in microseconds. What it does each
    /// second whatever comes is in it, so it falls as jobs become more frequent.
    #[serde(rename = "job_processor_us")]
    RequestProcessorUs,
    /// Jobs sent a second.
    Sends,
}

/// A figure over the processes of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// Of the median process.
    pub median: f64,
    /// Of the worst process.
    pub worst: f64,
}

impl Value {
    /// One value where processes are not told apart.
    pub fn single(value: f64) -> Value {
        Value { median: value, worst: value }
    }

    /// Median and maximum; `None` of no values.
    pub fn of(mut values: Vec<f64>) -> Option<Value> {
        values.sort_by(f64::total_cmp);
        let worst = *values.last()?;
        let median = values[(values.len() - 1) / 2];
        Some(Value { median, worst })
    }
}

/// Figures by quantity.
pub type Figures = BTreeMap<Quantity, Value>;

/// What came of one measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Its figures.
    Measured(Figures),
    /// It was not made, for this reason.
    NotRun(String),
}

/// One role at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// What grows.
    pub axis: Axis,
    /// Its size.
    pub size: u64,
    /// Whose figures these are.
    pub role: Role,
    /// What happened meanwhile.
    pub condition: Condition,
    /// The figures.
    pub outcome: Outcome,
}

/// One run of one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The version of this format.
    pub format: u32,
    /// The command that made it.
    pub command: String,
    /// The seed of all that was drawn.
    pub seed: u64,
    /// When it ended, as RFC 3339.
    pub date: String,
    /// The commit of the source, with `+` where files differed from it.
    pub commit: String,
    /// The version of the crate.
    pub version: String,
    /// Logical processors of the machine.
    pub processors: usize,
    /// Wall-clock time of the run, in seconds.
    pub took_s: u64,
    /// The measurements, by size.
    pub measurements: Vec<Measurement>,
}

/// Collects the measurements of one size of an axis.
pub struct Recorder {
    axis: Axis,
    size: u64,
    measurements: Vec<Measurement>,
}

impl Recorder {
    /// For this size of this axis.
    pub fn new(axis: Axis, size: u64) -> Recorder {
        Recorder { axis, size, measurements: Vec::new() }
    }

    /// Records the figures of a role.
    pub fn measured(&mut self, role: Role, condition: Condition, figures: Figures) {
        self.record(role, condition, Outcome::Measured(figures));
    }

    /// Records that a measurement was not made.
    pub fn not_run(&mut self, role: Role, condition: Condition, reason: &NotRun) {
        self.record(role, condition, Outcome::NotRun(reason.to_string()));
    }

    /// Records `reason` for those of these conditions that have no record yet.
    pub fn rest_not_run(&mut self, role: Role, conditions: &[Condition], reason: &NotRun) {
        for condition in conditions {
            let recorded = |m: &Measurement| m.role == role && m.condition == *condition;
            if !self.measurements.iter().any(recorded) {
                self.not_run(role, *condition, reason);
            }
        }
    }

    /// All that was recorded.
    pub fn finish(self) -> Vec<Measurement> {
        self.measurements
    }

    fn record(&mut self, role: Role, condition: Condition, outcome: Outcome) {
        let (axis, size) = (self.axis, self.size);
        self.measurements.push(Measurement { axis, size, role, condition, outcome });
    }
}
