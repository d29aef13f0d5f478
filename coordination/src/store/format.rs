//! On-disk format of a store: one `redb` file with two tables.
//!
//! | table | key | value |
//! | --- | --- | --- |
//! | `facts` | `format` | [`FORMAT`] as four bytes, big-endian |
//! | `facts` | `folder` | [`DiskIdentity`], encoded with `postcard` |
//! | `facts` | `hard` | Raft's `HardState` (term, vote, commit), encoded with `protobuf` |
//! | `facts` | `snapshot` | Raft's `Snapshot`, encoded with `protobuf`; its data is the lease table in `postcard` |
//! | `log` | index | Raft's `Entry`, encoded with `protobuf`; its data is a lease command in `postcard` |
//!
//! Each value is preceded by the first [`DIGEST_BYTES`] bytes of the SHA-256 digest of the record's name, a zero byte and
//! the value. A record that changed on the disk is detected before any lease is granted based on it.

use super::StoreError;
use redb::TableDefinition;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Version of the format. Stores of a later version are rejected.
pub(super) const FORMAT: u32 = 1;

pub(super) const METADATA_TABLE: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
pub(super) const LOG_TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub(super) const FORMAT_RECORD: &str = "format";
pub(super) const IDENTITY_RECORD: &str = "folder";
pub(super) const HARD_STATE_RECORD: &str = "hard";
pub(super) const SNAPSHOT_RECORD: &str = "snapshot";

/// Length of the digest that precedes each value.
const DIGEST_BYTES: usize = 8;

/// Returns the name of a log entry in its digest and in error messages.
pub(super) fn entry_record_name(index: u64) -> String {
    format!("entry {index}")
}

/// Identity of a voter's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Fleet that the disk belongs to.
    pub fleet: String,
    /// Node that the disk belongs to.
    pub node: String,
    /// Id, chosen at random when the store was created. It identifies the voter: a store that replaces a lost one is another
    /// voter.
    pub disk_id: u64,
    /// Number of starts from this store, including the current one.
    pub starts: u64,
    /// Value that distinguishes the file from copies of it, for example its inode; given by the embedder.
    pub location: u64,
    /// Whether the store is an older copy, or a copy at another location; the voter then never votes again.
    pub is_stale_copy: bool,
    /// Id of the cluster that the disk belongs to, if any.
    pub cluster_id: Option<u64>,
    /// Latest known start of each other voter, by disk id.
    pub peer_starts: BTreeMap<u64, ProcessStart>,
}

/// Start of a process from a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Number of starts from the store, including this one.
    pub starts: u64,
    /// Id of the process.
    pub process_id: u64,
}

/// Returns a value preceded by its digest.
pub(super) fn encode_record(name: &str, value: &[u8]) -> Vec<u8> {
    let mut record = digest(name, value).to_vec();
    record.extend_from_slice(value);
    record
}

/// Returns the value of a record after checking its digest.
pub(super) fn decode_record<'a>(name: &str, record: &'a [u8]) -> Result<&'a [u8], StoreError> {
    match record.split_at_checked(DIGEST_BYTES) {
        Some((stored, value)) if stored == digest(name, value) => Ok(value),
        _ => Err(StoreError::Corrupt(format!("record '{name}' does not match its digest"))),
    }
}

fn digest(name: &str, value: &[u8]) -> [u8; DIGEST_BYTES] {
    let digest = Sha256::new().chain_update(name).chain_update([0]).chain_update(value).finalize();
    let mut prefix = [0; DIGEST_BYTES];
    prefix.copy_from_slice(&digest[..DIGEST_BYTES]);
    prefix
}
