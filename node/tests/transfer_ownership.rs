//! A running request that is being transferred to another process has one owner at every instant.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, settings, Client, PlatformNode, ReceivedRequest, Worker};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::json;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::advance;

const ID: &str = "9b1f03aa5c7e2d41";
/// Requests that are served before: the budget for retries grows with them.
const SERVED_BEFORE: u64 = 20;

/// The next request at either worker, on a new connection.
async fn receive_request(workers: &[Worker; 2]) -> ReceivedRequest {
    tokio::select! {
        received = workers[0].receive_request() => received,
        received = workers[1].receive_request() => received,
    }
}

/// A node with a request in flight at one of two workers, which may be taken over.
struct Setup {
    path: PathBuf,
    old: PlatformNode,
    client: Client,
    received: ReceivedRequest,
    workers: [Worker; 2],
}

impl Setup {
    /// Starts the node with a request of this class, whose client waits this long.
    async fn start(name: &str, class: &str, wait_s: f64) -> Setup {
        let path = std::env::temp_dir().join(format!("molevale-owner-{}-{name}", std::process::id()));
        let workers = [Worker::start().await, Worker::start().await];
        let known = [workers[0].list_entry("s-1", "in_service"), workers[1].list_entry("s-2", "in_service")];
        let parts = json!({"settings": settings(true, 500_000), "known": known});
        let old =
            PlatformNode::start_with_config_and_handover(parts, Some(path.clone()), 256, 32, None).await;
        while !path.exists() {
            yield_now().await;
        }
        let mut client = Client::connect(&old).await;
        for n in 0..SERVED_BEFORE {
            client.send_after_pause(&request(class, &format!("served-{n}"), 5.0, "")).await;
            receive_request(&workers).await.complete("r").await;
            assert_eq!(client.read_answer().await.unwrap().status, 200);
        }
        client.send_after_pause(&request(class, ID, wait_s, "")).await;
        let received = receive_request(&workers).await;
        Setup { path, old, client, received, workers }
    }

    /// Looks up the serving process, as its successor does.
    async fn find_predecessor(&self) -> (tokio::net::TcpListener, Predecessor) {
        match Predecessor::look_up(&self.path).await {
            PredecessorLookup::Serving(listener, predecessor) => (listener, predecessor),
            _ => panic!("no predecessor is serving"),
        }
    }
}

/// Yields until events of sockets have been processed.
async fn settle() {
    for _ in 0..200 {
        yield_now().await;
    }
}

/// Guards against incident 9474ef: while a successor holds its reply back, the attempt timeout and the deadline pass in
/// the predecessor, which then began a second attempt beside the first.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_offered_to_a_successor_is_not_sent_again() {
    for (class, wait_s) in [("check", 5.0), ("lodge", 8.0), ("check", 0.4)] {
        for is_accepted in [false, true] {
            let setup = Setup::start(&format!("offer-{class}-{wait_s}-{is_accepted}"), class, wait_s).await;
            let (_listener, predecessor) = setup.find_predecessor().await;
            let Setup { path, old, client, received, workers } = setup;
            let (_, link) = predecessor.take_over().await;
            let (offer, mut offered) = unbounded_channel();
            let (decide, decided) = mpsc::channel::<()>();
            let (keep, kept) = mpsc::channel();
            let adopt = move |_: &str, sockets| {
                offer.send(()).unwrap();
                decided.recv().unwrap();
                keep.send(sockets).unwrap();
                is_accepted
            };
            let runtime = tokio::runtime::Handle::current();
            // On a thread of its own, so that it can hold back its reply while the clock advances here.
            let successor = std::thread::spawn(move || {
                let run = link.run(|_| {}, adopt);
                let _ = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(60), run).await });
            });
            offered.recv().await.unwrap();
            for _ in 0..50 {
                advance(Duration::from_millis(20)).await;
                settle().await;
            }
            let case = format!("{class}, {wait_s} s, accepted: {is_accepted}");
            assert_eq!(
                old.counters.attempts_sent.get(),
                SERVED_BEFORE + 1,
                "{case}: sent again while it was offered"
            );
            decide.send(()).unwrap();
            kept.recv().unwrap();
            settle().await;
            let moved = u64::from(is_accepted);
            assert_eq!(old.counters.transferred_out.get(), moved, "{case}");
            if is_accepted {
                assert_eq!(
                    old.counters.attempts_sent.get(),
                    1,
                    "{case}: sent again after it was transferred"
                );
            }
            drop((client, received, workers));
            advance(Duration::from_secs(60)).await;
            successor.join().unwrap();
            std::fs::remove_file(path).unwrap();
        }
    }
}
