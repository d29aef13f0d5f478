//! Command `molevale fleet show`: requests a node's status report from its management address and formats it.

use crate::ask::ask;
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use hyper::{Method, StatusCode};
use membership::{MemberInfo, Status};
use std::net::SocketAddr;

/// Requests the status of the node at a management address and returns the text to print, or an error message.
pub async fn show(address: SocketAddr, json: bool) -> Result<String, String> {
    let (code, body) = ask(address, Method::GET, "/fleet").await?;
    if code != StatusCode::OK {
        return Err(format!("{address}: {}", String::from_utf8_lossy(&body).trim()));
    }
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let status: Status =
        serde_json::from_slice(&body).map_err(|e| format!("{address}: an answer that can't be read: {e}"))?;
    Ok(table(&status))
}

fn table(status: &Status) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["NAME", "ZONE", "ADDRESS", "STATUS", "FOR", "INCARNATION"]);
    for m in &status.view.members {
        table.add_row(row(m, m.name == status.view.node));
    }
    let view = &status.view;
    let mut head = format!("fleet {}, as {} sees it: ", view.fleet, view.node);
    match view.yielded_to {
        Some(other) => head += &format!("it yielded to a process of its name at {other}"),
        None if !view.joined => head += "it has heard of nobody yet",
        None => {
            let size = &status.fleet_size;
            head += &format!("{} take jobs, {} may be sending", size.siblings, size.senders);
        }
    }
    format!("{head}\n{table}\n")
}

fn row(m: &MemberInfo, own: bool) -> [String; 6] {
    let status = serde_json::to_value(m.status).ok().and_then(|v| v.as_str().map(String::from));
    let age = if own { "-".to_string() } else { format!("{:.1} s", m.for_ms as f64 / 1000.0) };
    [
        m.name.clone(),
        m.zone.clone(),
        m.address.to_string(),
        status.unwrap_or_default(),
        age,
        m.incarnation.to_string(),
    ]
}
