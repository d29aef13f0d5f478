//! Status report of a node: the JSON body of `GET /fleet` at its management address.

use crate::fleet_size::FleetSize;
use crate::machine::Counters;
use crate::member::View;
use serde::{Deserialize, Serialize};

/// Report of a node on its fleet. The JSON keys are part of the management interface.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// View of the fleet.
    #[serde(flatten)]
    pub view: View,
    /// Fleet size that the node's decisions use.
    #[serde(rename = "stand")]
    pub fleet_size: FleetCounts,
    /// Protocol counters.
    #[serde(rename = "figures")]
    pub counters: Counters,
    /// How often the node stopped reading because its datagram budget was used up.
    pub floods: u64,
}

/// Counts of a [`FleetSize`], without the names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetCounts {
    /// Number of nodes that accept requests, the reporting one included.
    #[serde(rename = "siblings")]
    pub dispatchers: u32,
    /// Index of the node among the dispatchers, sorted by name.
    pub ordinal: u32,
    /// Upper bound on the number of nodes that send to workers.
    pub senders: u32,
}

impl From<&FleetSize> for FleetCounts {
    fn from(size: &FleetSize) -> FleetCounts {
        FleetCounts { dispatchers: size.dispatchers, ordinal: size.ordinal, senders: size.senders }
    }
}
