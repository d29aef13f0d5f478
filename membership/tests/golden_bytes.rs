//! Golden tests of the wire format and of error messages: every kind of datagram, the frames of a state
//! synchronization, all datagrams of a small fleet (joins, a death, draining, leaving), and the messages for errors in
//! the fleet file and the key file. A changed byte makes nodes of two versions incompatible.
//!
//! `GOLDEN_RECORD=1` records the files again.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use foca::{Member, State};
use membership::file::FleetFile;
use membership::fragments::Fragment;
use membership::keys::Keys;
use membership::packet::{decode, encode, Body, Packet};
use membership::state_sync::FullState;
use membership::{
    name_hash, Action, Config, Identity, Machine, MembershipEvent, ProcessStart, Timing, DATAGRAM_MAX,
    FRAME_MAX,
};
use sha2::{Digest, Sha256};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

const KEY: &str = "current 000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

/// Compares a text with a recorded file. The panic message has the first line that differs.
fn assert_golden(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    for (line, (expected, actual)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", line + 1);
    }
    assert_eq!(text, recorded, "{name}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").unwrap();
        text
    })
}

fn decode_hex(text: &str) -> Vec<u8> {
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).unwrap()).collect()
}

fn keys() -> Keys {
    Keys::parse(KEY).unwrap()
}

fn address(i: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1000 + i))
}

/// Creates an identity from its serialized fields; `phase` is the index of the variant.
fn identity(i: u16, incarnation: u64, phase: u8) -> Identity {
    let fields = (format!("n{i}"), "west", address(i), 70 + u64::from(i), incarnation, phase);
    postcard::from_bytes(&postcard::to_stdvec(&fields).unwrap()).unwrap()
}

#[test]
fn each_kind_of_datagram_keeps_its_bytes() {
    let fragment = Fragment { index: 1, count: 3, bytes: b"fragment".to_vec() };
    let bodies = [
        ("challenge", Body::Challenge(0x0123_4567_89ab_cdef)),
        ("challenge_response", Body::ChallengeResponse(7, None)),
        (
            "challenge_response_with_body",
            Body::ChallengeResponse(7, Some(Box::new(Body::Gossip(3, vec![1, 2, 3])))),
        ),
        ("gossip", Body::Gossip(u64::MAX, vec![9; 20])),
        ("identity_request", Body::IdentityRequest),
        ("identity_response_serving", Body::IdentityResponse(identity(1, 1_700_000_000_000, 0))),
        ("identity_response_draining", Body::IdentityResponse(identity(2, 2, 1))),
        ("identity_response_left", Body::IdentityResponse(identity(3, 3, 2))),
        ("name_conflict", Body::NameConflict(identity(4, 4, 0))),
        ("rates", Body::Rates("n1".into(), vec![(name_hash("tenant"), 640), (1, 65535)])),
        ("fragment", Body::Fragment(12, fragment)),
    ];
    let mut text = String::new();
    for (name, body) in bodies {
        let packet = Packet {
            fleet_hash: name_hash("f"),
            process_id: 99,
            from: address(1),
            to: address(2),
            sequence_number: 300,
            body,
        };
        let bytes = encode(&keys(), &packet);
        writeln!(text, "{name} {}", hex(&bytes)).unwrap();
    }
    assert_golden("datagrams.txt", &text);
    for line in std::fs::read_to_string(golden_path("datagrams.txt")).unwrap().lines() {
        let (name, recorded) = line.split_once(' ').unwrap();
        let packet: Packet = decode(&keys(), &decode_hex(recorded), DATAGRAM_MAX).unwrap();
        assert_eq!(hex(&encode(&keys(), &packet)), recorded, "{name}, decoded and encoded again");
    }
}

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

#[test]
fn each_frame_of_a_state_synchronization_keeps_its_bytes() {
    let members = vec![
        (Member::alive(identity(1, 5, 0)), 0),
        (Member::new(identity(2, 6, 1), 3, State::Suspect), 0),
        (Member::down(identity(3, 7, 0)), 86_400_000),
    ];
    let mut text = String::new();
    for (name, sender, nonce, members) in [
        ("initiator", Some(identity(9, 8, 0)), 44, members.clone()),
        ("responder", Some(identity(9, 8, 2)), 0, members),
        ("yielded", None, 1, Vec::new()),
    ] {
        let (from, to) = (address(1), "[::1]:7946".parse().unwrap());
        let state = FullState {
            fleet_hash: name_hash("f"),
            process_id: 99,
            from,
            to,
            echoed_nonce: 33,
            nonce,
            sender,
            members,
        };
        writeln!(text, "{name} {}", hex(&encode(&keys(), &state))).unwrap();
    }
    assert_golden("states.txt", &text);
    for line in std::fs::read_to_string(golden_path("states.txt")).unwrap().lines() {
        let (name, recorded) = line.split_once(' ').unwrap();
        let state: FullState = decode(&keys(), &decode_hex(recorded), FRAME_MAX).unwrap();
        assert_eq!(hex(&encode(&keys(), &state)), recorded, "{name}, decoded and encoded again");
    }
}

/// Machines with fixed seeds and immediate delivery, and a trace of their actions.
struct Trace {
    machines: Vec<Machine>,
    running: Vec<bool>,
    now: Duration,
    digest: Sha256,
    datagrams: usize,
    text: String,
}

impl Trace {
    /// Number of datagrams that are recorded in full; the others only as a digest.
    const FULL_DATAGRAMS_MAX: usize = 60;

    fn new(nodes: u16) -> Trace {
        let machine = |i: u16| {
            let config = Config {
                fleet: "f".into(),
                name: format!("n{i}"),
                zone: if i.is_multiple_of(2) { "east".into() } else { String::new() },
                advertise: address(i),
                seeds: vec![address(0), address(1)],
                keys: keys(),
                timing: Timing { remove_after: Duration::from_secs(12), ..Timing::default() },
            };
            let start = ProcessStart {
                process_id: 50 + u64::from(i),
                unix_time_ms: 1_000,
                rng_seed: 7 + u64::from(i),
            };
            Machine::new(config, start, Duration::ZERO)
        };
        Trace {
            machines: (0..nodes).map(machine).collect(),
            running: vec![true; usize::from(nodes)],
            now: Duration::ZERO,
            digest: Sha256::new(),
            datagrams: 0,
            text: String::new(),
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += Duration::from_millis(10);
            for i in (0..self.machines.len()).filter(|i| self.running[*i]).collect::<Vec<_>>() {
                if self.machines[i].next_timeout() <= self.now {
                    self.machines[i].handle_timeout(self.now);
                }
                self.run_actions(i);
            }
        }
        let digest = hex(&self.digest.clone().finalize());
        writeln!(self.text, "{} ms: {} datagrams, {digest}", self.now.as_millis(), self.datagrams).unwrap();
    }

    fn run_actions(&mut self, i: usize) {
        while let Some(action) = self.machines[i].next_action() {
            let prefix = format!("{} ms n{i}", self.now.as_millis());
            match action {
                Action::Send { to, bytes } => self.deliver(&prefix, to, &bytes),
                Action::SyncState { to } => {
                    writeln!(self.text, "{prefix} synchronizes with {to}").unwrap();
                    self.synchronize(i, usize::from(to.port() - 1000));
                }
                Action::Rates { from, rates } => {
                    writeln!(self.text, "{prefix} rates of {from}: {rates:?}").unwrap()
                }
                Action::Message { from, bytes } => {
                    let digest = hex(&Sha256::digest(&bytes));
                    writeln!(self.text, "{prefix} message of {from}: {} bytes, {digest}", bytes.len())
                        .unwrap();
                }
                Action::Event(event) => writeln!(self.text, "{prefix} {}", describe(&event)).unwrap(),
            }
        }
    }

    fn deliver(&mut self, prefix: &str, to: SocketAddr, bytes: &[u8]) {
        self.datagrams += 1;
        self.digest.update(to.to_string());
        self.digest.update(bytes);
        if self.datagrams <= Trace::FULL_DATAGRAMS_MAX {
            writeln!(self.text, "{prefix} to {to}: {}", hex(bytes)).unwrap();
        }
        let to = usize::from(to.port() - 1000);
        if self.running[to] {
            self.machines[to].handle_datagram(self.now, bytes);
        }
    }

    fn synchronize(&mut self, from: usize, to: usize) {
        if !self.running[to] {
            return;
        }
        let challenge = self.machines[to].generate_nonce();
        let (pending, state) = self.machines[from].request_sync(self.now, address(to as u16), challenge);
        let response = self.machines[to].respond_to_sync(self.now, challenge, &state);
        writeln!(self.text, "state {}", hex(&state)).unwrap();
        if let Some(response) = response {
            writeln!(self.text, "response {}", hex(&response)).unwrap();
            self.machines[from].complete_sync(self.now, pending, &response);
        }
    }
}

fn describe(event: &MembershipEvent) -> String {
    let with_identity = |event_name: &str, id: &Identity| {
        format!("{event_name} {} {:?} {} {} {}", id.name, id.zone, id.address, id.process_id, id.incarnation)
    };
    match event {
        MembershipEvent::Up(id) => with_identity("up", id),
        MembershipEvent::Down(id) => with_identity("down", id),
        MembershipEvent::Left(id) => with_identity("left", id),
        MembershipEvent::Removed(name) => format!("removed {name}"),
        MembershipEvent::Rejoined(incarnation) => format!("rejoined {incarnation}"),
        MembershipEvent::Yielded(id) => with_identity("yielded", id),
        MembershipEvent::NameConflict(id) => with_identity("name_conflict", id),
    }
}

/// Runs a small fleet through joins, messages of other subsystems, draining, a death, a state synchronization, a rejoin
/// and a leave, and compares each datagram and event.
#[test]
fn a_small_fleet_exchanges_the_recorded_datagrams() {
    let mut trace = Trace::new(4);
    trace.run(5);
    let now = trace.now;
    trace.machines[1].send_rates(now, "n2", vec![(name_hash("tenant"), 64), (name_hash("other"), 1)]);
    let message: Vec<u8> = (0..3000u32).map(|i| (i % 251) as u8).collect();
    trace.machines[2].send_message(now, address(3), &message);
    trace.machines[3].send_message(now, address(0), b"");
    trace.run(1);
    trace.machines[1].set_draining(trace.now, true);
    trace.run(2);
    trace.machines[1].set_draining(trace.now, false);
    trace.running[3] = false;
    trace.run(12);
    trace.synchronize(0, 2);
    trace.running[3] = true;
    trace.run(10);
    trace.machines[2].leave(trace.now);
    trace.run_actions(2);
    trace.running[2] = false;
    trace.run(15);
    for machine in &trace.machines {
        let view = machine.view(trace.now);
        let names: Vec<&str> = view.present_names().collect();
        let size = machine.fleet_size(trace.now, 9);
        let counts = (size.dispatchers, size.ordinal, size.senders);
        writeln!(trace.text, "{} {} {names:?} {counts:?}", view.node, view.incarnation).unwrap();
    }
    assert_golden("trace.txt", &trace.text);
}

/// Error messages for invalid fleet files and key files.
#[test]
fn errors_in_fleet_and_key_files_keep_their_messages() {
    let head = "fleet = \"f\"\nlisten = \"127.0.0.1:7946\"\nkey_file = \"k\"\n";
    let voters = "voters = [{name=\"a\",at=\"1.1.1.1:1\"},{name=\"b\",at=\"1.1.1.1:2\"},{name=\"c\",at=\"1.1.1.1:3\"}]\n";
    let with_duties = format!("{head}[duties]\n{voters}");
    let with_errand = |lines: &str| format!("{with_duties}[[duties.errand]]\n{lines}");
    let call = "name = \"x\"\nat = \"1.1.1.1:1\"\npath = \"/run\"\n";
    let files = [
        String::new(),
        "fleet = 1\n".into(),
        "fleet = \"f\"\nlisten = \"nowhere\"\nkey_file = \"k\"\n".into(),
        head.replace("127.0.0.1", "0.0.0.0"),
        head.replace("\"f\"", "\"\""),
        head.replace("\"f\"", &format!("\"{}\"", "f".repeat(65))),
        format!("{head}zone = \"\"\n"),
        format!("{head}seeds = [\"127.0.0.1:1\", \"x\"]\n"),
        format!("{head}unknown = 1\n"),
        format!("{head}[timing]\nprobe_ms = 1\n"),
        format!("{head}[timing]\nprobe_ms = 500\nanswer_ms = 300\n"),
        format!("{head}[timing]\nsuspicion_ms = 600000\nforget_s = 10\n"),
        format!("{head}[timing]\nforget_s = \"day\"\n"),
        format!("{head}[duties]\nvoters = [{{name=\"a\",at=\"1.1.1.1:1\"}}]\n"),
        with_duties.replace("name=\"b\"", "name=\"a\""),
        with_duties.replace("1.1.1.1:3", "none"),
        format!("{with_duties}lease_ms = 1\n"),
        format!("{with_duties}election_ms = 70000\n"),
        with_errand(&call.replace("/run", "run")),
        with_errand(&call.replace("\"x\"", &format!("\"{}\"", "x".repeat(49)))),
        with_errand(&call.replace("\"x\"", "\"\"")),
        with_errand(&format!("{call}every_ms = 1\n")),
        with_errand(&format!("{call}[[duties.errand]]\n{call}")),
    ];
    let mut text = String::new();
    for file in files {
        let error = FleetFile::parse(&file).unwrap_err();
        writeln!(text, "{} {error}", error.line()).unwrap();
    }
    let key = "00112233445566778899aabbccddeeff";
    let key_files = [
        String::new(),
        "current\n".into(),
        "current 00\n".into(),
        "current 00112233445566778899aabbccddeefg".into(),
        format!("current {key}\ncurrent {key}"),
        format!("# one\n\ncurrent {key}\nnext {key}"),
        format!("previous {key}\n# end"),
    ];
    for file in key_files {
        let Err(error) = Keys::parse(&file) else { panic!("{file}") };
        writeln!(text, "{} {error}", error.line()).unwrap();
    }
    assert_golden("file_errors.txt", &text);
}
