//! The program as a process: errors for invalid input, reload by SIGHUP, process handover, and the deployed files.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]
#![allow(clippy::too_many_lines, reason = "a test is a script of steps")]

mod common;

use molevale::config;
use molevale::faktory::FaktoryConfig;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

/// Runs the program with this text as its configuration file; returns its exit code and standard error.
fn run_program(text: Option<&str>, arguments: &[&str]) -> (Option<i32>, String) {
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
    let valid = serde_json::json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "1", "settings": common::settings(true, 1_000_000)});
    let with = |key: &str, value: serde_json::Value| {
        let mut text = valid.clone();
        text[key] = value;
        text.to_string()
    };
    let texts = [
        "{\n".to_string(),
        "[]".to_string(),
        with("listen", "nowhere".into()),
        with("discovery", serde_json::Value::Null),
        with("management", "nowhere".into()),
        with("management", "192.0.2.1:1".into()), // an address that no machine has
        with("settings", serde_json::json!({})),
        with("settings", serde_json::json!({"Siblings": "two\nlines"})),
        with("known", serde_json::json!({"revision": 1})),
    ];
    let mut results: Vec<_> = texts.iter().map(|t| run_program(Some(t), &[])).collect();
    results.push(run_program(None, &[]));
    results.push(run_program(None, &["--faktory"]));
    results.push(run_program(None, &["--faktory", "/nonexistent"]));
    results.push(run_program(None, &["--help-me"]));
    for (code, stderr) in results {
        assert_eq!(code, Some(2), "{stderr}");
        assert!(stderr.starts_with("molevale: ") && stderr.trim_end().lines().count() == 1, "{stderr}");
    }
}

/// Each invalid file is reported with its name and line; the deployed fleet file is valid.
#[test]
fn errors_in_the_fleet_file_or_its_keys_name_file_and_line() {
    let folder = std::env::temp_dir().join(format!("molevale-fleet-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let valid = serde_json::json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
        "seed": "1", "settings": common::settings(true, 1_000_000)});
    let file = folder.join("fleet.toml");
    let path = file.to_str().unwrap();
    let text = "fleet = \"f\"\nlisten = \"127.0.0.1:0\"\nkey_file = \"fleet.key\"\n";
    let key = "current 00112233445566778899aabbccddeeff\n";
    for (more, keys, error) in [
        ("nodes = 3\n", key, "fleet.toml: line 4: unknown field"),
        ("seeds = [\n\"here\"]\n", key, "fleet.toml: line 5: expected an IP address and a port"),
        ("[timing]\nprobe_ms = 1\n", key, "fleet.toml: line 5: expected a value from 100 to"),
        ("", "# none\nprevious 00\n", "fleet.key: line 2: expected a key of 16 to 64 bytes"),
        ("key_file = \"other\"\n", key, "fleet.toml: line 4: duplicate key"),
        ("listen = ", key, "fleet.toml: line 4: "),
    ] {
        std::fs::write(&file, format!("{text}{more}")).unwrap();
        std::fs::write(folder.join("fleet.key"), keys).unwrap();
        let (code, stderr) = run_program(Some(&valid.to_string()), &["--fleet", path]);
        assert_eq!(code, Some(2), "{stderr}");
        assert!(stderr.starts_with("molevale: ") && stderr.trim_end().lines().count() == 1, "{stderr}");
        assert!(stderr.contains(error), "{stderr}");
    }
    std::fs::remove_file(folder.join("fleet.key")).unwrap();
    std::fs::write(&file, text).unwrap();
    let (code, stderr) = run_program(Some(&valid.to_string()), &["--fleet", path]);
    assert!(code == Some(2) && stderr.contains("fleet.key"), "{stderr}");
    let (code, stderr) = run_program(None, &["--fleet", path]);
    assert!(code == Some(2) && stderr.contains("RELAY_CONFIG"), "{stderr}");
    std::fs::remove_dir_all(&folder).unwrap();
    let (code, stderr) = run_program(None, &["fleet", "show", "nowhere"]);
    assert!(code == Some(2) && stderr.trim_end().lines().count() == 1, "{stderr}");
    assert!(membership::file::FleetFile::parse(include_str!("../../deploy/fleet.toml")).is_ok());
}

#[test]
fn environment_variables_override_the_file() {
    let text = serde_json::json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "ff", "settings": common::settings(true, 1_000_000)});
    let read = |var: &dyn Fn(&str) -> Option<String>| config::parse(&text.to_string(), var).unwrap();
    let from_file = read(&|_| None);
    assert_eq!((from_file.name.as_str(), from_file.listen.port(), from_file.seed), ("n1", 1, 255));
    let overridden = read(&|name| (name == "RELAY_LISTEN").then(|| "127.0.0.1:9".to_string()));
    assert_eq!((overridden.listen.port(), overridden.discovery.port()), (9, 2));
}

#[test]
fn the_deployed_faktory_file_is_valid_and_invalid_changes_are_rejected() {
    let text = include_str!("../../deploy/faktory.toml");
    let config = FaktoryConfig::parse(text).unwrap();
    assert_eq!((config.listen.port(), config.connections), (7419, 256));
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

/// A running node that is killed when the value is dropped.
struct NodeProcess(Child);

impl NodeProcess {
    fn signal(&self, name: &str) {
        let kill = Command::new("kill").args([name, &self.0.id().to_string()]).status().unwrap();
        assert!(kill.success());
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Reads the head of the next call to this discovery.
fn read_call(discovery: &TcpListener) -> String {
    let (socket, _) = discovery.accept().unwrap();
    let lines = BufReader::new(socket).lines().map(Result::unwrap);
    lines.take_while(|l| !l.is_empty()).collect::<Vec<_>>().join("\n")
}

/// Invalid variants of a valid configuration, each with the end of its error.
fn invalid_variants(valid: &serde_json::Value) -> Vec<(String, &'static str)> {
    let changes = [
        ("/settings/Limits/MaxAttempts", None, "configuration.settings.Limits.MaxAttempts is missing"),
        ("/settings/Profiles/1/Semantics", None, "configuration.settings.Profiles.1.Semantics is missing"),
        ("/settings/Profiles/0/DeadlineUs", Some(0), "the deadline must be above zero"),
        ("/settings/Limits/MaxAttempts", Some(0), "a request needs at least one attempt"),
        ("/name", None, "configuration.name is missing"),
    ];
    let variant = |(path, value, error): (&str, Option<u32>, &'static str)| {
        let mut invalid = valid.clone();
        let (parent, key) = path.rsplit_once('/').unwrap();
        let parent = invalid.pointer_mut(parent).and_then(|p| p.as_object_mut()).unwrap();
        match value {
            Some(value) => drop(parent.insert(key.to_string(), serde_json::json!(value))),
            None => drop(parent.remove(key)),
        }
        (invalid.to_string(), error)
    };
    changes.into_iter().map(variant).collect()
}

/// Guards against a node that exits on SIGHUP, applies an invalid file, or keeps polling the old address.
#[test]
fn sighup_moves_discovery_and_an_invalid_file_changes_nothing() {
    let discoveries: Vec<_> = (0..3).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let address = |i: usize| discoveries[i].local_addr().unwrap().to_string();
    let text = |i: usize, name: &str| {
        serde_json::json!({"name": name, "listen": "127.0.0.1:0", "discovery": address(i), "seed": "1",
            "settings": common::settings(true, 1_000_000)})
        .to_string()
    };
    let path = std::env::temp_dir().join(format!("molevale-{}-reload", std::process::id()));
    std::fs::write(&path, text(1, "n1")).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.env("RELAY_CONFIG", &path).env("RELAY_DISCOVERY", address(0)).stderr(Stdio::piped());
    let mut node = NodeProcess(command.spawn().unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
    let last_line = std::cell::RefCell::new(String::new());
    let mut wait_for_log = |what: &str| {
        let line = log.find(|l| l.contains(what));
        *last_line.borrow_mut() = line.unwrap_or_else(|| panic!("the log ends without: {what}"));
    };
    assert!(
        read_call(&discoveries[0]).starts_with("GET /discovery/hosts HTTP/1.1"),
        "the variable overrides the file at the start"
    );
    std::fs::write(&path, "{").unwrap();
    node.signal("-HUP");
    wait_for_log("ERROR the old configuration stays event=configuration_rejected error=\"configuration: EOF");
    // Nothing of an invalid file is applied, not even a valid discovery address.
    let valid: serde_json::Value = serde_json::from_str(&text(2, "n1")).unwrap();
    for (text, error) in invalid_variants(&valid) {
        std::fs::write(&path, text).unwrap();
        node.signal("-HUP");
        wait_for_log("event=configuration_");
        let rejected = "ERROR the old configuration stays event=configuration_rejected error=\"";
        assert!(
            last_line.borrow().contains(rejected) && last_line.borrow().ends_with(&format!("{error}\"")),
            "{}",
            last_line.borrow()
        );
    }
    std::fs::write(&path, text(2, "n2")).unwrap();
    node.signal("-HUP");
    node.signal("-HUP");
    let reloaded = format!(
        "event=configuration_reloaded changes=\"discovery is now at {}; changed, but in force only after a restart: \
         name\"",
        address(2)
    );
    wait_for_log(&reloaded);
    assert!(
        read_call(&discoveries[2]).starts_with("GET /discovery/hosts HTTP/1.1"),
        "the whole list is requested first"
    );
    node.signal("-TERM");
    wait_for_log("INFO stop requested by a signal event=stop_requested");
    node.signal("-HUP");
    wait_for_log("event=configuration_reloaded changes=\"changed, but in force only after a restart: name\"");
    assert!(node.0.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Guards against handling SIGHUP only in nodes with the platform frontend.
#[test]
fn a_node_with_only_the_faktory_frontend_survives_sighup() {
    let path = std::env::temp_dir().join(format!("molevale-{}-operator", std::process::id()));
    let text = |connections| {
        let settings = common::settings(false, 1_000_000);
        let config =
            serde_json::json!({"listen": "127.0.0.1:0", "connections": connections, "settings": settings});
        toml::to_string(&config).unwrap()
    };
    std::fs::write(&path, text(8)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_molevale"));
    command.arg("--faktory").arg(&path).env_remove("RELAY_CONFIG").stderr(Stdio::piped());
    let mut node = NodeProcess(command.spawn().unwrap());
    let mut log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
    let mut wait_for_log =
        |what: &str| assert!(log.any(|l| l.contains(what)), "the log ends without: {what}");
    wait_for_log("serving");
    std::fs::write(&path, text(9)).unwrap();
    node.signal("-HUP");
    wait_for_log("event=configuration_reloaded changes=\"changed, but in force only after a restart: the Faktory file\"");
    node.signal("-TERM");
    assert!(node.0.wait().unwrap().success());
    std::fs::remove_file(&path).unwrap();
}

/// Process handover: a second process started the same way takes over, and one that fails to start changes nothing.
#[test]
fn a_successor_takes_over_and_one_that_fails_leaves_the_predecessor_serving() {
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
        let mut node = NodeProcess(command.spawn().unwrap());
        let log = BufReader::new(node.0.stderr.take().unwrap()).lines().map(Result::unwrap);
        (node, log)
    };
    fn wait_for_log(log: &mut impl Iterator<Item = String>, what: &str) {
        assert!(log.any(|l| l.contains(what)), "the log ends without: {what}");
    }
    let (mut predecessor, mut predecessor_log) = start(9001);
    wait_for_log(
        &mut predecessor_log,
        "INFO ready to hand over to another process event=handover_offered path=",
    );
    let (mut failing, mut failing_log) = start(9001); // its management address is in use
    wait_for_log(&mut failing_log, "management");
    assert_eq!(failing.0.wait().unwrap().code(), Some(2));
    let (mut successor, mut successor_log) = start(9002);
    wait_for_log(&mut successor_log, "INFO took over from the predecessor, which still holds these resources event=handover_taken_over descriptors=");
    wait_for_log(&mut predecessor_log, "INFO phase changed event=phase_changed from=Serving to=HandedOver");
    predecessor.signal("-TERM");
    assert!(predecessor.0.wait().unwrap().success());
    wait_for_log(&mut successor_log, "INFO predecessor has ended event=predecessor_ended");
    successor.signal("-TERM");
    assert!(successor.0.wait().unwrap().success());
    std::fs::remove_dir_all(&folder).unwrap();
}
