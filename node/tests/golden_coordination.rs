//! Encoded coordination messages between nodes, and the status that operators see, compared with files recorded from
//! version 6e5c6e9. `GOLDEN_RECORD=1` records the files again and fails.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

use coordination::{
    BroadcastMessage, BroadcastMetrics, ChangeKind, ClusterStatus, Holder, LeaseRecord, LeaseTable, Message,
    Outcome, Response, RestartProgress, VoterMember, VoterMetrics, VoterState,
};
use molevale::coordination::{
    fetch_status, ListBroadcastStatus, NodeMessage, RestartMessage, RestartRequest, Status,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A time in the far future: the time elapsed since then saturates at zero, whenever the test runs.
const FUTURE_MS: u64 = 1 << 53;

fn assert_golden(file: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
        panic!("{} was recorded again: nothing was compared", path.display());
    }
    assert_eq!(text, std::fs::read_to_string(&path).unwrap(), "{file}");
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn messages_between_nodes_encode_to_recorded_bytes_and_round_trip() {
    let response = Response { request_id: 7, process_id: 300, voter: "v0".into(), outcome: Outcome::Done };
    let messages = [
        ("duties", NodeMessage::Coordination(Message::Response(response))),
        ("lists", NodeMessage::Lists(BroadcastMessage::Fetch { source: 300, version: 41 })),
        (
            "roll/begin",
            NodeMessage::RollingRestart(RestartMessage::Requested(RestartRequest::Start {
                id: 1_700_000_000_789,
                max_unavailable: 2,
            })),
        ),
        ("roll/stop", NodeMessage::RollingRestart(RestartMessage::Requested(RestartRequest::Stop))),
        (
            "roll/go",
            NodeMessage::RollingRestart(RestartMessage::Restart { token: 300, process_id: u64::MAX }),
        ),
        ("roll/look", NodeMessage::RollingRestart(RestartMessage::HealthQuery { token: 301 })),
        (
            "roll/health",
            NodeMessage::RollingRestart(RestartMessage::HealthReport {
                process_id: 302,
                failed: 3,
                ended: 400,
            }),
        ),
    ];
    let mut text = String::new();
    for (name, message) in messages {
        let bytes = postcard::to_stdvec(&message).unwrap();
        let decoded: NodeMessage = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(postcard::to_stdvec(&decoded).unwrap(), bytes, "{name}");
        text += &format!("{name} {}\n", hex(&bytes));
    }
    assert_golden("coordination-messages.txt", &text);
}

fn cluster_status(restart: Option<RestartProgress>) -> ClusterStatus {
    let holder = |name: &str| Some(Holder { name: name.into(), process_id: 9 });
    let lease = |holder, token, state| LeaseRecord { holder, token, granted_at_ms: FUTURE_MS, state };
    let saved_state = restart.map(|progress| postcard::to_stdvec(&progress).unwrap()).unwrap_or_default();
    let change = |kind, token| coordination::LeaseChange {
        lease: "lists/z".into(),
        kind,
        holder: "node-1".into(),
        token,
        at_ms: FUTURE_MS,
    };
    let table = LeaseTable {
        last_token: 302,
        leases: BTreeMap::from([
            ("errand/a".to_string(), lease(holder("node-1"), 300, vec![1])),
            ("lists/z".to_string(), lease(None, 301, vec![])),
            ("roll".to_string(), lease(holder("node-2"), 302, saved_state)),
        ]),
        voters: BTreeMap::from([
            (1, VoterMember { name: "v0".into(), address: SocketAddr::from(([127, 0, 0, 1], 7000)) }),
            (2, VoterMember { name: "v1".into(), address: SocketAddr::from(([127, 0, 0, 1], 7001)) }),
        ]),
        history: VecDeque::from([change(ChangeKind::Granted, 301), change(ChangeKind::Released, 301)]),
    };
    ClusterStatus {
        table,
        cluster_id: 99,
        term: 12,
        remaining_ms: vec![("errand/a".into(), 8_540), ("roll".into(), 0)],
    }
}

fn progress(outcome: Option<coordination::RestartOutcome>) -> RestartProgress {
    let in_progress = vec![("node-3".into(), 33), ("node-4".into(), 44)];
    RestartProgress {
        id: 5,
        max_unavailable: 2,
        cursor: "node-4".into(),
        in_progress,
        total: 60,
        completed: 2,
        outcome,
    }
}

fn statuses() -> Vec<Status> {
    let status = |voter, held, lists, cluster| Status {
        node: "node-1".into(),
        voter,
        metrics: VoterMetrics {
            messages_sent: 1,
            writes: 2,
            grants: 3,
            renewals: 4,
            elections: 5,
            rejected: 6,
        },
        held,
        lists,
        rejected_calls: 7,
        cluster,
    };
    let metrics = BroadcastMetrics { sent: 1, applied: 2, holder_timeouts: 3, stale_messages: 4 };
    let lists = Some(ListBroadcastStatus { polls_discovery: true, version: 41, metrics });
    let held = vec![("errand/a".to_string(), 300, 8_000), ("roll".to_string(), 302, 1)];
    let failed = VoterState::StorageFailed("the disk refuses: full".into());
    let other_states =
        [VoterState::Waiting, VoterState::Follower, VoterState::NotMember, VoterState::StaleCopy];
    let outcomes = [
        coordination::RestartOutcome::Completed,
        coordination::RestartOutcome::Cancelled,
        coordination::RestartOutcome::NodeNotReturned("node-3".into()),
        coordination::RestartOutcome::RequestsFailed(2, 30),
    ];
    let mut all = vec![
        status(Some(VoterState::Leader), held.clone(), lists, Some(cluster_status(Some(progress(None))))),
        status(
            Some(failed),
            held,
            None,
            Some(cluster_status(Some(progress(Some(coordination::RestartOutcome::NodesMissing(3)))))),
        ),
        status(Some(VoterState::Recovering), Vec::new(), None, Some(cluster_status(None))),
        status(None, Vec::new(), None, None),
    ];
    all.extend(other_states.into_iter().map(|state| status(Some(state), Vec::new(), None, None)));
    let ended = |outcome| status(None, Vec::new(), None, Some(cluster_status(Some(progress(Some(outcome))))));
    all.extend(outcomes.into_iter().map(ended));
    all
}

/// Output of the command `fleet duties` for this JSON.
async fn command_output(body: &str, json: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len());
    let serve = async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut head = [0; 4096];
        let length = socket.read(&mut head).await.unwrap();
        socket.write_all(answer.as_bytes()).await.unwrap();
        String::from_utf8_lossy(&head[..length]).lines().next().unwrap_or_default().to_string()
    };
    let (request_line, printed) = tokio::join!(serve, fetch_status(address, json));
    assert_eq!(request_line, "GET /fleet/duties HTTP/1.1");
    printed.unwrap()
}

#[tokio::test]
async fn status_json_and_printed_text_are_as_recorded() {
    let mut text = String::new();
    for status in statuses() {
        let json = serde_json::to_string(&status).unwrap();
        let decoded: Status = serde_json::from_str(&json).unwrap();
        assert_eq!(serde_json::to_string(&decoded).unwrap(), json);
        assert_eq!(command_output(&json, true).await, json);
        text += &format!("{json}\n{}\n", command_output(&json, false).await);
    }
    assert_golden("coordination-status.txt", &text);
}
