//! Reader of settings in the form of `path=value` lines, as the simulator's first message and a node's
//! configuration carry them.

use crate::api::{
    ClassSettings, Idempotency, InvalidSettings, KeyScope, LoadReport, Micros, RetryBudget, Rules, Settings,
    TenantSettings,
};
use std::collections::BTreeMap;
use std::error;
use std::fmt;

/// Class index that stands for no required kind.
const NO_KIND: f64 = -1.0;

/// Why settings could not be read.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// A value is not a finite number.
    NotANumber {
        /// Its path.
        path: String,
        /// The value.
        value: String,
    },
    /// An item of a list is not a number.
    ItemNotANumber {
        /// The list's path.
        path: String,
        /// The item.
        value: String,
    },
    /// A span or count is negative.
    Negative {
        /// Its path.
        path: String,
        /// The value.
        value: f64,
    },
    /// A flag is neither `true` nor `false`.
    NotAFlag {
        /// Its path.
        path: String,
        /// The value.
        value: String,
    },
    /// A value is none of those that are known.
    UnknownValue {
        /// Its path.
        path: String,
        /// The value.
        value: String,
    },
    /// The retry budget is stated in part.
    IncompleteRetryBudget {
        /// The first path that is missing.
        missing: String,
    },
    /// The settings can't be used together.
    Invalid(InvalidSettings),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: ")?;
        match self {
            Error::NotANumber { path, value } => write!(f, "{path}={value} is not a number"),
            Error::ItemNotANumber { path, value } => write!(f, "{path} holds {value}, not a number"),
            Error::Negative { path, value } => write!(f, "{path}={value} is below zero"),
            Error::NotAFlag { path, value } => write!(f, "{path}={value} is neither true nor false"),
            Error::UnknownValue { path, value } => write!(f, "{path}={value} is not known"),
            Error::IncompleteRetryBudget { missing } => {
                write!(f, "the ration of attempts lacks {missing}")
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

/// Meaning of a value in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Free slots.
    FreeSlots,
    /// Free memory.
    FreeMemory,
    /// Requests that wait.
    Queued,
    /// Requests held.
    InFlight,
    /// A value that is not used.
    Other,
}

impl ReportField {
    /// Sets this field of a report; a value that is not finite counts as not reported.
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

    /// The meaning of the field of this name.
    fn named(name: &str, lines: &KeyValues) -> ReportField {
        let meaning = match name {
            "depth" => return ReportField::Queued,
            "concurrent" => return ReportField::InFlight,
            "x0" => lines.text("FamilyInfo.ReportX0"),
            "x1" => lines.text("FamilyInfo.ReportX1"),
            _ => "",
        };
        match meaning {
            "free_slots" => ReportField::FreeSlots,
            "free_memory" => ReportField::FreeMemory,
            _ => ReportField::Other,
        }
    }
}

/// Settings as values by path.
pub struct KeyValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> KeyValues<'a> {
    /// Splits the lines of a text. Lines without `=` are ignored.
    pub fn new(text: &'a str) -> Self {
        KeyValues(text.lines().filter_map(|line| line.split_once('=')).collect())
    }

    /// The value at this path; empty where there is none.
    pub fn text(&self, path: &str) -> &str {
        self.0.get(path).copied().unwrap_or("")
    }

    /// The number at this path, `absent` where there is none.
    ///
    /// # Errors
    ///
    /// [`Error::NotANumber`] where the value is not a finite number.
    pub fn number(&self, path: &str, absent: f64) -> Result<f64, Error> {
        let value = self.text(path);
        if value.is_empty() {
            return Ok(absent);
        }
        let number = value.parse::<f64>().ok().filter(|number| number.is_finite());
        number.ok_or_else(|| Error::NotANumber { path: path.to_string(), value: value.to_string() })
    }

    /// The span or count at this path, `absent` where there is none.
    ///
    /// # Errors
    ///
    /// [`Error::NotANumber`], or [`Error::Negative`].
    pub fn unsigned(&self, path: &str, absent: u64) -> Result<u64, Error> {
        let value = self.number(path, absent as f64)?;
        if value < 0.0 {
            return Err(Error::Negative { path: path.to_string(), value });
        }
        Ok(value as u64)
    }

    /// The flag at this path, `absent` where there is none.
    ///
    /// # Errors
    ///
    /// [`Error::NotAFlag`] where the value is neither `true` nor `false`.
    pub fn flag(&self, path: &str, absent: bool) -> Result<bool, Error> {
        match self.text(path) {
            "" => Ok(absent),
            "true" => Ok(true),
            "false" => Ok(false),
            value => Err(Error::NotAFlag { path: path.to_string(), value: value.to_string() }),
        }
    }

    fn item(&self, path: &str, i: usize, absent: f64) -> Result<f64, Error> {
        match self.text(path).split(',').nth(i).unwrap_or("") {
            "" => Ok(absent),
            value => value
                .parse::<f64>()
                .map_err(|_| Error::ItemNotANumber { path: path.to_string(), value: value.to_string() }),
        }
    }
}

/// Reads settings and the meaning of the load reports' fields.
///
/// # Errors
///
/// A value that can't be read, or settings that can't be used together.
pub fn parse(text: &str) -> Result<(Settings, Vec<ReportField>), Error> {
    from_key_values(&KeyValues::new(text))
}

/// Reads settings as [`parse`] does, from lines that are already split.
///
/// # Errors
///
/// As [`parse`].
pub fn from_key_values(lines: &KeyValues) -> Result<(Settings, Vec<ReportField>), Error> {
    let fields = report_fields(lines);
    let classes =
        (0..lines.unsigned("Profiles.count", 0)?).map(|i| class(lines, i)).collect::<Result<_, _>>()?;
    let tenants =
        (0..lines.unsigned("Parties.count", 0)?).map(|i| tenant(lines, i)).collect::<Result<_, _>>()?;
    let max_retry_after_us = max_retry_after(lines)?;
    let settings = Settings {
        classes,
        retired_classes: Vec::new(),
        tenants,
        dispatchers: lines.unsigned("Siblings", 1)?.max(1) as u32,
        ordinal: lines.unsigned("Ordinal", 0)? as u32,
        max_senders: 0,      // set by the embedder, which knows
        membership_epoch: 0, // the other dispatchers
        zone: lines.unsigned("Zone", 0)? as u8,
        max_attempts: lines.unsigned("Limits.MaxAttempts", 1)? as u32,
        can_cancel: lines.flag("Limits.Cancelling", false)?,
        peer_messages: lines.flag("Limits.Peers", false)?,
        max_retry_after_us,
        unmarked_retries: !lines.flag("ClientHabits.MarksRetry", true)?,
        can_probe: lines.flag("Limits.Probes", false)?,
        reports_free_slots: fields.contains(&ReportField::FreeSlots),
        polls_endpoints: lines.text("Discovery") == "ask",
        live_weights: lines.text("Weights") == "live",
        acknowledges: false, // set by the embedder
        reports_start: lines.flag("FamilyInfo.TellsStart", false)?,
        progress_interval_us: lines.unsigned("FamilyInfo.ProgressUs", 0)?,
        cross_zone_price: lines.number("Prices.CrossZone", 0.0)?,
        peer_message_price: lines.number("Prices.Peer", 0.0)?,
        handshake_price: lines.number("Prices.Handshake", 0.0)?,
        origin_fetch_price: lines.number("Prices.Origin", 0.0)?,
        idle_timeout_us: lines.unsigned("Limits.ConnIdleUs", 0)?,
        accepted_late_ratio: lines.number("Goal.TailSlack", 0.0)?,
        late_penalty_weight: lines.number("Goal.KeptPromises", 0.0)?,
        worst_class_weight: lines.number("Goal.WorstClass", 0.0)?,
        over_quota_weight: lines.number("OverShareWorth", 1.0)?,
        clock_resolution_us: lines.unsigned("ResolutionUs", 1000)?.max(1),
        max_send_delay_us: 0, // set by the embedder
        rules: rules(lines)?,
    };
    settings.validate().map_err(Error::Invalid)?;
    Ok((settings, fields))
}

fn report_fields(lines: &KeyValues) -> Vec<ReportField> {
    let names = lines.text("Stats.Fields").split(',').filter(|name| !name.is_empty());
    names.map(|name| ReportField::named(name, lines)).collect()
}

fn max_retry_after(lines: &KeyValues) -> Result<Micros, Error> {
    if lines.flag("Limits.RetryAfter", false)? {
        lines.unsigned("Limits.MaxRetryAfterUs", 0)
    } else {
        Ok(0)
    }
}

fn class(lines: &KeyValues, i: u64) -> Result<ClassSettings, Error> {
    let at = format!("Profiles.{i}");
    let kind = lines.item("FamilyInfo.ClassKind", i as usize, NO_KIND)?;
    let objective_per_work = match lines.text("FamilyInfo.ClassStretch") {
        "" => lines.number(&format!("{at}.AimStretch"), 0.0)?,
        _ => lines.item("FamilyInfo.ClassStretch", i as usize, 0.0)?,
    };
    Ok(ClassSettings {
        objective_us: lines.unsigned(&format!("{at}.AimUs"), 0)?,
        objective_per_work,
        deadline_us: lines.unsigned(&format!("{at}.DeadlineUs"), 0)?,
        priority_weight: lines.number(&format!("{at}.Worth"), 1.0)?,
        late_weight: lines.number(&format!("{at}.LateWorth"), 0.0)?,
        idempotency: idempotency(lines, &at)?,
        deduplication_window_us: lines.unsigned(&format!("{at}.RepeatWindowUs"), 0)?,
        required_kind: if kind < 0.0 { None } else { Some(kind as u8) },
    })
}

fn idempotency(lines: &KeyValues, at: &str) -> Result<Idempotency, Error> {
    let unknown = |path: String, value: &str| Error::UnknownValue { path, value: value.to_string() };
    let scope = match lines.text(&format!("{at}.Group")) {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        "all" | "" => KeyScope::Fleet,
        value => return Err(unknown(format!("{at}.Group"), value)),
    };
    match lines.text(&format!("{at}.Semantics")) {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey(scope)),
        "unsafe" | "" => Ok(Idempotency::NotIdempotent),
        value => Err(unknown(format!("{at}.Semantics"), value)),
    }
}

fn tenant(lines: &KeyValues, i: u64) -> Result<TenantSettings, Error> {
    Ok(TenantSettings {
        quota_per_s: lines.number(&format!("Parties.{i}.QuotaPerS"), 0.0)?,
        share: lines.number(&format!("Parties.{i}.Share"), 0.0)?,
    })
}

fn rules(lines: &KeyValues) -> Result<Rules, Error> {
    Ok(Rules {
        poll_interval_us: lines.unsigned("Invariants.AskEveryUs", 10_000_000)?,
        cold_capacity_ratio: lines.number("Invariants.ColdShare", 1.0)?,
        warm_up_us: lines.unsigned("Invariants.WarmUpUs", 0)?,
        overload_multiple: lines.number("Invariants.FallMultiple", 1.0)?,
        overload_window_us: lines.unsigned("Invariants.FallUs", 0)?,
        retry_budget: retry_budget(lines)?,
        soft_removal: lines.flag("Invariants.SoftRemoval", false)?,
    })
}

/// The retry budget, which is stated in full or not at all.
fn retry_budget(lines: &KeyValues) -> Result<Option<RetryBudget>, Error> {
    let paths = ["SpareAttempts", "ExtraRatio", "RatioSpanUs"].map(|name| format!("Invariants.{name}"));
    let absent: Vec<&String> = paths.iter().filter(|path| lines.text(path).is_empty()).collect();
    match absent.as_slice() {
        [] => Ok(Some(RetryBudget {
            min_retries: lines.number(&paths[0], 0.0)?,
            ratio: lines.number(&paths[1], 0.0)?,
            window_us: lines.unsigned(&paths[2], 0)?,
        })),
        [_, _, _] => Ok(None),
        [missing, ..] => Err(Error::IncompleteRetryBudget { missing: (*missing).clone() }),
    }
}
