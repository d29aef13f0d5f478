//! One attempt at a worker: connects, sends the request, reads the response and reports one outcome.

use super::answer_memory::{AnswerMemory, SharedAnswerMemory};
use super::fields::{self, WorkerUpdate};
use super::in_flight_ids::InFlightId;
use super::job_handover::{AttemptConnection, SharedAttempt, TransferredAttempt};
use super::pool::{ConnectError, Connection, Pool};
use super::send_guard::SendBlocked;
use super::sliced_body::SlicedBody;
use super::socket::PeerObserver;
use super::worker_response::{LineError, UnreadResponse, UpdateLines, LINE_MAX};
use super::Job;
use crate::counters::Counters;
use crate::dispatcher::{AttemptId, Handle};
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::{LoadReport, Outcome, WorkerId};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout, Instant};

/// Longest body, in bytes, of a response other than 200 after which the connection is reused.
const REJECTION_BODY_MAX: usize = 4096;
/// Time after a request's end in which a response without an id may be a second one to that request. A worker
/// may send it some milliseconds after the first.
const STRAY_RESPONSE_WINDOW: Duration = Duration::from_millis(20);
/// Time to wait for the end of a response whose outcome is known; its connection is closed after it.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_millis(250);

/// A request as an attempt forwards it.
pub struct AttemptRequest {
    /// The attempt's identity in the dispatcher.
    pub attempt_id: AttemptId,
    /// The worker that it is sent to.
    pub worker: WorkerId,
    /// The client's deadline.
    pub deadline: Instant,
    /// Wire id, which counts as in flight until this is dropped.
    pub wire_id: Arc<InFlightId>,
    /// Idempotency key, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// Path and query.
    pub target: PathAndQuery,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// State of the attempt that is shared with [`AttemptHandle`](super::job_handover::AttemptHandle).
    pub shared: Arc<SharedAttempt>,
    /// Observes whether the client has closed its connection.
    pub client: Option<PeerObserver>,
}

impl AttemptRequest {
    fn to_http(&self, connection: &Connection) -> Request<SlicedBody> {
        let time_left = self.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(SlicedBody::new(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        headers.insert("x-request-id", self.wire_id.value.clone());
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        for (name, value) in [
            (HOST, connection.address.to_string()),
            (HeaderName::from_static("x-deadline"), format!("{time_left:.3}")),
        ] {
            let value = HeaderValue::try_from(value).expect("addresses and numbers are printable ASCII");
            headers.insert(name, value);
        }
        request
    }
}

/// How an attempt ended.
struct AttemptEnd {
    outcome: Outcome,
    report: Option<LoadReport>,
    result: Bytes,
    /// Whether the outcome is not evidence about the worker.
    not_attributable: bool,
    /// Rest of the response, to be read before the connection is reused; `None` closes the connection.
    unread: Option<UnreadResponse>,
}

impl AttemptEnd {
    /// An end after which the connection is closed.
    fn without_response(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, report: None, result: Bytes::new(), not_attributable: false, unread: None }
    }

    /// An end after which the connection is closed, and which is not evidence about the worker.
    fn not_attributable(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { not_attributable: true, ..AttemptEnd::without_response(outcome) }
    }
}

/// Dependencies that all attempts share.
pub struct AttemptRunner {
    /// The dispatcher, which receives the outcomes.
    pub handle: Handle<Job>,
    /// Connections to workers.
    pub pool: Arc<Pool>,
    /// Names of classes and tenants, and limits, from the settings.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Memory for large answers.
    pub answer_memory: SharedAnswerMemory,
}

impl AttemptRunner {
    /// Runs an attempt, or continues one that another process started, and reports its outcome.
    pub async fn run(
        self: Arc<Self>,
        request: AttemptRequest,
        adopted: Option<TransferredAttempt>,
        stop: oneshot::Receiver<Outcome>,
    ) {
        let mut connection = None;
        let end = tokio::select! {
            biased;
            end = self.exchange(&request, adopted, &mut connection) => end,
            // The sender is dropped without a value when the dispatcher ends.
            outcome = stop => AttemptEnd::without_response(outcome.unwrap_or(Outcome::Cancelled)),
        };
        // An outcome that comes while the request is offered to another process waits for the decision.
        if !request.shared.ownership.end_attempt().await {
            request.wire_id.mark_may_have_run();
            return; // another process continues the attempt and reports its outcome
        }
        let has_sent = connection.as_ref().is_some_and(|connection| connection.guard.has_passed());
        if has_sent && !end.outcome.proves_not_executed() {
            request.wire_id.mark_may_have_run();
        }
        self.report(request, connection, end).await;
    }

    /// Reports the outcome, and returns the connection to the pool or closes it.
    async fn report(&self, request: AttemptRequest, connection: Option<Connection>, end: AttemptEnd) {
        let AttemptEnd { outcome, report, result, not_attributable, unread } = end;
        let (attempt_id, worker) = (request.attempt_id, request.worker);
        let Some(unread) = unread else {
            // At most one copy may be executed: closed before the dispatcher can start another attempt.
            if let Some(connection) = connection {
                connection.close().await;
            }
            return match not_attributable {
                true => self.handle.ended_not_attributable(attempt_id, outcome),
                false => self.handle.ended(attempt_id, outcome, report, result),
            };
        };
        drop(request); // releases the wire id before the client can receive its answer
        self.handle.ended(attempt_id, outcome, report, result);
        if let Some(connection) = connection {
            self.release_if_ended(worker, connection, unread).await;
        }
    }

    /// Returns the connection to the pool if the response ends in time and within its limit, or closes it.
    async fn release_if_ended(&self, worker: WorkerId, mut connection: Connection, unread: UnreadResponse) {
        let has_ended = timeout(RESPONSE_END_TIMEOUT, unread.ends_within_limit()).await.unwrap_or(false);
        if has_ended && connection.sender.ready().await.is_ok() {
            connection.last_request_ended_at = Some(Instant::now());
            self.pool.release(worker, connection);
        }
    }

    /// Sends the request and reads the response. Leaves the connection in `opened`, even if cancelled.
    async fn exchange(
        &self,
        request: &AttemptRequest,
        adopted: Option<TransferredAttempt>,
        opened: &mut Option<Connection>,
    ) -> AttemptEnd {
        let is_adopted = adopted.is_some();
        let connection = match self.acquire_connection(request, adopted).await {
            Ok(connection) => opened.insert(connection),
            Err(end) => return end,
        };
        if !is_adopted {
            self.arm_send_guard(connection, request);
        }
        let shared = AttemptConnection {
            socket: connection.socket_handle.clone(),
            progress: connection.progress.clone(),
            address: connection.address,
        };
        *request.shared.connection.lock().unwrap_or_else(PoisonError::into_inner) = Some(shared);
        let http_request = request.to_http(connection);
        let may_be_stray =
            connection.last_request_ended_at.is_some_and(|at| at.elapsed() < STRAY_RESPONSE_WINDOW);
        match connection.sender.send_request(http_request).await {
            // Possibly a second response to the previous request: 'not executed' is no proof for this one.
            Ok(response) if may_be_stray && response.status() != StatusCode::OK => {
                AttemptEnd::not_attributable(Outcome::ConnectionLost)
            }
            Ok(response) => self.read_response(request, response).await,
            Err(error) => self.end_of_failed_send(request, connection, is_adopted, &error),
        }
    }

    async fn acquire_connection(
        &self,
        request: &AttemptRequest,
        adopted: Option<TransferredAttempt>,
    ) -> Result<Connection, AttemptEnd> {
        match adopted {
            // The attempt that another process started may have been executed.
            Some(adopted) => {
                let connection = self.pool.adopt(adopted, request.body.len()).await;
                connection.ok_or(AttemptEnd::without_response(Outcome::ConnectionLost))
            }
            None => self.pool.acquire(request.worker).await.map_err(|error| match error {
                ConnectError::LocalResources => AttemptEnd::not_attributable(Outcome::ConnectFailed),
                ConnectError::Unreachable => AttemptEnd::without_response(Outcome::ConnectFailed),
            }),
        }
    }

    /// Arms the check that is made right before the request's first byte is written.
    fn arm_send_guard(&self, connection: &Connection, request: &AttemptRequest) {
        let (shared, client, pool) = (request.shared.clone(), request.client.clone(), self.pool.clone());
        let (worker, deadline) = (request.worker, request.deadline);
        connection.guard.arm(move || {
            // Applies also where attempts in flight may not be cancelled: this request has not been sent.
            let is_abandoned = shared.is_abandoned.load(Ordering::Relaxed);
            if is_abandoned || client.is_some_and(|client| client.is_peer_closed()) {
                return Err(SendBlocked::ClientLeft);
            }
            if Instant::now() >= deadline {
                return Err(SendBlocked::DeadlinePassed);
            }
            if !pool.accepts_new_requests(worker) {
                return Err(SendBlocked::EndpointDraining);
            }
            Ok(())
        });
    }

    /// Determines the end of an attempt whose connection failed before a response began.
    fn end_of_failed_send(
        &self,
        request: &AttemptRequest,
        connection: &Connection,
        is_adopted: bool,
        error: &hyper::Error,
    ) -> AttemptEnd {
        let AttemptId { request: id, attempt } = request.attempt_id;
        log::debug!(event = "attempt_broken", request = id, attempt, error:%; "no response from the worker");
        if let Some(reason) = connection.guard.block_reason() {
            self.counters.send_blocked.add();
            log::debug!(event = "send_blocked", request = id, attempt, reason:?; "request not sent");
            return match reason {
                SendBlocked::ClientLeft => AttemptEnd::without_response(Outcome::Cancelled),
                SendBlocked::DeadlinePassed | SendBlocked::EndpointDraining => {
                    AttemptEnd::not_attributable(Outcome::ConnectFailed)
                }
            };
        }
        let progress = connection.progress.lock();
        let is_written = is_adopted || progress.map_or(true, |p| p.is_complete(request.body.len()));
        match (is_written, connection.is_reused) {
            // The request was not written completely, so it was not executed.
            (false, _) => AttemptEnd::without_response(Outcome::ConnectFailed),
            // An idle connection can break unnoticed: its failure is not evidence about the worker.
            (true, true) => AttemptEnd::not_attributable(Outcome::ConnectionLost),
            (true, false) => AttemptEnd::without_response(Outcome::ConnectionLost),
        }
    }

    async fn read_response(&self, request: &AttemptRequest, response: Response<Incoming>) -> AttemptEnd {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            self.handle.acknowledged(request.attempt_id);
            return self
                .read_updates(request, UpdateLines::new(body, AnswerMemory::new(self.answer_memory.clone())))
                .await;
        }
        let is_not_executed = head.headers.get("x-not-run").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_executed => {
                Outcome::Rejected
            }
            _ => Outcome::Error,
        };
        AttemptEnd {
            report: fields::parse_load_header(&head.headers, &self.names.borrow()),
            unread: Some(UnreadResponse::new(body, REJECTION_BODY_MAX)),
            ..AttemptEnd::without_response(outcome)
        }
    }

    /// Reads the worker's updates on a request that it has accepted, up to the final one.
    async fn read_updates(&self, request: &AttemptRequest, mut lines: UpdateLines) -> AttemptEnd {
        let AttemptId { request: id, attempt } = request.attempt_id;
        loop {
            let line = match lines.next().await {
                Ok(line) => line,
                Err(error) => {
                    match error {
                        LineError::TooLong => {
                            log::warn!(event = "worker_update_too_long", request = id, attempt, limit = LINE_MAX;
                                "worker update is too long; attempt counted as connection lost");
                        }
                        LineError::NoMemory(_) | LineError::Timeout => {
                            log::warn!(event = "worker_update_not_read", request = id, attempt, error:%;
                                "worker update not read; attempt counted as connection lost");
                        }
                        LineError::Broken(_) | LineError::Ended => {}
                    }
                    return AttemptEnd::without_response(Outcome::ConnectionLost);
                }
            };
            let update = fields::parse_update(&line, request.wire_id.value.as_bytes(), &self.names.borrow());
            let (outcome, report, result) = match update {
                Some(WorkerUpdate::Started) => {
                    self.handle.started(request.attempt_id);
                    continue;
                }
                Some(WorkerUpdate::Running(done)) => {
                    self.handle.progress(request.attempt_id, done);
                    continue;
                }
                Some(WorkerUpdate::Done(result, report)) => {
                    (Outcome::Success, report, lines.hold_memory(result))
                }
                Some(WorkerUpdate::Failed(report)) => (Outcome::Error, report, Bytes::new()),
                Some(WorkerUpdate::Returned(report)) => (Outcome::Rejected, report, Bytes::new()),
                Some(WorkerUpdate::Lost(report)) => (Outcome::ConnectionLost, report, Bytes::new()),
                None => {
                    log::warn!(event = "worker_update_malformed", request = id, attempt;
                        "malformed worker update; attempt counted as connection lost");
                    return AttemptEnd::without_response(Outcome::ConnectionLost);
                }
            };
            let unread = Some(lines.into_unread());
            return AttemptEnd { outcome, report, result, not_attributable: false, unread };
        }
    }
}
