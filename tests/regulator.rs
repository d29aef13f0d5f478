//! The regulator with simulated plants of known behavior.

use dispatch_policy::regulator::Regulator;

#[test]
fn a_first_order_plant_reaches_the_reference() {
    let mut regulator = Regulator::default();
    let (mut w, mut u) = (0.5, 1.0);
    for _ in 0..200 {
        w = 0.3 * w + 1.4 * u;
        u = regulator.step(w);
    }
    assert!((w - 1.0).abs() < 0.05, "w {w}");
    let [s1, r1, r2] = regulator.model();
    // In the steady state only the gain can be identified: w (1 - s1) = (r1 + r2) u.
    assert!(((r1 + r2) / (1.0 - s1) - 2.0).abs() < 0.3, "{s1} {r1} {r2}");
}

#[test]
fn a_plant_below_the_reference_is_not_limited() {
    let mut regulator = Regulator::default();
    assert!((0..50).map(|_| regulator.step(0.4)).all(|u| u > 0.99));
}

#[test]
fn outputs_stay_finite_for_constant_saturated_and_extreme_inputs() {
    let mut regulator = Regulator::default();
    for w in [1.0; 500].into_iter().chain([2.0; 500]).chain([0.0; 500]).chain([1e9, 0.0, 1e-9, 1e9]) {
        let u = regulator.step(w);
        assert!((0.0..=1.0).contains(&u));
        assert!(regulator.model().iter().all(|x| x.is_finite()));
    }
}

#[test]
fn a_sudden_change_resets_the_output_to_its_maximum() {
    let mut regulator = Regulator::default();
    (0..50).for_each(|_| assert!(regulator.step(1.0) <= 1.0));
    assert!((0..5).any(|_| regulator.step(8.0) == 1.0));
}
