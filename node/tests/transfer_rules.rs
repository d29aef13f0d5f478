//! Requests that move to another process whose settings differ: they keep the rules under which they were accepted.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::handover_setup::{settle, HandoverSetup};
use common::{config_with_settings, request, PlatformNode, ReceivedRequest};
use serde_json::{json, Value};
use tokio::time::{advance, Duration};

const ID: &str = "9b1f03aa5c7e2d41";

/// The test's settings with these values in the class `lodge`.
fn settings_with(changes: &Value) -> Value {
    let mut settings = common::settings(true, 60_000_000);
    for (key, value) in changes.as_object().unwrap() {
        settings["Profiles"][1][key] = value.clone();
    }
    settings
}

/// Starts a successor with these settings, which knows both workers of the setup, and waits until it has decided on the
/// running request.
async fn take_over(setup: &HandoverSetup, settings: Value) -> PlatformNode {
    let known =
        [setup.workers[0].list_entry("s-1", "in_service"), setup.workers[1].list_entry("s-2", "in_service")];
    let parts = json!({"settings": settings, "known": known});
    let predecessor = setup.find_predecessor().await;
    let path = Some(setup.path.clone());
    let node = PlatformNode::start_with_config_and_handover(parts, path, 256, 32, Some(predecessor)).await;
    settle().await;
    node
}

/// The next request that either worker gets within a second, if any.
async fn next_at_workers(setup: &HandoverSetup) -> Option<ReceivedRequest> {
    for _ in 0..50 {
        for worker in &setup.workers {
            let accepted = tokio::select! {
                biased;
                accepted = worker.0.accept() => Some(accepted.unwrap().0),
                () = settle() => None,
            };
            if let Some(socket) = accepted {
                return Some(ReceivedRequest::read_first(socket).await);
            }
        }
        advance(Duration::from_millis(20)).await;
    }
    None
}

/// Starts the node, and the request at its worker.
async fn start(name: &str, settings: Value, text: &str) -> HandoverSetup {
    let mut setup = HandoverSetup::start(name, settings, 1, text).await;
    setup.received.begin_response().await;
    setup.received.send_update(json!({"state": "started"})).await;
    settle().await;
    setup
}

async fn report_failure(received: &mut ReceivedRequest) {
    received.send_update(json!({"state": "failed"})).await;
    received.write("0\r\n\r\n").await;
}

async fn report_success(received: &mut ReceivedRequest, result: &str) {
    received.send_update(json!({"state": "done", "result": result})).await;
    received.write("0\r\n\r\n").await;
}

/// Status of the client's answer, for which time passes until its deadline.
async fn read_status(setup: &mut HandoverSetup) -> u16 {
    for _ in 0..130 {
        tokio::select! {
            biased;
            answer = setup.client.read_answer() => return answer.unwrap().status,
            () = settle() => advance(Duration::from_millis(500)).await,
        }
    }
    panic!("no answer");
}

/// A change of the class `lodge` between two processes, and what follows for a request that the first one has accepted and
/// whose worker reports a failure.
struct Change {
    before: Value,
    after: Value,
    is_sent_again: bool,
}

fn changes() -> Vec<Change> {
    let change = |before: Value, after: Value, is_sent_again| Change { before, after, is_sent_again };
    let with_window = |seconds: u64| json!({"Semantics": "keyed", "RepeatWindowUs": seconds * 1_000_000});
    vec![
        change(json!({"Semantics": "unsafe"}), json!({"Semantics": "safe"}), false),
        change(json!({"Semantics": "unsafe"}), with_window(20), false),
        change(json!({"Semantics": "unsafe"}), json!({"Name": "other", "Semantics": "safe"}), false),
        change(json!({"Semantics": "safe"}), json!({"Semantics": "unsafe"}), true),
        change(with_window(20), json!({"Semantics": "unsafe"}), true),
        change(with_window(1), json!({"Semantics": "safe"}), false),
        change(with_window(1), with_window(20), false),
        change(with_window(20), with_window(1), true),
        change(json!({"Group": "cell"}), json!({"Group": "all"}), true),
        change(with_window(20), with_window(20), true),
    ]
}

/// Guards against a request that is repeated because the process that takes it over has other settings: an unsafe job ran
/// twice after its class had become safe.
#[tokio::test(start_paused = true)]
async fn a_request_keeps_the_rules_of_its_class_in_the_next_process() {
    for (n, Change { before, after, is_sent_again }) in changes().into_iter().enumerate() {
        let case = format!("{before} -> {after}");
        let text = request("lodge", ID, 60.0, "");
        let mut setup = start(&format!("rules-{n}"), settings_with(&before), &text).await;
        advance(Duration::from_secs(2)).await;
        let new = take_over(&setup, settings_with(&after)).await;
        let moved = (setup.old.counters.transferred_out.get(), new.counters.transferred_in.get());
        assert_eq!(moved, (1, 1), "{case}: the request was not moved");
        report_failure(&mut setup.received).await;
        let again = next_at_workers(&setup).await;
        assert_eq!(again.is_some(), is_sent_again, "{case}: sent again");
        if let Some(mut again) = again {
            again.complete("second").await;
        }
        // An unsafe request fails at once; a keyed one whose window is over may be refused before its deadline.
        let status = read_status(&mut setup).await;
        let expected: &[u16] = if is_sent_again { &[200] } else { &[502, 503] };
        let is_unsafe = before["Semantics"] == "unsafe";
        assert!(expected.contains(&status) && !(is_unsafe && status == 503), "{case}: answered {status}");
        std::fs::remove_file(&setup.path).unwrap();
    }
}

/// The class of a running request may be gone, or ask for a key that the request lacks, in the process that takes it over.
#[tokio::test(start_paused = true)]
async fn a_request_whose_class_is_not_offered_any_more_is_served() {
    let changes = [json!({"Name": "other"}), json!({"Semantics": "keyed", "RepeatWindowUs": 20_000_000})];
    for (n, after) in changes.into_iter().enumerate() {
        let before = json!({"Semantics": "safe"});
        let text = request("lodge", ID, 60.0, "").replace("Idempotency-Key: k1\r\n", "");
        let mut setup = start(&format!("gone-{n}"), settings_with(&before), &text).await;
        let new = take_over(&setup, settings_with(&after)).await;
        assert_eq!(new.counters.transferred_in.get(), 1, "{after}");
        report_success(&mut setup.received, "r").await;
        let answer = setup.client.read_answer().await.unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, "r"), "{after}");
        std::fs::remove_file(&setup.path).unwrap();
    }
}

/// A request keeps its number of attempts, too.
#[tokio::test(start_paused = true)]
async fn a_request_keeps_its_number_of_attempts_in_the_next_process() {
    for (before, after) in [(1, 3), (3, 1)] {
        let settings = |attempts: u32| {
            let mut settings = settings_with(&json!({"Semantics": "safe"}));
            settings["Limits"]["MaxAttempts"] = attempts.into();
            settings
        };
        let text = request("lodge", ID, 60.0, "");
        let mut setup = start(&format!("attempts-{before}"), settings(before), &text).await;
        let _new = take_over(&setup, settings(after)).await;
        report_failure(&mut setup.received).await;
        assert_eq!(next_at_workers(&setup).await.is_some(), before > 1, "{before} attempts, then {after}");
        std::fs::remove_file(&setup.path).unwrap();
    }
}

/// The class of a running request may have been changed by a reload before it moves, and by another one after that.
#[tokio::test(start_paused = true)]
async fn a_request_keeps_its_rules_over_reloads_before_and_after_it_moves() {
    let text = request("lodge", ID, 60.0, "");
    let [before, after] = ["unsafe", "safe"].map(|semantics| settings_with(&json!({"Semantics": semantics})));
    let mut setup = start("reload", before, &text).await;
    let reload = config_with_settings(after.clone()).effective_settings;
    setup.old.effective_settings.send_modify(|settings| *settings = settings.merged_with(&reload));
    settle().await;
    let second = take_over(&setup, after).await;
    assert_eq!(second.counters.transferred_in.get(), 1, "the reloaded process moves it");
    second.effective_settings.send_modify(|settings| *settings = settings.merged_with(&reload));
    settle().await;
    report_failure(&mut setup.received).await;
    assert!(next_at_workers(&setup).await.is_none(), "sent again");
    assert_eq!(setup.client.read_answer().await.unwrap().status, 502);
    std::fs::remove_file(&setup.path).unwrap();
}

/// A process of an earlier version reads requests by its own rules, so it is offered none.
#[tokio::test(start_paused = true)]
async fn a_successor_of_an_earlier_version_is_offered_no_request() {
    for ready in ["ready", "ready claims"] {
        let text = request("lodge", ID, 60.0, "");
        let name = format!("earlier-{}", ready.len());
        let mut setup = start(&name, settings_with(&json!({})), &text).await;
        let mut link = common::handover_link::HandoverLink::take_over(&setup.path, ready).await;
        assert_eq!(link.receive_descriptors().await.len(), 0, "a report of held resources, and no offer");
        link.read_line().await;
        report_success(&mut setup.received, "here").await;
        assert_eq!(setup.client.read_answer().await.unwrap().body, "here", "{ready}");
        std::fs::remove_file(&setup.path).unwrap();
    }
}
