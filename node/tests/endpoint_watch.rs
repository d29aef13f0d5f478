//! The watch of discovery's endpoint list: drains, malformed lists, rejected calls, and a discovery that
//! moves. The clock is paused and advances only where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, ReceivedRequest, Worker};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_draining_worker_gets_no_new_requests() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    node.apply_list(2, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    for n in 0..3 {
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "")).await;
        let mut received: ReceivedRequest = new.receive_request().await;
        received.begin_response().await;
        received.send_update(json!({"state": "done", "result": "ok"})).await;
        assert_eq!(client.read_answer().await.unwrap().status, 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_malformed_list_is_ignored_and_the_next_one_applied() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    node.next_discovery_call().await;
    node.answer_discovery_call("{\"revision\": 2, \"complete\": true, \"members\": [{}]}");
    node.next_discovery_call().await; // the node has read the malformed list and asks for a complete one
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    old.receive_request().await.complete("old").await;
    assert_eq!(client.read_answer().await.unwrap().body, "old");
    node.apply_list(3, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    for n in 2..5 {
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "")).await;
        let mut received: ReceivedRequest = new.receive_request().await;
        received.begin_response().await;
        received.send_update(json!({"state": "done", "result": "ok"})).await;
        assert_eq!(client.read_answer().await.unwrap().status, 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_absent_from_a_complete_list_gets_no_more_requests() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    node.apply_list(3, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    new.receive_request().await.complete("new").await;
    assert_eq!(client.read_answer().await.unwrap().body, "new");
    node.apply_list(4, vec![old.list_entry("s-1", "in_service")]).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d44", 60.0, "")).await;
    old.receive_request().await.complete("back").await;
    assert_eq!(client.read_answer().await.unwrap().body, "back");
}

/// Guards discovery against the load of all nodes starting at once: each asks only for the changes since the
/// list it knows, and after a rejection repeats that call on the same connection.
#[tokio::test(start_paused = true)]
async fn a_rejected_watch_asks_again_for_changes_since_the_known_list() {
    let worker = Worker::start().await;
    let mut node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
    for _ in 0..5 {
        assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts?index=1&"));
        node.reject_discovery_call();
    }
    assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts?index=1&"));
    node.answer_discovery_call(
        json!({"revision": 2, "complete": false, "members": [worker.list_entry("s-1", "terminating")]}),
    );
    assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts?index=2&"));
    assert_eq!(node.counters.endpoint_lists_applied.get(), 1);
}

/// Guards node and discovery against lists that stay unreadable or are huge: the previous list stays in
/// force, and calls for a new one back off.
#[tokio::test(start_paused = true)]
async fn malformed_lists_leave_the_previous_one_in_force_and_polls_back_off() {
    let worker = Worker::start().await;
    for malformed in
        [r#"{"revision": 2, "complete": true, "members": [{}]}"#.to_string(), "9".repeat(5 << 20)]
    {
        let mut node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
        let from = Instant::now();
        for n in 0..8 {
            let head = node.next_discovery_call().await;
            assert_eq!(head.contains("index=1&"), n == 0, "the complete list after a malformed one: {head}");
            node.answer_discovery_call(&malformed);
        }
        assert!(from.elapsed() > Duration::from_secs(3), "{:?}", from.elapsed());
        assert_eq!(node.counters.endpoint_lists_applied.get(), 0);
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
        worker.receive_request().await.complete("a").await;
        assert_eq!(client.read_answer().await.unwrap().body, "a");
    }
}

/// Guards against lost lists and drains while discovery moves: the previous address is followed until the new
/// one has sent a complete list, and is ignored after that.
#[tokio::test(start_paused = true)]
async fn a_move_of_discovery_loses_neither_the_list_nor_a_drain() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    let mut client = Client::connect(&node).await;
    let mut calls = node.move_discovery().await;
    assert!(
        calls.recv().await.unwrap().starts_with("GET /discovery/hosts HTTP/1.1"),
        "the complete list first"
    );
    // The new address is still silent: the list stays in force, and the previous address can still announce a
    // drain.
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    old.receive_request().await.complete("a").await;
    assert_eq!(client.read_answer().await.unwrap().body, "a");
    node.apply_list_from_previous_discovery(
        2,
        vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")],
    )
    .await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    new.receive_request().await.complete("b").await;
    assert_eq!(client.read_answer().await.unwrap().body, "b");
    // The new address has revisions of its own, and its watch continues from the one it sent.
    node.apply_list(1, vec![old.list_entry("s-1", "in_service"), new.list_entry("s-2", "terminating")]).await;
    assert!(calls.recv().await.unwrap().starts_with("GET /discovery/hosts?index=1&"));
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d43", 60.0, "")).await;
    old.receive_request().await.complete("c").await;
    assert_eq!(client.read_answer().await.unwrap().body, "c");
    node.previous_discovery_closed().await;
}
