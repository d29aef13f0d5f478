//! One of each message between voters, clients and the list broadcast, all fields set to fixed values.

use coordination::{
    BroadcastMessage, BroadcastMetrics, ChangeKind, ClusterStatus, Handshake, HandshakeAnswer, Holder,
    LeaseChange, LeaseRecord, LeaseTable, ListEntry, Message, Operation, Outcome, ProcessStart, Request,
    Response, RestartOutcome, RestartProgress, VoterMember, VoterMetrics, VoterState, VoterStatus,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Check of encoded bytes.
pub type Check = Box<dyn Fn(&[u8]) -> bool>;

/// A message with its encoding.
pub struct Sample {
    pub name: String,
    pub encoded: Vec<u8>,
    /// Whether these bytes decode to the message.
    pub decodes_to_the_same: Check,
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

fn v4() -> SocketAddr {
    "127.0.0.1:7946".parse().unwrap()
}

fn v6() -> SocketAddr {
    "[2001:db8::7]:65535".parse().unwrap()
}

fn holder() -> Holder {
    Holder { name: "node-1".into(), process_id: 0x0102_0304_0506_0708 }
}

fn table() -> LeaseTable {
    let held = |holder, token, left: &[u8]| LeaseRecord {
        holder,
        token,
        granted_at_ms: 1_700_000_000_123,
        state: left.to_vec(),
    };
    let change = |what, token| LeaseChange {
        lease: "lists/z".into(),
        kind: what,
        holder: "node-1".into(),
        token,
        at_ms: 1_700_000_000_456,
    };
    LeaseTable {
        last_token: 1_700_000_000_009,
        leases: BTreeMap::from([
            ("errand/a".to_string(), held(Some(holder()), 1_700_000_000_009, &[1, 2, 255])),
            ("lists/z".to_string(), held(None, 300, &[])),
        ]),
        voters: BTreeMap::from([
            (17, VoterMember { name: "v0".into(), address: v4() }),
            (u64::MAX, VoterMember { name: "v1".into(), address: v6() }),
        ]),
        history: VecDeque::from([change(ChangeKind::Granted, 300), change(ChangeKind::Released, 300)]),
    }
}

fn told() -> ClusterStatus {
    ClusterStatus { table: table(), cluster_id: 99, term: 12, remaining_ms: vec![("errand/a".into(), 8_500)] }
}

fn hello(status: Option<(u64, VoterStatus)>) -> Message {
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

fn ask(wish: Operation) -> Message {
    Message::Request(Request { id: 130, client: holder(), last_response_age_ms: 1_500, operation: wish })
}

fn answer(reply: Outcome) -> Message {
    Message::Response(Response {
        request_id: 131,
        process_id: 0x0102_0304_0506_0708,
        voter: "v2".into(),
        outcome: reply,
    })
}

fn voter_messages() -> Vec<Sample> {
    let raft = Message::Raft { cluster_id: 99, from: 17, to: 23, bytes: vec![8, 1, 16, 200] };
    vec![
        sample("raft", raft),
        sample("hello/question", hello(None)),
        sample("hello/fine", hello(Some((4, VoterStatus::Current)))),
        sample("hello/unseated", hello(Some((4, VoterStatus::NotMember)))),
        sample("hello/older", hello(Some((u64::MAX, VoterStatus::StaleCopy)))),
    ]
}

fn client_messages() -> Vec<Sample> {
    let lease = || "lists/z".to_string();
    let seat = VoterMember { name: "v3".into(), address: v6() };
    vec![
        sample("ask/have", ask(Operation::Acquire { lease: lease(), token: 300 })),
        sample("ask/give", ask(Operation::Release { lease: lease(), token: 301 })),
        sample("ask/leave", ask(Operation::SaveState { lease: lease(), token: 302, state: vec![9, 0, 128] })),
        sample("ask/show", ask(Operation::Status)),
        sample("ask/add", ask(Operation::AddVoter(seat))),
        sample("ask/remove", ask(Operation::RemoveVoter("v3".into()))),
        sample("answer/granted", answer(Outcome::Granted { lease: lease(), token: 303, state: vec![5] })),
        sample(
            "answer/busy",
            answer(Outcome::HeldByOther { lease: lease(), holder: "node-2".into(), token: 304 }),
        ),
        sample("answer/gone", answer(Outcome::NotHolder { lease: lease(), token: 305 })),
        sample("answer/done", answer(Outcome::Done)),
        sample("answer/listen", answer(Outcome::ConfirmReceipt)),
        sample("answer/elsewhere", answer(Outcome::NotLeader(Some(v4())))),
        sample("answer/elsewhere/unknown", answer(Outcome::NotLeader(None))),
        sample("answer/no", answer(Outcome::Rejected("it is the last voter".into()))),
        sample("answer/shown", answer(Outcome::Status(Box::new(told())))),
    ]
}

fn list_messages() -> Vec<Sample> {
    let line = |key: &str, gone| ListEntry { key: key.into(), removed: gone, bytes: b"{\"id\":1}".to_vec() };
    let beat = BroadcastMessage::Heartbeat {
        token: 300,
        holder: "node-1".into(),
        sequence: 4,
        source: 7,
        version: 1 << 40,
    };
    let part = BroadcastMessage::Chunk {
        token: 300,
        source: 7,
        base_version: 41,
        version: 42,
        index: 1,
        count: 256,
        entries: vec![line("w1", false), line("w2", true)],
    };
    vec![
        sample("lists/beat", beat),
        sample("lists/want", BroadcastMessage::Fetch { source: 7, version: 41 }),
        sample("lists/part", part),
    ]
}

fn roll_progress(end: Option<RestartOutcome>) -> RestartProgress {
    RestartProgress {
        id: 1_700_000_000_789,
        max_unavailable: 2,
        cursor: "node-4".into(),
        in_progress: vec![("node-3".into(), 33), ("node-4".into(), u64::MAX)],
        total: 60,
        completed: 2,
        outcome: end,
    }
}

fn left_by_a_roll() -> Vec<Sample> {
    vec![
        sample("roll/progress", roll_progress(None)),
        sample("roll/done", roll_progress(Some(RestartOutcome::Completed))),
        sample("roll/asked", roll_progress(Some(RestartOutcome::Cancelled))),
        sample("roll/not back", roll_progress(Some(RestartOutcome::NodeNotReturned("node-3".into())))),
        sample("roll/missing", roll_progress(Some(RestartOutcome::NodesMissing(300)))),
        sample("roll/jobs fail", roll_progress(Some(RestartOutcome::RequestsFailed(2, 30)))),
    ]
    .into_iter()
    .map(|s| Sample { name: s.name.replace(' ', "-"), ..s })
    .collect()
}

/// All messages.
pub fn samples() -> Vec<Sample> {
    let mut all = voter_messages();
    all.extend(client_messages());
    all.extend(list_messages());
    all.extend(left_by_a_roll());
    all.push(sample("table", table()));
    all
}

/// What a node's status has of this crate's types, as JSON.
pub fn status_json() -> Vec<(String, String)> {
    let figures =
        VoterMetrics { messages_sent: 1, writes: 2, grants: 3, renewals: 4, elections: 5, rejected: 6 };
    let counts = BroadcastMetrics { sent: 1, applied: 2, holder_timeouts: 3, stale_messages: 4 };
    let standings = vec![
        VoterState::Waiting,
        VoterState::Recovering,
        VoterState::Follower,
        VoterState::Leader,
        VoterState::NotMember,
        VoterState::StaleCopy,
        VoterState::StorageFailed("the disk refuses: full".into()),
    ];
    fn json<T: Serialize + DeserializeOwned + PartialEq>(name: &str, value: &T) -> (String, String) {
        let text = serde_json::to_string(value).unwrap();
        assert!(serde_json::from_str::<T>(&text).unwrap() == *value, "{name}");
        (name.to_string(), text)
    }
    vec![
        json("told", &told()),
        json("figures", &figures),
        json("counts", &counts),
        json("standings", &standings),
        json("progress", &roll_progress(Some(RestartOutcome::RequestsFailed(2, 30)))),
    ]
}
