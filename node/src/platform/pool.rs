//! Connections to workers: one request at a time on each, idle ones kept for a while.

use super::counted_writes::{CountingStream, RequestProgress, SharedProgress};
use super::job_handover::Adopted;
use super::send_guard::SendGuard;
use super::socket::{Socket, SocketHandle};
use crate::counters::Counters;
use crate::list::Member;
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

/// The part of the idle limit for which a connection is kept: a request written past the limit is lost.
const KEEP: f64 = 0.5;
/// Answers carry 64 KiB at most; no more is read ahead.
const READ_AHEAD: usize = 64 * 1024;

/// For which the process may be held up between the look at the clock and the write that follows.
const STANDSTILL: Duration = Duration::from_millis(150);

/// Why there is no connection to a worker. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// The worker, or the way there, did not take it.
    NotTaken,
    /// This node has no descriptor left, or none of its own errors passed in time: that tells nothing of the worker.
    Here,
}

/// A connection to a worker. Dropped, it closes soon; see [`Connection::close`].
pub struct Connection {
    /// Takes the next request.
    pub sender: SendRequest<Full<Bytes>>,
    /// What the socket has taken of the current one.
    pub meter: SharedProgress,
    /// Asked before its first byte.
    pub guard: SendGuard,
    /// The other end.
    pub address: SocketAddr,
    /// A hold on its socket.
    pub socket_handle: SocketHandle,
    driver: JoinHandle<()>,
    /// Whether it has served before.
    pub kept: bool,
    /// When the last job on it had its answer.
    pub job_ended: Option<Instant>,
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
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Line {
    address: SocketAddr,
    listed: bool,
    /// When it was told that it drains or is gone, where it is so now.
    leaves: Option<Instant>,
    idle: Vec<Connection>,
}

impl Line {
    fn told(&mut self, stays: bool) {
        self.leaves = if stays { None } else { self.leaves.or_else(|| Some(Instant::now())) };
    }
}

/// All idle connections, and where workers listen.
pub struct Pool {
    lines: Mutex<HashMap<WorkerId, Line>>,
    permits: Arc<Semaphore>,
    room: AtomicUsize,
    owed: AtomicUsize, // room taken ahead of its being there
    times: Mutex<Times>,
    counters: Arc<Counters>,
}

#[derive(Clone, Copy)]
struct Times {
    connect: Duration,
    keep: Duration,
    grace: Duration,
}

impl Times {
    fn new(names: &Names) -> Times {
        let (connect, keep) = (names.connect_timeout, names.conn_idle.mul_f64(KEEP));
        Times { connect, keep, grace: names.drain_grace }
    }
}

impl Pool {
    /// A pool with room for this many connections.
    pub fn new(room: usize, names: &Names, counters: Arc<Counters>) -> Pool {
        Pool {
            lines: Mutex::default(),
            permits: Arc::new(Semaphore::new(room)),
            room: AtomicUsize::new(room),
            owed: AtomicUsize::new(0),
            times: Mutex::new(Times::new(names)),
            counters,
        }
    }

    /// Changes the times that the settings give.
    pub fn times(&self, names: &Names) {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner) = Times::new(names);
    }

    fn current(&self) -> Times {
        *self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// ConnectionSlots for so many connections more, less what was taken ahead of that.
    pub fn share(&self, connections: usize) {
        let owed = self.owed.load(Ordering::Relaxed).min(connections);
        self.owed.fetch_sub(owed, Ordering::Relaxed);
        self.grow(connections - owed);
    }

    fn grow(&self, connections: usize) {
        self.room.fetch_add(connections, Ordering::Relaxed);
        self.permits.add_permits(connections);
    }

    /// How many connections there are.
    pub fn taken(&self) -> usize {
        self.room.load(Ordering::Relaxed).saturating_sub(self.permits.available_permits())
    }

    /// How many of them are idle.
    pub fn idle(&self) -> usize {
        self.lines().values().map(|l| l.idle.len()).sum()
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lines().values_mut().for_each(|l| l.idle.clear());
    }

    fn lines(&self) -> MutexGuard<'_, HashMap<WorkerId, Line>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes note of where workers listen; idle connections to those gone or moved are closed.
    pub fn listed(&self, members: &[Member], full: bool) {
        let mut lines = self.lines();
        if full {
            lines.values_mut().for_each(|l| l.listed = false);
        }
        for member in members {
            let (worker, address) = member.address();
            let line = lines.entry(worker).or_insert_with(|| Line {
                address,
                listed: true,
                leaves: None,
                idle: vec![],
            });
            line.listed = !member.is_gone();
            line.told(member.is_ready());
            if line.address != address {
                line.address = address;
                line.idle.clear();
            }
        }
        for line in lines.values_mut().filter(|l| !l.listed) {
            line.told(false);
            line.idle.clear();
        }
    }

    /// A connection to this worker, idle or new.
    ///
    /// # Errors
    /// Why there is none within the settings' time.
    pub async fn connect(&self, worker: WorkerId) -> Result<Connection, ConnectError> {
        let times = self.current();
        let address = {
            let mut lines = self.lines();
            let line = lines.get_mut(&worker).ok_or(ConnectError::NotTaken)?;
            while let Some(connection) = line.idle.pop() {
                let young = connection.idle_since.elapsed() < times.keep;
                // Guards the next request against what its worker has just said or done here and nobody has read: a second
                // answer would be taken for this one's, and a close for a break under it.
                if young && connection.sender.is_ready() && connection.socket_handle.has_nothing_unread() {
                    if let Ok(mut written) = connection.meter.lock() {
                        *written = RequestProgress::default();
                    }
                    return Ok(connection);
                }
            }
            line.address
        };
        self.open(address, times.connect).await
    }

    /// Whether a request may begin at this worker now. Guards one that was told to drain while its connection was coming
    /// up: what is written now is new to it.
    pub fn may_begin(&self, worker: WorkerId) -> bool {
        let grace = self.current().grace.saturating_sub(STANDSTILL);
        let leaves = self.lines().get(&worker).and_then(|line| line.leaves);
        leaves.is_none_or(|at| at.elapsed() < grace)
    }

    async fn open(&self, address: SocketAddr, limit: Duration) -> Result<Connection, ConnectError> {
        // Guards the descriptor limit: at it, idle connections elsewhere make way, else there is none.
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.close_idle();
                tokio::task::yield_now().await; // lets the drivers of those let go
                self.permits.clone().try_acquire_owned().map_err(|_| ConnectError::Here)?
            }
        };
        // Guards workers against this machine's own errors: a moment later there may be a socket.
        let connect = transient::outlast(limit, || TcpStream::connect(address));
        let socket = match timeout(limit, connect).await {
            Ok(Ok(socket)) => socket,
            Ok(Err(e)) if transient::is_local(&e) => return Err(ConnectError::Here),
            Ok(Err(_)) | Err(_) => return Err(ConnectError::NotTaken),
        };
        socket.set_nodelay(true).map_err(|_| ConnectError::NotTaken)?;
        let socket = CountingStream::new(Socket::new(socket), SharedProgress::default());
        let connection = self.start(socket, address, permit).await;
        self.counters.opened.add();
        connection.ok_or(ConnectError::NotTaken)
    }

    /// A connection that another process has written a request to, with a body of this length; what its worker
    /// has said to that comes first.
    pub async fn adopt(&self, adopted: Adopted, body: usize) -> Option<Connection> {
        let permit = self.permits.clone().try_acquire_owned();
        let permit = permit.or_else(|_| {
            // The other process gives its descriptor up for it.
            self.grow(1);
            self.owed.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        let socket = Socket::received(adopted.socket, adopted.said.to_vec()).ok()?;
        let socket =
            CountingStream { written: Some(body), ..CountingStream::new(socket, SharedProgress::default()) };
        self.start(socket, adopted.address, permit.ok()?).await
    }

    async fn start(
        &self,
        socket: CountingStream<Socket>,
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Option<Connection> {
        let (meter, guard, socket_handle) =
            (socket.meter.clone(), socket.guard.clone(), socket.socket.socket_handle());
        let io = TokioIo::new(socket);
        let (mut sender, connection) =
            Builder::new().max_buf_size(READ_AHEAD).handshake::<_, Full<Bytes>>(io).await.ok()?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("connection to {address}: {e}");
            }
        });
        sender.ready().await.ok()?;
        Some(Connection {
            sender,
            meter,
            guard,
            address,
            socket_handle,
            driver,
            kept: false,
            job_ended: None,
            idle_since: Instant::now(),
            _permit: permit,
        })
    }

    /// Keeps a connection whose last answer ended cleanly, unless its worker is gone.
    pub fn keep(&self, worker: WorkerId, mut connection: Connection) {
        if let Some(line) = self.lines().get_mut(&worker) {
            if line.listed && line.address == connection.address && !connection.sender.is_closed() {
                (connection.idle_since, connection.kept) = (Instant::now(), true);
                line.idle.push(connection);
                self.counters.kept_alive.add();
            }
        }
    }

    /// Closes the idle connections to a worker.
    pub fn release(&self, worker: WorkerId) {
        if let Some(line) = self.lines().get_mut(&worker) {
            line.idle.clear();
        }
    }

    /// Drops connections that have been idle too long or have closed, once a second.
    pub async fn sweep(self: Arc<Self>) {
        let mut every = interval(Duration::from_secs(1));
        loop {
            every.tick().await;
            let keep = self.current().keep;
            for line in self.lines().values_mut() {
                line.idle.retain(|c| c.idle_since.elapsed() < keep && !c.sender.is_closed());
            }
        }
    }
}
