//! What the front may hold: descriptors of clients and workers, memory for bodies, and the ids and the list that
//! go to the process that takes its place. While two processes are one node, both share what `limits` allows.

use super::connection_slots::ConnectionSlots;
use super::in_flight_ids::InFlightIds;
use super::pool::Pool;
use super::Job;
use crate::config::Limits;
use crate::counters::{Counters, ResourceUsage};
use crate::dispatcher::Handle;
use crate::list::ListBody;
use crate::names::Names;
use crate::upgrade::{Held, Holder, Lifted, State};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::Semaphore;

/// Descriptors beside those of clients and workers: standard streams, poller, signals, listeners, discovery, a
/// link to another process, and those of [`crate::management::CALLERS`].
const FIXED: usize = 32;
/// Connections beyond the budget that are held at once to be told so.
const TURNED_AWAY: usize = 32;
/// Descriptors for clients and workers that a node has however little is left: it serves a little at least.
const FLOOR: usize = 12;
/// The part of the memory that bodies of clients may hold. Heads and tasks take less than half of the rest.
const BODIES: usize = 4;

/// How much there is for each use.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Allocation {
    clients: usize,
    workers: usize,
    bodies_kib: usize,
}

impl Allocation {
    fn new(limits: Limits, other: Held) -> Allocation {
        let budget = limits.sockets.saturating_sub(FIXED + TURNED_AWAY).max(4);
        let budget = budget.saturating_sub(other.descriptors).max(FLOOR.min(budget));
        let workers = budget / 3;
        let bodies_kib = (limits.memory_mb * 1024 / BODIES).saturating_sub(other.bodies_kib);
        Allocation { clients: budget - workers, workers, bodies_kib }
    }
}

/// All that is shared out.
pub struct ResourceBudget {
    /// The core, for the jobs that move.
    pub core: Handle<Job>,
    /// The running jobs that it took up for another process.
    pub lifted: Arc<Mutex<Vec<Lifted>>>,
    /// Places for clients.
    pub client_slots: Arc<ConnectionSlots>,
    /// Places for those that find none.
    pub rejection_slots: Arc<Semaphore>,
    /// Connections to workers.
    pub pool: Arc<Pool>,
    /// Memory for bodies, in KiB.
    pub body_memory_kib: Semaphore,
    /// InFlightIds that are open.
    pub in_flight_ids: InFlightIds,
    /// The workers, as told last.
    pub latest_list: Arc<Mutex<ListBody>>,
    limits: Limits,
    given: Mutex<Allocation>,
}

impl ResourceBudget {
    /// What these limits allow beside what another process holds.
    pub fn new(
        core: Handle<Job>,
        limits: Limits,
        other: Held,
        names: &Names,
        counters: Arc<Counters>,
    ) -> ResourceBudget {
        let given = Allocation::new(limits, other);
        ResourceBudget {
            core,
            lifted: Arc::default(),
            client_slots: ConnectionSlots::new(given.clients),
            rejection_slots: Arc::new(Semaphore::new(TURNED_AWAY)),
            pool: Arc::new(Pool::new(given.workers, names, counters)),
            body_memory_kib: Semaphore::new(given.bodies_kib),
            in_flight_ids: InFlightIds::default(),
            latest_list: Arc::default(),
            limits,
            given: Mutex::new(given),
        }
    }

    /// Returns once no client is left, not even one that is being told that there is no room.
    pub async fn clients_closed(&self) {
        self.client_slots.empty().await;
        let _ = self.rejection_slots.acquire_many(TURNED_AWAY as u32).await; // never closed
    }

    /// What is held now.
    pub fn holdings(&self) -> ResourceUsage {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner).bodies_kib;
        let idle = self.pool.idle();
        ResourceUsage {
            clients: self.client_slots.taken(),
            at_work: self.client_slots.at_work(),
            attempts: self.pool.taken().saturating_sub(idle),
            idle,
            ids: self.in_flight_ids.len(),
            bodies_kib: given.saturating_sub(self.body_memory_kib.available_permits()),
        }
    }

    /// The other process now holds no more than this: what it gave up is there for this one.
    pub fn update_peer_usage(&self, other: Held) {
        let mut given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Allocation::new(self.limits, other);
        self.client_slots.share(now.clients.saturating_sub(given.clients));
        self.pool.share(now.workers.saturating_sub(given.workers));
        self.body_memory_kib.add_permits(now.bodies_kib.saturating_sub(given.bodies_kib));
        *given = Allocation {
            clients: now.clients.max(given.clients),
            workers: now.workers.max(given.workers),
            bodies_kib: now.bodies_kib.max(given.bodies_kib),
        };
    }
}

impl Holder for ResourceBudget {
    fn state(&self) -> State {
        let known = self.latest_list.lock().unwrap_or_else(PoisonError::into_inner).clone();
        State { known, ids: self.in_flight_ids.all() }
    }

    fn held(&self) -> Held {
        let clients = self.client_slots.taken();
        let turned_away = TURNED_AWAY.saturating_sub(self.rejection_slots.available_permits());
        // Each client that waits for an answer may yet have an attempt out.
        let descriptors = FIXED + clients + turned_away + self.client_slots.at_work().max(self.pool.taken());
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner).bodies_kib;
        Held { descriptors, bodies_kib: given.saturating_sub(self.body_memory_kib.available_permits()) }
    }

    fn let_go(&self) {
        self.pool.close_idle();
    }

    async fn lift(&self) -> Vec<Lifted> {
        self.core.lift().await;
        std::mem::take(&mut *self.lifted.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::dispatcher::queue;
    use std::time::Duration;
    use tokio::time::timeout;

    /// Guards the limits while two processes are one node: together they never hold more than one may.
    #[tokio::test(start_paused = true)]
    async fn what_another_process_holds_is_not_there_until_it_gives_it_up() {
        for (sockets, memory_mb) in [(128, 16), (256, 32), (1024, 192)] {
            let limits = Limits { sockets, memory_mb };
            let budget =
                |held| ResourceBudget::new(queue().0, limits, held, &Names::default(), Arc::default());
            let old = budget(Held::default());
            let all = *old.given.lock().unwrap();
            let mut clients = old.client_slots.at_work_now(all.clients / 4);
            let bodies = old.body_memory_kib.try_acquire_many(all.bodies_kib as u32 / 2).unwrap();
            let held = old.held();
            let new = budget(held);
            let given = *new.given.lock().unwrap();
            let together = held.descriptors + FIXED + TURNED_AWAY + given.clients + given.workers;
            assert!(together <= sockets || given.clients + given.workers <= FLOOR, "{together} of {sockets}");
            assert_eq!(held.bodies_kib + given.bodies_kib, all.bodies_kib);
            // Who waits for the last client to go takes nothing meanwhile.
            let mut last = std::pin::pin!(old.clients_closed());
            assert!(timeout(Duration::ZERO, last.as_mut()).await.is_err());
            drop(clients.pop());
            assert_eq!(old.held().descriptors, held.descriptors - 2, "its client and its attempt");
            drop((clients, bodies));
            assert!(timeout(Duration::ZERO, last.as_mut()).await.is_ok());
            new.update_peer_usage(old.held());
            let less = *new.given.lock().unwrap();
            assert!(less.clients > given.clients && less.clients < all.clients, "it is still there");
            new.update_peer_usage(held); // nothing is taken away again
            new.update_peer_usage(Held::default());
            assert_eq!(*new.given.lock().unwrap(), all);
            assert_eq!(new.client_slots.taken() + new.pool.taken(), 0);
            let _all = new.client_slots.at_work_now(all.clients);
            assert_eq!(
                (new.client_slots.taken(), new.body_memory_kib.available_permits()),
                (all.clients, all.bodies_kib)
            );
        }
    }
}
