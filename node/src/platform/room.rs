//! The descriptors for clients: who has one, and who gives one up where there is none left.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// For which a newcomer waits until another connection has given its place up.
const MAKE_WAY: Duration = Duration::from_millis(100);

/// Who goes first: connections that never had an answer, and among those that did the one quiet for longest.
type Turn = (bool, u64);

#[derive(Default)]
struct Quiet {
    turns: u64,
    seats: BTreeMap<Turn, Arc<Notify>>,
}

/// Room for so many connections.
pub struct Room {
    size: AtomicU32,
    permits: Arc<Semaphore>,
    quiet: Mutex<Quiet>,
}

impl Room {
    /// With this many places.
    pub fn new(size: usize) -> Arc<Room> {
        let permits = Arc::new(Semaphore::new(size));
        Arc::new(Room { size: AtomicU32::new(size as u32), permits, quiet: Mutex::default() })
    }

    fn quiet(&self) -> MutexGuard<'_, Quiet> {
        self.quiet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a new connection. Where there is none, the quiet one whose turn it is makes way; `None`
    /// where all are at work.
    pub async fn seat(self: &Arc<Room>) -> Option<Seat> {
        let permit = match self.permits.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                let (_, first) = self.quiet().seats.pop_first()?;
                first.notify_one();
                timeout(MAKE_WAY, self.permits.clone().acquire_owned()).await.ok()?.ok()?
            }
        };
        let seat =
            Seat { room: self.clone(), turn: Mutex::default(), asked: Arc::default(), _permit: permit };
        seat.rest(false);
        Some(seat)
    }

    /// So many places more.
    pub fn grow(&self, places: usize) {
        self.size.fetch_add(places as u32, Ordering::Relaxed);
        self.permits.add_permits(places);
    }

    /// How many places are taken.
    pub fn taken(&self) -> usize {
        (self.size.load(Ordering::Relaxed) as usize).saturating_sub(self.permits.available_permits())
    }

    /// Returns once all places are free.
    pub async fn empty(&self) {
        let size = self.size.load(Ordering::Relaxed);
        let _ = self.permits.acquire_many(size).await; // fails only for a room that was closed
    }
}

#[cfg(test)]
impl Room {
    /// So many places at once.
    pub fn permits(&self, n: u32) -> OwnedSemaphorePermit {
        self.permits.clone().try_acquire_many_owned(n).unwrap()
    }
}

/// A connection's place.
pub struct Seat {
    room: Arc<Room>,
    turn: Mutex<Turn>,
    asked: Arc<Notify>,
    _permit: OwnedSemaphorePermit,
}

impl Seat {
    /// The connection has nothing at work; whether it had an answer already.
    pub fn rest(&self, answered: bool) {
        let (mut quiet, mut turn) = (self.room.quiet(), self.turn());
        quiet.seats.remove(&*turn);
        quiet.turns += 1;
        *turn = (answered, quiet.turns);
        quiet.seats.insert(*turn, self.asked.clone());
    }

    /// A whole request is at work: the connection stays.
    pub fn work(&self) {
        self.room.quiet().seats.remove(&*self.turn());
    }

    /// Returns once the connection is to make way, and says whether it had an answer.
    pub async fn make_way(&self) -> bool {
        self.asked.notified().await;
        self.turn().0
    }

    fn turn(&self) -> MutexGuard<'_, Turn> {
        self.turn.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.work();
    }
}
