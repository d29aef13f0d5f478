//! The Faktory work protocol, version 2, on the same core. Off unless an operator's file is named on the
//! command line.

mod codec;
mod leases;
mod session;

use crate::acceptor::Acceptor;
use crate::counters::Counters;
use crate::dispatcher::{queue, Answer, Dispatcher, Front, Tag};
use crate::names::read_settings;
use crate::phase::Phase;
use crate::platform::socket::Socket;
use crate::transient::outlast;
use crate::START_WAIT;
use dewlever::api::{Outcome, Settings, WorkerId};
use leases::{Leases, RecordId, OFFER_WAIT};
use serde::Deserialize;
use serde_json::json;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{watch, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{interval, sleep, Instant};

/// How often a password is hashed.
const ROUNDS: u32 = 4000;

/// An operator's file: see `deploy/faktory.toml`.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where clients and workers connect.
    pub listen: SocketAddr,
    /// Connections at most.
    #[serde(default = "connections")]
    pub connections: usize,
    /// The environment variable that holds the password, where there is one.
    pub password_variable: Option<String>,
    /// Classes, tenants and rules, named as in the platform's settings.
    settings: serde_json::Value,
}

fn connections() -> usize {
    256
}

impl Operator {
    /// Reads the file's text.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let operator: Operator =
            toml::from_str(text).map_err(|e| format!("operator's file: {}", e.message()))?;
        let (settings, _) = read_settings(&operator.settings)?;
        if settings.cancelling {
            return Err("operator's file: attempts can't be called off (Limits.Cancelling)".to_string());
        }
        if operator.connections == 0 {
            return Err("operator's file: connections must be above zero".to_string());
        }
        Ok(operator)
    }
}

/// What sessions and the core's front share.
struct Shared {
    leases: Mutex<Leases>,
    password: Option<String>,
    counters: Arc<Counters>,
    phase: watch::Receiver<Phase>,
}

impl Shared {
    fn leases(&self) -> MutexGuard<'_, Leases> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The salt and rounds for one session, where there is a password.
    fn challenge(&self) -> Option<(String, u32)> {
        // The standard library's hasher is keyed anew, at random, each time.
        let salt = || format!("{:016x}", RandomState::new().build_hasher().finish());
        self.password.as_ref().map(|_| (salt(), ROUNDS))
    }

    fn info(&self) -> String {
        let (workers, jobs) = self.leases().figures();
        let c = &self.counters;
        json!({
            "faktory": {"total_enqueued": c.taken.get(), "total_processed": c.served.get(),
                "total_failures": c.failed.get() + c.refused.get(), "jobs": jobs, "workers": workers},
            "server": {"description": "molevale", "faktory_version": env!("CARGO_PKG_VERSION"),
                "command_count": c.sent.get()},
            "counters": c.to_string(),
        })
        .to_string()
    }
}

/// The front's half that the core drives.
struct Faktory {
    shared: Arc<Shared>,
}

impl Front for Faktory {
    type Job = RecordId;
    type Attempt = (RecordId, Tag);

    fn send(&mut self, tag: Tag, job: &RecordId, worker: WorkerId, _until: Instant) -> Self::Attempt {
        let id = *job;
        if self.shared.leases().offer(tag, id, worker) {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                sleep(OFFER_WAIT).await;
                shared.leases().withdraw(id, tag);
            });
        }
        (id, tag)
    }

    fn stop(&mut self, (id, tag): Self::Attempt, why: Outcome) {
        self.shared.leases().stop(id, tag, why);
    }

    fn answer(&mut self, job: RecordId, answer: Answer) {
        self.shared.leases().answer(job, answer);
    }

    fn taken(&mut self, job: &RecordId) {
        self.shared.leases().taken(*job);
    }
}

/// A core with this front, and no listener yet.
#[derive(Clone)]
pub struct Node {
    shared: Arc<Shared>,
    core: Arc<AbortHandle>,
    longest: Duration,
}

impl Node {
    /// Starts the core as a task of its own.
    pub fn start(
        operator: &Operator,
        seed: u64,
        password: Option<String>,
        counters: Arc<Counters>,
        phase: watch::Receiver<Phase>,
    ) -> Result<Node, String> {
        let (settings, names): (Settings, _) = read_settings(&operator.settings)?;
        // A job may wait so long for a FETCH of the worker that it was bound to.
        let settings = Settings { lag_us: OFFER_WAIT.as_micros() as u64, ..settings };
        let (handle, inbox) = queue();
        let span = Duration::from_micros;
        let windows: Vec<_> =
            settings.classes.iter().map(|c| (span(c.deadline_us), span(c.repeat_window_us))).collect();
        let longest = windows.iter().map(|w| w.0).max().unwrap_or_default();
        let leases = Mutex::new(Leases::new(handle.clone(), names, windows));
        let shared = Arc::new(Shared { leases, password, counters: counters.clone(), phase });
        let core = Dispatcher::new(settings, seed, Faktory { shared: shared.clone() }, counters);
        let core = tokio::spawn(core.map_err(|e| format!("settings: {e}"))?.run(inbox)).abort_handle();
        handle.list(Vec::new(), true);
        Ok(Node { shared, core: Arc::new(core), longest })
    }

    /// Serves one connection to its end.
    pub async fn session<S: AsyncRead + AsyncWrite + Unpin>(&self, socket: S) {
        session::serve(self.shared.clone(), socket).await;
    }

    /// Serves until it is told to stop and every job taken has its end state.
    pub async fn serve(&self, listener: TcpListener, connections: usize) -> Result<(), String> {
        let mut phase = self.shared.phase.clone();
        tokio::select! {
            () = accept(listener, Arc::new(Semaphore::new(connections)), self) => {}
            // Guards against a front that stays up and can decide nothing.
            () = self.core_ended() => return Err("the core has ended".to_string()),
            _ = phase.wait_for(|p| *p == Phase::Closing) => {}
        }
        // Workers go on to finish what they have; a deadline ends what they don't.
        let end = Instant::now() + self.longest;
        let mut look = interval(Duration::from_millis(50));
        while self.shared.leases().open() > 0 && Instant::now() < end {
            look.tick().await;
        }
        Ok(())
    }

    /// Returns once the core has ended, which it does not while all is well.
    async fn core_ended(&self) {
        let mut look = interval(Duration::from_secs(1));
        while !self.core.is_finished() {
            look.tick().await;
        }
    }
}

/// Listens where the operator's file says.
pub async fn listen(operator: &Operator) -> Result<TcpListener, String> {
    let listener = outlast(START_WAIT, || TcpListener::bind(operator.listen)).await;
    listener.map_err(|e| format!("cannot listen on {}: {e}", operator.listen))
}

/// Serves as the operator's file says.
pub async fn serve(
    operator: Operator,
    listener: TcpListener,
    counters: Arc<Counters>,
    phase: watch::Receiver<Phase>,
) -> Result<(), String> {
    let password = match &operator.password_variable {
        Some(name) => Some(std::env::var(name).map_err(|_| format!("operator's file: {name} is not set"))?),
        None => None,
    };
    let seed = RandomState::new().build_hasher().finish();
    Node::start(&operator, seed, password, counters, phase)?.serve(listener, operator.connections).await
}

async fn accept(listener: TcpListener, room: Arc<Semaphore>, node: &Node) {
    let mut acceptor = Acceptor::default();
    // The room is waited for before a connection is taken out of the backlog.
    while let Ok(permit) = room.clone().acquire_owned().await {
        let socket = acceptor.next(&listener).await.socket;
        let node = node.clone();
        tokio::spawn(async move {
            if socket.set_nodelay(true).is_ok() {
                node.session(Socket::new(socket)).await;
            }
            drop(permit);
        });
    }
}
