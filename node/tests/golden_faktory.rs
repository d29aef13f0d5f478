//! Every reply of the Faktory front, byte for byte, recorded once: the greeting, each command's result and each error,
//! jobs as workers receive them, job states and the server's information.
//!
//! `GOLDEN_RECORD=1` writes the files anew.
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

/// What goes over several connections, in order, each line with the name of its connection.
#[derive(Default)]
struct Transcript(String);

impl Transcript {
    fn note(&mut self, name: &str, way: char, bytes: &[u8]) {
        let shown = match bytes.len() {
            0..=2000 => bytes.escape_ascii().to_string(),
            length => format!("{}... {length} bytes", bytes[..40].escape_ascii()),
        };
        self.0 += &format!("{name}{way} {shown}\n");
    }

    async fn tell(&mut self, (name, peer): (&str, &mut FaktoryConnection), line: impl AsRef<[u8]>) {
        self.note(name, '>', line.as_ref());
        peer.0.write_all(line.as_ref()).await.unwrap();
        peer.0.write_all(b"\r\n").await.unwrap();
    }

    /// Reads one whole reply with its line ends; nothing at the end of the connection.
    async fn reply(&mut self, (name, peer): (&str, &mut FaktoryConnection)) -> Vec<u8> {
        let mut bytes = Vec::new();
        peer.0.read_until(b'\n', &mut bytes).await.unwrap();
        let head = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(length) = head.strip_prefix('$').and_then(|n| n.trim_end().parse::<usize>().ok()) {
            let mut body = vec![0; length + 2];
            peer.0.read_exact(&mut body).await.unwrap();
            bytes.extend(body);
        }
        self.note(name, '<', &bytes);
        bytes
    }

    async fn ask(&mut self, (name, peer): (&str, &mut FaktoryConnection), line: impl AsRef<[u8]>) {
        self.tell((name, &mut *peer), line).await;
        self.reply((name, peer)).await;
    }

    /// Opens a connection and reads the greeting.
    async fn open(&mut self, node: &Server, name: &str) -> FaktoryConnection {
        let (near, far) = duplex(1 << 17);
        let node = node.clone();
        tokio::spawn(async move { node.serve_connection(far).await });
        let mut peer = FaktoryConnection(BufReader::new(Box::new(near)));
        let before = self.0.len();
        let greeting = self.reply((name, &mut peer)).await;
        // The salt is drawn at random.
        let greeting = String::from_utf8(greeting).unwrap();
        if let Some(salt) = greeting.split("\"s\":\"").nth(1).and_then(|rest| rest.split('"').next()) {
            assert!(salt.len() == 16 && salt.bytes().all(|b| b.is_ascii_hexdigit()), "{salt}");
            let masked = self.0[before..].replace(salt, "SALT");
            self.0.replace_range(before.., &masked);
        }
        peer
    }

    async fn hello(&mut self, node: &Server, name: &str, hello: &str) -> FaktoryConnection {
        let mut peer = self.open(node, name).await;
        self.ask((name, &mut peer), format!("HELLO {hello}")).await;
        peer
    }
}

async fn greetings(t: &mut Transcript) {
    let (node, _, _phases) = start_faktory(Some("secret"));
    for hello in ["HELLO {\"v\":2}", "HELLO {\"v\":2,\"pwdhash\":\"00\"}"] {
        let mut peer = t.open(&node, "password").await;
        t.ask(("password", &mut peer), hello).await;
        t.reply(("password", &mut peer)).await;
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
        let mut peer = t.open(&node, "first").await;
        t.ask(("first", &mut peer), first).await;
        t.reply(("first", &mut peer)).await;
    }
}

async fn errors_of_clients(t: &mut Transcript, client: &mut FaktoryConnection) {
    let good = faktory_job("lodge", "job-00009", "k");
    let custom = |fields: &str| good.replace("\"custom\":{", &format!("\"custom\":{{{fields},"));
    let many: String = (0..65).map(|n| format!(" q{n}")).collect();
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
        format!("PUSH {}", good.replace("\"key\":\"k\"", "\"key\":\"\"")),
        format!("PUSH {}", good.replace("\"lodge\"", "\"nobody\"")),
        format!("PUSH {}", good.replace("\"sava\"", "\"nobody\"")),
        format!("PUSH {}", good.replace("\"tenant\":\"sava\"", "\"x\":1")),
        format!("PUSH {}", good.replace("\"jid\"", "\"at\":\"2030-01-01T00:00:00Z\",\"jid\"")),
        format!("PUSH {}", good.replace("{\"key\":\"k\",\"tenant\":\"sava\"}", "2")),
        "PUSH 2".into(),
        "BEAT 2".into(),
        format!("PUSH {}", custom("\"deadline\":0")),
        format!("PUSH {}", custom("\"deadline\":-1")),
        format!("PUSH {}", custom("\"cost_hint\":0")),
        format!("PUSH {}", custom("\"cost_hint\":\"x\"")),
        format!("PUSH {}", "x".repeat(70_000)),
        "FETCH lodge".into(),
        format!("FETCH{many}"),
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
        t.ask(("client", &mut *client), line).await;
    }
    t.ask(("client", &mut *client), b"PUSH \xff\xfe").await;
}

async fn life_of_jobs(t: &mut Transcript, node: &Server, client: &mut FaktoryConnection) {
    let mut w1 = t.hello(node, "w1", "{\"v\":2,\"wid\":\"w1\"}").await;
    t.ask(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    t.ask(("w1", &mut w1), "BEAT {\"wid\":\"w2\"}").await;
    t.ask(("w1", &mut w1), "BEAT {\"wid\":\"w1\"}").await;
    t.ask(("w1", &mut w1), "FETCH").await;
    t.ask(("w1", &mut w1), "FETCH check nobody").await;
    // One that is served, pushed as spaced by its client.
    t.tell(("w1", &mut w1), "FETCH check").await;
    let spaced = faktory_job("check", "job-00001", "a").replace(',', " , ");
    t.ask(("client", &mut *client), format!("PUSH   {spaced}  ")).await;
    t.reply(("w1", &mut w1)).await;
    t.ask(("client", &mut *client), "TRACK GET job-00001").await;
    t.ask(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    t.ask(("w1", &mut w1), "ACK {\"jid\":\"job-00001\"}").await;
    t.ask(("client", &mut *client), "TRACK GET job-00001").await;
    // One that waits, its repeats, and a jid that stands for another job.
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00002", "b"))).await;
    t.ask(("client", &mut *client), "TRACK GET job-00002").await;
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00003", "b"))).await;
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00002", "c"))).await;
    t.ask(("w1", &mut w1), "FETCH lodge").await;
    t.ask(("client", &mut *client), "TRACK GET job-00003").await;
    t.ask(("w1", &mut w1), "ACK {\"jid\":\"job-00003\"}").await;
    t.ask(("client", &mut *client), "INFO").await;
    // It fails until no attempt is left, or is left to its deadline.
    t.ask(("w1", &mut w1), "FAIL {\"jid\":\"job-00002\",\"errtype\":\"E\",\"message\":\"m\"}").await;
    t.ask(("w1", &mut w1), "FETCH lodge").await;
    sleep(Duration::from_secs(9)).await;
    t.ask(("client", &mut *client), "TRACK GET job-00002").await;
    t.ask(("client", &mut *client), "TRACK GET job-00003").await;
    // A worker that is about to stop.
    t.ask(("w1", &mut w1), "BEAT {\"wid\":\"w1\",\"current_state\":\"quiet\"}").await;
    t.ask(("w1", &mut w1), "BEAT {\"wid\":\"w1\"}").await;
    t.ask(("w1", &mut w1), "FETCH lodge").await;
    // Nobody takes it before its deadline.
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00004", "d"))).await;
    sleep(Duration::from_secs(9)).await;
    t.ask(("client", &mut *client), "TRACK GET job-00004").await;
    for n in 0..70 {
        client.push("lodge", &format!("job-100{n:02}"), "e").await;
    }
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-20000", "e"))).await;
    t.tell(("w1", &mut w1), "END").await;
    t.reply(("w1", &mut w1)).await;
    t.ask(("client", &mut *client), "INFO").await;
}

async fn end(t: &mut Transcript, client: &mut FaktoryConnection, phases: &Phases) {
    assert!(phases.drain());
    t.ask(("client", &mut *client), format!("PUSH {}", faktory_job("lodge", "job-00005", "f"))).await;
    t.tell(("client", &mut *client), "END").await;
    t.reply(("client", client)).await;
}

#[tokio::test(start_paused = true)]
async fn each_reply_keeps_its_bytes() {
    let mut t = Transcript::default();
    greetings(&mut t).await;
    let (node, _, phases) = start_faktory(None);
    let mut client = t.hello(&node, "client", "{\"v\":2}").await;
    errors_of_clients(&mut t, &mut client).await;
    life_of_jobs(&mut t, &node, &mut client).await;
    end(&mut t, &mut client, &phases).await;
    assert_golden("session.txt", &t.0);
}

/// A push that can't be served in its time is refused at once, with the time to wait.
#[tokio::test(start_paused = true)]
async fn a_refused_push_names_its_wait() {
    let mut t = Transcript::default();
    let (node, _, _phases) = start_faktory(None);
    let mut client = t.hello(&node, "client", "{\"v\":2}").await;
    let _worker = t.hello(&node, "w1", "{\"v\":2,\"wid\":\"w1\"}").await;
    for deadline in ["1e-9", "0.001", "0.02"] {
        let custom = format!("\"custom\":{{\"deadline\":{deadline},");
        let push = faktory_job("check", "job-00001", "k").replace("\"custom\":{", &custom);
        t.ask(("client", &mut client), format!("PUSH {push}")).await;
        t.ask(("client", &mut client), "TRACK GET job-00001").await;
    }
    assert!(t.0.contains("-ERR refused: try again in "), "none was refused");
    assert_golden("refused.txt", &t.0);
}

/// The texts of errors in the operator's file.
#[test]
fn errors_in_the_operators_file_keep_their_texts() {
    let good = "listen = \"127.0.0.1:7419\"\n";
    let mut text = String::new();
    for file in [
        String::new(),
        good.into(),
        "listen = \"nowhere\"\n".into(),
        format!("{good}unknown = 1\n"),
        format!("{good}settings = 1\n"),
        format!("{good}[settings]\nSiblings = \"two\"\n"),
        with_settings(good, true),
        with_settings(&format!("{good}connections = 0\n"), false),
        with_settings(&format!("{good}connections = -1\n"), false),
    ] {
        let Err(error) = molevale::faktory::FaktoryConfig::parse(&file) else { panic!("{file}") };
        text += &format!("{error}\n");
    }
    assert_golden("operator_file_errors.txt", &text);
}

fn with_settings(head: &str, cancelling: bool) -> String {
    let settings = common::settings(cancelling, 1_000_000);
    let tail = toml::to_string(&serde_json::json!({ "settings": settings })).unwrap();
    format!("{head}{tail}")
}
