//! What others read of the program, byte for byte as it was recorded: its help, what it says of bad input, the answers of
//! the management address, the messages between the two processes of a hand-over, and the settings that are read from the
//! files that come with it. `GOLDEN_RECORD=1` records anew.
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
use process::{own_address, run, Folder, Link, Node, ID};
use record::{check, without_date, without_durations, without_figures};
use serde_json::{json, Value};
use std::fmt::Write;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::{sleep, timeout};

/// Time for the other end to read what was written, where it says nothing of it.
const READ: Duration = Duration::from_millis(300);

#[test]
fn help_of_each_command_is_as_recorded() {
    let folder = Folder::new("help");
    let mut all = String::new();
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
        let (code, out, err) = run(&folder, &arguments, &[]);
        assert_eq!((code, err.as_str()), (Some(0), ""), "{arguments:?}");
        write!(all, "$ molevale {}\n{out}\n", arguments.join(" ")).unwrap();
    }
    check("help.txt", &all);
}

fn good() -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
        "settings": common::settings(true, 1_000_000)})
}

/// The good configuration with another value at this place.
fn with(place: &str, value: Value) -> String {
    let mut text = good();
    let (parent, key) = place.rsplit_once('/').unwrap();
    text.pointer_mut(parent).unwrap()[key] = value;
    text.to_string()
}

/// Bad configurations of the platform's front, by what is bad of each.
fn bad_configurations() -> Vec<(&'static str, String)> {
    let profiles = |key: &str, value: Value| with(&format!("/settings/Profiles/0/{key}"), value);
    let same_names =
        with("/settings/Parties", json!([{"Name": "a", "Share": 1.0}, {"Name": "a", "Share": 1.0}]));
    vec![
        ("not closed", "{\n".to_string()),
        ("empty", String::new()),
        ("a list", "[]".to_string()),
        ("no settings", json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1"}).to_string()),
        ("empty settings", with("/settings", json!({}))),
        ("listen", with("/listen", "nowhere".into())),
        ("no listen", with("/listen", Value::Null)),
        ("discovery", with("/discovery", "nowhere".into())),
        ("no discovery", with("/discovery", Value::Null)),
        ("management", with("/management", "nowhere".into())),
        ("management of no machine", with("/management", "192.0.2.1:1".into())),
        ("listen of no machine", with("/listen", "192.0.2.1:1".into())),
        ("peer_listen", with("/peer_listen", "nowhere".into())),
        ("peers", with("/peers", json!(["127.0.0.1:1", "nowhere"]))),
        ("limits", with("/limits", json!({"sockets": -1}))),
        ("known", with("/known", json!({"revision": 1}))),
        ("known phase", with("/known", json!({"revision": 1, "complete": true, "members": [{"id": "a"}]}))),
        ("two lines", with("/settings/Siblings", "two\nlines".into())),
        ("attempts", with("/settings/Limits/MaxAttempts", 0.into())),
        ("attempts negative", with("/settings/Limits/MaxAttempts", (-1).into())),
        ("connect timeout", with("/settings/Limits/ConnectTimeoutUs", "soon".into())),
        ("no profiles", with("/settings/Profiles", json!([]))),
        ("deadline", profiles("DeadlineUs", 0.into())),
        ("worth", profiles("Worth", (-1).into())),
        ("semantics", profiles("Semantics", "perhaps".into())),
        ("group", with("/settings/Profiles/1/Group", "some".into())),
        ("no name", profiles("Name", "".into())),
        ("one name twice", profiles("Name", "lodge".into())),
        ("one tenant twice", same_names),
        ("quota", with("/settings/Parties/0/QuotaPerS", "much".into())),
        ("share", with("/settings/Parties/0/Share", (-1).into())),
    ]
}

#[test]
fn bad_configurations_end_the_program_as_recorded() {
    let folder = Folder::new("configurations");
    let mut all = String::new();
    let mut note = |what: &str, arguments: &[&str], variables: &[(&str, &str)]| {
        let (code, out, err) = run(&folder, arguments, variables);
        assert_eq!(out, "", "{what}");
        assert_eq!(code, Some(2), "{what}: {err}");
        write!(all, "{what}: {code:?}\n{err}").unwrap();
    };
    let config = [("RELAY_CONFIG", "config.json")];
    for (what, text) in bad_configurations() {
        folder.write("config.json", &text);
        note(what, &[], &config);
    }
    folder.write("config.json", &good().to_string());
    for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_MANAGEMENT"] {
        note(name, &[], &[config[0], (name, "nowhere")]);
    }
    note("no configuration", &[], &[]);
    note("an empty variable", &[], &[("RELAY_CONFIG", "")]);
    note("a configuration that is not there", &[], &[("RELAY_CONFIG", "none.json")]);
    check("bad_configurations.txt", &all);
}

const FLEET: &str = "fleet = \"f\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
const KEY: &str = "current 00112233445566778899aabbccddeeff\n";

#[test]
fn bad_operators_files_and_commands_end_the_program_as_recorded() {
    let folder = Folder::new("operators");
    let mut all = String::new();
    let mut note = |what: &str, wanted: i32, arguments: &[&str], variables: &[(&str, &str)]| {
        let (code, out, err) = run(&folder, arguments, variables);
        assert_eq!(out, "", "{what}");
        assert_eq!(code, Some(wanted), "{what}: {err}");
        write!(all, "{what}: {code:?}\n{err}").unwrap();
    };
    let config = [("RELAY_CONFIG", "config.json")];
    folder.write("config.json", &good().to_string());
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
        note(&format!("faktory {to}"), 2, &["--faktory", "faktory.toml"], &config);
    }
    folder.write("fleet.key", KEY);
    for (what, text, keys) in [
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
        note(&format!("fleet {what}"), 2, &["--fleet", "fleet.toml"], &config);
    }
    folder.write("fleet.toml", FLEET);
    folder.write("fleet.key", KEY);
    note("fleet without a node", 2, &["--fleet", "fleet.toml"], &[]);
    note("fleet and faktory without a node", 2, &["--fleet", "fleet.toml", "--faktory", "f"], &[]);
    note("fleet that is not there", 2, &["--fleet", "none.toml"], &config);
    note("faktory that is not there", 2, &["--faktory", "none.toml"], &config);
    folder.write("config.json", &with("/name", "".into()));
    note("fleet and a node with no name", 2, &["--fleet", "fleet.toml"], &config);
    folder.write("config.json", &with("/name", "n".repeat(300).into()));
    note("fleet and a node with a long name", 2, &["--fleet", "fleet.toml"], &config);
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
        note(arguments, 2, &arguments.split(' ').collect::<Vec<_>>(), &[]);
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
        note(arguments, 1, &arguments.split(' ').collect::<Vec<_>>(), &[]);
    }
    check("bad_files_and_commands.txt", &all);
}

#[test]
fn settings_of_the_files_that_come_along_are_as_recorded() {
    let mut all = String::new();
    let mut read = |name: &str, nested: &Value| {
        let (settings, names) = molevale::names::parse_settings(nested).unwrap();
        writeln!(all, "== {name}").unwrap();
        rendering::settings(&mut all, &settings);
        rendering::names(&mut all, &names);
    };
    let operator: Value = toml::from_str(include_str!("../../deploy/faktory.toml")).unwrap();
    read("faktory.toml", &operator["settings"]);
    for site in deployments::Deployment::all() {
        read(&site.name, &site.settings());
    }
    read("of the tests", &common::settings(true, 1_000_000));
    let duties = "[duties]\nstate = \"state\"\nvoters = [{ name = \"n1\", at = \"127.0.0.1:1\" }, \
        { name = \"n2\", at = \"127.0.0.2:1\" }, { name = \"n3\", at = \"127.0.0.3:1\" }]\nlists = true\n\
        [[duties.errand]]\nname = \"stamp\"\nat = \"127.0.0.1:9100\"\npath = \"/stamp\"\nevery_ms = 1000\n";
    for text in [include_str!("../../deploy/fleet.toml"), &format!("{FLEET}{duties}")] {
        writeln!(all, "== fleet file").unwrap();
        rendering::fleet_file(&mut all, &membership::file::FleetFile::parse(text).unwrap());
    }
    check("settings.txt", &all);
}

/// One call on a connection of its own; the whole answer.
async fn call(at: &str, method: &str, path: &str) -> String {
    let mut socket = TcpStream::connect(at).await.unwrap();
    let text = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n");
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    socket.read_to_string(&mut answer).await.unwrap();
    without_date(&answer)
}

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
    let own = own_address(101);
    let at = format!("{own}:9000");
    let mut all = String::new();
    let duties = format!(
        "[duties]\nvoters = [{{ name = \"n1\", at = \"{own}:7946\" }}, {{ name = \"n2\", at = \"127.0.0.1:1\" }}, \
         {{ name = \"n3\", at = \"127.0.0.1:2\" }}]\nroll = true\n"
    );
    let file = FLEET.replace("127.0.0.1:0", &format!("{own}:7946"));
    for (what, text) in
        [("alone", None), ("with a fleet", Some(file.clone())), ("with duties", Some(file + &duties))]
    {
        let folder = Folder::new("management");
        let mut config = good();
        config["listen"] = format!("{own}:8443").into();
        config["management"] = at.clone().into();
        folder.write("config.json", &config.to_string());
        folder.write("fleet.key", KEY);
        let arguments: &[&str] = match &text {
            Some(text) => {
                folder.write("fleet.toml", text);
                &["--fleet", "fleet.toml"]
            }
            None => &[],
        };
        let _node = Node::start(&folder, arguments, &at).await;
        writeln!(all, "== {what}").unwrap();
        for (method, path) in CALLS {
            let answer = call(&at, method, path).await;
            // The figures of a status are the moment's; its keys and their order are not.
            let answer = match (method, path, what) {
                ("GET", "/fleet" | "/fleet/duties", "alone") => answer,
                ("GET", "/fleet" | "/fleet/duties", _) => without_figures(&answer),
                _ => answer,
            };
            write!(all, "{method} {path}\n{answer}").unwrap();
        }
    }
    check("management.txt", &all.replace(&own, "NODE"));
}

/// What a worker says of a job that it has begun.
fn begun() -> String {
    let line = format!("{{\"id\":\"{ID}\",\"from\":\"s-1\",\"state\":\"started\"}}\n");
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len())
}

/// What it says at the job's end.
fn done() -> String {
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

/// The next head and body, as they came.
async fn message(stream: &mut BufReader<TcpStream>) -> String {
    let head = timeout(Duration::from_secs(10), head(stream)).await.unwrap().expect("a message");
    let mut body = vec![0; length(&head)];
    stream.read_exact(&mut body).await.unwrap();
    without_date(&head) + &String::from_utf8(body).unwrap()
}

fn node_config(own: &str) -> Value {
    let mut config = good();
    config["listen"] = format!("{own}:8443").into();
    config["management"] = format!("{own}:9000").into();
    let member = common::wire::endpoint_entry("s-1", format!("{own}:8500").parse().unwrap(), "in_service", 0);
    config["known"] = json!({"revision": 1, "complete": true, "members": [member]});
    config
}

#[tokio::test]
async fn messages_of_a_process_that_hands_over_are_as_recorded() {
    let own = own_address(102);
    let folder = Folder::new("hands-over");
    folder.write("config.json", &node_config(&own).to_string());
    let worker = TcpListener::bind(format!("{own}:8500")).await.unwrap();
    let _node = Node::start(&folder, &[], &format!("{own}:9000")).await;
    let mut client = BufReader::new(TcpStream::connect(format!("{own}:8443")).await.unwrap());
    client.get_mut().write_all(request().as_bytes()).await.unwrap();
    let (socket, _) = worker.accept().await.unwrap();
    let mut at_worker = BufReader::new(socket);
    let asked = message(&mut at_worker).await;
    at_worker.get_mut().write_all(begun().as_bytes()).await.unwrap();
    sleep(READ).await;
    let (deadline, rest) = asked.split_once("x-deadline: 7.").expect("what is left of 7.5 s");
    let rest = rest.split_once('\r').unwrap().1;
    let mut all = format!("== to the worker\n{deadline}x-deadline: 7.x\r{rest}\n");
    let place = folder.path(&format!("molevale-{own}:8443"));
    let mut link = Link::of(UnixStream::connect(place).await.unwrap());
    let (byte, descriptors) = link.receive().await;
    write!(all, "== {byte}, {descriptors} descriptors\n{}", link.line().await).unwrap();
    link.say("serving\n").await;
    write!(all, "== after 'serving'\n{}", link.line().await).unwrap();
    link.say("ready\n").await;
    let (byte, descriptors) = link.receive().await;
    let job = link.line().await;
    let left = serde_json::from_str::<Value>(&job).unwrap()["left"]["secs"].as_u64().unwrap();
    assert!(left < 8, "{job}");
    write!(all, "== after 'ready': {byte}, {descriptors} descriptors\n{}", without_durations(&job)).unwrap();
    link.say("no\n").await;
    write!(all, "== after 'no', again and again\n{}{}", link.line().await, link.line().await).unwrap();
    at_worker.get_mut().write_all(done().as_bytes()).await.unwrap();
    write!(all, "== to the client\n{}\n", message(&mut client).await).unwrap();
    let mut last = String::new();
    while !last.contains("\"bodies_kib\":0") {
        last = link.line().await;
    }
    write!(all, "== once nothing is left\n{last}").unwrap();
    check("hands_over.txt", &all.replace(&own, "NODE"));
}

#[tokio::test]
async fn a_process_that_takes_over_reads_and_answers_as_recorded() {
    let own = own_address(103);
    let folder = Folder::new("takes-over");
    folder.write("config.json", &node_config(&own).to_string());
    let worker = TcpListener::bind(format!("{own}:8500")).await.unwrap();
    let listener = TcpListener::bind(format!("{own}:8443")).await.unwrap();
    let before = UnixListener::bind(folder.path(&format!("molevale-{own}:8443"))).unwrap();
    // The job of the process before: what is left there are these two connections.
    let mut client = BufReader::new(TcpStream::connect(format!("{own}:8443")).await.unwrap());
    let (to_client, _) = listener.accept().await.unwrap();
    let to_worker = TcpStream::connect(format!("{own}:8500")).await.unwrap();
    let (mut at_worker, _) = worker.accept().await.unwrap();
    let starting = Node::spawn(&folder, &[]);
    let mut link =
        Link::of(timeout(Duration::from_secs(10), before.accept()).await.expect("a new process").unwrap().0);
    let mut all = String::new();
    link.send(&[listener.as_fd()]).await;
    let other = "9b1f03aa5c7e2d42";
    let state = json!({"known": node_config(&own)["known"], "ids": [ID, other]});
    link.say(&format!("{state}\n")).await;
    write!(all, "== once it has the listener and the state\n{}", link.line().await).unwrap();
    link.say("{\"descriptors\":4,\"bodies_kib\":64}\n").await;
    write!(all, "== once it is told what is held\n{}", link.line().await).unwrap();
    link.send(&[to_client.as_fd(), to_worker.as_fd()]).await;
    drop((to_client, to_worker));
    let job = include_str!("golden/node/job.json").replace("NODE", &own);
    link.say(&job).await;
    write!(all, "== once it has a job\n{}", link.line().await).unwrap();
    link.say("H{\"descriptors\":2,\"bodies_kib\":0}\n").await;
    // An id that is open in the process before is turned away; one in a job that came over ends here.
    let mut again = BufReader::new(TcpStream::connect(format!("{own}:8443")).await.unwrap());
    again.get_mut().write_all(request().replace(ID, other).as_bytes()).await.unwrap();
    write!(all, "== an id that is open\n{}\n", message(&mut again).await).unwrap();
    at_worker.write_all(done().as_bytes()).await.unwrap();
    write!(all, "== to the client\n{}\n", message(&mut client).await).unwrap();
    let mut bytes = [0; 1];
    let got = timeout(READ, at_worker.read(&mut bytes)).await;
    assert!(!matches!(got, Ok(Ok(1))), "nothing goes to the worker again");
    drop(starting);
    check("takes_over.txt", &all.replace(&own, "NODE"));
}
