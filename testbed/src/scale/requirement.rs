//! Requirements of the capacity page: planned sizes, and the budget of each figure.

use super::result::{Axis, Condition, Quantity, Role};

/// Budget that a figure is compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Budget {
    /// Processor time of a node for coordination with others.
    Processor,
    /// Memory of a node for coordination with others.
    Memory,
    /// Bytes per second that a node sends for coordination with others.
    TrafficOut,
    /// Bytes per second that a node receives for coordination with others.
    TrafficIn,
    /// Time until a change is in force at all nodes.
    InForce,
    /// The operators set no bound.
    None,
}

impl Budget {
    /// Returns the bound in the unit of the figures: share of a core, bytes, bytes per second, milliseconds.
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

/// Returns the size of an axis that the operators plan for.
pub fn planned_size(axis: Axis) -> u64 {
    match axis {
        Axis::Nodes | Axis::Workers | Axis::Together => 3600,
        Axis::Tenants => 650,
        Axis::Zones => 40,
        Axis::Starts => 720,
    }
}

/// Row of the capacity page: one figure of one role.
#[derive(Clone, Copy, Debug)]
pub struct Requirement {
    /// Axis of the sizes.
    pub axis: Axis,
    /// Role of the measured process.
    pub role: Role,
    /// Condition of the measurement.
    pub condition: Condition,
    /// Measured quantity; the value of the worst process counts.
    pub quantity: Quantity,
    /// Its budget.
    pub budget: Budget,
    /// Whether it is part of a dispatching node's total.
    pub in_node_sum: bool,
    /// Mechanism behind the figure.
    pub mechanism: &'static str,
}

const VIEW: &str = "membership, `membership::Machine`";
const LIST: &str = "each node reads each line, `platform::endpoint_watch`";
const DECISION: &str = "decision module, `dispatch_policy::Policy`";
const RATES: &str = "rates of 90 tenants at most to 16 siblings a second, `Machine::send_rates`";
const VOTES: &str = "5 voters for all regions, `coordination::Voter`";
const TREE: &str = "tree of a zone's nodes, `coordination::ListBroadcast`";
const SHARED: &str = "a watch of one node of each zone, `lists = true`";
const WATCHES: &str = "a watch of each node, without `lists`";

/// Figures of one role on one axis.
#[derive(Clone, Copy)]
struct Series {
    axis: Axis,
    role: Role,
    mechanism: &'static str,
}

impl Series {
    /// Returns rows for these quantities, each with the usual budget of its quantity.
    fn rows(self, condition: Condition, quantities: &[Quantity]) -> Vec<Requirement> {
        let Series { axis, role, mechanism } = self;
        let row = |quantity: &Quantity| Requirement {
            axis,
            role,
            condition,
            quantity: *quantity,
            budget: usual_budget(*quantity),
            in_node_sum: false,
            mechanism,
        };
        quantities.iter().map(row).collect()
    }
}

/// Returns the budget of a quantity for which the operators set a bound.
fn usual_budget(quantity: Quantity) -> Budget {
    match quantity {
        Quantity::StateBytes | Quantity::ListStateBytes => Budget::Memory,
        Quantity::ProcessorShare => Budget::Processor,
        Quantity::BytesOut => Budget::TrafficOut,
        Quantity::BytesIn | Quantity::FullStateBytesIn | Quantity::ListBytes => Budget::TrafficIn,
        Quantity::InForceMs => Budget::InForce,
        _ => Budget::None,
    }
}

/// Marks rows as parts of a dispatching node's total.
fn in_node_sum(rows: Vec<Requirement>) -> Vec<Requirement> {
    rows.into_iter().map(|row| Requirement { in_node_sum: true, ..row }).collect()
}

/// Removes the bounds of rows for which the operators set none.
fn without_bound(rows: Vec<Requirement>) -> Vec<Requirement> {
    rows.into_iter().map(|row| Requirement { budget: Budget::None, ..row }).collect()
}

/// Returns all rows.
pub fn requirements() -> Vec<Requirement> {
    [member(), dispatcher(), lists(), voters()].concat()
}

fn member() -> Vec<Requirement> {
    use Condition::*;
    use Quantity::*;
    let member = Series { axis: Axis::Nodes, role: Role::Member, mechanism: VIEW };
    [
        in_node_sum(member.rows(Steady, &[StateBytes, ProcessorShare, BytesOut, BytesIn])),
        member.rows(PhaseChange, &[BytesOut, InForceMs]),
        member.rows(Crashes, &[BytesOut, InForceMs]),
        member.rows(ZoneLost, &[BytesOut, InForceMs]),
        member.rows(ZoneReturns, &[BytesOut, InForceMs, FullStateBytesIn]),
        member.rows(ZoneLost, &[ProcessorShare]),
        member.rows(ZoneReturns, &[ProcessorShare]),
    ]
    .concat()
}

fn dispatcher() -> Vec<Requirement> {
    use Condition::{LiveWeights, Steady};
    use Quantity::*;
    let dispatcher = |axis| Series { axis, role: Role::Dispatcher, mechanism: DECISION };
    let rates = Series { axis: Axis::Tenants, role: Role::RatePublisher, mechanism: RATES };
    [
        dispatcher(Axis::Workers).rows(LiveWeights, &[StateBytes, ProcessorShare, RequestProcessorUs]),
        dispatcher(Axis::Tenants).rows(LiveWeights, &[StateBytes]),
        dispatcher(Axis::Starts).rows(LiveWeights, &[StateBytes, ProcessorShare]),
        in_node_sum(dispatcher(Axis::Together).rows(LiveWeights, &[StateBytes, ProcessorShare])),
        in_node_sum(rates.rows(Steady, &[BytesOut, BytesIn])),
    ]
    .concat()
}

fn lists() -> Vec<Requirement> {
    use Condition::LiveWeights;
    use Quantity::*;
    let node = Series { axis: Axis::Workers, role: Role::Dispatcher, mechanism: LIST };
    let relay = |axis| Series { axis, role: Role::ListRelay, mechanism: TREE };
    let polled_by_all = Series { axis: Axis::Workers, role: Role::Discovery, mechanism: WATCHES };
    let polled_by_one = Series { axis: Axis::Together, role: Role::SharedDiscovery, mechanism: SHARED };
    let relay_together = [BytesOut, BytesIn, ProcessorShare, InForceMs, StateBytes];
    [
        in_node_sum(node.rows(LiveWeights, &[ListBytes, ListStateBytes])),
        relay(Axis::Zones).rows(LiveWeights, &[BytesOut, InForceMs]),
        relay(Axis::Together).rows(LiveWeights, &relay_together),
        without_bound(polled_by_all.rows(LiveWeights, &[BytesOut])),
        without_bound(polled_by_one.rows(LiveWeights, &[BytesOut])),
    ]
    .concat()
}

fn voters() -> Vec<Requirement> {
    use Condition::{Crashes, Steady};
    use Quantity::*;
    let voter = Series { axis: Axis::Zones, role: Role::Voter, mechanism: VOTES };
    [
        voter.rows(Steady, &[StateBytes, ProcessorShare, BytesOut, BytesIn]),
        voter.rows(Crashes, &[BytesOut]),
        without_bound(voter.rows(Crashes, &[InForceMs])),
    ]
    .concat()
}
