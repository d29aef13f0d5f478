//! Answers to clients, and the errors that are turned into answers. All answers are created here.

use super::super::fields::FieldError;
use super::super::in_flight_ids::IdConflict;
use super::super::sliced_body::SlicedBody;
use crate::dispatcher::Answer;
use crate::phase::Phase;
use bytes::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::StatusCode;
use std::time::Duration;

/// HTTP response to a client.
pub type Response = hyper::Response<SlicedBody>;

/// `Retry-After` for requests that this node sheds because it has no resources for them.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason for which a request does not reach the dispatcher. Its text is the body of the answer if the
/// request is invalid, and the `reason` field of the log record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is invalid; the connection is closed after the answer.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The request is shed; the client may retry it.
    #[error(transparent)]
    Shed(#[from] ShedReason),
}

/// Reason for which a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// Both framing headers are set. Readers could disagree on the end of the body, which allows request
    /// smuggling.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    ConflictingFraming,
    /// The path does not name a class.
    #[error("there is no such path")]
    UnknownPath,
    /// The method is not `POST`.
    #[error("jobs come by POST")]
    Method,
    /// The body exceeds the maximum length.
    #[error("a body holds at most 64 KiB")]
    BodyTooLong,
    /// The framing of the body is malformed.
    #[error("the body is malformed")]
    MalformedBody,
    /// The body was not received within the time limit.
    #[error("the body did not come")]
    BodyTimeout,
    /// The `X-Request-Id` header is missing.
    #[error("X-Request-Id is missing")]
    MissingId,
    /// Another request with this id is in flight: workers would take this one for the other or for a copy of
    /// it.
    #[error("a request with this X-Request-Id is open")]
    IdInFlight,
    /// A request with this id went to a worker before and may have run: it is not run again, and the answer makes no promise
    /// about its effect.
    #[error("a request with this X-Request-Id may have run")]
    IdRepeated,
    /// A field is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}

impl InvalidRequest {
    /// HTTP status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            InvalidRequest::UnknownPath => StatusCode::NOT_FOUND,
            InvalidRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::IdInFlight | InvalidRequest::IdRepeated => StatusCode::CONFLICT,
            InvalidRequest::ConflictingFraming
            | InvalidRequest::MalformedBody
            | InvalidRequest::MissingId
            | InvalidRequest::Field(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<IdConflict> for InvalidRequest {
    fn from(conflict: IdConflict) -> InvalidRequest {
        match conflict {
            IdConflict::InFlight => InvalidRequest::IdInFlight,
            IdConflict::MayHaveRun => InvalidRequest::IdRepeated,
        }
    }
}

/// Reason for which a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShedReason {
    /// Every connection slot has a request in flight.
    #[error("no connection slot is free")]
    NoConnectionSlot,
    /// The memory for bodies is exhausted.
    #[error("no memory is left for the body")]
    BodyMemoryFull,
    /// Much more memory is in use than planned.
    #[error("much memory is in use")]
    MemoryPressure,
    /// The deadline has passed, or the node stops before it could answer.
    #[error("the deadline has passed, or the node stops first")]
    DeadlinePassed,
}

/// Answer to a request that does not reach the dispatcher.
pub fn for_error(error: RequestError) -> Response {
    match error {
        RequestError::Shed(_) => shed(SHED_RETRY_AFTER),
        RequestError::Invalid(error) => {
            let mut response = with_body(error.status(), Bytes::from(error.to_string()));
            if error == InvalidRequest::Method {
                response.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
            }
            response
        }
    }
}

/// Answer to a request. `None` means that the dispatcher has ended and the outcome is unknown.
pub fn for_answer(answer: Option<Answer>) -> Response {
    match answer {
        Some(Answer::Served(result)) => Response::new(SlicedBody::new(result)),
        Some(Answer::Shed(wait)) => shed(wait),
        Some(Answer::Failed) | None => with_static_text(StatusCode::BAD_GATEWAY, "the job failed"),
    }
}

/// Answer to a health check.
pub fn for_phase(phase: Phase) -> Response {
    match phase {
        Phase::Serving => with_static_text(StatusCode::OK, "up"),
        Phase::Draining => with_static_text(StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Phase::HandedOver => with_static_text(StatusCode::SERVICE_UNAVAILABLE, "handed over"),
        Phase::Stopping | Phase::Closing => with_static_text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Makes the connection close after this answer.
pub fn close_connection(response: &mut Response) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn shed(retry_after: Duration) -> Response {
    let mut response = with_static_text(StatusCode::SERVICE_UNAVAILABLE, "refused: trying again is harmless");
    let seconds = retry_after.as_secs_f64();
    if seconds > 0.0 {
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn with_static_text(status: StatusCode, text: &'static str) -> Response {
    with_body(status, Bytes::from_static(text.as_bytes()))
}

fn with_body(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(SlicedBody::new(body));
    *response.status_mut() = status;
    response
}
