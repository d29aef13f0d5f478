//! Memory that this process has allocated, counted by its global allocator.
//!
//! Only a binary may install the allocator; the library takes a reference to it.

use std::alloc::System;

/// The system's allocator, which also counts the bytes that are allocated.
pub type CountingAllocator = cap::Cap<System>;

/// A counting allocator without a limit, for a `#[global_allocator]`.
pub const fn counting() -> CountingAllocator {
    cap::Cap::new(System, usize::MAX)
}

/// Reads the count of an allocator that is installed.
#[derive(Clone, Copy)]
pub struct Memory {
    allocator: &'static CountingAllocator,
}

impl Memory {
    /// The memory that this allocator counts.
    pub fn new(allocator: &'static CountingAllocator) -> Memory {
        Memory { allocator }
    }

    /// Bytes that are allocated now, by all threads.
    pub fn allocated(&self) -> usize {
        self.allocator.allocated()
    }

    /// Bytes by which `release` lowers what is allocated; 0 where it does not.
    pub fn freed_by(&self, release: impl FnOnce()) -> usize {
        let before = self.allocated();
        release();
        before.saturating_sub(self.allocated())
    }
}
