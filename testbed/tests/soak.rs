//! The soak's oracle reports each kind of rule violation, and accepts what the protocol excuses. A seed
//! determines the schedule.

use std::time::Duration;
use testbed::soak::flood::Flood;
use testbed::soak::history::{
    AttemptEnd, AttemptRecord, History, ProcessRecord, RequestEnd, RequestRecord, Semantics, SemanticsChange,
    Withdrawal,
};
use testbed::soak::oracle::{check_history, Limits, Violation};
use testbed::soak::schedule::{
    draw, draw_limits, FaultKind, HandoverSide, ProcessLimits, Profile, ScheduleSpec, SettingsChange,
    SignalSeries,
};
use testbed::soak::worker::WorkerMode;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// A request written at 1 s and answered 100 ms later, with a deadline of 1 s.
fn request(semantics: Semantics) -> RequestRecord {
    RequestRecord {
        id: "r".to_string(),
        node: 0,
        semantics,
        deadline: ms(1_000),
        first_byte: ms(1_000),
        written: Some(ms(1_000)),
        reused_connection: false,
        client: None,
        disconnected: None,
        comes_again: false,
        end: RequestEnd::Answered { status: 200, is_valid: true },
        ended: Some(ms(1_100)),
    }
}

/// An attempt of that request, 50 ms long.
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
        signal: None,
    }
}

fn history(request: RequestRecord, attempts: Vec<AttemptRecord>) -> History {
    History { requests: vec![request], attempts, processes: vec![process()], ..History::default() }
}

/// Returns the rules that the oracle reports as violated.
fn violated_rules(history: &History) -> Vec<&'static str> {
    check_history(history, &Limits::default()).iter().map(|violation| violation.rule()).collect()
}

fn served_request() -> History {
    history(request(Semantics::Safe), vec![attempt(1, 1_010, AttemptEnd::Concluded)])
}

#[test]
fn served_request_violates_no_rule() {
    assert_eq!(violated_rules(&served_request()), Vec::<&str>::new());
}

#[test]
fn request_without_timely_valid_answer_is_lost() {
    for end in [RequestEnd::Pending, RequestEnd::Unanswered, RequestEnd::Broken] {
        let lost =
            History { requests: vec![RequestRecord { end, ..request(Semantics::Safe) }], ..served_request() };
        assert_eq!(violated_rules(&lost), ["lost"], "{end:?}");
    }
    let late = RequestRecord { ended: Some(ms(2_600)), ..request(Semantics::Safe) };
    assert_eq!(violated_rules(&History { requests: vec![late], ..served_request() }), ["lost"]);
    let invalid = RequestEnd::Answered { status: 200, is_valid: false };
    let invalid = RequestRecord { end: invalid, ..request(Semantics::Safe) };
    assert_eq!(violated_rules(&History { requests: vec![invalid], ..served_request() }), ["lost"]);
}

/// Only a reset on a new connection is excused by a crowd of idle clients, and only with a crowd.
#[test]
fn new_connection_closed_unread_in_a_crowd_is_not_lost() {
    let crowd = Limits { has_crowd: true, ..Limits::default() };
    for (end, reused_connection, is_excused) in [
        (RequestEnd::Broken, false, true),
        (RequestEnd::Broken, true, false),
        (RequestEnd::Unanswered, false, false),
        (RequestEnd::Pending, false, false),
    ] {
        let request = RequestRecord { end, reused_connection, ..request(Semantics::Safe) };
        let history = history(request, vec![]);
        assert_eq!(check_history(&history, &crowd).is_empty(), is_excused, "{end:?}");
        assert_eq!(violated_rules(&history), ["lost"], "{end:?} without a crowd");
    }
}

#[test]
fn request_cut_by_an_excused_kill_is_not_lost() {
    let closed_unread =
        RequestRecord { reused_connection: true, end: RequestEnd::ClosedUnread, ..request(Semantics::Safe) };
    assert_eq!(violated_rules(&history(closed_unread, vec![])), Vec::<&str>::new());
    let killed = ProcessRecord { ended: Some(ms(1_050)), killed: true, ..process() };
    let cut = RequestRecord { end: RequestEnd::Broken, ended: Some(ms(1_051)), ..request(Semantics::Safe) };
    let cut = History { processes: vec![killed], ..history(cut, vec![]) };
    assert_eq!(violated_rules(&cut), Vec::<&str>::new());
    // The request was written more than 0.7 s after SIGTERM, so SIGKILL does not excuse it.
    let terminated_process = ProcessRecord { terminated: Some(ms(200)), ..cut.processes[0] };
    assert_eq!(violated_rules(&History { processes: vec![terminated_process], ..cut }), ["lost"]);
}

/// The kill of a successor excuses no request that the process before had, as long as that one lives.
#[test]
fn request_of_a_killed_successor_is_answered_by_its_predecessor() {
    let cut = RequestRecord { end: RequestEnd::Broken, ended: Some(ms(1_601)), ..request(Semantics::Safe) };
    let successor_started =
        |at| ProcessRecord { started: ms(at), ended: Some(ms(1_600)), killed: true, ..process() };
    let rules = |predecessor, successor| {
        let processes = vec![predecessor, successor];
        violated_rules(&History { processes, ..history(cut.clone(), vec![]) })
    };
    assert_eq!(rules(process(), successor_started(1_400)), ["lost"]);
    assert_eq!(
        rules(process(), successor_started(1_100)),
        Vec::<&str>::new(),
        "it may have accepted the request"
    );
    let ended =
        ProcessRecord { terminated: Some(ms(1_450)), ended: Some(ms(1_500)), code: Some(0), ..process() };
    assert_eq!(rules(ended, successor_started(1_400)), Vec::<&str>::new(), "the predecessor has ended");
}

#[test]
fn forbidden_second_attempt_is_reported() {
    let second_attempt = |semantics, first, at| {
        let attempts = vec![attempt(1, 1_010, first), attempt(2, at, AttemptEnd::Concluded)];
        violated_rules(&history(request(semantics), attempts))
    };
    assert_eq!(
        second_attempt(Semantics::Safe, AttemptEnd::Broken, 1_015),
        ["duplicate"],
        "the first is still in flight"
    );
    assert_eq!(second_attempt(Semantics::Safe, AttemptEnd::Broken, 1_200), Vec::<&str>::new());
    assert_eq!(second_attempt(Semantics::Unsafe, AttemptEnd::Broken, 1_200), ["duplicate"]);
    assert_eq!(second_attempt(Semantics::Unsafe, AttemptEnd::NotExecuted, 1_200), Vec::<&str>::new());
    assert_eq!(second_attempt(Semantics::Keyed, AttemptEnd::ClosedByNode, 1_200), Vec::<&str>::new());
    let long = RequestRecord { deadline: ms(20_000), ..request(Semantics::Keyed) };
    let attempts = vec![attempt(1, 1_010, AttemptEnd::Broken), attempt(2, 9_000, AttemptEnd::Concluded)];
    assert_eq!(violated_rules(&history(long, attempts)), ["duplicate"], "the deduplication window is over");
}

/// What counts is the effect of the class when the request was accepted, whatever it is at the second attempt; while it
/// changes, either may hold.
#[test]
fn a_repeat_is_judged_by_the_effect_at_acceptance() {
    let request = RequestRecord {
        first_byte: ms(10_000),
        written: Some(ms(10_000)),
        ended: Some(ms(10_100)),
        ..request(Semantics::Unsafe)
    };
    let attempts = [(1, 10_010, AttemptEnd::Broken), (2, 10_700, AttemptEnd::Concluded)]
        .map(|(worker, at, end)| AttemptRecord { sent_deadline: None, ..attempt(worker, at, end) });
    let rules = |changes: &[(u64, Semantics)]| {
        let change = |(at, semantics): &(u64, Semantics)| SemanticsChange {
            node: 0,
            at: ms(*at),
            semantics: *semantics,
        };
        let semantics_changes = changes.iter().map(change).collect();
        violated_rules(&History { semantics_changes, ..history(request.clone(), attempts.to_vec()) })
    };
    assert_eq!(rules(&[]), ["duplicate"]);
    assert_eq!(rules(&[(10_500, Semantics::Safe)]), ["duplicate"], "changed after it was accepted");
    assert_eq!(rules(&[(1_000, Semantics::Safe)]), Vec::<&str>::new());
    assert_eq!(rules(&[(1_000, Semantics::Safe), (5_000, Semantics::Unsafe)]), ["duplicate"]);
    assert_eq!(
        rules(&[(1_000, Semantics::Safe), (9_000, Semantics::Unsafe)]),
        Vec::<&str>::new(),
        "just changed"
    );
    assert_eq!(rules(&[(10_200, Semantics::Safe)]), Vec::<&str>::new(), "it may be accepted a little later");
}

/// Guards against a judgement by the effect under which an id came first, where it came again under another one: the attempts of
/// each coming are judged by the effect at its own acceptance, and by the stricter of two that may have caused them.
#[test]
fn attempts_of_an_id_that_comes_again_are_judged_by_the_effect_of_their_own_request() {
    let came = |at: u64, written: Option<u64>, ended: u64| RequestRecord {
        first_byte: ms(at),
        deadline: ms(60_000),
        written: written.map(ms),
        end: if written.is_some() {
            RequestEnd::Answered { status: 200, is_valid: true }
        } else {
            RequestEnd::ClosedUnread
        },
        ended: Some(ms(ended)),
        ..request(Semantics::Unsafe)
    };
    let attempts = [(1, 20_010, AttemptEnd::Broken), (2, 20_300, AttemptEnd::Concluded)]
        .map(|(worker, at, end)| AttemptRecord { sent_deadline: None, ..attempt(worker, at, end) });
    let rules = |requests: [RequestRecord; 2], changes: &[(u64, Semantics)]| {
        let change = |(at, semantics): &(u64, Semantics)| SemanticsChange {
            node: 0,
            at: ms(*at),
            semantics: *semantics,
        };
        let semantics_changes = changes.iter().map(change).collect();
        let history = history(requests[0].clone(), attempts.to_vec());
        violated_rules(&History { requests: requests.to_vec(), semantics_changes, ..history })
    };
    let becomes_safe = [(12_000, Semantics::Safe)];
    let becomes_unsafe = [(1_000, Semantics::Safe), (12_000, Semantics::Unsafe)];
    let second = || came(20_000, Some(20_000), 20_500);
    // Unsafe at first, never written; the attempts belong to the second, which is safe.
    assert_eq!(rules([came(10_000, None, 10_500), second()], &becomes_safe), Vec::<&str>::new());
    // Written under the unsafe effect, and answered long before the attempts.
    assert_eq!(rules([came(10_000, Some(10_000), 10_500), second()], &becomes_safe), Vec::<&str>::new());
    // Safe at first; the attempts belong to the second, which is unsafe.
    assert_eq!(rules([came(10_000, Some(10_000), 10_500), second()], &becomes_unsafe), ["duplicate"]);
    // The first, unsafe, is open still: it may have caused the attempts.
    assert_eq!(rules([came(10_000, Some(10_000), 20_400), second()], &becomes_safe), ["duplicate"]);
    // The second was never written: the first caused the attempts.
    let first = came(10_000, Some(10_000), 20_400);
    assert_eq!(rules([first, came(20_000, None, 20_500)], &becomes_safe), ["duplicate"]);
}

#[test]
fn attempt_after_disconnect_drain_or_deadline_is_reported() {
    let disconnected =
        RequestRecord { disconnected: Some(ms(1_000)), end: RequestEnd::Pending, ..request(Semantics::Safe) };
    let late =
        |at| violated_rules(&history(disconnected.clone(), vec![attempt(1, at, AttemptEnd::ClosedByNode)]));
    assert_eq!(late(1_090), Vec::<&str>::new());
    assert_eq!(late(1_200), ["lost"]);
    let drained_at = |known_at| {
        let withdrawals = vec![Withdrawal { node: 0, worker: 1, known_at: ms(known_at) }];
        violated_rules(&History { withdrawals, ..served_request() })
    };
    assert_eq!(drained_at(600), Vec::<&str>::new());
    assert_eq!(drained_at(310), ["drain"]);
    // Discovery was faulty when the process started.
    let withdrawals = vec![Withdrawal { node: 0, worker: 1, known_at: ms(0) }];
    let with_list_from = |list_from| History {
        processes: vec![ProcessRecord { list_from, ..process() }],
        withdrawals: withdrawals.clone(),
        ..served_request()
    };
    assert_eq!(violated_rules(&with_list_from(None)), Vec::<&str>::new());
    assert_eq!(violated_rules(&with_list_from(Some(ms(900)))), Vec::<&str>::new());
    assert_eq!(violated_rules(&with_list_from(Some(ms(100)))), ["drain"]);
    let attempt_with_long_deadline =
        AttemptRecord { sent_deadline: Some(1.25), ..attempt(1, 1_010, AttemptEnd::Concluded) };
    assert_eq!(
        violated_rules(&history(request(Semantics::Safe), vec![attempt_with_long_deadline])),
        ["deadline"]
    );
}

#[test]
fn crash_late_start_overload_and_ignored_client_are_reported() {
    let with = |record| violated_rules(&History { processes: vec![record], ..served_request() });
    assert_eq!(with(ProcessRecord { ended: Some(ms(5_000)), code: Some(0), ..process() }), ["crash"]);
    let terminated_process =
        ProcessRecord { terminated: Some(ms(4_000)), ended: Some(ms(5_000)), code: Some(0), ..process() };
    assert_eq!(with(terminated_process), Vec::<&str>::new());
    assert_eq!(with(ProcessRecord { code: Some(101), ..terminated_process }), ["crash"]);
    // The default action of SIGTERM is only right before the program is ready.
    let by_signal = |signal, ready| ProcessRecord {
        code: None,
        signal: Some(signal),
        ready,
        terminated: Some(ms(20)),
        ended: Some(ms(30)),
        ..process()
    };
    assert_eq!(with(by_signal(15, None)), Vec::<&str>::new());
    assert_eq!(with(by_signal(11, None)), ["crash"]);
    assert_eq!(with(by_signal(15, Some(ms(10)))), ["crash"]);
    assert_eq!(with(ProcessRecord { terminated: None, ..by_signal(15, None) }), ["crash"]);
    assert_eq!(with(ProcessRecord { ready: Some(ms(10_100)), ..process() }), ["ready"]);
    let overload = History { overloads: vec![(3, 40.0, 30.0)], ..served_request() };
    assert_eq!(violated_rules(&overload), ["failback"]);
    let ignored = History { ignored_clients: vec![(0, ms(3_600))], ..served_request() };
    assert_eq!(violated_rules(&ignored), ["ignored"]);
}

/// The same seed gives the same faults, none of which begins in the fault-free time; the kinds below all
/// occur.
#[test]
fn seed_determines_the_schedule() {
    let load_duration = ms(400_000);
    let spec = ScheduleSpec {
        nodes: 12,
        workers: 8,
        load_duration,
        fault_free: ms(65_000),
        faults_per_second: 3.0,
        profile: Profile::Mixed,
        flood_clients_max: 400,
    };
    let planned = draw(&spec, 7);
    assert_eq!(planned, draw(&spec, 7));
    assert_ne!(planned, draw(&spec, 8));
    assert!(planned.iter().all(|planned| planned.at >= spec.fault_free && planned.at <= load_duration));
    let includes = |is: fn(&FaultKind) -> bool| planned.iter().any(|planned| is(&planned.kind));
    assert!(includes(|kind| matches!(kind, FaultKind::Calls { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::ClockStep { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::Restart { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::Upgrade { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::FailedUpgrade { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::Reload { .. })));
    assert!(includes(|kind| matches!(kind, FaultKind::Discovery { .. })));
}

fn short_spec(profile: Profile) -> ScheduleSpec {
    ScheduleSpec {
        nodes: 4,
        workers: 6,
        load_duration: ms(100_000),
        fault_free: ms(1_000),
        faults_per_second: 3.0,
        profile,
        flood_clients_max: 400,
    }
}

/// The profile of handovers draws each kind of disturbance: signals in series, and stalls of either process.
#[test]
fn handover_profile_draws_all_disturbances() {
    let spec = short_spec(Profile::Handovers);
    let planned = draw(&spec, 7);
    assert_eq!(planned, draw(&spec, 7));
    let handovers: Vec<_> = planned
        .iter()
        .filter_map(|planned| match &planned.kind {
            FaultKind::DisturbedHandover(handover) => Some(handover),
            _ => None,
        })
        .collect();
    assert!(handovers.len() * 3 > planned.len(), "{} of {}", handovers.len(), planned.len());
    let signals = |is: fn(&SignalSeries) -> bool| handovers.iter().any(|handover| is(&handover.signals));
    assert!(signals(|signals| matches!(signals, SignalSeries::TerminateOnce)));
    assert!(signals(|signals| matches!(signals, SignalSeries::TerminateTwice { .. })));
    assert!(signals(|signals| matches!(signals, SignalSeries::ReloadBeforeTerminate)));
    assert!(signals(|signals| matches!(signals, SignalSeries::UpgradeAgain { .. })));
    let stalls = || handovers.iter().flat_map(|handover| &handover.stalls);
    for side in [HandoverSide::Predecessor, HandoverSide::Successor] {
        assert!(stalls().any(|stall| stall.side == side), "{side:?}");
    }
    assert!(handovers.iter().any(|handover| handover.kill_successor_after.is_some()));
    assert!(handovers.iter().all(|handover| handover.settings_change == SettingsChange::None));
    assert!(stalls().all(|stall| stall.span <= ms(150)), "the protocol allows no longer stall");
}

/// The profile with changes of settings has the same faults, and all kinds of changes.
#[test]
fn changes_of_settings_are_drawn_beside_the_same_faults() {
    let spec = short_spec(Profile::Handovers);
    let without = draw(&spec, 7);
    let with = draw(&short_spec(Profile::HandoversWithSettings), 7);
    let changes: Vec<SettingsChange> = with
        .iter()
        .filter_map(|planned| match &planned.kind {
            FaultKind::DisturbedHandover(handover) => Some(handover.settings_change),
            _ => None,
        })
        .collect();
    for change in [SettingsChange::None, SettingsChange::InFile, SettingsChange::Reloaded] {
        assert!(changes.contains(&change), "{change:?}");
    }
    let without_changes = with.into_iter().map(|mut planned| {
        if let FaultKind::DisturbedHandover(handover) = &mut planned.kind {
            handover.settings_change = SettingsChange::None;
        }
        planned
    });
    assert_eq!(without_changes.collect::<Vec<_>>(), without);
}

/// Guards incident d3629f: a second run of an id that came again is reported, unless its node may have lost the memory of it.
#[test]
fn an_id_that_runs_again_is_reported() {
    let again = RequestRecord {
        comes_again: true,
        first_byte: ms(1_500),
        written: Some(ms(1_500)),
        end: RequestEnd::Answered { status: 409, is_valid: true },
        ended: Some(ms(1_600)),
        ..request(Semantics::Safe)
    };
    let history = |first: AttemptEnd, process: ProcessRecord| History {
        requests: vec![request(Semantics::Safe), again.clone()],
        attempts: vec![attempt(0, 1_010, first), attempt(1, 1_510, AttemptEnd::Concluded)],
        processes: vec![process],
        ..History::default()
    };
    let reported = |history: History| {
        let violations = check_history(&history, &Limits::default());
        violations.iter().filter(|violation| matches!(violation, Violation::RanAgain { .. })).count()
    };
    assert_eq!(reported(history(AttemptEnd::Concluded, process())), 1);
    assert_eq!(reported(history(AttemptEnd::NotExecuted, process())), 0);
    let killed = ProcessRecord { ended: Some(ms(1_300)), killed: true, ..process() };
    assert_eq!(reported(history(AttemptEnd::Concluded, killed)), 0);
}

/// Guards incident d3629f: the oracle did not look at memory.
#[test]
fn memory_over_the_limit_is_reported() {
    let history = History {
        memory_peaks_kib: vec![1_000, 1_001],
        memory_limit_kib: 1_000,
        processes: vec![process()],
        ..History::default()
    };
    let expected = Violation::Memory { node: 1, peak_kib: 1_001, limit_kib: 1_000 };
    assert_eq!(check_history(&history, &Limits::default()), [expected]);
}

/// Runs with floods draw their limits within what the platform gives, some with a crowd, and all kinds of floods.
#[test]
fn limits_and_floods_are_drawn() {
    let drawn: Vec<_> = (0..200).map(|seed| draw_limits(Profile::Floods, seed)).collect();
    let is_possible = |(limits, _): &(ProcessLimits, usize)| {
        (32..=192).contains(&limits.memory_mb) && (256..=1024).contains(&limits.sockets)
    };
    assert!(drawn.iter().all(is_possible));
    let crowds = drawn.iter().filter(|(_, crowd)| *crowd > 0).count();
    assert!((30..130).contains(&crowds), "{crowds} of 200 runs have a crowd");
    let spec = short_spec(Profile::Floods);
    let floods = (0..20).flat_map(|seed| draw(&spec, seed)).filter_map(|planned| match planned.kind {
        FaultKind::Flood { flood, .. } => Some(format!("{flood:?}")),
        _ => None,
    });
    assert_eq!(floods.collect::<std::collections::BTreeSet<_>>().len(), Flood::ALL.len());
}

/// Workers whose answers never end are drawn beside floods only, in place of other faults of workers.
#[test]
fn endless_answers_are_drawn_beside_floods() {
    let worker_modes = |profile| -> Vec<WorkerMode> {
        let drawn = (0..20).flat_map(|seed| draw(&short_spec(profile), seed));
        let mode = |kind| match kind {
            FaultKind::Worker { mode, .. } => Some(mode),
            _ => None,
        };
        drawn.filter_map(|planned| mode(planned.kind)).collect()
    };
    let is_endless = |mode: &&WorkerMode| **mode == WorkerMode::EndlessAnswers;
    let beside_floods = worker_modes(Profile::Floods);
    let endless = beside_floods.iter().filter(is_endless).count();
    assert!(endless > 0 && endless < beside_floods.len() / 2, "{endless} of {}", beside_floods.len());
    for profile in [Profile::Mixed, Profile::Handovers, Profile::HandoversWithSettings] {
        assert_eq!(worker_modes(profile).iter().filter(is_endless).count(), 0, "{profile:?}");
    }
}
