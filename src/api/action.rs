//! Output actions of the decision module.

use super::{Micros, RequestId, WorkerId};

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Requests with the same affinity key, class or tenant fail at every worker.
    Quarantined,
    /// No further attempt is possible: the maximum number was made, the deadline has passed, or the embedder
    /// could not send the last one.
    AttemptsExhausted,
    /// It may have been executed and is not idempotent.
    MayHaveExecuted,
    /// The retry budget is exhausted.
    RetryBudgetExhausted,
    /// It can no longer be answered in time.
    TooLate,
}

/// Notifications for on-call operators: at most one a second, not counting [`Notice::RequestGivenUp`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// A request received its final answer without being served.
    RequestGivenUp {
        /// The request.
        request: RequestId,
        /// The reason.
        reason: Reason,
    },
    /// A worker did not respond within its timeout; it is ejected and only probed.
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker failed a request; it is ejected and only probed.
    WorkerFailing {
        /// The worker.
        worker: WorkerId,
    },
    /// An ejected worker was readmitted.
    WorkerRecovered {
        /// The worker.
        worker: WorkerId,
    },
    /// The rate limit is far below the offered rate.
    Throttling {
        /// Rate limit, in requests per second.
        admitted_per_s: f64,
        /// Offered rate, in requests per second.
        offered_per_s: f64,
    },
    /// The endpoint list could not be fetched; the call is retried.
    EndpointListUnavailable,
}

/// What the embedder has to do. Actions are carried out in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker. Attempts are numbered from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: the request was not executed, or may safely be retried.
    Reject {
        /// The request.
        id: RequestId,
        /// Suggested delay before a retry; 0 for none.
        retry_after_us: Micros,
    },
    /// Final answer: the request failed and may have been executed.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt number.
        attempt: u32,
    },
    /// Pass [`Event::TimerExpired`](super::Event::TimerExpired) to the decision module after a delay.
    SetTimer {
        /// The delay from now.
        after_us: Micros,
    },
    /// Probe a worker for a load report.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to the endpoint list.
    WatchEndpoints,
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Send a message to another dispatcher.
    SendPeerMessage {
        /// Ordinal of the receiver.
        to: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Notify on-call operators.
    Notify(Notice),
}
