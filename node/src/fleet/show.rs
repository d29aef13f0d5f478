//! `molevale fleet show`: asks a node's management address and prints what it tells.

use crate::ask::ask;
use comfy_table::presets::NOTHING;
use comfy_table::Table;
use fleet::{Line, Shown};
use hyper::{Method, StatusCode};
use std::net::SocketAddr;

/// Asks the node at this address and returns what to print.
pub async fn show(address: SocketAddr, json: bool) -> Result<String, String> {
    let (status, body) = ask(address, Method::GET, "/fleet").await?;
    if status != StatusCode::OK {
        return Err(format!("{address}: {}", String::from_utf8_lossy(&body).trim()));
    }
    if json {
        return Ok(String::from_utf8_lossy(&body).into_owned());
    }
    let shown: Shown =
        serde_json::from_slice(&body).map_err(|e| format!("{address}: an answer that can't be read: {e}"))?;
    Ok(table(&shown))
}

fn table(shown: &Shown) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING).set_header(["NAME", "ZONE", "ADDRESS", "STATUS", "FOR", "INCARNATION"]);
    for m in &shown.view.members {
        table.add_row(row(m, m.name == shown.view.node));
    }
    let view = &shown.view;
    let mut head = format!("fleet {}, as {} sees it: ", view.fleet, view.node);
    match view.yielded_to {
        Some(other) => head += &format!("it yielded to a process of its name at {other}"),
        None if !view.joined => head += "it has heard of nobody yet",
        None => {
            let stand = &shown.stand;
            head += &format!("{} take jobs, {} may be sending", stand.siblings, stand.senders);
        }
    }
    format!("{head}\n{table}\n")
}

fn row(m: &Line, own: bool) -> [String; 6] {
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
