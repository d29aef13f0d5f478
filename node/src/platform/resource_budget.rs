//! Budget of what the frontend may hold: descriptors of clients and workers, and memory for bodies. It also keeps the ids
//! and the endpoint list that go to the next process. While two processes are one node, both share what `limits` allows.

use super::connection_slots::ConnectionSlots;
use super::in_flight_ids::InFlightIds;
use super::pool::Pool;
use super::Job;
use crate::config::Limits;
use crate::counters::{Counters, ResourceUsage};
use crate::dispatcher::Handle;
use crate::endpoint_list::EndpointList;
use crate::names::Names;
use crate::process_handover::{FrozenJob, HandoverSource, HeldResources, NodeState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Semaphore;

/// Descriptors beside those of clients and workers: standard streams, poller, signals, listeners, discovery, a
/// link to another process, and those of [`crate::management::MAX_CONNECTIONS`].
pub const FIXED_DESCRIPTORS: usize = 32;
/// Connections beyond the budget that are held at once to be refused.
pub const REJECTION_SLOTS: usize = 32;
/// Descriptors for clients and workers that a node has however little is left: it serves a little at least.
pub const DESCRIPTORS_MIN: usize = 12;
/// Descriptors for clients and workers of a process whose limit is lower than what is set aside.
const DESCRIPTORS_OF_TINY_LIMIT: usize = 4;
/// Divisor of the memory that bodies of clients may hold. Heads and tasks take less than half of the rest.
const BODY_MEMORY_DIVISOR: usize = 4;

/// What there is for each use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to workers.
    pub workers: usize,
    /// Memory for bodies, in KiB.
    pub bodies_kib: usize,
}

impl Allocation {
    fn new(limits: Limits, other: HeldResources) -> Allocation {
        let set_aside = FIXED_DESCRIPTORS + REJECTION_SLOTS;
        let budget = limits.sockets.saturating_sub(set_aside).max(DESCRIPTORS_OF_TINY_LIMIT);
        let budget = budget.saturating_sub(other.descriptors).max(DESCRIPTORS_MIN.min(budget));
        let workers = budget / 3;
        let bodies_kib = (limits.memory_mb * 1024 / BODY_MEMORY_DIVISOR).saturating_sub(other.bodies_kib);
        Allocation { clients: budget - workers, workers, bodies_kib }
    }

    /// The larger of the two, use by use.
    fn max(self, other: Allocation) -> Allocation {
        Allocation {
            clients: self.clients.max(other.clients),
            workers: self.workers.max(other.workers),
            bodies_kib: self.bodies_kib.max(other.bodies_kib),
        }
    }
}

/// All that is allocated from.
pub struct ResourceBudget {
    /// The dispatcher, for the jobs that move.
    core: Handle<Job>,
    /// Running jobs that were collected for another process.
    pub lifted: Arc<Mutex<Vec<FrozenJob>>>,
    /// Slots for connections of clients.
    pub client_slots: Arc<ConnectionSlots>,
    /// Slots for connections that are only refused.
    pub rejection_slots: Arc<Semaphore>,
    /// Connections to workers.
    pub(super) pool: Arc<Pool>,
    /// Memory for bodies, in KiB.
    pub body_memory_kib: Semaphore,
    /// Ids of requests in flight.
    pub(super) in_flight_ids: InFlightIds,
    /// Latest endpoint list.
    pub latest_list: Arc<Mutex<EndpointList>>,
    limits: Limits,
    allocation: Mutex<Allocation>,
}

impl ResourceBudget {
    /// What these limits allow beside what another process holds.
    pub fn new(
        core: Handle<Job>,
        limits: Limits,
        other: HeldResources,
        names: &Names,
        counters: Arc<Counters>,
    ) -> ResourceBudget {
        let allocation = Allocation::new(limits, other);
        ResourceBudget {
            core,
            lifted: Arc::default(),
            client_slots: ConnectionSlots::new(allocation.clients),
            rejection_slots: Arc::new(Semaphore::new(REJECTION_SLOTS)),
            pool: Arc::new(Pool::new(allocation.workers, names, counters)),
            body_memory_kib: Semaphore::new(allocation.bodies_kib),
            in_flight_ids: InFlightIds::default(),
            latest_list: Arc::default(),
            limits,
            allocation: Mutex::new(allocation),
        }
    }

    /// What is allocated to this process now.
    pub fn allocation(&self) -> Allocation {
        *self.lock_allocation()
    }

    fn lock_allocation(&self) -> MutexGuard<'_, Allocation> {
        self.allocation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of connections to workers.
    pub fn worker_connections(&self) -> usize {
        self.pool.connection_count()
    }

    fn bodies_held_kib(&self) -> usize {
        self.allocation().bodies_kib.saturating_sub(self.body_memory_kib.available_permits())
    }

    /// Returns once no client is left, not even one that is being refused.
    pub async fn clients_closed(&self) {
        self.client_slots.all_free().await;
        // Fails with a closed semaphore only, and this one is never closed.
        let _ = self.rejection_slots.acquire_many(REJECTION_SLOTS as u32).await;
    }

    /// What is held now.
    pub fn usage(&self) -> ResourceUsage {
        let idle = self.pool.idle_count();
        ResourceUsage {
            client_connections: self.client_slots.taken(),
            busy_clients: self.client_slots.at_work(),
            attempt_connections: self.pool.connection_count().saturating_sub(idle),
            idle_connections: idle,
            wire_ids: self.in_flight_ids.len(),
            bodies_kib: self.bodies_held_kib(),
        }
    }

    /// The other process now holds no more than this: what it released is allocated here. Nothing is taken away again.
    pub fn update_peer_usage(&self, other: HeldResources) {
        let mut allocation = self.lock_allocation();
        let newer = Allocation::new(self.limits, other);
        self.client_slots.grant(newer.clients.saturating_sub(allocation.clients));
        self.pool.add_capacity(newer.workers.saturating_sub(allocation.workers));
        self.body_memory_kib.add_permits(newer.bodies_kib.saturating_sub(allocation.bodies_kib));
        *allocation = allocation.max(newer);
    }
}

impl HandoverSource for ResourceBudget {
    fn node_state(&self) -> NodeState {
        let endpoint_list = self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        NodeState { endpoint_list, in_flight_ids: self.in_flight_ids.all() }
    }

    fn held_resources(&self) -> HeldResources {
        let clients = self.client_slots.taken();
        let refused = REJECTION_SLOTS.saturating_sub(self.rejection_slots.available_permits());
        // Each client that waits for an answer may yet have an attempt out.
        let workers = self.client_slots.at_work().max(self.pool.connection_count());
        let descriptors = FIXED_DESCRIPTORS + clients + refused + workers;
        HeldResources { descriptors, bodies_kib: self.bodies_held_kib() }
    }

    fn close_idle(&self) {
        self.pool.close_idle();
    }

    async fn freeze_jobs(&self) -> Vec<FrozenJob> {
        self.core.freeze_transferable().await;
        std::mem::take(&mut *self.lifted.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
