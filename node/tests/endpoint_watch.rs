//! The watch of discovery's endpoint list: drains, malformed lists, rejected calls, and a discovery that moves. Time stands
//! still but where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, ReceivedRequest, Worker};
use serde_json::json;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_draining_worker_gets_no_new_jobs() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    node.apply_list(2, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    for n in 0..3 {
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "")).await;
        let mut seen: ReceivedRequest = new.receive_request().await;
        seen.begin_response().await;
        seen.send_update(json!({"state": "done", "result": "ok"})).await;
        assert_eq!(client.read_answer().await.unwrap().status, 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_malformed_list_changes_nothing_and_the_next_one_counts() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    node.next_discovery_call().await;
    node.answer_discovery_call("{\"revision\": 2, \"complete\": true, \"members\": [{}]}");
    node.next_discovery_call().await; // the malformed list has been read: the whole one is asked for
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    old.receive_request().await.complete("old").await;
    assert_eq!(client.read_answer().await.unwrap().body, "old");
    node.apply_list(3, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    for n in 2..5 {
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "")).await;
        let mut seen: ReceivedRequest = new.receive_request().await;
        seen.begin_response().await;
        seen.send_update(json!({"state": "done", "result": "ok"})).await;
        assert_eq!(client.read_answer().await.unwrap().status, 200);
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_absent_from_a_whole_list_gets_no_more_jobs() {
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

/// Protects discovery when all nodes start at once: each asks only for what has changed since the list that it knew,
/// and one that is turned away asks for no more than that again, over the same connection.
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

/// Protects node and discovery from a list that stays unreadable or is enormous: the old one stays in force, and
/// calls for another come ever seldomer.
#[tokio::test(start_paused = true)]
async fn malformed_lists_leave_the_old_one_in_force_and_are_asked_for_less_and_less() {
    let worker = Worker::start().await;
    for bad in [r#"{"revision": 2, "complete": true, "members": [{}]}"#.to_string(), "9".repeat(5 << 20)] {
        let mut node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
        let from = Instant::now();
        for n in 0..8 {
            let head = node.next_discovery_call().await;
            assert_eq!(head.contains("index=1&"), n == 0, "the whole list after a bad one: {head}");
            node.answer_discovery_call(&bad);
        }
        assert!(from.elapsed() > Duration::from_secs(3), "{:?}", from.elapsed());
        assert_eq!(node.counters.endpoint_lists_applied.get(), 0);
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
        worker.receive_request().await.complete("a").await;
        assert_eq!(client.read_answer().await.unwrap().body, "a");
    }
}

/// Protects the worker list and drains while discovery moves: the old address counts until the new one has told
/// the whole list, and nothing that it says counts after that.
#[tokio::test(start_paused = true)]
async fn a_move_of_discovery_loses_neither_the_list_nor_a_drain() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start(vec![old.list_entry("s-1", "in_service")], 1024).await;
    let mut client = Client::connect(&node).await;
    let mut calls = node.move_discovery().await;
    assert!(calls.recv().await.unwrap().starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list first");
    // The new address is silent so far: the list stays, and the old address still tells of a drain.
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
    // The new one's revision is its own; its watch goes on from there.
    node.apply_list(1, vec![old.list_entry("s-1", "in_service"), new.list_entry("s-2", "terminating")]).await;
    assert!(calls.recv().await.unwrap().starts_with("GET /discovery/hosts?index=1&"));
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d43", 60.0, "")).await;
    old.receive_request().await.complete("c").await;
    assert_eq!(client.read_answer().await.unwrap().body, "c");
    node.previous_discovery_closed().await;
}
