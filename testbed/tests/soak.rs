//! The soak's oracle finds each kind of broken rule, and excuses what the protocol excuses.

use std::time::Duration;
use testbed::soak::history::{
    AttemptEnd, AttemptRecord, History, ProcessRecord, RequestEnd, RequestRecord, Semantics, Withdrawal,
};
use testbed::soak::oracle::{judge, Limits};
use testbed::soak::schedule::{draw, FaultKind, ScheduleSpec};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request written at 1 s and answered 100 ms later, with a wait of 1 s.
fn request(semantics: Semantics) -> RequestRecord {
    RequestRecord {
        id: "r".to_string(),
        node: 0,
        semantics,
        deadline: ms(1_000),
        first_byte: ms(1_000),
        written: Some(ms(1_000)),
        reused_connection: false,
        disconnected: None,
        end: RequestEnd::Answered { status: 200, is_valid: true },
        ended: Some(ms(1_100)),
    }
}

/// Its attempt: 10 ms later, 50 ms long.
fn attempt(worker: usize, at: u64, end: AttemptEnd) -> AttemptRecord {
    AttemptRecord {
        id: "r".to_string(),
        worker,
        first_byte: ms(at),
        last_byte: Some(ms(at)),
        sent_deadline: Some(0.9),
        end,
        ended: Some(ms(at + 50)),
        late_read: false,
    }
}

fn process() -> ProcessRecord {
    let (started, ready) = (ms(0), Some(ms(300)));
    ProcessRecord {
        node: 0,
        started,
        ready,
        list_from: Some(started),
        terminated: None,
        ended: None,
        killed: false,
        code: None,
    }
}

fn history(request: RequestRecord, attempts: Vec<AttemptRecord>) -> History {
    History { requests: vec![request], attempts, processes: vec![process()], ..History::default() }
}

/// The rules that the oracle finds broken.
fn broken(history: &History) -> Vec<&'static str> {
    judge(history, &Limits::default()).iter().map(|violation| violation.rule()).collect()
}

fn served() -> History {
    history(request(Semantics::Safe), vec![attempt(1, 1_010, AttemptEnd::Concluded)])
}

#[test]
fn served_request_breaks_no_rule() {
    assert_eq!(broken(&served()), Vec::<&str>::new());
}

#[test]
fn request_without_timely_genuine_answer_is_lost() {
    for end in [RequestEnd::Pending, RequestEnd::Unanswered, RequestEnd::Broken] {
        let lost = History { requests: vec![RequestRecord { end, ..request(Semantics::Safe) }], ..served() };
        assert_eq!(broken(&lost), ["lost"], "{end:?}");
    }
    let late = RequestRecord { ended: Some(ms(2_600)), ..request(Semantics::Safe) };
    assert_eq!(broken(&History { requests: vec![late], ..served() }), ["lost"]);
    let forged = RequestEnd::Answered { status: 200, is_valid: false };
    let forged = RequestRecord { end: forged, ..request(Semantics::Safe) };
    assert_eq!(broken(&History { requests: vec![forged], ..served() }), ["lost"]);
}

#[test]
fn request_cut_by_an_excused_kill_is_not_lost() {
    let crossed =
        RequestRecord { reused_connection: true, end: RequestEnd::ClosedUnread, ..request(Semantics::Safe) };
    assert_eq!(broken(&history(crossed, vec![])), Vec::<&str>::new());
    let killed = ProcessRecord { ended: Some(ms(1_050)), killed: true, ..process() };
    let cut = RequestRecord { end: RequestEnd::Broken, ended: Some(ms(1_051)), ..request(Semantics::Safe) };
    let cut = History { processes: vec![killed], ..history(cut, vec![]) };
    assert_eq!(broken(&cut), Vec::<&str>::new());
    // It came more than 0.7 s after SIGTERM: SIGKILL is no excuse.
    let told = ProcessRecord { terminated: Some(ms(200)), ..cut.processes[0] };
    assert_eq!(broken(&History { processes: vec![told], ..cut }), ["lost"]);
}

#[test]
fn forbidden_second_attempt_is_found() {
    let twice = |semantics, first, at| {
        let attempts = vec![attempt(1, 1_010, first), attempt(2, at, AttemptEnd::Concluded)];
        broken(&history(request(semantics), attempts))
    };
    assert_eq!(twice(Semantics::Safe, AttemptEnd::Broken, 1_015), ["duplicate"], "the first is still out");
    assert_eq!(twice(Semantics::Safe, AttemptEnd::Broken, 1_200), Vec::<&str>::new());
    assert_eq!(twice(Semantics::Unsafe, AttemptEnd::Broken, 1_200), ["duplicate"]);
    assert_eq!(twice(Semantics::Unsafe, AttemptEnd::NotExecuted, 1_200), Vec::<&str>::new());
    assert_eq!(twice(Semantics::Keyed, AttemptEnd::ClosedByNode, 1_200), Vec::<&str>::new());
    let long = RequestRecord { deadline: ms(20_000), ..request(Semantics::Keyed) };
    let attempts = vec![attempt(1, 1_010, AttemptEnd::Broken), attempt(2, 9_000, AttemptEnd::Concluded)];
    assert_eq!(broken(&history(long, attempts)), ["duplicate"], "the key's window is over");
}

#[test]
fn attempt_after_disconnect_drain_or_deadline_is_found() {
    let left =
        RequestRecord { disconnected: Some(ms(1_000)), end: RequestEnd::Pending, ..request(Semantics::Safe) };
    let late = |at| broken(&history(left.clone(), vec![attempt(1, at, AttemptEnd::ClosedByNode)]));
    assert_eq!(late(1_090), Vec::<&str>::new());
    assert_eq!(late(1_200), ["lost"]);
    let drained = |told| {
        let withdrawals = vec![Withdrawal { node: 0, worker: 1, known_at: ms(told) }];
        broken(&History { withdrawals, ..served() })
    };
    assert_eq!(drained(600), Vec::<&str>::new());
    assert_eq!(drained(310), ["drain"]);
    // Discovery could not be asked from the process's start on.
    let withdrawals = vec![Withdrawal { node: 0, worker: 1, known_at: ms(0) }];
    let blind = |list_from| History {
        processes: vec![ProcessRecord { list_from, ..process() }],
        withdrawals: withdrawals.clone(),
        ..served()
    };
    assert_eq!(broken(&blind(None)), Vec::<&str>::new());
    assert_eq!(broken(&blind(Some(ms(900)))), Vec::<&str>::new());
    assert_eq!(broken(&blind(Some(ms(100)))), ["drain"]);
    let told = AttemptRecord { sent_deadline: Some(1.25), ..attempt(1, 1_010, AttemptEnd::Concluded) };
    assert_eq!(broken(&history(request(Semantics::Safe), vec![told])), ["deadline"]);
}

#[test]
fn crash_late_start_overload_and_ignored_client_are_found() {
    let with = |record| broken(&History { processes: vec![record], ..served() });
    assert_eq!(with(ProcessRecord { ended: Some(ms(5_000)), code: Some(0), ..process() }), ["crash"]);
    let told =
        ProcessRecord { terminated: Some(ms(4_000)), ended: Some(ms(5_000)), code: Some(0), ..process() };
    assert_eq!(with(told), Vec::<&str>::new());
    assert_eq!(with(ProcessRecord { code: Some(101), ..told }), ["crash"]);
    assert_eq!(with(ProcessRecord { ready: Some(ms(10_100)), ..process() }), ["ready"]);
    let overload = History { overloads: vec![(3, 40.0, 30.0)], ..served() };
    assert_eq!(broken(&overload), ["failback"]);
    let ignored = History { ignored_clients: vec![(0, ms(3_600))], ..served() };
    assert_eq!(broken(&ignored), ["ignored"]);
}

/// The faults of a seed are the same in each run, begin after the time without faults, and are of all kinds.
#[test]
fn seed_determines_the_schedule() {
    let load_duration = ms(400_000);
    let spec =
        ScheduleSpec { nodes: 12, workers: 8, load_duration, fault_free: ms(65_000), faults_per_second: 3.0 };
    let planned = draw(&spec, 7);
    assert_eq!(planned, draw(&spec, 7));
    assert_ne!(planned, draw(&spec, 8));
    assert!(planned.iter().all(|planned| planned.at >= spec.fault_free && planned.at <= load_duration));
    let any = |is: fn(&FaultKind) -> bool| planned.iter().any(|planned| is(&planned.kind));
    assert!(any(|t| matches!(t, FaultKind::Calls { .. })));
    assert!(any(|t| matches!(t, FaultKind::ClockStep { .. })));
    assert!(any(|t| matches!(t, FaultKind::Restart { .. })));
    assert!(any(|t| matches!(t, FaultKind::Upgrade { .. })));
    assert!(any(|t| matches!(t, FaultKind::FailedUpgrade { .. })));
    assert!(any(|t| matches!(t, FaultKind::Reload { .. })));
    assert!(any(|t| matches!(t, FaultKind::Discovery { .. })));
}
