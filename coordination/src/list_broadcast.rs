//! The worker list of one zone, followed by one node for all: whoever holds the duty hears discovery and passes each version
//! on, down a tree of the zone's nodes. A node that hears nothing for a while asks discovery itself, in turn.
//!
//! What a line holds is the embedder's business; here it has a key, and may be gone. Versions are discovery's own, so a list
//! never goes back, whoever tells it. The token of the duty keeps an old holder's word out.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Between two words of the holder that it is there and what is newest.
const BEAT: Duration = Duration::from_millis(150);
/// The same right after a change, so many times: one that missed it must not wait long.
const SOON: Duration = Duration::from_millis(40);
const BURST: u32 = 4;
/// Without such a word, before a node asks discovery itself; and each one's turn after the one before it, so that all have
/// done so within `TURNS`: the first that hears of a drain must not be long ahead of the last.
const SILENCE: Duration = Duration::from_millis(500);
const TURN: Duration = Duration::from_millis(20);
const TURNS: Duration = Duration::from_millis(300);
/// Nodes that each node passes word on to.
const CHILDREN: usize = 8;
/// Versions back of which the changes are kept.
const KEPT: usize = 16;
/// Bytes of lines in one word, and words that a whole list may take.
const PART: usize = 40 * 1024;
const PARTS: usize = 256;

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Which: a worker's id.
    pub key: String,
    /// It is told for the last time.
    pub removed: bool,
    /// What it says.
    pub bytes: Vec<u8>,
}

/// What is new in a list, or all of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// The version that it leads to.
    pub version: u64,
    /// These are all lines.
    pub complete: bool,
    /// The lines.
    pub entries: Vec<Entry>,
}

/// What nodes of a zone tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BroadcastMessage {
    /// The holder is there, and the one that passes this on has this version.
    Heartbeat {
        /// The holder's token, its name, and the number of this word of it.
        token: u64,
        /// Its name.
        holder: String,
        /// Only grows under one token.
        sequence: u64,
        /// Which discovery the versions are of.
        source: u64,
        /// What the one that passes it on has.
        version: u64,
    },
    /// What is new since this version, or all of it where that is 0.
    Fetch {
        /// Of which discovery.
        source: u64,
        /// The asker's version.
        version: u64,
    },
    /// An answer, or what is passed on unasked.
    Chunk {
        /// The token of the holder that it came from.
        token: u64,
        /// Of which discovery.
        source: u64,
        /// It leads from this version; from nothing where that is 0.
        base_version: u64,
        /// To this one.
        version: u64,
        /// Which part.
        index: u16,
        /// Of how many.
        count: u16,
        /// Its lines.
        entries: Vec<Entry>,
    },
}

/// What the embedder is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BroadcastAction {
    /// Bring a word to this node of the zone.
    Send {
        /// Where it is reached.
        to: SocketAddr,
        /// What.
        message: BroadcastMessage,
    },
    /// Take this in, in place of what discovery would have told.
    Apply(ListDelta),
    /// Ask discovery from here on, or let it be.
    PollDiscovery(bool),
}

/// Counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastMetrics {
    /// Words sent.
    pub sent: u64,
    /// Versions taken from another node.
    #[serde(rename = "fed")]
    pub applied: u64,
    /// How often discovery had to be asked for want of a word.
    #[serde(rename = "silences")]
    pub holder_timeouts: u64,
    /// Words of a holder whose token was over.
    #[serde(rename = "refused")]
    pub stale_messages: u64,
}

struct Parts {
    id: (u64, u64, u64, u16),
    lines: Vec<Option<Vec<Entry>>>,
}

/// One node's part in its zone's list.
pub struct ListBroadcast {
    name: String,
    /// The zone's nodes by name, this one included.
    peers: Vec<(String, SocketAddr)>,
    /// Held here, under this token.
    token: Option<u64>,
    /// The highest token heard of, and its holder.
    seen: (u64, String),
    number: u64,
    source: u64,
    version: u64,
    lines: BTreeMap<String, Entry>,
    changes: VecDeque<(u64, u64, Vec<Entry>)>,
    parts: Option<Parts>,
    asks: bool,
    heard: Option<Duration>,
    beat_at: Duration,
    burst: u32,
    steps: VecDeque<BroadcastAction>,
    metrics: BroadcastMetrics,
}

impl ListBroadcast {
    /// A node that has just started: it asks discovery, as it does without all this, until it hears a holder.
    pub fn new(name: &str, source: u64) -> ListBroadcast {
        ListBroadcast {
            name: name.to_string(),
            peers: Vec::new(),
            token: None,
            seen: (0, String::new()),
            number: 0,
            source,
            version: 0,
            lines: BTreeMap::new(),
            changes: VecDeque::new(),
            parts: None,
            asks: true,
            heard: None,
            beat_at: Duration::MAX,
            burst: 0,
            steps: VecDeque::new(),
            metrics: BroadcastMetrics::default(),
        }
    }

    /// The next thing to do, if there is one.
    pub fn next_action(&mut self) -> Option<BroadcastAction> {
        self.steps.pop_front()
    }

    /// Counters.
    pub fn metrics(&self) -> BroadcastMetrics {
        self.metrics
    }

    /// The version that is had here.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether discovery is asked from here.
    pub fn polls_discovery(&self) -> bool {
        self.asks
    }

    /// The zone's nodes that take jobs, as the view has them: name and where each is reached.
    pub fn set_peers(&mut self, mut peers: Vec<(String, SocketAddr)>) {
        peers.sort();
        self.peers = peers;
    }

    /// Discovery is another one from here on: its versions have nothing to do with those before.
    pub fn set_source(&mut self, source: u64) {
        if self.source != source {
            self.source = source;
            self.version = 0;
            self.changes.clear();
        }
    }

    /// The duty is this node's, under this token.
    pub fn lease_acquired(&mut self, now: Duration, token: u64) {
        self.token = Some(token);
        self.seen = (token, self.name.clone());
        (self.number, self.beat_at) = (0, now);
        self.ask(true);
    }

    /// The duty is this node's no more. It asks on until it hears the next holder.
    pub fn lease_lost(&mut self, now: Duration) {
        if self.token.take().is_some() {
            (self.heard, self.beat_at) = (Some(now), Duration::MAX);
        }
    }

    /// When [`Spread::tick`] is due next.
    pub fn next_tick(&self) -> Duration {
        match (self.token, self.asks) {
            (Some(_), _) => self.beat_at,
            (None, false) => self.heard.map_or(Duration::MAX, |at| at + SILENCE + self.turn()),
            (None, true) => Duration::MAX,
        }
    }

    /// Does what is due; `holds` says whether the duty may be acted on at this moment.
    pub fn tick(&mut self, now: Duration, holds: bool) {
        match self.token {
            Some(token) if now >= self.beat_at => {
                self.beat_at = now + if self.burst > 0 { SOON } else { BEAT };
                self.burst = self.burst.saturating_sub(1);
                if holds {
                    self.number += 1;
                    self.beat(token, self.number);
                }
            }
            None if !self.asks && now >= self.next_tick() => {
                self.metrics.holder_timeouts += 1;
                self.ask(true);
            }
            _ => {}
        }
    }

    /// Discovery told this node; what is new goes on to the others, if the duty is held here and may be acted on.
    pub fn publish(&mut self, now: Duration, change: &ListDelta, holds: bool) {
        if !self.take(change) {
            return;
        }
        if let Some(token) = self.token.filter(|_| holds) {
            self.pass(token, change);
            // Those that know of no holder yet know not whom to pass it on to: to them it is told at once.
            self.beat_at = if self.number == 0 { now } else { now + SOON };
            self.burst = BURST;
        }
    }

    /// Takes a word of another node in.
    pub fn receive(&mut self, now: Duration, from: SocketAddr, gossip: BroadcastMessage) {
        match gossip {
            BroadcastMessage::Heartbeat { token, holder, sequence: number, source, version } => {
                let last = if token == self.seen.0 { self.number } else { 0 };
                if token < self.seen.0 {
                    self.metrics.stale_messages += 1;
                    return;
                }
                if number <= last || self.token.is_some_and(|own| own >= token) {
                    return;
                }
                self.token = None;
                (self.seen, self.number, self.heard) = ((token, holder), number, Some(now));
                if source != self.source {
                    return; // it follows another discovery, and is of no use here until this node does, too
                }
                if version > self.version {
                    self.send(from, BroadcastMessage::Fetch { source, version: self.version });
                } else {
                    self.ask(false);
                }
                self.beat(token, number);
            }
            BroadcastMessage::Fetch { source, version }
                if source == self.source && self.version > version =>
            {
                self.give(from, version)
            }
            BroadcastMessage::Fetch { .. } => {}
            BroadcastMessage::Chunk {
                token,
                source,
                base_version: since,
                version,
                index,
                count: of,
                entries: lines,
            } => {
                if token < self.seen.0 {
                    self.metrics.stale_messages += 1;
                    return;
                }
                let of_use =
                    source == self.source && version > self.version && (since == 0 || since == self.version);
                if !of_use {
                    return;
                }
                let Some(lines) = self.gather((token, since, version, of), index, lines) else { return };
                let change = ListDelta { version, complete: since == 0, entries: lines };
                if self.take(&change) {
                    self.metrics.applied += 1;
                    self.steps.push_back(BroadcastAction::Apply(change.clone()));
                    self.pass(token, &change);
                    if self.heard.is_some_and(|at| now - at < SILENCE) {
                        self.ask(false);
                    }
                }
            }
        }
    }

    fn ask(&mut self, asks: bool) {
        if self.asks != asks {
            self.asks = asks;
            self.steps.push_back(BroadcastAction::PollDiscovery(asks));
        }
    }

    /// How long after the first one it is this node's turn.
    fn turn(&self) -> Duration {
        let place = self.peers.iter().position(|(n, _)| *n == self.name).unwrap_or(0) as u32;
        let each = TURN.min(TURNS / (self.peers.len() as u32).max(1));
        each * place
    }

    /// Whether it is newer than what is had here.
    fn take(&mut self, change: &ListDelta) -> bool {
        // A list never goes back, and the same version is nothing new.
        if change.version <= self.version {
            return false;
        }
        if change.complete {
            self.lines.clear();
            self.changes.clear();
        } else {
            self.changes.push_back((self.version, change.version, change.entries.clone()));
            if self.changes.len() > KEPT {
                self.changes.pop_front();
            }
        }
        for line in &change.entries {
            if line.removed {
                self.lines.remove(&line.key);
            } else {
                self.lines.insert(line.key.clone(), line.clone());
            }
        }
        self.version = change.version;
        true
    }

    /// Those that this node passes word on to: its children in two trees whose root is the holder. Who stands near the root
    /// in one is a leaf in the other, so that one lost word, or one node that stands still, cuts nobody off.
    fn children(&self) -> BTreeSet<SocketAddr> {
        let count = self.peers.len();
        let place = |name: &str| self.peers.iter().position(|(n, _)| n == name);
        let (Some(root), Some(own)) = (place(&self.seen.1), place(&self.name)) else {
            return BTreeSet::new();
        };
        let own = (own + count - root) % count;
        let below = |i: usize| (i * CHILDREN + 1..=i * CHILDREN + CHILDREN).take_while(move |i| *i < count);
        let mirror = |i: usize| if i == 0 { 0 } else { count - i };
        let one = below(own).map(|i| (i + root) % count);
        let other = below(mirror(own)).map(|i| (mirror(i) + root) % count);
        one.chain(other).map(|i| self.peers[i].1).collect()
    }

    fn send(&mut self, to: SocketAddr, gossip: BroadcastMessage) {
        self.metrics.sent += 1;
        self.steps.push_back(BroadcastAction::Send { to, message: gossip });
    }

    fn beat(&mut self, token: u64, number: u64) {
        let (holder, source, version) = (self.seen.1.clone(), self.source, self.version);
        for to in self.children() {
            self.send(
                to,
                BroadcastMessage::Heartbeat {
                    token,
                    holder: holder.clone(),
                    sequence: number,
                    source,
                    version,
                },
            );
        }
    }

    /// Passes a change on that was just taken in.
    fn pass(&mut self, token: u64, change: &ListDelta) {
        let since = match self.changes.back() {
            Some((since, to, _)) if *to == change.version && !change.complete => *since,
            _ => 0,
        };
        for to in self.children() {
            self.part(to, token, since, &change.entries);
        }
    }

    fn give(&mut self, to: SocketAddr, since: u64) {
        let token = self.seen.0;
        // The changes since then, where all of them are kept; else the whole list.
        let first = self.changes.iter().position(|(from, ..)| *from == since);
        match first.filter(|_| since != 0) {
            Some(first) => {
                let mut lines: BTreeMap<String, Entry> = BTreeMap::new();
                for (_, _, changed) in self.changes.iter().skip(first) {
                    lines.extend(changed.iter().map(|l| (l.key.clone(), l.clone())));
                }
                let lines: Vec<Entry> = lines.into_values().collect();
                self.part(to, token, since, &lines);
            }
            None => {
                let lines: Vec<Entry> = self.lines.values().cloned().collect();
                self.part(to, token, 0, &lines);
            }
        }
    }

    fn part(&mut self, to: SocketAddr, token: u64, since: u64, lines: &[Entry]) {
        let mut parts: Vec<Vec<Entry>> = vec![Vec::new()];
        let mut room = PART;
        for line in lines {
            let size = line.bytes.len() + line.key.len() + 16;
            if size > room && parts.last().is_some_and(|p| !p.is_empty()) {
                parts.push(Vec::new());
                room = PART;
            }
            room = room.saturating_sub(size);
            if let Some(part) = parts.last_mut() {
                part.push(line.clone());
            }
        }
        // A list that is too long for this is one that each asks discovery for.
        if parts.len() > PARTS {
            return;
        }
        let (of, source, version) = (parts.len() as u16, self.source, self.version);
        for (index, lines) in parts.into_iter().enumerate() {
            let index = index as u16;
            self.send(
                to,
                BroadcastMessage::Chunk {
                    token,
                    source,
                    base_version: since,
                    version,
                    index,
                    count: of,
                    entries: lines,
                },
            );
        }
    }

    fn gather(&mut self, id: (u64, u64, u64, u16), index: u16, lines: Vec<Entry>) -> Option<Vec<Entry>> {
        let of = usize::from(id.3);
        if usize::from(index) >= of || of > PARTS {
            return None;
        }
        if of == 1 {
            return Some(lines);
        }
        if self.parts.as_ref().is_none_or(|p| p.id != id) {
            self.parts = Some(Parts { id, lines: vec![None; of] });
        }
        let parts = self.parts.as_mut()?;
        parts.lines[usize::from(index)] = Some(lines);
        if parts.lines.iter().any(Option::is_none) {
            return None;
        }
        Some(self.parts.take()?.lines.into_iter().flatten().flatten().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn line(key: &str, gone: bool, length: usize) -> Entry {
        Entry { key: key.into(), removed: gone, bytes: vec![7; length] }
    }

    fn at(i: usize) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16))
    }

    /// Nodes that hear each other at once.
    struct Zone(Vec<ListBroadcast>, Vec<Vec<ListDelta>>);

    impl Zone {
        fn new(nodes: usize) -> Zone {
            let peers: Vec<(String, SocketAddr)> = (0..nodes).map(|i| (format!("n{i:03}"), at(i))).collect();
            let node = |i: usize| {
                let mut spread = ListBroadcast::new(&peers[i].0, 1);
                spread.set_peers(peers.clone());
                spread
            };
            Zone((0..nodes).map(node).collect(), vec![Vec::new(); nodes])
        }

        /// Brings all words, less those that `lost` says; the most that one node sent.
        fn pass(&mut self, now: Duration, lost: impl Fn(usize, usize) -> bool) -> u64 {
            let before: Vec<u64> = self.0.iter().map(|s| s.metrics.sent).collect();
            let mut quiet = false;
            while !quiet {
                quiet = true;
                for from in 0..self.0.len() {
                    while let Some(step) = self.0[from].next_action() {
                        quiet = false;
                        match step {
                            BroadcastAction::Send { to, message: gossip } => {
                                let to = (to.port() - 1000) as usize;
                                if !lost(from, to) {
                                    self.0[to].receive(now, at(from), gossip);
                                }
                            }
                            BroadcastAction::Apply(change) => self.1[from].push(change),
                            BroadcastAction::PollDiscovery(_) => {}
                        }
                    }
                }
            }
            self.0.iter().zip(before).map(|(s, b)| s.metrics.sent - b).max().unwrap_or(0)
        }
    }

    fn whole(version: u64, lines: Vec<Entry>) -> ListDelta {
        ListDelta { version, complete: true, entries: lines }
    }

    #[test]
    fn a_version_reaches_all_and_nobody_tells_more_than_a_few() {
        let mut zone = Zone::new(300);
        let now = MS * 1000;
        zone.0[7].lease_acquired(now, 5);
        let list: Vec<Entry> = (0..400).map(|i| line(&format!("w{i}"), false, 300)).collect();
        zone.0[7].publish(now, &whole(3, list.clone()), true);
        zone.0[7].tick(now, true);
        let most = zone.pass(now, |_, _| false);
        assert!(zone.0.iter().all(|s| s.version == 3 && s.lines.len() == 400));
        assert!(most <= 16 * 8, "a whole list of some words to each of sixteen: {most}");
        assert_eq!(zone.0.iter().filter(|s| s.asks).count(), 1, "the holder alone asks");
        // A change costs one word to each.
        let change = ListDelta { version: 4, complete: false, entries: vec![line("w3", true, 0)] };
        zone.0[7].publish(now, &change, true);
        let most = zone.pass(now, |_, _| false);
        assert!(most <= 16 && zone.0.iter().all(|s| s.version == 4 && s.lines.len() == 399), "{most}");
    }

    #[test]
    fn what_was_missed_comes_with_the_next_beat() {
        let mut zone = Zone::new(20);
        zone.0[0].lease_acquired(MS, 5);
        zone.0[0].tick(MS, true);
        zone.pass(MS, |_, _| false);
        zone.0[0].publish(MS, &whole(1, vec![line("a", false, 9), line("b", false, 9)]), true);
        zone.pass(MS, |_, _| false);
        for version in 2..5 {
            let change = ListDelta { version, complete: false, entries: vec![line("a", version == 4, 9)] };
            zone.0[0].publish(MS, &change, true);
            zone.pass(MS, |_, to| to == 3 || to > 15);
        }
        assert_eq!((zone.0[3].version, zone.0[19].version), (1, 1));
        let now = MS * 200;
        zone.0[0].tick(now, true);
        zone.pass(now, |_, _| false);
        assert!(zone.0.iter().all(|s| s.version == 4 && s.lines.len() == 1));
        assert_eq!(zone.1[3].last().unwrap().entries.len(), 1, "the changes, not the whole list");
    }

    /// An old holder's list never replaces a newer one, nor does a new holder's that is behind.
    #[test]
    fn a_list_never_goes_back() {
        let mut zone = Zone::new(3);
        zone.0[0].lease_acquired(MS, 5);
        zone.0[0].publish(MS, &whole(9, vec![line("a", false, 9)]), true);
        zone.pass(MS, |_, _| false);
        zone.0[1].lease_acquired(MS, 6);
        zone.0[1].tick(MS, true);
        zone.pass(MS, |_, _| false);
        // The old one stood still and goes on.
        let change = ListDelta { version: 12, complete: true, entries: vec![] };
        let part = BroadcastMessage::Chunk {
            token: 5,
            source: 1,
            base_version: 0,
            version: 12,
            index: 0,
            count: 1,
            entries: vec![],
        };
        zone.0[2].receive(MS, at(0), part);
        assert_eq!((zone.0[2].version, zone.0[2].metrics.stale_messages), (9, 1));
        // It hears of the next one, and tells nothing more even if discovery tells it.
        zone.0[0].publish(MS, &change, true);
        zone.pass(MS, |_, _| false);
        assert_eq!(zone.0[2].version, 9);
        // The new one is told an older list by discovery.
        zone.0[1].publish(MS, &whole(8, vec![]), true);
        zone.pass(MS, |_, _| false);
        assert!(zone.0[2].version == 9 && zone.0[2].lines.len() == 1);
        // From another discovery nothing counts here, until this node follows that one.
        let part = BroadcastMessage::Chunk {
            token: 7,
            source: 2,
            base_version: 0,
            version: 20,
            index: 0,
            count: 1,
            entries: vec![],
        };
        zone.0[2].receive(MS, at(1), part.clone());
        assert_eq!(zone.0[2].version, 9);
        zone.0[2].set_source(2);
        zone.0[2].receive(MS, at(1), part);
        assert_eq!(zone.0[2].version, 20);
    }

    #[test]
    fn where_the_holder_falls_silent_all_ask_in_turn() {
        let mut zone = Zone::new(100);
        zone.0[0].lease_acquired(MS, 5);
        zone.0[0].publish(MS, &whole(1, vec![]), true);
        zone.0[0].tick(MS, true);
        zone.pass(MS, |_, _| false);
        let mut asking = Vec::new();
        for ms in 1..1500 {
            let now = MS * ms;
            for i in 1..100 {
                if !zone.0[i].asks && zone.0[i].next_tick() <= now {
                    zone.0[i].tick(now, false);
                    asking.push(ms);
                }
            }
        }
        assert_eq!(asking.len(), 99);
        assert!(asking[0] > 490 && asking[98] < 900, "{asking:?}");
        let most = asking.chunk_by(|a, b| a == b).map(<[u32]>::len).max().unwrap();
        assert!(most <= 2, "{most} at once");
        // The next holder: they let it be.
        zone.0[4].lease_acquired(MS * 2000, 6);
        zone.0[4].tick(MS * 2000, true);
        zone.pass(MS * 2000, |_, _| false);
        assert_eq!(zone.0.iter().filter(|s| s.asks).count(), 1);
    }

    #[test]
    fn one_that_may_not_act_tells_nothing() {
        let mut zone = Zone::new(3);
        zone.0[0].lease_acquired(MS, 5);
        zone.0[0].publish(MS, &whole(2, vec![]), false);
        zone.0[0].tick(MS, false);
        assert_eq!(zone.pass(MS, |_, _| false), 0);
        assert_eq!(zone.0[1].version, 0);
    }
}
