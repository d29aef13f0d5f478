//! A planned restart after a new configuration that has dropped the class with the longest deadline.

#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Instant;

const TENANT: &str = "primorje-spedicija";
const CHECK_MS: u64 = 1_200;

fn main() {
    let case = Case::start();
    let workers = Workers::new(&case, ms(6_000));
    let run = ms(900);
    let mut entries = Vec::new();
    for id in ["s-1", "s-2"] {
        entries.push(entry(id, workers.start(id, "all", move |_| Work::Run(run)), "ljubljana", 0));
    }
    let discovery = Discovery::start("discovery", 41, entries, ms(0), &case.record);
    let check = || Class { name: "check", deadline_ms: CHECK_MS, semantics: "safe", group: "all", window_ms: 5_000 };
    let lodge = Class { name: "lodge", deadline_ms: 3_000, semantics: "keyed", group: "all", window_ms: 6_000 };
    let settings = |classes: &[Class]| {
        Settings { zones: "\"ljubljana\"", discovery: "push", classes, drain_grace_ms: 500, max_attempts: 3 }.json()
    };
    let (with_lodge, without_lodge) = (settings(&[check(), lodge]), settings(&[check()]));
    let first = if case.trouble { &with_lodge } else { &without_lodge };
    let node = case.node("n1", discovery.address, &discovery.list(None), first);
    thread::sleep(ms(1_500));
    if case.trouble {
        case.record.line("the class lodge is dropped from the configuration");
        node.write_config(discovery.address, &discovery.list(None), &without_lodge);
        node.signal("HUP");
    }
    // Longer than the deadline of lodge: no job of that class can be open any more.
    thread::sleep(ms(4_500));

    let stopped_at = Instant::now();
    let at = |n: u64| thread::sleep((stopped_at + ms(n)).saturating_duration_since(Instant::now()));
    node.signal("TERM");
    at(300);
    let mut client = TcpStream::connect(node.listen).expect("the node accepts 0.3 s after SIGTERM");
    let _ = client.set_nodelay(true);
    let id = "slow-writer";
    case.client_sends(id);
    let text = job("check", id, TENANT, None, CHECK_MS as f64 / 1e3, "draft");
    let (head, rest) = text.split_at(60);
    case.record.line("client: connected 0.3 s after SIGTERM, writes the first part of its request");
    let _ = client.write_all(head.as_bytes());
    at(1_200);
    let _ = client.write_all(rest.as_bytes());
    case.record.line("client: last byte of the request written 1.2 s after SIGTERM");
    // SIGKILL: the longest deadline of the configuration in force, and 0.7 s, and 50 ms.
    let killed_at = CHECK_MS + 700 + 50;
    let answer = read_message(&mut client, (stopped_at + ms(killed_at)).saturating_duration_since(Instant::now()));
    match &answer {
        Ok(answer) => {
            let after = stopped_at.elapsed().as_secs_f64();
            case.record.line(&format!("client: answered {} {:?} {after:.3} s after SIGTERM", answer.first, answer.text()));
        }
        Err(e) => case.record.line(&format!("client: no answer by the time of SIGKILL: {e}")),
    }
    if node.has_ended() {
        case.record.line("the node has ended by itself");
    } else {
        node.signal("KILL");
    }
    if answer.is_ok() {
        case.end(HELD, "the request that came more than 0.7 s after SIGTERM was answered before SIGKILL");
    }
    let late = read_message(&mut client, ms(3_000));
    case.record.line(&format!("client: after SIGKILL: {}", late.map_or_else(|e| e.to_string(), |m| m.first)));
    case.end(BROKEN, "a request that came 1.2 s after SIGTERM had no answer when SIGKILL came");
}
