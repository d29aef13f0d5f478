//! Sessions and replay protection.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::session::{ReplayCheck, Sessions, CHALLENGES_MAX, REPLAY_WINDOW, SESSIONS_MAX};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn establish_session(s: &mut Sessions, now: Duration, process_id: u64, number: u64) {
    assert_eq!(s.check(now, process_id, number, || 77), ReplayCheck::Challenge(77));
    assert!(s.complete_challenge(now, process_id, number + 1, 77));
}

#[test]
fn each_sequence_number_is_accepted_once_even_out_of_order() {
    let mut s = Sessions::default();
    establish_session(&mut s, MS, 1, 10);
    for (number, is_new) in
        [(12, true), (12, false), (15, true), (13, true), (13, false), (11, false), (9, false)]
    {
        let expected = if is_new { ReplayCheck::Accepted } else { ReplayCheck::Replayed };
        assert_eq!(s.check(MS, 1, number, || 0), expected, "{number}");
    }
    assert_eq!(s.check(MS, 1, 1000, || 0), ReplayCheck::Accepted);
    assert_eq!(
        s.check(MS, 1, 1000 - REPLAY_WINDOW, || 0),
        ReplayCheck::Replayed,
        "older than the replay window"
    );
    assert_eq!(s.check(MS, 1, 1001 - REPLAY_WINDOW, || 0), ReplayCheck::Accepted);
}

#[test]
fn a_challenge_response_is_accepted_only_for_its_pending_challenge() {
    let mut s = Sessions::default();
    assert!(!s.complete_challenge(MS, 1, 5, 0), "no pending challenge");
    assert_eq!(s.check(MS, 1, 5, || 42), ReplayCheck::Challenge(42));
    assert_eq!(s.check(MS * 2, 1, 6, || 43), ReplayCheck::ChallengePending);
    assert_eq!(
        s.check(MS * 200, 1, 6, || 43),
        ReplayCheck::Challenge(42),
        "repeats a challenge that may be lost"
    );
    assert!(!s.complete_challenge(MS * 200, 1, 7, 41));
    assert!(!s.complete_challenge(MS * 200, 2, 7, 42));
    assert!(!s.complete_challenge(MS * 3200, 1, 7, 42), "expired");
    assert_eq!(s.check(MS * 3200, 1, 8, || 44), ReplayCheck::Challenge(44));
    assert!(s.complete_challenge(MS * 3201, 1, 9, 44));
    assert!(!s.complete_challenge(MS * 3202, 1, 10, 44), "replayed");
}

/// Guards against memory exhaustion by datagrams from many unknown processes.
#[test]
fn tables_are_bounded() {
    let mut s = Sessions::default();
    for process_id in 0..20_000 {
        let now = MS * process_id as u32;
        assert_eq!(s.check(now, process_id, 1, || process_id), ReplayCheck::Challenge(process_id));
        if process_id % 2 == 0 {
            assert!(s.complete_challenge(now, process_id, 2, process_id));
        }
    }
    assert!(s.entry_count() <= SESSIONS_MAX + CHALLENGES_MAX, "{}", s.entry_count());
    assert_eq!(s.check(MS * 20_000, 19_998, 3, || 0), ReplayCheck::Accepted, "the newest sessions are kept");
}
