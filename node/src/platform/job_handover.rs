//! Transfer of running requests during a process handover: the successor receives the sockets of client and
//! worker, and replays the request and the response so far into its own connections.

use super::monitored_stream::MessageMonitor;
use super::request_ownership::RequestOwnership;
use super::request_progress::SharedProgress;
use super::socket::SocketHandle;
use super::Job;
use crate::class_rules::ClassRules;
use crate::dispatcher::{AttemptId, AttemptStart};
use crate::monotonic;
use crate::names::Names;
use bytes::Bytes;
use dispatch_policy::api::{Outcome, Request, WorkerId};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

/// Handle to a client's connection, for a transfer to another process.
#[derive(Clone)]
pub struct ClientHandle {
    /// The socket.
    pub socket_handle: SocketHandle,
    /// Tells whether the connection is between two messages.
    pub message_monitor: MessageMonitor,
    /// Notified when the connection was transferred, or its client has disconnected.
    pub finished: Arc<Notify>,
    /// Owner of its request, once that was offered to another process.
    transfer: Arc<Mutex<Option<RequestOwnership>>>,
}

impl ClientHandle {
    /// Creates the handle to a connection with this socket.
    pub fn new(socket_handle: SocketHandle, message_monitor: MessageMonitor) -> ClientHandle {
        ClientHandle { socket_handle, message_monitor, finished: Arc::default(), transfer: Arc::default() }
    }

    /// Records that its request is offered to another process.
    pub fn begin_transfer(&self, ownership: RequestOwnership) {
        *self.transfer.lock().unwrap_or_else(PoisonError::into_inner) = Some(ownership);
    }

    fn transfer(&self) -> Option<RequestOwnership> {
        self.transfer.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether its request belongs to another process.
    pub fn is_elsewhere(&self) -> bool {
        self.transfer().is_some_and(|ownership| ownership.owner().is_elsewhere())
    }

    /// Waits until it is decided which process answers its request; returns whether this one does.
    pub async fn may_answer(&self) -> bool {
        match self.transfer() {
            Some(ownership) => ownership.may_answer().await,
            None => true,
        }
    }
}

/// The dispatcher's handle to an attempt.
pub struct AttemptHandle {
    /// Ends the attempt with this outcome.
    pub stop: oneshot::Sender<Outcome>,
    /// State shared with the attempt.
    pub shared: Arc<SharedAttempt>,
}

/// Connection of an attempt to its worker, for a transfer to another process.
#[derive(Clone)]
pub struct AttemptConnection {
    /// The socket.
    pub socket: SocketHandle,
    /// How much of the request was written, and what was read of the response.
    pub progress: SharedProgress,
    /// Address of the worker.
    pub address: SocketAddr,
}

/// State of an attempt that the dispatcher reads and sets while the attempt runs.
pub struct SharedAttempt {
    /// Owner of the attempt and its request.
    pub ownership: RequestOwnership,
    /// Its connection, once there is one.
    pub connection: Mutex<Option<AttemptConnection>>,
    /// Whether the client has disconnected: the request need not be sent any more.
    pub is_abandoned: AtomicBool,
}

impl SharedAttempt {
    /// Creates the state of an attempt that has no connection yet.
    pub fn new(attempt_id: AttemptId) -> SharedAttempt {
        SharedAttempt {
            ownership: RequestOwnership::new(attempt_id),
            connection: Mutex::default(),
            is_abandoned: AtomicBool::default(),
        }
    }
}

/// Rules under which a request was accepted, which hold for it in every process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RequestRules {
    /// Rules of its class.
    class: ClassRules,
    /// Maximum number of its attempts.
    #[serde(rename = "attempts")]
    max_attempts: u32,
}

/// Numbers of a request's class and tenant in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNumbers {
    /// Number of the class.
    pub class: usize,
    /// Number of the tenant; 0 if tenants are not configured.
    pub tenant: usize,
}

/// Why this process does not continue a request of another process, which stays there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdoptionError {
    /// The request comes without its rules, as from an earlier version.
    #[error("the request comes without its rules")]
    UnknownRules,
    /// No class has the rules under which the request was accepted.
    #[error("no class has the rules of the request")]
    DifferentRules,
    /// The tenant is not configured.
    #[error("the tenant is unknown")]
    UnknownTenant,
}

/// A running request as it is sent to another process, apart from its two sockets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob {
    /// The class, by name, for processes of earlier versions.
    class: String,
    /// The rules of the request; `None` from a process of an earlier version.
    #[serde(default)]
    rules: Option<RequestRules>,
    /// The tenant, by name; empty if tenants are not configured.
    tenant: String,
    target: String,
    #[serde(rename = "id")]
    wire_id: String,
    #[serde(rename = "key")]
    idempotency_key: Option<String>,
    body: Bytes,
    #[serde(rename = "hint_us")]
    cost_hint_us: Option<u64>,
    #[serde(rename = "retry")]
    is_retry: bool,
    slots: f64,
    memory: f64,
    /// Time left to the client when the request was sent.
    #[serde(rename = "left")]
    time_left: Duration,
    /// When the request was sent, by the monotonic clock of the machine, which both processes read.
    #[serde(rename = "at", default)]
    sent_at: Option<Duration>,
    /// Worker, its address, and the times since the request was sent to it and since it started the execution.
    worker: (u64, SocketAddr, Duration, Option<Duration>),
    #[serde(rename = "said")]
    response: Bytes,
}

/// An attempt that another process started and this one continues.
pub struct TransferredAttempt {
    /// Socket of the connection to the worker.
    pub socket: OwnedFd,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Response received so far.
    pub response: Bytes,
    /// Start of the attempt, for the dispatcher.
    pub start: AttemptStart,
    /// Class and tenant of its request.
    pub numbers: RequestNumbers,
}

impl TransferredJob {
    /// Collects the state of a running request, and the socket of its worker, if it can be transferred.
    pub fn collect(
        start: &AttemptStart,
        job: &Job,
        attempt: &AttemptHandle,
        names: &Names,
    ) -> Option<(TransferredJob, SocketHandle)> {
        let client = job.client.as_ref()?;
        let connection = attempt.shared.connection.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let AttemptConnection { socket, progress, address } = connection?;
        let response = progress
            .lock()
            .ok()
            .filter(|p| p.is_complete(job.body.len()))
            .and_then(|p| p.response_so_far())?;
        if !client.message_monitor.is_between_messages()
            || !client.socket_handle.is_replay_done()
            || !socket.is_replay_done()
        {
            return None;
        }
        let text = |value: &hyper::header::HeaderValue| value.to_str().ok().map(String::from);
        let Request { work_hint_us: cost_hint_us, is_retry, slots, memory, .. } = job.fields;
        let class_rules = names.class_rules.get(job.fields.class)?.clone();
        let transferred = TransferredJob {
            class: class_rules.name().to_string(),
            rules: Some(RequestRules { class: class_rules, max_attempts: start.max_attempts }),
            tenant: names.tenants.get(job.fields.tenant).cloned().unwrap_or_default(),
            target: job.target.to_string(),
            wire_id: text(&job.id.value)?,
            idempotency_key: match &job.idempotency_key {
                Some(key) => Some(text(key)?),
                None => None,
            },
            body: job.body.clone(),
            cost_hint_us,
            is_retry,
            slots,
            memory,
            time_left: start.deadline.saturating_duration_since(Instant::now()),
            sent_at: None,
            worker: (
                start.worker.0,
                address,
                start.sent_at.elapsed(),
                start.started_at.map(|at| at.elapsed()),
            ),
            response,
        };
        Some((transferred, socket))
    }

    /// Records that the durations hold now.
    pub fn with_send_time(self) -> TransferredJob {
        TransferredJob { sent_at: Some(monotonic::now()), ..self }
    }

    /// Adjusts the durations after the time that the request waited on its way to this process.
    pub fn after_transit(self) -> TransferredJob {
        let transit = self.sent_at.map_or(Duration::ZERO, monotonic::elapsed_since);
        self.delayed_by(transit)
    }

    /// Adjusts the durations after this delay.
    pub fn delayed_by(mut self, delay: Duration) -> TransferredJob {
        self.time_left = self.time_left.saturating_sub(delay);
        let (_, _, since_sent, since_started) = &mut self.worker;
        *since_sent += delay;
        *since_started = since_started.map(|since| since + delay);
        self
    }

    /// The HTTP request as the client would send it now.
    pub fn to_request_bytes(&self) -> Vec<u8> {
        let mut head = format!("POST {} HTTP/1.1\r\nX-Request-Id: {}\r\n", self.target, self.wire_id);
        let mut add_header = |name: &str, value: &dyn std::fmt::Display| {
            let _ = write!(head, "{name}: {value}\r\n"); // writing to a string does not fail
        };
        add_header("X-Deadline", &format_args!("{:.6}", self.time_left.as_secs_f64().max(1e-6)));
        add_header("X-Extras", &format_args!("slots={},memory={}", self.slots, self.memory));
        if !self.tenant.is_empty() {
            add_header("X-Tenant", &self.tenant);
        }
        if let Some(key) = &self.idempotency_key {
            add_header("Idempotency-Key", key);
        }
        if let Some(hint) = self.cost_hint_us {
            add_header("X-Cost-Hint", &hint);
        }
        if self.is_retry {
            add_header("X-Retry", &1);
        }
        add_header("Content-Length", &self.body.len());
        head.push_str("\r\n");
        let mut request = head.into_bytes();
        request.extend_from_slice(&self.body);
        request
    }

    /// Numbers of the request's class and tenant in this process.
    ///
    /// # Errors
    /// If this process has no class with exactly the rules of the request, or not its tenant.
    pub fn numbers(&self, names: &Names) -> Result<RequestNumbers, AdoptionError> {
        let rules = self.rules.as_ref().ok_or(AdoptionError::UnknownRules)?;
        let class = names.class_with_rules(&rules.class).ok_or(AdoptionError::DifferentRules)?;
        let tenant = names.request_tenant(&self.tenant).ok_or(AdoptionError::UnknownTenant)?;
        Ok(RequestNumbers { class, tenant })
    }

    /// Wire id of the request.
    pub fn wire_id(&self) -> &str {
        &self.wire_id
    }

    /// The attempt to continue over this socket, which is connected to the worker, for a request with these numbers.
    pub fn to_attempt(&self, socket: OwnedFd, numbers: RequestNumbers) -> TransferredAttempt {
        let (worker, address, since_sent, since_started) = self.worker;
        let ago = |duration: Duration| Instant::now().checked_sub(duration).unwrap_or_else(Instant::now);
        let start = AttemptStart {
            worker: WorkerId(worker),
            sent_at: ago(since_sent),
            started_at: since_started.map(ago),
            deadline: Instant::now() + self.time_left,
            max_attempts: self.rules.as_ref().map_or(1, |rules| rules.max_attempts),
        };
        TransferredAttempt { socket, address, response: self.response.clone(), start, numbers }
    }
}
