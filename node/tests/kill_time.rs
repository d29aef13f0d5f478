//! Requests to a node that stops after its settings have changed: they are answered before the platform may kill it, which
//! follows from the settings in force. The clock is paused and advances only where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, stop_until_closing, Client, PlatformNode, Worker};
use molevale::kill_time::KillTime;
use molevale::names::parse_settings;
use molevale::phase::Phases;
use molevale::settings_merge::EffectiveSettings;
use serde_json::{json, Value};
use std::time::Duration;
use tokio::time::{advance, Instant};

const SHORT: Duration = Duration::from_millis(1200);
const LONG: Duration = Duration::from_secs(3);
/// Time from SIGTERM to SIGKILL, less the reserve, where the longest deadline in force is [`SHORT`].
const KILLED_AFTER: Duration = Duration::from_millis(1720);
/// Time from SIGTERM until the node is closing.
const CLOSING_AFTER: Duration = Duration::from_millis(720);

/// Settings with class `check`, and with class `lodge` where it has a deadline.
fn settings(check: Duration, lodge: Option<Duration>) -> Value {
    let mut settings = common::settings(true, 800_000);
    let classes = settings["Profiles"].as_array_mut().unwrap();
    classes[0]["DeadlineUs"] = (check.as_micros() as u64).into();
    match lodge {
        Some(lodge) => classes[1]["DeadlineUs"] = (lodge.as_micros() as u64).into(),
        None => classes.truncate(1),
    }
    settings
}

/// Lets the node change to these settings, as at SIGHUP.
async fn reload(node: &PlatformNode, newer: Value) {
    let (settings, names) = parse_settings(&newer).unwrap();
    let merged = node.effective_settings.borrow().merged_with(&EffectiveSettings { settings, names });
    node.effective_settings.send_replace(merged);
    for _ in 0..10 {
        tokio::task::yield_now().await; // the parts of the node take them over
    }
}

async fn start(settings: Value) -> (Worker, PlatformNode) {
    let worker = Worker::start().await;
    let known = vec![worker.list_entry("s-1", "in_service")];
    let node = PlatformNode::start_with_settings(settings, known).await;
    (worker, node)
}

/// Waits until the node has noted the acknowledgement of an attempt, which would be cancelled without one.
async fn wait_until_acknowledged(node: &PlatformNode) {
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
}

/// Guards against review 8: the longest deadline of all settings ever seen decided when SIGKILL is expected. A request that
/// arrives 1.2 s after SIGTERM is answered before the kill time of the settings in force, however they came about.
#[tokio::test(start_paused = true)]
async fn a_request_to_a_stopping_node_is_answered_by_the_settings_in_force() {
    let with_long = || settings(SHORT, Some(LONG));
    let changes: [Vec<Value>; 4] = [
        vec![settings(SHORT, None)],
        vec![settings(SHORT, Some(SHORT))],
        vec![settings(SHORT, None), with_long(), settings(SHORT, None)],
        vec![settings(LONG, None), settings(SHORT, None)],
    ];
    for (case, newer) in changes.into_iter().enumerate() {
        let (worker, node) = start(with_long()).await;
        for settings in newer {
            reload(&node, settings).await;
        }
        answers_slow_request_before_the_kill(&worker, node, &format!("change {case}")).await;
    }
}

/// Guards against review 8 on a related path: the head of the request came under settings that were replaced while the rest
/// was on its way.
#[tokio::test(start_paused = true)]
async fn a_request_that_began_before_the_change_is_answered_by_the_settings_in_force() {
    let (worker, node) = start(settings(SHORT, Some(LONG))).await;
    let mut client = Client::connect(&node).await;
    let text = request("check", "9b1f03aa5c7e2d42", SHORT.as_secs_f64(), "body");
    let (head, body) = text.split_at(text.len() - 4);
    client.send_after_pause(head).await;
    reload(&node, settings(SHORT, None)).await;
    stop_until_closing(&node.phases).await;
    advance(SHORT - CLOSING_AFTER).await;
    client.send_after_pause(body).await;
    answers_before_the_kill(&worker, node, client, "head before the change").await;
}

/// Guards against review 8 where the new settings come after SIGTERM: the platform may go by either.
#[tokio::test(start_paused = true)]
async fn settings_that_come_while_a_node_stops_bring_its_kill_time_forward() {
    let (worker, node) = start(settings(SHORT, Some(LONG))).await;
    let mut client = Client::connect(&node).await;
    let text = request("check", "9b1f03aa5c7e2d42", SHORT.as_secs_f64(), "");
    let (begin, end) = text.split_at(text.len() - 2);
    client.send_after_pause(begin).await;
    stop_until_closing(&node.phases).await;
    reload(&node, settings(SHORT, None)).await;
    reload(&node, settings(LONG, None)).await;
    advance(SHORT - CLOSING_AFTER).await;
    client.send_after_pause(end).await;
    answers_before_the_kill(&worker, node, client, "settings after SIGTERM").await;
}

/// Guards against review 8 for requests that are open: one of a class that is no longer offered, with a longer deadline than the
/// settings in force have, is answered before the node may be killed, whether SIGTERM or the change comes first.
#[tokio::test(start_paused = true)]
async fn a_request_of_a_dropped_class_is_answered_before_the_kill() {
    for is_stopped_first in [false, true] {
        let (worker, node) = start(settings(SHORT, Some(LONG))).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d43", LONG.as_secs_f64(), "")).await;
        let mut received = worker.receive_request().await;
        received.begin_response().await;
        wait_until_acknowledged(&node).await;
        if is_stopped_first {
            stop_until_closing(&node.phases).await;
        }
        reload(&node, settings(SHORT, None)).await;
        if !is_stopped_first {
            stop_until_closing(&node.phases).await;
        }
        tokio::task::yield_now().await;
        advance(KILLED_AFTER - CLOSING_AFTER).await;
        let answer = client.read_answer().await.expect("an answer");
        assert_eq!(answer.status, 502, "stopped first: {is_stopped_first}");
        assert_eq!(node.task.await.unwrap(), Ok(()));
    }
}

/// The settings in force have classes that last longer than the platform waits: their open requests go on, as SIGKILL may come
/// later.
#[tokio::test(start_paused = true)]
async fn a_request_of_an_offered_class_goes_on_beyond_the_kill_time() {
    const VERY_LONG: Duration = Duration::from_secs(25);
    let (worker, node) = start(settings(SHORT, Some(VERY_LONG))).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d44", VERY_LONG.as_secs_f64(), "")).await;
    let mut received = worker.receive_request().await;
    received.begin_response().await;
    wait_until_acknowledged(&node).await;
    reload(&node, settings(SHORT, Some(LONG))).await;
    stop_until_closing(&node.phases).await;
    advance(LONG).await; // beyond 3.52 s after SIGTERM
    received.send_update(json!({"state": "done", "result": "r"})).await;
    assert_eq!(client.read_answer().await.expect("an answer").body, "r");
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Sends a request whose last bytes arrive [`SHORT`] after SIGTERM.
async fn answers_slow_request_before_the_kill(worker: &Worker, node: PlatformNode, case: &str) {
    let mut client = Client::connect(&node).await;
    let text = request("check", "9b1f03aa5c7e2d42", SHORT.as_secs_f64(), "");
    let (begin, end) = text.split_at(text.len() - 2);
    client.send_after_pause(begin).await;
    stop_until_closing(&node.phases).await;
    advance(SHORT - CLOSING_AFTER).await;
    client.send_after_pause(end).await;
    answers_before_the_kill(worker, node, client, case).await;
}

/// Checks that a request that was complete [`SHORT`] after SIGTERM is answered within [`KILLED_AFTER`].
async fn answers_before_the_kill(worker: &Worker, node: PlatformNode, mut client: Client, case: &str) {
    let mut received = worker.receive_request().await;
    let deadline = received.header("x-deadline").parse::<f64>().unwrap();
    assert!(deadline <= (KILLED_AFTER - SHORT).as_secs_f64(), "{case}: the worker gets {deadline} s");
    received.begin_response().await;
    wait_until_acknowledged(&node).await;
    advance(KILLED_AFTER - SHORT).await;
    assert_eq!(client.read_answer().await.expect("an answer").status, 503, "{case}");
    assert_eq!(node.task.await.unwrap(), Ok(()), "{case}");
}

/// The two facts about deadlines of merged settings: how long open work may last, and what the settings in force offer. Guards
/// against review 8 in the successor of an upgrade, too, which knows the classes of the old process.
#[test]
fn a_class_that_is_no_longer_offered_counts_for_open_requests_only() {
    let effective = |settings: &Value| {
        let (settings, names) = parse_settings(settings).unwrap();
        EffectiveSettings { settings, names }
    };
    let (long, short) = (effective(&settings(SHORT, Some(LONG))), effective(&settings(SHORT, None)));
    let deadlines = |settings: &EffectiveSettings| {
        (settings.names.longest_offered_deadline(), settings.names.longest_open_deadline())
    };
    let dropped = long.merged_with(&short);
    let offered_again = dropped.merged_with(&long);
    let successor = short.with_retired_classes(&long.names.open_class_rules());
    assert_eq!(deadlines(&dropped), (SHORT, LONG));
    assert_eq!(deadlines(&offered_again), (LONG, LONG));
    assert_eq!(deadlines(&offered_again.merged_with(&short)), (SHORT, LONG));
    assert_eq!(deadlines(&successor), (SHORT, LONG));
    assert_eq!(deadlines(&long.merged_with(&effective(&settings(SHORT, Some(SHORT))))), (SHORT, LONG));
}

/// The kill time follows the settings until the process is told to stop; from then on it only comes nearer.
#[tokio::test(start_paused = true)]
async fn the_kill_time_follows_the_settings_until_the_stop() {
    let phases = Phases::default();
    let kill_time = KillTime::new(phases.clone(), LONG);
    assert_eq!(kill_time.end_deadline(), None);
    kill_time.settings_changed(SHORT);
    kill_time.settings_changed(LONG);
    common::begin_stop(&phases).await;
    let stopped_at = Instant::now();
    let end = |kill_time: &KillTime| kill_time.end_deadline().unwrap() - stopped_at;
    assert_eq!(end(&kill_time), Duration::from_millis(3520));
    assert!(!kill_time.is_outlasted_by(Duration::from_secs(60)), "no more than 3 s is counted");
    kill_time.settings_changed(SHORT);
    kill_time.settings_changed(LONG);
    assert_eq!(end(&kill_time), KILLED_AFTER);
    assert!(kill_time.is_outlasted_by(LONG) && !kill_time.is_outlasted_by(SHORT));
}
