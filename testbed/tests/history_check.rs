//! Violations planted in histories, and whether the checker reports each.

use std::time::Duration;
use testbed::history_check::{violations, Act, Violation};

fn act(begun: u64, came: u64, who: &str, token: u64, taken: bool) -> Act {
    let ms = Duration::from_millis;
    Act { begun: ms(begun), came: ms(came), who: who.into(), token, taken }
}

/// Each planted violation is told, and nothing else is.
#[test]
fn planted_violations_are_told() {
    // One that stood still in the middle of its second act, and is refused.
    let good = [act(1, 2, "a", 1, true), act(9, 10, "b", 2, true), act(3, 12, "a", 1, false)];
    assert_eq!(violations(&good), []);
    let with = |change: &dyn Fn(&mut Vec<Act>)| {
        let mut acts = good.to_vec();
        change(&mut acts);
        violations(&acts)
    };
    assert_eq!(with(&|a| a[2].taken = true), [Violation::WentBack(1, 2)]);
    assert_eq!(with(&|a| a[2].begun = Duration::from_millis(11)), [Violation::Overlap(1, 2)]);
    assert_eq!(with(&|a| a[2].who = "c".into()), [Violation::Shared(1, "a".into(), "c".into())]);
    assert_eq!(with(&|a| a[1].taken = false), [Violation::Refused(2)]);
}
