//! Sizes and cores learned from live weights.

use dispatch_policy::live_weights::{LiveWeights, WeightReading};
use dispatch_policy::table::{KindId, RowId};

#[test]
fn sizes_and_cores_come_from_the_weights_seen() {
    let mut w = LiveWeights::default();
    w.record_weight(KindId::new(1), 4.0);
    assert_eq!((w.cores(KindId::new(1)), w.speed(KindId::new(1))), (4.0, 1.0), "before any held something");
    // Workers of size 6 with five cores, told with two decimals as they fill.
    for weight in [3.0, 3.75, 5.0, 6.0, 3.33, 5.0] {
        w.record_weight(KindId::new(1), weight);
    }
    assert!((w.cores(KindId::new(1)) - 5.0).abs() < 0.01);
    assert!((w.speed(KindId::new(1)) - 1.2).abs() < 0.01);
    for (weight, requests) in [(6.0, 0.0), (5.99, 0.0), (5.0, 1.0), (3.0, 5.0), (1.5, 15.0)] {
        let WeightReading { in_flight, idle_weight } = w.record_weight(KindId::new(1), weight);
        assert!((in_flight - requests).abs() < 0.05, "{weight}");
        assert_eq!(idle_weight, 6.0);
    }
    assert_eq!((w.cores(KindId::new(7)), w.speed(KindId::new(7))), (1.0, 1.0), "of a kind unheard of");
}

#[test]
fn a_larger_weight_than_any_before_starts_the_kind_anew() {
    let mut w = LiveWeights::default();
    // The idle ones come last: what was taken for a core's step was not one.
    for weight in [5.0, 4.28, 6.0, 5.0] {
        w.record_weight(KindId::new(0), weight);
    }
    assert!((w.cores(KindId::new(0)) - 5.0).abs() < 0.01);
}
