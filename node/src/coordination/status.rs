//! `molevale fleet duties` and `molevale fleet voter`: ask a node's management address and print what it tells.

use super::Status;
use crate::ask::ask;
use ::coordination::{ChangeKind, ClusterStatus, RestartProgress, VoterState};
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use hyper::{Method, StatusCode};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What the node at this address and the voters tell of the duties.
pub async fn print_status(address: SocketAddr, json: bool) -> Result<String, String> {
    let (status, body) = ask(address, Method::GET, "/fleet/duties").await?;
    if status != StatusCode::OK {
        return Err(format!("{address}: {}", String::from_utf8_lossy(&body).trim()));
    }
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let shown: Status =
        serde_json::from_slice(&body).map_err(|e| format!("{address}: an answer that can't be read: {e}"))?;
    Ok(text(&shown))
}

/// An operator's word: `path` says which.
pub async fn send_command(address: SocketAddr, path: &str) -> Result<String, String> {
    let (status, body) = ask(address, Method::POST, path).await?;
    let said = String::from_utf8_lossy(&body).trim().to_string();
    match status {
        StatusCode::OK => Ok(format!("{said}\n")),
        _ => Err(format!("{address}: {said}")),
    }
}

fn text(shown: &Status) -> String {
    let here = shown.held.iter().map(|(duty, token, _)| format!("{duty} under {token}"));
    let here: Vec<String> = here.collect();
    let mut text = format!("{}: ", shown.node);
    text += &match &shown.voter {
        None => "no voter".to_string(),
        Some(VoterState::StorageFailed(why)) => format!("its voter is broken: {why}"),
        Some(state) => format!("its voter is {}", state_name(state)),
    };
    text += &match here.as_slice() {
        [] => "; it holds nothing\n".to_string(),
        held => format!("; it holds {}\n", held.join(", ")),
    };
    match &shown.cluster {
        None => text += "no voter that leads answers: nothing is granted now, and jobs go on\n",
        Some(told) => text += &tables(told),
    }
    text
}

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

fn tables(told: &ClusterStatus) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let ago = |ms: u64| {
        let span = now.saturating_sub(Duration::from_millis(ms));
        format!("{:.0} s", span.as_secs_f64())
    };
    let mut duties = Table::new();
    duties.load_style(NOTHING).set_header(["DUTY", "HOLDER", "TOKEN", "LEASE LEFT", "SINCE"]);
    for (duty, held) in &told.table.leases {
        let left = told.remaining_ms.iter().find(|(d, _)| d == duty).map_or(0, |(_, ms)| *ms);
        let holder = match &held.holder {
            Some(holder) if left > 0 => holder.name.clone(),
            Some(holder) => format!("nobody (was {})", holder.name),
            None => "nobody".to_string(),
        };
        let left = format!("{:.1} s", left as f64 / 1000.0);
        duties.add_row([duty.clone(), holder, held.token.to_string(), left, ago(held.granted_at_ms)]);
    }
    let mut history = Table::new();
    history.load_style(NOTHING).set_header(["AGO", "DUTY", "WHAT", "WHO", "TOKEN"]);
    for change in told.table.history.iter().rev().take(10) {
        let what = match change.kind {
            ChangeKind::Granted => "granted",
            ChangeKind::Released => "given back",
        };
        let (duty, name) = (change.lease.clone(), change.holder.clone());
        history.add_row([ago(change.at_ms), duty, what.to_string(), name, change.token.to_string()]);
    }
    let voters: Vec<String> =
        told.table.voters.values().map(|s| format!("{} ({})", s.name, s.address)).collect();
    let left = told.table.leases.get(super::rolling_restart::DUTY).map_or(&[][..], |h| &h.state);
    let roll = match postcard::from_bytes::<RestartProgress>(left) {
        Ok(RestartProgress { completed, total, outcome: Some(outcome), .. }) => {
            format!("last roll: {completed} of {total}, ended: {outcome}\n")
        }
        Ok(RestartProgress { completed, total, in_progress, .. }) => {
            let names: Vec<&str> = in_progress.iter().map(|(n, _)| n.as_str()).collect();
            format!("roll: {completed} of {total}, under way: {}\n", names.join(", "))
        }
        Err(_) => String::new(),
    };
    format!("voters: {}; term {}\n{roll}{duties}\n\n{history}\n", voters.join(", "), told.term)
}
