//! Limits of the lease table, and of the part of it that one session may hold.

use crate::memory::MemoryPlan;

/// Limits for a table without a memory limit.
const DEFAULT_IDS: usize = 20_000;
const DEFAULT_PAYLOAD_BYTES: usize = 32 << 20;
/// While fewer than one in this many places are taken, a session may hold any number of them.
const CONTENTION_DIVISOR: usize = 2;
/// Otherwise it may hold one in this many places, so that others find one.
const SESSION_DIVISOR: usize = 4;

/// Limits of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableLimits {
    /// Largest number of ids of jobs, ended ones and those of duplicates included.
    pub ids: usize,
    /// Largest total payload of the jobs that have not ended, in bytes.
    pub payload_bytes: usize,
}

impl Default for TableLimits {
    fn default() -> Self {
        TableLimits { ids: DEFAULT_IDS, payload_bytes: DEFAULT_PAYLOAD_BYTES }
    }
}

impl TableLimits {
    /// The limits of a plan.
    pub fn new(plan: &MemoryPlan) -> TableLimits {
        TableLimits { ids: plan.faktory_job_ids, payload_bytes: plan.faktory_payload_bytes }
    }

    /// Whether a session that holds this many places may take no more, with this many taken in all.
    pub fn exceeds_share(&self, held: usize, taken: usize) -> bool {
        taken >= self.ids / CONTENTION_DIVISOR && held >= self.ids / SESSION_DIVISOR
    }
}
