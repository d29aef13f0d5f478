//! Configuration of a voter.

use crate::lease_table::VoterMember;
use crate::Timing;

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Name and address of this voter.
    pub member: VoterMember,
    /// Voters that form a new cluster together, with this one if it is one of them.
    pub initial_voters: Vec<VoterMember>,
    /// Duration of leases and elections.
    pub timing: Timing,
    /// Id of this process, drawn at each start.
    pub process_id: u64,
    /// Seed of the election timeouts.
    pub seed: u64,
    /// Unix time in milliseconds at which the embedder's clock shows zero.
    pub clock_origin_unix_ms: u64,
}
