//! What a node is told at its start: environment, JSON configuration and an operator's file.

use crate::platform::fields::ListBody;
use dewlever::api::Settings;
use dewlever::settings::{self, Field, Pairs};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<ListBody>,
    settings: Value,
}

/// What the node may use.
#[derive(Clone, Copy, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors of the process.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// The names and figures that the wires need beside the module's settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes, in the module's order.
    pub classes: Vec<String>,
    /// Which of them carry a key.
    pub keyed: Vec<bool>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
    /// The values of a load report, by name.
    pub report: Vec<(String, Field)>,
    /// The time for a connection to come up.
    pub connect_timeout: Duration,
    /// The time after which workers close idle connections.
    pub conn_idle: Duration,
}

/// A node's configuration.
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The workers as last known.
    pub known: Option<ListBody>,
    /// The module's settings.
    pub settings: Settings,
    /// What the wires need beside them.
    pub names: Names,
}

/// Reads the file that `RELAY_CONFIG` names; the other variables, where set, come before it.
pub fn from_environment() -> Result<Config, String> {
    let var = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = var("RELAY_CONFIG").ok_or("RELAY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("cannot read {path}: {e}"))?;
    parse(&text, var)
}

/// Reads a configuration's text.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let raw: Raw = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let address = |name: &str, given: Option<String>| -> Result<SocketAddr, String> {
        let text = var(name).or(given).ok_or_else(|| format!("configuration: no {name}"))?;
        text.parse().map_err(|_| format!("configuration: {name}={text} is not an address"))
    };
    let (settings, names) = read_settings(&raw.settings)?;
    Ok(Config {
        listen: address("RELAY_LISTEN", raw.listen)?,
        discovery: address("RELAY_DISCOVERY", raw.discovery)?,
        name: var("RELAY_NAME").unwrap_or(raw.name),
        seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| crate::dispatcher::number_of(&raw.seed)),
        limits: raw.limits,
        known: raw.known,
        settings,
        names,
    })
}

/// The module's settings and the names, from the nested form.
pub fn read_settings(value: &Value) -> Result<(Settings, Names), String> {
    let mut text = String::new();
    flatten("", value, &mut text);
    let pairs = Pairs::new(&text);
    let (settings, fields) = settings::read(&pairs)?;
    let list = |key: &str| pairs.text(key).split(',').filter(|s| !s.is_empty()).map(String::from).collect();
    let named =
        |at: &str, n: usize| (0..n).map(|i| pairs.text(&format!("{at}.{i}.Name")).to_string()).collect();
    let keyed = |c: &dewlever::api::ClassSettings| matches!(c.semantics, dewlever::api::Semantics::Keyed(_));
    let report: Vec<String> = list("Stats.Fields");
    let names = Names {
        classes: named("Profiles", settings.classes.len()),
        keyed: settings.classes.iter().map(keyed).collect(),
        tenants: named("Parties", settings.tenants.len()),
        zones: list("Azs"),
        kinds: list("HostTypes"),
        report: report.into_iter().zip(fields).collect(),
        connect_timeout: Duration::from_micros(pairs.span("Limits.ConnectTimeoutUs", 1_000_000)?),
        conn_idle: Duration::from_micros(pairs.span("Limits.ConnIdleUs", 60_000_000)?),
    };
    Ok((settings, names))
}

/// Nested settings as the `path=value` lines of the simulator's first message: a list of plain values is
/// joined by commas, a list of objects gives its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let at = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(map) => map.iter().for_each(|(k, v)| flatten(&at(k), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let _ = writeln!(out, "{}={}", at("count"), items.len());
            items.iter().enumerate().for_each(|(i, v)| flatten(&at(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            let plain: Vec<String> = items.iter().map(plain).collect();
            let _ = writeln!(out, "{path}={}", plain.join(","));
        }
        _ => {
            let _ = writeln!(out, "{path}={}", plain(value));
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
