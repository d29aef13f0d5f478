//! No attempt begins for a client that has gone, also where its leaving could not be seen when it happened: while its
//! socket was frozen for a move to another process, or in the middle of that move. Each time the worker hands the job back
//! meanwhile, so that a further attempt is due at once.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, ReceivedRequest, Worker};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::json;
use std::path::PathBuf;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::advance;

const ID: &str = "9b1f03aa5c7e2d41";
/// From here on after a client has left, no attempt may begin.
const LEFT: Duration = Duration::from_millis(100);

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Close,
    Reset,
    HalfClose,
    /// A close behind part of a further request.
    Part,
    /// A close behind a whole further request.
    Further,
    /// A close behind more than the node reads ahead.
    Much,
}

const WAYS: [Way; 6] = [Way::Close, Way::Reset, Way::HalfClose, Way::Part, Way::Further, Way::Much];

/// What comes behind the request before the client leaves.
fn behind(way: Way) -> String {
    match way {
        Way::Part => "POST /check HTTP/1.1\r\nX-Req".to_string(),
        Way::Further => request("check", "9b1f03aa5c7e2d4f", 60.0, "x"),
        Way::Much => request("check", "9b1f03aa5c7e2d4f", 60.0, &"x".repeat(60_000)),
        Way::Close | Way::Reset | Way::HalfClose => String::new(),
    }
}

/// The client leaves; one that half-closes stays to be kept.
async fn leave(mut client: Client, way: Way) -> Option<Client> {
    client.send(&behind(way)).await;
    go(client, way).await
}

async fn go(mut client: Client, way: Way) -> Option<Client> {
    match way {
        Way::Reset => client.reset(),
        Way::HalfClose => {
            client.half_close().await;
            return Some(client);
        }
        Way::Close | Way::Part | Way::Further | Way::Much => {}
    }
    None
}

/// A worker's line that hands the job back, and the end of its answer.
fn handed_back() -> String {
    let line = json!({"id": ID, "from": "s-1", "state": "returned"}).to_string();
    format!("{:x}\r\n{line}\n\r\n0\r\n\r\n", line.len() + 1)
}

/// A node that may be taken over, with a job at one worker while another is free.
struct TransferredJob {
    place: PathBuf,
    old: PlatformNode,
    client: Client,
    seen: ReceivedRequest,
    workers: [Worker; 2],
}

impl TransferredJob {
    async fn start(name: &str) -> TransferredJob {
        let place = std::env::temp_dir().join(format!("molevale-gone-{}-{name}", std::process::id()));
        let workers = [Worker::start().await, Worker::start().await];
        let known =
            vec![workers[0].list_entry("s-1", "in_service"), workers[1].list_entry("s-2", "in_service")];
        let old = PlatformNode::start_with_handover(Some(place.clone()), known, 256, 32, None).await;
        while !place.exists() {
            yield_now().await;
        }
        let mut client = Client::connect(&old).await;
        client.send_after_pause(&request("lodge", ID, 60.0, "")).await;
        let mut seen = tokio::select! {
            seen = workers[0].receive_request() => seen,
            seen = workers[1].receive_request() => seen,
        };
        seen.begin_response().await;
        while old.counters.acknowledged.get() < 1 {
            yield_now().await;
        }
        TransferredJob { place, old, client, seen, workers }
    }

    /// The process that is to take over finds the one that serves.
    async fn find(&self) -> (tokio::net::TcpListener, Predecessor) {
        match Predecessor::look_up(&self.place).await {
            PredecessorLookup::Serving(listener, before) => (listener, before),
            _ => panic!("nobody"),
        }
    }
}

/// Lets the kernel tell what has happened.
async fn settle() {
    for _ in 0..200 {
        yield_now().await;
    }
}

/// The other process does not take the job and lets it wait: it thaws here, its client long gone, and the worker's word that
/// it hands the job back is read in the same instant.
#[tokio::test(start_paused = true)]
async fn a_job_that_thaws_without_its_client_is_not_sent_again() {
    for way in WAYS {
        let TransferredJob { place, old, client, seen, workers } =
            TransferredJob::start(&format!("{way:?}")).await;
        let PredecessorLookup::Serving(_listener, before) = Predecessor::look_up(&place).await else {
            panic!("nobody")
        };
        let (_, remains) = before.take_over().await;
        let (tell_offered, mut offered) = unbounded_channel();
        let (decide, decided) = mpsc::channel::<()>();
        let adopt = move |_: &str, _| {
            tell_offered.send(()).unwrap();
            decided.recv().unwrap();
            false
        };
        let runtime = tokio::runtime::Handle::current();
        // On a thread of its own, so that the answer can be held back while time passes here.
        let other = std::thread::spawn(move || {
            let follow = remains.run(|_| {}, adopt);
            let _ = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(60), follow).await });
        });
        offered.recv().await.unwrap();
        let _kept = leave(client, way).await;
        seen.write_now(&handed_back());
        settle().await;
        advance(2 * LEFT).await;
        settle().await;
        assert_eq!(old.counters.client_left.get(), 0, "{way:?}: frozen");
        decide.send(()).unwrap();
        common::advance_until("it is seen that the client has left", Duration::from_millis(10), || {
            old.counters.client_left.get() == 1
        })
        .await;
        old.assert_nothing_open().await;
        assert_eq!(old.counters.attempts_sent.get(), 1, "{way:?}: sent again though its client had left");
        assert_eq!(old.counters.requests_accepted.get(), 1, "{way:?}: what came behind it is not taken");
        drop(workers);
        advance(Duration::from_secs(60)).await;
        other.join().unwrap();
        std::fs::remove_file(place).unwrap();
    }
}

/// At each step of a hand-over: whichever process has the job then begins no further attempt.
#[tokio::test(start_paused = true)]
async fn a_job_whose_client_leaves_in_a_hand_over_is_not_sent_again() {
    for way in WAYS {
        for steps in (0..60).step_by(3) {
            let moving = TransferredJob::start(&format!("over-{way:?}-{steps}")).await;
            let found = moving.find().await;
            let TransferredJob { place, old, client, seen, workers } = moving;
            let new =
                PlatformNode::start_with_handover(Some(place.clone()), vec![], 256, 32, Some(found)).await;
            for _ in 0..steps {
                yield_now().await;
            }
            let _kept = leave(client, way).await;
            seen.write_now(&handed_back());
            settle().await;
            advance(LEFT).await;
            common::advance_until("it is seen that the client has left", Duration::from_millis(10), || {
                old.counters.client_left.get() + new.counters.client_left.get() == 1
            })
            .await;
            let sent = old.counters.attempts_sent.get() + new.counters.attempts_sent.get();
            assert_eq!(sent, 1, "{way:?} after {steps} steps: sent again though its client had left");
            old.assert_nothing_open().await;
            drop(workers);
            std::fs::remove_file(place).unwrap();
        }
    }
}

/// The bytes behind the request have been seen and are left unread when the client closes: that is seen in time all the
/// same, and at once where a further attempt is due.
#[tokio::test(start_paused = true)]
async fn a_close_behind_bytes_that_were_seen_is_seen_in_time() {
    for way in [Way::Part, Way::Further, Way::Much] {
        for due_at_once in [false, true] {
            let moving = TransferredJob::start(&format!("late-{way:?}-{due_at_once}")).await;
            let TransferredJob { place, old, mut client, seen, workers } = moving;
            client.send(&behind(way)).await;
            settle().await;
            advance(Duration::from_millis(1)).await;
            settle().await;
            let _kept = go(client, way).await;
            settle().await;
            if !due_at_once {
                advance(LEFT - Duration::from_millis(1)).await;
                settle().await;
                assert_eq!(old.counters.client_left.get(), 1, "{way:?}: not seen after {LEFT:?}");
            }
            seen.write_now(&handed_back());
            settle().await;
            assert_eq!(old.counters.client_left.get(), 1, "{way:?}: not seen when a further attempt was due");
            old.assert_nothing_open().await;
            assert_eq!(
                (old.counters.attempts_sent.get(), old.counters.requests_accepted.get()),
                (1, 1),
                "{way:?}"
            );
            drop(workers);
            std::fs::remove_file(place).unwrap();
        }
    }
}
