//! A running request that is being transferred to another process has one owner at every instant.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::handover_link::HandoverLink;
use common::handover_setup::{settle, HandoverSetup};
use common::{request, settings, PlatformNode};
use molevale::process_handover::{Claim, ClaimResult};
use serde_json::Value;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::yield_now;
use tokio::time::advance;

const ID: &str = "9b1f03aa5c7e2d41";
/// Requests that are served before: the budget for retries grows with them.
const SERVED_BEFORE: u64 = 20;

/// Starts a node with a request of this class, whose client waits this long.
async fn start(name: &str, class: &str, wait_s: f64) -> HandoverSetup {
    let text = request(class, ID, wait_s, "");
    HandoverSetup::start(&format!("owner-{name}"), settings(true, 500_000), SERVED_BEFORE, &text).await
}

/// Guards against incident 9474ef: while a successor holds its reply back, the attempt timeout and the deadline pass in
/// the predecessor, which then began a second attempt beside the first.
#[tokio::test(start_paused = true)]
async fn a_request_that_is_offered_to_a_successor_is_not_sent_again() {
    for (class, wait_s) in [("check", 5.0), ("lodge", 8.0), ("check", 0.4)] {
        for is_accepted in [false, true] {
            let setup = start(&format!("offer-{class}-{wait_s}-{is_accepted}"), class, wait_s).await;
            let (_listener, predecessor) = setup.find_predecessor().await;
            let HandoverSetup { path, old, client, received, workers } = setup;
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
                let run = link.run(|_| {}, adopt, || false);
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
                let sent = old.counters.attempts_sent.get();
                assert_eq!(sent, SERVED_BEFORE + 1, "{case}: sent again after it was transferred");
            }
            drop((client, received, workers));
            advance(Duration::from_secs(60)).await;
            successor.join().unwrap();
            std::fs::remove_file(path).unwrap();
        }
    }
}

/// The message of a successor that continues requests by the rules that come with them.
const READY: &str = "ready rules";

/// Lets time pass in small steps, as for a process whose successor is stalled.
async fn pass(time: Duration) {
    for _ in 0..time.as_millis() / 20 {
        advance(Duration::from_millis(20)).await;
        settle().await;
    }
}

/// A reply that is overdue is no 'no': the predecessor resumes the request only if it gets the claim, and then a successor
/// that wakes up late no longer can.
#[tokio::test(start_paused = true)]
async fn an_offer_without_a_reply_is_withdrawn_only_with_its_claim() {
    let HandoverSetup { path, old, mut client, received, workers } = start("overdue", "check", 5.0).await;
    let mut link = HandoverLink::take_over(&path, READY).await;
    let (_, [_client_socket, _worker_socket, claim]) = link.receive_offer().await;
    pass(Duration::from_millis(200)).await;
    assert_eq!(Claim::received(claim).take(), ClaimResult::Lost, "the predecessor has withdrawn the offer");
    let mut received = received;
    received.complete("here").await;
    assert_eq!(client.read_answer().await.unwrap().body, "here", "the request continues where it was");
    link.send_text("no\n").await;
    settle().await;
    assert_eq!(old.counters.attempts_sent.get(), SERVED_BEFORE + 1);
    assert_eq!(old.counters.transferred_out.get(), 0);
    drop((link, workers));
    std::fs::remove_file(path).unwrap();
}

/// A successor that took the claim and stalls owns the request, whatever times out in the predecessor. When it ends, its
/// predecessor reports the failure, and the worker sees the end of the attempt although both processes held its socket.
#[tokio::test(start_paused = true)]
async fn a_claimed_request_is_the_successors_until_it_ends() {
    for replies in [false, true] {
        let setup = start(&format!("claimed-{replies}"), "check", 5.0).await;
        let HandoverSetup { path, old, mut client, received, workers } = setup;
        let mut link = HandoverLink::take_over(&path, READY).await;
        let (_, [client_socket, worker_socket, claim]) = link.receive_offer().await;
        assert_eq!(Claim::received(claim).take(), ClaimResult::Taken);
        if replies {
            link.send_text("ok\n").await;
        }
        pass(Duration::from_secs(1)).await;
        assert_eq!(old.counters.attempts_sent.get(), SERVED_BEFORE + 1, "replies: {replies}: sent again");
        drop((link, client_socket, worker_socket));
        let answer = client.read_answer().await.expect("an answer");
        assert_eq!(answer.status, 502, "replies: {replies}: it may have been executed");
        assert!(received.next_request().await.is_none(), "the attempt's connection is closed");
        assert_eq!(old.counters.attempts_sent.get(), SERVED_BEFORE + 1, "replies: {replies}");
        old.assert_nothing_open().await;
        drop(workers);
        std::fs::remove_file(path).unwrap();
    }
}

/// The client of a successor that ended within its answer gets no second one: it would take that for the answer to its
/// next request.
#[tokio::test(start_paused = true)]
async fn an_answer_that_the_successor_has_begun_is_not_followed_by_another() {
    let HandoverSetup { path, old, mut client, received, workers } = start("begun", "check", 5.0).await;
    let mut link = HandoverLink::take_over(&path, READY).await;
    let (_, [client_socket, worker_socket, claim]) = link.receive_offer().await;
    assert_eq!(Claim::received(claim).take(), ClaimResult::Taken);
    link.send_text("ok\n").await;
    settle().await;
    let mut client_socket = TcpStream::from(client_socket);
    client_socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nthere").unwrap();
    drop((link, client_socket, worker_socket));
    assert_eq!(client.read_answer().await.unwrap().body, "there");
    assert!(client.read_answer().await.is_none(), "nothing follows but the end");
    old.assert_nothing_open().await;
    drop((received, workers));
    std::fs::remove_file(path).unwrap();
}

/// A reply that cannot be understood decides nothing; the claim does.
#[tokio::test(start_paused = true)]
async fn a_garbled_reply_leaves_the_decision_to_the_claim() {
    for is_claimed in [false, true] {
        let setup = start(&format!("garbled-{is_claimed}"), "check", 5.0).await;
        let HandoverSetup { path, old, mut client, mut received, workers } = setup;
        let mut link = HandoverLink::take_over(&path, READY).await;
        let (_, [client_socket, worker_socket, claim]) = link.receive_offer().await;
        if is_claimed {
            assert_eq!(Claim::received(claim).take(), ClaimResult::Taken);
        }
        link.send_text("perhaps\n").await;
        settle().await;
        if is_claimed {
            pass(Duration::from_secs(1)).await;
            assert_eq!(old.counters.transferred_out.get(), 1);
        } else {
            received.complete("here").await;
            assert_eq!(client.read_answer().await.unwrap().body, "here");
        }
        assert_eq!(old.counters.attempts_sent.get(), SERVED_BEFORE + 1, "claimed: {is_claimed}");
        drop((link, client_socket, worker_socket, received, workers));
        std::fs::remove_file(path).unwrap();
    }
}

/// The first predecessor watches the requests that it transferred. While it lives, they are not passed on to a third
/// process, whose end it could not notice.
#[tokio::test(start_paused = true)]
async fn an_adopted_request_is_not_passed_on_while_its_first_owner_watches_it() {
    let setup = start("third", "check", 5.0).await;
    let predecessor = setup.find_predecessor().await;
    let HandoverSetup { path, old, mut client, mut received, workers } = setup;
    let second =
        PlatformNode::start_with_handover(Some(path.clone()), vec![], 256, 32, Some(predecessor)).await;
    while second.counters.transferred_in.get() < 1 {
        yield_now().await;
    }
    settle().await;
    let mut link = HandoverLink::take_over(&path, READY).await;
    assert_eq!(link.receive_descriptors().await.len(), 0, "a report of held resources, and no offer");
    received.complete("second").await;
    assert_eq!(client.read_answer().await.unwrap().body, "second");
    assert_eq!((old.counters.transferred_out.get(), second.counters.transferred_out.get()), (1, 0));
    link.read_line().await;
    drop((link, workers));
    std::fs::remove_file(path).unwrap();
}

/// The record of an offer tells when it was sent, by the clock that all processes of a machine share, so that the time in
/// the link of a stalled process is deducted from the client's.
#[tokio::test(start_paused = true)]
async fn an_offer_tells_when_it_was_sent() {
    let HandoverSetup { path, client, received, workers, .. } = start("sent-at", "check", 5.0).await;
    let mut link = HandoverLink::take_over(&path, READY).await;
    let (record, _descriptors) = link.receive_offer().await;
    let record: Value = serde_json::from_str(&record).unwrap();
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    let age = now.tv_sec - record["at"]["secs"].as_i64().unwrap();
    assert!((0..60).contains(&age), "sent {age} s ago");
    drop((link, client, received, workers));
    std::fs::remove_file(path).unwrap();
}
