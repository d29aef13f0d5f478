//! Soak of the Faktory frontend: a real process with drawn clients and workers that is told to stop. Clients lose their
//! connections, push their jobs again before and after the end, and ask over old and new connections; workers acknowledge,
//! fail, vanish and stall. Judged by what clients and workers saw.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{faktory_job, settings};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use testbed::process::{call, Process};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Instant};

const CLIENTS: u64 = 24;
const WORKERS: u64 = 8;
const LOAD_TIME: Duration = Duration::from_secs(4);
/// Deadline of both classes, and time from SIGTERM to SIGKILL that follows from it.
const DEADLINE: Duration = Duration::from_secs(3);
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// Time after SIGTERM for which clients push jobs. The node takes some for longer, which SIGKILL may interrupt.
const PUSHES_AFTER_STOP: Duration = Duration::from_millis(300);
/// Time after SIGTERM for which clients lose replies.
const LOSSES_AFTER_STOP: Duration = Duration::from_millis(2_500);
/// Time after a question within which a client loses its connection; shorter than that in which the node takes a reset for
/// a lost reply.
const LOSS_TIME: Duration = Duration::from_millis(10);
/// One in so many jobs is pushed under another id, too.
const JOBS_FOR_EACH_OTHER_ID: usize = 3;
/// Error of a node that has no job under an id.
const UNKNOWN_JOB: &str = "this job is unknown";
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A connection to the frontend; each call fails once it has ended.
struct Session(BufReader<TcpStream>);

impl Session {
    async fn open(address: SocketAddr, worker_id: Option<&str>) -> io::Result<Session> {
        let mut session = Session(BufReader::new(TcpStream::connect(address).await?));
        session.read_reply().await?;
        let hello = match worker_id {
            Some(id) => json!({"v": 2, "wid": id}),
            None => json!({"v": 2}),
        };
        session.exchange(&format!("HELLO {hello}")).await?;
        Ok(session)
    }

    async fn send(&mut self, line: &str) -> io::Result<()> {
        self.0.get_mut().write_all(format!("{line}\r\n").as_bytes()).await
    }

    async fn read_reply(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.0.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_string();
        let Some(length) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else {
            return Ok(line);
        };
        let mut bulk = vec![0; length + 2];
        self.0.read_exact(&mut bulk).await?;
        Ok(String::from_utf8_lossy(&bulk[..length]).into_owned())
    }

    async fn exchange(&mut self, line: &str) -> io::Result<String> {
        self.send(line).await?;
        self.read_reply().await
    }
}

/// What clients and workers saw of a job.
#[derive(Clone, Debug, Default)]
struct JobRecord {
    runs: Vec<Instant>,
    is_accepted: bool,
    /// Its ends in the order in which they were read, and when; a client that pushes again reads one more.
    ends: Vec<(Instant, String)>,
}

/// A run: the stand-ins share it.
struct Soak {
    address: SocketAddr,
    jobs: Mutex<BTreeMap<String, JobRecord>>,
    /// When the node was told to stop.
    stopped_at: OnceLock<Instant>,
}

impl Soak {
    fn update(&self, jid: &str, change: impl FnOnce(&mut JobRecord)) {
        change(self.jobs.lock().unwrap().entry(jid.to_string()).or_default());
    }

    fn is_stopping(&self) -> bool {
        self.stopped_at.get().is_some()
    }

    /// Whether a job that is pushed now ends before the node may be killed, even if it ends at its deadline.
    fn may_push(&self) -> bool {
        self.stopped_at.get().is_none_or(|at| at.elapsed() < PUSHES_AFTER_STOP)
    }

    /// Whether a client that loses a reply can still ask again before the node has to end.
    fn may_lose_replies(&self) -> bool {
        self.stopped_at.get().is_none_or(|at| at.elapsed() < LOSSES_AFTER_STOP)
    }

    /// Fetches jobs until the node has ended, with a new connection and name after each drawn loss.
    async fn work(self: Arc<Self>, number: u64, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (number << 32));
        for generation in 0.. {
            let name = format!("w{number}-{generation}");
            let Ok(session) = Session::open(self.address, Some(&name)).await else { return };
            let _ = self.work_until_lost(session, &mut rng).await; // an error is the end of the node
        }
    }

    async fn work_until_lost(&self, mut session: Session, rng: &mut SmallRng) -> io::Result<()> {
        loop {
            let reply = session.exchange("FETCH check lodge").await?;
            let Ok(job) = serde_json::from_str::<Value>(&reply) else { continue };
            let jid = job["jid"].as_str().unwrap().to_string();
            self.update(&jid, |job| job.runs.push(Instant::now()));
            sleep(Duration::from_millis(rng.random_range(5..150))).await;
            match rng.random_range(0..25) {
                0 => return Ok(()),
                1 => sleep(DEADLINE).await,
                2 => {
                    let failure = json!({"jid": jid, "errtype": "E", "message": "m"});
                    session.exchange(&format!("FAIL {failure}")).await?;
                }
                _ => {
                    session.exchange(&format!("ACK {}", json!({"jid": jid}))).await?;
                }
            }
        }
    }

    /// Pushes one job after the other until the node is told to stop, and reads the end of each.
    async fn push_jobs(self: Arc<Self>, number: u64, class: &'static str, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed ^ (number << 16) ^ 1);
        for n in 0.. {
            if self.is_stopping() {
                return;
            }
            let jid = format!("job-{number:03}-{n:05}");
            let other_id = format!("{jid}-again");
            let other_id = (n % JOBS_FOR_EACH_OTHER_ID == 0).then_some(other_id.as_str());
            if self.follow_job_with_ids(&jid, other_id, class, &mut rng).await.is_err() {
                return; // the node has ended; what is missing shows in the records
            }
        }
    }

    /// Pushes a job under an id, and where `other_id` is given under that one, too. Follows the first id to its end, and reads the
    /// end under the other one after that.
    async fn follow_job_with_ids(
        &self,
        jid: &str,
        other_id: Option<&str>,
        class: &str,
        rng: &mut SmallRng,
    ) -> io::Result<()> {
        let Some(other_id) = other_id else { return self.follow_job(jid, class, rng).await };
        let mut session = Session::open(self.address, None).await?;
        let push = format!("PUSH {}", faktory_job(class, jid, jid));
        let push_under_other_id = format!("PUSH {}", faktory_job(class, other_id, jid));
        if !self.is_accepted(&mut session, &push, jid).await? {
            return Ok(());
        }
        let has_joined = self.is_accepted(&mut session, &push_under_other_id, other_id).await?;
        self.read_end_and_push_again(&mut session, &push, jid, rng).await?;
        if has_joined {
            self.read_end(&mut session, other_id, rng).await?;
        }
        Ok(())
    }

    /// Pushes a job under an id, if it may be pushed now, and returns whether it is accepted.
    async fn is_accepted(&self, session: &mut Session, push: &str, jid: &str) -> io::Result<bool> {
        let is_accepted = self.may_push() && session.exchange(push).await? == "+OK";
        self.update(jid, |job| job.is_accepted |= is_accepted);
        Ok(is_accepted)
    }

    /// Pushes a job, in some cases again behind a lost connection, reads its end, and in some cases pushes it once more.
    async fn follow_job(&self, jid: &str, class: &str, rng: &mut SmallRng) -> io::Result<()> {
        let push = format!("PUSH {}", faktory_job(class, jid, jid));
        if rng.random_bool(0.3) {
            Session::open(self.address, None).await?.send(&push).await?; // its reply is never read
            sleep(Duration::from_millis(rng.random_range(1..1_200))).await;
        }
        let mut session = Session::open(self.address, None).await?;
        if !self.is_accepted(&mut session, &push, jid).await? {
            return Ok(());
        }
        self.read_end_and_push_again(&mut session, &push, jid, rng).await
    }

    /// Reads the end of an accepted job, and in some cases pushes it once more.
    async fn read_end_and_push_again(
        &self,
        session: &mut Session,
        push: &str,
        jid: &str,
        rng: &mut SmallRng,
    ) -> io::Result<()> {
        self.read_end(session, jid, rng).await?;
        if rng.random_bool(0.3) && self.may_push() && session.exchange(push).await? == "+OK" {
            self.read_end(session, jid, rng).await?;
        }
        Ok(())
    }

    /// Asks over a connection of its own that is lost before the reply is read, and waits before it connects again. Returns
    /// the reply if this process was too slow to lose it.
    async fn lose_reply(&self, question: &str, rng: &mut SmallRng) -> io::Result<Option<String>> {
        let mut session = Session::open(self.address, None).await?;
        let sent_at = Instant::now();
        session.send(question).await?;
        sleep(Duration::from_millis(rng.random_range(0..5))).await;
        if sent_at.elapsed() > LOSS_TIME {
            return session.read_reply().await.map(Some);
        }
        drop(session);
        sleep(Duration::from_millis(rng.random_range(0..300))).await;
        Ok(None)
    }

    async fn read_end(&self, session: &mut Session, jid: &str, rng: &mut SmallRng) -> io::Result<()> {
        let connects_anew = rng.random_bool(0.3);
        loop {
            sleep(Duration::from_millis(rng.random_range(30..120))).await;
            if connects_anew {
                *session = Session::open(self.address, None).await?;
            }
            let question = format!("TRACK GET {jid}");
            let reply = if rng.random_bool(0.3) && self.may_lose_replies() {
                self.lose_reply(&question, rng).await?
            } else {
                Some(session.exchange(&question).await?)
            };
            let Some(reply) = reply else { continue };
            if reply.contains(UNKNOWN_JOB) {
                self.update(jid, |job| job.ends.push((Instant::now(), UNKNOWN_JOB.to_string())));
                return Ok(());
            }
            let state = serde_json::from_str::<Value>(&reply).unwrap_or_default();
            let Some(answer) = state["answer"].as_str() else { continue };
            self.update(jid, |job| job.ends.push((Instant::now(), answer.to_string())));
            return Ok(());
        }
    }
}

async fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

/// Starts a node with both frontends, whose class `lodge` has this effect.
async fn start_node(folder: &Path, faktory: SocketAddr, semantics: &str) -> Process {
    let mut settings = settings(false, 1_000_000);
    for class in 0..2 {
        settings["Profiles"][class]["DeadlineUs"] = (DEADLINE.as_micros() as u64).into();
    }
    settings["Profiles"][1]["Semantics"] = semantics.into();
    let file = folder.join("faktory.toml");
    std::fs::create_dir_all(folder).unwrap();
    std::fs::write(&file, toml::to_string(&json!({"listen": faktory, "settings": settings})).unwrap())
        .unwrap();
    let config = json!({"name": "n1", "listen": free_address().await, "discovery": "127.0.0.1:1", "seed": "1",
        "management": free_address().await, "settings": settings});
    let arguments = ["--faktory", file.to_str().unwrap()];
    let node =
        Process::start(Path::new(env!("CARGO_BIN_EXE_molevale")), folder, &config, &arguments).unwrap();
    while call(node.management, "GET", "/healthcheck").await.is_none_or(|(status, _)| status != 200) {
        sleep(POLL_INTERVAL).await;
    }
    node
}

/// Sends SIGTERM, twice in some runs, and waits for the end; returns the exit code, or kills the node when its time is over.
async fn stop_node(node: &mut Process, is_told_twice: bool) -> Option<i32> {
    let stopped_at = Instant::now();
    node.signal(Signal::TERM);
    if is_told_twice {
        sleep(Duration::from_millis(300)).await;
        node.signal(Signal::TERM);
    }
    while stopped_at.elapsed() < KILL_AFTER {
        if let Some(status) = node.exit_status() {
            return status.code();
        }
        sleep(POLL_INTERVAL).await;
    }
    node.kill();
    None
}

/// Checks the records of a run in which the node has ended by itself.
fn check(jobs: &BTreeMap<String, JobRecord>, semantics: &str, context: &str) {
    for (jid, job) in jobs {
        let context = format!("{context}: {jid}, {job:?}");
        assert!(!job.is_accepted || !job.ends.is_empty(), "{context}: its end was not read");
        assert!(job.ends.iter().all(|(_, end)| end != UNKNOWN_JOB), "{context}: its end was forgotten");
        if semantics == "safe" {
            continue; // a repeat after the end is a job of its own
        }
        check_ends(job, &context);
        assert!(semantics != "unsafe" || job.runs.len() <= 1, "{context}: ran twice, its class is unsafe");
    }
}

/// Checks that an end is final, for a class whose jobs may not run again. Only a refusal of a job that no worker got lets
/// the client try again: the next push may have another end.
fn check_ends(job: &JobRecord, context: &str) {
    for (index, (read_at, end)) in job.ends.iter().enumerate() {
        let later_runs = job.runs.iter().filter(|run| *run > read_at).count();
        let changes = job.ends[index + 1..].iter().any(|(_, later)| later != end);
        if later_runs == 0 && !changes {
            continue;
        }
        assert_eq!(end, "refused", "{context}: ran again or got another end after its end");
        assert_eq!(job.runs.len(), later_runs, "{context}: tried again after a refusal, but had run before");
    }
}

/// Guards against reviews 1, 3 and 10 in drawn orders of events: a second execution for a client that pushes again, ends that
/// clients cannot read because the node has ended, and ends that are forgotten because the job was pushed under another id again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drawn_faktory_clients_get_one_end_and_no_second_execution() {
    for (seed, semantics) in [(61, "unsafe"), (62, "keyed"), (63, "safe"), (64, "unsafe")] {
        let folder =
            std::env::temp_dir().join(format!("molevale-soak-faktory-{}-{seed}", std::process::id()));
        let address = free_address().await;
        let mut node = start_node(&folder, address, semantics).await;
        let soak = Arc::new(Soak { address, jobs: Mutex::default(), stopped_at: OnceLock::new() });
        let workers: Vec<_> = (0..WORKERS).map(|n| tokio::spawn(soak.clone().work(n, seed))).collect();
        let clients: Vec<_> =
            (0..CLIENTS).map(|n| tokio::spawn(soak.clone().push_jobs(n, "lodge", seed))).collect();
        sleep(LOAD_TIME).await;
        soak.stopped_at.get_or_init(Instant::now);
        let code = stop_node(&mut node, seed % 2 == 0).await;
        for client in clients {
            client.await.unwrap();
        }
        workers.iter().for_each(|worker| worker.abort());
        let jobs = soak.jobs.lock().unwrap().clone();
        let context = format!("seed {seed}, {semantics}, log {}", node.log.display());
        assert_eq!(code, Some(0), "{context}: the node did not end by itself");
        assert!(
            jobs.values().filter(|job| !job.runs.is_empty()).count() > 50,
            "{context}: {} jobs",
            jobs.len()
        );
        check(&jobs, semantics, &context);
        std::fs::remove_dir_all(folder).unwrap();
    }
}
