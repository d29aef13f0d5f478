//! The program, started on settings made like each of the deployments in `deploy/sites`: every class of every tenant is
//! served, over real sockets.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::deployments::Deployment;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::time::Duration;
use testbed::discovery::Discovery;
use testbed::process::{call, Process};
use testbed::wire;
use testbed::worker::{Worker, WorkerProfile};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time for a node to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// What is not plain in a path, as `%` and two digits.
fn in_path(name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes().map(|b| if plain(b) { (b as char).to_string() } else { format!("%{b:02X}") }).collect()
}

/// A node of a deployment as a process, with a worker that does all jobs.
struct Node {
    process: Process,
    worker: Worker,
    /// Address for clients.
    address: String,
    settings: Value,
    folder: PathBuf,
    _discovery: Discovery,
}

impl Node {
    /// Starts the `n`-th deployment's node, with few descriptors, as the least deployment has them.
    async fn start(n: usize, site: &Deployment) -> Node {
        let pid = std::process::id();
        let own = format!("127.{}.{}.{}", 80 + n, pid / 256 % 256, pid % 256);
        let settings = site.settings();
        let worker =
            Worker::start("127.0.0.1:0".parse().unwrap(), WorkerProfile::default(), false).await.unwrap();
        let mut line = wire::endpoint_entry("s-1", worker.address, "in_service", 0);
        line["locality"] = settings["Azs"][0].clone();
        line["flavor"] = settings["HostTypes"][0].clone();
        let discovery = Discovery::start("127.0.0.1:0".parse().unwrap(), vec![line.clone()]).await.unwrap();
        let address = format!("{own}:8443");
        let config = json!({"name": "n1", "listen": address, "management": format!("{own}:9000"),
            "discovery": discovery.address.to_string(), "seed": "7", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
            "known": {"revision": 1, "complete": true, "members": [line]}});
        let folder = std::env::temp_dir().join(format!("molevale-site-{pid}-{}", site.name));
        let program = Path::new(env!("CARGO_BIN_EXE_molevale"));
        let process = Process::start(program, &folder, &config, &[]).unwrap();
        let node = Node { process, worker, address, settings, folder, _discovery: discovery };
        timeout(START_TIMEOUT, node.serves()).await.expect("it serves");
        node
    }

    /// Returns once it serves.
    async fn serves(&self) {
        let at = self.process.management;
        while call(at, "GET", "/healthcheck").await.is_none_or(|(status, _)| status != 200) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn list(&self, key: &str) -> Vec<Value> {
        self.settings[key].as_array().cloned().unwrap_or_default()
    }

    /// Names of the tenants; one empty name where there are none.
    fn tenants(&self) -> Vec<String> {
        let parties = self.list("Parties");
        if parties.is_empty() {
            return vec![String::new()];
        }
        parties.iter().map(|party| party["Name"].as_str().unwrap().to_string()).collect()
    }

    /// Has a job of a class done; returns the answer's status and body.
    async fn serve(&self, class: &Value, id: &str, tenant: &str) -> (Option<u16>, String) {
        let name = class["Name"].as_str().unwrap();
        let deadline = class["DeadlineUs"].as_f64().unwrap() / 1e6;
        let key = (class["Semantics"] == "keyed").then_some("k1");
        let text = wire::request_with_fields(name, id, tenant, key, deadline, None, "1000");
        let text = text.replacen(&format!("POST /{name}"), &format!("POST /{}", in_path(name)), 1);
        let mut stream = BufReader::new(TcpStream::connect(&self.address).await.unwrap());
        stream.get_mut().write_all(text.as_bytes()).await.unwrap();
        let answer = timeout(ANSWER_TIMEOUT, wire::head(&mut stream)).await.expect("an answer");
        let head = answer.expect("an answer");
        let mut body = vec![0; wire::length(&head)];
        stream.read_exact(&mut body).await.unwrap();
        (wire::status(&head), String::from_utf8_lossy(&body).to_string())
    }

    fn end(mut self) {
        self.process.kill();
        std::fs::remove_dir_all(self.folder).unwrap();
    }
}

#[tokio::test]
async fn the_program_serves_every_class_of_every_deployment() {
    let sites = Deployment::all();
    assert!(sites.len() >= 3);
    for (n, site) in sites.iter().enumerate() {
        let node = Node::start(n, site).await;
        let (mut served, name) = (0, &site.name);
        for (c, class) in node.list("Profiles").iter().enumerate() {
            for (t, tenant) in node.tenants().iter().enumerate() {
                let answer = node.serve(class, &format!("{c:08x}{t:08x}"), tenant).await;
                assert_eq!(answer, (Some(200), "ok".to_string()), "{name}: {} of {tenant}", class["Name"]);
                served += 1;
            }
        }
        assert_eq!(node.worker.record().done, served, "{name}");
        node.end();
    }
}
