//! Bytes of the platform's wires, as they are on real sockets: answers to clients, requests to workers and discovery,
//! probes and datagrams between nodes, compared with the files in `golden/platform`.
//!
//! What varies from run to run (date, port, the rest of a deadline, a clock) is replaced by a mark. To write the files
//! anew, run with `GOLDEN_WRITE=1`; a change of them is a change of the protocol.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{
    advance_until, begin_stop, request, start_node_with_worker, stop_until_closing, Client, PlatformNode,
    Worker, UP,
};
use rustix::net::{bind, socket_with, sockopt, AddressFamily, SocketFlags, SocketType};
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::Duration;
use tokio::time::advance;

const ID: &str = "9b1f03aa5c7e2d41";
/// Virtual time between two looks.
const STEP: Duration = Duration::from_millis(20);

/// What was seen, in order: a title, then the bytes with one line a line.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn add(&mut self, title: &str, bytes: &str) {
        self.0 += &format!("# {title}\n");
        for line in bytes.split_inclusive('\n') {
            self.0 += &format!("{}\n", masked(line).escape_debug());
        }
        self.0.push('\n');
    }

    async fn add_answer(&mut self, title: &str, client: &mut Client) {
        match client.read_answer().await {
            Some(got) => self.add(title, &(got.head + &got.body)),
            None => self.add(title, "(closed)"),
        }
    }

    /// Compares with the file, and shows the first line that differs.
    fn is_golden(&self, name: &str) {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/platform").join(name);
        if std::env::var_os("GOLDEN_WRITE").is_some() {
            std::fs::write(&file, &self.0).unwrap();
        }
        let golden = std::fs::read_to_string(&file).unwrap();
        let mut lines = golden.lines().zip(self.0.lines()).enumerate();
        if let Some((n, (want, got))) = lines.find(|(_, (want, got))| want != got) {
            panic!("{name}, line {}:\n golden: {want}\n    now: {got}", n + 1);
        }
        assert_eq!(golden.lines().count(), self.0.lines().count(), "{name}: lines");
        assert_eq!(golden, self.0, "{name}");
    }
}

/// A line with marks in place of what varies.
fn masked(line: &str) -> String {
    let end = line.trim_end_matches(['\r', '\n']).len();
    let (text, ending) = line.split_at(end);
    let marked = match text.split_once(": ") {
        Some((name, _)) if name.eq_ignore_ascii_case("date") => format!("{name}: <date>"),
        Some((name, value)) if name == "x-deadline" => {
            let whole = value.split_once('.').map_or(value, |(whole, _)| whole);
            let decimals = value.len() - whole.len() - 1;
            assert!(value.parse::<f64>().is_ok(), "{value}");
            format!("{name}: <seconds, {decimals} decimals>")
        }
        Some((name, value)) if name == "host" => {
            let (ip, port) = value.split_once(':').expect("a port");
            assert!(port.parse::<u16>().is_ok(), "{value}");
            format!("{name}: {ip}:<port>")
        }
        _ => text.to_string(),
    };
    marked + ending
}

async fn until_taken(node: &PlatformNode, n: u64) {
    advance_until("requests are taken", Duration::ZERO, || node.counters.requests_accepted.get() >= n).await;
}

#[tokio::test(start_paused = true)]
async fn answers_to_jobs_keep_their_bytes() {
    let mut seen = Transcript::default();
    let (worker, node, mut client) = start_node_with_worker().await;
    client.send_after_pause(&request("lodge", ID, 60.0, "{\"a\" : 1}")).await;
    worker.receive_request().await.complete("a \"result\" \u{fc}").await;
    seen.add_answer("served", &mut client).await;

    client.send_after_pause(&request("check", ID, 60.0, "")).await;
    let mut job = worker.receive_request().await;
    job.begin_response().await;
    job.send_update(json!({"state": "started"})).await;
    job.send_update(json!({"state": "running", "share": 0.5})).await;
    job.send_update(json!({"state": "done", "result": {"sum": [1, 2.50]}})).await;
    seen.add_answer("served, with progress and a result that is no string", &mut client).await;

    let mut client = Client::connect(&node).await;
    let chunks = request("check", ID, 60.0, "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
    client.send_after_pause(&format!("{chunks}3\r\nabc\r\n0\r\n\r\n")).await;
    worker.receive_request().await.complete("").await;
    seen.add_answer("served, of a chunked request and with an empty result", &mut client).await;
    seen.add_answer("and after that", &mut client).await;

    let mut client = Client::connect(&node).await;
    let old = request("check", ID, 60.0, "").replace("HTTP/1.1", "HTTP/1.0");
    client.send_after_pause(&old).await;
    worker.receive_request().await.complete("r").await;
    seen.add_answer("served, of HTTP/1.0", &mut client).await;

    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("lodge", ID, 0.2, "")).await;
    let _job = worker.receive_request().await;
    advance(Duration::from_millis(200)).await;
    seen.add_answer("no time left for another attempt", &mut client).await;
    seen.is_golden("answers_to_jobs.txt");
}

#[tokio::test(start_paused = true)]
async fn answers_to_failed_and_refused_jobs_keep_their_bytes() {
    let mut seen = Transcript::default();
    let worker = Worker::start().await;
    let mut settings = common::settings(true, 60_000_000);
    settings["Profiles"][0]["Semantics"] = "unsafe".into();
    let node =
        PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "")).await;
    let mut job = worker.receive_request().await;
    job.begin_response().await;
    job.send_update(json!({"state": "failed"})).await;
    seen.add_answer("failed, and it must not run twice", &mut client).await;

    let (worker, node, mut client) = start_node_with_worker().await;
    client.send_after_pause(&request("check", ID, 0.2, "")).await;
    let mut job = worker.receive_request().await;
    job.begin_response().await;
    advance_until("it runs", Duration::ZERO, || node.counters.acknowledged.get() == 1).await;
    advance(Duration::from_millis(200)).await;
    seen.add_answer("its deadline has passed while it ran", &mut client).await;

    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "").replace("60.000", "0.0000001")).await;
    seen.add_answer("less than a microsecond is left", &mut client).await;

    let node = PlatformNode::start_with_memory(vec![worker.list_entry("s-1", "in_service")], 1024, 1).await;
    let body = "x".repeat(64 * 1024);
    let mut large = Vec::new();
    for n in 0..4 {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, &body)).await;
        large.push(client);
    }
    until_taken(&node, 4).await;
    let mut beyond = Client::connect(&node).await;
    beyond.send_after_pause(&request("check", "9b1f03aa5c7e2d45", 60.0, "x")).await;
    seen.add_answer("no memory for its body", &mut beyond).await;

    let node = PlatformNode::start(vec![worker.list_entry("s-1", "in_service")], 70).await;
    let mut clients = Vec::new();
    for n in 0..4 {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "x")).await;
        clients.push(client);
    }
    until_taken(&node, 4).await;
    let mut beyond = Client::connect(&node).await;
    beyond.send_after_pause(&request("check", "9b1f03aa5c7e2d45", 60.0, "x")).await;
    seen.add_answer("no descriptor for its connection", &mut beyond).await;
    seen.add_answer("and after that", &mut beyond).await;
    let mut beyond = Client::connect(&node).await;
    beyond.send_after_pause("nonsense\r\n\r\n").await;
    seen.add_answer("no descriptor, and it is no HTTP", &mut beyond).await;
    seen.is_golden("answers_to_failed_and_refused_jobs.txt");
}

/// Each malformed request, by what is wrong with it.
fn malformed_requests() -> Vec<(&'static str, String)> {
    let good = request("lodge", ID, 60.0, "");
    let without = |line: &str| good.replace(&format!("{line}\r\n"), "");
    let with = |line: &str| good.replace("Content-Length", &format!("{line}\r\nContent-Length"));
    let unknown = good.replace("X-Class: lodge", "X-Class: render");
    vec![
        ("an unknown class in the header", unknown.clone()),
        ("another class in the header", good.replace("X-Class: lodge", "X-Class: check")),
        ("an unknown class in both", unknown.replace("/lodge", "/render")),
        ("an unknown tenant", good.replace("sava", "drava")),
        ("no tenant", without("X-Tenant: sava")),
        ("no id", without("X-Request-Id: 9b1f03aa5c7e2d41")),
        ("an empty id", good.replace(ID, "")),
        ("a long id", good.replace(ID, &"7".repeat(257))),
        ("two ids", with("X-Request-Id: 9b1f03aa5c7e2d42")),
        ("no deadline", without("X-Deadline: 60.000")),
        ("a deadline that is no number", good.replace("60.000", "soon")),
        ("a negative deadline", good.replace("60.000", "-1")),
        ("a deadline of more than a day", good.replace("60.000", "86400.001")),
        ("no key", without("Idempotency-Key: k1")),
        ("an unknown path", good.replace("/lodge", "/nowhere")),
        ("an unknown path and no class", without("X-Class: lodge").replace("/lodge", "/nowhere")),
        ("another method", good.replace("POST", "GET")),
        ("another method and an unknown path", good.replace("POST /lodge", "PUT /nowhere")),
        ("the state by another method", UP.replace("GET", "POST")),
        ("a long body", request("check", ID, 60.0, &"x".repeat(64 * 1024 + 1))),
        (
            "a long body in chunks",
            good.replace("Content-Length: 0", "Transfer-Encoding: chunked")
                + &format!("10001\r\n{}\r\n0\r\n\r\n", "x".repeat(64 * 1024 + 1)),
        ),
        (
            "a malformed chunk",
            good.replace("Content-Length: 0", "Transfer-Encoding: chunked") + "zz\r\nabc\r\n0\r\n\r\n",
        ),
        (
            "both framings",
            good.replace("Content-Length: 0", "Content-Length: 5\r\nTransfer-Encoding: chunked")
                + "0\r\n\r\n",
        ),
        ("a length that is no number", good.replace("Content-Length: 0", "Content-Length: x")),
        ("no HTTP", "nonsense\r\n\r\n".to_string()),
        ("another version of HTTP", good.replace("HTTP/1.1", "HTTP/3.7")),
        ("a long head", with(&format!("X-Long: {}", "x".repeat(20_000)))),
    ]
}

#[tokio::test(start_paused = true)]
async fn answers_to_malformed_requests_keep_their_bytes() {
    let mut seen = Transcript::default();
    let (worker, node, _) = start_node_with_worker().await;
    for (title, text) in malformed_requests() {
        let mut client = Client::connect(&node).await;
        client.send_after_pause(&text).await;
        seen.add_answer(title, &mut client).await;
    }
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let _job = worker.receive_request().await;
    let mut second = Client::connect(&node).await;
    second.send_after_pause(&request("check", ID, 60.0, "x")).await;
    seen.add_answer("an id that is open", &mut second).await;

    let mut slow = Client::connect(&node).await;
    slow.send_after_pause(
        &request("check", "9b1f03aa5c7e2d42", 60.0, "x").replace("Content-Length: 1", "Content-Length: 2"),
    )
    .await;
    advance_until("it is accepted", Duration::ZERO, || node.counters.connections_accepted.get() >= 30).await;
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
    advance(Duration::from_millis(2500)).await;
    seen.add_answer("a body that does not come", &mut slow).await;
    seen.is_golden("answers_to_malformed_requests.txt");
}

#[tokio::test(start_paused = true)]
async fn answers_about_the_state_keep_their_bytes_in_each_phase() {
    let mut seen = Transcript::default();
    let (worker, node, mut client) = start_node_with_worker().await;
    client.send_after_pause(UP).await;
    seen.add_answer("serving", &mut client).await;

    let mut fresh = Client::connect(&node).await;
    let mut job = Client::connect(&node).await;
    advance_until("they are accepted", Duration::ZERO, || node.counters.connections_accepted.get() == 3)
        .await;
    node.phases.drain();
    fresh.send_after_pause(UP).await;
    seen.add_answer("draining", &mut fresh).await;
    seen.add_answer("and after that", &mut fresh).await;
    job.send_after_pause(&request("check", ID, 60.0, "")).await;
    worker.receive_request().await.complete("r").await;
    seen.add_answer("a job while draining", &mut job).await;
    seen.add_answer("and after that", &mut job).await;
    assert!(node.phases.resume());

    let mut fresh = Client::connect(&node).await;
    advance_until("it is accepted", Duration::ZERO, || node.counters.connections_accepted.get() == 4).await;
    let before = node.phases.hand_over();
    fresh.send_after_pause(UP).await;
    seen.add_answer("handed over", &mut fresh).await;
    node.phases.undo_hand_over(before);

    let mut fresh = Client::connect(&node).await;
    let mut late = Client::connect(&node).await;
    advance_until("they are accepted", Duration::ZERO, || node.counters.connections_accepted.get() == 6)
        .await;
    begin_stop(&node.phases).await;
    fresh.send_after_pause(UP).await;
    seen.add_answer("stopping", &mut fresh).await;
    stop_until_closing(&node.phases).await;
    fresh.send_after_pause(UP).await;
    seen.add_answer("and after that", &mut fresh).await;
    late.send_after_pause(UP).await;
    seen.add_answer("closing", &mut late).await;
    seen.is_golden("answers_about_the_state.txt");
}

#[tokio::test(start_paused = true)]
async fn requests_to_workers_keep_their_bytes() {
    let mut seen = Transcript::default();
    let (worker, _node, mut client) = start_node_with_worker().await;
    let all = request("lodge", ID, 60.0, "{\"a\" : 1}");
    let more =
        "X-Cost-Hint: 900\r\nX-Retry: 1\r\nX-Extras: slots=2,memory=1.5\r\nX-Other: o\r\nContent-Length";
    client.send_after_pause(&all.replace("Content-Length", more)).await;
    let mut job = worker.receive_request().await;
    seen.add("a job with a key", &(job.head.clone() + std::str::from_utf8(&job.body).unwrap()));
    job.complete("r").await;
    assert_eq!(client.read_answer().await.unwrap().status, 200);

    let (worker, node, mut client) = start_node_with_worker().await;
    let plain = request("check", "UPPER lower", 60.0, "").replace("?user=00ff&x=a%20b", "");
    client.send_after_pause(&plain).await;
    let mut job = worker.receive_request().await;
    seen.add("a job without a key or a body", &(job.head.clone() + std::str::from_utf8(&job.body).unwrap()));
    // Its connection is closed, so that the next attempt comes on a new one.
    job.write("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").await;
    drop(job);
    let taken = worker.receive_request();
    tokio::pin!(taken);
    let again = loop {
        assert!(node.counters.shed.get() == 0, "it has attempts left");
        tokio::select! {
            biased;
            new = taken.as_mut() => break new,
            () = tokio::task::yield_now() => advance(STEP).await,
        }
    };
    seen.add("its next attempt", &(again.head.clone() + std::str::from_utf8(&again.body).unwrap()));
    seen.is_golden("requests_to_workers.txt");
}

#[tokio::test(start_paused = true)]
async fn probes_keep_their_bytes() {
    let mut seen = Transcript::default();
    let mut settings = common::settings(true, 60_000_000);
    settings["FamilyInfo"]["TellsStart"] = false.into();
    settings["Limits"]["Probes"] = true.into();
    let worker = Worker::start().await;
    let node =
        PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
    let mut client = Client::connect(&node).await;
    client.send_after_pause(&request("check", ID, 60.0, "x")).await;
    let probe = worker.receive_request().await;
    seen.add("a probe", &(probe.head.clone() + std::str::from_utf8(&probe.body).unwrap()));
    seen.is_golden("probes.txt");
}

#[tokio::test(start_paused = true)]
async fn calls_to_discovery_keep_their_bytes() {
    let mut seen = Transcript::default();
    let worker = Worker::start().await;
    for how in ["ask", "push"] {
        let mut settings = common::settings(true, 60_000_000);
        settings["Discovery"] = how.into();
        let mut node =
            PlatformNode::start_with_settings(settings, vec![worker.list_entry("s-1", "in_service")]).await;
        seen.add(&format!("{how}: a watch since the known list"), &node.next_discovery_call().await);
        node.answer_discovery_call(json!({"revision": 7, "complete": false, "members": []}));
        seen.add(&format!("{how}: a watch after an answer"), &node.next_discovery_call().await);
        node.answer_discovery_call("[]");
        seen.add(&format!("{how}: the whole list after a bad one"), &node.next_discovery_call().await);
        node.answer_discovery_call(
            json!({"revision": 9, "complete": true, "members": [worker.list_entry("s-1", "in_service")]}),
        );
        seen.add(&format!("{how}: a watch after the whole list"), &node.next_discovery_call().await);
        let mut calls = node.move_discovery().await;
        seen.add(&format!("{how}: the first call after a move"), &calls.recv().await.unwrap());
    }
    seen.is_golden("calls_to_discovery.txt");
}

/// A socket on an address that the node may bind too.
fn shared_socket() -> UdpSocket {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(AddressFamily::INET, SocketType::DGRAM, flags, None).unwrap();
    sockopt::set_socket_reuseaddr(&socket, true).unwrap();
    bind(&socket, &"127.0.0.1:0".parse::<SocketAddr>().unwrap()).unwrap();
    UdpSocket::from(socket)
}

#[tokio::test(start_paused = true)]
async fn datagrams_between_nodes_keep_their_bytes() {
    let (own, other, worker) = (shared_socket(), shared_socket(), Worker::start().await);
    let mut settings = common::settings(true, 60_000_000);
    settings["Limits"]["Peers"] = true.into();
    settings["Siblings"] = 2.into();
    settings["Ordinal"] = 0.into();
    let at = |s: &UdpSocket| s.local_addr().unwrap().to_string();
    let _node = PlatformNode::start_with_config(json!({
        "settings": settings, "known": [worker.list_entry("s-1", "in_service")],
        "peer_listen": at(&own), "peers": [at(&own), at(&other)],
    }))
    .await;
    let (mut buffer, mut length) = ([0; 2048], 0);
    advance_until("it sends", STEP, || {
        length = other.recv_from(&mut buffer).map_or(0, |(n, _)| n);
        length > 0
    })
    .await;
    let hex = |bytes: &[u8]| bytes.iter().map(|b| format!("{b:02x}")).collect::<String>();
    let mut seen = Transcript::default();
    let (head, rates) = (hex(&buffer[..5]), hex(&buffer[9..length]));
    seen.add("version, tenants, time in ms, rates", &format!("{head} <4 bytes> {rates}"));
    seen.is_golden("datagrams_between_nodes.txt");
}
