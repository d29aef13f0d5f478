//! The interface of the decision module: settings, events, actions. Plain data, no wire types.
//!
//! Times are microseconds of the embedder's clock; only differences matter, and it never runs backwards.

use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A request's id, chosen by the embedder and never reused.
pub type RequestId = u64;

/// A worker's id, chosen by the embedder. It carries no meaning; it stays when the worker restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u64);

/// What a repeat of a request of this class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Workers of one group drop repeats for a while.
    WithKey(KeyScope),
    /// It may run once at most.
    NotIdempotent,
}

/// The workers that share the memory of repeated keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    Fleet,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// An answer within this time, plus `stretch` times the job's own work, is in time.
    pub objective_us: Micros,
    /// See `objective_us`.
    pub objective_per_work: f64,
    /// The client gives up after this time.
    pub deadline_us: Micros,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// The part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// For keyed classes: how long repeats are dropped, from the first send on.
    pub deduplication_window_us: Micros,
    /// The only kind of worker that runs it, if there is one.
    pub required_kind: Option<u8>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Jobs a second that are within its share, at all dispatchers together.
    pub quota_per_s: f64,
    /// Its part of the service.
    pub share: f64,
}

/// How many attempts beyond each request's first one dispatcher may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// As many in any span, whatever was taken ...
    pub min_retries: f64,
    /// ... and this many more for each request taken in it.
    pub ratio: f64,
    /// The span.
    pub window_us: Micros,
}

/// The figures of the rules that every dispatcher keeps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// A pulled worker list counts as known after this time without a call or a subscription.
    pub poll_interval_us: Micros,
    /// The least part of its capacity that a worker has when it starts.
    pub cold_capacity_ratio: f64,
    /// A worker is warm after this time at the latest.
    pub warm_up_us: Micros,
    /// A cold worker falls over when sent this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this time.
    pub overload_window_us: Micros,
    /// The ration of further attempts; `None` where there is none.
    pub retry_budget: Option<RetryBudget>,
    /// Whether only a line that says 'draining' bars a worker: one called gone or left out may be used.
    pub soft_removal: bool,
}

/// All that the module is told at its start. Zones, classes, tenants and kinds are indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Classes, by number, that are offered no more: they are kept for the requests that are open.
    pub retired_classes: Vec<usize>,
    /// The tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// How many dispatchers there are, this one included.
    pub dispatchers: u32,
    /// This dispatcher's number among them, from 0 on.
    pub ordinal: u32,
    /// The most dispatchers that may be sending to workers, where that can be more than `siblings`: one that is not
    /// there any more may only be cut off from here. 0 where nothing else is known.
    pub max_senders: u32,
    /// Which dispatchers the numbers mean: where this changes, what was told under a number is forgotten.
    pub membership_epoch: u64,
    /// The zone of this dispatcher.
    pub zone: u8,
    /// Attempts that one request may have.
    pub max_attempts: u32,
    /// Whether an attempt can be called off.
    pub can_cancel: bool,
    /// Whether dispatchers may message each other.
    pub peer_messages: bool,
    /// The longest wait that a client obeys; 0 where clients take no such advice.
    pub max_retry_after_us: Micros,
    /// Whether clients' repeats come without a mark: a shorter wait then tells them.
    pub unmarked_retries: bool,
    /// Whether workers may be probed.
    pub can_probe: bool,
    /// Whether load reports tell free slots.
    pub reports_free_slots: bool,
    /// Whether the worker list comes only when asked.
    pub polls_endpoints: bool,
    /// Whether the list's sizes are live weights: lowered the more requests a worker holds, of all dispatchers.
    pub live_weights: bool,
    /// Whether workers give word at once that they have taken a job, before it starts.
    pub acknowledges: bool,
    /// Whether workers tell when a job starts.
    pub reports_start: bool,
    /// The gap between progress notes; 0 for none.
    pub progress_interval_us: Micros,
    /// The price of sending a request to another zone, as a part of its worth.
    pub cross_zone_price: f64,
    /// The price of telling siblings 256 bytes for each request, as a part of its worth.
    pub peer_price: f64,
    /// The price of opening a connection for each request, as a part of its worth.
    pub handshake_price: f64,
    /// The price of a fetch of what a job needs for each request, as a part of its worth.
    pub origin_price: f64,
    /// How long an idle connection stays open; 0 where unknown.
    pub idle_timeout_us: Micros,
    /// The weight of kept promises: a request that was not refused early and misses its aim costs others
    /// their worth; 0 for none.
    pub late_penalty_weight: f64,
    /// The share of such misses that is accepted.
    pub accepted_late_ratio: f64,
    /// The weight of the class that is served worst; 0 for none.
    pub worst_class_weight: f64,
    /// What a request past its tenant's share is worth, as a part of its usual worth.
    pub over_quota_weight: f64,
    /// The least time between two events that can be told apart.
    pub clock_resolution_us: Micros,
    /// The longest time from a decision to send until the attempt begins where the embedder has to wait for a way there.
    pub max_send_delay_us: Micros,
    /// The figures of the rules.
    pub rules: Rules,
}

/// Why settings were not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidSettings(pub String);

impl fmt::Display for InvalidSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for InvalidSettings {}

fn need(ok: bool, what: &str) -> Result<(), InvalidSettings> {
    if ok {
        Ok(())
    } else {
        Err(InvalidSettings(what.to_string()))
    }
}

impl Settings {
    /// How many dispatchers share what all of them together may do to workers.
    pub fn senders(&self) -> u32 {
        self.dispatchers.max(self.max_senders)
    }

    /// Checks that the figures make sense together.
    pub fn validate(&self) -> Result<(), InvalidSettings> {
        let part = |x: f64| x.is_finite() && x >= 0.0;
        let offered = (0..self.classes.len()).any(|i| !self.retired_classes.contains(&i));
        need(offered, "there must be at least one class")?;
        need(self.max_attempts > 0, "a request needs at least one attempt")?;
        for (i, c) in self.classes.iter().enumerate() {
            need(c.deadline_us > 0, &format!("class {i}: the deadline must be above zero"))?;
            need(
                part(c.objective_per_work),
                &format!("class {i}: the stretch must be finite and not negative"),
            )?;
            need(part(c.priority_weight), &format!("class {i}: the worth must be finite and not negative"))?;
            need(part(c.late_weight), &format!("class {i}: the late worth must be finite and not negative"))?;
        }
        for (i, t) in self.tenants.iter().enumerate() {
            need(part(t.quota_per_s), &format!("tenant {i}: the quota must be finite and not negative"))?;
            need(part(t.share), &format!("tenant {i}: the share must be finite and not negative"))?;
        }
        need(part(self.cross_zone_price), "the cross-zone price must be finite and not negative")?;
        need(part(self.peer_price), "the price of telling must be finite and not negative")?;
        need(part(self.handshake_price), "the price of a connection must be finite and not negative")?;
        need(part(self.origin_price), "the price of a fetch must be finite and not negative")?;
        if let Some(a) = self.rules.retry_budget {
            need(part(a.min_retries), "the spare attempts must be finite and not negative")?;
            need(part(a.ratio), "the ratio of further attempts must be finite and not negative")?;
            need(a.window_us > 0, "the span of the ration of attempts must be above zero")?;
        }
        need(part(self.late_penalty_weight), "the weight of kept promises must be finite and not negative")?;
        need(
            (0.0..=1.0).contains(&self.accepted_late_ratio),
            "the accepted share of misses must lie within 0 and 1",
        )?;
        need(part(self.worst_class_weight), "the weight of the worst class must be finite and not negative")?;
        need(part(self.over_quota_weight), "the over-share worth must be finite and not negative")?;
        need(part(self.rules.cold_capacity_ratio), "the cold share must be finite and not negative")?;
        need(part(self.rules.overload_multiple), "the fall multiple must be finite and not negative")
    }
}

/// Whether a worker takes new jobs, as the list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It runs.
    Ready,
    /// It finishes its work; nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// A line of the worker list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its kind.
    pub kind: u8,
    /// Its zone.
    pub zone: u8,
    /// Its cell: the workers that share the memory of keys.
    pub cell: u32,
    /// Whether it takes new jobs.
    pub availability: Availability,
    /// Its size beside other workers; 1 where unknown.
    pub weight: f64,
    /// When it last started; 0 for long ago.
    pub started_at: Micros,
}

/// A worker's load as it reported it; what is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Slots that are free.
    pub free_slots: Option<f64>,
    /// Units of memory that are free; a worker has one for each slot.
    pub free_memory: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Requests that it holds.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The worker gave an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the attempt is known not to have run.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request as it came in.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant; ignored where there are none.
    pub tenant: usize,
    /// The time until the client stops waiting.
    pub time_left_us: Micros,
    /// The work expected, as time on a standard core.
    pub work_hint_us: Option<Micros>,
    /// Whether the client has tried before.
    pub is_retry: bool,
    /// What it is about: requests with the same key need the same data; 0 for none.
    pub affinity_key: u64,
    /// The slots that it takes; 0 where unknown.
    pub slots: f64,
    /// The units of memory that it takes; 0 where unknown.
    pub memory: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// Whether the request is finished.
    pub request_done: bool,
    /// With `Reset`: its connection had served before and broke with no word on this job. Idle connections
    /// break unseen, so that is no sign against the worker. With `ConnectFailed`: this dispatcher could open none.
    pub not_attributable: bool,
    /// The load report that came along.
    pub report: Option<LoadReport>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request has come in and is owed one final answer.
    RequestReceived(Request),
    /// A request that another process of this dispatcher took and sent once: its first attempt goes on here.
    RequestAdopted {
        /// The request; `time_left_us` as of now.
        request: Request,
        /// The worker that has it.
        worker: WorkerId,
        /// How long ago it was sent.
        sent_us: Micros,
        /// How long ago its worker said that it started, if it did.
        started_us: Option<Micros>,
    },
    /// A streamed answer has begun: the attempt is the client's now.
    ResponseStreaming {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// A worker says that it has taken the job.
    Acknowledged {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// A worker says that the job has started.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// A worker says how far a job is.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The part that is done.
        done: f64,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// The client has left; nothing is owed any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// New settings. Classes and tenants keep their numbers and only more come behind them; a class that goes on
    /// under other rules is a new one. Requests that are open keep the most attempts that they came in with.
    SettingsChanged {
        /// All of them.
        settings: Box<Settings>,
        /// For each class, which one's run times its own are about like, if any.
        continues: Vec<Option<usize>>,
    },
    /// The whole worker list; who is absent is gone, if the rules say so.
    EndpointList(Vec<Endpoint>),
    /// Changed lines of the worker list.
    EndpointChanges(Vec<Endpoint>),
    /// A call for the list failed or the subscription dropped.
    EndpointWatchFailed,
    /// A timer is due.
    TimerExpired,
    /// A probe's result.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether it answered.
        ok: bool,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Its number.
        from: u32,
        /// What it sent.
        bytes: Vec<u8>,
    },
}

/// Why a request is not sent, or not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// What it shares with other requests fails wherever it goes.
    Quarantined,
    /// It was sent as often as it may be.
    AttemptsExhausted,
    /// It may have run, and must not run twice.
    MayHaveExecuted,
    /// The settings' ration of further attempts is used up.
    RetryBudgetExhausted,
    /// It can't be in time any more.
    TooLate,
}

/// What on-call staff are told; rare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// A request gets its final answer unserved, for this reason.
    RequestGivenUp {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A worker gives no sign of life though it owes one; it gets a trickle only.
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker failed a job; it gets a trickle only.
    WorkerFailing {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker is trusted again.
    WorkerRecovered {
        /// The worker.
        worker: WorkerId,
    },
    /// The loop throttles: rate admitted and rate offered, jobs a second.
    Throttling {
        /// Requests admitted in a second.
        admitted_per_s: f64,
        /// Requests received in a second.
        offered_per_s: f64,
    },
    /// The endpoint list could not be fetched; the call is made again.
    EndpointListUnavailable,
}

/// What the dispatcher is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker; attempts count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        worker: WorkerId,
    },
    /// Final answer: not done, trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// The wait advised; 0 for none.
        retry_after_us: Micros,
    },
    /// Final answer: failed, with no promise about what it did.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Call `handle` with [`Event::TimerExpired`] after this time.
    SetTimer {
        /// The time from now.
        after_us: Micros,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the worker list.
    WatchEndpoints,
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Send these bytes to another dispatcher.
    SendPeerMessage {
        /// Its number.
        to: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Tell on-call staff.
    Notify(Notice),
}
