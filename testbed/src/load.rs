//! Open-loop load: each request is due at a random time whether or not earlier ones have ended, and its
//! latency counts from when it was due.

use crate::wire::{head, length, request_with_fields, status};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Interval of the load balancer's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of one health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after a request's deadline until it counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of idle connections to each node.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// Mean and deviation of the logarithm of a request's work, relative to its class: the standard deviation of
/// the work is about half of its mean.
const WORK_LOG_MEAN: f64 = -0.1;
const WORK_LOG_DEVIATION: f64 = 0.45;
/// Bounds of a request's work, relative to its class.
const WORK_FACTOR_MIN: f64 = 0.2;
const WORK_FACTOR_MAX: f64 = 5.0;

/// Request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Mean work.
    pub work: Duration,
    /// A request is in time if answered within this plus `stretch` times its own work.
    pub latency_objective: Duration,
    /// Multiple of the request's own work that is allowed in addition.
    pub stretch: f64,
    /// Time for which the client waits.
    pub deadline: Duration,
    /// Priority weight per second of work.
    pub priority_weight: f64,
    /// Whether its requests have an idempotency key.
    pub keyed: bool,
}

/// Returns the platform's request classes, with work a fifth as long.
pub fn classes() -> [Class; 2] {
    let ms = Duration::from_millis;
    let check = Class {
        name: "check",
        share: 0.59,
        work: ms(120),
        latency_objective: ms(250),
        stretch: 2.5,
        deadline: ms(3_000),
        priority_weight: 2.0,
        keyed: false,
    };
    let lodge = Class {
        name: "lodge",
        share: 0.41,
        work: ms(600),
        latency_objective: ms(800),
        stretch: 2.0,
        deadline: ms(8_000),
        priority_weight: 5.0,
        keyed: true,
    };
    [check, lodge]
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: f64,
    /// Duration.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Tenants, each with the same share of the requests.
    pub tenants: Vec<String>,
}

/// Outcome of a load: counts of requests by outcome.
#[derive(Clone)]
pub struct Report {
    /// Requests that were due.
    pub due: u64,
    /// Succeeded in time.
    pub in_time: u64,
    /// Succeeded too late to count.
    pub late: u64,
    /// Shed by the node (429 or 503).
    pub shed: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer by the deadline.
    pub lost: u64,
    /// Number of failed or lost requests, by the node that they were sent to.
    pub unserved_by_node: HashMap<SocketAddr, u64>,
    /// Due while no node was healthy.
    pub without_node: u64,
    /// Priority weight served in time, as a share of the weight due.
    pub weight_in_time: f64,
    /// Latency of successful requests from when they were due, in microseconds.
    pub latencies: Histogram<u64>,
    /// Number of 200 answers of each request with an idempotency key, by request id.
    pub answers_by_key: HashMap<String, u32>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "weight in time {:.3}; {} due, {} in time, {} late, {} shed, {} failed, {} lost, {} without node; \
             median {:.0} ms, 99% {:.0} ms",
            self.weight_in_time,
            self.due,
            self.in_time,
            self.late,
            self.shed,
            self.failed,
            self.lost,
            self.without_node,
            self.latencies.value_at_quantile(0.5) as f64 / 1e3,
            self.latencies.value_at_quantile(0.99) as f64 / 1e3
        )
    }
}

impl Report {
    fn empty() -> Report {
        Report {
            due: 0,
            in_time: 0,
            late: 0,
            shed: 0,
            failed: 0,
            lost: 0,
            unserved_by_node: HashMap::new(),
            without_node: 0,
            weight_in_time: 0.0,
            latencies: Histogram::new(3).expect("3 significant digits are supported"),
            answers_by_key: HashMap::new(),
        }
    }
}

/// Accumulates the report.
struct Tally {
    report: Report,
    /// Priority weight served in time, and due.
    weight_in_time: f64,
    due_weight: f64,
}

/// Idle connections by node.
type ConnectionPool = Mutex<HashMap<SocketAddr, Vec<BufReader<TcpStream>>>>;

/// State shared by all requests of a load.
struct Shared {
    tally: Mutex<Tally>,
    /// Nodes that passed their last health check.
    healthy: Mutex<Vec<SocketAddr>>,
    pool: ConnectionPool,
}

/// One request of the load.
struct Request {
    class: Class,
    id: String,
    tenant: String,
    work: Duration,
    due: Instant,
    /// Random number that selects among the nodes that are healthy when the request is due.
    choice: u64,
}

/// Runs a load against these nodes, as through a load balancer that skips nodes whose last health check
/// failed.
///
/// # Panics
/// If the rate is not above zero, or there is no tenant.
pub async fn run_load(load: Load, nodes: Vec<SocketAddr>) -> Report {
    let shared = Arc::new(Shared {
        tally: Mutex::new(Tally { report: Report::empty(), weight_in_time: 0.0, due_weight: 0.0 }),
        healthy: Mutex::new(nodes.clone()),
        pool: Mutex::default(),
    });
    let health_checks = tokio::spawn(check_health(nodes, shared.clone()));
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let gap = Exp::new(load.rate).expect("the rate is above zero");
    let (start, mut at, mut requests) = (Instant::now(), Duration::ZERO, JoinSet::new());
    for number in 0u64.. {
        at += Duration::from_secs_f64(gap.sample(&mut rng));
        if at >= load.duration {
            break;
        }
        let request = Request::draw(&load, number, start + at, &mut rng);
        sleep_until(request.due).await;
        let shared = shared.clone();
        requests.spawn(async move { request.run(&shared).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
    health_checks.abort();
    let tally = lock(&shared.tally);
    Report { weight_in_time: tally.weight_in_time / tally.due_weight.max(1e-9), ..tally.report.clone() }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Answered { node: SocketAddr, status: u16 },
    Lost { node: SocketAddr },
    NoNode,
}

impl Request {
    fn draw(load: &Load, number: u64, due: Instant, rng: &mut SmallRng) -> Request {
        let factor =
            LogNormal::<f64>::new(WORK_LOG_MEAN, WORK_LOG_DEVIATION).expect("the deviation is finite");
        let [first, second] = classes();
        let class = if rng.random::<f64>() < first.share { first } else { second };
        let work = class.work.mul_f64(factor.sample(rng).clamp(WORK_FACTOR_MIN, WORK_FACTOR_MAX));
        let tenant = load.tenants[rng.random_range(0..load.tenants.len())].clone();
        let choice = rng.random();
        let id = format!("{:016x}", load.seed.rotate_left(40) ^ number);
        Request { class, id, tenant, work, due, choice }
    }

    async fn run(self, shared: &Shared) {
        let node = {
            let healthy = lock(&shared.healthy);
            healthy.get(self.choice as usize % healthy.len().max(1)).copied()
        };
        let outcome = match node {
            Some(node) => self.send(node, &shared.pool).await,
            None => Outcome::NoNode,
        };
        lock(&shared.tally).count(&self, outcome);
    }

    /// Sends the request to a node and waits for the answer.
    async fn send(&self, node: SocketAddr, pool: &ConnectionPool) -> Outcome {
        let key = self.class.keyed.then(|| format!("key-{}", self.id));
        let (deadline, us) = (self.class.deadline.as_secs_f64(), self.work.as_micros() as u64);
        let body = us.to_string();
        let text = request_with_fields(
            self.class.name,
            &self.id,
            &self.tenant,
            key.as_deref(),
            deadline,
            Some(us),
            &body,
        );
        let idle = lock(pool).get_mut(&node).and_then(Vec::pop);
        let exchange = async {
            if let Some(stream) = idle {
                // A node may close an idle connection at any time; the client then retries once on a new one.
                if let Some(answer) = send_request(stream, &text).await {
                    return Some(answer);
                }
            }
            send_request(BufReader::new(TcpStream::connect(node).await.ok()?), &text).await
        };
        let time_left =
            (self.due + self.class.deadline + LOST_AFTER).saturating_duration_since(Instant::now());
        let Ok(Some((status, stream))) = timeout(time_left, exchange).await else {
            return Outcome::Lost { node };
        };
        let mut pool = lock(pool);
        let idle = pool.entry(node).or_default();
        if let Some(stream) = stream.filter(|_| idle.len() < IDLE_CONNECTIONS_MAX) {
            idle.push(stream);
        }
        Outcome::Answered { node, status }
    }
}

impl Tally {
    fn count(&mut self, request: &Request, outcome: Outcome) {
        let weight = request.class.priority_weight * request.work.as_secs_f64();
        self.due_weight += weight;
        self.report.due += 1;
        match outcome {
            Outcome::Answered { status: 200, .. } => self.count_served(request, weight),
            Outcome::Answered { status: 429 | 503, .. } => self.report.shed += 1,
            Outcome::Answered { node, .. } => {
                self.report.failed += 1;
                *self.report.unserved_by_node.entry(node).or_default() += 1;
            }
            Outcome::Lost { node } => {
                self.report.lost += 1;
                *self.report.unserved_by_node.entry(node).or_default() += 1;
            }
            Outcome::NoNode => self.report.without_node += 1,
        }
    }

    fn count_served(&mut self, request: &Request, weight: f64) {
        let (took, class) = (request.due.elapsed(), &request.class);
        if class.keyed {
            *self.report.answers_by_key.entry(request.id.clone()).or_default() += 1;
        }
        let _ = self.report.latencies.record(took.as_micros() as u64); // the histogram resizes itself
        if took <= class.latency_objective + request.work.mul_f64(class.stretch) {
            self.report.in_time += 1;
            self.weight_in_time += weight;
        } else {
            self.report.late += 1;
        }
    }
}

/// Sends a request and reads the answer; returns its status, and the connection unless the node closes it.
async fn send_request(
    mut stream: BufReader<TcpStream>,
    text: &str,
) -> Option<(u16, Option<BufReader<TcpStream>>)> {
    stream.write_all(text.as_bytes()).await.ok()?;
    let head = head(&mut stream).await?;
    let mut body = vec![0; length(&head)];
    stream.read_exact(&mut body).await.ok()?;
    let closes = head.to_ascii_lowercase().contains("connection: close");
    Some((status(&head)?, (!closes).then_some(stream)))
}

/// Keeps the set of healthy nodes up to date by health checks.
async fn check_health(nodes: Vec<SocketAddr>, shared: Arc<Shared>) {
    loop {
        let mut checks = JoinSet::new();
        for node in nodes.clone() {
            checks.spawn(async move {
                (node, timeout(HEALTH_CHECK_TIMEOUT, is_healthy(node)).await == Ok(Some(true)))
            });
        }
        let mut healthy = Vec::new();
        while let Some(Ok((node, is_healthy))) = checks.join_next().await {
            healthy.extend(is_healthy.then_some(node));
        }
        healthy.sort();
        *lock(&shared.healthy) = healthy;
        sleep(HEALTH_CHECK_INTERVAL).await;
    }
}

async fn is_healthy(node: SocketAddr) -> Option<bool> {
    let mut stream = BufReader::new(TcpStream::connect(node).await.ok()?);
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: testbed\r\nConnection: close\r\n\r\n").await.ok()?;
    Some(status(&head(&mut stream).await?)? == 200)
}
