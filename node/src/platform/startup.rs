//! Startup of the frontend: one method for each part, in the order in which they are called.

use super::attempt::AttemptRunner;
use super::endpoint_watch::{EndpointWatch, ListSharing};
use super::in_flight_ids::InFlightId;
use super::memory_guard::relieve_pressure;
use super::peers::PeerSocket;
use super::rate_gossip::{MembershipGossip, RatePublisher};
use super::resource_budget::ResourceBudget;
use super::server::Server;
use super::settings_updates::{platform_settings, SettingsUpdates};
use super::transport::PlatformTransport;
use super::{Dependencies, Error, Job};
use crate::config::Config;
use crate::counters::{Counters, ResourceUsage};
use crate::dispatcher::{Dispatcher, Handle, Inbox};
use crate::endpoint_list::EndpointList;
use crate::kill_time::KillTime;
use crate::membership;
use crate::names::Names;
use crate::phase::Phases;
use crate::process_handover::{self, HandoverReport, HeldResources, Predecessor, PredecessorLink};
use crate::settings_merge::EffectiveSettings;
use dispatch_policy::api::Settings;
use hyper::header::HeaderValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Frontend during its startup.
pub struct Startup {
    seed: u64,
    peer_listen_address: Option<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    /// Settings at startup.
    settings: Settings,
    initial_names: Names,
    /// Endpoint list before the first answer of discovery.
    initial_endpoints: Option<EndpointList>,
    names: watch::Receiver<Arc<Names>>,
    names_sender: watch::Sender<Arc<Names>>,
    effective_settings: watch::Receiver<EffectiveSettings>,
    handle: Handle<Job>,
    budget: Arc<ResourceBudget>,
    counters: Arc<Counters>,
    phases: Phases,
    kill_time: KillTime,
    discovery: watch::Receiver<Option<SocketAddr>>,
    handover_path: Option<PathBuf>,
    membership: Option<membership::Handle>,
    list_sharing: Option<ListSharing>,
}

/// Predecessor after it has handed over.
pub struct HandedOverPredecessor {
    link: PredecessorLink,
    /// Wire ids of the predecessor's requests in flight.
    in_flight_ids: Vec<String>,
    /// Ids of its ended requests, by its state and its first report.
    recent_ids: Vec<String>,
}

impl Startup {
    /// Takes over from the predecessor, if there is one, and creates the state that all parts share.
    pub async fn new(
        config: Config,
        dependencies: Dependencies,
        handle: Handle<Job>,
    ) -> (Startup, Option<HandedOverPredecessor>) {
        let Dependencies { counters, effective_settings, predecessor, .. } = dependencies;
        if let Some(predecessor) = &predecessor {
            add_open_classes(&effective_settings, predecessor);
        }
        let effective_settings = effective_settings.subscribe();
        let EffectiveSettings { settings, names: initial_names } = effective_settings.borrow().clone();
        let (names_sender, names) = watch::channel(Arc::new(initial_names.clone()));
        let (mut initial_endpoints, mut predecessor_usage, mut handed_over) =
            (config.known_endpoints, HeldResources::default(), None);
        if let Some(predecessor) = predecessor {
            initial_endpoints = Some(predecessor.state.endpoint_list.clone());
            let (held, predecessor) = take_over(predecessor).await;
            (predecessor_usage, handed_over) = (held, Some(predecessor));
        }
        let budget = ResourceBudget::new(
            handle.clone(),
            config.limits,
            dependencies.memory,
            predecessor_usage,
            names.clone(),
            counters.clone(),
        );
        let budget = Arc::new(budget);
        count_usage_of(&budget, &counters);
        let longest_offered_deadline = initial_names.longest_offered_deadline();
        let startup = Startup {
            seed: config.seed,
            peer_listen_address: config.peer_listen,
            peer_addresses: config.peers,
            settings,
            initial_names,
            initial_endpoints,
            names,
            names_sender,
            effective_settings,
            handle,
            budget,
            counters,
            kill_time: KillTime::new(dependencies.phases.clone(), longest_offered_deadline),
            phases: dependencies.phases,
            discovery: dependencies.discovery,
            handover_path: dependencies.handover_path,
            membership: dependencies.membership,
            list_sharing: dependencies.list_sharing,
        };
        (startup, handed_over)
    }

    fn membership_gossip(&self) -> Option<MembershipGossip> {
        let membership = self.membership.clone()?;
        Some(MembershipGossip::new(membership, self.names.clone()))
    }

    /// Starts to receive admission rates from other members, if membership is configured.
    pub fn start_rate_receiver(&self) {
        if let Some(gossip) = self.membership_gossip() {
            tokio::spawn(gossip.receive(self.handle.clone()));
        }
    }

    /// Creates the publisher of admission rates, if membership or peer datagrams are configured. Starts to
    /// receive peer datagrams, too.
    ///
    /// # Errors
    /// [`Error::BindPeerSocket`] if the socket for other nodes cannot be bound.
    pub fn start_rate_publisher(&mut self) -> Result<Option<RatePublisher>, Error> {
        if let Some(gossip) = self.membership_gossip() {
            return Ok(Some(RatePublisher::Membership(gossip)));
        }
        let Some(address) = self.peer_listen_address.filter(|_| self.settings.peer_messages) else {
            return Ok(None);
        };
        let peers = std::mem::take(&mut self.peer_addresses);
        let socket = PeerSocket::bind(address, peers, self.names.clone(), self.counters.clone());
        let socket = socket.map_err(|source| Error::BindPeerSocket { address, source })?;
        let socket = Arc::new(socket);
        let (receiver, handle) = (socket.clone(), self.handle.clone());
        tokio::spawn(async move { receiver.receive(handle).await });
        Ok(Some(RatePublisher::Datagrams(socket)))
    }

    /// Starts the dispatcher with the transport to workers, and the eviction of expired worker connections.
    ///
    /// # Errors
    /// [`Error::Settings`] if the decision module rejects the settings.
    pub fn start_dispatcher(
        &self,
        inbox: Inbox<Job>,
        rate_publisher: Option<RatePublisher>,
    ) -> Result<JoinHandle<()>, Error> {
        let pool = self.budget.pool.clone();
        let runner = Arc::new(AttemptRunner {
            handle: self.handle.clone(),
            pool: pool.clone(),
            names: self.names.clone(),
            counters: self.counters.clone(),
            answer_memory: self.budget.answer_memory_kib.clone(),
        });
        let transport = PlatformTransport::new(runner, self.budget.offers.clone(), rate_publisher);
        let settings = platform_settings(self.settings.clone(), &self.initial_names, None);
        let dispatcher = Dispatcher::new(settings, self.seed, transport, self.counters.clone());
        let dispatcher = dispatcher.map_err(Error::Settings)?;
        let dispatcher = tokio::spawn(dispatcher.run(inbox));
        tokio::spawn(pool.evict_expired());
        tokio::spawn(relieve_pressure(Arc::downgrade(&self.budget)));
        Ok(dispatcher)
    }

    /// Starts the watch of the endpoint list.
    pub fn start_endpoint_watch(&mut self) {
        let endpoint_watch = EndpointWatch {
            handle: self.handle.clone(),
            pool: self.budget.pool.clone(),
            names: self.names.clone(),
            counters: self.counters.clone(),
            node_count: self.settings.dispatchers,
            is_shared_service: self.settings.polls_endpoints,
            seed: self.seed,
            response_bytes_max: self.budget.list_response_bytes_max(),
            latest_list: self.budget.latest_list.clone(),
        };
        let (discovery, sharing) = (self.discovery.clone(), self.list_sharing.take());
        tokio::spawn(endpoint_watch.run(discovery, sharing, self.initial_endpoints.take()));
    }

    /// Starts to apply changes of settings and fleet size.
    pub fn start_settings_updates(&self) {
        let updates = SettingsUpdates {
            handle: self.handle.clone(),
            pool: self.budget.pool.clone(),
            effective_settings: self.effective_settings.clone(),
            fleet_size: self.membership.as_ref().map(|membership| membership.fleet_size()),
            names: self.names_sender.clone(),
            phase: self.phases.subscribe(),
            kill_time: self.kill_time.clone(),
        };
        tokio::spawn(updates.run());
    }

    /// Offers process handover to successors for as long as the listener exists.
    pub fn offer_handover(&mut self, listener: &Arc<TcpListener>) {
        let Some(path) = self.handover_path.take() else { return };
        let (listener, phases, budget) = (Arc::downgrade(listener), self.phases.clone(), self.budget.clone());
        let membership = self.membership.clone();
        let on_taken_over = move || membership.iter().for_each(membership::Handle::stop_participating);
        tokio::spawn(async move {
            process_handover::serve_successors(&path, listener, &phases, &*budget, on_taken_over).await
        });
    }

    /// Creates the server for clients, the last part.
    pub fn into_server(self) -> Arc<Server> {
        Arc::new(Server {
            handle: self.handle,
            names: self.names,
            counters: self.counters,
            budget: self.budget,
            phase: self.phases.subscribe(),
            kill_time: self.kill_time,
            has_released_listener: AtomicBool::new(false),
        })
    }
}

/// Lets the counters tell what the budget holds.
fn count_usage_of(budget: &Arc<ResourceBudget>, counters: &Counters) {
    let budget = Arc::downgrade(budget);
    counters
        .set_usage_source(move || budget.upgrade().map_or(ResourceUsage::default(), |budget| budget.usage()));
}

/// Adds the classes that open requests of the predecessor may have, so that requests whose class has other rules here can be
/// continued under their own.
fn add_open_classes(settings: &watch::Sender<EffectiveSettings>, predecessor: &Predecessor) {
    let Some(classes) = &predecessor.state.class_rules else { return };
    let extended = settings.borrow().with_retired_classes(classes);
    let added = extended.names.classes.len() - settings.borrow().names.classes.len();
    if added > 0 {
        log::info!(event = "predecessor_classes_added", added;
            "classes of the old process with other rules continue for its open requests");
        settings.send_replace(extended);
    }
}

/// Takes over from the predecessor; returns the resources that it still holds.
async fn take_over(predecessor: Predecessor) -> (HeldResources, HandedOverPredecessor) {
    let in_flight_ids = predecessor.state.in_flight_ids.clone();
    let mut recent_ids = predecessor.state.recent_ids.clone();
    let (HandoverReport { held, recent_ids: ended_since }, link) = predecessor.take_over().await;
    recent_ids.extend(ended_since);
    (held, HandedOverPredecessor { link, in_flight_ids, recent_ids })
}

impl HandedOverPredecessor {
    /// Adopts its transferred requests and allocates the resources that it releases, until it ends.
    pub fn adopt_requests(self, server: Arc<Server>) {
        let ids = server.budget.in_flight_ids.clone();
        ids.insert_reported(&self.recent_ids);
        // Its ids in flight stay reserved here until their requests are transferred or it ends; then they may have run.
        let reserved_ids = self.in_flight_ids.into_iter().filter_map(|id| {
            let reservation = ids.insert_transferred(&HeaderValue::from_str(&id).ok()?)?;
            reservation.mark_may_have_run();
            Some((id, reservation))
        });
        let mut reserved_ids: HashMap<String, Arc<InFlightId>> = reserved_ids.collect();
        let offers = server.budget.offers.clone();
        offers.has_predecessor.store(true, Ordering::Relaxed);
        tokio::spawn(async move {
            self.link
                .run(
                    |report| {
                        ids.insert_reported(&report.recent_ids);
                        server.budget.update_other_process_usage(report.held);
                    },
                    |record, sockets| server.adopt_request(record, sockets, &mut reserved_ids),
                    || server.has_released_listener.load(Ordering::Relaxed),
                )
                .await;
            offers.has_predecessor.store(false, Ordering::Relaxed);
        });
    }
}
