//! Long random but legal event orders over widely differing settings; the four rules are checked on the
//! actions. Seeds are fixed.

mod common;
use common::property_harness::World;
use common::*;

#[test]
fn the_rules_hold_in_any_legal_order() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        for _ in 0..1500 {
            world.act();
            let span = world.rng.below(20) * MS;
            world.pass(span);
        }
        world.pass(30 * S);
        assert!(world.jobs.values().all(|j| j.over), "seed {seed}: a request without an answer");
    }
}
