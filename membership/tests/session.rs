//! Replay protection.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::session::{ReplayCheck, Sessions, CHALLENGES_MAX, REPLAY_WINDOW, SESSIONS_MAX};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn proven(s: &mut Sessions, now: Duration, boot: u64, number: u64) {
    assert_eq!(s.check(now, boot, number, || 77), ReplayCheck::Challenge(77));
    assert!(s.complete_challenge(now, boot, number + 1, 77));
}

#[test]
fn each_datagram_counts_once_and_late_ones_still_do() {
    let mut s = Sessions::default();
    proven(&mut s, MS, 1, 10);
    for (number, fresh) in
        [(12, true), (12, false), (15, true), (13, true), (13, false), (11, false), (9, false)]
    {
        let want = if fresh { ReplayCheck::Accepted } else { ReplayCheck::Replayed };
        assert_eq!(s.check(MS, 1, number, || 0), want, "{number}");
    }
    assert_eq!(s.check(MS, 1, 1000, || 0), ReplayCheck::Accepted);
    assert_eq!(s.check(MS, 1, 1000 - REPLAY_WINDOW, || 0), ReplayCheck::Replayed, "too old to tell");
    assert_eq!(s.check(MS, 1, 1001 - REPLAY_WINDOW, || 0), ReplayCheck::Accepted);
}

#[test]
fn a_proof_counts_for_its_challenge_only() {
    let mut s = Sessions::default();
    assert!(!s.complete_challenge(MS, 1, 5, 0), "nobody asked");
    assert_eq!(s.check(MS, 1, 5, || 42), ReplayCheck::Challenge(42));
    assert_eq!(s.check(MS * 2, 1, 6, || 43), ReplayCheck::ChallengePending);
    assert_eq!(s.check(MS * 200, 1, 6, || 43), ReplayCheck::Challenge(42), "a challenge may get lost");
    assert!(!s.complete_challenge(MS * 200, 1, 7, 41));
    assert!(!s.complete_challenge(MS * 200, 2, 7, 42));
    assert!(!s.complete_challenge(MS * 3200, 1, 7, 42), "too late");
    assert_eq!(s.check(MS * 3200, 1, 8, || 44), ReplayCheck::Challenge(44));
    assert!(s.complete_challenge(MS * 3201, 1, 9, 44));
    assert!(!s.complete_challenge(MS * 3202, 1, 10, 44), "played back");
}

/// Guards memory against a flood of processes that nobody has last_received of.
#[test]
fn tables_are_bounded() {
    let mut s = Sessions::default();
    for boot in 0..20_000 {
        let now = MS * boot as u32;
        assert_eq!(s.check(now, boot, 1, || boot), ReplayCheck::Challenge(boot));
        if boot % 2 == 0 {
            assert!(s.complete_challenge(now, boot, 2, boot));
        }
    }
    assert!(s.entries() <= SESSIONS_MAX + CHALLENGES_MAX, "{}", s.entries());
    assert_eq!(s.check(MS * 20_000, 19_998, 3, || 0), ReplayCheck::Accepted, "the newest stay");
}
