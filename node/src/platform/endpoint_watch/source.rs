//! One address of discovery: its whole list first, then one watch after the other.

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

/// Lists of one address. Its task ends with it.
pub struct ListSource {
    lists: mpsc::Receiver<EndpointList>,
    task: AbortHandle,
}

impl ListSource {
    /// Starts to call an address, for what has changed since a version, if there is one.
    pub fn start(
        address: SocketAddr,
        version: Option<u64>,
        discovery: DiscoveryAddress,
        backoff: Backoff,
        unreachable: Arc<AtomicBool>,
    ) -> ListSource {
        let (lists, receiver) = mpsc::channel(1);
        let client = DiscoveryClient::new(address);
        let caller = Caller { client, address, version, discovery, backoff, unreachable, lists };
        ListSource { lists: receiver, task: tokio::spawn(caller.run()).abort_handle() }
    }
}

impl Drop for ListSource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The next list of a source; never returns where there is no source, or where it has ended.
pub async fn next_list(source: &mut Option<ListSource>) -> EndpointList {
    if let Some(source) = source {
        if let Some(list) = source.lists.recv().await {
            return list;
        }
    }
    std::future::pending().await
}

/// The task of a source.
struct Caller {
    client: DiscoveryClient,
    address: SocketAddr,
    /// Version of the latest list of this address, or of the list that was known.
    version: Option<u64>,
    discovery: DiscoveryAddress,
    backoff: Backoff,
    unreachable: Arc<AtomicBool>,
    lists: mpsc::Sender<EndpointList>,
}

/// What follows a call.
enum Next {
    /// Another call, after a pause if there is one.
    Call(Option<Duration>),
    /// The end: nobody needs this address's lists any more.
    End,
}

impl Caller {
    async fn run(mut self) {
        // Before the first call, and after one that failed; none after an answer.
        let mut pause = Some(Duration::ZERO);
        self.unreachable.store(false, Ordering::Relaxed);
        loop {
            if let Some(pause) = pause {
                sleep(pause).await;
            }
            let wait = self.backoff.watch_wait(pause);
            let watch = self.version.map(|version| Watch { version, wait });
            let next = match self.client.call(watch).await {
                Ok(list) => self.handle_list(list).await,
                Err(error) => self.handle_error(error),
            };
            match next {
                Next::Call(next_pause) => pause = next_pause,
                Next::End => return,
            }
        }
    }

    async fn handle_list(&mut self, list: EndpointList) -> Next {
        // An older list of the same address must not take a drain back. The whole list is asked for, and counts whatever
        // its version, for discovery may have restarted.
        if let Some(version) = self.version.filter(|version| list.revision < *version) {
            log::warn!(event = "endpoint_list_older", discovery:% = self.address, version = list.revision,
                known_version = version; "older endpoint list ignored: asking for the whole list");
            self.version = None;
            return Next::Call(Some(self.backoff.pause_after_rejection()));
        }
        self.version = Some(list.revision);
        self.backoff.reset();
        if self.unreachable.swap(false, Ordering::Relaxed) {
            log::info!(event = "discovery_recovered", discovery:% = self.address; "discovery reached again");
        }
        match self.lists.send(list).await {
            Ok(()) => Next::Call(None),
            Err(_) => Next::End,
        }
    }

    fn handle_error(&mut self, error: CallError) -> Next {
        // Discovery has moved: this address owes nothing more.
        if *self.discovery.borrow() != Some(self.address) {
            return Next::End;
        }
        // Logged once for each outage, not with each call.
        if !self.unreachable.swap(true, Ordering::Relaxed) {
            log::warn!(event = "discovery_failed", discovery:% = self.address, reason:% = error;
                "no endpoint list from discovery: the latest one stays in use");
        }
        Next::Call(Some(match error {
            // Over the same connection, for what has changed since the known list.
            CallError::Rejected(_) => self.backoff.pause_after_rejection(),
            // The whole list is asked for, and not in a tight loop.
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
