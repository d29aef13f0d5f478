//! What the decision module asks the embedder to do.

use super::{Micros, RequestId, WorkerId};

/// Why a request is not sent, or not sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Requests that share its key, class or tenant fail at every worker.
    Quarantined,
    /// It was sent as often as the settings allow.
    AttemptsExhausted,
    /// It may have been executed and is not idempotent.
    MayHaveExecuted,
    /// The retry budget is used up.
    RetryBudgetExhausted,
    /// It can't be answered in time any more.
    TooLate,
}

/// Events for on-call staff; rare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    /// A request gets its final answer without being served.
    RequestGivenUp {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A worker does not respond though a response is due; it is ejected and only probed.
    WorkerUnresponsive {
        /// The worker.
        worker: WorkerId,
    },
    /// A worker failed a request; it is ejected and only probed.
    WorkerFailing {
        /// The worker.
        worker: WorkerId,
    },
    /// An ejected worker takes requests again.
    WorkerRecovered {
        /// The worker.
        worker: WorkerId,
    },
    /// Rate control admits less than is offered.
    Throttling {
        /// Requests admitted in a second.
        admitted_per_s: f64,
        /// Requests received in a second.
        offered_per_s: f64,
    },
    /// The endpoint list could not be fetched; the call is made again.
    EndpointListUnavailable,
}

/// What the dispatcher is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to a worker; attempts count from 0.
    Send {
        /// The request.
        id: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Final answer: not executed, retrying is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// Suggested wait before a retry; 0 for none.
        retry_after_us: Micros,
    },
    /// Final answer: failed; whether it was executed is unknown.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Call `handle` with [`Event::TimerExpired`](super::Event::TimerExpired) after this time.
    SetTimer {
        /// The time from now.
        after_us: Micros,
    },
    /// Probe a worker for its load.
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
        /// Its ordinal.
        to: u32,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Notify on-call staff.
    Notify(Notice),
}
