//! Outputs of the program, compared byte for byte with recorded files: its help, its errors for invalid input, the answers
//! of the management address, the messages between the two processes of a handover, and the settings read from the files
//! in `deploy`. `GOLDEN_RECORD=1` records the files again.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;
#[path = "golden/node/process.rs"]
mod process;
#[path = "golden/node/record.rs"]
mod record;
#[path = "golden/node/rendering.rs"]
mod rendering;

use common::deployments;
use common::wire::{head, length};
use molevale::process_handover::{Claim, ClaimResult};
use process::{own_address, run_command, Folder, Link, Node, ID};
use record::{assert_golden, mask_date, mask_durations, mask_numbers};
use serde_json::{json, Value};
use std::fmt::Write;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};

/// Time for the peer to read case was written, where it sends no confirmation.
const READ_DELAY: Duration = Duration::from_millis(300);

#[test]
fn help_of_each_command_is_as_recorded() {
    let folder = Folder::new("help");
    let mut text = String::new();
    for arguments in [
        "--help",
        "-h",
        "--version",
        "help",
        "fleet --help",
        "fleet show --help",
        "fleet duties --help",
        "fleet voter --help",
        "fleet voter add --help",
        "fleet voter remove --help",
        "fleet roll --help",
    ] {
        let arguments: Vec<&str> = arguments.split(' ').collect();
        let (code, stdout, stderr) = run_command(&folder, &arguments, &[]);
        assert_eq!((code, stderr.as_str()), (Some(0), ""), "{arguments:?}");
        write!(text, "$ molevale {}\n{stdout}\n", arguments.join(" ")).unwrap();
    }
    assert_golden("help.txt", &text);
}

fn valid_config() -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "settings": common::settings(true, 1_000_000)})
}

/// The valid configuration with another value at this path.
fn config_with(path: &str, value: Value) -> String {
    let mut text = valid_config();
    let (parent, key) = path.rsplit_once('/').unwrap();
    text.pointer_mut(parent).unwrap()[key] = value;
    text.to_string()
}

/// Invalid configurations of the platform frontend, each with a name.
fn invalid_configurations() -> Vec<(&'static str, String)> {
    let profiles = |key: &str, value: Value| config_with(&format!("/settings/Profiles/0/{key}"), value);
    let same_names =
        config_with("/settings/Parties", json!([{"Name": "a", "Share": 1.0}, {"Name": "a", "Share": 1.0}]));
    vec![
        ("not closed", "{\n".to_string()),
        ("empty", String::new()),
        ("a list", "[]".to_string()),
        ("no settings", json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}).to_string()),
        ("empty settings", config_with("/settings", json!({}))),
        ("listen", config_with("/listen", "nowhere".into())),
        ("no listen", config_with("/listen", Value::Null)),
        ("discovery", config_with("/discovery", "nowhere".into())),
        ("no discovery", config_with("/discovery", Value::Null)),
        ("management", config_with("/management", "nowhere".into())),
        ("management of no machine", config_with("/management", "192.0.2.1:1".into())),
        ("listen of no machine", config_with("/listen", "192.0.2.1:1".into())),
        ("peer_listen", config_with("/peer_listen", "nowhere".into())),
        ("peers", config_with("/peers", json!(["127.0.0.1:1", "nowhere"]))),
        ("limits", config_with("/limits", json!({"sockets": -1}))),
        ("known", config_with("/known", json!({"revision": 1}))),
        (
            "known phase",
            config_with("/known", json!({"revision": 1, "complete": true, "members": [{"id": "a"}]})),
        ),
        ("two lines", config_with("/settings/Siblings", "two\nlines".into())),
        ("attempts", config_with("/settings/Limits/MaxAttempts", 0.into())),
        ("attempts negative", config_with("/settings/Limits/MaxAttempts", (-1).into())),
        ("connect timeout", config_with("/settings/Limits/ConnectTimeoutUs", "soon".into())),
        ("no profiles", config_with("/settings/Profiles", json!([]))),
        ("deadline", profiles("DeadlineUs", 0.into())),
        ("worth", profiles("Worth", (-1).into())),
        ("semantics", profiles("Semantics", "perhaps".into())),
        ("group", config_with("/settings/Profiles/1/Group", "some".into())),
        ("no name", profiles("Name", "".into())),
        ("one name twice", profiles("Name", "lodge".into())),
        ("one tenant twice", same_names),
        ("quota", config_with("/settings/Parties/0/QuotaPerS", "much".into())),
        ("share", config_with("/settings/Parties/0/Share", (-1).into())),
    ]
}

#[test]
fn invalid_configurations_end_the_program_as_recorded() {
    let folder = Folder::new("configurations");
    let mut text = String::new();
    let mut run_and_record = |case: &str, arguments: &[&str], variables: &[(&str, &str)]| {
        let (code, stdout, stderr) = run_command(&folder, arguments, variables);
        assert_eq!(stdout, "", "{case}");
        assert_eq!(code, Some(2), "{case}: {stderr}");
        write!(text, "{case}: {code:?}\n{stderr}").unwrap();
    };
    let config = [("RELAY_CONFIG", "config.json")];
    for (case, text) in invalid_configurations() {
        folder.write("config.json", &text);
        run_and_record(case, &[], &config);
    }
    folder.write("config.json", &valid_config().to_string());
    for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_MANAGEMENT"] {
        run_and_record(name, &[], &[config[0], (name, "nowhere")]);
    }
    run_and_record("no configuration", &[], &[]);
    run_and_record("an empty variable", &[], &[("RELAY_CONFIG", "")]);
    run_and_record("a configuration that is not there", &[], &[("RELAY_CONFIG", "none.json")]);
    assert_golden("bad_configurations.txt", &text);
}

const FLEET: &str = "fleet = \"f\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
const KEY: &str = "current 00112233445566778899aabbccddeeff\n";

#[test]
fn invalid_files_and_commands_end_the_program_as_recorded() {
    let folder = Folder::new("operators");
    let mut text = String::new();
    let mut run_and_record = |case: &str, exit_code: i32, arguments: &[&str], variables: &[(&str, &str)]| {
        let (code, stdout, stderr) = run_command(&folder, arguments, variables);
        assert_eq!(stdout, "", "{case}");
        assert_eq!(code, Some(exit_code), "{case}: {stderr}");
        write!(text, "{case}: {code:?}\n{stderr}").unwrap();
    };
    let config = [("RELAY_CONFIG", "config.json")];
    folder.write("config.json", &valid_config().to_string());
    let faktory = include_str!("../../deploy/faktory.toml");
    for (from, to) in [
        ("Cancelling = false", "Cancelling = true"),
        ("MaxAttempts = 3", "MaxAttempts = 0"),
        ("connections = 256", "connections = 0"),
        ("connections = 256", "conections = 256"),
        ("connections = 256", "connections = \"many\""),
        ("connections = 256", "connections = 1000"),
        ("127.0.0.1:7419", "everywhere"),
        ("127.0.0.1:7419", "192.0.2.1:1"),
        ("listen = ", "# listen = "),
        ("Semantics = \"safe\"", "Semantics = \"perhaps\""),
        ("[settings]", "[settings"),
    ] {
        assert!(faktory.contains(from), "{from}");
        folder.write("faktory.toml", &faktory.replacen(from, to, 1));
        run_and_record(&format!("faktory {to}"), 2, &["--faktory", "faktory.toml"], &config);
    }
    folder.write("fleet.key", KEY);
    for (case, text, keys) in [
        ("unknown field", format!("{FLEET}nodes = 3\n"), KEY),
        ("seeds", format!("{FLEET}seeds = [\n\"here\"]\n"), KEY),
        ("timing", format!("{FLEET}[timing]\nprobe_ms = 1\n"), KEY),
        ("a key twice", format!("{FLEET}key_file = \"other\"\n"), KEY),
        ("cut", format!("{FLEET}listen = "), KEY),
        ("no fleet", FLEET.replace("fleet = ", "# "), KEY),
        ("a short key", FLEET.to_string(), "# none\nprevious 00\n"),
        ("no key", FLEET.to_string(), "# none\n"),
        ("no key file", FLEET.replace("fleet.key", "none.key"), KEY),
        ("listen of no machine", FLEET.replace("127.0.0.1:0", "192.0.2.1:1"), KEY),
    ] {
        folder.write("fleet.toml", &text);
        folder.write("fleet.key", keys);
        run_and_record(&format!("fleet {case}"), 2, &["--fleet", "fleet.toml"], &config);
    }
    folder.write("fleet.toml", FLEET);
    folder.write("fleet.key", KEY);
    run_and_record("fleet without a node", 2, &["--fleet", "fleet.toml"], &[]);
    run_and_record("fleet and faktory without a node", 2, &["--fleet", "fleet.toml", "--faktory", "f"], &[]);
    run_and_record("fleet that is not there", 2, &["--fleet", "none.toml"], &config);
    run_and_record("faktory that is not there", 2, &["--faktory", "none.toml"], &config);
    folder.write("config.json", &config_with("/name", "".into()));
    run_and_record("fleet and a node with no name", 2, &["--fleet", "fleet.toml"], &config);
    folder.write("config.json", &config_with("/name", "n".repeat(300).into()));
    run_and_record("fleet and a node with a long name", 2, &["--fleet", "fleet.toml"], &config);
    for arguments in [
        "--faktory",
        "--help-me",
        "serve",
        "fleet",
        "fleet show",
        "fleet show nowhere",
        "fleet roll 127.0.0.1:1 --away 9",
        "fleet roll 127.0.0.1:1 --away 2 --stop",
        "fleet voter",
        "fleet voter add 127.0.0.1:1 n1",
        "--fleet f fleet show 127.0.0.1:1",
    ] {
        run_and_record(arguments, 2, &arguments.split(' ').collect::<Vec<_>>(), &[]);
    }
    for arguments in [
        "fleet show 127.0.0.1:1",
        "fleet show 127.0.0.1:1 --json",
        "fleet duties 127.0.0.1:1",
        "fleet roll 127.0.0.1:1",
        "fleet roll 127.0.0.1:1 --stop",
        "fleet voter add 127.0.0.1:1 n1 127.0.0.1:2",
        "fleet voter remove 127.0.0.1:1 n1",
    ] {
        run_and_record(arguments, 1, &arguments.split(' ').collect::<Vec<_>>(), &[]);
    }
    assert_golden("bad_files_and_commands.txt", &text);
}

#[test]
fn settings_of_deployed_files_are_as_recorded() {
    let mut text = String::new();
    let mut record = |name: &str, settings: &Value| {
        let (settings, names) = molevale::names::parse_settings(settings).unwrap();
        writeln!(text, "== {name}").unwrap();
        rendering::settings(&mut text, &settings);
        rendering::names(&mut text, &names);
    };
    let faktory: Value = toml::from_str(include_str!("../../deploy/faktory.toml")).unwrap();
    record("faktory.toml", &faktory["settings"]);
    for site in deployments::Deployment::all() {
        record(&site.name, &site.settings());
    }
    record("of the tests", &common::settings(true, 1_000_000));
    let duties = "[duties]\nstate = \"state\"\nvoters = [{ name = \"n1\", at = \"127.0.0.1:1\" }, \
        { name = \"n2\", at = \"127.0.0.2:1\" }, { name = \"n3\", at = \"127.0.0.3:1\" }]\nlists = true\n\
        [[duties.errand]]\nname = \"stamp\"\nat = \"127.0.0.1:9100\"\npath = \"/stamp\"\nevery_ms = 1000\n";
    for file in [include_str!("../../deploy/fleet.toml"), &format!("{FLEET}{duties}")] {
        writeln!(text, "== fleet file").unwrap();
        rendering::fleet_file(&mut text, &membership::file::FleetFile::parse(file).unwrap());
    }
    assert_golden("settings.txt", &text);
}

/// Makes one call on a new connection; returns the whole answer.
async fn call(at: &str, method: &str, path: &str) -> String {
    let mut socket = TcpStream::connect(at).await.unwrap();
    let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    mask_date(&answer)
}

/// The id of another request that is open in the predecessor.
const OTHER_ID: &str = "9b1f03aa5c7e2d42";

const CALLS: [(&str, &str); 22] = [
    ("GET", "/healthcheck"),
    ("GET", "/"),
    ("GET", "/healthcheck/"),
    ("POST", "/healthcheck"),
    ("GET", "/healthcheck/fail"),
    ("DELETE", "/healthcheck/ok"),
    ("POST", "/healthcheck/fail"),
    ("GET", "/healthcheck"),
    ("POST", "/healthcheck/ok"),
    ("GET", "/fleet"),
    ("POST", "/fleet"),
    ("GET", "/fleet/duties"),
    ("POST", "/fleet/voter/add?name=n1&at=127.0.0.1:1"),
    ("POST", "/fleet/voter/add?name=&at=127.0.0.1:1"),
    ("POST", "/fleet/voter/add?name=n1"),
    ("GET", "/fleet/voter/add"),
    ("POST", "/fleet/voter/remove?name=n1"),
    ("POST", "/fleet/voter/remove?name=n1&at=127.0.0.1:1"),
    ("POST", "/fleet/roll"),
    ("POST", "/fleet/roll?away=0"),
    ("POST", "/fleet/roll?away=2"),
    ("POST", "/fleet/roll/stop"),
];

#[tokio::test]
async fn answers_of_the_management_address_are_as_recorded() {
    let ip = own_address(101);
    let at = format!("{ip}:9000");
    let mut text = String::new();
    let duties = format!(
        "[duties]\nvoters = [{{ name = \"n1\", at = \"{ip}:7946\" }}, {{ name = \"n2\", at = \"127.0.0.1:1\" }}, \
         {{ name = \"n3\", at = \"127.0.0.1:2\" }}]\nroll = true\n"
    );
    let file = FLEET.replace("127.0.0.1:0", &format!("{ip}:7946"));
    for (case, fleet_file) in
        [("alone", None), ("with a fleet", Some(file.clone())), ("with duties", Some(file + &duties))]
    {
        let folder = Folder::new("management");
        let mut config = valid_config();
        config["listen"] = format!("{ip}:8443").into();
        config["management"] = at.clone().into();
        folder.write("config.json", &config.to_string());
        folder.write("fleet.key", KEY);
        let arguments: &[&str] = match &fleet_file {
            Some(fleet_file) => {
                folder.write("fleet.toml", fleet_file);
                &["--fleet", "fleet.toml"]
            }
            None => &[],
        };
        let _node = Node::start(&folder, arguments, &at).await;
        writeln!(text, "== {case}").unwrap();
        for (method, path) in CALLS {
            let answer = call(&at, method, path).await;
            // The numbers in a status vary from run to run; its keys and their order do not.
            let answer = match (method, path, case) {
                ("GET", "/fleet" | "/fleet/duties", "alone") => answer,
                ("GET", "/fleet" | "/fleet/duties", _) => mask_numbers(&answer),
                _ => answer,
            };
            write!(text, "{method} {path}\n{answer}").unwrap();
        }
    }
    assert_golden("management.txt", &text.replace(&ip, "NODE"));
}

/// A worker's response head and the update that it has started the request.
fn started_response() -> String {
    let line = format!("{{\"id\":\"{ID}\",\"from\":\"s-1\",\"state\":\"started\"}}\n");
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())
}

/// A worker's last update, and the end of its response.
fn final_update() -> String {
    let line = format!("{{\"id\":\"{ID}\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"r\"}}\n");
    format!("{:x}\r\n{line}\r\n0\r\n\r\n", line.len())
}

fn request() -> String {
    format!(
        "POST /lodge?user=00ff&x=a%20b HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {ID}\r\nX-Class: lodge\r\n\
         X-Tenant: sava\r\nX-Deadline: 7.500\r\nIdempotency-Key: k1\r\nX-Cost-Hint: 1500\r\nX-Retry: 1\r\n\
         X-Extras: slots=2,memory=0.5\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Reads the next head and body.
async fn read_message(stream: &mut BufReader<TcpStream>) -> String {
    let head = timeout(Duration::from_secs(10), head(stream)).await.unwrap().expect("a message");
    let mut body = vec![0; length(&head)];
    stream.read_exact(&mut body).await.unwrap();
    mask_date(&head) + &String::from_utf8(body).unwrap()
}

fn node_config(ip: &str) -> Value {
    let mut config = valid_config();
    config["listen"] = format!("{ip}:8443").into();
    config["management"] = format!("{ip}:9000").into();
    let member = common::wire::endpoint_entry("s-1", format!("{ip}:8500").parse().unwrap(), "in_service", 0);
    config["known"] = json!({"revision": 1, "complete": true, "members": [member]});
    config
}

#[tokio::test]
async fn messages_of_a_predecessor_are_as_recorded() {
    let ip = own_address(102);
    let folder = Folder::new("hands-over");
    folder.write("config.json", &node_config(&ip).to_string());
    let worker = TcpListener::bind(format!("{ip}:8500")).await.unwrap();
    let _node = Node::start(&folder, &[], &format!("{ip}:9000")).await;
    let mut client = BufReader::new(TcpStream::connect(format!("{ip}:8443")).await.unwrap());
    client.get_mut().write_all(request().as_bytes()).await.unwrap();
    let (socket, _) = worker.accept().await.unwrap();
    let mut at_worker = BufReader::new(socket);
    let received = read_message(&mut at_worker).await;
    at_worker.get_mut().write_all(started_response().as_bytes()).await.unwrap();
    sleep(READ_DELAY).await;
    let (deadline, rest) = received.split_once("x-deadline: 7.").expect("a deadline below 7.5 s");
    let rest = rest.split_once('\r').unwrap().1;
    let mut text = format!("== to the worker\n{deadline}x-deadline: 7.x\r{rest}\n");
    let path = folder.path(&format!("molevale-{ip}:8443"));
    let mut link = Link::new(UnixStream::connect(path).await.unwrap());
    let (byte, descriptors) = link.receive_descriptors().await;
    write!(text, "== {byte}, {descriptors} descriptors\n{}", link.read_line().await).unwrap();
    link.send_text("serving\n").await;
    write!(text, "== after 'serving'\n{}", mask_durations(&link.read_line().await)).unwrap();
    link.send_text("ready rules\n").await;
    let (byte, descriptors) = link.receive_descriptors().await;
    let transferred_job = link.read_line().await;
    let left = serde_json::from_str::<Value>(&transferred_job).unwrap()["left"]["secs"].as_u64().unwrap();
    assert!(left < 8, "{transferred_job}");
    write!(
        text,
        "== after 'ready rules': {byte}, {descriptors} descriptors\n{}",
        mask_durations(&transferred_job)
    )
    .unwrap();
    link.send_text("no\n").await;
    let reports = link.read_line().await + &link.read_line().await;
    write!(text, "== after 'no', again and again\n{}", mask_durations(&reports)).unwrap();
    at_worker.get_mut().write_all(final_update().as_bytes()).await.unwrap();
    write!(text, "== to the client\n{}\n", read_message(&mut client).await).unwrap();
    let mut last = String::new();
    while !last.contains("\"bodies_kib\":0") {
        last = link.read_line().await;
    }
    write!(text, "== once nothing is left\n{}", mask_durations(&last)).unwrap();
    assert_golden("hands_over.txt", &text.replace(&ip, "NODE"));
}

/// A job as a predecessor sends it.
const JOB: &str = include_str!("golden/node/job.json");
/// The same from a predecessor of an earlier version.
const JOB_WITHOUT_RULES: &str = include_str!("golden/node/job_without_rules.json");

fn recorded_job() -> Value {
    serde_json::from_str(JOB).unwrap()
}

/// What a predecessor sends, by the version that introduced it.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
enum PredecessorVersion {
    WithoutClaims,
    WithClaims,
    WithRules,
}

/// A successor that has received listener and state from a stand-in for its predecessor, and the connections of a job
/// that the predecessor transfers.
struct TakingOver {
    _folder: Folder,
    ip: String,
    successor: Node,
    link: Link,
    client: BufReader<TcpStream>,
    to_client: TcpStream,
    at_worker: TcpStream,
    to_worker: TcpStream,
    text: String,
}

impl TakingOver {
    /// Starts the successor of a predecessor of this version, up to its message that asks for jobs.
    async fn start(address_number: u8, version: PredecessorVersion) -> TakingOver {
        let ip = own_address(address_number);
        let folder = Folder::new(&format!("takes-over-{address_number}"));
        folder.write("config.json", &node_config(&ip).to_string());
        let worker = TcpListener::bind(format!("{ip}:8500")).await.unwrap();
        let listener = TcpListener::bind(format!("{ip}:8443")).await.unwrap();
        let predecessor = UnixListener::bind(folder.path(&format!("molevale-{ip}:8443"))).unwrap();
        let client = BufReader::new(TcpStream::connect(format!("{ip}:8443")).await.unwrap());
        let (to_client, _) = listener.accept().await.unwrap();
        let to_worker = TcpStream::connect(format!("{ip}:8500")).await.unwrap();
        let (at_worker, _) = worker.accept().await.unwrap();
        let successor = Node::spawn(&folder, &[]);
        let mut link = Link::new(
            timeout(Duration::from_secs(10), predecessor.accept()).await.expect("a successor").unwrap().0,
        );
        let mut text = String::new();
        link.send_descriptors(&[listener.as_fd()]).await;
        let mut state = json!({"known": node_config(&ip)["known"], "ids": [ID, OTHER_ID]});
        if version >= PredecessorVersion::WithClaims {
            state["claims"] = true.into();
        }
        if version >= PredecessorVersion::WithRules {
            state["classes"] = json!([recorded_job()["rules"]["class"]]);
        }
        link.send_text(&format!("{state}\n")).await;
        write!(text, "== once it has the listener and the state\n{}", link.read_line().await).unwrap();
        link.send_text("{\"descriptors\":4,\"bodies_kib\":64}\n").await;
        write!(text, "== once it is told what is held\n{}", link.read_line().await).unwrap();
        TakingOver { _folder: folder, ip, successor, link, client, to_client, at_worker, to_worker, text }
    }

    /// Offers this recorded job with this claim, and records the reply.
    async fn offer_job(&mut self, job: &str, claim: Option<&Claim>) {
        let sockets = [self.to_client.as_fd(), self.to_worker.as_fd()];
        let descriptors: Vec<_> = sockets.into_iter().chain(claim.map(AsFd::as_fd)).collect();
        self.link.send_descriptors(&descriptors).await;
        self.link.send_text(&job.replace("NODE", &self.ip)).await;
        write!(self.text, "== once it has a job\n{}", self.link.read_line().await).unwrap();
    }

    /// Checks that neither connection of the offered job is closed.
    async fn assert_connections_open(&mut self) {
        let mut bytes = [0; 1];
        for connection in [self.client.get_mut(), &mut self.at_worker] {
            assert!(
                timeout(READ_DELAY, connection.read(&mut bytes)).await.is_err(),
                "neither connection is closed"
            );
        }
    }
}

#[tokio::test]
async fn a_successor_accepts_and_sends_the_recorded_messages() {
    let mut taking_over = TakingOver::start(103, PredecessorVersion::WithRules).await;
    let claim = Claim::new().unwrap();
    taking_over.offer_job(JOB, Some(&claim)).await;
    let TakingOver {
        _folder,
        ip,
        successor,
        mut link,
        mut client,
        mut at_worker,
        mut text,
        to_client,
        to_worker,
    } = taking_over;
    drop((to_client, to_worker));
    assert_eq!(claim.take(), ClaimResult::Lost, "the successor has taken the claim");
    link.send_text("H{\"descriptors\":2,\"bodies_kib\":0}\n").await;
    // A request with an id that is open in the predecessor is rejected; a transferred job completes here.
    let mut second_client = BufReader::new(TcpStream::connect(format!("{ip}:8443")).await.unwrap());
    second_client.get_mut().write_all(request().replace(ID, OTHER_ID).as_bytes()).await.unwrap();
    write!(text, "== an id that is open\n{}\n", read_message(&mut second_client).await).unwrap();
    at_worker.write_all(final_update().as_bytes()).await.unwrap();
    write!(text, "== to the client\n{}\n", read_message(&mut client).await).unwrap();
    let mut bytes = [0; 1];
    let read = timeout(READ_DELAY, at_worker.read(&mut bytes)).await;
    assert!(!matches!(read, Ok(Ok(1))), "the request was sent to the worker again");
    drop(successor);
    assert_golden("takes_over.txt", &text.replace(&ip, "NODE"));
}

/// A predecessor of an earlier version offers no claims and may act on a job that it has offered. It gets the messages
/// that it knows; the job and its connections stay its own.
#[tokio::test]
async fn a_successor_rejects_a_job_that_comes_without_a_claim() {
    let mut taking_over = TakingOver::start(104, PredecessorVersion::WithoutClaims).await;
    taking_over.offer_job(JOB_WITHOUT_RULES, None).await;
    taking_over.assert_connections_open().await;
    assert_golden("takes_over_without_claims.txt", &taking_over.text.replace(&taking_over.ip, "NODE"));
}

/// A predecessor of an earlier version tells the class of a job by name only, and its class may have other rules than that
/// of the successor. It gets the messages that it knows; the job and its connections stay its own.
#[tokio::test]
async fn a_successor_rejects_a_job_that_comes_without_its_rules() {
    let mut taking_over = TakingOver::start(105, PredecessorVersion::WithClaims).await;
    let claim = Claim::new().unwrap();
    taking_over.offer_job(JOB_WITHOUT_RULES, Some(&claim)).await;
    taking_over.assert_connections_open().await;
    assert_golden("takes_over_without_rules.txt", &taking_over.text.replace(&taking_over.ip, "NODE"));
}
