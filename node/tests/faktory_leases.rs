//! The lease table of the Faktory frontend, called as the dispatcher and the sessions call it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use bytes::Bytes;
use common::{faktory_job, settings};
use dispatch_policy::api::{Outcome, WorkerId};
use molevale::dispatcher::{queue, stable_hash, Answer, AttemptId};
use molevale::faktory::leases::{
    ClassLimits, Intake, JobNumber, JobState, LeaseTable, PushError, SessionNumber, TableLimits,
};
use molevale::names::parse_settings;
use std::time::Duration;
use tokio::time::Instant;

const JID: &str = "job-00001";
/// Session of the clients.
const SESSION: SessionNumber = 1;

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
    leases.push(SESSION, job, Bytes::from(text), Intake::Open).unwrap();
}

/// Reads the final answer to the job that was pushed last under this id.
fn read_answer(leases: &mut LeaseTable, jid: &str) {
    let number = leases.track(jid).unwrap().number;
    leases.answer_read(number, jid);
}

/// Pushes the first job of a table and has the dispatcher admit it. Returns its number.
fn push_first_job(leases: &mut LeaseTable) -> JobNumber {
    push_job(leases);
    leases.job_admitted(1);
    1
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
    let number = push_first_job(&mut leases);
    let queues = ["lodge".to_string()];
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

/// Guards against a refusal that pushes can't get past: an attempt that surely was not sent, behind one that was rejected,
/// counted as a possible execution.
#[tokio::test]
async fn a_refused_job_whose_attempts_were_not_sent_is_submitted_again() {
    let mut leases = lease_table();
    let number = push_first_job(&mut leases);
    let queues = ["lodge".to_string()];
    leases.session_opened("one");
    assert!(leases.offer(attempt(0), number, worker("one")), "no FETCH was waiting");
    leases.expire_offer(number, attempt(0));
    leases.session_opened("two");
    let (_, mut fetch) = leases.fetch("two", &queues);
    leases.offer(attempt(1), number, worker("two"));
    leases.delivery_failed(&fetch.try_recv().unwrap(), true);
    leases.job_answered(number, Answer::Shed(Duration::from_secs(1)));
    push_job(&mut leases);
    assert_eq!(leases.job_state(JID), Some(JobState::Enqueued));
}

/// The same where an attempt before was sent: the job may have run.
#[tokio::test]
async fn a_refused_job_of_which_one_attempt_was_sent_is_not_submitted_again() {
    let refusal = Answer::Shed(Duration::from_secs(1));
    let mut leases = lease_table();
    let number = push_first_job(&mut leases);
    let queues = ["lodge".to_string()];
    for (name, is_unsent) in [("one", false), ("two", true)] {
        leases.session_opened(name);
        let (_, mut fetch) = leases.fetch(name, &queues);
        leases.offer(attempt(u32::from(is_unsent)), number, worker(name));
        leases.delivery_failed(&fetch.try_recv().unwrap(), is_unsent);
    }
    leases.job_answered(number, refusal.clone());
    push_job(&mut leases);
    assert_eq!(leases.job_state(JID), Some(JobState::Ended(refusal)));
}

/// Pushes a job of this class from a session.
fn push_from(
    leases: &mut LeaseTable,
    session: SessionNumber,
    class: &str,
    jid: &str,
) -> Result<(), PushError> {
    let text = faktory_job(class, jid, jid);
    let job = serde_json::from_str(&text).unwrap();
    leases.push(session, job, Bytes::from(text), Intake::Open).map(|_| ())
}

/// Guards incident d3629f: one session at full speed took all places, and the jobs of all others were rejected.
#[tokio::test]
async fn one_session_leaves_places_for_others() {
    const PLACES: usize = 80;
    let limits = TableLimits { ids: PLACES, payload_bytes: 1 << 20 };
    let mut leases = lease_table().with_limits(limits);
    let push = |leases: &mut LeaseTable, session, n: usize| {
        push_from(leases, session, "lodge", &format!("job-{session}-{n:04}"))
    };
    let taken = (0..PLACES).filter(|n| push(&mut leases, 1, *n).is_ok()).count();
    assert_eq!(taken, PLACES / 2, "by the session that floods");
    let taken = (0..PLACES / 8).filter(|n| push(&mut leases, 2, *n).is_ok()).count();
    assert_eq!(taken, PLACES / 8, "by another one");
    assert_eq!(push(&mut leases, 1, PLACES), Err(PushError::TableFull));
}

/// Guards incident d3629f: the ids of duplicates were not counted, 64 of them for each job.
#[tokio::test]
async fn ids_of_duplicates_take_places() {
    let limits = TableLimits { ids: 8, payload_bytes: 1 << 20 };
    let mut leases = lease_table().with_limits(limits);
    let mut push = |n: u64| {
        let text = faktory_job("lodge", &format!("job-{n:05}"), "one key");
        let job = serde_json::from_str(&text).unwrap();
        leases.push(n, job, Bytes::from(text), Intake::Open).map(|_| ())
    };
    assert_eq!((0..20).filter(|n| push(*n).is_ok()).count(), 8);
}

/// A full table gives up the records of safe jobs whose clients have read the answer, and no others.
#[tokio::test]
async fn a_full_table_releases_ended_safe_jobs_whose_answer_was_read() {
    let limits = TableLimits { ids: 4, payload_bytes: 1 << 20 };
    let mut leases = lease_table().with_limits(limits);
    let classes = ["check", "check", "lodge", "check"];
    for (n, class) in classes.iter().enumerate() {
        push_from(&mut leases, n as u64, class, &format!("job-{n:05}")).unwrap();
        leases.job_admitted(n as JobNumber + 1);
    }
    assert_eq!(push_from(&mut leases, 9, "check", "job-00009"), Err(PushError::TableFull), "all are open");
    for number in 1..=3 {
        leases.job_answered(number, Answer::Failed);
    }
    read_answer(&mut leases, "job-00000");
    read_answer(&mut leases, "job-00002");
    push_from(&mut leases, 9, "check", "job-00009").unwrap();
    assert_eq!(leases.job_state("job-00000"), None, "safe and read");
    assert!(leases.job_state("job-00001").is_some(), "safe and not read");
    assert!(leases.job_state("job-00002").is_some(), "keyed: a repeat must find it");
    assert_eq!(push_from(&mut leases, 10, "check", "job-00010"), Err(PushError::TableFull));
}

const REFUSED: Answer = Answer::Shed(Duration::from_millis(500));

/// Pushes a job of class `lodge` under this id; returns its number if it is a new one, which the dispatcher has not admitted.
fn push_as(leases: &mut LeaseTable, jid: &str) -> JobNumber {
    let text = faktory_job("lodge", jid, "consignment");
    leases.push(SESSION, serde_json::from_str(&text).unwrap(), Bytes::from(text), Intake::Open).unwrap();
    leases.track(jid).unwrap().number
}

/// The same, accepted.
fn push_accepted(leases: &mut LeaseTable, jid: &str) -> JobNumber {
    let number = push_as(leases, jid);
    leases.job_admitted(number);
    number
}

/// A table with a refused job that was pushed under both ids.
fn table_with_refused_job(ids: [&str; 2]) -> LeaseTable {
    let mut leases = lease_table();
    let number = ids.map(|jid| push_accepted(&mut leases, jid))[0];
    leases.job_answered(number, REFUSED);
    leases
}

/// Guards against review 10: the record of a refused job was given up when one of its ids was pushed again. Whichever id that
/// is, and how often, the others keep their answer until it is read.
#[tokio::test]
async fn a_push_again_leaves_the_answers_of_other_ids() {
    let refused = Some(JobState::Ended(REFUSED));
    for (case, pushed_again) in
        [vec!["a"], vec!["b"], vec!["c"], vec!["a", "a"], vec!["c", "d", "c"]].iter().enumerate()
    {
        let mut leases = table_with_refused_job(["a", "b"]);
        if pushed_again[0] == "a" {
            read_answer(&mut leases, "a");
        }
        for jid in pushed_again {
            let number = push_accepted(&mut leases, jid);
            assert_eq!(leases.job_state(jid), Some(JobState::Enqueued), "case {case}");
            leases.job_answered(number, REFUSED);
        }
        for jid in ["a", "b"] {
            assert_eq!(leases.job_state(jid), refused, "case {case}: {jid}");
            assert!(
                leases.owes_answers(Instant::now() + Duration::from_secs(1)),
                "case {case}: a stop waits"
            );
            read_answer(&mut leases, jid);
        }
    }
}

/// Guards against review 10 while the newer job runs: an older id hears of the older run, and takes part in the newer one, without
/// a second execution, once it is pushed again.
#[tokio::test]
async fn an_older_id_takes_part_in_the_newer_job_once_it_is_pushed_again() {
    let mut leases = table_with_refused_job(["a", "b"]);
    let newer = push_accepted(&mut leases, "a");
    assert_eq!(leases.job_state("b"), Some(JobState::Ended(REFUSED)));
    assert_eq!(push_accepted(&mut leases, "b"), newer);
    assert_eq!((leases.job_state("b"), leases.job_count()), (Some(JobState::Enqueued), 1));
    leases.job_answered(newer, Answer::Served(Bytes::new()));
    for jid in ["a", "b"] {
        assert_eq!(leases.job_state(jid), Some(JobState::Ended(Answer::Served(Bytes::new()))));
    }
}

/// Guards against review 10 at a refusal before admission: a push that is answered with an error takes no earlier answer along.
#[tokio::test]
async fn a_push_that_is_refused_at_once_leaves_the_answer_of_the_push_before() {
    let mut leases = table_with_refused_job(["a", "b"]);
    let newer = push_as(&mut leases, "a");
    assert_eq!(push_as(&mut leases, "b"), newer);
    leases.job_answered(newer, REFUSED);
    for jid in ["a", "b"] {
        assert_eq!(leases.job_state(jid), Some(JobState::Ended(REFUSED)), "{jid}");
    }
    assert_eq!(push_accepted(&mut leases, "c"), push_accepted(&mut leases, "b"), "one job has the key");
}

/// Guards against an answer that counts as read because that of the run before was read late.
#[tokio::test]
async fn a_late_reading_of_an_older_answer_does_not_count_for_the_newer_one() {
    let mut leases = table_with_refused_job(["a", "b"]);
    let older = leases.track("a").unwrap().number;
    let newer = push_accepted(&mut leases, "a");
    leases.answer_read(older, "a");
    leases.job_answered(newer, Answer::Failed);
    read_answer(&mut leases, "b");
    assert_eq!(leases.unread_count(), 1, "the answer to the newer push is not read");
}

/// Pushes that are repeated without an end hold no places but those of unread answers, which count in the table.
#[tokio::test(start_paused = true)]
async fn repeated_pushes_hold_no_places_without_an_end() {
    const IDS: usize = 8;
    let limits = TableLimits { ids: IDS, ..TableLimits::default() };
    let mut leases = lease_table().with_limits(limits);
    for repeat in 0..100 {
        let number = push_accepted(&mut leases, "a");
        assert_eq!(push_accepted(&mut leases, "b"), number, "repeat {repeat}");
        leases.job_answered(number, REFUSED);
        assert!(leases.job_count() <= 2, "repeat {repeat}: {} jobs", leases.job_count());
    }
    let mut accepted = 0;
    for n in 0..IDS {
        let text = faktory_job("lodge", &format!("other-{n}"), "consignment");
        let pushed = leases.push(2, serde_json::from_str(&text).unwrap(), Bytes::from(text), Intake::Open);
        accepted += usize::from(pushed.is_ok());
        if let Some(job) = leases.track(&format!("other-{n}")) {
            leases.job_admitted(job.number);
            leases.job_answered(job.number, REFUSED);
        }
    }
    assert!(accepted < IDS, "unread answers count in the table");
    tokio::time::advance(Duration::from_secs(61)).await;
    push_accepted(&mut leases, "late");
    assert_eq!(leases.job_count(), 1, "all of them have their time");
}
