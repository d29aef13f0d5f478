//! Fencing guard: stale tokens are rejected, and the number of leases is bounded.

use coordination::{FencingGuard, StaleToken, LEASES_MAX};

#[test]
fn a_lower_token_is_never_accepted_again() {
    let mut guard = FencingGuard::default();
    assert_eq!(guard.check("a", 5), Ok(()));
    assert_eq!(guard.check("a", 5), Ok(()));
    assert_eq!(guard.check("b", 1), Ok(()), "tokens are compared per lease");
    assert_eq!(guard.check("a", 7), Ok(()));
    assert_eq!(guard.check("a", 6), Err(StaleToken { token: 6, highest: 7 }));
    assert_eq!((guard.highest("a"), guard.highest("c")), (7, 0));
}

#[test]
fn the_number_of_tracked_leases_is_bounded() {
    let mut guard = FencingGuard::default();
    let names: Vec<String> = (0..202).map(|i| format!("x{i}")).collect();
    for name in &names {
        let _ = guard.check(name, 1); // fails once the guard is full
    }
    let tracked = names.iter().filter(|name| guard.highest(name) > 0).count();
    assert!(tracked <= LEASES_MAX, "{tracked}");
}
