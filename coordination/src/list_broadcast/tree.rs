//! Trees along which a zone's nodes forward messages. Each node computes its children from the zone's node list alone.

use super::ListBroadcast;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of children of each node in one tree.
const FANOUT: usize = 8;

/// Node of the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

impl ListBroadcast {
    /// Returns a node's position in the zone's node list, which is sorted by name.
    pub(super) fn position(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    /// Returns the addresses of this node's children in two trees that are rooted at the holder. A node near the root of
    /// one tree is a leaf of the other, so that a lost message or a stalled node disconnects no other node.
    pub(super) fn children(&self) -> BTreeSet<SocketAddr> {
        let count = self.peers.len();
        let (Some(root), Some(own)) = (self.position(&self.holder.name), self.position(&self.name)) else {
            return BTreeSet::new();
        };
        let own = (own + count - root) % count;
        let forward = child_positions(own, count).map(|i| (i + root) % count);
        let mirrored = child_positions(mirror(own, count), count).map(|i| (mirror(i, count) + root) % count);
        forward.chain(mirrored).map(|i| self.peers[i].address).collect()
    }
}

/// Returns the positions of a node's children in a tree whose root is at position 0.
fn child_positions(position: usize, count: usize) -> impl Iterator<Item = usize> {
    let first = position * FANOUT + 1;
    (first..first + FANOUT).take_while(move |i| *i < count)
}

/// Maps a position to the mirrored tree, which has the same root.
fn mirror(position: usize, count: usize) -> usize {
    match position {
        0 => 0,
        _ => count - position,
    }
}
