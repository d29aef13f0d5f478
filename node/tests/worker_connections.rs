//! Connections to workers: their reuse, and what becomes of jobs on ones that fail, break or fall silent. Time stands still
//! but where a test advances it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{checker, holds, one, request, Client, Platform, Seen, Worker};
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use std::time::Duration;
use tokio::net::TcpSocket;
use tokio::time::advance;

#[tokio::test(start_paused = true)]
async fn a_worker_connection_serves_the_next_job() {
    let (worker, _node, mut client) = one().await;
    client.tell(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut seen = worker.take().await;
    seen.done("a").await;
    assert_eq!(client.answer().await.unwrap().status, 200);
    client.tell(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut seen = tokio::select! {
        next = seen.next() => next.expect("the same connection"),
        new = worker.take() => new, // where the next request came before the last answer's end was read
    };
    assert_eq!(seen.field("x-request-id"), "9b1f03aa5c7e2d42");
    seen.done("b").await;
    assert_eq!(client.answer().await.unwrap().body, "b");
}

#[tokio::test(start_paused = true)]
async fn a_job_without_a_connection_is_retried_on_another_worker() {
    let live = Worker::start().await;
    // Bound and never listening: it refuses, and nobody else can get its port meanwhile.
    let dead = TcpSocket::new_v4().unwrap();
    dead.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut line = live.line("s-1", "in_service");
    line["host_port"] = dead.local_addr().unwrap().to_string().into();
    let lines = vec![line, live.line("s-2", "in_service")];
    let node = Platform::start(lines, 1024).await;
    let mut client = Client::connect(&node).await;
    let mut other = Client::connect(&node).await;
    // The second one goes to the worker that holds fewer: one of the two meets the dead one first.
    client.tell(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    other.tell(&request("lodge", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let (mut a, mut b) = (live.take().await, live.take().await);
    a.done("ok").await;
    b.done("ok").await;
    assert_eq!(client.answer().await.unwrap().status, 200);
    assert_eq!(other.answer().await.unwrap().status, 200);
    let c = &node.counters;
    assert_eq!((c.connect_failed.get(), c.succeeded.get(), c.attempts_sent.get()), (1, 2, 3));
}

/// Protects live workers and their jobs: a worker may drop an idle connection unseen, which shows only when the
/// next request is written to it. That is no sign against the worker: the job goes there again, at once.
#[tokio::test(start_paused = true)]
async fn a_job_broken_on_a_reused_connection_is_retried_and_its_worker_not_ejected() {
    let (worker, node, mut client) = one().await;
    let mut other = Client::connect(&node).await;
    client.tell(&request("check", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    other.tell(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let (mut a, mut b) = (worker.take().await, worker.take().await);
    for seen in [&mut a, &mut b] {
        seen.done("r").await;
    }
    assert_eq!((client.answer().await.unwrap().status, other.answer().await.unwrap().status), (200, 200));
    while node.counters.kept_alive.get() < 2 {
        tokio::task::yield_now().await;
    }
    // It breaks on both in a row. A worker in doubt would get a trial after 1.2 s only: too late for this one.
    client.tell(&request("check", "9b1f03aa5c7e2d43", 1.0, "x")).await;
    tokio::join!(async { drop(b.next().await.expect("the request")) }, async {
        drop(a.next().await.expect("the request"))
    });
    worker.take().await.done("s").await;
    assert_eq!(client.answer().await.unwrap().body, "s");
    assert_eq!((node.counters.connection_lost.get(), node.counters.shed.get()), (2, 0));
}

/// Protects jobs on connections that fall silent: no word that it was taken, so it is called off, its connection
/// closed, and it goes on a new one; a job that was taken is left where it is.
#[tokio::test(start_paused = true)]
async fn an_unacknowledged_job_is_retried_and_an_acknowledged_one_is_not() {
    let (worker, node, mut client) = one().await;
    let mut other = Client::connect(&node).await;
    client.tell(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "x")).await;
    let silent = worker.take().await;
    advance(Duration::from_millis(1)).await;
    other.tell(&request("check", "9b1f03aa5c7e2d42", 60.0, "x")).await;
    let mut taken = worker.take().await;
    taken.begin().await;
    while node.counters.acknowledged.get() < 1 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(250)).await;
    assert!(silent.next().await.is_none(), "closed");
    let mut again = worker.take().await;
    assert_eq!(again.field("x-request-id"), "9b1f03aa5c7e2d41");
    again.begin().await;
    again.say(json!({"state": "done", "result": "a"})).await;
    assert_eq!(client.answer().await.unwrap().body, "a");
    taken.say(json!({"state": "done", "result": "b"})).await;
    assert_eq!(other.answer().await.unwrap().body, "b");
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
    let (worker, node, mut client) = one().await;
    let (mut free, mut spent): (Option<Seen>, Vec<Seen>) = (None, Vec::new());
    for (n, step) in steps.into_iter().enumerate() {
        let id = format!("{n:016x}");
        client.tell(&request("check", &id, 60.0, "x")).await;
        let mut seen = match free.take() {
            Some(kept) => tokio::select! {
                next = kept.next() => next.expect("a connection that ended cleanly stays open"),
                new = worker.take() => new, // its end was not read yet
            },
            None => worker.take().await,
        };
        assert_eq!(seen.field("x-request-id"), id);
        if let Step::Leave = step {
            drop(std::mem::replace(&mut client, Client::connect(&node).await));
            spent.push(seen);
            continue;
        }
        seen.begin().await;
        seen.say(json!({"state": "done", "result": "r"})).await;
        match step {
            Step::More => seen.write("4\r\nmore\r\n0\r\n\r\n").await,
            Step::Clean => seen.write("0\r\n\r\n").await,
            _ => {}
        }
        assert_eq!(client.answer().await.expect("an answer").body, "r");
        match step {
            Step::Clean => free = Some(seen),
            Step::Close => drop(seen),
            _ => spent.push(seen),
        }
    }
    advance(Duration::from_millis(250)).await; // an answer's end is awaited no longer
    for seen in spent {
        assert!(seen.next().await.is_none(), "a connection that did not end cleanly serves no other request");
    }
}

#[test]
fn random_steps_never_reuse_a_worker_connection_that_did_not_end_cleanly() {
    fn property(steps: Vec<Step>) -> bool {
        holds(walk(steps))
    }
    checker(20, 12).quickcheck(property as fn(Vec<Step>) -> bool);
}
