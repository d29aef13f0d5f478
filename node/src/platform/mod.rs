//! The platform's protocol: clients on one side, workers and discovery on the other. It carries the core's
//! decisions out and makes none.

mod attempt;
pub mod fields;
mod gate;
mod meter;
mod open;
mod pool;
mod room;
mod server;
mod watch;

pub use server::listen;

use crate::config::{Config, Names};
use crate::counters::Counters;
use crate::dispatcher::{queue, Answer, Dispatcher, Front, Handle, Tag};
use crate::phase::Phase;
use attempt::Carrier;
use bytes::Bytes;
use dewlever::api::{Outcome, Settings, WorkerId};
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use pool::Pool;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch as follow, Semaphore};
use tokio::time::Instant;

/// Descriptors beside those of clients and workers: standard streams, poller, signals, listeners, discovery, and
/// those of [`crate::management::CALLERS`].
const FIXED: usize = 32;
/// Connections beyond the budget that are held at once to be told so.
const TURNED_AWAY: usize = 32;

/// The part of the memory that bodies of clients may hold. Heads and tasks take less than half of the rest.
const BODIES: usize = 4;

/// A request as it goes on to workers, and the way back to its client.
pub struct Job {
    id: Arc<open::Id>,
    key: Option<HeaderValue>,
    target: PathAndQuery,
    body: Bytes,
    reply: oneshot::Sender<Answer>,
}

/// The platform's front.
struct Platform {
    carrier: Arc<Carrier>,
}

impl Front for Platform {
    type Job = Job;
    type Attempt = oneshot::Sender<Outcome>;

    fn send(&mut self, tag: Tag, job: &Job, worker: WorkerId, until: Instant) -> Self::Attempt {
        let (stop, stopped) = oneshot::channel();
        let parcel = attempt::Parcel {
            id: job.id.clone(),
            key: job.key.clone(),
            target: job.target.clone(),
            body: job.body.clone(),
        };
        tokio::spawn(self.carrier.clone().carry(tag, parcel, worker, until, stopped));
        stop
    }

    fn stop(&mut self, attempt: Self::Attempt, why: Outcome) {
        // Fails where the attempt has just ended by itself; its own outcome is in the queue then.
        let _ = attempt.send(why);
    }

    fn answer(&mut self, job: Job, answer: Answer) {
        // Fails where the client has just gone; the core hears of that by itself.
        let _ = job.reply.send(answer);
    }

    fn release(&mut self, worker: WorkerId) {
        self.carrier.pool.release(worker);
    }
}

/// What ties the front to its process.
pub struct Links {
    /// What it counts.
    pub counters: Arc<Counters>,
    /// Where the process is between its start and its end.
    pub phase: follow::Receiver<Phase>,
    /// Where discovery is.
    pub discovery: follow::Receiver<Option<SocketAddr>>,
    /// Set once it can serve.
    pub ready: follow::Sender<bool>,
}

/// Serves the platform, with discovery where `discovery` says at each moment, until the node is told to stop and
/// all that was taken is answered.
pub async fn serve(config: Config, listener: TcpListener, links: Links) -> Result<(), String> {
    let Links { counters, phase, discovery, ready } = links;
    let Config { settings, names, seed, limits, .. } = config;
    // A worker answers 200 once it has taken a job.
    let settings = Settings { tells_taken: true, ..settings };
    let names: Arc<Names> = Arc::new(names);
    let (handle, inbox): (Handle<Job>, _) = queue();
    let budget = limits.sockets.saturating_sub(FIXED + TURNED_AWAY).max(4);
    let pool = Arc::new(Pool::new(budget / 3, names.connect_timeout, names.conn_idle, counters.clone()));
    let carrier = Arc::new(Carrier { handle: handle.clone(), pool: pool.clone(), names: names.clone() });
    let longest = settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0);
    let core = Dispatcher::new(settings, seed, Platform { carrier }, counters.clone());
    let core = core.map_err(|e| format!("settings: {e}"))?;
    let core = tokio::spawn(core.run(inbox));
    tokio::spawn(pool.clone().sweep());
    let lists =
        watch::Lists { handle: handle.clone(), pool, names: names.clone(), counters: counters.clone() };
    tokio::spawn(lists.follow(discovery, config.known));
    let server = server::Server {
        handle,
        names,
        counters,
        budget: budget - budget / 3,
        bodies: Semaphore::new(limits.memory_mb * 1024 / BODIES),
        ids: open::Ids::default(),
        phase,
    };
    ready.send_replace(true);
    tokio::select! {
        () = server.run(listener, Duration::from_micros(longest)) => Ok(()),
        // Guards against a node that stays up and can decide nothing: it ends and is started anew.
        ended = core => Err(format!("the core has ended: {ended:?}")),
    }
}
