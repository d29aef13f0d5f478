//! The descriptors for clients: who has one, and who gives one up where there is none left.

use super::framing::{IdleState, MessageMonitor};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// For which a newcomer waits until another connection has given its place up.
const MAKE_WAY: Duration = Duration::from_millis(100);

/// For which a new connection may say nothing before it is the first to make way. A client that has a request
/// writes its first bytes at once.
const SILENCE: Duration = Duration::from_millis(300);

/// Who goes first. Those that asked for nothing; then those between two requests, for closing these harms nobody;
/// then those that write, the one that paused for longest; last those that have only just come.
fn turn(quiet: &IdleState, now: Instant) -> (u8, Instant) {
    let rank = match (quiet.begun, quiet.answered) {
        (true, _) => 2,
        (false, true) => 1,
        (false, false) if now.saturating_duration_since(quiet.since) >= SILENCE => 0,
        (false, false) => 3,
    };
    (rank, quiet.since)
}

#[derive(Default)]
struct Seats {
    next: u64,
    quiet: BTreeMap<u64, (MessageMonitor, Arc<Notify>)>,
}

/// ConnectionSlots for so many connections.
pub struct ConnectionSlots {
    taken: AtomicUsize,
    freed: Notify,
    owed: AtomicUsize, // places taken ahead of their being there
    permits: Arc<Semaphore>,
    seats: Mutex<Seats>,
}

impl ConnectionSlots {
    /// With this many places.
    pub fn new(size: usize) -> Arc<ConnectionSlots> {
        let permits = Arc::new(Semaphore::new(size));
        Arc::new(ConnectionSlots {
            taken: AtomicUsize::new(0),
            freed: Notify::new(),
            owed: AtomicUsize::new(0),
            permits,
            seats: Mutex::default(),
        })
    }

    fn seats(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a new connection. Where there is none, the quiet one whose turn it is makes way; `None`
    /// where all are at work.
    pub async fn acquire(self: &Arc<ConnectionSlots>, watcher: &MessageMonitor) -> Option<Slot> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                self.first()?.notify_one();
                timeout(MAKE_WAY, self.permits.clone().acquire_owned()).await.ok()?.ok()?
            }
        };
        Some(self.place(watcher, permit))
    }

    fn place(self: &Arc<ConnectionSlots>, watcher: &MessageMonitor, permit: OwnedSemaphorePermit) -> Slot {
        let number = {
            let mut seats = self.seats();
            seats.next += 1;
            seats.next
        };
        let (asked, watcher) = (Arc::default(), watcher.clone());
        self.taken.fetch_add(1, Ordering::Relaxed);
        let seat = Slot { room: self.clone(), number, watcher, asked, _permit: permit };
        seat.rest();
        seat
    }

    /// Takes out who is to make way.
    fn first(&self) -> Option<Arc<Notify>> {
        let (mut seats, now) = (self.seats(), Instant::now());
        let turns =
            seats.quiet.iter().map(|(number, (watcher, _))| (turn(&watcher.idle_state(), now), *number));
        let (_, number) = turns.min()?;
        seats.quiet.remove(&number).map(|(_, asked)| asked)
    }

    /// A place for a connection that another process gives up, whether there is one or not.
    pub fn acquire_transferred(self: &Arc<ConnectionSlots>, watcher: &MessageMonitor) -> Option<Slot> {
        let permit = self.permits.clone().try_acquire_owned().or_else(|_| {
            self.grow(1);
            self.owed.fetch_add(1, Ordering::Relaxed);
            self.permits.clone().try_acquire_owned()
        });
        Some(self.place(watcher, permit.ok()?))
    }

    /// So many places more, less what was taken ahead of that.
    pub fn share(&self, places: usize) {
        let owed = self.owed.load(Ordering::Relaxed).min(places);
        self.owed.fetch_sub(owed, Ordering::Relaxed);
        self.grow(places - owed);
    }

    fn grow(&self, places: usize) {
        self.permits.add_permits(places);
    }

    /// How many places are taken.
    pub fn taken(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }

    /// How many places have a request at work.
    pub fn at_work(&self) -> usize {
        self.taken().saturating_sub(self.seats().quiet.len())
    }

    /// Returns once all places are free. It takes none to see that: what is free is counted meanwhile.
    pub async fn empty(&self) {
        let freed = self.freed.notified();
        tokio::pin!(freed);
        while self.taken() > 0 {
            freed.as_mut().await;
            freed.set(self.freed.notified());
        }
    }
}

#[cfg(test)]
impl ConnectionSlots {
    /// So many places at once, with a request at work at each.
    pub fn at_work_now(self: &Arc<ConnectionSlots>, n: usize) -> Vec<Slot> {
        let watcher = super::framing::MonitoredStream::new(()).monitor();
        let seat = |_| self.place(&watcher, self.permits.clone().try_acquire_owned().unwrap());
        let seats: Vec<Slot> = (0..n).map(seat).collect();
        seats.iter().for_each(Slot::work);
        seats
    }
}

/// A connection's place.
pub struct Slot {
    room: Arc<ConnectionSlots>,
    number: u64,
    watcher: MessageMonitor,
    asked: Arc<Notify>,
    _permit: OwnedSemaphorePermit,
}

impl Slot {
    /// The connection has nothing at work.
    pub fn rest(&self) {
        self.room.seats().quiet.insert(self.number, (self.watcher.clone(), self.asked.clone()));
    }

    /// A whole request is at work: the connection stays.
    pub fn work(&self) {
        self.room.seats().quiet.remove(&self.number);
    }

    /// It has something to do after all: the next one is to make way.
    pub fn pass_on(&self) {
        if let Some(asked) = self.room.first() {
            asked.notify_one();
        }
    }

    /// Returns once the connection is to make way, and says whether it had an answer.
    pub async fn make_way(&self) -> bool {
        self.asked.notified().await;
        self.watcher.idle_state().answered
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.work();
        self.room.taken.fetch_sub(1, Ordering::Relaxed);
        self.room.freed.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards true requests in a crowd: who says nothing goes before who writes, and of those that write the one
    /// that has paused for longest.
    #[tokio::test(start_paused = true)]
    async fn those_that_ask_for_nothing_make_way_before_those_that_write() {
        let now = Instant::now() + Duration::from_secs(9);
        let ago = |ms| now - Duration::from_millis(ms);
        let quiet = |begun, answered, ms| IdleState { begun, answered, since: ago(ms) };
        let order = [
            quiet(false, false, 2000),
            quiet(false, false, 300),
            quiet(false, true, 4000),
            quiet(false, true, 0),
            quiet(true, false, 1000),
            quiet(true, true, 500),
            quiet(true, false, 10),
            quiet(false, false, 299),
            quiet(false, false, 1),
        ];
        let turns: Vec<_> = order.iter().map(|q| turn(q, now)).collect();
        assert!(turns.is_sorted(), "{turns:?}");
    }
}
