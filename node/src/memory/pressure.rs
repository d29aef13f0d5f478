//! Protection against more memory in use than planned. Above a high mark the process sheds new requests and closes idle
//! connections, until it is below a low mark.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Marks, as fractions of the limit: numerator and denominator.
const HIGH_MARK: (usize, usize) = (7, 8);
const LOW_MARK: (usize, usize) = (3, 4);
/// Bytes in a KiB.
const KIB: usize = 1024;

/// Reads the number of bytes that the process has allocated.
#[derive(Clone, Copy)]
pub struct HeapGauge(fn() -> usize);

impl HeapGauge {
    /// Creates a gauge from the count of the process' allocator.
    pub const fn new(allocated: fn() -> usize) -> HeapGauge {
        HeapGauge(allocated)
    }

    /// Allocated bytes.
    pub fn allocated(self) -> usize {
        (self.0)()
    }
}

impl Default for HeapGauge {
    /// A gauge of a process that does not count its allocations.
    fn default() -> Self {
        HeapGauge(|| 0)
    }
}

/// Whether the process holds too much memory.
pub struct MemoryPressure {
    heap: HeapGauge,
    /// What this process may hold, in bytes.
    limit: AtomicUsize,
    is_high: AtomicBool,
}

impl MemoryPressure {
    /// Creates the state of a process that may hold this many bytes.
    pub fn new(heap: HeapGauge, limit: usize) -> MemoryPressure {
        MemoryPressure { heap, limit: AtomicUsize::new(limit), is_high: AtomicBool::new(false) }
    }

    /// Changes what this process may hold.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Allocated memory, in KiB.
    pub fn heap_kib(&self) -> usize {
        self.heap.allocated() / KIB
    }

    /// Whether the memory has passed the high mark and has not fallen below the low mark since.
    pub fn is_high(&self) -> bool {
        let (allocated, limit) = (self.heap.allocated(), self.limit.load(Ordering::Relaxed));
        let was_high = self.is_high.load(Ordering::Relaxed);
        let (numerator, denominator) = if was_high { LOW_MARK } else { HIGH_MARK };
        let is_high = allocated > limit / denominator * numerator;
        if is_high != was_high {
            self.is_high.store(is_high, Ordering::Relaxed);
            let (heap_kib, limit_kib) = (allocated / KIB, limit / KIB);
            if is_high {
                log::warn!(event = "memory_pressure_began", heap_kib, limit_kib;
                    "much memory is in use: new requests are shed, and idle connections are closed");
            } else {
                log::info!(event = "memory_pressure_ended", heap_kib, limit_kib; "memory is free again");
            }
        }
        is_high
    }
}
