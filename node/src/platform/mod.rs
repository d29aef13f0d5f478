//! The platform's protocol: clients on one side, workers and discovery on the other. It carries the core's
//! decisions out and makes none.

mod attempt;
mod connection_slots;
mod counted_writes;
mod endpoint_watch;
pub mod fields;
mod framing;
mod in_flight_ids;
mod job_handover;
mod peers;
mod pool;
mod probe;
mod resource_budget;
mod send_guard;
mod server;
pub mod socket;

pub use endpoint_watch::ListSharing;
pub use server::listen;

use crate::config::Config;
use crate::counters::{Counters, ResourceUsage};
use crate::dispatcher::{number_of, queue, Answer, Dispatcher, Front, Handle, Sent, Tag};
use crate::membership;
use crate::names::Names;
use crate::phase::Phases;
use crate::retune::Tuning;
use crate::upgrade::{self, Before, Held, Lifted};
use ::membership::{FleetSize, RATES_MAX};
use attempt::AttemptRunner;
use bytes::Bytes;
use dispatch_policy::api::{Outcome, Request, Settings, WorkerId};
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use job_handover::{Adopted, Hold, Line, Moving};
use peers::PeerSocket;
use resource_budget::ResourceBudget;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// A request as it goes on to workers, and the way back to its client.
pub struct Job {
    id: Arc<in_flight_ids::InFlightId>,
    key: Option<HeaderValue>,
    target: PathAndQuery,
    body: Bytes,
    /// What the decisions need of it.
    fields: Request,
    /// Its connection.
    client: Option<job_handover::Client>,
    /// An attempt that another process made, until it goes on here.
    adopted: Mutex<Option<Adopted>>,
    reply: oneshot::Sender<Answer>,
}

/// The platform's front.
struct Platform {
    runner: Arc<AttemptRunner>,
    lifted: Arc<Mutex<Vec<Lifted>>>,
    peers: Option<Way>,
}

impl Front for Platform {
    type Job = Job;
    type Attempt = Hold;

    fn send(&mut self, tag: Tag, job: &Job, worker: WorkerId, until: Instant) -> Self::Attempt {
        let (stop, stopped) = oneshot::channel();
        let line = Arc::new(Line::default());
        let parcel = attempt::Parcel {
            id: job.id.clone(),
            key: job.key.clone(),
            target: job.target.clone(),
            body: job.body.clone(),
            line: line.clone(),
            client: job.client.as_ref().map(|client| client.socket_handle.observer()),
            adopted: job.adopted.lock().unwrap_or_else(PoisonError::into_inner).take(),
        };
        tokio::spawn(self.runner.clone().carry(tag, parcel, worker, until, stopped));
        Hold { stop, line }
    }

    fn is_awaited(&self, job: &Job) -> bool {
        job.client.as_ref().is_none_or(|client| !client.socket_handle.is_peer_closed())
    }

    fn stop(&mut self, attempt: Self::Attempt, why: Outcome) {
        // Fails where the attempt has just ended by itself; its own outcome is in the queue then.
        let _ = attempt.stop.send(why);
    }

    fn abandon(&mut self, attempt: &Self::Attempt) {
        attempt.line.unwanted.store(true, Ordering::Relaxed);
    }

    fn lift(&mut self, tag: Tag, sent: &Sent, job: &Job, hold: &Hold) {
        let moving = Moving::lift(sent, job, hold, &self.runner.names.borrow());
        let lifted =
            moving.and_then(|moving| job_handover::lifted(&self.runner.handle, tag, job, hold, moving));
        self.lifted.lock().unwrap_or_else(PoisonError::into_inner).extend(lifted);
    }

    fn answer(&mut self, job: Job, answer: Answer) {
        // Fails where the client has just gone; the core hears of that by itself.
        let _ = job.reply.send(answer);
    }

    fn release(&mut self, worker: WorkerId) {
        self.runner.pool.release(worker);
    }

    fn probe(&mut self, worker: WorkerId) -> bool {
        tokio::spawn(probe::carry(self.runner.clone(), worker));
        true
    }

    fn tell(&mut self, to: u32, rates: &[u8]) {
        match &self.peers {
            Some(Way::Fleet(peers)) => peers.tell(to, rates),
            Some(Way::PeerSocket(peers)) => peers.tell(to, rates),
            None => {}
        }
    }
}

/// What ties the front to its process.
pub struct Dependencies {
    /// What it counts.
    pub counters: Arc<Counters>,
    /// Where the process is between its start and its end.
    pub phases: Phases,
    /// Where discovery is.
    pub discovery: watch::Receiver<Option<SocketAddr>>,
    /// The settings.
    pub tuning: watch::Receiver<Tuning>,
    /// Set once it can serve.
    pub ready: watch::Sender<bool>,
    /// The process that this one takes over from, less its listener.
    pub predecessor: Option<Before>,
    /// Where the next one asks.
    pub handover_path: Option<PathBuf>,
    /// The talk between nodes, where it is on.
    pub fleet: Option<membership::Handle>,
    /// How calls for lists are shared, where they are.
    pub list_sharing: Option<ListSharing>,
}

/// The settings with what this wire adds: a worker answers 200 once it has taken a job, and its connection may take as long
/// as the settings allow to come up; and with what the fleet tells.
fn platform(settings: Settings, names: &Names, fleet_size: Option<&FleetSize>) -> Settings {
    let lag_us = names.connect_timeout.as_micros() as u64;
    let settings = Settings { tells_taken: true, lag_us, ..settings };
    match fleet_size.filter(|s| !s.names.is_empty()) {
        Some(fleet_size) => Settings {
            siblings: fleet_size.siblings,
            ordinal: fleet_size.ordinal,
            most_senders: fleet_size.senders,
            order: number_of(&fleet_size.names.join("\n")),
            ..settings
        },
        None => settings,
    }
}

/// How what the module tells other nodes gets there.
enum Way {
    /// By the fleet's sealed messages, where an operator's file switches them on.
    Fleet(Peers),
    /// By the platform's own datagrams, where its settings allow them.
    PeerSocket(Arc<PeerSocket>),
}

/// What other nodes are told, and tell: by name on the wire, by number in the module.
struct Peers {
    fleet: membership::Handle,
    fleet_size: watch::Receiver<FleetSize>,
    names: watch::Receiver<Arc<Names>>,
}

impl Peers {
    fn tell(&self, to: u32, rates: &[u8]) {
        let (fleet_size, names) = (self.fleet_size.borrow(), self.names.borrow());
        let tenants = names.tenants.iter().map(|t| number_of(t));
        let rates = rates.chunks_exact(2).map(|r| u16::from_be_bytes([r[0], r[1]]));
        let rates: Vec<_> = tenants.zip(rates).collect();
        // Of more tenants than go into one datagram, a part would pass for all of them.
        if let Some(to) = fleet_size.names.get(to as usize).filter(|_| rates.len() <= RATES_MAX) {
            self.fleet.send_rates((to.clone(), rates));
        }
    }

    /// Brings what others tell to the core, as long as they talk.
    async fn follow(self, handle: Handle<Job>) {
        let Some(mut told) = self.fleet.take_rates() else { return };
        while let Some((from, rates)) = told.recv().await {
            let from = self.fleet_size.borrow().names.iter().position(|n| *n == from);
            let rates: HashMap<u64, u16> = rates.into_iter().collect();
            let names = self.names.borrow().clone();
            let of = |tenant: &String| rates.get(&number_of(tenant)).copied().unwrap_or(0);
            if let Some(from) = from {
                handle.peer(from as u32, names.tenants.iter().flat_map(|t| of(t).to_be_bytes()).collect());
            }
        }
    }
}

/// Serves the platform, with discovery where `discovery` says at each moment, until the node is told to stop, or
/// another process has taken its place, and all that was taken is answered.
pub async fn serve(config: Config, listener: TcpListener, dependencies: Dependencies) -> Result<(), String> {
    let Dependencies {
        counters,
        phases,
        discovery,
        mut tuning,
        ready,
        predecessor,
        handover_path,
        fleet,
        list_sharing,
    } = dependencies;
    let Config { seed, limits, .. } = config;
    let Tuning { settings, names: first } = tuning.borrow_and_update().clone();
    let (tell_names, names) = watch::channel(Arc::new(first.clone()));
    let (handle, inbox): (Handle<Job>, _) = queue();
    let (mut known, mut other, mut ids, mut remains) = (config.known, Held::default(), Vec::new(), None);
    if let Some(before) = predecessor {
        ids = before.state.ids.clone();
        known = Some(before.state.known.clone());
        let (held, link) = before.replace().await;
        (other, remains) = (held, Some(link));
    }
    let (siblings, asked) = (settings.siblings, settings.list_asked);
    let budget = Arc::new(ResourceBudget::new(handle.clone(), limits, other, &first, counters.clone()));
    counters.set_usage_source({
        let budget = Arc::downgrade(&budget);
        move || budget.upgrade().map_or(ResourceUsage::default(), |budget| budget.holdings())
    });
    let pool = budget.pool.clone();
    let runner = Arc::new(AttemptRunner {
        handle: handle.clone(),
        pool: pool.clone(),
        names: names.clone(),
        counters: counters.clone(),
    });
    let peers = || {
        let names = names.clone();
        fleet.as_ref().map(|f| Peers { fleet: f.clone(), fleet_size: f.fleet_size(), names })
    };
    if let Some(peers) = peers() {
        tokio::spawn(peers.follow(handle.clone()));
    }
    let way = match (peers(), config.peer_listen.filter(|_| settings.peers)) {
        (Some(peers), _) => Some(Way::Fleet(peers)),
        (None, Some(at)) => {
            let bound = PeerSocket::bind(at, config.peers, names.clone(), counters.clone());
            let peers = Arc::new(bound.map_err(|e| format!("cannot listen on {at} (peers): {e}"))?);
            let (hears, handle) = (peers.clone(), handle.clone());
            tokio::spawn(async move { hears.follow(handle).await });
            Some(Way::PeerSocket(peers))
        }
        (None, None) => None,
    };
    let front = Platform { runner, lifted: budget.lifted.clone(), peers: way };
    let core = Dispatcher::new(platform(settings, &first, None), seed, front, counters.clone());
    let core = core.map_err(|e| format!("settings: {e}"))?;
    let core = tokio::spawn(core.run(inbox));
    tokio::spawn(pool.clone().sweep());
    let lists = endpoint_watch::EndpointWatch {
        handle: handle.clone(),
        pool,
        names: names.clone(),
        counters: counters.clone(),
        siblings,
        asked,
        seed,
        latest_list: budget.latest_list.clone(),
        shared: list_sharing,
    };
    tokio::spawn(lists.follow(discovery, known));
    tokio::spawn({
        let (handle, pool) = (handle.clone(), budget.pool.clone());
        let mut fleet_size = fleet.as_ref().map(|f| f.fleet_size());
        async move {
            loop {
                let moved = async {
                    if let Some(fleet_size) = &mut fleet_size {
                        if fleet_size.changed().await.is_ok() {
                            return;
                        }
                    }
                    std::future::pending().await
                };
                tokio::select! {
                    Ok(()) = tuning.changed() => {}
                    () = moved => {}
                }
                let Tuning { settings, names } = tuning.borrow_and_update().clone();
                pool.times(&names);
                let fleet_size = fleet_size.as_mut().map(|s| s.borrow_and_update().clone());
                // The core first: no request may come with a class that it has not heard of.
                handle.settings(platform(settings, &names, fleet_size.as_ref()), names.continues.clone());
                if **tell_names.borrow() != names {
                    tell_names.send_replace(Arc::new(names));
                }
            }
        }
    });
    let listener = Arc::new(listener);
    if let Some(place) = handover_path {
        let (listener, phases, budget) = (Arc::downgrade(&listener), phases.clone(), budget.clone());
        let fleet = fleet.clone();
        let displaced = move || fleet.iter().for_each(membership::Handle::suspend);
        tokio::spawn(async move { upgrade::offer(&place, listener, &phases, &*budget, displaced).await });
    }
    let server = Arc::new(server::Server { handle, names, counters, budget, phase: phases.follow(), phases });
    if let Some(remains) = remains {
        // The other process's open ids stay closed here until their jobs come over, or it ends.
        let ids = ids.into_iter().filter_map(|id| {
            let open = server.budget.in_flight_ids.open(HeaderValue::from_str(&id).ok()?)?;
            Some((id, open))
        });
        let (mut ids, server): (HashMap<_, _>, _) = (ids.collect(), server.clone());
        tokio::spawn(async move {
            remains
                .follow(
                    |held| server.budget.update_peer_usage(held),
                    |text, sockets| server.adopt(text, sockets, &mut ids),
                )
                .await;
        });
    }
    ready.send_replace(true);
    tokio::select! {
        () = server.run(listener) => Ok(()),
        // Guards against a node that stays up and can decide nothing: it ends and is started anew.
        ended = core => Err(format!("the core has ended: {ended:?}")),
    }
}
