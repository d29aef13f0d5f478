//! The program, started on settings made like each of the deployments in `deploy/sites`: every class of every tenant is
//! served, over real sockets.

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::Duration;
use testbed::discovery::Discovery;
use testbed::process::{call, Process};
use testbed::wire;
use testbed::worker::{Kind, Worker};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

fn sites() -> Vec<(String, toml::Value)> {
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
fn settings(site: &toml::Value) -> Value {
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

/// What is not plain in a path, as `%` and two digits.
fn in_path(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { (b as char).to_string() } else { format!("%{b:02X}") }).collect()
}

#[tokio::test]
async fn the_program_serves_every_class_of_every_deployment() {
    let sites = sites();
    assert!(sites.len() >= 3);
    for (n, (name, site)) in sites.into_iter().enumerate() {
        let pid = std::process::id();
        let own = format!("127.{}.{}.{}", 80 + n, pid / 256 % 256, pid % 256);
        let settings = settings(&site);
        let worker = Worker::start("127.0.0.1:0".parse().unwrap(), Kind::default(), false).await.unwrap();
        let mut line = wire::line("s-1", worker.address, "in_service", 0);
        line["locality"] = settings["Azs"][0].clone();
        line["flavor"] = settings["HostTypes"][0].clone();
        let discovery = Discovery::start("127.0.0.1:0".parse().unwrap(), vec![line.clone()]).await.unwrap();
        // Few descriptors, as the least deployment has them.
        let config = json!({"name": "n1", "listen": format!("{own}:8443"), "management": format!("{own}:9000"),
            "discovery": discovery.address.to_string(), "seed": "7", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
            "known": {"revision": 1, "complete": true, "members": [line]}});
        let folder = std::env::temp_dir().join(format!("molevale-site-{pid}-{name}"));
        let program = Path::new(env!("CARGO_BIN_EXE_molevale"));
        let mut node = Process::start(program, &folder, &config, &[]).unwrap();
        let up = async {
            while call(node.management, "GET", "/healthcheck").await.is_none_or(|(status, _)| status != 200) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        timeout(Duration::from_secs(20), up).await.expect("it serves");
        let of =
            |key: &str| -> Vec<Value> { config["settings"][key].as_array().cloned().unwrap_or_default() };
        let mut tenants: Vec<String> =
            of("Parties").iter().map(|p| p["Name"].as_str().unwrap().to_string()).collect();
        if tenants.is_empty() {
            tenants.push(String::new());
        }
        let mut served = 0;
        for (c, class) in of("Profiles").iter().enumerate() {
            for (t, tenant) in tenants.iter().enumerate() {
                let (class_name, deadline) =
                    (class["Name"].as_str().unwrap(), class["DeadlineUs"].as_f64().unwrap() / 1e6);
                let key = (class["Semantics"] == "keyed").then_some("k1");
                let text =
                    wire::job(class_name, &format!("{c:08x}{t:08x}"), tenant, key, deadline, None, "1000");
                let text = text.replacen(
                    &format!("POST /{class_name}"),
                    &format!("POST /{}", in_path(class_name)),
                    1,
                );
                let mut stream = BufReader::new(TcpStream::connect(format!("{own}:8443")).await.unwrap());
                stream.get_mut().write_all(text.as_bytes()).await.unwrap();
                let answer =
                    timeout(Duration::from_secs(10), wire::head(&mut stream)).await.expect("an answer");
                let head = answer.expect("an answer");
                let mut body = vec![0; wire::length(&head)];
                stream.read_exact(&mut body).await.unwrap();
                let body = String::from_utf8_lossy(&body).to_string();
                assert_eq!(
                    (wire::status(&head), body.as_str()),
                    (Some(200), "ok"),
                    "{name}: {class_name} of {tenant}"
                );
                served += 1;
            }
        }
        assert_eq!(worker.seen().done, served, "{name}");
        node.kill();
        std::fs::remove_dir_all(folder).unwrap();
    }
}
