//! Connections to workers: their reuse, and what becomes of jobs on ones that fail, break or fall silent. Time stands still
//! but where a test advances it.
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
async fn a_worker_connection_serves_the_next_job() {
    let (worker, _node, mut client) = start_node_with_worker().await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut seen = worker.receive_request().await;
    seen.complete("a").await;
    assert_eq!(client.read_answer().await.unwrap().status, 200);
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut seen = tokio::select! {
        next = seen.next_request() => next.expect("the same connection"),
        new = worker.receive_request() => new, // where the next request came before the last answer's end was read
    };
    assert_eq!(seen.header("x-request-id"), "9b1f03aa5c7e2d42");
    seen.complete("b").await;
    assert_eq!(client.read_answer().await.unwrap().body, "b");
}

#[tokio::test(start_paused = true)]
async fn a_job_without_a_connection_is_retried_on_another_worker() {
    let live = Worker::start().await;
    // Bound and never listening: it refuses, and nobody else can get its port meanwhile.
    let dead = TcpSocket::new_v4().unwrap();
    dead.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut line = live.list_entry("s-1", "in_service");
    line["host_port"] = dead.local_addr().unwrap().to_string().into();
    let lines = vec![line, live.list_entry("s-2", "in_service")];
    let node = PlatformNode::start(lines, 1024).await;
    let mut client = Client::connect(&node).await;
    let mut other = Client::connect(&node).await;
    // The second one goes to the worker that holds fewer: one of the two meets the dead one first.
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

/// Protects live workers and their jobs: a worker may drop an idle connection unseen, which shows only when the
/// next request is written to it. That is no sign against the worker: the job goes there again, at once.
#[tokio::test(start_paused = true)]
async fn a_job_broken_on_a_reused_connection_is_retried_and_its_worker_not_ejected() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut other = Client::connect(&node).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    other.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let (mut a, mut b) = (worker.receive_request().await, worker.receive_request().await);
    for seen in [&mut a, &mut b] {
        seen.complete("r").await;
    }
    assert_eq!(
        (client.read_answer().await.unwrap().status, other.read_answer().await.unwrap().status),
        (200, 200)
    );
    while node.counters.kept_alive.get() < 2 {
        tokio::task::yield_now().await;
    }
    // It breaks on both in a row. A worker in doubt would get a trial after 1.2 s only: too late for this one.
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d43", 1.0, "x")).await;
    tokio::join!(async { drop(b.next_request().await.expect("the request")) }, async {
        drop(a.next_request().await.expect("the request"))
    });
    worker.receive_request().await.complete("s").await;
    assert_eq!(client.read_answer().await.unwrap().body, "s");
    assert_eq!((node.counters.connection_lost.get(), node.counters.shed.get()), (2, 0));
}

/// Protects jobs on connections that fall silent: no word that it was taken, so it is called off, its connection
/// closed, and it goes on a new one; a job that was taken is left where it is.
#[tokio::test(start_paused = true)]
async fn an_unacknowledged_job_is_retried_and_an_acknowledged_one_is_not() {
    let (worker, node, mut client) = start_node_with_worker().await;
    let mut other = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    let silent = worker.receive_request().await;
    advance(Duration::from_millis(1)).await;
    other.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let mut taken = worker.receive_request().await;
    taken.begin_response().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(250)).await;
    assert!(silent.next_request().await.is_none(), "closed");
    let mut again = worker.receive_request().await;
    assert_eq!(again.header("x-request-id"), "9b1f03aa5c7e2d41");
    again.begin_response().await;
    again.send_update(json!({"state": "done", "result": "a"})).await;
    assert_eq!(client.read_answer().await.unwrap().body, "a");
    taken.send_update(json!({"state": "done", "result": "b"})).await;
    assert_eq!(other.read_answer().await.unwrap().body, "b");
    assert_eq!((node.counters.cancelled.get(), node.counters.attempts_sent.get()), (1, 3));
}

/// What may become of a worker's connection.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The answer ends cleanly: the connection is free again.
    Clean,
    /// Something follows on the last line.
    More,
    /// The answer never ends.
    Open,
    /// The worker closes it after the last line.
    Close,
    /// The client goes before the last line.
    Leave,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        *g.choose(&[Step::Clean, Step::Clean, Step::More, Step::Open, Step::Close, Step::Leave]).unwrap()
    }
}

async fn walk(steps: Vec<Step>) {
    let (worker, node, mut client) = start_node_with_worker().await;
    let (mut free, mut spent): (Option<ReceivedRequest>, Vec<ReceivedRequest>) = (None, Vec::new());
    for (n, step) in steps.into_iter().enumerate() {
        let id = format!("{n:016x}");
        client.send_after_pause(&request("check", &id, 60.0, "x")).await;
        let mut seen = match free.take() {
            Some(kept) => tokio::select! {
                next = kept.next_request() => next.expect("a connection that ended cleanly stays open"),
                new = worker.receive_request() => new, // its end was not read yet
            },
            None => worker.receive_request().await,
        };
        assert_eq!(seen.header("x-request-id"), id);
        if let Step::Leave = step {
            drop(std::mem::replace(&mut client, Client::connect(&node).await));
            spent.push(seen);
            continue;
        }
        seen.begin_response().await;
        seen.send_update(json!({"state": "done", "result": "r"})).await;
        match step {
            Step::More => seen.write("4\r\nmore\r\n0\r\n\r\n").await,
            Step::Clean => seen.write("0\r\n\r\n").await,
            _ => {}
        }
        assert_eq!(client.read_answer().await.expect("an answer").body, "r");
        match step {
            Step::Clean => free = Some(seen),
            Step::Close => drop(seen),
            _ => spent.push(seen),
        }
    }
    advance(Duration::from_millis(250)).await; // an answer's end is awaited no longer
    for seen in spent {
        assert!(
            seen.next_request().await.is_none(),
            "a connection that did not end cleanly serves no other request"
        );
    }
}

#[test]
fn random_steps_never_reuse_a_worker_connection_that_did_not_end_cleanly() {
    fn property(steps: Vec<Step>) -> bool {
        run_paused(walk(steps))
    }
    seeded_quickcheck(20, 12).quickcheck(property as fn(Vec<Step>) -> bool);
}
