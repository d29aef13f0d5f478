//! Bytes on the wire and on the disk, compared with those recorded from version 6e5c6e9.
//!
//! The recorded data is in `tests/golden/`. With `GOLDEN_RECORD=1` the tests rewrite it and fail, so that a recording run
//! never counts as a pass.

#![allow(clippy::unwrap_used, reason = "a test fails by a panic, also in the functions that it calls")]

#[path = "golden_bytes/cluster.rs"]
mod cluster;
#[path = "golden_bytes/messages.rs"]
mod messages;

use cluster::{image, Cluster, MemoryDisk, CLIENTS};
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fmt::Write;
use std::path::{Path, PathBuf};

const METADATA_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Length of the digest that precedes each record.
const DIGEST_BYTES: usize = 8;
/// Number of voters whose store files are recorded: a majority of three.
const STORES: usize = 2;

fn golden_path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}"); // writing to a String cannot fail
        text
    })
}

fn unhex(text: &str) -> Vec<u8> {
    text.as_bytes()
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Compares lines `name value` with the recorded ones, and fails at the first difference.
fn compare(file: &str, lines: &[(String, String)]) {
    let text: String = lines.iter().map(|(name, value)| format!("{name} {value}\n")).collect();
    let path = golden_path(file);
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        std::fs::write(&path, text).unwrap();
        panic!("{} was rewritten; nothing was compared", path.display());
    }
    let recorded = std::fs::read_to_string(&path).unwrap();
    for (actual, expected) in text.lines().zip(recorded.lines()) {
        assert_eq!(actual, expected, "{file}");
    }
    assert_eq!(text.lines().count(), recorded.lines().count(), "{file}");
}

#[test]
fn messages_encode_to_recorded_bytes_and_decode_to_the_same_value() {
    let samples = messages::samples();
    let lines: Vec<(String, String)> =
        samples.iter().map(|s| (s.name.to_string(), hex(&s.encoded))).collect();
    compare("messages.txt", &lines);
    let recorded = std::fs::read_to_string(golden_path("messages.txt")).unwrap();
    for (sample, line) in samples.iter().zip(recorded.lines()) {
        let bytes = unhex(line.split(' ').nth(1).unwrap());
        assert!((sample.decodes_to_the_same)(&bytes), "{}", sample.name);
    }
}

#[test]
fn status_json_matches_the_recording() {
    compare("status.txt", &messages::status_json());
}

/// Three voters run a fixed script: the messages that they send and the records on their disks match the recording.
#[test]
fn a_fixed_run_sends_and_stores_the_recorded_bytes() {
    let mut cluster = Cluster::form();
    cluster.run_script();
    let mut lines = vec![("sent".to_string(), cluster.sent_digest())];
    for (voter, disk) in cluster.stop().into_iter().enumerate() {
        let db = Database::builder().create_with_backend(disk).unwrap();
        let read = db.begin_read().unwrap();
        let metadata = read.open_table(METADATA_TABLE).unwrap();
        for record in metadata.iter().unwrap() {
            let (name, value) = record.unwrap();
            lines.push((format!("{voter}/facts/{}", name.value()), hex(value.value())));
        }
        let log = read.open_table(LOG_TABLE).unwrap();
        for record in log.iter().unwrap() {
            let (index, value) = record.unwrap();
            lines.push((format!("{voter}/log/{}", index.value()), hex(value.value())));
        }
    }
    compare("records.txt", &lines);
}

/// Store files written by version 6e5c6e9 for a majority of the three voters of the fixed run.
#[test]
fn stores_of_the_recorded_version_open_with_their_leases_tokens_and_term() {
    if std::env::var_os("GOLDEN_RECORD").is_some() {
        let mut cluster = Cluster::form();
        cluster.run_script();
        for (voter, disk) in cluster.stop().iter().take(STORES).enumerate() {
            std::fs::write(golden_path(&format!("store-{voter}.txt")), image::compress(&disk.bytes()))
                .unwrap();
        }
        panic!("the stores were rewritten; nothing was compared");
    }
    let disks: Vec<MemoryDisk> = (0..STORES)
        .map(|voter| {
            let text = std::fs::read_to_string(golden_path(&format!("store-{voter}.txt"))).unwrap();
            MemoryDisk::from_bytes(image::restore(&text))
        })
        .collect();
    // Reads the files without this crate's store: term, vote, snapshot and log.
    for disk in &disks {
        let db = Database::builder().create_with_backend(disk.copy()).unwrap();
        let read = db.begin_read().unwrap();
        let metadata = read.open_table(METADATA_TABLE).unwrap();
        let value_of = |name: &str| metadata.get(name).unwrap().unwrap().value()[DIGEST_BYTES..].to_vec();
        let hard = HardState::parse_from_bytes(&value_of("hard")).unwrap();
        assert_eq!((hard.term, hard.vote), (cluster::TERM, cluster::LEADER_DISK));
        let snapshot = Snapshot::parse_from_bytes(&value_of("snapshot")).unwrap();
        assert!(snapshot.get_metadata().index > 256, "a snapshot taken during the run, not at the formation");
        let log = read.open_table(LOG_TABLE).unwrap();
        let last = log.last().unwrap().unwrap();
        let entry = Entry::parse_from_bytes(&last.1.value()[DIGEST_BYTES..]).unwrap();
        assert_eq!(entry.term, cluster::TERM);
    }
    let mut cluster = Cluster::reopen(disks);
    let status = cluster.status();
    assert_eq!(status.cluster_id, cluster::CLUSTER_ID);
    assert!(status.term > cluster::TERM, "a new leader's term is higher than the stored one");
    let holders: Vec<(&str, Option<&str>, u64)> = status.leases();
    let [first, second, third] = cluster::TOKENS;
    assert_eq!(
        holders,
        [("errand/a", Some(CLIENTS[0]), first), ("lists/z", None, second), ("roll", Some(CLIENTS[2]), third),]
    );
    assert_eq!(status.last_token(), third);
    assert_eq!(status.saved_state("errand/a"), [7, 3]);
    assert_eq!(status.voters(), ["v0", "v1", "v2"]);
    assert_eq!(status.history_length(), 4);
    // The process that held a lease before may renew it under its token; another must wait for the full lease duration.
    assert_eq!(cluster.acquire("errand/a", 0, first), first);
    assert!(cluster.is_held_by_other("errand/a", 1));
    // The token of the next grant is one higher than the last token.
    assert!(cluster.acquire("lists/z", 1, 0) == third + 1);
}
