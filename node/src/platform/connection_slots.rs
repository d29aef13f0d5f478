//! Connection slots for clients: which connections hold one, and which is evicted when none is free.

use super::monitored_stream::{IdleState, MessageMonitor};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// Time for which a new connection waits for the slot of an evicted one.
const SLOT_WAIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a new connection may send nothing before it is the first to be evicted. A client that has a
/// request sends its first bytes at once.
const SILENCE_GRACE: Duration = Duration::from_millis(300);

/// Eviction rank. Lower ranks are evicted first; within a rank, the connection that has been idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EvictionRank {
    /// Has sent nothing for longer than the grace period of a new connection.
    Silent,
    /// Idle after an answered request: closing it fails no request.
    BetweenRequests,
    /// A request has been received in part.
    Writing,
    /// Has sent nothing yet, but is within the grace period of a new connection.
    New,
}

/// Sort key for eviction: rank of a connection without a request in flight, and since when it has been idle.
pub fn eviction_order(idle: &IdleState, now: Instant) -> (EvictionRank, Instant) {
    let rank = match (idle.has_partial_message, idle.was_answered) {
        (true, _) => EvictionRank::Writing,
        (false, true) => EvictionRank::BetweenRequests,
        (false, false) if now.saturating_duration_since(idle.last_activity) >= SILENCE_GRACE => {
            EvictionRank::Silent
        }
        (false, false) => EvictionRank::New,
    };
    (rank, idle.last_activity)
}

/// Connection without a request in flight.
struct IdleConnection {
    monitor: MessageMonitor,
    evicted: Arc<Notify>,
}

#[derive(Default)]
struct Connections {
    last_number: u64,
    /// Idle connections by slot number.
    idle: BTreeMap<u64, IdleConnection>,
}

/// Connection slots of a frontend.
pub struct ConnectionSlots {
    in_use: AtomicUsize,
    freed: Notify,
    /// Slots added for transferred connections beyond what was granted; later grants are reduced by them.
    granted_in_advance: AtomicUsize,
    permits: Arc<Semaphore>,
    connections: Mutex<Connections>,
}

impl ConnectionSlots {
    /// Creates this many slots.
    pub fn new(size: usize) -> Arc<ConnectionSlots> {
        Arc::new(ConnectionSlots {
            in_use: AtomicUsize::new(0),
            freed: Notify::new(),
            granted_in_advance: AtomicUsize::new(0),
            permits: Arc::new(Semaphore::new(size)),
            connections: Mutex::default(),
        })
    }

    fn connections(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot for a new connection. If none is free, evicts the idle connection that is first in
    /// [`eviction_order`]. `None` if every connection has a request in flight, or the evicted one did not
    /// close in time.
    pub async fn acquire(self: &Arc<Self>, monitor: &MessageMonitor) -> Option<Slot> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.remove_next_to_evict()?.notify_one();
                timeout(SLOT_WAIT_TIMEOUT, self.permits.clone().acquire_owned()).await.ok()?.ok()?
            }
        };
        Some(self.create_slot(monitor, permit))
    }

    /// Acquires a slot for a connection that the predecessor transfers, even if none is free.
    pub fn acquire_transferred(self: &Arc<Self>, monitor: &MessageMonitor) -> Option<Slot> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|_| {
            self.permits.add_permits(1);
            self.granted_in_advance.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        Some(self.create_slot(monitor, permit.ok()?))
    }

    fn create_slot(self: &Arc<Self>, monitor: &MessageMonitor, permit: OwnedSemaphorePermit) -> Slot {
        let number = {
            let mut connections = self.connections();
            connections.last_number += 1;
            connections.last_number
        };
        self.in_use.fetch_add(1, Ordering::Relaxed);
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

    /// Removes the next connection to evict from the idle ones, and returns its notification.
    fn remove_next_to_evict(&self) -> Option<Arc<Notify>> {
        let (mut connections, now) = (self.connections(), Instant::now());
        let order = connections
            .idle
            .iter()
            .map(|(number, idle)| (eviction_order(&idle.monitor.idle_state(), now), *number));
        let (_, number) = order.min()?;
        connections.idle.remove(&number).map(|idle| idle.evicted)
    }

    /// Evicts up to this many idle connections, in [`eviction_order`].
    pub fn evict(&self, count: usize) {
        std::iter::repeat_with(|| self.remove_next_to_evict())
            .take(count)
            .map_while(|evicted| evicted)
            .for_each(|evicted| evicted.notify_one());
    }

    /// Adds this many slots, less those that were granted in advance.
    pub fn grant(&self, slots: usize) {
        let offset = self.granted_in_advance.load(Ordering::Relaxed).min(slots);
        self.granted_in_advance.fetch_sub(offset, Ordering::Relaxed);
        self.permits.add_permits(slots - offset);
    }

    /// Number of slots in use.
    pub fn in_use(&self) -> usize {
        self.in_use.load(Ordering::Relaxed)
    }

    /// Number of connections with a request in flight.
    pub fn busy(&self) -> usize {
        self.in_use().saturating_sub(self.connections().idle.len())
    }

    /// Waits until all slots are free. It acquires none to do so, because free slots are counted meanwhile.
    pub async fn wait_all_free(&self) {
        let freed = self.freed.notified();
        tokio::pin!(freed);
        while self.in_use() > 0 {
            freed.as_mut().await;
            freed.set(self.freed.notified());
        }
    }
}

/// Slot of a connection.
pub struct Slot {
    slots: Arc<ConnectionSlots>,
    number: u64,
    monitor: MessageMonitor,
    evicted: Arc<Notify>,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    /// Marks the connection as idle: it may be evicted.
    pub fn set_idle(&self) {
        let idle = IdleConnection { monitor: self.monitor.clone(), evicted: self.evicted.clone() };
        self.slots.connections().idle.insert(self.number, idle);
    }

    /// Marks the connection as having a request in flight: it is not evicted.
    pub fn set_busy(&self) {
        self.slots.connections().idle.remove(&self.number);
    }

    /// Evicts the next connection instead of this one.
    pub fn evict_next(&self) {
        if let Some(evicted) = self.slots.remove_next_to_evict() {
            evicted.notify_one();
        }
    }

    /// Waits until the connection is evicted. Returns whether a request of it was ever answered.
    pub async fn evicted(&self) -> bool {
        self.evicted.notified().await;
        self.monitor.idle_state().was_answered
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.set_busy();
        self.slots.in_use.fetch_sub(1, Ordering::Relaxed);
        self.slots.freed.notify_waiters();
    }
}
