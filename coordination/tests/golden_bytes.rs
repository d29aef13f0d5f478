//! Bytes on the wire and on the disk, compared with those recorded from version 6e5c6e9.
//!
//! The recorded data is in `tests/golden/`. `GOLDEN_RECORD=1` writes the files anew and fails, so that a recording is never
//! taken for a pass.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

#[path = "golden_bytes/cluster.rs"]
mod cluster;
#[path = "golden_bytes/messages.rs"]
mod messages;

use cluster::{image, Cluster, Disk, CLIENTS};
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fmt::Write;
use std::path::{Path, PathBuf};

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Bytes of the digest that stands before each record.
const DIGEST: usize = 8;
/// Voters whose files are kept: a majority of three.
const STORES: usize = 2;

fn golden(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // a String takes all
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    text.as_bytes()
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Compares lines `name value` with the recorded ones; the first that differs is shown.
fn compare(file: &str, lines: &[(String, String)]) {
    let text: String = lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
    let path = golden(file);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
        panic!("{} was recorded anew: nothing was compared", path.display());
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    for (now, then) in text.lines().zip(recorded.lines()) {
        assert_eq!(now, then, "{file}");
    }
    assert_eq!(text.lines().count(), recorded.lines().count(), "{file}");
}

#[test]
fn messages_encode_to_recorded_bytes_and_decode_to_the_same_value() {
    let samples = messages::samples();
    let lines: Vec<(String, String)> =
        samples.iter().map(|s| (s.name.to_string(), hex(&s.encoded))).collect();
    compare("messages.txt", &lines);
    let recorded = std::fs::read_to_string(golden("messages.txt")).unwrap();
    for (sample, line) in samples.iter().zip(recorded.lines()) {
        let bytes = unhex(line.split(' ').nth(1).unwrap());
        assert!((sample.decodes_to_the_same)(&bytes), "{}", sample.name);
    }
}

#[test]
fn status_json_is_as_recorded() {
    compare("status.txt", &messages::status_json());
}

/// Three voters run a fixed script: all that they sent, and each record on each disk, are those recorded.
#[test]
fn a_fixed_run_sends_and_stores_the_recorded_bytes() {
    let mut cluster = Cluster::founded();
    cluster.play_script();
    let mut lines = vec![("sent".to_string(), cluster.sent_digest())];
    for (voter, disk) in cluster.stop().into_iter().enumerate() {
        let db = Database::builder().create_with_backend(disk).unwrap();
        let read = db.begin_read().unwrap();
        let facts = read.open_table(FACTS).unwrap();
        for line in facts.iter().unwrap() {
            let (name, value) = line.unwrap();
            lines.push((format!("{voter}/facts/{}", name.value()), hex(value.value())));
        }
        let log = read.open_table(LOG).unwrap();
        for line in log.iter().unwrap() {
            let (index, value) = line.unwrap();
            lines.push((format!("{voter}/log/{}", index.value()), hex(value.value())));
        }
    }
    compare("records.txt", &lines);
}

/// Whole files as 6e5c6e9 left them, of a majority of the three voters of the fixed run.
#[test]
fn stores_of_the_recorded_version_open_with_their_leases_tokens_and_term() {
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        let mut cluster = Cluster::founded();
        cluster.play_script();
        for (voter, disk) in cluster.stop().iter().take(STORES).enumerate() {
            std::fs::write(golden(&format!("store-{voter}.txt")), image::compress(&disk.bytes())).unwrap();
        }
        panic!("the stores were recorded anew: nothing was compared");
    }
    let disks: Vec<Disk> = (0..STORES)
        .map(|voter| {
            let text = std::fs::read_to_string(golden(&format!("store-{voter}.txt"))).unwrap();
            Disk::of(image::restore(&text))
        })
        .collect();
    // What the file holds, read past this crate: term, vote and the tables of snapshot and log.
    for disk in &disks {
        let db = Database::builder().create_with_backend(disk.copy()).unwrap();
        let read = db.begin_read().unwrap();
        let facts = read.open_table(FACTS).unwrap();
        let fact = |name: &str| facts.get(name).unwrap().unwrap().value()[DIGEST..].to_vec();
        let hard = HardState::parse_from_bytes(&fact("hard")).unwrap();
        assert_eq!((hard.term, hard.vote), (cluster::TERM, cluster::LEADER_DISK));
        let snapshot = Snapshot::parse_from_bytes(&fact("snapshot")).unwrap();
        assert!(snapshot.get_metadata().index > 256, "a snapshot of the run, not of the founding");
        let log = read.open_table(LOG).unwrap();
        let last = log.last().unwrap().unwrap();
        let entry = Entry::parse_from_bytes(&last.1.value()[DIGEST..]).unwrap();
        assert_eq!(entry.term, cluster::TERM);
    }
    let mut cluster = Cluster::reopened(disks);
    let status = cluster.status();
    assert_eq!(status.founded, cluster::FOUNDED);
    assert!(status.term > cluster::TERM, "a new leader's term follows the stored one");
    let holders: Vec<(&str, Option<&str>, u64)> = status.leases();
    let [first, second, third] = cluster::TOKENS;
    assert_eq!(
        holders,
        [("errand/a", Some(CLIENTS[0]), first), ("lists/z", None, second), ("roll", Some(CLIENTS[2]), third),]
    );
    assert_eq!(status.last_token(), third);
    assert_eq!(status.left("errand/a"), [7, 3]);
    assert_eq!(status.voters(), ["v0", "v1", "v2"]);
    assert_eq!(status.history_length(), 4);
    // The process that held a lease before may renew it under its token; another waits for the whole lease.
    assert_eq!(cluster.renew("errand/a", 0, first), first);
    assert!(cluster.is_refused("errand/a", 1));
    // The next grant's token follows the last.
    assert!(cluster.renew("lists/z", 1, 0) == third + 1);
}
