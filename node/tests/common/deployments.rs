//! The deployments in `deploy/sites` and the settings that a node of each is given.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};

/// The deployments in `deploy/sites`, by name, with what their site files say.
pub fn sites() -> Vec<(String, toml::Value)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy/sites");
    let mut all: Vec<_> = std::fs::read_dir(folder).unwrap().map(|e| e.unwrap().path()).collect();
    all.sort();
    let read = |folder: PathBuf| {
        let name = folder.file_name().unwrap().to_str().unwrap().to_string();
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
        (name, text.parse::<toml::Table>().unwrap().into())
    };
    all.into_iter().map(read).collect()
}

/// The settings that a node of this deployment is given, from the figures of its site file.
pub fn settings(site: &toml::Value) -> Value {
    // Of a range, its first figure.
    let whole = |v: &toml::Value| {
        let v = v.as_array().map_or(v, |range| &range[0]);
        v.as_float().or(v.as_integer().map(|i| i as f64)).unwrap()
    };
    let at = |path: &str| path.split('.').try_fold(site, |v, key| v.get(key)).cloned();
    let number = |path: &str| at(path).as_ref().map_or(0.0, whole);
    let us = |ms: f64| (ms * 1000.0) as u64;
    let list = |path: &str| at(path).and_then(|v| v.as_array().cloned()).unwrap_or_default();
    let tier = &list("tier")[0];
    let names = |items: &[toml::Value]| {
        items.iter().map(|i| i["name"].as_str().unwrap().into()).collect::<Vec<Value>>()
    };
    let (classes, jobs, tenants) = (list("class"), list("fam.class"), list("tenant"));
    let word = |name: &str| match name {
        "queue" => "depth".to_string(),
        "inflight" => "concurrent".to_string(),
        "util" => "load_share".to_string(),
        other => other.to_string(),
    };
    let fields: Vec<String> =
        tier["report"]["fields"].as_array().unwrap().iter().map(|f| word(f.as_str().unwrap())).collect();
    let profiles: Vec<Value> = classes
        .iter()
        .map(|c| {
            let text = |key: &str| c.get(key).and_then(|v| v.as_str()).unwrap_or("all");
            json!({"Name": text("name"), "AimUs": us(whole(&c["aim_ms"])), "DeadlineUs": us(whole(&c["deadline_ms"])),
                "Worth": whole(&c["worth"]), "LateWorth": whole(&c["late_worth"]), "Semantics": text("effect"),
                "Group": text("group"), "RepeatWindowUs": c.get("window_ms").map_or(0, |w| us(whole(w))), "Stream": false})
        })
        .collect();
    let parties: Vec<Value> = tenants
        .iter()
        .map(|t| json!({"Name": t["name"].as_str(), "Share": whole(&t["share"]), "QuotaPerS": 400.0 * whole(&t["share"])}))
        .collect();
    let stretches: Vec<f64> = jobs.iter().map(|j| whole(&j["stretch"])).collect();
    let flag = |path: &str| at(path).and_then(|v| v.as_bool()).unwrap_or(false);
    json!({
        "Azs": list("net.zones").iter().map(|z| z.as_str().unwrap()).collect::<Vec<_>>(),
        "HostTypes": names(tier["kind"].as_array().unwrap()), "Siblings": number("scale.balancers").max(3.0) as u64,
        "ResolutionUs": us(number("day.tick_ms")), "Discovery": "push", "Weights": tier["weights"].as_str(),
        "OverShareWorth": at("load.over_share_worth").as_ref().map_or(1.0, whole),
        "Stats": {"Fields": fields, "Source": tier["report"]["how"].as_str()},
        "FamilyInfo": {"TellsStart": flag("fam.tells_start"), "ProgressUs": (number("fam.progress_s") * 1e6) as u64,
            "ReportX0": "free_slots", "ReportX1": "free_memory", "ClassStretch": stretches,
            "ClassKind": vec![-1; classes.len()]},
        "Limits": {"MaxAttempts": number("allow.max_attempts") as u64, "Cancelling": flag("allow.cancel"),
            "RetryAfter": flag("allow.retry_after"), "MaxRetryAfterUs": us(number("clients.max_retry_after_ms")),
            "MayDuplicate": flag("allow.second_copies"), "Peers": flag("allow.peers"), "Probes": flag("allow.probes"),
            "ConnectTimeoutUs": us(whole(&tier["conn"]["connect_timeout_ms"])),
            "ConnIdleUs": (whole(&tier["conn"]["idle_s"]) * 1e6) as u64},
        "Invariants": {"DrainGraceUs": us(number("rules.drain_grace_ms")), "FallMultiple": number("rules.fall_multiple"),
            "FallUs": us(number("rules.fall_ms")), "ColdShare": 0.2, "WarmUpUs": 10_000_000},
        "ClientHabits": {"MarksRetry": flag("clients.marks_retry")},
        "Prices": {"CrossZone": number("prices.cross_zone"), "Handshake": number("prices.handshake")},
        "Parties": parties, "Profiles": profiles,
    })
}
