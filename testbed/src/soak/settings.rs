//! Settings of a soak run: short deadlines, a request class for each kind of retry semantics, and spare
//! worker capacity.

use super::history::Semantics;
use crate::wire;
use serde_json::{json, Value};
use std::time::Duration;

/// Request class.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Whether its requests may be repeated.
    pub semantics: Semantics,
    /// Time for which clients wait.
    pub deadline: Duration,
    /// Share of the requests.
    pub share: f64,
}

/// The request classes.
pub const CLASSES: [Class; 3] = [
    Class { name: "check", semantics: Semantics::Safe, deadline: Duration::from_millis(1_500), share: 0.5 },
    Class { name: "lodge", semantics: Semantics::Keyed, deadline: Duration::from_millis(2_500), share: 0.3 },
    Class {
        name: "notify",
        semantics: Semantics::Unsafe,
        deadline: Duration::from_millis(2_000),
        share: 0.2,
    },
];

/// Mean work of a request.
pub const MEAN_WORK: Duration = Duration::from_millis(60);
/// Number of requests that a worker runs at once.
pub const SLOTS: usize = 6;
/// Time for which workers deduplicate requests by idempotency key.
pub const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(6_000);
/// Time limit for connecting to a worker.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Share of its capacity that a worker has at a cold start.
pub const COLD_SHARE: f64 = 0.13;
/// Time until a cold worker has full capacity.
pub const WARM_UP: Duration = Duration::from_secs(8);
/// A worker that is warming up is overloaded at this multiple of its capacity ...
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// ... within this time.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Returns the capacity of a warm worker, in mean requests per second.
pub fn worker_capacity() -> f64 {
    SLOTS as f64 / MEAN_WORK.as_secs_f64()
}

/// Settings that differ between the processes of a node.
#[derive(Clone, Copy, Debug)]
pub struct Variation {
    /// Maximum number of attempts.
    pub max_attempts: usize,
    /// Whether attempts can be cancelled.
    pub cancelling: bool,
    /// Semantics of the class `notify`.
    pub notify: Semantics,
}

/// Returns the settings of a node.
pub fn settings(node: usize, nodes: usize, workers: usize, variation: Variation) -> Value {
    let Variation { max_attempts, cancelling, notify } = variation;
    let us = |span: Duration| span.as_micros() as u64;
    let mut settings = wire::settings(cancelling, 500_000);
    settings["Siblings"] = nodes.into();
    settings["Ordinal"] = node.into();
    settings["Limits"]["MaxAttempts"] = max_attempts.into();
    settings["Limits"]["ConnectTimeoutUs"] = us(CONNECT_TIMEOUT).into();
    settings["Limits"]["ConnIdleUs"] = 4_000_000.into();
    settings["Parties"] =
        json!([{"Name": "sava", "QuotaPerS": worker_capacity() * workers as f64, "Share": 1.0}]);
    settings["Invariants"] = json!({"DrainGraceUs": 500_000, "ColdShare": COLD_SHARE, "WarmUpUs": us(WARM_UP),
        "FallMultiple": OVERLOAD_MULTIPLE, "FallUs": us(OVERLOAD_WINDOW)});
    settings["Profiles"] = CLASSES
        .iter()
        .map(|class| {
            let semantics = if class.name == "notify" { notify } else { class.semantics };
            let semantics = match semantics {
                Semantics::Safe => "safe",
                Semantics::Keyed => "keyed",
                Semantics::Unsafe => "unsafe",
            };
            json!({"Name": class.name, "AimUs": 500_000, "DeadlineUs": us(class.deadline), "Worth": 2.0,
                "LateWorth": 0.2, "Semantics": semantics, "Group": "all",
                "RepeatWindowUs": us(DEDUPLICATION_WINDOW)})
        })
        .collect();
    settings
}
