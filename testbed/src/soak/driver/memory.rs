//! Memory of the nodes' processes.

use super::super::history::Time;
use super::Driver;
use crate::process::anonymous_memory_kib;
use std::time::Duration;

/// Interval at which the memory is read.
const READ_INTERVAL: Duration = Duration::from_millis(30);
/// KiB in a megabyte.
const KIB_PER_MB: u64 = 1024;

impl Driver {
    /// Records the anonymous memory of the processes of each node, at an interval.
    pub(super) fn read_memory(&mut self) {
        let now: Time = self.recorder.now();
        if now < self.memory_read_at + READ_INTERVAL {
            return;
        }
        self.memory_read_at = now;
        let totals: Vec<u64> =
            self.nodes.iter().map(|node| node.process_ids().filter_map(anonymous_memory_kib).sum()).collect();
        let mut history = self.recorder.history();
        history.memory_limit_kib = self.limits.memory_mb * KIB_PER_MB;
        history.memory_peaks_kib.resize(totals.len(), 0);
        for (peak, total) in history.memory_peaks_kib.iter_mut().zip(totals) {
            *peak = total.max(*peak);
        }
    }
}
