//! One request, in states: its head is routed ([`RoutedRequest`]), it is admitted ([`AdmittedRequest`]), its body has come
//! ([`CompleteRequest`]), and it is at work until it has its answer ([`RequestAtWork`]).

use super::super::fields;
use super::super::framing::Framing;
use super::super::in_flight_ids::InFlightId;
use super::super::job_handover::{self, TransferredAttempt};
use super::super::Job;
use super::connection::ClientConnection;
use super::response::{self, InvalidRequest, RequestError, Response, ShedReason};
use super::Server;
use crate::counters::Counters;
use crate::dispatcher::{Answer, Handle};
use crate::invariants::Invariant;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::RequestId;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use tokio::sync::{oneshot, SemaphorePermit};
use tokio::time::{timeout_at, Instant};

/// Longest body, in bytes.
pub const BODY_MAX: usize = 64 * 1024;
/// Path of the health check.
const HEALTH_PATH: &str = "/up";

impl Server {
    /// Answers a request.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Response {
        let framing = connection.monitor.framing(connection.next_request());
        let result = match framing {
            Framing::Both => Err(InvalidRequest::BothFramings.into()),
            Framing::Length | Framing::Chunks => self.process(request, connection).await,
        };
        let is_invalid = matches!(result, Err(RequestError::Invalid(_)));
        let mut response = result.unwrap_or_else(|error| self.reject(error));
        // Who asks wrongly once must not hold a descriptor, or ask at once again; what follows a chunked body is not
        // followed on the socket; and a node that drains keeps no client.
        if is_invalid || framing != Framing::Length || self.phase.borrow().closes_connections() {
            response::close_connection(&mut response);
        }
        connection.monitor.response_sent();
        connection.slot.set_idle();
        response
    }

    /// Counts a request that goes no further, and makes its answer.
    pub(super) fn reject(&self, error: RequestError) -> Response {
        self.counters.rejected_early.add();
        match error {
            RequestError::Invalid(error) => {
                let status = error.status().as_u16();
                log::debug!(event = "request_rejected", status, reason:% = error; "invalid request");
            }
            RequestError::Shed(reason) => {
                log::debug!(event = "request_shed", reason:%; "no resources for a request");
            }
        }
        response::of_error(error)
    }

    async fn process(
        &self,
        request: Request<Incoming>,
        connection: &ClientConnection,
    ) -> Result<Response, RequestError> {
        if request.uri().path() == HEALTH_PATH && request.method() == Method::GET {
            return Ok(response::of_phase(*self.phase.borrow()));
        }
        let routed = RoutedRequest::new(request, self.names.borrow().clone())?;
        let admitted = self.admit(routed, connection.take_adopted())?;
        let complete = admitted.read_body(connection).await?;
        connection.monitor.request_complete();
        connection.slot.set_busy();
        let at_work = self.dispatch(complete, connection)?;
        Ok(at_work.answer().await)
    }

    /// Reserves memory for the body, before it is read: many may come at once.
    fn admit(
        &self,
        request: RoutedRequest,
        adopted: Option<TransferredAttempt>,
    ) -> Result<AdmittedRequest<'_>, RequestError> {
        let expected = request.body.size_hint().upper().unwrap_or(BODY_MAX as u64).min(BODY_MAX as u64);
        let body_memory = self.budget.body_memory_kib.try_acquire_many(expected.div_ceil(1024) as u32).ok();
        // A job that runs is never shed: the process before releases its own memory for it.
        if body_memory.is_none() && adopted.is_none() {
            return Err(ShedReason::BodyMemoryFull.into());
        }
        let RoutedRequest { head, body, names } = request;
        let (path, query) = (head.uri.path(), head.uri.query().unwrap_or(""));
        let fields = fields::parse_request(&head.headers, path, query, &names);
        let fields = fields.map_err(InvalidRequest::from)?;
        Ok(AdmittedRequest { head, body, names, fields, adopted, body_memory })
    }

    /// Gives a request to the dispatcher.
    fn dispatch<'a>(
        &'a self,
        request: CompleteRequest<'a>,
        connection: &'a ClientConnection,
    ) -> Result<RequestAtWork<'a>, RequestError> {
        let CompleteRequest { head, body, names, mut fields, adopted, body_memory } = request;
        let target = head.uri.into_parts().path_and_query.ok_or(InvalidRequest::UnknownPath)?;
        let id = head.headers.get("x-request-id").ok_or(InvalidRequest::MissingId)?.clone();
        let id = self.budget.in_flight_ids.open(id).ok_or(InvalidRequest::IdInFlight)?;
        if adopted.is_none() {
            fields.time_left_us = self.time_left_us(fields.time_left_us, connection, &names);
            if fields.time_left_us == 0 {
                return Err(ShedReason::DeadlinePassed.into());
            }
        }
        let (reply, answer) = oneshot::channel();
        let sent = adopted.as_ref().map(|adopted| adopted.start);
        let job = Job {
            id: id.clone(),
            key: head.headers.get("idempotency-key").cloned(),
            target,
            body,
            fields,
            client: Some(connection.client.clone()),
            adopted: Mutex::new(adopted),
            reply,
        };
        let number = match sent {
            Some(sent) => self.handle.adopt(fields, job, sent),
            None => self.handle.submit(fields, job),
        };
        log_accepted(number, id, fields.time_left_us, sent.is_some());
        let client = WaitingClient {
            handle: &self.handle,
            id: number,
            is_waiting: true,
            connection: &connection.client,
            counters: &self.counters,
        };
        Ok(RequestAtWork { answer, client, _body_memory: body_memory })
    }

    /// What is left of a client's wait, in microseconds, for the connection's newest request.
    fn time_left_us(&self, stated_us: u64, connection: &ClientConnection, names: &Names) -> u64 {
        // The client's wait ran while its connection could not be accepted; workers are told what is left of it.
        let left = stated_us.saturating_sub(connection.accept_delay().as_micros() as u64);
        // SIGKILL would cut off the answer to a request that was written while the node stops.
        match self.phases.answer_deadline(names.longest_deadline) {
            Some(last) => left.min(last.saturating_duration_since(Instant::now()).as_micros() as u64),
            None => left,
        }
    }
}

/// Logs a request. The reference to its id ends here: it is in flight for as long as the job and its attempts are.
fn log_accepted(request: RequestId, id: Arc<InFlightId>, time_left_us: u64, adopted: bool) {
    log::debug!(event = "request_accepted", request, wire_id:? = id.value, time_left_us, adopted; "request accepted");
}

/// A request whose path, method and stated length are accepted.
struct RoutedRequest {
    head: Parts,
    body: Incoming,
    names: Arc<Names>,
}

impl RoutedRequest {
    fn new(request: Request<Incoming>, names: Arc<Names>) -> Result<RoutedRequest, InvalidRequest> {
        let (head, body) = request.into_parts();
        let is_class = |class: &str| names.class(class).is_some();
        let stated = head.headers.get("x-class").map_or(b"".as_slice(), |v| v.as_bytes());
        // A class in the header that is not offered is reported as such, whatever the path.
        let is_stated_unknown = std::str::from_utf8(stated).map_or(true, |c| !c.is_empty() && !is_class(c));
        if !is_class(&fields::class_in(head.uri.path())) && !is_stated_unknown {
            return Err(InvalidRequest::UnknownPath);
        }
        if head.method != Method::POST {
            return Err(InvalidRequest::Method);
        }
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err(InvalidRequest::BodyTooLong);
        }
        Ok(RoutedRequest { head, body, names })
    }
}

/// A request with valid fields for which memory is reserved.
struct AdmittedRequest<'a> {
    head: Parts,
    body: Incoming,
    names: Arc<Names>,
    fields: dispatch_policy::api::Request,
    adopted: Option<TransferredAttempt>,
    body_memory: Option<SemaphorePermit<'a>>,
}

impl<'a> AdmittedRequest<'a> {
    async fn read_body(self, connection: &ClientConnection) -> Result<CompleteRequest<'a>, InvalidRequest> {
        let AdmittedRequest { head, body, names, fields, adopted, body_memory } = self;
        let body = Limited::new(body, BODY_MAX).collect();
        let body = match timeout_at(connection.monitor.message_deadline(), body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(InvalidRequest::BodyTooLong),
            Ok(Err(_)) => return Err(InvalidRequest::MalformedBody),
            Err(_) => return Err(InvalidRequest::BodyTimeout),
        };
        Ok(CompleteRequest { head, body, names, fields, adopted, body_memory })
    }
}

/// A request that has come whole.
struct CompleteRequest<'a> {
    head: Parts,
    body: Bytes,
    names: Arc<Names>,
    fields: dispatch_policy::api::Request,
    adopted: Option<TransferredAttempt>,
    body_memory: Option<SemaphorePermit<'a>>,
}

/// A request that the dispatcher has.
struct RequestAtWork<'a> {
    answer: oneshot::Receiver<Answer>,
    client: WaitingClient<'a>,
    _body_memory: Option<SemaphorePermit<'a>>,
}

impl RequestAtWork<'_> {
    /// Waits for the answer. Never returns where the client leaves first: this is dropped with the connection then, which
    /// tells the dispatcher.
    async fn answer(mut self) -> Response {
        let connection = self.client.connection;
        let answer = tokio::select! {
            biased;
            answer = &mut self.answer => answer,
            // The HTTP library sees a client's leaving only where nothing lies unread behind the request.
            () = connection.socket_handle.peer_closed() => {
                connection.finished.notify_one();
                std::future::pending().await
            }
        };
        self.client.is_waiting = false;
        response::of_answer(answer.ok())
    }
}

/// Tells the dispatcher when a client leaves before its answer: whatever ends the connection of a request that was accepted
/// drops this. It checks [`Invariant::Answered`].
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
        let has_moved = self.connection.is_transferred.load(Ordering::Relaxed);
        if !has_moved && !self.connection.socket_handle.is_peer_closed() {
            self.counters.violations.add(Invariant::Answered, self.id);
        }
        self.handle.client_left(self.id);
    }
}
