//! Settings as the decision module takes them, and the names and durations that the wires need beside them.

use dispatch_policy::api::{Idempotency, Settings};
use dispatch_policy::settings::{self, KeyValues, ReportField};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;
use thiserror::Error;

/// Time for a connection to a worker to come up, where the settings do not say.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which workers close idle connections, where the settings do not say.
const DEFAULT_CONNECTION_IDLE: Duration = Duration::from_secs(60);
/// Time after which nothing new may go to a draining worker, where the settings do not say.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Names and durations that the wires need beside the settings of the decision module. A name's place in its list is its
/// number in the module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// The classes.
    pub classes: Vec<String>,
    /// Numbers of the classes that are no longer offered.
    pub retired_classes: Vec<usize>,
    /// For each class, the number of the one that had its name before, if any.
    pub previous_classes: Vec<Option<usize>>,
    /// For each class, whether its requests carry an idempotency key.
    pub requires_idempotency_key: Vec<bool>,
    /// The tenants.
    pub tenants: Vec<String>,
    /// Numbers of the tenants that are no longer named.
    pub retired_tenants: Vec<usize>,
    /// The zones.
    pub zones: Vec<String>,
    /// The types of machine.
    pub kinds: Vec<String>,
    /// The values of a load report, by name.
    pub report: Vec<(String, ReportField)>,
    /// Time for a connection to a worker to come up.
    pub connect_timeout: Duration,
    /// Time after which workers close idle connections.
    pub worker_idle_timeout: Duration,
    /// Time after which nothing new may go to a draining worker.
    pub drain_grace: Duration,
    /// Longest deadline of a class, also of those that are no longer offered.
    pub longest_deadline: Duration,
}

impl Names {
    /// Number of the class that is offered under this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        let is_offered = |number: &usize| !self.retired_classes.contains(number);
        (0..self.classes.len()).find(|number| self.classes[*number] == name && is_offered(number))
    }

    /// Number of the tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let is_named = |number: &usize| !self.retired_tenants.contains(number);
        (0..self.tenants.len()).find(|number| self.tenants[*number] == name && is_named(number))
    }
}

/// Error in the nested form of the settings.
#[derive(Debug, Error)]
pub enum ParseError {
    /// A value is missing or outside its bounds.
    #[error(transparent)]
    Value(#[from] settings::Error),
    /// An item of a list has no name, or one that another item has.
    #[error("settings: each of {list} needs a Name of its own")]
    Name {
        /// Key of the list.
        list: &'static str,
    },
}

/// Parses the nested form of the settings: those of the decision module, and the names beside them.
///
/// # Errors
/// Where a value is missing or outside its bounds, or a class or tenant has no name of its own.
pub fn parse_settings(value: &Value) -> Result<(Settings, Names), ParseError> {
    let mut text = String::new();
    flatten("", value, &mut text);
    let pairs = KeyValues::new(&text);
    let (settings, fields) = settings::from_key_values(&pairs)?;
    let names = parse_names(value, &pairs, &settings, fields)?;
    Ok((settings, names))
}

fn parse_names(
    value: &Value,
    pairs: &KeyValues,
    settings: &Settings,
    report_fields: Vec<ReportField>,
) -> Result<Names, ParseError> {
    let classes = item_names(value, "Profiles", settings.classes.len())?;
    let tenants = item_names(value, "Parties", settings.tenants.len())?;
    let report_names = value.get("Stats").and_then(|stats| stats.get("Fields")).map(plain_names);
    let longest = settings.classes.iter().map(|class| class.deadline_us).max().unwrap_or(0);
    let duration = |key: &str, absent: Duration| {
        pairs.unsigned(key, absent.as_micros() as u64).map(Duration::from_micros)
    };
    Ok(Names {
        previous_classes: vec![None; classes.len()],
        classes,
        retired_classes: Vec::new(),
        requires_idempotency_key: settings
            .classes
            .iter()
            .map(|class| matches!(class.idempotency, Idempotency::WithKey(_)))
            .collect(),
        tenants,
        retired_tenants: Vec::new(),
        zones: value.get("Azs").map(plain_names).unwrap_or_default(),
        kinds: value.get("HostTypes").map(plain_names).unwrap_or_default(),
        report: report_names.unwrap_or_default().into_iter().zip(report_fields).collect(),
        connect_timeout: duration("Limits.ConnectTimeoutUs", DEFAULT_CONNECT_TIMEOUT)?,
        worker_idle_timeout: duration("Limits.ConnIdleUs", DEFAULT_CONNECTION_IDLE)?,
        drain_grace: duration("Invariants.DrainGraceUs", DEFAULT_DRAIN_GRACE)?,
        longest_deadline: Duration::from_micros(longest),
    })
}

/// Names of a list of plain values, as they are written: they are compared with what comes over wires, and a space or a
/// comma is part of a name, which the flat text replaces.
fn plain_names(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().map(name).collect()
}

/// Names of the first `count` items of a list of objects, as they are written.
fn item_names(value: &Value, list: &'static str, count: usize) -> Result<Vec<String>, ParseError> {
    let items = value.get(list);
    let item_name = |number: usize| items.and_then(|items| items.get(number)?.get("Name")).map(name);
    let names: Vec<String> = (0..count).map(|number| item_name(number).unwrap_or_default()).collect();
    let is_unusable = |(number, name): (usize, &String)| name.is_empty() || names[..number].contains(name);
    if names.iter().enumerate().any(is_unusable) {
        return Err(ParseError::Name { list });
    }
    Ok(names)
}

/// Appends nested settings as the `path=value` lines of the simulator's first message: a list of plain values is joined by
/// commas, a list of objects gives its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    // Writing to a string does not fail.
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(&below(key), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let _ = writeln!(out, "{}={}", below("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(&below(&i.to_string()), item, out));
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

/// A name as it is written.
fn name(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

/// A plain value in the flat text, which separates values by spaces, commas and line ends.
fn plain(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
