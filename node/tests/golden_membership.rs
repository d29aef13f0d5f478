//! What operators read of a node's view of the fleet, recorded once: the status as `GET /fleet` returns it, the text
//! that `molevale fleet show` makes of it, and the counters.
//!
//! `GOLDEN_RECORD=1` writes the files anew.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use membership::Status;
use molevale::counters::{Counters, ResourceUsage};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use testbed::cluster::{Cluster, Spec};
use testbed::process::call;

fn golden(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/membership").join(name)
}

fn assert_golden(name: &str, text: &str) {
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(golden(name), text).unwrap();
    }
    assert_eq!(text, std::fs::read_to_string(golden(name)).unwrap(), "{name}");
}

/// Statuses: of a fleet with a member in each status, of a node that has heard of nobody, and of one that yielded.
const STATUSES: [&str; 3] = ["status.json", "status_alone.json", "status_yielded.json"];

#[test]
fn a_status_keeps_its_keys_their_order_and_its_values() {
    for name in STATUSES {
        let text = std::fs::read_to_string(golden(name)).unwrap();
        let status: Status = serde_json::from_str(&text).unwrap();
        assert_eq!(serde_json::to_string(&status).unwrap(), text.trim_end(), "{name}");
    }
}

/// A stand-in for a node's management address, which answers one call with this text.
fn answer_once(status: u16, text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            socket.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        assert!(head.starts_with(b"GET /fleet HTTP/1.1\r\n"), "{}", String::from_utf8_lossy(&head));
        let length = text.len();
        let answer =
            format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{text}");
        socket.write_all(answer.as_bytes()).unwrap();
    });
    address
}

/// Exit code, output and error output of the command; the address is replaced by `ADDRESS`.
fn show(address: SocketAddr, arguments: &[&str]) -> String {
    let out = Command::new(env!("CARGO_BIN_EXE_molevale"))
        .args(["fleet", "show", &address.to_string()])
        .args(arguments)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap().replace(&address.to_string(), "ADDRESS");
    format!("exit {:?}\n{}---\n{}", out.status.code(), text(out.stdout), text(out.stderr))
}

#[test]
fn fleet_show_prints_the_recorded_text() {
    for name in STATUSES {
        let status = std::fs::read_to_string(golden(name)).unwrap();
        let shown = show(answer_once(200, status.clone()), &[]);
        assert_golden(&name.replace(".json", ".txt"), &shown);
        let json = show(answer_once(200, status.clone()), &["--json"]);
        assert_eq!(json, format!("exit Some(0)\n{status}---\n"), "{name}");
    }
    assert_golden("refused.txt", &show(answer_once(404, "this node talks to no other\n".into()), &[]));
    assert_golden("unreadable.txt", &show(answer_once(200, "{}".into()), &[]));
}

/// The keys of a value, in order, each with the type of what it holds; of a list, its first element.
fn shape(value: &Value, path: &str, lines: &mut String) {
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(key, value)| shape(value, &format!("{path}.{key}"), lines))
        }
        Value::Array(items) => items.iter().take(1).for_each(|item| shape(item, &format!("{path}[]"), lines)),
        Value::Null => *lines += &format!("{path} null\n"),
        Value::Bool(_) => *lines += &format!("{path} bool\n"),
        Value::Number(_) => *lines += &format!("{path} number\n"),
        Value::String(_) => *lines += &format!("{path} string\n"),
    }
}

/// The keys of a JSON text in the order in which they are written.
fn keys_in_order(text: &str) -> Vec<&str> {
    let parts: Vec<&str> = text.split('"').collect();
    parts.windows(2).filter(|pair| pair[1].starts_with(':')).map(|pair| pair[0]).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_running_node_serves_a_status_of_the_recorded_shape() {
    let cluster = Cluster::start(Spec::new(env!("CARGO_BIN_EXE_molevale"), 1)).await.unwrap();
    cluster.settled(&Cluster::expected_views([0]), Duration::from_secs(60)).await.unwrap();
    let at = cluster.nodes[0].as_ref().unwrap().management;
    let (code, body) = call(at, "GET", "/fleet").await.unwrap();
    assert_eq!(code, 200);
    let text = String::from_utf8(body.to_vec()).unwrap();
    let mut lines = format!("{}\n", keys_in_order(&text).join(" "));
    shape(&serde_json::from_str(&text).unwrap(), "", &mut lines);
    assert_golden("served_shape.txt", &lines);
}

/// The line that is logged on SIGUSR1 and at the end of a process.
#[test]
fn counters_keep_their_names_and_order() {
    let counters = Counters::default();
    let before = counters.to_string();
    counters.connections_accepted.add();
    (0..2).for_each(|_| counters.served.add());
    (0..3).for_each(|_| counters.endpoint_lists_applied.add());
    counters.open_requests.set(4);
    counters.in_flight.set(5);
    counters.timers.set(6);
    counters.set_usage_source(|| ResourceUsage {
        client_connections: 7,
        busy_clients: 8,
        attempt_connections: 9,
        idle_connections: 10,
        wire_ids: 11,
        bodies_kib: 12,
    });
    assert_golden("counters.txt", &format!("{before}\n{counters}\n"));
}
