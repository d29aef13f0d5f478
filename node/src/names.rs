//! Parses the settings: those of the decision module, and the names and durations that the frontends need in
//! addition.

use crate::class_rules::ClassRules;
use dispatch_policy::api::{Idempotency, Settings};
use dispatch_policy::settings::{self, KeyValues, ReportField};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;
use thiserror::Error;

/// Time limit for opening a connection to a worker, if the settings state none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which workers close idle connections, if the settings state none.
const DEFAULT_CONNECTION_IDLE: Duration = Duration::from_secs(60);
/// Time after which a draining worker gets no further requests, if the settings state none.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of classes that are no longer offered in [`Names::open_class_rules`].
const RETIRED_CLASSES_MAX: usize = 64;

/// Names and durations that the frontends need in addition to the settings of the decision module. A name's index
/// in its list is its number in the decision module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Numbers of the classes that are no longer offered.
    pub retired_classes: Vec<usize>,
    /// For each class, the number of the class that had its name before a reload, if any.
    pub inherits_from: Vec<Option<usize>>,
    /// For each class, its rules as other processes of the node know them.
    pub class_rules: Vec<ClassRules>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Numbers of the tenants that are no longer in the settings.
    pub retired_tenants: Vec<usize>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine types.
    pub kinds: Vec<String>,
    /// Fields of a load report, by name.
    pub report: Vec<(String, ReportField)>,
    /// Time limit for opening a connection to a worker.
    pub connect_timeout: Duration,
    /// Time after which workers close idle connections.
    pub worker_idle_timeout: Duration,
    /// Time after which a draining worker gets no further requests.
    pub drain_grace: Duration,
}

impl Names {
    /// Number of the class that is currently offered under this name.
    pub fn class(&self, name: &str) -> Option<usize> {
        let is_offered = |number: &usize| !self.retired_classes.contains(number);
        (0..self.classes.len()).find(|number| self.classes[*number] == name && is_offered(number))
    }

    /// Whether requests of a class may be executed more than once.
    pub fn idempotency(&self, class: usize) -> Idempotency {
        self.class_rules[class].idempotency()
    }

    /// Longest deadline of the classes that are offered, from which the platform derives when a stopping process is killed.
    pub fn longest_offered_deadline(&self) -> Duration {
        let offered = (0..self.class_rules.len()).filter(|class| !self.retired_classes.contains(class));
        offered.map(|class| self.class_rules[class].deadline()).max().unwrap_or_default()
    }

    /// Longest deadline that an open request may have, also of a class that is no longer offered.
    pub fn longest_open_deadline(&self) -> Duration {
        self.class_rules.iter().map(ClassRules::deadline).max().unwrap_or_default()
    }

    /// Number of the class, offered or not, that has exactly these rules.
    pub fn class_with_rules(&self, rules: &ClassRules) -> Option<usize> {
        self.class_rules.iter().position(|other| other == rules)
    }

    /// Rules of the classes that open requests may have: those that are offered, and the newest of the others.
    pub fn open_class_rules(&self) -> Vec<ClassRules> {
        let (retired, offered): (Vec<usize>, Vec<usize>) =
            (0..self.class_rules.len()).partition(|class| self.retired_classes.contains(class));
        let newest_retired = retired.into_iter().rev().take(RETIRED_CLASSES_MAX);
        offered.into_iter().chain(newest_retired).map(|class| self.class_rules[class].clone()).collect()
    }

    /// Number of the tenant with this name.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        let is_current = |number: &usize| !self.retired_tenants.contains(number);
        (0..self.tenants.len()).find(|number| self.tenants[*number] == name && is_current(number))
    }

    /// Number of the tenant that a request names. Without tenants in the settings, all requests have number 0.
    pub fn request_tenant(&self, name: &str) -> Option<usize> {
        self.tenant(name).or(self.tenants.is_empty().then_some(0))
    }
}

/// Error in the settings.
#[derive(Debug, Error)]
pub enum ParseError {
    /// A value is missing or out of range.
    #[error(transparent)]
    Value(#[from] settings::Error),
    /// An item of a list has no name, or the same name as another item.
    #[error("settings: each of {list} needs a Name of its own")]
    Name {
        /// Key of the list.
        list: &'static str,
    },
}

/// Parses the settings from their nested form (JSON or TOML): those of the decision module, and the [`Names`].
///
/// # Errors
/// If a value is missing or out of range, or a class or tenant has no unique name.
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
    let kinds = value.get("HostTypes").map(scalar_names).unwrap_or_default();
    let named_classes = classes.iter().zip(&settings.classes);
    let class_rules = named_classes.map(|(name, class)| ClassRules::new(name, class, &kinds)).collect();
    let report_names = value.get("Stats").and_then(|stats| stats.get("Fields")).map(scalar_names);
    let duration = |key: &str, default: Duration| {
        pairs.unsigned(key, default.as_micros() as u64).map(Duration::from_micros)
    };
    Ok(Names {
        inherits_from: vec![None; classes.len()],
        classes,
        retired_classes: Vec::new(),
        class_rules,
        tenants,
        retired_tenants: Vec::new(),
        zones: value.get("Azs").map(scalar_names).unwrap_or_default(),
        kinds,
        report: report_names.unwrap_or_default().into_iter().zip(report_fields).collect(),
        connect_timeout: duration("Limits.ConnectTimeoutUs", DEFAULT_CONNECT_TIMEOUT)?,
        worker_idle_timeout: duration("Limits.ConnIdleUs", DEFAULT_CONNECTION_IDLE)?,
        drain_grace: duration("Invariants.DrainGraceUs", DEFAULT_DRAIN_GRACE)?,
    })
}

/// Names in a list of scalars, unchanged: they are compared with names in messages, which may contain the spaces and
/// commas that the flat text replaces.
fn scalar_names(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().map(name_text).collect()
}

/// Names of the first `count` items of a list of objects, unchanged.
fn item_names(value: &Value, list: &'static str, count: usize) -> Result<Vec<String>, ParseError> {
    let items = value.get(list);
    let item_name = |number: usize| items.and_then(|items| items.get(number)?.get("Name")).map(name_text);
    let names: Vec<String> = (0..count).map(|number| item_name(number).unwrap_or_default()).collect();
    let is_empty_or_duplicate =
        |(number, name): (usize, &String)| name.is_empty() || names[..number].contains(name);
    if names.iter().enumerate().any(is_empty_or_duplicate) {
        return Err(ParseError::Name { list });
    }
    Ok(names)
}

/// Appends nested settings as `path=value` lines, the format of the simulator's first message: a list of scalars is
/// joined by commas; a list of objects gives its length under `.count` and its items under their indices.
fn flatten(path: &str, value: &Value, out: &mut String) {
    let child_path = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    // Writing to a string does not fail.
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| flatten(&child_path(key), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            let _ = writeln!(out, "{}={}", child_path("count"), items.len());
            items.iter().enumerate().for_each(|(i, item)| flatten(&child_path(&i.to_string()), item, out));
        }
        Value::Array(items) => {
            let scalars: Vec<String> = items.iter().map(flat_scalar).collect();
            let _ = writeln!(out, "{path}={}", scalars.join(","));
        }
        _ => {
            let _ = writeln!(out, "{path}={}", flat_scalar(value));
        }
    }
}

/// A name, unchanged.
fn name_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), String::from)
}

/// A scalar in the flat text, in which spaces, commas and line ends are separators.
fn flat_scalar(value: &Value) -> String {
    match value {
        Value::String(s) => s.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
