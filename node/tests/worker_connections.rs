//! Connections to workers: their reuse, and the requests on connections that fail, break or become silent. Time passes
//! only where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{
    request, run_paused, seeded_quickcheck, start_node_with_worker, Client, PlatformNode, ReceivedRequest,
    Worker,
};
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn a_worker_connection_is_reused_for_the_next_request() {
    let (worker, _node, mut client) = start_node_with_worker().await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut received = worker.receive_request().await;
    received.complete("a").await;
    assert_eq!(client.read_answer().await.unwrap().status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut received = tokio::select! {
        next = received.next_request() => next.expect("the same connection"),
        new = worker.receive_request() => new, // if the next request was sent before the end of the last response was read
    };
    assert_eq!(received.header("x-request-id"), "9b1f03aa5c7e2d42");
    received.complete("b").await;
    assert_eq!(client.read_answer().await.unwrap().body, "b");
}

#[tokio::test(start_paused = true)]
async fn a_request_is_retried_on_another_worker_if_connecting_fails() {
    let live = Worker::start().await;
    // Bound and not listening: connections are refused, and no other process can get the port.
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut entry = live.list_entry("s-1", "in_service");
    entry["host_port"] = refusing.local_addr().unwrap().to_string().into();
    let known = vec![entry, live.list_entry("s-2", "in_service")];
    let node = PlatformNode::start(known, 1024).await;
    let mut client = Client::connect(&node).await;
    let mut other = Client::connect(&node).await;
    // The second request goes to the worker with fewer in flight, so one of the two is sent to the refusing one first.
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    other.send_after_pause(&request("lodge", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let (mut a, mut b) = (live.receive_request().await, live.receive_request().await);
    a.complete("ok").await;
    b.complete("ok").await;
    assert_eq!(client.read_answer().await.unwrap().status, 200);
    assert_eq!(other.read_answer().await.unwrap().status, 200);
    let c = &node.counters;
    assert_eq!((c.connect_failed.get(), c.succeeded.get(), c.attempts_sent.get()), (1, 2, 3));
}

/// A worker may close an idle connection, which shows only when the next request is written to it. That does not count as
/// a failure of the worker: the request is sent there again at once.
#[tokio::test(start_paused = true)]
async fn a_request_broken_on_a_reused_connection_is_retried_and_its_worker_not_ejected() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut other = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    other.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let (mut a, mut b) = (worker.receive_request().await, worker.receive_request().await);
    for received in [&mut a, &mut b] {
        received.complete("r").await;
    }
    assert_eq!(
        (client.read_answer().await.unwrap().status, other.read_answer().await.unwrap().status),
        (200, 200)
    );
    while node.counters.kept_alive.get() < 2 {
        tokio::task::yield_now().await;
    }
    // Both connections break, one after the other. An ejected worker would get a half-open probe after 1.2 s only, too late
    // for this request.
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d43", 1.0, "x")).await;
    tokio::join!(async { drop(b.next_request().await.expect("the request")) }, async {
        drop(a.next_request().await.expect("the request"))
    });
    worker.receive_request().await.complete("s").await;
    assert_eq!(client.read_answer().await.unwrap().body, "s");
    assert_eq!((node.counters.connection_lost.get(), node.counters.shed.get()), (2, 0));
}

/// A request that is not acknowledged on a silent connection is cancelled, its connection is closed, and it is sent on a
/// new one; an acknowledged request is left where it is.
#[tokio::test(start_paused = true)]
async fn an_unacknowledged_request_is_retried_and_an_acknowledged_one_is_not() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut other = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    let unacknowledged = worker.receive_request().await;
    advance(Duration::from_millis(1)).await;
    other.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let mut acknowledged = worker.receive_request().await;
    acknowledged.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(250)).await;
    assert!(unacknowledged.next_request().await.is_none(), "closed");
    let mut retried = worker.receive_request().await;
    assert_eq!(retried.header("x-request-id"), "9b1f03aa5c7e2d41");
    retried.begin_response().await;
    retried.send_update(json!({"state": "done", "result": "a"})).await;
    assert_eq!(client.read_answer().await.unwrap().body, "a");
    acknowledged.send_update(json!({"state": "done", "result": "b"})).await;
    assert_eq!(other.read_answer().await.unwrap().body, "b");
    assert_eq!((node.counters.cancelled.get(), node.counters.attempts_sent.get()), (1, 3));
}

/// Ways in which a request on a worker's connection may end.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The response ends cleanly: the connection can be reused.
    CleanEnd,
    /// More data follows the last update.
    TrailingData,
    /// The response never ends.
    NoEnd,
    /// The worker closes the connection after the last update.
    WorkerCloses,
    /// The client disconnects before the last update.
    ClientDisconnects,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        *g.choose(&[
            Step::CleanEnd,
            Step::CleanEnd,
            Step::TrailingData,
            Step::NoEnd,
            Step::WorkerCloses,
            Step::ClientDisconnects,
        ])
        .unwrap()
    }
}

async fn run_steps(steps: Vec<Step>) {
    let (worker, node, mut client) = start_node_with_worker().await;
    let (mut reusable, mut unusable): (Option<ReceivedRequest>, Vec<ReceivedRequest>) = (None, Vec::new());
    for (n, step) in steps.into_iter().enumerate() {
        let id = format!("{n:016x}");
        client.send_after_pause(&request("check", &id, 60.0, "x")).await;
        let mut received = match reusable.take() {
            Some(kept) => tokio::select! {
                next = kept.next_request() => next.expect("a connection that ended cleanly stays open"),
                new = worker.receive_request() => new, // the end of the last response was not read yet
            },
            None => worker.receive_request().await,
        };
        assert_eq!(received.header("x-request-id"), id);
        if let Step::ClientDisconnects = step {
            drop(std::mem::replace(&mut client, Client::connect(&node).await));
            unusable.push(received);
            continue;
        }
        received.begin_response().await;
        received.send_update(json!({"state": "done", "result": "r"})).await;
        match step {
            Step::TrailingData => received.write("4\r\nmore\r\n0\r\n\r\n").await,
            Step::CleanEnd => received.write("0\r\n\r\n").await,
            _ => {}
        }
        assert_eq!(client.read_answer().await.expect("an answer").body, "r");
        match step {
            Step::CleanEnd => reusable = Some(received),
            Step::WorkerCloses => drop(received),
            _ => unusable.push(received),
        }
    }
    advance(Duration::from_millis(250)).await; // the node waits for the end of a response no longer than this
    for received in unusable {
        assert!(
            received.next_request().await.is_none(),
            "a connection that did not end cleanly serves no other request"
        );
    }
}

#[test]
fn random_steps_never_reuse_a_worker_connection_that_did_not_end_cleanly() {
    fn property(steps: Vec<Step>) -> bool {
        run_paused(run_steps(steps))
    }
    seeded_quickcheck(20, 12).quickcheck(property as fn(Vec<Step>) -> bool);
}
