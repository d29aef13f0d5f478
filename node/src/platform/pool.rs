//! Pool of connections to workers, each for one request at a time; idle ones are kept for a limited time.

use super::job_handover::TransferredAttempt;
use super::request_progress::{CountingStream, RequestProgress, SharedProgress};
use super::send_guard::SendGuard;
use super::sliced_body::SlicedBody;
use super::socket::{Socket, SocketHandle};
use crate::counters::Counters;
use crate::endpoint_list::EndpointRecord;
use crate::names::Names;
use crate::transient;
use dispatch_policy::api::WorkerId;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{interval, timeout, Instant};

/// Fraction of the workers' idle timeout for which a connection is reused: a request written after that
/// timeout is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Maximum size of a connection's buffers, in bytes. Longer messages are read and written in parts.
const BUFFER_SIZE_MAX: usize = 16 * 1024;
/// Time for which the process may be stalled between reading the clock and the write that follows.
const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// Interval between removals of expired connections.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Why no connection to a worker was obtained. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The worker is unknown, unreachable, or did not accept the connection in time.
    #[error("the worker did not accept the connection")]
    Unreachable,
    /// This node has no descriptor left, or an error of its own machine lasted too long: not evidence about
    /// the worker.
    #[error("this node has no resources for a connection")]
    LocalResources,
}

/// A connection to a worker. Dropping it shuts its socket down, unless another process owns that; the descriptor is
/// closed soon after, and [`Connection::close`] waits for that.
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<SlicedBody>,
    /// How much of the current request the socket has accepted.
    pub progress: SharedProgress,
    /// Check that is made before a request's first byte is written.
    pub guard: SendGuard,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Handle to the socket.
    pub socket_handle: SocketHandle,
    driver: JoinHandle<()>,
    /// Whether it has carried an earlier request.
    pub is_reused: bool,
    /// When the last request on it ended.
    pub last_request_ended_at: Option<Instant>,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Closes the connection. The worker sees the end when this returns, whoever else holds the socket.
    pub async fn close(mut self) {
        self.socket_handle.close();
        self.driver.abort();
        // An aborted task returns an error; it matters only that it has ended.
        let _ = (&mut self.driver).await;
    }

    /// Forgets the last request and its response.
    fn clear_progress(&self) {
        if let Ok(mut progress) = self.progress.lock() {
            *progress = RequestProgress::default();
        }
    }

    /// Whether the next request may be sent on it. Unread bytes, such as a second response, would be mistaken
    /// for the response to the next request, and a close by the worker for a failure during that request.
    fn is_reusable(&self, keep_alive: Duration) -> bool {
        let is_recent = self.idle_since.elapsed() < keep_alive;
        is_recent && self.sender.is_ready() && self.socket_handle.has_nothing_unread()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket_handle.close();
        self.driver.abort();
    }
}

/// Address and idle connections of a worker.
struct Endpoint {
    address: SocketAddr,
    is_listed: bool,
    /// When discovery reported it as draining or gone, if it still is.
    draining_since: Option<Instant>,
    idle: Vec<Connection>,
}

impl Endpoint {
    fn set_ready(&mut self, is_ready: bool) {
        let since = self.draining_since.or_else(|| Some(Instant::now()));
        self.draining_since = if is_ready { None } else { since };
    }
}

/// Timeouts from the settings.
#[derive(Clone, Copy)]
struct Timeouts {
    connect: Duration,
    keep_alive: Duration,
    drain_grace: Duration,
}

impl Timeouts {
    fn new(names: &Names) -> Timeouts {
        Timeouts {
            connect: names.connect_timeout,
            keep_alive: names.worker_idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION),
            drain_grace: names.drain_grace,
        }
    }
}

/// Idle connections and addresses of all workers.
pub struct Pool {
    endpoints: Mutex<HashMap<WorkerId, Endpoint>>,
    permits: Arc<Semaphore>,
    capacity: AtomicUsize,
    /// Capacity that was used before it was granted; it is deducted from the next grants.
    borrowed: AtomicUsize,
    timeouts: Mutex<Timeouts>,
    counters: Arc<Counters>,
}

impl Pool {
    /// Creates a pool for this many connections.
    pub fn new(capacity: usize, names: &Names, counters: Arc<Counters>) -> Pool {
        Pool {
            endpoints: Mutex::default(),
            permits: Arc::new(Semaphore::new(capacity)),
            capacity: AtomicUsize::new(capacity),
            borrowed: AtomicUsize::new(0),
            timeouts: Mutex::new(Timeouts::new(names)),
            counters,
        }
    }

    /// Applies the timeouts of reloaded settings.
    pub fn set_timeouts(&self, names: &Names) {
        *self.timeouts.lock().unwrap_or_else(PoisonError::into_inner) = Timeouts::new(names);
    }

    fn timeouts(&self) -> Timeouts {
        *self.timeouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn endpoints(&self) -> MutexGuard<'_, HashMap<WorkerId, Endpoint>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds capacity for this many connections, less what was borrowed.
    pub fn add_capacity(&self, connections: usize) {
        let returned = self.borrowed.load(Ordering::Relaxed).min(connections);
        self.borrowed.fetch_sub(returned, Ordering::Relaxed);
        self.add_permits(connections - returned);
    }

    fn add_permits(&self, connections: usize) {
        self.capacity.fetch_add(connections, Ordering::Relaxed);
        self.permits.add_permits(connections);
    }

    /// Number of open connections, in use or idle.
    pub fn connection_count(&self) -> usize {
        self.capacity.load(Ordering::Relaxed).saturating_sub(self.permits.available_permits())
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.endpoints().values().map(|endpoint| endpoint.idle.len()).sum()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.endpoints().values_mut().for_each(|endpoint| endpoint.idle.clear());
    }

    /// Closes the idle connections to a worker.
    pub fn close_idle_to(&self, worker: WorkerId) {
        if let Some(endpoint) = self.endpoints().get_mut(&worker) {
            endpoint.idle.clear();
        }
    }

    /// Applies an endpoint list; closes idle connections to workers that are gone or have a new address.
    pub fn update_endpoints(&self, members: &[EndpointRecord], is_complete: bool) {
        let mut endpoints = self.endpoints();
        if is_complete {
            endpoints.values_mut().for_each(|endpoint| endpoint.is_listed = false);
        }
        for member in members {
            let (worker, address) = member.address();
            let endpoint = endpoints.entry(worker).or_insert_with(|| Endpoint {
                address,
                is_listed: true,
                draining_since: None,
                idle: vec![],
            });
            endpoint.is_listed = !member.is_terminated();
            endpoint.set_ready(member.is_in_service());
            if endpoint.address != address {
                endpoint.address = address;
                endpoint.idle.clear();
            }
        }
        for endpoint in endpoints.values_mut().filter(|endpoint| !endpoint.is_listed) {
            endpoint.set_ready(false);
            endpoint.idle.clear();
        }
    }

    /// Returns a connection to this worker: an idle one, or a new one.
    ///
    /// # Errors
    /// [`ConnectError`] if none is obtained within the connect timeout.
    pub async fn acquire(&self, worker: WorkerId) -> Result<Connection, ConnectError> {
        let timeouts = self.timeouts();
        let address = {
            let mut endpoints = self.endpoints();
            let endpoint = endpoints.get_mut(&worker).ok_or(ConnectError::Unreachable)?;
            while let Some(connection) = endpoint.idle.pop() {
                if connection.is_reusable(timeouts.keep_alive) {
                    connection.clear_progress();
                    return Ok(connection);
                }
            }
            endpoint.address
        };
        self.open_connection(address, timeouts.connect).await
    }

    /// Whether a new request may be sent to this worker now. The worker may have started to drain while its
    /// connection was being established.
    pub fn accepts_new_requests(&self, worker: WorkerId) -> bool {
        let grace = self.timeouts().drain_grace.saturating_sub(STALL_ALLOWANCE);
        let draining_since = self.endpoints().get(&worker).and_then(|endpoint| endpoint.draining_since);
        draining_since.is_none_or(|at| at.elapsed() < grace)
    }

    async fn open_connection(
        &self,
        address: SocketAddr,
        limit: Duration,
    ) -> Result<Connection, ConnectError> {
        let permit = self.acquire_permit().await?;
        // Errors of this machine are not evidence about the worker and often pass, so the call is retried.
        let connect = transient::retry_local_failures(limit, || TcpStream::connect(address));
        let socket = match timeout(limit, connect).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) if transient::is_local(&e) => return Err(ConnectError::LocalResources),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Unreachable),
        };
        socket.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
        let stream = CountingStream::new(Socket::new(socket), SharedProgress::default());
        let connection = self.handshake(stream, address, permit).await;
        self.counters.worker_connections_opened.add();
        connection.ok_or(ConnectError::Unreachable)
    }

    /// Acquires a descriptor for a connection. If all are in use, closes the idle connections to all workers.
    async fn acquire_permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.close_idle();
        tokio::task::yield_now().await; // lets the tasks of those connections end
        self.permits.clone().try_acquire_owned().map_err(|_| ConnectError::LocalResources)
    }

    /// Opens a connection over a socket on which another process has written a request with a body of
    /// `body_len` bytes. The part of the response that that process has read is replayed first. `None` if the
    /// socket cannot be used.
    pub async fn adopt(&self, adopted: TransferredAttempt, body_len: usize) -> Option<Connection> {
        let permit = self.permits.clone().try_acquire_owned();
        let permit = permit.or_else(|_| {
            // The other process releases a descriptor for it, which is granted to this one later.
            self.add_permits(1);
            self.borrowed.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        let socket = Socket::received(adopted.socket, adopted.response.to_vec()).ok()?;
        let stream = CountingStream::with_request_written(socket, SharedProgress::default(), body_len);
        self.handshake(stream, adopted.address, permit.ok()?).await
    }

    async fn handshake(
        &self,
        stream: CountingStream<Socket>,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Option<Connection> {
        let (progress, guard) = (stream.progress(), stream.guard());
        let socket_handle = stream.get_ref().socket_handle();
        let io = TokioIo::new(stream);
        let (mut sender, connection) =
            Builder::new().max_buf_size(BUFFER_SIZE_MAX).handshake::<_, SlicedBody>(io).await.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(event = "worker_connection_broken", address:%, error:% = e; "worker connection failed");
            }
        });
        sender.ready().await.ok()?;
        Some(Connection {
            sender,
            progress,
            guard,
            address,
            socket_handle,
            driver,
            is_reused: false,
            last_request_ended_at: None,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Keeps a connection whose response has ended for reuse, unless the worker is gone or has a new address.
    pub fn release(&self, worker: WorkerId, mut connection: Connection) {
        if let Some(endpoint) = self.endpoints().get_mut(&worker) {
            let is_current = endpoint.is_listed && endpoint.address == connection.address;
            if is_current && !connection.sender.is_closed() {
                connection.clear_progress();
                connection.idle_since = Instant::now();
                connection.is_reused = true;
                endpoint.idle.push(connection);
                self.counters.kept_alive.add();
            }
        }
    }

    /// Closes connections that have been idle too long, and drops closed ones, at an interval. Never returns.
    pub async fn evict_expired(self: Arc<Self>) {
        let mut interval = interval(EVICTION_INTERVAL);
        loop {
            interval.tick().await;
            let keep_alive = self.timeouts().keep_alive;
            for endpoint in self.endpoints().values_mut() {
                endpoint.idle.retain(|c| c.idle_since.elapsed() < keep_alive && !c.sender.is_closed());
            }
        }
    }
}
