//! The program, started on settings made like each of the deployments in `deploy/sites`: every class of every tenant is
//! served, over real sockets.

mod common;

use common::deployments::{settings, sites};
use serde_json::{json, Value};
use std::path::Path;
use std::time::Duration;
use testbed::discovery::Discovery;
use testbed::process::{call, Process};
use testbed::wire;
use testbed::worker::{Worker, WorkerProfile};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

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
        let worker =
            Worker::start("127.0.0.1:0".parse().unwrap(), WorkerProfile::default(), false).await.unwrap();
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
