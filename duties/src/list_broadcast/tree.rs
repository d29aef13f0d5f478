//! Trees down which a zone's nodes send. Each node computes its children from the zone's node list alone.

use super::ListBroadcast;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Children of each node in one tree.
const CHILDREN: usize = 8;

/// Node of the zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) address: SocketAddr,
}

impl ListBroadcast {
    /// Position in the zone's node list, sorted by name.
    pub(super) fn position(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    /// Addresses that this node sends to: its children in two trees whose root is the holder. A node near the root of one
    /// tree is a leaf of the other, so that one lost message or one stalled node cuts nobody off.
    pub(super) fn children(&self) -> BTreeSet<SocketAddr> {
        let count = self.peers.len();
        let (Some(root), Some(own)) = (self.position(&self.holder.name), self.position(&self.name)) else {
            return BTreeSet::new();
        };
        let own = (own + count - root) % count;
        let forward = below(own, count).map(|i| (i + root) % count);
        let mirrored = below(mirror(own, count), count).map(|i| (mirror(i, count) + root) % count);
        forward.chain(mirrored).map(|i| self.peers[i].address).collect()
    }
}

/// Positions of the children in a tree whose root is at position 0.
fn below(position: usize, count: usize) -> impl Iterator<Item = usize> {
    let first = position * CHILDREN + 1;
    (first..first + CHILDREN).take_while(move |i| *i < count)
}

/// Position in the mirrored tree, which has the same root.
fn mirror(position: usize, count: usize) -> usize {
    match position {
        0 => 0,
        _ => count - position,
    }
}
