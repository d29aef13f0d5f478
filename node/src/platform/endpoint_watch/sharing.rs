//! Sharing of endpoint lists: one node of a zone watches discovery and publishes its lists to the others.

use crate::endpoint_list::EndpointList;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// The watch's side of list sharing.
pub struct ListSharing {
    /// Whether discovery is watched from here.
    pub watches: watch::Receiver<bool>,
    /// Lists of the node that watches for all.
    pub received: mpsc::Receiver<EndpointList>,
    /// Lists that discovery told here.
    pub publish: mpsc::Sender<EndpointList>,
    /// Set while discovery cannot be reached from here.
    pub unreachable: Arc<AtomicBool>,
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
    if let Some(ListSharing { watches, received, .. }) = sharing {
        tokio::select! {
            Ok(()) = watches.changed() => return SharingEvent::Watch(*watches.borrow_and_update()),
            Some(list) = received.recv() => return SharingEvent::Received(list),
            else => {}
        }
    }
    std::future::pending().await
}
