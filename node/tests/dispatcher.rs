//! The core with a front that only takes notes, against random steps on paused time.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;

use bytes::Bytes;
use common::{run_paused, seeded_quickcheck, settings};
use dispatch_policy::api::{Availability, Endpoint, Outcome, Request, WorkerId};
use molevale::counters::Counters;
use molevale::dispatcher::{queue, Answer, AttemptId, Dispatcher, Frontend, Handle};
use molevale::names::parse_settings;
use quickcheck::{Arbitrary, Gen};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// What the core asked for.
#[derive(Default)]
struct Notes {
    out: BTreeMap<u64, (AttemptId, WorkerId)>, // by job: the attempt that is out
    stopped: Vec<(u64, Outcome)>,              // told to stop, and not ended yet
    answers: BTreeMap<u64, Answer>,
    draining: BTreeMap<WorkerId, Instant>,
    sent: BTreeMap<u64, u32>,
}

struct Noting(Arc<Mutex<Notes>>);

impl Frontend for Noting {
    type Job = u64;
    type Attempt = u64;

    fn send(&mut self, tag: AttemptId, job: &u64, worker: WorkerId, until: Instant) -> u64 {
        let mut notes = self.0.lock().unwrap();
        assert!(!notes.answers.contains_key(job), "job {job} was sent after its answer");
        assert!(notes.out.insert(*job, (tag, worker)).is_none(), "job {job} is out twice");
        assert!(until > Instant::now());
        let late = notes.draining.get(&worker).map_or(Duration::ZERO, Instant::elapsed);
        assert!(late <= Duration::from_millis(500), "sent to a worker that drains");
        let sent = notes.sent.entry(*job).or_default();
        assert_eq!(tag.attempt, *sent);
        *sent += 1;
        assert!(*sent <= 3, "job {job} has too many attempts");
        *job
    }

    fn stop(&mut self, job: u64, why: Outcome) {
        let mut notes = self.0.lock().unwrap();
        assert!(notes.out.contains_key(&job), "job {job} was stopped and not out");
        notes.stopped.push((job, why));
    }

    fn answer(&mut self, job: u64, answer: Answer) {
        let earlier = self.0.lock().unwrap().answers.insert(job, answer);
        assert_eq!(earlier, None, "job {job} was answered twice");
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Accept(bool),
    End(u8, Outcome),
    Left(u8),
    Move(u8),
    List(bool, bool),
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        use Outcome::*;
        let ends = [Success, Success, Success, Error, Rejected, ConnectionLost, ConnectFailed];
        match u8::arbitrary(g) % 10 {
            0..=3 => Step::Accept(bool::arbitrary(g)),
            4..=6 => Step::End(u8::arbitrary(g), *g.choose(&ends).unwrap()),
            7 if bool::arbitrary(g) => Step::Left(u8::arbitrary(g)),
            7 => Step::Move(u8::arbitrary(g)),
            8 => Step::List(bool::arbitrary(g), bool::arbitrary(g)),
            _ => Step::Wait(u8::arbitrary(g)),
        }
    }
}

fn line(worker: u64, availability: Availability) -> Endpoint {
    Endpoint { worker: WorkerId(worker), kind: 0, zone: 0, cell: 0, availability, weight: 1.0, started_at: 0 }
}

/// Lets the core take what is in its queue and ends what it told to stop, as a front does.
async fn settle(core: &Handle<u64>, notes: &Mutex<Notes>) {
    loop {
        sleep(Duration::from_micros(1)).await;
        let stopped = std::mem::take(&mut notes.lock().unwrap().stopped);
        if stopped.is_empty() {
            return;
        }
        for (job, why) in stopped {
            let (tag, _) = notes.lock().unwrap().out.remove(&job).unwrap();
            core.ended(tag, why, None, Bytes::new());
            core.ended(tag, Outcome::Success, None, Bytes::new()); // a second outcome counts for nothing
        }
    }
}

async fn walk(steps: Vec<Step>) {
    let (settings, _) = parse_settings(&settings(true, 1_000_000)).unwrap();
    let notes = Arc::new(Mutex::new(Notes::default()));
    let counters = Arc::new(Counters::default());
    let (core, inbox) = queue();
    let dispatcher = Dispatcher::new(settings, 7, Noting(notes.clone()), counters.clone()).unwrap();
    let task = tokio::spawn(dispatcher.run(inbox));
    core.update_endpoints(vec![line(1, Availability::Ready), line(2, Availability::Ready)], true);
    let (mut jobs, mut left) = (Vec::new(), 0);
    for step in steps {
        match step {
            Step::Accept(lodge) => {
                let class = usize::from(lodge);
                let request = Request { class, time_left_us: 5_000_000, ..Request::default() };
                jobs.push(core.submit(request, jobs.len() as u64));
            }
            Step::End(n, outcome) => {
                let mut notes = notes.lock().unwrap();
                let job = notes.out.keys().copied().nth(usize::from(n) % notes.out.len().max(1));
                if let Some((tag, _)) = job.and_then(|j| notes.out.remove(&j)) {
                    core.ended(tag, outcome, None, Bytes::from_static(b"r"));
                }
            }
            Step::Left(n) if !jobs.is_empty() => {
                let job = usize::from(n) % jobs.len();
                // A client that leaves has no answer to come; one that has its answer is no news.
                if !notes.lock().unwrap().answers.contains_key(&(job as u64)) {
                    core.client_left(jobs[job]);
                    left += 1;
                    settle(&core, &notes).await;
                    notes.lock().unwrap().answers.entry(job as u64).or_insert(Answer::Failed);
                }
            }
            Step::Left(_) => {}
            Step::Move(n) => {
                // It is out, so that another process may go on with it; nothing more is heard of it here.
                let mut notes = notes.lock().unwrap();
                let job = notes.out.keys().copied().nth(usize::from(n) % notes.out.len().max(1));
                if let Some((tag, _)) = job.and_then(|j| notes.out.get(&j).copied()) {
                    core.transferred(tag);
                    notes.answers.insert(job.unwrap(), Answer::Failed); // an answer here would be a second one
                }
            }
            Step::List(second, drains) => {
                let worker = 1 + u64::from(second);
                let state = if drains { Availability::Draining } else { Availability::Ready };
                core.update_endpoints(vec![line(worker, state)], false);
                let mut notes = notes.lock().unwrap();
                if drains {
                    notes.draining.entry(WorkerId(worker)).or_insert_with(Instant::now);
                } else {
                    notes.draining.remove(&WorkerId(worker));
                }
            }
            Step::Wait(n) => sleep(Duration::from_millis(u64::from(n) * 10)).await,
        }
        settle(&core, &notes).await;
    }
    for _ in 0..60 {
        sleep(Duration::from_millis(100)).await;
        settle(&core, &notes).await;
    }
    let notes = notes.lock().unwrap();
    assert_eq!(notes.answers.len(), jobs.len(), "each request has its answer");
    assert!(notes.out.is_empty(), "no attempt is left out");
    let c = &counters;
    assert_eq!(
        c.requests_accepted.get(),
        c.served.get() + c.shed.get() + c.failed.get() + c.client_left.get() + c.transferred_out.get()
    );
    assert_eq!(c.client_left.get(), left);
    assert!(!task.is_finished(), "the core has ended");
}

#[test]
fn random_steps_get_one_answer_a_request_and_one_outcome_an_attempt() {
    fn property(steps: Vec<Step>) -> bool {
        run_paused(walk(steps))
    }
    seeded_quickcheck(200, 100).quickcheck(property as fn(Vec<Step>) -> bool);
}
