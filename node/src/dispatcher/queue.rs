//! Event queue of a dispatcher, and the handle with which frontends send events to it.

use super::attempt_updates::{AttemptUpdates, UnreadUpdates};
use super::deadline_limit::DeadlineLimit;
use super::{AttemptId, AttemptStart};
use bytes::Bytes;
use dispatch_policy::api::{Endpoint, LoadReport, Outcome, Request, RequestId, Settings, WorkerId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// End of an attempt.
pub(super) struct AttemptReport {
    pub attempt_id: AttemptId,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// Result of the worker, if the outcome is `Success`.
    pub result: Bytes,
    /// Whether the outcome says nothing about the worker.
    pub not_attributable: bool,
}

/// Event for the dispatcher.
pub(super) enum DispatcherEvent<J> {
    /// A request and the time at which it was submitted.
    Submitted(Request, J, Instant),
    Adopted(Request, J, AttemptStart),
    ClientLeft(RequestId),
    /// Reports of a worker about an attempt.
    Updated(AttemptId, AttemptUpdates),
    Ended(AttemptReport),
    /// Changed endpoints, or all of them if `full`.
    Endpoints {
        entries: Vec<Endpoint>,
        full: bool,
    },
    EndpointListFailed,
    Settings {
        settings: Box<Settings>,
        inherits_from: Vec<Option<usize>>,
    },
    PeerRates(u32, Vec<u8>),
    ProbeEnded(WorkerId, bool, Option<LoadReport>),
    LimitDeadlines(DeadlineLimit),
    ListTransferable(oneshot::Sender<Vec<AttemptId>>),
    FreezeForTransfer {
        attempt_id: AttemptId,
        done: oneshot::Sender<()>,
    },
    Transferred(AttemptId),
}

/// Item of the queue.
enum QueuedEvent<J> {
    Event(DispatcherEvent<J>),
    /// There are unread reports about this attempt.
    UnreadUpdates(AttemptId),
}

/// Sends events to a dispatcher. The queue has no limit of its own, and a sender never waits. It stays short because the
/// dispatcher empties it each time it runs, and because of what holds back each sender:
///
/// | event | caused by | at most |
/// | --- | --- | --- |
/// | `submit`, `client_left` | clients | one each for an open request; clients hold connection slots |
/// | `adopt`, `transferable`, `freeze_for_transfer`, `transferred` | the other process of an upgrade | one request at a time |
/// | `acknowledged`, `started`, `progress` | workers | one event for a running attempt, however much its worker sends |
/// | `ended` | workers, the dispatcher | one for an attempt |
/// | `update_endpoints`, `endpoint_list_failed` | discovery; Faktory workers | one for a response; one for a session's start, drain and end |
/// | `update_settings`, `limit_deadlines` | operators, membership | one for a change |
/// | `peer_rates` | other nodes | the rate at which datagrams are read |
/// | `probe_ended` | workers | one for a probe, which the dispatcher requests |
pub struct Handle<J> {
    queue: UnboundedSender<QueuedEvent<J>>,
    unread_updates: UnreadUpdates,
    next_request_id: Arc<AtomicU64>,
}

impl<J> Clone for Handle<J> {
    fn clone(&self) -> Self {
        Handle {
            queue: self.queue.clone(),
            unread_updates: self.unread_updates.clone(),
            next_request_id: self.next_request_id.clone(),
        }
    }
}

impl<J> Handle<J> {
    /// Submits a request. Assigns its `id` and returns it.
    pub fn submit(&self, request: Request, job: J) -> RequestId {
        let id = self.assign_request_id();
        self.push(DispatcherEvent::Submitted(Request { id, ..request }, job, Instant::now()));
        id
    }

    /// Submits a request that the predecessor process has sent once, and whose attempt continues here. Otherwise like
    /// [`Handle::submit`].
    pub fn adopt(&self, request: Request, job: J, sent: AttemptStart) -> RequestId {
        let id = self.assign_request_id();
        self.push(DispatcherEvent::Adopted(Request { id, ..request }, job, sent));
        id
    }

    fn assign_request_id(&self) -> RequestId {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Running attempts whose requests may be transferred to another process.
    pub async fn transferable(&self) -> Vec<AttemptId> {
        let (reply, attempts) = oneshot::channel();
        self.push(DispatcherEvent::ListTransferable(reply));
        attempts.await.unwrap_or_default() // fails if the dispatcher has ended and so has no requests
    }

    /// Lets the frontend freeze the request of this attempt, if it still runs, to be offered to another process. Returns
    /// once that is done.
    pub async fn freeze_for_transfer(&self, attempt_id: AttemptId) {
        let (done, is_done) = oneshot::channel();
        self.push(DispatcherEvent::FreezeForTransfer { attempt_id, done });
        let _ = is_done.await; // fails if the dispatcher has ended and so has no requests
    }

    /// Reports that another process continues this attempt and its request.
    pub fn transferred(&self, attempt_id: AttemptId) {
        self.push(DispatcherEvent::Transferred(attempt_id));
    }

    /// Reports that the client of this request has left; no effect after the answer.
    pub fn client_left(&self, id: RequestId) {
        self.push(DispatcherEvent::ClientLeft(id));
    }

    /// Reports that the worker has acknowledged the attempt, and may start it later.
    pub fn acknowledged(&self, attempt_id: AttemptId) {
        self.update(attempt_id, |updates| updates.is_acknowledged = true);
    }

    /// Reports that the worker has started the execution.
    pub fn started(&self, attempt_id: AttemptId) {
        self.update(attempt_id, |updates| updates.is_started = true);
    }

    /// Reports the completed part of the execution, from 0 to 1. Replaces an earlier report that the dispatcher has not read.
    pub fn progress(&self, attempt_id: AttemptId, done: f64) {
        self.update(attempt_id, |updates| updates.progress = Some(done));
    }

    /// Reports that an attempt has ended, with `Success` and this result or with another outcome.
    pub fn ended(&self, attempt_id: AttemptId, outcome: Outcome, report: Option<LoadReport>, result: Bytes) {
        self.push(DispatcherEvent::Ended(AttemptReport {
            attempt_id,
            outcome,
            report,
            result,
            not_attributable: false,
        }));
    }

    /// Reports that an attempt has ended for a reason that says nothing about its worker: a reused connection broke
    /// before the worker acknowledged the attempt, or this node could not open a connection.
    pub fn ended_not_attributable(&self, attempt_id: AttemptId, outcome: Outcome) {
        let (report, result) = (None, Bytes::new());
        self.push(DispatcherEvent::Ended(AttemptReport {
            attempt_id,
            outcome,
            report,
            result,
            not_attributable: true,
        }));
    }

    /// Replaces the endpoint list if `full`, else updates the entries that changed.
    pub fn update_endpoints(&self, entries: Vec<Endpoint>, full: bool) {
        self.push(DispatcherEvent::Endpoints { entries, full });
    }

    /// Reports that the endpoint list could not be fetched.
    pub fn endpoint_list_failed(&self) {
        self.push(DispatcherEvent::EndpointListFailed);
    }

    /// Replaces the settings; requests submitted afterwards may be of a new class. `inherits_from` gives, for each
    /// class, the class with similar run times, if any.
    pub fn update_settings(&self, settings: Settings, inherits_from: Vec<Option<usize>>) {
        self.push(DispatcherEvent::Settings { settings: Box::new(settings), inherits_from });
    }

    /// Lets requests of these classes, open ones and later ones, be answered by this time if their deadline is later.
    pub fn limit_deadlines(&self, classes: Vec<usize>, until: Instant) {
        self.push(DispatcherEvent::LimitDeadlines(DeadlineLimit { classes, until }));
    }

    /// Reports a peer's rates of tenants; `from` is its number.
    pub fn peer_rates(&self, from: u32, rates: Vec<u8>) {
        self.push(DispatcherEvent::PeerRates(from, rates));
    }

    /// Reports the result of a probe: whether the worker answered in time, and its load report.
    pub fn probe_ended(&self, worker: WorkerId, responded: bool, report: Option<LoadReport>) {
        self.push(DispatcherEvent::ProbeEnded(worker, responded, report));
    }

    fn update(&self, attempt_id: AttemptId, report: impl FnOnce(&mut AttemptUpdates)) {
        if self.unread_updates.add(attempt_id, report) {
            self.enqueue(QueuedEvent::UnreadUpdates(attempt_id));
        }
    }

    fn push(&self, event: DispatcherEvent<J>) {
        self.enqueue(QueuedEvent::Event(event));
    }

    fn enqueue(&self, event: QueuedEvent<J>) {
        // Fails only after the dispatcher has ended, at the end of the process or of a test; the event is
        // irrelevant then.
        let _ = self.queue.send(event);
    }
}

/// Receiving end of the queue, for [`Dispatcher::run`](super::Dispatcher::run).
pub struct Inbox<J> {
    queue: UnboundedReceiver<QueuedEvent<J>>,
    unread_updates: UnreadUpdates,
}

impl<J> Inbox<J> {
    /// Most memory of an event in the queue, in bytes.
    pub const EVENT_BYTES: usize = size_of::<QueuedEvent<J>>();

    /// Number of events in the queue.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// The next event; `None` once every handle is dropped.
    pub(super) async fn next(&mut self) -> Option<DispatcherEvent<J>> {
        Some(match self.queue.recv().await? {
            QueuedEvent::Event(event) => event,
            QueuedEvent::UnreadUpdates(attempt_id) => {
                DispatcherEvent::Updated(attempt_id, self.unread_updates.take(attempt_id))
            }
        })
    }
}

/// Creates the event queue of a dispatcher.
pub fn queue<J>() -> (Handle<J>, Inbox<J>) {
    let (sender, receiver) = unbounded_channel();
    let unread_updates = UnreadUpdates::default();
    let handle = Handle {
        queue: sender,
        unread_updates: unread_updates.clone(),
        next_request_id: Arc::new(AtomicU64::new(1)),
    };
    (handle, Inbox { queue: receiver, unread_updates })
}
