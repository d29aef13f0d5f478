//! The dispatcher with a recording frontend, under random steps on a paused clock.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;

use bytes::Bytes;
use common::{run_paused, seeded_quickcheck, settings};
use dispatch_policy::api::{Availability, Endpoint, Outcome, Request, WorkerId};
use molevale::counters::Counters;
use molevale::dispatcher::{queue, Answer, AttemptId, AttemptStart, Dispatcher, Frontend, Handle};
use molevale::names::parse_settings;
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// What the dispatcher asked of its frontend.
#[derive(Default)]
struct Record {
    in_flight: BTreeMap<u64, (AttemptId, WorkerId)>, // by request
    stopped: Vec<(u64, Outcome)>,                    // told to stop, and not ended yet
    answers: BTreeMap<u64, Answer>,
    draining: BTreeMap<WorkerId, Instant>,
    sent: BTreeMap<u64, u32>,
}

struct RecordingFrontend(Arc<Mutex<Record>>);

impl Frontend for RecordingFrontend {
    type Job = u64;
    type Attempt = u64;

    fn send(&mut self, attempt_id: AttemptId, request_id: &u64, worker: WorkerId, until: Instant) -> u64 {
        let mut record = self.0.lock().unwrap();
        assert!(!record.answers.contains_key(request_id), "request {request_id} was sent after its answer");
        assert!(
            record.in_flight.insert(*request_id, (attempt_id, worker)).is_none(),
            "request {request_id} has two attempts in flight"
        );
        assert!(until > Instant::now());
        let drained_for = record.draining.get(&worker).map_or(Duration::ZERO, Instant::elapsed);
        assert!(drained_for <= Duration::from_millis(500), "sent to a draining worker");
        let sent = record.sent.entry(*request_id).or_default();
        assert_eq!(attempt_id.attempt, *sent);
        *sent += 1;
        assert!(*sent <= 3, "request {request_id} has too many attempts");
        *request_id
    }

    fn stop(&mut self, request_id: u64, outcome: Outcome) {
        let mut record = self.0.lock().unwrap();
        assert!(
            record.in_flight.contains_key(&request_id),
            "request {request_id} was stopped with no attempt in flight"
        );
        record.stopped.push((request_id, outcome));
    }

    fn answer(&mut self, request_id: u64, answer: Answer) {
        let earlier = self.0.lock().unwrap().answers.insert(request_id, answer);
        assert_eq!(earlier, None, "request {request_id} was answered twice");
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Accept(bool),
    EndAttempt(u8, Outcome),
    ClientLeft(u8),
    Transfer(u8),
    UpdateList(bool, bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        use Outcome::*;
        let outcomes = [Success, Success, Success, Error, Rejected, ConnectionLost, ConnectFailed];
        match u8::arbitrary(g) % 10 {
            0..=3 => Step::Accept(bool::arbitrary(g)),
            4..=6 => Step::EndAttempt(u8::arbitrary(g), *g.choose(&outcomes).unwrap()),
            7 if bool::arbitrary(g) => Step::ClientLeft(u8::arbitrary(g)),
            7 => Step::Transfer(u8::arbitrary(g)),
            8 => Step::UpdateList(bool::arbitrary(g), bool::arbitrary(g)),
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

fn endpoint(worker: u64, availability: Availability) -> Endpoint {
    Endpoint { worker: WorkerId(worker), kind: 0, zone: 0, cell: 0, availability, weight: 1.0, started_at: 0 }
}

/// Lets the dispatcher process its queue, and ends the attempts that it stopped, as a frontend does.
async fn settle(handle: &Handle<u64>, record: &Mutex<Record>) {
    loop {
        sleep(Duration::from_micros(1)).await;
        let stopped = std::mem::take(&mut record.lock().unwrap().stopped);
        if stopped.is_empty() {
            return;
        }
        for (request_id, outcome) in stopped {
            let (attempt_id, _) = record.lock().unwrap().in_flight.remove(&request_id).unwrap();
            handle.ended(attempt_id, outcome, None, Bytes::new());
            handle.ended(attempt_id, Outcome::Success, None, Bytes::new()); // a second outcome is ignored
        }
    }
}

async fn run_steps(steps: Vec<Step>) {
    let (settings, _) = parse_settings(&settings(true, 1_000_000)).unwrap();
    let record = Arc::new(Mutex::new(Record::default()));
    let counters = Arc::new(Counters::default());
    let (handle, inbox) = queue();
    let dispatcher =
        Dispatcher::new(settings, 7, RecordingFrontend(record.clone()), counters.clone()).unwrap();
    let task = tokio::spawn(dispatcher.run(inbox));
    handle.update_endpoints(vec![endpoint(1, Availability::Ready), endpoint(2, Availability::Ready)], true);
    let (mut requests, mut clients_left) = (Vec::new(), 0);
    for step in steps {
        match step {
            Step::Accept(is_lodge) => {
                let class = usize::from(is_lodge);
                let request = Request { class, time_left_us: 5_000_000, ..Request::default() };
                requests.push(handle.submit(request, requests.len() as u64));
            }
            Step::EndAttempt(n, outcome) => {
                let mut record = record.lock().unwrap();
                let request_id =
                    record.in_flight.keys().copied().nth(usize::from(n) % record.in_flight.len().max(1));
                if let Some((attempt_id, _)) = request_id.and_then(|id| record.in_flight.remove(&id)) {
                    handle.ended(attempt_id, outcome, None, Bytes::from_static(b"r"));
                }
            }
            Step::ClientLeft(n) if !requests.is_empty() => {
                let request_id = usize::from(n) % requests.len();
                // A client that has left must get no answer; one that already has its answer can no longer
                // leave.
                if !record.lock().unwrap().answers.contains_key(&(request_id as u64)) {
                    handle.client_left(requests[request_id]);
                    clients_left += 1;
                    settle(&handle, &record).await;
                    record.lock().unwrap().answers.entry(request_id as u64).or_insert(Answer::Failed);
                }
            }
            Step::ClientLeft(_) => {}
            Step::Transfer(n) => {
                // An attempt in flight is transferred to another process, which then answers; this one must
                // not.
                let mut record = record.lock().unwrap();
                let request_id =
                    record.in_flight.keys().copied().nth(usize::from(n) % record.in_flight.len().max(1));
                if let Some((attempt_id, _)) = request_id.and_then(|id| record.in_flight.get(&id).copied()) {
                    handle.transferred(attempt_id);
                    // An answer from here would be a second one.
                    record.answers.insert(request_id.unwrap(), Answer::Failed);
                }
            }
            Step::UpdateList(second, is_draining) => {
                let worker = 1 + u64::from(second);
                let state = if is_draining { Availability::Draining } else { Availability::Ready };
                handle.update_endpoints(vec![endpoint(worker, state)], false);
                let mut record = record.lock().unwrap();
                if is_draining {
                    record.draining.entry(WorkerId(worker)).or_insert_with(Instant::now);
                } else {
                    record.draining.remove(&WorkerId(worker));
                }
            }
            Step::Wait(n) => sleep(Duration::from_millis(u64::from(n) * 10)).await,
        }
        settle(&handle, &record).await;
    }
    for _ in 0..60 {
        sleep(Duration::from_millis(100)).await;
        settle(&handle, &record).await;
    }
    let record = record.lock().unwrap();
    assert_eq!(record.answers.len(), requests.len(), "each request has its answer");
    assert!(record.in_flight.is_empty(), "no attempt is still in flight");
    let c = &counters;
    assert_eq!(
        c.requests_accepted.get(),
        c.served.get() + c.shed.get() + c.failed.get() + c.client_left.get() + c.transferred_out.get()
    );
    assert_eq!(c.client_left.get(), clients_left);
    assert!(!task.is_finished(), "the dispatcher has ended");
}

#[test]
fn random_steps_yield_one_answer_per_request_and_one_outcome_per_attempt() {
    fn property(steps: Vec<Step>) -> bool {
        run_paused(run_steps(steps))
    }
    seeded_quickcheck(200, 100).quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Guards against `request_unanswered_at_deadline`: the decision module answers a request before its deadline, also if the
/// request has waited, or the dispatcher is slower than the time that is left. The dispatcher would answer it as failed.
#[tokio::test]
async fn the_decision_module_answers_before_the_deadline_however_late_it_is_told() {
    const REQUESTS: u64 = 2_000;
    let (settings, _) = parse_settings(&settings(true, 1_000_000)).unwrap();
    let (record, counters) = (Arc::new(Mutex::new(Record::default())), Arc::new(Counters::default()));
    let (handle, inbox) = queue();
    let dispatcher =
        Dispatcher::new(settings, 7, RecordingFrontend(record.clone()), counters.clone()).unwrap();
    // No worker is known, and the dispatcher is not running yet.
    for n in 0..REQUESTS {
        handle.submit(Request { time_left_us: 1 + n * 100, ..Request::default() }, n);
    }
    std::thread::sleep(Duration::from_millis(40));
    let task = tokio::spawn(dispatcher.run(inbox));
    while record.lock().unwrap().answers.len() < REQUESTS as usize {
        sleep(Duration::from_millis(1)).await;
    }
    assert_eq!((counters.shed.get(), counters.failed.get()), (REQUESTS, 0), "{counters}");
    task.abort();
}

/// Guards against `request_unanswered_at_deadline` in a handover: an adopted request waited between its offer and its acceptance,
/// and the decision module, which was given the time of the offer, held it beyond its deadline.
#[tokio::test(start_paused = true)]
async fn an_adopted_request_that_has_waited_is_answered_by_the_decision_module() {
    const LEFT: Duration = Duration::from_millis(1_383);
    const WAIT: Duration = Duration::from_millis(150);
    let (settings, _) = parse_settings(&settings(true, 60_000_000)).unwrap();
    let (record, counters) = (Arc::new(Mutex::new(Record::default())), Arc::new(Counters::default()));
    let (handle, inbox) = queue();
    let dispatcher =
        Dispatcher::new(settings, 7, RecordingFrontend(record.clone()), counters.clone()).unwrap();
    let task = tokio::spawn(dispatcher.run(inbox));
    handle.update_endpoints(vec![endpoint(1, Availability::Ready)], true);
    settle(&handle, &record).await;
    let offered_at = Instant::now();
    sleep(WAIT).await;
    let start = AttemptStart {
        worker: WorkerId(1),
        sent_at: offered_at,
        started_at: None,
        deadline: offered_at + LEFT,
        max_attempts: 3,
    };
    handle.adopt(Request { time_left_us: LEFT.as_micros() as u64, ..Request::default() }, 0, start);
    settle(&handle, &record).await;
    handle.update_endpoints(vec![endpoint(1, Availability::Draining)], true); // no worker is left for another attempt
    let (attempt_id, _) = record.lock().unwrap().in_flight.remove(&0).unwrap();
    handle.ended(attempt_id, Outcome::Error, None, Bytes::new());
    sleep(LEFT - WAIT).await;
    let answer = record.lock().unwrap().answers.remove(&0);
    assert!(matches!(answer, Some(Answer::Shed(_))), "by the decision module: {answer:?}");
    task.abort();
}

/// Guards against review 6: an attempt whose worker reports without a pause filled the queue, which has no limit.
#[tokio::test]
async fn unread_reports_of_an_attempt_take_one_place_in_the_queue() {
    const REPORTS: u32 = 10_000;
    let (handle, inbox) = queue::<u64>();
    for report in 0..REPORTS {
        for request in 1..=3 {
            let attempt_id = AttemptId { request, attempt: 0 };
            handle.acknowledged(attempt_id);
            handle.started(attempt_id);
            handle.progress(attempt_id, f64::from(report) / f64::from(REPORTS));
        }
    }
    assert_eq!(inbox.len(), 3);
}

/// Guards against review 6: the dispatcher yielded after a fixed number of events, however many the other tasks sent meanwhile.
#[tokio::test]
async fn the_dispatcher_empties_its_queue_each_time_it_runs() {
    const REQUESTS: u64 = 5_000;
    let (settings, _) = parse_settings(&settings(true, 1_000_000)).unwrap();
    let (record, counters) = (Arc::new(Mutex::new(Record::default())), Arc::new(Counters::default()));
    let (handle, inbox) = queue();
    let dispatcher = Dispatcher::new(settings, 7, RecordingFrontend(record), counters.clone()).unwrap();
    for n in 0..REQUESTS {
        handle.submit(Request { time_left_us: 5_000_000, ..Request::default() }, n);
    }
    let task = tokio::spawn(dispatcher.run(inbox));
    tokio::task::yield_now().await;
    assert_eq!(counters.requests_accepted.get(), REQUESTS);
    task.abort();
}
