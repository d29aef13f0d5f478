//! The core. One task owns the decision module, the clock, the timers and the table of requests; fronts
//! reach it through a queue only. It knows no wire: events come in, actions go out through [`Frontend`].

use crate::counters::Counters;
use crate::invariants::Invariant;
use bytes::Bytes;
use dispatch_policy::api::{
    Action, AttemptEnd, Endpoint, Event, Idempotency, InvalidSettings, LoadReport, Micros, Notice, Outcome,
    Request, RequestId, Settings, WorkerId,
};
use dispatch_policy::Policy;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};

/// The number of a named thing, such as a worker: the same at every node.
pub fn stable_hash(name: &str) -> u64 {
    membership::name_hash(name)
}

/// One attempt at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request, by the core's own number.
    pub id: RequestId,
    /// Which of its attempts, from 0 on.
    pub attempt: u32,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What a worker made.
    Served(Bytes),
    /// Not done; trying again after this time is harmless.
    Refused(Duration),
    /// Failed, with no promise about what it did.
    Failed,
}

/// When an attempt went out, and to whom.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// The worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub at: Instant,
    /// When its worker said that it started.
    pub started: Option<Instant>,
    /// When its client stops waiting.
    pub until: Instant,
}

/// What carries the core's decisions out on a wire. It decides nothing.
pub trait Frontend: Send + 'static {
    /// What came in and the way back to who asked.
    type Job: Send + 'static;
    /// The hold on an attempt that is out.
    type Attempt: Send + 'static;

    /// Starts an attempt. Exactly one [`Handle::ended`] follows for this tag, whatever happens.
    fn send(&mut self, tag: AttemptId, job: &Self::Job, worker: WorkerId, until: Instant) -> Self::Attempt;
    /// Whether somebody still waits for this job, as far as can be told now.
    fn is_awaited(&self, _job: &Self::Job) -> bool {
        true
    }
    /// Ends an attempt early. Its `ended` says `why`, unless another outcome was under way.
    fn stop(&mut self, attempt: Self::Attempt, why: Outcome);
    /// Nobody waits for this attempt any more: what of it is not on its way yet need not go out. It ends as ever.
    fn abandon(&mut self, _attempt: &Self::Attempt) {}
    /// Gives the one final answer.
    fn answer(&mut self, job: Self::Job, answer: Answer);
    /// The request is taken, and was not answered at once.
    fn accepted(&mut self, _job: &Self::Job) {}
    /// Takes a running job up for another process, if all of it can move: here nothing more happens to it until
    /// [`Handle::transferred`] says that it is gone, or it is let go.
    fn freeze_for_transfer(
        &mut self,
        _tag: AttemptId,
        _sent: &AttemptStart,
        _job: &Self::Job,
        _hold: &Self::Attempt,
    ) {
    }
    /// Closes idle connections to a worker.
    fn close_idle(&mut self, _worker: WorkerId) {}
    /// Asks for the worker list again.
    fn refresh_endpoints(&mut self) {}
    /// Asks a worker for its load, where this front can: exactly one [`Handle::probed`] follows then, whatever happens.
    fn probe(&mut self, _worker: WorkerId) -> bool {
        false
    }
    /// Tells another node, by its number, the rates of tenants here.
    fn send_to_peer(&mut self, _to: u32, _rates: &[u8]) {}
}

/// What reaches the core.
enum DispatcherEvent<J> {
    Accept(Request, J),
    Left(RequestId),
    Taken(AttemptId),
    Started(AttemptId),
    Progress(AttemptId, f64),
    Ended(AttemptId, Outcome, Option<LoadReport>, Bytes),
    EndedBlameless(AttemptId, Outcome),
    List(Vec<Endpoint>, bool),
    ListFailed,
    Settings(Box<Settings>, Vec<Option<usize>>),
    Peer(u32, Vec<u8>),
    Probed(WorkerId, bool, Option<LoadReport>),
    Adopt(Request, J, AttemptStart),
    Lift(oneshot::Sender<()>),
    Moved(AttemptId),
}

/// The way into a core's queue. The queue is not bounded in itself: what can wait in it is bounded by the
/// connections that a front accepts.
pub struct Handle<J> {
    queue: UnboundedSender<DispatcherEvent<J>>,
    numbers: Arc<AtomicU64>,
}

impl<J> Clone for Handle<J> {
    fn clone(&self) -> Self {
        Handle { queue: self.queue.clone(), numbers: self.numbers.clone() }
    }
}

impl<J> Handle<J> {
    /// Hands a request in; its `id` is set here and returned.
    pub fn submit(&self, request: Request, job: J) -> RequestId {
        let id = self.numbers.fetch_add(1, Ordering::Relaxed);
        self.put(DispatcherEvent::Accept(Request { id, ..request }, job));
        id
    }

    /// As [`Handle::submit`], a request that another process of this node has sent once: its attempt goes on here.
    pub fn resume(&self, request: Request, job: J, sent: AttemptStart) -> RequestId {
        let id = self.numbers.fetch_add(1, Ordering::Relaxed);
        self.put(DispatcherEvent::Adopt(Request { id, ..request }, job, sent));
        id
    }

    /// Has the front take up all running jobs that can move to another process; returns once it has.
    pub async fn freeze_transferable(&self) {
        let (tell, done) = oneshot::channel();
        self.put(DispatcherEvent::Lift(tell));
        let _ = done.await; // fails where the core has ended: it has no jobs
    }

    /// Another process goes on with this attempt and its request.
    pub fn transferred(&self, tag: AttemptId) {
        self.put(DispatcherEvent::Moved(tag));
    }

    /// The client of this request has gone; after its answer this changes nothing.
    pub fn client_left(&self, id: RequestId) {
        self.put(DispatcherEvent::Left(id));
    }

    /// The worker has taken the job, and may start it later.
    pub fn acknowledged(&self, tag: AttemptId) {
        self.put(DispatcherEvent::Taken(tag));
    }

    /// The worker has started the job.
    pub fn started(&self, tag: AttemptId) {
        self.put(DispatcherEvent::Started(tag));
    }

    /// This part of the job is done.
    pub fn progress(&self, tag: AttemptId, done: f64) {
        self.put(DispatcherEvent::Progress(tag, done));
    }

    /// An attempt has ended, and with `Ok` this is its result.
    pub fn ended(&self, tag: AttemptId, outcome: Outcome, report: Option<LoadReport>, result: Bytes) {
        self.put(DispatcherEvent::Ended(tag, outcome, report, result));
    }

    /// An attempt has ended in a way that tells nothing of its worker: a connection that had served before broke with no
    /// word on this job, or this node could not open one.
    pub fn ended_blameless(&self, tag: AttemptId, outcome: Outcome) {
        self.put(DispatcherEvent::EndedBlameless(tag, outcome));
    }

    /// News of the workers: all of them, or the changed lines.
    pub fn update_endpoints(&self, entries: Vec<Endpoint>, full: bool) {
        self.put(DispatcherEvent::List(entries, full));
    }

    /// New settings, laid over those before: requests handed in from here on may be of a new class. `continues`
    /// tells of each class which one's run times its own are about like.
    pub fn update_settings(&self, settings: Settings, continues: Vec<Option<usize>>) {
        self.put(DispatcherEvent::Settings(Box::new(settings), continues));
    }

    /// Another node, by its number, tells the rates of tenants there.
    pub fn peer_rates(&self, from: u32, rates: Vec<u8>) {
        self.put(DispatcherEvent::Peer(from, rates));
    }

    /// A worker that was asked for its load has answered, or not in time.
    pub fn probed(&self, worker: WorkerId, ok: bool, report: Option<LoadReport>) {
        self.put(DispatcherEvent::Probed(worker, ok, report));
    }

    /// The worker list could not be had.
    pub fn endpoint_list_failed(&self) {
        self.put(DispatcherEvent::ListFailed);
    }

    fn put(&self, input: DispatcherEvent<J>) {
        // Fails only once the core is gone, at the end of the process or a test: nobody is left to ask.
        let _ = self.queue.send(input);
    }
}

/// The other end of the queue, for [`Dispatcher::run`].
pub struct Inbox<J>(UnboundedReceiver<DispatcherEvent<J>>);

/// A queue into a core.
pub fn queue<J>() -> (Handle<J>, Inbox<J>) {
    let (sender, receiver) = unbounded_channel();
    (Handle { queue: sender, numbers: Arc::new(AtomicU64::new(1)) }, Inbox(receiver))
}

/// Unix time at the start plus monotonic time since: it never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_us: Micros,
    start: Instant,
}

impl Clock {
    /// Starts from the wall clock as it is now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_us: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The time, in microseconds.
    pub fn now(&self) -> Micros {
        self.unix_us + self.start.elapsed().as_micros() as Micros
    }
}

/// How a request's class may be repeated, as it was when the request came in.
#[derive(Clone, Copy)]
struct RepeatRules {
    idempotency: Idempotency,
    window: Duration,
}

impl RepeatRules {
    fn of(settings: &Settings, class: usize) -> RepeatRules {
        let class = &settings.classes[class.min(settings.classes.len() - 1)];
        RepeatRules {
            idempotency: class.idempotency,
            window: Duration::from_micros(class.deduplication_window_us),
        }
    }

    /// Whether a request may be sent now whose first attempt that may have run was sent at this time.
    fn allow(&self, may_have_run: Option<Instant>) -> bool {
        let Some(first) = may_have_run else { return true };
        match self.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey(_) => first.elapsed() < self.window,
            Idempotency::NotIdempotent => false,
        }
    }
}

/// A request in the table: until it is answered and no attempt is out.
struct Entry<F: Frontend> {
    job: Option<F::Job>, // until its answer
    until: Instant,
    sent: u32,
    most: u32, // attempts, by the settings that it came in under
    last: Option<AttemptStart>,
    rules: RepeatRules,
    may_have_run: Option<Instant>, // when the first attempt was sent of which that can be said
    out: Option<Option<F::Attempt>>, // an attempt is out; the inner hold is gone once it was told to stop
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer,
    Deadline(RequestId),
}

/// The core with its front.
pub struct Dispatcher<F: Frontend> {
    policy: Policy,
    settings: Settings,
    front: F,
    clock: Clock,
    due: BTreeSet<(Instant, Due)>, // a request's deadline goes with its entry
    table: HashMap<RequestId, Entry<F>>,
    events: VecDeque<Event>,
    counters: Arc<Counters>,
    slow_start_overdrafts: u64, // of the module, as counted so far
}

impl<F: Frontend> Dispatcher<F> {
    /// A core that knows its settings and no worker yet.
    pub fn new(
        settings: Settings,
        seed: u64,
        front: F,
        counters: Arc<Counters>,
    ) -> Result<Self, InvalidSettings> {
        let clock = Clock::start();
        let policy = Policy::new(settings.clone(), seed, clock.now())?;
        let (due, table, events) = Default::default();
        Ok(Dispatcher {
            policy,
            settings,
            front,
            clock,
            due,
            table,
            events,
            counters,
            slow_start_overdrafts: 0,
        })
    }

    /// Runs until every handle is dropped.
    pub async fn run(mut self, mut inbox: Inbox<F::Job>) {
        loop {
            // Looked at before each input, so that a full queue can't starve the timers.
            self.ring();
            self.counters.open.set(self.table.len());
            self.counters.timers.set(self.due.len());
            let next = self.due.first().map(|(at, _)| *at);
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                input = inbox.0.recv() => match input {
                    Some(input) => self.input(input),
                    None => return,
                },
                () = timer => {}
            }
        }
    }

    fn ring(&mut self) {
        while let Some(&(at, due)) = self.due.first() {
            if at > Instant::now() {
                return;
            }
            self.due.pop_first();
            match due {
                Due::Timer => self.tell(Event::TimerExpired),
                Due::Deadline(id) => self.deadline(id),
            }
        }
    }

    fn input(&mut self, input: DispatcherEvent<F::Job>) {
        match input {
            DispatcherEvent::Accept(request, job) => {
                self.counters.taken.add();
                let until = Instant::now() + Duration::from_micros(request.time_left_us);
                let entry = Entry {
                    job: Some(job),
                    until,
                    sent: 0,
                    most: self.settings.max_attempts,
                    last: None,
                    rules: RepeatRules::of(&self.settings, request.class),
                    may_have_run: None,
                    out: None,
                };
                self.table.insert(request.id, entry);
                self.due.insert((until, Due::Deadline(request.id)));
                self.tell(Event::RequestReceived(request));
                if let Some(job) = self.table.get(&request.id).and_then(|e| e.job.as_ref()) {
                    self.front.accepted(job);
                }
            }
            DispatcherEvent::Left(id) => {
                let left = self.table.get_mut(&id).filter(|e| e.job.is_some());
                if let Some(entry) = left {
                    entry.job = None;
                    self.counters.client_left.add();
                    log::debug!(request = id; "its client has left");
                    // Whether the module may call the attempt off or not.
                    if let Some(Some(attempt)) = &entry.out {
                        self.front.abandon(attempt);
                    }
                    self.tell(Event::ClientDisconnected { id });
                    self.tidy(id);
                }
            }
            DispatcherEvent::Taken(tag) if self.is_out(tag) => {
                self.counters.acknowledged.add();
                self.tell(Event::Acknowledged { id: tag.id, attempt: tag.attempt })
            }
            DispatcherEvent::Started(tag) if self.is_out(tag) => {
                if let Some(last) = self.table.get_mut(&tag.id).and_then(|e| e.last.as_mut()) {
                    last.started = last.started.or(Some(Instant::now()));
                }
                self.tell(Event::Started { id: tag.id, attempt: tag.attempt })
            }
            DispatcherEvent::Progress(tag, done) if self.is_out(tag) => {
                self.tell(Event::Progress { id: tag.id, attempt: tag.attempt, done })
            }
            DispatcherEvent::Taken(_) | DispatcherEvent::Started(_) | DispatcherEvent::Progress(..) => {}
            DispatcherEvent::Ended(tag, outcome, report, result) => {
                self.ended(tag, outcome, report, result, false)
            }
            DispatcherEvent::EndedBlameless(tag, outcome) => {
                self.ended(tag, outcome, None, Bytes::new(), true)
            }
            DispatcherEvent::List(entries, full) => {
                self.tell(if full { Event::EndpointList(entries) } else { Event::EndpointChanges(entries) });
            }
            DispatcherEvent::ListFailed => self.tell(Event::EndpointWatchFailed),
            DispatcherEvent::Peer(from, bytes) => self.tell(Event::PeerMessage { from, bytes }),
            DispatcherEvent::Probed(worker, ok, report) => {
                self.tell(Event::ProbeEnded { worker, ok, report })
            }
            DispatcherEvent::Adopt(request, job, sent) => self.adopt(request, job, sent),
            DispatcherEvent::Lift(done) => {
                self.lift();
                let _ = done.send(()); // fails where nobody waits any more
            }
            DispatcherEvent::Moved(tag) => self.moved(tag),
            DispatcherEvent::Settings(settings, continues) => {
                self.settings = (*settings).clone();
                self.tell(Event::SettingsChanged { settings, continues });
            }
        }
    }

    fn adopt(&mut self, request: Request, job: F::Job, sent: AttemptStart) {
        self.counters.transferred_in.add();
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
        let (id, started) = (request.id, sent.started);
        let ago = |at: Instant| at.elapsed().as_micros() as Micros;
        let tag = AttemptId { id, attempt: 0 };
        let out = Some(Some(self.front.send(tag, &job, sent.worker, sent.until)));
        let (until, most) = (sent.until, self.settings.max_attempts);
        let rules = RepeatRules::of(&self.settings, request.class);
        let entry =
            Entry { job: Some(job), until, sent: 1, most, last: Some(sent), rules, may_have_run: None, out };
        self.table.insert(id, entry);
        self.due.insert((until, Due::Deadline(id)));
        let (sent_us, started_us) = (ago(sent.at), started.map(ago));
        self.tell(Event::RequestAdopted { request, worker: sent.worker, sent_us, started_us });
    }

    fn lift(&mut self) {
        for (id, entry) in &self.table {
            // Of a request that was sent more than once, the module knows more than goes along.
            let (Some(job), Some(Some(hold)), Some(sent), 1) =
                (&entry.job, &entry.out, &entry.last, entry.sent)
            else {
                continue;
            };
            self.front.freeze_for_transfer(AttemptId { id: *id, attempt: 0 }, sent, job, hold);
        }
    }

    fn moved(&mut self, tag: AttemptId) {
        let Some(entry) = self.forget(tag.id) else { return };
        self.counters.transferred_out.add();
        if let Some(Some(hold)) = entry.out {
            self.front.stop(hold, Outcome::Cancelled);
        }
        // The module hears that it is over here; nobody is told.
        self.tell(Event::ClientDisconnected { id: tag.id });
        let (id, attempt, outcome) = (tag.id, tag.attempt, Outcome::Cancelled);
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: true,
            not_attributable: false,
            report: None,
        }));
    }

    fn is_out(&self, tag: AttemptId) -> bool {
        self.table.get(&tag.id).is_some_and(|e| e.out.is_some() && e.sent == tag.attempt + 1)
    }

    /// Guards against two outcomes of one attempt: the first one counts.
    fn ended(
        &mut self,
        tag: AttemptId,
        outcome: Outcome,
        report: Option<LoadReport>,
        result: Bytes,
        blameless: bool,
    ) {
        if !self.is_out(tag) {
            return log::warn!("attempt {} of request {} ended twice", tag.attempt, tag.id);
        }
        self.counters.count_outcome(outcome);
        log::debug!(request = tag.id, attempt = tag.attempt, outcome:?, blameless; "an attempt has ended");
        let Some(entry) = self.table.get_mut(&tag.id) else { return };
        entry.out = None;
        if !outcome.proves_not_executed() {
            entry.may_have_run = entry.may_have_run.or(entry.last.map(|sent| sent.at));
        }
        self.counters.in_flight.set(self.counters.in_flight.get() - 1);
        if outcome == Outcome::Success {
            if let Some(job) = entry.job.take() {
                self.counters.served.add();
                self.front.answer(job, Answer::Served(result));
            }
        }
        let (id, attempt, last) = (tag.id, tag.attempt, entry.job.is_none());
        self.tell(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            outcome,
            request_done: last,
            not_attributable: blameless,
            report,
        }));
        self.tidy(id);
    }

    /// The client stops waiting now: an attempt that is out has timed out, and the module fails the request.
    fn deadline(&mut self, id: RequestId) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        match &mut entry.out {
            Some(hold) => {
                if let Some(hold) = hold.take() {
                    self.front.stop(hold, Outcome::Timeout);
                }
            }
            // Guards the rule of one answer: the module answers what it holds before this, or ought to.
            None => {
                if let Some(job) = entry.job.take() {
                    log::error!("request {id} was held to its deadline");
                    self.counters.failed.add();
                    self.front.answer(job, Answer::Failed);
                    self.tell(Event::ClientDisconnected { id });
                }
                self.tidy(id);
            }
        }
    }

    fn tidy(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(|e| e.job.is_none() && e.out.is_none()) {
            self.forget(id);
        }
    }

    /// The one way out of the table. Guards memory against deadlines that outlive their requests: a client may state a
    /// whole day.
    fn forget(&mut self, id: RequestId) -> Option<Entry<F>> {
        let entry = self.table.remove(&id)?;
        self.due.remove(&(entry.until, Due::Deadline(id)));
        self.counters.in_flight.set(self.counters.in_flight.get() - usize::from(entry.out.is_some()));
        Some(entry)
    }

    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(self.clock.now(), &event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
        }
        let slow_start_overdrafts = self.policy.slow_start_overdrafts();
        if slow_start_overdrafts > self.slow_start_overdrafts {
            self.slow_start_overdrafts = slow_start_overdrafts;
            self.counters.violations.add(Invariant::ColdBudget, slow_start_overdrafts);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { id, worker } => self.send(id, worker),
            Action::Reject { id, retry_after_us } => {
                log::debug!(request = id; "refused");
                if let Some(job) = self.finish(id) {
                    self.counters.refused.add();
                    self.front.answer(job, Answer::Refused(Duration::from_micros(retry_after_us)));
                }
            }
            Action::Fail { id } => {
                log::debug!(request = id; "failed");
                if let Some(job) = self.finish(id) {
                    self.counters.failed.add();
                    self.front.answer(job, Answer::Failed);
                }
            }
            Action::Cancel { id, attempt } => {
                let entry = self.table.get_mut(&id).filter(|e| e.sent == attempt + 1);
                if let Some(hold) = entry.and_then(|e| e.out.as_mut()).and_then(Option::take) {
                    self.front.stop(hold, Outcome::Cancelled);
                }
            }
            Action::SetTimer { after_us } => {
                let at = Instant::now() + Duration::from_micros(after_us);
                self.due.insert((at, Due::Timer));
            }
            Action::WatchEndpoints => self.front.refresh_endpoints(),
            Action::CloseIdleConnections { worker } => self.front.close_idle(worker),
            Action::Notify(trace) => say(&trace),
            Action::SendPeerMessage { to, bytes } => self.front.send_to_peer(to, &bytes),
            Action::Probe { worker } => {
                self.counters.probes.add();
                // Guards jobs that wait for the answer: a front that can't ask is no answer.
                if !self.front.probe(worker) {
                    self.events.push_back(Event::ProbeEnded { worker, ok: false, report: None });
                }
            }
        }
    }

    fn finish(&mut self, id: RequestId) -> Option<F::Job> {
        let job = self.table.get_mut(&id).and_then(|e| e.job.take());
        self.tidy(id);
        job
    }

    fn send(&mut self, id: RequestId, worker: WorkerId) {
        let Some(entry) = self.table.get_mut(&id) else { return self.moot(id) };
        // Guards the wire against a module that errs: nothing goes out that a rule bars.
        let broken = if entry.out.is_some() {
            Some(Invariant::OneAttempt)
        } else if entry.sent >= entry.most {
            Some(Invariant::AttemptsLeft)
        } else if !entry.rules.allow(entry.may_have_run) {
            Some(Invariant::Repeatable)
        } else {
            None
        };
        if let Some(invariant) = broken {
            self.counters.violations.add(invariant, id);
            return self.moot(id);
        }
        let Some(job) = entry.job.as_ref().filter(|_| entry.until > Instant::now()) else {
            return self.moot(id);
        };
        // Guards workers against a job whose client left while nobody could see it, as while its socket was frozen.
        if !self.front.is_awaited(job) {
            return self.gone(id);
        }
        let tag = AttemptId { id, attempt: entry.sent };
        log::debug!(request = id, attempt = tag.attempt, worker:% = format_args!("{:016x}", worker.0); "sent");
        entry.sent += 1;
        entry.last = Some(AttemptStart { worker, at: Instant::now(), started: None, until: entry.until });
        entry.out = Some(Some(self.front.send(tag, job, worker, entry.until)));
        self.counters.sent.add();
        self.counters.in_flight.set(self.counters.in_flight.get() + 1);
    }

    /// The client of a request that was to be sent has gone: the module hears that first, then that nothing was sent.
    fn gone(&mut self, id: RequestId) {
        if let Some(entry) = self.table.get_mut(&id) {
            entry.job = None;
            self.counters.client_left.add();
            self.events.push_back(Event::ClientDisconnected { id });
            self.moot(id);
            self.tidy(id);
        }
    }

    /// Guards the wire against a send that may not go out; the module hears that it never did.
    fn moot(&mut self, id: RequestId) {
        self.counters.not_sent.add();
        let Some(entry) = self.table.get_mut(&id).filter(|e| e.out.is_none()) else { return };
        let (attempt, last) = (entry.sent, entry.job.is_none());
        entry.sent += 1;
        let ending = AttemptEnd {
            id,
            attempt,
            outcome: Outcome::NotSent,
            request_done: last,
            not_attributable: false,
            report: None,
        };
        self.events.push_back(Event::AttemptEnded(ending));
    }
}

fn say(trace: &Notice) {
    match trace {
        Notice::RequestGivenUp { request: id, reason } => log::debug!(request = id, reason:?; "given up"),
        Notice::WorkerUnresponsive { worker: w } => {
            log::warn!("worker {:016x} is silent: no new jobs but a trickle", w.0)
        }
        Notice::WorkerFailing { worker: w } => {
            log::warn!("worker {:016x} fails jobs: no new jobs but a trickle", w.0)
        }
        Notice::WorkerRecovered { worker: w } => log::info!("worker {:016x} is trusted again", w.0),
        Notice::Throttling { admitted_per_s: u, offered_per_s: offered } => {
            log::info!("throttling: {u:.1} jobs/s admitted of {offered:.1} offered")
        }
        Notice::EndpointListUnavailable => log::warn!("worker list not to be had: asking again"),
    }
}
