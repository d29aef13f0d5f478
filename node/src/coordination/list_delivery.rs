//! Delivery of lists between the zone's broadcast and the watch of discovery at this node: entries are members in the JSON
//! that discovery sends.

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

/// Length of the queues of lists. A list that is dropped is made up for by a later one.
const LIST_QUEUE: usize = 64;
/// Time without an answer of discovery after which the holder releases the lease ...
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1500);
/// ... and time for which it does not request the lease again.
const FAILURE_PAUSE: Duration = Duration::from_secs(15);

/// Address of the discovery service, which may change.
type DiscoveryAddress = watch::Receiver<Option<SocketAddr>>;

/// Coordination's side of list sharing.
pub struct ListDelivery {
    broadcast: ListBroadcast,
    /// Whether discovery is watched from here.
    watches: watch::Sender<bool>,
    /// Lists of the holder, for the watch.
    deliver: mpsc::Sender<EndpointList>,
    /// Lists that discovery told here; the task takes the receiver.
    published: Option<mpsc::Receiver<EndpointList>>,
    /// Set by the watch while discovery can't be reached.
    unreachable: Arc<AtomicBool>,
    unreachable_since: Option<Duration>,
    failed_at: Option<Duration>,
    discovery: DiscoveryAddress,
}

/// Returns the next list that discovery tells; never if lists are not shared.
pub(super) async fn next_published(
    published: &mut Option<mpsc::Receiver<EndpointList>>,
) -> Option<EndpointList> {
    match published {
        Some(published) => published.recv().await,
        None => std::future::pending().await,
    }
}

/// Identifies the discovery service.
fn source(discovery: &DiscoveryAddress) -> u64 {
    discovery.borrow().map_or(0, |address| name_hash(&address.to_string()))
}

impl ListDelivery {
    /// Returns both sides of list sharing, if it is enabled.
    pub fn pair(enabled: bool, discovery: DiscoveryAddress) -> (Option<ListDelivery>, Option<ListSharing>) {
        if !enabled {
            return (None, None);
        }
        let (watches, watches_here) = watch::channel(true);
        let (deliver, received) = mpsc::channel(LIST_QUEUE);
        let (publish, published) = mpsc::channel(LIST_QUEUE);
        let unreachable = Arc::new(AtomicBool::new(false));
        let delivery = ListDelivery {
            broadcast: ListBroadcast::new("", source(&discovery)),
            watches,
            deliver,
            published: Some(published),
            unreachable: unreachable.clone(),
            unreachable_since: None,
            failed_at: None,
            discovery,
        };
        (
            Some(delivery),
            Some(ListSharing {
                polls_discovery: watches_here,
                received_lists: received,
                published_lists: publish,
                discovery_unreachable: unreachable,
            }),
        )
    }

    /// Sets the name of the node. Called before anything else.
    pub(super) fn set_name(&mut self, name: &str) {
        self.broadcast = ListBroadcast::new(name, source(&self.discovery));
    }

    /// Sets the nodes of the zone.
    pub(super) fn set_peers(&mut self, peers: &[&Peer]) {
        self.broadcast.set_peers(peers.iter().map(|peer| (peer.name.clone(), peer.address)).collect());
    }

    /// Takes the receiver of what discovery tells.
    pub(super) fn take_published(&mut self) -> Option<mpsc::Receiver<EndpointList>> {
        self.published.take()
    }

    pub(super) fn next_tick(&self) -> Duration {
        self.broadcast.next_tick()
    }

    pub(super) fn tick(&mut self, now: Duration, may_act: bool) {
        self.broadcast.tick(now, may_act);
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

    /// Publishes a list that discovery told this node.
    pub(super) fn publish(&mut self, now: Duration, list: &EndpointList, may_act: bool) {
        self.update_source();
        let entry = |member: &EndpointRecord| {
            let bytes = serde_json::to_vec(member).ok()?;
            Some(ListEntry { key: member.id().to_string(), removed: member.is_terminated(), bytes })
        };
        let entries = list.members.iter().filter_map(entry).collect();
        let delta = ListDelta { version: list.revision, complete: list.complete, entries };
        self.broadcast.publish(now, &delta, may_act);
    }

    fn update_source(&mut self) {
        if self.discovery.has_changed().unwrap_or(false) {
            self.discovery.mark_unchanged();
            self.broadcast.set_source(source(&self.discovery));
        }
    }

    /// Returns whether the lease is to be released, because discovery has not answered here for a while.
    fn discovery_fails(&mut self, now: Duration) -> bool {
        if !self.unreachable.load(Ordering::Relaxed) || !self.broadcast.polls_discovery() {
            self.unreachable_since = None;
            return false;
        }
        let since = *self.unreachable_since.get_or_insert(now);
        let fails = now.saturating_sub(since) >= DISCOVERY_TIMEOUT;
        if fails {
            self.failed_at = Some(now);
        }
        fails
    }

    /// Returns whether discovery failed here a short while ago, so that other nodes should hold the lease.
    pub(super) fn discovery_failed_recently(&self, now: Duration) -> bool {
        self.failed_at.is_some_and(|at| now.saturating_sub(at) < FAILURE_PAUSE)
    }

    pub(super) fn status(&self) -> ListBroadcastStatus {
        ListBroadcastStatus {
            polls_discovery: self.broadcast.polls_discovery(),
            version: self.broadcast.version(),
            metrics: self.broadcast.metrics(),
        }
    }

    /// Carries out the broadcast's actions at this node; returns the messages to other nodes.
    fn carry_out(&mut self) -> Vec<(SocketAddr, BroadcastMessage)> {
        let mut messages = Vec::new();
        while let Some(action) = self.broadcast.next_action() {
            match action {
                BroadcastAction::Send { to, message } => messages.push((to, message)),
                BroadcastAction::PollDiscovery(polls) => {
                    log::debug!(event = "discovery_polling", enabled = polls; "discovery polling changed");
                    self.watches.send_replace(polls);
                }
                BroadcastAction::Apply(delta) => self.deliver(&delta),
            }
        }
        messages
    }

    /// Delivers a list of the holder to the watch.
    fn deliver(&self, delta: &ListDelta) {
        let members: Vec<EndpointRecord> =
            delta.entries.iter().filter_map(|entry| serde_json::from_slice(&entry.bytes).ok()).collect();
        let unreadable = delta.entries.len() - members.len();
        if unreadable > 0 {
            log::warn!(event = "list_entries_unreadable", count = unreadable; "list entries can't be decoded");
        }
        let list = EndpointList { revision: delta.version, complete: delta.complete, members };
        if self.deliver.try_send(list).is_err() {
            // The watch is behind: it has to hear all of it from discovery.
            self.watches.send_replace(true);
        }
    }
}

impl Task {
    /// Returns whether this node may send as the holder. To be called right before each message to the zone.
    pub(super) fn may_publish_lists(&self) -> bool {
        self.client.valid_token(boottime(), &self.list_lease()).is_some()
    }

    /// Works on the lists, and sends the messages that result.
    pub(super) fn with_lists(&mut self, work: impl FnOnce(&mut ListDelivery)) {
        let Some(lists) = &mut self.dependencies.list_delivery else { return };
        work(lists);
        for (to, message) in lists.carry_out() {
            self.send(to, &NodeMessage::Lists(message));
        }
        let lists = self.dependencies.list_delivery.as_mut();
        if lists.is_some_and(|lists| lists.discovery_fails(boottime())) {
            // Discovery does not answer here, and may answer another node.
            let lease = self.list_lease();
            self.client.release(boottime(), &lease);
        }
    }
}
