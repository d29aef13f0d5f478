//! Replies of the Faktory frontend, compared byte for byte with recorded files: the greeting, the result and the errors of
//! each command, jobs as workers receive them, job states and the server's information.
//!
//! `GOLDEN_RECORD=1` records the files again.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

mod common;

use common::{faktory_job, start_faktory, FaktoryConnection};
use molevale::faktory::Server;
use molevale::phase::Phases;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{duplex, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::time::sleep;

fn assert_golden(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/faktory").join(name);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
    }
    let golden = std::fs::read_to_string(&path).unwrap();
    for (line, (want, got)) in golden.lines().zip(text.lines()).enumerate() {
        assert_eq!(got, want, "{name}, line {}", line + 1);
    }
    assert_eq!(text, golden, "{name}");
}

/// Lines sent over several connections, in order, each with the name of its connection and its direction.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn record(&mut self, name: &str, direction: char, bytes: &[u8]) {
        let shown = match bytes.len() {
            0..=2000 => bytes.escape_ascii().to_string(),
            length => format!("{}... {length} bytes", bytes[..40].escape_ascii()),
        };
        self.0 += &format!("{name}{direction} {shown}\n");
    }

    async fn send(&mut self, (name, connection): (&str, &mut FaktoryConnection), line: impl AsRef<[u8]>) {
        self.record(name, '>', line.as_ref());
        connection.0.write_all(line.as_ref()).await.unwrap();
        connection.0.write_all(b"\r\n").await.unwrap();
    }

    /// Reads one whole reply with its line ends; empty at the end of the connection.
    async fn read_reply(&mut self, (name, connection): (&str, &mut FaktoryConnection)) -> Vec<u8> {
        let mut bytes = Vec::new();
        connection.0.read_until(b'\n', &mut bytes).await.unwrap();
        let head = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(length) = head.strip_prefix('$').and_then(|n| n.trim_end().parse::<usize>().ok()) {
            let mut body = vec![0; length + 2];
            connection.0.read_exact(&mut body).await.unwrap();
            bytes.extend(body);
        }
        self.record(name, '<', &bytes);
        bytes
    }

    async fn exchange(&mut self, (name, connection): (&str, &mut FaktoryConnection), line: impl AsRef<[u8]>) {
        self.send((name, &mut *connection), line).await;
        self.read_reply((name, connection)).await;
    }

    /// Opens a connection and reads the greeting.
    async fn connect(&mut self, node: &Server, name: &str) -> FaktoryConnection {
        let (near, far) = duplex(1 << 17);
        let node = node.clone();
        tokio::spawn(async move { node.serve_connection(far).await });
        let mut connection = FaktoryConnection(BufReader::new(Box::new(near)));
        let before = self.0.len();
        let greeting = self.read_reply((name, &mut connection)).await;
        // The salt is random.
        let greeting = String::from_utf8(greeting).unwrap();
        if let Some(salt) = greeting.split("\"s\":\"").nth(1).and_then(|rest| rest.split('"').next()) {
            assert!(salt.len() == 16 && salt.bytes().all(|b| b.is_ascii_hexdigit()), "{salt}");
            let masked = self.0[before..].replace(salt, "SALT");
            self.0.replace_range(before.., &masked);
        }
        connection
    }

    async fn connect_with_hello(&mut self, node: &Server, name: &str, hello: &str) -> FaktoryConnection {
        let mut connection = self.connect(node, name).await;
        self.exchange((name, &mut connection), format!("HELLO {hello}")).await;
        connection
    }
}

async fn record_greetings(log: &mut Transcript) {
    let (node, _, _phases) = start_faktory(Some("secret"));
    for hello in ["HELLO {\"v\":2}", "HELLO {\"v\":2,\"pwdhash\":\"00\"}"] {
        let mut connection = log.connect(&node, "password").await;
        log.exchange(("password", &mut connection), hello).await;
        log.read_reply(("password", &mut connection)).await;
    }
    let (node, _, _phases) = start_faktory(None);
    let long = format!("HELLO {{\"v\":2,\"wid\":\"{}\"}}", "w".repeat(257));
    for first in [
        "HELLO {\"v\":1}",
        "HELLO {\"v\":3}",
        "HELLO {",
        "HELLO 2",
        "HELLO",
        "HELLO {\"v\":2,\"wid\":\"\"}",
        &long,
        "PUSH {}",
        "INFO",
        "NONSENSE",
        "END",
    ] {
        let mut connection = log.connect(&node, "first").await;
        log.exchange(("first", &mut connection), first).await;
        log.read_reply(("first", &mut connection)).await;
    }
}

async fn record_client_errors(log: &mut Transcript, client: &mut FaktoryConnection) {
    let valid = faktory_job("lodge", "job-00009", "k");
    let custom = |fields: &str| valid.replace("\"custom\":{", &format!("\"custom\":{{{fields},"));
    let queues: String = (0..65).map(|n| format!(" q{n}")).collect();
    let lines = [
        String::new(),
        "NONSENSE".into(),
        format!("{} x", "N".repeat(40)),
        "push {}".into(),
        "FLUSH\u{7f}\u{e9}".into(),
        "TRACK".into(),
        "TRACK SET {}".into(),
        "TRACK GET job-00009".into(),
        "PUSH".into(),
        "PUSH {".into(),
        "PUSH []".into(),
        "PUSH {\"jid\":\"short\",\"jobtype\":\"x\",\"args\":[]}".into(),
        "PUSH {\"jid\":\"long-enough\",\"args\":[]}".into(),
        "PUSH {\"jid\":\"long-enough\",\"jobtype\":\"\",\"args\":[]}".into(),
        "PUSH {\"jid\":\"long-enough\",\"jobtype\":\"x\",\"args\":{}}".into(),
        "PUSH {\"jid\":\"long-enough\",\"jobtype\":\"x\",\"args\":[]}".into(),
        format!("PUSH {}", valid.replace("\"key\":\"k\"", "\"key\":\"\"")),
        format!("PUSH {}", valid.replace("\"lodge\"", "\"nobody\"")),
        format!("PUSH {}", valid.replace("\"sava\"", "\"nobody\"")),
        format!("PUSH {}", valid.replace("\"tenant\":\"sava\"", "\"x\":1")),
        format!("PUSH {}", valid.replace("\"jid\"", "\"at\":\"2030-01-01T00:00:00Z\",\"jid\"")),
        format!("PUSH {}", valid.replace("{\"key\":\"k\",\"tenant\":\"sava\"}", "2")),
        "PUSH 2".into(),
        "BEAT 2".into(),
        format!("PUSH {}", custom("\"deadline\":0")),
        format!("PUSH {}", custom("\"deadline\":-1")),
        format!("PUSH {}", custom("\"cost_hint\":0")),
        format!("PUSH {}", custom("\"cost_hint\":\"x\"")),
        format!("PUSH {}", "x".repeat(70_000)),
        "FETCH lodge".into(),
        format!("FETCH{queues}"),
        "ACK".into(),
        "ACK 2".into(),
        "ACK []".into(),
        "ACK {\"jid\":\"job-00009\"}".into(),
        "FAIL {\"jid\":\"job-00009\"}".into(),
        "BEAT {\"wid\":\"w1\"}".into(),
        "BEAT []".into(),
        "HELLO {\"v\":2}".into(),
    ];
    for line in lines {
        log.exchange(("client", &mut *client), line).await;
    }
    log.exchange(("client", &mut *client), b"PUSH \xff\xfe").await;
}

async fn record_job_lifecycles(log: &mut Transcript, node: &Server, client: &mut FaktoryConnection) {
    let mut w1 = log.connect_with_hello(node, "w1", "{\"v\":2,\"wid\":\"w1\"}").await;
    log.exchange(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    log.exchange(("w1", &mut w1), "BEAT {\"wid\":\"w2\"}").await;
    log.exchange(("w1", &mut w1), "BEAT {\"wid\":\"w1\"}").await;
    log.exchange(("w1", &mut w1), "FETCH").await;
    log.exchange(("w1", &mut w1), "FETCH check nobody").await;
    // A job that is served; its JSON keeps the spaces of its client.
    log.send(("w1", &mut w1), "FETCH check").await;
    let spaced = faktory_job("check", "job-00001", "a").replace(',', " , ");
    log.exchange(("client", &mut *client), format!("PUSH   {spaced}  ")).await;
    log.read_reply(("w1", &mut w1)).await;
    log.exchange(("client", &mut *client), "TRACK GET job-00001").await;
    log.exchange(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    log.exchange(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    log.exchange(("client", &mut *client), "TRACK GET job-00001").await;
    // A waiting job, duplicates of it, and a jid in use for another job.
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00002", "b"))).await;
    log.exchange(("client", &mut *client), "TRACK GET job-00002").await;
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00003", "b"))).await;
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00002", "c"))).await;
    log.exchange(("w1", &mut w1), "FETCH lodge").await;
    log.exchange(("client", &mut *client), "TRACK GET job-00003").await;
    log.exchange(("w1", &mut w1), "ACK {\"jid\":\"job-00003\"}").await;
    log.exchange(("client", &mut *client), "INFO").await;
    // Fails until no attempt is left or its deadline passes.
    log.exchange(("w1", &mut w1), "FAIL {\"jid\":\"job-00002\",\"errtype\":\"E\",\"message\":\"m\"}").await;
    log.exchange(("w1", &mut w1), "FETCH lodge").await;
    sleep(Duration::from_secs(9)).await;
    log.exchange(("client", &mut *client), "TRACK GET job-00002").await;
    log.exchange(("client", &mut *client), "TRACK GET job-00003").await;
    // A draining worker.
    log.exchange(("w1", &mut w1), "BEAT {\"wid\":\"w1\",\"current_state\":\"quiet\"}").await;
    log.exchange(("w1", &mut w1), "BEAT {\"wid\":\"w1\"}").await;
    log.exchange(("w1", &mut w1), "FETCH lodge").await;
    // No worker fetches it before its deadline.
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00004", "d"))).await;
    sleep(Duration::from_secs(9)).await;
    log.exchange(("client", &mut *client), "TRACK GET job-00004").await;
    for n in 0..70 {
        client.push("lodge", &format!("job-100{n:02}"), "e").await;
    }
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-20000", "e"))).await;
    log.send(("w1", &mut w1), "END").await;
    log.read_reply(("w1", &mut w1)).await;
    log.exchange(("client", &mut *client), "INFO").await;
}

async fn record_drain(log: &mut Transcript, client: &mut FaktoryConnection, phases: &Phases) {
    assert!(phases.drain());
    log.exchange(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00005", "f"))).await;
    log.send(("client", &mut *client), "END").await;
    log.read_reply(("client", client)).await;
}

#[tokio::test(start_paused = true)]
async fn each_reply_is_as_recorded() {
    let mut log = Transcript::default();
    record_greetings(&mut log).await;
    let (node, _, phases) = start_faktory(None);
    let mut client = log.connect_with_hello(&node, "client", "{\"v\":2}").await;
    record_client_errors(&mut log, &mut client).await;
    record_job_lifecycles(&mut log, &node, &mut client).await;
    record_drain(&mut log, &mut client, &phases).await;
    assert_golden("session.txt", &log.0);
}

/// A push that can't be served before its deadline is shed at once, with the time to wait before a retry.
#[tokio::test(start_paused = true)]
async fn a_shed_push_names_the_time_to_wait() {
    let mut log = Transcript::default();
    let (node, _, _phases) = start_faktory(None);
    let mut client = log.connect_with_hello(&node, "client", "{\"v\":2}").await;
    let _worker = log.connect_with_hello(&node, "w1", "{\"v\":2,\"wid\":\"w1\"}").await;
    for deadline in ["1e-9", "0.001", "0.02"] {
        let custom = format!("\"custom\":{{\"deadline\":{deadline},");
        let push = faktory_job("check", "job-00001", "k").replace("\"custom\":{", &custom);
        log.exchange(("client", &mut client), format!("PUSH {push}")).await;
        log.exchange(("client", &mut client), "TRACK GET job-00001").await;
    }
    assert!(log.0.contains("-ERR refused: try again in "), "no push was shed");
    assert_golden("refused.txt", &log.0);
}

#[test]
fn errors_in_the_faktory_file_are_as_recorded() {
    let valid = "listen = \"127.0.0.1:7419\"\n";
    let mut text = String::new();
    for file in [
        String::new(),
        valid.into(),
        "listen = \"nowhere\"\n".into(),
        format!("{valid}unknown = 1\n"),
        format!("{valid}settings = 1\n"),
        format!("{valid}[settings]\nSiblings = \"two\"\n"),
        append_settings(valid, true),
        append_settings(&format!("{valid}connections = 0\n"), false),
        append_settings(&format!("{valid}connections = -1\n"), false),
    ] {
        let Err(error) = molevale::faktory::FaktoryConfig::parse(&file) else { panic!("{file}") };
        text += &format!("{error}\n");
    }
    assert_golden("operator_file_errors.txt", &text);
}

fn append_settings(head: &str, cancelling: bool) -> String {
    let settings = common::settings(cancelling, 1_000_000);
    let tail = toml::to_string(&serde_json::json!({ "settings": settings })).unwrap();
    format!("{head}{tail}")
}
