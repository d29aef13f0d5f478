//! A sample of each message between voters, clients and nodes of the list broadcast, with fixed field values.

use coordination::{
    BroadcastMessage, BroadcastMetrics, ChangeKind, ClusterStatus, Handshake, HandshakeAnswer, Holder,
    LeaseChange, LeaseRecord, LeaseTable, ListEntry, Message, Operation, Outcome, ProcessStart, Request,
    Response, RestartOutcome, RestartProgress, VoterMember, VoterMetrics, VoterState, VoterStatus,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Predicate on encoded bytes.
pub type BytesCheck = Box<dyn Fn(&[u8]) -> bool>;

/// Sample of a message, with its encoding.
pub struct Sample {
    pub name: String,
    pub encoded: Vec<u8>,
    /// Returns whether these bytes decode to the message.
    pub decodes_to_the_same: BytesCheck,
}

fn sample<M>(name: &str, message: M) -> Sample
where
    M: Serialize + DeserializeOwned + PartialEq + 'static,
{
    Sample {
        name: name.to_string(),
        encoded: postcard::to_stdvec(&message).unwrap(),
        decodes_to_the_same: Box::new(move |bytes| postcard::from_bytes::<M>(bytes).unwrap() == message),
    }
}

fn ipv4_address() -> SocketAddr {
    "127.0.0.1:7946".parse().unwrap()
}

fn ipv6_address() -> SocketAddr {
    "[2001:db8::7]:65535".parse().unwrap()
}

fn holder() -> Holder {
    Holder { name: "node-1".into(), process_id: 0x0102_0304_0506_0708 }
}

fn lease_table() -> LeaseTable {
    let record = |holder, token, state: &[u8]| LeaseRecord {
        holder,
        token,
        granted_at_ms: 1_700_000_000_123,
        state: state.to_vec(),
    };
    let change = |kind, token| LeaseChange {
        lease: "lists/z".into(),
        kind,
        holder: "node-1".into(),
        token,
        at_ms: 1_700_000_000_456,
    };
    LeaseTable {
        last_token: 1_700_000_000_009,
        leases: BTreeMap::from([
            ("errand/a".to_string(), record(Some(holder()), 1_700_000_000_009, &[1, 2, 255])),
            ("lists/z".to_string(), record(None, 300, &[])),
        ]),
        voters: BTreeMap::from([
            (17, VoterMember { name: "v0".into(), address: ipv4_address() }),
            (u64::MAX, VoterMember { name: "v1".into(), address: ipv6_address() }),
        ]),
        history: VecDeque::from([change(ChangeKind::Granted, 300), change(ChangeKind::Released, 300)]),
    }
}

fn cluster_status() -> ClusterStatus {
    ClusterStatus {
        table: lease_table(),
        cluster_id: 99,
        term: 12,
        remaining_ms: vec![("errand/a".into(), 8_500)],
    }
}

fn handshake(status: Option<(u64, VoterStatus)>) -> Message {
    let start = |starts| ProcessStart { starts, process_id: 5 };
    let answer = status.map(|(starts, status)| HandshakeAnswer { start: start(starts), status });
    Message::Handshake(Handshake {
        name: "v0".into(),
        disk_id: 17,
        starts: 3,
        process_id: 0xffff_0000_1111_2222,
        cluster_id: answer.map(|_| 99),
        initial_voters_digest: 0x8000_0000_0000_0001,
        answer,
    })
}

fn request(operation: Operation) -> Message {
    Message::Request(Request { id: 130, client: holder(), last_response_age_ms: 1_500, operation })
}

fn response(outcome: Outcome) -> Message {
    Message::Response(Response {
        request_id: 131,
        process_id: 0x0102_0304_0506_0708,
        voter: "v2".into(),
        outcome,
    })
}

fn voter_messages() -> Vec<Sample> {
    let raft = Message::Raft { cluster_id: 99, from: 17, to: 23, bytes: vec![8, 1, 16, 200] };
    vec![
        sample("raft", raft),
        sample("handshake/request", handshake(None)),
        sample("handshake/current", handshake(Some((4, VoterStatus::Current)))),
        sample("handshake/not-member", handshake(Some((4, VoterStatus::NotMember)))),
        sample("handshake/stale-copy", handshake(Some((u64::MAX, VoterStatus::StaleCopy)))),
    ]
}

fn client_messages() -> Vec<Sample> {
    let lease = || "lists/z".to_string();
    let member = VoterMember { name: "v3".into(), address: ipv6_address() };
    vec![
        sample("request/acquire", request(Operation::Acquire { lease: lease(), token: 300 })),
        sample("request/release", request(Operation::Release { lease: lease(), token: 301 })),
        sample(
            "request/save-state",
            request(Operation::SaveState { lease: lease(), token: 302, state: vec![9, 0, 128] }),
        ),
        sample("request/status", request(Operation::Status)),
        sample("request/add-voter", request(Operation::AddVoter(member))),
        sample("request/remove-voter", request(Operation::RemoveVoter("v3".into()))),
        sample("response/granted", response(Outcome::Granted { lease: lease(), token: 303, state: vec![5] })),
        sample(
            "response/held-by-other",
            response(Outcome::HeldByOther { lease: lease(), holder: "node-2".into(), token: 304 }),
        ),
        sample("response/not-holder", response(Outcome::NotHolder { lease: lease(), token: 305 })),
        sample("response/done", response(Outcome::Done)),
        sample("response/confirm-receipt", response(Outcome::ConfirmReceipt)),
        sample("response/not-leader", response(Outcome::NotLeader(Some(ipv4_address())))),
        sample("response/not-leader/unknown", response(Outcome::NotLeader(None))),
        sample("response/rejected", response(Outcome::Rejected("it is the last voter".into()))),
        sample("response/status", response(Outcome::Status(Box::new(cluster_status())))),
    ]
}

fn broadcast_messages() -> Vec<Sample> {
    let entry = |key: &str, removed| ListEntry { key: key.into(), removed, bytes: b"{\"id\":1}".to_vec() };
    let heartbeat = BroadcastMessage::Heartbeat {
        token: 300,
        holder: "node-1".into(),
        sequence: 4,
        source: 7,
        version: 1 << 40,
    };
    let chunk = BroadcastMessage::Chunk {
        token: 300,
        source: 7,
        base_version: 41,
        version: 42,
        index: 1,
        count: 256,
        entries: vec![entry("w1", false), entry("w2", true)],
    };
    vec![
        sample("broadcast/heartbeat", heartbeat),
        sample("broadcast/fetch", BroadcastMessage::Fetch { source: 7, version: 41 }),
        sample("broadcast/chunk", chunk),
    ]
}

fn restart_progress(outcome: Option<RestartOutcome>) -> RestartProgress {
    RestartProgress {
        id: 1_700_000_000_789,
        max_unavailable: 2,
        cursor: "node-4".into(),
        in_progress: vec![("node-3".into(), 33), ("node-4".into(), u64::MAX)],
        total: 60,
        completed: 2,
        outcome,
    }
}

fn saved_progress() -> Vec<Sample> {
    vec![
        sample("restart/in progress", restart_progress(None)),
        sample("restart/completed", restart_progress(Some(RestartOutcome::Completed))),
        sample("restart/cancelled", restart_progress(Some(RestartOutcome::Cancelled))),
        sample(
            "restart/node not returned",
            restart_progress(Some(RestartOutcome::NodeNotReturned("node-3".into()))),
        ),
        sample("restart/nodes missing", restart_progress(Some(RestartOutcome::NodesMissing(300)))),
        sample("restart/requests failed", restart_progress(Some(RestartOutcome::RequestsFailed(2, 30)))),
    ]
    .into_iter()
    .map(|s| Sample { name: s.name.replace(' ', "-"), ..s })
    .collect()
}

/// Returns the samples of all messages.
pub fn samples() -> Vec<Sample> {
    let mut all = voter_messages();
    all.extend(client_messages());
    all.extend(broadcast_messages());
    all.extend(saved_progress());
    all.push(sample("lease-table", lease_table()));
    all
}

/// Returns this crate's types in a node's status, encoded as JSON.
pub fn status_json() -> Vec<(String, String)> {
    let voter_metrics =
        VoterMetrics { messages_sent: 1, writes: 2, grants: 3, renewals: 4, elections: 5, rejected: 6 };
    let broadcast_metrics = BroadcastMetrics { sent: 1, applied: 2, holder_timeouts: 3, stale_messages: 4 };
    let voter_states = vec![
        VoterState::Waiting,
        VoterState::Recovering,
        VoterState::Follower,
        VoterState::Leader,
        VoterState::NotMember,
        VoterState::StaleCopy,
        VoterState::StorageFailed("storage failed: full".into()),
    ];
    fn json<T: Serialize + DeserializeOwned + PartialEq>(name: &str, value: &T) -> (String, String) {
        let text = serde_json::to_string(value).unwrap();
        assert!(serde_json::from_str::<T>(&text).unwrap() == *value, "{name}");
        (name.to_string(), text)
    }
    vec![
        json("status", &cluster_status()),
        json("voter_metrics", &voter_metrics),
        json("broadcast_metrics", &broadcast_metrics),
        json("voter_states", &voter_states),
        json("restart_progress", &restart_progress(Some(RestartOutcome::RequestsFailed(2, 30)))),
    ]
}
