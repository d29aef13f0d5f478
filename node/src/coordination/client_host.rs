//! Execution of the client's actions: requests to voters, and leases that were acquired or lost.

use super::clock::boottime;
use super::message::NodeMessage;
use super::rolling_restart::LEASE as RESTART_LEASE;
use super::scheduled_call::CallState;
use super::task::Task;
use ::coordination::{ClientAction, LeaseLost, Message};
use std::net::SocketAddr;

impl Task {
    /// Executes the client's actions.
    pub(super) fn drive_client(&mut self) {
        while let Some(action) = self.client.next_action() {
            match action {
                ClientAction::Send { to, request } => self.send_coordination(to, Message::Request(request)),
                ClientAction::Acquired { lease, token, state } => self.lease_acquired(lease, token, &state),
                ClientAction::Lost { lease, token, reason } => self.lease_lost(&lease, token, reason),
            }
        }
    }

    fn lease_acquired(&mut self, lease: String, token: u64, state: &[u8]) {
        log::info!(event = "lease_acquired", lease = lease, token = token; "lease acquired");
        if lease == self.list_lease() {
            self.with_lists(|lists| lists.lease_acquired(boottime(), token));
        }
        if lease == RESTART_LEASE {
            self.restart.lease_acquired(&self.dependencies.name, state);
        }
        self.calls.insert(lease, CallState { next_call: boottime(), in_flight: false });
    }

    fn lease_lost(&mut self, lease: &str, token: u64, reason: LeaseLost) {
        let reason = match reason {
            LeaseLost::Expired => "expired",
            LeaseLost::TakenOver => "taken_over",
            LeaseLost::Released => "released",
        };
        log::info!(event = "lease_lost", lease = lease, token = token, reason = reason; "lease lost");
        if lease == self.list_lease() {
            self.with_lists(|lists| lists.lease_lost(boottime()));
        }
        if lease == RESTART_LEASE {
            self.restart.lease_lost();
        }
        self.calls.remove(lease);
    }

    pub(super) fn send_coordination(&self, to: SocketAddr, message: Message) {
        self.send(to, &NodeMessage::Coordination(message));
    }

    pub(super) fn send(&self, to: SocketAddr, message: &NodeMessage) {
        match postcard::to_stdvec(message) {
            Ok(bytes) => self.dependencies.membership.send_message(to, bytes),
            Err(error) => {
                log::error!(event = "message_not_encoded", to:% = to, error:% = error;
                    "message can't be encoded");
            }
        }
    }
}
