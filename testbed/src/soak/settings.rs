//! Settings of a soak run: short deadlines, request classes with every semantics of a repeat, more workers than the load needs.

use super::history::Semantics;
use crate::wire;
use serde_json::{json, Value};
use std::time::Duration;

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// What a repeat may do.
    pub semantics: Semantics,
    /// Its clients wait so long.
    pub deadline: Duration,
    /// Its part of the requests.
    pub share: f64,
}

/// The classes of the deployment.
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

/// A job's mean work at a worker.
pub const MEAN_WORK: Duration = Duration::from_millis(60);
/// Jobs that a worker runs at once.
pub const SLOTS: usize = 6;
/// For which workers drop a repeat of a key.
pub const REPEAT_WINDOW: Duration = Duration::from_millis(6_000);
/// The time for a connection to a worker to come up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The part of its capacity that a cold worker has.
pub const COLD_SHARE: f64 = 0.13;
/// After which it is warm.
pub const WARM_UP: Duration = Duration::from_secs(8);
/// A cold worker falls at this multiple of what it can do ...
pub const OVERLOAD_MULTIPLE: f64 = 3.0;
/// ... within this time.
pub const OVERLOAD_WINDOW: Duration = Duration::from_secs(1);

/// Jobs a second that a warm worker can do.
pub fn worker_capacity() -> f64 {
    SLOTS as f64 / MEAN_WORK.as_secs_f64()
}

/// The settings of a node.
pub fn settings(node: usize, nodes: usize, workers: usize, max_attempts: usize, cancelling: bool) -> Value {
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
            let semantics = match class.semantics {
                Semantics::Safe => "safe",
                Semantics::Keyed => "keyed",
                Semantics::Unsafe => "unsafe",
            };
            json!({"Name": class.name, "AimUs": 500_000, "DeadlineUs": us(class.deadline), "Worth": 2.0,
                "LateWorth": 0.2, "Semantics": semantics, "Group": "all", "RepeatWindowUs": us(REPEAT_WINDOW)})
        })
        .collect();
    settings
}
