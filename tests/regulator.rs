//! The regulator against known plants.

use dispatch_policy::regulator::Regulator;

#[test]
fn it_brings_a_first_order_plant_to_the_reference() {
    let mut r = Regulator::default();
    let (mut w, mut u) = (0.5, 1.0);
    for _ in 0..200 {
        w = 0.3 * w + 1.4 * u;
        u = r.step(w);
    }
    assert!((w - 1.0).abs() < 0.05, "w {w}");
    let [s1, r1, r2] = r.model();
    // At rest only the gain can be told: w (1 - s1) = (r1 + r2) u.
    assert!(((r1 + r2) / (1.0 - s1) - 2.0).abs() < 0.3, "{s1} {r1} {r2}");
}

#[test]
fn an_easy_plant_is_left_alone() {
    let mut r = Regulator::default();
    assert!((0..50).map(|_| r.step(0.4)).all(|u| u > 0.99));
}

#[test]
fn constant_saturated_and_extreme_inputs_stay_finite() {
    let mut r = Regulator::default();
    for w in [1.0; 500].into_iter().chain([2.0; 500]).chain([0.0; 500]).chain([1e9, 0.0, 1e-9, 1e9]) {
        let u = r.step(w);
        assert!((0.0..=1.0).contains(&u));
        assert!(r.model().iter().all(|x| x.is_finite()));
    }
}

#[test]
fn a_sudden_change_resets_to_u_max() {
    let mut r = Regulator::default();
    (0..50).for_each(|_| assert!(r.step(1.0) <= 1.0));
    assert!((0..5).any(|_| r.step(8.0) == 1.0));
}
