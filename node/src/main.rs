//! Binary of the node; its code is in the library.

use cap::Cap;
use molevale::memory::HeapGauge;
use std::alloc::System;

/// Counts what the process has allocated.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

fn main() -> std::process::ExitCode {
    molevale::run(HeapGauge::new(|| HEAP.allocated()))
}
