//! The lease table of the Faktory frontend, called as the dispatcher and the sessions call it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use bytes::Bytes;
use dispatch_policy::api::{Idempotency, KeyScope, Outcome, WorkerId};
use molevale::dispatcher::{queue, stable_hash, AttemptId};
use molevale::faktory::leases::{ClassLimits, Intake, LeaseTable};
use molevale::names::Names;
use std::time::Duration;

/// An ACK names only a jid: if the job were leased to the same worker again, a late ACK of the lost attempt would end the
/// new one.
#[tokio::test]
async fn worker_that_lost_a_lease_is_not_offered_the_job_again() {
    let (dispatcher, _inbox) = queue();
    let names = Names {
        classes: vec!["lodge".into()],
        idempotency: vec![Idempotency::WithKey(KeyScope::Fleet)],
        ..Names::default()
    };
    let limits =
        ClassLimits { deadline: Duration::from_secs(25), deduplication_window: Duration::from_secs(40) };
    let mut leases = LeaseTable::new(dispatcher, names, vec![limits]);
    let text = r#"{"jid":"job-00001","jobtype":"declare","args":[],"queue":"lodge"}"#;
    let job = serde_json::from_str(text).unwrap();
    let _outcome = leases.push(job, Bytes::from_static(text.as_bytes()), Intake::Open).unwrap();
    let (number, queues) = (1, ["lodge".to_string()]);
    let attempt = |attempt| AttemptId { request: 9, attempt };
    let worker = |name| WorkerId(stable_hash(name));
    leases.session_opened("one");
    let (_, mut first) = leases.fetch("one", &queues);
    assert!(!leases.offer(attempt(0), number, worker("one")), "a FETCH was waiting");
    assert_eq!(first.try_recv().unwrap().attempt, attempt(0));
    leases.session_closed("one");
    leases.session_opened("one");
    let (_, mut again) = leases.fetch("one", &queues);
    leases.offer(attempt(1), number, worker("one"));
    assert!(again.try_recv().is_err(), "the same worker");
    assert!(leases.finish("one", "job-00001", Outcome::Success).is_err(), "a late ACK of the lost attempt");
    leases.session_opened("two");
    let (_, mut other) = leases.fetch("two", &queues);
    leases.offer(attempt(2), number, worker("two"));
    assert_eq!(other.try_recv().unwrap().attempt, attempt(2));
}
