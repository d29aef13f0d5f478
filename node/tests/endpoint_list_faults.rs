//! Endpoint lists and drains under faults: a worker drains while a connection to it is being established, a
//! watch is never answered, discovery forgets its callers, an older list arrives after a newer one.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, worker_with_full_backlog, Client, PlatformNode, Worker};
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::{advance, Instant};

const ID: &str = "9b1f03aa5c7e2d41";

/// A worker starts to drain while a connection to it is being established. Within the drain grace the request
/// may still be written; after it the request goes to another worker, although the connect timeout is far
/// longer.
#[tokio::test(start_paused = true)]
async fn connection_established_after_the_drain_grace_gets_no_request() {
    // The grace is reduced by 0.15 s, for which a process may be delayed between the check and the write.
    for (after_ms, grace_us, late) in [(90, 250_000, false), (110, 250_000, true), (340, 500_000, false)] {
        let ((slow, _backlog_filler), other) = (worker_with_full_backlog().await, Worker::start().await);
        // Cancellation is off, as otherwise an attempt without a response is cancelled before these grace
        // periods end.
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
        drop(slow.0.accept().await.unwrap()); // frees the backlog
        let (mut connection, _) = slow.0.accept().await.unwrap();
        if late {
            let mut bytes = Vec::new();
            connection.read_to_end(&mut bytes).await.unwrap();
            assert_eq!(String::from_utf8_lossy(&bytes), "", "{after_ms} ms after the drain was announced");
            let mut received = other.receive_request().await;
            assert_eq!(received.header("x-request-id"), ID);
            received.complete("r").await;
        } else {
            let mut received = common::ReceivedRequest::read_first(connection).await;
            received.complete("r").await;
        }
        assert_eq!(client.read_answer().await.unwrap().body, "r");
        node.assert_nothing_open().await;
        assert_eq!(node.counters.connect_failed.get(), u64::from(late));
    }
}

/// Guards drains against growing pauses: where lists are pushed, a change counts as announced as soon as the
/// agent has it, also after calls that it rejected.
#[tokio::test(start_paused = true)]
async fn pushed_discovery_is_polled_soon_after_a_rejection() {
    let (_worker, mut node, _client) = common::start_node_with_worker().await;
    node.next_discovery_call().await;
    for n in 0..12 {
        node.reject_discovery_call();
        let rejected_at = Instant::now();
        node.next_discovery_call().await;
        let pause = rejected_at.elapsed();
        assert!(pause <= Duration::from_millis(250), "{pause:?} after {n} earlier rejections");
    }
}

/// A watch that is not answered right after the start is repeated soon and with short waits until one is
/// answered; then the waits are as long as usual again. The agent may have forgotten every call made while it
/// was down.
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
    // Discovery has recovered, and announces a drain.
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

/// An older list or a truncated answer does not revert a drain. A complete list that the node asked for
/// applies whatever its version, since discovery may have restarted.
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
        "the node asks for the complete list"
    );
    node.truncate_discovery_answer(); // the answer ends in the middle of the list
    assert!(
        node.next_discovery_call().await.starts_with("GET /discovery/hosts HTTP/1.1"),
        "the node asks again"
    );
    for n in 0..3 {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "x")).await;
        let mut received = tokio::select! {
            received = new.receive_request() => received,
            _ = old.receive_request() => panic!("a drain was reverted"),
        };
        received.begin_response().await;
        received.send_update(json!({"state": "done", "result": "r"})).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r");
    }
    // An indented list of a restarted discovery: complete and asked for, so it applies.
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
