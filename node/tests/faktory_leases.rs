//! The lease table of the Faktory frontend, called as the dispatcher and the sessions call it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use bytes::Bytes;
use common::{faktory_job, settings};
use dispatch_policy::api::{Outcome, WorkerId};
use molevale::dispatcher::{queue, stable_hash, AttemptId};
use molevale::faktory::leases::{ClassLimits, Intake, LeaseTable};
use molevale::names::parse_settings;
use std::time::Duration;

const JID: &str = "job-00001";

/// A table with the classes of the common settings, of which `lodge` requires an idempotency key.
fn lease_table() -> LeaseTable {
    let (dispatcher, _inbox) = queue();
    let (_, names) = parse_settings(&settings(false, 1_000_000)).unwrap();
    let limits =
        ClassLimits { deadline: Duration::from_secs(25), deduplication_window: Duration::from_secs(40) };
    let limits = vec![limits; names.classes.len()];
    LeaseTable::new(dispatcher, names, limits)
}

fn push_job(leases: &mut LeaseTable) {
    let text = faktory_job("lodge", JID, "consignment");
    let job = serde_json::from_str(&text).unwrap();
    leases.push(job, Bytes::from(text), Intake::Open).unwrap();
}

fn attempt(attempt: u32) -> AttemptId {
    AttemptId { request: 9, attempt }
}

fn worker(name: &str) -> WorkerId {
    WorkerId(stable_hash(name))
}

/// An ACK names only a jid: if the job were leased to the same worker again, a late ACK of the lost attempt would end the
/// new one.
#[tokio::test]
async fn worker_that_lost_a_lease_is_not_offered_the_job_again() {
    let mut leases = lease_table();
    push_job(&mut leases);
    let (number, queues) = (1, ["lodge".to_string()]);
    leases.session_opened("one");
    let (_, mut first) = leases.fetch("one", &queues);
    assert!(!leases.offer(attempt(0), number, worker("one")), "a FETCH was waiting");
    assert_eq!(first.try_recv().unwrap().attempt, attempt(0));
    leases.session_closed("one");
    leases.session_opened("one");
    let (_, mut again) = leases.fetch("one", &queues);
    leases.offer(attempt(1), number, worker("one"));
    assert!(again.try_recv().is_err(), "the same worker");
    assert!(leases.finish("one", JID, Outcome::Success).is_err(), "a late ACK of the lost attempt");
    leases.session_opened("two");
    let (_, mut other) = leases.fetch("two", &queues);
    leases.offer(attempt(2), number, worker("two"));
    assert_eq!(other.try_recv().unwrap().attempt, attempt(2));
}
