//! Discovery that is one service for all nodes and is polled (`Discovery` is `ask`): it rejects calls, fails
//! and recovers; and a node that starts with a stale list, none of whose workers can be reached.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, Worker};
use serde_json::{json, Value};
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{advance, Instant};

const ID: &str = "9b1f03aa5c7e2d41";

fn polling_settings() -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["Discovery"] = "ask".into();
    settings
}

/// The head of the next call to discovery, which must come within this many milliseconds.
async fn expect_call(node: &mut PlatformNode, within_ms: RangeInclusive<u128>, what: &str) -> String {
    let start = Instant::now();
    let head = node.next_discovery_call().await;
    let after = start.elapsed().as_millis();
    assert!(within_ms.contains(&after), "{what}: called after {after} ms");
    head
}

/// Rejected polls back off and ask for changes since the known version. A truncated answer and a missing one
/// are followed by another poll, and the list that discovery sends once it has recovered applies at once.
#[tokio::test(start_paused = true)]
async fn rejected_polls_back_off_and_a_recovered_discovery_is_followed() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start_with_config(
        json!({"settings": polling_settings(), "known": [old.list_entry("s-1", "in_service")]}),
    )
    .await;
    let watch = |ms| format!("GET /discovery/hosts?index=1&wait={ms} HTTP/1.1");
    assert!(node.next_discovery_call().await.starts_with(&watch(2000)), "one watch, from the known version");
    for (within, what) in
        [(25..=60, "first"), (50..=110, "second"), (100..=210, "third"), (200..=410, "fourth")]
    {
        node.reject_discovery_call();
        let head = expect_call(&mut node, within, what).await;
        let wait =
            head.strip_prefix("GET /discovery/hosts?index=1&wait=").and_then(|rest| rest.split(' ').next());
        let wait: u64 = wait.and_then(|ms| ms.parse().ok()).unwrap_or_else(|| panic!("{what}: {head}"));
        assert!((1_000..2_000).contains(&wait), "{what}: waits {wait} ms");
    }
    // Discovery fails in the middle of an answer.
    node.truncate_discovery_answer();
    assert!(expect_call(&mut node, 50..=60, "truncated answer").await.starts_with(&watch(1950)));
    // Discovery is silent: the node waits for the watch's own time and a margin, then polls again.
    assert!(expect_call(&mut node, 3_500..=3_600, "silent").await.starts_with(&watch(1950)));
    node.apply_list(2, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts?index=2&wait=3000"));
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
    new.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
}

/// No worker of the last list can be reached: a request waits until a list names a reachable worker, and is
/// executed once.
#[tokio::test(start_paused = true)]
async fn node_serves_once_discovery_names_reachable_workers() {
    let (unreachable, reachable) = (Worker::start().await, Worker::start().await);
    let known = [unreachable.list_entry("s-1", "in_service")];
    drop(unreachable);
    let node = PlatformNode::start_with_config(json!({"settings": polling_settings(), "known": known})).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
    for _ in 0..100 {
        for _ in 0..50 {
            yield_now().await;
        }
        if node.counters.connect_failed.get() > 0 {
            break;
        }
        advance(Duration::from_millis(5)).await;
    }
    assert_eq!(node.counters.connect_failed.get(), 1, "tried once, then avoided");
    node.apply_list(2, vec![reachable.list_entry("s-2", "in_service")]).await;
    reachable.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
    assert_eq!((node.counters.attempts_sent.get(), node.counters.succeeded.get()), (2, 1));
}
