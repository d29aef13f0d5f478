//! Machines against false, replayed and misdirected messages. Machines receive each other's datagrams without delay;
//! the other messages are encoded by the tests with the fleet's key.
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

/// Sequence number above all that the machines have used.
const UNUSED_SEQUENCE_NUMBER: u64 = 1 << 32;

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + i as u16))
}

fn process_id(i: usize) -> u64 {
    10 + i as u64
}

fn keys() -> Keys {
    Keys::parse(&format!("current {}", "ab".repeat(16))).unwrap()
}

fn machine(i: usize, process_id: u64) -> Machine {
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
        ProcessStart { process_id, unix_time_ms: 1, rng_seed: 10 + i as u64 },
        Duration::ZERO,
    )
}

/// Creates a packet that claims to come from the process of node `from`.
fn packet(from: usize, to: usize, body: Body) -> Packet {
    let (fleet_hash, sequence_number) = (name_hash("f"), UNUSED_SEQUENCE_NUMBER);
    Packet {
        fleet_hash,
        process_id: process_id(from),
        from: address(from),
        to: address(to),
        sequence_number,
        body,
    }
}

/// Machines that receive each other's datagrams without delay.
struct Fleet {
    machines: Vec<Machine>,
    now: Duration,
    /// Number of state synchronizations requested.
    syncs: usize,
    /// Last SWIM message of each node.
    gossip: Vec<Vec<u8>>,
    /// Last identity with which each node was reported as present.
    identities: Vec<Option<Identity>>,
    /// Node whose view digest is made to differ: digests are changed in the gossip that it sends and receives.
    diverging_node: Option<usize>,
}

impl Fleet {
    fn new(nodes: usize) -> Fleet {
        let mut fleet = Fleet {
            machines: (0..nodes).map(|i| machine(i, process_id(i))).collect(),
            now: Duration::ZERO,
            syncs: 0,
            gossip: vec![Vec::new(); nodes],
            identities: vec![None; nodes],
            diverging_node: None,
        };
        fleet.run(Duration::from_secs(10));
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(10);
            for i in 0..self.machines.len() {
                if self.machines[i].next_timeout() <= self.now {
                    self.machines[i].handle_timeout(self.now);
                }
                self.run_actions(i);
            }
        }
    }

    fn run_actions(&mut self, i: usize) {
        while let Some(action) = self.machines[i].next_action() {
            match action {
                Action::Send { to, bytes } => self.deliver(i, (to.port() - 1000) as usize, bytes),
                Action::SyncState { .. } => self.syncs += 1,
                Action::Event(MembershipEvent::Up(id)) => {
                    let node = (id.address.port() - 1000) as usize;
                    self.identities[node] = Some(id);
                }
                _ => {}
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let mut packet: Packet = decode(&keys(), &bytes, DATAGRAM_MAX).unwrap();
        if let Body::Gossip(digest, data) = &mut packet.body {
            self.gossip[from].clone_from(data);
            if [from, to].map(Some).contains(&self.diverging_node) {
                *digest ^= 1;
                bytes = encode(&keys(), &packet);
            }
        }
        self.machines[to].handle_datagram(self.now, &bytes);
    }

    fn counters(&self, i: usize) -> Counters {
        self.machines[i].counters()
    }

    fn is_present(&self, viewer: usize, node: usize) -> bool {
        self.machines[viewer].view(self.now).present_names().any(|name| name == format!("n{node}"))
    }

    /// Sends a full state to `receiver` that falsely reports `victim` as dead, with the fleet's key. The receiver
    /// believes it and gossips about it.
    fn report_false_death(&mut self, receiver: usize, victim: usize) {
        let victim = self.identities[victim].clone().expect("other nodes have reported it as present");
        let challenge = self.machines[receiver].generate_nonce();
        let state = FullState {
            fleet_hash: name_hash("f"),
            process_id: 99,
            from: address(99),
            to: address(receiver),
            echoed_nonce: challenge,
            nonce: 1,
            sender: None,
            members: vec![(Member::down(victim), 0)],
        };
        let state = encode(&keys(), &state);
        assert!(self.machines[receiver].respond_to_sync(self.now, challenge, &state).is_some());
    }
}

/// A peer with the key can report a running node as dead. That node must refute it each time and rejoin all views.
#[test]
fn a_member_that_is_falsely_reported_dead_rejoins() {
    let mut fleet = Fleet::new(5);
    let before = fleet.machines[3].view(fleet.now).incarnation;
    for _ in 0..5 {
        fleet.report_false_death(1, 3);
        assert!(!fleet.is_present(1, 3), "the false report is believed at first");
        fleet.run(Duration::from_secs(3));
        assert!((0..5).all(|viewer| fleet.is_present(viewer, 3)));
    }
    let after = fleet.machines[3].view(fleet.now).incarnation;
    assert!(after >= before + 5, "each false report increases the incarnation");
    assert!(fleet.counters(3).rejoins >= 5);
}

/// A replayed datagram is accepted once by its receiver, and never by another receiver or a later process.
#[test]
fn a_replayed_datagram_is_rejected() {
    let mut fleet = Fleet::new(3);
    let bytes = encode(&keys(), &packet(0, 1, Body::IdentityRequest));
    let before = fleet.counters(1);
    (0..3).for_each(|_| fleet.machines[1].handle_datagram(fleet.now, &bytes));
    let after = fleet.counters(1);
    assert_eq!(
        (after.received - before.received, after.rejected.replayed - before.rejected.replayed),
        (1, 2)
    );
    let before = fleet.counters(2).rejected.misdirected;
    fleet.machines[2].handle_datagram(fleet.now, &bytes);
    assert_eq!(fleet.counters(2).rejected.misdirected, before + 1);
    // A new process at the same address has no session, so it accepts no earlier datagrams.
    let mut restarted = machine(1, 99);
    let before = restarted.counters();
    restarted.handle_datagram(fleet.now, &bytes);
    assert_eq!(restarted.counters().received, before.received);
    assert_eq!(restarted.counters().rejected.without_session, before.rejected.without_session + 1);
}

/// Guards against a member with the key that sends gossip in the name of another.
#[test]
fn a_member_cannot_send_in_the_name_of_another() {
    let mut fleet = Fleet::new(3);
    let data = fleet.gossip[2].clone();
    assert!(!data.is_empty());
    let before = fleet.counters(0);
    let bytes = encode(&keys(), &packet(1, 0, Body::Gossip(0, data)));
    fleet.machines[0].handle_datagram(fleet.now, &bytes);
    let after = fleet.counters(0);
    assert_eq!(
        (after.received, after.rejected.malformed),
        (before.received + 1, before.rejected.malformed + 1)
    );
}

/// Guards against views that differ forever because the gossip about a change was lost.
#[test]
fn views_that_differ_for_long_are_synchronized() {
    let mut fleet = Fleet::new(3);
    let before = fleet.syncs;
    fleet.run(Duration::from_secs(10));
    assert_eq!(fleet.syncs, before, "equal views are not synchronized");
    fleet.diverging_node = Some(0);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.syncs > before);
}

/// Guards against two fleets that share a key by mistake, and against datagrams of another format version.
#[test]
fn another_fleet_and_another_version_are_rejected() {
    let mut fleet = Fleet::new(2);
    let packet = Packet { fleet_hash: name_hash("f") + 1, ..packet(0, 1, Body::IdentityRequest) };
    let mut bytes = encode(&keys(), &packet);
    fleet.machines[1].handle_datagram(fleet.now, &bytes);
    bytes[2] += 1;
    fleet.machines[1].handle_datagram(fleet.now, &bytes);
    let rejected = fleet.counters(1).rejected;
    assert_eq!((rejected.misdirected, rejected.version), (1, 1));
}
