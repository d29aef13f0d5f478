//! Starts the program with the settings of each deployment in `deploy/sites`: every class of every tenant is served over
//! real sockets.
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

/// Time limit for a node to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Percent-encodes a name for a path.
fn percent_encode(name: &str) -> String {
    let is_unreserved = |b: u8| b.is_ascii_alphanumeric() || b"-._~".contains(&b);
    name.bytes()
        .map(|b| if is_unreserved(b) { (b as char).to_string() } else { format!("%{b:02X}") })
        .collect()
}

/// A node of a deployment as a process, with a worker that serves all requests.
struct Node {
    process: Process,
    worker: Worker,
    /// The address for clients.
    address: String,
    settings: Value,
    folder: PathBuf,
    _discovery: Discovery,
}

impl Node {
    /// Starts the node of the `n`-th deployment, with as few descriptors as the smallest deployment has.
    async fn start(n: usize, deployment: &Deployment) -> Node {
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{}", 80 + n, pid / 256 % 256, pid % 256);
        let settings = deployment.settings();
        let worker =
            Worker::start("127.0.0.1:0".parse().unwrap(), WorkerProfile::default(), false).await.unwrap();
        let mut entry = wire::endpoint_entry("s-1", worker.address, "in_service", 0);
        entry["locality"] = settings["Azs"][0].clone();
        entry["flavor"] = settings["HostTypes"][0].clone();
        let discovery = Discovery::start("127.0.0.1:0".parse().unwrap(), vec![entry.clone()]).await.unwrap();
        let address = format!("{ip}:8443");
        let config = json!({"name": "n1", "listen": address, "management": format!("{ip}:9000"),
            "discovery": discovery.address.to_string(), "seed": "7", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 32, "sockets": 128},
            "known": {"revision": 1, "complete": true, "members": [entry]}});
        let folder = std::env::temp_dir().join(format!("molevale-site-{pid}-{}", deployment.name));
        let program = Path::new(env!("CARGO_BIN_EXE_molevale"));
        let process = Process::start(program, &folder, &config, &[]).unwrap();
        let node = Node { process, worker, address, settings, folder, _discovery: discovery };
        timeout(START_TIMEOUT, node.wait_until_ready()).await.expect("a ready node");
        node
    }

    /// Waits until the health check succeeds.
    async fn wait_until_ready(&self) {
        let at = self.process.management;
        while call(at, "GET", "/healthcheck").await.is_none_or(|(status, _)| status != 200) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn list(&self, key: &str) -> Vec<Value> {
        self.settings[key].as_array().cloned().unwrap_or_default()
    }

    /// Names of the tenants; one empty name if there are none.
    fn tenants(&self) -> Vec<String> {
        let parties = self.list("Parties");
        if parties.is_empty() {
            return vec![String::new()];
        }
        parties.iter().map(|party| party["Name"].as_str().unwrap().to_string()).collect()
    }

    /// Sends a request of a class; returns the answer's status and body.
    async fn send_request(&self, class: &Value, id: &str, tenant: &str) -> (Option<u16>, String) {
        let name = class["Name"].as_str().unwrap();
        let deadline = class["DeadlineUs"].as_f64().unwrap() / 1e6;
        let key = (class["Semantics"] == "keyed").then_some("k1");
        let text = wire::request_with_fields(name, id, tenant, key, deadline, None, "1000");
        let text = text.replacen(&format!("POST /{name}"), &format!("POST /{}", percent_encode(name)), 1);
        let mut stream = BufReader::new(TcpStream::connect(&self.address).await.unwrap());
        stream.get_mut().write_all(text.as_bytes()).await.unwrap();
        let answer = timeout(ANSWER_TIMEOUT, wire::head(&mut stream)).await.expect("an answer");
        let head = answer.expect("an answer");
        let mut body = vec![0; wire::length(&head)];
        stream.read_exact(&mut body).await.unwrap();
        (wire::status(&head), String::from_utf8_lossy(&body).to_string())
    }

    fn stop(mut self) {
        self.process.kill();
        std::fs::remove_dir_all(self.folder).unwrap();
    }
}

#[tokio::test]
async fn the_program_serves_every_class_of_every_deployment() {
    let deployments = Deployment::all();
    assert!(deployments.len() >= 3);
    for (n, deployment) in deployments.iter().enumerate() {
        let node = Node::start(n, deployment).await;
        let (mut served, name) = (0, &deployment.name);
        for (c, class) in node.list("Profiles").iter().enumerate() {
            for (t, tenant) in node.tenants().iter().enumerate() {
                let answer = node.send_request(class, &format!("{c:08x}{t:08x}"), tenant).await;
                assert_eq!(answer, (Some(200), "ok".to_string()), "{name}: {} of {tenant}", class["Name"]);
                served += 1;
            }
        }
        assert_eq!(node.worker.record().done, served, "{name}");
        node.stop();
    }
}
