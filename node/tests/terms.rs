//! The program as one process among many, on real connections and under its own limits: descriptors that idle clients fill
//! while discovery is down, restarts while discovery is of no use, and 1,024 nodes and workers in little memory.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, FaktoryConnection, ReceivedRequest, Worker};
use membership::keys::Keys;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use testbed::discovery::Discovery;
use testbed::process::{call, Process};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

const ID: &str = "9b1f03aa5c7e2d41";
/// Between looks at what a process does.
const LOOK: Duration = Duration::from_millis(10);
/// For what a process does soon, also on a busy machine.
const SOON: Duration = Duration::from_secs(20);

/// Waits until something holds, in real time.
async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            sleep(LOOK).await;
        }
    };
    timeout(SOON, wait).await.unwrap_or_else(|_| panic!("not so: {what}"));
}

/// An address of this run's own, for each test another.
fn address(test: u8, port: u16) -> SocketAddr {
    let id = std::process::id();
    SocketAddr::from((Ipv4Addr::new(127, 100 + test, (id >> 8) as u8, id as u8), port))
}

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("molevale-terms-{}-{name}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // there may be none
    }
}

/// A node's process and its addresses.
struct Node {
    process: Process,
    listen: SocketAddr,
}

impl Node {
    /// Starts the program with these parts of a configuration.
    fn start(folder: &Path, listen: SocketAddr, parts: &Value) -> Node {
        let management = SocketAddr::new(listen.ip(), listen.port() + 1000);
        let mut config = json!({"name": "n1", "listen": listen.to_string(), "seed": "19",
            "management": management.to_string(), "settings": common::settings(true, 60_000_000)});
        config.as_object_mut().unwrap().extend(parts.as_object().unwrap().clone());
        let known = json!({"revision": 1, "complete": true, "members": parts["known"]});
        config["known"] = known;
        let binary = Path::new(env!("CARGO_BIN_EXE_molevale"));
        let process = Process::start(binary, folder, &config, &[]).unwrap();
        Node { process, listen }
    }

    /// Returns once it says that it can serve.
    async fn ready(&self) {
        let ready = async {
            while !self.says_ready().await {
                sleep(LOOK).await;
            }
        };
        timeout(SOON, ready).await.expect("it is ready");
    }

    async fn says_ready(&self) -> bool {
        call(self.process.management, "GET", "/healthcheck").await.is_some_and(|(status, _)| status == 200)
    }

    /// A job on a connection of its own: the answer's status; `None` where the connection is closed without one.
    async fn job(&self, id: &str) -> Option<u16> {
        let socket = TcpStream::connect(self.listen).await.ok()?.into_std().ok()?;
        let mut client = Client::from_std(socket);
        client.send(&request("check", id, 60.0, "x")).await;
        client.read_answer().await.map(|got| got.status)
    }

    /// Returns once a job was served. A refusal is tried again: on a busy machine a place may be free too late.
    async fn served(&self, id: &str) {
        let served = async {
            while self.job(id).await != Some(200) {
                sleep(LOOK).await;
            }
        };
        timeout(SOON, served).await.expect("jobs go on");
    }

    /// The most memory that it has held, in KiB.
    fn memory_most_kib(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches("kB").trim().parse().unwrap()
    }

    /// Nothing that it did found the last descriptor taken.
    fn had_descriptors(&self) {
        let log = std::fs::read_to_string(&self.process.log).unwrap();
        let without = log.lines().find(|line| line.contains("Too many open files"));
        assert_eq!(without, None, "no descriptor was left");
    }

    /// How many descriptors it has open.
    fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }
}

/// Serves every job that comes to this worker.
fn serve(worker: Worker) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let (socket, _) = worker.0.accept().await.unwrap();
            tokio::spawn(async move {
                let mut next = Some(ReceivedRequest::read_first(socket).await);
                while let Some(mut seen) = next {
                    seen.complete("r").await;
                    next = seen.next_request().await;
                }
            });
        }
    })
}

/// Clients that connect and ask for nothing, and come again when they are closed, until the value ends.
struct Idle {
    tasks: Vec<JoinHandle<()>>,
    closed: Arc<AtomicUsize>,
}

impl Idle {
    fn start(clients: usize, at: SocketAddr) -> Idle {
        let closed: Arc<AtomicUsize> = Arc::default();
        let task = |n| tokio::spawn(Idle::client(n, at, closed.clone()));
        Idle { tasks: (0..clients).map(task).collect(), closed }
    }

    async fn client(number: usize, at: SocketAddr, closed: Arc<AtomicUsize>) {
        loop {
            if let Ok(mut socket) = TcpStream::connect(at).await {
                if number.is_multiple_of(2) {
                    let _ = socket.write_all(b"POST /check HTTP/1.1\r\nX-Req").await;
                }
                let _ = socket.read(&mut [0; 64]).await; // returns once the node closes it
                closed.fetch_add(1, Ordering::Relaxed);
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    /// Returns once the node holds as many of them as it can, or has no descriptor left.
    async fn fill(&self, node: &Node) {
        until("idle clients fill what there is for them", || {
            self.closed.load(Ordering::Relaxed) > 0 || node.descriptors() >= SOCKETS
        })
        .await;
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Descriptors of the processes that idle clients fill.
const SOCKETS: usize = 128;

/// Starts a node that may have so many descriptors, and no more, with discovery down.
async fn limited(folder: &Folder, test: u8, known: Vec<Value>) -> (Node, SocketAddr) {
    let at = address(test, 8500);
    let parts = json!({"discovery": at.to_string(), "known": known,
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": SOCKETS}});
    let node = Node::start(&folder.0, address(test, 8443), &parts);
    let limit = Rlimit { current: Some(SOCKETS as u64), maximum: Some(SOCKETS as u64) };
    prlimit(Pid::from_raw(node.process.id() as i32), Resource::Nofile, limit).unwrap();
    node.ready().await;
    (node, at)
}

/// Discovery is back with these lines, and the node takes them.
async fn back(at: SocketAddr, lines: Vec<Value>) -> Discovery {
    let discovery = Discovery::start(at, Vec::new()).await.unwrap();
    discovery.publish(lines);
    until("discovery is called, and again after its answer", || discovery.calls() >= 2).await;
    discovery
}

/// Idle clients hold all the descriptors that they can get while discovery is down: operators are heard, jobs go on, and
/// what discovery tells at its return counts.
#[tokio::test]
async fn idle_clients_leave_descriptors_for_all_other_calls() {
    let folder = Folder::new("idle");
    let (old, new) = (Worker::start().await, Worker::start().await);
    let known = vec![old.list_entry("s-1", "in_service")];
    let later = vec![old.list_entry("s-1", "terminating"), new.list_entry("s-2", "in_service")];
    let (node, at) = limited(&folder, 1, known).await;
    let idle = Idle::start(3 * SOCKETS, node.listen);
    idle.fill(&node).await;
    serve(old);
    for n in 0..20 {
        assert!(node.says_ready().await, "an operator is heard");
        node.served(&format!("9b1f03aa5c7e2e{n:02}")).await;
    }
    let _discovery = back(at, later).await;
    let works = async { new.receive_request().await.complete("r").await };
    let job = async { tokio::join!(node.job(ID), works) };
    let (status, ()) = timeout(SOON, job).await.expect("the new worker has it");
    assert_eq!(status, Some(200));
    assert!(node.says_ready().await, "an operator is heard");
    node.had_descriptors();
}

/// The same beside as many jobs as there may be, each out at a worker of its own: they end as they would have.
#[tokio::test]
async fn jobs_and_idle_clients_leave_descriptors_for_all_other_calls() {
    const JOBS: usize = SOCKETS;
    /// A third of what 128 descriptors leave for clients and workers.
    const OUT: usize = 21;
    let (folder, crowd) = (Folder::new("jobs"), Crowd::start().await);
    let lines = crowd.lines(JOBS, |_| "in_service");
    let (node, at) = limited(&folder, 4, lines.clone()).await;
    let (work, at_work) = (Arc::new(Semaphore::new(0)), Arc::<AtomicUsize>::default());
    tokio::spawn(crowd.hold(work.clone(), at_work.clone()));
    let node = Arc::new(node);
    let job = |n: usize| {
        let node = node.clone();
        tokio::spawn(async move { node.job(&format!("9b1f03aa5c7e{n:04}")).await })
    };
    let jobs: Vec<_> = (0..JOBS).map(job).collect();
    until("jobs are out, and those that find no room are answered", || {
        at_work.load(Ordering::Relaxed) >= OUT && jobs.iter().any(JoinHandle::is_finished)
    })
    .await;
    let idle = Idle::start(3 * SOCKETS, node.listen);
    idle.fill(&node).await;
    assert!(node.says_ready().await, "an operator is heard");
    let _discovery = back(at, lines).await;
    assert!(node.says_ready().await, "an operator is heard");
    let out = at_work.load(Ordering::Relaxed);
    work.add_permits(JOBS);
    let mut served = 0;
    for job in jobs {
        served += usize::from(job.await.unwrap() == Some(200));
    }
    assert!(served >= out, "{served} of {out} jobs that were out had their result");
    node.had_descriptors();
}

/// What a discovery that is of no use does with its callers.
#[derive(Clone, Copy, Debug)]
enum Useless {
    /// Nobody listens there.
    Down,
    /// It takes calls and says nothing.
    Silent,
    /// It turns all calls away.
    Overbooked,
}

/// A discovery that is of no use at this address.
async fn useless(how: Useless, at: SocketAddr) {
    if let Useless::Down = how {
        return;
    }
    let listener = TcpListener::bind(at).await.unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut stream = BufReader::new(socket);
                while testbed::wire::head(&mut stream).await.is_some() {
                    if let Useless::Overbooked = how {
                        let busy = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                        let _ = stream.write_all(busy).await; // the node may have gone
                    }
                }
            });
        }
    });
}

/// Of ten processes that are started again while discovery is of no use, at least nine are ready in time, which is to say
/// that they serve a job: they go by the list that they were told to know.
#[tokio::test]
async fn nine_in_ten_restarted_processes_are_ready_in_time_without_discovery() {
    const NODES: u16 = 10;
    const IN_TIME: Duration = Duration::from_secs(10);
    for how in [Useless::Down, Useless::Silent, Useless::Overbooked] {
        for mode in ["ask", "push"] {
            let folder = Folder::new(&format!("ready-{how:?}-{mode}"));
            let worker = Worker::start().await;
            let mut settings = common::settings(true, 60_000_000);
            settings["Discovery"] = mode.into();
            settings["Siblings"] = 350.into();
            let ip = address(2, 0).ip();
            let port = if mode == "ask" { 8500 + how as u16 } else { 8510 + how as u16 };
            let at = SocketAddr::new(ip, port);
            useless(how, at).await;
            let parts = json!({"discovery": at.to_string(), "known": [worker.list_entry("s-1", "in_service")],
                "settings": settings, "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 256}});
            serve(worker);
            let start = |n: u16| {
                let listen = SocketAddr::new(ip, 20_000 + 10 * n);
                Node::start(&folder.0.join(n.to_string()), listen, &parts)
            };
            let first: Vec<Node> = (0..NODES).map(start).collect();
            for node in &first {
                node.ready().await;
            }
            drop(first); // killed, all at once
            let since = Instant::now();
            let nodes: Vec<Node> = (0..NODES).map(start).collect();
            let mut ready = 0;
            for (n, node) in nodes.iter().enumerate() {
                let served = async {
                    while !node.says_ready().await
                        || node.job(&format!("9b1f03aa5c7e2f{n:02}")).await != Some(200)
                    {
                        sleep(LOOK).await;
                    }
                };
                let left = IN_TIME.saturating_sub(since.elapsed());
                ready += u16::from(timeout(left, served).await.is_ok());
            }
            assert!(10 * ready >= 9 * NODES, "{how:?}, {mode}: {ready} of {NODES} were ready in time");
        }
    }
}

/// Stand-ins for so many workers on one socket: each has an address of its own.
struct Crowd {
    listener: TcpListener,
    port: u16,
}

impl Crowd {
    async fn start() -> Crowd {
        let listener = TcpListener::bind((Ipv4Addr::UNSPECIFIED, 0)).await.unwrap();
        let port = listener.local_addr().unwrap().port();
        Crowd { listener, port }
    }

    fn address(&self, worker: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, 90, (worker / 250) as u8, (worker % 250 + 1) as u8), self.port))
    }

    /// A line for each of so many workers, in the phase that `phase` tells.
    fn lines(&self, workers: usize, phase: impl Fn(usize) -> &'static str) -> Vec<Value> {
        let line = |worker: usize| {
            common::wire::endpoint_entry(&format!("s-{worker:08x}"), self.address(worker), phase(worker), 0)
        };
        (0..workers).map(line).collect()
    }

    /// The same with one in service.
    fn lines_with_one(&self, workers: usize, in_service: usize) -> Vec<Value> {
        self.lines(workers, |worker| if worker == in_service { "in_service" } else { "terminating" })
    }

    /// Takes jobs, counts them, and ends each once there is a permit for it.
    async fn hold(self, work: Arc<Semaphore>, at_work: Arc<AtomicUsize>) {
        while let Ok((socket, _)) = self.listener.accept().await {
            let (work, at_work) = (work.clone(), at_work.clone());
            tokio::spawn(async move {
                let mut seen = ReceivedRequest::read_first(socket).await;
                at_work.fetch_add(1, Ordering::Relaxed);
                seen.begin_response().await;
                seen.send_update(json!({"state": "started"})).await;
                let _permit = work.acquire().await.unwrap();
                seen.send_update(json!({"state": "done", "result": "r"})).await;
                seen.write("0\r\n\r\n").await;
                let _ = seen.next_request().await; // until the node closes it
            });
        }
    }

    /// Serves the next job; at which worker it came.
    async fn serve_one(&self) -> SocketAddr {
        let (socket, _) = self.listener.accept().await.unwrap();
        let at = socket.local_addr().unwrap();
        ReceivedRequest::read_first(socket).await.complete("r").await;
        at
    }
}

/// A node told of 1,024 nodes and 1,024 workers holds them all in the memory that its limits give it: wherever in the list
/// the one worker in service stands, it gets the job.
#[tokio::test]
async fn a_node_knows_1024_nodes_and_1024_workers_in_little_memory() {
    const MANY: usize = 1024;
    const MEMORY_MB: u64 = 32;
    let (folder, crowd) = (Folder::new("many"), Crowd::start().await);
    let discovery = Discovery::start(address(3, 8500), crowd.lines_with_one(MANY, 0)).await.unwrap();
    let mut settings = common::settings(true, 60_000_000);
    settings["Siblings"] = MANY.into();
    settings["Weights"] = "live".into();
    settings["Limits"]["Peers"] = true.into();
    let peer = |n: usize| format!("127.91.{}.{}:7946", n / 250, n % 250 + 1);
    let peers: Vec<String> = (0..MANY).map(peer).collect();
    let parts = json!({"discovery": discovery.address.to_string(), "known": crowd.lines_with_one(MANY, 0), "peers": peers,
        "peer_listen": SocketAddr::new(address(3, 7946).ip(), 7946).to_string(),
        "settings": settings, "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}});
    let node = Node::start(&folder.0, address(3, 8443), &parts);
    node.ready().await;
    until("it watches", || discovery.calls() > 0).await;
    for (n, worker) in [1, 255, 256, 999, 1000, MANY - 1].into_iter().enumerate() {
        let calls = discovery.calls();
        discovery.publish(crowd.lines_with_one(MANY, worker));
        until("it has the list and calls again", || discovery.calls() > calls).await;
        let id = format!("9b1f03aa5c7e2c{n:02}");
        let job = async { tokio::join!(node.job(&id), crowd.serve_one()) };
        let (status, at) = timeout(SOON, job).await.unwrap_or_else(|_| panic!("worker {worker} gets no job"));
        assert_eq!((status, at), (Some(200), crowd.address(worker)));
    }
    let most = node.memory_most_kib();
    println!("{MANY} nodes and workers: {most} KiB at most");
    assert!(most <= MEMORY_MB * 1024, "{most} KiB");
}

/// Of 1,024 workers on the Faktory front, all but the last are about to stop: that one is known as the others are, and gets
/// the job.
#[tokio::test(start_paused = true)]
async fn the_last_of_1024_faktory_workers_gets_a_job() {
    const MANY: usize = 1024;
    let (node, _, _) = common::start_faktory(None);
    let mut workers = Vec::with_capacity(MANY);
    for n in 0..MANY {
        workers.push(FaktoryConnection::connect_worker(&node, &format!("w{n}")).await);
    }
    for (n, worker) in workers.iter_mut().enumerate().take(MANY - 1) {
        let beat = format!("BEAT {{\"wid\":\"w{n}\",\"current_state\":\"quiet\"}}");
        assert_eq!(worker.send_command(&beat).await, r#"{"state":"quiet"}"#);
    }
    let mut client = FaktoryConnection::connect_client(&node).await;
    let last = workers.last_mut().unwrap();
    last.send_line("FETCH check lodge").await;
    assert_eq!(client.push("check", "job-0001", "k1").await, "+OK");
    let got: Value = serde_json::from_str(&last.read_reply().await).expect("a job");
    assert_eq!(got["jid"], "job-0001");
}

/// A node that takes the whole states of 1,023 others in, with names and zones as long as they may be, sees all of them,
/// tells all of them, and tells its decisions how many there are.
#[test]
fn a_view_holds_1024_nodes() {
    const MANY: usize = 1024;
    let now = Duration::from_secs(1);
    let start = |n: usize| {
        let config = membership::Config {
            fleet: "many".to_string(),
            name: format!("{n:0>width$}", width = membership::NAME_MAX),
            zone: "z".repeat(membership::NAME_MAX),
            advertise: SocketAddr::from((Ipv4Addr::new(127, 92, (n / 250) as u8, (n % 250 + 1) as u8), 7946)),
            seeds: Vec::new(),
            keys: Keys::parse("current 0f1e2d3c4b5a69788796a5b4c3d2e1f0").unwrap(),
            timing: membership::Timing::default(),
        };
        let address = config.advertise;
        let birth = membership::ProcessStart {
            process_id: n as u64 + 1,
            unix_time_ms: 1_700_000_000_000,
            rng_seed: n as u64 + 1,
        };
        (membership::Machine::new(config, birth, now), address)
    };
    let (mut one, at) = start(0);
    let mut answer = None;
    for n in 1..MANY {
        let (mut other, _) = start(n);
        let challenge = one.generate_nonce();
        let (asked, state) = other.request_sync(now, at, challenge);
        answer = one.respond_to_sync(now, challenge, &state).map(|state| (other, asked, state));
        while one.next_action().is_some() {} // news to the others, whom nobody plays here
    }
    let size = one.fleet_size(now, 1);
    assert_eq!(
        (size.dispatchers as usize, size.dispatcher_names.len(), one.peers().len()),
        (MANY, MANY, MANY)
    );
    let (mut last, asked, state) = answer.expect("an answer to the last");
    assert!(state.len() <= membership::FRAME_MAX, "{} bytes", state.len());
    assert!(last.complete_sync(now, asked, &state), "it counts");
    assert_eq!(last.fleet_size(now, 1).dispatcher_names.len(), MANY, "the last one is told of all others");
}
