//! What a voter must not forget: its disk's number, its votes, its log. Each write is whole and on the disk before the
//! embedder says that it is done, or it did not happen.
//!
//! Underneath is `redb`. Over it each record carries a digest of its own, so that a byte that was changed on the disk is
//! found and said, and nothing is granted on it.

use crate::log::Log;
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadableDatabase, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

const FACTS: TableDefinition<&str, &[u8]> = TableDefinition::new("facts");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The form of these tables. A folder of a later one is refused.
const FORMAT: u32 = 1;
/// Of a digest, as many bytes go before each record.
const DIGEST: usize = 8;
/// What `redb` may keep in memory, in bytes.
const CACHE: usize = 1 << 20;

/// What is known of the folder itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DiskIdentity {
    /// The fleet that it belongs to.
    pub fleet: String,
    /// The node that it belongs to.
    pub node: String,
    /// Drawn when it was made. The voters know each other by it: a folder that was lost is another voter.
    pub disk_id: u64,
    /// How often it was started from, this time included.
    pub starts: u64,
    /// Told by the embedder: what tells this file from a copy of it, such as its inode.
    pub location: u64,
    /// It is an older copy of itself, or a copy in another place: it never votes again.
    pub is_stale_copy: bool,
    /// The foundation that it belongs to.
    pub cluster_id: Option<u64>,
    /// The latest start of each other voter's disk that was seen, and which process that was.
    pub peer_starts: BTreeMap<u64, (u64, u64)>,
}

/// What is to be written, whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// For [`crate::Voter::written`].
    pub number: u64,
    pub(crate) identity: Option<DiskIdentity>,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<Snapshot>,
    /// The snapshot is another's, and nothing of the log before it counts.
    pub(crate) replaces_log: bool,
    pub(crate) entries: Vec<Entry>,
}

impl WriteBatch {
    pub(crate) fn is_empty(&self) -> bool {
        *self == WriteBatch { number: self.number, ..WriteBatch::default() }
    }
}

/// Why a store was not taken, or a write failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk says no: full, read-only, gone.
    #[error("the disk refuses: {0}")]
    Io(String),
    /// What was read is not what was written.
    #[error("it is damaged: {0}")]
    Corrupt(String),
    /// It was written by a later version of the program.
    #[error("it has format {0}, and this program knows {FORMAT} at most")]
    NewerFormat(u32),
    /// It belongs to another fleet or node.
    #[error("it belongs to node {node} of fleet {fleet}")]
    WrongOwner {
        /// That fleet.
        fleet: String,
        /// That node.
        node: String,
    },
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(e: E) -> StoreError {
        match e.into() {
            e @ (redb::Error::Corrupted(_) | redb::Error::UpgradeRequired(_)) => {
                StoreError::Corrupt(e.to_string())
            }
            redb::Error::Io(e) if e.kind() == std::io::ErrorKind::InvalidData => {
                StoreError::Corrupt(e.to_string())
            }
            e => StoreError::Io(e.to_string()),
        }
    }
}

/// What a store held when it was opened, and what is drawn where it is new.
pub struct StoreContents {
    /// Its folder.
    pub identity: DiskIdentity,
    pub(crate) log: Log,
}

/// A voter's store.
pub struct Store {
    db: Database,
}

impl Store {
    /// Opens a store over this disk, or makes one where it is empty: then `disk` is its number. Notes the start, durably,
    /// before it returns. `place` is what tells the file from a copy of it.
    pub fn open(
        backend: impl StorageBackend,
        fleet: &str,
        node: &str,
        disk_id: u64,
        location: u64,
    ) -> Result<(Store, StoreContents), StoreError> {
        // A disk whose structure was changed may be told by a panic of the library's, not by an error.
        let open = || Database::builder().set_cache_size(CACHE).create_with_backend(backend);
        let db = std::panic::catch_unwind(std::panic::AssertUnwindSafe(open));
        let mut db = db.map_err(|_| StoreError::Corrupt("its structure can't be read".into()))??;
        let check = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| db.check_integrity()));
        if !check.map_err(|_| StoreError::Corrupt("its structure can't be read".into()))?? {
            return Err(StoreError::Corrupt("its structure was changed".into()));
        }
        let store = Store { db };
        let new = DiskIdentity {
            fleet: fleet.to_string(),
            node: node.to_string(),
            disk_id,
            starts: 0,
            location,
            is_stale_copy: false,
            cluster_id: None,
            peer_starts: BTreeMap::new(),
        };
        let mut disk = store.load()?.unwrap_or(StoreContents { identity: new, log: Log::default() });
        if (disk.identity.fleet.as_str(), disk.identity.node.as_str()) != (fleet, node) {
            return Err(StoreError::WrongOwner { fleet: disk.identity.fleet, node: disk.identity.node });
        }
        disk.identity.is_stale_copy |= disk.identity.location != location;
        disk.identity.starts += 1;
        store.write(&WriteBatch { identity: Some(disk.identity.clone()), ..WriteBatch::default() })?;
        Ok((store, disk))
    }

    fn load(&self) -> Result<Option<StoreContents>, StoreError> {
        let read = self.db.begin_read()?;
        let facts = match read.open_table(FACTS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            facts => facts?,
        };
        let fact = |name: &str| -> Result<Option<Vec<u8>>, StoreError> {
            facts.get(name)?.map(|v| open(name, v.value()).map(<[u8]>::to_vec)).transpose()
        };
        let damaged = |what: &str| StoreError::Corrupt(format!("the record '{what}' can't be read"));
        let format = fact("format")?.ok_or(damaged("format"))?;
        let format = u32::from_be_bytes(format.try_into().map_err(|_| damaged("format"))?);
        if format > FORMAT {
            return Err(StoreError::NewerFormat(format));
        }
        let identity = fact("folder")?.ok_or(damaged("folder"))?;
        let identity: DiskIdentity = postcard::from_bytes(&identity).map_err(|_| damaged("folder"))?;
        let mut log = Log::default();
        if let Some(bytes) = fact("hard")? {
            log.hard_state = HardState::parse_from_bytes(&bytes).map_err(|_| damaged("hard"))?;
        }
        if let Some(bytes) = fact("snapshot")? {
            log.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(|_| damaged("snapshot"))?;
            log.conf_state = log.snapshot.get_metadata().get_conf_state().clone();
        }
        let entries = read.open_table(LOG)?;
        for line in entries.range(log.base() + 1..)? {
            let (index, bytes) = line?;
            let name = format!("entry {}", index.value());
            let entry = Entry::parse_from_bytes(open(&name, bytes.value())?).map_err(|_| damaged(&name))?;
            let next = log.base() + log.entries.len() as u64 + 1;
            if entry.index != next || index.value() != next {
                return Err(StoreError::Corrupt(format!("entry {next} is missing")));
            }
            log.entries.push(entry);
        }
        if log.hard_state.commit > log.base() + log.entries.len() as u64 {
            return Err(StoreError::Corrupt("entries that were agreed on are missing".into()));
        }
        Ok(Some(StoreContents { identity, log }))
    }

    /// Writes a batch: all of it is on the disk when this returns, or none.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let write = self.db.begin_write()?;
        {
            let mut facts = write.open_table(FACTS)?;
            let mut put = |name: &str, bytes: &[u8]| -> Result<(), StoreError> {
                facts.insert(name, seal(name, bytes).as_slice())?;
                Ok(())
            };
            let written = |m: &dyn Message| m.write_to_bytes().map_err(|e| StoreError::Io(e.to_string()));
            if let Some(identity) = &batch.identity {
                put("format", &FORMAT.to_be_bytes())?;
                put("folder", &postcard::to_stdvec(identity).map_err(|e| StoreError::Io(e.to_string()))?)?;
            }
            if let Some(hard_state) = &batch.hard_state {
                put("hard", &written(hard_state)?)?;
            }
            let mut log = write.open_table(LOG)?;
            if let Some(snapshot) = &batch.snapshot {
                put("snapshot", &written(snapshot)?)?;
                log.retain(|index, _| !batch.replaces_log && index > snapshot.get_metadata().index)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in &batch.entries {
                let name = format!("entry {}", entry.index);
                log.insert(entry.index, seal(&name, &written(entry)?).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// A digest of the record and of which one it is, before the record.
fn seal(name: &str, bytes: &[u8]) -> Vec<u8> {
    let mut sealed = digest(name, bytes).to_vec();
    sealed.extend_from_slice(bytes);
    sealed
}

fn open<'a>(name: &str, sealed: &'a [u8]) -> Result<&'a [u8], StoreError> {
    match sealed.split_at_checked(DIGEST) {
        Some((tag, bytes)) if tag == digest(name, bytes) => Ok(bytes),
        _ => Err(StoreError::Corrupt(format!("the record '{name}' was changed"))),
    }
}

fn digest(name: &str, bytes: &[u8]) -> [u8; DIGEST] {
    let whole = Sha256::new().chain_update(name).chain_update([0]).chain_update(bytes).finalize();
    let mut part = [0; DIGEST];
    part.copy_from_slice(&whole[..DIGEST]);
    part
}
