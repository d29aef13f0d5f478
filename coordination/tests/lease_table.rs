//! Lease table: the effects of commands, and the limits of the table.

use coordination::{ApplyResult, Command, Holder, LeaseTable, HISTORY_MAX, LEASES_MAX, STATE_MAX};

fn grant(lease: &str, name: &str, previous_token: u64) -> Command {
    let holder = Holder { name: name.into(), process_id: 1 };
    Command::Grant { lease: lease.into(), holder, previous_token, at_ms: 1000 }
}

fn token_of(result: ApplyResult) -> u64 {
    match result {
        ApplyResult::Granted { token, .. } => token,
        other => panic!("not granted: {other:?}"),
    }
}

#[test]
fn a_grant_applies_only_after_the_token_that_it_was_decided_on() {
    let mut table = LeaseTable::default();
    let first = token_of(table.apply(grant("lists", "a", 0)));
    assert_eq!(first, 1000, "the first token is at least the current time");
    assert_eq!(table.apply(grant("lists", "b", 0)), ApplyResult::Ignored { lease: "lists".into() });
    let other = token_of(table.apply(grant("roll", "b", 0)));
    let second = token_of(table.apply(grant("lists", "b", first)));
    assert!(first < other && other < second, "tokens increase across all leases");
    let release = |token| Command::Release { lease: "lists".into(), token, at_ms: 1 };
    let ignored = ApplyResult::Ignored { lease: "lists".into() };
    assert_eq!(table.apply(release(first)), ignored, "a command from the previous holder is ignored");
    assert_eq!(table.holder("lists").unwrap().name, "b");
    assert_eq!(table.apply(release(second)), ApplyResult::Released { lease: "lists".into() });
    assert_eq!((table.holder("lists"), table.token("lists")), (None, second), "a release keeps the token");
    table.apply(Command::SaveState { lease: "roll".into(), token: other, state: vec![7] });
    assert!(token_of(table.apply(grant("roll", "c", other))) > second);
    assert_eq!(table.leases["roll"].state, [7], "the saved state is kept for the next holder");
}

#[test]
fn leases_history_and_saved_state_are_bounded() {
    let mut table = LeaseTable::default();
    for i in 0..200 {
        table.apply(grant(&format!("d{i}"), "a", 0));
    }
    assert_eq!((table.leases.len(), table.history.len()), (LEASES_MAX, HISTORY_MAX));
    let token = table.token("d0");
    let save = Command::SaveState { lease: "d0".into(), token, state: vec![0; STATE_MAX + 1] };
    assert_eq!(table.apply(save), ApplyResult::Ignored { lease: "d0".into() });
}
