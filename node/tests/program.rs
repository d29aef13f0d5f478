//! The program as it is started: what it says of bad input, and the files that come with it.

mod common;

use molevale::config;
use molevale::faktory::Operator;
use std::process::Command;

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
fn bad_input_ends_it_with_one_line_and_code_2() {
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

#[test]
fn variables_come_before_the_file() {
    let text = serde_json::json!({"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
        "seed": "ff", "settings": common::settings(true, 1_000_000)});
    let read = |var: &dyn Fn(&str) -> Option<String>| config::parse(&text.to_string(), var).unwrap();
    let plain = read(&|_| None);
    assert_eq!((plain.name.as_str(), plain.listen.port(), plain.seed), ("n1", 1, 255));
    let set = read(&|name| (name == "RELAY_LISTEN").then(|| "127.0.0.1:9".to_string()));
    assert_eq!((set.listen.port(), set.discovery.port()), (9, 2));
}

#[test]
fn the_operators_file_that_comes_along_is_read_and_a_changed_one_is_checked() {
    let text = include_str!("../../deploy/faktory.toml");
    let operator = Operator::parse(text).unwrap();
    assert_eq!((operator.listen.port(), operator.connections), (7419, 256));
    for (from, to) in [
        ("Cancelling = false", "Cancelling = true"),
        ("MaxAttempts = 3", "MaxAttempts = 0"),
        ("connections = 256", "connections = 0"),
        ("connections = 256", "conections = 256"),
        ("127.0.0.1:7419", "everywhere"),
    ] {
        assert!(text.contains(from));
        assert!(Operator::parse(&text.replace(from, to)).is_err(), "{to}");
    }
}
