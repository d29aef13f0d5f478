//! Results of a run, in the form that is saved as JSON.

use super::limits::NotRun;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Version of the result format.
pub const FORMAT: u32 = 1;

/// Parameter that grows in a series of measurements while the others stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    /// Nodes with a membership machine.
    Nodes,
    /// Workers in the list.
    Workers,
    /// Tenants with quotas.
    Tenants,
    /// Zones that the nodes are distributed over.
    Zones,
    /// Requests started per second, over all nodes.
    Starts,
    /// All of these together.
    Together,
}

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Keeps a view of the fleet: each node.
    Member,
    /// Decides on requests: each dispatching node.
    Dispatcher,
    /// Publishes the rates of its tenants to other nodes: each dispatching node.
    #[serde(rename = "rate_teller")]
    RatePublisher,
    /// Receives the endpoint list from another node of its zone, or passes it on.
    ListRelay,
    /// Votes on leases, one for each zone.
    Voter,
    /// Discovery service that all nodes poll.
    Discovery,
    /// Discovery service that one node of each zone polls.
    SharedDiscovery,
}

/// Condition during a measurement.
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
    /// All nodes of the lost zone restart at once.
    ZoneReturns,
    /// Live weights of all workers change each second.
    LiveWeights,
}

/// Measured quantity of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Memory of the state machine, in bytes.
    StateBytes,
    /// Messages sent per second.
    MessagesOut,
    /// Messages received per second.
    MessagesIn,
    /// Bytes sent per second, without IP and UDP headers.
    BytesOut,
    /// Bytes received per second, without IP and UDP headers.
    BytesIn,
    /// Processor time, as a share of a core.
    ProcessorShare,
    /// Time from a change until it is in force at a node, in milliseconds.
    InForceMs,
    /// Full state that is exchanged over a stream if two views differ, in bytes.
    #[serde(rename = "exchange_bytes")]
    FullStateBytes,
    /// Number of full states received and applied.
    #[serde(rename = "exchanges")]
    FullStatesIn,
    /// Full states received and applied, in bytes per second.
    #[serde(rename = "exchange_bytes_in")]
    FullStateBytesIn,
    /// Endpoint list as discovery sends it, in bytes per second.
    ListBytes,
    /// Memory of the list as it was parsed, in bytes.
    ListStateBytes,
    /// Processor time to parse one list and pass it to the decision module, in microseconds.
    ListProcessorUs,
    /// Processor time of the decision module except for lists, per request sent, in microseconds. It includes
    /// periodic work that does not depend on load, so it falls as the request rate grows.
    #[serde(rename = "job_processor_us")]
    RequestProcessorUs,
    /// Requests sent per second.
    Sends,
}

/// Value of a quantity over the processes of one measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Value {
    /// Value of the median process.
    pub median: f64,
    /// Value of the worst process.
    pub worst: f64,
}

impl Value {
    /// Returns a value without distinction between processes.
    pub fn single(value: f64) -> Value {
        Value { median: value, worst: value }
    }

    /// Returns median and maximum, or `None` without values.
    pub fn of(mut values: Vec<f64>) -> Option<Value> {
        values.sort_by(f64::total_cmp);
        let worst = *values.last()?;
        let median = values[(values.len() - 1) / 2];
        Some(Value { median, worst })
    }
}

/// Figures by quantity.
pub type Figures = BTreeMap<Quantity, Value>;

/// Outcome of one measurement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Figures of a completed measurement.
    Measured(Figures),
    /// Reason why it was not run or not completed.
    NotRun(String),
}

/// Measurement of one role at one size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measurement {
    /// Axis of the size.
    pub axis: Axis,
    /// Size on the axis.
    pub size: u64,
    /// Role of the measured processes.
    pub role: Role,
    /// Condition during the measurement.
    pub condition: Condition,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Run of one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Version of the format.
    pub format: u32,
    /// Command of the run.
    pub command: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// End of the run, as RFC 3339.
    pub date: String,
    /// Commit of the source, with `+` if files differed from it.
    pub commit: String,
    /// Version of the crate.
    pub version: String,
    /// Number of logical processors of the machine.
    pub processors: usize,
    /// Wall-clock time of the run, in seconds.
    pub took_s: u64,
    /// Measurements by size.
    pub measurements: Vec<Measurement>,
}

/// Collects the measurements of one size of an axis.
pub struct Recorder {
    axis: Axis,
    size: u64,
    measurements: Vec<Measurement>,
}

impl Recorder {
    /// Creates a recorder for a size of an axis.
    pub fn new(axis: Axis, size: u64) -> Recorder {
        Recorder { axis, size, measurements: Vec::new() }
    }

    /// Records the figures of a role.
    pub fn measured(&mut self, role: Role, condition: Condition, figures: Figures) {
        self.record(role, condition, Outcome::Measured(figures));
    }

    /// Records that a measurement was not run.
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

    /// Returns all records.
    pub fn finish(self) -> Vec<Measurement> {
        self.measurements
    }

    fn record(&mut self, role: Role, condition: Condition, outcome: Outcome) {
        let (axis, size) = (self.axis, self.size);
        self.measurements.push(Measurement { axis, size, role, condition, outcome });
    }
}
