//! Two processes as one node: here both are nodes of one process, on one Unix socket.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{request, Client, PlatformNode, Worker};
use molevale::phase::Phase;
use molevale::platform::listen;
use molevale::process_handover::{Predecessor, PredecessorLookup};
use serde_json::json;
use std::path::{Path, PathBuf};
use tokio::net::{TcpListener, UnixListener};
use tokio::task::yield_now;
use tokio::time::{advance, Duration};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

fn place(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("molevale-test-{}-{name}", std::process::id()))
}

/// The process that serves now, and its listener.
async fn find(place: &Path) -> Option<(TcpListener, Predecessor)> {
    match Predecessor::look_up(place).await {
        PredecessorLookup::Serving(listener, before) => Some((listener, before)),
        PredecessorLookup::Unresponsive | PredecessorLookup::Absent => None,
    }
}

async fn old_node(place: &Path) -> (Worker, PlatformNode) {
    let worker = Worker::start().await;
    let known = vec![worker.list_entry("s-1", "in_service")];
    let old = PlatformNode::start_with_handover(Some(place.to_path_buf()), known, 256, 32, None).await;
    while !place.exists() {
        yield_now().await;
    }
    (worker, old)
}

/// Guards clients of a node whose next version starts: no connection is refused or reset, what the old process has
/// it answers, what comes goes to the new one, which knows the workers; the old one ends by itself.
#[tokio::test(start_paused = true)]
async fn a_new_process_takes_over_and_the_old_one_answers_what_it_has() {
    let place = place("over");
    let (worker, old) = old_node(&place).await;
    let mut idle = Client::connect(&old).await;
    assert_eq!(idle.exchange(UP).await.status, 200);
    let mut busy = Client::connect(&old).await;
    let text = request("lodge", "9b1f03aa5c7e2d41", 60.0, "");
    busy.send_after_pause(&text).await;
    let mut before = worker.receive_request().await;
    before.begin_response().await;
    before.send_update(json!({"state": "started"})).await;
    while old.counters.acknowledged.get() < 1 {
        yield_now().await;
    }
    before.write("38\r\n{\"id\":\"9b1f03aa").await; // a line that is cut, here and there
    let found = find(&place).await.expect("the old process answers");
    assert!(old.phases.subscribe().borrow().is_serving(), "it serves until the new one does");
    let new = PlatformNode::start_with_handover(Some(place.clone()), vec![], 256, 32, Some(found)).await;
    assert_eq!(new.address, old.address);
    assert!(idle.read_answer().await.is_none(), "an idle connection is closed");
    let mut late = Client::connect(&old).await;
    late.send_after_pause(&request("check", "9b1f03aa5c7e2d42", 60.0, "")).await;
    let mut after = worker.receive_request().await; // it was told of this worker by the old one only
    assert_eq!((new.counters.requests_accepted.get(), old.counters.requests_accepted.get()), (1, 1));
    after.begin_response().await;
    let mut again = Client::connect(&old).await;
    assert_eq!(again.exchange(&text).await.status, 409, "the id is open in the old process");
    before.write("5c7e2d41\",\"state\":\"running\",\"share\":0.5}\n\r\n").await;
    for (seen, client, result) in [(&mut before, &mut busy, "a"), (&mut after, &mut late, "b")] {
        seen.send_update(json!({"state": "done", "result": result})).await;
        assert_eq!(client.read_answer().await.unwrap().body, result);
    }
    assert_eq!(
        (old.counters.transferred_out.get(), new.counters.transferred_in.get()),
        (1, 1),
        "it ran on in the new process"
    );
    assert_eq!(
        (old.counters.attempts_sent.get(), new.counters.attempts_sent.get()),
        (1, 1),
        "nothing was sent again"
    );
    assert_eq!(busy.exchange(UP).await.status, 200, "its connection is the new one's");
    advance(Duration::from_secs(5)).await;
    assert_eq!(old.task.await.unwrap(), Ok(()), "the old one has nothing left");
    assert_eq!(late.exchange(UP).await.status, 200);
    // The place is the new one's now.
    assert!(find(&place).await.is_some());
    std::fs::remove_file(place).unwrap();
}

/// Guards the node against a new process that fails: before it serves, and after.
#[tokio::test(start_paused = true)]
async fn the_old_process_serves_on_where_the_new_one_fails() {
    let place = place("fails");
    let (worker, old) = old_node(&place).await;
    drop(find(&place).await.expect("the old process answers"));
    assert_eq!(Client::connect(&old).await.exchange(UP).await.status, 200);
    let (listener, before) = find(&place).await.expect("it answers again");
    let (held, remains) = before.take_over().await;
    assert!(held.descriptors > 0);
    let mut phase = old.phases.subscribe();
    assert_eq!(*phase.borrow(), Phase::HandedOver);
    let mut client = Client::connect(&old).await;
    client.send_after_pause(&request("check", "9b1f03aa5c7e2d41", 60.0, "")).await;
    drop((listener, remains));
    phase.wait_for(|p| *p == Phase::Serving).await.unwrap();
    worker.receive_request().await.complete("r").await; // what waited at the listener is there still
    assert_eq!(client.read_answer().await.unwrap().body, "r");
    std::fs::remove_file(place).unwrap();
}

/// Guards running jobs that the new process does not take: they go on where they are.
#[tokio::test(start_paused = true)]
async fn a_job_that_does_not_go_over_is_answered_by_the_old_process() {
    let place = place("stays");
    let (worker, old) = old_node(&place).await;
    let mut client = Client::connect(&old).await;
    client.send_after_pause(&request("lodge", "9b1f03aa5c7e2d41", 60.0, "")).await;
    let mut seen = worker.receive_request().await;
    seen.begin_response().await;
    while old.counters.acknowledged.get() < 1 {
        yield_now().await;
    }
    let (_listener, before) = find(&place).await.unwrap();
    let (_, remains) = before.take_over().await;
    let (offer, mut offered) = tokio::sync::mpsc::unbounded_channel();
    let adopt = move |text: &str, _| {
        offer.send(text.to_string()).unwrap();
        false
    };
    let follow = tokio::spawn(remains.run(|_| {}, adopt));
    assert!(offered.recv().await.unwrap().contains("9b1f03aa5c7e2d41"));
    seen.send_update(json!({"state": "done", "result": "r"})).await;
    let got = client.read_answer().await.unwrap();
    assert_eq!((got.status, got.body.as_str(), old.counters.transferred_out.get()), (200, "r", 0));
    follow.abort();
    std::fs::remove_file(place).unwrap();
}

/// Guards the start where the process before is gone or hangs.
#[tokio::test(start_paused = true)]
async fn a_file_that_is_left_over_and_a_process_that_hangs_hold_up_no_start() {
    let place = place("stale");
    drop(UnixListener::bind(&place).unwrap());
    assert!(place.exists() && find(&place).await.is_none());
    let (worker, node) = old_node(&place).await; // its file takes the old one's place
    while find(&place).await.is_none() {
        yield_now().await;
    }
    drop((worker, node));
    std::fs::remove_file(&place).unwrap();
    let _hung = UnixListener::bind(&place).unwrap();
    let asked = tokio::spawn({
        let place = place.clone();
        async move { matches!(Predecessor::look_up(&place).await, PredecessorLookup::Unresponsive) }
    });
    for _ in 0..11 {
        yield_now().await;
        advance(Duration::from_millis(100)).await;
    }
    assert!(asked.await.unwrap());
    std::fs::remove_file(place).unwrap();
}

/// Guards an address in use: it is shared only beside a process of the node that hangs.
#[tokio::test]
async fn an_address_is_shared_only_beside_a_process_that_hangs() {
    let first = listen("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = first.local_addr().unwrap();
    assert!(listen(address, false).is_err());
    assert!(listen(address, true).is_ok());
}

/// The link to the old process, as the next one has it: a byte with descriptors, or a line.
struct Link(tokio::net::UnixStream);

impl Link {
    async fn byte(&self) {
        use rustix::net::{recvmsg, RecvAncillaryBuffer, RecvFlags};
        let receive = || {
            let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut byte = [0];
            let mut parts = [std::io::IoSliceMut::new(&mut byte)];
            Ok(recvmsg(&self.0, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC).map(drop)?)
        };
        self.0.async_io(tokio::io::Interest::READABLE, receive).await.unwrap();
    }

    async fn line(&mut self) -> String {
        use tokio::io::AsyncReadExt;
        let mut line = Vec::new();
        while line.last() != Some(&b'\n') {
            line.push(self.0.read_u8().await.unwrap());
        }
        String::from_utf8(line).unwrap()
    }

    async fn say(&mut self, word: &str) {
        use tokio::io::AsyncWriteExt;
        self.0.write_all(word.as_bytes()).await.unwrap();
    }
}

/// Jobs go over one after the other: what is told of a client's wait is what is left of it when its job goes, not when the
/// first one did.
#[tokio::test(start_paused = true)]
async fn the_time_that_the_hand_over_takes_is_gone_from_each_jobs_wait() {
    let place = place("late");
    let (worker, old) = old_node(&place).await;
    let mut clients = Vec::new();
    let mut seen = Vec::new();
    for n in 0..2 {
        let mut client = Client::connect(&old).await;
        client.send_after_pause(&request("check", &format!("9b1f03aa5c7e2d4{n}"), 60.0, "")).await;
        let mut came = worker.receive_request().await;
        came.begin_response().await;
        clients.push(client);
        seen.push(came);
    }
    while old.counters.acknowledged.get() < 2 {
        yield_now().await;
    }
    let mut link = Link(tokio::net::UnixStream::connect(&place).await.unwrap());
    link.byte().await;
    link.line().await;
    link.say("serving\n").await;
    link.line().await;
    link.say("ready\n").await;
    let left = |text: &str| {
        let job: serde_json::Value = serde_json::from_str(text).unwrap();
        let nanos = job["left"]["nanos"].as_u64().unwrap();
        Duration::new(job["left"]["secs"].as_u64().unwrap(), nanos as u32)
    };
    link.byte().await;
    let first = left(&link.line().await);
    advance(Duration::from_millis(600)).await;
    link.say("no\n").await;
    link.byte().await;
    let second = left(&link.line().await);
    assert!(second <= Duration::from_millis(59_400), "{first:?} left, then {second:?} after 0.6 s");
    link.say("no\n").await;
}
