//! Parser for settings in the form of `path=value` lines, which the simulator's first message and a node's
//! configuration contain.

use crate::api::{
    ClassSettings, Idempotency, InvalidSettings, KeyScope, LoadReport, Micros, RetryBudget, Rules, Settings,
    TenantSettings,
};
use std::collections::BTreeMap;
use std::error;
use std::fmt;

/// Index of a class's required machine type that stands for any type.
const ANY_KIND: f64 = -1.0;

/// Why settings could not be parsed.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// A value is not a finite number.
    NotANumber {
        /// The path.
        path: String,
        /// The value.
        value: String,
    },
    /// A list item is not a number.
    ItemNotANumber {
        /// The list's path.
        path: String,
        /// The list item.
        value: String,
    },
    /// A duration or count is negative.
    Negative {
        /// The path.
        path: String,
        /// The value.
        value: f64,
    },
    /// A boolean is neither `true` nor `false`.
    NotABoolean {
        /// The path.
        path: String,
        /// The value.
        value: String,
    },
    /// An enumerated value is unknown.
    UnknownValue {
        /// The path.
        path: String,
        /// The value.
        value: String,
    },
    /// The retry budget is incomplete.
    IncompleteRetryBudget {
        /// The first missing path.
        missing: String,
    },
    /// The settings are invalid or inconsistent.
    Invalid(InvalidSettings),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: ")?;
        match self {
            Error::NotANumber { path, value } => write!(f, "{path}={value} is not a number"),
            Error::ItemNotANumber { path, value } => {
                write!(f, "{path} contains {value}, which is not a number")
            }
            Error::Negative { path, value } => write!(f, "{path}={value} is below zero"),
            Error::NotABoolean { path, value } => write!(f, "{path}={value} is neither true nor false"),
            Error::UnknownValue { path, value } => write!(f, "{path}={value} is not known"),
            Error::IncompleteRetryBudget { missing } => {
                write!(f, "the retry budget lacks {missing}")
            }
            Error::Invalid(invalid) => write!(f, "{invalid}"),
        }
    }
}

impl error::Error for Error {
    fn source(&self) -> Option<&(dyn error::Error + 'static)> {
        match self {
            Error::Invalid(invalid) => Some(invalid),
            _ => None,
        }
    }
}

/// Meaning of a field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory.
    FreeMemory,
    /// Queued requests.
    Queued,
    /// Requests in flight.
    InFlight,
    /// A field that is not used.
    Other,
}

impl ReportField {
    /// Sets this field of a report. A value that is not finite counts as not reported.
    pub fn set(self, report: &mut LoadReport, value: f64) {
        let value = Some(value).filter(|v| v.is_finite());
        match self {
            ReportField::FreeSlots => report.free_slots = value,
            ReportField::FreeMemory => report.free_memory = value,
            ReportField::Queued => report.queued = value,
            ReportField::InFlight => report.in_flight = value,
            ReportField::Other => {}
        }
    }

    /// Maps a field's name to its meaning.
    fn from_name(name: &str, values: &KeyValues) -> ReportField {
        let meaning = match name {
            "depth" => return ReportField::Queued,
            "concurrent" => return ReportField::InFlight,
            "x0" => values.text("FamilyInfo.ReportX0"),
            "x1" => values.text("FamilyInfo.ReportX1"),
            _ => "",
        };
        match meaning {
            "free_slots" => ReportField::FreeSlots,
            "free_memory" => ReportField::FreeMemory,
            _ => ReportField::Other,
        }
    }
}

/// Values of settings by their paths.
pub struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Parses the lines of a text. Lines without `=` are ignored.
    pub fn new(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    /// The value at a path; empty if it is missing.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).copied().unwrap_or("")
    }

    /// The number at a path, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`Error::NotANumber`] if the value is not a finite number.
    pub fn number(&self, path: &str, default: f64) -> Result<f64, Error> {
        let value = self.text(path);
        if value.is_empty() {
            return Ok(default);
        }
        let number = value.parse::<f64>().ok().filter(|number| number.is_finite());
        number.ok_or_else(|| Error::NotANumber { path: path.to_string(), value: value.to_string() })
    }

    /// The duration or count at a path, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`Error::NotANumber`] or [`Error::Negative`].
    pub fn unsigned(&self, path: &str, default: u64) -> Result<u64, Error> {
        let value = self.number(path, default as f64)?;
        if value < 0.0 {
            return Err(Error::Negative { path: path.to_string(), value });
        }
        Ok(value as u64)
    }

    /// The boolean at a path, or `default` if it is missing.
    ///
    /// # Errors
    ///
    /// [`Error::NotABoolean`] if the value is neither `true` nor `false`.
    pub fn boolean(&self, path: &str, default: bool) -> Result<bool, Error> {
        match self.text(path) {
            "" => Ok(default),
            "true" => Ok(true),
            "false" => Ok(false),
            value => Err(Error::NotABoolean { path: path.to_string(), value: value.to_string() }),
        }
    }

    fn item(&self, path: &str, i: usize, default: f64) -> Result<f64, Error> {
        match self.text(path).split(',').nth(i).unwrap_or("") {
            "" => Ok(default),
            value => value
                .parse::<f64>()
                .map_err(|_| Error::ItemNotANumber { path: path.to_string(), value: value.to_string() }),
        }
    }
}

/// Parses settings, and the meanings of the fields of load reports.
///
/// # Errors
///
/// If a value can't be parsed, or the settings are invalid or inconsistent.
pub fn parse(text: &str) -> Result<(Settings, Vec<ReportField>), Error> {
    from_key_values(&KeyValues::new(text))
}

/// Converts settings as [`parse`] does, from lines that are already split.
///
/// # Errors
///
/// As [`parse`].
pub fn from_key_values(values: &KeyValues) -> Result<(Settings, Vec<ReportField>), Error> {
    let fields = report_fields(values);
    let classes =
        (0..values.unsigned("Profiles.count", 0)?).map(|i| class(values, i)).collect::<Result<_, _>>()?;
    let tenants =
        (0..values.unsigned("Parties.count", 0)?).map(|i| tenant(values, i)).collect::<Result<_, _>>()?;
    let max_retry_after_us = max_retry_after(values)?;
    let settings = Settings {
        classes,
        retired_classes: Vec::new(),
        tenants,
        dispatchers: values.unsigned("Siblings", 1)?.max(1) as u32,
        ordinal: values.unsigned("Ordinal", 0)? as u32,
        max_senders: 0,      // set by the embedder, which
        membership_epoch: 0, // knows the other dispatchers
        zone: values.unsigned("Zone", 0)? as u8,
        max_attempts: values.unsigned("Limits.MaxAttempts", 1)? as u32,
        can_cancel: values.boolean("Limits.Cancelling", false)?,
        peer_messages: values.boolean("Limits.Peers", false)?,
        max_retry_after_us,
        unmarked_retries: !values.boolean("ClientHabits.MarksRetry", true)?,
        can_probe: values.boolean("Limits.Probes", false)?,
        reports_free_slots: fields.contains(&ReportField::FreeSlots),
        polls_endpoints: values.text("Discovery") == "ask",
        live_weights: values.text("Weights") == "live",
        acknowledges: false, // set by the embedder
        reports_start: values.boolean("FamilyInfo.TellsStart", false)?,
        progress_interval_us: values.unsigned("FamilyInfo.ProgressUs", 0)?,
        cross_zone_price: values.number("Prices.CrossZone", 0.0)?,
        peer_message_price: values.number("Prices.Peer", 0.0)?,
        handshake_price: values.number("Prices.Handshake", 0.0)?,
        origin_fetch_price: values.number("Prices.Origin", 0.0)?,
        idle_timeout_us: values.unsigned("Limits.ConnIdleUs", 0)?,
        accepted_late_ratio: values.number("Goal.TailSlack", 0.0)?,
        late_penalty_weight: values.number("Goal.KeptPromises", 0.0)?,
        worst_class_weight: values.number("Goal.WorstClass", 0.0)?,
        over_quota_weight: values.number("OverShareWorth", 1.0)?,
        clock_resolution_us: values.unsigned("ResolutionUs", 1000)?.max(1),
        max_send_delay_us: 0, // set by the embedder
        rules: rules(values)?,
    };
    settings.validate().map_err(Error::Invalid)?;
    Ok((settings, fields))
}

fn report_fields(values: &KeyValues) -> Vec<ReportField> {
    let names = values.text("Stats.Fields").split(',').filter(|name| !name.is_empty());
    names.map(|name| ReportField::from_name(name, values)).collect()
}

fn max_retry_after(values: &KeyValues) -> Result<Micros, Error> {
    if values.boolean("Limits.RetryAfter", false)? {
        values.unsigned("Limits.MaxRetryAfterUs", 0)
    } else {
        Ok(0)
    }
}

fn class(values: &KeyValues, i: u64) -> Result<ClassSettings, Error> {
    let prefix = format!("Profiles.{i}");
    let kind = values.item("FamilyInfo.ClassKind", i as usize, ANY_KIND)?;
    let objective_per_work = match values.text("FamilyInfo.ClassStretch") {
        "" => values.number(&format!("{prefix}.AimStretch"), 0.0)?,
        _ => values.item("FamilyInfo.ClassStretch", i as usize, 0.0)?,
    };
    Ok(ClassSettings {
        objective_us: values.unsigned(&format!("{prefix}.AimUs"), 0)?,
        objective_per_work,
        deadline_us: values.unsigned(&format!("{prefix}.DeadlineUs"), 0)?,
        priority_weight: values.number(&format!("{prefix}.Worth"), 1.0)?,
        late_weight: values.number(&format!("{prefix}.LateWorth"), 0.0)?,
        idempotency: idempotency(values, &prefix)?,
        deduplication_window_us: values.unsigned(&format!("{prefix}.RepeatWindowUs"), 0)?,
        required_kind: if kind < 0.0 { None } else { Some(kind as u8) },
    })
}

fn idempotency(values: &KeyValues, prefix: &str) -> Result<Idempotency, Error> {
    let unknown = |path: String, value: &str| Error::UnknownValue { path, value: value.to_string() };
    let scope = match values.text(&format!("{prefix}.Group")) {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        "all" | "" => KeyScope::Fleet,
        value => return Err(unknown(format!("{prefix}.Group"), value)),
    };
    match values.text(&format!("{prefix}.Semantics")) {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey(scope)),
        "unsafe" | "" => Ok(Idempotency::NotIdempotent),
        value => Err(unknown(format!("{prefix}.Semantics"), value)),
    }
}

fn tenant(values: &KeyValues, i: u64) -> Result<TenantSettings, Error> {
    Ok(TenantSettings {
        quota_per_s: values.number(&format!("Parties.{i}.QuotaPerS"), 0.0)?,
        share: values.number(&format!("Parties.{i}.Share"), 0.0)?,
    })
}

fn rules(values: &KeyValues) -> Result<Rules, Error> {
    Ok(Rules {
        poll_interval_us: values.unsigned("Invariants.AskEveryUs", 10_000_000)?,
        cold_capacity_ratio: values.number("Invariants.ColdShare", 1.0)?,
        warm_up_us: values.unsigned("Invariants.WarmUpUs", 0)?,
        overload_multiple: values.number("Invariants.FallMultiple", 1.0)?,
        overload_window_us: values.unsigned("Invariants.FallUs", 0)?,
        retry_budget: retry_budget(values)?,
        soft_removal: values.boolean("Invariants.SoftRemoval", false)?,
    })
}

/// Parses the retry budget, whose settings must be all present or all missing.
fn retry_budget(values: &KeyValues) -> Result<Option<RetryBudget>, Error> {
    let paths = ["SpareAttempts", "ExtraRatio", "RatioSpanUs"].map(|name| format!("Invariants.{name}"));
    let missing_paths: Vec<&String> = paths.iter().filter(|path| values.text(path).is_empty()).collect();
    match missing_paths.as_slice() {
        [] => Ok(Some(RetryBudget {
            min_retries: values.number(&paths[0], 0.0)?,
            ratio: values.number(&paths[1], 0.0)?,
            window_us: values.unsigned(&paths[2], 0)?,
        })),
        [_, _, _] => Ok(None),
        [missing, ..] => Err(Error::IncompleteRetryBudget { missing: (*missing).clone() }),
    }
}
