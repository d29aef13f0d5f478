//! Every decision of a dispatcher, in the order of a job's life. The interface is in `src/api.rs`.
//! accepted -> tenant queue -> admitted (rate u, by band) -> waits for a worker with room -> sent -> ended.

use crate::api::*;
use crate::live_weights::{LiveWeights, Seen};
use crate::regulator::Regulator;
use crate::rng::{mix, unit, Rng};
use crate::sliding_count::SlidingCount;
use crate::slow_start::{self, Fleet, Sender, Start, Used};
use crate::start_time::{local_start, ListHistory};
use crate::table::{KindId, RowId};
use crate::timer_queue::TimerQueue;
use crate::window::Window;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

const SECOND: Micros = 1_000_000;
const POLL: Micros = 20_000; // us between looks for room while jobs wait: well under a job's time, cheap
const ANSWER_MARGIN: Micros = 30_000; // us before the client leaves in which a held job gets its answer
const RETRY_SOON: Micros = 10_000; // us; the wait advised where a late answer earns nothing
const AHEAD: Micros = 300_000; // us; a class's head start for each doubling of its worth for a worker's time
const TAIL_DUE: f64 = 0.4; // part of the aim, its stretch aside
const BURST_S: f64 = 4.0; // s for which an unused allotment keeps: short bursts are within a share
const PRESSURE: f64 = 0.35; // part of attempts without room above which jobs past their share wait
const PRESSURE_GAIN: f64 = 0.05; // averages that over about 20 signs
const CROWD_GAIN: f64 = 0.2; // a worker's own average, over about 5
const U_FLOOR: f64 = 0.9; // part of what workers just served that the throttle never goes below
const CAP_START: f64 = 2.0; // jobs; a cap's start ...
const CAP_MIN: f64 = 1.0; // ... and its bounds
const CAP_MAX: f64 = 64.0;
const CAP_UP: f64 = 0.25; // jobs that a prompt start at the cap adds
const CAP_DOWN: f64 = 0.8; // part that a late start or a 'full' leaves
const PROMPT: Micros = 25_000; // us; a start within this, or a tenth of a usual job, met no queue
const WORD: Micros = 250_000; // us; where a worker gives word that it took a job, it has by then
const RUN_SILENCE: u64 = 5; // usual job times without any sign of the worker's life that make silence
const LONG: f64 = 8.0; // usual times: the first guess at a run time that one in 50 exceeds, and its gain
const LONG_GAIN: f64 = 0.004;
const KEPT_GAIN: f64 = 0.05; // a class's part of jobs served is over about 20, and can be told so far apart
const APART: f64 = 0.3; // part of attempts without room that a class or tenant has more of than all there
const TRIAL: Micros = 300_000; // us before a doubted worker's trial; doubles with each doubt
const DOUBT_MAX: u32 = 4; // doublings at most
const CROWD_PAUSE: f64 = 5.0; // doublings of the pause after 'full' where it never has room
const ALL: usize = 32; // workers up to which all are looked at for a job; beyond, a seeded sample ...
const SAMPLE: usize = 8; // ... of this many of our zone and a third of that from others
const SLOT_LOAD: f64 = 0.1; // load of a cold worker that we may send to now, over what it would be
const SCALE_KEPT: f64 = 0.995; // part of the largest fleet seen that still counts after a second
const PRICE_LOAD: f64 = 25.0; // price to load: 0.04 of a job's worth is a whole worker's load
const LOT_PRICE: f64 = 3.0; // a lot for a worker that costs 0.04 counts as one of 20
const KEY_SPREAD: f64 = 5.0; // one over the part of the fleet, from a key's first worker on, that may hold it
const KEY_SURE: f64 = 0.2; // part of a fetch up to which a worker is taken to hold it
const SUSPECTS_MAX: usize = 4096; // keys, classes and tenants remembered at most, 3 * MUTE each
const KEY_WAIT: f64 = 1.0; // fetches that a job would pay rather than wait its whole slack
const ROOM_RISK: f64 = 0.3; // part of a job that may lack room where it is sent at once
const FRESH: Micros = 80_000; // us for which a report of free slots counts
const STALE: f64 = 0.4; // part of reports that only repeat the last above which asking is no use
const AT_ONCE: usize = 6; // workers probed at once
const PROBES_A_JOB: f64 = 10.0; // probes that a job may cost; ten times as many are saved up
const LATE_W: f64 = 2.0; // aims at which a late or failed job enters w
const U_HEADROOM: f64 = 1.5; // u_max over the offered rate: room for excitation and bursts
const MIN_JOBS: u32 = 6; // finished jobs that make a mean worth a step (the paper's figure)
const POOL_MAX: u32 = 5; // s that a quiet class pools at most
const QUOTA_SLACK: f64 = 1.3; // allotment over quota: counts differ, and a refused share weighs more
const USUAL_USE: f64 = 0.75; // part of its quota that a tenant within its share sends
const TELL_PRICE: f64 = 0.001; // part of the worth that telling siblings may cost
const TELL_MAX: u32 = 16; // siblings told in a second at most
const MUTE: Micros = 10 * SECOND; // for which a class stays away from a worker that left it unanswered

#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Queued,
    Waiting,
    Out,
    Done,
}

#[derive(Clone, Copy, Default)]
struct Job {
    class: usize,
    tenant: usize,
    stage: Stage,
    key: u64,
    work: f64,
    need: f64, // us; slots, or memory in its units if that is more
    admitted: Micros,
    deadline: Micros,
    due: Micros,   // due: the last moment to send it and be in time
    ahead: Micros, // its class's head start while it waits
    late: bool,
    in_share: bool,
    streaming: bool,
    counted: bool, // counted: it has entered w
    sent: u32,
    most: u32,
    attempt: Attempt,                 // attempts so far, at most, and the last one
    may_run: Option<(usize, Micros)>, // who may have run it first; the window's end
}

impl Job {
    /// The part of the time it can wait that is gone.
    fn waited(&self, now: Micros) -> f64 {
        (now - self.admitted) as f64 / self.due.saturating_sub(self.admitted).max(1) as f64
    }
}

#[derive(Clone, Copy, Default)]
struct Attempt {
    worker: usize,
    sent: Micros,
    started: Micros,
    progressed: Micros,
    cancelled: bool,
    taken: bool,   // its worker gave word of it
    lost: bool,    // it is given up: it holds no place any more
    overdue: bool, // it has not started in time: it waits there
}

#[derive(Default)]
struct Worker {
    id: WorkerId,
    kind: u8,
    zone: u8,
    cell: u32,
    scale: f64,
    ready: bool,
    listed: bool,
    told_since: Micros,
    since: Micros, // its start as told, and by our own clock
    held: f64,
    overdue: u32,
    cap: f64,
    there: f64, // our jobs there, waiting, at most; those of all
    slow: f64,
    crowd: f64, // run times over the usual; had no room
    free: f64,
    free_at: Micros, // free slots as reported, less what we sent since
    told: LoadReport,
    told_held: f64,   // the last report, and what we held then
    cold_sends: Used, // while it is cold: our jobs in the newest slot
    used_at: Micros,
    life: Micros,
    broke_at: Micros, // our last use, its last sign of life and break
    silent: bool,
    doubt: u32, // what we hold against it
    trial_at: Micros,
    pause_until: Micros, // when a doubted one gets a trial; pauses after 'full'
}

impl Worker {
    /// Guards against lists that call live workers gone: where only draining binds, one goes on that shows
    /// life, and others get trials. May hurt: jobs go to workers that are gone until they fail there.
    fn unlist(&mut self, soft: bool, now: Micros) {
        self.listed = false;
        self.ready &= soft;
        if self.ready && now > self.life + 2 * SECOND {
            self.doubt = self.doubt.max(1);
        }
    }

    fn trial(&self) -> Micros {
        if self.listed {
            TRIAL << self.doubt.min(DOUBT_MAX)
        } else {
            MUTE
        }
    }
}

/// What is held against requests that share a key, a class or a tenant.
#[derive(Default)]
struct Suspect {
    fails: u32,
    place: usize,
    places: u32,
    failed_at: Micros, // failures in a row, the last worker, of how many
    served_at: Micros,
    trial_at: Micros,
    wait: Micros, // the next trial, and the wait after it
}

#[derive(Default)]
struct Tenant {
    queue: VecDeque<RequestId>,
    repeats: VecDeque<RequestId>,
    tokens: f64,
    allotment: f64,
    rate: f64,
    recent: f64,
}

#[derive(Default)]
struct Class {
    usual: f64,
    long: f64,
    samples: f64,
    longest: Micros, // run times, the median first; clients wait so long
    kept: f64,
    regulator: Regulator,
    u: f64,
    w_sum: f64,
    w_count: u32,
    pooled: u32,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Step,
    Poll,
    Watch,
    Job { id: RequestId },
    Check { id: RequestId, attempt: u32 },
}

type Rank = (u8, Micros, RequestId); // band and lateness, time, id

/// The decisions of one dispatcher.
#[derive(Default)]
pub struct Policy {
    set: Settings,
    rng: Rng,
    now: Micros,
    started_at: Micros,
    born: Micros,
    started: bool,
    traced_at: Micros,
    jobs: BTreeMap<RequestId, Job>,
    waiting: BTreeSet<Rank>, // admitted and not sent
    tenants: Vec<Tenant>,
    classes: Vec<Class>,
    turn: usize,
    workers: Vec<Worker>,
    index: BTreeMap<WorkerId, usize>,
    lists: ListHistory,
    near: Vec<usize>,
    far: Vec<usize>,
    scale: f64,
    most_scale: f64,                        // those ready; their sizes' sum; its peak
    open: Vec<usize>,                       // those with room now, where keys count
    suspects: BTreeMap<(u8, u64), Suspect>, // by key, class, tenant
    judged: BTreeMap<(usize, (u8, u64)), (Micros, f64)>, // worker and mark: kept away until; had no room
    lately: Vec<usize>,                     // those we hear from, or have a connection to
    agenda: TimerQueue<Due>,
    poll_set: bool,
    u: f64,
    u_max: f64,
    tokens: f64,
    filled_at: Micros, // the throttle, jobs a second
    offered: f64,
    recent: f64,
    served: f64,
    served_now: f64,
    pressure: f64,
    kinds: Vec<(f64, f64, f64)>, // run times of a kind over the usual, of how many jobs; part with room
    weights: LiveWeights,
    work: f64, // what live weights tell of kinds; s at speed 1 that a job takes
    mean_cap: f64,
    window: Window, // slots for our jobs at a worker, over all; our jobs at all of them
    stale: f64,     // the part of reports that repeat the one just before though our jobs there changed
    taken: SlidingCount,
    further: SlidingCount, // requests and further attempts, while they count
    probes: f64,
    probing: u32,
    peers: BTreeMap<u32, (Micros, Vec<f64>)>,
    slow_start_overdrafts: u64, // jobs to cold workers beyond this dispatcher's part of their budget: a fault
}

impl Policy {
    /// A dispatcher that knows its settings and nothing else.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Policy, InvalidSettings> {
        settings.validate()?;
        let mut policy = Policy {
            rng: Rng::new(seed),
            now,
            u: f64::INFINITY,
            tokens: 1.0,
            mean_cap: CAP_START,
            work: 1.0,
            filled_at: now,
            started_at: now,
            born: now,
            ..Policy::default()
        };
        policy.configure(settings, &[]);
        let phase = policy.rng.below(SECOND);
        policy.plan(SECOND / 2 + phase, Due::Step);
        Ok(policy)
    }

    /// What was learned stays, under the same numbers; guards that by passing over settings that lack some.
    fn configure(&mut self, settings: Settings, continues: &[Option<usize>]) {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        if classes < self.classes.len() || tenants < self.set.tenants.len() {
            return;
        }
        for (i, c) in settings.classes.iter().enumerate().skip(self.classes.len()) {
            let like = continues.get(i).copied().flatten().and_then(|j| self.classes.get(j));
            let first = c.objective_us.max(10_000) as f64;
            let (usual, long) = like.map_or((first, LONG * first), |c| (c.usual, c.long));
            self.classes.push(Class { usual, long, u: 1.0, kept: 1.0, ..Class::default() });
        }
        self.tenants.resize_with(tenants.max(1), || Tenant { tokens: 1.0, ..Tenant::default() });
        if settings.membership_epoch != self.set.membership_epoch {
            self.peers.clear();
        } // their numbers mean other nodes now
        self.set = settings;
        self.set_allotments();
    }

    /// The classes that are offered, by number.
    fn offered(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.classes.len()).filter(|i| !self.set.retired_classes.contains(i))
    }

    /// Jobs sent to cold workers beyond this dispatcher's part of their budget: none, where all is well.
    pub fn slow_start_overdrafts(&self) -> u64 {
        self.slow_start_overdrafts
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.started, true) && self.set.polls_endpoints {
            out.push(Action::WatchEndpoints);
        }
        match event {
            Event::RequestReceived(request) => self.accept(request, out),
            Event::RequestAdopted { request, worker, sent_us, started_us } => {
                self.adopt(request, *worker, *sent_us, *started_us, out)
            }
            Event::ResponseStreaming { id, attempt: a } => {
                self.live(*id, *a).map_or((), |j| j.streaming = true)
            }
            Event::Acknowledged { id, attempt } => self.taken_there(*id, *attempt, out),
            Event::Started { id, attempt } => self.news(*id, *attempt, true, out),
            Event::Progress { id, attempt, .. } => self.news(*id, *attempt, false, out),
            Event::AttemptEnded(ending) => self.ended(ending, out),
            Event::ClientDisconnected { id } => self.client_left(*id, out),
            Event::SettingsChanged { settings, continues } => self.configure((**settings).clone(), continues),
            Event::EndpointList(entries) => self.list(entries, true),
            Event::EndpointChanges(entries) => self.list(entries, false),
            Event::EndpointWatchFailed => self.list_failed(out),
            Event::TimerExpired if !self.agenda.expired(self.now) => return, // an earlier one overtook it
            Event::TimerExpired => self.timer(out),
            Event::ProbeEnded { worker, ok, report } => self.probed(*worker, *ok, *report),
            Event::PeerMessage { from, bytes } => self.peer(*from, bytes),
        }
        let told =
            matches!(event, Event::Acknowledged { .. } | Event::Started { .. } | Event::Progress { .. });
        if !told && !matches!(event, Event::PeerMessage { .. }) {
            self.admit();
            self.bind(out);
        }
        if let Some(after_us) = self.agenda.timer_to_set(self.now) {
            out.push(Action::SetTimer { after_us });
        }
    }

    fn accept(&mut self, r: &Request, out: &mut Vec<Action>) {
        let class = r.class.min(self.classes.len() - 1);
        let tenant = r.tenant.min(self.tenants.len() - 1);
        let c = &self.set.classes[class];
        let work = r.work_hint_us.map_or(self.classes[class].usual, |h| h as f64);
        self.work += KEPT_GAIN * (work / SECOND as f64 - self.work);
        // Usual times are of workers of all speeds; the stretch counts work at speed 1: trust half.
        let slack = (c.objective_us as f64 + (c.objective_per_work - 1.0) * work * 0.5)
            .max(c.objective_us as f64 / 4.0);
        // Where late jobs spoil others' worth, a job that waits is refused surely inside its aim.
        let slack = if self.set.late_penalty_weight > 0.0 {
            slack.min(TAIL_DUE * c.objective_us as f64)
        } else {
            slack
        };
        let deadline = self.now + r.time_left_us.saturating_sub(ANSWER_MARGIN);
        // A client that waits less long than others did has tried before: part of the aim is gone.
        let longest = &mut self.classes[class].longest;
        *longest = r.time_left_us.max(*longest);
        let spent = *longest - r.time_left_us;
        let again = self.set.unmarked_retries && spent >= RETRY_SOON / 2;
        let slack = if again { (slack - spent as f64).max(0.0) } else { slack };
        // A repeat has spent its aim already: it is worth what a late answer is worth, if anything.
        let (late, worthless) = (r.is_retry && c.late_weight > 0.0, r.is_retry && c.late_weight <= 0.0);
        let due = self.now + if late { r.time_left_us } else { slack as Micros };
        let need = f64::min(r.slots.max(r.memory).max(1.0), CAP_MAX); // 1 for what is no number
        self.taken.add(self.now);
        let job = Job {
            class,
            tenant,
            key: r.affinity_key,
            work,
            need,
            admitted: self.now,
            deadline,
            due: due.min(deadline),
            late,
            ahead: self.ahead(class),
            most: self.set.max_attempts,
            ..Job::default()
        };
        self.jobs.insert(r.id, job);
        if self.barred(&job) {
            return self.give_up(r.id, Reason::Quarantined, out);
        }
        self.agenda.add(job.due, Due::Job { id: r.id });
        let t = &mut self.tenants[tenant];
        if worthless || again {
            return t.repeats.push_back(r.id);
        }
        self.probes = (self.probes + PROBES_A_JOB).min(10.0 * PROBES_A_JOB);
        t.queue.push_back(r.id);
        t.recent += 1.0;
        if self.offered + self.recent == 0.0 {
            self.born = self.now;
        }
        self.recent += 1.0;
    }

    /// A job that runs already: it holds its place at its worker, and its times are those it had.
    fn adopt(
        &mut self,
        r: &Request,
        id: WorkerId,
        sent: Micros,
        started: Option<Micros>,
        out: &mut Vec<Action>,
    ) {
        self.accept(r, out);
        let (now, new) = (self.now, self.workers.len());
        let w = *self.index.entry(id).or_insert(new);
        // One that no list names any more: it gets nothing.
        if w == new {
            self.workers.push(Worker { id, slow: 1.0, scale: 1.0, ..Worker::default() });
        }
        self.kinds.resize(self.kinds.len().max(1), (1.0, 0.0, 1.0));
        let Some(job) = self.jobs.get_mut(&r.id) else { return };
        let ago = |span| now.saturating_sub(span);
        (job.stage, job.sent, job.admitted) = (Stage::Out, 1, ago(sent));
        let started = started.map_or(0, ago);
        job.attempt = Attempt { worker: w, sent: ago(sent), started, progressed: now, ..Attempt::default() };
        let worker = &mut self.workers[w];
        (worker.held, worker.used_at) = (worker.held + job.need, now);
        self.window.sent(job.need);
        self.plan(self.patience(r.id), Due::Check { id: r.id, attempt: 0 });
    }

    fn ahead(&self, class: usize) -> Micros {
        let dense = |i: usize| self.set.classes[i].priority_weight.max(1e-3) / self.classes[i].usual.max(1.0);
        let least = self.offered().map(dense).fold(f64::INFINITY, f64::min);
        ((dense(class) / least).log2() * AHEAD as f64) as Micros
    }

    /// Allotments first, then the rest of u evenly among tenants that wait; what one leaves, others use.
    fn admit(&mut self) {
        let dt = (self.now - self.filled_at) as f64 / SECOND as f64;
        self.filled_at = self.now;
        let total: f64 = self.tenants.iter().map(|t| t.allotment).sum();
        let part = if self.u < total { self.u / total } else { 1.0 };
        for t in &mut self.tenants {
            let rate = t.allotment * part;
            t.tokens = (t.tokens + rate * dt).min(rate * BURST_S + 2.0);
        }
        let u = self.u.min(1e6);
        self.tokens = (self.tokens + u * dt).min(u * 0.2 + 1.0);
        let n = self.tenants.len();
        for t in 0..n {
            // A repeat is within the share where the tenant leaves much of it: else first tries come first.
            let full = (self.tenants[t].allotment * part * BURST_S + 2.0) / 2.0;
            while self.tenants[t].tokens >= 1.0 && self.admit_one(t, true, self.tenants[t].tokens >= full) {
                self.tenants[t].tokens -= 1.0;
                self.tokens = (self.tokens - 1.0).max(-u);
            }
        }
        // Past their share jobs wait while many attempts find no room, for siblings fill it too.
        let mut idle = if self.pressure > PRESSURE { n } else { 0 };
        while self.tokens >= 1.0 && idle < n && self.waiting.range((2, 0, 0)..).next().is_none() {
            self.turn = (self.turn + 1) % n;
            idle += 1;
            if self.admit_one(self.turn, false, true) {
                self.tokens -= 1.0;
                idle = 0;
            }
        }
    }

    /// The newest first: where a queue forms, its oldest have no time left to be of use.
    fn admit_one(&mut self, tenant: usize, in_share: bool, repeats: bool) -> bool {
        let t = &mut self.tenants[tenant];
        let repeat = |t: &mut Tenant| if repeats { t.repeats.pop_back() } else { None };
        while let Some(id) = t.queue.pop_back().or_else(|| repeat(t)) {
            let now = self.now;
            let Some(job) = self.jobs.get_mut(&id).filter(|j| j.stage == Stage::Queued) else { continue };
            (job.admitted, job.in_share, job.stage) = (now, in_share, Stage::Waiting);
            self.waiting.insert(rank(job, id));
            return true;
        }
        false
    }

    /// Late binding: in order of rank, each job goes to a worker with room or waits on.
    fn bind(&mut self, out: &mut Vec<Action>) {
        let (mut after, mut misses, keyed) = ((0, 0, 0), 0, self.set.origin_price > 0.0);
        let from = |key: Rank| (Bound::Excluded(key), Bound::Unbounded);
        let roomy = |&i: &usize| self.load(&self.workers[i], &Job::default()).is_some();
        if keyed {
            self.open = (0..self.workers.len()).filter(roomy).collect();
        }
        let most = if keyed { 16 } else { 4 };
        while let Some(&key) = self.waiting.range(from(after)).next().filter(|_| misses < most) {
            after = key;
            if self.jobs[&key.2].sent > 0 && !self.may_try_again(1.0) {
                self.give_up(key.2, Reason::RetryBudgetExhausted, out);
                continue;
            }
            match self.pick(self.jobs[&key.2]).filter(|&w| self.known(w)) {
                Some(w) => self.send(key, w, out),
                None => {
                    self.ask(key.2, out);
                    misses += 1;
                }
            }
        }
        let held = !self.waiting.is_empty() || self.tenants.iter().any(|t| !t.queue.is_empty());
        if held && !self.poll_set {
            self.poll_set = true;
            self.plan(POLL, Due::Poll);
        }
    }

    fn pick(&mut self, job: Job) -> Option<usize> {
        if self.set.reports_start && !self.set.live_weights && !self.window.has_room(job.need) {
            return None;
        }
        let scored = self.candidates(&job).into_iter().filter_map(|i| self.score(&job, i).map(|s| (s, i)));
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, i)| i)
    }

    /// Who is looked at for a job: all of a small fleet; of a large one a seeded sample, and those heard of.
    fn candidates(&mut self, job: &Job) -> Vec<usize> {
        if self.set.origin_price > 0.0 {
            return self.open.clone();
        }
        let bound = self.set.classes[job.class].idempotency == Idempotency::WithKey(KeyScope::Cell);
        let mates = bound && job.may_run.is_some(); // few: a sample would miss them
        if self.workers.len() <= ALL || mates || self.shared() {
            return (0..self.workers.len()).collect();
        }
        let (now, workers) = (self.now, &self.workers);
        let keep = if self.set.handshake_price > 0.0 { self.set.idle_timeout_us } else { 0 };
        self.lately.retain(|&i| now < workers[i].used_at + keep || now < workers[i].free_at + FRESH);
        let mut some = self.lately.clone();
        let mut rng = self.rng.below(u64::MAX);
        let sample = if self.asks() && self.probing > 0 { 0 } else { SAMPLE }; // those asked come first
        for (pool, n) in [(&self.near, sample), (&self.far, sample / 3)] {
            for _ in 0..n.min(pool.len()) {
                rng = mix(rng.wrapping_add(1));
                some.push(pool[(rng % pool.len() as u64) as usize]);
            }
        }
        some
    }

    /// How little a worker suits a job; none where it may not or can't take it.
    fn score(&self, job: &Job, i: usize) -> Option<f64> {
        let (c, w) = (&self.set.classes[job.class], &self.workers[i]);
        if !w.ready || c.required_kind.is_some_and(|k| k != w.kind) || !self.may_repeat_on(job, i) {
            return None;
        }
        let zone = if w.zone == self.set.zone { 0.0 } else { self.set.cross_zone_price * PRICE_LOAD };
        let open = w.used_at > 0 && self.now < w.used_at + self.set.idle_timeout_us; // costs nothing
        let link = if open { 0.0 } else { self.set.handshake_price * PRICE_LOAD };
        let chance = unit(self.rng.state() ^ w.id.0) * 0.02;
        let kept_away = |mark| self.judged.get(&(i, mark)).is_some_and(|p| self.now < p.0);
        if marks(job).any(kept_away) {
            return None;
        }
        if self.shared() {
            // By lot, for all see the same weights: the best of them would be flooded.
            let lot = -unit(self.rng.state() ^ w.id.0 ^ self.now).ln() * (LOT_PRICE * (zone + link)).exp();
            return self.load(w, job).map(|load| lot * load * load);
        }
        let load = self.load(w, job)? + if self.estimates() { 0.0 } else { w.crowd + f64::from(w.overdue) };
        Some(load * self.usually(w).0 + zone + link + self.fetch(job, w)? + chance)
    }

    /// What a fetch costs, if the worker may lack what the job needs. All dispatchers rank workers alike by
    /// key (rendezvous hashing); a key goes down its ranks as far as room asks, so that a hot one has more.
    fn fetch(&self, job: &Job, w: &Worker) -> Option<f64> {
        if job.key == 0 || self.set.origin_price <= 0.0 {
            return Some(0.0);
        }
        let part = (unit(job.key ^ mix(w.id.0)) * KEY_SPREAD).min(1.0);
        let waits = part > KEY_WAIT * job.waited(self.now) + KEY_SURE; // for one that surely holds it
        if waits {
            None
        } else {
            Some(part * self.set.origin_price * PRICE_LOAD)
        }
    }

    /// A worker's run times over the usual, and how often it has room; in a large fleet its kind stands in.
    fn usually(&self, w: &Worker) -> (f64, f64) {
        let kind = &self.kinds[w.kind as usize];
        let many = self.workers.len() > ALL && self.set.reports_free_slots && !self.set.reports_start;
        if many {
            (kind.0, kind.2.max(0.1))
        } else {
            (w.slow, 1.0)
        }
    }

    /// Where workers report free slots, may be probed and don't tell starts, a job asks before it is sent.
    fn asks(&self) -> bool {
        self.set.can_probe && self.set.reports_free_slots && !self.set.reports_start && self.stale < STALE
    }

    fn known(&self, w: usize) -> bool {
        !self.asks() || self.now < self.workers[w].free_at + FRESH
    }

    /// Probes the workers that suit a job best and were not heard of lately.
    fn ask(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if !self.asks() || self.probing > 0 {
            return;
        } // those asked may yet show room
        let job = self.jobs[&id];
        let stale = self.candidates(&job).into_iter().filter(|&i| !self.known(i));
        let mut best: Vec<(f64, usize)> = stale.filter_map(|i| self.score(&job, i).map(|s| (s, i))).collect();
        best.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, i) in best.into_iter().take(AT_ONCE.min(self.probes as usize)) {
            (self.probes, self.probing) = (self.probes - 1.0, self.probing + 1);
            out.push(Action::Probe { worker: self.workers[i].id });
        }
    }

    fn may_repeat_on(&self, job: &Job, worker: usize) -> bool {
        let Some((first, until)) = job.may_run else { return true };
        let (a, b) = (&self.workers[first], &self.workers[worker]);
        match self.set.classes[job.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey(_)
                if self.now + self.set.max_send_delay_us + 2 * self.set.clock_resolution_us >= until =>
            {
                false
            }
            Idempotency::WithKey(KeyScope::Fleet) => true,
            Idempotency::WithKey(KeyScope::Zone) => a.zone == b.zone,
            Idempotency::WithKey(KeyScope::Cell) => a.cell == b.cell,
        }
    }

    /// How full a worker would be with one more of our jobs; none where it has no room for this one.
    fn load(&self, w: &Worker, job: &Job) -> Option<f64> {
        let waits = w.overdue > 0 && !w.silent && self.set.reports_start;
        let warmth = self.warmth(w);
        let cold = warmth < 1.0 && !self.may_start_on(w, job);
        if waits || self.now < w.pause_until || cold {
            return None;
        }
        if w.silent || w.doubt > 0 {
            // Recovery by a trickle: one job at a time, and one that may be repeated if it is lost.
            let none_safe =
                self.offered().all(|i| self.set.classes[i].idempotency != Idempotency::Idempotent);
            let repeatable = self.set.classes[job.class].idempotency == Idempotency::Idempotent || none_safe;
            let load = if self.shared() { 1.0 / w.scale.max(0.1) } else { 0.0 }; // else trials come first
            return Some(load).filter(|_| repeatable && w.held < 0.5 && self.now >= w.trial_at);
        }
        let then = w.held + job.need;
        if self.asks() {
            let fresh = self.now < w.free_at + FRESH;
            let guess = (1.0 + then / w.cap.max(CAP_MIN)) / self.usually(w).1;
            return if !fresh { Some(guess) } else { Some(1.0 / (1.0 + w.free)).filter(|_| w.free >= 0.9) };
        }
        if self.shared() {
            // Where the worst-served class counts, the better served leave it the full workers.
            let cores = self.weights.cores(KindId::new(w.kind as usize)) * warmth;
            let worse = |i: usize| self.classes[i].kept + KEPT_GAIN < self.classes[job.class].kept;
            let yields = self.set.worst_class_weight > 0.0 && self.offered().any(worse);
            let size = if warmth < 1.0 { w.scale / SLOT_LOAD } else { w.scale }; // the slot is ours alone
            return Some((1.0 + w.there / cores) / size).filter(|_| !yields || w.there + 0.5 <= cores);
        }
        let load = then / w.cap.max(CAP_MIN);
        if !self.estimates() {
            return Some(load).filter(|&load| load <= 1.0 || w.held < 0.5);
        }
        // A job takes less sure a room the longer it has waited: reports are late, and others fill it too.
        // The older the report, the more like the fleet's mean the room is taken to be.
        let age = self.now.saturating_sub(w.free_at) as f64 / SECOND as f64;
        let room = self.mean_cap + (w.cap - self.mean_cap) / (1.0 + age);
        Some(then / room.max(0.5)).filter(|_| then <= room + job.need * (ROOM_RISK + job.waited(self.now)))
    }

    /// Many dispatchers: what one sees of a worker tells little of it, the list's live weights tell more.
    fn shared(&self) -> bool {
        self.set.live_weights && self.set.senders() > ALL as u32
    }

    /// Whether the list tells that siblings' jobs fill a worker: then a job waits there for a reason.
    fn busy(&self, i: usize) -> bool {
        self.shared()
            && self.workers[i].there >= self.weights.cores(KindId::new(self.workers[i].kind as usize))
    }

    /// How much seldomer each tries a doubted worker, for all siblings do.
    fn seldom(&self) -> Micros {
        (Micros::from(self.set.senders()) / ALL as Micros).max(1)
    }

    fn estimates(&self) -> bool {
        self.set.reports_free_slots && !self.set.reports_start && !self.asks()
    }

    fn warmth(&self, w: &Worker) -> f64 {
        slow_start::warmth(&self.set.rules, w.since, self.now)
    }

    fn start(&self, w: &Worker) -> Start {
        let fleet = Fleet { served: self.served, work: self.work, size: self.most_scale };
        Start { worker: w.id, at: w.since, capacity: fleet.capacity(&self.set, w.scale) }
    }

    fn may_start_on(&self, w: &Worker, job: &Job) -> bool {
        let (sender, size) = (Sender::of(&self.set, self.started_at), job.work / SECOND as f64 / self.work);
        slow_start::may_send(&self.set.rules, sender, self.start(w), w.cold_sends, self.now, size)
    }

    fn send(&mut self, key: Rank, w: usize, out: &mut Vec<Action>) {
        self.waiting.remove(&key);
        let (now, seldom) = (self.now, self.seldom());
        let is_cold = self.warmth(&self.workers[w]) < 1.0;
        let may_start = |job| self.may_start_on(&self.workers[w], job);
        let overdraws = is_cold && !self.jobs.get(&key.2).is_some_and(may_start);
        self.slow_start_overdrafts += u64::from(overdraws);
        let Some(job) = self.jobs.get_mut(&key.2) else { return };
        let worker = &mut self.workers[w];
        let doubts = worker.silent || worker.doubt > 0;
        worker.cold_sends = worker.cold_sends.record(&self.set.rules, worker.since, now);
        (worker.held, worker.free, worker.used_at) = (worker.held + job.need, worker.free - job.need, now);
        worker.there += job.need; // the next list counts it
        self.window.sent(job.need);
        if self.set.live_weights && self.set.senders() > ALL as u32 {
            let (c, speed) =
                (&self.set.classes[job.class], self.weights.speed(KindId::new(worker.kind as usize)));
            let latest = c.objective_us
                + ((c.objective_per_work - 1.0 / speed.max(0.1)).max(0.0) * job.work) as Micros;
            job.due = (job.admitted + latest).min(job.deadline);
        }
        if doubts {
            worker.trial_at = now + (worker.trial() * seldom).min(MUTE);
        }
        if job.sent > 0 {
            self.further.add(now);
        }
        job.stage = Stage::Out;
        job.attempt = Attempt { worker: w, sent: now, progressed: now, ..Attempt::default() };
        job.sent += 1;
        let attempt = job.sent - 1;
        out.push(Action::Send { id: key.2, worker: worker.id });
        self.rng.below(1);
        if self.set.handshake_price > 0.0 && !self.lately.contains(&w) {
            self.lately.push(w);
        }
        self.plan(self.patience(key.2), Due::Check { id: key.2, attempt });
    }

    /// How long a worker may show nothing of this job before it counts as silent.
    fn patience(&self, id: RequestId) -> Micros {
        let job = &self.jobs[&id];
        if self.wordless(&job.attempt) {
            return WORD;
        }
        if self.set.reports_start && job.attempt.started == 0 {
            // First it counts as waiting there, then, after a usual job's time or once it is late, as lost.
            // Where that is too late all the same, haste helps nobody: after a long job's time.
            let (c, a) = (&self.classes[job.class], &job.attempt);
            let (usual, long) = (c.usual as Micros, c.usual.max(c.long) as Micros);
            let wait = if a.sent + usual < job.due { usual } else { long };
            let wait = if self.busy(a.worker) { job.due.saturating_sub(a.sent) } else { wait };
            return PROMPT.max(usual / 10) + if a.overdue { wait } else { 0 };
        }
        match self.set.progress_interval_us {
            0 => self.classes[job.class].usual as Micros * RUN_SILENCE,
            p => (p + p / 2).max(if self.estimates() { self.classes[job.class].long as Micros } else { 0 }),
        }
    }

    fn wordless(&self, a: &Attempt) -> bool {
        self.set.acknowledges && !a.taken && a.started == 0
    }

    /// Guards against hung and frozen workers: no start, no progress, no outcome, and no other life either.
    fn check(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        let over = job.stage != Stage::Out || job.sent != attempt + 1;
        if over || job.streaming || job.attempt.cancelled {
            return;
        }
        let (a, class, job_admitted) = (job.attempt, job.class, job.admitted);
        let (seen, patience) = (a.sent.max(a.progressed), self.patience(id));
        if seen + patience > self.now {
            return self.agenda.add(seen + patience, Due::Check { id, attempt });
        }
        // Guards against connections that fell silent: that says nothing of the worker's queue or classes.
        let wordless = self.wordless(&a);
        if !wordless && self.set.reports_start && a.started == 0 && !a.overdue {
            // Guards against queues that siblings fill: nothing more goes there until this one starts.
            self.workers[a.worker].overdue += 1;
            self.learn_room(a.worker, false);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.attempt.overdue = true;
            }
            let wait = self.patience(id);
            return self.agenda.add(seen + wait, Due::Check { id, attempt });
        }
        let alone = self.workers[a.worker].life > seen;
        let waits = self.busy(a.worker) && a.started == 0 && !wordless; // siblings' jobs are before it
        let over = self.set.reports_start && !waits && (!alone || seen + 2 * patience <= self.now);
        if wordless {
            self.lose(id);
        } else if over {
            self.mute(id, alone);
        }
        if !alone && !waits && !self.workers[a.worker].silent {
            let w = &mut self.workers[a.worker];
            (w.silent, w.trial_at) = (true, self.now + TRIAL);
            self.trace(Notice::WorkerUnresponsive { worker: self.workers[a.worker].id }, out);
        }
        if (self.now - job_admitted) as f64 > LATE_W * self.aim(class) {
            self.count(id, LATE_W);
        }
        // A job that may be repeated is called off and sent elsewhere while that still helps.
        let job = self.jobs[&id];
        let lost = self.workers[a.worker].silent || job.attempt.lost || waits || self.estimates();
        let may = self.set.can_cancel && self.set.classes[class].idempotency != Idempotency::NotIdempotent;
        let again = may && lost && job.sent < job.most && self.may_try_again(1.0);
        let until = a.sent + self.set.classes[class].deduplication_window_us;
        let there = Job { may_run: job.may_run.or(Some((a.worker, until))), ..job };
        if again && (wordless || waits || self.pick(there).is_some()) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.attempt.cancelled = true;
            }
            return out.push(Action::Cancel { id, attempt });
        }
        self.plan(patience, Due::Check { id, attempt });
    }

    /// Guards against workers that leave some classes unanswered: this one stays away, and frees its place.
    fn mute(&mut self, id: RequestId, alone: bool) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.judged.insert((job.attempt.worker, (1, job.class as u64)), (self.now + MUTE, 0.0));
        if alone {
            self.lose(id);
        }
    }

    fn lose(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.attempt.lost) else { return };
        let a = job.attempt;
        (job.attempt.lost, job.attempt.overdue) = (true, false);
        let w = &mut self.workers[a.worker];
        (w.held, w.overdue) = (w.held - job.need, w.overdue - u32::from(a.overdue));
        self.window.freed(job.need);
    }

    fn live(&mut self, id: RequestId, attempt: u32) -> Option<&mut Job> {
        let out = |j: &&mut Job| j.sent == attempt + 1 && matches!(j.stage, Stage::Out | Stage::Done);
        self.jobs.get_mut(&id).filter(out)
    }

    fn taken_there(&mut self, id: RequestId, attempt: u32, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(job) = self.live(id, attempt) else { return };
        (job.attempt.taken, job.attempt.progressed) = (true, now);
        let w = job.attempt.worker;
        self.alive(w, false, out);
        self.plan(self.patience(id), Due::Check { id, attempt });
    }

    fn news(&mut self, id: RequestId, attempt: u32, start: bool, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(job) = self.live(id, attempt) else { return };
        let (a, class) = (job.attempt, job.class as u64);
        job.attempt.progressed = now;
        if start {
            (job.attempt.started, job.attempt.overdue) = (if a.started > 0 { a.started } else { now }, false);
            self.judged.remove(&(a.worker, (1, class)));
            self.workers[a.worker].overdue -= u32::from(a.overdue);
        }
        self.alive(a.worker, false, out);
        if start && a.started == 0 && !a.overdue {
            self.learn_room(a.worker, true);
        }
    }

    fn alive(&mut self, w: usize, served: bool, out: &mut Vec<Action>) {
        let worker = &mut self.workers[w];
        let held_against = std::mem::take(&mut worker.silent) || worker.doubt > 0;
        worker.life = self.now;
        if served && worker.doubt > 0 {
            (worker.doubt, worker.trial_at) = (worker.doubt - 1, self.now);
        }
        if held_against && worker.doubt == 0 {
            self.trace(Notice::WorkerRecovered { worker: self.workers[w].id }, out);
        }
    }

    /// The cap: up on proof of room at the cap, down on proof of none.
    fn learn_room(&mut self, w: usize, room: bool) {
        self.crowding(w, room);
        self.window.learn(room);
        let worker = &mut self.workers[w];
        if !room {
            worker.cap = (worker.cap.min(worker.held.max(CAP_MIN)) * CAP_DOWN).max(CAP_MIN);
        } else if worker.held + 1.0 >= worker.cap {
            worker.cap = (worker.cap + CAP_UP).min(CAP_MAX);
        }
    }

    fn crowding(&mut self, w: usize, room: bool) {
        let sign = if room { 0.0 } else { 1.0 };
        self.pressure += PRESSURE_GAIN * (sign - self.pressure);
        self.workers[w].crowd += CROWD_GAIN * (sign - self.workers[w].crowd);
    }

    /// Guards against workers that turn jobs away whatever they report: each 'full' lengthens the pause. It
    /// is the class's or tenant's alone where that meets no room much more often there than all do.
    fn turned_away(&mut self, job: &Job, out: &mut Vec<Action>) {
        let (w, usual) = (job.attempt.worker, self.classes[job.class].usual);
        self.alive(w, false, out);
        let wait = self.now + self.rng.below((usual / 8.0) as Micros);
        let pause = |crowd: f64| wait + (usual / 8.0 * (crowd * CROWD_PAUSE).exp2()) as Micros;
        let mut theirs = false;
        for mark in marks(job).filter(|m| m.0 > 0) {
            let pair = self.judged.entry((w, mark)).or_default();
            pair.1 += CROWD_GAIN * (1.0 - pair.1);
            if pair.1 < self.workers[w].crowd + APART {
                continue;
            }
            (theirs, pair.0) = (true, pause(pair.1));
        }
        if theirs {
            return;
        }
        self.learn_room(w, false);
        let worker = &mut self.workers[w];
        (worker.pause_until, worker.free) = (pause(worker.crowd), worker.free.min(0.0));
    }

    /// Guards against requests that fail wherever they go, or bring workers down: those that share a key (or
    /// class, or tenant) which failed at several workers and was not served since, while others were. They
    /// are answered at once but for trials. May hurt: a rare key lost beside a bad one waits for its trial.
    fn blame(&mut self, job: &Job, crash: bool) -> bool {
        let (now, w, mut theirs) = (self.now, job.attempt.worker, false);
        let others = self.served + self.served_now >= 1.0;
        for mark in marks(job) {
            // Jobs lost at one moment are one sign: for a class or tenant also those at several workers.
            let gap = if mark.0 > 0 { TRIAL } else { 0 };
            let apart = |s: &&mut Suspect| s.failed_at + gap < now || gap == 0 && s.place != w;
            let Some(s) = self.suspect(mark).filter(apart) else { continue };
            s.places += u32::from(s.places == 0 || s.place != w);
            (s.fails, s.place, s.failed_at) = (s.fails + 1, w, now);
            let guilty = match mark.0 {
                0 => s.places > 1 || crash && (s.served_at == 0 || now > s.served_at + MUTE),
                _ => s.fails >= MIN_JOBS && s.places > 2 && others,
            };
            if !guilty {
                continue;
            }
            theirs = true;
            let (first, last) = if crash { (MUTE / 2, MUTE) } else { (TRIAL, TRIAL << DOUBT_MAX) };
            s.wait = (s.wait * 2).clamp(first, last);
            s.trial_at = now + s.wait;
        }
        theirs
    }

    /// Whether a request is answered unsent for what it shares with those that failed; few are tried. One
    /// break may be the connection's: who was sent before goes on until what it shares failed elsewhere too.
    fn barred(&mut self, job: &Job) -> bool {
        let (now, mut held) = (self.now, false);
        for mark in marks(job) {
            let held_for = |s: &&mut Suspect| s.wait > 0 && (job.sent == 0 || s.places > 1);
            let Some(s) = self.suspects.get_mut(&mark).filter(held_for) else { continue };
            held |= now < s.trial_at;
            if !held {
                s.trial_at = now + s.wait;
            }
        }
        held
    }

    fn suspect(&mut self, mark: (u8, u64)) -> Option<&mut Suspect> {
        let full = self.suspects.len() >= SUSPECTS_MAX && !self.suspects.contains_key(&mark);
        if full {
            None
        } else {
            Some(self.suspects.entry(mark).or_default())
        }
    }

    /// Guards against workers that fail quickly, whatever the cause: more jobs come as trials only.
    fn doubt(&mut self, w: usize, out: &mut Vec<Action>) {
        let (seldom, worker) = (self.seldom(), &mut self.workers[w]);
        worker.doubt = (worker.doubt + 2).min(DOUBT_MAX);
        worker.trial_at = self.now + (worker.trial() * seldom).min(MUTE);
        self.trace(Notice::WorkerFailing { worker: self.workers[w].id }, out);
    }

    /// Guards against taking one broken connection for a worker that is down: the first since the worker's
    /// last sign of life makes a pause. May hurt: one that went down gets a job more, which fails quickly.
    fn broke(&mut self, w: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[w];
        if std::mem::replace(&mut worker.broke_at, self.now) > worker.life {
            return self.doubt(w, out);
        }
        worker.pause_until = worker.pause_until.max(self.now + TRIAL / 3);
    }

    fn probed(&mut self, worker: WorkerId, ok: bool, report: Option<LoadReport>) {
        let Some(&w) = self.index.get(&worker) else { return };
        self.probing = self.probing.saturating_sub(1);
        if !ok {
            self.workers[w].pause_until = self.now + FRESH;
        }
        self.reported(w, report);
    }

    fn reported(&mut self, w: usize, report: Option<LoadReport>) {
        let Some(told @ LoadReport { free_slots: Some(free), queued: queue, .. }) = report else { return };
        let queue = queue.unwrap_or(0.0).max(0.0);
        let free = free.min(told.free_memory.unwrap_or(free));
        let last = &mut self.workers[w];
        let moved = (std::mem::replace(&mut last.told_held, last.held) - last.held).abs() > 0.5;
        if moved && self.now < last.free_at + 4 * FRESH {
            self.stale += CROWD_GAIN / 2.0 * (f64::from(u8::from(last.told == told)) - self.stale);
        }
        self.crowding(w, if told.queued.is_some() { queue < 0.5 } else { free >= 0.5 });
        if !self.lately.contains(&w) {
            self.lately.push(w);
        }
        let room = if free - queue >= 0.9 { 1.0 } else { 0.0 };
        let kind = &mut self.kinds[self.workers[w].kind as usize];
        kind.2 += CROWD_GAIN * (room - kind.2);
        let worker = &mut self.workers[w];
        (worker.free, worker.free_at, worker.told) = (free.max(0.0) - queue, self.now, told);
        let room = (worker.held + worker.free).clamp(0.0, CAP_MAX);
        worker.cap += 0.5 * (room - worker.cap);
        self.mean_cap += PRESSURE_GAIN * (room - self.mean_cap);
    }

    fn ended(&mut self, e: &AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (e.id, e.outcome);
        let Some(job) = self.live(id, e.attempt) else { return };
        let (job, a, class) = (*job, job.attempt, job.class);
        let (w, usual) = (a.worker, self.classes[class].usual);
        let last = &mut self.workers[w];
        (last.overdue, last.there) = (last.overdue - u32::from(a.overdue), (last.there - job.need).max(0.0));
        let freed = if a.lost { 0.0 } else { job.need };
        (last.held, last.used_at) = (last.held - freed, self.now);
        self.window.freed(freed);
        // Guards against tables filled by many dispatchers' idle connections, where new ones cost nothing.
        let many = self.set.handshake_price <= 0.0 && self.set.senders() > ALL as u32;
        if last.held < 0.5 && many {
            out.push(Action::CloseIdleConnections { worker: last.id });
        }
        let failed = matches!(outcome, Outcome::Error | Outcome::ConnectionLost) && !e.not_attributable;
        let guilty = failed && self.blame(&job, outcome == Outcome::ConnectionLost);
        match outcome {
            Outcome::Success => self.served(&job, e.report, out),
            Outcome::Rejected => self.turned_away(&job, out),
            // A connection that breaks after the work was done is no quick failure: it draws no jobs.
            Outcome::ConnectionLost if (self.now - a.sent) as f64 > 0.5 * usual => self.alive(w, false, out),
            Outcome::Error if guilty => {}
            Outcome::ConnectionLost | Outcome::ConnectFailed if e.not_attributable => {}
            Outcome::ConnectionLost => self.broke(w, out),
            Outcome::Error | Outcome::ConnectFailed => self.doubt(w, out),
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
        if job.stage == Stage::Done {
            self.jobs.remove(&id);
            return;
        }
        if e.request_done || outcome == Outcome::Success {
            let w = (self.now - self.jobs[&id].admitted) as f64 / self.aim(class);
            self.count(id, w.min(LATE_W));
            self.jobs.remove(&id);
            return;
        }
        if !outcome.proves_not_executed() {
            self.count(id, LATE_W);
        }
        self.again(id, outcome, out);
    }

    fn served(&mut self, job: &Job, report: Option<LoadReport>, out: &mut Vec<Action>) {
        let (w, a, class) = (job.attempt.worker, job.attempt, job.class);
        self.alive(w, true, out);
        for mark in marks(job) {
            if let Some(pair) = self.judged.get_mut(&(w, mark)) {
                *pair = (0, pair.1 * (1.0 - CROWD_GAIN));
            }
            let Some(s) = self.suspect(mark).filter(|s| s.failed_at <= a.sent) else { continue };
            *s = Suspect { served_at: a.sent, ..Suspect::default() };
        }
        self.served_now += 1.0;
        let from = if a.started > 0 { a.started } else { a.sent };
        let run = (self.now - from).max(1) as f64;
        let c = &mut self.classes[class];
        (c.samples, c.kept) = (c.samples + 1.0, c.kept + KEPT_GAIN * (1.0 - c.kept));
        let step = (1.0 / c.samples).max(0.03);
        c.long *= if run > c.long { 1.0 + 49.0 * LONG_GAIN } else { 1.0 - LONG_GAIN };
        c.usual *= if run > c.usual { 1.0 + step } else { 1.0 / (1.0 + step) };
        let usual = c.usual;
        let (ratio, worker) = ((run / usual).clamp(0.3, 3.0), &mut self.workers[w]);
        worker.slow += 0.1 * (ratio - worker.slow);
        let kind = &mut self.kinds[worker.kind as usize];
        kind.1 += 1.0; // the first guess counts for a job
        kind.0 += (1.0 / (kind.1 + 1.0)).max(0.03) * (ratio - kind.0);
        if self.set.reports_start {
            return;
        }
        let told = report.is_some_and(|r| r.free_slots.is_some());
        if told {
            self.reported(w, report);
        } else {
            self.learn_room(w, run < 2.0 * usual);
        }
    }

    /// What becomes of a request whose attempt failed.
    fn again(&mut self, id: RequestId, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if !outcome.proves_not_executed() && job.may_run.is_none() {
            let window = self.set.classes[job.class].deduplication_window_us;
            job.may_run = Some((job.attempt.worker, job.attempt.sent + window));
        }
        let job = self.jobs[&id];
        let left = job.sent < job.most && outcome != Outcome::NotSent && self.now < job.deadline;
        let once =
            job.may_run.is_some() && self.set.classes[job.class].idempotency == Idempotency::NotIdempotent;
        // Who was turned away unseen can be refused to come back as a new request: lost work goes first.
        let part = if job.may_run.is_none() { 0.5 } else { 1.0 };
        let reason = if !left {
            Some(Reason::AttemptsExhausted)
        } else if once {
            Some(Reason::MayHaveExecuted)
        } else if self.barred(&job) {
            Some(Reason::Quarantined)
        } else if !self.may_try_again(part) {
            Some(Reason::RetryBudgetExhausted)
        } else if self.now >= job.due && !self.may_be_late(id) {
            Some(Reason::TooLate)
        } else {
            None
        };
        if let Some(reason) = reason {
            return self.give_up(id, reason, out);
        }
        self.agenda.add(job.due, Due::Job { id });
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.stage = Stage::Waiting;
        self.waiting.insert(rank(job, id));
    }

    /// Whether the ration of further attempts (or a part of it) leaves one more; edges count against us.
    fn may_try_again(&mut self, part: f64) -> bool {
        let Some(ration) = self.set.rules.retry_budget else { return true };
        let (from, slack) = (self.now.saturating_sub(ration.window_us), self.set.clock_resolution_us);
        let allowed = ration.min_retries + ration.ratio * self.taken.since(from + slack + 1) as f64;
        self.further.since(from.saturating_sub(slack)) as f64 + 1.0 <= allowed * part
    }

    /// A held job can't be in time any more: it waits on behind those that can, or is refused.
    fn due(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let held = |j: &Job| matches!(j.stage, Stage::Queued | Stage::Waiting) && self.now >= j.due;
        if !self.jobs.get(&id).is_some_and(held) || self.may_be_late(id) {
            return;
        }
        self.give_up(id, Reason::TooLate, out);
    }

    fn may_be_late(&mut self, id: RequestId) -> bool {
        let runs = if self.estimates() { 2 } else { 1 };
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let last = job.deadline.saturating_sub(runs * self.classes[job.class].usual as Micros);
        if job.late || self.set.classes[job.class].late_weight <= 0.0 || self.now >= last {
            return false;
        }
        let waits = self.waiting.remove(&rank(job, id));
        (job.late, job.due) = (true, last);
        if waits {
            self.waiting.insert(rank(job, id));
        }
        self.agenda.add(last, Due::Job { id });
        true
    }

    fn give_up(&mut self, id: RequestId, reason: Reason, out: &mut Vec<Action>) {
        if self.jobs.get(&id).is_some_and(|j| j.stage != Stage::Queued) {
            self.count(id, LATE_W);
        }
        let Some(job) = self.jobs.remove(&id) else { return };
        self.waiting.remove(&rank(&job, id));
        out.push(Action::Notify(Notice::RequestGivenUp { request: id, reason }));
        self.classes[job.class].kept *= 1.0 - KEPT_GAIN;
        let c = &self.set.classes[job.class];
        let any = matches!(c.idempotency, Idempotency::Idempotent | Idempotency::WithKey(KeyScope::Fleet));
        // Where late answers earn nothing, a wait can only make the repeat end later, past its aim.
        let wait = if c.late_weight > 0.0 { Micros::MAX } else { RETRY_SOON };
        let refuse = Action::Reject { id, retry_after_us: self.set.max_retry_after_us.min(wait) };
        out.push(if any || job.may_run.is_none() { refuse } else { Action::Fail { id } });
    }

    fn client_left(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.waiting.remove(&rank(job, id));
        if job.stage != Stage::Out {
            self.jobs.remove(&id);
            return;
        }
        job.stage = Stage::Done;
        let off = self.set.can_cancel && !job.attempt.cancelled && !job.streaming;
        if off {
            out.push(Action::Cancel { id, attempt: job.sent - 1 });
        }
    }

    fn list(&mut self, entries: &[Endpoint], full: bool) {
        let (soft, now, shared) = (self.set.rules.soft_removal, self.now, self.shared());
        let earliest = self.lists.earliest_start();
        self.lists.record(now);
        if full {
            self.workers.iter_mut().for_each(|w| w.unlist(soft, now));
        }
        for e in entries {
            self.kinds.resize(self.kinds.len().max(e.kind as usize + 1), (1.0, 0.0, 1.0));
            let i = *self.index.entry(e.worker).or_insert(self.workers.len());
            let fresh = i == self.workers.len();
            if fresh {
                self.workers.push(Worker::default());
            }
            let w = &mut self.workers[i];
            if e.started_at > w.told_since || fresh {
                // A restart knows nothing of what we learned.
                let (id, kind, zone, cell, told_since) = (e.worker, e.kind, e.zone, e.cell, e.started_at);
                let since = local_start(told_since, now, earliest);
                let own = Worker { held: w.held, overdue: w.overdue, ..Worker::default() };
                *w = Worker { id, kind, zone, cell, told_since, since, cap: CAP_START, slow: 1.0, ..own };
            }
            match e.availability {
                Availability::Ready => (w.ready, w.listed) = (true, true),
                Availability::Draining => w.ready = false,
                Availability::Gone => w.unlist(soft, now),
            }
            w.scale = if e.weight.is_finite() && e.weight > 0.0 { e.weight } else { 1.0 };
            let seen =
                self.set.live_weights.then(|| self.weights.learn(KindId::new(e.kind as usize), w.scale));
            if let Some(Seen { in_flight: all, size }) = seen {
                (w.scale, w.there) = (size, if shared { all } else { 0.0 });
            }
        }
        (self.near, self.far, self.scale) = Default::default();
        for (i, w) in self.workers.iter().enumerate().filter(|(_, w)| w.ready) {
            if w.zone == self.set.zone {
                self.near.push(i);
            } else {
                self.far.push(i);
            }
            self.scale += w.scale;
        }
        self.most_scale = self.most_scale.max(self.scale);
        self.window.resize(self.near.len() + self.far.len(), self.set.senders());
    }

    /// Guards against a list that grows stale unseen: a failed call is made again until one holds.
    fn list_failed(&mut self, out: &mut Vec<Action>) {
        let wait = (self.set.rules.poll_interval_us / 20).clamp(SECOND / 10, SECOND);
        let after = wait / 2 + self.rng.below(wait);
        self.plan(after, Due::Watch);
        self.trace(Notice::EndpointListUnavailable, out);
    }

    fn step(&mut self, out: &mut Vec<Action>) {
        self.plan(SECOND, Due::Step);
        // Guards who comes first to a node that has just started: what half a second showed is no rate yet.
        let early = self.recent == 0.0 || self.now < self.born + SECOND / 2;
        if early && self.offered == 0.0 {
            return self.tell(out);
        }
        let gain = (1.0 / ((self.now - self.born) / SECOND).max(1) as f64).max(0.1);
        self.offered += gain * (self.recent - self.offered);
        self.u_max = U_HEADROOM * self.offered.max(std::mem::take(&mut self.recent)) + 2.0;
        for t in &mut self.tenants {
            t.rate += gain * (std::mem::take(&mut t.recent) - t.rate);
        }
        self.served += gain * (self.served_now - self.served);
        let floor = U_FLOOR * self.served.max(std::mem::take(&mut self.served_now)) + 1.0;
        self.tell(out);
        self.set_allotments();
        self.most_scale = self.scale.max(self.most_scale * SCALE_KEPT);
        self.mean_cap = self.mean_cap.max(self.mean_cap * 0.9 + 0.1); // a full fleet is looked at again
        let (now, mut u) = (self.now, 1.0_f64);
        self.suspects.retain(|_, s| now < s.failed_at.max(s.served_at) + 3 * MUTE);
        for c in &mut self.classes {
            c.pooled += 1;
            // After POOL_MAX quiet seconds go on with what there is (paper, 4.2): silence must not freeze u.
            if c.w_count >= MIN_JOBS || (c.pooled >= POOL_MAX && c.w_count > 0) {
                c.u = c.regulator.step(c.w_sum / f64::from(c.w_count));
                (c.pooled, c.w_sum, c.w_count) = (0, 0.0, 0);
            } else if c.pooled >= POOL_MAX {
                c.u = c.regulator.reset();
                c.pooled = 0;
            }
            u = u.min(c.u);
        }
        self.u = (u * self.u_max).max(floor);
        if self.u < 0.7 * self.offered {
            self.trace(Notice::Throttling { admitted_per_s: self.u, offered_per_s: self.offered }, out);
        }
    }

    /// Quotas are for all dispatchers. Ours is the part of the tenant's traffic that comes here, as peers
    /// tell; without their word the middle tenant's part: one far beyond its share doesn't move it.
    fn set_allotments(&mut self) {
        if self.set.tenants.is_empty() {
            self.tenants[0].allotment = 1e9;
            return;
        }
        let with_quota = self.set.tenants.iter().zip(&self.tenants).filter(|(s, _)| s.quota_per_s > 0.0);
        let mut parts: Vec<f64> = with_quota.map(|(s, t)| t.rate / s.quota_per_s).collect();
        parts.sort_by(f64::total_cmp);
        let (even, young) = (1.0 / f64::from(self.set.dispatchers.max(1)), self.now - self.born < 3 * SECOND);
        let middle = if parts.is_empty() || young { even } else { parts[parts.len() / 2] / USUAL_USE };
        self.peers.retain(|_, p| self.now - p.0 < 2 * MUTE);
        for (i, (s, t)) in self.set.tenants.iter().zip(&mut self.tenants).enumerate() {
            let heard: f64 = self.peers.values().filter_map(|p| p.1.get(i)).sum();
            let others = heard / self.peers.len().max(1) as f64 * f64::from(self.set.dispatchers.max(1) - 1);
            let told = t.rate / (t.rate + others).max(1e-9);
            let part = if self.peers.is_empty() || young { middle.clamp(even, 1.0) } else { told };
            t.allotment = QUOTA_SLACK * s.quota_per_s * part;
        }
    }

    /// Tells a few siblings the tenants' rates here, two bytes each, in 64ths of a job a second. All tell as
    /// many, so that the sample is fair.
    fn tell(&mut self, out: &mut Vec<Action>) {
        let (n, bytes) = (self.set.dispatchers, pack(self.tenants.iter().map(|t| t.rate)));
        if !self.set.peer_messages || n < 2 || self.set.tenants.is_empty() {
            return;
        }
        let mean = self.set.tenants.iter().map(|t| t.quota_per_s).sum::<f64>() / f64::from(n);
        let price = self.set.peer_price * bytes.len() as f64 / 256.0;
        let few = ((TELL_PRICE * mean / price.max(1e-9)) as u32).clamp(1, TELL_MAX);
        let first = if few < n - 1 { self.rng.below(u64::from(n - 1)) as u32 } else { 0 };
        for step in 0..few.min(n - 1) {
            let to = (self.set.ordinal + 1 + (first + step) % (n - 1)) % n;
            out.push(Action::SendPeerMessage { to, bytes: bytes.clone() });
        }
    }

    fn peer(&mut self, from: u32, bytes: &[u8]) {
        if from >= self.set.dispatchers || bytes.len() != 2 * self.tenants.len().min(128) {
            return;
        }
        self.peers.insert(from, (self.now, unpack(bytes)));
    }

    fn aim(&self, class: usize) -> f64 {
        let c = &self.set.classes[class];
        (c.objective_us as f64 + c.objective_per_work * self.classes[class].usual).max(1.0)
    }

    fn count(&mut self, id: RequestId, w: f64) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| !j.counted) else { return };
        let c = &mut self.classes[job.class];
        (job.counted, c.w_sum, c.w_count) = (true, c.w_sum + w, c.w_count + 1);
    }

    fn timer(&mut self, out: &mut Vec<Action>) {
        while let Some(due) = self.agenda.pop_due(self.now) {
            match due {
                Due::Step => self.step(out),
                Due::Poll => self.poll_set = false,
                Due::Watch => out.push(Action::WatchEndpoints),
                Due::Job { id } => self.due(id, out),
                Due::Check { id, attempt } => self.check(id, attempt, out),
            }
        }
    }

    fn plan(&mut self, after: Micros, due: Due) {
        self.agenda.add(self.now + after, due);
    }

    fn trace(&mut self, trace: Notice, out: &mut Vec<Action>) {
        if self.now < self.traced_at + SECOND && self.traced_at > 0 {
            return;
        }
        self.traced_at = self.now;
        out.push(Action::Notify(trace));
    }
}

/// What requests may share that fail alike.
fn marks(job: &Job) -> impl Iterator<Item = (u8, u64)> {
    let all = [(0, job.key), (1, job.class as u64), (2, job.tenant as u64)];
    all.into_iter().filter(|m| *m != (0, 0))
}

/// The order in which admitted jobs get workers: within the share and in time, within the share, the rest.
fn rank(job: &Job, id: RequestId) -> Rank {
    (u8::from(!job.in_share) * 2 + u8::from(job.late), job.due.saturating_sub(job.ahead), id)
}

/// Rates as two bytes each, in 64ths; 128 at most.
fn pack(rates: impl Iterator<Item = f64>) -> Vec<u8> {
    rates.take(128).flat_map(|r| ((r * 64.0).min(65535.0) as u16).to_be_bytes()).collect()
}

/// The reverse of `pack`.
fn unpack(bytes: &[u8]) -> Vec<f64> {
    bytes.chunks_exact(2).map(|b| f64::from(u16::from_be_bytes([b[0], b[1]])) / 64.0).collect()
}
