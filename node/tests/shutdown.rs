//! A node that is told to stop or to drain: what it has accepted is answered, what still comes is served, and idle
//! connections are closed. Time stands still but where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{
    begin_stop, request, start_node_with_worker, stop_until_closing, Client, PlatformNode, Worker, UP,
};
use molevale::phase::Phase;
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn a_stopping_node_answers_jobs_that_came_before_and_that_still_come() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut idle = Client::connect(&node).await;
    assert_eq!(idle.exchange(UP).await.status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut before = worker.receive_request().await;
    before.begin_response().await;
    begin_stop(&node.phases).await;
    let mut late = Client::connect(&node).await;
    assert_eq!(late.exchange(UP).await.status, 503, "it wants no new clients");
    late.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut after = worker.receive_request().await;
    after.begin_response().await;
    while node.counters.acknowledged.get() < 2 {
        tokio::task::yield_now().await; // a job without word is called off in the time that passes now
    }
    advance(Duration::from_millis(720)).await;
    assert!(idle.read_answer().await.is_none(), "an idle connection is closed");
    for (seen, client, result) in [(&mut before, &mut client, "a"), (&mut after, &mut late, "b")] {
        seen.send_update(json!({"state": "done", "result": result})).await;
        let got = client.read_answer().await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (200, result));
        assert!(got.head.to_lowercase().contains("connection: close"), "{got:?}");
    }
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Protects requests that are written slowly while the node stops: nothing that came later than 0.7 s after SIGTERM
/// may be without its answer when SIGKILL comes, 3.7 s after it.
#[tokio::test(start_paused = true)]
async fn a_slow_request_to_a_stopping_node_is_answered_before_sigkill() {
    let (worker, node, _) = start_node_with_worker().await;
    let mut slow = Client::connect(&node).await;
    let text = request("check", "9b1f03aa5c7e2d41", 60.0, "");
    let (begin, end) = text.split_at(text.len() - 2);
    slow.send_after_pause(begin).await;
    stop_until_closing(&node.phases).await;
    advance(Duration::from_millis(1300)).await; // 2.02 s after SIGTERM
    slow.send_after_pause(end).await;
    let mut seen = worker.receive_request().await;
    assert!(seen.header("x-deadline").parse::<f64>().unwrap() < 1.6);
    seen.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(1560)).await;
    assert_eq!(slow.read_answer().await.expect("an answer").status, 503);
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Protects a request of a class with a short wait that came just before the close: the node ends once it is answered,
/// and not at a moment of its own, for SIGKILL may come later than that and the request counts as taken.
#[tokio::test(start_paused = true)]
async fn a_stopping_node_ends_only_after_the_last_answer() {
    let worker = Worker::start().await;
    let mut short = common::settings(true, 800_000);
    for class in short["Profiles"].as_array_mut().unwrap() {
        class["DeadlineUs"] = 800_000.into();
    }
    let mut node =
        PlatformNode::start_with_settings(short, vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    begin_stop(&node.phases).await;
    advance(Duration::from_millis(670)).await; // so early that its own wait is not cut for the end
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 0.8, "")).await;
    let mut seen = worker.receive_request().await;
    seen.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(30)).await;
    node.phases.subscribe().wait_for(|p| *p == Phase::Closing).await.unwrap();
    while TcpStream::connect(node.address).await.is_ok() {
        tokio::task::yield_now().await; // until the listener is closed: from there on it waits for the last answer
    }
    advance(Duration::from_millis(765)).await; // up to 5 ms before the end of its wait
    seen.send_update(json!({"state": "done", "result": "r"})).await;
    let got = tokio::select! {
        biased;
        got = client.read_answer() => got,
        ended = &mut node.task => panic!("ended with a request taken: {ended:?}"),
    };
    assert_eq!(got.expect("an answer").body, "r");
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Protects clients of a node that drains: idle connections close, what runs and what still comes is served and
/// its connection closed then; and the node comes back whole.
#[tokio::test(start_paused = true)]
async fn a_draining_node_closes_connections_between_requests_and_resumes() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut idle = Client::connect(&node).await;
    assert_eq!(idle.exchange(UP).await.status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut before = worker.receive_request().await;
    let mut fresh = Client::connect(&node).await;
    while node.counters.connections_accepted.get() < 3 {
        tokio::task::yield_now().await;
    }
    assert!(node.phases.drain() && node.phases.drain(), "again is harmless");
    assert!(idle.read_answer().await.is_none(), "an idle connection is closed");
    let mut late = Client::connect(&node).await;
    assert_eq!(late.exchange(UP).await.status, 503, "the listener stays open, and it wants no new clients");
    assert!(late.read_answer().await.is_none(), "and closed");
    fresh.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut after = worker.receive_request().await;
    for (seen, client, result) in [(&mut before, &mut client, "a"), (&mut after, &mut fresh, "b")] {
        seen.complete(result).await;
        let got = client.read_answer().await.unwrap();
        assert_eq!((got.status, got.body.as_str()), (200, result));
        assert!(got.head.to_lowercase().contains("connection: close"), "{got:?}");
        assert!(client.read_answer().await.is_none());
    }
    let mut waits = Client::connect(&node).await; // says nothing while the node drains
    while node.counters.connections_accepted.get() < 5 {
        tokio::task::yield_now().await;
    }
    assert!(node.phases.resume());
    for _ in 0..2 {
        let got = waits.exchange(UP).await;
        assert!(got.status == 200 && !got.head.to_lowercase().contains("connection: close"), "{got:?}");
    }
    stop_until_closing(&node.phases).await;
    assert!(waits.read_answer().await.is_none());
    assert_eq!(node.task.await.unwrap(), Ok(()));
}
