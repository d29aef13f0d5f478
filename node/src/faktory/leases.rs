//! Who works on what: Faktory workers, the jobs pushed, and the one lease that a job may have at a time.
//! It carries the core's sends to waiting FETCHes and tells the core what became of them.

use super::codec::Push;
use crate::dispatcher::{number_of, Answer, Handle, Tag};
use crate::names::Names;
use bytes::Bytes;
use dewlever::api::{Availability, Outcome, Request, WorkerEntry, WorkerId};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// For which a send waits for a FETCH of its worker before it ends as 'full'.
pub const OFFER_WAIT: Duration = Duration::from_millis(250);
/// A worker that says nothing for so long is taken for dead, as Faktory does.
pub const SILENCE: Duration = Duration::from_secs(60);
/// The least time for which a job's end state can be asked for.
const STATE_KEPT: Duration = Duration::from_secs(60);
/// Jobs remembered, and the bytes of those not yet ended: beyond, a push is refused.
const RECORDS_MAX: usize = 20_000;
const BYTES_MAX: usize = 32 << 20;
/// Jids that may join one job. Workers have no bound of their own: one is listed for as long as it has a connection, and
/// the operator's file bounds these.
const JIDS_MAX: usize = 64;

/// The core's view of a job: the number of its record.
pub type RecordId = u64;

/// What a push comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pushed {
    /// Taken, now or before: it gets one end state.
    Taken,
    /// Refused at once: nothing was taken.
    Refused(Duration),
}

/// A job on its way to a FETCH.
#[derive(Debug)]
pub struct Delivery {
    /// The job's own bytes.
    pub payload: Bytes,
    /// The attempt that this is.
    pub tag: Tag,
    record: RecordId,
}

/// The one end state of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Not fetched yet.
    Enqueued,
    /// A worker has it.
    Working,
    /// It ended so.
    Ended(Answer),
}

/// Where the one attempt of a job is.
enum Out {
    No,
    Offered(String, Tag),
    Leased(String, Tag),
}

/// What makes a repeat a repeat: tenant, class and key.
type Key = (usize, usize, String);

struct Record {
    jids: Vec<String>, // the first one is the job's own
    key: Key,
    payload: Bytes, // until its end
    out: Out,
    handed: bool,           // a worker may have run it
    lost: BTreeSet<String>, // workers that lost it and might still answer for it
    end: Option<Answer>,
    pushers: Option<Vec<oneshot::Sender<Pushed>>>, // until the core has taken it or refused it at once
}

struct Waiting {
    fetch: u64,
    classes: Vec<usize>,
    deliver: oneshot::Sender<Delivery>,
}

#[derive(Default)]
struct Worker {
    sessions: usize,
    draining: bool,
    seen: Option<Instant>,
    waiting: VecDeque<Waiting>,
    offers: VecDeque<RecordId>,
}

/// All workers and jobs of the front.
pub struct Leases {
    core: Handle<RecordId>,
    names: Names,
    windows: Vec<(Duration, Duration)>, // by class: deadline and repeat window
    workers: BTreeMap<String, Worker>,
    numbers: HashMap<WorkerId, String>,
    records: HashMap<RecordId, Record>,
    by_jid: HashMap<String, RecordId>,
    by_key: HashMap<Key, RecordId>,
    expiry: BTreeSet<(Instant, RecordId)>,
    bytes: usize,
    next: u64,
}

impl Leases {
    /// Nothing yet; `windows` holds each class's deadline and repeat window.
    pub fn new(core: Handle<RecordId>, names: Names, windows: Vec<(Duration, Duration)>) -> Leases {
        Leases {
            core,
            names,
            windows,
            workers: BTreeMap::new(),
            numbers: HashMap::new(),
            records: HashMap::new(),
            by_jid: HashMap::new(),
            by_key: HashMap::new(),
            expiry: BTreeSet::new(),
            bytes: 0,
            next: 1,
        }
    }

    /// Jobs that have no end state yet.
    pub fn open(&self) -> usize {
        self.records.values().filter(|r| r.end.is_none()).count()
    }

    /// Workers listed, and jobs remembered.
    pub fn figures(&self) -> (usize, usize) {
        (self.workers.len(), self.records.len())
    }

    // ---- clients ----

    /// Takes a job in, or joins it to the one that it repeats. The receiver hears once the core has taken
    /// it or refused it at once.
    pub fn push(&mut self, push: Push, payload: Bytes) -> Result<oneshot::Receiver<Pushed>, String> {
        self.forget();
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name);
        let class = place(&self.names.classes, &push.queue).ok_or("the queue names no class")?;
        let custom = push.custom.unwrap_or_default();
        let tenant = match &custom.tenant {
            Some(name) => place(&self.names.tenants, name).ok_or("custom.tenant is unknown")?,
            None if self.names.tenants.is_empty() => 0,
            None => return Err("custom.tenant is missing".to_string()),
        };
        if push.at.is_some() {
            return Err("jobs that start later are not taken".to_string());
        }
        let given =
            |x: Option<f64>| x.map_or(Ok(None), |x| (x > 0.0 && x.is_finite()).then_some(Some(x)).ok_or(()));
        let deadline = given(custom.deadline).map_err(|()| "custom.deadline is not a time")?;
        let hint = given(custom.cost_hint).map_err(|()| "custom.cost_hint is not a time")?;
        let key = (tenant, class, custom.key.unwrap_or_else(|| push.jid.clone()));
        let (sender, receiver) = oneshot::channel();
        if let Some(id) = self.same(&push.jid, &key)? {
            self.join(id, push.jid, sender)?;
            return Ok(receiver);
        }
        if self.records.len() >= RECORDS_MAX || self.bytes + payload.len() > BYTES_MAX {
            return Err("too many jobs: try again later".to_string());
        }
        let id = self.next;
        self.next += 1;
        self.bytes += payload.len();
        self.by_jid.insert(push.jid.clone(), id);
        self.by_key.insert(key.clone(), id);
        let record = Record {
            jids: vec![push.jid],
            key,
            payload,
            out: Out::No,
            handed: false,
            lost: BTreeSet::new(),
            end: None,
            pushers: Some(vec![sender]),
        };
        self.records.insert(id, record);
        let wait = self.windows[class].0;
        let wait = deadline.map_or(wait, |s| wait.min(Duration::from_secs_f64(s.min(86_400.0))));
        let hint_us = hint.map(|h| h as u64);
        self.core.accept(
            Request { class, tenant, left_us: wait.as_micros() as u64, hint_us, ..Request::default() },
            id,
        );
        Ok(receiver)
    }

    /// The job that this one repeats. Guards against double lodging by clients that push again: within the
    /// window it joins the first job, unless that one was refused and surely never ran.
    fn same(&mut self, jid: &str, key: &Key) -> Result<Option<RecordId>, String> {
        let by_jid = self.by_jid.get(jid).copied();
        if by_jid.is_some_and(|id| self.records[&id].key != *key) {
            return Err("this jid is in use for another job".to_string());
        }
        let Some(id) = by_jid.or(self.by_key.get(key).copied()) else { return Ok(None) };
        let record = &self.records[&id];
        let anew = match &record.end {
            None => false,
            Some(Answer::Refused(_)) => !record.handed,
            Some(_) => !self.names.keyed[key.1],
        };
        if anew {
            self.drop_record(id);
        }
        Ok((!anew).then_some(id))
    }

    fn join(&mut self, id: RecordId, jid: String, sender: oneshot::Sender<Pushed>) -> Result<(), String> {
        let Some(record) = self.records.get_mut(&id) else { return Ok(()) };
        if !record.jids.contains(&jid) {
            if record.jids.len() >= JIDS_MAX {
                return Err("too many repeats of one job".to_string());
            }
            record.jids.push(jid.clone());
            self.by_jid.insert(jid, id);
        }
        match &mut record.pushers {
            Some(pushers) => pushers.push(sender),
            // Fails only where the client has gone meanwhile.
            None => drop(sender.send(Pushed::Taken)),
        }
        Ok(())
    }

    /// The state of the job that was pushed under this jid.
    pub fn state(&mut self, jid: &str) -> Option<State> {
        self.forget();
        let record = self.records.get(self.by_jid.get(jid)?)?;
        Some(match (&record.end, &record.out) {
            (Some(answer), _) => State::Ended(answer.clone()),
            (None, Out::Leased(..)) => State::Working,
            (None, _) => State::Enqueued,
        })
    }

    // ---- the core's decisions ----

    /// The core has taken the job.
    pub fn taken(&mut self, id: RecordId) {
        let pushers = self.records.get_mut(&id).and_then(|r| r.pushers.take());
        pushers.into_iter().flatten().for_each(|p| drop(p.send(Pushed::Taken)));
    }

    /// The core's one answer. At once, it is the answer to the push and nothing was taken.
    pub fn answer(&mut self, id: RecordId, answer: Answer) {
        let Some(record) = self.records.get_mut(&id) else { return };
        self.bytes -= record.payload.len();
        record.payload = Bytes::new();
        if let (Some(_), Answer::Refused(wait)) = (&record.pushers, &answer) {
            let (pushers, wait) = (record.pushers.take(), *wait);
            self.drop_record(id);
            pushers.into_iter().flatten().for_each(|p| drop(p.send(Pushed::Refused(wait))));
            return;
        }
        record.end = Some(answer);
        let window = self.windows[record.key.1].1;
        self.expiry.insert((Instant::now() + window.max(STATE_KEPT), id));
        self.taken(id);
    }

    /// Sends a job to a worker: to a FETCH that waits, else it is offered for [`OFFER_WAIT`]. Returns
    /// whether it waits.
    pub fn offer(&mut self, tag: Tag, id: RecordId, number: WorkerId) -> bool {
        let wid = self.numbers.get(&number).cloned().unwrap_or_default();
        let record = self.records.get_mut(&id).filter(|r| !r.lost.contains(&wid));
        let worker = self.workers.get_mut(&wid).filter(|w| !w.draining);
        let (Some(record), Some(worker)) = (record, worker) else {
            // Guards against jobs to workers that drain or went, and against one that lost this very job:
            // whose ACK then comes could not be told.
            self.core.ended(tag, Outcome::Full, None, Bytes::new());
            return false;
        };
        record.out = Out::Offered(wid.clone(), tag);
        worker.offers.push_back(id);
        self.match_up(&wid);
        matches!(self.records.get(&id), Some(Record { out: Out::Offered(..), .. }))
    }

    /// Hands offers to FETCHes of their class, the oldest of both first.
    fn match_up(&mut self, wid: &str) {
        let Some(worker) = self.workers.get_mut(wid) else { return };
        let mut left = VecDeque::new();
        while let Some(id) = worker.offers.pop_front() {
            let Some(record) = self.records.get_mut(&id) else { continue };
            let Out::Offered(_, tag) = record.out else { continue };
            let fits = |w: &Waiting| w.classes.contains(&record.key.1) && !w.deliver.is_closed();
            let Some(at) = worker.waiting.iter().position(fits) else {
                left.push_back(id);
                continue;
            };
            let Some(waiting) = worker.waiting.remove(at) else { continue };
            let delivery = Delivery { payload: record.payload.clone(), tag, record: id };
            if waiting.deliver.send(delivery).is_err() {
                worker.offers.push_front(id);
                continue;
            }
            record.out = Out::Leased(wid.to_string(), tag);
            record.handed = true;
            self.core.started(tag);
        }
        worker.offers = left;
    }

    /// Ends an attempt early: an offer as never run, a lease as `why`. A later ACK is stale.
    pub fn stop(&mut self, id: RecordId, tag: Tag, why: Outcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        let outcome = match &record.out {
            Out::Offered(_, t) if *t == tag => Outcome::Full,
            Out::Leased(_, t) if *t == tag => why,
            _ => return,
        };
        self.end(id, outcome);
    }

    /// An offer that found no FETCH in time.
    pub fn withdraw(&mut self, id: RecordId, tag: Tag) {
        if matches!(&self.records.get(&id), Some(Record { out: Out::Offered(_, t), .. }) if *t == tag) {
            self.end(id, Outcome::Full);
        }
    }

    /// Ends the attempt that is out, whatever it is.
    fn end(&mut self, id: RecordId, outcome: Outcome) {
        let Some(record) = self.records.get_mut(&id) else { return };
        let (wid, tag) = match std::mem::replace(&mut record.out, Out::No) {
            Out::No => return,
            Out::Offered(wid, tag) | Out::Leased(wid, tag) => (wid, tag),
        };
        if outcome == Outcome::Reset {
            record.lost.insert(wid.clone());
        }
        if let Some(worker) = self.workers.get_mut(&wid) {
            worker.offers.retain(|o| *o != id);
        }
        self.core.ended(tag, outcome, None, Bytes::new());
    }

    // ---- workers ----

    /// A session of this worker has begun; the first one lists the worker.
    pub fn enter(&mut self, wid: &str) {
        let worker = self.workers.entry(wid.to_string()).or_default();
        worker.sessions += 1;
        worker.seen = Some(Instant::now());
        if worker.sessions == 1 {
            self.numbers.insert(WorkerId(number_of(wid)), wid.to_string());
            self.list(wid, Availability::Ready);
        }
    }

    /// A session of this worker is over; with the last one its leases are lost.
    pub fn leave(&mut self, wid: &str) {
        let Some(worker) = self.workers.get_mut(wid) else { return };
        worker.sessions -= 1;
        if worker.sessions == 0 {
            self.list(wid, Availability::Gone);
            self.give_back(wid, true);
            self.workers.remove(wid);
            self.numbers.remove(&WorkerId(number_of(wid)));
        }
    }

    /// A worker lives; one that is about to stop gets nothing new.
    pub fn beat(&mut self, wid: &str, stopping: bool) -> Result<bool, String> {
        let worker = self.workers.get_mut(wid).ok_or("this worker is unknown")?;
        worker.seen = Some(Instant::now());
        if stopping && !worker.draining {
            worker.draining = true;
            worker.waiting.clear(); // whose FETCHes then find no job
            self.list(wid, Availability::Draining);
            self.give_back(wid, false);
        }
        Ok(self.workers[wid].draining)
    }

    /// Whether a worker has been silent for too long.
    pub fn is_silent(&self, wid: &str) -> bool {
        self.workers.get(wid).and_then(|w| w.seen).is_none_or(|at| at.elapsed() >= SILENCE)
    }

    /// Ends what a worker was offered and, if it is gone, what it had.
    fn give_back(&mut self, wid: &str, gone: bool) {
        let with = |r: &Record| match &r.out {
            Out::Offered(w, _) if w == wid => Some(Outcome::Full),
            Out::Leased(w, _) if w == wid && gone => Some(Outcome::Reset),
            _ => None,
        };
        let mut ends: Vec<_> = self.records.iter().filter_map(|(id, r)| Some((*id, with(r)?))).collect();
        ends.sort_by_key(|e| e.0); // a hash table's order must not show in what the core decides
        ends.into_iter().for_each(|(id, outcome)| self.end(id, outcome));
    }

    fn list(&self, wid: &str, availability: Availability) {
        // A worker asks for each job itself, so it can't be pushed over: it needs no time to warm up here.
        let worker = WorkerId(number_of(wid));
        let entry = WorkerEntry { worker, kind: 0, zone: 0, cell: 0, availability, scale: 1.0, since: 0 };
        self.core.list(vec![entry], false);
    }

    /// A worker asks for a job of these queues. The receiver is closed where it gets none any more.
    pub fn fetch(&mut self, wid: &str, queues: &[String]) -> (u64, oneshot::Receiver<Delivery>) {
        let fetch = self.next;
        self.next += 1;
        let (deliver, receiver) = oneshot::channel();
        let class = |q: &String| self.names.classes.iter().position(|c| c == q);
        let classes = queues.iter().filter_map(class).collect();
        if let Some(worker) = self.workers.get_mut(wid) {
            worker.seen = Some(Instant::now());
            if !worker.draining {
                worker.waiting.push_back(Waiting { fetch, classes, deliver });
            }
        }
        self.match_up(wid);
        (fetch, receiver)
    }

    /// A FETCH waits no longer.
    pub fn unfetch(&mut self, wid: &str, fetch: u64) {
        if let Some(worker) = self.workers.get_mut(wid) {
            worker.waiting.retain(|w| w.fetch != fetch);
        }
    }

    /// A job that was handed to a session could not be brought to its worker: not a byte of it went out, or
    /// some did and the worker may run it.
    pub fn undelivered(&mut self, delivery: &Delivery, unsent: bool) {
        let id = delivery.record;
        if let Some(record) = self.records.get_mut(&id) {
            if matches!(&record.out, Out::Leased(_, t) if *t == delivery.tag) {
                record.handed &= !unsent || delivery.tag.attempt > 0;
                self.end(id, if unsent { Outcome::Full } else { Outcome::Reset });
            }
        }
    }

    /// A worker has done the job or failed it. Who does not hold the job's lease gets an error.
    pub fn finish(&mut self, wid: &str, jid: &str, outcome: Outcome) -> Result<(), String> {
        if let Some(worker) = self.workers.get_mut(wid) {
            worker.seen = Some(Instant::now());
        }
        let id = self.by_jid.get(jid).copied().ok_or("this job is unknown")?;
        match &self.records[&id] {
            Record { out: Out::Leased(w, _), jids, .. } if w == wid && jids[0] == jid => {
                self.end(id, outcome);
                Ok(())
            }
            _ => Err("this job is not reserved by this worker".to_string()),
        }
    }

    // ---- memory ----

    /// Forgets jobs whose time is over.
    fn forget(&mut self) {
        while let Some(&(at, id)) = self.expiry.first() {
            if at > Instant::now() {
                return;
            }
            self.expiry.pop_first();
            self.drop_record(id);
        }
    }

    fn drop_record(&mut self, id: RecordId) {
        let Some(record) = self.records.remove(&id) else { return };
        for jid in &record.jids {
            self.by_jid.remove(jid);
        }
        self.by_key.remove(&record.key);
        self.expiry.retain(|(_, i)| *i != id);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatcher::queue;

    /// An ACK names only a jid: were the job handed to this worker again, the late ACK of the attempt that it
    /// lost would end the new one.
    #[tokio::test]
    async fn a_worker_that_lost_a_job_is_not_handed_it_again() {
        let (core, _inbox) = queue();
        let names = Names { classes: vec!["lodge".into()], keyed: vec![true], ..Names::default() };
        let mut leases = Leases::new(core, names, vec![(Duration::from_secs(25), Duration::from_secs(40))]);
        let text = r#"{"jid":"job-00001","jobtype":"declare","args":[],"queue":"lodge"}"#;
        let push = serde_json::from_str(text).unwrap();
        let _pushed = leases.push(push, Bytes::from_static(text.as_bytes())).unwrap();
        let (id, queues) = (1, ["lodge".to_string()]);
        let tag = |attempt| Tag { id: 9, attempt };
        let number = |wid| WorkerId(number_of(wid));
        leases.enter("one");
        let (_, mut first) = leases.fetch("one", &queues);
        assert!(!leases.offer(tag(0), id, number("one")), "a FETCH was there");
        assert_eq!(first.try_recv().unwrap().tag, tag(0));
        leases.leave("one");
        leases.enter("one");
        let (_, mut again) = leases.fetch("one", &queues);
        leases.offer(tag(1), id, number("one"));
        assert!(again.try_recv().is_err(), "the same worker");
        assert!(leases.finish("one", "job-00001", Outcome::Ok).is_err(), "its late ACK");
        leases.enter("two");
        let (_, mut other) = leases.fetch("two", &queues);
        leases.offer(tag(2), id, number("two"));
        assert_eq!(other.try_recv().unwrap().tag, tag(2));
    }
}
