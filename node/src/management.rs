//! Management server: HTTP at an address of its own, so that operators reach the node however loaded the platform
//! frontend is. It serves one call per connection, reads state and forwards commands; it makes no decisions itself.

use crate::acceptor::Acceptor;
use crate::coordination::{self, RestartRequest, RestartRequestError};
use crate::membership;
use crate::phase::Phases;
use crate::platform::socket::Socket;
use ::coordination::{Operation, Outcome, VoterMember, NAME_MAX};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Most connections at a time. The platform frontend reserves descriptors for them.
pub const MAX_CONNECTIONS: usize = 8;
/// Time limit of a call, from the accepted connection on.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Nodes of one zone that may be unavailable at once in a rolling restart, if the call does not state it.
const DEFAULT_MAX_UNAVAILABLE: u8 = 1;

/// State that operators can read and change.
#[derive(Clone)]
pub struct Management {
    /// The phase of the process.
    pub phases: Phases,
    /// Whether the process is ready to serve.
    pub ready: watch::Receiver<bool>,
    /// Membership, if it is on.
    pub membership: Option<membership::Handle>,
    /// Coordination, if it is on.
    pub coordination: Option<coordination::Handle>,
}

/// Call of the management interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Health,
    Drain,
    Resume,
    MembershipStatus,
    CoordinationStatus,
    AddVoter,
    RemoveVoter,
    StartRestart,
    StopRestart,
}

impl Call {
    fn from_path(path: &str) -> Option<Call> {
        Some(match path {
            "/healthcheck" => Call::Health,
            "/healthcheck/fail" => Call::Drain,
            "/healthcheck/ok" => Call::Resume,
            "/fleet" => Call::MembershipStatus,
            "/fleet/duties" => Call::CoordinationStatus,
            "/fleet/voter/add" => Call::AddVoter,
            "/fleet/voter/remove" => Call::RemoveVoter,
            "/fleet/roll" => Call::StartRestart,
            "/fleet/roll/stop" => Call::StopRestart,
            _ => return None,
        })
    }

    fn method(self) -> Method {
        match self {
            Call::Health | Call::MembershipStatus | Call::CoordinationStatus => Method::GET,
            Call::Drain
            | Call::Resume
            | Call::AddVoter
            | Call::RemoveVoter
            | Call::StartRestart
            | Call::StopRestart => Method::POST,
        }
    }
}

/// Body of a successful response.
enum ResponseBody {
    Text(String),
    Json(String),
}

impl ResponseBody {
    fn text(text: &str) -> ResponseBody {
        ResponseBody::Text(text.to_string())
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        match self {
            ResponseBody::Text(text) => response(StatusCode::OK, &text),
            ResponseBody::Json(text) => {
                let mut response = response(StatusCode::OK, &text);
                response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                response
            }
        }
    }
}

/// Failure of a call; its text is the body of the response, which operators' tools match.
#[derive(Debug, Error)]
enum CallError {
    #[error("there is no such call")]
    UnknownCall,
    #[error("another method is wanted")]
    MethodNotAllowed { allowed: Method },
    #[error("starting")]
    NotReady,
    #[error("on its way to its end")]
    CannotResume,
    #[error("this node talks to no other: it was started without --fleet")]
    MembershipOff,
    #[error("the talk between nodes has ended")]
    MembershipEnded,
    #[error("this node knows no duties: its fleet file has no such section")]
    CoordinationOff,
    #[error("the duties have ended")]
    CoordinationEnded,
    #[error("a name is wanted, and to add one an address")]
    InvalidVoter,
    #[error("away is from 1 to 4")]
    InvalidMaxUnavailable,
    #[error("{0}")]
    VoterChangeRejected(String),
    #[error("no voter that leads answers")]
    NoLeader,
    #[error("{0}")]
    RestartNotRequested(#[source] RestartRequestError),
}

impl CallError {
    fn status(&self) -> StatusCode {
        match self {
            CallError::UnknownCall | CallError::MembershipOff | CallError::CoordinationOff => {
                StatusCode::NOT_FOUND
            }
            CallError::MethodNotAllowed { .. } => StatusCode::METHOD_NOT_ALLOWED,
            CallError::InvalidVoter | CallError::InvalidMaxUnavailable => StatusCode::BAD_REQUEST,
            CallError::VoterChangeRejected(_) => StatusCode::CONFLICT,
            CallError::NotReady
            | CallError::CannotResume
            | CallError::MembershipEnded
            | CallError::CoordinationEnded
            | CallError::NoLeader
            | CallError::RestartNotRequested(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut response = response(self.status(), &self.to_string());
        if let CallError::MethodNotAllowed { allowed } = &self {
            let allowed = HeaderValue::from_str(allowed.as_str()).expect("a method is a header value");
            response.headers_mut().insert(ALLOW, allowed);
        }
        response
    }
}

impl Management {
    /// Serves calls until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        let mut connections: VecDeque<JoinHandle<()>> = VecDeque::new();
        let mut acceptor = Acceptor::default();
        loop {
            let socket = acceptor.accept(&listener).await.socket;
            connections.retain(|connection| !connection.is_finished());
            // Idle connections must not block new ones: the oldest is closed.
            while connections.len() >= MAX_CONNECTIONS {
                let Some(oldest) = connections.pop_front() else { break };
                oldest.abort();
                let _ = oldest.await; // fails because it was aborted; its descriptor is free afterwards
            }
            let management = self.clone();
            connections.push_back(tokio::spawn(async move { management.serve_connection(socket).await }));
        }
    }

    async fn serve_connection(&self, socket: TcpStream) {
        let service = service_fn(|request| async move { Ok::<_, Infallible>(self.respond(&request).await) });
        let mut builder = http1::Builder::new();
        builder.keep_alive(false).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        let connection = builder.serve_connection(TokioIo::new(Socket::new(socket)), service);
        match timeout(CALL_TIMEOUT, connection).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log::debug!(event = "management_call_failed", error:%; "management call failed")
            }
            Err(_) => {
                log::debug!(event = "management_call_timed_out", timeout_ms = CALL_TIMEOUT.as_millis() as u64;
                "management call timed out")
            }
        }
    }

    async fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let outcome = match parse_call(request) {
            Ok(call) => self.execute(call, request.uri()).await,
            Err(error) => Err(error),
        };
        outcome.map_or_else(CallError::into_response, ResponseBody::into_response)
    }

    async fn execute(&self, call: Call, uri: &Uri) -> Result<ResponseBody, CallError> {
        match call {
            Call::Health if *self.ready.borrow() => Ok(ResponseBody::text("ready")),
            Call::Health => Err(CallError::NotReady),
            Call::Drain | Call::Resume => self.change_phase(call, uri.path()),
            Call::MembershipStatus => self.membership_status().await,
            Call::CoordinationStatus => self.coordination_status().await,
            Call::AddVoter | Call::RemoveVoter => self.change_voters(call, uri).await,
            Call::StartRestart | Call::StopRestart => self.request_restart(call, uri).await,
        }
    }

    fn change_phase(&self, call: Call, path: &str) -> Result<ResponseBody, CallError> {
        let (is_done, phase) = match call {
            Call::Drain => (self.phases.drain(), "draining"),
            _ => (self.phases.resume(), "serving"),
        };
        let outcome = if is_done { Ok(ResponseBody::text(phase)) } else { Err(CallError::CannotResume) };
        let result = outcome.as_ref().map_or_else(CallError::to_string, |_| phase.to_string());
        log::info!(event = "management_call", path, result; "management call");
        outcome
    }

    async fn membership_status(&self) -> Result<ResponseBody, CallError> {
        let membership = self.membership.as_ref().ok_or(CallError::MembershipOff)?;
        match membership.status().await.map(|status| serde_json::to_string(&status)) {
            Some(Ok(text)) => Ok(ResponseBody::Json(text)),
            _ => Err(CallError::MembershipEnded),
        }
    }

    async fn coordination_status(&self) -> Result<ResponseBody, CallError> {
        let coordination = self.coordination()?;
        match coordination.status().await.map(|status| serde_json::to_string(&status)) {
            Some(Ok(text)) => Ok(ResponseBody::Json(text)),
            _ => Err(CallError::CoordinationEnded),
        }
    }

    async fn request_restart(&self, call: Call, uri: &Uri) -> Result<ResponseBody, CallError> {
        let coordination = self.coordination()?;
        let request = match call {
            Call::StopRestart => RestartRequest::Stop,
            _ => parse_restart(query(uri))?,
        };
        log_call(uri);
        match coordination.request_restart(request).await {
            Ok(holder) => {
                Ok(ResponseBody::Text(format!("{holder} was told; 'fleet duties' shows how it goes")))
            }
            Err(error) => Err(CallError::RestartNotRequested(error)),
        }
    }

    async fn change_voters(&self, call: Call, uri: &Uri) -> Result<ResponseBody, CallError> {
        let coordination = self.coordination()?;
        let operation = parse_voter_change(call, query(uri)).ok_or(CallError::InvalidVoter)?;
        log_call(uri);
        match coordination.request(operation).await {
            Some(Outcome::Done) => Ok(ResponseBody::text("done")),
            Some(Outcome::Rejected(reason)) => Err(CallError::VoterChangeRejected(reason)),
            _ => Err(CallError::NoLeader),
        }
    }

    fn coordination(&self) -> Result<&coordination::Handle, CallError> {
        self.coordination.as_ref().ok_or(CallError::CoordinationOff)
    }
}

/// The call that a request makes.
///
/// # Errors
/// If the path is unknown or the method is not that of the call.
fn parse_call(request: &Request<Incoming>) -> Result<Call, CallError> {
    let call = Call::from_path(request.uri().path()).ok_or(CallError::UnknownCall)?;
    let allowed = call.method();
    if *request.method() != allowed {
        return Err(CallError::MethodNotAllowed { allowed });
    }
    Ok(call)
}

fn query(uri: &Uri) -> &str {
    uri.query().unwrap_or("")
}

fn log_call(uri: &Uri) {
    log::info!(event = "management_call", path = uri.path(), query = query(uri); "management call");
}

/// New rolling restart from `away=...`. Its id is the current time, which differs from earlier ones.
fn parse_restart(query: &str) -> Result<RestartRequest, CallError> {
    let max_unavailable = match query.strip_prefix("away=") {
        Some(text) => text.parse().map_err(|_| CallError::InvalidMaxUnavailable)?,
        None => DEFAULT_MAX_UNAVAILABLE,
    };
    if !(1..=4).contains(&max_unavailable) {
        return Err(CallError::InvalidMaxUnavailable);
    }
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ok(RestartRequest::Start { id: unix.as_millis() as u64, max_unavailable })
}

/// Change of the voters from `name=...` and, for an addition, `at=...`; `None` if these don't fit the call.
fn parse_voter_change(call: Call, query: &str) -> Option<Operation> {
    let value = |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let name = value("name").filter(|name| !name.is_empty() && name.len() <= NAME_MAX)?.to_string();
    match (call, value("at")) {
        (Call::AddVoter, Some(address)) => {
            let address = address.parse().ok()?;
            Some(Operation::AddVoter(VoterMember { name, address }))
        }
        (Call::RemoveVoter, None) => Some(Operation::RemoveVoter(name)),
        _ => None,
    }
}

fn response(status: StatusCode, text: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    response
}
