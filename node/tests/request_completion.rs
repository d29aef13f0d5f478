//! What is still owed when something ends: answers while the node stops, connections that a late answer is still to come
//! on, places that are given up, settings that go while their requests are there.
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

/// A worker that has served a job on a connection which is kept, and that connection.
async fn kept(settings: serde_json::Value) -> (Worker, PlatformNode, Client, ReceivedRequest) {
    let worker = Worker::start().await;
    let node =
        PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut seen = worker.receive_request().await;
    seen.complete("first").await;
    assert_eq!(client.read_answer().await.unwrap().body, "first");
    while node.counters.kept_alive.get() < 1 {
        yield_now().await;
    }
    (worker, node, client, seen)
}

/// Lets time pass until so many attempts were sent: a worker may be in doubt for a while.
async fn sent(node: &PlatformNode, n: u64) {
    for _ in 0..200 {
        for _ in 0..50 {
            yield_now().await;
        }
        if node.counters.attempts_sent.get() >= n {
            return;
        }
        advance(Duration::from_millis(20)).await;
    }
    panic!("not sent: {}", node.counters);
}

/// SIGTERM as an answer is half written, its client slow to read: the node ends once it is out, and not before.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_half_written_at_the_end_goes_out_whole() {
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
    assert_eq!(client.read_answer().await.expect("the whole answer").body, result);
    node.assert_nothing_open().await;
    assert_eq!(node.task.await.unwrap(), Ok(()));
}

/// SIGTERM again, at each phase of the end, and while the node drains: what was taken is answered, once.
#[tokio::test(start_paused = true)]
async fn a_second_word_to_stop_changes_nothing() {
    for drains in [false, true] {
        let (worker, node, mut client) = start_node_with_worker().await;
        client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
        let mut seen = worker.receive_request().await;
        seen.begin_response().await;
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
        seen.send_update(json!({"state": "done", "result": "r"})).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r");
        node.assert_nothing_open().await;
        assert_eq!(node.task.await.unwrap(), Ok(()));
    }
}

/// After SIGTERM clients go on sending on what stays open, up to SIGKILL: what comes on a connection that has yet to bring
/// its first request is answered while there is time, with a refusal where there is none.
#[tokio::test(start_paused = true)]
async fn each_request_that_comes_after_sigterm_is_answered() {
    // The longest wait, when the request is whole, and whether it is served.
    for (longest_ms, at_ms, served) in [
        (60_000, 705, true),
        (60_000, 1_500, true),
        (60_000, 3_150, true),
        (800, 1_300, true),
        (800, 1_450, false),
    ] {
        let worker = Worker::start().await;
        let mut settings = common::settings(true, longest_ms * 1000);
        for class in settings["Profiles"].as_array_mut().unwrap() {
            class["DeadlineUs"] = (longest_ms * 1000).into();
        }
        let node =
            PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
        let text = request("check", ID, longest_ms as f64 / 1e3, "");
        let (begin, end) = text.split_at(40);
        begin_stop(&node.phases).await;
        advance(Duration::from_millis(700)).await;
        let mut client = Client::connect(&node).await; // the last moment in which it is taken
        client.send(begin).await;
        while node.counters.connections_accepted.get() < 1 {
            yield_now().await;
        }
        let closes = at_ms.min(720);
        advance(Duration::from_millis(closes - 700)).await;
        if at_ms > 720 {
            node.phases.subscribe().wait_for(|p| *p == Phase::Closing).await.unwrap();
        }
        advance(Duration::from_millis(at_ms - closes)).await;
        client.send(end).await;
        if served {
            worker.receive_request().await.complete("r").await;
            assert_eq!(client.read_answer().await.expect("an answer").body, "r", "{longest_ms} {at_ms}");
        } else {
            assert_eq!(client.read_answer().await.expect("an answer").status, 503, "{longest_ms} {at_ms}");
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), u64::from(served));
    }
}

/// A second answer that comes late, when the connection has been given to the next request: it is not taken for that
/// one's, whose own answer comes in the end.
#[tokio::test(start_paused = true)]
async fn a_late_second_answer_is_not_the_next_requests() {
    let (worker, node, mut client, seen) = kept(common::settings(true, 60_000_000)).await;
    client.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
    let mut seen: ReceivedRequest = seen.next_request().await.expect("the kept connection");
    seen.begin_response().await;
    let line = json!({"id": ID, "from": "s-1", "state": "done", "result": "first again"}).to_string();
    seen.write(&format!("{:x}\r\n{line}\n\r\n0\r\n\r\n", line.len() + 1)).await;
    sent(&node, 3).await;
    let mut again = worker.receive_request().await;
    assert_eq!(again.header("x-request-id"), NEXT);
    again.complete("second").await;
    assert_eq!(client.read_answer().await.unwrap().body, "second");
    assert!(seen.next_request().await.is_none(), "closed");
    node.assert_nothing_open().await;
}

/// In the instant in which a kept connection is given to the next request, its worker says something more on it, or closes:
/// that is not taken for the next one's answer or break, and the request is written once, elsewhere.
#[tokio::test(start_paused = true)]
async fn what_comes_on_a_kept_connection_as_it_is_given_out_is_not_the_next_requests() {
    const TURNED_AWAY: &str = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for said in [TURNED_AWAY, "HTTP/1.1 200 OK\r\n", ""] {
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][0]["Semantics"] = "unsafe".into();
        let (worker, node, mut client, seen) = kept(settings).await;
        // A task of its own has its turn between the server's and the attempt's: the request is on its way to the core then,
        // and nobody looks at sockets in between.
        let counters = node.counters.clone();
        let kept = tokio::spawn(async move {
            while counters.usage().unwrap().busy_clients < 1 {
                common::yield_without_io().await;
            }
            assert_eq!(counters.attempts_sent.get(), 1, "not sent yet");
            if said.is_empty() {
                return None; // drops it
            }
            seen.write_now(said);
            Some(seen)
        });
        client.send_after_pause(&request("check", NEXT, 60.0, "x")).await;
        let mut again = worker.receive_request().await;
        assert_eq!(again.header("x-request-id"), NEXT);
        again.complete("second").await;
        assert_eq!(client.read_answer().await.unwrap().body, "second", "{said:?}");
        if let Some(kept) = kept.await.unwrap() {
            assert!(kept.next_request().await.is_none(), "nothing was written there after {said:?}");
        }
        node.assert_nothing_open().await;
        assert_eq!(
            (node.counters.attempts_sent.get(), node.counters.succeeded.get()),
            (2, 2),
            "{said:?}: {}",
            node.counters
        );
    }
}

/// A second answer without an id that comes when the next request has been written on its connection: 'never ran' is not
/// taken for a word on that one. Some time later it is.
#[tokio::test(start_paused = true)]
async fn a_late_second_answer_without_an_id_proves_nothing_of_the_next_request() {
    for (semantics, rests_ms, sent_again) in [("unsafe", 19, false), ("unsafe", 20, true), ("safe", 19, true)]
    {
        let mut settings = common::settings(true, 6_000_000);
        settings["Profiles"][0]["Semantics"] = semantics.into();
        let (worker, node, mut client, seen) = kept(settings).await;
        advance(Duration::from_millis(rests_ms)).await;
        client.send(&request("check", NEXT, 60.0, "x")).await;
        let mut seen = seen.next_request().await.expect("the kept connection");
        assert_eq!(seen.header("x-request-id"), NEXT);
        seen.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
        if sent_again {
            sent(&node, 3).await;
            let mut again = if rests_ms < 20 {
                worker.receive_request().await
            } else {
                seen.next_request().await.unwrap()
            };
            again.complete("second").await;
            assert_eq!(client.read_answer().await.unwrap().body, "second", "{semantics}, {rests_ms}");
        } else {
            assert_eq!(client.read_answer().await.unwrap().status, 502, "{semantics}, {rests_ms}");
            assert!(seen.next_request().await.is_none(), "what may run there is called off");
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 2 + u64::from(sent_again), "{semantics}, {rests_ms}");
    }
}

/// A job of a class that may not be repeated: out again only where it surely never ran.
#[tokio::test(start_paused = true)]
async fn an_unsafe_job_goes_again_only_if_it_never_ran() {
    for (ends, again) in
        [("returned", true), ("failed", false), ("lost", false), ("closed", false), ("not run", true)]
    {
        let (first, second) = (Worker::start().await, Worker::start().await);
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][0]["Semantics"] = "unsafe".into();
        let node =
            PlatformNode::start_with_settings(settings, vec![first.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut seen = first.receive_request().await;
        node.apply_list(
            2,
            vec![first.list_entry("s-1", "terminating"), second.list_entry("s-2", "in_service")],
        )
        .await;
        match ends {
            "closed" => drop(seen),
            "not run" => {
                seen.write("HTTP/1.1 504 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
            }
            _ => {
                seen.begin_response().await;
                seen.send_update(json!({"state": ends})).await;
                seen.write("0\r\n\r\n").await;
            }
        }
        if again {
            second.receive_request().await.complete("r").await;
            assert_eq!(client.read_answer().await.unwrap().body, "r", "{ends}");
        } else {
            assert_eq!(client.read_answer().await.unwrap().status, 502, "{ends}");
        }
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 1 + u64::from(again), "{ends}");
    }
}

/// A keyed job whose attempt broke near its window's end: out again only where its connection, which may come up as late as
/// the settings allow, can't bring it to a worker after the window.
#[tokio::test(start_paused = true)]
async fn a_keyed_job_goes_again_only_if_it_surely_begins_inside_its_window() {
    for (broke_ms, again) in [(740, true), (760, false), (990, false)] {
        let (first, (slow, _fills)) = (Worker::start().await, common::worker_with_full_backlog().await);
        let mut settings = common::settings(true, 60_000_000);
        settings["Profiles"][1]["RepeatWindowUs"] = 1_000_000.into();
        let node =
            PlatformNode::start_with_settings(settings, vec![first.list_entry("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", ID, 5.0, "x")).await;
        let out = Instant::now();
        let mut seen = first.receive_request().await;
        seen.begin_response().await;
        seen.send_update(json!({"state": "started"})).await;
        node.apply_list(
            2,
            vec![first.list_entry("s-1", "terminating"), slow.list_entry("s-2", "in_service")],
        )
        .await;
        advance(Duration::from_millis(broke_ms) - out.elapsed()).await;
        drop(seen);
        while node.counters.connection_lost.get() < 1 {
            yield_now().await;
        }
        for _ in 0..50 {
            yield_now().await;
        }
        assert_eq!(
            node.counters.attempts_sent.get(),
            1 + u64::from(again),
            "{broke_ms} ms after the first attempt"
        );
        for _ in 0..55 {
            advance(Duration::from_millis(100)).await;
        }
        // All workers drop repeats of it, so a refusal is harmless also past the window.
        assert_eq!(client.read_answer().await.unwrap().status, 503, "{broke_ms}");
        node.assert_nothing_open().await;
        assert_eq!(node.counters.attempts_sent.get(), 1 + u64::from(again), "{broke_ms}");
    }
}

/// A quiet connection is to make way in the instant its request arrives: it stays and is served, and another goes.
#[tokio::test(start_paused = true)]
async fn a_connection_whose_request_has_just_come_makes_no_way() {
    for served_before in [false, true] {
        let worker = Worker::start().await;
        let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 70).await; // 4 for clients
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
        // In one turn: the newcomer connects, then the one whose turn it is to go writes its request. So the node asks
        // it to go before it has read a byte of that.
        let new = std::net::TcpStream::connect(node.address).unwrap();
        clients[0].send(UP).await;
        let mut new = Client::from_std(new);
        assert_eq!(clients[0].read_answer().await.expect("not closed on").status, 200);
        assert_eq!(new.exchange(UP).await.status, 200);
        assert!(clients[1].read_answer().await.is_none(), "the next one makes way");
    }
}

/// Hundreds come at once, with part of a request, all of it, or nothing, and are gone: nothing is left of them.
#[tokio::test(start_paused = true)]
async fn a_crowd_that_goes_leaves_nothing_behind() {
    let worker = Worker::start().await;
    let node = PlatformNode::start(vec![worker.list_entry("s-1", "terminating")], 1024).await;
    let mut crowd = Vec::new();
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
        crowd.push(client);
        yield_now().await;
    }
    for (n, client) in crowd.into_iter().enumerate() {
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

/// Settings go while requests are there: one that waits, one that is out, one that is to be tried again, each of a class
/// that is offered no more, and with fewer attempts than it has used. All keep the rules they came in under.
#[tokio::test(start_paused = true)]
async fn requests_of_a_dropped_class_keep_their_rules_to_the_end() {
    for case in ["waits", "out", "again"] {
        let (first, second) = (Worker::start().await, Worker::start().await);
        let state = if case == "waits" { "terminating" } else { "in_service" };
        let node = PlatformNode::start(vec![first.list_entry("s-1", state)], 1024).await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("lodge", ID, 60.0, "x")).await;
        let mut seen = None;
        if case == "waits" {
            while node.counters.requests_accepted.get() < 1 {
                yield_now().await;
            }
        } else {
            let mut out = first.receive_request().await;
            out.begin_response().await;
            while node.counters.acknowledged.get() < 1 {
                yield_now().await;
            }
            if case == "again" {
                node.apply_list(2, vec![first.list_entry("s-1", "terminating")]).await;
                out.send_update(json!({"state": "failed"})).await;
                out.write("0\r\n\r\n").await;
                while node.counters.errors.get() < 1 {
                    yield_now().await;
                }
            }
            seen = Some(out);
        }
        let mut newer = common::settings(true, 60_000_000);
        newer["Profiles"].as_array_mut().unwrap().truncate(1);
        newer["Limits"]["MaxAttempts"] = 1.into();
        let (settings, names) = parse_settings(&newer).unwrap();
        node.effective_settings
            .send_modify(|running| *running = running.merged_with(&EffectiveSettings { settings, names }));
        let mut late = Client::connect(&node).await;
        assert_eq!(late.exchange(&request("lodge", NEXT, 60.0, "")).await.status, 400, "offered no more");
        let lists = node.counters.endpoint_lists_applied.get() + 2;
        node.apply_list(
            lists,
            vec![first.list_entry("s-1", "terminating"), second.list_entry("s-2", "in_service")],
        )
        .await;
        match (case, seen) {
            ("out", Some(mut out)) => {
                out.send_update(json!({"state": "done", "result": "r"})).await;
                out.write("0\r\n\r\n").await;
            }
            _ => {
                sent(&node, if case == "waits" { 1 } else { 2 }).await;
                let mut again = second.receive_request().await;
                again.complete("r").await;
            }
        }
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{case}");
        node.assert_nothing_open().await;
    }
}
