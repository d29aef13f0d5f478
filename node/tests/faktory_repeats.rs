//! Jobs that a client of the Faktory frontend pushes again: whether they run again depends on their class.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{faktory_config_with, FaktoryConnection};
use molevale::counters::Counters;
use molevale::faktory::Server;
use molevale::phase::Phases;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const JID: &str = "job-00001";
const KEY: &str = "consignment";

/// Settings whose class `lodge` has this effect.
fn settings_with(semantics: &str) -> Value {
    let mut settings = common::settings(false, 1_000_000);
    settings["Profiles"][1]["Semantics"] = semantics.into();
    settings
}

fn start(settings: Value) -> (Server, Phases) {
    let (counters, phases) = (Arc::new(Counters::default()), Phases::default());
    let server = Server::start(&faktory_config_with(settings), 7, None, counters, phases.clone());
    (server.unwrap(), phases)
}

/// How the first execution of a job ends.
#[derive(Clone, Copy, Debug)]
enum FirstEnd {
    Acknowledged,
    Failed,
    WorkerLost,
    LeaseLapsed,
}

impl FirstEnd {
    const ALL: [FirstEnd; 4] =
        [FirstEnd::Acknowledged, FirstEnd::Failed, FirstEnd::WorkerLost, FirstEnd::LeaseLapsed];

    async fn play(self, mut worker: FaktoryConnection) {
        match self {
            FirstEnd::Acknowledged => assert_eq!(worker.ack(JID).await, "+OK"),
            FirstEnd::Failed => {
                let fail = format!("FAIL {{\"jid\":\"{JID}\",\"errtype\":\"E\",\"message\":\"m\"}}");
                assert_eq!(worker.send_command(&fail).await, "+OK");
            }
            FirstEnd::WorkerLost => drop(worker),
            FirstEnd::LeaseLapsed => sleep(Duration::from_millis(8_100)).await,
        }
    }
}

/// How a client pushes the job again.
#[derive(Clone, Copy, Debug)]
enum Repeat {
    SameConnection,
    NewConnection,
    OtherJid,
}

impl Repeat {
    const ALL: [Repeat; 3] = [Repeat::SameConnection, Repeat::NewConnection, Repeat::OtherJid];

    /// Pushes the job again and returns its state after that.
    async fn play(self, node: &Server, client: &mut FaktoryConnection) -> String {
        let mut reconnected = FaktoryConnection::connect_client(node).await;
        let (client, jid) = match self {
            Repeat::SameConnection => (client, JID),
            Repeat::NewConnection => (&mut reconnected, JID),
            Repeat::OtherJid => (&mut reconnected, "job-00002"),
        };
        assert_eq!(client.push("lodge", jid, KEY).await, "+OK", "{self:?}");
        client.job_state(jid).await
    }
}

/// Guards against a second execution of an unsafe job whose client did not learn its end and pushes it again.
#[tokio::test(start_paused = true)]
async fn an_unsafe_job_that_is_pushed_again_after_its_end_does_not_run_again() {
    for end in FirstEnd::ALL {
        for repeat in Repeat::ALL {
            let (node, _phases) = start(settings_with("unsafe"));
            let mut client = FaktoryConnection::connect_client(&node).await;
            let mut first = FaktoryConnection::connect_worker(&node, "w1").await;
            first.send_line("FETCH lodge").await;
            assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
            assert!(first.read_reply().await.contains(JID));
            end.play(first).await;
            sleep(Duration::from_millis(10)).await;
            let end_state = client.job_state(JID).await;
            let mut second = FaktoryConnection::connect_worker(&node, "w2").await;
            assert_eq!(repeat.play(&node, &mut client).await, end_state, "{end:?}, {repeat:?}");
            assert_eq!(second.fetch().await, None, "{end:?}, {repeat:?}: it ran again");
        }
    }
}

/// The effect of the class alone decides whether a served job runs again.
#[tokio::test(start_paused = true)]
async fn a_served_job_runs_again_only_if_its_class_is_safe() {
    for (semantics, runs_again) in [("safe", true), ("keyed", false), ("unsafe", false)] {
        let (node, _phases) = start(settings_with(semantics));
        let mut client = FaktoryConnection::connect_client(&node).await;
        let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
        for is_repeat in [false, true] {
            worker.send_line("FETCH lodge").await;
            assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
            let is_fetched = worker.read_reply().await.contains(JID);
            assert_eq!(is_fetched, !is_repeat || runs_again, "{semantics}, repeat: {is_repeat}");
            if is_fetched {
                assert_eq!(worker.ack(JID).await, "+OK");
            }
            assert_eq!(client.job_state(JID).await, "served");
        }
    }
}

/// Guards against a record that is forgotten while its client may still push the job again: the class's deadline is longer
/// than the usual time for which records are kept.
#[tokio::test(start_paused = true)]
async fn an_unsafe_job_is_remembered_until_its_client_gives_up() {
    let mut settings = settings_with("unsafe");
    settings["Profiles"][1]["DeadlineUs"] = 300_000_000.into();
    let (node, _phases) = start(settings);
    let mut client = FaktoryConnection::connect_client(&node).await;
    let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
    worker.send_line("FETCH lodge").await;
    assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
    assert!(worker.read_reply().await.contains(JID));
    assert_eq!(worker.ack(JID).await, "+OK");
    sleep(Duration::from_millis(300_400)).await;
    let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
    let mut client = FaktoryConnection::connect_client(&node).await;
    assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
    assert_eq!(client.job_state(JID).await, "served");
    assert_eq!(worker.fetch().await, None, "it ran again");
}

/// Guards against an error for a job that the node has: it would tell the client that the job may be pushed to another
/// node, where it would run a second time.
#[tokio::test(start_paused = true)]
async fn a_draining_node_accepts_repeats_of_its_jobs_and_no_new_ones() {
    for semantics in ["safe", "keyed", "unsafe"] {
        let (node, phases) = start(settings_with(semantics));
        let mut client = FaktoryConnection::connect_client(&node).await;
        let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
        worker.send_line("FETCH lodge").await;
        assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
        assert!(worker.read_reply().await.contains(JID));
        phases.drain();
        assert_eq!(client.push("lodge", JID, KEY).await, "+OK", "{semantics}: the job runs");
        assert!(client.push("lodge", "job-00003", "another").await.starts_with("-SHUTDOWN"));
        assert_eq!(worker.ack(JID).await, "+OK");
        let repeat = client.push("lodge", JID, KEY).await;
        assert_eq!(repeat == "+OK", semantics != "safe", "{semantics}: the job has ended; {repeat}");
        assert_eq!(client.job_state(JID).await, "served", "{semantics}");
        assert_eq!(worker.fetch().await, None, "{semantics}: it ran again");
    }
}

/// A refusal of a job that no worker got lets the client try again: the next push of it runs, whatever its class, and that
/// end is final.
#[tokio::test(start_paused = true)]
async fn a_job_that_was_refused_before_any_worker_got_it_runs_when_it_is_pushed_again() {
    for (semantics, runs_again) in [("safe", true), ("keyed", false), ("unsafe", false)] {
        let (node, _phases) = start(settings_with(semantics));
        let mut client = FaktoryConnection::connect_client(&node).await;
        assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
        sleep(Duration::from_millis(8_100)).await;
        assert_eq!(client.job_state(JID).await, "refused", "{semantics}: there is no worker");
        let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
        assert_eq!(worker.fetch().await, None, "{semantics}: its client has not tried again");
        worker.send_line("FETCH lodge").await;
        assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
        assert!(worker.read_reply().await.contains(JID), "{semantics}");
        assert_eq!(worker.ack(JID).await, "+OK");
        assert_eq!(client.job_state(JID).await, "served", "{semantics}");
        assert_eq!(client.push("lodge", JID, KEY).await, "+OK");
        assert_eq!(worker.fetch().await.is_some(), runs_again, "{semantics}: pushed after it was served");
    }
}

/// Guards against review 10 over sessions, for each effect of a class: a push that joined another one keeps its answer when the
/// other is pushed again, also where the job was served.
#[tokio::test(start_paused = true)]
async fn a_push_that_joined_another_keeps_its_answer_when_the_other_is_pushed_again() {
    for (semantics, is_served) in [("safe", true), ("safe", false), ("keyed", false), ("unsafe", false)] {
        let (node, _phases) = start(settings_with(semantics));
        let mut first = FaktoryConnection::connect_client(&node).await;
        let mut second = FaktoryConnection::connect_client(&node).await;
        let mut worker = FaktoryConnection::connect_worker(&node, "w1").await;
        if is_served {
            worker.send_line("FETCH lodge").await;
        }
        assert_eq!(first.push("lodge", JID, KEY).await, "+OK");
        assert_eq!(second.push("lodge", "job-00002", KEY).await, "+OK");
        if is_served {
            assert!(worker.read_reply().await.contains(JID));
            assert_eq!(worker.ack(JID).await, "+OK");
        }
        sleep(Duration::from_millis(8_100)).await;
        let end_state = if is_served { "served" } else { "refused" };
        assert_eq!(first.job_state(JID).await, end_state, "{semantics}");
        assert_eq!(first.push("lodge", JID, KEY).await, "+OK", "{semantics}");
        assert_eq!(first.job_state(JID).await, "enqueued", "{semantics}: it runs again");
        assert_eq!(second.job_state("job-00002").await, end_state, "{semantics}");
    }
}
