//! The count of events within a sliding window.

use dispatch_policy::sliding_count::SlidingCount;

#[test]
fn events_before_the_window_are_dropped() {
    let mut count = SlidingCount::default();
    (1..4).for_each(|at| count.add(at));
    assert_eq!((count.since(2), count.since(3), count.since(4)), (2, 1, 0));
}
