//! Executes the dispatcher's decisions towards workers, clients and other nodes.

use super::attempt::{AttemptRequest, AttemptRunner};
use super::job_handover::{AttemptHandle, SharedAttempt, TransferredJob};
use super::offered_request::PlatformOffer;
use super::rate_gossip::RatePublisher;
use super::{probe, Job};
use crate::dispatcher::{Answer, AttemptId, AttemptStart, Frontend};
use dispatch_policy::api::{Outcome, WorkerId};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where the dispatcher's task leaves a frozen request for the handover.
#[derive(Default)]
pub struct OfferExchange {
    /// The request that was frozen last, until the handover takes it.
    frozen: Mutex<Option<PlatformOffer>>,
    /// Whether the predecessor of this process may live: it watches the requests that it transferred, so they are not
    /// passed on to a third process.
    pub has_predecessor: AtomicBool,
}

impl OfferExchange {
    /// Takes the request that was frozen last.
    pub fn take(&self) -> Option<PlatformOffer> {
        self.frozen.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    fn put(&self, offer: Option<PlatformOffer>) {
        *self.frozen.lock().unwrap_or_else(PoisonError::into_inner) = offer;
    }
}

/// Implementation of [`Frontend`] for the platform's protocol.
pub struct PlatformTransport {
    runner: Arc<AttemptRunner>,
    offers: Arc<OfferExchange>,
    rate_publisher: Option<RatePublisher>,
}

impl PlatformTransport {
    /// Creates a transport that runs attempts with this runner.
    pub fn new(
        runner: Arc<AttemptRunner>,
        offers: Arc<OfferExchange>,
        rate_publisher: Option<RatePublisher>,
    ) -> PlatformTransport {
        PlatformTransport { runner, offers, rate_publisher }
    }
}

impl Frontend for PlatformTransport {
    type Job = Job;
    type Attempt = AttemptHandle;

    fn send(
        &mut self,
        attempt_id: AttemptId,
        job: &Job,
        worker: WorkerId,
        deadline: Instant,
    ) -> Self::Attempt {
        let (stop, stop_receiver) = oneshot::channel();
        let shared = Arc::new(SharedAttempt::new(attempt_id));
        let request = AttemptRequest {
            attempt_id,
            worker,
            deadline,
            wire_id: job.id.clone(),
            idempotency_key: job.idempotency_key.clone(),
            target: job.target.clone(),
            body: job.body.clone(),
            shared: shared.clone(),
            client: job.client.as_ref().map(|client| client.socket_handle.observer()),
        };
        let adopted = job.adopted.lock().unwrap_or_else(PoisonError::into_inner).take();
        tokio::spawn(self.runner.clone().run(request, adopted, stop_receiver));
        AttemptHandle { stop, shared }
    }

    fn is_client_waiting(&self, job: &Job) -> bool {
        job.client.as_ref().is_none_or(|client| !client.socket_handle.is_peer_closed())
    }

    fn stop(&mut self, attempt: Self::Attempt, outcome: Outcome) {
        // Fails if the attempt has just ended by itself; its outcome is in the dispatcher's queue then.
        let _ = attempt.stop.send(outcome);
    }

    fn abandon(&mut self, attempt: &Self::Attempt) {
        attempt.shared.is_abandoned.store(true, Ordering::Relaxed);
    }

    fn freeze_for_transfer(&mut self, sent: &AttemptStart, job: &Job, attempt: &AttemptHandle) {
        let is_watched = job.is_adopted && self.offers.has_predecessor.load(Ordering::Relaxed);
        let client = job.client.clone().filter(|_| !is_watched);
        let offer = client.and_then(|client| {
            let (transferred, worker) =
                TransferredJob::collect(sent, job, attempt, &self.runner.names.borrow())?;
            PlatformOffer::freeze(
                self.runner.handle.clone(),
                attempt.shared.ownership.clone(),
                client,
                worker,
                (transferred, sent.deadline),
            )
        });
        self.offers.put(offer);
    }

    fn answer(&mut self, job: Job, answer: Answer) {
        // Fails if the client has just left; the dispatcher is notified of that separately.
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
