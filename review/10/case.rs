//! Faktory: a client reconnects and pushes the same lodge again while the only worker drains.

#[path = "../stand-ins-2/common.rs"]
mod common;
use common::*;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// DeadlineUs of lodge in the deploy file.
const DEADLINE: Duration = Duration::from_secs(25);

/// A connection of the Faktory work protocol, version 2.
struct Faktory {
    name: &'static str,
    stream: TcpStream,
    reader: BufReader<TcpStream>,
    record: Record,
}

impl Faktory {
    fn connect(name: &'static str, address: SocketAddr, wid: Option<&str>, record: &Record) -> Option<Faktory> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(ms(10_000))).ok()?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut faktory = Faktory { name, stream, reader, record: record.clone() };
        faktory.reply()?;
        let wid = wid.map_or(String::new(), |wid| format!(",\"wid\":\"{wid}\",\"hostname\":\"h\",\"pid\":1,\"labels\":[]"));
        (faktory.call(&format!("HELLO {{\"v\":2{wid}}}"))? == "+OK").then_some(faktory)
    }

    fn reply(&mut self) -> Option<String> {
        let mut line = String::new();
        self.reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let line = line.trim_end().to_string();
        let Some(length) = line.strip_prefix('$') else { return Some(line) };
        let Ok(length) = length.parse::<usize>() else { return Some(line) }; // $-1
        let mut bytes = vec![0; length + 2];
        self.reader.read_exact(&mut bytes).ok()?;
        Some(String::from_utf8_lossy(&bytes[..length]).into_owned())
    }

    fn call(&mut self, command: &str) -> Option<String> {
        self.stream.write_all(format!("{command}\r\n").as_bytes()).ok()?;
        let reply = self.reply();
        self.record.line(&format!("{}: {command} -> {}", self.name, reply.as_deref().unwrap_or("no reply")));
        reply
    }

    fn push(&mut self, jid: &str, key: &str) -> Option<String> {
        self.call(&format!(
            "PUSH {{\"jid\":\"{jid}\",\"jobtype\":\"lodge\",\"args\":[],\"queue\":\"lodge\",\
             \"custom\":{{\"tenant\":\"primorje-spedicija\",\"key\":\"{key}\"}}}}"
        ))
    }

    fn track(&mut self, jid: &str) -> String {
        self.call(&format!("TRACK GET {jid}")).unwrap_or_default()
    }
}

fn is_final(state: &str) -> bool {
    state.contains("\"answer\"")
}

fn main() {
    let case = Case::start();
    let address = free_address();
    let file = case.temp.join("faktory.toml");
    let text = fs::read_to_string(case.root.join("deploy/faktory.toml")).expect("the front's deploy file");
    fs::write(&file, text.replace("127.0.0.1:7419", &address.to_string())).expect("the front's file");
    case.program("faktory", &format!("--faktory {}", file.display()));
    let until = Instant::now() + ms(10_000);
    while TcpStream::connect(address).is_err() {
        if Instant::now() > until {
            case.end(NOT_RUN, "the front does not listen");
        }
        thread::sleep(ms(20));
    }
    let connect = |name, wid| {
        Faktory::connect(name, address, wid, &case.record).unwrap_or_else(|| case.end(NOT_RUN, "no session"))
    };

    // The worker fetches a job, and then starts draining.
    let mut worker = connect("worker", Some("worker-0001"));
    let mut other = connect("other client", None);
    other.push("other-job-1", "declaration-0");
    let fetched = worker.call("FETCH lodge").unwrap_or_default();
    worker.call("BEAT {\"wid\":\"worker-0001\",\"current_state\":\"quiet\"}");
    if !fetched.contains("other-job-1") {
        case.end(NOT_RUN, "the worker got no job");
    }

    // A client pushes a lodge and loses its connection; it reconnects and pushes the same lodge again.
    let first_jid = "first-push-1";
    let mut first = connect("client, first connection", None);
    first.push(first_jid, "declaration-1");
    drop(first);
    let (second_jid, mut second) = ("second-push-1", connect("client, second connection", None));
    let taken = case.trouble && second.push(second_jid, "declaration-1").as_deref() == Some("+OK");
    let pushed_at = Instant::now();

    // Another part of the client's program waits for the first push, and pushes it again once it is refused.
    let mut waiting = connect("client, third connection", None);
    let answer = loop {
        let state = waiting.track(first_jid);
        if is_final(&state) || pushed_at.elapsed() > DEADLINE {
            break state;
        }
        thread::sleep(ms(50));
    };
    if !is_final(&answer) {
        case.end(BROKEN, "the first push had no final answer");
    }
    if answer.contains("refused") {
        waiting.push(first_jid, "declaration-1");
    }
    worker.call("ACK {\"jid\":\"other-job-1\"}");

    if !case.trouble {
        case.end(HELD, "the first push had its final answer");
    }
    if !taken {
        case.end(HELD, "the second push was not taken");
    }
    // The second connection asks for its push every 3 s, until the client gives up.
    while pushed_at.elapsed() < DEADLINE {
        let state = second.track(second_jid);
        if is_final(&state) {
            case.end(HELD, &format!("the second push had its final answer: {state}"));
        }
        thread::sleep(ms(3_000));
    }
    case.end(BROKEN, "the second push was taken with +OK and had no final answer before its client gave up");
}
