//! What the tests share: small settings and stand-ins that speak the wires from their public pages.
#![allow(dead_code)]

use molevale::counters::Counters;
use molevale::faktory::{Node, Operator};
use molevale::shutdown::Phase;
use serde_json::{json, Value};
use std::sync::Arc;
use tokio::io::{duplex, AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, BufReader};
use tokio::sync::watch;

/// Settings of two classes and one tenant, in the nested form of a node's configuration.
pub fn settings(cancelling: bool) -> Value {
    json!({
        "Azs": ["ljubljana"], "HostTypes": ["gen-a"], "Siblings": 1, "ResolutionUs": 1000,
        "Stats": {"Fields": ["err_ps", "depth", "x0"]},
        "FamilyInfo": {"TellsStart": true, "ReportX0": "free_slots"},
        "Limits": {"MaxAttempts": 3, "Cancelling": cancelling, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000,
            "ConnectTimeoutUs": 250_000, "ConnIdleUs": 60_000_000},
        "Parties": [{"Name": "sava", "QuotaPerS": 1000.0, "Share": 1.0}],
        "Profiles": [
            {"Name": "check", "AimUs": 1_000_000, "DeadlineUs": 5_000_000, "Worth": 2.0, "Semantics": "safe"},
            {"Name": "lodge", "AimUs": 1_000_000, "DeadlineUs": 8_000_000, "Worth": 5.0, "Semantics": "keyed",
                "Group": "all", "RepeatWindowUs": 20_000_000},
        ],
    })
}

pub fn operator(aim_us: u64) -> Operator {
    let mut settings = settings(false);
    for class in settings["Profiles"].as_array_mut().unwrap() {
        class["AimUs"] = aim_us.into();
        class["DeadlineUs"] = class["DeadlineUs"].as_u64().max(Some(aim_us)).into();
    }
    let text = toml::to_string(&json!({"listen": "127.0.0.1:0", "settings": settings})).unwrap();
    Operator::parse(&text).unwrap()
}

/// A Faktory front without a listener, its counters and the phase it goes by.
pub fn faktory(password: Option<&str>) -> (Node, Arc<Counters>, watch::Sender<Phase>) {
    let (phase, seen) = watch::channel(Phase::Serving);
    let counters = Arc::new(Counters::default());
    let node = Node::start(&operator(1_000_000), password.map(String::from), counters.clone(), seen).unwrap();
    (node, counters, phase)
}

pub trait Stream: AsyncRead + AsyncWrite + Unpin + Send {}
impl<S: AsyncRead + AsyncWrite + Unpin + Send> Stream for S {}

/// A stand-in for a Faktory client or worker.
pub struct Peer(pub BufReader<Box<dyn Stream>>);

impl Peer {
    /// Connects within the process: with paused time, nothing here depends on the machine's pace.
    pub async fn connect(node: &Node, hello: &str) -> Peer {
        let (near, far) = duplex(1 << 17);
        let node = node.clone();
        tokio::spawn(async move { node.session(far).await });
        let mut peer = Peer(BufReader::new(Box::new(near)));
        assert_eq!(peer.reply().await, "+HI {\"v\":2}");
        assert_eq!(peer.ask(&format!("HELLO {hello}")).await, "+OK");
        peer
    }

    pub async fn client(node: &Node) -> Peer {
        Peer::connect(node, "{\"v\":2}").await
    }

    pub async fn worker(node: &Node, wid: &str) -> Peer {
        Peer::connect(node, &format!("{{\"v\":2,\"wid\":\"{wid}\"}}")).await
    }

    pub async fn tell(&mut self, line: &str) {
        self.0.write_all(format!("{line}\r\n").as_bytes()).await.unwrap();
    }

    /// A reply: a line, or what a bulk string holds; empty at the end of the connection.
    pub async fn reply(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).await.unwrap();
        let line = line.trim_end().to_string();
        let Some(n) = line.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else { return line };
        let mut body = vec![0; n + 2];
        self.0.read_exact(&mut body).await.unwrap();
        String::from_utf8(body[..n].to_vec()).unwrap()
    }

    pub async fn ask(&mut self, line: &str) -> String {
        self.tell(line).await;
        self.reply().await
    }

    pub async fn push(&mut self, queue: &str, jid: &str, key: &str) -> String {
        self.ask(&format!("PUSH {}", job(queue, jid, key))).await
    }

    /// Fetches a job and returns its jid; `None` where there is none.
    pub async fn fetch(&mut self) -> Option<String> {
        let got = self.ask("FETCH check lodge").await;
        let job = (got != "$-1").then(|| serde_json::from_str::<Value>(&got).expect(&got))?;
        Some(job["jid"].as_str().unwrap().to_string())
    }

    pub async fn done(&mut self, jid: &str) -> String {
        self.ask(&format!("ACK {{\"jid\":\"{jid}\"}}")).await
    }

    /// How a job ended, or what it is about.
    pub async fn state(&mut self, jid: &str) -> String {
        let got = self.ask(&format!("TRACK GET {jid}")).await;
        let Ok(told) = serde_json::from_str::<Value>(&got) else { return got };
        told["answer"].as_str().or(told["state"].as_str()).unwrap().to_string()
    }
}

pub fn job(queue: &str, jid: &str, key: &str) -> String {
    json!({"jid": jid, "jobtype": "declare", "args": [1, "x"], "queue": queue,
        "custom": {"tenant": "sava", "key": key}})
    .to_string()
}
