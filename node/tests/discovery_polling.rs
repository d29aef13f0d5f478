//! Discovery that is one service for all nodes and answers when asked: overbooked, down, back; and a node that starts with
//! nothing but its last list, whose workers are gone.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, Worker};
use serde_json::{json, Value};
use std::ops::RangeInclusive;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{advance, Instant};

const ID: &str = "9b1f03aa5c7e2d41";

fn asked() -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["Discovery"] = "ask".into();
    settings
}

/// The next call, and after how long it came: within this many milliseconds.
async fn call(node: &mut PlatformNode, within_ms: RangeInclusive<u128>, what: &str) -> String {
    let start = Instant::now();
    let head = node.next_discovery_call().await;
    let after = start.elapsed().as_millis();
    assert!(within_ms.contains(&after), "{what}: after {after} ms");
    head
}

/// Turned away, it asks ever seldomer and from the version that it knows; when the service goes down under a watch, and while
/// it gives no answer at all, it asks again; and what is told at its return counts at once.
#[tokio::test(start_paused = true)]
async fn rejected_polls_back_off_and_discovery_that_returns_is_applied() {
    let (old, new) = (Worker::start().await, Worker::start().await);
    let mut node = PlatformNode::start_with_config(
        json!({"settings": asked(), "known": [old.list_entry("s-1", "in_service")]}),
    )
    .await;
    let watch = |ms| format!("GET /discovery/hosts?index=1&wait={ms} HTTP/1.1");
    assert!(
        node.next_discovery_call().await.starts_with(&watch(2000)),
        "one watch, from the version that was known"
    );
    for (within, what) in
        [(25..=60, "first"), (50..=110, "second"), (100..=210, "third"), (200..=410, "fourth")]
    {
        node.reject_discovery_call();
        let head = call(&mut node, within, what).await;
        let wait =
            head.strip_prefix("GET /discovery/hosts?index=1&wait=").and_then(|rest| rest.split(' ').next());
        let wait: u64 = wait.and_then(|ms| ms.parse().ok()).unwrap_or_else(|| panic!("{what}: {head}"));
        assert!((1_000..2_000).contains(&wait), "{what}: waits {wait} ms");
    }
    // It goes down in the middle of an answer.
    node.truncate_discovery_answer();
    assert!(call(&mut node, 50..=60, "cut").await.starts_with(&watch(1950)));
    // It is silent: the watch's own wait and some more, then again, soon.
    assert!(call(&mut node, 3_500..=3_600, "silent").await.starts_with(&watch(1950)));
    node.apply_list(2, vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")]).await;
    assert!(node.next_discovery_call().await.starts_with("GET /discovery/hosts?index=2&wait=3000"));
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
    new.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
}

/// All that the last list names is gone: a job that never ran there waits for a list that names somebody, and runs once.
#[tokio::test(start_paused = true)]
async fn node_serves_once_discovery_names_reachable_workers() {
    let (gone, here) = (Worker::start().await, Worker::start().await);
    let known = [gone.list_entry("s-1", "in_service")];
    drop(gone);
    let node = PlatformNode::start_with_config(json!({"settings": asked(), "known": known})).await;
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
    assert_eq!(node.counters.connect_failed.get(), 1, "tried, and in doubt since");
    node.apply_list(2, vec![here.list_entry("s-2", "in_service")]).await;
    here.receive_request().await.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    node.assert_nothing_open().await;
    assert_eq!((node.counters.attempts_sent.get(), node.counters.succeeded.get()), (2, 1));
}
