//! One answer of one worker never ends: it tells progress without a pause.

#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const TENANT: &str = "primorje-spedicija";
/// `memory_mb` in the node's configuration.
const LIMIT_MB: u64 = 192;
/// The case ends here, so that it takes no more of the machine's memory.
const STOP_MB: u64 = 6_000;
const DEADLINE_S: f64 = 7.5;

fn main() {
    let case = Case::start();
    let workers = Workers::new(&case, ms(40_000));
    let trouble = case.trouble;
    let mut entries = Vec::new();
    for id in ["s-1", "s-2", "s-3"] {
        // The second request at s-1 is the one whose answer never ends.
        let spoilt = id == "s-1";
        let work = move |n: usize| if trouble && spoilt && n == 1 { Work::NeverEnd } else { Work::Run(ms(200)) };
        entries.push(entry(id, workers.start(id, "all", work), "ljubljana", 0));
    }
    // Only s-1 is listed at first, so that the request of the test's choice is the one that goes there.
    let discovery = Discovery::start("discovery", 41, vec![entries.remove(0)], ms(0), &case.record);
    let settings = Settings {
        zones: "\"ljubljana\"",
        discovery: "push",
        classes: &[CHECK, LODGE],
        drain_grace_ms: 500,
        max_attempts: 3,
    };
    let node = case.node("n1", discovery.address, &discovery.list(None), &settings.json());
    thread::sleep(ms(300));
    let send = |id: &str| {
        case.client_sends(id);
        let mut client = TcpStream::connect(node.listen).expect("the node accepts");
        let _ = client.write_all(job("check", id, TENANT, None, DEADLINE_S, "draft").as_bytes());
        (id.to_string(), client, Instant::now())
    };
    let (_, mut first, _) = send("first");
    if !read_message(&mut first, ms(8_000)).is_ok_and(|a| a.status() == 200) {
        case.end(NOT_RUN, "the node does not serve");
    }
    let record = case.record.clone();
    let (id, mut client, sent_at) = send("spoilt");
    let waiting = thread::spawn(move || {
        let answer = read_message(&mut client, Duration::from_secs(60));
        let after = sent_at.elapsed().as_secs_f64();
        match &answer {
            Ok(answer) => record.line(&format!("client: {id} answered {} after {after:.3} s", answer.status())),
            Err(e) => record.line(&format!("client: {id} got no answer in {after:.3} s: {e}")),
        }
        answer.ok().map(|_| after)
    });
    thread::sleep(ms(100));
    for entry in entries {
        discovery.add(entry);
    }
    let (mut peak, mut refused, mut others) = (0, 0, 0);
    for number in 0..24 {
        for _ in 0..10 {
            thread::sleep(ms(50));
            peak = peak.max(node.memory_mb().unwrap_or(0));
            if peak > STOP_MB {
                case.end(BROKEN, &format!("the node held {peak} MB with a limit of {LIMIT_MB} MB, and more to come"));
            }
        }
        if node.has_ended() {
            case.end(BROKEN, "the node has ended");
        }
        if number < 16 && number % 2 == 0 {
            let (id, mut client, sent_at) = send(&format!("other-{number}"));
            let status = read_message(&mut client, ms(9_000)).map_or(0, |a| a.status());
            others += 1;
            refused += usize::from(status != 200);
            case.record.line(&format!("client: {id} answered {status} after {:.3} s", sent_at.elapsed().as_secs_f64()));
        }
        case.record.line(&format!("platform: the node holds {} MB of {LIMIT_MB}", node.memory_mb().unwrap_or(0)));
    }
    let after = waiting.join().ok().flatten();
    case.record.line(&format!(
        "peak {peak} MB; the spoilt request was answered after {after:?} s; {refused} of {others} others were not served"
    ));
    if peak > LIMIT_MB {
        case.end(BROKEN, &format!("the node held {peak} MB with a limit of {LIMIT_MB} MB: it is killed"));
    }
    // 0.5 s after its time a request without an answer is lost.
    if after.is_none_or(|after| after > DEADLINE_S + 0.5 + 0.05) {
        case.end(BROKEN, &format!("the request had its answer after {after:?} s, with a deadline of {DEADLINE_S} s"));
    }
    case.end(HELD, &format!("at most {peak} MB, and every request was answered in time"));
}
