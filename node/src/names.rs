//! The settings as the module takes them, and the names and figures that the wires need beside them.

use dispatch_policy::api::Settings;
use dispatch_policy::settings::{self, KeyValues, ReportField};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;

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
    pub report: Vec<(String, ReportField)>,
    /// The time for a connection to come up.
    pub connect_timeout: Duration,
    /// The time after which workers close idle connections.
    pub conn_idle: Duration,
    /// The time after which nothing new may go to a worker that is told to drain.
    pub drain_grace: Duration,
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

/// The module's settings and the names, from the nested form.
pub fn parse_settings(value: &Value) -> Result<(Settings, Names), String> {
    let mut text = String::new();
    flatten("", value, &mut text);
    let pairs = KeyValues::new(&text);
    let (settings, fields) = settings::read(&pairs).map_err(|e| e.to_string())?;
    // Names as they were written, not as the flat text has them: they are compared with what comes on wires, and a
    // space or a comma in one is its own.
    let list = |key: &str| value.get(key).and_then(Value::as_array).into_iter().flatten().map(name).collect();
    let named = |at: &str, n: usize| -> Vec<String> {
        let name =
            |i: usize| value.get(at).and_then(|items| items.get(i)?.get("Name")).map_or("".into(), name);
        (0..n).map(name).collect()
    };
    let keyed = |c: &dispatch_policy::api::ClassSettings| {
        matches!(c.idempotency, dispatch_policy::api::Idempotency::WithKey(_))
    };
    let report = value.get("Stats").and_then(|stats| stats.get("Fields")).and_then(Value::as_array);
    let report = report.into_iter().flatten().map(name);
    let classes: Vec<String> = named("Profiles", settings.classes.len());
    let tenants: Vec<String> = named("Parties", settings.tenants.len());
    for (i, names) in [&classes, &tenants].into_iter().enumerate() {
        let odd = |(n, name): (usize, &String)| name.is_empty() || names[..n].contains(name);
        if names.iter().enumerate().any(odd) {
            let what = ["Profiles", "Parties"][i];
            return Err(format!("settings: each of {what} needs a Name of its own"));
        }
    }
    let span = |path: &str, absent_us| {
        pairs.span(path, absent_us).map(Duration::from_micros).map_err(|e| e.to_string())
    };
    let names = Names {
        continues: vec![None; classes.len()],
        classes,
        retired: Vec::new(),
        keyed: settings.classes.iter().map(keyed).collect(),
        tenants,
        gone_tenants: Vec::new(),
        zones: list("Azs"),
        kinds: list("HostTypes"),
        report: report.zip(fields).collect(),
        connect_timeout: span("Limits.ConnectTimeoutUs", 1_000_000)?,
        conn_idle: span("Limits.ConnIdleUs", 60_000_000)?,
        drain_grace: span("Invariants.DrainGraceUs", 500_000)?,
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

fn name(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
