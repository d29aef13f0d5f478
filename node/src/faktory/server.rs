//! Server of the Faktory frontend: start, accept loop, and shutdown once every accepted job has its answer and its client
//! has read it.

use super::authentication::Challenge;
use super::config::FaktoryConfig;
use super::leases::{ClassLimits, Intake, JobNumber, LeaseTable, SessionNumber, TableLimits, OFFER_TIMEOUT};
use super::session;
use super::transport::FaktoryTransport;
use crate::acceptor::Acceptor;
use crate::counters::Counters;
use crate::dispatcher::{queue, Dispatcher, Inbox};
use crate::kill_time::KillTime;
use crate::memory::{MemoryPlan, QUEUED_EVENT_BYTES};
use crate::names::{self, parse_settings};
use crate::phase::{Phase, Phases};
use crate::platform::socket::Socket;
use crate::startup::START_RETRY_LIMIT;
use crate::transient::retry_local_failures;
use dispatch_policy::api::{InvalidSettings, Settings};
use serde_json::json;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::{interval, Instant};

/// Interval at which the shutdown checks what is still owed.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the server checks whether the dispatcher still runs.
const DISPATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

const _: () =
    assert!(Inbox::<JobNumber>::EVENT_BYTES <= QUEUED_EVENT_BYTES, "the memory plan counts too little");

/// Error that ends the frontend or prevents its start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address in the configuration file.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
    /// The environment variable for the password is not set.
    #[error("operator's file: {0} is not set")]
    PasswordNotSet(String),
    /// The settings can't be parsed.
    #[error("{0}")]
    Settings(#[source] names::ParseError),
    /// The settings are invalid.
    #[error("settings: {0}")]
    InvalidSettings(#[source] InvalidSettings),
    /// The dispatcher has ended, so no job can be dispatched.
    #[error("the core has ended")]
    DispatcherEnded,
}

/// State shared by the sessions and the dispatcher's transport.
pub(super) struct SharedState {
    leases: Mutex<LeaseTable>,
    password: Option<String>,
    counters: Arc<Counters>,
    phases: Phases,
    /// Longest time for which an open job can last.
    longest_deadline: Duration,
    /// When a stopping process may be killed. The settings of this frontend are those of its start.
    kill_time: KillTime,
    /// Number of replies that are being written.
    replies: Arc<AtomicUsize>,
    next_session: AtomicU64,
}

/// A reply that is being written, until it is dropped.
pub(super) struct PendingReply(Arc<AtomicUsize>);

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SharedState {
    /// Locks the lease table. The guard must not be held across an `await`.
    pub fn leases(&self) -> MutexGuard<'_, LeaseTable> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of a new session.
    pub fn number_session(&self) -> SessionNumber {
        self.next_session.fetch_add(1, Ordering::Relaxed)
    }

    /// The password, if there is one.
    pub fn password(&self) -> Option<&str> {
        self.password.as_deref()
    }

    /// Counters of this frontend.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Whether new jobs are taken. None are once they would have to be answered before SIGKILL may come.
    pub fn intake(&self) -> Intake {
        let is_closing = self.phases.current().closes_connections();
        if is_closing || self.kill_time.answer_deadline().is_some() {
            return Intake::Closed;
        }
        Intake::Open
    }

    /// Counts a reply as being written until the result is dropped.
    pub fn begin_reply(&self) -> PendingReply {
        self.replies.fetch_add(1, Ordering::Relaxed);
        PendingReply(self.replies.clone())
    }

    /// Whether clients and workers are owed something that they can still get until `end`: the end of a job, the answer to
    /// one, or a reply.
    fn owes_anything(&self, jobs_end: Instant, end: Instant) -> bool {
        let now = Instant::now();
        let leases = self.leases();
        (leases.open_job_count() > 0 && now < jobs_end)
            || leases.owes_answers(end)
            || (self.replies.load(Ordering::Relaxed) > 0 && now < end)
    }

    /// Generates the challenge of a session, if there is a password.
    pub fn challenge(&self) -> Option<Challenge> {
        self.password.as_ref().map(|_| Challenge::generate())
    }

    /// Reply to `INFO`, as JSON.
    pub fn info_json(&self) -> String {
        let (workers, jobs) = {
            let leases = self.leases();
            (leases.worker_count(), leases.job_count())
        };
        let counters = &self.counters;
        json!({
            "faktory": {
                "total_enqueued": counters.requests_accepted.get(),
                "total_processed": counters.served.get(),
                "total_failures": counters.failed.get() + counters.shed.get(),
                "jobs": jobs,
                "workers": workers,
            },
            "server": {
                "description": "molevale",
                "faktory_version": env!("CARGO_PKG_VERSION"),
                "command_count": counters.attempts_sent.get(),
            },
            "counters": counters.to_string(),
        })
        .to_string()
    }
}

/// A dispatcher with its Faktory transport.
#[derive(Clone)]
pub struct Server {
    shared: Arc<SharedState>,
    dispatcher: Arc<AbortHandle>,
}

impl Server {
    /// Starts the dispatcher as a task; `seed` is that of its random number generator.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn start(
        config: &FaktoryConfig,
        seed: u64,
        password: Option<String>,
        counters: Arc<Counters>,
        phases: Phases,
    ) -> Result<Server, Error> {
        Server::start_limited(config, seed, password, counters, phases, TableLimits::default())
    }

    /// Like [`Server::start`], with these limits of the lease table.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid.
    pub fn start_limited(
        config: &FaktoryConfig,
        seed: u64,
        password: Option<String>,
        counters: Arc<Counters>,
        phases: Phases,
        table_limits: TableLimits,
    ) -> Result<Server, Error> {
        let (settings, names) = parse_settings(&config.settings).map_err(Error::Settings)?;
        // An offered job waits this long for a FETCH of its worker.
        let settings = Settings { max_send_delay_us: OFFER_TIMEOUT.as_micros() as u64, ..settings };
        let limits = class_limits(&settings);
        let longest_deadline = limits.iter().map(|class| class.deadline).max().unwrap_or_default();
        let (handle, inbox) = queue();
        let leases = Mutex::new(LeaseTable::new(handle.clone(), names, limits).with_limits(table_limits));
        let shared = Arc::new(SharedState {
            leases,
            password,
            counters: counters.clone(),
            kill_time: KillTime::new(phases.clone(), longest_deadline),
            phases,
            longest_deadline,
            replies: Arc::default(),
            next_session: AtomicU64::default(),
        });
        let transport = FaktoryTransport { shared: shared.clone() };
        let dispatcher =
            Dispatcher::new(settings, seed, transport, counters).map_err(Error::InvalidSettings)?;
        let dispatcher = tokio::spawn(dispatcher.run(inbox)).abort_handle();
        handle.update_endpoints(Vec::new(), true);
        Ok(Server { shared, dispatcher: Arc::new(dispatcher) })
    }

    /// Serves one connection until it ends.
    pub async fn serve_connection<S: AsyncRead + AsyncWrite + Unpin>(&self, socket: S) {
        session::serve(self.shared.clone(), socket).await;
    }

    /// Serves up to `connections` concurrent connections until the process is closing and nothing is owed. Until then,
    /// clients can also connect anew to ask for the end of their jobs, and workers to report it.
    ///
    /// # Errors
    ///
    /// Fails if the dispatcher ends.
    pub async fn serve(&self, listener: TcpListener, connections: usize) -> Result<(), Error> {
        tokio::select! {
            () = self.accept(listener, Arc::new(Semaphore::new(connections))) => Ok(()),
            // Without the dispatcher the frontend would accept connections and dispatch nothing.
            () = self.dispatcher_ended() => Err(Error::DispatcherEnded),
            () = self.drained() => Ok(()),
        }
    }

    async fn accept(&self, listener: TcpListener, slots: Arc<Semaphore>) {
        let mut acceptor = Acceptor::default();
        // Without a free slot, connections stay in the listen backlog.
        while let Ok(slot) = slots.clone().acquire_owned().await {
            let socket = acceptor.accept(&listener).await.socket;
            let server = self.clone();
            tokio::spawn(async move {
                if socket.set_nodelay(true).is_ok() {
                    server.serve_connection(Socket::new(socket)).await;
                }
                drop(slot);
            });
        }
    }

    /// Waits until the process is closing, all jobs have ended (workers finish the jobs they hold, and deadlines end the
    /// others), and their clients have read the answers. A client that does not ask delays the end only until SIGKILL may
    /// come.
    async fn drained(&self) {
        let mut phase = self.shared.phases.subscribe();
        let _ = phase.wait_for(|phase| *phase == Phase::Closing).await; // fails if the process has no phases any more
        let (now, longest_deadline) = (Instant::now(), self.shared.longest_deadline);
        let end = self.shared.kill_time.end_deadline().unwrap_or(now);
        let mut check = interval(DRAIN_CHECK_INTERVAL);
        while self.shared.owes_anything(now + longest_deadline, end) {
            check.tick().await;
        }
        let unread = self.shared.leases().unread_count();
        log::info!(event = "faktory_drained", unread; "Faktory frontend ends");
    }

    /// Returns once the dispatcher has ended, which does not happen in normal operation.
    async fn dispatcher_ended(&self) {
        let mut check = interval(DISPATCHER_CHECK_INTERVAL);
        while !self.dispatcher.is_finished() {
            check.tick().await;
        }
    }
}

/// Time limits by class number.
fn class_limits(settings: &Settings) -> Vec<ClassLimits> {
    let limits = settings.classes.iter().map(|class| ClassLimits {
        deadline: Duration::from_micros(class.deadline_us),
        deduplication_window: Duration::from_micros(class.deduplication_window_us),
    });
    limits.collect()
}

/// Binds the configured address.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn listen(config: &FaktoryConfig) -> Result<TcpListener, Error> {
    let listener = retry_local_failures(START_RETRY_LIMIT, || TcpListener::bind(config.listen)).await;
    listener.map_err(|source| Error::Listen { address: config.listen, source })
}

/// Serves with this configuration until the process is closing, every accepted job has its answer, and its client has read it
/// or no longer can.
///
/// # Errors
///
/// Fails if the password is not set, the settings are invalid, or the dispatcher ends.
pub async fn serve(
    config: FaktoryConfig,
    listener: TcpListener,
    counters: Arc<Counters>,
    phases: Phases,
    plan: &MemoryPlan,
) -> Result<(), Error> {
    let password = match &config.password_variable {
        Some(name) => Some(std::env::var(name).map_err(|_| Error::PasswordNotSet(name.clone()))?),
        None => None,
    };
    let seed = RandomState::new().build_hasher().finish();
    let connections = config.connections.min(plan.faktory_connections);
    if connections < config.connections {
        log::info!(event = "faktory_connections_limited", connections, configured = config.connections;
            "the memory limit allows fewer Faktory connections than configured; further ones wait");
    }
    let server = Server::start_limited(&config, seed, password, counters, phases, TableLimits::new(plan))?;
    server.serve(listener, connections).await
}
