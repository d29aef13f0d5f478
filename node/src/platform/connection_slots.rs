//! Slots for connections of clients: who has one, and who is evicted where none is left.

use super::monitored_stream::{IdleState, MessageMonitor};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// Time for which a new connection waits until an evicted one has freed its slot.
const EVICTION_WAIT: Duration = Duration::from_millis(100);
/// Time for which a new connection may be silent before it is the first to be evicted. A client that has a request
/// writes its first bytes at once.
const SILENCE_ALLOWED: Duration = Duration::from_millis(300);

/// Order of eviction: a lesser one goes first, and of equal ones the connection that has been idle for longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// It has asked for nothing.
    Silent,
    /// It is between two requests: closing it harms nobody.
    BetweenRequests,
    /// It is writing a request.
    Writing,
    /// It has only just come.
    New,
}

/// Rank of a connection without a request at work, and since when it has been idle.
pub fn eviction_order(idle: &IdleState, now: Instant) -> (EvictionRank, Instant) {
    let rank = match (idle.has_partial_message, idle.was_answered) {
        (true, _) => EvictionRank::Writing,
        (false, true) => EvictionRank::BetweenRequests,
        (false, false) if now.saturating_duration_since(idle.last_activity) >= SILENCE_ALLOWED => {
            EvictionRank::Silent
        }
        (false, false) => EvictionRank::New,
    };
    (rank, idle.last_activity)
}

/// A connection without a request at work.
struct IdleConnection {
    monitor: MessageMonitor,
    evicted: Arc<Notify>,
}

#[derive(Default)]
struct Connections {
    last_number: u64,
    /// By number.
    idle: BTreeMap<u64, IdleConnection>,
}

/// Slots for a number of connections.
pub struct ConnectionSlots {
    taken: AtomicUsize,
    freed: Notify,
    /// Slots taken ahead of their being granted.
    overdraft: AtomicUsize,
    permits: Arc<Semaphore>,
    connections: Mutex<Connections>,
}

impl ConnectionSlots {
    /// This many slots.
    pub fn new(size: usize) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            taken: AtomicUsize::new(0),
            freed: Notify::new(),
            overdraft: AtomicUsize::new(0),
            permits: Arc::new(Semaphore::new(size)),
            connections: Mutex::default(),
        })
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A slot for a new connection. Where none is free, the idle connection that is the first in [`eviction_order`] is
    /// evicted; `None` where all have a request at work.
    pub async fn acquire(self: &Arc<Self>, monitor: &MessageMonitor) -> Option<Slot> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.take_next_evicted()?.notify_one();
                timeout(EVICTION_WAIT, self.permits.clone().acquire_owned()).await.ok()?.ok()?
            }
        };
        Some(self.occupy(monitor, permit))
    }

    /// A slot for a connection that another process releases, whether one is free or not.
    pub fn acquire_transferred(self: &Arc<Self>, monitor: &MessageMonitor) -> Option<Slot> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|_| {
            self.permits.add_permits(1);
            self.overdraft.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        Some(self.occupy(monitor, permit.ok()?))
    }

    fn occupy(self: &Arc<Self>, monitor: &MessageMonitor, permit: OwnedSemaphorePermit) -> Slot {
        let number = {
            let mut connections = self.connections();
            connections.last_number += 1;
            connections.last_number
        };
        self.taken.fetch_add(1, Ordering::Relaxed);
        let slot = Slot {
            slots: self.clone(),
            number,
            monitor: monitor.clone(),
            evicted: Arc::default(),
            _permit: permit,
        };
        slot.set_idle();
        slot
    }

    /// Takes out the connection that is evicted next.
    fn take_next_evicted(&self) -> Option<Arc<Notify>> {
        let (mut connections, now) = (self.connections(), Instant::now());
        let order = connections
            .idle
            .iter()
            .map(|(number, idle)| (eviction_order(&idle.monitor.idle_state(), now), *number));
        let (_, number) = order.min()?;
        connections.idle.remove(&number).map(|idle| idle.evicted)
    }

    /// Grants so many slots more, less what was taken ahead of that.
    pub fn grant(&self, slots: usize) {
        let repaid = self.overdraft.load(Ordering::Relaxed).min(slots);
        self.overdraft.fetch_sub(repaid, Ordering::Relaxed);
        self.permits.add_permits(slots - repaid);
    }

    /// Number of slots that are taken.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }

    /// Number of connections with a request at work.
    pub fn busy(&self) -> usize {
        self.taken().saturating_sub(self.connections().idle.len())
    }

    /// Returns once all slots are free. It takes none to see that: what is free is counted meanwhile.
    pub async fn all_free(&self) {
        let freed = self.freed.notified();
        tokio::pin!(freed);
        while self.taken() > 0 {
            freed.as_mut().await;
            freed.set(self.freed.notified());
        }
    }
}

/// A connection's slot.
pub struct Slot {
    slots: Arc<ConnectionSlots>,
    number: u64,
    monitor: MessageMonitor,
    evicted: Arc<Notify>,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    /// The connection has no request at work: it may be evicted.
    pub fn set_idle(&self) {
        let idle = IdleConnection { monitor: self.monitor.clone(), evicted: self.evicted.clone() };
        self.slots.connections().idle.insert(self.number, idle);
    }

    /// A whole request is at work: the connection stays.
    pub fn set_busy(&self) {
        self.slots.connections().idle.remove(&self.number);
    }

    /// Has the next connection evicted in place of this one.
    pub fn evict_next(&self) {
        if let Some(evicted) = self.slots.take_next_evicted() {
            evicted.notify_one();
        }
    }

    /// Returns once the connection is evicted, and says whether it has ever had an answer.
    pub async fn evicted(&self) -> bool {
        self.evicted.notified().await;
        self.monitor.idle_state().was_answered
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.set_busy();
        self.slots.taken.fetch_sub(1, Ordering::Relaxed);
        self.slots.freed.notify_waiters();
    }
}
