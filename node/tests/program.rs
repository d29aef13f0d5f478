//! The program as it is started: what it says of bad input, and the files that come with it.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;

use molevale::config;
use molevale::faktory::FaktoryConfig;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

/// Starts the program with this configuration file's text and these arguments; how it ended.
fn start(text: Option<&str>, arguments: &[&str]) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!(
        "molevale-{}-{:?}",
        std::process::id(),
        std::thread::current().id()
    ));
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.args(arguments).env_remove("RELAY_CONFIG");
    if let Some(text) = text {
        std::fs::write(&path, text).unwrap();
        command.env("RELAY_CONFIG", &path);
    }
    let out = command.output().unwrap();
    drop(std::fs::remove_file(&path));
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

#[test]
fn invalid_input_ends_the_program_with_one_line_and_code_2() {
    let good = serde_json::json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "1", "settings": common::settings(true, 1_000_000)});
    let with = |key: &str, value: serde_json::Value| {
        let mut text = good.clone();
        text[key] = value;
        text.to_string()
    };
    let texts = [
        "{\n".to_string(),
        "[]".to_string(),
        with("listen", "nowhere".into()),
        with("discovery", serde_json::Value::Null),
        with("management", "nowhere".into()),
        with("management", "192.0.2.1:1".into()), // an address of no machine
        with("settings", serde_json::json!({})),
        with("settings", serde_json::json!({"Siblings": "two\nlines"})),
        with("known", serde_json::json!({"revision": 1})),
    ];
    let mut ends: Vec<_> = texts.iter().map(|t| start(Some(t), &[])).collect();
    ends.push(start(None, &[]));
    ends.push(start(None, &["--faktory"]));
    ends.push(start(None, &["--faktory", "/nonexistent"]));
    ends.push(start(None, &["--help-me"]));
    for (code, said) in ends {
        assert_eq!(code, Some(2), "{said}");
        assert!(said.starts_with("molevale: ") && said.trim_end().lines().count() == 1, "{said}");
    }
}

/// Each bad file is told with its name and line; the one that comes along is read.
#[test]
fn errors_in_the_fleet_file_or_its_keys_name_file_and_line() {
    let folder = std::env::temp_dir().join(format!("molevale-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let good = serde_json::json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "1", "settings": common::settings(true, 1_000_000)});
    let file = folder.join("fleet.toml");
    let path = file.to_str().unwrap();
    let text = "fleet = \"f\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
    let key = "current 00112233445566778899aabbccddeeff\n";
    for (more, keys, said) in [
        ("nodes = 3\n", key, "fleet.toml: line 4: unknown field"),
        ("seeds = [\n\"here\"]\n", key, "fleet.toml: line 5: expected an IP address and a port"),
        ("[timing]\nprobe_ms = 1\n", key, "fleet.toml: line 5: expected a value from 100 to"),
        ("", "# none\nprevious 00\n", "fleet.key: line 2: expected a key of 16 to 64 bytes"),
        ("key_file = \"other\"\n", key, "fleet.toml: line 4: duplicate key"),
        ("listen = ", key, "fleet.toml: line 4: "),
    ] {
        std::fs::write(&file, format!("{text}{more}")).unwrap();
        std::fs::write(folder.join("fleet.key"), keys).unwrap();
        let (code, out) = start(Some(&good.to_string()), &["--fleet", path]);
        assert_eq!(code, Some(2), "{out}");
        assert!(out.starts_with("molevale: ") && out.trim_end().lines().count() == 1, "{out}");
        assert!(out.contains(said), "{out}");
    }
    std::fs::remove_file(folder.join("fleet.key")).unwrap();
    std::fs::write(&file, text).unwrap();
    let (code, out) = start(Some(&good.to_string()), &["--fleet", path]);
    assert!(code == Some(2) && out.contains("fleet.key"), "{out}");
    let (code, out) = start(None, &["--fleet", path]);
    assert!(code == Some(2) && out.contains("RELAY_CONFIG"), "{out}");
    std::fs::remove_dir_all(&folder).unwrap();
    let (code, out) = start(None, &["fleet", "show", "nowhere"]);
    assert!(code == Some(2) && out.trim_end().lines().count() == 1, "{out}");
    assert!(membership::file::FleetFile::parse(include_str!("../../deploy/fleet.toml")).is_ok());
}

#[test]
fn environment_variables_override_the_file() {
    let text = serde_json::json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "ff", "settings": common::settings(true, 1_000_000)});
    let read = |var: &dyn Fn(&str) -> Option<String>| config::parse(&text.to_string(), var).unwrap();
    let plain = read(&|_| None);
    assert_eq!((plain.name.as_str(), plain.listen.port(), plain.seed), ("n1", 1, 255));
    let set = read(&|name| (name == "RELAY_LISTEN").then(|| "127.0.0.1:9".to_string()));
    assert_eq!((set.listen.port(), set.discovery.port()), (9, 2));
}

#[test]
fn the_deployed_operators_file_is_valid_and_invalid_changes_are_rejected() {
    let text = include_str!("../../deploy/faktory.toml");
    let operator = FaktoryConfig::parse(text).unwrap();
    assert_eq!((operator.listen.port(), operator.connections), (7419, 256));
    for (from, to) in [
        ("Cancelling = false", "Cancelling = true"),
        ("MaxAttempts = 3", "MaxAttempts = 0"),
        ("connections = 256", "connections = 0"),
        ("connections = 256", "conections = 256"),
        ("127.0.0.1:7419", "everywhere"),
    ] {
        assert!(text.contains(from));
        assert!(FaktoryConfig::parse(&text.replace(from, to)).is_err(), "{to}");
    }
}

/// A running node that ends with the test.
struct Running(Child);

impl Running {
    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The head of the next call that reaches this discovery.
fn call(agent: &TcpListener) -> String {
    let (socket, _) = agent.accept().unwrap();
    let lines = BufReader::new(socket).lines().map(Result::unwrap);
    lines.take_while(|l| !l.is_empty()).collect::<Vec<_>>().join("\n")
}

/// Invalid variants of a good configuration, each with the end of the error that it meets.
fn invalid_variants(good: &serde_json::Value) -> Vec<(String, &'static str)> {
    let changes = [
        ("/settings/Limits/MaxAttempts", None, "configuration.settings.Limits.MaxAttempts is missing"),
        ("/settings/Profiles/1/Semantics", None, "configuration.settings.Profiles.1.Semantics is missing"),
        ("/settings/Profiles/0/DeadlineUs", Some(0), "the deadline must be above zero"),
        ("/settings/Limits/MaxAttempts", Some(0), "a request needs at least one attempt"),
        ("/name", None, "configuration.name is missing"),
    ];
    let variant = |(place, broken, why): (&str, Option<u32>, &'static str)| {
        let mut bad = good.clone();
        let (parent, key) = place.rsplit_once('/').unwrap();
        let parent = bad.pointer_mut(parent).and_then(|p| p.as_object_mut()).unwrap();
        match broken {
            Some(value) => drop(parent.insert(key.to_string(), serde_json::json!(value))),
            None => drop(parent.remove(key)),
        }
        (bad.to_string(), why)
    };
    changes.into_iter().map(variant).collect()
}

/// Guards against a node that dies of SIGHUP, that takes a bad file, or that goes on asking the old address.
#[test]
fn sighup_moves_discovery_and_an_invalid_file_changes_nothing() {
    let agents: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let address = |i: usize| agents[i].local_addr().unwrap().to_string();
    let text = |i: usize, name: &str| {
        serde_json::json!({"name": name, "listen": "127.0.0.1:0", "discovery": address(i), "seed": "1",
            "settings": common::settings(true, 1_000_000)})
        .to_string()
    };
    let path = std::env::temp_dir().join(format!("molevale-{}-reload", std::process::id()));
    std::fs::write(&path, text(1, "n1")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.env("RELAY_CONFIG", &path).env("RELAY_DISCOVERY", address(0)).stderr(Stdio::piped());
    let mut node = Running(command.spawn().unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
    let last = std::cell::RefCell::new(String::new());
    let mut said = |what: &str| {
        let line = log.find(|l| l.contains(what));
        *last.borrow_mut() = line.unwrap_or_else(|| panic!("the log ends without: {what}"));
    };
    assert!(call(&agents[0]).starts_with("GET /discovery/hosts HTTP/1.1"), "at the start the variable holds");
    std::fs::write(&path, "{").unwrap();
    node.signal("-HUP");
    said("ERROR the old configuration stays event=configuration_rejected error=\"configuration: EOF");
    // All that a broken file says is left alone, where discovery is too.
    let good: serde_json::Value = serde_json::from_str(&text(2, "n1")).unwrap();
    for (text, why) in invalid_variants(&good) {
        std::fs::write(&path, text).unwrap();
        node.signal("-HUP");
        said("event=configuration_");
        let rejected = "ERROR the old configuration stays event=configuration_rejected error=\"";
        assert!(
            last.borrow().contains(rejected) && last.borrow().ends_with(&format!("{why}\"")),
            "{}",
            last.borrow()
        );
    }
    std::fs::write(&path, text(2, "n2")).unwrap();
    node.signal("-HUP");
    node.signal("-HUP");
    let moved = format!(
        "event=configuration_reloaded changes=\"discovery is now at {}; changed, but in force only after a restart: \
         name\"",
        address(2)
    );
    said(&moved);
    assert!(call(&agents[2]).starts_with("GET /discovery/hosts HTTP/1.1"), "the whole list first");
    node.signal("-TERM");
    said("INFO stop requested by a signal event=stop_requested");
    node.signal("-HUP");
    said("event=configuration_reloaded changes=\"changed, but in force only after a restart: name\"");
    assert!(node.0.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Guards against SIGHUP that is handled with the platform's front only.
#[test]
fn a_node_with_only_the_faktory_front_survives_sighup() {
    let path = std::env::temp_dir().join(format!("molevale-{}-operator", std::process::id()));
    let text = |connections| {
        let settings = common::settings(false, 1_000_000);
        let operator =
            serde_json::json!({"listen": "127.0.0.1:0", "connections": connections, "settings": settings});
        toml::to_string(&operator).unwrap()
    };
    std::fs::write(&path, text(8)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.arg("--faktory").arg(&path).env_remove("RELAY_CONFIG").stderr(Stdio::piped());
    let mut node = Running(command.spawn().unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut said = |what: &str| assert!(log.any(|l| l.contains(what)), "the log ends without: {what}");
    said("serving");
    std::fs::write(&path, text(9)).unwrap();
    node.signal("-HUP");
    said("event=configuration_reloaded changes=\"changed, but in force only after a restart: the Faktory file\"");
    node.signal("-TERM");
    assert!(node.0.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Guards the way from one process to the next: the same start again takes over, and one that can't start changes
/// nothing.
#[test]
fn a_new_process_takes_over_and_one_that_fails_leaves_the_old_one_serving() {
    let pid = std::process::id();
    let (high, low) = (pid / 256 % 256, pid % 256);
    let folder = std::env::temp_dir().join(format!("molevale-{pid}-upgrade"));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("config.json");
    let text = serde_json::json!({"name": "n1", "listen": format!("127.77.{high}.{low}:8443"), "seed": "1",
        "discovery": "127.0.0.1:1", "settings": common::settings(true, 1_000_000)});
    std::fs::write(&path, text.to_string()).unwrap();
    let start = |management: u16| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
        command.env("RELAY_CONFIG", &path).env("TMPDIR", &folder).stderr(Stdio::piped());
        command.env("RELAY_MANAGEMENT", format!("127.77.{high}.{low}:{management}"));
        let mut node = Running(command.spawn().unwrap());
        let log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
        (node, log)
    };
    fn said(log: &mut impl Iterator<Item = String>, what: &str) {
        assert!(log.any(|l| l.contains(what)), "the log ends without: {what}");
    }
    let (mut old, mut old_log) = start(9001);
    said(&mut old_log, "INFO ready to hand over to another process event=handover_offered path=");
    let (mut failing, mut failing_log) = start(9001); // its second address is taken
    said(&mut failing_log, "management");
    assert_eq!(failing.0.wait().unwrap().code(), Some(2));
    let (mut new, mut new_log) = start(9002);
    said(&mut new_log, "INFO took over from the predecessor, which still holds these resources event=handover_taken_over descriptors=");
    said(&mut old_log, "INFO phase changed event=phase_changed from=Serving to=HandedOver");
    old.signal("-TERM");
    assert!(old.0.wait().unwrap().success());
    said(&mut new_log, "INFO predecessor has ended event=predecessor_ended");
    new.signal("-TERM");
    assert!(new.0.wait().unwrap().success());
    std::fs::remove_dir_all(&folder).unwrap();
}
