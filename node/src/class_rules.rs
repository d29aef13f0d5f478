//! Rules of a class as two processes of a node exchange them: by name, since the numbers of classes and machine types
//! differ between processes.

use dispatch_policy::api::{ClassSettings, Idempotency, KeyScope};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether requests of a class may be executed more than once, in the words of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Semantics {
    #[serde(rename = "safe")]
    Safe,
    #[serde(rename = "keyed-all")]
    KeyedInFleet,
    #[serde(rename = "keyed-zone")]
    KeyedInZone,
    #[serde(rename = "keyed-cell")]
    KeyedInCell,
    #[serde(rename = "unsafe")]
    Unsafe,
}

impl From<Idempotency> for Semantics {
    fn from(idempotency: Idempotency) -> Semantics {
        match idempotency {
            Idempotency::Idempotent => Semantics::Safe,
            Idempotency::WithKey(KeyScope::Fleet) => Semantics::KeyedInFleet,
            Idempotency::WithKey(KeyScope::Zone) => Semantics::KeyedInZone,
            Idempotency::WithKey(KeyScope::Cell) => Semantics::KeyedInCell,
            Idempotency::NotIdempotent => Semantics::Unsafe,
        }
    }
}

impl From<Semantics> for Idempotency {
    fn from(semantics: Semantics) -> Idempotency {
        match semantics {
            Semantics::Safe => Idempotency::Idempotent,
            Semantics::KeyedInFleet => Idempotency::WithKey(KeyScope::Fleet),
            Semantics::KeyedInZone => Idempotency::WithKey(KeyScope::Zone),
            Semantics::KeyedInCell => Idempotency::WithKey(KeyScope::Cell),
            Semantics::Unsafe => Idempotency::NotIdempotent,
        }
    }
}

/// A class with all of its rules. Requests keep the rules under which they were accepted, so two classes are the same
/// only if these are equal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    name: String,
    semantics: Semantics,
    #[serde(rename = "window_us")]
    deduplication_window_us: u64,
    deadline_us: u64,
    #[serde(rename = "aim_us")]
    objective_us: u64,
    #[serde(rename = "aim_stretch")]
    objective_per_work: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    #[serde(rename = "late_worth")]
    late_weight: f64,
    /// Machine type that its requests require, by name.
    #[serde(rename = "kind")]
    required_kind: Option<String>,
}

impl ClassRules {
    /// Describes a class; `kinds` are the names of the machine types by number.
    pub fn new(name: &str, settings: &ClassSettings, kinds: &[String]) -> ClassRules {
        let ClassSettings {
            objective_us,
            objective_per_work,
            deadline_us,
            priority_weight,
            late_weight,
            idempotency,
            deduplication_window_us,
            required_kind,
        } = *settings;
        let kind_name =
            |kind: u8| kinds.get(usize::from(kind)).cloned().unwrap_or_else(|| format!("kind {kind}"));
        ClassRules {
            name: name.to_string(),
            semantics: idempotency.into(),
            deduplication_window_us,
            deadline_us,
            objective_us,
            objective_per_work,
            priority_weight,
            late_weight,
            required_kind: required_kind.map(kind_name),
        }
    }

    /// Name of the class.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Longest time for which a client waits for the answer to one of its requests.
    pub fn deadline(&self) -> Duration {
        Duration::from_micros(self.deadline_us)
    }

    /// Whether its requests may be executed more than once.
    pub fn idempotency(&self) -> Idempotency {
        self.semantics.into()
    }

    /// Settings of the class where the machine types have these names; `None` if the one that it requires has none here.
    pub fn to_settings(&self, kinds: &[String]) -> Option<ClassSettings> {
        let required_kind = match &self.required_kind {
            Some(name) => Some(u8::try_from(kinds.iter().position(|kind| kind == name)?).ok()?),
            None => None,
        };
        Some(ClassSettings {
            objective_us: self.objective_us,
            objective_per_work: self.objective_per_work,
            deadline_us: self.deadline_us,
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            idempotency: self.idempotency(),
            deduplication_window_us: self.deduplication_window_us,
            required_kind,
        })
    }
}
