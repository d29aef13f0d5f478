//! Interface between the dispatcher and the frontends, which execute its decisions in their protocol.

use bytes::Bytes;
use dispatch_policy::api::{Outcome, RequestId, WorkerId};
use std::time::Duration;
use tokio::time::Instant;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// Id of the request in the dispatcher.
    pub request: RequestId,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Executed; the worker's result.
    Served(Bytes),
    /// Shed: not executed, and may be retried after this time.
    Shed(Duration),
    /// Failed: the request may have been executed.
    Failed,
}

/// Data of an attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// The worker.
    pub worker: WorkerId,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Time at which the worker reported the start of the execution, if it did.
    pub started_at: Option<Instant>,
    /// Deadline of the request.
    pub deadline: Instant,
    /// Maximum number of attempts of the request.
    pub max_attempts: u32,
}

/// Executes the dispatcher's decisions in a protocol; makes none itself.
pub trait Frontend: Send + 'static {
    /// A request as received, with the channel for its answer.
    type Job: Send + 'static;
    /// Handle on a running attempt.
    type Attempt: Send + 'static;

    /// Starts an attempt. Exactly one [`Handle::ended`](super::Handle::ended) follows for this id in all cases.
    fn send(
        &mut self,
        attempt_id: AttemptId,
        job: &Self::Job,
        worker: WorkerId,
        deadline: Instant,
    ) -> Self::Attempt;

    /// Whether the client still waits for the answer, as far as is known.
    fn is_client_waiting(&self, _job: &Self::Job) -> bool {
        true
    }

    /// Stops an attempt. It ends with this outcome, unless another one is already queued.
    fn stop(&mut self, attempt: Self::Attempt, outcome: Outcome);

    /// Reports that the client of this attempt has left: what was not sent yet need not be. The attempt still ends.
    fn abandon(&mut self, _attempt: &Self::Attempt) {}

    /// Sends the final answer; called once for each job.
    fn answer(&mut self, job: Self::Job, answer: Answer);

    /// Reports that the request was accepted and not answered at once.
    fn accepted(&mut self, _job: &Self::Job) {}

    /// Freezes a job with its running attempt, to be offered to another process, if both can be transferred. Neither
    /// makes progress here until [`Handle::transferred`](super::Handle::transferred) is called, or they are thawed;
    /// an outcome of the attempt is reported only after that.
    fn freeze_for_transfer(&mut self, _sent: &AttemptStart, _job: &Self::Job, _attempt: &Self::Attempt) {}

    /// Closes idle connections to a worker.
    fn close_idle(&mut self, _worker: WorkerId) {}

    /// Requests the endpoint list again.
    fn refresh_endpoints(&mut self) {}

    /// Sends a probe to a worker. Returns whether this frontend can; then exactly one
    /// [`Handle::probe_ended`](super::Handle::probe_ended) follows in all cases.
    fn probe(&mut self, _worker: WorkerId) -> bool {
        false
    }

    /// Sends this node's rates of tenants to a peer, by its number.
    fn send_to_peer(&mut self, _to: u32, _rates: &[u8]) {}
}
