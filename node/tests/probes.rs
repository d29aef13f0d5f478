//! Probes, where the settings allow them: asked for by the module; a late, wrong or missing answer is an outcome.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{advance_until, request, Client, PlatformNode, ReceivedRequest, Worker};
use serde_json::{json, Value};
use std::time::Duration;

const STEP: Duration = Duration::from_millis(5);
const ID: &str = "9b1f03aa5c7e2d41";

/// Workers tell free slots and nothing of starts: the module asks before it sends.
fn asking(probes: bool) -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["FamilyInfo"]["TellsStart"] = false.into();
    settings["Limits"]["Probes"] = probes.into();
    settings
}

async fn answers(probe: &mut ReceivedRequest, body: &str) {
    assert!(probe.head.starts_with("GET /metrics/load HTTP/1.1\r\n"), "{}", probe.head);
    probe.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())).await;
}

/// A worker that says that it has room gets the job, on the connection that it was asked on.
#[tokio::test(start_paused = true)]
async fn a_worker_that_reports_free_slots_gets_the_job() {
    for body in [
        json!({"x0": 2, "depth": 0}).to_string(),
        json!({"load": {"x0": 2}}).to_string(),
        "x0=2,depth=0".into(),
    ] {
        let worker = Worker::start().await;
        let node =
            PlatformNode::start_with_settings(asking(true), vec![worker.list_entry("s-1", "in_service")])
                .await;
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut probe = worker.receive_request().await;
        assert_eq!(node.counters.attempts_sent.get(), 0, "asked first");
        // One that has just started answers and has nothing to tell yet: it is asked again.
        let asked = 1 + u64::from(body.starts_with("x0"));
        if asked > 1 {
            answers(&mut probe, "").await;
            probe = probe.next_request().await.expect("asked again");
        }
        answers(&mut probe, &body).await;
        let mut seen = probe.next_request().await.expect("the job");
        assert_eq!(seen.header("x-request-id"), ID);
        seen.complete("r").await;
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{body}");
        assert_eq!((node.counters.probes.get(), node.counters.probes_answered.get()), (asked, asked));
        node.assert_nothing_open().await;
    }
}

/// One that hangs, turns the probe away, answers what is no report, breaks off, or is not there holds no job up: another
/// gets it, and each probe has its one outcome.
#[tokio::test(start_paused = true)]
async fn a_failed_probe_is_an_outcome_and_holds_no_job_up() {
    for case in ["hangs", "503", "404", "strange", "endless", "breaks", "gone"] {
        let (bad, good) = (Worker::start().await, Worker::start().await);
        let list = vec![bad.list_entry("s-1", "in_service")];
        let node = PlatformNode::start_with_settings(asking(true), list).await;
        let bad = if case == "gone" {
            drop(bad);
            None
        } else {
            Some(bad)
        };
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", ID, 60.0, "x")).await;
        let mut held = None;
        if let Some(bad) = &bad {
            let mut probe = bad.receive_request().await;
            match case {
                "503" | "404" => {
                    probe.write(&format!("HTTP/1.1 {case} No\r\nContent-Length: 0\r\n\r\n")).await;
                }
                "strange" => answers(&mut probe, "\"full of\u{1}").await,
                "endless" => {
                    probe.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
                    probe.write(&format!("2000\r\n{}\r\n", "x".repeat(0x2000))).await;
                }
                _ => {}
            }
            held = Some(probe).filter(|_| case != "breaks");
        }
        advance_until("the probe has its outcome", STEP, || {
            node.counters.usage().unwrap().attempt_connections == 0
        })
        .await;
        assert_eq!(node.counters.probes_answered.get(), 0, "{case}");
        let line = |worker: &Worker, id| worker.list_entry(id, "in_service");
        let listed = bad.iter().map(|b| line(b, "s-1")).chain([line(&good, "s-2")]).collect();
        node.apply_list(2, listed).await;
        let accepted = tokio::spawn(async move {
            let mut probe = good.receive_request().await;
            answers(&mut probe, "x0=1").await;
            let mut seen = probe.next_request().await.expect("the job");
            seen.complete("r").await;
            (good, seen)
        });
        advance_until("the job is done", STEP, || node.counters.succeeded.get() == 1).await;
        assert_eq!(client.read_answer().await.unwrap().body, "r", "{case}");
        accepted.await.unwrap();
        drop(held);
        node.assert_nothing_open().await;
    }
}

/// A worker that is asked, tells room and turns the job away all the same: 'never ran' is said of the job, for nothing but the
/// question was on its connection before. Also what may not be repeated goes out again.
#[tokio::test(start_paused = true)]
async fn a_job_rejected_right_after_its_probe_is_retried() {
    let (full, free) = (Worker::start().await, Worker::start().await);
    let mut settings = asking(true);
    settings["Profiles"][0]["Semantics"] = "unsafe".into();
    let node = PlatformNode::start_with_settings(settings, vec![full.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut probe = full.receive_request().await;
    answers(&mut probe, "x0=1").await;
    let mut seen = probe.next_request().await.expect("the job");
    node.apply_list(2, vec![full.list_entry("s-1", "terminating"), free.list_entry("s-2", "in_service")])
        .await;
    seen.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
    let mut probe = free.receive_request().await;
    answers(&mut probe, "x0=1").await;
    probe.next_request().await.expect("the job").complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    assert_eq!((node.counters.rejected.get(), node.counters.connection_lost.get()), (1, 0));
    node.assert_nothing_open().await;
}

/// Where the settings bar them there are none.
#[tokio::test(start_paused = true)]
async fn no_worker_is_probed_where_the_settings_forbid_it() {
    let worker = Worker::start().await;
    let node =
        PlatformNode::start_with_settings(asking(false), vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let mut seen = worker.receive_request().await;
    assert_eq!(seen.header("x-request-id"), ID);
    seen.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    assert_eq!(node.counters.probes.get(), 0);
}
