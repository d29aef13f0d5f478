//! Interface between the dispatcher and what carries its decisions out on a wire.

use bytes::Bytes;
use dispatch_policy::api::{Outcome, RequestId, WorkerId};
use std::time::Duration;
use tokio::time::Instant;

/// Identity of one attempt at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request, by the dispatcher's own number.
    pub request: RequestId,
    /// Number of the attempt, from 0 on.
    pub attempt: u32,
}

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The result of a worker.
    Served(Bytes),
    /// Rejected: nothing was done, and a retry after this time is harmless.
    Shed(Duration),
    /// Failed: whether the request was executed is not known.
    Failed,
}

/// Start of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptStart {
    /// The worker.
    pub worker: WorkerId,
    /// Micros at which it was sent.
    pub sent_at: Instant,
    /// Micros at which its worker reported the start of the execution, if it did.
    pub started_at: Option<Instant>,
    /// Deadline of the client.
    pub deadline: Instant,
}

/// Transport of the dispatcher's decisions. It takes none itself.
pub trait Frontend: Send + 'static {
    /// A request as it came in, and the way back to its client.
    type Job: Send + 'static;
    /// Handle on a running attempt.
    type Attempt: Send + 'static;

    /// Starts an attempt. Exactly one [`Handle::ended`](super::Handle::ended) follows for this id, whatever happens.
    fn send(&mut self, tag: AttemptId, job: &Self::Job, worker: WorkerId, until: Instant) -> Self::Attempt;

    /// Whether the client still waits for this job, as far as can be told now.
    fn is_client_waiting(&self, _job: &Self::Job) -> bool {
        true
    }

    /// Ends an attempt early. It ends with the outcome `why`, unless another one was under way.
    fn stop(&mut self, attempt: Self::Attempt, why: Outcome);

    /// Tells that the client of this attempt has left: what was not sent yet need not be. The attempt still ends.
    fn abandon(&mut self, _attempt: &Self::Attempt) {}

    /// Gives the one final answer.
    fn answer(&mut self, job: Self::Job, answer: Answer);

    /// Tells that the request is in the table and was not answered at once.
    fn accepted(&mut self, _job: &Self::Job) {}

    /// Freezes a running job for another process, if all of it can move: nothing more happens to it here until
    /// [`Handle::transferred`](super::Handle::transferred) says that it has moved, or it is thawed.
    fn freeze_for_transfer(
        &mut self,
        _tag: AttemptId,
        _sent: &AttemptStart,
        _job: &Self::Job,
        _attempt: &Self::Attempt,
    ) {
    }

    /// Closes idle connections to a worker.
    fn close_idle(&mut self, _worker: WorkerId) {}

    /// Requests the endpoint list again.
    fn refresh_endpoints(&mut self) {}

    /// Sends a health check to a worker. Returns whether this front end can: then exactly one
    /// [`Handle::probe_ended`](super::Handle::probe_ended) follows, whatever happens.
    fn probe(&mut self, _worker: WorkerId) -> bool {
        false
    }

    /// Sends this node's rates of tenants to another node, by its number.
    fn send_to_peer(&mut self, _to: u32, _rates: &[u8]) {}
}
