//! Delivery of endpoint lists between the zone's broadcast and this node's discovery watch. Entries are in the JSON
//! format of discovery.

use super::clock::boottime;
use super::message::NodeMessage;
use super::status::ListBroadcastStatus;
use super::task::Task;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::platform::ListSharing;
use ::coordination::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta, ListEntry};
use ::membership::{name_hash, Peer};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Length of the queues of lists. A later list compensates for a dropped one.
const LIST_QUEUE_LENGTH: usize = 64;
/// Time without a response from discovery after which the holder releases the lease.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time for which a holder that released the lease does not request it again.
const REACQUIRE_PAUSE: Duration = Duration::from_secs(15);

/// Current address of the discovery service.
type DiscoveryAddress = watch::Receiver<Option<SocketAddr>>;

/// Coordination's side of list sharing.
pub struct ListDelivery {
    broadcast: ListBroadcast,
    /// Whether this node polls discovery itself.
    is_polling: watch::Sender<bool>,
    /// Lists of the holder, for the watch.
    list_sender: mpsc::Sender<EndpointList>,
    /// Lists that this node received from discovery; the task takes the receiver.
    published: Option<mpsc::Receiver<EndpointList>>,
    /// Set by the watch while discovery is unreachable.
    discovery_unreachable: Arc<AtomicBool>,
    discovery_unreachable_since: Option<Duration>,
    failed_at: Option<Duration>,
    discovery: DiscoveryAddress,
}

/// Returns the next list that this node receives from discovery. Never completes if lists are not shared.
pub(super) async fn next_published(
    published: &mut Option<mpsc::Receiver<EndpointList>>,
) -> Option<EndpointList> {
    match published {
        Some(published) => published.recv().await,
        None => std::future::pending().await,
    }
}

/// Id of the discovery service: the hash of its address.
fn source_id(discovery: &DiscoveryAddress) -> u64 {
    discovery.borrow().map_or(0, |address| name_hash(&address.to_string()))
}

impl ListDelivery {
    /// Creates both sides of list sharing, if it is enabled.
    pub fn pair(enabled: bool, discovery: DiscoveryAddress) -> (Option<ListDelivery>, Option<ListSharing>) {
        if !enabled {
            return (None, None);
        }
        let (is_polling, polls_discovery) = watch::channel(true);
        let (list_sender, received_lists) = mpsc::channel(LIST_QUEUE_LENGTH);
        let (published_lists, published) = mpsc::channel(LIST_QUEUE_LENGTH);
        let discovery_unreachable = Arc::new(AtomicBool::new(false));
        let delivery = ListDelivery {
            broadcast: ListBroadcast::new("", source_id(&discovery)),
            is_polling,
            list_sender,
            published: Some(published),
            discovery_unreachable: discovery_unreachable.clone(),
            discovery_unreachable_since: None,
            failed_at: None,
            discovery,
        };
        (
            Some(delivery),
            Some(ListSharing { polls_discovery, received_lists, published_lists, discovery_unreachable }),
        )
    }

    /// Sets the name of the node. Must be called before any other method.
    pub(super) fn set_name(&mut self, name: &str) {
        self.broadcast = ListBroadcast::new(name, source_id(&self.discovery));
    }

    /// Sets the zone's nodes.
    pub(super) fn set_peers(&mut self, peers: &[&Peer]) {
        self.broadcast.set_peers(peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect());
    }

    /// Takes the receiver of lists from discovery.
    pub(super) fn take_published(&mut self) -> Option<mpsc::Receiver<EndpointList>> {
        self.published.take()
    }

    pub(super) fn next_tick(&self) -> Duration {
        self.broadcast.next_tick()
    }

    pub(super) fn tick(&mut self, now: Duration, is_lease_valid: bool) {
        self.broadcast.tick(now, is_lease_valid);
    }

    pub(super) fn lease_acquired(&mut self, now: Duration, token: u64) {
        self.broadcast.lease_acquired(now, token);
    }

    pub(super) fn lease_lost(&mut self, now: Duration) {
        self.broadcast.lease_lost(now);
    }

    pub(super) fn receive(&mut self, now: Duration, from: SocketAddr, message: BroadcastMessage) {
        self.update_source();
        self.broadcast.receive(now, from, message);
    }

    /// Publishes a list that this node received from discovery.
    pub(super) fn publish(&mut self, now: Duration, list: &EndpointList, is_lease_valid: bool) {
        self.update_source();
        let entry = |member: &EndpointRecord| {
            let bytes = serde_json::to_vec(member).ok()?;
            Some(ListEntry { key: member.id().to_string(), removed: member.is_terminated(), bytes })
        };
        let entries = list.members.iter().filter_map(entry).collect();
        let delta = ListDelta { version: list.revision, complete: list.complete, entries };
        self.broadcast.publish(now, &delta, is_lease_valid);
    }

    fn update_source(&mut self) {
        if self.discovery.has_changed().unwrap_or(false) {
            self.discovery.mark_unchanged();
            self.broadcast.set_source(source_id(&self.discovery));
        }
    }

    /// Returns whether to release the lease because discovery has not responded to this node for [`DISCOVERY_TIMEOUT`].
    fn should_release_lease(&mut self, now: Duration) -> bool {
        if !self.discovery_unreachable.load(Ordering::Relaxed) || !self.broadcast.polls_discovery() {
            self.discovery_unreachable_since = None;
            return false;
        }
        let since = *self.discovery_unreachable_since.get_or_insert(now);
        let has_timed_out = now.saturating_sub(since) >= DISCOVERY_TIMEOUT;
        if has_timed_out {
            self.failed_at = Some(now);
        }
        has_timed_out
    }

    /// Returns whether discovery failed to respond to this node recently, so that another node should hold the lease.
    pub(super) fn discovery_failed_recently(&self, now: Duration) -> bool {
        self.failed_at.is_some_and(|at| now.saturating_sub(at) < REACQUIRE_PAUSE)
    }

    pub(super) fn status(&self) -> ListBroadcastStatus {
        ListBroadcastStatus {
            polls_discovery: self.broadcast.polls_discovery(),
            version: self.broadcast.version(),
            metrics: self.broadcast.metrics(),
        }
    }

    /// Executes the broadcast's actions at this node, and returns the messages to other nodes.
    fn execute_actions(&mut self) -> Vec<(SocketAddr, BroadcastMessage)> {
        let mut messages = Vec::new();
        while let Some(action) = self.broadcast.next_action() {
            match action {
                BroadcastAction::Send { to, message } => messages.push((to, message)),
                BroadcastAction::PollDiscovery(polls) => {
                    log::debug!(event = "discovery_polling", enabled = polls; "discovery polling changed");
                    self.is_polling.send_replace(polls);
                }
                BroadcastAction::Apply(delta) => self.deliver_to_watch(&delta),
            }
        }
        messages
    }

    /// Delivers a list of the holder to the watch.
    fn deliver_to_watch(&self, delta: &ListDelta) {
        let members: Vec<EndpointRecord> =
            delta.entries.iter().filter_map(|entry| serde_json::from_slice(&entry.bytes).ok()).collect();
        let unreadable = delta.entries.len() - members.len();
        if unreadable > 0 {
            log::warn!(event = "list_entries_unreadable", count = unreadable; "list entries can't be decoded");
        }
        let list = EndpointList { revision: delta.version, complete: delta.complete, members };
        if self.list_sender.try_send(list).is_err() {
            // The watch's queue is full and the list is dropped: the watch has to poll discovery instead.
            self.is_polling.send_replace(true);
        }
    }
}

impl Task {
    /// Returns whether this node's lease on lists is valid now. Must be called right before each message to the zone.
    pub(super) fn is_list_lease_valid(&self) -> bool {
        self.client.valid_token(boottime(), &self.list_lease()).is_some()
    }

    /// Runs an operation on the list delivery, if lists are shared, and sends the resulting messages.
    pub(super) fn with_lists(&mut self, operation: impl FnOnce(&mut ListDelivery)) {
        let Some(lists) = &mut self.dependencies.list_delivery else { return };
        operation(lists);
        for (to, message) in lists.execute_actions() {
            self.send(to, &NodeMessage::Lists(message));
        }
        let lists = self.dependencies.list_delivery.as_mut();
        if lists.is_some_and(|lists| lists.should_release_lease(boottime())) {
            // Discovery does not respond to this node, but may respond to another.
            let lease = self.list_lease();
            self.client.release(boottime(), &lease);
        }
    }
}
