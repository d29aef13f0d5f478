//! Processing of a request in states, each with its own type: routed by its head ([`RoutedRequest`]),
//! validated with memory reserved ([`ValidatedRequest`]), complete with its body ([`CompleteRequest`]), and
//! accepted by the dispatcher until it is answered ([`AcceptedRequest`]).

use super::super::fields;
use super::super::framing::Framing;
use super::super::in_flight_ids::{IdConflict, InFlightId};
use super::super::job_handover::{self, TransferredAttempt};
use super::super::Job;
use super::connection::ClientConnection;
use super::response::{self, InvalidRequest, RequestError, Response, ShedReason};
use super::Server;
use crate::counters::Counters;
use crate::dispatcher::{Answer, Handle};
use crate::invariants::Invariant;
use crate::message_body::{self, BodyError};
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::RequestId;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request};
use std::sync::{Arc, Mutex};
use tokio::sync::{oneshot, SemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Maximum length of a body, in bytes.
pub const BODY_MAX: usize = 64 * 1024;
/// Path of the health check.
const HEALTH_CHECK_PATH: &str = "/up";

impl Server {
    /// Processes a request and returns its answer.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Response {
        let framing = connection.monitor.framing(connection.count_request());
        let result = match framing {
            Framing::Conflicting => Err(InvalidRequest::ConflictingFraming.into()),
            Framing::ContentLength | Framing::Chunked => self.process(request, connection).await,
        };
        let is_invalid = matches!(result, Err(RequestError::Invalid(_)));
        let mut response = result.unwrap_or_else(|error| self.reject(error));
        // The connection is closed after an invalid request, so that the client neither holds a descriptor
        // nor repeats it at once; after a chunked body, because message boundaries are no longer tracked; and
        // when the phase demands it.
        if is_invalid || framing != Framing::ContentLength || self.phase.borrow().closes_connections() {
            response::close_connection(&mut response);
        }
        connection.monitor.response_sent();
        connection.slot.set_idle();
        response
    }

    /// Counts a request that is rejected or shed before it reaches the dispatcher, and creates its answer.
    pub(super) fn reject(&self, error: RequestError) -> Response {
        self.counters.rejected_early.add();
        match error {
            RequestError::Invalid(error) => {
                let status = error.status().as_u16();
                log::debug!(event = "request_rejected", status, reason:% = error; "invalid request");
            }
            RequestError::Shed(reason) => {
                if matches!(reason, ShedReason::BodyMemoryFull | ShedReason::MemoryPressure) {
                    self.counters.shed_for_memory.add();
                }
                log::debug!(event = "request_shed", reason:%; "request shed");
            }
        }
        response::for_error(error)
    }

    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<Response, RequestError> {
        if request.uri().path() == HEALTH_CHECK_PATH && request.method() == Method::GET {
            return Ok(response::for_phase(*self.phase.borrow()));
        }
        let adopted = connection.take_adopted_attempt();
        let routed = RoutedRequest::new(request, self.names.borrow().clone(), adopted)?;
        let validated = self.validate(routed)?;
        let complete = validated.read_body(connection).await?;
        connection.monitor.request_complete();
        connection.slot.set_busy();
        let accepted = self.dispatch(complete, connection)?;
        Ok(accepted.answer().await)
    }

    /// Validates the fields and reserves memory for the body before it is read: many may arrive at once.
    fn validate(&self, request: RoutedRequest) -> Result<ValidatedRequest<'_>, RequestError> {
        let max_length = request.body.size_hint().upper().unwrap_or(BODY_MAX as u64).min(BODY_MAX as u64);
        let body_memory = self.budget.body_memory_kib.try_acquire_many(max_length.div_ceil(1024) as u32).ok();
        // An adopted request is never shed: the predecessor releases the memory that it held for it.
        if request.adopted.is_none() {
            if body_memory.is_none() {
                return Err(ShedReason::BodyMemoryFull.into());
            }
            if self.budget.pressure.is_high() {
                return Err(ShedReason::MemoryPressure.into());
            }
        }
        let RoutedRequest { head, body, names, adopted } = request;
        let (path, query) = (head.uri.path(), head.uri.query().unwrap_or(""));
        let numbers = adopted.as_ref().map(|adopted| adopted.numbers);
        let fields = fields::parse_request(&head.headers, path, query, &names, numbers);
        let fields = fields.map_err(InvalidRequest::from)?;
        let forwarded = ForwardedHead::new(&head)?;
        Ok(ValidatedRequest { forwarded, body, fields, adopted, body_memory })
    }

    /// Passes a request to the dispatcher.
    fn dispatch<'a>(
        &'a self,
        request: CompleteRequest<'a>,
        connection: &'a ClientConnection,
    ) -> Result<AcceptedRequest<'a>, RequestError> {
        let CompleteRequest { forwarded, body, mut fields, adopted, body_memory } = request;
        let ForwardedHead { target, id, idempotency_key } = forwarded;
        let id = match adopted {
            Some(_) => self.budget.in_flight_ids.insert_transferred(&id).ok_or(IdConflict::InFlight),
            None => self.budget.in_flight_ids.insert(&id),
        };
        let id = id.map_err(InvalidRequest::from)?;
        if adopted.is_none() {
            fields.time_left_us = self.time_left_us(fields.time_left_us, connection);
            if fields.time_left_us == 0 {
                return Err(ShedReason::DeadlinePassed.into());
            }
        }
        let (reply, answer) = oneshot::channel();
        let attempt_start = adopted.as_ref().map(|adopted| adopted.start);
        let job = Job {
            id: id.clone(),
            idempotency_key,
            target,
            body,
            fields,
            client: Some(connection.client.clone()),
            is_adopted: adopted.is_some(),
            adopted: Mutex::new(adopted),
            reply,
        };
        let request_id = match attempt_start {
            Some(start) => self.handle.adopt(fields, job, start),
            None => self.handle.submit(fields, job),
        };
        log_accepted(request_id, id, fields.time_left_us, attempt_start.is_some());
        let client = WaitingClient {
            handle: &self.handle,
            id: request_id,
            is_waiting: true,
            connection: &connection.client,
            counters: &self.counters,
        };
        Ok(AcceptedRequest { answer, client, _body_memory: body_memory })
    }

    /// Time that the client still waits for the connection's newest request, in microseconds.
    fn time_left_us(&self, requested_us: u64, connection: &ClientConnection) -> u64 {
        // The client's deadline has been running since before its connection was accepted; workers get the
        // remaining time.
        let left = requested_us.saturating_sub(connection.accept_delay().as_micros() as u64);
        // A request that arrives while the node stops must be answered before SIGKILL ends the process.
        match self.kill_time.answer_deadline() {
            Some(deadline) => left.min(deadline.saturating_duration_since(Instant::now()).as_micros() as u64),
            None => left,
        }
    }
}

/// Logs an accepted request. Drops this reference to its id: the id is in flight as long as the [`Job`] and
/// its attempts hold theirs.
fn log_accepted(request: RequestId, id: Arc<InFlightId>, time_left_us: u64, adopted: bool) {
    log::debug!(event = "request_accepted", request, wire_id:? = id.value, time_left_us, adopted;
        "request accepted");
}

/// Request whose path, method and `Content-Length` are valid.
struct RoutedRequest {
    head: Parts,
    body: Incoming,
    names: Arc<Names>,
    /// Attempt of the predecessor, which has checked the class of the request.
    adopted: Option<TransferredAttempt>,
}

impl RoutedRequest {
    fn new(
        request: Request<Incoming>,
        names: Arc<Names>,
        adopted: Option<TransferredAttempt>,
    ) -> Result<RoutedRequest, InvalidRequest> {
        let (head, body) = request.into_parts();
        let is_class = |class: &str| names.class(class).is_some();
        let header_class = head.headers.get("x-class").map_or(b"".as_slice(), |v| v.as_bytes());
        // An unknown class in the header is reported as such, whatever the path is.
        let has_unknown_class_header =
            std::str::from_utf8(header_class).map_or(true, |c| !c.is_empty() && !is_class(c));
        let is_routed = adopted.is_some() || is_class(&fields::class_in_path(head.uri.path()));
        if !is_routed && !has_unknown_class_header {
            return Err(InvalidRequest::UnknownPath);
        }
        if head.method != Method::POST {
            return Err(InvalidRequest::Method);
        }
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err(InvalidRequest::BodyTooLong);
        }
        Ok(RoutedRequest { head, body, names, adopted })
    }
}

/// What is forwarded of a request's head. The values are copies: slices of the head would keep all of it, for as long as
/// its body is read and the request is open.
struct ForwardedHead {
    target: PathAndQuery,
    id: HeaderValue,
    idempotency_key: Option<HeaderValue>,
}

impl ForwardedHead {
    fn new(head: &Parts) -> Result<ForwardedHead, InvalidRequest> {
        let copy = |name: &str| {
            head.headers.get(name).and_then(|value| HeaderValue::from_bytes(value.as_bytes()).ok())
        };
        let target = head.uri.path_and_query().and_then(|target| target.as_str().parse().ok());
        Ok(ForwardedHead {
            target: target.ok_or(InvalidRequest::UnknownPath)?,
            id: copy("x-request-id").ok_or(InvalidRequest::MissingId)?,
            idempotency_key: copy("idempotency-key"),
        })
    }
}

/// Request with valid fields, and with memory reserved for its body.
struct ValidatedRequest<'a> {
    forwarded: ForwardedHead,
    body: Incoming,
    fields: dispatch_policy::api::Request,
    adopted: Option<TransferredAttempt>,
    body_memory: Option<SemaphorePermit<'a>>,
}

impl<'a> ValidatedRequest<'a> {
    async fn read_body(self, connection: &ClientConnection) -> Result<CompleteRequest<'a>, InvalidRequest> {
        let ValidatedRequest { forwarded, body, fields, adopted, body_memory } = self;
        let body = message_body::read(body, BODY_MAX);
        let body = match timeout_at(connection.monitor.message_deadline(), body).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(InvalidRequest::BodyTooLong),
            Ok(Err(BodyError::Broken(_))) => return Err(InvalidRequest::MalformedBody),
            Err(_) => return Err(InvalidRequest::BodyTimeout),
        };
        Ok(CompleteRequest { forwarded, body, fields, adopted, body_memory })
    }
}

/// Request that was read completely.
struct CompleteRequest<'a> {
    forwarded: ForwardedHead,
    body: Bytes,
    fields: dispatch_policy::api::Request,
    adopted: Option<TransferredAttempt>,
    body_memory: Option<SemaphorePermit<'a>>,
}

/// Request that the dispatcher has accepted and not yet answered.
struct AcceptedRequest<'a> {
    answer: oneshot::Receiver<Answer>,
    client: WaitingClient<'a>,
    _body_memory: Option<SemaphorePermit<'a>>,
}

impl AcceptedRequest<'_> {
    /// Waits for the answer. If the client leaves first, this never returns: it is dropped with the
    /// connection, and the drop notifies the dispatcher.
    async fn answer(mut self) -> Response {
        let connection = self.client.connection;
        let answer = tokio::select! {
            biased;
            answer = &mut self.answer => answer,
            // Hyper detects that the client has left only if no unread bytes follow the request.
            () = connection.socket_handle.peer_closed() => {
                connection.finished.notify_one();
                std::future::pending().await
            }
        };
        if !connection.may_answer().await {
            std::future::pending::<()>().await; // the connection is dropped, because another process answers
        }
        self.client.is_waiting = false;
        response::for_answer(answer.ok())
    }
}

/// Notifies the dispatcher when a client leaves before its answer. It is dropped with the connection of an
/// accepted request, whatever ends that connection, and checks [`Invariant::Answered`].
struct WaitingClient<'a> {
    handle: &'a Handle<Job>,
    id: RequestId,
    is_waiting: bool,
    connection: &'a job_handover::ClientHandle,
    counters: &'a Counters,
}

impl Drop for WaitingClient<'_> {
    fn drop(&mut self) {
        if !self.is_waiting {
            return;
        }
        if !self.connection.is_elsewhere() && !self.connection.socket_handle.is_peer_closed() {
            self.counters.violations.add(Invariant::Answered, self.id);
        }
        self.handle.client_left(self.id);
    }
}
