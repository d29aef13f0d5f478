//! Clients of a soak run: an open-loop load in which some clients disconnect, stall within a request, write
//! slowly or have a very short deadline.

use super::history::{Recorder, RequestEnd, RequestRecord};
use super::settings::{Class, CLASSES, MEAN_WORK};
use crate::wire::{head, length, request_with_fields, status};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

type Stream = BufReader<TcpStream>;

/// Time after a request's deadline for which its client waits for an answer: more than an answer may be late.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// Time after a close within which a reset may follow, which shows that the request was not read.
const RESET_WAIT: Duration = Duration::from_millis(120);
/// Time within which a client that stalls must get an answer or a close ...
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);
/// ... plus a tolerance for scheduling delays.
const CLOSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Share of requests with a long body.
const LONG_BODY_SHARE: f64 = 0.08;
/// Share of requests whose id comes again after their end, and the time after which it does.
const REPEATED_ID_SHARE: f64 = 0.05;
const REPEATED_ID_PAUSE_MS: std::ops::Range<u64> = 200..600;
/// Time from the end of an idle client's connection to its next one.
const IDLE_RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of idle connections to each node.
const IDLE_CONNECTIONS_MAX: usize = 24;

/// A node as seen by clients.
#[derive(Debug)]
pub struct Target {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Whether clients open new connections to it.
    pub accepts: AtomicBool,
    idle: Mutex<Vec<Stream>>,
}

impl Target {
    /// Creates the target of a node that is not ready yet.
    pub fn new(address: SocketAddr) -> Target {
        Target { address, accepts: AtomicBool::new(false), idle: Mutex::default() }
    }

    fn take_idle(&self) -> Option<Stream> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn put_idle(&self, stream: Stream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(stream);
        }
    }
}

/// Behavior of a client.
#[derive(Clone, Copy, Debug)]
enum ClientBehavior {
    Plain,
    /// It writes the request in pieces.
    Slow,
    /// It disconnects this long after its request, possibly with a reset or after sending further bytes.
    Disconnects {
        after: Duration,
        reset: bool,
        trailing: bool,
    },
    /// It stops in the middle of its request and keeps the connection open.
    Stalls {
        in_head: bool,
    },
    /// It has this very short deadline.
    Impatient(Duration),
}

/// The clients of a run.
pub struct Clients {
    recorder: Recorder,
    targets: Vec<Arc<Target>>,
    next_number: AtomicU64,
}

impl Clients {
    /// Creates clients of these nodes.
    pub fn new(recorder: Recorder, targets: Vec<Arc<Target>>) -> Arc<Clients> {
        Arc::new(Clients { recorder, targets, next_number: AtomicU64::new(1) })
    }

    /// Sends requests at this rate for this time, and waits for all of them to end.
    ///
    /// # Panics
    /// If the rate is not above zero.
    pub async fn run(self: Arc<Self>, per_second: f64, duration: Duration, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gaps = Exp::new(per_second).expect("the rate is above zero");
        let (mut due, end) = (Instant::now(), Instant::now() + duration);
        let mut calls = JoinSet::new();
        while due < end {
            due += Duration::from_secs_f64(gaps.sample(&mut rng));
            sleep_until(due).await;
            let rng = SmallRng::seed_from_u64(rng.random());
            calls.spawn(self.clone().call(rng));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    /// Keeps this many connections to each node that send nothing; one that the node closes is opened again. Ends
    /// when it is dropped.
    pub async fn hold_idle(self: Arc<Self>, per_node: usize) {
        let mut connections = JoinSet::new();
        for target in &self.targets {
            (0..per_node).for_each(|_| drop(connections.spawn(stay_idle(target.clone()))));
        }
        while connections.join_next().await.is_some() {}
    }

    async fn call(self: Arc<Self>, mut rng: SmallRng) {
        let class = draw_class(&mut rng);
        let behavior = draw_behavior(&mut rng);
        let Some((node, stream)) = self.choose_connection(&mut rng) else { return };
        let id = format!("soak-{}", self.next_number.fetch_add(1, Ordering::Relaxed));
        let deadline = match behavior {
            ClientBehavior::Impatient(deadline) => deadline,
            _ => class.deadline,
        };
        let text = draw_request(class, &id, deadline, &mut rng);
        let (text, clients, comes_again) = (text.as_str(), &*self, false);
        let exchange = Exchange { clients, node, class, id: &id, deadline, behavior, comes_again, text };
        let reused_connection = stream.is_some();
        let end = exchange.run(stream, &mut rng).await;
        if reused_connection
            && end == RequestEnd::ClosedUnread
            && self.targets[node].accepts.load(Ordering::Relaxed)
        {
            exchange.run(None, &mut rng).await;
        }
        let has_ended = matches!(end, RequestEnd::Answered { .. } | RequestEnd::Pending);
        if has_ended && rng.random_bool(REPEATED_ID_SHARE) {
            exchange.send_again(&mut rng).await;
        }
    }

    /// Chooses a node, and a connection to it that is kept open, if any. A node that is shutting down gets requests on its
    /// open connections, but no new connections.
    fn choose_connection(&self, rng: &mut SmallRng) -> Option<(usize, Option<Stream>)> {
        let first = rng.random_range(0..self.targets.len());
        for step in 0..self.targets.len() {
            let node = (first + step) % self.targets.len();
            let target = &self.targets[node];
            let accepts = target.accepts.load(Ordering::Relaxed);
            let stream = if accepts && rng.random_bool(0.2) { None } else { target.take_idle() };
            if stream.is_some() || accepts {
                return Some((node, stream));
            }
        }
        None
    }
}

/// Formats a request with work, body and user drawn at random.
fn draw_request(class: &Class, id: &str, deadline: Duration, rng: &mut SmallRng) -> String {
    let work = MEAN_WORK.mul_f64(rng.random_range(0.3..1.7));
    let key = (class.name == "lodge").then(|| format!("key-{id}"));
    let us = work.as_micros() as u64;
    // Some bodies are too long to be sent in one system call.
    let padding = if rng.random_bool(LONG_BODY_SHARE) { rng.random_range(20_000..60_000) } else { 0 };
    let body = format!("{us}{}", " ".repeat(padding));
    let key = key.as_deref();
    let text = request_with_fields(class.name, id, "sava", key, deadline.as_secs_f64(), Some(us), &body);
    // A node holds back requests of a user after some of them fail, so each request gets a random user.
    text.replacen("user=00ff", &format!("user={:x}", rng.random::<u32>()), 1)
}

/// Connects to a node while it accepts connections, sends nothing, and connects again when it is closed.
async fn stay_idle(target: Arc<Target>) {
    loop {
        if target.accepts.load(Ordering::Relaxed) {
            if let Ok(mut stream) = TcpStream::connect(target.address).await {
                let _ = stream.read(&mut [0; 1]).await; // whether it ends or fails, it is over
            }
        }
        sleep(IDLE_RECONNECT_INTERVAL).await;
    }
}

fn draw_class(rng: &mut SmallRng) -> &'static Class {
    let mut remaining = rng.random_range(0.0..1.0);
    for class in &CLASSES {
        remaining -= class.share;
        if remaining <= 0.0 {
            return class;
        }
    }
    &CLASSES[0]
}

fn draw_behavior(rng: &mut SmallRng) -> ClientBehavior {
    let ms = Duration::from_millis;
    match rng.random_range(0..100) {
        0..10 => {
            let after = ms(rng.random_range(0..400));
            ClientBehavior::Disconnects { after, reset: rng.random_bool(0.3), trailing: rng.random_bool(0.3) }
        }
        10..14 => ClientBehavior::Slow,
        14..17 => ClientBehavior::Stalls { in_head: rng.random_bool(0.5) },
        17..21 => ClientBehavior::Impatient(ms(rng.random_range(2..80))),
        _ => ClientBehavior::Plain,
    }
}

struct Exchange<'a> {
    clients: &'a Clients,
    node: usize,
    class: &'static Class,
    id: &'a str,
    deadline: Duration,
    behavior: ClientBehavior,
    /// Whether the id was sent before.
    comes_again: bool,
    text: &'a str,
}

impl Exchange<'_> {
    /// Sends the id again after a pause, on a new connection, as a client that has lost track of it.
    async fn send_again(self, rng: &mut SmallRng) {
        sleep(Duration::from_millis(rng.random_range(REPEATED_ID_PAUSE_MS))).await;
        let again = Exchange { behavior: ClientBehavior::Plain, comes_again: true, ..self };
        if self.clients.targets[self.node].accepts.load(Ordering::Relaxed) {
            again.run(None, rng).await;
        }
    }

    async fn run(&self, stream: Option<Stream>, rng: &mut SmallRng) -> RequestEnd {
        let (recorder, target) = (&self.clients.recorder, &self.clients.targets[self.node]);
        let reused_connection = stream.is_some();
        let stream = match stream {
            Some(stream) => Some(stream),
            None => timeout(Duration::from_secs(1), TcpStream::connect(target.address))
                .await
                .ok()
                .and_then(Result::ok)
                .map(BufReader::new),
        };
        let Some(mut stream) = stream else { return RequestEnd::NotConnected };
        let _ = stream.get_ref().set_nodelay(true);
        let index = recorder.add_request(RequestRecord {
            id: self.id.to_string(),
            node: self.node,
            semantics: self.class.semantics,
            deadline: self.deadline,
            first_byte: recorder.now(),
            written: None,
            reused_connection,
            client: stream.get_ref().local_addr().ok(),
            disconnected: None,
            comes_again: self.comes_again,
            end: RequestEnd::Pending,
            ended: None,
        });
        let end = self.exchange(&mut stream, index, rng).await;
        let (end, stays_open) = match end {
            Some((end, stays_open)) => (end, stays_open),
            None => return RequestEnd::Pending, // the client disconnected, or stalled
        };
        {
            let now = recorder.now();
            let request = &mut recorder.history().requests[index];
            (request.end, request.ended) = (end, Some(now));
        }
        if stays_open {
            target.put_idle(stream);
        }
        end
    }

    /// Writes the request and reads its answer; `None` if the client disconnects before or stalls.
    async fn exchange(
        &self,
        stream: &mut Stream,
        index: usize,
        rng: &mut SmallRng,
    ) -> Option<(RequestEnd, bool)> {
        let recorder = &self.clients.recorder;
        let reused_connection = recorder.history().requests[index].reused_connection;
        let no_answer = if reused_connection { RequestEnd::ClosedUnread } else { RequestEnd::Broken };
        if let ClientBehavior::Stalls { in_head } = self.behavior {
            self.stall(stream, in_head).await;
            return None;
        }
        let pieces = if matches!(self.behavior, ClientBehavior::Slow) { rng.random_range(2..6) } else { 1 };
        for piece in self.text.as_bytes().chunks(self.text.len().div_ceil(pieces)) {
            if stream.write_all(piece).await.is_err() {
                // It was not written completely, so the node has not accepted it.
                return Some((RequestEnd::ClosedUnread, false));
            }
            if pieces > 1 {
                sleep(Duration::from_millis(rng.random_range(1..80))).await;
            }
        }
        let written = recorder.now();
        recorder.history().requests[index].written = Some(written);
        let limit = self.deadline + ANSWER_GRACE;
        if let ClientBehavior::Disconnects { after, reset, trailing } = self.behavior {
            if trailing && stream.write_all(b"POST /check HT").await.is_err() {
                return Some((no_answer, false));
            }
            if let Ok((end, stays_open)) = timeout(after, self.answer(stream, no_answer)).await {
                return Some((end, stays_open && !trailing));
            }
            if reset {
                let _ = stream.get_ref().set_zero_linger();
            }
            // Recorded just before the caller closes the connection, so that no attempt after the close
            // precedes this time.
            let now = recorder.now();
            recorder.history().requests[index].disconnected = Some(now);
            return None;
        }
        match timeout(limit, self.answer(stream, no_answer)).await {
            Ok(end) => Some(end),
            Err(_) => Some((RequestEnd::Pending, false)),
        }
    }

    async fn answer(&self, stream: &mut Stream, reset: RequestEnd) -> (RequestEnd, bool) {
        match stream.fill_buf().await.map(<[u8]>::is_empty) {
            Err(_) => return (reset, false),
            Ok(true) if is_reset(stream).await => return (reset, false),
            Ok(true) => return (RequestEnd::Unanswered, false),
            Ok(false) => {}
        }
        let Some(head) = head(stream).await else { return (RequestEnd::Unanswered, false) };
        let mut body = vec![0; length(&head)];
        if stream.read_exact(&mut body).await.is_err() {
            return (RequestEnd::Unanswered, false);
        }
        let Some(status) = status(&head) else { return (RequestEnd::Unanswered, false) };
        let result = String::from_utf8_lossy(&body);
        let is_valid = status != 200 || self.clients.recorder.is_valid_result(self.id, &result);
        let stays_open = !head.to_ascii_lowercase().contains("connection: close");
        (RequestEnd::Answered { status, is_valid }, stays_open)
    }

    /// Stalls within the request and keeps the connection open: the node must answer or close it.
    async fn stall(&self, stream: &mut Stream, in_head: bool) {
        let text = self.text.as_bytes();
        let most = if in_head { 40 } else { text.len() - 1 };
        if stream.write_all(&text[..most]).await.is_err() {
            return;
        }
        let (stalled_at, mut byte) = (Instant::now(), [0; 1]);
        if timeout(CLOSE_TIMEOUT + CLOSE_TOLERANCE, stream.read(&mut byte)).await.is_err() {
            self.clients.recorder.history().ignored_clients.push((self.node, stalled_at.elapsed()));
        }
    }
}

/// Whether the other end resets the connection, which shows that it closed it with the request unread.
/// Without a reset it has read the request: bytes that arrive after a close, or are unread at a close, cause
/// a reset.
async fn is_reset(stream: &mut Stream) -> bool {
    let until = Instant::now() + RESET_WAIT;
    loop {
        let failed = stream.get_ref().take_error().ok().flatten().is_some();
        if failed || stream.read(&mut [0; 1]).await.is_err() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        sleep(Duration::from_millis(5)).await;
    }
}
