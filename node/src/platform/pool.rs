//! Connections to workers: one request at a time on each, idle ones kept for a while.

use super::job_handover::TransferredAttempt;
use super::request_progress::{CountingStream, RequestProgress, SharedProgress};
use super::send_guard::SendGuard;
use super::socket::{Socket, SocketHandle};
use crate::counters::Counters;
use crate::endpoint_list::EndpointRecord;
use crate::names::Names;
use crate::transient;
use bytes::Bytes;
use dispatch_policy::api::WorkerId;
use http_body_util::Full;
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

/// Part of the workers' idle limit for which a connection is kept: a request written past the limit is lost.
const IDLE_LIMIT_USED: f64 = 0.5;
/// Bytes of an answer that are read ahead: answers carry no more.
const READ_AHEAD: usize = 64 * 1024;
/// Time for which the process may be held up between the look at the clock and the write that follows.
const STALL_ALLOWANCE: Duration = Duration::from_millis(150);
/// Interval between removals of expired connections.
const EVICTION_INTERVAL: Duration = Duration::from_secs(1);

/// Why there is no connection to a worker. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectError {
    /// The worker, or the way there, did not take the connection.
    #[error("the worker did not take the connection")]
    Unreachable,
    /// This node has no descriptor left, or an error of its own machine lasted too long: this says nothing about the worker.
    #[error("this node has no resources for a connection")]
    LocalResources,
}

/// A connection to a worker. Dropped, it closes soon; see [`Connection::close`].
pub struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// What the socket has taken of the current request.
    pub progress: SharedProgress,
    /// Checked before its first byte.
    pub guard: SendGuard,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Handle to its socket.
    pub socket_handle: SocketHandle,
    driver: JoinHandle<()>,
    /// Whether it has served before.
    pub is_reused: bool,
    /// When the last job on it had its answer.
    pub last_request_ended_at: Option<Instant>,
    idle_since: Instant,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    /// Closes it; the socket is closed when this returns.
    pub async fn close(mut self) {
        self.driver.abort();
        // An aborted driver ends with an error by design; what counts is that it has ended.
        let _ = (&mut self.driver).await;
    }

    /// Whether the next request may go out on it. Something that its worker has said and nobody has read, as a second
    /// answer, would be taken for the next request's answer; a close for a break under that request.
    fn is_reusable(&self, keep: Duration) -> bool {
        let is_young = self.idle_since.elapsed() < keep;
        is_young && self.sender.is_ready() && self.socket_handle.has_nothing_unread()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A worker's address and idle connections.
struct Endpoint {
    address: SocketAddr,
    is_listed: bool,
    /// When discovery said that it drains or is gone, where it is so now.
    draining_since: Option<Instant>,
    idle: Vec<Connection>,
}

impl Endpoint {
    fn set_ready(&mut self, is_ready: bool) {
        let since = self.draining_since.or_else(|| Some(Instant::now()));
        self.draining_since = if is_ready { None } else { since };
    }
}

/// Timeouts that the settings give.
#[derive(Clone, Copy)]
struct Timeouts {
    connect: Duration,
    keep: Duration,
    drain_grace: Duration,
}

impl Timeouts {
    fn new(names: &Names) -> Timeouts {
        Timeouts {
            connect: names.connect_timeout,
            keep: names.worker_idle_timeout.mul_f64(IDLE_LIMIT_USED),
            drain_grace: names.drain_grace,
        }
    }
}

/// Idle connections and addresses of all workers.
pub struct Pool {
    endpoints: Mutex<HashMap<WorkerId, Endpoint>>,
    permits: Arc<Semaphore>,
    capacity: AtomicUsize,
    /// Capacity used ahead of its being granted.
    overdraft: AtomicUsize,
    timeouts: Mutex<Timeouts>,
    counters: Arc<Counters>,
}

impl Pool {
    /// A pool for this many connections.
    pub fn new(capacity: usize, names: &Names, counters: Arc<Counters>) -> Pool {
        Pool {
            endpoints: Mutex::default(),
            permits: Arc::new(Semaphore::new(capacity)),
            capacity: AtomicUsize::new(capacity),
            overdraft: AtomicUsize::new(0),
            timeouts: Mutex::new(Timeouts::new(names)),
            counters,
        }
    }

    /// Changes the timeouts to those of newer settings.
    pub fn set_timeouts(&self, names: &Names) {
        *self.timeouts.lock().unwrap_or_else(PoisonError::into_inner) = Timeouts::new(names);
    }

    fn timeouts(&self) -> Timeouts {
        *self.timeouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn endpoints(&self) -> MutexGuard<'_, HashMap<WorkerId, Endpoint>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Grants capacity for so many connections more, less what was used ahead of that.
    pub fn add_capacity(&self, connections: usize) {
        let repaid = self.overdraft.load(Ordering::Relaxed).min(connections);
        self.overdraft.fetch_sub(repaid, Ordering::Relaxed);
        self.grow(connections - repaid);
    }

    fn grow(&self, connections: usize) {
        self.capacity.fetch_add(connections, Ordering::Relaxed);
        self.permits.add_permits(connections);
    }

    /// Number of connections.
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

    /// Takes over the addresses of a list; idle connections to workers that are gone or have moved are closed.
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

    /// A connection to this worker, idle or new.
    ///
    /// # Errors
    /// [`ConnectError`] if there is none within the settings' time.
    pub async fn acquire(&self, worker: WorkerId) -> Result<Connection, ConnectError> {
        let timeouts = self.timeouts();
        let address = {
            let mut endpoints = self.endpoints();
            let endpoint = endpoints.get_mut(&worker).ok_or(ConnectError::Unreachable)?;
            while let Some(connection) = endpoint.idle.pop() {
                if connection.is_reusable(timeouts.keep) {
                    if let Ok(mut progress) = connection.progress.lock() {
                        *progress = RequestProgress::default();
                    }
                    return Ok(connection);
                }
            }
            endpoint.address
        };
        self.open(address, timeouts.connect).await
    }

    /// Whether a request may begin at this worker now. It may have been told to drain while its connection was coming up,
    /// and what is written now is new to it.
    pub fn accepts_new_requests(&self, worker: WorkerId) -> bool {
        let grace = self.timeouts().drain_grace.saturating_sub(STALL_ALLOWANCE);
        let draining_since = self.endpoints().get(&worker).and_then(|endpoint| endpoint.draining_since);
        draining_since.is_none_or(|at| at.elapsed() < grace)
    }

    async fn open(&self, address: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
        let permit = self.permit().await?;
        // Errors of this machine say nothing about the worker: a moment later there may be a socket.
        let connect = transient::retry_local_failures(limit, || TcpStream::connect(address));
        let socket = match timeout(limit, connect).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) if transient::is_local(&e) => return Err(ConnectError::LocalResources),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::Unreachable),
        };
        socket.set_nodelay(true).map_err(|_| ConnectError::Unreachable)?;
        let stream = CountingStream::new(Socket::new(socket), SharedProgress::default());
        let connection = self.start(stream, address, permit).await;
        self.counters.worker_connections_opened.add();
        connection.ok_or(ConnectError::Unreachable)
    }

    /// A descriptor for a connection. Where all are in use, idle connections elsewhere make way.
    async fn permit(&self) -> Result<OwnedSemaphorePermit, ConnectError> {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return Ok(permit);
        }
        self.close_idle();
        tokio::task::yield_now().await; // lets the drivers of those connections end
        self.permits.clone().try_acquire_owned().map_err(|_| ConnectError::LocalResources)
    }

    /// A connection on which another process has written a request with a body of `body` bytes; what its worker has
    /// answered so far comes first. `None` where the socket cannot be used.
    pub async fn adopt(&self, adopted: TransferredAttempt, body: usize) -> Option<Connection> {
        let permit = self.permits.clone().try_acquire_owned();
        let permit = permit.or_else(|_| {
            // The other process releases its descriptor for it.
            self.grow(1);
            self.overdraft.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        let socket = Socket::received(adopted.socket, adopted.response.to_vec()).ok()?;
        let stream = CountingStream::with_request_written(socket, SharedProgress::default(), body);
        self.start(stream, adopted.address, permit.ok()?).await
    }

    async fn start(
        &self,
        stream: CountingStream<Socket>,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Option<Connection> {
        let (progress, guard) = (stream.progress(), stream.guard());
        let socket_handle = stream.get_ref().socket_handle();
        let io = TokioIo::new(stream);
        let (mut sender, connection) =
            Builder::new().max_buf_size(READ_AHEAD).handshake::<_, Full<Bytes>>(io).await.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!(event = "worker_connection_broken", address:%, error:% = e; "connection to a worker broke");
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

    /// Keeps a connection whose last answer ended cleanly, unless its worker is gone.
    pub fn release(&self, worker: WorkerId, mut connection: Connection) {
        if let Some(endpoint) = self.endpoints().get_mut(&worker) {
            let is_current = endpoint.is_listed && endpoint.address == connection.address;
            if is_current && !connection.sender.is_closed() {
                connection.idle_since = Instant::now();
                connection.is_reused = true;
                endpoint.idle.push(connection);
                self.counters.kept_alive.add();
            }
        }
    }

    /// Drops connections that have been idle too long or have closed, at an interval, without end.
    pub async fn evict_expired(self: Arc<Self>) {
        let mut interval = interval(EVICTION_INTERVAL);
        loop {
            interval.tick().await;
            let keep = self.timeouts().keep;
            for endpoint in self.endpoints().values_mut() {
                endpoint.idle.retain(|c| c.idle_since.elapsed() < keep && !c.sender.is_closed());
            }
        }
    }
}
