//! Sharing of endpoint lists: one node of a zone watches discovery and publishes its lists to the others.

use crate::endpoint_list::EndpointList;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The watch's side of list sharing.
pub struct ListSharing {
    /// Whether discovery is watched from here.
    pub polls_discovery: watch::Receiver<bool>,
    /// Lists of the node that watches for all.
    pub received_lists: mpsc::Receiver<EndpointList>,
    /// Lists that discovery told here.
    pub published_lists: mpsc::Sender<EndpointList>,
    /// Set while discovery cannot be reached from here.
    pub discovery_unreachable: Arc<AtomicBool>,
}

/// What list sharing tells the watch.
pub enum SharingEvent {
    /// Discovery is to be watched from here, or no more.
    Watch(bool),
    /// A list of the node that watches for all.
    Received(EndpointList),
}

/// The next event; never returns where nothing is shared, or no more.
pub async fn next_event(sharing: &mut Option<ListSharing>) -> SharingEvent {
    if let Some(ListSharing { polls_discovery, received_lists, .. }) = sharing {
        tokio::select! {
            Ok(()) = polls_discovery.changed() => return SharingEvent::Watch(*polls_discovery.borrow_and_update()),
            Some(list) = received_lists.recv() => return SharingEvent::Received(list),
            else => {}
        }
    }
    std::future::pending().await
}
