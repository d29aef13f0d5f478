//! Guards against old datagrams that are played back. A process counts for another only once it has shown that it is
//! there now: it returns a number that was just drawn. From then on each of its datagrams counts once.

use std::collections::HashMap;
use std::time::Duration;

/// Processes that count at once. More than the largest fleet tried, so that none is challenged for want of room.
const SESSIONS_MAX: usize = 4096;
/// Challenges that are open at once; the oldest makes way.
const CHALLENGES_MAX: usize = 1024;
/// For which a challenge is open.
const CHALLENGE_LIFE: Duration = Duration::from_secs(3);
/// Between two challenges of one process.
const CHALLENGE_GAP: Duration = Duration::from_millis(100);
/// A process that said nothing for so long is challenged anew.
const QUIET: Duration = Duration::from_secs(600);
/// How far behind the newest a datagram may come and still count.
const WINDOW: u64 = 128;

struct Session {
    newest: u64,
    seen: u128, // of the newest and those before it: which have come
    heard: Duration,
}

struct Open {
    nonce: u64,
    at: Duration,
}

/// What to make of a datagram.
#[derive(Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It counts.
    Fresh,
    /// It came before, or it is too old to tell.
    Replayed,
    /// Its process has yet to show that it is there: ask it for this number.
    Challenge(u64),
    /// The same, but it was asked just now.
    Wait,
}

/// Who counts, and who is asked.
#[derive(Default)]
pub(crate) struct Sessions {
    open: HashMap<u64, Session>,
    asked: HashMap<u64, Open>,
}

impl Sessions {
    /// Takes the number of a datagram in; `draw` gives a number that nobody can know.
    pub fn hear(&mut self, now: Duration, boot: u64, number: u64, draw: impl FnOnce() -> u64) -> Verdict {
        if let Some(session) = self.open.get_mut(&boot).filter(|s| now - s.heard < QUIET) {
            if !session.take(number) {
                return Verdict::Replayed;
            }
            session.heard = now;
            return Verdict::Fresh;
        }
        if let Some(open) = self.asked.get(&boot) {
            if now - open.at < CHALLENGE_GAP {
                return Verdict::Wait;
            }
            if now - open.at < CHALLENGE_LIFE {
                return Verdict::Challenge(open.nonce);
            }
        }
        if self.asked.len() >= CHALLENGES_MAX {
            self.asked.retain(|_, o| now - o.at < CHALLENGE_LIFE);
            drop_oldest(&mut self.asked, CHALLENGES_MAX - 1, |o| (o.at, o.nonce));
        }
        let nonce = draw();
        self.asked.insert(boot, Open { nonce, at: now });
        Verdict::Challenge(nonce)
    }

    /// Takes an answer to a challenge in; whether the process counts from here on.
    pub fn prove(&mut self, now: Duration, boot: u64, number: u64, nonce: u64) -> bool {
        let right = |o: &Open| o.nonce == nonce && now - o.at < CHALLENGE_LIFE;
        if !self.asked.get(&boot).is_some_and(right) {
            return false;
        }
        self.asked.remove(&boot);
        drop_oldest(&mut self.open, SESSIONS_MAX - 1, |s| (s.heard, s.newest));
        // What was sent before the proof may be old: none of it counts.
        self.open.insert(boot, Session { newest: number, seen: u128::MAX, heard: now });
        true
    }

    /// How many entries there are in all.
    pub fn len(&self) -> usize {
        self.open.len() + self.asked.len()
    }
}

impl Session {
    fn take(&mut self, number: u64) -> bool {
        if number > self.newest {
            let step = number - self.newest;
            self.seen = if step < WINDOW { self.seen << step | 1 } else { 1 };
            self.newest = number;
            return true;
        }
        let behind = self.newest - number;
        if behind >= WINDOW || self.seen >> behind & 1 == 1 {
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
        assert_eq!(s.hear(now, boot, number, || 77), Verdict::Challenge(77));
        assert!(s.prove(now, boot, number + 1, 77));
    }

    #[test]
    fn each_datagram_counts_once_and_late_ones_still_do() {
        let mut s = Sessions::default();
        proven(&mut s, MS, 1, 10);
        for (number, fresh) in
            [(12, true), (12, false), (15, true), (13, true), (13, false), (11, false), (9, false)]
        {
            let want = if fresh { Verdict::Fresh } else { Verdict::Replayed };
            assert_eq!(s.hear(MS, 1, number, || 0), want, "{number}");
        }
        assert_eq!(s.hear(MS, 1, 1000, || 0), Verdict::Fresh);
        assert_eq!(s.hear(MS, 1, 1000 - WINDOW, || 0), Verdict::Replayed, "too old to tell");
        assert_eq!(s.hear(MS, 1, 1001 - WINDOW, || 0), Verdict::Fresh);
    }

    #[test]
    fn a_proof_counts_for_its_challenge_only() {
        let mut s = Sessions::default();
        assert!(!s.prove(MS, 1, 5, 0), "nobody asked");
        assert_eq!(s.hear(MS, 1, 5, || 42), Verdict::Challenge(42));
        assert_eq!(s.hear(MS * 2, 1, 6, || 43), Verdict::Wait);
        assert_eq!(s.hear(MS * 200, 1, 6, || 43), Verdict::Challenge(42), "a challenge may get lost");
        assert!(!s.prove(MS * 200, 1, 7, 41));
        assert!(!s.prove(MS * 200, 2, 7, 42));
        assert!(!s.prove(MS * 3200, 1, 7, 42), "too late");
        assert_eq!(s.hear(MS * 3200, 1, 8, || 44), Verdict::Challenge(44));
        assert!(s.prove(MS * 3201, 1, 9, 44));
        assert!(!s.prove(MS * 3202, 1, 10, 44), "played back");
    }

    /// Guards memory against a flood of processes that nobody has heard of.
    #[test]
    fn tables_are_bounded() {
        let mut s = Sessions::default();
        for boot in 0..20_000 {
            let now = MS * boot as u32;
            assert_eq!(s.hear(now, boot, 1, || boot), Verdict::Challenge(boot));
            if boot % 2 == 0 {
                assert!(s.prove(now, boot, 2, boot));
            }
        }
        assert!(s.len() <= SESSIONS_MAX + CHALLENGES_MAX, "{}", s.len());
        assert_eq!(s.hear(MS * 20_000, 19_998, 3, || 0), Verdict::Fresh, "the newest stay");
    }
}
