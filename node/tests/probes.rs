//! Probes, where the settings allow them: the decision module asks for them, and a late, malformed or missing
//! answer is an outcome.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{advance_until, request, Client, PlatformNode, ReceivedRequest, Worker};
use serde_json::{json, Value};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const ID: &str = "9b1f03aa5c7e2d41";

/// Workers report free slots but not the start of a request, so the decision module probes a worker before it
/// sends.
fn probing_settings(probes: bool) -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["FamilyInfo"]["TellsStart"] = false.into();
    settings["Limits"]["Probes"] = probes.into();
    settings
}

async fn answer_probe(probe: &mut ReceivedRequest, body: &str) {
    assert!(probe.head.starts_with("GET /metrics/load HTTP/1.1\r\n"), "{}", probe.head);
    probe.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())).await;
}

/// A worker that reports free slots receives the request, on the connection of the probe.
#[tokio::test(start_paused = true)]
async fn a_worker_that_reports_free_slots_receives_the_request() {
    for body in [
        json!({"x0": 2, "depth": 0}).to_string(),
        json!({"load": {"x0": 2}}).to_string(),
        "x0=2,depth=0".into(),
    ] {
        let worker = Worker::start().await;
        let node = PlatformNode::start_with_settings(
            probing_settings(true),
            vec![worker.list_entry("s-1", "in_service")],
        )
        .await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut probe = worker.receive_request().await;
        assert_eq!(node.counters.attempts_sent.get(), 0, "the probe comes first");
        // A worker that has just started answers without a report, and is probed again.
        let probes = 1 + u64::from(body.starts_with("x0"));
        if probes > 1 {
            answer_probe(&mut probe, "").await;
            probe = probe.next_request().await.expect("a second probe");
        }
        answer_probe(&mut probe, &body).await;
        let mut received = probe.next_request().await.expect("the request");
        assert_eq!(received.header("x-request-id"), ID);
        received.complete("r").await;
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{body}");
        assert_eq!((node.counters.probes.get(), node.counters.probes_answered.get()), (probes, probes));
        node.assert_nothing_open().await;
    }
}

/// A worker that does not answer, rejects the probe, answers without a valid report, closes the connection or
/// can't be reached delays no request: another worker receives it, and each probe has exactly one outcome.
#[tokio::test(start_paused = true)]
async fn a_failed_probe_is_an_outcome_and_delays_no_request() {
    for case in ["silent", "503", "404", "malformed", "endless", "closed", "unreachable"] {
        let (failing, healthy) = (Worker::start().await, Worker::start().await);
        let list = vec![failing.list_entry("s-1", "in_service")];
        let node = PlatformNode::start_with_settings(probing_settings(true), list).await;
        let failing = if case == "unreachable" {
            drop(failing);
            None
        } else {
            Some(failing)
        };
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut open_probe = None;
        if let Some(failing) = &failing {
            let mut probe = failing.receive_request().await;
            match case {
                "503" | "404" => {
                    probe.write(&format!("HTTP/1.1 {case} No\r\nContent-Length: 0\r\n\r\n")).await;
                }
                "malformed" => answer_probe(&mut probe, "\"full of\u{1}").await,
                "endless" => {
                    probe.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                    probe.write(&format!("2000\r\n{}\r\n", "x".repeat(0x2000))).await;
                }
                _ => {}
            }
            open_probe = Some(probe).filter(|_| case != "closed");
        }
        advance_until("the probe has its outcome", STEP, || {
            node.counters.usage().unwrap().attempt_connections == 0
        })
        .await;
        assert_eq!(node.counters.probes_answered.get(), 0, "{case}");
        let entry = |worker: &Worker, id| worker.list_entry(id, "in_service");
        let listed =
            failing.iter().map(|worker| entry(worker, "s-1")).chain([entry(&healthy, "s-2")]).collect();
        node.apply_list(2, listed).await;
        let served = tokio::spawn(async move {
            let mut probe = healthy.receive_request().await;
            answer_probe(&mut probe, "x0=1").await;
            let mut received = probe.next_request().await.expect("the request");
            received.complete("r").await;
            (healthy, received)
        });
        advance_until("the request is completed", STEP, || node.counters.succeeded.get() == 1).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{case}");
        served.await.unwrap();
        drop(open_probe);
        node.assert_nothing_open().await;
    }
}

/// A worker reports free slots and then rejects the request. The rejection proves that the request was not
/// executed, since only the probe used the connection before; so a request that is not idempotent is retried
/// too.
#[tokio::test(start_paused = true)]
async fn a_request_rejected_right_after_its_probe_is_retried() {
    let (full, free) = (Worker::start().await, Worker::start().await);
    let mut settings = probing_settings(true);
    settings["Profiles"][0]["Semantics"] = "unsafe".into();
    let node = PlatformNode::start_with_settings(settings, vec![full.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut probe = full.receive_request().await;
    answer_probe(&mut probe, "x0=1").await;
    let mut received = probe.next_request().await.expect("the request");
    node.apply_list(2, vec![full.list_entry("s-1", "terminating"), free.list_entry("s-2", "in_service")])
        .await;
    received.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
    let mut probe = free.receive_request().await;
    answer_probe(&mut probe, "x0=1").await;
    probe.next_request().await.expect("the request").complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    assert_eq!((node.counters.rejected.get(), node.counters.connection_lost.get()), (1, 0));
    node.assert_nothing_open().await;
}

/// Where the settings forbid probes, none is sent.
#[tokio::test(start_paused = true)]
async fn no_worker_is_probed_where_the_settings_forbid_it() {
    let worker = Worker::start().await;
    let node = PlatformNode::start_with_settings(
        probing_settings(false),
        vec![worker.list_entry("s-1", "in_service")],
    )
    .await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut received = worker.receive_request().await;
    assert_eq!(received.header("x-request-id"), ID);
    received.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    assert_eq!(node.counters.probes.get(), 0);
}
