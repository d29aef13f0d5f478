//! Clients that leave while their request waits: it is not sent on. What counts as leaving is the end of what comes from
//! the client, however it comes: a close, a half-close or a reset, with or without bytes behind the request. Judged
//! by what the stand-in for the worker got.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, stop_until_closing, worker_with_full_backlog, Client, PlatformNode, Worker};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::json;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::task::yield_now;
use tokio::time::advance;

const GONE: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "9b1f03aa5c7e2d42";
/// In which a request whose client has left is off, at the latest.
const OFF: u64 = 100;

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Close,
    Reset,
    HalfClose,
    /// With part of a further request behind the first, and a close.
    Part,
    /// With a whole further request behind it.
    Further,
    /// With more behind it than the node reads ahead.
    Much,
    /// The same, and a reset.
    MuchReset,
}

const WAYS: [Way; 7] =
    [Way::Close, Way::Reset, Way::HalfClose, Way::Part, Way::Further, Way::Much, Way::MuchReset];

/// What comes behind the request before the client leaves.
fn behind(way: Way) -> String {
    match way {
        Way::Part => "POST /check HTTP/1.1\r\nX-Req".to_string(),
        Way::Further => request("check", "9b1f03aa5c7e2d4f", 60.0, "x"),
        Way::Much | Way::MuchReset => request("check", "9b1f03aa5c7e2d4f", 60.0, &"x".repeat(60_000)),
        _ => String::new(),
    }
}

/// The client leaves; one that half-closes stays to be kept.
async fn leave(mut client: Client, way: Way) -> Option<Client> {
    client.send(&behind(way)).await;
    go(client, way).await
}

async fn go(mut client: Client, way: Way) -> Option<Client> {
    match way {
        Way::Reset | Way::MuchReset => client.reset(),
        Way::HalfClose => {
            client.half_close().await;
            return Some(client);
        }
        _ => {}
    }
    None
}

/// Lets what the kernel has to tell arrive, and the time pass in which the request must be off; says whether it is.
async fn off(node: &PlatformNode, left: u64) -> bool {
    for _ in 0..OFF / 10 {
        for _ in 0..20 {
            yield_now().await;
        }
        advance(Duration::from_millis(10)).await;
    }
    for _ in 0..200 {
        if node.counters.client_left.get() == left {
            return true;
        }
        yield_now().await;
    }
    false
}

async fn taken(node: &PlatformNode, n: u64) {
    while node.counters.requests_accepted.get() < n {
        yield_now().await;
    }
}

/// The worker's next request is this one's, and is served.
async fn next_is(worker: &Worker, client: &mut Client, id: &str) {
    let mut seen = worker.receive_request().await;
    assert_eq!(seen.header("x-request-id"), id, "sent on though its client had left");
    seen.complete("r").await;
    assert_eq!(client.read_answer().await.expect("an answer").body, "r");
}

/// While the module holds it: no worker is there. Then one is, and gets the next client's request only.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_a_worker_is_dropped_however_its_client_leaves() {
    for way in WAYS {
        let worker = Worker::start().await;
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "terminating")], 1024).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", GONE, 60.0, "x")).await;
        taken(&node, 1).await;
        let _kept = leave(client, way).await;
        assert!(off(&node, 1).await, "{way:?}: still held");
        node.assert_nothing_open().await;
        node.apply_list(2, vec![worker.list_entry("s-1", "in_service")]).await;
        let mut next = Client::connect(&node).await;
        next.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        next_is(&worker, &mut next, NEXT).await;
        node.assert_nothing_open().await;
        assert_eq!(
            (node.counters.attempts_sent.get(), node.counters.requests_accepted.get()),
            (1, 2),
            "{way:?}"
        );
    }
}

/// While it is out, it is called off; what had come behind it is never taken.
#[tokio::test(start_paused = true)]
async fn an_attempt_is_called_off_however_its_client_leaves() {
    for way in WAYS {
        let worker = Worker::start().await;
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", GONE, 60.0, "x")).await;
        let mut seen = worker.receive_request().await;
        seen.begin_response().await;
        while node.counters.acknowledged.get() < 1 {
            yield_now().await;
        }
        let _kept = leave(client, way).await;
        assert!(off(&node, 1).await, "{way:?}");
        assert!(seen.next_request().await.is_none(), "{way:?}: its connection is closed");
        node.assert_nothing_open().await;
        assert_eq!((node.counters.requests_accepted.get(), node.counters.cancelled.get()), (1, 1), "{way:?}");
    }
}

/// Between two attempts: the first was handed back, and the worker is full until later.
#[tokio::test(start_paused = true)]
async fn a_request_between_two_attempts_is_dropped() {
    for way in WAYS {
        let worker = Worker::start().await;
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", GONE, 60.0, "x")).await;
        let mut seen = worker.receive_request().await;
        // It drains before it hands the job back: there is nowhere else to go for now.
        node.apply_list(2, vec![worker.list_entry("s-1", "terminating")]).await;
        seen.begin_response().await;
        seen.send_update(json!({"state": "returned"})).await;
        seen.write("0\r\n\r\n").await;
        while node.counters.rejected.get() < 1 {
            yield_now().await;
        }
        let _kept = leave(client, way).await;
        assert!(off(&node, 1).await, "{way:?}: still held");
        node.assert_nothing_open().await;
        let other = Worker::start().await;
        node.apply_list(3, vec![other.list_entry("s-2", "in_service")]).await;
        let mut next = Client::connect(&node).await;
        next.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        next_is(&other, &mut next, NEXT).await;
        assert_eq!(node.counters.attempts_sent.get(), 2, "{way:?}");
        node.assert_nothing_open().await;
    }
}

/// While its worker's connection is still coming up, whether the module may call attempts off or not.
#[tokio::test(start_paused = true)]
async fn a_request_whose_connection_comes_up_late_is_not_written_then() {
    for cancelling in [true, false] {
        let (worker, _fills) = worker_with_full_backlog().await;
        let mut settings = common::settings(cancelling, 60_000_000);
        settings["Limits"]["ConnectTimeoutUs"] = 60_000_000.into();
        let node =
            PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", GONE, 60.0, "x")).await;
        while node.counters.in_flight.get() < 1 {
            yield_now().await;
        }
        drop(client);
        assert!(off(&node, 1).await);
        drop(worker.0.accept().await.unwrap()); // there is room now
        if !cancelling {
            let (mut late, _) = worker.0.accept().await.unwrap();
            let mut bytes = Vec::new();
            late.read_to_end(&mut bytes).await.unwrap();
            assert_eq!(String::from_utf8_lossy(&bytes), "", "the client had left");
        }
        node.assert_nothing_open().await;
        let mut next = Client::connect(&node).await;
        next.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        next_is(&worker, &mut next, NEXT).await;
        node.assert_nothing_open().await;
    }
}

fn place(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("molevale-leaving-{}-{name}", std::process::id()))
}

/// During a hand-over: what waits stays with the old process, what runs goes to the new one; either drops what
/// its client left.
#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_in_a_hand_over_is_seen_by_the_process_that_has_its_request() {
    let place = place("over");
    let (worker, waits) = (Worker::start().await, Worker::start().await);
    let known = vec![worker.list_entry("s-1", "in_service")];
    let old = PlatformNode::start_with_handover(Some(place.clone()), known, 256, 32, None).await;
    while !place.exists() {
        yield_now().await;
    }
    let mut runs = Client::connect(&old).await;
    runs.send_after_pause(&request("lodge", GONE, 60.0, "")).await;
    let mut seen = worker.receive_request().await;
    seen.begin_response().await;
    while old.counters.acknowledged.get() < 1 {
        yield_now().await;
    }
    old.apply_list(2, vec![worker.list_entry("s-1", "terminating")]).await;
    let mut held = Client::connect(&old).await;
    held.send_after_pause(&request("check", "9b1f03aa5c7e2d43", 60.0, "x")).await;
    taken(&old, 2).await;
    let PredecessorLookup::Serving(listener, before) = Predecessor::look_up(&place).await else {
        panic!("nobody")
    };
    let new =
        PlatformNode::start_with_handover(Some(place.clone()), vec![], 256, 32, Some((listener, before)))
            .await;
    while new.counters.transferred_in.get() < 1 {
        yield_now().await;
    }
    drop((runs, leave(held, Way::Part).await));
    assert!(off(&old, 1).await && off(&new, 1).await);
    assert!(seen.next_request().await.is_none(), "called off");
    old.assert_nothing_open().await;
    for node in [&old, &new] {
        node.apply_list(3, vec![waits.list_entry("s-2", "in_service")]).await;
    }
    let mut next = Client::connect(&new).await;
    next.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
    next_is(&waits, &mut next, NEXT).await;
    assert_eq!((old.counters.attempts_sent.get(), new.counters.attempts_sent.get()), (1, 1));
    advance(Duration::from_secs(5)).await;
    assert_eq!(old.task.await.unwrap(), Ok(()), "nothing holds it up");
    new.assert_only_ids_open(1).await; // until the old process is gone: here both are in one
    std::fs::remove_file(place).unwrap();
}

/// While its job is on the way to another process that then does not take it: it is seen once it goes on here.
#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_while_its_job_is_frozen_is_seen_when_it_thaws() {
    for way in [Way::Close, Way::Reset, Way::HalfClose] {
        let place = place(&format!("frozen-{way:?}"));
        let worker = Worker::start().await;
        let known = vec![worker.list_entry("s-1", "in_service")];
        let old = PlatformNode::start_with_handover(Some(place.clone()), known, 256, 32, None).await;
        while !place.exists() {
            yield_now().await;
        }
        let mut client = Client::connect(&old).await;
        client.send_after_pause(&request("lodge", GONE, 60.0, "")).await;
        let mut seen = worker.receive_request().await;
        seen.begin_response().await;
        while old.counters.acknowledged.get() < 1 {
            yield_now().await;
        }
        let PredecessorLookup::Serving(_listener, before) = Predecessor::look_up(&place).await else {
            panic!("nobody")
        };
        let (_, remains) = before.take_over().await;
        let (offer, mut offered) = tokio::sync::mpsc::unbounded_channel();
        let (client, counters) = (std::sync::Mutex::new(Some(client)), old.counters.clone());
        let adopt = move |_: &str, _| {
            // Frozen: its leaving is not this process's to see yet.
            let client = client.lock().unwrap().take().unwrap();
            match way {
                Way::Reset => client.reset(),
                _ => drop(client),
            }
            assert_eq!(counters.client_left.get(), 0);
            offer.send(()).unwrap();
            false
        };
        let follow = tokio::spawn(remains.run(|_| {}, adopt));
        offered.recv().await.unwrap();
        assert!(off(&old, 1).await, "{way:?}");
        assert!(seen.next_request().await.is_none(), "called off");
        old.assert_nothing_open().await;
        follow.abort();
        std::fs::remove_file(place).unwrap();
    }
}

/// Guards memory: a client may state a whole day, and the timer goes with its answer.
#[tokio::test(start_paused = true)]
async fn a_long_wait_leaves_no_timer_behind() {
    let worker = Worker::start().await;
    let node = PlatformNode::start(vec![worker.list_entry("s-1", "terminating")], 1024).await;
    for n in 0..40 {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2e{n:02}"), 86_400.0, "x")).await;
        taken(&node, n + 1).await;
        drop(client);
        while node.counters.client_left.get() < n + 1 {
            yield_now().await;
        }
    }
    node.assert_nothing_open().await;
}

/// In one turn with the request: it is gone before anything looked at the request.
#[tokio::test(start_paused = true)]
async fn a_client_that_asks_and_goes_at_once_reaches_no_worker() {
    // What fits into no single write keeps the client there for a while.
    for way in WAYS.into_iter().filter(|w| !matches!(w, Way::Much | Way::MuchReset)) {
        let worker = Worker::start().await;
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
        // A connection that is idle: nothing has to come up before a request can be written.
        let mut first = Client::connect(&node).await;
        first.send_after_pause(&request("check", "9b1f03aa5c7e2d40", 60.0, "x")).await;
        let mut seen = worker.receive_request().await;
        seen.complete("r").await;
        assert_eq!(first.read_answer().await.unwrap().status, 200);
        while node.counters.kept_alive.get() < 1 {
            yield_now().await;
        }
        advance(Duration::from_millis(100)).await;
        let mut client = Client::connect(&node).await;
        client.send(&(request("check", GONE, 60.0, "x") + &behind(way))).await;
        let _kept = go(client, way).await;
        off(&node, 1).await;
        assert_eq!(
            node.counters.client_left.get(),
            node.counters.requests_accepted.get() - 1,
            "{way:?}: gone, where it was taken"
        );
        first.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        // Called off before a byte was written, its connection may be closed for it: then there is a new one.
        let kept = async {
            match seen.next_request().await {
                Some(seen) => seen,
                None => std::future::pending().await,
            }
        };
        let mut seen = tokio::select! {
            seen = kept => seen,
            seen = worker.receive_request() => seen,
        };
        assert_eq!(seen.header("x-request-id"), NEXT, "{way:?}");
        seen.complete("s").await;
        assert_eq!(first.read_answer().await.unwrap().body, "s");
        node.assert_nothing_open().await;
    }
}

/// While the node drains, and while it closes.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_in_a_node_that_ends_is_dropped_and_the_node_ends() {
    for way in WAYS {
        for closes in [false, true] {
            let worker = Worker::start().await;
            let node = PlatformNode::start(vec![worker.list_entry("s-1", "terminating")], 1024).await;
            let mut client = Client::connect(&node).await;
            client.send_after_pause(&request("check", GONE, 60.0, "x")).await;
            taken(&node, 1).await;
            if closes {
                stop_until_closing(&node.phases).await;
            } else {
                node.phases.drain();
            }
            let _kept = leave(client, way).await;
            assert!(off(&node, 1).await, "{way:?} {closes}: still held");
            node.assert_nothing_open().await;
            assert_eq!(node.counters.attempts_sent.get(), 0);
            if closes {
                assert_eq!(node.task.await.unwrap(), Ok(()), "nothing holds it up");
            }
        }
    }
}
