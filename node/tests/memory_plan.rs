//! Division of the memory limit, and what happens above its marks.

use molevale::memory::{Frontends, HeapGauge, MemoryPlan, MemoryPressure, QUEUED_EVENT_BYTES};
use std::sync::atomic::{AtomicUsize, Ordering};

const MEGABYTE: usize = 1 << 20;
const ALL_FRONTENDS: [Frontends; 3] = [Frontends::Platform, Frontends::Faktory, Frontends::Both];

/// Guards incident d3629f: nobody added the parts up. The bounds of all holders, for both processes of an upgrade, leave an
/// eighth of every limit that the platform gives.
#[test]
fn the_bounds_of_all_holders_are_within_the_limit() {
    for memory_mb in 32..=4096 {
        for frontends in ALL_FRONTENDS {
            let plan = MemoryPlan::new(memory_mb, frontends);
            let total = plan.total_bytes();
            assert!(total <= memory_mb * MEGABYTE / 8 * 7, "{memory_mb} MB, {frontends:?}: {total}; {plan}");
        }
    }
}

/// Guards against review 6: the dispatcher's queue was in no part of the plan. The sum has a place for the events of each
/// connection.
#[test]
fn the_sum_of_the_bounds_includes_the_queued_events() {
    for frontends in ALL_FRONTENDS {
        let plan = MemoryPlan::new(192, frontends);
        let without_queues = MemoryPlan { queued_bytes: 0, faktory_queued_bytes: 0, ..plan };
        let connections = match frontends {
            Frontends::Platform => plan.connections,
            Frontends::Faktory => plan.faktory_connections,
            Frontends::Both => plan.connections + plan.faktory_connections,
        };
        let queued = plan.total_bytes() - without_queues.total_bytes();
        assert_eq!(queued, connections * 4 * QUEUED_EVENT_BYTES, "{frontends:?}");
    }
}

/// A higher limit never allows less, and the largest limit of the platform allows a connection for each descriptor.
#[test]
fn a_higher_limit_allows_more() {
    for frontends in ALL_FRONTENDS {
        let plans = (1..=512).map(|memory_mb| MemoryPlan::new(memory_mb, frontends));
        let bounds: Vec<_> = plans.map(|p| (p.connections, p.bodies_bytes, p.faktory_job_ids)).collect();
        let is_larger = |pair: &[(usize, usize, usize)]| {
            pair[0].0 <= pair[1].0 && pair[0].1 <= pair[1].1 && pair[0].2 <= pair[1].2
        };
        assert!(bounds.windows(2).all(is_larger), "{frontends:?}");
    }
    assert!(MemoryPlan::new(192, Frontends::Platform).connections >= 1024);
}

/// Above the high mark the memory counts as scarce, until it is below the low mark.
#[test]
fn pressure_begins_at_the_high_mark_and_ends_at_the_low_mark() {
    static ALLOCATED: AtomicUsize = AtomicUsize::new(0);
    let heap = HeapGauge::new(|| ALLOCATED.load(Ordering::Relaxed));
    let pressure = MemoryPressure::new(heap, 800);
    let is_high_at = |allocated| {
        ALLOCATED.store(allocated, Ordering::Relaxed);
        pressure.is_high()
    };
    assert_eq!([700, 701, 650, 601, 600, 650].map(is_high_at), [false, true, true, true, false, false]);
    pressure.set_limit(400);
    assert!(pressure.is_high(), "another process holds a part of the limit");
}
