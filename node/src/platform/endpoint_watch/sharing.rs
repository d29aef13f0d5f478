//! Sharing of endpoint lists: one node of a zone polls discovery and publishes its lists to the others.

use crate::endpoint_list::EndpointList;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// Channels between the endpoint watch and list sharing.
pub struct ListSharing {
    /// Whether this node polls discovery.
    pub polls_discovery: watch::Receiver<bool>,
    /// Lists from the node that polls discovery for the zone.
    pub received_lists: mpsc::Receiver<EndpointList>,
    /// Lists that this node received from discovery, to be published.
    pub published_lists: mpsc::Sender<EndpointList>,
    /// Set while this node cannot reach discovery.
    pub discovery_unreachable: Arc<AtomicBool>,
}

/// Event of list sharing for the watch.
pub enum SharingEvent {
    /// Whether this node is to poll discovery has changed.
    PollDiscovery(bool),
    /// A list from the node that polls discovery for the zone.
    Received(EndpointList),
}

/// Returns the next event; never returns if lists are not shared, or no longer.
pub async fn next_event(sharing: &mut Option<ListSharing>) -> SharingEvent {
    if let Some(ListSharing { polls_discovery, received_lists, .. }) = sharing {
        tokio::select! {
            Ok(()) = polls_discovery.changed() => {
                return SharingEvent::PollDiscovery(*polls_discovery.borrow_and_update());
            }
            Some(list) = received_lists.recv() => return SharingEvent::Received(list),
            else => {}
        }
    }
    std::future::pending().await
}
