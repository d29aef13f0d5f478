//! Transport of the dispatcher's decisions to Faktory workers, through the lease table.

use super::leases::{JobNumber, OFFER_TIMEOUT};
use super::server::SharedState;
use crate::dispatcher::{Answer, AttemptId, Frontend};
use dispatch_policy::api::{Outcome, WorkerId};
use std::sync::Arc;
use tokio::time::{sleep, Instant};

/// The dispatcher's interface to this frontend.
pub(super) struct FaktoryTransport {
    pub shared: Arc<SharedState>,
}

impl Frontend for FaktoryTransport {
    type Job = JobNumber;
    type Attempt = (JobNumber, AttemptId);

    fn send(
        &mut self,
        attempt: AttemptId,
        job: &JobNumber,
        worker: WorkerId,
        _deadline: Instant,
    ) -> Self::Attempt {
        let job = *job;
        if self.shared.leases().offer(attempt, job, worker) {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                sleep(OFFER_TIMEOUT).await;
                shared.leases().expire_offer(job, attempt);
            });
        }
        (job, attempt)
    }

    fn stop(&mut self, (job, attempt): Self::Attempt, outcome: Outcome) {
        self.shared.leases().cancel(job, attempt, outcome);
    }

    fn answer(&mut self, job: JobNumber, answer: Answer) {
        self.shared.leases().job_answered(job, answer);
    }

    fn accepted(&mut self, job: &JobNumber) {
        self.shared.leases().job_admitted(*job);
    }
}
