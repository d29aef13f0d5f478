//! Resource budget of the frontend: descriptors for clients and workers, and memory for bodies. It also holds
//! the wire ids and the endpoint list that are passed to a successor. During a process handover, both
//! processes share what `limits` allows.

use super::answer_memory::SharedAnswerMemory;
use super::connection_slots::ConnectionSlots;
use super::in_flight_ids::InFlightIds;
use super::offered_request::PlatformOffer;
use super::pool::Pool;
use super::transport::OfferExchange;
use super::{Job, ProcessMemory};
use crate::acceptor::QueuedSince;
use crate::config::Limits;
use crate::counters::{Counters, ResourceUsage};
use crate::dispatcher::{AttemptId, Handle};
use crate::endpoint_list::EndpointList;
use crate::memory::{MemoryPlan, MemoryPressure};
use crate::monotonic;
use crate::names::Names;
use crate::process_handover::{HandoverReport, HandoverSource, HeldResources, NodeState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{watch, Semaphore};
use tokio::time::Instant;

/// Descriptors other than those for clients and workers: standard streams, poller, signals, listeners,
/// discovery, the link to another process, and connections of operators (up to
/// [`crate::management::MAX_CONNECTIONS`]).
pub const FIXED_DESCRIPTORS: usize = 32;
/// Maximum number of connections beyond the budget that are open at the same time to be rejected.
pub const REJECTION_SLOTS: usize = 32;
/// Minimum number of descriptors for clients and workers, even if another process holds the rest, so that the
/// node can serve.
pub const DESCRIPTORS_MIN: usize = 12;
/// Descriptors for clients and workers if the limit does not even cover the reserved ones.
const DESCRIPTORS_FALLBACK: usize = 4;
/// Bytes in a KiB.
const KIB: usize = 1024;

/// Allocation of resources to their uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allocation {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of worker connections.
    pub workers: usize,
    /// Memory for request bodies, in KiB.
    pub bodies_kib: usize,
}

impl Allocation {
    fn new(limits: Limits, plan: &MemoryPlan, other_process: HeldResources) -> Allocation {
        let reserved = FIXED_DESCRIPTORS + REJECTION_SLOTS;
        let budget = limits.sockets.saturating_sub(reserved).max(DESCRIPTORS_FALLBACK);
        let by_descriptors =
            budget.saturating_sub(other_process.descriptors).max(DESCRIPTORS_MIN.min(budget));
        let by_memory = plan.connections.saturating_sub(connections_of(other_process)).max(DESCRIPTORS_MIN);
        let budget = by_descriptors.min(by_memory);
        let workers = budget / 3;
        let bodies_kib = (plan.bodies_bytes / KIB).saturating_sub(other_process.bodies_kib);
        Allocation { clients: budget - workers, workers, bodies_kib }
    }

    /// Maximum of the two for each use.
    fn max(self, other: Allocation) -> Allocation {
        Allocation {
            clients: self.clients.max(other.clients),
            workers: self.workers.max(other.workers),
            bodies_kib: self.bodies_kib.max(other.bodies_kib),
        }
    }
}

/// Upper bound of the connections of another process.
fn connections_of(process: HeldResources) -> usize {
    process.descriptors.saturating_sub(FIXED_DESCRIPTORS)
}

/// What this process may allocate beside another one.
fn heap_limit(plan: &MemoryPlan, other_process: HeldResources) -> usize {
    if other_process == HeldResources::default() {
        return plan.limit_bytes;
    }
    let held = plan.process_bound(connections_of(other_process), other_process.bodies_kib);
    plan.limit_bytes.saturating_sub(held).max(plan.limit_bytes / 2)
}

/// Resource budget of the frontend.
pub struct ResourceBudget {
    /// Handle to the dispatcher, to freeze requests for the successor.
    dispatcher: Handle<Job>,
    /// Names and rules of the classes, for the successor.
    names: watch::Receiver<Arc<Names>>,
    /// Requests that are frozen for the successor.
    pub offers: Arc<OfferExchange>,
    /// Connection slots for clients.
    pub client_slots: Arc<ConnectionSlots>,
    /// Slots for connections that are only rejected.
    pub rejection_slots: Arc<Semaphore>,
    /// Connections to workers.
    pub(super) pool: Arc<Pool>,
    /// Memory for request bodies, in KiB.
    pub body_memory_kib: Semaphore,
    /// Memory for large answers of workers, in KiB.
    pub(super) answer_memory_kib: SharedAnswerMemory,
    /// Whether more memory is in use than planned.
    pub pressure: MemoryPressure,
    plan: MemoryPlan,
    /// Wire ids of requests in flight.
    pub(super) in_flight_ids: InFlightIds,
    /// Since when connections may wait in the listener's backlog, also from the time of another process.
    pub queued_since: QueuedSince,
    /// Latest endpoint list.
    pub latest_list: Arc<Mutex<EndpointList>>,
    limits: Limits,
    allocation: Mutex<Allocation>,
}

impl ResourceBudget {
    /// Creates the budget that these limits leave beside what another process holds.
    pub fn new(
        dispatcher: Handle<Job>,
        limits: Limits,
        memory: ProcessMemory,
        other_process: HeldResources,
        names: watch::Receiver<Arc<Names>>,
        counters: Arc<Counters>,
    ) -> ResourceBudget {
        let ProcessMemory { plan, heap } = memory;
        let allocation = Allocation::new(limits, &plan, other_process);
        let queued_for = other_process.queued_since.map_or(Duration::ZERO, monotonic::elapsed_since);
        let now = Instant::now();
        let in_flight_ids = InFlightIds::new(plan.recent_ids, counters.clone());
        let pool = Arc::new(Pool::new(allocation.workers, &names.borrow(), counters));
        ResourceBudget {
            dispatcher,
            names,
            offers: Arc::default(),
            client_slots: ConnectionSlots::new(allocation.clients),
            rejection_slots: Arc::new(Semaphore::new(REJECTION_SLOTS)),
            pool,
            body_memory_kib: Semaphore::new(allocation.bodies_kib),
            answer_memory_kib: Arc::new(Semaphore::new(plan.answers_bytes / KIB)),
            pressure: MemoryPressure::new(heap, heap_limit(&plan, other_process)),
            plan,
            in_flight_ids,
            queued_since: QueuedSince::new(now.checked_sub(queued_for).unwrap_or(now)),
            latest_list: Arc::default(),
            limits,
            allocation: Mutex::new(allocation),
        }
    }

    /// Current allocation of this process.
    pub fn allocation(&self) -> Allocation {
        *self.lock_allocation()
    }

    fn lock_allocation(&self) -> MutexGuard<'_, Allocation> {
        self.allocation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Longest response of discovery that is read, in bytes.
    pub fn list_response_bytes_max(&self) -> usize {
        self.plan.list_response_bytes
    }

    /// Number of connections to workers.
    pub fn worker_connections(&self) -> usize {
        self.pool.connection_count()
    }

    fn body_memory_used_kib(&self) -> usize {
        self.allocation().bodies_kib.saturating_sub(self.body_memory_kib.available_permits())
    }

    /// Waits until no client is connected, including those that are being rejected.
    pub async fn clients_closed(&self) {
        self.client_slots.wait_all_free().await;
        // Fails only if the semaphore is closed, which never happens.
        let _ = self.rejection_slots.acquire_many(REJECTION_SLOTS as u32).await;
    }

    /// Current usage of resources.
    pub fn usage(&self) -> ResourceUsage {
        let idle = self.pool.idle_count();
        ResourceUsage {
            client_connections: self.client_slots.in_use(),
            busy_clients: self.client_slots.busy(),
            attempt_connections: self.pool.connection_count().saturating_sub(idle),
            idle_connections: idle,
            wire_ids: self.in_flight_ids.len(),
            recent_ids: self.in_flight_ids.recent_len(),
            answers_kib: (self.plan.answers_bytes / KIB)
                .saturating_sub(self.answer_memory_kib.available_permits()),
            heap_kib: self.pressure.heap_kib(),
            bodies_kib: self.body_memory_used_kib(),
        }
    }

    /// Records that the other process now holds at most this, and allocates what it released to this process.
    /// The allocation never shrinks.
    pub fn update_other_process_usage(&self, other_process: HeldResources) {
        let mut allocation = self.lock_allocation();
        let updated = Allocation::new(self.limits, &self.plan, other_process);
        self.pressure.set_limit(heap_limit(&self.plan, other_process));
        self.client_slots.grant(updated.clients.saturating_sub(allocation.clients));
        self.pool.add_capacity(updated.workers.saturating_sub(allocation.workers));
        self.body_memory_kib.add_permits(updated.bodies_kib.saturating_sub(allocation.bodies_kib));
        *allocation = allocation.max(updated);
    }
}

impl HandoverSource for ResourceBudget {
    type Request = PlatformOffer;

    fn node_state(&self) -> NodeState {
        let endpoint_list = self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        NodeState {
            endpoint_list,
            in_flight_ids: self.in_flight_ids.to_strings(),
            recent_ids: self.in_flight_ids.report_recent(),
            offers_claims: true,
            class_rules: Some(self.names.borrow().open_class_rules()),
        }
    }

    fn report(&self) -> HandoverReport {
        HandoverReport { held: self.held_resources(), recent_ids: self.in_flight_ids.report_new() }
    }

    fn held_resources(&self) -> HeldResources {
        let clients = self.client_slots.in_use();
        let rejected = REJECTION_SLOTS.saturating_sub(self.rejection_slots.available_permits());
        // Each client that waits for an answer may still get an attempt.
        let workers = self.client_slots.busy().max(self.pool.connection_count());
        let descriptors = FIXED_DESCRIPTORS + clients + rejected + workers;
        let queued_since = self.queued_since.get().unwrap_or_else(Instant::now);
        HeldResources {
            descriptors,
            bodies_kib: self.body_memory_used_kib(),
            queued_since: Some(monotonic::at(queued_since)),
        }
    }

    fn close_idle(&self) {
        self.pool.close_idle();
    }

    async fn transferable(&self) -> Vec<AttemptId> {
        self.dispatcher.transferable().await
    }

    async fn offer(&self, attempt_id: AttemptId) -> Option<PlatformOffer> {
        self.dispatcher.freeze_for_transfer(attempt_id).await;
        self.offers.take()
    }
}
