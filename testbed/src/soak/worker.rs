//! Workers of a soak run: stand-ins that record each attempt, and misbehave by their mode.

use super::cold_load::ColdLoad;
use super::history::{AttemptEnd, AttemptRecord, Recorder};
use super::settings::{MEAN_WORK, SLOTS};
use crate::wire::{field, head, length};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Jobs that wait at a worker before it rejects more.
const QUEUE: usize = 30;
/// The backlog of a worker whose connections may come up late: once it is full, the kernel drops what comes.
const SHORT_BACKLOG: u32 = 0;
/// The usual backlog, in connections.
const BACKLOG: u32 = 1024;
/// After a worker accepts again, for its backlog to be empty.
const BACKLOG_CLEARED: Duration = Duration::from_millis(50);

/// Answer to a request that is turned away.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// Answer to a request that fails at once.
const SERVER_ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// Head of an answer whose lines follow in chunks.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Behavior of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerMode {
    /// As it should; a few jobs fail.
    Normal,
    /// It takes jobs, and says nothing or stops in the middle.
    Silent,
    /// It breaks connections under requests.
    Resetting,
    /// Its answers are malformed, doubled or endless.
    Malformed,
    /// It turns all jobs away.
    Rejecting,
    /// It closes connections soon after their answer.
    ClosingIdle,
    /// New connections wait in its backlog and beyond.
    NotAccepting,
}

/// A worker; its connections break when it is dropped.
pub struct SoakWorker {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<WorkerMode>,
    task: JoinHandle<()>,
}

impl Drop for SoakWorker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Shared {
    number: usize,
    recorder: Recorder,
    slots: Semaphore,
    held: AtomicU64,
    random: Mutex<SmallRng>,
    cold: Option<Mutex<ColdLoad>>,
}

impl SoakWorker {
    /// Starts one, warm or cold. `late` makes one whose connections can be held back.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub fn start(
        number: usize,
        address: SocketAddr,
        recorder: &Recorder,
        cold: bool,
        late: bool,
        seed: u64,
    ) -> io::Result<SoakWorker> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(if late { SHORT_BACKLOG } else { BACKLOG })?;
        let mode = watch::Sender::new(WorkerMode::Normal);
        let cold = cold.then(|| Mutex::new(ColdLoad::new()));
        let shared = Arc::new(Shared {
            number,
            recorder: recorder.clone(),
            slots: Semaphore::new(SLOTS),
            held: AtomicU64::new(0),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            cold,
        });
        let task = tokio::spawn(accept(listener, shared, mode.subscribe()));
        Ok(SoakWorker { address, mode, task })
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: WorkerMode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections, except while the mode holds them back.
async fn accept(listener: TcpListener, shared: Arc<Shared>, mut mode: watch::Receiver<WorkerMode>) {
    let mut connections = JoinSet::new();
    let mut resumed: Option<Instant> = None;
    loop {
        if *mode.borrow() == WorkerMode::NotAccepting {
            drop(mode.wait_for(|mode| *mode != WorkerMode::NotAccepting).await);
            resumed = Some(Instant::now());
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = mode.wait_for(|mode| *mode == WorkerMode::NotAccepting) => continue,
        };
        let Ok((socket, _)) = accepted else { continue };
        let _ = socket.set_nodelay(true);
        // What was written to a connection in the backlog is read late.
        let held_back = resumed.is_some_and(|at| at.elapsed() < BACKLOG_CLEARED);
        connections.spawn(serve(socket, shared.clone(), mode.clone(), held_back));
        while connections.try_join_next().is_some() {}
    }
}

/// An attempt that breaks off with whatever holds it.
struct OpenAttempt<'a> {
    recorder: &'a Recorder,
    place: usize,
}

impl OpenAttempt<'_> {
    fn end(&self, end: AttemptEnd) {
        self.recorder.end_attempt(self.place, end);
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        self.end(AttemptEnd::Broken);
    }
}

/// What follows on an answer.
enum Next {
    Keep,
    Close,
    Reset,
}

async fn serve(
    socket: TcpStream,
    shared: Arc<Shared>,
    mut mode: watch::Receiver<WorkerMode>,
    held_back: bool,
) -> Option<()> {
    let (read, mut writer) = socket.into_split();
    let mut reader = BufReader::new(read);
    let (mut first, recorder) = (true, &shared.recorder);
    loop {
        let idle = shared.draw(0..300);
        tokio::select! {
            begun = reader.fill_buf() => { begun.ok().filter(|bytes| !bytes.is_empty())?; }
            () = closes_idle(&mut mode, idle), if !first => return None,
        }
        let first_byte = recorder.now();
        let head = head(&mut reader).await?;
        let mut body = vec![0; length(&head).min(64 * 1024)];
        reader.read_exact(&mut body).await.ok()?;
        let id = field(&head, "x-request-id")?;
        let place = recorder.add_attempt(AttemptRecord {
            id: id.clone(),
            worker: shared.number,
            first_byte,
            last_byte: Some(recorder.now()),
            sent_deadline: field(&head, "x-deadline").and_then(|text| text.parse().ok()),
            end: AttemptEnd::InFlight,
            ended: None,
            late_read: first && held_back,
        });
        first = false;
        let open = OpenAttempt { recorder, place };
        let work = String::from_utf8(body).ok()?.trim().parse::<f64>().ok()? / 1e6;
        shared.record_load(work);
        let now = *mode.borrow();
        let next = tokio::select! {
            next = shared.answer(&open, &id, work, now, &mut writer) => next?,
            () = node_closes(&mut reader) => {
                open.end(AttemptEnd::ClosedByNode);
                return None;
            }
        };
        match next {
            Next::Keep => {}
            Next::Close => return None,
            Next::Reset => {
                let _ = writer.as_ref().set_zero_linger();
                return None;
            }
        }
    }
}

async fn closes_idle(mode: &mut watch::Receiver<WorkerMode>, idle: u64) {
    let _ = mode.wait_for(|mode| *mode == WorkerMode::ClosingIdle).await;
    sleep(Duration::from_millis(idle)).await;
}

/// Returns once the node has ended its side.
async fn node_closes(reader: &mut BufReader<OwnedReadHalf>) {
    if reader.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty()) {
        std::future::pending().await
    }
}

struct Held<'a>(&'a AtomicU64);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random_range(range)
    }

    fn record_load(&self, work: f64) {
        let Some(cold) = &self.cold else { return };
        let mut cold = cold.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((came, allowed)) = cold.add(work / MEAN_WORK.as_secs_f64()) {
            self.recorder.history().overloads.push((self.number, came, allowed));
        }
    }

    /// Answers a request as the mode and a draw have it.
    async fn answer(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        work: f64,
        mode: WorkerMode,
        writer: &mut OwnedWriteHalf,
    ) -> Option<Next> {
        let full = self.held.load(Ordering::Relaxed) >= (SLOTS + QUEUE) as u64;
        if full || mode == WorkerMode::Rejecting {
            open.end(AttemptEnd::NotExecuted);
            writer.write_all(REJECTION).await.ok()?;
            return Some(Next::Keep);
        }
        self.held.fetch_add(1, Ordering::Relaxed);
        let _held = Held(&self.held);
        let (stage, chance) = (self.draw(0..3), self.draw(0..100));
        if mode == WorkerMode::Silent && stage == 0 {
            std::future::pending::<()>().await;
        }
        if mode == WorkerMode::Resetting && stage == 0 {
            return Some(if chance < 50 { Next::Reset } else { Next::Close });
        }
        if chance < 2 {
            open.end(AttemptEnd::Concluded);
            writer.write_all(SERVER_ERROR).await.ok()?;
            return Some(Next::Keep);
        }
        writer.write_all(STREAM_HEAD).await.ok()?;
        if chance < 4 {
            open.end(AttemptEnd::NotExecuted);
            return self.last(writer, id, json!({"state": "returned"})).await;
        }
        self.run_job(open, id, work, mode, (stage, chance), writer).await
    }

    /// Runs a job that was taken, up to its last line or to the stage at which the mode breaks it off.
    async fn run_job(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        work: f64,
        mode: WorkerMode,
        (stage, chance): (u64, u64),
        writer: &mut OwnedWriteHalf,
    ) -> Option<Next> {
        let _slot = self.slots.acquire().await.ok()?;
        self.say(writer, id, json!({"state": "started"})).await?;
        sleep(Duration::from_secs_f64(work / 2.0)).await;
        if mode == WorkerMode::Silent {
            std::future::pending::<()>().await;
        }
        if mode == WorkerMode::Resetting && stage == 1 {
            return Some(if chance < 50 { Next::Reset } else { Next::Close });
        }
        sleep(Duration::from_secs_f64(work / 2.0)).await;
        if chance < 6 {
            open.end(AttemptEnd::Concluded);
            return self.last(writer, id, json!({"state": "failed"})).await;
        }
        if mode == WorkerMode::Malformed {
            return self.spoil(open, id, chance % 5, writer).await;
        }
        let result = format!("{id}.{}", self.number);
        self.recorder.record_result(id, &result);
        open.end(AttemptEnd::Concluded);
        self.last(writer, id, json!({"state": "done", "result": result, "load": {"x0": 2, "depth": 0}})).await
    }

    async fn spoil(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        how: u64,
        writer: &mut OwnedWriteHalf,
    ) -> Option<Next> {
        let result = format!("{id}.{}", self.number);
        let done = json!({"state": "done", "result": result});
        match how {
            0 => {
                open.end(AttemptEnd::Concluded);
                writer.write_all(b"9\r\nnot json\n\r\n").await.ok()?;
            }
            1 => {
                open.end(AttemptEnd::Concluded);
                self.say(writer, "somebody-else", done).await?;
            }
            2 => {
                self.recorder.record_result(id, &result);
                open.end(AttemptEnd::Concluded);
                self.last(writer, id, done).await?;
                sleep(Duration::from_millis(self.draw(0..12))).await;
                let second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n";
                writer.write_all(second.as_bytes()).await.ok()?;
                return Some(Next::Keep);
            }
            3 => {
                open.end(AttemptEnd::Concluded);
                let endless = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
                writer.write_all(endless.as_bytes()).await.ok()?;
                sleep(Duration::from_secs(1)).await;
            }
            _ => {
                open.end(AttemptEnd::Concluded);
                writer.write_all(b"40\r\n{\"id\":").await.ok()?;
            }
        }
        Some(Next::Close)
    }

    async fn say(&self, writer: &mut OwnedWriteHalf, id: &str, mut line: serde_json::Value) -> Option<()> {
        line["id"] = id.into();
        line["from"] = format!("s-{}", self.number).into();
        let text = line.to_string();
        writer.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await.ok()
    }

    async fn last(&self, writer: &mut OwnedWriteHalf, id: &str, line: serde_json::Value) -> Option<Next> {
        self.say(writer, id, line).await?;
        let end = writer.write_all(b"0\r\n\r\n");
        timeout(Duration::from_secs(1), end).await.ok()?.ok()?;
        Some(Next::Keep)
    }
}
