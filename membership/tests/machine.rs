//! A machine against peers that lie, replay, or belong elsewhere: machines that receive each other's datagrams at once,
//! and messages encoded by hand with the fleet's key.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use foca::Member;
use membership::keys::Keys;
use membership::packet::{decode, encode, Body, Packet};
use membership::state_sync::FullState;
use membership::{
    name_hash, Action, Config, Counters, Identity, Machine, MembershipEvent, ProcessStart, Timing,
    DATAGRAM_MAX,
};
use std::net::SocketAddr;
use std::time::Duration;

/// A packet number above all that the machines have sent.
const LATER: u64 = 1 << 32;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16))
}

fn boot(i: usize) -> u64 {
    10 + i as u64
}

fn keys() -> Keys {
    Keys::parse(&format!("current {}", "ab".repeat(16))).unwrap()
}

fn machine(i: usize, boot: u64) -> Machine {
    let config = Config {
        fleet: "f".into(),
        name: format!("n{i}"),
        zone: String::new(),
        advertise: address(i),
        seeds: vec![address(0)],
        keys: keys(),
        timing: Timing::default(),
    };
    Machine::new(
        config,
        ProcessStart { process_id: boot, unix_time_ms: 1, rng_seed: 10 + i as u64 },
        Duration::ZERO,
    )
}

/// A datagram in the name of the process of node `from`.
fn packet(from: usize, to: usize, body: Body) -> Packet {
    let (fleet_hash, sequence_number) = (name_hash("f"), LATER);
    Packet { fleet_hash, process_id: boot(from), from: address(from), to: address(to), sequence_number, body }
}

/// Machines that receive each other's datagrams at once.
struct Ring {
    machines: Vec<Machine>,
    now: Duration,
    /// State synchronizations that were started.
    syncs: usize,
    /// Last SWIM message of each node.
    gossip: Vec<Vec<u8>>,
    /// Last identity that others recorded of each node.
    identities: Vec<Option<Identity>>,
    /// Node whose digest is to differ from the others': it is changed in what it sends, and theirs in what it receives.
    differing: Option<usize>,
}

impl Ring {
    fn new(nodes: usize) -> Ring {
        let mut ring = Ring {
            machines: (0..nodes).map(|i| machine(i, boot(i))).collect(),
            now: Duration::ZERO,
            syncs: 0,
            gossip: vec![Vec::new(); nodes],
            identities: vec![None; nodes],
            differing: None,
        };
        ring.run(Duration::from_secs(10));
        ring
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for i in 0..self.machines.len() {
                if self.machines[i].next_timeout() <= self.now {
                    self.machines[i].handle_timeout(self.now);
                }
                self.carry_out(i);
            }
        }
    }

    fn carry_out(&mut self, i: usize) {
        while let Some(action) = self.machines[i].next_action() {
            match action {
                Action::Send { to, bytes } => self.deliver(i, (to.port() - 1000) as usize, bytes),
                Action::SyncState { .. } => self.syncs += 1,
                Action::Event(MembershipEvent::Up(id)) => {
                    let of = (id.address.port() - 1000) as usize;
                    self.identities[of] = Some(id);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let mut packet: Packet = decode(&keys(), &bytes, DATAGRAM_MAX).unwrap();
        if let Body::Gossip(digest, data) = &mut packet.body {
            self.gossip[from].clone_from(data);
            if [from, to].map(Some).contains(&self.differing) {
                *digest ^= 1;
                bytes = encode(&keys(), &packet);
            }
        }
        self.machines[to].handle_datagram(self.now, &bytes);
    }

    fn counters(&self, i: usize) -> Counters {
        self.machines[i].counters()
    }

    fn holds(&self, viewer: usize, of: usize) -> bool {
        self.machines[viewer].view(self.now).present_names().any(|name| name == format!("n{of}"))
    }

    /// Makes `liar` hold `victim` dead and gossip of it, by a state that somebody with the key sends to it.
    fn lie(&mut self, liar: usize, victim: usize) {
        let victim = self.identities[victim].clone().expect("the others have seen it");
        let challenge = self.machines[liar].generate_nonce();
        let state = FullState {
            fleet_hash: name_hash("f"),
            process_id: 99,
            from: address(99),
            to: address(liar),
            echoed_nonce: challenge,
            nonce: 1,
            sender: None,
            members: vec![(Member::down(victim), 0)],
        };
        let state = encode(&keys(), &state);
        assert!(self.machines[liar].respond_to_sync(self.now, challenge, &state).is_some());
    }
}

/// A peer with the right key that lies: the node it lies about refutes, and nobody drops it for good.
#[test]
fn a_member_that_is_falsely_reported_dead_comes_back() {
    let mut ring = Ring::new(5);
    let before = ring.machines[3].view(ring.now).incarnation;
    for _ in 0..5 {
        ring.lie(1, 3);
        assert!(!ring.holds(1, 3), "the lie is believed at first");
        ring.run(Duration::from_secs(3));
        assert!((0..5).all(|viewer| ring.holds(viewer, 3)));
    }
    let after = ring.machines[3].view(ring.now).incarnation;
    assert!(after >= before + 5, "each lie costs it an incarnation");
    assert!(ring.counters(3).rejoins >= 5);
}

/// Guards against replayed datagrams: the receiver accepts each once, another receiver and a later process never.
#[test]
fn a_replayed_datagram_is_rejected() {
    let mut ring = Ring::new(3);
    let bytes = encode(&keys(), &packet(0, 1, Body::IdentityRequest));
    let before = ring.counters(1);
    (0..3).for_each(|_| ring.machines[1].handle_datagram(ring.now, &bytes));
    let after = ring.counters(1);
    assert_eq!(
        (after.received - before.received, after.rejected.replayed - before.rejected.replayed),
        (1, 2)
    );
    let before = ring.counters(2).rejected.misdirected;
    ring.machines[2].handle_datagram(ring.now, &bytes);
    assert_eq!(ring.counters(2).rejected.misdirected, before + 1);
    // A new process at the same address knows nothing of earlier datagrams.
    let mut fresh = machine(1, 99);
    let before = fresh.counters();
    fresh.handle_datagram(ring.now, &bytes);
    assert_eq!(fresh.counters().received, before.received);
    assert_eq!(fresh.counters().rejected.without_session, before.rejected.without_session + 1);
}

/// Guards a member against another with the key that sends in its name.
#[test]
fn a_member_cannot_send_in_the_name_of_another() {
    let mut ring = Ring::new(3);
    let data = ring.gossip[2].clone();
    assert!(!data.is_empty());
    let before = ring.counters(0);
    let bytes = encode(&keys(), &packet(1, 0, Body::Gossip(0, data)));
    ring.machines[0].handle_datagram(ring.now, &bytes);
    let after = ring.counters(0);
    assert_eq!(
        (after.received, after.rejected.malformed),
        (before.received + 1, before.rejected.malformed + 1)
    );
}

/// Guards against views that differ for good because the gossip of a change was lost.
#[test]
fn views_that_differ_for_long_are_synchronized() {
    let mut ring = Ring::new(3);
    let before = ring.syncs;
    ring.run(Duration::from_secs(10));
    assert_eq!(ring.syncs, before, "equal views are not");
    ring.differing = Some(0);
    ring.run(Duration::from_secs(10));
    assert!(ring.syncs > before);
}

/// Two installations that share a key by mistake.
#[test]
fn another_fleet_and_another_version_are_rejected() {
    let mut ring = Ring::new(2);
    let packet = Packet { fleet_hash: name_hash("f") + 1, ..packet(0, 1, Body::IdentityRequest) };
    let mut bytes = encode(&keys(), &packet);
    ring.machines[1].handle_datagram(ring.now, &bytes);
    bytes[2] += 1;
    ring.machines[1].handle_datagram(ring.now, &bytes);
    let refused = ring.counters(1).rejected;
    assert_eq!((refused.misdirected, refused.version), (1, 1));
}
