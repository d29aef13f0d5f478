//! Admission rates of tenants that nodes tell each other: by name on the wire, by number in the decision module.

use super::peers::PeerSocket;
use super::Job;
use crate::dispatcher::{stable_hash, Handle};
use crate::membership;
use crate::names::Names;
use ::membership::{FleetSize, RATES_MAX};
use std::collections::HashMap;
use std::sync::Arc;
use tokio::sync::watch;

/// Way on which rates go to other nodes.
pub enum RatePublisher {
    /// Sealed messages between members, where an operator's file switches them on.
    Membership(MembershipGossip),
    /// Datagrams of the platform, where its settings allow them.
    Datagrams(Arc<PeerSocket>),
}

impl RatePublisher {
    /// Sends encoded rates (two bytes for each tenant) to a node, by its number.
    pub fn publish(&self, to: u32, rates: &[u8]) {
        match self {
            RatePublisher::Membership(gossip) => gossip.publish(to, rates),
            RatePublisher::Datagrams(socket) => socket.send(to, rates),
        }
    }
}

/// Rates sent and received by the cluster's members.
pub struct MembershipGossip {
    membership: membership::Handle,
    cluster_size: watch::Receiver<FleetSize>,
    names: watch::Receiver<Arc<Names>>,
}

impl MembershipGossip {
    /// Gossip by this membership.
    pub fn new(membership: membership::Handle, names: watch::Receiver<Arc<Names>>) -> MembershipGossip {
        let cluster_size = membership.fleet_size();
        MembershipGossip { membership, cluster_size, names }
    }

    fn publish(&self, to: u32, rates: &[u8]) {
        let (cluster_size, names) = (self.cluster_size.borrow(), self.names.borrow());
        let tenants = names.tenants.iter().map(|t| stable_hash(t));
        let rates = rates.chunks_exact(2).map(|r| u16::from_be_bytes([r[0], r[1]]));
        let rates: Vec<_> = tenants.zip(rates).collect();
        // Of more tenants than fit into one datagram, a part would pass for all of them.
        if let Some(to) = cluster_size.dispatcher_names.get(to as usize).filter(|_| rates.len() <= RATES_MAX)
        {
            self.membership.send_rates((to.clone(), rates));
        }
    }

    /// Brings the rates of other members to the dispatcher, as long as there is a membership.
    pub async fn receive(self, handle: Handle<Job>) {
        let Some(mut received) = self.membership.take_rates() else { return };
        while let Some((sender, rates)) = received.recv().await {
            let sender = self.cluster_size.borrow().dispatcher_names.iter().position(|name| *name == sender);
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
