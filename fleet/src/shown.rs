//! What a node tells of its fleet, as its management address and the rig's checkers read it.

use crate::machine::Figures;
use crate::member::View;
use serde::{Deserialize, Serialize};

/// What a node tells of its fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Shown {
    /// Its view.
    #[serde(flatten)]
    pub view: View,
    /// What its decisions are told.
    pub stand: Standing,
    /// Its counters.
    pub figures: Figures,
    /// Datagrams that waited because too many came at once.
    pub floods: u64,
}

/// What a node's decisions are told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Standing {
    /// Nodes that take jobs, itself included.
    pub siblings: u32,
    /// Its place among them.
    pub ordinal: u32,
    /// The most nodes that may be sending to workers.
    pub senders: u32,
}
