//! Memory allocated by this process, as counted by its global allocator.
//!
//! Only a binary may install the allocator; the library takes a reference to it.

use std::alloc::System;

/// The system's allocator with a count of the allocated bytes.
pub type CountingAllocator = cap::Cap<System>;

/// Returns a counting allocator without a limit, for a `#[global_allocator]`.
pub const fn counting() -> CountingAllocator {
    cap::Cap::new(System, usize::MAX)
}

/// Reads the count of an installed allocator.
#[derive(Clone, Copy)]
pub struct Memory {
    allocator: &'static CountingAllocator,
}

impl Memory {
    /// Returns a reader of this allocator.
    pub fn new(allocator: &'static CountingAllocator) -> Memory {
        Memory { allocator }
    }

    /// Returns the bytes that all threads have allocated now.
    pub fn allocated(&self) -> usize {
        self.allocator.allocated()
    }

    /// Returns the number of bytes by which `release` reduces the allocated memory, or 0 if it does not.
    pub fn freed_by(&self, release: impl FnOnce()) -> usize {
        let before = self.allocated();
        release();
        before.saturating_sub(self.allocated())
    }
}
