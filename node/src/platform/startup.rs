//! Start of the frontend's parts, each by a step of its own, in the order in which they come up.

use super::attempt::AttemptRunner;
use super::endpoint_watch::{EndpointWatch, ListSharing};
use super::in_flight_ids::InFlightId;
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
use crate::membership;
use crate::names::Names;
use crate::phase::Phases;
use crate::process_handover::{self, HeldResources, Predecessor, PredecessorLink};
use crate::settings_merge::EffectiveSettings;
use dispatch_policy::api::Settings;
use hyper::header::HeaderValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The frontend while its parts are started.
pub struct Startup {
    seed: u64,
    peer_address: Option<SocketAddr>,
    peer_addresses: Vec<SocketAddr>,
    /// Settings at the start.
    settings: Settings,
    first_names: Names,
    /// Endpoint list to begin with.
    known: Option<EndpointList>,
    names: watch::Receiver<Arc<Names>>,
    publish_names: watch::Sender<Arc<Names>>,
    effective_settings: watch::Receiver<EffectiveSettings>,
    handle: Handle<Job>,
    budget: Arc<ResourceBudget>,
    counters: Arc<Counters>,
    phases: Phases,
    discovery: watch::Receiver<Option<SocketAddr>>,
    handover_path: Option<PathBuf>,
    membership: Option<membership::Handle>,
    list_sharing: Option<ListSharing>,
}

/// The process that served before, from the moment in which this one serves in its place.
pub struct DisplacedPredecessor {
    link: PredecessorLink,
    /// Wire ids of requests that are in flight there.
    ids: Vec<String>,
}

impl Startup {
    /// Takes the place of the process before, if there is one, and creates what all parts share.
    pub async fn new(
        config: Config,
        dependencies: Dependencies,
        handle: Handle<Job>,
    ) -> (Startup, Option<DisplacedPredecessor>) {
        let Dependencies { counters, mut effective_settings, predecessor, .. } = dependencies;
        let EffectiveSettings { settings, names: first_names } =
            effective_settings.borrow_and_update().clone();
        let (publish_names, names) = watch::channel(Arc::new(first_names.clone()));
        let (mut known, mut usage, mut displaced) = (config.known_endpoints, HeldResources::default(), None);
        if let Some(predecessor) = predecessor {
            known = Some(predecessor.state.endpoint_list.clone());
            let (held, predecessor) = displace(predecessor).await;
            (usage, displaced) = (held, Some(predecessor));
        }
        let budget =
            ResourceBudget::new(handle.clone(), config.limits, usage, &first_names, counters.clone());
        let budget = Arc::new(budget);
        counters.set_usage_source({
            let budget = Arc::downgrade(&budget);
            move || budget.upgrade().map_or(ResourceUsage::default(), |budget| budget.usage())
        });
        let startup = Startup {
            seed: config.seed,
            peer_address: config.peer_listen,
            peer_addresses: config.peers,
            settings,
            first_names,
            known,
            names,
            publish_names,
            effective_settings,
            handle,
            budget,
            counters,
            phases: dependencies.phases,
            discovery: dependencies.discovery,
            handover_path: dependencies.handover_path,
            membership: dependencies.fleet,
            list_sharing: dependencies.list_sharing,
        };
        (startup, displaced)
    }

    fn membership_gossip(&self) -> Option<MembershipGossip> {
        let membership = self.membership.clone()?;
        Some(MembershipGossip::new(membership, self.names.clone()))
    }

    /// Starts to receive rates of other members, where membership is configured.
    pub fn start_receiving_rates(&self) {
        if let Some(gossip) = self.membership_gossip() {
            tokio::spawn(gossip.receive(self.handle.clone()));
        }
    }

    /// Opens the way on which rates go to other nodes, if there is one.
    ///
    /// # Errors
    /// [`Error::BindPeerSocket`] if the socket for other nodes cannot be bound.
    pub fn start_rate_publisher(&mut self) -> Result<Option<RatePublisher>, Error> {
        if let Some(gossip) = self.membership_gossip() {
            return Ok(Some(RatePublisher::Membership(gossip)));
        }
        let Some(address) = self.peer_address.filter(|_| self.settings.peer_messages) else {
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

    /// Starts the dispatcher with the transport to workers, and the removal of expired connections.
    ///
    /// # Errors
    /// [`Error::Settings`] if the decision module refuses the settings.
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
        });
        let transport = PlatformTransport::new(runner, self.budget.lifted.clone(), rate_publisher);
        let settings = platform_settings(self.settings.clone(), &self.first_names, None);
        let dispatcher = Dispatcher::new(settings, self.seed, transport, self.counters.clone());
        let dispatcher = dispatcher.map_err(Error::Settings)?;
        let dispatcher = tokio::spawn(dispatcher.run(inbox));
        tokio::spawn(pool.evict_expired());
        Ok(dispatcher)
    }

    /// Starts to follow discovery.
    pub fn start_endpoint_watch(&mut self) {
        let endpoint_watch = EndpointWatch {
            handle: self.handle.clone(),
            pool: self.budget.pool.clone(),
            names: self.names.clone(),
            counters: self.counters.clone(),
            node_count: self.settings.dispatchers,
            is_shared_service: self.settings.polls_endpoints,
            seed: self.seed,
            latest_list: self.budget.latest_list.clone(),
        };
        let (discovery, sharing) = (self.discovery.clone(), self.list_sharing.take());
        tokio::spawn(endpoint_watch.run(discovery, sharing, self.known.take()));
    }

    /// Starts to bring changes of settings and cluster size to all who need them.
    pub fn start_settings_updates(&self) {
        let updates = SettingsUpdates {
            handle: self.handle.clone(),
            pool: self.budget.pool.clone(),
            effective_settings: self.effective_settings.clone(),
            cluster_size: self.membership.as_ref().map(|membership| membership.fleet_size()),
            names: self.publish_names.clone(),
        };
        tokio::spawn(updates.run());
    }

    /// Lets the next process take over, as long as there is a listener.
    pub fn offer_handover(&mut self, listener: &Arc<TcpListener>) {
        let Some(path) = self.handover_path.take() else { return };
        let (listener, phases, budget) = (Arc::downgrade(listener), self.phases.clone(), self.budget.clone());
        let membership = self.membership.clone();
        let displaced = move || membership.iter().for_each(membership::Handle::suspend);
        tokio::spawn(async move {
            process_handover::serve_successors(&path, listener, &phases, &*budget, displaced).await
        });
    }

    /// The server for clients: the last part.
    pub fn into_server(self) -> Arc<Server> {
        Arc::new(Server {
            handle: self.handle,
            names: self.names,
            counters: self.counters,
            budget: self.budget,
            phase: self.phases.subscribe(),
            phases: self.phases,
        })
    }
}

/// Serves in place of the process before; returns what it still holds.
async fn displace(predecessor: Predecessor) -> (HeldResources, DisplacedPredecessor) {
    let ids = predecessor.state.in_flight_ids.clone();
    let (held, link) = predecessor.take_over().await;
    (held, DisplacedPredecessor { link, ids })
}

impl DisplacedPredecessor {
    /// Continues its running jobs here, and takes up the resources that it releases, until it ends.
    pub fn adopt_jobs(self, server: Arc<Server>) {
        // Its ids in flight stay reserved here until their jobs come over, or it ends.
        let reserved = self.ids.into_iter().filter_map(|id| {
            let reserved = server.budget.in_flight_ids.open(HeaderValue::from_str(&id).ok()?)?;
            Some((id, reserved))
        });
        let mut reserved: HashMap<String, Arc<InFlightId>> = reserved.collect();
        tokio::spawn(async move {
            self.link
                .run(
                    |held| server.budget.update_peer_usage(held),
                    |text, sockets| server.adopt(text, sockets, &mut reserved),
                )
                .await;
        });
    }
}
