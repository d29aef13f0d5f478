//! Configuration of a voter.

use crate::lease_table::VoterMember;
use crate::Timing;

/// Configuration of a voter.
#[derive(Clone, Debug)]
pub struct VoterConfig {
    /// Name and address of this voter.
    pub member: VoterMember,
    /// Voters that form a new cluster; includes this voter if it is one of them.
    pub initial_voters: Vec<VoterMember>,
    /// Durations of leases and elections.
    pub timing: Timing,
    /// Id of this process, chosen at random at each start.
    pub process_id: u64,
    /// Seed of the randomized election timeouts.
    pub seed: u64,
    /// Unix time in milliseconds at the zero point of the embedder's clock.
    pub clock_origin_unix_ms: u64,
}
