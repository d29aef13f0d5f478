//! Input events of the decision module.

use super::{Endpoint, LoadReport, Micros, RequestId, Settings, WorkerId};

/// A received request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenants`]; ignored where there are none.
    pub tenant: usize,
    /// Time remaining until the client's deadline.
    pub time_left_us: Micros,
    /// Cost hint: expected execution time on a standard core.
    pub work_hint_us: Option<Micros>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Affinity key: requests with the same key need the same data. 0 for none.
    pub affinity_key: u64,
    /// Slots that it occupies; 0 if unknown.
    pub slots: f64,
    /// Units of memory that it occupies; 0 if unknown.
    pub memory: f64,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker executed the request.
    Success,
    /// The worker returned an error; the request may have been executed.
    Error,
    /// The worker rejected it without executing it.
    Rejected,
    /// The worker did not respond in time; the request may have been executed.
    Timeout,
    /// No connection could be established; the request was not executed.
    ConnectFailed,
    /// The connection was lost; the request may have been executed.
    ConnectionLost,
    /// Cancelled by the dispatcher; the request may have been executed.
    Cancelled,
    /// The embedder did not send the request.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request was not executed.
    pub fn proves_not_executed(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt number, from 0.
    pub attempt: u32,
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the client needs no further answer.
    pub request_done: bool,
    /// Whether the failure can't be attributed to the worker. With [`Outcome::ConnectionLost`]: a reused
    /// connection was lost before the worker responded, as happens to idle connections. With
    /// [`Outcome::ConnectFailed`]: this dispatcher lacked the local resources to open a connection.
    pub not_attributable: bool,
    /// The load report contained in the response.
    pub report: Option<LoadReport>,
}

/// An input event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request was received; it must get exactly one final answer.
    RequestReceived(Request),
    /// A request was adopted in a process handover: the predecessor sent its first attempt, which continues
    /// here.
    RequestAdopted {
        /// The request, with `time_left_us` as of now.
        request: Request,
        /// The worker to which it was sent.
        worker: WorkerId,
        /// The request's maximum number of attempts.
        max_attempts: u32,
        /// Time since the attempt was sent.
        since_sent_us: Micros,
        /// Time since the worker reported its start, if it did.
        since_started_us: Option<Micros>,
    },
    /// The client has received the first part of a streamed response, so the request can't be retried any
    /// more.
    ResponseStreaming {
        /// The request.
        id: RequestId,
        /// The attempt number.
        attempt: u32,
    },
    /// A worker acknowledged the receipt of a request.
    Acknowledged {
        /// The request.
        id: RequestId,
        /// The attempt number.
        attempt: u32,
    },
    /// A worker reported that it started to execute a request.
    Started {
        /// The request.
        id: RequestId,
        /// The attempt number.
        attempt: u32,
    },
    /// A worker reported the progress of a request.
    Progress {
        /// The request.
        id: RequestId,
        /// The attempt number.
        attempt: u32,
        /// The completed fraction.
        done: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client disconnected; the request needs no answer any more.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// The settings changed. Classes and tenants keep their indexes and new ones are appended; a class whose
    /// rules change becomes a new class. Open requests keep their maximum number of attempts.
    SettingsChanged {
        /// The complete new settings.
        settings: Box<Settings>,
        /// For each class, the class whose run time estimates it starts with, if any.
        inherits_from: Vec<Option<usize>>,
    },
    /// The complete endpoint list. Workers that are not in it are removed, unless the rules set
    /// `soft_removal`.
    EndpointList(Vec<Endpoint>),
    /// Changed entries of the endpoint list.
    EndpointChanges(Vec<Endpoint>),
    /// A poll of the endpoint list failed, or the watch ended.
    EndpointWatchFailed,
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) expired.
    TimerExpired,
    /// A load probe ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker responded.
        responded: bool,
        /// The load report in the response.
        report: Option<LoadReport>,
    },
    /// A message from another dispatcher.
    PeerMessage {
        /// Ordinal of the sender.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
