//! Wire ids of requests that went to a worker and have ended. A client that sends one again must not have it run twice.
//! Only digests are kept, for a limited time and in limited number: the oldest are forgotten first.

use sha2::{Digest, Sha256};
use std::collections::{HashSet, VecDeque};
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an id is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Length of a digest, in bytes: long enough that nobody finds two ids with the same one.
const DIGEST_BYTES: usize = 16;
/// Largest number of ids that are reported to another process at once.
pub const REPORTED_MAX: usize = 4096;

/// Digest of an id.
type IdDigest = [u8; DIGEST_BYTES];

fn digest(id: &[u8]) -> IdDigest {
    let hash = Sha256::digest(id);
    std::array::from_fn(|i| hash[i])
}

/// Digest of an id as text, for another process.
pub fn digest_text(id: &[u8]) -> String {
    to_text(&digest(id))
}

/// Ids that were remembered, oldest first.
pub struct RecentIds {
    ids: VecDeque<(Instant, IdDigest)>,
    digests: HashSet<IdDigest>,
    capacity: usize,
    /// Number of ids at the end of the queue that have not been reported.
    unreported: usize,
}

impl RecentIds {
    /// Creates a memory for this many ids.
    pub fn new(capacity: usize) -> RecentIds {
        RecentIds { ids: VecDeque::new(), digests: HashSet::new(), capacity, unreported: 0 }
    }

    /// Remembers an id from now on. Returns whether another one had to be forgotten before its time.
    pub fn insert(&mut self, id: &[u8]) -> bool {
        self.insert_digest(digest(id))
    }

    fn insert_digest(&mut self, digest: IdDigest) -> bool {
        self.expire();
        if !self.digests.insert(digest) {
            return false;
        }
        let is_full = self.ids.len() >= self.capacity;
        if is_full {
            self.forget_oldest();
        }
        self.ids.push_back((Instant::now(), digest));
        self.unreported = (self.unreported + 1).min(self.ids.len());
        is_full
    }

    /// Whether an id is remembered.
    pub fn contains(&mut self, id: &[u8]) -> bool {
        self.expire();
        self.digests.contains(&digest(id))
    }

    /// Number of ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The newest of the ids, as text for another process.
    pub fn report(&mut self) -> Vec<String> {
        self.unreported = 0;
        newest(&self.ids, REPORTED_MAX)
    }

    /// The ids that were remembered since the last report, as text for another process.
    pub fn report_new(&mut self) -> Vec<String> {
        let count = std::mem::take(&mut self.unreported);
        newest(&self.ids, count.min(REPORTED_MAX))
    }

    /// Remembers the ids of a report, from now on. Malformed ones are ignored.
    pub fn insert_reported(&mut self, ids: &[String]) {
        for digest in ids.iter().filter_map(|text| parse(text)) {
            self.insert_digest(digest);
        }
    }

    fn expire(&mut self) {
        while self.ids.front().is_some_and(|(at, _)| at.elapsed() >= RETENTION) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, digest)) = self.ids.pop_front() {
            self.digests.remove(&digest);
            self.unreported = self.unreported.min(self.ids.len());
        }
    }
}

fn newest(ids: &VecDeque<(Instant, IdDigest)>, count: usize) -> Vec<String> {
    ids.iter().skip(ids.len().saturating_sub(count)).map(|(_, digest)| to_text(digest)).collect()
}

fn to_text(digest: &IdDigest) -> String {
    let mut text = String::with_capacity(2 * DIGEST_BYTES);
    for byte in digest {
        let _ = write!(text, "{byte:02x}"); // writing to a string does not fail
    }
    text
}

fn parse(text: &str) -> Option<IdDigest> {
    if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
        return None;
    }
    let mut digest = [0; DIGEST_BYTES];
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}
