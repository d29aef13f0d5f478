//! Command `molevale fleet show`: requests the status report of a node at its management address and formats it.

use crate::operator_client::{call, CallError};
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use hyper::{Method, StatusCode};
use membership::{MemberInfo, Status};
use std::net::SocketAddr;

/// Error of the command.
#[derive(Debug, thiserror::Error)]
pub enum ShowError {
    /// The node can't be reached or does not answer.
    #[error(transparent)]
    Request(#[from] CallError),
    /// The node returned an error status.
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
        source: serde_json::Error,
    },
}

/// Requests the status report of the node at a management address, and returns the text to print: a table, or the JSON
/// report itself.
///
/// # Errors
///
/// Fails if the node can't be reached, returns an error status, or returns no status report.
pub async fn show(address: SocketAddr, json: bool) -> Result<String, ShowError> {
    let (code, body) = call(address, Method::GET, "/fleet").await?;
    if code != StatusCode::OK {
        let reason = String::from_utf8_lossy(&body).trim().to_string();
        return Err(ShowError::Rejected { address, reason });
    }
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let status =
        serde_json::from_slice(&body).map_err(|source| ShowError::InvalidReport { address, source })?;
    Ok(format_status(&status))
}

fn format_status(status: &Status) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["NAME", "ZONE", "ADDRESS", "STATUS", "FOR", "INCARNATION"]);
    for member in &status.view.members {
        table.add_row(member_row(member, member.name == status.view.node));
    }
    format!("{}\n{table}\n", summary_line(status))
}

fn summary_line(status: &Status) -> String {
    let Status { view, fleet_size, .. } = status;
    let summary = match view.yielded_to {
        Some(other) => format!("it yielded to a process of its name at {other}"),
        None if !view.joined => "it has heard of nobody yet".to_string(),
        None => format!("{} take jobs, {} may be sending", fleet_size.dispatchers, fleet_size.senders),
    };
    format!("fleet {}, as {} sees it: {summary}", view.fleet, view.node)
}

fn member_row(member: &MemberInfo, is_own: bool) -> [String; 6] {
    let status = serde_json::to_value(member.status).ok().and_then(|value| value.as_str().map(String::from));
    let age = if is_own { "-".to_string() } else { format!("{:.1} s", member.status_age_ms as f64 / 1000.0) };
    [
        member.name.clone(),
        member.zone.clone(),
        member.address.to_string(),
        status.unwrap_or_default(),
        age,
        member.incarnation.to_string(),
    ]
}
