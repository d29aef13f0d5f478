//! A client's connection, from its first request to its close.

use super::super::connection_slots::Slot;
use super::super::job_handover::{self, TransferredAttempt};
use super::super::monitored_stream::{MessageMonitor, MonitoredStream};
use super::super::socket::Socket;
use super::request::BODY_MAX;
use super::response::{RequestError, Response, ShedReason};
use super::Server;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Bytes of a client's head and answers that are buffered; bodies are read in pieces of this.
const BUFFER_MAX: usize = 16 * 1024;
/// Time that an evicted connection may take to bring its last answer out.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// What one connection's requests share.
pub struct ClientConnection {
    /// Where its messages end.
    pub monitor: MessageMonitor,
    /// Its slot.
    pub slot: Slot,
    /// Its socket, for who may move it.
    pub client: job_handover::ClientHandle,
    /// Requests so far.
    requests: AtomicU64,
    /// An attempt of another process, for the first request.
    adopted: Mutex<Option<TransferredAttempt>>,
    /// Time for which the first request may have waited to be accepted.
    accept_delay: Duration,
}

/// Why this process closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseReason {
    /// Another connection needs its slot, and it never had an answer.
    EvictedUnserved,
    /// Another connection needs its slot.
    Evicted,
    /// The node wants no clients.
    PhaseChanged,
}

impl ClientConnection {
    /// The connection over this stream. Its first request may be as old as `accept_delay`.
    pub fn new(
        stream: &MonitoredStream<Socket>,
        slot: Slot,
        adopted: Option<TransferredAttempt>,
        accept_delay: Duration,
    ) -> ClientConnection {
        let monitor = stream.monitor();
        let client = job_handover::ClientHandle {
            socket_handle: stream.get_ref().socket_handle(),
            message_monitor: monitor.clone(),
            finished: Arc::new(Notify::new()),
            is_transferred: Arc::default(),
        };
        let adopted = Mutex::new(adopted);
        ClientConnection { monitor, slot, client, requests: AtomicU64::new(0), adopted, accept_delay }
    }

    /// Counts a request; returns its number, from 1 on.
    pub fn next_request(&self) -> u64 {
        self.requests.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Takes the attempt of another process that the first request continues.
    pub fn take_adopted(&self) -> Option<TransferredAttempt> {
        self.adopted.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Time for which the newest request may have waited to be accepted.
    pub fn accept_delay(&self) -> Duration {
        let is_first = self.requests.load(Ordering::Relaxed) == 1;
        if is_first {
            self.accept_delay
        } else {
            Duration::ZERO
        }
    }

    /// Returns once the connection is evicted. One with a request that has just come and is yet to be read stays, for its
    /// client would find the connection closed on it: the next one is evicted then.
    async fn evicted(&self) -> CloseReason {
        loop {
            let is_served = self.slot.evicted().await;
            if !self.client.socket_handle.has_unread() {
                return if is_served { CloseReason::Evicted } else { CloseReason::EvictedUnserved };
            }
            self.slot.pass_on_eviction();
        }
    }
}

impl Server {
    /// Serves a connection to its end.
    pub(super) async fn serve(&self, stream: MonitoredStream<Socket>, connection: ClientConnection) {
        let service = service_fn(|request| {
            let connection = &connection;
            async move { Ok::<_, Infallible>(self.respond(request, connection).await) }
        });
        let exchange = http_builder().serve_connection(TokioIo::new(stream), service);
        tokio::pin!(exchange);
        let reason = tokio::select! {
            biased;
            // Before the connection is looked at: it must not take a request in and then go.
            reason = connection.evicted() => reason,
            ended = exchange.as_mut() => return log_end(ended),
            () = connection.client.finished.notified() => {
                return log::debug!(event = "client_connection_given_up"; "its client has left, or it has moved");
            }
            () = self.must_close_idle(&connection) => CloseReason::PhaseChanged,
        };
        log::debug!(event = "client_connection_closing", reason:?, phase:? = *self.phase.borrow(); "closing");
        let limit = match reason {
            CloseReason::EvictedUnserved => return,
            CloseReason::Evicted => EVICTION_TIMEOUT,
            CloseReason::PhaseChanged => Duration::MAX,
        };
        exchange.as_mut().graceful_shutdown();
        tokio::select! {
            ended = timeout(limit, exchange) => ended.map_or((), log_end),
            () = connection.client.finished.notified() => {}
        }
    }

    /// Returns once the connection is to be closed between requests. One that is yet to bring its first request is
    /// left to bring it, for its client would take a close for a failure; the answer closes it.
    async fn must_close_idle(&self, connection: &ClientConnection) {
        let mut phase = self.phase.clone();
        let has_no_request = || connection.requests.load(Ordering::Relaxed) == 0;
        while phase.wait_for(|p| p.closes_connections()).await.is_ok() && has_no_request() {
            let _ = phase.changed().await; // fails with the process's end only, as the wait above does
        }
    }

    /// Refuses the request of a connection for which there is no slot.
    pub(super) async fn reject_connection(&self, stream: MonitoredStream<Socket>) {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.shed_unread(request).await) });
        let exchange = http_builder().keep_alive(false).serve_connection(TokioIo::new(stream), service);
        log_end(exchange.await);
    }

    async fn shed_unread(&self, request: Request<Incoming>) -> Response {
        // Read so that the close does not reset the answer on its way; what is wrong with it does not matter here.
        let _ = Limited::new(request.into_body(), BODY_MAX).collect().await;
        self.reject(RequestError::Shed(ShedReason::OutOfDescriptors))
    }
}

fn log_end(ended: hyper::Result<()>) {
    if let Err(e) = ended {
        log::debug!(event = "client_connection_failed", error:% = e; "client connection failed");
    }
}

fn http_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    // The monitored stream bounds the time of heads: the library's own limit would end idle connections too.
    builder.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(BUFFER_MAX);
    builder
}
