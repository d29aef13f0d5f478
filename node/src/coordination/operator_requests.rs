//! Operators' requests to the voters, sent to one voter after another until the leader responds.

use super::clock::boottime;
use super::task::Task;
use ::coordination::{Operation, Outcome, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time limit for an operator's request.
pub(super) const OPERATOR_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the response of each voter.
const VOTER_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before a request is sent again after a response from a voter that is not the leader.
const REDIRECT_PAUSE: Duration = Duration::from_nanos(VOTER_TIMEOUT.as_nanos() as u64 / 6);
/// Maximum number of pending requests.
const REQUESTS_MAX: usize = 16;

/// Pending request of an operator.
pub(super) struct OperatorRequest {
    operation: Operation,
    sender: oneshot::Sender<Outcome>,
    received_at: Duration,
    pub(super) retry_at: Duration,
}

impl Task {
    pub(super) fn start_operator_request(&mut self, operation: Operation, sender: oneshot::Sender<Outcome>) {
        if self.operator_requests.len() < REQUESTS_MAX {
            self.send_operator_request(operation, sender, boottime());
        }
    }

    fn send_operator_request(
        &mut self,
        operation: Operation,
        sender: oneshot::Sender<Outcome>,
        received_at: Duration,
    ) {
        let now = boottime();
        let Some(to) = self.client.target_voter() else { return };
        let id = self.client.request(now, to, operation.clone()).id;
        let retry_at = now + VOTER_TIMEOUT;
        self.operator_requests.insert(id, OperatorRequest { operation, sender, received_at, retry_at });
    }

    /// Sends requests that are due for a retry to the next voter, unless they have timed out.
    pub(super) fn retry_operator_requests(&mut self, now: Duration) {
        let is_due = |request: &OperatorRequest| now >= request.retry_at;
        let due: Vec<u64> =
            self.operator_requests.iter().filter(|(_, r)| is_due(r)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(request) = self.operator_requests.remove(&id) else { continue };
            self.client.try_next_voter();
            if now - request.received_at < OPERATOR_TIMEOUT {
                self.send_operator_request(request.operation, request.sender, request.received_at);
            }
        }
    }

    /// Handles a voter's response to this process.
    pub(super) fn receive_response(&mut self, now: Duration, from: SocketAddr, response: Response) {
        if response.process_id != self.dependencies.membership.process_id() {
            return;
        }
        if let Outcome::Status(status) = &response.outcome {
            self.client.update_voters(status);
        }
        if let Some(request) = self.operator_requests.remove(&response.request_id) {
            match response.outcome {
                Outcome::NotLeader(_) | Outcome::ConfirmReceipt => self.retry_after_pause(now, request),
                // Fails if the caller has stopped waiting.
                ref outcome => drop(request.sender.send(outcome.clone())),
            }
        }
        self.client.receive(now, from, response);
    }

    /// Schedules a request for a retry after a pause, which prevents a busy loop while there is no leader.
    fn retry_after_pause(&mut self, now: Duration, request: OperatorRequest) {
        // The request awaits no response; this key is above all ids in use.
        let key = u64::MAX - request.received_at.as_nanos() as u64;
        let request = OperatorRequest { retry_at: now + REDIRECT_PAUSE, ..request };
        self.operator_requests.insert(key, request);
    }
}
