//! Endpoint lists and drains at bad moments: a worker told to drain while a connection to it comes up, a watch that falls
//! silent, discovery that forgets who called, a list older than the one before.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, worker_with_full_backlog, Client, PlatformNode, Worker};
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::{advance, Instant};

const ID: &str = "9b1f03aa5c7e2d41";

/// A worker is told to drain while a connection to it comes up: within the settings' time the request may still be
/// written, after it it goes elsewhere, though the settings give connections far longer.
#[tokio::test(start_paused = true)]
async fn connection_established_after_the_drain_grace_gets_no_request() {
    // Less what a process may be held up between the look and the write, 0.15 s.
    for (after_ms, grace_us, late) in [(90, 250_000, false), (110, 250_000, true), (340, 500_000, false)] {
        let ((slow, _fills), other) = (worker_with_full_backlog().await, Worker::start().await);
        // No calling off: a job without word is called off sooner than these drains end.
        let mut settings = common::settings(false, 60_000_000);
        settings["Limits"]["ConnectTimeoutUs"] = 60_000_000.into();
        settings["Invariants"] = json!({"DrainGraceUs": grace_us});
        let node =
            PlatformNode::start_with_settings(settings, vec![slow.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
        while node.counters.in_flight.get() < 1 {
            yield_now().await;
        }
        node.apply_list(
            2,
            vec![slow.list_entry("s-1", "terminating"), other.list_entry("s-2", "in_service")],
        )
        .await;
        advance(Duration::from_millis(after_ms)).await;
        drop(slow.0.accept().await.unwrap()); // there is room now
        let (mut came, _) = slow.0.accept().await.unwrap();
        if late {
            let mut bytes = Vec::new();
            came.read_to_end(&mut bytes).await.unwrap();
            assert_eq!(String::from_utf8_lossy(&bytes), "", "{after_ms} ms after the drain was told");
            let mut seen = other.receive_request().await;
            assert_eq!(seen.header("x-request-id"), ID);
            seen.complete("r").await;
        } else {
            let mut seen = common::ReceivedRequest::read_first(came).await;
            seen.complete("r").await;
        }
        assert_eq!(client.read_answer().await.unwrap().body, "r");
        node.assert_nothing_open().await;
        assert_eq!(node.counters.connect_failed.get(), u64::from(late));
    }
}

/// Guards drains against pauses that grow: where lists are pushed, what the agent has counts as told at once, also behind
/// calls that it turned away.
#[tokio::test(start_paused = true)]
async fn pushed_discovery_is_polled_soon_after_a_rejection() {
    let (_worker, mut node, _client) = common::start_node_with_worker().await;
    node.next_discovery_call().await;
    for n in 0..12 {
        node.reject_discovery_call();
        let turned_away = Instant::now();
        node.next_discovery_call().await;
        let pause = turned_away.elapsed();
        assert!(
            pause <= Duration::from_millis(250),
            "{pause:?} after {n} calls that were turned away before"
        );
    }
}

/// A watch that falls silent at once after start is made anew, soon and short, until one is answered; then it
/// waits as ever. The agent may have forgotten every call made while it was down.
#[tokio::test(start_paused = true)]
async fn unanswered_watches_are_repeated_with_short_waits() {
    let worker = Worker::start().await;
    let mut node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
    let wait = |head: &str| {
        let wait = head.split("wait=").nth(1).and_then(|w| w.split(' ').next()?.parse().ok());
        Duration::from_millis(wait.expect("a watch"))
    };
    let mut last = node.next_discovery_call().await;
    let start = Instant::now();
    for n in 0..4 {
        let from = Instant::now();
        last = node.next_discovery_call().await;
        assert!(last.contains("index=1&") && wait(&last) <= Duration::from_millis(100), "{n}: {last}");
        assert!(from.elapsed() <= Duration::from_millis(if n == 0 { 2600 } else { 1700 }), "{n}");
    }
    assert!(start.elapsed() < Duration::from_secs(8));
    // It is back, and tells of a drain.
    let other = Worker::start().await;
    node.apply_list(2, vec![worker.list_entry("s-1", "terminating"), other.list_entry("s-2", "in_service")])
        .await;
    let next = node.next_discovery_call().await;
    assert!(next.contains("index=2&") && wait(&next) > wait(&last), "{next}");
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    other.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
}

/// An answer that ends in the middle of a list, and one with an older list: what was told stays told. A whole list that
/// was asked for counts whatever its version: discovery may have begun anew.
#[tokio::test(start_paused = true)]
async fn older_endpoint_list_reverts_no_drain() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start(
        vec![old.list_entry("s-1", "in_service"), new.list_entry("s-2", "in_service")],
        1024,
    )
    .await;
    node.next_discovery_call().await;
    node.apply_list(7, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    assert!(node.next_discovery_call().await.contains("index=7&"));
    node.answer_discovery_call(json!({"revision": 6, "complete": true, "members": [old.list_entry("s-1", "in_service"), new.list_entry("s-2", "in_service")]}));
    assert!(
        node.next_discovery_call().await.starts_with("GET /discovery/hosts HTTP/1.1"),
        "the whole list is asked for"
    );
    node.truncate_discovery_answer(); // an answer that ends in the middle
    assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts HTTP/1.1"), "once more");
    for n in 0..3 {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "x")).await;
        let mut seen = tokio::select! {
            seen = new.receive_request() => seen,
            _ = old.receive_request() => panic!("a drain was taken back"),
        };
        seen.begin_response().await;
        seen.send_update(json!({"state": "done", "result": "r"})).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r");
    }
    // Indented, and of a discovery that began anew: as a whole list that was asked for it counts.
    let lists = node.counters.endpoint_lists_applied.get();
    let list = json!({"revision": 1, "complete": true, "members": [old.list_entry("s-1", "in_service")]});
    node.answer_discovery_call(serde_json::to_string_pretty(&list).unwrap());
    while node.counters.endpoint_lists_applied.get() == lists {
        yield_now().await;
    }
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d49", 60.0, "x")).await;
    old.receive_request().await.complete("s").await;
    assert_eq!(client.read_answer().await.unwrap().body, "s");
}
