//! Jobs that run while another process takes the node's place go on there: their client's and their worker's socket
//! with what either has said so far, which the new process plays back into connections of its own.

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

/// A client's connection, for who may move it.
#[derive(Clone)]
pub struct ClientHandle {
    /// Its socket.
    pub socket_handle: SocketHandle,
    /// Where its messages end.
    pub message_monitor: MessageMonitor,
    /// Told once nothing more is to be done with it here: it has moved, or its client has left.
    pub finished: Arc<Notify>,
    /// It is another process's.
    pub is_transferred: Arc<AtomicBool>,
}

/// The core's hold on an attempt.
pub struct AttemptHandle {
    /// Ends it.
    pub stop: oneshot::Sender<Outcome>,
    /// Its connection.
    pub shared: Arc<SharedAttempt>,
}

/// An attempt's connection, once there is one, and whether it has moved.
#[derive(Default)]
pub struct SharedAttempt {
    /// The socket, what has passed over it, and where it leads.
    pub connection: Mutex<Option<(SocketHandle, SharedProgress, SocketAddr)>>,
    /// It is another process's: its end is not this one's to report.
    pub is_transferred: AtomicBool,
    /// Its client has left: what is not on its way need not go.
    pub is_abandoned: AtomicBool,
}

/// A job on its way, beside its two sockets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TransferredJob {
    /// The class, by name.
    pub class: String,
    /// The tenant, by name; empty where there are none.
    pub tenant: String,
    target: String,
    id: String,
    key: Option<String>,
    body: Bytes,
    hint_us: Option<u64>,
    retry: bool,
    slots: f64,
    memory: f64,
    left: Duration,
    /// The worker, where it listens, and how long ago it was sent the job and started it.
    worker: (u64, SocketAddr, Duration, Option<Duration>),
    said: Bytes,
}

/// What goes on here of an attempt that another process made.
pub struct TransferredAttempt {
    /// Its socket, with what its worker said so far.
    pub socket: OwnedFd,
    /// Where the worker listens.
    pub address: SocketAddr,
    /// What the worker said.
    pub response: Bytes,
    /// What the module is told.
    pub start: AttemptStart,
}

impl TransferredJob {
    /// Freezes a running job and takes it up, if all of it can move.
    pub fn freeze(
        sent: &AttemptStart,
        job: &Job,
        hold: &AttemptHandle,
        names: &Names,
    ) -> Option<(TransferredJob, SocketHandle, SocketHandle)> {
        let client = job.client.as_ref()?;
        let link = hold.shared.connection.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let (socket_handle, meter, address) = link?;
        let said =
            meter.lock().ok().filter(|m| m.is_complete(job.body.len())).and_then(|m| m.response_so_far())?;
        if !client.message_monitor.is_between_messages()
            || !client.socket_handle.is_replay_done()
            || !socket_handle.is_replay_done()
        {
            return None;
        }
        let text = |value: &hyper::header::HeaderValue| value.to_str().ok().map(String::from);
        let Request { work_hint_us: hint_us, is_retry: retry, slots, memory, .. } = job.fields;
        let moving = TransferredJob {
            class: names.classes.get(job.fields.class)?.clone(),
            tenant: names.tenants.get(job.fields.tenant).cloned().unwrap_or_default(),
            target: job.target.to_string(),
            id: text(&job.id.value)?,
            key: match &job.key {
                Some(key) => Some(text(key)?),
                None => None,
            },
            body: job.body.clone(),
            hint_us,
            retry,
            slots,
            memory,
            left: sent.deadline.saturating_duration_since(Instant::now()),
            worker: (sent.worker.0, address, sent.sent_at.elapsed(), sent.started_at.map(|at| at.elapsed())),
            said,
        };
        client.socket_handle.freeze();
        socket_handle.freeze();
        Some((moving, client.socket_handle.clone(), socket_handle))
    }

    /// The same, this much later.
    fn delayed_by(mut self, span: Duration) -> TransferredJob {
        self.left = self.left.saturating_sub(span);
        let (_, _, sent, started) = &mut self.worker;
        *sent += span;
        *started = started.map(|ago| ago + span);
        self
    }

    /// The request as its client might have written it now.
    pub fn to_request_bytes(&self) -> Vec<u8> {
        let mut head = format!("POST {} HTTP/1.1\r\nX-Request-Id: {}\r\n", self.target, self.id);
        let mut field = |name: &str, value: &dyn std::fmt::Display| {
            let _ = write!(head, "{name}: {value}\r\n"); // a string takes all
        };
        field("X-Deadline", &format_args!("{:.6}", self.left.as_secs_f64().max(1e-6)));
        field("X-Extras", &format_args!("slots={},memory={}", self.slots, self.memory));
        if !self.tenant.is_empty() {
            field("X-Tenant", &self.tenant);
        }
        if let Some(key) = &self.key {
            field("Idempotency-Key", key);
        }
        if let Some(hint) = self.hint_us {
            field("X-Cost-Hint", &hint);
        }
        if self.retry {
            field("X-Retry", &1);
        }
        field("Content-Length", &self.body.len());
        head.push_str("\r\n");
        let mut request = head.into_bytes();
        request.extend_from_slice(&self.body);
        request
    }

    /// Its wire id.
    pub fn wire_id(&self) -> &str {
        &self.id
    }

    /// Its attempt, with the worker's socket.
    pub fn to_attempt(&self, socket: OwnedFd) -> TransferredAttempt {
        let (worker, address, at, started) = self.worker;
        let ago = |span: Duration| Instant::now().checked_sub(span).unwrap_or_else(Instant::now);
        let start = AttemptStart {
            worker: WorkerId(worker),
            sent_at: ago(at),
            started_at: started.map(ago),
            deadline: Instant::now() + self.left,
        };
        TransferredAttempt { socket, address, response: self.said.clone(), start }
    }
}

/// What the core's front gives to the other process, and what becomes of the job here.
pub fn frozen_job(
    handle: &Handle<Job>,
    tag: crate::dispatcher::AttemptId,
    job: &Job,
    hold: &AttemptHandle,
    (moving, client, worker): (TransferredJob, SocketHandle, SocketHandle),
) -> Option<FrozenJob> {
    let connection = job.client.as_ref()?;
    let (handle, shared, finished) = (handle.clone(), hold.shared.clone(), connection.finished.clone());
    let client_moved = connection.is_transferred.clone();
    let socket_handles = [client, worker];
    let finish = {
        let socket_handles = socket_handles.clone();
        Box::new(move |taken: bool| {
            if taken {
                shared.is_transferred.store(true, Ordering::Relaxed);
                client_moved.store(true, Ordering::Relaxed);
                handle.transferred(tag);
                finished.notify_one();
            } else {
                socket_handles.iter().for_each(SocketHandle::thaw);
            }
        })
    };
    // Guards the client's wait, and what further workers are told of it: jobs go one after the other.
    let (taken_up, moving) = (Instant::now(), moving);
    let to_json = Box::new(move || serde_json::to_string(&moving.delayed_by(taken_up.elapsed())).ok());
    Some(FrozenJob { to_json, sockets: socket_handles, finish })
}
