//! Stand-in for the platform's workers: slots, a bounded queue, cold start, failure under overload, and a
//! record of the requests received from each address.

use crate::wire::{field, head, length};
use serde_json::json;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, Instant};

/// Longest body that a worker reads, in bytes.
const BODY_MAX: usize = 64 * 1024;
/// Interval at which a running request checks whether its connection has ended.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Response to a rejected request.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// Head of a response whose lines follow in chunks.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Capacity and cold start of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProfile {
    /// Number of requests that run at once.
    pub slots: usize,
    /// Number of requests that may wait; more are rejected.
    pub queue: usize,
    /// Share of its capacity at a cold start.
    pub cold_share: f64,
    /// Time until full capacity.
    pub warm_up: Duration,
    /// While warming up, a worker fails if it receives this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_window: Duration,
}

impl Default for WorkerProfile {
    fn default() -> Self {
        let (warm_up, overload_window) = (Duration::from_secs(10), Duration::from_secs(3));
        WorkerProfile {
            slots: 4,
            queue: 40,
            cold_share: 0.13,
            warm_up,
            overload_multiple: 3.0,
            overload_window,
        }
    }
}

/// What a worker has received and executed.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// Number of requests received, by sender address.
    pub received: HashMap<IpAddr, u64>,
    /// Number of requests done.
    pub done: u64,
    /// Number of requests rejected.
    pub rejected: u64,
    /// Number of executions of each idempotency key.
    pub executions_by_key: HashMap<String, u32>,
    /// Largest load while warming up, as a share of the load at which it fails.
    pub peak_cold_load: f64,
    /// Whether it has failed under overload.
    pub failed: bool,
}

struct State {
    profile: WorkerProfile,
    /// Start time of a cold start.
    cold_since: Option<Instant>,
    /// Work received within the overload window, in seconds of a warm slot.
    recent_work: VecDeque<(Instant, f64)>,
    held: usize,
    record: WorkerRecord,
    overload_failure: watch::Sender<bool>,
}

/// A worker; stops when dropped.
pub struct Worker {
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = lock(&self.state).overload_failure.send(true);
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn warm_share(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let warm_up_progress = (now - since).as_secs_f64() / self.profile.warm_up.as_secs_f64().max(1e-9);
        (self.profile.cold_share + (1.0 - self.profile.cold_share) * warm_up_progress).min(1.0)
    }

    /// Adds a request's work, in seconds of a warm slot. A worker that is warming up fails if this overloads
    /// it.
    fn add_load(&mut self, now: Instant, work: f64) {
        let warm_share = self.warm_share(now);
        self.recent_work.push_back((now, work));
        while self.recent_work.front().is_some_and(|(at, _)| now - *at > self.profile.overload_window) {
            self.recent_work.pop_front();
        }
        if warm_share >= 1.0 {
            return;
        }
        let received: f64 = self.recent_work.iter().map(|(_, work)| work).sum();
        let capacity = warm_share * self.profile.slots as f64 * self.profile.overload_window.as_secs_f64();
        let load_ratio = received / (self.profile.overload_multiple * capacity).max(1e-9);
        self.record.peak_cold_load = self.record.peak_cold_load.max(load_ratio);
        if load_ratio > 1.0 && !self.record.failed {
            self.record.failed = true;
            let _ = self.overload_failure.send(true);
        }
    }
}

impl Worker {
    /// Starts a worker at this address, warm or cold.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(address: SocketAddr, profile: WorkerProfile, cold: bool) -> io::Result<Worker> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (overload_failure, failure) = watch::channel(false);
        let state = State {
            profile,
            cold_since: cold.then(Instant::now),
            recent_work: VecDeque::new(),
            held: 0,
            record: WorkerRecord::default(),
            overload_failure,
        };
        let state = Arc::new(Mutex::new(state));
        let slots = Arc::new(Semaphore::new(profile.slots));
        let task = tokio::spawn(accept(listener, state.clone(), slots, failure));
        Ok(Worker { address, state, task })
    }

    /// Returns the record so far.
    pub fn record(&self) -> WorkerRecord {
        lock(&self.state).record.clone()
    }
}

/// Guard that counts a request as waiting or running until dropped.
struct HeldRequest(Arc<Mutex<State>>);

impl Drop for HeldRequest {
    fn drop(&mut self) {
        lock(&self.0).held -= 1;
    }
}

/// Accepts connections until the worker fails; then closes all of them.
async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    mut failure: watch::Receiver<bool>,
) {
    loop {
        let connection_failure = failure.clone();
        tokio::select! {
            _ = failure.wait_for(|failed| *failed) => return,
            Ok((socket, from)) = listener.accept() => {
                let (state, slots, mut failure) = (state.clone(), slots.clone(), connection_failure);
                tokio::spawn(async move {
                    tokio::select! {
                        _ = failure.wait_for(|failed| *failed) => {}
                        _ = serve(socket, from.ip(), state, slots) => {}
                    }
                });
            }
        }
    }
}

async fn serve(
    socket: TcpStream,
    from: IpAddr,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
) -> Option<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let head = head(&mut stream).await?;
        let mut body = vec![0; length(&head).min(BODY_MAX)];
        stream.read_exact(&mut body).await.ok()?;
        let id = field(&head, "x-request-id")?;
        // The body is the number of microseconds for which the request occupies a warm slot.
        let work = String::from_utf8(body).ok()?.trim().parse::<f64>().ok()? / 1e6;
        let Some(held_request) = accept_request(&state, from, work) else {
            stream.write_all(REJECTION).await.ok()?;
            continue;
        };
        stream.write_all(STREAM_HEAD).await.ok()?;
        run_request(&mut stream, &state, &slots, &id, work).await?;
        drop(held_request);
        let load = record_done(&state, field(&head, "idempotency-key"));
        let done = chunk(&id, json!({"state": "done", "result": "ok", "load": load}));
        stream.write_all(format!("{done}0\r\n\r\n").as_bytes()).await.ok()?;
    }
}

/// Records a received request; `None` if the queue is full.
fn accept_request(state: &Arc<Mutex<State>>, from: IpAddr, work: f64) -> Option<HeldRequest> {
    let mut s = lock(state);
    s.add_load(Instant::now(), work);
    *s.record.received.entry(from).or_default() += 1;
    if s.held >= s.profile.slots + s.profile.queue {
        s.record.rejected += 1;
        return None;
    }
    s.held += 1;
    Some(HeldRequest(state.clone()))
}

/// Waits for a slot and runs the request; `None` if the connection ends meanwhile, which cancels the request.
async fn run_request(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    slots: &Semaphore,
    id: &str,
    work: f64,
) -> Option<()> {
    let _slot = slots.acquire().await.ok()?;
    let started = chunk(id, json!({"state": "started"}));
    stream.get_mut().write_all(started.as_bytes()).await.ok()?;
    let warm_share = lock(state).warm_share(Instant::now());
    let mut remaining = Duration::from_secs_f64(work / warm_share);
    let mut peeked = [0; 1];
    while !remaining.is_zero() {
        let step = remaining.min(CANCEL_POLL_INTERVAL);
        match timeout(step, stream.get_ref().peek(&mut peeked)).await {
            Ok(Ok(0) | Err(_)) => return None,
            Ok(Ok(_)) => sleep(step).await,
            Err(_) => {}
        }
        remaining -= step;
    }
    Some(())
}

/// Records a completed request; returns the worker's load report.
fn record_done(state: &Mutex<State>, key: Option<String>) -> serde_json::Value {
    let mut s = lock(state);
    s.record.done += 1;
    if let Some(key) = key {
        *s.record.executions_by_key.entry(key).or_default() += 1;
    }
    json!({"x0": s.profile.slots.saturating_sub(s.held), "depth": s.held.saturating_sub(s.profile.slots)})
}

/// Formats a line of a response as a chunk.
fn chunk(id: &str, mut line: serde_json::Value) -> String {
    line["id"] = id.into();
    line["from"] = "rig".into();
    format!("{:x}\r\n{line}\n\r\n", line.to_string().len() + 1)
}
