//! Handle of the coordination task, and the commands that it sends to the task.

use super::message::RestartRequest;
use super::operator_requests::OPERATOR_TIMEOUT;
use super::rolling_restart::LEASE as RESTART_LEASE;
use super::status::Status;
use super::task::SHUTDOWN_TIMEOUT;
use ::coordination::{Operation, Outcome};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Command to the task.
pub(super) enum Command {
    Status(oneshot::Sender<Status>),
    Request(Operation, oneshot::Sender<Outcome>),
    /// Forwards a request to the holder with this name; returns whether the holder is in the membership view.
    RollingRestart(String, RestartRequest, oneshot::Sender<bool>),
    Shutdown(oneshot::Sender<()>),
}

/// Why a request for a rolling restart was not forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestartRequestError {
    /// No leader among the voters responds.
    #[error("no voter that leads answers")]
    NoLeader,
    /// No node holds the lease.
    #[error("nobody holds the duty 'roll': does the fleet's file say roll = true?")]
    NoHolder,
    /// The holder is not in this node's membership view.
    #[error("{0} holds it and is not in the view")]
    HolderUnknown(String),
}

/// Handle of the coordination task.
#[derive(Clone)]
pub struct Handle(mpsc::Sender<Command>);

impl Handle {
    pub(super) fn new(commands: mpsc::Sender<Command>) -> Handle {
        Handle(commands)
    }

    /// Returns the status of this node and of the voters; `None` if the task has ended.
    pub async fn status(&self) -> Option<Status> {
        let cluster = match self.request(Operation::Status).await {
            Some(Outcome::Status(cluster)) => Some(*cluster),
            _ => None,
        };
        let (sender, status) = oneshot::channel();
        self.0.send(Command::Status(sender)).await.ok()?;
        let status = status.await.ok()?;
        Some(Status { cluster, ..status })
    }

    /// Sends an operator's request to the voters; returns `None` if no leader responds in time.
    pub async fn request(&self, operation: Operation) -> Option<Outcome> {
        let (sender, outcome) = oneshot::channel();
        self.0.send(Command::Request(operation, sender)).await.ok()?;
        timeout(OPERATOR_TIMEOUT, outcome).await.ok()?.ok()
    }

    /// Forwards a request for a rolling restart to the holder of its lease, and returns the holder's name.
    ///
    /// # Errors
    ///
    /// [`RestartRequestError`] if there is no holder, or it can't be determined or reached.
    pub async fn request_restart(&self, request: RestartRequest) -> Result<String, RestartRequestError> {
        let Some(Outcome::Status(status)) = self.request(Operation::Status).await else {
            return Err(RestartRequestError::NoLeader);
        };
        let is_valid = status.remaining_ms.iter().any(|(lease, ms)| lease == RESTART_LEASE && *ms > 0);
        let holder = status.table.holder(RESTART_LEASE).filter(|_| is_valid);
        let holder = holder.ok_or(RestartRequestError::NoHolder)?.name.clone();
        let (sender, is_known) = oneshot::channel();
        let command = Command::RollingRestart(holder.clone(), request, sender);
        let is_sent = self.0.send(command).await.is_ok() && is_known.await.unwrap_or(false);
        match is_sent {
            true => Ok(holder),
            false => Err(RestartRequestError::HolderUnknown(holder)),
        }
    }

    /// Releases the leases held here and transfers the leadership, before the process ends.
    pub async fn shutdown(&self) {
        let (sender, done) = oneshot::channel();
        if self.0.try_send(Command::Shutdown(sender)).is_ok() {
            let _ = timeout(SHUTDOWN_TIMEOUT, done).await;
        }
    }
}
