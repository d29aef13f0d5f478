//! The Faktory frontend, with stand-ins for clients and workers.
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{
    faktory_config, faktory_job, freeze_clock, run_paused, seeded_quickcheck, start_faktory,
    stop_until_closing, FaktoryConnection,
};
use molevale::counters::Counters;
use molevale::faktory::Server;
use molevale::phase::Phases;
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{advance, sleep};

#[tokio::test(start_paused = true)]
async fn job_is_delivered_unchanged_and_ends_served() {
    let (node, counters, _phase) = start_faktory(None);
    let (mut client, mut worker) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    worker.send_line("FETCH check").await;
    let sent = faktory_job("check", "job-00001", "k").replace(',', " , ");
    assert_eq!(client.send_command(&format!("PUSH {sent}")).await, "+OK");
    assert_eq!(worker.read_reply().await, sent);
    assert_eq!(client.job_state("job-00001").await, "working");
    assert_eq!(worker.ack("job-00001").await, "+OK");
    assert_eq!(client.job_state("job-00001").await, "served");
    assert!(worker.ack("job-00001").await.starts_with("-ERR"), "a second ACK is rejected");
    assert_eq!(
        (counters.requests_accepted.get(), counters.served.get(), counters.attempts_sent.get()),
        (1, 1, 1)
    );
    assert!(client.send_command("INFO").await.contains("\"workers\":1"));
}

#[tokio::test(start_paused = true)]
async fn draining_worker_finishes_its_job_and_gets_no_other() {
    let (node, counters, _phase) = start_faktory(None);
    let (mut client, mut old) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "old").await,
    );
    old.send_line("FETCH lodge").await;
    assert_eq!(client.push("lodge", "job-00001", "a").await, "+OK");
    assert!(old.read_reply().await.contains("job-00001"));
    let quiet = old.send_command("BEAT {\"wid\":\"old\",\"current_state\":\"quiet\"}").await;
    assert_eq!(quiet, "{\"state\":\"quiet\"}");
    let mut new = FaktoryConnection::connect_worker(&node, "new").await;
    assert_eq!(client.push("lodge", "job-00002", "b").await, "+OK");
    assert_eq!(old.fetch().await, None);
    assert_eq!(new.fetch().await.as_deref(), Some("job-00002"));
    assert_eq!(old.ack("job-00001").await, "+OK");
    assert_eq!(new.ack("job-00002").await, "+OK");
    assert_eq!(
        (client.job_state("job-00001").await, client.job_state("job-00002").await),
        ("served".into(), "served".into())
    );
    assert_eq!(
        (counters.requests_accepted.get(), counters.served.get(), counters.succeeded.get()),
        (2, 2, 2)
    );
}

#[tokio::test(start_paused = true)]
async fn waiting_fetch_of_a_draining_worker_ends_without_a_job() {
    let (node, _, _phase) = start_faktory(None);
    let mut client = FaktoryConnection::connect_client(&node).await;
    let (mut fetching, mut reporting) = (
        FaktoryConnection::connect_worker(&node, "w1").await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    fetching.send_line("FETCH lodge").await;
    reporting.send_command("BEAT {\"wid\":\"w1\",\"current_state\":\"terminate\"}").await;
    assert_eq!(fetching.read_reply().await, "$-1");
    client.push("lodge", "job-00001", "a").await;
    assert_eq!(fetching.fetch().await, None);
}

#[tokio::test(start_paused = true)]
async fn closed_connection_with_a_waiting_fetch_takes_no_job() {
    let (node, counters, _phase) = start_faktory(None);
    let mut client = FaktoryConnection::connect_client(&node).await;
    let (mut closing, mut remaining) = (
        FaktoryConnection::connect_worker(&node, "w1").await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    closing.send_line("FETCH lodge").await;
    drop(closing);
    remaining.send_line("FETCH lodge").await;
    client.push("lodge", "job-00001", "a").await;
    assert!(remaining.read_reply().await.contains("job-00001"));
    assert_eq!(remaining.ack("job-00001").await, "+OK");
    assert_eq!(
        (counters.attempts_sent.get(), counters.succeeded.get(), counters.connection_lost.get()),
        (1, 1, 0)
    );
}

#[tokio::test(start_paused = true)]
async fn pipelined_commands_are_answered_in_order() {
    let (node, _, _phase) = start_faktory(None);
    let (mut client, mut worker) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    worker.send_line("FETCH lodge\r\nACK {\"jid\":\"job-00001\"}\r\nFETCH lodge").await;
    client.push("lodge", "job-00001", "a").await;
    assert!(worker.read_reply().await.contains("job-00001"));
    assert_eq!((worker.read_reply().await.as_str(), worker.read_reply().await.as_str()), ("+OK", "$-1"));
    assert_eq!(client.job_state("job-00001").await, "served");
}

#[tokio::test(start_paused = true)]
async fn duplicate_push_after_a_reconnect_runs_once() {
    let (node, counters, _phase) = start_faktory(None);
    let mut first = FaktoryConnection::connect_client(&node).await;
    first.send_line(&format!("PUSH {}", faktory_job("lodge", "job-00001", "consignment"))).await;
    drop(first); // its reply is never read
    let (mut again, mut worker) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    assert_eq!(again.push("lodge", "job-00002", "consignment").await, "+OK");
    let fetched = worker.fetch().await.unwrap();
    assert_eq!(again.push("lodge", "job-00001", "consignment").await, "+OK", "while the job runs");
    assert_eq!(worker.ack(&fetched).await, "+OK");
    assert_eq!(again.push("lodge", "job-00003", "consignment").await, "+OK", "after the job has ended");
    assert_eq!(worker.fetch().await, None);
    for jid in ["job-00001", "job-00002", "job-00003"] {
        assert_eq!(again.job_state(jid).await, "served");
    }
    assert_eq!(
        (counters.requests_accepted.get(), counters.served.get(), counters.attempts_sent.get()),
        (1, 1, 1)
    );
    // The record is kept for the deduplication window only.
    advance(Duration::from_secs(61)).await;
    assert!(again.job_state("job-00001").await.starts_with("-ERR"));
}

#[tokio::test(start_paused = true)]
async fn invalid_pushes_and_a_jid_in_use_are_rejected() {
    let (node, _, _phase) = start_faktory(None);
    let mut client = FaktoryConnection::connect_client(&node).await;
    let _worker = FaktoryConnection::connect_worker(&node, "w1").await;
    assert_eq!(client.push("lodge", "job-00001", "a").await, "+OK");
    assert!(client.push("lodge", "job-00001", "b").await.starts_with("-ERR"));
    assert!(client.push("check", "job-00001", "a").await.starts_with("-ERR"));
    for valid_name in ["\"sava\"", "\"lodge\""] {
        let push = faktory_job("lodge", "job-00009", "c").replace(valid_name, "\"nobody\"");
        assert!(client.send_command(&format!("PUSH {push}")).await.starts_with("-ERR"), "{push}");
    }
    let later =
        faktory_job("lodge", "job-00009", "c").replace("\"jid\"", "\"at\":\"2030-01-01T00:00:00Z\",\"jid\"");
    assert!(client.send_command(&format!("PUSH {later}")).await.starts_with("-ERR"));
}

#[tokio::test(start_paused = true)]
async fn lost_lease_is_retried_elsewhere_and_its_late_ack_is_rejected() {
    let (node, counters, _phase) = start_faktory(None);
    let (mut client, mut one) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "one").await,
    );
    one.send_line("FETCH lodge").await;
    client.push("lodge", "job-00001", "a").await;
    assert!(one.read_reply().await.contains("job-00001"));
    let mut two = FaktoryConnection::connect_worker(&node, "two").await;
    drop(one);
    assert_eq!(two.fetch().await.as_deref(), Some("job-00001"));
    let mut back = FaktoryConnection::connect_worker(&node, "one").await;
    assert!(back.ack("job-00001").await.starts_with("-ERR"));
    assert_eq!(two.ack("job-00001").await, "+OK");
    assert_eq!(client.job_state("job-00001").await, "served");
    assert_eq!((counters.connection_lost.get(), counters.succeeded.get(), counters.served.get()), (1, 1, 1));
}

#[tokio::test(start_paused = true)]
async fn worker_keeps_its_leases_while_one_connection_remains() {
    let (node, counters, _phase) = start_faktory(None);
    let mut client = FaktoryConnection::connect_client(&node).await;
    let (mut fetching, mut remaining) = (
        FaktoryConnection::connect_worker(&node, "w1").await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    fetching.send_line("FETCH lodge").await;
    client.push("lodge", "job-00001", "a").await;
    assert!(fetching.read_reply().await.contains("job-00001"));
    drop(fetching);
    assert_eq!(remaining.ack("job-00001").await, "+OK");
    assert_eq!((counters.connection_lost.get(), counters.succeeded.get()), (0, 1));
}

#[tokio::test(start_paused = true)]
async fn failed_job_is_retried_on_another_worker() {
    let (node, counters, _phase) = start_faktory(None);
    let (mut client, mut one) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "one").await,
    );
    one.send_line("FETCH check").await;
    client.push("check", "job-00001", "a").await;
    assert!(one.read_reply().await.contains("job-00001"));
    let mut two = FaktoryConnection::connect_worker(&node, "two").await;
    two.send_line("FETCH check").await;
    assert_eq!(
        one.send_command("FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}").await,
        "+OK"
    );
    assert!(two.read_reply().await.contains("job-00001"));
    assert!(one.ack("job-00001").await.starts_with("-ERR"), "its attempt has ended");
    assert_eq!(two.ack("job-00001").await, "+OK");
    assert_eq!(client.job_state("job-00001").await, "served");
    assert_eq!((counters.errors.get(), counters.succeeded.get(), counters.served.get()), (1, 1, 1));
}

/// A job that may have been executed is not offered again if a FETCH could come only after its deduplication window.
#[tokio::test(start_paused = true)]
async fn failed_keyed_job_is_retried_only_within_its_window() {
    for (failed_ms, is_retried) in [(1_700, true), (1_800, false)] {
        let mut settings = common::settings(false, 6_000_000);
        settings["Profiles"][1]["RepeatWindowUs"] = 2_000_000.into();
        let (counters, phases) = (Arc::new(Counters::default()), Phases::default());
        let node =
            Server::start(&common::faktory_config_with(settings), 7, None, counters.clone(), phases.clone())
                .unwrap();
        let (mut client, mut one) = (
            FaktoryConnection::connect_client(&node).await,
            FaktoryConnection::connect_worker(&node, "one").await,
        );
        one.send_line("FETCH lodge").await;
        client.push("lodge", "job-00001", "a").await;
        assert!(one.read_reply().await.contains("job-00001"));
        let mut two = FaktoryConnection::connect_worker(&node, "two").await;
        sleep(Duration::from_millis(failed_ms)).await;
        one.send_command("FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}").await;
        sleep(Duration::from_millis(240)).await; // time within which an offered job is given to a FETCH
        assert_eq!(two.fetch().await.is_some(), is_retried, "failed after {failed_ms} ms");
        assert_eq!(counters.attempts_sent.get(), 1 + u64::from(is_retried));
    }
}

#[tokio::test(start_paused = true)]
async fn lease_ends_at_the_deadline_with_one_final_state() {
    let (node, counters, _phase) = start_faktory(None);
    let (mut client, mut worker) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    worker.send_line("FETCH lodge").await;
    client.push("lodge", "job-00001", "a").await;
    assert!(worker.read_reply().await.contains("job-00001"));
    sleep(Duration::from_millis(7_900)).await;
    assert_eq!(client.job_state("job-00001").await, "working");
    sleep(Duration::from_millis(200)).await;
    let end = client.job_state("job-00001").await;
    assert!(end == "refused" || end == "failed", "{end}");
    assert!(worker.ack("job-00001").await.starts_with("-ERR"));
    // It may have been executed: a duplicate within the window shares its end and is not sent.
    assert_eq!(client.push("lodge", "job-00002", "a").await, "+OK");
    assert_eq!(worker.fetch().await, None);
    assert_eq!(client.job_state("job-00002").await, end);
    assert_eq!((counters.timed_out.get(), counters.attempts_sent.get()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn job_without_a_worker_is_rejected_and_may_be_pushed_again() {
    let (node, counters, _phase) = start_faktory(None);
    let mut client = FaktoryConnection::connect_client(&node).await;
    assert_eq!(client.push("lodge", "job-00001", "a").await, "+OK");
    sleep(Duration::from_secs(8)).await;
    assert_eq!(client.job_state("job-00001").await, "refused");
    let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
    worker.send_line("FETCH lodge").await;
    assert_eq!(client.push("lodge", "job-00001", "a").await, "+OK");
    assert!(worker.read_reply().await.contains("job-00001"));
    assert_eq!(worker.ack("job-00001").await, "+OK");
    assert_eq!((counters.requests_accepted.get(), counters.shed.get(), counters.served.get()), (2, 1, 1));
}

#[tokio::test(start_paused = true)]
async fn invalid_command_gets_an_error_and_the_session_continues() {
    let (node, _, _phase) = start_faktory(None);
    let (mut client, mut worker) = (
        FaktoryConnection::connect_client(&node).await,
        FaktoryConnection::connect_worker(&node, "w1").await,
    );
    assert!(client.send_command("PUSH {\"jid\":").await.starts_with("-MALFORMED"));
    assert!(client.send_command(&format!("PUSH {}", "x".repeat(70_000))).await.starts_with("-MALFORMED"));
    client.0.write_all(b"PUSH \xff\xfe\r\n").await.unwrap();
    assert!(client.read_reply().await.starts_with("-MALFORMED"));
    assert!(client.send_command("NONSENSE").await.starts_with("-ERR"));
    assert!(client.send_command("FETCH check").await.starts_with("-ERR"), "only workers fetch");
    assert!(worker.send_command("BEAT {\"wid\":\"w2\"}").await.starts_with("-ERR"));
    assert_eq!(worker.send_command("BEAT {\"wid\":\"w1\"}").await, "+OK");
    assert_eq!(client.push("check", "job-00001", "a").await, "+OK");
    client.send_line("END").await;
    assert_eq!(client.read_reply().await, "", "the session has ended");
}

#[tokio::test(start_paused = true)]
async fn wrong_password_is_rejected() {
    let (node, _, _phase) = start_faktory(Some("secret"));
    for (is_correct, want) in [(true, "+OK"), (false, "-ERR invalid password")] {
        let (near, far) = tokio::io::duplex(4096);
        let node = node.clone();
        tokio::spawn(async move { node.serve_connection(far).await });
        let mut connection = FaktoryConnection(BufReader::new(Box::new(near)));
        let hi = connection.read_reply().await;
        let hi: serde_json::Value = serde_json::from_str(hi.strip_prefix("+HI ").unwrap()).unwrap();
        let (salt, rounds) = (hi["s"].as_str().unwrap(), hi["i"].as_u64().unwrap());
        let secret = if is_correct { "secret" } else { "guess" };
        let mut hash = <sha2::Sha256 as sha2::Digest>::digest(format!("{secret}{salt}"));
        for _ in 1..rounds {
            hash = <sha2::Sha256 as sha2::Digest>::digest(hash);
        }
        let hash: String = hash.iter().map(|b| format!("{b:02x}")).collect();
        assert_eq!(connection.send_command(&format!("HELLO {{\"v\":2,\"pwdhash\":\"{hash}\"}}")).await, want);
    }
}

#[tokio::test(start_paused = true)]
async fn silent_worker_is_disconnected() {
    let (node, _, _phase) = start_faktory(None);
    let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
    sleep(Duration::from_secs(50)).await;
    assert_eq!(worker.send_command("BEAT {\"wid\":\"w1\"}").await, "+OK");
    sleep(Duration::from_secs(50)).await;
    assert_eq!(worker.fetch().await, None);
    sleep(Duration::from_secs(70)).await;
    assert_eq!(worker.read_reply().await, "", "the session has ended");
    let mut client = FaktoryConnection::connect_client(&node).await;
    assert!(client.send_command("INFO").await.contains("\"workers\":0"));
}

const MILLISECOND: Duration = Duration::from_millis(1);

/// Over loopback sockets: every job is pushed twice on new connections, has one final state and is executed at most once.
#[tokio::test(start_paused = true)]
#[allow(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn every_job_over_loopback_has_one_final_state_and_runs_at_most_once() {
    let _frozen_clock = freeze_clock();
    let phases = Phases::default();
    let counters = Arc::new(Counters::default());
    let node = Server::start(&faktory_config(60_000_000), 7, None, counters, phases.clone()).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn({
        let node = node.clone();
        async move { node.serve(listener, 64).await }
    });
    let connect = |hello: String| async move {
        let mut connection =
            FaktoryConnection(BufReader::new(Box::new(TcpStream::connect(address).await.unwrap())));
        connection.read_reply().await;
        assert_eq!(connection.send_command(&format!("HELLO {hello}")).await, "+OK");
        connection
    };
    let mut worker_tasks = Vec::new();
    let (executed, mut executions) = tokio::sync::mpsc::unbounded_channel();
    for w in 0..4 {
        let mut worker = connect(format!("{{\"v\":2,\"wid\":\"w{w}\"}}")).await;
        let executed = executed.clone();
        worker_tasks.push(tokio::spawn(async move {
            loop {
                if let Some(jid) = worker.fetch().await {
                    executed.send(jid.clone()).unwrap();
                    assert_eq!(worker.ack(&jid).await, "+OK");
                }
            }
        }));
    }
    drop(executed);
    for n in 0..20 {
        for _ in 0..2 {
            let mut client = connect("{\"v\":2}".to_string()).await; // a new connection for each push
            assert_eq!(client.push("lodge", &format!("job-{n:05}"), &format!("key-{n}")).await, "+OK");
        }
    }
    let mut client = connect("{\"v\":2}".to_string()).await;
    let mut served = 0;
    for n in 0..20 {
        let jid = format!("job-{n:05}");
        let end = loop {
            match client.job_state(&jid).await {
                s if s == "enqueued" || s == "working" => tokio::time::advance(MILLISECOND).await,
                end => break end,
            }
        };
        assert!(["served", "refused", "failed"].contains(&end.as_str()), "{end}");
        served += usize::from(end == "served");
    }
    stop_until_closing(&phases).await;
    server.await.unwrap().unwrap();
    worker_tasks.iter().for_each(|w| w.abort());
    let mut executed_jids = BTreeSet::new();
    while let Some(jid) = executions.recv().await {
        assert!(executed_jids.insert(jid.clone()), "{jid} was executed twice");
    }
    assert!(served > 0 && executed_jids.len() >= served, "{served} of {executed_jids:?}");
}

/// A step of a random sequence; the flag selects one of two workers.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push(u8),
    Fetch(bool),
    Ack(bool),
    Fail(bool),
    Quiet(bool),
    Drop(bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let w = bool::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=2 => Step::Push(u8::arbitrary(g) % 6),
            3..=4 => Step::Fetch(w),
            5..=6 => Step::Ack(w),
            7 => Step::Fail(w),
            8 if bool::arbitrary(g) => Step::Quiet(w),
            8 => Step::Drop(w),
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

/// Expected state of a worker: the jobs that it holds, each with the end of its lease, and whether it drains.
#[derive(Default)]
struct Model {
    held: Vec<(String, tokio::time::Instant)>,
    draining: bool,
}

#[allow(clippy::too_many_lines, reason = "one scenario, step by step")]
async fn run_steps(is_unsafe: bool, steps: Vec<Step>) {
    let mut settings = common::settings(false, 1_000_000);
    if is_unsafe {
        settings["Profiles"][1]["Semantics"] = "unsafe".into();
    }
    let (counters, phases) = (Arc::new(Counters::default()), Phases::default());
    let config = common::faktory_config_with(settings);
    let node = Server::start(&config, 7, None, counters, phases.clone()).unwrap();
    let mut client = FaktoryConnection::connect_client(&node).await;
    let mut workers = Vec::new();
    for w in 0..2 {
        workers.push((
            FaktoryConnection::connect_worker(&node, &format!("w{w}-0")).await,
            Model::default(),
            0,
        ));
    }
    let mut accepted = BTreeMap::new();
    let mut fetched: BTreeMap<String, tokio::time::Instant> = BTreeMap::new();
    for step in steps {
        match step {
            Step::Push(n) => {
                let jid = format!("job-0000{n}");
                if client.push("lodge", &jid, &jid).await == "+OK" {
                    accepted.insert(jid, String::new());
                }
            }
            Step::Fetch(w) => {
                let (connection, model, _) = &mut workers[usize::from(w)];
                if let Some(jid) = connection.fetch().await {
                    assert!(!model.draining, "{jid} was sent to a draining worker");
                    assert!(accepted.contains_key(&jid));
                    let previous = fetched.insert(jid.clone(), tokio::time::Instant::now());
                    // A job that was fetched may have run; its record is kept for a minute after its end.
                    let may_run_again = previous.is_none_or(|at| at.elapsed() >= Duration::from_secs(60));
                    assert!(!is_unsafe || may_run_again, "{jid} of an unsafe class ran again");
                    let expiry = tokio::time::Instant::now() + Duration::from_secs(8);
                    model.held.push((jid.clone(), expiry));
                    let count_held = |m: &Model| m.held.iter().filter(|(j, _)| *j == jid).count();
                    let held: usize = workers.iter().map(|(_, m, _)| count_held(m)).sum();
                    assert_eq!(held, 1, "{jid} is leased twice");
                }
            }
            Step::Ack(w) => {
                let (connection, model, _) = &mut workers[usize::from(w)];
                if let Some((jid, expiry)) = model.held.pop() {
                    let reply = connection.ack(&jid).await;
                    if reply == "+OK" {
                        assert!(tokio::time::Instant::now() < expiry, "the lease of {jid} had expired");
                        assert_eq!(client.job_state(&jid).await, "served");
                    }
                    assert!(connection.ack(&jid).await.starts_with("-ERR"), "{jid} was acknowledged twice");
                }
            }
            Step::Fail(w) => {
                let (connection, model, _) = &mut workers[usize::from(w)];
                if let Some((jid, _)) = model.held.pop() {
                    let fail = format!("FAIL {{\"jid\":\"{jid}\",\"errtype\":\"E\",\"message\":\"m\"}}");
                    connection.send_command(&fail).await;
                }
            }
            Step::Quiet(w) => {
                let (connection, model, generation) = &mut workers[usize::from(w)];
                let wid = format!("w{}-{generation}", u8::from(w));
                connection
                    .send_command(&format!("BEAT {{\"wid\":\"{wid}\",\"current_state\":\"quiet\"}}"))
                    .await;
                model.draining = true;
            }
            Step::Drop(w) => {
                let generation = workers[usize::from(w)].2 + 1;
                let connection =
                    FaktoryConnection::connect_worker(&node, &format!("w{}-{generation}", u8::from(w))).await;
                workers[usize::from(w)] = (connection, Model::default(), generation);
            }
            Step::Wait(n) => sleep(Duration::from_millis(u64::from(n) * 20)).await,
        }
        for (jid, last_state) in &mut accepted {
            let state = client.job_state(jid).await;
            let is_final = ["served", "failed"].contains(&last_state.as_str());
            assert!(
                !is_final || *last_state == state || state.starts_with("-ERR"),
                "{jid}: {last_state} became {state}"
            );
            *last_state = state;
        }
    }
    sleep(Duration::from_secs(9)).await;
    for jid in accepted.keys() {
        let end = client.job_state(jid).await;
        assert!(!["enqueued", "working"].contains(&end.as_str()), "{jid} has no final state: {end}");
    }
}

#[test]
fn random_steps_keep_one_lease_and_one_final_state_per_job() {
    fn property(is_unsafe: bool, steps: Vec<Step>) -> bool {
        run_paused(run_steps(is_unsafe, steps))
    }
    seeded_quickcheck(60, 100).quickcheck(property as fn(bool, Vec<Step>) -> bool);
}
