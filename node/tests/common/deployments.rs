//! The deployments in `deploy/sites` and the settings of a node of each.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// A deployment's file.
pub struct Deployment {
    pub name: String,
    file: toml::Value,
}

/// A number, or the first one of a range.
fn number(value: &toml::Value) -> f64 {
    let value = value.as_array().map_or(value, |range| &range[0]);
    value.as_float().or(value.as_integer().map(|i| i as f64)).unwrap()
}

/// Converts milliseconds to microseconds.
fn micros(ms: f64) -> u64 {
    (ms * 1000.0) as u64
}

impl Deployment {
    /// All deployments, by name.
    pub fn all() -> Vec<Deployment> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/sites");
        let mut folders: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
        folders.sort();
        folders.into_iter().map(Deployment::read).collect()
    }

    fn read(folder: PathBuf) -> Deployment {
        let name = folder.file_name().unwrap().to_str().unwrap().to_string();
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
        Deployment { name, file: text.parse::<toml::Table>().unwrap().into() }
    }

    /// The value at a path of keys separated by dots.
    fn value(&self, path: &str) -> Option<&toml::Value> {
        path.split('.').try_fold(&self.file, |value, key| value.get(key))
    }

    fn number(&self, path: &str) -> f64 {
        self.value(path).map_or(0.0, number)
    }

    fn flag(&self, path: &str) -> bool {
        self.value(path).and_then(|v| v.as_bool()).unwrap_or(false)
    }

    fn list(&self, path: &str) -> &[toml::Value] {
        self.value(path).and_then(|v| v.as_array()).map_or(&[], Vec::as_slice)
    }

    /// The settings of a node of this deployment.
    pub fn settings(&self) -> Value {
        let tier = &self.list("tier")[0];
        let kinds = tier["kind"].as_array().unwrap().iter();
        json!({
            "Azs": self.list("net.zones").iter().map(|z| z.as_str().unwrap()).collect::<Vec<_>>(),
            "HostTypes": kinds.map(|kind| kind["name"].as_str().unwrap()).collect::<Vec<_>>(),
            "Siblings": self.number("scale.balancers").max(3.0) as u64,
            "ResolutionUs": micros(self.number("day.tick_ms")), "Discovery": "push",
            "Weights": tier["weights"].as_str(),
            "OverShareWorth": self.value("load.over_share_worth").map_or(1.0, number),
            "Stats": {"Fields": report_fields(tier), "Source": tier["report"]["how"].as_str()},
            "FamilyInfo": self.family_info(), "Limits": self.limits(tier),
            "Invariants": {"DrainGraceUs": micros(self.number("rules.drain_grace_ms")),
                "FallMultiple": self.number("rules.fall_multiple"), "FallUs": micros(self.number("rules.fall_ms")),
                "ColdShare": 0.2, "WarmUpUs": 10_000_000},
            "ClientHabits": {"MarksRetry": self.flag("clients.marks_retry")},
            "Prices": {"CrossZone": self.number("prices.cross_zone"), "Handshake": self.number("prices.handshake")},
            "Parties": self.list("tenant").iter().map(tenant).collect::<Vec<_>>(),
            "Profiles": self.list("class").iter().map(class).collect::<Vec<_>>(),
        })
    }

    fn family_info(&self) -> Value {
        let stretches: Vec<f64> = self.list("fam.class").iter().map(|j| number(&j["stretch"])).collect();
        json!({"TellsStart": self.flag("fam.tells_start"), "ProgressUs": (self.number("fam.progress_s") * 1e6) as u64,
            "ReportX0": "free_slots", "ReportX1": "free_memory", "ClassStretch": stretches,
            "ClassKind": vec![-1; self.list("class").len()]})
    }

    fn limits(&self, tier: &toml::Value) -> Value {
        json!({"MaxAttempts": self.number("allow.max_attempts") as u64, "Cancelling": self.flag("allow.cancel"),
            "RetryAfter": self.flag("allow.retry_after"),
            "MaxRetryAfterUs": micros(self.number("clients.max_retry_after_ms")),
            "MayDuplicate": self.flag("allow.second_copies"), "Peers": self.flag("allow.peers"),
            "Probes": self.flag("allow.probes"), "ConnectTimeoutUs": micros(number(&tier["conn"]["connect_timeout_ms"])),
            "ConnIdleUs": (number(&tier["conn"]["idle_s"]) * 1e6) as u64})
    }
}

/// The fields of load reports, by their names in the settings.
fn report_fields(tier: &toml::Value) -> Vec<String> {
    let field = |name: &str| match name {
        "queue" => "depth".to_string(),
        "inflight" => "concurrent".to_string(),
        "util" => "load_share".to_string(),
        other => other.to_string(),
    };
    tier["report"]["fields"].as_array().unwrap().iter().map(|f| field(f.as_str().unwrap())).collect()
}

fn tenant(tenant: &toml::Value) -> Value {
    let share = number(&tenant["share"]);
    json!({"Name": tenant["name"].as_str(), "Share": share, "QuotaPerS": 400.0 * share})
}

fn class(class: &toml::Value) -> Value {
    let text = |key: &str| class.get(key).and_then(|v| v.as_str()).unwrap_or("all");
    json!({"Name": text("name"), "AimUs": micros(number(&class["aim_ms"])),
        "DeadlineUs": micros(number(&class["deadline_ms"])), "Worth": number(&class["worth"]),
        "LateWorth": number(&class["late_worth"]), "Semantics": text("effect"), "Group": text("group"),
        "RepeatWindowUs": class.get("window_ms").map_or(0, |w| micros(number(w))), "Stream": false})
}
