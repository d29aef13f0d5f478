//! What the front may hold: descriptors of clients and workers, memory for bodies, and the ids and the list that
//! go to the process that takes its place. While two processes are one node, both share what `limits` allows.

use super::connection_slots::Room;
use super::in_flight_ids::Ids;
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
struct Shares {
    clients: usize,
    workers: usize,
    bodies_kib: usize,
}

impl Shares {
    fn new(limits: Limits, other: Held) -> Shares {
        let budget = limits.sockets.saturating_sub(FIXED + TURNED_AWAY).max(4);
        let budget = budget.saturating_sub(other.descriptors).max(FLOOR.min(budget));
        let workers = budget / 3;
        let bodies_kib = (limits.memory_mb * 1024 / BODIES).saturating_sub(other.bodies_kib);
        Shares { clients: budget - workers, workers, bodies_kib }
    }
}

/// All that is shared out.
pub struct Stock {
    /// The core, for the jobs that move.
    pub core: Handle<Job>,
    /// The running jobs that it took up for another process.
    pub lifted: Arc<Mutex<Vec<Lifted>>>,
    /// Places for clients.
    pub room: Arc<Room>,
    /// Places for those that find none.
    pub beyond: Arc<Semaphore>,
    /// Connections to workers.
    pub pool: Arc<Pool>,
    /// Memory for bodies, in KiB.
    pub bodies: Semaphore,
    /// Ids that are open.
    pub ids: Ids,
    /// The workers, as told last.
    pub latest: Arc<Mutex<ListBody>>,
    limits: Limits,
    given: Mutex<Shares>,
}

impl Stock {
    /// What these limits allow beside what another process holds.
    pub fn new(
        core: Handle<Job>,
        limits: Limits,
        other: Held,
        names: &Names,
        counters: Arc<Counters>,
    ) -> Stock {
        let given = Shares::new(limits, other);
        Stock {
            core,
            lifted: Arc::default(),
            room: Room::new(given.clients),
            beyond: Arc::new(Semaphore::new(TURNED_AWAY)),
            pool: Arc::new(Pool::new(given.workers, names, counters)),
            bodies: Semaphore::new(given.bodies_kib),
            ids: Ids::default(),
            latest: Arc::default(),
            limits,
            given: Mutex::new(given),
        }
    }

    /// Returns once no client is left, not even one that is being told that there is no room.
    pub async fn no_client(&self) {
        self.room.empty().await;
        let _ = self.beyond.acquire_many(TURNED_AWAY as u32).await; // never closed
    }

    /// What is held now.
    pub fn holdings(&self) -> ResourceUsage {
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner).bodies_kib;
        let idle = self.pool.idle();
        ResourceUsage {
            clients: self.room.taken(),
            at_work: self.room.at_work(),
            attempts: self.pool.taken().saturating_sub(idle),
            idle,
            ids: self.ids.len(),
            bodies_kib: given.saturating_sub(self.bodies.available_permits()),
        }
    }

    /// The other process now holds no more than this: what it gave up is there for this one.
    pub fn share(&self, other: Held) {
        let mut given = self.given.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Shares::new(self.limits, other);
        self.room.share(now.clients.saturating_sub(given.clients));
        self.pool.share(now.workers.saturating_sub(given.workers));
        self.bodies.add_permits(now.bodies_kib.saturating_sub(given.bodies_kib));
        *given = Shares {
            clients: now.clients.max(given.clients),
            workers: now.workers.max(given.workers),
            bodies_kib: now.bodies_kib.max(given.bodies_kib),
        };
    }
}

impl Holder for Stock {
    fn state(&self) -> State {
        let known = self.latest.lock().unwrap_or_else(PoisonError::into_inner).clone();
        State { known, ids: self.ids.all() }
    }

    fn held(&self) -> Held {
        let clients = self.room.taken();
        let turned_away = TURNED_AWAY.saturating_sub(self.beyond.available_permits());
        // Each client that waits for an answer may yet have an attempt out.
        let descriptors = FIXED + clients + turned_away + self.room.at_work().max(self.pool.taken());
        let given = self.given.lock().unwrap_or_else(PoisonError::into_inner).bodies_kib;
        Held { descriptors, bodies_kib: given.saturating_sub(self.bodies.available_permits()) }
    }

    fn let_go(&self) {
        self.pool.let_go();
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
            let stock = |held| Stock::new(queue().0, limits, held, &Names::default(), Arc::default());
            let old = stock(Held::default());
            let all = *old.given.lock().unwrap();
            let mut clients = old.room.at_work_now(all.clients / 4);
            let bodies = old.bodies.try_acquire_many(all.bodies_kib as u32 / 2).unwrap();
            let held = old.held();
            let new = stock(held);
            let given = *new.given.lock().unwrap();
            let together = held.descriptors + FIXED + TURNED_AWAY + given.clients + given.workers;
            assert!(together <= sockets || given.clients + given.workers <= FLOOR, "{together} of {sockets}");
            assert_eq!(held.bodies_kib + given.bodies_kib, all.bodies_kib);
            // Who waits for the last client to go takes nothing meanwhile.
            let mut last = std::pin::pin!(old.no_client());
            assert!(timeout(Duration::ZERO, last.as_mut()).await.is_err());
            drop(clients.pop());
            assert_eq!(old.held().descriptors, held.descriptors - 2, "its client and its attempt");
            drop((clients, bodies));
            assert!(timeout(Duration::ZERO, last.as_mut()).await.is_ok());
            new.share(old.held());
            let less = *new.given.lock().unwrap();
            assert!(less.clients > given.clients && less.clients < all.clients, "it is still there");
            new.share(held); // nothing is taken away again
            new.share(Held::default());
            assert_eq!(*new.given.lock().unwrap(), all);
            assert_eq!(new.room.taken() + new.pool.taken(), 0);
            let _all = new.room.at_work_now(all.clients);
            assert_eq!((new.room.taken(), new.bodies.available_permits()), (all.clients, all.bodies_kib));
        }
    }
}
