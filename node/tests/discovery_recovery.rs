//! A change of the endpoint list reaches the node within 6 s once discovery has it and can be reached,
//! whatever happened to earlier calls: rejected, closed, truncated, stalled, malformed, never answered; also
//! after discovery has moved, a process handover or a start with an old list. The change comes at the worst
//! moment: right after the call that failed.
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

/// The time within which a change must reach the node.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// The part of it that is reserved for the answer to arrive and to be applied.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Numbers of nodes in the fleet.
const FLEET_SIZES: [u32; 4] = [1, 33, 350, 1024];

/// How a call to discovery fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallFailure {
    Rejected,
    Closed,
    Truncated,
    Stalled,
    Malformed,
    Unanswered,
}

const CALL_FAILURES: [CallFailure; 6] = [
    CallFailure::Rejected,
    CallFailure::Closed,
    CallFailure::Truncated,
    CallFailure::Stalled,
    CallFailure::Malformed,
    CallFailure::Unanswered,
];

fn settings(discovery: &str, nodes: u32) -> Value {
    let mut settings = common::settings(true, 60_000_000);
    settings["Discovery"] = discovery.into();
    settings["Siblings"] = nodes.into();
    settings
}

/// Makes the call that has arrived fail.
fn fail_call(node: &PlatformNode, failure: CallFailure) {
    match failure {
        CallFailure::Rejected => node.reject_discovery_call(),
        CallFailure::Closed => node.close_discovery_call(),
        CallFailure::Truncated => node.truncate_discovery_answer(),
        CallFailure::Stalled => node.stall_discovery_answer(),
        CallFailure::Malformed => node.answer_discovery_call("{}"),
        CallFailure::Unanswered => {}
    }
}

/// The head of the next call, which must come early enough that a change reaches the node within 6 s of
/// `since`.
async fn expect_next_call(node: &mut PlatformNode, since: Instant, what: &str) -> String {
    let head = node.next_discovery_call().await;
    let after = since.elapsed();
    assert!(after <= UPDATE_DEADLINE - ANSWER_MARGIN, "{what}: called again after {after:?}");
    head
}

/// Answers with a list of this version, and waits until it is applied.
async fn answer_with_list(node: &PlatformNode, worker: &Worker, revision: u64) {
    let lists = node.counters.endpoint_lists_applied.get();
    node.answer_discovery_call(
        json!({"revision": revision, "complete": true, "members": [worker.list_entry("s-1", "in_service")]}),
    );
    advance_until("the list is applied", Duration::from_millis(1), || {
        node.counters.endpoint_lists_applied.get() == lists + 1
    })
    .await;
}

/// Each failure of a watch, of the call after it, and of a call that is followed by an unanswered one.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_after_any_failed_call() {
    for discovery in ["ask", "push"] {
        for nodes in FLEET_SIZES {
            let worker = Worker::start().await;
            let known = [worker.list_entry("s-1", "in_service")];
            let parts = json!({"settings": settings(discovery, nodes), "known": known});
            let mut node = PlatformNode::start_with_config(parts).await;
            node.next_discovery_call().await;
            for (n, failure) in CALL_FAILURES.into_iter().enumerate() {
                let (what, revision) = (format!("{discovery}, {nodes} nodes, {failure:?}"), 2 * n as u64 + 2);
                answer_with_list(&node, &worker, revision).await;
                node.next_discovery_call().await; // a watch of the longest wait
                fail_call(&node, failure);
                expect_next_call(&mut node, Instant::now(), &format!("{what}: a watch")).await;
                // The pause has its longest length, and the call after it is not answered.
                for _ in 0..8 {
                    node.reject_discovery_call();
                    node.next_discovery_call().await;
                }
                let since = Instant::now();
                fail_call(&node, failure);
                expect_next_call(&mut node, since, &format!("{what}: second failure")).await;
                answer_with_list(&node, &worker, revision + 1).await;
                node.next_discovery_call().await;
                node.reject_discovery_call();
                let since = Instant::now();
                node.next_discovery_call().await; // this call is not answered
                expect_next_call(&mut node, since, &format!("{what}: rejected, then unanswered")).await;
            }
        }
    }
}

/// After a start with an old list, the first call fails.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_after_a_start_with_an_old_list() {
    for discovery in ["ask", "push"] {
        for nodes in FLEET_SIZES {
            for failure in CALL_FAILURES {
                let worker = Worker::start().await;
                let known = [worker.list_entry("s-1", "terminating")];
                let parts = json!({"settings": settings(discovery, nodes), "known": known});
                let mut node = PlatformNode::start_with_config(parts).await;
                let since = Instant::now();
                let head = node.next_discovery_call().await;
                assert!(head.contains("?index=1&"), "changes since the known list: {head}");
                fail_call(&node, failure);
                expect_next_call(&mut node, since, &format!("{discovery}, {nodes} nodes, {failure:?}")).await;
                answer_with_list(&node, &worker, 2).await;
            }
        }
    }
}

/// After discovery has moved, the first call to the new address fails.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_after_discovery_moved() {
    for discovery in ["ask", "push"] {
        for nodes in FLEET_SIZES {
            for failure in CALL_FAILURES {
                let worker = Worker::start().await;
                let known = [worker.list_entry("s-1", "in_service")];
                let parts = json!({"settings": settings(discovery, nodes), "known": known});
                let mut node = PlatformNode::start_with_config(parts).await;
                node.next_discovery_call().await;
                let since = Instant::now();
                node.follow_moved_discovery().await;
                let head = node.next_discovery_call().await;
                assert!(!head.contains("index="), "the complete list: {head}");
                fail_call(&node, failure);
                expect_next_call(&mut node, since, &format!("{discovery}, {nodes} nodes, {failure:?}")).await;
                answer_with_list(&node, &worker, 2).await;
            }
        }
    }
}

/// After another process has taken over, its first call fails.
#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_after_a_process_handover() {
    for discovery in ["ask", "push"] {
        for failure in CALL_FAILURES {
            let handover_path: PathBuf = std::env::temp_dir()
                .join(format!("molevale-told-{}-{discovery}-{failure:?}", std::process::id()));
            let worker = Worker::start().await;
            let known = [worker.list_entry("s-1", "in_service")];
            let parts = json!({"settings": settings(discovery, 350), "known": known});
            let _old = PlatformNode::start_with_config_and_handover(
                parts.clone(),
                Some(handover_path.clone()),
                256,
                32,
                None,
            )
            .await;
            while !handover_path.exists() {
                yield_now().await;
            }
            let PredecessorLookup::Serving(listener, predecessor) =
                Predecessor::look_up(&handover_path).await
            else {
                panic!("no predecessor is serving")
            };
            let mut new = PlatformNode::start_with_config_and_handover(
                parts,
                Some(handover_path.clone()),
                256,
                32,
                Some((listener, predecessor)),
            )
            .await;
            let since = Instant::now();
            new.next_discovery_call().await;
            fail_call(&new, failure);
            expect_next_call(&mut new, since, &format!("{discovery}, {failure:?}")).await;
            answer_with_list(&new, &worker, 2).await;
            std::fs::remove_file(handover_path).unwrap();
        }
    }
}

/// A discovery service for all nodes, which processes one call at a time.
#[derive(Clone)]
struct Service {
    list: String,
    pace: Pace,
    /// Held by the call that is being processed.
    processing: Arc<Semaphore>,
    /// Calls that were never answered, because they came before the service was up.
    unanswered: Arc<AtomicU32>,
    /// Has a permit once the service answers.
    up: Arc<Semaphore>,
    /// Calls since then.
    calls: Arc<AtomicU32>,
}

/// How fast the service is.
#[derive(Clone, Copy)]
struct Pace {
    /// The processing time of a call, whether or not its caller still waits.
    processing_time: Duration,
    /// A call that has waited this long is rejected.
    queue_timeout: Duration,
}

impl Service {
    fn new(list: String, pace: Pace) -> Service {
        let (up, processing) = (Arc::new(Semaphore::new(0)), Arc::new(Semaphore::new(1)));
        Service { list, pace, up, processing, unanswered: Arc::default(), calls: Arc::default() }
    }

    /// An address for one node: the kernel may hold fewer new connections at one address than there are
    /// nodes.
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
                self.unanswered.fetch_add(1, Ordering::Relaxed);
                std::future::pending::<()>().await;
            }
            self.calls.fetch_add(1, Ordering::Relaxed);
            let (status, body) = match timeout(self.pace.queue_timeout, self.processing.acquire()).await {
                Ok(_permit) => {
                    sleep(self.pace.processing_time).await;
                    ("200 OK", self.list.as_str())
                }
                Err(_) => ("503 Service Unavailable", ""),
            };
            let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes()).await.ok()?;
            if status.starts_with("200") {
                std::future::pending::<()>().await; // the watch that comes next is not answered
            }
        }
    }
}

/// The number of nodes that call one service.
const NODES: usize = 350;

/// Starts the nodes with a service that answers none of their first calls, and then all later ones.
async fn start_nodes(pace: Pace) -> (Vec<PlatformNode>, Service, Instant) {
    let worker = Worker::start().await;
    let entry = worker.list_entry("s-1", "in_service");
    let list = json!({"revision": 2, "complete": true, "members": [entry]}).to_string();
    let service = Service::new(list, pace);
    let mut nodes = Vec::with_capacity(NODES);
    for n in 0..NODES {
        let parts = json!({"settings": settings("ask", NODES as u32), "known": [entry], "seed": n.to_string(),
            "discovery": service.listen().await.to_string()});
        nodes.push(PlatformNode::start_with_config(parts).await);
    }
    let unanswered = || service.unanswered.load(Ordering::Relaxed) as usize;
    advance_until("every node has made a call that is not answered", Duration::from_millis(1), || {
        unanswered() >= NODES
    })
    .await;
    service.up.add_permits(1);
    (nodes, service, Instant::now())
}

/// The number of nodes that have applied this many lists within this time.
async fn count_updated(nodes: &[PlatformNode], lists: u64, since: Instant, within: Duration) -> usize {
    let updated = || nodes.iter().filter(|node| node.counters.endpoint_lists_applied.get() >= lists).count();
    while since.elapsed() < within && updated() < nodes.len() {
        advance(Duration::from_millis(1)).await;
    }
    for _ in 0..1000 {
        yield_now().await;
    }
    updated()
}

/// 350 nodes call one service that does not answer when they start: each receives the change in time, and
/// again after the watches of all of them go unanswered.
#[tokio::test(start_paused = true)]
async fn each_of_350_nodes_of_one_service_receives_a_change_in_time() {
    let pace = Pace { processing_time: Duration::from_millis(2), queue_timeout: Duration::from_secs(2) };
    let (nodes, _service, since) = start_nodes(pace).await;
    assert_eq!(
        count_updated(&nodes, 1, since, UPDATE_DEADLINE).await,
        NODES,
        "after unanswered calls at the start"
    );
    let since = Instant::now();
    assert_eq!(count_updated(&nodes, 2, since, UPDATE_DEADLINE).await, NODES, "after unanswered watches");
}

/// A service is three seconds behind with its calls: no node abandons a call before the answer could come,
/// since a repeated call has to be processed like the first.
#[tokio::test(start_paused = true)]
async fn calls_to_an_overloaded_service_are_not_repeated() {
    let pace = Pace { processing_time: Duration::from_millis(7), queue_timeout: Duration::from_secs(60) };
    let (nodes, service, since) = start_nodes(pace).await;
    assert_eq!(
        count_updated(&nodes, 1, since, 2 * UPDATE_DEADLINE).await,
        NODES,
        "after {:?}",
        since.elapsed()
    );
    assert!(service.calls.load(Ordering::Relaxed) <= NODES as u32 + 10, "calls were repeated");
}
