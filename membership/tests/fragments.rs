//! Fragmentation and reassembly of messages.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::fragments::{split, Fragment, Reassembler, FRAGMENT_MAX, INCOMPLETE_MAX};
use membership::MESSAGE_MAX;
use std::time::Duration;

fn fragment(index: u16, count: u16, bytes: Vec<u8>) -> Fragment {
    Fragment { index, count, bytes }
}

#[test]
fn a_message_is_complete_once_all_fragments_arrived_in_any_order() {
    let (mut reassembler, s) = (Reassembler::default(), Duration::from_secs(1));
    assert_eq!(reassembler.insert(s, 1, 1, fragment(0, 1, vec![9])), Some(vec![9]));
    assert_eq!(reassembler.insert(s, 1, 2, fragment(2, 3, vec![3])), None);
    assert_eq!(reassembler.insert(s, 1, 2, fragment(0, 3, vec![1])), None);
    assert_eq!(reassembler.insert(s, 1, 2, fragment(0, 3, vec![7])), None, "duplicate");
    assert_eq!(reassembler.insert(s, 2, 2, fragment(1, 3, vec![8])), None, "another process");
    assert_eq!(reassembler.insert(s, 1, 2, fragment(1, 3, vec![2])), Some(vec![1, 2, 3]));
}

#[test]
fn incomplete_messages_are_bounded() {
    let mut reassembler = Reassembler::default();
    for i in 0..1000 {
        let now = Duration::from_millis(i);
        assert_eq!(reassembler.insert(now, i, i, fragment(0, 2, vec![0; FRAGMENT_MAX])), None);
        assert_eq!(reassembler.insert(now, i, i, fragment(3, 2, vec![0])), None, "index out of range");
        assert_eq!(reassembler.insert(now, i, i, fragment(0, 999, vec![0])), None, "too many fragments");
    }
    assert!(reassembler.incomplete_count() <= INCOMPLETE_MAX);
}

#[test]
fn a_split_message_is_reassembled() {
    for length in [0, 1, FRAGMENT_MAX, FRAGMENT_MAX + 1, MESSAGE_MAX] {
        let message: Vec<u8> = (0..length).map(|i| i as u8).collect();
        let mut reassembler = Reassembler::default();
        let results = split(&message).map(|f| reassembler.insert(Duration::ZERO, 1, 1, f));
        let results: Vec<_> = results.collect();
        assert!(results.iter().rev().skip(1).all(Option::is_none), "{length}");
        assert_eq!(results.last(), Some(&Some(message)), "{length}");
    }
}
