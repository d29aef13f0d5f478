//! List broadcast among the nodes of a zone, with messages delivered without delay.

use coordination::{BroadcastAction, BroadcastMessage, ListBroadcast, ListDelta, ListEntry};
use std::net::SocketAddr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn entry(key: &str, removed: bool, length: usize) -> ListEntry {
    ListEntry { key: key.into(), removed, bytes: vec![7; length] }
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16))
}

/// Nodes of a zone, with the deltas that each has applied.
struct Zone {
    nodes: Vec<ListBroadcast>,
    applied: Vec<Vec<ListDelta>>,
}

impl Zone {
    fn new(nodes: usize) -> Zone {
        let peers: Vec<(String, SocketAddr)> = (0..nodes).map(|i| (format!("n{i:03}"), address(i))).collect();
        let node = |i: usize| {
            let mut node = ListBroadcast::new(&peers[i].0, 1);
            node.set_peers(peers.clone());
            node
        };
        Zone { nodes: (0..nodes).map(node).collect(), applied: vec![Vec::new(); nodes] }
    }

    /// Delivers all messages except those that `is_lost` selects; returns the maximum number that one node sent.
    fn deliver(&mut self, now: Duration, is_lost: impl Fn(usize, usize) -> bool) -> u64 {
        let sent_before: Vec<u64> = self.nodes.iter().map(|node| node.metrics().sent).collect();
        let mut is_idle = false;
        while !is_idle {
            is_idle = true;
            for from in 0..self.nodes.len() {
                while let Some(action) = self.nodes[from].next_action() {
                    is_idle = false;
                    match action {
                        BroadcastAction::Send { to, message } => {
                            let to = (to.port() - 1000) as usize;
                            if !is_lost(from, to) {
                                self.nodes[to].receive(now, address(from), message);
                            }
                        }
                        BroadcastAction::Apply(delta) => self.applied[from].push(delta),
                        BroadcastAction::PollDiscovery(_) => {}
                    }
                }
            }
        }
        self.nodes
            .iter()
            .zip(sent_before)
            .map(|(node, before)| node.metrics().sent - before)
            .max()
            .unwrap_or(0)
    }
}

fn complete(version: u64, entries: Vec<ListEntry>) -> ListDelta {
    ListDelta { version, complete: true, entries }
}

#[test]
fn a_version_reaches_all_nodes_and_each_sends_to_few() {
    let mut zone = Zone::new(300);
    let now = MS * 1000;
    zone.nodes[7].lease_acquired(now, 5);
    let list: Vec<ListEntry> = (0..400).map(|i| entry(&format!("w{i}"), false, 300)).collect();
    zone.nodes[7].publish(now, &complete(3, list.clone()), true);
    zone.nodes[7].tick(now, true);
    let most = zone.deliver(now, |_, _| false);
    assert!(zone.nodes.iter().all(|node| node.version() == 3 && node.entries().len() == 400));
    assert!(most <= 16 * 8, "several chunks to each of 16 nodes: {most}");
    assert_eq!(zone.nodes.iter().filter(|node| node.polls_discovery()).count(), 1, "only the holder polls");
    // A small delta is one message to each child.
    let delta = ListDelta { version: 4, complete: false, entries: vec![entry("w3", true, 0)] };
    zone.nodes[7].publish(now, &delta, true);
    let most = zone.deliver(now, |_, _| false);
    assert!(
        most <= 16 && zone.nodes.iter().all(|node| node.version() == 4 && node.entries().len() == 399),
        "{most}"
    );
}

#[test]
fn missed_deltas_arrive_after_the_next_heartbeat() {
    let mut zone = Zone::new(20);
    zone.nodes[0].lease_acquired(MS, 5);
    zone.nodes[0].tick(MS, true);
    zone.deliver(MS, |_, _| false);
    zone.nodes[0].publish(MS, &complete(1, vec![entry("a", false, 9), entry("b", false, 9)]), true);
    zone.deliver(MS, |_, _| false);
    for version in 2..5 {
        let delta = ListDelta { version, complete: false, entries: vec![entry("a", version == 4, 9)] };
        zone.nodes[0].publish(MS, &delta, true);
        zone.deliver(MS, |_, to| to == 3 || to > 15);
    }
    assert_eq!((zone.nodes[3].version(), zone.nodes[19].version()), (1, 1));
    let now = MS * 200;
    zone.nodes[0].tick(now, true);
    zone.deliver(now, |_, _| false);
    assert!(zone.nodes.iter().all(|node| node.version() == 4 && node.entries().len() == 1));
    assert_eq!(zone.applied[3].last().unwrap().entries.len(), 1, "only the changes, not the complete list");
}

/// Neither a previous holder nor a new holder that lags behind replaces a list with an older version.
#[test]
fn a_list_never_returns_to_an_older_version() {
    let mut zone = Zone::new(3);
    zone.nodes[0].lease_acquired(MS, 5);
    zone.nodes[0].publish(MS, &complete(9, vec![entry("a", false, 9)]), true);
    zone.deliver(MS, |_, _| false);
    zone.nodes[1].lease_acquired(MS, 6);
    zone.nodes[1].tick(MS, true);
    zone.deliver(MS, |_, _| false);
    // The previous holder resumes after a stall.
    let delta = ListDelta { version: 12, complete: true, entries: vec![] };
    let chunk = BroadcastMessage::Chunk {
        token: 5,
        source: 1,
        base_version: 0,
        version: 12,
        index: 0,
        count: 1,
        entries: vec![],
    };
    zone.nodes[2].receive(MS, address(0), chunk);
    assert_eq!((zone.nodes[2].version(), zone.nodes[2].metrics().stale_messages), (9, 1));
    // It has received the heartbeat of the new holder, and forwards no further changes from discovery.
    zone.nodes[0].publish(MS, &delta, true);
    zone.deliver(MS, |_, _| false);
    assert_eq!(zone.nodes[2].version(), 9);
    // Discovery returns an older list to the new holder.
    zone.nodes[1].publish(MS, &complete(8, vec![]), true);
    zone.deliver(MS, |_, _| false);
    assert!(zone.nodes[2].version() == 9 && zone.nodes[2].entries().len() == 1);
    // Versions of another discovery service are ignored until this node uses that service.
    let chunk = BroadcastMessage::Chunk {
        token: 7,
        source: 2,
        base_version: 0,
        version: 20,
        index: 0,
        count: 1,
        entries: vec![],
    };
    zone.nodes[2].receive(MS, address(1), chunk.clone());
    assert_eq!(zone.nodes[2].version(), 9);
    zone.nodes[2].set_source(2);
    zone.nodes[2].receive(MS, address(1), chunk);
    assert_eq!(zone.nodes[2].version(), 20);
}

#[test]
fn nodes_poll_discovery_in_turn_when_heartbeats_stop() {
    let mut zone = Zone::new(100);
    zone.nodes[0].lease_acquired(MS, 5);
    zone.nodes[0].publish(MS, &complete(1, vec![]), true);
    zone.nodes[0].tick(MS, true);
    zone.deliver(MS, |_, _| false);
    let mut start_times = Vec::new();
    for ms in 1..1500 {
        let now = MS * ms;
        for i in 1..100 {
            if !zone.nodes[i].polls_discovery() && zone.nodes[i].next_tick() <= now {
                zone.nodes[i].tick(now, false);
                start_times.push(ms);
            }
        }
    }
    assert_eq!(start_times.len(), 99);
    assert!(start_times[0] > 490 && start_times[98] < 900, "{start_times:?}");
    let most = start_times.chunk_by(|a, b| a == b).map(<[u32]>::len).max().unwrap();
    assert!(most <= 2, "{most} nodes started at once");
    // They stop polling at the heartbeat of the next holder.
    zone.nodes[4].lease_acquired(MS * 2000, 6);
    zone.nodes[4].tick(MS * 2000, true);
    zone.deliver(MS * 2000, |_, _| false);
    assert_eq!(zone.nodes.iter().filter(|node| node.polls_discovery()).count(), 1);
}

#[test]
fn a_holder_whose_lease_is_not_valid_sends_nothing() {
    let mut zone = Zone::new(3);
    zone.nodes[0].lease_acquired(MS, 5);
    zone.nodes[0].publish(MS, &complete(2, vec![]), false);
    zone.nodes[0].tick(MS, false);
    assert_eq!(zone.deliver(MS, |_, _| false), 0);
    assert_eq!(zone.nodes[1].version(), 0);
}
