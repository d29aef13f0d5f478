//! Handle to the membership task, for the other parts of the node.

use super::log_records::log_counters;
use membership::{FleetSize, Peer, Status};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

/// Time limit for the announcement of a node that leaves.
pub(super) const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Name of the sending or receiving node, and rates of tenants by the hash of their names, in 1/64 of a job per second.
pub type Rates = (String, Vec<(u64, u16)>);

/// Address of the sender, and a message of another subsystem.
pub type ReceivedMessage = (SocketAddr, Vec<u8>);

/// Command to the task.
pub(super) enum Command {
    /// Sends the rates of this node's tenants to another node.
    SendRates(Rates),
    /// Sends a message of another subsystem to the node at an address.
    SendMessage(SocketAddr, Vec<u8>),
    /// Reports the status.
    Status(oneshot::Sender<Status>),
    /// Announces that the node leaves, and ends the task.
    Leave(oneshot::Sender<()>),
    /// Silences this process for good.
    Suspend,
}

/// Receiving end of a queue, until its one reader takes it.
type Unclaimed<T> = Arc<Mutex<Option<mpsc::Receiver<T>>>>;

fn unclaimed<T>(receiver: mpsc::Receiver<T>) -> Unclaimed<T> {
    Arc::new(Mutex::new(Some(receiver)))
}

fn claim<T>(receiver: &Unclaimed<T>) -> Option<mpsc::Receiver<T>> {
    receiver.lock().unwrap_or_else(PoisonError::into_inner).take()
}

/// Ends of the channels that a handle holds, and the number of this process.
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
    rates: Unclaimed<Rates>,
    messages: Unclaimed<ReceivedMessage>,
    process_id: u64,
}

impl Handle {
    pub(super) fn new(parts: HandleParts) -> Handle {
        Handle {
            commands: parts.commands,
            fleet_size: parts.fleet_size,
            peers: parts.peers,
            rates: unclaimed(parts.rates),
            messages: unclaimed(parts.messages),
            process_id: parts.process_id,
        }
    }

    /// Fleet size, for the decisions of the fronts.
    pub fn fleet_size(&self) -> watch::Receiver<FleetSize> {
        self.fleet_size.clone()
    }

    /// Members that take jobs.
    pub fn peers(&self) -> watch::Receiver<Vec<Peer>> {
        self.peers.clone()
    }

    /// Rates that other nodes send; `None` for any but the first caller.
    pub fn take_rates(&self) -> Option<mpsc::Receiver<Rates>> {
        claim(&self.rates)
    }

    /// Messages of other subsystems; `None` for any but the first caller.
    pub fn take_messages(&self) -> Option<mpsc::Receiver<ReceivedMessage>> {
        claim(&self.messages)
    }

    /// Number of this process, drawn at random at its start.
    pub fn process_id(&self) -> u64 {
        self.process_id
    }

    /// Sends a message of another subsystem to the node at an address. Dropped if the queue is full.
    pub fn send_message(&self, to: SocketAddr, bytes: Vec<u8>) {
        let _ = self.commands.try_send(Command::SendMessage(to, bytes));
    }

    /// Sends the rates of this node's tenants to another node. Dropped if the queue is full.
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

    /// Silences this process for good: another process of this node has taken its place.
    pub fn suspend(&self) {
        let _ = self.commands.try_send(Command::Suspend); // fails once the task has ended
    }

    /// Announces that this node leaves, and ends the task.
    pub async fn leave(&self) {
        let (sender, receiver) = oneshot::channel();
        if self.commands.try_send(Command::Leave(sender)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, receiver).await;
        }
    }
}
