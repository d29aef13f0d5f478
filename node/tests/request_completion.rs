//! Requests that must still be completed correctly when something else ends: the node stops, a late answer
//! arrives on a reused connection, connections are evicted or closed in bulk, a class is removed from the
//! settings.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;

use common::{
    begin_stop, request, start_node_with_worker, stop_until_closing, Client, PlatformNode, ReceivedRequest,
    Worker,
};
use molevale::names::parse_settings;
use molevale::phase::Phase;
use molevale::settings_merge::EffectiveSettings;
use serde_json::json;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{advance, Instant};

const ID: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "9b1f03aa5c7e2d42";
const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A node whose worker has completed one request, and the idle connection that was kept alive.
async fn node_with_idle_connection(
    settings: serde_json::Value,
) -> (Worker, PlatformNode, Client, ReceivedRequest) {
    let worker = Worker::start().await;
    let node =
        PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut received = worker.receive_request().await;
    received.complete("first").await;
    assert_eq!(client.read_answer().await.unwrap().body, "first");
    while node.counters.kept_alive.get() < 1 {
        yield_now().await;
    }
    (worker, node, client, received)
}

/// Advances the clock until this many attempts were sent: a worker may be avoided for a while after a
/// failure.
async fn advance_until_sent(node: &PlatformNode, n: u64) {
    for _ in 0..200 {
        for _ in 0..50 {
            yield_now().await;
        }
        if node.counters.attempts_sent.get() >= n {
            return;
        }
        advance(Duration::from_millis(20)).await;
    }
    panic!("the attempts were not sent: {}", node.counters);
}

/// SIGTERM while an answer is partly written to a slow client: the node ends only after all of it is written.
#[tokio::test(start_paused = true)]
async fn a_partly_written_answer_is_completed_before_the_node_ends() {
    let worker = Worker::start().await;
    let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 1024).await;
    let mut client = Client::connect_with_small_buffer(&node).await;
    let result = "r".repeat(60_000);
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    worker.receive_request().await.complete(&result).await;
    while node.counters.served.get() < 1 {
        yield_now().await;
    }
    stop_until_closing(&node.phases).await;
    assert_eq!(client.read_answer().await.expect("the complete answer").body, result);
    node.assert_nothing_open().await;
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// A repeated SIGTERM, in each phase of stopping and while the node drains: an accepted request gets one
/// answer.
#[tokio::test(start_paused = true)]
async fn a_second_stop_signal_changes_nothing() {
    for drains in [false, true] {
        let (worker, node, mut client) = start_node_with_worker().await;
        client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
        let mut received = worker.receive_request().await;
        received.begin_response().await;
        while node.counters.acknowledged.get() < 1 {
            yield_now().await;
        }
        if drains {
            node.phases.drain();
        }
        begin_stop(&node.phases).await;
        node.phases.stop().await; // returns at once
        assert_eq!(*node.phases.subscribe().borrow(), Phase::Stopping);
        advance(Duration::from_millis(720)).await;
        node.phases.subscribe().wait_for(|p| *p == Phase::Closing).await.unwrap();
        node.phases.stop().await;
        received.send_update(json!({"state": "done", "result": "r"})).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r");
        node.assert_nothing_open().await;
        assert_eq!(node.task.await.unwrap(), Ok(()));
    }
}

/// Between SIGTERM and SIGKILL clients still send on open connections. A first request on such a connection
/// is served while there is time, and otherwise answered with a 503.
#[tokio::test(start_paused = true)]
async fn each_request_that_arrives_after_sigterm_is_answered() {
    // The class's longest deadline, when the request is complete, and whether it is served.
    for (deadline_ms, complete_at_ms, served) in [
        (60_000, 705, true),
        (60_000, 1_500, true),
        (60_000, 3_150, true),
        (800, 1_300, true),
        (800, 1_450, false),
    ] {
        let worker = Worker::start().await;
        let mut settings = common::settings(true, deadline_ms * 1000);
        for class in settings["Profiles"].as_array_mut().unwrap() {
            class["DeadlineUs"] = (deadline_ms * 1000).into();
        }
        let node =
            PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
        let text = request("check", ID, deadline_ms as f64 / 1e3, "");
        let (begin, end) = text.split_at(40);
        begin_stop(&node.phases).await;
        advance(Duration::from_millis(700)).await;
        let mut client = Client::connect(&node).await; // just before the listener closes
        client.send(begin).await;
        while node.counters.connections_accepted.get() < 1 {
            yield_now().await;
        }
        let closing_at_ms = complete_at_ms.min(720);
        advance(Duration::from_millis(closing_at_ms - 700)).await;
        if complete_at_ms > 720 {
            node.phases.subscribe().wait_for(|p| *p == Phase::Closing).await.unwrap();
        }
        advance(Duration::from_millis(complete_at_ms - closing_at_ms)).await;
        client.send(end).await;
        if served {
            worker.receive_request().await.complete("r").await;
            assert_eq!(
                client.read_answer().await.expect("an answer").body,
                "r",
                "{deadline_ms} {complete_at_ms}"
            );
        } else {
            assert_eq!(
                client.read_answer().await.expect("an answer").status,
                503,
                "{deadline_ms} {complete_at_ms}"
            );
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), u64::from(served));
    }
}

/// A late second answer arrives when its connection has been reused for the next request: it must not become
/// that request's answer.
#[tokio::test(start_paused = true)]
async fn a_late_second_answer_is_not_used_for_the_next_request() {
    let (worker, node, mut client, received) =
        node_with_idle_connection(common::settings(true, 60_000_000)).await;
    client.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
    let mut received: ReceivedRequest = received.next_request().await.expect("the reused connection");
    received.begin_response().await;
    let line = json!({"id": ID, "from": "s-1", "state": "done", "result": "first again"}).to_string();
    received.write(&format!("{:x}\r\n{line}\n\r\n0\r\n\r\n", line.len() + 1)).await;
    advance_until_sent(&node, 3).await;
    let mut retry = worker.receive_request().await;
    assert_eq!(retry.header("x-request-id"), NEXT);
    retry.complete("second").await;
    assert_eq!(client.read_answer().await.unwrap().body, "second");
    assert!(received.next_request().await.is_none(), "closed");
    node.assert_nothing_open().await;
}

/// A worker writes to an idle connection, or closes it, in the instant in which the next request is assigned
/// to it. This must not count as that request's answer or failure: the request is written once, on another
/// connection.
#[tokio::test(start_paused = true)]
async fn data_on_an_idle_connection_being_reused_is_not_used_for_the_next_request() {
    const NOT_EXECUTED: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for written in [NOT_EXECUTED, "HTTP/1.1 200 OK\r\n", ""] {
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][0]["Semantics"] = "unsafe".into();
        let (worker, node, mut client, received) = node_with_idle_connection(settings).await;
        // A separate task runs between the server's task and the attempt's: the request is on its way to the
        // dispatcher then, and no socket is polled in between.
        let counters = node.counters.clone();
        let idle_connection = tokio::spawn(async move {
            while counters.usage().unwrap().busy_clients < 1 {
                common::yield_without_io().await;
            }
            assert_eq!(counters.attempts_sent.get(), 1, "not sent yet");
            if written.is_empty() {
                return None; // closes the connection
            }
            received.write_now(written);
            Some(received)
        });
        client.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        let mut retry = worker.receive_request().await;
        assert_eq!(retry.header("x-request-id"), NEXT);
        retry.complete("second").await;
        assert_eq!(client.read_answer().await.unwrap().body, "second", "{written:?}");
        if let Some(idle_connection) = idle_connection.await.unwrap() {
            assert!(
                idle_connection.next_request().await.is_none(),
                "nothing was written there after {written:?}"
            );
        }
        node.assert_nothing_open().await;
        assert_eq!(
            (node.counters.attempts_sent.get(), node.counters.succeeded.get()),
            (2, 2),
            "{written:?}: {}",
            node.counters
        );
    }
}

/// A late answer without an id arrives after the next request was written on its connection: 'not executed'
/// proves nothing about that request, unless the connection has been idle for some time before.
#[tokio::test(start_paused = true)]
async fn a_late_answer_without_an_id_proves_nothing_about_the_next_request() {
    for (semantics, idle_ms, retried) in [("unsafe", 19, false), ("unsafe", 20, true), ("safe", 19, true)] {
        let mut settings = common::settings(true, 6_000_000);
        settings["Profiles"][0]["Semantics"] = semantics.into();
        let (worker, node, mut client, received) = node_with_idle_connection(settings).await;
        advance(Duration::from_millis(idle_ms)).await;
        client.send(&request("check", NEXT, 60.0, "x")).await;
        let mut received = received.next_request().await.expect("the reused connection");
        assert_eq!(received.header("x-request-id"), NEXT);
        received.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
        if retried {
            advance_until_sent(&node, 3).await;
            let mut retry = if idle_ms < 20 {
                worker.receive_request().await
            } else {
                received.next_request().await.unwrap()
            };
            retry.complete("second").await;
            assert_eq!(client.read_answer().await.unwrap().body, "second", "{semantics}, {idle_ms}");
        } else {
            assert_eq!(client.read_answer().await.unwrap().status, 502, "{semantics}, {idle_ms}");
            assert!(received.next_request().await.is_none(), "an attempt that may be executing is cancelled");
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 2 + u64::from(retried), "{semantics}, {idle_ms}");
    }
}

/// A request of a class that is not idempotent is retried only if it is proven not executed.
#[tokio::test(start_paused = true)]
async fn an_unsafe_request_is_retried_only_if_proven_not_executed() {
    for (outcome, retried) in
        [("returned", true), ("failed", false), ("lost", false), ("closed", false), ("not run", true)]
    {
        let (first, second) = (Worker::start().await, Worker::start().await);
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][0]["Semantics"] = "unsafe".into();
        let node =
            PlatformNode::start_with_settings(settings, vec![first.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut received = first.receive_request().await;
        node.apply_list(
            2,
            vec![first.list_entry("s-1", "terminating"), second.list_entry("s-2", "in_service")],
        )
        .await;
        match outcome {
            "closed" => drop(received),
            "not run" => {
                received.write("HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
            }
            _ => {
                received.begin_response().await;
                received.send_update(json!({"state": outcome})).await;
                received.write("0\r\n\r\n").await;
            }
        }
        if retried {
            second.receive_request().await.complete("r").await;
            assert_eq!(client.read_answer().await.unwrap().body, "r", "{outcome}");
        } else {
            assert_eq!(client.read_answer().await.unwrap().status, 502, "{outcome}");
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 1 + u64::from(retried), "{outcome}");
    }
}

/// An attempt of a request with an idempotency key breaks near the end of the deduplication window: it is
/// retried only if the new connection, which may take as long as the connect timeout, can't deliver it after
/// the window.
#[tokio::test(start_paused = true)]
async fn a_keyed_request_is_retried_only_if_it_must_start_within_its_window() {
    for (broke_ms, retried) in [(740, true), (760, false), (990, false)] {
        let (first, (slow, _backlog_filler)) =
            (Worker::start().await, common::worker_with_full_backlog().await);
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][1]["RepeatWindowUs"] = 1_000_000.into();
        let node =
            PlatformNode::start_with_settings(settings, vec![first.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", ID, 5.0, "x")).await;
        let sent_at = Instant::now();
        let mut received = first.receive_request().await;
        received.begin_response().await;
        received.send_update(json!({"state": "started"})).await;
        node.apply_list(
            2,
            vec![first.list_entry("s-1", "terminating"), slow.list_entry("s-2", "in_service")],
        )
        .await;
        advance(Duration::from_millis(broke_ms) - sent_at.elapsed()).await;
        drop(received);
        while node.counters.connection_lost.get() < 1 {
            yield_now().await;
        }
        for _ in 0..50 {
            yield_now().await;
        }
        assert_eq!(
            node.counters.attempts_sent.get(),
            1 + u64::from(retried),
            "{broke_ms} ms after the first attempt"
        );
        for _ in 0..55 {
            advance(Duration::from_millis(100)).await;
        }
        // All workers discard duplicates of it, so a 503 is safe also after the window.
        assert_eq!(client.read_answer().await.unwrap().status, 503, "{broke_ms}");
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 1 + u64::from(retried), "{broke_ms}");
    }
}

/// A connection is chosen for eviction in the instant its request arrives: it is kept and served, and another
/// is evicted.
#[tokio::test(start_paused = true)]
async fn a_connection_whose_request_has_just_arrived_is_not_evicted() {
    for served_before in [false, true] {
        let worker = Worker::start().await;
        // 4 for clients.
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 70).await;
        let mut clients = Vec::new();
        for n in 1..5 {
            let mut client = Client::connect(&node).await;
            if served_before {
                assert_eq!(client.exchange(UP).await.status, 200);
            }
            while node.counters.connections_accepted.get() < n {
                yield_now().await;
            }
            advance(Duration::from_millis(10)).await;
            clients.push(client);
        }
        advance(Duration::from_millis(300)).await;
        // Without yielding: a new client connects, then the connection due for eviction writes its request.
        // So the node chooses it before reading any of that request.
        let new = std::net::TcpStream::connect(node.address).unwrap();
        clients[0].send(UP).await;
        let mut new = Client::from_std(new);
        assert_eq!(clients[0].read_answer().await.expect("its connection is kept").status, 200);
        assert_eq!(new.exchange(UP).await.status, 200);
        assert!(clients[1].read_answer().await.is_none(), "the next one is evicted");
    }
}

/// Hundreds of clients connect, send nothing or all or part of a request, and leave: all of their resources
/// are released.
#[tokio::test(start_paused = true)]
async fn many_clients_that_leave_at_once_leave_no_resources_held() {
    let worker = Worker::start().await;
    let node = PlatformNode::start(vec![worker.list_entry("s-1", "terminating")], 1024).await;
    let mut clients = Vec::new();
    for n in 0..300 {
        let mut client = Client::connect(&node).await;
        let text = request("check", &format!("{n:016x}"), 60.0, "body");
        match n % 5 {
            0 => {}
            1 => client.send(&text[..30]).await,
            2 => client.send(&text[..text.len() - 2]).await,
            3 => client.send(&(text.clone() + &text[..50])).await,
            _ => client.send(&text).await,
        }
        clients.push(client);
        yield_now().await;
    }
    for (n, client) in clients.into_iter().enumerate() {
        if n % 2 == 0 {
            client.reset();
        }
    }
    for _ in 0..40 {
        for _ in 0..20 {
            yield_now().await;
        }
        advance(Duration::from_millis(10)).await;
    }
    node.assert_nothing_open().await;
    assert_eq!(node.counters.usage().unwrap().client_connections, 0);
    assert_eq!(node.counters.attempts_sent.get(), 0);
    assert_eq!(Client::connect(&node).await.exchange(UP).await.status, 200);
}

/// New settings remove the class of a request that is queued, in flight, or due for a retry, and allow fewer
/// attempts than it has used. Each keeps the settings under which it was accepted.
#[tokio::test(start_paused = true)]
async fn requests_of_a_removed_class_keep_their_settings() {
    for case in ["queued", "in flight", "retry"] {
        let (first, second) = (Worker::start().await, Worker::start().await);
        let state = if case == "queued" { "terminating" } else { "in_service" };
        let node = PlatformNode::start(vec![first.list_entry("s-1", state)], 1024).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
        let mut received = None;
        if case == "queued" {
            while node.counters.requests_accepted.get() < 1 {
                yield_now().await;
            }
        } else {
            let mut in_flight = first.receive_request().await;
            in_flight.begin_response().await;
            while node.counters.acknowledged.get() < 1 {
                yield_now().await;
            }
            if case == "retry" {
                node.apply_list(2, vec![first.list_entry("s-1", "terminating")]).await;
                in_flight.send_update(json!({"state": "failed"})).await;
                in_flight.write("0\r\n\r\n").await;
                while node.counters.errors.get() < 1 {
                    yield_now().await;
                }
            }
            received = Some(in_flight);
        }
        let mut newer = common::settings(true, 60_000_000);
        newer["Profiles"].as_array_mut().unwrap().truncate(1);
        newer["Limits"]["MaxAttempts"] = 1.into();
        let (settings, names) = parse_settings(&newer).unwrap();
        node.effective_settings
            .send_modify(|running| *running = running.merged_with(&EffectiveSettings { settings, names }));
        let mut late = Client::connect(&node).await;
        assert_eq!(late.exchange(&request("lodge", NEXT, 60.0, "")).await.status, 400, "class removed");
        let lists = node.counters.endpoint_lists_applied.get() + 2;
        node.apply_list(
            lists,
            vec![first.list_entry("s-1", "terminating"), second.list_entry("s-2", "in_service")],
        )
        .await;
        match (case, received) {
            ("in flight", Some(mut in_flight)) => {
                in_flight.send_update(json!({"state": "done", "result": "r"})).await;
                in_flight.write("0\r\n\r\n").await;
            }
            _ => {
                advance_until_sent(&node, if case == "queued" { 1 } else { 2 }).await;
                let mut retry = second.receive_request().await;
                retry.complete("r").await;
            }
        }
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{case}");
        node.assert_nothing_open().await;
    }
}
