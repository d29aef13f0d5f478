//! Transport of the dispatcher's decisions to workers, clients and other nodes.

use super::attempt::{AttemptRequest, AttemptRunner};
use super::job_handover::{self, AttemptHandle, SharedAttempt, TransferredJob};
use super::rate_gossip::RatePublisher;
use super::{probe, Job};
use crate::dispatcher::{Answer, AttemptId, AttemptStart, Frontend};
use crate::process_handover::FrozenJob;
use dispatch_policy::api::{Outcome, WorkerId};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The platform's transport.
pub struct PlatformTransport {
    runner: Arc<AttemptRunner>,
    /// Running jobs that were collected for another process.
    lifted: Arc<Mutex<Vec<FrozenJob>>>,
    rate_publisher: Option<RatePublisher>,
}

impl PlatformTransport {
    /// A transport that runs attempts with this runner.
    pub fn new(
        runner: Arc<AttemptRunner>,
        lifted: Arc<Mutex<Vec<FrozenJob>>>,
        rate_publisher: Option<RatePublisher>,
    ) -> PlatformTransport {
        PlatformTransport { runner, lifted, rate_publisher }
    }
}

impl Frontend for PlatformTransport {
    type Job = Job;
    type Attempt = AttemptHandle;

    fn send(&mut self, tag: AttemptId, job: &Job, worker: WorkerId, until: Instant) -> Self::Attempt {
        let (stop, stopped) = oneshot::channel();
        let shared = Arc::new(SharedAttempt::default());
        let request = AttemptRequest {
            attempt_id: tag,
            worker,
            deadline: until,
            wire_id: job.id.clone(),
            idempotency_key: job.key.clone(),
            target: job.target.clone(),
            body: job.body.clone(),
            shared: shared.clone(),
            client: job.client.as_ref().map(|client| client.socket_handle.observer()),
        };
        let adopted = job.adopted.lock().unwrap_or_else(PoisonError::into_inner).take();
        tokio::spawn(self.runner.clone().run(request, adopted, stopped));
        AttemptHandle { stop, shared }
    }

    fn is_client_waiting(&self, job: &Job) -> bool {
        job.client.as_ref().is_none_or(|client| !client.socket_handle.is_peer_closed())
    }

    fn stop(&mut self, attempt: Self::Attempt, why: Outcome) {
        // Fails where the attempt has just ended by itself; its own outcome is in the queue then.
        let _ = attempt.stop.send(why);
    }

    fn abandon(&mut self, attempt: &Self::Attempt) {
        attempt.shared.is_abandoned.store(true, Ordering::Relaxed);
    }

    fn freeze_for_transfer(&mut self, tag: AttemptId, sent: &AttemptStart, job: &Job, hold: &AttemptHandle) {
        let moving = TransferredJob::freeze(sent, job, hold, &self.runner.names.borrow());
        let lifted =
            moving.and_then(|moving| job_handover::frozen_job(&self.runner.handle, tag, job, hold, moving));
        self.lifted.lock().unwrap_or_else(PoisonError::into_inner).extend(lifted);
    }

    fn answer(&mut self, job: Job, answer: Answer) {
        // Fails where the client has just gone; the dispatcher hears of that by itself.
        let _ = job.reply.send(answer);
    }

    fn close_idle(&mut self, worker: WorkerId) {
        self.runner.pool.close_idle_to(worker);
    }

    fn probe(&mut self, worker: WorkerId) -> bool {
        tokio::spawn(probe::run(self.runner.clone(), worker));
        true
    }

    fn send_to_peer(&mut self, to: u32, rates: &[u8]) {
        if let Some(publisher) = &self.rate_publisher {
            publisher.publish(to, rates);
        }
    }
}
