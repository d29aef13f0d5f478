//! The end of a node with the Faktory frontend: clients get the end of their jobs before it, as long as they can.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{begin_stop, faktory_config, freeze_clock, FaktoryConnection};
use molevale::counters::Counters;
use molevale::faktory::{Error, Server};
use molevale::phase::Phases;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, JoinHandle};
use tokio::time::{advance, sleep, Instant};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Earliest time of SIGKILL after SIGTERM, for deadlines of 3 s and more.
const KILL_AFTER: Duration = ms(3_700);
/// Longest time between the moment in which nothing is owed any more and the end.
const END_DELAY: Duration = ms(100);

/// A node whose classes have deadlines of 5 and 8 s, and its task.
struct Node {
    server: Server,
    phases: Phases,
    address: SocketAddr,
    task: JoinHandle<Result<(), Error>>,
}

impl Node {
    async fn start() -> Node {
        let (counters, phases) = (Arc::new(Counters::default()), Phases::default());
        let server = Server::start(&faktory_config(1_000_000), 7, None, counters, phases.clone()).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let task = tokio::spawn({
            let server = server.clone();
            async move { server.serve(listener, 16).await }
        });
        Node { server, phases, address, task }
    }

    /// Has a worker fetch a job that a client pushes.
    async fn begin_job(&self, jid: &str) -> (FaktoryConnection, FaktoryConnection) {
        let mut client = FaktoryConnection::connect_client(&self.server).await;
        let mut worker = FaktoryConnection::connect_worker(&self.server, &format!("worker-of-{jid}")).await;
        worker.send_line("FETCH lodge").await;
        assert_eq!(client.push("lodge", jid, jid).await, "+OK");
        assert!(worker.read_reply().await.contains(jid));
        (client, worker)
    }

    /// Connects a client over TCP.
    async fn connect_tcp(&self) -> FaktoryConnection {
        let socket = TcpStream::connect(self.address).await.unwrap();
        let mut client = FaktoryConnection(BufReader::new(Box::new(socket)));
        client.read_reply().await;
        assert_eq!(client.send_command("HELLO {\"v\":2}").await, "+OK");
        client
    }

    /// State of a job, as a client reads it before the process ends.
    async fn job_state(&self, client: &mut FaktoryConnection, jid: &str) -> String {
        assert!(!self.task.is_finished(), "the node has ended before {jid} was asked for");
        client.job_state(jid).await
    }

    /// Waits for the end and returns the time since `since`.
    async fn end(self, since: Instant) -> Duration {
        self.task.await.unwrap().unwrap();
        since.elapsed()
    }
}

/// Guards against a node that ends with its last job, before any client can ask for the end of it.
#[tokio::test(start_paused = true)]
async fn a_stopping_node_waits_until_clients_have_read_the_end_of_their_jobs() {
    for first_asked_after in [ms(0), ms(250), ms(1_500)] {
        let node = Node::start().await;
        let (mut client, mut worker) = node.begin_job("job-00001").await;
        begin_stop(&node.phases).await;
        let stopped_at = Instant::now();
        sleep(ms(1_400)).await;
        assert_eq!(worker.ack("job-00001").await, "+OK");
        sleep(first_asked_after).await;
        let state = node.job_state(&mut client, "job-00001").await;
        assert_eq!(state, "served", "asked {first_asked_after:?} later");
        let ended_after = node.end(stopped_at).await;
        let read_after = ms(1_400) + first_asked_after;
        assert!(ended_after <= read_after + END_DELAY, "{ended_after:?}: nothing is owed any more");
    }
}

/// The wait ends by itself before SIGKILL may come, also if nobody asks; a job that ended before SIGTERM is owed too.
#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_ask_does_not_hold_a_stopping_node_until_it_is_killed() {
    for has_ended_before in [false, true] {
        let node = Node::start().await;
        let (_client, mut worker) = node.begin_job("job-00001").await;
        if has_ended_before {
            assert_eq!(worker.ack("job-00001").await, "+OK");
        }
        begin_stop(&node.phases).await;
        let stopped_at = Instant::now();
        sleep(ms(1_000)).await;
        if !has_ended_before {
            assert_eq!(worker.ack("job-00001").await, "+OK");
        }
        let ended_after = node.end(stopped_at).await;
        assert!(ended_after > ms(3_400) && ended_after < KILL_AFTER, "{ended_after:?}");
    }
}

/// What nobody waits for any more delays nothing: answers that were read, and those of clients that have given up.
#[tokio::test(start_paused = true)]
async fn a_stopping_node_that_owes_nothing_ends_at_once() {
    for has_read in [true, false] {
        let node = Node::start().await;
        let (mut client, mut worker) = node.begin_job("job-00001").await;
        assert_eq!(worker.ack("job-00001").await, "+OK");
        match has_read {
            true => assert_eq!(client.job_state("job-00001").await, "served"),
            false => sleep(ms(9_100)).await,
        }
        begin_stop(&node.phases).await;
        let ended_after = node.end(Instant::now()).await;
        assert!(ended_after <= ms(720) + END_DELAY, "{ended_after:?}");
    }
}

/// Each accepted push is owed an end: that of a repeat under another jid, too.
#[tokio::test(start_paused = true)]
async fn a_stopping_node_waits_for_the_clients_of_all_repeats() {
    let node = Node::start().await;
    let (mut client, mut worker) = node.begin_job("job-00001").await;
    let mut other = FaktoryConnection::connect_client(&node.server).await;
    assert_eq!(other.push("lodge", "job-00002", "job-00001").await, "+OK");
    assert_eq!(worker.ack("job-00001").await, "+OK");
    begin_stop(&node.phases).await;
    let stopped_at = Instant::now();
    assert_eq!(node.job_state(&mut client, "job-00001").await, "served");
    sleep(ms(2_000)).await;
    assert_eq!(node.job_state(&mut other, "job-00002").await, "served");
    assert!(node.end(stopped_at).await <= ms(2_000) + END_DELAY);
}

/// A refusal and a failure are ends like any other, and a job may end later than SIGKILL would have come.
#[tokio::test(start_paused = true)]
async fn a_stopping_node_waits_for_clients_of_jobs_that_end_at_their_deadline() {
    let node = Node::start().await;
    let (mut client, _worker) = node.begin_job("job-00001").await;
    let mut unassigned = FaktoryConnection::connect_client(&node.server).await;
    assert_eq!(unassigned.push("check", "job-00002", "b").await, "+OK");
    begin_stop(&node.phases).await;
    let stopped_at = Instant::now();
    let mut ends = [None, None];
    while ends.iter().any(Option::is_none) {
        sleep(ms(250)).await;
        for (end, (client, jid)) in
            ends.iter_mut().zip([(&mut client, "job-00001"), (&mut unassigned, "job-00002")])
        {
            let state = node.job_state(client, jid).await;
            *end = (state == "refused" || state == "failed").then_some(state).or(end.take());
        }
    }
    let ended_after = node.end(stopped_at).await;
    assert!(ended_after > KILL_AFTER && ended_after < ms(8_600), "{ended_after:?}");
}

/// How a client's connection ends behind its question for the end of a job.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// It is closed before the reply comes.
    ClosedBeforeReply,
    /// It is closed while the reply lies unread in the socket.
    ReplyUnread,
}

impl Loss {
    async fn play(self, node: &Node, jid: &str) {
        let mut client = node.connect_tcp().await;
        client.send_line(&format!("TRACK GET {jid}")).await;
        if let Loss::ReplyUnread = self {
            sleep(ms(10)).await;
        }
    }
}

/// Guards against a reply that counts as read although its connection was lost: the client asks again over a new one.
#[tokio::test]
async fn a_reply_that_is_lost_with_its_connection_does_not_end_a_stopping_node() {
    for loss in [Loss::ClosedBeforeReply, Loss::ReplyUnread] {
        let node = Node::start().await;
        let (_client, mut worker) = node.begin_job("job-00001").await;
        assert_eq!(worker.ack("job-00001").await, "+OK");
        begin_stop(&node.phases).await;
        let stopped_at = Instant::now();
        sleep(ms(900)).await;
        loss.play(&node, "job-00001").await;
        sleep(ms(300)).await;
        assert!(!node.task.is_finished(), "{loss:?}: the node has ended, its client knows nothing");
        let mut client = node.connect_tcp().await;
        assert_eq!(client.job_state("job-00001").await, "served", "{loss:?}");
        drop(client);
        let ended_after = node.end(stopped_at).await;
        assert!(ended_after < ms(2_000), "{loss:?}: {ended_after:?}: nothing is owed any more");
    }
}

/// Clients that connect anew to ask are served while the node drains; new jobs are not taken then.
#[tokio::test(start_paused = true)]
async fn a_draining_node_serves_clients_that_connect_anew() {
    let _frozen_clock = freeze_clock();
    let node = Node::start().await;
    let (client, mut worker) = node.begin_job("job-00001").await;
    drop(client);
    begin_stop(&node.phases).await;
    for _ in 0..20 {
        advance(ms(50)).await;
        yield_now().await;
    }
    let mut late = node.connect_tcp().await;
    assert_eq!(late.job_state("job-00001").await, "working");
    assert!(late.push("lodge", "job-00002", "b").await.starts_with("-SHUTDOWN"));
    assert_eq!(late.push("lodge", "job-00001", "job-00001").await, "+OK", "a repeat of its job");
    assert_eq!(worker.ack("job-00001").await, "+OK");
    assert_eq!(late.job_state("job-00001").await, "served");
    advance(END_DELAY).await;
    node.task.await.unwrap().unwrap();
}

/// A job that comes so late after SIGTERM that it would have to be answered before SIGKILL is not taken.
#[tokio::test(start_paused = true)]
async fn no_job_is_taken_that_sigkill_may_not_interrupt() {
    let node = Node::start().await;
    let mut client = FaktoryConnection::connect_client(&node.server).await;
    let _worker = FaktoryConnection::connect_worker(&node.server, "w1").await;
    begin_stop(&node.phases).await;
    sleep(ms(690)).await;
    assert_eq!(client.push("lodge", "job-00001", "a").await, "+OK");
    sleep(ms(15)).await;
    assert!(client.push("lodge", "job-00002", "b").await.starts_with("-SHUTDOWN"));
}
