//! Clients of a soak run: an open-loop load in which some disconnect, stall halfway, write slowly or wait too short.

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

/// Beyond a request's deadline, before its client gives up on an answer: more than an answer may be late.
const ANSWER_GRACE: Duration = Duration::from_millis(1_500);
/// After a close, for a reset to follow that tells that the request was not read.
const RESET_WAIT: Duration = Duration::from_millis(120);
/// Time within which a client that stalls is due an answer or a close ...
const CLOSE_DUE: Duration = Duration::from_secs(3);
/// ... and this much more, for the machine's own delays.
const CLOSE_SLACK: Duration = Duration::from_millis(500);
/// The part of requests whose body is long.
const LONG_BODY_SHARE: f64 = 0.08;
/// Connections that are kept to each node.
const KEPT_MAX: usize = 24;

/// A node as its clients know it.
#[derive(Debug)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// New connections go there.
    pub accepts: AtomicBool,
    kept: Mutex<Vec<Stream>>,
}

impl Target {
    /// A node that is not up yet.
    pub fn new(address: SocketAddr) -> Target {
        Target { address, accepts: AtomicBool::new(false), kept: Mutex::default() }
    }

    fn take(&self) -> Option<Stream> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner).pop()
    }

    fn keep(&self, stream: Stream) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        if kept.len() < KEPT_MAX {
            kept.push(stream);
        }
    }
}

/// Behavior of a client.
#[derive(Clone, Copy, Debug)]
enum ClientBehavior {
    Plain,
    /// It writes in pieces.
    Slow,
    /// It leaves this long after its request; with a reset, or with bytes behind its request.
    Disconnects {
        after: Duration,
        reset: bool,
        trailing: bool,
    },
    /// It stops in the middle of its request and stays.
    Stalls {
        in_head: bool,
    },
    /// It waits this long only.
    Impatient(Duration),
}

/// The clients of a run.
pub struct Clients {
    recorder: Recorder,
    targets: Vec<Arc<Target>>,
    numbers: AtomicU64,
}

impl Clients {
    /// Clients of these nodes.
    pub fn new(recorder: Recorder, targets: Vec<Arc<Target>>) -> Arc<Clients> {
        Arc::new(Clients { recorder, targets, numbers: AtomicU64::new(1) })
    }

    /// Sends so many requests a second for this time, and waits for all of them.
    ///
    /// # Panics
    /// Where the rate is not above zero.
    pub async fn play(self: Arc<Self>, per_second: f64, span: Duration, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let gaps = Exp::new(per_second).expect("a rate above zero");
        let (mut due, end) = (Instant::now(), Instant::now() + span);
        let mut calls = JoinSet::new();
        while due < end {
            due += Duration::from_secs_f64(gaps.sample(&mut random));
            sleep_until(due).await;
            let random = SmallRng::seed_from_u64(random.random());
            calls.spawn(self.clone().call(random));
            while calls.try_join_next().is_some() {}
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(self: Arc<Self>, mut random: SmallRng) {
        let class = draw_class(&mut random);
        let behavior = draw_behavior(&mut random);
        // A node that ends gets requests on connections that it leaves open, and no new ones.
        let first = random.random_range(0..self.targets.len());
        let (mut chosen, mut stream) = (None, None);
        for step in 0..self.targets.len() {
            let node = (first + step) % self.targets.len();
            let target = &self.targets[node];
            let accepts = target.accepts.load(Ordering::Relaxed);
            stream = if accepts && random.random_bool(0.2) { None } else { target.take() };
            if stream.is_some() || accepts {
                chosen = Some(node);
                break;
            }
        }
        let Some(node) = chosen else { return };
        let id = format!("soak-{}", self.numbers.fetch_add(1, Ordering::Relaxed));
        let work = MEAN_WORK.mul_f64(random.random_range(0.3..1.7));
        let deadline = match behavior {
            ClientBehavior::Impatient(deadline) => deadline,
            _ => class.deadline,
        };
        let key = (class.name == "lodge").then(|| format!("key-{id}"));
        let us = work.as_micros() as u64;
        // Some bodies are longer than what goes out in one call.
        let padding =
            if random.random_bool(LONG_BODY_SHARE) { random.random_range(20_000..60_000) } else { 0 };
        let body = format!("{us}{}", " ".repeat(padding));
        let text = request_with_fields(
            class.name,
            &id,
            "sava",
            key.as_deref(),
            deadline.as_secs_f64(),
            Some(us),
            &body,
        );
        // Requests that share a subject are held back together where some of them fail.
        let text = text.replacen("user=00ff", &format!("user={:x}", random.random::<u32>()), 1);
        let attempt = Attempt { clients: &self, node, class, id: &id, deadline, behavior, text: &text };
        let reused_connection = stream.is_some();
        let end = attempt.run(stream, &mut random).await;
        if reused_connection
            && end == RequestEnd::ClosedUnread
            && self.targets[node].accepts.load(Ordering::Relaxed)
        {
            attempt.run(None, &mut random).await;
        }
    }
}

fn draw_class(random: &mut SmallRng) -> &'static Class {
    let mut part = random.random_range(0.0..1.0);
    for class in &CLASSES {
        part -= class.share;
        if part <= 0.0 {
            return class;
        }
    }
    &CLASSES[0]
}

fn draw_behavior(random: &mut SmallRng) -> ClientBehavior {
    let ms = Duration::from_millis;
    match random.random_range(0..100) {
        0..10 => {
            let after = ms(random.random_range(0..400));
            ClientBehavior::Disconnects {
                after,
                reset: random.random_bool(0.3),
                trailing: random.random_bool(0.3),
            }
        }
        10..14 => ClientBehavior::Slow,
        14..17 => ClientBehavior::Stalls { in_head: random.random_bool(0.5) },
        17..21 => ClientBehavior::Impatient(ms(random.random_range(2..80))),
        _ => ClientBehavior::Plain,
    }
}

struct Attempt<'a> {
    clients: &'a Clients,
    node: usize,
    class: &'static Class,
    id: &'a str,
    deadline: Duration,
    behavior: ClientBehavior,
    text: &'a str,
}

impl Attempt<'_> {
    async fn run(&self, stream: Option<Stream>, random: &mut SmallRng) -> RequestEnd {
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
        let place = recorder.add_request(RequestRecord {
            id: self.id.to_string(),
            node: self.node,
            semantics: self.class.semantics,
            deadline: self.deadline,
            first_byte: recorder.now(),
            written: None,
            reused_connection,
            disconnected: None,
            end: RequestEnd::Pending,
            ended: None,
        });
        let end = self.exchange(&mut stream, place, random).await;
        let (end, stays) = match end {
            Some((end, stays)) => (end, stays),
            None => return RequestEnd::Pending, // it left, or stopped halfway
        };
        {
            let now = recorder.now();
            let request = &mut recorder.history().requests[place];
            (request.end, request.ended) = (end, Some(now));
        }
        if stays {
            target.keep(stream);
        }
        end
    }

    /// Writes the request and reads its answer; `None` where the client has left before.
    async fn exchange(
        &self,
        stream: &mut Stream,
        place: usize,
        random: &mut SmallRng,
    ) -> Option<(RequestEnd, bool)> {
        let recorder = &self.clients.recorder;
        let reused_connection = recorder.history().requests[place].reused_connection;
        let refused = if reused_connection { RequestEnd::ClosedUnread } else { RequestEnd::Broken };
        if let ClientBehavior::Stalls { in_head } = self.behavior {
            self.stop_halfway(stream, in_head).await;
            return None;
        }
        let pieces =
            if matches!(self.behavior, ClientBehavior::Slow) { random.random_range(2..6) } else { 1 };
        for piece in self.text.as_bytes().chunks(self.text.len().div_ceil(pieces)) {
            if stream.write_all(piece).await.is_err() {
                // It was not written whole: the node has not taken it.
                return Some((RequestEnd::ClosedUnread, false));
            }
            if pieces > 1 {
                sleep(Duration::from_millis(random.random_range(1..80))).await;
            }
        }
        let written = recorder.now();
        recorder.history().requests[place].written = Some(written);
        let limit = self.deadline + ANSWER_GRACE;
        if let ClientBehavior::Disconnects { after, reset, trailing } = self.behavior {
            if trailing && stream.write_all(b"POST /check HT").await.is_err() {
                return Some((refused, false));
            }
            if let Ok((end, stays)) = timeout(after, self.answer(stream, refused)).await {
                return Some((end, stays && !trailing));
            }
            if reset {
                let _ = stream.get_ref().set_zero_linger();
            }
            // Taken before the close, which the caller makes at once: no attempt can begin too early for it.
            let now = recorder.now();
            recorder.history().requests[place].disconnected = Some(now);
            return None;
        }
        match timeout(limit, self.answer(stream, refused)).await {
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
        let stays = !head.to_ascii_lowercase().contains("connection: close");
        (RequestEnd::Answered { status, is_valid }, stays)
    }

    /// Stalls in the middle and stays: an answer or a close is owed.
    async fn stop_halfway(&self, stream: &mut Stream, in_head: bool) {
        let text = self.text.as_bytes();
        let most = if in_head { 40 } else { text.len() - 1 };
        if stream.write_all(&text[..most]).await.is_err() {
            return;
        }
        let (stopped, mut byte) = (Instant::now(), [0; 1]);
        if timeout(CLOSE_DUE + CLOSE_SLACK, stream.read(&mut byte)).await.is_err() {
            self.clients.recorder.history().ignored_clients.push((self.node, stopped.elapsed()));
        }
    }
}

/// Whether a reset tells that the other end closed with the request unread. Without one, it has read it: bytes that
/// come after a close, or lie unread at one, are answered by a reset.
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
