//! Long random but legal event sequences with random settings and fixed seeds. The harness checks
//! every action.

mod common;
use common::property_harness::PropertyHarness;
use common::*;

#[test]
fn actions_follow_the_rules_in_any_legal_event_sequence() {
    for seed in 0..60 {
        let mut harness = PropertyHarness::new(seed);
        for _ in 0..1500 {
            harness.random_step();
            let duration = harness.rng.below(20) * MS;
            harness.advance(duration);
        }
        harness.advance(30 * S);
        assert!(
            harness.requests.values().all(|request| request.answered),
            "seed {seed}: a request has no final answer"
        );
    }
}
