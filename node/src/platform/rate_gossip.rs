//! Gossip of tenants' admission rates between nodes. Nodes and tenants go by name or hash on the wire, and by
//! index in the decision module.

use super::peers::PeerSocket;
use super::Job;
use crate::dispatcher::{stable_hash, Handle};
use crate::membership;
use crate::names::Names;
use ::membership::{FleetSize, RATES_MAX};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;

/// Publisher of admission rates to other nodes.
pub enum RatePublisher {
    /// Authenticated messages between members, if the node has a fleet file.
    Membership(MembershipGossip),
    /// Datagrams of the platform, if its settings allow them.
    Datagrams(Arc<PeerSocket>),
}

impl RatePublisher {
    /// Sends encoded rates (two bytes for each tenant) to the node with this index.
    pub fn publish(&self, node_index: u32, rates: &[u8]) {
        match self {
            RatePublisher::Membership(gossip) => gossip.publish(node_index, rates),
            RatePublisher::Datagrams(socket) => socket.send(node_index, rates),
        }
    }
}

/// Gossip of rates between the members of the fleet.
pub struct MembershipGossip {
    membership: membership::Handle,
    fleet_size: watch::Receiver<FleetSize>,
    names: watch::Receiver<Arc<Names>>,
}

impl MembershipGossip {
    /// Creates the gossip over this membership.
    pub fn new(membership: membership::Handle, names: watch::Receiver<Arc<Names>>) -> MembershipGossip {
        let fleet_size = membership.fleet_size();
        MembershipGossip { membership, fleet_size, names }
    }

    fn publish(&self, node_index: u32, rates: &[u8]) {
        let (fleet_size, names) = (self.fleet_size.borrow(), self.names.borrow());
        let tenants = names.tenants.iter().map(|t| stable_hash(t));
        let rates = rates.chunks_exact(2).map(|r| u16::from_be_bytes([r[0], r[1]]));
        let rates: Vec<_> = tenants.zip(rates).collect();
        // Nothing is sent if the rates do not fit into one datagram: receivers would take a part for all
        // tenants.
        if let Some(name) =
            fleet_size.dispatcher_names.get(node_index as usize).filter(|_| rates.len() <= RATES_MAX)
        {
            self.membership.send_rates((name.clone(), rates));
        }
    }

    /// Passes the rates of other members to the dispatcher, for as long as the membership exists.
    pub async fn receive(self, handle: Handle<Job>) {
        let Some(mut received) = self.membership.take_rates() else { return };
        while let Some((sender, rates)) = received.recv().await {
            let sender = self.fleet_size.borrow().dispatcher_names.iter().position(|name| *name == sender);
            let rates: HashMap<u64, u16> = rates.into_iter().collect();
            let names = self.names.borrow().clone();
            let rate_of = |tenant: &String| rates.get(&stable_hash(tenant)).copied().unwrap_or(0);
            if let Some(sender) = sender {
                let rates = names.tenants.iter().flat_map(|tenant| rate_of(tenant).to_be_bytes());
                handle.peer_rates(sender as u32, rates.collect());
            }
        }
    }
}
