//! Format of a store on the disk: one `redb` file with two tables.
//!
//! | table | key | value |
//! | --- | --- | --- |
//! | `facts` | `format` | [`FORMAT`], four bytes, big-endian |
//! | `facts` | `folder` | [`DiskIdentity`] by `postcard` |
//! | `facts` | `hard` | Raft's `HardState` (term, vote, commit) by `protobuf` |
//! | `facts` | `snapshot` | Raft's `Snapshot` by `protobuf`; its data is the lease table by `postcard` |
//! | `log` | index | Raft's `Entry` by `protobuf`; its data is a lease command by `postcard` |
//!
//! Before each value stand the first [`DIGEST_BYTES`] of a SHA-256 digest of the record's name, a zero byte and the value,
//! so that a byte that changed on the disk is found, and nothing is granted on it.

use super::StoreError;
use redb::TableDefinition;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// Version of the format. A store of a later one is rejected.
pub(super) const FORMAT: u32 = 1;

pub(super) const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
pub(super) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub(super) const FORMAT_RECORD: &str = "format";
pub(super) const IDENTITY_RECORD: &str = "folder";
pub(super) const HARD_STATE_RECORD: &str = "hard";
pub(super) const SNAPSHOT_RECORD: &str = "snapshot";

/// Length of the digest before each record.
const DIGEST_BYTES: usize = 8;

/// Name of a log entry in its digest and in errors.
pub(super) fn entry_record(index: u64) -> String {
    format!("entry {index}")
}

/// Identity of a voter's disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// Fleet that the disk belongs to.
    pub fleet: String,
    /// Node that the disk belongs to.
    pub node: String,
    /// Id, drawn when the store was created. The voters know each other by it: a store that was lost is another voter.
    pub disk_id: u64,
    /// Number of starts from this store, with this one.
    pub starts: u64,
    /// What tells the file from a copy of it, such as its inode; given by the embedder.
    pub location: u64,
    /// The store is an older copy of itself, or a copy in another place: it never votes again.
    pub is_stale_copy: bool,
    /// Cluster that the disk belongs to, if any.
    pub cluster_id: Option<u64>,
    /// Latest start of each other voter's disk that was seen.
    pub peer_starts: BTreeMap<u64, ProcessStart>,
}

/// One start of a process from a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Number of starts from the store, with this one.
    pub starts: u64,
    /// Id of the process.
    pub process_id: u64,
}

/// Returns a record with its digest.
pub(super) fn seal_record(name: &str, value: &[u8]) -> Vec<u8> {
    let mut record = digest(name, value).to_vec();
    record.extend_from_slice(value);
    record
}

/// Returns the value of a record whose digest fits.
pub(super) fn open_record<'a>(name: &str, record: &'a [u8]) -> Result<&'a [u8], StoreError> {
    match record.split_at_checked(DIGEST_BYTES) {
        Some((stored, value)) if stored == digest(name, value) => Ok(value),
        _ => Err(StoreError::Corrupt(format!("the record '{name}' was changed"))),
    }
}

fn digest(name: &str, value: &[u8]) -> [u8; DIGEST_BYTES] {
    let digest = Sha256::new().chain_update(name).chain_update([0]).chain_update(value).finalize();
    let mut first = [0; DIGEST_BYTES];
    first.copy_from_slice(&digest[..DIGEST_BYTES]);
    first
}
