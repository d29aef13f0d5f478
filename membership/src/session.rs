//! Replay protection: a session for each remote process.
//!
//! A process must first echo a fresh nonce, which proves that it is running now. After that, each of its sequence
//! numbers is accepted once.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of sessions: more than the largest fleet tested has nodes, so none is evicted in normal operation.
pub const SESSIONS_MAX: usize = 4096;
/// Maximum number of pending challenges; the oldest is evicted.
pub const CHALLENGES_MAX: usize = 1024;
/// Time after which a pending challenge expires.
const CHALLENGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum interval between challenges to one process.
const CHALLENGE_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a datagram after which a session expires, and its process is challenged again.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Size of the replay window: sequence numbers this far below the highest received, or further, are rejected.
pub const REPLAY_WINDOW: u64 = 128;

struct Session {
    highest: u64,
    /// Bit `n` is set if the sequence number `highest - n` was received.
    received: u128,
    last_received_at: Duration,
}

struct PendingChallenge {
    nonce: u64,
    sent_at: Duration,
}

/// Result of the replay check of a datagram.
#[derive(Debug, PartialEq)]
pub enum ReplayCheck {
    /// The sequence number is new.
    Accepted,
    /// The sequence number is a duplicate, or older than the replay window.
    Replayed,
    /// The process has no session: send it a challenge with this nonce.
    Challenge(u64),
    /// The process has no session, and a challenge was sent to it recently.
    ChallengePending,
}

/// Established sessions and pending challenges, by process id.
///
/// Memory is bounded against any input: both tables have a maximum size.
#[derive(Default)]
pub struct Sessions {
    established: HashMap<u64, Session>,
    challenges: HashMap<u64, PendingChallenge>,
}

impl Sessions {
    /// Checks the sequence number of a datagram; `generate_nonce` must return an unpredictable value.
    pub fn check(
        &mut self,
        now: Duration,
        process_id: u64,
        sequence_number: u64,
        generate_nonce: impl FnOnce() -> u64,
    ) -> ReplayCheck {
        if let Some(session) = self
            .established
            .get_mut(&process_id)
            .filter(|session| now - session.last_received_at < IDLE_TIMEOUT)
        {
            if !session.accept(sequence_number) {
                return ReplayCheck::Replayed;
            }
            session.last_received_at = now;
            return ReplayCheck::Accepted;
        }
        if let Some(pending) = self.challenges.get(&process_id) {
            if now - pending.sent_at < CHALLENGE_INTERVAL {
                return ReplayCheck::ChallengePending;
            }
            if now - pending.sent_at < CHALLENGE_TIMEOUT {
                return ReplayCheck::Challenge(pending.nonce);
            }
        }
        if self.challenges.len() >= CHALLENGES_MAX {
            self.challenges.retain(|_, pending| now - pending.sent_at < CHALLENGE_TIMEOUT);
            evict_oldest(&mut self.challenges, CHALLENGES_MAX - 1, |pending| {
                (pending.sent_at, pending.nonce)
            });
        }
        let nonce = generate_nonce();
        self.challenges.insert(process_id, PendingChallenge { nonce, sent_at: now });
        ReplayCheck::Challenge(nonce)
    }

    /// Handles the response to a challenge, and returns whether it established a session.
    pub fn complete_challenge(
        &mut self,
        now: Duration,
        process_id: u64,
        sequence_number: u64,
        nonce: u64,
    ) -> bool {
        let is_answered =
            |pending: &PendingChallenge| pending.nonce == nonce && now - pending.sent_at < CHALLENGE_TIMEOUT;
        if !self.challenges.get(&process_id).is_some_and(is_answered) {
            return false;
        }
        self.challenges.remove(&process_id);
        evict_oldest(&mut self.established, SESSIONS_MAX - 1, |session| {
            (session.last_received_at, session.highest)
        });
        // Rejects all sequence numbers before the response: those datagrams may be replayed ones.
        self.established.insert(
            process_id,
            Session { highest: sequence_number, received: u128::MAX, last_received_at: now },
        );
        true
    }

    /// Number of sessions and pending challenges.
    pub fn entry_count(&self) -> usize {
        self.established.len() + self.challenges.len()
    }
}

impl Session {
    /// Marks a sequence number as received, and returns whether it is new and within the replay window.
    fn accept(&mut self, sequence_number: u64) -> bool {
        if sequence_number > self.highest {
            let shift = sequence_number - self.highest;
            self.received = if shift < REPLAY_WINDOW { self.received << shift | 1 } else { 1 };
            self.highest = sequence_number;
            return true;
        }
        let offset = self.highest - sequence_number;
        if offset >= REPLAY_WINDOW || self.received >> offset & 1 == 1 {
            return false;
        }
        self.received |= 1 << offset;
        true
    }
}

fn evict_oldest<T>(entries: &mut HashMap<u64, T>, limit: usize, age_key: impl Fn(&T) -> (Duration, u64)) {
    while entries.len() > limit {
        let oldest = entries
            .iter()
            .min_by_key(|(process_id, entry)| (age_key(entry), **process_id))
            .map(|(process_id, _)| *process_id);
        let Some(oldest) = oldest else { return };
        entries.remove(&oldest);
    }
}
