//! Messages of the platform's HTTP protocol, shared by stand-ins and tests.

use serde_json::{json, Value};
use std::net::SocketAddr;
use tokio::io::{AsyncBufRead, AsyncBufReadExt};

/// Longest message head that a stand-in reads, in bytes.
const HEAD_MAX: usize = 16 * 1024;

/// Reads a message head; `None` at the end of the connection, or if the head is invalid or too long.
pub async fn head(stream: &mut (impl AsyncBufRead + Unpin)) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if head.len() > HEAD_MAX || stream.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Returns the value of a header field.
pub fn field(head: &str, name: &str) -> Option<String> {
    let line = head.lines().filter_map(|l| l.split_once(": ")).find(|(n, _)| n.eq_ignore_ascii_case(name))?;
    Some(line.1.to_string())
}

/// Returns the length of the body that follows a head.
pub fn length(head: &str) -> usize {
    field(head, "content-length").and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Returns the status code of a response head.
pub fn status(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

/// Formats a client request with this body; class `lodge` has the idempotency key `k1`.
pub fn request(class: &str, id: &str, deadline: f64, body: &str) -> String {
    let key = if class == "lodge" { Some("k1") } else { None };
    request_with_fields(class, id, "sava", key, deadline, None, body)
}

/// Formats a client request with all its header fields.
pub fn request_with_fields(
    class: &str,
    id: &str,
    tenant: &str,
    key: Option<&str>,
    deadline: f64,
    hint_us: Option<u64>,
    body: &str,
) -> String {
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let hint = hint_us.map_or(String::new(), |us| format!("X-Cost-Hint: {us}\r\n"));
    format!(
        "POST /{class}?user=00ff&x=a%20b HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tenant: {tenant}\r\nX-Deadline: {deadline:.3}\r\n{key}{hint}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a worker's entry of the endpoint list.
pub fn endpoint_entry(id: &str, address: SocketAddr, phase: &str, since_ms: u64) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "ljubljana", "flavor": "gen-a", "cell": 0,
        "phase": phase, "size": 1.0, "up_since_ms": since_ms})
}

/// Returns settings of two classes and one tenant, in the nested form of a node's configuration.
pub fn settings(cancelling: bool, aim_us: u64) -> Value {
    json!({
        "Azs": ["ljubljana"], "HostTypes": ["gen-a"], "Siblings": 1, "ResolutionUs": 1000,
        "Stats": {"Fields": ["err_ps", "depth", "x0"]},
        "FamilyInfo": {"TellsStart": true, "ReportX0": "free_slots"},
        "Limits": {"MaxAttempts": 3, "Cancelling": cancelling, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000,
            "ConnectTimeoutUs": 250_000, "ConnIdleUs": 60_000_000},
        "Parties": [{"Name": "sava", "QuotaPerS": 1000.0, "Share": 1.0}],
        "Profiles": [
            {"Name": "check", "AimUs": aim_us, "DeadlineUs": aim_us.max(5_000_000), "Worth": 2.0, "Semantics": "safe"},
            {"Name": "lodge", "AimUs": aim_us, "DeadlineUs": aim_us.max(8_000_000), "Worth": 5.0, "Semantics": "keyed",
                "Group": "all", "RepeatWindowUs": 20_000_000},
        ],
    })
}
