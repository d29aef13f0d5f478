//! Owner of a running request, shared by all that act on it: its attempt, its client's connection and the handover.

use crate::dispatcher::AttemptId;
use crate::process_handover::{Ownership, TransferEvent};
use std::sync::Arc;
use tokio::sync::watch;

/// Owner of a request while one of its attempts runs. Clones share it.
#[derive(Clone)]
pub struct RequestOwnership {
    attempt_id: AttemptId,
    owner: Arc<watch::Sender<Ownership>>,
}

impl RequestOwnership {
    /// Creates the ownership of a request whose attempt this process runs.
    pub fn new(attempt_id: AttemptId) -> RequestOwnership {
        RequestOwnership { attempt_id, owner: Arc::new(watch::Sender::new(Ownership::Here)) }
    }

    /// The attempt.
    pub fn attempt_id(&self) -> AttemptId {
        self.attempt_id
    }

    /// The owner now.
    pub fn owner(&self) -> Ownership {
        *self.owner.borrow()
    }

    /// Applies an event; returns the owner before and after it.
    pub fn apply(&self, event: TransferEvent) -> (Ownership, Ownership) {
        let mut change = (Ownership::Here, Ownership::Here);
        self.owner.send_if_modified(|owner| {
            let before = *owner;
            *owner = before.after(event);
            change = (before, *owner);
            before != *owner
        });
        let (before, after) = change;
        // Nearly every attempt ends where it began; only transfers are of interest.
        if after != Ownership::EndedHere {
            let AttemptId { request, attempt } = self.attempt_id;
            log::debug!(event = "request_owner", request, attempt, cause:? = event, from:? = before, to:? = after;
                "event in the transfer of a request");
        }
        change
    }

    /// Ends the attempt in this process, once it is decided whether it runs here. Returns whether it does; otherwise it
    /// must be neither reported nor closed here.
    pub async fn end_attempt(&self) -> bool {
        let mut changes = self.owner.subscribe();
        loop {
            changes.mark_unchanged();
            match self.apply(TransferEvent::AttemptEnded).1 {
                Ownership::EndedHere => return true,
                Ownership::Offered => {}
                _ => return false,
            }
            let _ = changes.changed().await; // fails never: this value holds the sender
        }
    }

    /// Waits until it is decided whether this process may answer the client, and returns it.
    pub async fn may_answer(&self) -> bool {
        let mut changes = self.owner.subscribe();
        // Fails never: this value holds the sender.
        let decided = changes.wait_for(|owner| !owner.is_undecided()).await;
        decided.is_ok_and(|owner| owner.may_act_here())
    }
}
