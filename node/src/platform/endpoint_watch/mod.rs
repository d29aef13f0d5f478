//! Endpoint watch: brings the list of workers from discovery to the connection pool and the dispatcher. It begins with the
//! list that was known, then asks for the whole list, then for one watch event after the other.
//!
//! `sharing` holds how nodes share their calls, `source` the calls to one address of discovery, `backoff` the pauses after
//! failed ones, and `client` a single call.

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
use sharing::SharingEvent;
use source::ListSource;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// Address of discovery, which may change.
type DiscoveryAddress = watch::Receiver<Option<SocketAddr>>;

/// What the watch brings its lists to, and the settings that it goes by.
pub struct EndpointWatch {
    /// The dispatcher.
    pub handle: Handle<Job>,
    /// Connections to workers.
    pub(super) pool: Arc<Pool>,
    /// Names on the wire.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Number of nodes that ask discovery, this one included.
    pub node_count: u32,
    /// Whether discovery is one service that answers all of them, and not an agent of this machine's own.
    pub is_shared_service: bool,
    /// Seed for random numbers.
    pub seed: u64,
    /// Latest list of all workers.
    pub latest_list: Arc<Mutex<EndpointList>>,
}

impl EndpointWatch {
    /// Feeds the list that was known, then all that discovery tells, wherever it is at each moment. Without end.
    pub async fn run(
        self,
        address: DiscoveryAddress,
        sharing: Option<ListSharing>,
        known: Option<EndpointList>,
    ) {
        // The list that was known is a version of discovery's own: it tells what has changed since.
        let version = known.as_ref().map(|known| known.revision);
        if let Some(known) = known {
            self.feed(&EndpointList { complete: true, ..known });
        }
        Follower::new(self, address, sharing, version).run().await;
    }

    /// Takes over a list that has been received.
    fn accept(&self, list: &EndpointList) {
        self.feed(list);
        self.counters.endpoint_lists_applied.add();
    }

    fn feed(&self, list: &EndpointList) {
        self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).merge(list);
        self.pool.update_endpoints(&list.members, list.complete);
        // Also a list without changes: a worker that appears in the next one has started since this one.
        let names = self.names.borrow().clone();
        let entries = list.members.iter().map(|member| member.endpoint(&names)).collect();
        self.handle.update_endpoints(entries, list.complete);
    }
}

/// The watch as it runs.
struct Follower {
    watch: EndpointWatch,
    address: DiscoveryAddress,
    sharing: Option<ListSharing>,
    /// Set while discovery cannot be reached.
    unreachable: Arc<AtomicBool>,
    /// Version of the latest list.
    version: Option<u64>,
    /// The address whose lists count.
    current: Option<ListSource>,
    /// The address that discovery has moved to, until it has told the whole list.
    next: Option<ListSource>,
}

impl Follower {
    fn new(
        watch: EndpointWatch,
        mut address: DiscoveryAddress,
        sharing: Option<ListSharing>,
        version: Option<u64>,
    ) -> Follower {
        let unreachable = sharing.as_ref().map_or_else(Arc::default, |s| s.discovery_unreachable.clone());
        let first = *address.borrow_and_update();
        let mut follower =
            Follower { watch, address, sharing, unreachable, version, current: None, next: None };
        follower.current = follower.source(first, version);
        follower
    }

    /// A source for this address, if there is one, that asks for what has changed since a version.
    fn source(&self, address: Option<SocketAddr>, version: Option<u64>) -> Option<ListSource> {
        let EndpointWatch { node_count, is_shared_service, seed, .. } = self.watch;
        let backoff = Backoff::new(node_count, is_shared_service, seed);
        let (discovery, unreachable) = (self.address.clone(), self.unreachable.clone());
        address.map(|address| ListSource::start(address, version, discovery, backoff, unreachable))
    }

    async fn run(mut self) {
        loop {
            tokio::select! {
                biased;
                Ok(()) = self.address.changed() => {
                    let address = *self.address.borrow_and_update();
                    self.next = self.source(address, None);
                }
                event = sharing::next_event(&mut self.sharing) => self.handle_sharing(event),
                // Protects the list while discovery moves: the old address counts until the new one has told all.
                list = source::next_list(&mut self.next) => {
                    self.current = self.next.take();
                    self.handle_list(list);
                }
                list = source::next_list(&mut self.current) => self.handle_list(list),
            }
        }
    }

    fn handle_sharing(&mut self, event: SharingEvent) {
        match event {
            SharingEvent::Watch(true) => {
                let address = *self.address.borrow();
                self.current = self.source(address, self.version);
            }
            SharingEvent::Watch(false) => self.current = None,
            SharingEvent::Received(list) => {
                self.version = Some(list.revision);
                self.watch.accept(&list);
            }
        }
    }

    /// Takes over a list of discovery, and publishes it where lists are shared.
    fn handle_list(&mut self, list: EndpointList) {
        self.version = Some(list.revision);
        self.watch.accept(&list);
        if let Some(sharing) = &self.sharing {
            // A list that finds no room is made up for by a later whole list.
            let _ = sharing.published_lists.try_send(list);
        }
    }
}
