//! A node that is told to stop or to drain: accepted requests are answered, requests that still arrive are
//! served, and idle connections are closed. The clock is paused and advances only where a test advances it.
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
async fn a_stopping_node_answers_requests_received_before_and_after_the_signal() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut idle = Client::connect(&node).await;
    assert_eq!(idle.exchange(UP).await.status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut before = worker.receive_request().await;
    before.begin_response().await;
    begin_stop(&node.phases).await;
    let mut late = Client::connect(&node).await;
    assert_eq!(late.exchange(UP).await.status, 503, "the health check fails");
    late.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut after = worker.receive_request().await;
    after.begin_response().await;
    while node.counters.acknowledged.get() < 2 {
        // An attempt without a response would be cancelled in the time that passes now.
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(720)).await;
    assert!(idle.read_answer().await.is_none(), "an idle connection is closed");
    for (received, client, result) in [(&mut before, &mut client, "a"), (&mut after, &mut late, "b")] {
        received.send_update(json!({"state": "done", "result": result})).await;
        let answer = client.read_answer().await.unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, result));
        assert!(answer.head.to_lowercase().contains("connection: close"), "{answer:?}");
    }
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Guards requests that arrive slowly while the node stops: one that is complete later than 0.7 s after
/// SIGTERM must be answered before SIGKILL, 3.7 s after SIGTERM.
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
    let mut received = worker.receive_request().await;
    assert!(received.header("x-deadline").parse::<f64>().unwrap() < 1.6);
    received.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(1560)).await;
    assert_eq!(slow.read_answer().await.expect("an answer").status, 503);
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Guards a request with a short deadline that arrives just before the listener closes: the node ends only
/// once it is answered, not at a fixed time, since the request is accepted and SIGKILL may come later.
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
    advance(Duration::from_millis(670)).await; // early enough that the stop does not shorten its deadline
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 0.8, "")).await;
    let mut received = worker.receive_request().await;
    received.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(30)).await;
    node.phases.subscribe().wait_for(|p| *p == Phase::Closing).await.unwrap();
    while TcpStream::connect(node.address).await.is_ok() {
        // Until the listener is closed; from then on the node waits for the last answer.
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(765)).await; // until 5 ms before its deadline
    received.send_update(json!({"state": "done", "result": "r"})).await;
    let answer = tokio::select! {
        biased;
        answer = client.read_answer() => answer,
        ended = &mut node.task => panic!("ended with an accepted request open: {ended:?}"),
    };
    assert_eq!(answer.expect("an answer").body, "r");
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// Guards clients of a draining node: idle connections are closed, requests in flight and new ones are served
/// and their connections closed after that; and the node can resume.
#[tokio::test(start_paused = true)]
async fn a_draining_node_closes_connections_between_requests_and_resumes() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut idle = Client::connect(&node).await;
    assert_eq!(idle.exchange(UP).await.status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut before = worker.receive_request().await;
    let mut new_client = Client::connect(&node).await;
    while node.counters.connections_accepted.get() < 3 {
        tokio::task::yield_now().await;
    }
    assert!(node.phases.drain() && node.phases.drain(), "a repeated call is harmless");
    assert!(idle.read_answer().await.is_none(), "an idle connection is closed");
    let mut late = Client::connect(&node).await;
    assert_eq!(late.exchange(UP).await.status, 503, "the listener stays open, and the health check fails");
    assert!(late.read_answer().await.is_none(), "the connection is closed");
    new_client.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut after = worker.receive_request().await;
    for (received, client, result) in [(&mut before, &mut client, "a"), (&mut after, &mut new_client, "b")] {
        received.complete(result).await;
        let answer = client.read_answer().await.unwrap();
        assert_eq!((answer.status, answer.body.as_str()), (200, result));
        assert!(answer.head.to_lowercase().contains("connection: close"), "{answer:?}");
        assert!(client.read_answer().await.is_none());
    }
    let mut silent = Client::connect(&node).await; // sends nothing while the node drains
    while node.counters.connections_accepted.get() < 5 {
        tokio::task::yield_now().await;
    }
    assert!(node.phases.resume());
    for _ in 0..2 {
        let answer = silent.exchange(UP).await;
        assert!(
            answer.status == 200 && !answer.head.to_lowercase().contains("connection: close"),
            "{answer:?}"
        );
    }
    stop_until_closing(&node.phases).await;
    assert!(silent.read_answer().await.is_none());
    assert_eq!(node.task.await.unwrap(), Ok(()));
}
