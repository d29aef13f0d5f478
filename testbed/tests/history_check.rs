//! Violations planted in histories, and whether the checker reports each.

use std::time::Duration;
use testbed::history_check::{violations, FencedOperation, Violation};

fn act(started: u64, arrived: u64, process: &str, token: u64, accepted: bool) -> FencedOperation {
    let ms = Duration::from_millis;
    FencedOperation {
        started_at: ms(started),
        arrived_at: ms(arrived),
        process: process.into(),
        token,
        accepted,
    }
}

/// Each planted violation is told, and nothing else is.
#[test]
fn planted_violations_are_told() {
    // One that stood still in the middle of its second act, and is refused.
    let good = [act(1, 2, "a", 1, true), act(9, 10, "b", 2, true), act(3, 12, "a", 1, false)];
    assert_eq!(violations(&good), []);
    let with = |change: &dyn Fn(&mut Vec<FencedOperation>)| {
        let mut acts = good.to_vec();
        change(&mut acts);
        violations(&acts)
    };
    assert_eq!(with(&|a| a[2].accepted = true), [Violation::TokenRegressed(1, 2)]);
    assert_eq!(with(&|a| a[2].started_at = Duration::from_millis(11)), [Violation::HoldersOverlap(1, 2)]);
    assert_eq!(with(&|a| a[2].process = "c".into()), [Violation::TokenShared(1, "a".into(), "c".into())]);
    assert_eq!(with(&|a| a[1].accepted = false), [Violation::RejectedWithoutCause(2)]);
}
