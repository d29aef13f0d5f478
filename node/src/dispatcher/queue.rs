//! Event queue of a dispatcher, and the handle by which front ends put events into it.

use super::{AttemptId, AttemptStart};
use bytes::Bytes;
use dispatch_policy::api::{Endpoint, LoadReport, Outcome, Request, RequestId, Settings, WorkerId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;

/// End of an attempt.
pub(super) struct AttemptReport {
    pub id: AttemptId,
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
    /// What the worker made, if the outcome is `Ok`.
    pub result: Bytes,
    /// Whether the end says nothing of the worker.
    pub blameless: bool,
}

/// Event for the dispatcher.
pub(super) enum DispatcherEvent<J> {
    Submitted(Request, J),
    Adopted(Request, J, AttemptStart),
    ClientLeft(RequestId),
    Acknowledged(AttemptId),
    Started(AttemptId),
    Progress(AttemptId, f64),
    Ended(AttemptReport),
    /// Changed endpoints, or all of them.
    Endpoints {
        entries: Vec<Endpoint>,
        full: bool,
    },
    EndpointListFailed,
    Settings {
        settings: Box<Settings>,
        continues: Vec<Option<usize>>,
    },
    PeerRates(u32, Vec<u8>),
    ProbeEnded(WorkerId, bool, Option<LoadReport>),
    FreezeTransferable(oneshot::Sender<()>),
    Transferred(AttemptId),
}

/// Sender of events to a dispatcher. The queue is not bounded in itself: what can wait in it is bounded by the
/// connections that a front end accepts.
pub struct Handle<J> {
    queue: UnboundedSender<DispatcherEvent<J>>,
    next_request_id: Arc<AtomicU64>,
}

impl<J> Clone for Handle<J> {
    fn clone(&self) -> Self {
        Handle { queue: self.queue.clone(), next_request_id: self.next_request_id.clone() }
    }
}

impl<J> Handle<J> {
    /// Submits a request; its `id` is assigned here and returned.
    pub fn submit(&self, request: Request, job: J) -> RequestId {
        let id = self.assign_request_id();
        self.push(DispatcherEvent::Submitted(Request { id, ..request }, job));
        id
    }

    /// As [`Handle::submit`], for a request that another process of this node has sent once: its attempt goes on here.
    pub fn adopt(&self, request: Request, job: J, sent: AttemptStart) -> RequestId {
        let id = self.assign_request_id();
        self.push(DispatcherEvent::Adopted(Request { id, ..request }, job, sent));
        id
    }

    fn assign_request_id(&self) -> RequestId {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Has the front end freeze all running jobs that can move to another process; returns once it has.
    pub async fn freeze_transferable(&self) {
        let (reply, done) = oneshot::channel();
        self.push(DispatcherEvent::FreezeTransferable(reply));
        let _ = done.await; // fails where the dispatcher has ended: it has no jobs
    }

    /// Another process continues this attempt and its request.
    pub fn transferred(&self, tag: AttemptId) {
        self.push(DispatcherEvent::Transferred(tag));
    }

    /// The client of this request has left; after its answer this changes nothing.
    pub fn client_left(&self, id: RequestId) {
        self.push(DispatcherEvent::ClientLeft(id));
    }

    /// The worker has acknowledged the job, and may start it later.
    pub fn acknowledged(&self, tag: AttemptId) {
        self.push(DispatcherEvent::Acknowledged(tag));
    }

    /// The worker has started the job.
    pub fn started(&self, tag: AttemptId) {
        self.push(DispatcherEvent::Started(tag));
    }

    /// This part of the job is done, from 0 to 1.
    pub fn progress(&self, tag: AttemptId, done: f64) {
        self.push(DispatcherEvent::Progress(tag, done));
    }

    /// An attempt has ended, with `Ok` and this result or with another outcome.
    pub fn ended(&self, id: AttemptId, outcome: Outcome, report: Option<LoadReport>, result: Bytes) {
        self.push(DispatcherEvent::Ended(AttemptReport { id, outcome, report, result, blameless: false }));
    }

    /// An attempt has ended in a way that says nothing of its worker: a connection that had served before broke without
    /// an acknowledgement of this job, or this node could not open one.
    pub fn ended_not_attributable(&self, id: AttemptId, outcome: Outcome) {
        let (report, result) = (None, Bytes::new());
        self.push(DispatcherEvent::Ended(AttemptReport { id, outcome, report, result, blameless: true }));
    }

    /// Updates the endpoint list: all of it if `full`, else the entries that changed.
    pub fn update_endpoints(&self, entries: Vec<Endpoint>, full: bool) {
        self.push(DispatcherEvent::Endpoints { entries, full });
    }

    /// The endpoint list could not be fetched.
    pub fn endpoint_list_failed(&self) {
        self.push(DispatcherEvent::EndpointListFailed);
    }

    /// Replaces the settings: requests submitted from here on may be of a new class. `continues` names, for each class,
    /// the one whose run times its own are about like, if any.
    pub fn update_settings(&self, settings: Settings, continues: Vec<Option<usize>>) {
        self.push(DispatcherEvent::Settings { settings: Box::new(settings), continues });
    }

    /// Rates of tenants at another node, by its number.
    pub fn peer_rates(&self, from: u32, rates: Vec<u8>) {
        self.push(DispatcherEvent::PeerRates(from, rates));
    }

    /// Result of a health check: whether the worker answered in time, and its load report.
    pub fn probe_ended(&self, worker: WorkerId, ok: bool, report: Option<LoadReport>) {
        self.push(DispatcherEvent::ProbeEnded(worker, ok, report));
    }

    fn push(&self, event: DispatcherEvent<J>) {
        // Fails only once the dispatcher is gone, at the end of the process or a test: nobody is left to ask.
        let _ = self.queue.send(event);
    }
}

/// Receiving end of the queue, for [`Dispatcher::run`](super::Dispatcher::run).
pub struct Inbox<J>(UnboundedReceiver<DispatcherEvent<J>>);

impl<J> Inbox<J> {
    /// The next event; `None` once every handle is dropped.
    pub(super) async fn next(&mut self) -> Option<DispatcherEvent<J>> {
        self.0.recv().await
    }
}

/// Creates the event queue of a dispatcher.
pub fn queue<J>() -> (Handle<J>, Inbox<J>) {
    let (sender, receiver) = unbounded_channel();
    (Handle { queue: sender, next_request_id: Arc::new(AtomicU64::new(1)) }, Inbox(receiver))
}
