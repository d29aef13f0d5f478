//! Workers of the platform as stand-ins: slots, a bounded queue, a cold start, failure under overload, and a record of the
//! jobs that came from each address.

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
/// Interval at which a running job looks whether its connection has ended.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Answer to a job that is rejected.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// Head of an answer whose lines follow in chunks.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Capacity and cold start of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProfile {
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that wait at most; more are rejected.
    pub queue: usize,
    /// Share of its capacity that it has when it starts.
    pub cold_share: f64,
    /// Time until it has its full capacity.
    pub warm_up: Duration,
    /// While warming up it fails when sent this multiple of its capacity ...
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

/// Record of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerRecord {
    /// Jobs that came, by the address that sent them.
    pub received: HashMap<IpAddr, u64>,
    /// Jobs done.
    pub done: u64,
    /// Jobs rejected.
    pub rejected: u64,
    /// How often each idempotency key was done.
    pub executions_by_key: HashMap<String, u32>,
    /// Largest load while it was warming up, as a share of what makes it fail.
    pub peak_cold_load: f64,
    /// Whether it has failed under overload.
    pub failed: bool,
}

struct State {
    profile: WorkerProfile,
    /// When it started, where it started cold.
    cold_since: Option<Instant>,
    /// Work that came lately, in seconds of a warm slot.
    lately: VecDeque<(Instant, f64)>,
    held: usize,
    record: WorkerRecord,
    fallen: watch::Sender<bool>,
}

/// A worker; it ends with this value.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = lock(&self.state).fallen.send(true);
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    fn warmth(&self, now: Instant) -> f64 {
        let Some(since) = self.cold_since else { return 1.0 };
        let grown = (now - since).as_secs_f64() / self.profile.warm_up.as_secs_f64().max(1e-9);
        (self.profile.cold_share + (1.0 - self.profile.cold_share) * grown).min(1.0)
    }

    /// Adds a job's work, in seconds of a warm slot; may make a worker fail that warms up.
    fn add_load(&mut self, now: Instant, work: f64) {
        let warmth = self.warmth(now);
        self.lately.push_back((now, work));
        while self.lately.front().is_some_and(|(at, _)| now - *at > self.profile.overload_window) {
            self.lately.pop_front();
        }
        if warmth >= 1.0 {
            return;
        }
        let came: f64 = self.lately.iter().map(|(_, work)| work).sum();
        let can = warmth * self.profile.slots as f64 * self.profile.overload_window.as_secs_f64();
        let cold_load = came / (self.profile.overload_multiple * can).max(1e-9);
        self.record.peak_cold_load = self.record.peak_cold_load.max(cold_load);
        if cold_load > 1.0 && !self.record.failed {
            self.record.failed = true;
            let _ = self.fallen.send(true);
        }
    }
}

impl Worker {
    /// Starts one at this address, warm or cold.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn start(address: SocketAddr, profile: WorkerProfile, cold: bool) -> io::Result<Worker> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (fallen, fell) = watch::channel(false);
        let state = State {
            profile,
            cold_since: cold.then(Instant::now),
            lately: VecDeque::new(),
            held: 0,
            record: WorkerRecord::default(),
            fallen,
        };
        let state = Arc::new(Mutex::new(state));
        let slots = Arc::new(Semaphore::new(profile.slots));
        let task = tokio::spawn(accept(listener, state.clone(), slots, fell));
        Ok(Worker { address, state, task })
    }

    /// Its record so far.
    pub fn record(&self) -> WorkerRecord {
        lock(&self.state).record.clone()
    }
}

/// Counts a job that a worker holds, for as long as it does.
struct Held(Arc<Mutex<State>>);

impl Drop for Held {
    fn drop(&mut self) {
        lock(&self.0).held -= 1;
    }
}

/// Accepts connections until the worker fails; then all of them end.
async fn accept(
    listener: TcpListener,
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    mut fell: watch::Receiver<bool>,
) {
    loop {
        let connection_fell = fell.clone();
        tokio::select! {
            _ = fell.wait_for(|fell| *fell) => return,
            Ok((socket, from)) = listener.accept() => {
                let (state, slots, mut fell) = (state.clone(), slots.clone(), connection_fell);
                tokio::spawn(async move {
                    tokio::select! {
                        _ = fell.wait_for(|fell| *fell) => {}
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
        // The body says for how many microseconds the job takes a warm slot.
        let work = String::from_utf8(body).ok()?.trim().parse::<f64>().ok()? / 1e6;
        let Some(held) = hold_job(&state, from, work) else {
            stream.write_all(REJECTION).await.ok()?;
            continue;
        };
        stream.write_all(STREAM_HEAD).await.ok()?;
        run_job(&mut stream, &state, &slots, &id, work).await?;
        drop(held);
        let load = record_done(&state, field(&head, "idempotency-key"));
        let done = chunk(&id, json!({"state": "done", "result": "ok", "load": load}));
        stream.write_all(format!("{done}0\r\n\r\n").as_bytes()).await.ok()?;
    }
}

/// Records a job that came; `None` where the queue is full.
fn hold_job(state: &Arc<Mutex<State>>, from: IpAddr, work: f64) -> Option<Held> {
    let mut s = lock(state);
    s.add_load(Instant::now(), work);
    *s.record.received.entry(from).or_default() += 1;
    if s.held >= s.profile.slots + s.profile.queue {
        s.record.rejected += 1;
        return None;
    }
    s.held += 1;
    Some(Held(state.clone()))
}

/// Waits for a slot and works; `None` where the connection ends meanwhile, which cancels the job.
async fn run_job(
    stream: &mut BufReader<TcpStream>,
    state: &Mutex<State>,
    slots: &Semaphore,
    id: &str,
    work: f64,
) -> Option<()> {
    let _slot = slots.acquire().await.ok()?;
    let started = chunk(id, json!({"state": "started"}));
    stream.get_mut().write_all(started.as_bytes()).await.ok()?;
    let warmth = lock(state).warmth(Instant::now());
    let mut left = Duration::from_secs_f64(work / warmth);
    let mut peeked = [0; 1];
    while !left.is_zero() {
        let step = left.min(CANCEL_POLL_INTERVAL);
        match timeout(step, stream.get_ref().peek(&mut peeked)).await {
            Ok(Ok(0) | Err(_)) => return None,
            Ok(Ok(_)) => sleep(step).await,
            Err(_) => {}
        }
        left -= step;
    }
    Some(())
}

/// Records a job that is done; returns the worker's load report.
fn record_done(state: &Mutex<State>, key: Option<String>) -> serde_json::Value {
    let mut s = lock(state);
    s.record.done += 1;
    if let Some(key) = key {
        *s.record.executions_by_key.entry(key).or_default() += 1;
    }
    json!({"x0": s.profile.slots.saturating_sub(s.held), "depth": s.held.saturating_sub(s.profile.slots)})
}

/// A line of an answer, as a chunk.
fn chunk(id: &str, mut line: serde_json::Value) -> String {
    line["id"] = id.into();
    line["from"] = "rig".into();
    format!("{:x}\r\n{line}\n\r\n", line.to_string().len() + 1)
}
