//! Endpoint watch: passes endpoint lists from discovery to the connection pool and the dispatcher. It starts
//! with the list known at the start, or else requests the complete list, and then long polls for changes.
//!
//! `sharing` is the interface to nodes that share their lists, `source` follows one address of discovery,
//! `backoff` sets the pauses after failed calls, and `client` makes a single call.

pub mod backoff;
mod client;
mod sharing;
mod source;

pub use sharing::ListSharing;

use super::pool::Pool;
use super::Job;
use crate::counters::Counters;
use crate::dispatcher::Handle;
use crate::endpoint_list::EndpointList;
use crate::names::Names;
use backoff::Backoff;
use client::DiscoveryClient;
use sharing::SharingEvent;
use source::ListSource;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Current address of discovery.
type DiscoveryAddress = watch::Receiver<Option<SocketAddr>>;

/// Watch of the endpoint list: receivers of the lists, and settings.
pub struct EndpointWatch {
    /// The dispatcher.
    pub handle: Handle<Job>,
    /// Connections to workers.
    pub(super) pool: Arc<Pool>,
    /// Names of classes and tenants, and limits, from the settings.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Number of nodes that call discovery, including this one.
    pub node_count: u32,
    /// Whether discovery is one service for all of them, and not an agent on this machine.
    pub is_shared_service: bool,
    /// Seed for random numbers.
    pub seed: u64,
    /// Longest response of discovery that is read, in bytes.
    pub response_bytes_max: usize,
    /// Complete list, updated with each received one.
    pub latest_list: Arc<Mutex<EndpointList>>,
}

impl EndpointWatch {
    /// Applies the list known at the start, then each list from discovery's current address. Never returns.
    pub async fn run(
        self,
        address: DiscoveryAddress,
        sharing: Option<ListSharing>,
        known: Option<EndpointList>,
    ) {
        // Discovery knows the version of this list and can return the changes since.
        let version = known.as_ref().map(|known| known.revision);
        if let Some(known) = known {
            self.apply(&EndpointList { complete: true, ..known });
        }
        WatchTask::new(self, address, sharing, version).run().await;
    }

    /// Applies a received list and counts it.
    fn apply_received(&self, list: &EndpointList) {
        self.apply(list);
        self.counters.endpoint_lists_applied.add();
    }

    fn apply(&self, list: &EndpointList) {
        self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).merge(list);
        self.pool.update_endpoints(&list.members, list.complete);
        // Passed on even without changes: a worker that is new in the next list has started since this one.
        let names = self.names.borrow().clone();
        let entries = list.members.iter().map(|member| member.endpoint(&names)).collect();
        self.handle.update_endpoints(entries, list.complete);
    }
}

/// State of a running watch.
struct WatchTask {
    watch: EndpointWatch,
    address: DiscoveryAddress,
    sharing: Option<ListSharing>,
    /// Set while discovery is unreachable.
    unreachable: Arc<AtomicBool>,
    /// Version of the latest list.
    version: Option<u64>,
    /// Source whose lists are applied.
    current_source: Option<ListSource>,
    /// Source at the new address of discovery, until it has returned the complete list.
    next_source: Option<ListSource>,
}

impl WatchTask {
    fn new(
        watch: EndpointWatch,
        mut address: DiscoveryAddress,
        sharing: Option<ListSharing>,
        version: Option<u64>,
    ) -> WatchTask {
        let unreachable = sharing.as_ref().map_or_else(Arc::default, |s| s.discovery_unreachable.clone());
        let first_address = *address.borrow_and_update();
        let mut task = WatchTask {
            watch,
            address,
            sharing,
            unreachable,
            version,
            current_source: None,
            next_source: None,
        };
        task.current_source = task.start_source(first_address, version);
        task
    }

    /// Starts a source for this address, if there is one, that requests the changes since a version.
    fn start_source(&self, address: Option<SocketAddr>, version: Option<u64>) -> Option<ListSource> {
        let EndpointWatch { node_count, is_shared_service, seed, response_bytes_max, .. } = self.watch;
        let backoff = Backoff::new(node_count, is_shared_service, seed);
        let (discovery, unreachable) = (self.address.clone(), self.unreachable.clone());
        let client = DiscoveryClient::new(address?, response_bytes_max);
        Some(ListSource::start(client, version, discovery, backoff, unreachable))
    }

    async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.address.changed() => {
                    let address = *self.address.borrow_and_update();
                    self.next_source = self.start_source(address, None);
                }
                event = sharing::next_event(&mut self.sharing) => self.handle_sharing_event(event),
                // The old address of discovery remains in use until the new one has returned a complete list.
                list = source::next_list(&mut self.next_source) => {
                    self.current_source = self.next_source.take();
                    self.handle_list(list);
                }
                list = source::next_list(&mut self.current_source) => self.handle_list(list),
            }
        }
    }

    fn handle_sharing_event(&mut self, event: SharingEvent) {
        match event {
            SharingEvent::PollDiscovery(true) => {
                let address = *self.address.borrow();
                self.current_source = self.start_source(address, self.version);
            }
            SharingEvent::PollDiscovery(false) => self.current_source = None,
            SharingEvent::Received(list) => {
                self.version = Some(list.revision);
                self.watch.apply_received(&list);
            }
        }
    }

    /// Applies a list of discovery, and publishes it if lists are shared.
    fn handle_list(&mut self, list: EndpointList) {
        self.version = Some(list.revision);
        self.watch.apply_received(&list);
        if let Some(sharing) = &self.sharing {
            // A list that does not fit into the queue is dropped; a later complete list makes up for it.
            let _ = sharing.published_lists.try_send(list);
        }
    }
}
