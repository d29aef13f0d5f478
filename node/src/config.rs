//! What a node is told at its start and when it is to read that again: environment, JSON configuration and an
//! operator's file.

use crate::faktory::Operator;
use crate::platform::fields::ListBody;
use crate::retune::Tuning;
use dewlever::api::Settings;
use dewlever::settings::{self, Field, Pairs};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The descriptors that the platform's front needs at least.
const SOCKETS_MIN: usize = 128;

#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<ListBody>,
    settings: Value,
}

/// What the node may use.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// File descriptors of the process.
    pub sockets: usize,
    /// Memory of the process.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// The names and figures that the wires need beside the module's settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The classes, in the module's order.
    pub classes: Vec<String>,
    /// Which of them, by number, are offered no more.
    pub retired: Vec<usize>,
    /// For each of them, the one that had its name before, if any.
    pub continues: Vec<Option<usize>>,
    /// Which of them carry a key.
    pub keyed: Vec<bool>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// Which of them, by number, are named no more.
    pub gone_tenants: Vec<usize>,
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
    /// The longest deadline of a class, also of those that are offered no more.
    pub longest: Duration,
}

impl Names {
    /// The number of the class that is offered under this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|n| self.classes[*n] == name && !self.retired.contains(n))
    }

    /// The number of the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        (0..self.tenants.len()).find(|n| self.tenants[*n] == name && !self.gone_tenants.contains(n))
    }
}

/// A node's configuration.
#[derive(Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call; off if not set.
    pub management: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The workers as last known.
    pub known: Option<ListBody>,
    /// The module's settings, and what the wires need beside them.
    pub tuning: Tuning,
    /// All that it was read from, less what is for starts only.
    pub text: Value,
}

impl Config {
    /// What differs from a newer one and holds until a restart. (`known` and `seed` are for starts only.)
    fn lasting(&self, newer: &Config) -> Vec<&'static str> {
        [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("management", self.management != newer.management),
            ("limits", self.limits != newer.limits),
        ]
        .into_iter()
        .filter_map(|(name, differs)| differs.then_some(name))
        .collect()
    }
}

/// All that the fronts are told; one that is off has nothing.
#[derive(Clone)]
pub struct Told {
    /// The platform's front.
    pub config: Option<Config>,
    /// The Faktory front.
    pub operator: Option<Operator>,
}

impl Told {
    /// What differs from a newer one and holds until a restart.
    pub fn lasting(&self, newer: &Told) -> Vec<&'static str> {
        let mut all = match (&self.config, &newer.config) {
            (Some(old), Some(new)) => old.lasting(new),
            _ => Vec::new(),
        };
        if self.operator != newer.operator {
            all.push("the operator's file");
        }
        all
    }
}

/// Where a node's configuration stands: it can be read again from there.
pub struct Sources {
    /// The platform's JSON file.
    pub config: Option<PathBuf>,
    /// The operator's file of the Faktory front.
    pub operator: Option<PathBuf>,
}

impl Sources {
    /// From the command line, `molevale [--faktory FILE]`, and the environment.
    pub fn new(mut arguments: impl Iterator<Item = String>) -> Result<Sources, String> {
        let usage = || "usage: molevale [--faktory FILE]".to_string();
        let operator = match arguments.next().as_deref() {
            None => None,
            Some("--faktory") => Some(PathBuf::from(arguments.next().ok_or_else(usage)?)),
            Some(_) => return Err(usage()),
        };
        if arguments.next().is_some() {
            return Err(usage());
        }
        let config = variable("RELAY_CONFIG").map(PathBuf::from);
        // Without a platform configuration, the second front may run alone.
        if config.is_none() && operator.is_none() {
            return Err("RELAY_CONFIG is not set".to_string());
        }
        Ok(Sources { config, operator })
    }

    /// Reads all of it for the start: variables, where set, come before the platform's file.
    pub fn read(&self) -> Result<Told, String> {
        self.read_with(variable)
    }

    /// Reads all of it again: the file's discovery now holds, also against the environment.
    pub fn read_again(&self) -> Result<Told, String> {
        self.read_with(|name| variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn read_with(&self, var: impl Fn(&str) -> Option<String>) -> Result<Told, String> {
        let text = |path: &PathBuf| {
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
        };
        let operator = match &self.operator {
            Some(path) => Some(Operator::parse(&text(path)?)?),
            None => None,
        };
        let mut config = match &self.config {
            Some(path) => Some(parse(&text(path)?, var)?),
            None => None,
        };
        if let (Some(config), Some(operator)) = (&mut config, &operator) {
            // Guards the descriptor limit where both fronts run: it is the process's.
            let left = config.limits.sockets.checked_sub(operator.connections);
            config.limits.sockets = left
                .filter(|left| *left >= SOCKETS_MIN)
                .ok_or("operator's file: connections leave the platform too few sockets")?;
        }
        Ok(Told { config, operator })
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// Reads a configuration's text.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let mut text: Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let raw: Raw = serde_json::from_value(text.clone()).map_err(|e| format!("configuration: {e}"))?;
    if let Some(keys) = text.as_object_mut() {
        keys.retain(|key, _| key != "known" && key != "seed");
    }
    let optional = |name: &str, given: Option<String>| -> Result<Option<SocketAddr>, String> {
        let Some(text) = var(name).or(given) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| format!("configuration: {name}={text} is not an address"))
    };
    let address = |name, given| optional(name, given)?.ok_or_else(|| format!("configuration: no {name}"));
    let (settings, names) = read_settings(&raw.settings)?;
    Ok(Config {
        tuning: Tuning { settings, names },
        text,
        listen: address("RELAY_LISTEN", raw.listen)?,
        discovery: address("RELAY_DISCOVERY", raw.discovery)?,
        management: optional("RELAY_MANAGEMENT", raw.management)?,
        name: var("RELAY_NAME").unwrap_or(raw.name),
        seed: u64::from_str_radix(&raw.seed, 16).unwrap_or_else(|_| crate::dispatcher::number_of(&raw.seed)),
        limits: raw.limits,
        known: raw.known,
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
    let classes: Vec<String> = named("Profiles", settings.classes.len());
    let tenants: Vec<String> = named("Parties", settings.tenants.len());
    for (i, names) in [&classes, &tenants].into_iter().enumerate() {
        let odd = |(n, name): (usize, &String)| name.is_empty() || names[..n].contains(name);
        if names.iter().enumerate().any(odd) {
            let what = ["Profiles", "Parties"][i];
            return Err(format!("settings: each of {what} needs a Name of its own"));
        }
    }
    let names = Names {
        continues: vec![None; classes.len()],
        classes,
        retired: Vec::new(),
        keyed: settings.classes.iter().map(keyed).collect(),
        tenants,
        gone_tenants: Vec::new(),
        zones: list("Azs"),
        kinds: list("HostTypes"),
        report: report.into_iter().zip(fields).collect(),
        connect_timeout: Duration::from_micros(pairs.span("Limits.ConnectTimeoutUs", 1_000_000)?),
        conn_idle: Duration::from_micros(pairs.span("Limits.ConnIdleUs", 60_000_000)?),
        longest: Duration::from_micros(settings.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0)),
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
