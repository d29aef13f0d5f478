//! Stand-ins of the platform for the cases of this review: discovery, workers, clients and a node under test. Only the
//! standard library is used. All addresses are on loopback.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// `record.txt` of the case: what was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.0 .1), "{at:8.3} {text}");
    }
}

/// One run of a case.
pub struct Case {
    pub record: Record,
    pub root: PathBuf,
    pub temp: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    nodes: Arc<Mutex<Vec<Child>>>,
    /// Ids that clients have sent: a worker answers 400 to any other.
    pub sent_ids: Arc<Mutex<HashSet<String>>>,
}

impl Case {
    pub fn start() -> Case {
        let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
        let folder = fs::canonicalize(folder).expect("the folder of the case");
        let root = folder.parent().and_then(Path::parent).expect("the repository").to_path_buf();
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        let record = Record(Arc::new((Instant::now(), Mutex::new(file))));
        let temp = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("trouble: {trouble}"));
        let case = Case { record, root, temp, trouble, nodes: Arc::default(), sent_ids: Arc::default() };
        if !case.root.join("target/release/molevale").exists() {
            case.end(NOT_RUN, "target/release/molevale is not built");
        }
        let (nodes, record, temp) = (case.nodes.clone(), case.record.clone(), case.temp.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(110));
            record.line("could not run: time is up");
            finish(&nodes, &temp, NOT_RUN)
        });
        case
    }

    /// Ends all processes of the case, and the case.
    pub fn end(&self, code: i32, verdict: &str) -> ! {
        let word = ["rule held", "RULE BROKEN", "could not run"][code as usize];
        self.record.line(&format!("{word}: {verdict}"));
        println!("{word}: {verdict}");
        finish(&self.nodes, &self.temp, code)
    }

    /// Starts a node with the `run` command of the deploy file. Waits until it is ready.
    pub fn node(&self, name: &str, discovery: SocketAddr, known: &str, settings: &str) -> Node {
        let (listen, management) = (free_address(), free_address());
        let config = self.temp.join(format!("{name}.json"));
        let node = Node {
            name: name.into(),
            listen,
            management,
            config,
            pid: 0,
            record: self.record.clone(),
            nodes: self.nodes.clone(),
        };
        node.write_config(discovery, known, settings);
        let child = self
            .command(name, "")
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("RELAY_MANAGEMENT", management.to_string())
            .env("RELAY_CONFIG", &node.config)
            .spawn()
            .expect("the node starts");
        let node = Node { pid: child.id(), ..node };
        lock(&self.nodes).push(child);
        self.record.line(&format!("node {name}: started, clients at {listen}"));
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(listen) {
                let request = b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
                let answered = stream.write_all(request).is_ok();
                if answered && read_message(&mut stream, ms(1000)).is_ok_and(|m| m.status() == 200) {
                    self.record.line(&format!("node {name}: ready"));
                    return node;
                }
            }
            thread::sleep(ms(20));
        }
        self.end(NOT_RUN, "the node is not ready in 30 s")
    }

    /// The `run` command of the deploy file, with these arguments.
    fn command(&self, name: &str, arguments: &str) -> Command {
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run in the deploy file");
        let tmp = self.temp.join(format!("{name}-tmp"));
        fs::create_dir_all(&tmp).expect("TMPDIR of the program");
        let log = File::create(self.temp.join(format!("{name}.log"))).expect("log of the program");
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &format!("{} {arguments}", run.trim().trim_matches('"'))])
            .current_dir(&self.root)
            .env_remove("RELAY_CONFIG")
            .env("TMPDIR", &tmp)
            .env("MOLEVALE_LOG", std::env::var("MOLEVALE_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command
    }

    /// Starts the program with these arguments, without the platform's front.
    pub fn program(&self, name: &str, arguments: &str) {
        let child = self.command(name, arguments).spawn().expect("the program starts");
        self.record.line(&format!("{name}: started"));
        lock(&self.nodes).push(child);
    }

    pub fn client_sends(&self, id: &str) {
        lock(&self.sent_ids).insert(id.to_string());
    }

    /// Appends the node's own log to the record.
    pub fn copy_log(&self, name: &str) {
        if let Ok(log) = fs::read_to_string(self.temp.join(format!("{name}.log"))) {
            for line in log.lines().take(400) {
                self.record.line(&format!("log of {name}: {line}"));
            }
        }
    }
}

fn finish(nodes: &Mutex<Vec<Child>>, temp: &Path, code: i32) -> ! {
    for child in lock(nodes).iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(temp);
    std::process::exit(code)
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// A node under test.
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub management: SocketAddr,
    config: PathBuf,
    pid: u32,
    record: Record,
    nodes: Arc<Mutex<Vec<Child>>>,
}

impl Node {
    /// Writes the node's configuration; a file of the same name is replaced at once.
    pub fn write_config(&self, discovery: SocketAddr, known: &str, settings: &str) {
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"management\":\"{}\",\
             \"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\
             \"known\":{known},\"settings\":{settings}}}",
            self.name, self.listen, self.management
        );
        let next = self.config.with_extension("next");
        fs::write(&next, text).expect("configuration");
        fs::rename(&next, &self.config).expect("configuration");
    }

    pub fn signal(&self, name: &str) {
        self.record.line(&format!("node {}: SIG{name}", self.name));
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid.to_string()]).status();
    }

    /// Resident memory of the process, in MB (of 2^20 bytes); `None` once it has ended.
    pub fn memory_mb(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kib| kib / 1024)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        let mut nodes = lock(&self.nodes);
        let child = nodes.iter_mut().find(|child| child.id() == self.pid);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// An HTTP message: its first line, headers and body.
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Times of its first and its last byte.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message framed by `Content-Length`. An error of kind `UnexpectedEof` is a clean end before its first byte.
pub fn read_message(stream: &mut TcpStream, limit: Duration) -> std::io::Result<Message> {
    let until = Instant::now() + limit;
    let (mut bytes, mut first_byte) = (Vec::new(), None);
    loop {
        if let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_string();
            let headers: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                .collect();
            let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
            let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                let now = Instant::now();
                return Ok(Message { first, headers, body, first_byte: first_byte.unwrap_or(now), last_byte: now });
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left.max(ms(1))))?;
        let mut part = [0; 16384];
        match stream.read(&mut part) {
            Ok(0) if bytes.is_empty() => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
            Ok(n) => {
                first_byte.get_or_insert_with(Instant::now);
                bytes.extend_from_slice(&part[..n]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted) => {}
            Err(e) => return Err(e),
        }
    }
}

/// A worker of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub phase: String,
    pub changed_at: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.phase
        )
    }
}

#[derive(Default)]
struct DiscoveryState {
    revision: u64,
    entries: Vec<Entry>,
    connections: Vec<TcpStream>,
    is_closed: bool,
}

/// Discovery at one address.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

impl Discovery {
    /// Starts discovery. `delay` is the time that it takes for each call, beyond the wait of a watch.
    pub fn start(name: &'static str, revision: u64, entries: Vec<Entry>, delay: Duration, record: &Record) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        let state = DiscoveryState { revision, entries, ..DiscoveryState::default() };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let (this, record) = (discovery.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = lock(&this.state.0);
                if state.is_closed {
                    return; // the listener is dropped: later connections are refused
                }
                if let Ok(copy) = stream.try_clone() {
                    state.connections.push(copy);
                }
                drop(state);
                let (this, record) = (this.clone(), record.clone());
                thread::spawn(move || this.serve(name, stream, delay, &record));
            }
        });
        discovery
    }

    fn serve(&self, name: &str, mut stream: TcpStream, delay: Duration, record: &Record) {
        let _ = stream.set_nodelay(true);
        while let Ok(call) = read_message(&mut stream, Duration::from_secs(600)) {
            let target = call.first.split(' ').nth(1).unwrap_or("").to_string();
            let value = |key: &str| {
                let query = target.split_once('?').map_or("", |(_, query)| query);
                query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let (lock_of, changed) = &*self.state;
            let mut state = lock(lock_of);
            let known = value("index");
            if let (Some(index), Some(wait)) = (known, value("wait")) {
                let until = Instant::now() + ms(wait.min(60_000));
                while state.revision == index && !state.is_closed && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = changed.wait_timeout(state, left).map(|(s, _)| s).unwrap_or_else(|e| e.into_inner().0);
                }
            }
            drop(state);
            thread::sleep(delay);
            let body = self.list(known);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
            let written = stream.write_all((head + &body).as_bytes());
            if !target.contains("wait") || !body.contains("\"members\":[]") || written.is_err() {
                let took = call.last_byte.elapsed().as_secs_f64();
                let outcome = if written.is_ok() { "answered" } else { "answer not taken" };
                record.line(&format!("{name}: {target}: {outcome} after {took:.3} s: {body}"));
            }
            if written.is_err() {
                return;
            }
        }
    }

    /// The whole list, or the changes since a version.
    pub fn list(&self, since: Option<u64>) -> String {
        let state = lock(&self.state.0);
        let since = since.filter(|since| *since <= state.revision);
        let entries = state.entries.iter().filter(|e| since.is_none_or(|s| e.changed_at > s));
        let entries: Vec<String> = entries.filter(|e| since.is_some() || e.phase != "terminated").map(Entry::json).collect();
        format!("{{\"revision\":{},\"complete\":{},\"members\":[{}]}}", state.revision, since.is_none(), entries.join(","))
    }

    pub fn set_phase(&self, id: &str, phase: &str) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        for entry in state.entries.iter_mut().filter(|e| e.id == id) {
            (entry.phase, entry.changed_at) = (phase.to_string(), revision);
        }
        self.state.1.notify_all();
    }

    pub fn add(&self, entry: Entry) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let changed_at = state.revision;
        state.entries.push(Entry { changed_at, ..entry });
        self.state.1.notify_all();
    }

    /// Tells all entries again, in a new version.
    pub fn send_all(&self) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        state.entries.iter_mut().for_each(|entry| entry.changed_at = revision);
        self.state.1.notify_all();
    }

    /// Accepts no new connection from now on.
    pub fn refuse_new(&self) {
        lock(&self.state.0).is_closed = true;
        let _ = TcpStream::connect(self.address); // lets the thread that accepts end
    }

    /// Closes the open connections.
    pub fn close(&self) {
        for connection in lock(&self.state.0).connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// What a worker does with a request.
#[derive(Clone, Copy)]
pub enum Work {
    /// Takes it, runs it for this time, and answers.
    Run(Duration),
    /// Takes it, and tells its progress without a pause and without an end, until the connection is closed.
    NeverEnd,
    /// Takes it, starts it, and resets the connection after this time. The work goes on to its end.
    StartThenReset(Duration),
}

/// Something that a worker saw.
#[derive(Clone, Debug)]
pub struct Seen {
    pub worker: String,
    pub id: String,
    pub key: String,
    pub first_byte: Instant,
    pub is_unknown_id: bool,
    /// Whether the worker dropped it as a repeat of its key.
    pub is_dropped: bool,
}

/// Workers that share what they saw. Workers of the same group drop repeats of a key.
#[derive(Clone)]
pub struct Workers {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Keys that ran, by group and key.
    ran: Arc<Mutex<HashMap<(String, String), Instant>>>,
    sent_ids: Arc<Mutex<HashSet<String>>>,
    record: Record,
    window: Duration,
}

impl Workers {
    pub fn new(case: &Case, window: Duration) -> Workers {
        Workers {
            seen: Arc::default(),
            ran: Arc::default(),
            sent_ids: case.sent_ids.clone(),
            record: case.record.clone(),
            window,
        }
    }

    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.seen).clone()
    }

    /// Starts a worker. `work` tells what to do with the request of this number, from 0, at this worker.
    pub fn start(
        &self,
        id: &str,
        group: &str,
        work: impl Fn(usize) -> Work + Send + Sync + 'static,
    ) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("address");
        let (this, id, group, work) = (self.clone(), id.to_string(), group.to_string(), Arc::new(work));
        let count = Arc::new(Mutex::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (this, id, group, work, count) = (this.clone(), id.clone(), group.clone(), work.clone(), count.clone());
                thread::spawn(move || this.serve(stream, &id, &group, &*work, &count));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream, me: &str, group: &str, work: &dyn Fn(usize) -> Work, count: &Mutex<usize>) {
        let _ = stream.set_nodelay(true);
        while let Ok(request) = read_message(&mut stream, Duration::from_secs(600)) {
            let id = request.header("x-request-id").unwrap_or("").to_string();
            let key = request.header("idempotency-key").unwrap_or("").to_string();
            let is_unknown_id = !lock(&self.sent_ids).contains(&id);
            let is_dropped = !key.is_empty() && {
                let mut ran = lock(&self.ran);
                let entry = (group.to_string(), key.clone());
                let is_repeat = ran.get(&entry).is_some_and(|at| at.elapsed() < self.window);
                ran.entry(entry).or_insert_with(Instant::now);
                is_repeat
            };
            lock(&self.seen).push(Seen {
                worker: me.into(),
                id: id.clone(),
                key: key.clone(),
                first_byte: request.first_byte,
                is_unknown_id,
                is_dropped,
            });
            let deadline = request.header("x-deadline").unwrap_or("").to_string();
            self.record.line(&format!(
                "worker {me}: got {} id {id} key {key:?} x-deadline {deadline} body {:?}{}{}",
                request.first,
                request.text(),
                if is_unknown_id { ": NO CLIENT SENT IT: answered 400" } else { "" },
                if is_dropped { ": dropped as a repeat" } else { "" }
            ));
            if id.is_empty() || is_unknown_id {
                let status = if id.is_empty() { "404 Not Found" } else { "400 Bad Request" };
                let _ = stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes());
                continue;
            }
            let number = {
                let mut count = lock(count);
                *count += 1;
                *count - 1
            };
            let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            if stream.write_all(head).is_err() {
                return;
            }
            let line = |stream: &mut TcpStream, rest: &str| {
                let line = format!("{{\"id\":\"{id}\",\"from\":\"{me}\",{rest}}}\n");
                stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).is_ok()
            };
            if !line(&mut stream, "\"state\":\"started\"") {
                return;
            }
            if !is_dropped {
                self.record.line(&format!("worker {me}: runs id {id} key {key:?}"));
            }
            match work(number) {
                Work::Run(time) => {
                    let until = Instant::now() + if is_dropped { ms(1) } else { time };
                    while Instant::now() < until {
                        thread::sleep(until.saturating_duration_since(Instant::now()).min(ms(20)));
                        if is_closed(&stream) {
                            self.record.line(&format!("worker {me}: id {id} was cancelled"));
                            return;
                        }
                    }
                    let load = "\"load\":{\"err_ps\":0,\"mean_ms\":200,\"depth\":0,\"x0\":4}";
                    let done = line(&mut stream, &format!("\"state\":\"done\",\"result\":\"result of {id}\",{load}"));
                    if !done || stream.write_all(b"0\r\n\r\n").is_err() {
                        return;
                    }
                    self.record.line(&format!("worker {me}: id {id} done"));
                }
                Work::NeverEnd => {
                    self.record.line(&format!("worker {me}: begins an answer to id {id} that never ends"));
                    let progress = format!("{{\"id\":\"{id}\",\"from\":\"{me}\",\"state\":\"running\",\"share\":0.4}}\n");
                    let lines = progress.repeat(200);
                    let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
                    let (begun, mut count) = (Instant::now(), 0_u64);
                    while stream.write_all(chunk.as_bytes()).is_ok() {
                        count += 200;
                    }
                    let time = begun.elapsed().as_secs_f64();
                    let text = format!("worker {me}: the node closed the answer to id {id} after {time:.2} s and {count} lines");
                    self.record.line(&text);
                    return;
                }
                Work::StartThenReset(time) => {
                    thread::sleep(time);
                    self.record.line(&format!("worker {me}: connection of id {id} is reset; its work goes on"));
                    reset(stream);
                    return;
                }
            }
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Ok(0)) || peeked.is_err_and(|e| e.kind() != ErrorKind::WouldBlock)
}

/// Ends a connection for its peer before its answer is whole.
fn reset(stream: TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// A flag that threads share.
#[derive(Clone, Default)]
pub struct Flag(Arc<AtomicBool>);

impl Flag {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Request of a client.
pub fn job(class: &str, id: &str, tenant: &str, key: Option<&str>, deadline_s: f64, body: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: {tenant}\r\n\
         X-Deadline: {deadline_s:.3}\r\n{key}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A class of the settings.
pub struct Class {
    pub name: &'static str,
    pub deadline_ms: u64,
    pub semantics: &'static str,
    pub group: &'static str,
    pub window_ms: u64,
}

/// Settings of a small deployment, in the words of the wire page.
pub struct Settings<'a> {
    pub zones: &'a str,
    pub discovery: &'a str,
    pub classes: &'a [Class],
    pub drain_grace_ms: u64,
    pub max_attempts: u32,
}

impl Settings<'_> {
    pub fn json(&self) -> String {
        let class = |c: &Class| {
            format!(
                "{{\"Name\":\"{}\",\"AimUs\":800000,\"DeadlineUs\":{},\"Group\":\"{}\",\"LateWorth\":0.5,\
                 \"RepeatWindowUs\":{},\"Semantics\":\"{}\",\"Stream\":false,\"Worth\":2.0}}",
                c.name, c.deadline_ms * 1000, c.group, c.window_ms * 1000, c.semantics
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let per_class = |value: &str| vec![value; self.classes.len()].join(",");
        format!(
            "{{\"Azs\":[{}],\"ClientHabits\":{{\"MarksRetry\":false}},\"Discovery\":\"{}\",\"FamilyInfo\":{{\
             \"ClassKind\":[{}],\"ClassPriority\":[{}],\"ClassStretch\":[{}],\"ProgressUs\":1000000,\
             \"QueueOrder\":\"fifo\",\"ReportX0\":\"free_slots\",\"TellsStart\":true}},\"Goal\":{{\"Whole\":0.4,\
             \"WorstClass\":0.35,\"WorstTenant\":0.1,\"WorstWindow\":0.15}},\"HostTypes\":[\"gen-a\",\"gen-b\"],\
             \"Invariants\":{{\"AnswerSlackUs\":20000,\"AskEveryUs\":10000000,\"ColdShare\":0.13,\"DrainGraceUs\":{},\
             \"FallMultiple\":3.0,\"FallUs\":3000000,\"WarmUpUs\":24000000}},\"KindOfService\":\"jobs\",\"Limits\":{{\
             \"Cancelling\":true,\"ConnIdleUs\":60000000,\"ConnectTimeoutUs\":250000,\"CpuUsPerS\":15000,\
             \"MaxAttempts\":{},\"MaxOpen\":20000,\"MaxRetryAfterUs\":2000000,\"MayDuplicate\":false,\"Peers\":false,\
             \"Probes\":false,\"RetryAfter\":true,\"StreamsPerConn\":1}},\"Ordinal\":0,\"OverShareWorth\":0.05,\
             \"Parties\":[{{\"Name\":\"primorje-spedicija\",\"QuotaPerS\":15.0,\"Share\":0.5}},\
             {{\"Name\":\"savinja-logistika\",\"QuotaPerS\":15.0,\"Share\":0.5}}],\"Prices\":{{\"CrossZone\":0.03,\
             \"Handshake\":0.02,\"LateFail\":0.15,\"Waste\":0.056}},\"Profiles\":[{}],\"ResolutionUs\":5000,\
             \"Siblings\":1,\"Stats\":{{\"Fields\":[\"err_ps\",\"mean_ms\",\"depth\",\"x0\"],\"Source\":\"answers\"}},\
             \"Tier\":0,\"Tiers\":[\"decl-workers\"],\"Weights\":\"nominal\",\"WorthBy\":\"work\",\"Zone\":0}}",
            self.zones,
            self.discovery,
            per_class("-1"),
            per_class("0"),
            per_class("2.5"),
            self.drain_grace_ms * 1000,
            self.max_attempts,
            classes.join(",")
        )
    }
}

pub const CHECK: Class = Class { name: "check", deadline_ms: 7_500, semantics: "safe", group: "all", window_ms: 5_000 };
pub const LODGE: Class = Class { name: "lodge", deadline_ms: 25_000, semantics: "keyed", group: "all", window_ms: 40_000 };

pub fn entry(id: &str, address: SocketAddr, zone: &str, cell: u32) -> Entry {
    Entry {
        id: id.into(),
        address,
        zone: zone.into(),
        kind: "gen-a".into(),
        cell,
        phase: "in_service".into(),
        changed_at: 0,
    }
}
