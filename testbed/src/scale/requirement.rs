//! What the operators plan for, and what each figure is held against.

use super::result::{Axis, Condition, Quantity, Role};

/// What a figure is held against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// A node's processor time for control.
    Processor,
    /// A node's memory for control.
    Memory,
    /// Bytes a second that a node sends for control.
    TrafficOut,
    /// Bytes a second that a node receives for control.
    TrafficIn,
    /// Until a change is in force everywhere.
    InForce,
    /// The operators gave no bound.
    None,
}

impl Budget {
    /// The bound, in the unit of the figures: part of a core, bytes, bytes a second, milliseconds.
    pub fn bound(self) -> Option<f64> {
        match self {
            Budget::Processor => Some(0.042),
            Budget::Memory => Some(32e6),
            Budget::TrafficOut | Budget::TrafficIn => Some(24e3),
            Budget::InForce => Some(7000.0),
            Budget::None => None,
        }
    }
}

/// The size of an axis that the operators plan for.
pub fn planned(axis: Axis) -> u64 {
    match axis {
        Axis::Nodes | Axis::Workers | Axis::Together => 3600,
        Axis::Tenants => 650,
        Axis::Zones => 40,
        Axis::Starts => 720,
    }
}

/// A row of the capacity page: one figure of one role.
#[derive(Clone, Copy, Debug)]
pub struct Requirement {
    /// What grows.
    pub axis: Axis,
    /// Whose figure.
    pub role: Role,
    /// Meanwhile.
    pub condition: Condition,
    /// Which figure, of the worst process.
    pub quantity: Quantity,
    /// What it is held against.
    pub budget: Budget,
    /// Whether it counts in the sum of what a dispatching node spends.
    pub in_node_sum: bool,
    /// What carries it.
    pub mechanism: &'static str,
}

const VIEW: &str = "membership, `membership::Machine`";
const LIST: &str = "each node reads each line, `platform::follow`";
const DECISION: &str = "decision module, `dispatch_policy::Policy`";
const RATES: &str = "rates of 90 tenants at most to 16 siblings a second, `Machine::tell`";
const VOTES: &str = "5 voters for all regions, `coordination::Voter`";
const TREE: &str = "tree of a zone's nodes, `coordination::Spread`";
const SHARED: &str = "a watch of one node of each zone, `lists = true`";
const WATCHES: &str = "a watch of each node, without `lists`";

const fn row(
    axis: Axis,
    role: Role,
    condition: Condition,
    quantity: Quantity,
    budget: Budget,
    mechanism: &'static str,
) -> Requirement {
    Requirement { axis, role, condition, quantity, budget, in_node_sum: false, mechanism }
}

/// The same, as a part of what each dispatching node spends.
const fn part(requirement: Requirement) -> Requirement {
    Requirement { in_node_sum: true, ..requirement }
}

/// All rows.
pub fn requirements() -> Vec<Requirement> {
    [member(), dispatcher(), lists(), voters()].concat()
}

fn member() -> Vec<Requirement> {
    use Condition::*;
    let member =
        |condition, quantity, budget| row(Axis::Nodes, Role::Member, condition, quantity, budget, VIEW);
    vec![
        part(member(Calm, Quantity::StateBytes, Budget::Memory)),
        part(member(Calm, Quantity::ProcessorShare, Budget::Processor)),
        part(member(Calm, Quantity::BytesOut, Budget::TrafficOut)),
        part(member(Calm, Quantity::BytesIn, Budget::TrafficIn)),
        member(PhaseChange, Quantity::BytesOut, Budget::TrafficOut),
        member(PhaseChange, Quantity::InForceMs, Budget::InForce),
        member(Crashes, Quantity::BytesOut, Budget::TrafficOut),
        member(Crashes, Quantity::InForceMs, Budget::InForce),
        member(ZoneLost, Quantity::BytesOut, Budget::TrafficOut),
        member(ZoneLost, Quantity::InForceMs, Budget::InForce),
        member(ZoneReturns, Quantity::BytesOut, Budget::TrafficOut),
        member(ZoneReturns, Quantity::InForceMs, Budget::InForce),
        member(ZoneReturns, Quantity::ExchangeBytesIn, Budget::TrafficIn),
        member(ZoneLost, Quantity::ProcessorShare, Budget::Processor),
        member(ZoneReturns, Quantity::ProcessorShare, Budget::Processor),
    ]
}

fn dispatcher() -> Vec<Requirement> {
    use Condition::LiveWeights;
    let on = |axis, quantity, budget| row(axis, Role::Dispatcher, LiveWeights, quantity, budget, DECISION);
    let rates =
        |quantity, budget| row(Axis::Tenants, Role::RateTeller, Condition::Calm, quantity, budget, RATES);
    vec![
        on(Axis::Workers, Quantity::StateBytes, Budget::Memory),
        on(Axis::Workers, Quantity::ProcessorShare, Budget::Processor),
        on(Axis::Workers, Quantity::JobProcessorUs, Budget::None),
        on(Axis::Tenants, Quantity::StateBytes, Budget::Memory),
        on(Axis::Starts, Quantity::StateBytes, Budget::Memory),
        on(Axis::Starts, Quantity::ProcessorShare, Budget::Processor),
        part(on(Axis::Together, Quantity::StateBytes, Budget::Memory)),
        part(on(Axis::Together, Quantity::ProcessorShare, Budget::Processor)),
        part(rates(Quantity::BytesOut, Budget::TrafficOut)),
        part(rates(Quantity::BytesIn, Budget::TrafficIn)),
    ]
}

fn lists() -> Vec<Requirement> {
    use Condition::LiveWeights;
    let node = |quantity, budget| row(Axis::Workers, Role::Dispatcher, LiveWeights, quantity, budget, LIST);
    let relay = |axis, quantity, budget| row(axis, Role::ListRelay, LiveWeights, quantity, budget, TREE);
    vec![
        part(node(Quantity::ListBytes, Budget::TrafficIn)),
        part(node(Quantity::ListStateBytes, Budget::Memory)),
        relay(Axis::Zones, Quantity::BytesOut, Budget::TrafficOut),
        relay(Axis::Zones, Quantity::InForceMs, Budget::InForce),
        relay(Axis::Together, Quantity::BytesOut, Budget::TrafficOut),
        relay(Axis::Together, Quantity::BytesIn, Budget::TrafficIn),
        relay(Axis::Together, Quantity::ProcessorShare, Budget::Processor),
        relay(Axis::Together, Quantity::InForceMs, Budget::InForce),
        relay(Axis::Together, Quantity::StateBytes, Budget::Memory),
        row(Axis::Workers, Role::Discovery, LiveWeights, Quantity::BytesOut, Budget::None, WATCHES),
        row(Axis::Together, Role::SharedDiscovery, LiveWeights, Quantity::BytesOut, Budget::None, SHARED),
    ]
}

fn voters() -> Vec<Requirement> {
    use Condition::{Calm, Crashes};
    let voter =
        |condition, quantity, budget| row(Axis::Zones, Role::Voter, condition, quantity, budget, VOTES);
    vec![
        voter(Calm, Quantity::StateBytes, Budget::Memory),
        voter(Calm, Quantity::ProcessorShare, Budget::Processor),
        voter(Calm, Quantity::BytesOut, Budget::TrafficOut),
        voter(Calm, Quantity::BytesIn, Budget::TrafficIn),
        voter(Crashes, Quantity::BytesOut, Budget::TrafficOut),
        voter(Crashes, Quantity::InForceMs, Budget::None),
    ]
}
