//! Durable store of a voter: the identity of its disk, its votes and its log. [`Store::write`] is atomic: a batch is on the
//! disk as a whole or not at all.

mod error;
mod format;

pub use error::StoreError;
pub use format::{DiskIdentity, ProcessStart};

use crate::raft_log::RaftLog;
use format::{
    decode_record, encode_record, FORMAT, FORMAT_RECORD, HARD_STATE_RECORD, IDENTITY_RECORD, LOG_TABLE,
    METADATA_TABLE, SNAPSHOT_RECORD,
};
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadTransaction, ReadableDatabase, StorageBackend, WriteTransaction};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Size of `redb`'s cache, in bytes.
const CACHE_BYTES: usize = 1 << 20;

/// Batch of changes that is written atomically.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Number of the batch, to be passed to [`crate::Voter::persisted`].
    pub number: u64,
    pub(crate) identity: Option<DiskIdentity>,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<Snapshot>,
    /// Whether the snapshot replaces the whole log, not only the entries that it covers.
    pub(crate) replaces_log: bool,
    pub(crate) entries: Vec<Entry>,
}

impl WriteBatch {
    pub(crate) fn is_empty(&self) -> bool {
        *self == WriteBatch { number: self.number, ..WriteBatch::default() }
    }
}

/// Contents of a store at the time when it was opened.
pub struct StoreContents {
    /// Identity of the disk.
    pub identity: DiskIdentity,
    pub(crate) log: RaftLog,
}

/// Durable store of a voter.
pub struct Store {
    db: Database,
}

impl Store {
    /// Opens a store, or creates one with the id `disk_id` if the backend is empty. The new number of starts is durable when
    /// this returns. `location` distinguishes the file from copies of it, for example by its inode.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails, or if the store is corrupt, has a newer format or belongs to another node.
    pub fn open(
        backend: impl StorageBackend,
        fleet: &str,
        node: &str,
        disk_id: u64,
        location: u64,
    ) -> Result<(Store, StoreContents), StoreError> {
        let store = Store { db: open_database(backend)? };
        let new_identity = || DiskIdentity {
            fleet: fleet.to_string(),
            node: node.to_string(),
            disk_id,
            starts: 0,
            location,
            is_stale_copy: false,
            cluster_id: None,
            peer_starts: BTreeMap::new(),
        };
        let empty = || StoreContents { identity: new_identity(), log: RaftLog::default() };
        let mut contents = store.load()?.unwrap_or_else(empty);
        let identity = &mut contents.identity;
        if (identity.fleet.as_str(), identity.node.as_str()) != (fleet, node) {
            return Err(StoreError::WrongOwner {
                fleet: identity.fleet.clone(),
                node: identity.node.clone(),
            });
        }
        identity.is_stale_copy |= identity.location != location;
        identity.starts += 1;
        store.write(&WriteBatch { identity: Some(identity.clone()), ..WriteBatch::default() })?;
        Ok((store, contents))
    }

    fn load(&self) -> Result<Option<StoreContents>, StoreError> {
        let read = self.db.begin_read()?;
        match read.open_table(METADATA_TABLE) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            metadata => drop(metadata?),
        }
        check_format(&read)?;
        let identity = read_record(&read, IDENTITY_RECORD)?.ok_or_else(|| corrupt_record(IDENTITY_RECORD))?;
        let identity = postcard::from_bytes(&identity).map_err(|_| corrupt_record(IDENTITY_RECORD))?;
        let log = read_log(&read)?;
        Ok(Some(StoreContents { identity, log }))
    }

    /// Writes a batch atomically. All of it is durable when this returns `Ok`.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let write = self.db.begin_write()?;
        write_metadata(&write, batch)?;
        write_log(&write, batch)?;
        write.commit()?;
        Ok(())
    }
}

fn open_database(backend: impl StorageBackend) -> Result<Database, StoreError> {
    // `redb` may panic on a file whose structure is damaged.
    let unreadable = || StoreError::Corrupt("the database structure cannot be read".into());
    let open = || Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
    let mut db = catch_unwind(AssertUnwindSafe(open)).map_err(|_| unreadable())??;
    let check = catch_unwind(AssertUnwindSafe(|| db.check_integrity()));
    if !check.map_err(|_| unreadable())?? {
        return Err(StoreError::Corrupt("the integrity check of the database failed".into()));
    }
    Ok(db)
}

fn corrupt_record(name: &str) -> StoreError {
    StoreError::Corrupt(format!("record '{name}' cannot be decoded"))
}

fn check_format(read: &ReadTransaction) -> Result<(), StoreError> {
    let format = read_record(read, FORMAT_RECORD)?.ok_or_else(|| corrupt_record(FORMAT_RECORD))?;
    let format = u32::from_be_bytes(format.try_into().map_err(|_| corrupt_record(FORMAT_RECORD))?);
    if format > FORMAT {
        return Err(StoreError::NewerFormat(format));
    }
    Ok(())
}

fn read_record(read: &ReadTransaction, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
    let record = read.open_table(METADATA_TABLE)?.get(name)?;
    record.map(|record| decode_record(name, record.value()).map(<[u8]>::to_vec)).transpose()
}

fn read_log(read: &ReadTransaction) -> Result<RaftLog, StoreError> {
    let mut log = RaftLog::default();
    if let Some(bytes) = read_record(read, HARD_STATE_RECORD)? {
        log.hard_state =
            HardState::parse_from_bytes(&bytes).map_err(|_| corrupt_record(HARD_STATE_RECORD))?;
    }
    if let Some(bytes) = read_record(read, SNAPSHOT_RECORD)? {
        log.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(|_| corrupt_record(SNAPSHOT_RECORD))?;
        log.conf_state = log.snapshot.get_metadata().get_conf_state().clone();
    }
    for record in read.open_table(LOG_TABLE)?.range(log.base_index() + 1..)? {
        let (index, bytes) = record?;
        let name = format::entry_record_name(index.value());
        let entry = Entry::parse_from_bytes(decode_record(&name, bytes.value())?);
        let entry = entry.map_err(|_| corrupt_record(&name))?;
        let expected = log.base_index() + log.entries.len() as u64 + 1;
        if entry.index != expected || index.value() != expected {
            return Err(StoreError::Corrupt(format!("log entry {expected} is missing")));
        }
        log.entries.push(entry);
    }
    if log.hard_state.commit > log.base_index() + log.entries.len() as u64 {
        return Err(StoreError::Corrupt("committed log entries are missing".into()));
    }
    Ok(log)
}

fn encode(message: &dyn Message) -> Result<Vec<u8>, StoreError> {
    message.write_to_bytes().map_err(|e| StoreError::Disk(e.to_string()))
}

fn write_metadata(write: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut metadata = write.open_table(METADATA_TABLE)?;
    let mut put = |name: &str, bytes: &[u8]| -> Result<(), StoreError> {
        metadata.insert(name, encode_record(name, bytes).as_slice())?;
        Ok(())
    };
    if let Some(identity) = &batch.identity {
        let identity = postcard::to_stdvec(identity).map_err(|e| StoreError::Disk(e.to_string()))?;
        put(FORMAT_RECORD, &FORMAT.to_be_bytes())?;
        put(IDENTITY_RECORD, &identity)?;
    }
    if let Some(hard_state) = &batch.hard_state {
        put(HARD_STATE_RECORD, &encode(hard_state)?)?;
    }
    if let Some(snapshot) = &batch.snapshot {
        put(SNAPSHOT_RECORD, &encode(snapshot)?)?;
    }
    Ok(())
}

fn write_log(write: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut log = write.open_table(LOG_TABLE)?;
    if let Some(snapshot) = &batch.snapshot {
        log.retain(|index, _| !batch.replaces_log && index > snapshot.get_metadata().index)?;
    }
    if let Some(first) = batch.entries.first() {
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &batch.entries {
        let name = format::entry_record_name(entry.index);
        log.insert(entry.index, encode_record(&name, &encode(entry)?).as_slice())?;
    }
    Ok(())
}
