//! Stand-ins for workers of the platform: slots, a bounded queue, a cold start, a fall under too much, and a record of
//! what came from whom.

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

/// How a worker works.
#[derive(Clone, Copy, Debug)]
pub struct WorkerProfile {
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that wait at most; beyond, they are turned away.
    pub queue: usize,
    /// The part of its capacity that it has when it starts.
    pub cold_share: f64,
    /// It is warm after this time.
    pub warm_up: Duration,
    /// While cold it falls over when sent this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this time.
    pub fall: Duration,
}

impl Default for WorkerProfile {
    fn default() -> Self {
        let (warm_up, fall) = (Duration::from_secs(10), Duration::from_secs(3));
        WorkerProfile { slots: 4, queue: 40, cold_share: 0.13, warm_up, fall_multiple: 3.0, fall }
    }
}

/// What a worker has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Jobs that came, by the address that sent them.
    pub sent: HashMap<IpAddr, u64>,
    /// Jobs done.
    pub done: u64,
    /// Jobs turned away.
    pub full: u64,
    /// How often each key was done.
    pub keys: HashMap<String, u32>,
    /// The most that came while it was cold, as a part of what makes it fall.
    pub pressure: f64,
    /// It fell over.
    pub fell: bool,
}

struct State {
    kind: WorkerProfile,
    /// When it started, where it started cold.
    cold_since: Option<Instant>,
    /// Work that came lately, in seconds of a warm slot.
    lately: VecDeque<(Instant, f64)>,
    held: usize,
    seen: Seen,
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
        let grown = (now - since).as_secs_f64() / self.kind.warm_up.as_secs_f64().max(1e-9);
        (self.kind.cold_share + (1.0 - self.kind.cold_share) * grown).min(1.0)
    }

    /// Takes a job's work in; it may be what makes a cold worker fall.
    fn press(&mut self, now: Instant, work: f64) {
        let warmth = self.warmth(now);
        self.lately.push_back((now, work));
        while self.lately.front().is_some_and(|(at, _)| now - *at > self.kind.fall) {
            self.lately.pop_front();
        }
        if warmth >= 1.0 {
            return;
        }
        let came: f64 = self.lately.iter().map(|(_, work)| work).sum();
        let can = warmth * self.kind.slots as f64 * self.kind.fall.as_secs_f64();
        let pressure = came / (self.kind.fall_multiple * can).max(1e-9);
        self.seen.pressure = self.seen.pressure.max(pressure);
        if pressure > 1.0 && !self.seen.fell {
            self.seen.fell = true;
            let _ = self.fallen.send(true);
        }
    }
}

impl Worker {
    /// Starts one at this address, warm or cold.
    pub async fn start(address: SocketAddr, kind: WorkerProfile, cold: bool) -> io::Result<Worker> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (fallen, fell) = watch::channel(false);
        let state = State {
            kind,
            cold_since: cold.then(Instant::now),
            lately: VecDeque::new(),
            held: 0,
            seen: Seen::default(),
            fallen,
        };
        let state = Arc::new(Mutex::new(state));
        let slots = Arc::new(Semaphore::new(kind.slots));
        let (shared, mut end) = (state.clone(), fell.clone());
        let task = tokio::spawn(async move {
            loop {
                tokio::select! {
                    _ = end.wait_for(|fell| *fell) => return,
                    Ok((socket, from)) = listener.accept() => {
                        let (state, slots, mut end) = (shared.clone(), slots.clone(), fell.clone());
                        tokio::spawn(async move {
                            tokio::select! {
                                _ = end.wait_for(|fell| *fell) => {}
                                _ = serve(socket, from.ip(), state, slots) => {}
                            }
                        });
                    }
                }
            }
        });
        Ok(Worker { address, state, task })
    }

    /// What it has seen so far.
    pub fn seen(&self) -> Seen {
        lock(&self.state).seen.clone()
    }
}

/// Counts a job that a worker holds, for as long as it does.
struct Held(Arc<Mutex<State>>);

impl Drop for Held {
    fn drop(&mut self) {
        lock(&self.0).held -= 1;
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
        let mut body = vec![0; length(&head).min(64 * 1024)];
        stream.read_exact(&mut body).await.ok()?;
        let id = field(&head, "x-request-id")?;
        // The rig's jobs say in their body how many microseconds a warm slot takes for them.
        let work = String::from_utf8(body).ok()?.trim().parse::<f64>().ok()? / 1e6;
        let held = {
            let mut s = lock(&state);
            s.press(Instant::now(), work);
            *s.seen.sent.entry(from).or_default() += 1;
            if s.held >= s.kind.slots + s.kind.queue {
                s.seen.full += 1;
                None
            } else {
                s.held += 1;
                Some(Held(state.clone()))
            }
        };
        if held.is_none() {
            let no = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(no.as_bytes()).await.ok()?;
            continue;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
        let say = |what: serde_json::Value| {
            let mut line = what;
            line["id"] = id.clone().into();
            line["from"] = "rig".into();
            format!("{:x}\r\n{line}\n\r\n", line.to_string().len() + 1)
        };
        let job = async {
            let _slot = slots.acquire().await.ok()?;
            let started = say(json!({"state": "started"}));
            stream.get_mut().write_all(started.as_bytes()).await.ok()?;
            let warmth = lock(&state).warmth(Instant::now());
            let mut left = Duration::from_secs_f64(work / warmth);
            // One that is called off is seen by the end of its connection, and its work stops.
            let mut none = [0; 1];
            while !left.is_zero() {
                let step = left.min(Duration::from_millis(100));
                match timeout(step, stream.get_ref().peek(&mut none)).await {
                    Ok(Ok(0) | Err(_)) => return None,
                    Ok(Ok(_)) => sleep(step).await,
                    Err(_) => {}
                }
                left -= step;
            }
            Some(())
        };
        job.await?;
        drop(held);
        let report = {
            let mut s = lock(&state);
            s.seen.done += 1;
            if let Some(key) = field(&head, "idempotency-key") {
                *s.seen.keys.entry(key).or_default() += 1;
            }
            json!({"x0": s.kind.slots.saturating_sub(s.held), "depth": s.held.saturating_sub(s.kind.slots)})
        };
        let done = say(json!({"state": "done", "result": "ok", "load": report}));
        stream.write_all(format!("{done}0\r\n\r\n").as_bytes()).await.ok()?;
    }
}
