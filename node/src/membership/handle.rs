//! Handle to the membership task for the other parts of the node.

use super::log_records::log_counters;
use membership::{FleetSize, Peer, Status};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Time limit for announcing that the node leaves.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Name of the sending or receiving node, and rates by the hash of the tenant name, in 1/64 of a request per second.
pub type Rates = (String, Vec<(u64, u16)>);

/// Address of the sender, and a message of another subsystem.
pub type ReceivedMessage = (SocketAddr, Vec<u8>);

/// Command to the membership task.
pub(super) enum Command {
    /// Sends the rates of this node's tenants to another node.
    SendRates(Rates),
    /// Sends a message of another subsystem to the node at an address.
    SendMessage(SocketAddr, Vec<u8>),
    /// Reports the status.
    Status(oneshot::Sender<Status>),
    /// Announces that the node leaves, and ends the task. The sender is notified once the announcement is sent.
    Leave(oneshot::Sender<()>),
    /// Ends the participation of this process for good.
    StopParticipating,
}

/// Receiver shared between clones of the handle, until its only reader takes it.
type SharedReceiver<T> = Arc<Mutex<Option<mpsc::Receiver<T>>>>;

fn share<T>(receiver: mpsc::Receiver<T>) -> SharedReceiver<T> {
    Arc::new(Mutex::new(Some(receiver)))
}

fn take<T>(receiver: &SharedReceiver<T>) -> Option<mpsc::Receiver<T>> {
    receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// Channel ends of a handle, and the id of this process.
pub(super) struct HandleParts {
    pub commands: mpsc::Sender<Command>,
    pub fleet_size: watch::Receiver<FleetSize>,
    pub peers: watch::Receiver<Vec<Peer>>,
    pub rates: mpsc::Receiver<Rates>,
    pub messages: mpsc::Receiver<ReceivedMessage>,
    pub process_id: u64,
}

/// Handle to the membership task.
#[derive(Clone)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    fleet_size: watch::Receiver<FleetSize>,
    peers: watch::Receiver<Vec<Peer>>,
    rates: SharedReceiver<Rates>,
    messages: SharedReceiver<ReceivedMessage>,
    process_id: u64,
}

impl Handle {
    pub(super) fn new(parts: HandleParts) -> Handle {
        Handle {
            commands: parts.commands,
            fleet_size: parts.fleet_size,
            peers: parts.peers,
            rates: share(parts.rates),
            messages: share(parts.messages),
            process_id: parts.process_id,
        }
    }

    /// Fleet size, for the decisions of the frontends.
    pub fn fleet_size(&self) -> watch::Receiver<FleetSize> {
        self.fleet_size.clone()
    }

    /// Members that accept requests.
    pub fn peers(&self) -> watch::Receiver<Vec<Peer>> {
        self.peers.clone()
    }

    /// Takes the receiver of rates from other nodes; `None` except for the first caller.
    pub fn take_rates(&self) -> Option<mpsc::Receiver<Rates>> {
        take(&self.rates)
    }

    /// Takes the receiver of messages for other subsystems; `None` except for the first caller.
    pub fn take_messages(&self) -> Option<mpsc::Receiver<ReceivedMessage>> {
        take(&self.messages)
    }

    /// Random id of this process.
    pub fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Sends a message of another subsystem to the node at an address. The message is dropped if the queue is full.
    pub fn send_message(&self, to: SocketAddr, bytes: Vec<u8>) {
        let _ = self.commands.try_send(Command::SendMessage(to, bytes));
    }

    /// Sends the rates of this node's tenants to another node. They are dropped if the queue is full.
    pub fn send_rates(&self, rates: Rates) {
        let _ = self.commands.try_send(Command::SendRates(rates));
    }

    /// Status report; `None` once the task has ended.
    pub async fn status(&self) -> Option<Status> {
        let (sender, receiver) = oneshot::channel();
        self.commands.send(Command::Status(sender)).await.ok()?;
        receiver.await.ok()
    }

    /// Logs the counters.
    pub async fn log_counters(&self) {
        if let Some(status) = self.status().await {
            log_counters(&status);
        }
    }

    /// Ends the participation of this process for good: another process of this node has taken over.
    pub fn stop_participating(&self) {
        let _ = self.commands.try_send(Command::StopParticipating); // fails once the task has ended
    }

    /// Announces that this node leaves, and ends the task. Returns after a time limit at the latest.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.try_send(Command::Leave(sender)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, receiver).await;
        }
    }
}
