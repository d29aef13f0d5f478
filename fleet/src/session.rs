//! Replay protection: a session for each remote process.
//!
//! Datagrams of a process are accepted only once it has returned a nonce that was just drawn, which shows that it runs
//! now. From then on each of its packet numbers is accepted once.

use std::collections::HashMap;
use std::time::Duration;

/// Sessions held at once: more than the largest fleet tested, so that none is evicted in normal operation.
const SESSIONS_MAX: usize = 4096;
/// Challenges pending at once; the oldest is evicted.
const CHALLENGES_MAX: usize = 1024;
/// Lifetime of a challenge.
const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time between two challenges to one process.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a datagram after which a session expires and its process is challenged again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Packet numbers below the highest one that are still accepted.
const REPLAY_WINDOW: u64 = 128;

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
pub(crate) enum Admission {
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
pub(crate) struct Sessions {
    established: HashMap<u64, Session>,
    challenged: HashMap<u64, PendingChallenge>,
}

impl Sessions {
    /// Decides on a datagram by its packet number; `draw` returns a nonce that nobody can predict.
    pub fn admit(&mut self, now: Duration, boot: u64, number: u64, draw: impl FnOnce() -> u64) -> Admission {
        if let Some(session) =
            self.established.get_mut(&boot).filter(|s| now - s.last_received < IDLE_TIMEOUT)
        {
            if !session.accept(number) {
                return Admission::Replayed;
            }
            session.last_received = now;
            return Admission::Accepted;
        }
        if let Some(open) = self.challenged.get(&boot) {
            if now - open.at < CHALLENGE_INTERVAL {
                return Admission::ChallengePending;
            }
            if now - open.at < CHALLENGE_TIMEOUT {
                return Admission::Challenge(open.nonce);
            }
        }
        if self.challenged.len() >= CHALLENGES_MAX {
            self.challenged.retain(|_, o| now - o.at < CHALLENGE_TIMEOUT);
            drop_oldest(&mut self.challenged, CHALLENGES_MAX - 1, |o| (o.at, o.nonce));
        }
        let nonce = draw();
        self.challenged.insert(boot, PendingChallenge { nonce, at: now });
        Admission::Challenge(nonce)
    }

    /// Handles the response to a challenge, and returns whether it established a session.
    pub fn complete_challenge(&mut self, now: Duration, boot: u64, number: u64, nonce: u64) -> bool {
        let right = |o: &PendingChallenge| o.nonce == nonce && now - o.at < CHALLENGE_TIMEOUT;
        if !self.challenged.get(&boot).is_some_and(right) {
            return false;
        }
        self.challenged.remove(&boot);
        drop_oldest(&mut self.established, SESSIONS_MAX - 1, |s| (s.last_received, s.newest));
        // Datagrams sent before the response may be replayed ones: none of them is accepted.
        self.established.insert(boot, Session { newest: number, seen: u128::MAX, last_received: now });
        true
    }

    /// Number of sessions and pending challenges.
    pub fn len(&self) -> usize {
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
        let oldest = all.iter().min_by_key(|(boot, t)| (age(t), **boot)).map(|(boot, _)| *boot);
        let Some(oldest) = oldest else { return };
        all.remove(&oldest);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn proven(s: &mut Sessions, now: Duration, boot: u64, number: u64) {
        assert_eq!(s.admit(now, boot, number, || 77), Admission::Challenge(77));
        assert!(s.complete_challenge(now, boot, number + 1, 77));
    }

    #[test]
    fn each_datagram_counts_once_and_late_ones_still_do() {
        let mut s = Sessions::default();
        proven(&mut s, MS, 1, 10);
        for (number, fresh) in
            [(12, true), (12, false), (15, true), (13, true), (13, false), (11, false), (9, false)]
        {
            let want = if fresh { Admission::Accepted } else { Admission::Replayed };
            assert_eq!(s.admit(MS, 1, number, || 0), want, "{number}");
        }
        assert_eq!(s.admit(MS, 1, 1000, || 0), Admission::Accepted);
        assert_eq!(s.admit(MS, 1, 1000 - REPLAY_WINDOW, || 0), Admission::Replayed, "too old to tell");
        assert_eq!(s.admit(MS, 1, 1001 - REPLAY_WINDOW, || 0), Admission::Accepted);
    }

    #[test]
    fn a_proof_counts_for_its_challenge_only() {
        let mut s = Sessions::default();
        assert!(!s.complete_challenge(MS, 1, 5, 0), "nobody asked");
        assert_eq!(s.admit(MS, 1, 5, || 42), Admission::Challenge(42));
        assert_eq!(s.admit(MS * 2, 1, 6, || 43), Admission::ChallengePending);
        assert_eq!(s.admit(MS * 200, 1, 6, || 43), Admission::Challenge(42), "a challenge may get lost");
        assert!(!s.complete_challenge(MS * 200, 1, 7, 41));
        assert!(!s.complete_challenge(MS * 200, 2, 7, 42));
        assert!(!s.complete_challenge(MS * 3200, 1, 7, 42), "too late");
        assert_eq!(s.admit(MS * 3200, 1, 8, || 44), Admission::Challenge(44));
        assert!(s.complete_challenge(MS * 3201, 1, 9, 44));
        assert!(!s.complete_challenge(MS * 3202, 1, 10, 44), "played back");
    }

    /// Guards memory against a flood of processes that nobody has last_received of.
    #[test]
    fn tables_are_bounded() {
        let mut s = Sessions::default();
        for boot in 0..20_000 {
            let now = MS * boot as u32;
            assert_eq!(s.admit(now, boot, 1, || boot), Admission::Challenge(boot));
            if boot % 2 == 0 {
                assert!(s.complete_challenge(now, boot, 2, boot));
            }
        }
        assert!(s.len() <= SESSIONS_MAX + CHALLENGES_MAX, "{}", s.len());
        assert_eq!(s.admit(MS * 20_000, 19_998, 3, || 0), Admission::Accepted, "the newest stay");
    }
}
