//! No attempt begins for a client that has left, even if the process could not notice it then, because the
//! client's socket was frozen for a transfer to another process, or was being transferred. In each test the
//! worker returns the request meanwhile, so that a further attempt is due at once.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::handover_setup::{settle, HandoverSetup};
use common::{request, settings, Client, PlatformNode};
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::json;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::advance;

const ID: &str = "9b1f03aa5c7e2d41";
/// The longest time after which a process notices that a client has left; no attempt may begin after that.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Departure {
    Close,
    Reset,
    HalfClose,
    /// Sends part of a further request, then closes.
    PartialRequest,
    /// Sends a complete further request, then closes.
    FurtherRequest,
    /// Sends more than the node reads ahead, then closes.
    LongRequest,
}

const DEPARTURES: [Departure; 6] = [
    Departure::Close,
    Departure::Reset,
    Departure::HalfClose,
    Departure::PartialRequest,
    Departure::FurtherRequest,
    Departure::LongRequest,
];

/// What the client sends after the request before it leaves.
fn bytes_after_request(departure: Departure) -> String {
    match departure {
        Departure::PartialRequest => "POST /check HTTP/1.1\r\nX-Req".to_string(),
        Departure::FurtherRequest => request("check", "9b1f03aa5c7e2d4f", 60.0, "x"),
        Departure::LongRequest => request("check", "9b1f03aa5c7e2d4f", 60.0, &"x".repeat(60_000)),
        Departure::Close | Departure::Reset | Departure::HalfClose => String::new(),
    }
}

/// The client leaves; one that half-closes is returned, so that its connection stays open.
async fn leave(mut client: Client, departure: Departure) -> Option<Client> {
    client.send(&bytes_after_request(departure)).await;
    close(client, departure).await
}

async fn close(mut client: Client, departure: Departure) -> Option<Client> {
    match departure {
        Departure::Reset => client.reset(),
        Departure::HalfClose => {
            client.half_close().await;
            return Some(client);
        }
        Departure::Close | Departure::PartialRequest | Departure::FurtherRequest | Departure::LongRequest => {
        }
    }
    None
}

/// A worker's update that returns the request, and the end of its response.
fn returned_update() -> String {
    let line = json!({"id": ID, "from": "s-1", "state": "returned"}).to_string();
    format!("{:x}\r\n{line}\n\r\n0\r\n\r\n", line.len() + 1)
}

/// Starts a node with an acknowledged request.
async fn start(name: &str) -> HandoverSetup {
    let text = request("lodge", ID, 60.0, "");
    let mut setup = HandoverSetup::start(&format!("gone-{name}"), settings(true, 60_000_000), 0, &text).await;
    setup.received.begin_response().await;
    while setup.old.counters.acknowledged.get() < 1 {
        yield_now().await;
    }
    setup
}

/// The successor holds the offered request for a while and then rejects it. This process continues it, with a
/// client that left long before, and in the same instant reads that the worker has returned it.
#[tokio::test(start_paused = true)]
async fn a_request_that_thaws_after_its_client_left_is_not_retried() {
    for departure in DEPARTURES {
        let HandoverSetup { path, old, client, received, workers } = start(&format!("{departure:?}")).await;
        let PredecessorLookup::Serving(_listener, predecessor) = Predecessor::look_up(&path).await else {
            panic!("no predecessor is serving")
        };
        let (_, predecessor_link) = predecessor.take_over().await;
        let (offer, mut offered) = unbounded_channel();
        let (decide, decided) = mpsc::channel::<()>();
        let adopt = move |_: &str, _| {
            offer.send(()).unwrap();
            decided.recv().unwrap();
            false
        };
        let runtime = tokio::runtime::Handle::current();
        // On a thread of its own, so that it can hold back its decision while the clock advances here.
        let successor = std::thread::spawn(move || {
            let run = predecessor_link.run(|_| {}, adopt, || false);
            let _ = runtime.block_on(async { tokio::time::timeout(Duration::from_secs(60), run).await });
        });
        offered.recv().await.unwrap();
        let _half_closed = leave(client, departure).await;
        received.write_now(&returned_update());
        settle().await;
        advance(2 * NOTICED_WITHIN).await;
        settle().await;
        assert_eq!(old.counters.client_left.get(), 0, "{departure:?}: frozen");
        decide.send(()).unwrap();
        common::advance_until("the node notices that the client has left", Duration::from_millis(10), || {
            old.counters.client_left.get() == 1
        })
        .await;
        old.assert_nothing_open().await;
        assert_eq!(
            old.counters.attempts_sent.get(),
            1,
            "{departure:?}: retried although its client had left"
        );
        assert_eq!(
            old.counters.requests_accepted.get(),
            1,
            "{departure:?}: bytes after the request are not accepted"
        );
        drop(workers);
        advance(Duration::from_secs(60)).await;
        successor.join().unwrap();
        std::fs::remove_file(path).unwrap();
    }
}

/// At each step of a handover, the process that has the request then begins no further attempt.
#[tokio::test(start_paused = true)]
async fn a_request_whose_client_leaves_during_a_handover_is_not_retried() {
    for departure in DEPARTURES {
        for steps in (0..60).step_by(3) {
            let setup = start(&format!("over-{departure:?}-{steps}")).await;
            let predecessor = setup.find_predecessor().await;
            let HandoverSetup { path, old, client, received, workers } = setup;
            let new =
                PlatformNode::start_with_handover(Some(path.clone()), vec![], 256, 32, Some(predecessor))
                    .await;
            for _ in 0..steps {
                yield_now().await;
            }
            let _half_closed = leave(client, departure).await;
            received.write_now(&returned_update());
            settle().await;
            advance(NOTICED_WITHIN).await;
            common::advance_until(
                "the node notices that the client has left",
                Duration::from_millis(10),
                || old.counters.client_left.get() + new.counters.client_left.get() == 1,
            )
            .await;
            let sent = old.counters.attempts_sent.get() + new.counters.attempts_sent.get();
            assert_eq!(sent, 1, "{departure:?} after {steps} steps: retried although its client had left");
            old.assert_nothing_open().await;
            drop(workers);
            std::fs::remove_file(path).unwrap();
        }
    }
}

/// Bytes after the request are known and still unread when the client closes. The close must still be noticed
/// in time, and at once if a further attempt is due.
#[tokio::test(start_paused = true)]
async fn a_close_after_unread_bytes_is_noticed_in_time() {
    for departure in [Departure::PartialRequest, Departure::FurtherRequest, Departure::LongRequest] {
        for retry_due_at_once in [false, true] {
            let setup = start(&format!("late-{departure:?}-{retry_due_at_once}")).await;
            let HandoverSetup { path, old, mut client, received, workers } = setup;
            client.send(&bytes_after_request(departure)).await;
            settle().await;
            advance(Duration::from_millis(1)).await;
            settle().await;
            let _half_closed = close(client, departure).await;
            settle().await;
            if !retry_due_at_once {
                advance(NOTICED_WITHIN - Duration::from_millis(1)).await;
                settle().await;
                assert_eq!(
                    old.counters.client_left.get(),
                    1,
                    "{departure:?}: not noticed after {NOTICED_WITHIN:?}"
                );
            }
            received.write_now(&returned_update());
            settle().await;
            assert_eq!(
                old.counters.client_left.get(),
                1,
                "{departure:?}: not noticed when a further attempt was due"
            );
            old.assert_nothing_open().await;
            assert_eq!(
                (old.counters.attempts_sent.get(), old.counters.requests_accepted.get()),
                (1, 1),
                "{departure:?}"
            );
            drop(workers);
            std::fs::remove_file(path).unwrap();
        }
    }
}
