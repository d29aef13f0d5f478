//! A change of the list reaches the node within 6 s of when discovery has it and can be reached, whatever became of the
//! calls before: refused, reset, cut, half an answer, a bad one, none at all, a watch that fell silent, discovery that moved, another
//! process that took over, a start with an old list. The change is there in the worst moment: right after the call that
//! was lost.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{advance_until, PlatformNode, Worker};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::yield_now;
use tokio::time::{advance, sleep, timeout, Instant};

/// After which a change counts as told.
const TOLD: Duration = Duration::from_secs(6);
/// Of this, what is left for the answer to come and to be taken.
const MARGIN: Duration = Duration::from_millis(200);
/// How many nodes there are.
const FLEETS: [u32; 4] = [1, 33, 350, 1024];

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    Refused,
    Reset,
    Cut,
    Half,
    Bad,
    Silent,
}

const LOSSES: [Loss; 6] = [Loss::Refused, Loss::Reset, Loss::Cut, Loss::Half, Loss::Bad, Loss::Silent];

fn settings(discovery: &str, nodes: u32) -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["Discovery"] = discovery.into();
    settings["Siblings"] = nodes.into();
    settings
}

/// The call that has come is lost.
fn lose(node: &PlatformNode, loss: Loss) {
    match loss {
        Loss::Refused => node.reject_discovery_call(),
        Loss::Reset => node.close_discovery_call(),
        Loss::Cut => node.truncate_discovery_answer(),
        Loss::Half => node.stall_discovery_answer(),
        Loss::Bad => node.answer_discovery_call("{}"),
        Loss::Silent => {}
    }
}

/// The next call comes in time to be told what counts as told 6 s after `since`.
async fn next_call(node: &mut PlatformNode, since: Instant, what: &str) -> String {
    let head = node.next_discovery_call().await;
    let after = since.elapsed();
    assert!(after <= TOLD - MARGIN, "{what}: called again after {after:?}");
    head
}

/// Tells a list of this version, and sees it taken.
async fn tell(node: &PlatformNode, worker: &Worker, revision: u64) {
    let lists = node.counters.endpoint_lists_applied.get();
    node.answer_discovery_call(
        json!({"revision": revision, "complete": true, "members": [worker.list_entry("s-1", "in_service")]}),
    );
    advance_until("the list is taken", Duration::from_millis(1), || {
        node.counters.endpoint_lists_applied.get() == lists + 1
    })
    .await;
}

/// Each loss of a watch, of the call after it, and of one that silence follows on.
#[tokio::test(start_paused = true)]
async fn a_change_is_told_in_time_after_any_lost_call() {
    for discovery in ["ask", "push"] {
        for nodes in FLEETS {
            let worker = Worker::start().await;
            let known = [worker.list_entry("s-1", "in_service")];
            let parts = json!({"settings": settings(discovery, nodes), "known": known});
            let mut node = PlatformNode::start_with_config(parts).await;
            node.next_discovery_call().await;
            for (n, loss) in LOSSES.into_iter().enumerate() {
                let (what, revision) = (format!("{discovery}, {nodes} nodes, {loss:?}"), 2 * n as u64 + 2);
                tell(&node, &worker, revision).await;
                node.next_discovery_call().await; // a watch as long as they get
                lose(&node, loss);
                next_call(&mut node, Instant::now(), &format!("{what}: a watch")).await;
                // The pause is as long as pauses get, and the call behind it falls silent.
                for _ in 0..8 {
                    node.reject_discovery_call();
                    node.next_discovery_call().await;
                }
                let since = Instant::now();
                lose(&node, loss);
                next_call(&mut node, since, &format!("{what}: once more")).await;
                tell(&node, &worker, revision + 1).await;
                node.next_discovery_call().await;
                node.reject_discovery_call();
                let since = Instant::now();
                node.next_discovery_call().await; // it falls silent
                next_call(&mut node, since, &format!("{what}: refused, then silent")).await;
            }
        }
    }
}

/// A start with an old list: what becomes of the first call.
#[tokio::test(start_paused = true)]
async fn a_change_is_told_in_time_after_a_start_with_an_old_list() {
    for discovery in ["ask", "push"] {
        for nodes in FLEETS {
            for loss in LOSSES {
                let worker = Worker::start().await;
                let known = [worker.list_entry("s-1", "terminating")];
                let parts = json!({"settings": settings(discovery, nodes), "known": known});
                let mut node = PlatformNode::start_with_config(parts).await;
                let since = Instant::now();
                let head = node.next_discovery_call().await;
                assert!(head.contains("?index=1&"), "from the list that was known: {head}");
                lose(&node, loss);
                next_call(&mut node, since, &format!("{discovery}, {nodes} nodes, {loss:?}")).await;
                tell(&node, &worker, 2).await;
            }
        }
    }
}

/// Discovery moves: what becomes of the first call at the new address.
#[tokio::test(start_paused = true)]
async fn a_change_is_told_in_time_after_discovery_moved() {
    for discovery in ["ask", "push"] {
        for nodes in FLEETS {
            for loss in LOSSES {
                let worker = Worker::start().await;
                let known = [worker.list_entry("s-1", "in_service")];
                let parts = json!({"settings": settings(discovery, nodes), "known": known});
                let mut node = PlatformNode::start_with_config(parts).await;
                node.next_discovery_call().await;
                let since = Instant::now();
                node.follow_moved_discovery().await;
                let head = node.next_discovery_call().await;
                assert!(!head.contains("index="), "the whole list: {head}");
                lose(&node, loss);
                next_call(&mut node, since, &format!("{discovery}, {nodes} nodes, {loss:?}")).await;
                tell(&node, &worker, 2).await;
            }
        }
    }
}

/// Another process takes over: what becomes of its first call.
#[tokio::test(start_paused = true)]
async fn a_change_is_told_in_time_after_another_process_took_over() {
    for discovery in ["ask", "push"] {
        for loss in LOSSES {
            let place: PathBuf = std::env::temp_dir()
                .join(format!("molevale-told-{}-{discovery}-{loss:?}", std::process::id()));
            let worker = Worker::start().await;
            let known = [worker.list_entry("s-1", "in_service")];
            let parts = json!({"settings": settings(discovery, 350), "known": known});
            let _old = PlatformNode::start_with_config_and_handover(
                parts.clone(),
                Some(place.clone()),
                256,
                32,
                None,
            )
            .await;
            while !place.exists() {
                yield_now().await;
            }
            let PredecessorLookup::Serving(listener, before) = Predecessor::look_up(&place).await else {
                panic!("nobody")
            };
            let mut new = PlatformNode::start_with_config_and_handover(
                parts,
                Some(place.clone()),
                256,
                32,
                Some((listener, before)),
            )
            .await;
            let since = Instant::now();
            new.next_discovery_call().await;
            lose(&new, loss);
            next_call(&mut new, since, &format!("{discovery}, {loss:?}")).await;
            tell(&new, &worker, 2).await;
            std::fs::remove_file(place).unwrap();
        }
    }
}

/// One service for all nodes, which works through calls in turn.
#[derive(Clone)]
struct Service {
    list: String,
    pace: Pace,
    /// Whose turn it is.
    turn: Arc<Semaphore>,
    /// Calls that it has not answered: it was down, and did not say so.
    lost: Arc<AtomicU32>,
    /// Set once it answers.
    up: Arc<Semaphore>,
    /// Calls since it is up.
    calls: Arc<AtomicU32>,
}

/// How quick the service is.
#[derive(Clone, Copy)]
struct Pace {
    /// For which it works at one call, whether or not its caller still waits.
    work: Duration,
    /// A call that waited so long for its turn is turned away.
    turn_max: Duration,
}

impl Service {
    fn new(list: String, pace: Pace) -> Service {
        let (up, turn) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(1)));
        Service { list, pace, up, turn, lost: Arc::default(), calls: Arc::default() }
    }

    /// An address for one node: the kernel may hold fewer new connections at one address than there are nodes.
    async fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (own, address) = (self.clone(), listener.local_addr().unwrap());
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(own.clone().serve(socket));
            }
        });
        address
    }

    async fn serve(self, socket: TcpStream) -> Option<()> {
        let mut stream = BufReader::new(socket);
        loop {
            testbed::wire::head(&mut stream).await?;
            if self.up.available_permits() == 0 {
                self.lost.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match timeout(self.pace.turn_max, self.turn.acquire()).await {
                Ok(_turn) => {
                    sleep(self.pace.work).await;
                    ("200 OK", self.list.as_str())
                }
                Err(_) => ("503 Service Unavailable", ""),
            };
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes()).await.ok()?;
            if status.starts_with("200") {
                std::future::pending::<()>().await; // the watch that comes next falls silent
            }
        }
    }
}

/// How many nodes ask one service.
const NODES: usize = 350;

/// So many nodes, and the service that was silent when all of them called and answers from now on.
async fn many(pace: Pace) -> (Vec<PlatformNode>, Service, Instant) {
    let worker = Worker::start().await;
    let line = worker.list_entry("s-1", "in_service");
    let list = json!({"revision": 2, "complete": true, "members": [line]}).to_string();
    let service = Service::new(list, pace);
    let mut nodes = Vec::with_capacity(NODES);
    for n in 0..NODES {
        let parts = json!({"settings": settings("ask", NODES as u32), "known": [line], "seed": n.to_string(),
            "discovery": service.listen().await.to_string()});
        nodes.push(PlatformNode::start_with_config(parts).await);
    }
    let lost = || service.lost.load(Ordering::Relaxed) as usize;
    advance_until("all have called in vain", Duration::from_millis(1), || lost() >= NODES).await;
    service.up.add_permits(1);
    (nodes, service, Instant::now())
}

/// How many nodes have been told so often within this time.
async fn told(nodes: &[PlatformNode], times: u64, since: Instant, within: Duration) -> usize {
    let told = || nodes.iter().filter(|node| node.counters.endpoint_lists_applied.get() >= times).count();
    while since.elapsed() < within && told() < nodes.len() {
        advance(Duration::from_millis(1)).await;
    }
    for _ in 0..1000 {
        yield_now().await;
    }
    told()
}

/// Of 350 nodes that ask one service, which was silent when they started, each has the change in time; and again when the
/// watches of all of them fall silent.
#[tokio::test(start_paused = true)]
async fn each_of_350_nodes_that_ask_one_service_is_told_in_time() {
    let pace = Pace { work: Duration::from_millis(2), turn_max: Duration::from_secs(2) };
    let (nodes, _service, since) = many(pace).await;
    assert_eq!(told(&nodes, 1, since, TOLD).await, NODES, "after silence at the start");
    let since = Instant::now();
    assert_eq!(told(&nodes, 2, since, TOLD).await, NODES, "after watches that fell silent");
}

/// A service that is three seconds behind with its calls: no node gives its call up before the answer could come, for a call
/// that is made anew has to be worked at like the first.
#[tokio::test(start_paused = true)]
async fn a_service_that_is_behind_is_not_asked_again_meanwhile() {
    let pace = Pace { work: Duration::from_millis(7), turn_max: Duration::from_secs(60) };
    let (nodes, service, since) = many(pace).await;
    assert_eq!(told(&nodes, 1, since, 2 * TOLD).await, NODES, "after {:?}", since.elapsed());
    assert!(service.calls.load(Ordering::Relaxed) <= NODES as u32 + 10, "calls were made anew");
}
