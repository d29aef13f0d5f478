//! Transfer of running requests during a process handover: the successor receives the sockets of client and
//! worker, and replays the request and the response so far into its own connections.

use super::monitored_stream::MessageMonitor;
use super::request_progress::SharedProgress;
use super::socket::SocketHandle;
use super::Job;
use crate::dispatcher::{AttemptStart, Handle};
use crate::names::Names;
use crate::process_handover::FrozenJob;
use bytes::Bytes;
use dispatch_policy::api::{Outcome, Request, WorkerId};
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
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
    /// Whether the connection belongs to another process now.
    pub is_transferred: Arc<AtomicBool>,
}

/// The dispatcher's handle to an attempt.
pub struct AttemptHandle {
    /// Ends the attempt with this outcome.
    pub stop: oneshot::Sender<Outcome>,
    /// State shared with the attempt.
    pub shared: Arc<SharedAttempt>,
}

/// State of an attempt that the dispatcher reads and sets while the attempt runs.
#[derive(Default)]
pub struct SharedAttempt {
    /// Socket, progress and worker address of the connection, once there is one.
    pub connection: Mutex<Option<(SocketHandle, SharedProgress, SocketAddr)>>,
    /// Whether another process continues the attempt and reports its outcome.
    pub is_transferred: AtomicBool,
    /// Whether the client has disconnected: the request need not be sent any more.
    pub is_abandoned: AtomicBool,
}

/// A running request as it is sent to another process, apart from its two sockets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob {
    /// The class, by name.
    pub class: String,
    /// The tenant, by name; empty if tenants are not configured.
    pub tenant: String,
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
    #[serde(rename = "left")]
    time_left: Duration,
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
}

impl TransferredJob {
    /// Freezes a running request and collects its state, if it can be transferred.
    pub fn freeze(
        start: &AttemptStart,
        job: &Job,
        attempt: &AttemptHandle,
        names: &Names,
    ) -> Option<(TransferredJob, SocketHandle, SocketHandle)> {
        let client = job.client.as_ref()?;
        let connection = attempt.shared.connection.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (socket_handle, progress, address) = connection?;
        let response = progress
            .lock()
            .ok()
            .filter(|p| p.is_complete(job.body.len()))
            .and_then(|p| p.response_so_far())?;
        if !client.message_monitor.is_between_messages()
            || !client.socket_handle.is_replay_done()
            || !socket_handle.is_replay_done()
        {
            return None;
        }
        let text = |value: &hyper::header::HeaderValue| value.to_str().ok().map(String::from);
        let Request { work_hint_us: cost_hint_us, is_retry, slots, memory, .. } = job.fields;
        let transferred = TransferredJob {
            class: names.classes.get(job.fields.class)?.clone(),
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
            worker: (
                start.worker.0,
                address,
                start.sent_at.elapsed(),
                start.started_at.map(|at| at.elapsed()),
            ),
            response,
        };
        client.socket_handle.freeze();
        socket_handle.freeze();
        Some((transferred, client.socket_handle.clone(), socket_handle))
    }

    /// Adjusts the durations after this delay.
    fn delayed_by(mut self, delay: Duration) -> TransferredJob {
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

    /// Wire id of the request.
    pub fn wire_id(&self) -> &str {
        &self.wire_id
    }

    /// The attempt to continue over this socket, which is connected to the worker.
    pub fn to_attempt(&self, socket: OwnedFd) -> TransferredAttempt {
        let (worker, address, since_sent, since_started) = self.worker;
        let ago = |duration: Duration| Instant::now().checked_sub(duration).unwrap_or_else(Instant::now);
        let start = AttemptStart {
            worker: WorkerId(worker),
            sent_at: ago(since_sent),
            started_at: since_started.map(ago),
            deadline: Instant::now() + self.time_left,
        };
        TransferredAttempt { socket, address, response: self.response.clone(), start }
    }
}

/// Prepares the transfer of a frozen request, and what happens to the request here when the transfer ends.
pub fn frozen_job(
    handle: &Handle<Job>,
    attempt_id: crate::dispatcher::AttemptId,
    job: &Job,
    attempt: &AttemptHandle,
    (transferred, client, worker): (TransferredJob, SocketHandle, SocketHandle),
) -> Option<FrozenJob> {
    let client_handle = job.client.as_ref()?;
    let (handle, shared, finished) = (handle.clone(), attempt.shared.clone(), client_handle.finished.clone());
    let is_client_transferred = client_handle.is_transferred.clone();
    let socket_handles = [client, worker];
    let finish = {
        let socket_handles = socket_handles.clone();
        Box::new(move |is_accepted: bool| {
            if is_accepted {
                shared.is_transferred.store(true, Ordering::Relaxed);
                is_client_transferred.store(true, Ordering::Relaxed);
                handle.transferred(attempt_id);
                finished.notify_one();
            } else {
                socket_handles.iter().for_each(SocketHandle::thaw);
            }
        })
    };
    // Requests are transferred one after the other: the time since the freeze is deducted from the time left
    // to the client, which further attempts also pass on.
    let (frozen_at, transferred) = (Instant::now(), transferred);
    let to_json = Box::new(move || serde_json::to_string(&transferred.delayed_by(frozen_at.elapsed())).ok());
    Some(FrozenJob { to_json, sockets: socket_handles, finish })
}
