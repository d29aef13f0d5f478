//! Idle weights, cores and speeds derived from live weights.

use dispatch_policy::live_weights::{LiveWeights, WeightReading};
use dispatch_policy::table::{KindId, RowId};

#[test]
fn cores_and_speed_follow_from_observed_weights() {
    let mut weights = LiveWeights::default();
    weights.record_weight(KindId::new(1), 4.0);
    assert_eq!(
        (weights.cores(KindId::new(1)), weights.speed(KindId::new(1))),
        (4.0, 1.0),
        "before any had a request in flight"
    );
    // Workers with an idle weight of 6 and five cores, reported with two decimals as their load grows.
    for weight in [3.0, 3.75, 5.0, 6.0, 3.33, 5.0] {
        weights.record_weight(KindId::new(1), weight);
    }
    assert!((weights.cores(KindId::new(1)) - 5.0).abs() < 0.01);
    assert!((weights.speed(KindId::new(1)) - 1.2).abs() < 0.01);
    for (weight, requests) in [(6.0, 0.0), (5.99, 0.0), (5.0, 1.0), (3.0, 5.0), (1.5, 15.0)] {
        let WeightReading { in_flight, idle_weight } = weights.record_weight(KindId::new(1), weight);
        assert!((in_flight - requests).abs() < 0.05, "{weight}");
        assert_eq!(idle_weight, 6.0);
    }
    assert_eq!(
        (weights.cores(KindId::new(7)), weights.speed(KindId::new(7))),
        (1.0, 1.0),
        "of an unknown kind"
    );
}

#[test]
fn a_new_maximum_weight_resets_the_kind() {
    let mut weights = LiveWeights::default();
    // The idle weight comes late: the step that was taken for one core was not one.
    for weight in [5.0, 4.28, 6.0, 5.0] {
        weights.record_weight(KindId::new(0), weight);
    }
    assert!((weights.cores(KindId::new(0)) - 5.0).abs() < 0.01);
}
