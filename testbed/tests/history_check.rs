//! The history checker reports each violation injected into a history.

use std::time::Duration;
use testbed::history_check::{violations, FencedOperation, Violation};

fn operation(started: u64, arrived: u64, process: &str, token: u64, accepted: bool) -> FencedOperation {
    let ms = Duration::from_millis;
    FencedOperation {
        started_at: ms(started),
        arrived_at: ms(arrived),
        process: process.into(),
        token,
        accepted,
    }
}

/// Guards against a checker that misses a violation, or reports one in a correct history.
#[test]
fn injected_violations_are_reported() {
    // Process a stalls during its second operation, which is then rejected.
    let correct =
        [operation(1, 2, "a", 1, true), operation(9, 10, "b", 2, true), operation(3, 12, "a", 1, false)];
    assert_eq!(violations(&correct), []);
    let violations_after = |change: &dyn Fn(&mut Vec<FencedOperation>)| {
        let mut operations = correct.to_vec();
        change(&mut operations);
        violations(&operations)
    };
    assert_eq!(violations_after(&|a| a[2].accepted = true), [Violation::TokenRegressed(1, 2)]);
    assert_eq!(
        violations_after(&|a| a[2].started_at = Duration::from_millis(11)),
        [Violation::HoldersOverlap(1, 2)]
    );
    assert_eq!(
        violations_after(&|a| a[2].process = "c".into()),
        [Violation::TokenShared(1, "a".into(), "c".into())]
    );
    assert_eq!(violations_after(&|a| a[1].accepted = false), [Violation::RejectedWithoutCause(2)]);
}
