//! Status report of a node, as its management address returns it (`GET /fleet`) and the rig's checkers read it.

use crate::fleet_size::FleetSize;
use crate::machine::Counters;
use crate::member::View;
use serde::{Deserialize, Serialize};

/// A node's report on its fleet. The JSON keys are part of the management interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// View of the fleet.
    #[serde(flatten)]
    pub view: View,
    /// Counts that the node's decisions go by.
    #[serde(rename = "stand")]
    pub fleet_size: FleetCounts,
    /// Counters of the protocol.
    #[serde(rename = "figures")]
    pub counters: Counters,
    /// How often more datagrams arrived at once than the node reads.
    pub floods: u64,
}

/// Counts of a [`FleetSize`], without the names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetCounts {
    /// Nodes that take jobs, the reporting one included.
    pub siblings: u32,
    /// Position of the node among them.
    pub ordinal: u32,
    /// Upper bound on the nodes that send to workers.
    pub senders: u32,
}

impl From<&FleetSize> for FleetCounts {
    fn from(size: &FleetSize) -> FleetCounts {
        FleetCounts { siblings: size.siblings, ordinal: size.ordinal, senders: size.senders }
    }
}
