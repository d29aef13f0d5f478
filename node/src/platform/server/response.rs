//! Answers to clients: the one place that makes them, and the errors that become one.

use super::super::fields::FieldError;
use crate::dispatcher::Answer;
use crate::phase::Phase;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, ALLOW, CONNECTION, RETRY_AFTER};
use hyper::StatusCode;
use std::time::Duration;

/// An answer.
pub type Response = hyper::Response<Full<Bytes>>;

/// `Retry-After` of requests that this node has no resources for.
const RETRY_AFTER_OVERLOAD: Duration = Duration::from_millis(500);

/// Why a request goes no further. Its text is the answer's body, or its reason in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The request is wrong: the connection is closed after the answer.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The request is shed; it may be sent again.
    #[error(transparent)]
    Shed(#[from] ShedReason),
}

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A request may be hidden in the body of another: two readers need not agree on its end.
    #[error("Content-Length and Transfer-Encoding exclude each other")]
    BothFramings,
    /// The path names no class.
    #[error("there is no such path")]
    UnknownPath,
    /// The method is not POST.
    #[error("jobs come by POST")]
    Method,
    /// The body is too long.
    #[error("a body holds at most 64 KiB")]
    BodyTooLong,
    /// The body's framing is broken.
    #[error("the body is malformed")]
    MalformedBody,
    /// The body did not come in time.
    #[error("the body did not come")]
    BodyTimeout,
    /// There is no id.
    #[error("X-Request-Id is missing")]
    MissingId,
    /// Workers would take the request for another one, or for its copy.
    #[error("a request with this X-Request-Id is open")]
    IdInFlight,
    /// A field is wrong.
    #[error(transparent)]
    Field(#[from] FieldError),
}

impl InvalidRequest {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            InvalidRequest::UnknownPath => StatusCode::NOT_FOUND,
            InvalidRequest::Method => StatusCode::METHOD_NOT_ALLOWED,
            InvalidRequest::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            InvalidRequest::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            InvalidRequest::IdInFlight => StatusCode::CONFLICT,
            InvalidRequest::BothFramings
            | InvalidRequest::MalformedBody
            | InvalidRequest::MissingId
            | InvalidRequest::Field(_) => StatusCode::BAD_REQUEST,
        }
    }
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShedReason {
    /// All slots for connections have a request at work.
    #[error("no descriptor for its connection")]
    OutOfDescriptors,
    /// All memory for bodies is in use.
    #[error("no memory for its body")]
    BodyMemoryFull,
    /// Its client stops waiting now, or the node ends before it could be answered.
    #[error("its time is over, or the node's")]
    DeadlinePassed,
}

/// The answer of a request that goes no further.
pub fn of_error(error: RequestError) -> Response {
    match error {
        RequestError::Shed(_) => rejection(RETRY_AFTER_OVERLOAD),
        RequestError::Invalid(error) => {
            let mut response = plain(error.status(), Bytes::from(error.to_string()));
            if error == InvalidRequest::Method {
                response.headers_mut().insert(ALLOW, HeaderValue::from_static("POST"));
            }
            response
        }
    }
}

/// The answer to a job; without one the dispatcher has ended, and nobody knows what became of the job.
pub fn of_answer(answer: Option<Answer>) -> Response {
    match answer {
        Some(Answer::Served(result)) => Response::new(Full::new(result)),
        Some(Answer::Shed(wait)) => rejection(wait),
        Some(Answer::Failed) | None => fixed(StatusCode::BAD_GATEWAY, "the job failed"),
    }
}

/// The answer to a health check.
pub fn of_phase(phase: Phase) -> Response {
    match phase {
        Phase::Serving => fixed(StatusCode::OK, "up"),
        Phase::Draining => fixed(StatusCode::SERVICE_UNAVAILABLE, "draining"),
        Phase::HandedOver => fixed(StatusCode::SERVICE_UNAVAILABLE, "handed over"),
        Phase::Stopping | Phase::Closing => fixed(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// Has the connection closed after this answer.
pub fn close_connection(response: &mut Response) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn rejection(retry_after: Duration) -> Response {
    let mut response = fixed(StatusCode::SERVICE_UNAVAILABLE, "refused: trying again is harmless");
    let seconds = retry_after.as_secs_f64();
    if seconds > 0.0 {
        if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

fn fixed(status: StatusCode, text: &'static str) -> Response {
    plain(status, Bytes::from_static(text.as_bytes()))
}

fn plain(status: StatusCode, body: Bytes) -> Response {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
