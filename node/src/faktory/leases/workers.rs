//! Workers of the lease table: sessions, heartbeats and waiting `FETCH`es.

use super::assignment::Delivery;
use super::job::JobNumber;
use super::LeaseTable;
use crate::dispatcher::stable_hash;
use dispatch_policy::api::{Availability, Endpoint, WorkerId};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time without a command after which a worker is considered dead; the same as in Faktory.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(60);

/// Error: the worker has no session.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("this worker is unknown")]
pub struct UnknownWorker;

/// A `FETCH` that waits for a job.
pub(super) struct WaitingFetch {
    number: u64,
    /// Numbers of the requested classes.
    classes: Vec<usize>,
    /// Channel for the job.
    pub sender: oneshot::Sender<Delivery>,
}

/// A worker that has at least one session.
#[derive(Default)]
pub(super) struct Worker {
    sessions: usize,
    /// Whether it is about to stop and gets no new jobs.
    pub draining: bool,
    last_activity: Option<Instant>,
    waiting: VecDeque<WaitingFetch>,
    /// Jobs offered to it, oldest first.
    pub offers: VecDeque<JobNumber>,
}

impl Worker {
    /// Removes and returns the oldest waiting `FETCH` of a class.
    pub fn take_fetch(&mut self, class: usize) -> Option<WaitingFetch> {
        let matches = |fetch: &WaitingFetch| fetch.classes.contains(&class) && !fetch.sender.is_closed();
        let position = self.waiting.iter().position(matches)?;
        self.waiting.remove(position)
    }
}

impl LeaseTable {
    /// Registers a session of a worker. The first one makes the worker available to the dispatcher.
    pub fn session_opened(&mut self, worker_id: &str) {
        let worker = self.workers.entry(worker_id.to_string()).or_default();
        worker.sessions += 1;
        worker.last_activity = Some(Instant::now());
        if worker.sessions == 1 {
            self.worker_ids.insert(WorkerId(stable_hash(worker_id)), worker_id.to_string());
            self.report_availability(worker_id, Availability::Ready);
        }
    }

    /// Unregisters a session of a worker. The end of the last one ends the worker's leases.
    pub fn session_closed(&mut self, worker_id: &str) {
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        worker.sessions -= 1;
        if worker.sessions == 0 {
            self.report_availability(worker_id, Availability::Gone);
            self.end_attempts(worker_id, true);
            self.workers.remove(worker_id);
            self.worker_ids.remove(&WorkerId(stable_hash(worker_id)));
        }
    }

    /// Handles a heartbeat and returns whether the worker drains. Once it is `stopping`, it gets no new jobs.
    ///
    /// # Errors
    ///
    /// Fails if the worker has no session.
    pub fn heartbeat(&mut self, worker_id: &str, stopping: bool) -> Result<bool, UnknownWorker> {
        let worker = self.workers.get_mut(worker_id).ok_or(UnknownWorker)?;
        worker.last_activity = Some(Instant::now());
        if stopping && !worker.draining {
            worker.draining = true;
            worker.waiting.clear(); // ends its waiting FETCHes without a job
            self.report_availability(worker_id, Availability::Draining);
            self.end_attempts(worker_id, false);
            return Ok(true);
        }
        Ok(worker.draining)
    }

    /// Whether a worker has sent no command for [`HEARTBEAT_TIMEOUT`].
    pub fn has_timed_out(&self, worker_id: &str) -> bool {
        let last_activity = self.workers.get(worker_id).and_then(|worker| worker.last_activity);
        last_activity.is_none_or(|at| at.elapsed() >= HEARTBEAT_TIMEOUT)
    }

    /// Adds a `FETCH` of a worker for a job from these queues, and returns its number. The receiver is closed if the worker
    /// drains.
    pub fn fetch(&mut self, worker_id: &str, queues: &[String]) -> (u64, oneshot::Receiver<Delivery>) {
        let number = self.allocate_number();
        let (sender, receiver) = oneshot::channel();
        let class = |queue: &String| self.names.classes.iter().position(|class| class == queue);
        let classes = queues.iter().filter_map(class).collect();
        self.record_activity(worker_id);
        if let Some(worker) = self.workers.get_mut(worker_id).filter(|worker| !worker.draining) {
            worker.waiting.push_back(WaitingFetch { number, classes, sender });
        }
        self.assign_offers(worker_id);
        (number, receiver)
    }

    /// Removes a waiting `FETCH`.
    pub fn cancel_fetch(&mut self, worker_id: &str, number: u64) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.waiting.retain(|fetch| fetch.number != number);
        }
    }

    /// Records that a worker has sent a command.
    pub(super) fn record_activity(&mut self, worker_id: &str) {
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.last_activity = Some(Instant::now());
        }
    }

    /// Reports the availability of a worker to the dispatcher.
    fn report_availability(&self, worker_id: &str, availability: Availability) {
        // Workers fetch their jobs, so they can't be overloaded, and no slow start is needed.
        let worker = WorkerId(stable_hash(worker_id));
        let entry = Endpoint { worker, kind: 0, zone: 0, cell: 0, availability, weight: 1.0, started_at: 0 };
        self.dispatcher.update_endpoints(vec![entry], false);
    }
}
