//! Probes, where the settings allow them: asked for by the module; a late, wrong or missing answer is an outcome.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, until, Client, Platform, Seen, Worker};
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

async fn answers(probe: &mut Seen, body: &str) {
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
        let node = Platform::under(asking(true), vec![worker.line("s-1", "in_service")]).await;
        let mut client = Client::connect(&node).await;
        client.tell(&request("check", ID, 60.0, "x")).await;
        let mut probe = worker.take().await;
        assert_eq!(node.counters.attempts_sent.get(), 0, "asked first");
        // One that has just started answers and has nothing to tell yet: it is asked again.
        let asked = 1 + u64::from(body.starts_with("x0"));
        if asked > 1 {
            answers(&mut probe, "").await;
            probe = probe.next().await.expect("asked again");
        }
        answers(&mut probe, &body).await;
        let mut seen = probe.next().await.expect("the job");
        assert_eq!(seen.field("x-request-id"), ID);
        seen.done("r").await;
        assert_eq!(client.answer().await.unwrap().body, "r", "{body}");
        assert_eq!((node.counters.probes.get(), node.counters.probes_answered.get()), (asked, asked));
        node.owes_nothing().await;
    }
}

/// One that hangs, turns the probe away, answers what is no report, breaks off, or is not there holds no job up: another
/// gets it, and each probe has its one outcome.
#[tokio::test(start_paused = true)]
async fn a_failed_probe_is_an_outcome_and_holds_no_job_up() {
    for case in ["hangs", "503", "404", "strange", "endless", "breaks", "gone"] {
        let (bad, good) = (Worker::start().await, Worker::start().await);
        let list = vec![bad.line("s-1", "in_service")];
        let node = Platform::under(asking(true), list).await;
        let bad = if case == "gone" {
            drop(bad);
            None
        } else {
            Some(bad)
        };
        let mut client = Client::connect(&node).await;
        client.tell(&request("check", ID, 60.0, "x")).await;
        let mut held = None;
        if let Some(bad) = &bad {
            let mut probe = bad.take().await;
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
        until("the probe has its outcome", STEP, || node.counters.usage().unwrap().attempt_connections == 0)
            .await;
        assert_eq!(node.counters.probes_answered.get(), 0, "{case}");
        let line = |worker: &Worker, id| worker.line(id, "in_service");
        let listed = bad.iter().map(|b| line(b, "s-1")).chain([line(&good, "s-2")]).collect();
        node.list(2, listed).await;
        let accepted = tokio::spawn(async move {
            let mut probe = good.take().await;
            answers(&mut probe, "x0=1").await;
            let mut seen = probe.next().await.expect("the job");
            seen.done("r").await;
            (good, seen)
        });
        until("the job is done", STEP, || node.counters.succeeded.get() == 1).await;
        assert_eq!(client.answer().await.unwrap().body, "r", "{case}");
        accepted.await.unwrap();
        drop(held);
        node.owes_nothing().await;
    }
}

/// A worker that is asked, tells room and turns the job away all the same: 'never ran' is said of the job, for nothing but the
/// question was on its connection before. Also what may not be repeated goes out again.
#[tokio::test(start_paused = true)]
async fn a_job_rejected_right_after_its_probe_is_retried() {
    let (full, free) = (Worker::start().await, Worker::start().await);
    let mut settings = asking(true);
    settings["Profiles"][0]["Semantics"] = "unsafe".into();
    let node = Platform::under(settings, vec![full.line("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.tell(&request("check", ID, 60.0, "x")).await;
    let mut probe = full.take().await;
    answers(&mut probe, "x0=1").await;
    let mut seen = probe.next().await.expect("the job");
    node.list(2, vec![full.line("s-1", "terminating"), free.line("s-2", "in_service")]).await;
    seen.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n").await;
    let mut probe = free.take().await;
    answers(&mut probe, "x0=1").await;
    probe.next().await.expect("the job").done("r").await;
    assert_eq!(client.answer().await.unwrap().body, "r");
    assert_eq!((node.counters.rejected.get(), node.counters.connection_lost.get()), (1, 0));
    node.owes_nothing().await;
}

/// Where the settings bar them there are none.
#[tokio::test(start_paused = true)]
async fn no_worker_is_probed_where_the_settings_forbid_it() {
    let worker = Worker::start().await;
    let node = Platform::under(asking(false), vec![worker.line("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.tell(&request("check", ID, 60.0, "x")).await;
    let mut seen = worker.take().await;
    assert_eq!(seen.field("x-request-id"), ID);
    seen.done("r").await;
    assert_eq!(client.answer().await.unwrap().body, "r");
    assert_eq!(node.counters.probes.get(), 0);
}
