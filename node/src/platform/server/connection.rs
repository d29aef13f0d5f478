//! Client connection: serves its requests and decides when to close it.

use super::super::connection_slots::Slot;
use super::super::job_handover::{self, TransferredAttempt};
use super::super::monitored_stream::{MessageMonitor, MonitoredStream};
use super::super::socket::Socket;
use super::request::BODY_MAX;
use super::response::{RequestError, Response, ShedReason};
use super::Server;
use crate::message_body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::timeout;

/// Maximum size of a connection's buffers for request heads and answers, in bytes. Bodies are read in chunks
/// of at most this size.
const BUFFER_SIZE_MAX: usize = 16 * 1024;
/// Time for which an evicted connection may continue to send its last answer, or to complete its request.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// State that the requests of one connection share.
pub struct ClientConnection {
    /// Monitor of its message boundaries.
    pub monitor: MessageMonitor,
    /// Connection slot that it holds.
    pub slot: Slot,
    /// Its socket and what else is needed to transfer it to a successor.
    pub client: job_handover::ClientHandle,
    /// Number of requests so far.
    request_count: AtomicU64,
    /// Attempt of the predecessor that the first request continues.
    adopted: Mutex<Option<TransferredAttempt>>,
    /// Upper bound of the time that the first request waited before the connection was accepted.
    accept_delay: Duration,
}

/// Reason for which this process closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// A new connection needs its slot, and no request of it was ever answered.
    EvictedUnserved,
    /// A new connection needs its slot.
    Evicted,
    /// The phase of the process requires that client connections be closed.
    PhaseChanged,
}

impl ClientConnection {
    /// Creates the state for a connection over this stream. Its first request may be as old as
    /// `accept_delay`.
    pub fn new(
        stream: &MonitoredStream<Socket>,
        slot: Slot,
        adopted: Option<TransferredAttempt>,
        accept_delay: Duration,
    ) -> ClientConnection {
        let monitor = stream.monitor();
        let client = job_handover::ClientHandle::new(stream.get_ref().socket_handle(), monitor.clone());
        let adopted = Mutex::new(adopted);
        ClientConnection { monitor, slot, client, request_count: AtomicU64::new(0), adopted, accept_delay }
    }

    /// Counts a request; returns its number, from 1 on.
    pub fn count_request(&self) -> u64 {
        self.request_count.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes the predecessor's attempt that the first request continues.
    pub fn take_adopted_attempt(&self) -> Option<TransferredAttempt> {
        self.adopted.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Upper bound of the time that the newest request waited before its connection was accepted.
    pub fn accept_delay(&self) -> Duration {
        let is_first = self.request_count.load(Ordering::Relaxed) == 1;
        if is_first {
            self.accept_delay
        } else {
            Duration::ZERO
        }
    }

    /// Waits until the connection is evicted. If unread bytes of a request have just arrived, the next
    /// connection is evicted instead: closing this one would fail that request.
    async fn evicted(&self) -> CloseReason {
        loop {
            let was_answered = self.slot.evicted().await;
            if !self.client.socket_handle.has_unread() {
                return if was_answered { CloseReason::Evicted } else { CloseReason::EvictedUnserved };
            }
            self.slot.evict_next();
        }
    }
}

impl Server {
    /// Serves a connection until it is closed.
    pub(super) async fn serve(&self, stream: MonitoredStream<Socket>, connection: ClientConnection) {
        let service = service_fn(|request| {
            let connection = &connection;
            async move { Ok::<_, Infallible>(self.respond(request, connection).await) }
        });
        let http_connection = http_builder().serve_connection(TokioIo::new(stream), service);
        tokio::pin!(http_connection);
        let reason = tokio::select! {
            biased;
            // Checked before the connection is polled: it must not read a request and then be evicted.
            reason = connection.evicted() => reason,
            ended = http_connection.as_mut() => return log_failure(ended),
            () = connection.client.finished.notified() => {
                return log::debug!(event = "client_connection_given_up";
                    "client left, or connection transferred to another process");
            }
            () = self.idle_close_required(&connection) => CloseReason::PhaseChanged,
        };
        log::debug!(event = "client_connection_closing", peer:? = connection.client.socket_handle.peer_address(), reason:?, phase:? = *self.phase.borrow();
            "closing client connection");
        if reason != CloseReason::PhaseChanged {
            self.counters.connections_evicted.add();
        }
        if reason == CloseReason::EvictedUnserved {
            return;
        }
        http_connection.as_mut().graceful_shutdown();
        if reason != CloseReason::PhaseChanged {
            match timeout(EVICTION_TIMEOUT, http_connection.as_mut()).await {
                Ok(ended) => return log_failure(ended),
                // Its request was complete before it could be closed: it is answered.
                Err(_) if connection.monitor.has_request_in_flight() => {}
                Err(_) => return,
            }
        }
        tokio::select! {
            ended = http_connection => log_failure(ended),
            () = connection.client.finished.notified() => {}
        }
    }

    /// Waits until the connection has to be closed between requests. A connection without a request so far
    /// stays open, because its client would treat the close as a failure; it is closed after its first
    /// answer.
    async fn idle_close_required(&self, connection: &ClientConnection) {
        let mut phase = self.phase.clone();
        let has_no_request = || connection.request_count.load(Ordering::Relaxed) == 0;
        while phase.wait_for(|p| p.closes_connections()).await.is_ok() && has_no_request() {
            let _ = phase.changed().await; // fails only when the process ends, like the wait above
        }
    }

    /// Sheds the request of a connection that has no connection slot.
    pub(super) async fn reject_connection(&self, stream: MonitoredStream<Socket>) {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.shed_after_reading(request).await) });
        let http_connection =
            http_builder().keep_alive(false).serve_connection(TokioIo::new(stream), service);
        log_failure(http_connection.await);
    }

    async fn shed_after_reading(&self, request: Request<Incoming>) -> Response {
        // The body is read so that closing the connection does not reset it before the client has read the
        // answer. Errors in the body do not matter here.
        message_body::discard(request.into_body(), BODY_MAX).await;
        self.reject(RequestError::Shed(ShedReason::NoConnectionSlot))
    }
}

fn log_failure(result: hyper::Result<()>) {
    if let Err(e) = result {
        log::debug!(event = "client_connection_failed", error:% = e; "client connection failed");
    }
}

fn http_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The monitored stream limits the time for a head; hyper's own timeout would close idle connections, too.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER_SIZE_MAX);
    builder
}
