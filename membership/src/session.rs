//! Replay protection: a session for each remote process.
//!
//! Datagrams of a process are accepted only once it has returned a nonce that was just drawn, which shows that it runs
//! now. From then on each of its packet numbers is accepted once.

use std::collections::HashMap;
use std::time::Duration;

/// Sessions held at once: more than the largest fleet tested, so that none is evicted in normal operation.
pub const SESSIONS_MAX: usize = 4096;
/// Challenges pending at once; the oldest is evicted.
pub const CHALLENGES_MAX: usize = 1024;
/// Lifetime of a challenge.
const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time between two challenges to one process.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a datagram after which a session expires and its process is challenged again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Packet numbers below the highest one that are still accepted.
pub const REPLAY_WINDOW: u64 = 128;

struct Session {
    newest: u64,
    /// Bit `n` is set once the packet `n` below the newest was received.
    seen: u128,
    last_received: Duration,
}

struct PendingChallenge {
    nonce: u64,
    at: Duration,
}

/// Decision on a datagram.
#[derive(Debug, PartialEq)]
pub enum ReplayCheck {
    /// It is accepted.
    Accepted,
    /// It was received before, or is too old to tell.
    Replayed,
    /// Its process has no session: challenge it with this nonce.
    Challenge(u64),
    /// Its process has no session, and was challenged just now.
    ChallengePending,
}

/// Established sessions and pending challenges, by process.
///
/// Guards memory: both tables are bounded, whatever arrives.
#[derive(Default)]
pub struct Sessions {
    established: HashMap<u64, Session>,
    challenged: HashMap<u64, PendingChallenge>,
}

impl Sessions {
    /// Decides on a datagram by its packet number; `draw` returns a nonce that nobody can predict.
    pub fn check(
        &mut self,
        now: Duration,
        process_id: u64,
        number: u64,
        draw: impl FnOnce() -> u64,
    ) -> ReplayCheck {
        if let Some(session) =
            self.established.get_mut(&process_id).filter(|s| now - s.last_received < IDLE_TIMEOUT)
        {
            if !session.accept(number) {
                return ReplayCheck::Replayed;
            }
            session.last_received = now;
            return ReplayCheck::Accepted;
        }
        if let Some(open) = self.challenged.get(&process_id) {
            if now - open.at < CHALLENGE_INTERVAL {
                return ReplayCheck::ChallengePending;
            }
            if now - open.at < CHALLENGE_TIMEOUT {
                return ReplayCheck::Challenge(open.nonce);
            }
        }
        if self.challenged.len() >= CHALLENGES_MAX {
            self.challenged.retain(|_, o| now - o.at < CHALLENGE_TIMEOUT);
            drop_oldest(&mut self.challenged, CHALLENGES_MAX - 1, |o| (o.at, o.nonce));
        }
        let nonce = draw();
        self.challenged.insert(process_id, PendingChallenge { nonce, at: now });
        ReplayCheck::Challenge(nonce)
    }

    /// Handles the response to a challenge, and returns whether it established a session.
    pub fn complete_challenge(&mut self, now: Duration, process_id: u64, number: u64, nonce: u64) -> bool {
        let right = |o: &PendingChallenge| o.nonce == nonce && now - o.at < CHALLENGE_TIMEOUT;
        if !self.challenged.get(&process_id).is_some_and(right) {
            return false;
        }
        self.challenged.remove(&process_id);
        drop_oldest(&mut self.established, SESSIONS_MAX - 1, |s| (s.last_received, s.newest));
        // Datagrams sent before the response may be replayed ones: none of them is accepted.
        self.established.insert(process_id, Session { newest: number, seen: u128::MAX, last_received: now });
        true
    }

    /// Number of sessions and pending challenges.
    pub fn entries(&self) -> usize {
        self.established.len() + self.challenged.len()
    }
}

impl Session {
    /// Marks a packet number as received, and returns whether it was new.
    fn accept(&mut self, number: u64) -> bool {
        if number > self.newest {
            let step = number - self.newest;
            self.seen = if step < REPLAY_WINDOW { self.seen << step | 1 } else { 1 };
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        if behind >= REPLAY_WINDOW || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}

fn drop_oldest<T>(all: &mut HashMap<u64, T>, most: usize, age: impl Fn(&T) -> (Duration, u64)) {
    while all.len() > most {
        let oldest = all
            .iter()
            .min_by_key(|(process_id, t)| (age(t), **process_id))
            .map(|(process_id, _)| *process_id);
        let Some(oldest) = oldest else { return };
        all.remove(&oldest);
    }
}
