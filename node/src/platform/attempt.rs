//! One attempt at a worker, from its connection to its one outcome.

use super::fields::{self, WorkerUpdate};
use super::in_flight_ids::InFlightId;
use super::job_handover::{SharedAttempt, TransferredAttempt};
use super::pool::{ConnectError, Connection, Pool};
use super::send_guard::SendBlocked;
use super::socket::PeerObserver;
use super::Job;
use crate::counters::Counters;
use crate::dispatcher::{AttemptId, Handle};
use crate::names::Names;
use bytes::{Bytes, BytesMut};
use dispatch_policy::api::{LoadReport, Outcome, WorkerId};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{timeout, Instant};

/// Longest line of a worker, in bytes: its whole answer holds no more.
const LINE_MAX: usize = 64 * 1024;
/// Longest body of a worker that rejects a job, in bytes, for its connection to be kept.
const REJECTION_BODY_MAX: usize = 4096;
/// Time after a job's end in which an answer without an id may be a second answer to that job: a worker's second answer may
/// come some milliseconds behind the first.
const STRAY_ANSWER_WINDOW: Duration = Duration::from_millis(20);
/// Time for which the end of a finished answer is awaited before its connection is given up.
const ANSWER_END_WAIT: Duration = Duration::from_millis(250);

/// A request as one attempt forwards it.
pub struct AttemptRequest {
    /// The attempt's number in the dispatcher.
    pub attempt_id: AttemptId,
    /// The worker that it is for.
    pub worker: WorkerId,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// Wire id, in flight for as long as this exists.
    pub wire_id: Arc<InFlightId>,
    /// Idempotency key.
    pub idempotency_key: Option<HeaderValue>,
    /// Path and query.
    pub target: PathAndQuery,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Where its connection can be found by who moves it to another process.
    pub shared: Arc<SharedAttempt>,
    /// Its client's connection.
    pub client: Option<PeerObserver>,
}

impl AttemptRequest {
    fn to_http(&self, connection: &Connection) -> Request<Full<Bytes>> {
        let left = self.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let mut request = Request::new(Full::new(self.body.clone()));
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
            (HeaderName::from_static("x-deadline"), format!("{left:.3}")),
        ] {
            let value = HeaderValue::try_from(value).expect("addresses and numbers are plain ASCII");
            headers.insert(name, value);
        }
        request
    }
}

/// End of an attempt.
struct AttemptEnd {
    outcome: Outcome,
    report: Option<LoadReport>,
    result: Bytes,
    /// Whether it says nothing about the worker.
    is_blameless: bool,
    /// To be read before the connection is free again.
    unread: Option<UnreadAnswer>,
}

/// The rest of an answer.
struct UnreadAnswer {
    body: Incoming,
    /// Bytes that may come, white space aside, for the connection to be kept.
    limit: usize,
}

impl AttemptEnd {
    /// An end without an answer: the connection is closed.
    fn without_answer(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, report: None, result: Bytes::new(), is_blameless: false, unread: None }
    }

    /// The same, which says nothing about the worker.
    fn blameless(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { is_blameless: true, ..AttemptEnd::without_answer(outcome) }
    }
}

/// What all attempts share.
pub struct AttemptRunner {
    /// The dispatcher, which gets the outcomes.
    pub handle: Handle<Job>,
    /// Connections to workers.
    pub pool: Arc<Pool>,
    /// Names on the wire.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
}

impl AttemptRunner {
    /// Runs an attempt, or continues one of another process, and reports its one outcome.
    pub async fn run(
        self: Arc<Self>,
        request: AttemptRequest,
        adopted: Option<TransferredAttempt>,
        stopped: oneshot::Receiver<Outcome>,
    ) {
        let mut connection = None;
        let end = tokio::select! {
            biased;
            end = self.execute(&request, adopted, &mut connection) => end,
            // A sender that is dropped unused means that the dispatcher has ended.
            why = stopped => AttemptEnd::without_answer(why.unwrap_or(Outcome::Cancelled)),
        };
        if request.shared.is_transferred.load(Ordering::Relaxed) {
            return; // another process continues it
        }
        self.finish(request, connection, end).await;
    }

    /// Reports the outcome, and keeps or closes the connection.
    async fn finish(&self, request: AttemptRequest, connection: Option<Connection>, end: AttemptEnd) {
        let AttemptEnd { outcome, report, result, is_blameless, unread } = end;
        let (tag, worker) = (request.attempt_id, request.worker);
        let Some(unread) = unread else {
            // At most one copy may run: the connection is closed before the dispatcher may send a new one.
            if let Some(connection) = connection {
                connection.close().await;
            }
            return match is_blameless {
                true => self.handle.ended_not_attributable(tag, outcome),
                false => self.handle.ended(tag, outcome, report, result),
            };
        };
        drop(request); // its id is no longer in flight once the answer is out
        self.handle.ended(tag, outcome, report, result);
        if let Some(connection) = connection {
            self.keep_if_clean(worker, connection, unread).await;
        }
    }

    /// Keeps a connection whose answer ends in time and as it should.
    async fn keep_if_clean(&self, worker: WorkerId, mut connection: Connection, unread: UnreadAnswer) {
        let is_clean = timeout(ANSWER_END_WAIT, unread.ends_within_limit()).await.unwrap_or(false);
        if is_clean && connection.sender.ready().await.is_ok() {
            connection.last_request_ended_at = Some(Instant::now());
            self.pool.release(worker, connection);
        }
    }

    /// Sends the request and reads the answer. The connection is left in `slot`, also where this is cancelled.
    async fn execute(
        &self,
        request: &AttemptRequest,
        adopted: Option<TransferredAttempt>,
        slot: &mut Option<Connection>,
    ) -> AttemptEnd {
        let is_adopted = adopted.is_some();
        let connection = match self.connect(request, adopted).await {
            Ok(connection) => slot.insert(connection),
            Err(end) => return end,
        };
        if !is_adopted {
            self.arm_send_guard(connection, request);
        }
        let link = (connection.socket_handle.clone(), connection.progress.clone(), connection.address);
        *request.shared.connection.lock().unwrap_or_else(PoisonError::into_inner) = Some(link);
        let http_request = request.to_http(connection);
        let may_be_stray =
            connection.last_request_ended_at.is_some_and(|at| at.elapsed() < STRAY_ANSWER_WINDOW);
        match connection.sender.send_request(http_request).await {
            // 'It never ran' may have been said of the job before: nothing is certain of this one.
            Ok(response) if may_be_stray && response.status() != StatusCode::OK => {
                AttemptEnd::blameless(Outcome::ConnectionLost)
            }
            Ok(response) => self.read_response(request, response).await,
            Err(error) => self.send_failed(request, connection, is_adopted, &error),
        }
    }

    async fn connect(
        &self,
        request: &AttemptRequest,
        adopted: Option<TransferredAttempt>,
    ) -> Result<Connection, AttemptEnd> {
        match adopted {
            // An attempt of another process may have run.
            Some(adopted) => {
                let connection = self.pool.adopt(adopted, request.body.len()).await;
                connection.ok_or(AttemptEnd::without_answer(Outcome::ConnectionLost))
            }
            None => self.pool.acquire(request.worker).await.map_err(|error| match error {
                ConnectError::LocalResources => AttemptEnd::blameless(Outcome::ConnectFailed),
                ConnectError::Unreachable => AttemptEnd::without_answer(Outcome::ConnectFailed),
            }),
        }
    }

    /// Has the conditions for sending checked right before the request's first byte goes out.
    fn arm_send_guard(&self, connection: &Connection, request: &AttemptRequest) {
        let (shared, client, pool) = (request.shared.clone(), request.client.clone(), self.pool.clone());
        let (worker, deadline) = (request.worker, request.deadline);
        connection.guard.arm(move || {
            // Holds also where attempts may not be cancelled: of one that has not begun, nothing need go out.
            let is_unwanted = shared.is_abandoned.load(Ordering::Relaxed);
            if is_unwanted || client.is_some_and(|client| client.is_peer_closed()) {
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

    /// End of an attempt whose connection broke before an answer began.
    fn send_failed(
        &self,
        request: &AttemptRequest,
        connection: &Connection,
        is_adopted: bool,
        error: &hyper::Error,
    ) -> AttemptEnd {
        let AttemptId { request: id, attempt } = request.attempt_id;
        log::debug!(event = "attempt_broken", request = id, attempt, error:%; "no answer from the worker");
        if let Some(reason) = connection.guard.blocked_by() {
            self.counters.send_blocked.add();
            log::debug!(event = "send_blocked", request = id, attempt, reason:?; "request not sent");
            return match reason {
                SendBlocked::ClientLeft => AttemptEnd::without_answer(Outcome::Cancelled),
                SendBlocked::DeadlinePassed | SendBlocked::EndpointDraining => {
                    AttemptEnd::blameless(Outcome::ConnectFailed)
                }
            };
        }
        let progress = connection.progress.lock();
        let is_written = is_adopted || progress.map_or(true, |p| p.is_complete(request.body.len()));
        match (is_written, connection.is_reused) {
            // Some of the request surely is still here: it has not run.
            (false, _) => AttemptEnd::without_answer(Outcome::ConnectFailed),
            // Idle connections break unseen: a kept one without a word on this job says nothing about the worker.
            (true, true) => AttemptEnd::blameless(Outcome::ConnectionLost),
            (true, false) => AttemptEnd::without_answer(Outcome::ConnectionLost),
        }
    }

    async fn read_response(&self, request: &AttemptRequest, response: Response<Incoming>) -> AttemptEnd {
        let (head, body) = response.into_parts();
        if head.status == StatusCode::OK {
            self.handle.acknowledged(request.attempt_id);
            return self.read_updates(request, UpdateLines::new(body)).await;
        }
        let has_not_run = head.headers.get("x-not-run").is_some_and(|v| v == "1");
        let outcome = match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_not_run => Outcome::Rejected,
            _ => Outcome::Error,
        };
        AttemptEnd {
            report: fields::load_header(&head.headers, &self.names.borrow()),
            unread: Some(UnreadAnswer { body, limit: REJECTION_BODY_MAX }),
            ..AttemptEnd::without_answer(outcome)
        }
    }

    /// Follows the worker's updates on an accepted job to the one that ends it.
    async fn read_updates(&self, request: &AttemptRequest, mut lines: UpdateLines) -> AttemptEnd {
        let AttemptId { request: id, attempt } = request.attempt_id;
        loop {
            let line = match lines.next().await {
                Ok(line) => line,
                Err(error) => {
                    if let LineError::TooLong = error {
                        log::warn!(event = "worker_update_too_long", request = id, attempt, limit = LINE_MAX;
                            "worker update without an end: the attempt counts as broken");
                    }
                    return AttemptEnd::without_answer(Outcome::ConnectionLost);
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
                Some(WorkerUpdate::Done(result, report)) => (Outcome::Success, report, result),
                Some(WorkerUpdate::Failed(report)) => (Outcome::Error, report, Bytes::new()),
                Some(WorkerUpdate::Returned(report)) => (Outcome::Rejected, report, Bytes::new()),
                Some(WorkerUpdate::Lost(report)) => (Outcome::ConnectionLost, report, Bytes::new()),
                None => {
                    log::warn!(event = "worker_update_malformed", request = id, attempt;
                        "malformed worker update: the attempt counts as broken");
                    return AttemptEnd::without_answer(Outcome::ConnectionLost);
                }
            };
            let unread = Some(UnreadAnswer { body: lines.body, limit: 0 });
            return AttemptEnd { outcome, report, result, is_blameless: false, unread };
        }
    }
}

/// Why a worker's answer has no next line.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("a line is longer than {LINE_MAX} bytes")]
    TooLong,
    #[error("the answer broke off")]
    Broken(#[source] hyper::Error),
    #[error("the answer ended without a final update")]
    Ended,
}

/// Lines of a worker's answer, empty ones left out.
struct UpdateLines {
    body: Incoming,
    buffer: BytesMut,
}

impl UpdateLines {
    fn new(body: Incoming) -> UpdateLines {
        UpdateLines { body, buffer: BytesMut::new() }
    }

    async fn next(&mut self) -> Result<BytesMut, LineError> {
        loop {
            while let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let line = self.buffer.split_to(end + 1);
                if !line.trim_ascii().is_empty() {
                    return Ok(line);
                }
            }
            // Bounds memory.
            if self.buffer.len() > LINE_MAX {
                return Err(LineError::TooLong);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.buffer.extend_from_slice(data);
                    }
                }
                Some(Err(error)) => return Err(LineError::Broken(error)),
                // The last line may lack its line end.
                None if !self.buffer.trim_ascii().is_empty() => self.buffer.extend_from_slice(b"\n"),
                None => return Err(LineError::Ended),
            }
        }
    }
}

impl UnreadAnswer {
    /// Whether the answer ends with no more than its limit.
    async fn ends_within_limit(mut self) -> bool {
        let mut seen = 0;
        loop {
            match self.body.frame().await {
                None => return true,
                Some(Ok(frame)) => seen += frame.data_ref().map_or(0, |d| d.trim_ascii().len()),
                Some(Err(_)) => return false,
            }
            if seen > self.limit {
                return false;
            }
        }
    }
}
