//! Follows one address of discovery: requests the complete list unless a version is known, then long polls for
//! changes.

use super::backoff::Backoff;
use super::client::{CallError, DiscoveryClient, Watch};
use super::DiscoveryAddress;
use crate::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// Source of the lists of one address. Dropping it ends its task.
pub struct ListSource {
    lists: mpsc::Receiver<EndpointList>,
    task: AbortHandle,
}

impl ListSource {
    /// Starts to poll the address of a client, for the changes since a version if one is given.
    pub fn start(
        client: DiscoveryClient,
        version: Option<u64>,
        discovery: DiscoveryAddress,
        backoff: Backoff,
        unreachable: Arc<AtomicBool>,
    ) -> ListSource {
        let (list_sender, lists) = mpsc::channel(1);
        let address = client.address();
        let poller = Poller { client, address, version, discovery, backoff, unreachable, list_sender };
        ListSource { lists, task: tokio::spawn(poller.run()).abort_handle() }
    }
}

impl Drop for ListSource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns the next list of a source; never returns if there is no source, or it has ended.
pub async fn next_list(source: &mut Option<ListSource>) -> EndpointList {
    if let Some(source) = source {
        if let Some(list) = source.lists.recv().await {
            return list;
        }
    }
    std::future::pending().await
}

/// Task of a source.
struct Poller {
    client: DiscoveryClient,
    address: SocketAddr,
    /// Version of the latest list of this address, or of the list known at the start.
    version: Option<u64>,
    discovery: DiscoveryAddress,
    backoff: Backoff,
    unreachable: Arc<AtomicBool>,
    list_sender: mpsc::Sender<EndpointList>,
}

/// What to do after a call.
enum NextStep {
    /// Make another call, after the pause if there is one.
    Call(Option<Duration>),
    /// Stop: the lists of this address are not needed any more.
    Stop,
}

impl Poller {
    async fn run(mut self) {
        // `Some` before the first call and after a failed one, `None` after a successful one.
        let mut pause = Some(Duration::ZERO);
        self.unreachable.store(false, Ordering::Relaxed);
        loop {
            if let Some(pause) = pause {
                sleep(pause).await;
            }
            let wait = self.backoff.watch_wait(pause);
            let watch = self.version.map(|version| Watch { version, wait });
            let next_step = match self.client.call(watch).await {
                Ok(list) => self.handle_list(list).await,
                Err(error) => self.handle_error(error),
            };
            match next_step {
                NextStep::Call(next_pause) => pause = next_pause,
                NextStep::Stop => return,
            }
        }
    }

    async fn handle_list(&mut self, list: EndpointList) -> NextStep {
        // An older list from the same address must not undo a drain. The complete list is requested instead,
        // and applied whatever its version, since discovery may have restarted.
        if let Some(version) = self.version.filter(|version| list.revision < *version) {
            log::warn!(event = "endpoint_list_older", discovery:% = self.address, version = list.revision,
                known_version = version; "older endpoint list ignored; requesting the complete list");
            self.version = None;
            return NextStep::Call(Some(self.backoff.pause_after_rejection()));
        }
        self.version = Some(list.revision);
        self.backoff.reset();
        if self.unreachable.swap(false, Ordering::Relaxed) {
            log::info!(event = "discovery_recovered", discovery:% = self.address; "discovery reachable again");
        }
        match self.list_sender.send(list).await {
            Ok(()) => NextStep::Call(None),
            Err(_) => NextStep::Stop,
        }
    }

    fn handle_error(&mut self, error: CallError) -> NextStep {
        // Discovery has moved: this address is not needed any more.
        if *self.discovery.borrow() != Some(self.address) {
            return NextStep::Stop;
        }
        // Logged once for each outage, not for each call.
        if !self.unreachable.swap(true, Ordering::Relaxed) {
            log::warn!(event = "discovery_failed", discovery:% = self.address, reason:% = error;
                "no endpoint list from discovery; the latest one remains in use");
        }
        NextStep::Call(Some(match error {
            // The next call uses the same connection and requests the changes since the known version.
            CallError::Rejected(_) => self.backoff.pause_after_rejection(),
            // The complete list is requested, after a pause that prevents a busy loop.
            CallError::InvalidList(_) => {
                self.version = None;
                self.client.disconnect();
                self.backoff.pause_after_invalid_list()
            }
            CallError::Unreachable(_) => {
                self.client.disconnect();
                Backoff::UNREACHABLE_PAUSE
            }
        }))
    }
}
