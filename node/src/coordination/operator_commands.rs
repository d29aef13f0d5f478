//! Commands `molevale fleet duties`, `fleet roll` and `fleet voter`: calls to a node's management address, and the text
//! of the response.

use super::status::Status;
use crate::operator_client::{call, CallError};
use ::coordination::{ChangeKind, ClusterStatus, LeaseTable, RestartProgress, VoterState};
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Number of lease changes that are shown.
const CHANGES_SHOWN: usize = 10;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum OperatorCommandError {
    /// The node can't be reached or does not respond.
    #[error(transparent)]
    Unreachable(#[from] CallError),
    /// The node rejected the command.
    #[error("{address}: {reason}")]
    Rejected {
        /// Management address.
        address: SocketAddr,
        /// Body of the response.
        reason: String,
    },
    /// The response is not a status report.
    #[error("{address}: invalid status report: {source}")]
    InvalidReport {
        /// Management address.
        address: SocketAddr,
        /// JSON error.
        #[source]
        source: serde_json::Error,
    },
}

/// Requests the status of the node at a management address and of the voters, and returns it as JSON or as text.
///
/// # Errors
///
/// [`OperatorCommandError`] if the node does not respond with a status.
pub async fn fetch_status(address: SocketAddr, json: bool) -> Result<String, OperatorCommandError> {
    let call = call(address, Method::GET, "/fleet/duties").await;
    let (status, body) = call?;
    if status != StatusCode::OK {
        let reason = String::from_utf8_lossy(&body).trim().to_string();
        return Err(OperatorCommandError::Rejected { address, reason });
    }
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let status: Status = serde_json::from_slice(&body)
        .map_err(|source| OperatorCommandError::InvalidReport { address, source })?;
    Ok(format_status(&status))
}

/// Sends the operator's command that `path` names, and returns the node's response.
///
/// # Errors
///
/// [`OperatorCommandError`] if the node does not respond or rejects the command.
pub async fn send_command(address: SocketAddr, path: &str) -> Result<String, OperatorCommandError> {
    let call = call(address, Method::POST, path).await;
    let (status, body) = call?;
    let text = String::from_utf8_lossy(&body).trim().to_string();
    match status {
        StatusCode::OK => Ok(format!("{text}\n")),
        _ => Err(OperatorCommandError::Rejected { address, reason: text }),
    }
}

fn format_status(status: &Status) -> String {
    let voter = match &status.voter {
        None => "no voter".to_string(),
        Some(VoterState::StorageFailed(reason)) => format!("its voter is broken: {reason}"),
        Some(state) => format!("its voter is {}", state_name(state)),
    };
    let held: Vec<String> =
        status.held.iter().map(|(lease, token, _)| format!("{lease} under {token}")).collect();
    let held = match held.as_slice() {
        [] => "nothing".to_string(),
        held => held.join(", "),
    };
    let cluster = match &status.cluster {
        None => "no voter that leads answers: nothing is granted now, and jobs go on\n".to_string(),
        Some(cluster) => format_cluster(cluster),
    };
    format!("{}: {voter}; it holds {held}\n{cluster}", status.node)
}

/// Name of a voter's state, as in the JSON status.
fn state_name(state: &VoterState) -> &'static str {
    match state {
        VoterState::Waiting => "waiting",
        VoterState::Recovering => "returning",
        VoterState::Follower => "voting",
        VoterState::Leader => "leading",
        VoterState::NotMember => "unseated",
        VoterState::StaleCopy => "older",
        VoterState::StorageFailed(_) => "broken",
    }
}

fn format_cluster(cluster: &ClusterStatus) -> String {
    let voters: Vec<String> =
        cluster.table.voters.values().map(|voter| format!("{} ({})", voter.name, voter.address)).collect();
    let restart = format_restart(&cluster.table);
    let (leases, changes) = (lease_table(cluster), change_table(&cluster.table));
    format!("voters: {}; term {}\n{restart}{leases}\n\n{changes}\n", voters.join(", "), cluster.term)
}

/// Time elapsed since a Unix time in milliseconds.
fn elapsed_since(unix_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{:.0} s", now.saturating_sub(Duration::from_millis(unix_ms)).as_secs_f64())
}

fn lease_table(cluster: &ClusterStatus) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["DUTY", "HOLDER", "TOKEN", "LEASE LEFT", "SINCE"]);
    for (lease, record) in &cluster.table.leases {
        let remaining = cluster.remaining_ms.iter().find(|(name, _)| name == lease);
        let remaining_ms = remaining.map_or(0, |(_, ms)| *ms);
        let holder = match &record.holder {
            Some(holder) if remaining_ms > 0 => holder.name.clone(),
            Some(holder) => format!("nobody (was {})", holder.name),
            None => "nobody".to_string(),
        };
        let remaining = format!("{:.1} s", remaining_ms as f64 / 1000.0);
        let token = record.token.to_string();
        table.add_row([lease.clone(), holder, token, remaining, elapsed_since(record.granted_at_ms)]);
    }
    table
}

fn change_table(leases: &LeaseTable) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["AGO", "DUTY", "WHAT", "WHO", "TOKEN"]);
    for change in leases.history.iter().rev().take(CHANGES_SHOWN) {
        let kind = match change.kind {
            ChangeKind::Granted => "granted",
            ChangeKind::Released => "given back",
        };
        let (lease, holder, token) = (change.lease.clone(), change.holder.clone(), change.token.to_string());
        table.add_row([elapsed_since(change.at_ms), lease, kind.to_string(), holder, token]);
    }
    table
}

/// Progress or outcome of the latest rolling restart; empty if there was none.
fn format_restart(leases: &LeaseTable) -> String {
    let record = leases.leases.get(super::rolling_restart::LEASE);
    let saved = record.map_or(&[][..], |record| &record.state);
    match postcard::from_bytes::<RestartProgress>(saved) {
        Ok(RestartProgress { completed, total, outcome: Some(outcome), .. }) => {
            format!("last roll: {completed} of {total}, ended: {outcome}\n")
        }
        Ok(RestartProgress { completed, total, in_progress, .. }) => {
            let names: Vec<&str> = in_progress.iter().map(|(name, _)| name.as_str()).collect();
            format!("roll: {completed} of {total}, under way: {}\n", names.join(", "))
        }
        Err(_) => String::new(),
    }
}
