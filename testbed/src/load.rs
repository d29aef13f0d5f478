//! Open-loop load of jobs: each is due at a drawn time whether or not the ones before it have ended, and its time is
//! counted from when it was due.

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
/// Time beyond a job's deadline before it counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Idle connections that are kept to each node.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// Mean and deviation of the logarithm of a job's work, relative to its class: works differ by about half of their mean.
const WORK_LOG_MEAN: f64 = -0.1;
const WORK_LOG_DEVIATION: f64 = 0.45;
/// Bounds of a job's work, relative to its class.
const WORK_FACTOR_MIN: f64 = 0.2;
const WORK_FACTOR_MAX: f64 = 5.0;

/// Class of jobs.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its share of the jobs.
    pub share: f64,
    /// Its mean work.
    pub work: Duration,
    /// A job is in time within this, and `stretch` times its own work.
    pub latency_objective: Duration,
    /// Multiple of a job's own work that is allowed in addition.
    pub stretch: f64,
    /// Time that its client waits.
    pub deadline: Duration,
    /// Priority weight of each second of work.
    pub priority_weight: f64,
    /// Whether it carries an idempotency key.
    pub keyed: bool,
}

/// Jobs as the platform has them, a fifth as long.
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
    /// Jobs a second.
    pub rate: f64,
    /// Duration.
    pub duration: Duration,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// The tenants, all with the same share of the jobs.
    pub tenants: Vec<String>,
}

/// Outcome of a load: counts of jobs by how they ended.
#[derive(Clone)]
pub struct Report {
    /// Jobs that were due.
    pub due: u64,
    /// Served in time.
    pub in_time: u64,
    /// Served too late to be worth anything.
    pub late: u64,
    /// Rejected.
    pub shed: u64,
    /// Failed.
    pub failed: u64,
    /// No answer at all by their deadline.
    pub lost: u64,
    /// Of those that failed or were lost, the number that was sent to each node.
    pub unserved_by_node: HashMap<SocketAddr, u64>,
    /// Due while no node was healthy.
    pub without_node: u64,
    /// Priority weight that was served in time, as a share of all that was due.
    pub weight_in_time: f64,
    /// Time from when each was due to its answer, in microseconds, of those served.
    pub latencies: Histogram<u64>,
    /// Of jobs with an idempotency key: how often each was answered 200.
    pub answers_by_key: HashMap<String, u32>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "worth {:.3}; {} due, {} in time, {} late, {} refused, {} failed, {} lost, {} nowhere; median {:.0} ms, \
             99% {:.0} ms",
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
            latencies: Histogram::new(3).expect("three digits are allowed"),
            answers_by_key: HashMap::new(),
        }
    }
}

/// Report that grows with each job.
struct Tally {
    report: Report,
    /// Weight that was served in time, and that was due.
    served_weight: f64,
    due_weight: f64,
}

/// Idle connections by node.
type ConnectionPool = Mutex<HashMap<SocketAddr, Vec<BufReader<TcpStream>>>>;

/// What all jobs of a load share.
struct Shared {
    tally: Mutex<Tally>,
    /// Nodes that passed their last health check.
    healthy: Mutex<Vec<SocketAddr>>,
    pool: ConnectionPool,
}

/// A drawn job.
struct Job {
    class: Class,
    id: String,
    tenant: String,
    work: Duration,
    due: Instant,
    /// Chooses among the nodes that are healthy when it is due.
    choice: u64,
}

/// Plays a load against these nodes, through a load balancer that takes a node out once it says that it is not up.
///
/// # Panics
/// Where the rate is not above zero, or there is no tenant.
pub async fn run_load(load: Load, nodes: Vec<SocketAddr>) -> Report {
    let shared = Arc::new(Shared {
        tally: Mutex::new(Tally { report: Report::empty(), served_weight: 0.0, due_weight: 0.0 }),
        healthy: Mutex::new(nodes.clone()),
        pool: Mutex::default(),
    });
    let health_checks = tokio::spawn(check_health(nodes, shared.clone()));
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let gap = Exp::new(load.rate).expect("a rate above zero");
    let (start, mut at, mut jobs) = (Instant::now(), Duration::ZERO, JoinSet::new());
    for number in 0u64.. {
        at += Duration::from_secs_f64(gap.sample(&mut rng));
        if at >= load.duration {
            break;
        }
        let job = Job::draw(&load, number, start + at, &mut rng);
        sleep_until(job.due).await;
        let shared = shared.clone();
        jobs.spawn(async move { job.run(&shared).await });
        while jobs.try_join_next().is_some() {}
    }
    while jobs.join_next().await.is_some() {}
    health_checks.abort();
    let tally = lock(&shared.tally);
    Report { weight_in_time: tally.served_weight / tally.due_weight.max(1e-9), ..tally.report.clone() }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Answered { node: SocketAddr, status: u16 },
    Lost { node: SocketAddr },
    NoNode,
}

impl Job {
    fn draw(load: &Load, number: u64, due: Instant, rng: &mut SmallRng) -> Job {
        let factor = LogNormal::<f64>::new(WORK_LOG_MEAN, WORK_LOG_DEVIATION).expect("finite");
        let [first, second] = classes();
        let class = if rng.random::<f64>() < first.share { first } else { second };
        let work = class.work.mul_f64(factor.sample(rng).clamp(WORK_FACTOR_MIN, WORK_FACTOR_MAX));
        let tenant = load.tenants[rng.random_range(0..load.tenants.len())].clone();
        let choice = rng.random();
        let id = format!("{:016x}", load.seed.rotate_left(40) ^ number);
        Job { class, id, tenant, work, due, choice }
    }

    async fn run(self, shared: &Shared) {
        let node = {
            let healthy = lock(&shared.healthy);
            healthy.get(self.choice as usize % healthy.len().max(1)).copied()
        };
        let end = match node {
            Some(node) => self.send(node, &shared.pool).await,
            None => End::NoNode,
        };
        lock(&shared.tally).count(&self, end);
    }

    /// Sends the job to a node and waits for its answer.
    async fn send(&self, node: SocketAddr, pool: &ConnectionPool) -> End {
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
                // A node may close a connection between two requests; then the client sends once more on a new one.
                if let Some(answer) = request(stream, &text).await {
                    return Some(answer);
                }
            }
            request(BufReader::new(TcpStream::connect(node).await.ok()?), &text).await
        };
        let left = (self.due + self.class.deadline + LOST_AFTER).saturating_duration_since(Instant::now());
        let Ok(Some((status, stream))) = timeout(left, exchange).await else { return End::Lost { node } };
        let mut pool = lock(pool);
        let idle = pool.entry(node).or_default();
        if let Some(stream) = stream.filter(|_| idle.len() < IDLE_CONNECTIONS_MAX) {
            idle.push(stream);
        }
        End::Answered { node, status }
    }
}

impl Tally {
    fn count(&mut self, job: &Job, end: End) {
        let worth = job.class.priority_weight * job.work.as_secs_f64();
        self.due_weight += worth;
        self.report.due += 1;
        match end {
            End::Answered { status: 200, .. } => self.count_served(job, worth),
            End::Answered { status: 429 | 503, .. } => self.report.shed += 1,
            End::Answered { node, .. } => {
                self.report.failed += 1;
                *self.report.unserved_by_node.entry(node).or_default() += 1;
            }
            End::Lost { node } => {
                self.report.lost += 1;
                *self.report.unserved_by_node.entry(node).or_default() += 1;
            }
            End::NoNode => self.report.without_node += 1,
        }
    }

    fn count_served(&mut self, job: &Job, worth: f64) {
        let (took, class) = (job.due.elapsed(), &job.class);
        if class.keyed {
            *self.report.answers_by_key.entry(job.id.clone()).or_default() += 1;
        }
        let _ = self.report.latencies.record(took.as_micros() as u64); // the histogram grows with what it is given
        if took <= class.latency_objective + job.work.mul_f64(class.stretch) {
            self.report.in_time += 1;
            self.served_weight += worth;
        } else {
            self.report.late += 1;
        }
    }
}

/// Sends a request and reads its answer: the status, and the connection where it stays open.
async fn request(
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

/// Takes nodes in and out by their health checks.
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
