//! Commands `molevale fleet duties`, `fleet roll` and `fleet voter`: ask a node's management address and print the answer.

use super::status::Status;
use crate::operator_client::{call, CallError};
use ::coordination::{ChangeKind, ClusterStatus, LeaseTable, RestartProgress, VoterState};
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Changes of leases that are printed.
const CHANGES: usize = 10;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum OperatorCommandError {
    /// The node does not answer.
    #[error(transparent)]
    Unreachable(#[from] CallError),
    /// The node rejected the command, for this reason.
    #[error("{address}: {reason}")]
    Rejected {
        /// Management address of the node.
        address: SocketAddr,
        /// The node's answer.
        reason: String,
    },
    /// The node's answer can't be decoded.
    #[error("{address}: an answer that can't be read: {source}")]
    Malformed {
        /// Management address of the node.
        address: SocketAddr,
        /// What is wrong with it.
        #[source]
        source: serde_json::Error,
    },
}

/// Returns the status of the node at this management address and of the voters, as JSON or as text.
///
/// # Errors
///
/// [`OperatorCommandError`] if the node does not answer, or not with a status.
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
        .map_err(|source| OperatorCommandError::Malformed { address, source })?;
    Ok(format_status(&status))
}

/// Sends an operator's command, which `path` names; returns the node's answer.
///
/// # Errors
///
/// [`OperatorCommandError`] if the node does not answer or rejects the command.
pub async fn send_command(address: SocketAddr, path: &str) -> Result<String, OperatorCommandError> {
    let call = call(address, Method::POST, path).await;
    let (status, body) = call?;
    let answer = String::from_utf8_lossy(&body).trim().to_string();
    match status {
        StatusCode::OK => Ok(format!("{answer}\n")),
        _ => Err(OperatorCommandError::Rejected { address, reason: answer }),
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

/// Word for a voter's state in the command's output.
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

/// Time since a Unix time in milliseconds.
fn since(unix_ms: u64) -> String {
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
        table.add_row([lease.clone(), holder, token, remaining, since(record.granted_at_ms)]);
    }
    table
}

fn change_table(leases: &LeaseTable) -> Table {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["AGO", "DUTY", "WHAT", "WHO", "TOKEN"]);
    for change in leases.history.iter().rev().take(CHANGES) {
        let kind = match change.kind {
            ChangeKind::Granted => "granted",
            ChangeKind::Released => "given back",
        };
        let (lease, holder, token) = (change.lease.clone(), change.holder.clone(), change.token.to_string());
        table.add_row([since(change.at_ms), lease, kind.to_string(), holder, token]);
    }
    table
}

/// Progress of the last rolling restart, if there was one.
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
