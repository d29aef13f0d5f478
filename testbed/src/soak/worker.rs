//! Stand-in for workers in a soak run: records each attempt, and misbehaves according to its mode.

use super::cold_load::ColdLoad;
use super::history::{AttemptEnd, AttemptRecord, Recorder};
use super::settings::{MEAN_WORK, SLOTS};
use crate::wire::{field, head, length};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::net::listen;
use serde_json::json;
use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};
use tokio::task::{unconstrained, JoinHandle, JoinSet};
use tokio::time::{sleep, timeout, Instant};

/// Number of requests that may wait at a worker; more are rejected.
const QUEUE_LENGTH: usize = 30;
/// Backlog of a worker that delays connections while it does not accept: once it is full, the kernel drops connection
/// requests, and the ends of handshakes.
const SHORT_BACKLOG: i32 = 0;
/// Backlog otherwise, in connections.
const BACKLOG: i32 = 1024;
/// Time after a worker accepts again until its backlog is empty.
const BACKLOG_DRAIN_TIME: Duration = Duration::from_millis(50);
/// The same after a short backlog: the kernel of the node sends what was dropped again after 0.2 s, 0.6 s and 1.4 s.
const RETRANSMISSION_TIME: Duration = Duration::from_millis(1_500);

/// Response to a rejected request.
const REJECTION: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
/// Response to a request that fails at once.
const SERVER_ERROR: &[u8] = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// Head of a response whose lines follow in chunks.
const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Behavior of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkerMode {
    /// It behaves correctly; a few requests fail.
    Normal,
    /// It accepts requests, and sends nothing or stops in the middle.
    Silent,
    /// It resets or closes connections during requests.
    Resetting,
    /// Its responses are malformed, duplicated, oversized, truncated or for another request.
    Malformed,
    /// It rejects all requests.
    Rejecting,
    /// It runs requests for a long time and then reports that they failed.
    FailingLate,
    /// It closes idle connections soon after a response.
    ClosingIdle,
    /// It returns long results in small pieces.
    SmallPieces,
    /// It tells progress without a pause and without an end.
    EndlessAnswers,
    /// It accepts no connections; they wait in its backlog, or are dropped by the kernel.
    NotAccepting,
}

/// Additional run time in mode [`WorkerMode::FailingLate`], in milliseconds: longer than the mode lasts, and short enough
/// for another attempt.
const FAILING_LATE_MS: std::ops::Range<u64> = 800..1_200;

/// Lengths of a long result and of its pieces, in bytes.
const LONG_RESULT_BYTES: std::ops::Range<u64> = 20_000..60_000;
const PIECE_BYTES: std::ops::Range<u64> = 8..200;

/// Lines of progress that a worker in mode [`WorkerMode::EndlessAnswers`] writes at once.
const PROGRESS_LINES_AT_ONCE: usize = 100;

/// A worker; dropping it breaks its connections.
pub struct SoakWorker {
    /// Address at which it listens.
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
    held_requests: AtomicU64,
    rng: Mutex<SmallRng>,
    cold: Option<Mutex<ColdLoad>>,
}

impl SoakWorker {
    /// Starts a worker, warm or cold. With `short_backlog` the kernel drops connections while it does not
    /// accept.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub fn start(
        number: usize,
        address: SocketAddr,
        recorder: &Recorder,
        cold: bool,
        short_backlog: bool,
        seed: u64,
    ) -> io::Result<SoakWorker> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG as u32)?;
        let mode = watch::Sender::new(WorkerMode::Normal);
        let cold = cold.then(|| Mutex::new(ColdLoad::new()));
        let shared = Arc::new(Shared {
            number,
            recorder: recorder.clone(),
            slots: Semaphore::new(SLOTS),
            held_requests: AtomicU64::new(0),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            cold,
        });
        let task = tokio::spawn(accept(listener, short_backlog, shared, mode.subscribe()));
        Ok(SoakWorker { address, mode, task })
    }

    /// Changes its behavior.
    pub fn set_mode(&self, mode: WorkerMode) {
        self.mode.send_replace(mode);
    }
}

/// Accepts connections, except in mode [`WorkerMode::NotAccepting`].
async fn accept(
    listener: TcpListener,
    short_backlog: bool,
    shared: Arc<Shared>,
    mut mode: watch::Receiver<WorkerMode>,
) {
    let mut connections = JoinSet::new();
    let mut resumed: Option<Instant> = None;
    // Whether connections that waited while it did not accept may still be in the backlog.
    let mut drains_backlog = false;
    let late_time = if short_backlog { RETRANSMISSION_TIME } else { BACKLOG_DRAIN_TIME };
    loop {
        if *mode.borrow() == WorkerMode::NotAccepting {
            // Short only now: concurrent connections would lose the ends of their handshakes, and their bytes would
            // arrive 0.2 s after the node has written them.
            let backlog = if short_backlog { SHORT_BACKLOG } else { BACKLOG };
            let _ = listen(&listener, backlog); // fails never for a socket that listens
            drop(mode.wait_for(|mode| *mode != WorkerMode::NotAccepting).await);
            let _ = listen(&listener, BACKLOG);
            (resumed, drains_backlog) = (Some(Instant::now()), true);
        }
        let accepted = tokio::select! {
            biased;
            // Unconstrained: pending means an empty backlog, and not that the task has to yield.
            accepted = unconstrained(listener.accept()) => accepted,
            () = ready(()), if drains_backlog => {
                drains_backlog = false;
                continue;
            }
            _ = mode.wait_for(|mode| *mode == WorkerMode::NotAccepting) => continue,
        };
        let Ok((socket, _)) = accepted else { continue };
        let _ = socket.set_nodelay(true);
        // Requests on connections that waited in the backlog are read late.
        let late_read = drains_backlog || resumed.is_some_and(|at| at.elapsed() < late_time);
        connections.spawn(serve(socket, shared.clone(), mode.clone(), late_read));
        while connections.try_join_next().is_some() {}
    }
}

/// An open attempt; it ends as broken if dropped before its end is recorded.
struct OpenAttempt<'a> {
    recorder: &'a Recorder,
    index: usize,
}

impl OpenAttempt<'_> {
    fn end(&self, end: AttemptEnd) {
        self.recorder.end_attempt(self.index, end);
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        self.end(AttemptEnd::Broken);
    }
}

/// What to do with a connection after a response.
enum AfterResponse {
    Keep,
    /// Keep it; the next request may have arrived while the worker still sent.
    KeepReadLate,
    Close,
    Reset,
}

async fn serve(
    socket: TcpStream,
    shared: Arc<Shared>,
    mut mode: watch::Receiver<WorkerMode>,
    late_read: bool,
) -> Option<()> {
    let (read, mut writer) = socket.into_split();
    let mut reader = BufReader::new(read);
    let (mut first, recorder) = (true, &shared.recorder);
    // Whether the next request may have waited before it was read.
    let mut late_read = late_read;
    loop {
        let idle = shared.draw(0..300);
        tokio::select! {
            begun = reader.fill_buf() => { begun.ok().filter(|bytes| !bytes.is_empty())?; }
            () = close_when_idle(&mut mode, idle), if !first => return None,
        }
        let first_byte = recorder.now();
        let head = head(&mut reader).await?;
        let mut body = vec![0; length(&head).min(64 * 1024)];
        reader.read_exact(&mut body).await.ok()?;
        let id = field(&head, "x-request-id")?;
        let index = recorder.add_attempt(AttemptRecord {
            id: id.clone(),
            worker: shared.number,
            first_byte,
            last_byte: Some(recorder.now()),
            sent_deadline: field(&head, "x-deadline").and_then(|text| text.parse().ok()),
            end: AttemptEnd::InFlight,
            ended: None,
            late_read: std::mem::take(&mut late_read),
        });
        first = false;
        let open = OpenAttempt { recorder, index };
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
            AfterResponse::Keep => {}
            AfterResponse::KeepReadLate => late_read = true,
            AfterResponse::Close => return None,
            AfterResponse::Reset => {
                let _ = writer.as_ref().set_zero_linger();
                return None;
            }
        }
    }
}

async fn close_when_idle(mode: &mut watch::Receiver<WorkerMode>, idle: u64) {
    let _ = mode.wait_for(|mode| *mode == WorkerMode::ClosingIdle).await;
    sleep(Duration::from_millis(idle)).await;
}

/// Returns once the node has closed its side.
async fn node_closes(reader: &mut BufReader<OwnedReadHalf>) {
    if reader.fill_buf().await.is_ok_and(|bytes| !bytes.is_empty()) {
        std::future::pending().await
    }
}

struct HeldRequest<'a>(&'a AtomicU64);

impl Drop for HeldRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    fn draw(&self, range: std::ops::Range<u64>) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random_range(range)
    }

    fn record_load(&self, work: f64) {
        let Some(cold) = &self.cold else { return };
        let mut cold = cold.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((received, allowed)) = cold.add(work / MEAN_WORK.as_secs_f64()) {
            self.recorder.history().overloads.push((self.number, received, allowed));
        }
    }

    /// Answers a request according to the mode and random draws.
    async fn answer(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        work: f64,
        mode: WorkerMode,
        writer: &mut OwnedWriteHalf,
    ) -> Option<AfterResponse> {
        let full = self.held_requests.load(Ordering::Relaxed) >= (SLOTS + QUEUE_LENGTH) as u64;
        if full || mode == WorkerMode::Rejecting {
            open.end(AttemptEnd::NotExecuted);
            writer.write_all(REJECTION).await.ok()?;
            return Some(AfterResponse::Keep);
        }
        self.held_requests.fetch_add(1, Ordering::Relaxed);
        let _held_request = HeldRequest(&self.held_requests);
        let (stage, chance) = (self.draw(0..3), self.draw(0..100));
        if mode == WorkerMode::Silent && stage == 0 {
            std::future::pending::<()>().await;
        }
        if mode == WorkerMode::Resetting && stage == 0 {
            return Some(if chance < 50 { AfterResponse::Reset } else { AfterResponse::Close });
        }
        if chance < 2 {
            open.end(AttemptEnd::Concluded);
            writer.write_all(SERVER_ERROR).await.ok()?;
            return Some(AfterResponse::Keep);
        }
        writer.write_all(STREAM_HEAD).await.ok()?;
        if chance < 4 {
            open.end(AttemptEnd::NotExecuted);
            return self.send_last_line(writer, id, json!({"state": "returned"})).await;
        }
        self.run_request(open, id, work, mode, (stage, chance), writer).await
    }

    /// Runs an accepted request up to its last line, or to the stage at which the mode interrupts it.
    async fn run_request(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        work: f64,
        mode: WorkerMode,
        (stage, chance): (u64, u64),
        writer: &mut OwnedWriteHalf,
    ) -> Option<AfterResponse> {
        let _slot = self.slots.acquire().await.ok()?;
        self.send_line(writer, id, json!({"state": "started"})).await?;
        sleep(Duration::from_secs_f64(work / 2.0)).await;
        if mode == WorkerMode::Silent {
            std::future::pending::<()>().await;
        }
        if mode == WorkerMode::EndlessAnswers {
            return self.send_progress_without_end(writer, id).await;
        }
        if mode == WorkerMode::Resetting && stage == 1 {
            return Some(if chance < 50 { AfterResponse::Reset } else { AfterResponse::Close });
        }
        sleep(Duration::from_secs_f64(work / 2.0)).await;
        if mode == WorkerMode::FailingLate {
            sleep(Duration::from_millis(self.draw(FAILING_LATE_MS))).await;
        }
        if chance < 6 || mode == WorkerMode::FailingLate {
            open.end(AttemptEnd::Concluded);
            return self.send_last_line(writer, id, json!({"state": "failed"})).await;
        }
        if mode == WorkerMode::Malformed {
            return self.answer_malformed(open, id, chance % 5, writer).await;
        }
        let mut result = format!("{id}.{}", self.number);
        if mode == WorkerMode::SmallPieces {
            result += &"r".repeat(self.draw(LONG_RESULT_BYTES) as usize);
        }
        self.recorder.record_result(id, &result);
        let line = json!({"state": "done", "result": result, "load": {"x0": 2, "depth": 0}});
        if mode == WorkerMode::SmallPieces {
            return self.send_last_line_in_pieces(open, writer, id, line).await;
        }
        open.end(AttemptEnd::Concluded);
        self.send_last_line(writer, id, line).await
    }

    /// Repeats a line of progress until the connection ends.
    async fn send_progress_without_end(
        &self,
        writer: &mut OwnedWriteHalf,
        id: &str,
    ) -> Option<AfterResponse> {
        let line = self.complete_line(id, json!({"state": "running", "share": 0.5})) + "\n";
        let lines = line.repeat(PROGRESS_LINES_AT_ONCE);
        let chunk = format!("{:x}\r\n{lines}\r\n", lines.len());
        loop {
            writer.write_all(chunk.as_bytes()).await.ok()?;
        }
    }

    /// Sends the last line in small chunks. The attempt is in flight until the last one.
    async fn send_last_line_in_pieces(
        &self,
        open: &OpenAttempt<'_>,
        writer: &mut OwnedWriteHalf,
        id: &str,
        line: serde_json::Value,
    ) -> Option<AfterResponse> {
        let text = format!("{}\n", self.complete_line(id, line));
        let pieces = text.as_bytes().chunks(self.draw(PIECE_BYTES) as usize);
        let count = pieces.len();
        for (n, piece) in pieces.enumerate() {
            if n + 1 == count {
                open.end(AttemptEnd::Concluded);
            }
            let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
            chunk.extend_from_slice(piece);
            chunk.extend_from_slice(b"\r\n");
            writer.write_all(&chunk).await.ok()?;
        }
        writer.write_all(b"0\r\n\r\n").await.ok()?;
        Some(AfterResponse::Keep)
    }

    async fn answer_malformed(
        &self,
        open: &OpenAttempt<'_>,
        id: &str,
        variant: u64,
        writer: &mut OwnedWriteHalf,
    ) -> Option<AfterResponse> {
        let result = format!("{id}.{}", self.number);
        let done = json!({"state": "done", "result": result});
        match variant {
            0 => {
                open.end(AttemptEnd::Concluded);
                writer.write_all(b"9\r\nnot json\n\r\n").await.ok()?;
            }
            1 => {
                open.end(AttemptEnd::Concluded);
                self.send_line(writer, "somebody-else", done).await?;
            }
            2 => {
                self.recorder.record_result(id, &result);
                open.end(AttemptEnd::Concluded);
                self.send_last_line(writer, id, done).await?;
                sleep(Duration::from_millis(self.draw(0..12))).await;
                let second = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n";
                writer.write_all(second.as_bytes()).await.ok()?;
                return Some(AfterResponse::KeepReadLate);
            }
            3 => {
                open.end(AttemptEnd::Concluded);
                let oversized = format!("{:x}\r\n{}\r\n", 100_000, "x".repeat(100_000));
                writer.write_all(oversized.as_bytes()).await.ok()?;
                sleep(Duration::from_secs(1)).await;
            }
            _ => {
                open.end(AttemptEnd::Concluded);
                writer.write_all(b"40\r\n{\"id\":").await.ok()?;
            }
        }
        Some(AfterResponse::Close)
    }

    async fn send_line(&self, writer: &mut OwnedWriteHalf, id: &str, line: serde_json::Value) -> Option<()> {
        let text = self.complete_line(id, line);
        writer.write_all(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes()).await.ok()
    }

    /// A line with the fields that all lines have.
    fn complete_line(&self, id: &str, mut line: serde_json::Value) -> String {
        line["id"] = id.into();
        line["from"] = format!("s-{}", self.number).into();
        line.to_string()
    }

    async fn send_last_line(
        &self,
        writer: &mut OwnedWriteHalf,
        id: &str,
        line: serde_json::Value,
    ) -> Option<AfterResponse> {
        self.send_line(writer, id, line).await?;
        let end = writer.write_all(b"0\r\n\r\n");
        timeout(Duration::from_secs(1), end).await.ok()?.ok()?;
        Some(AfterResponse::Keep)
    }
}
