//! Durable store of a voter: the identity of its disk, its votes and its log. A batch is on the disk as a whole when
//! [`Store::write`] returns, or not at all.

mod error;
mod format;

pub use error::StoreError;
pub use format::{DiskIdentity, ProcessStart};

use crate::raft_log::RaftLog;
use format::{
    open_record, seal_record, FACTS, FORMAT, FORMAT_RECORD, HARD_STATE_RECORD, IDENTITY_RECORD, LOG,
    SNAPSHOT_RECORD,
};
use protobuf::Message;
use raft::eraftpb::{Entry, HardState, Snapshot};
use redb::{Database, ReadTransaction, ReadableDatabase, StorageBackend, WriteTransaction};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Most bytes that `redb` keeps in memory.
const CACHE_BYTES: usize = 1 << 20;

/// Batch of changes that is written as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Number for [`crate::Voter::persisted`].
    pub number: u64,
    pub(crate) identity: Option<DiskIdentity>,
    pub(crate) hard_state: Option<HardState>,
    pub(crate) snapshot: Option<Snapshot>,
    /// The snapshot is another voter's and replaces the whole log.
    pub(crate) replaces_log: bool,
    pub(crate) entries: Vec<Entry>,
}

impl WriteBatch {
    pub(crate) fn is_empty(&self) -> bool {
        *self == WriteBatch { number: self.number, ..WriteBatch::default() }
    }
}

/// Contents of a store when it was opened.
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
    /// Opens the store on this disk, or creates one with the id `disk_id` if the disk is empty. The start is counted on
    /// the disk before this returns. `location` tells the file from a copy of it, such as by its inode.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails, its contents are corrupt or of a newer format, or it belongs to another node.
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
        let new = || StoreContents { identity: new_identity(), log: RaftLog::default() };
        let mut contents = store.load()?.unwrap_or_else(new);
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
        match read.open_table(FACTS) {
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            facts => drop(facts?),
        }
        check_format(&read)?;
        let identity = read_record(&read, IDENTITY_RECORD)?.ok_or_else(|| unreadable(IDENTITY_RECORD))?;
        let identity = postcard::from_bytes(&identity).map_err(|_| unreadable(IDENTITY_RECORD))?;
        let log = read_log(&read)?;
        Ok(Some(StoreContents { identity, log }))
    }

    /// Writes a batch. All of it is on the disk when this returns, or none of it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails.
    pub fn write(&self, batch: &WriteBatch) -> Result<(), StoreError> {
        let write = self.db.begin_write()?;
        write_facts(&write, batch)?;
        write_log(&write, batch)?;
        write.commit()?;
        Ok(())
    }
}

fn open_database(backend: impl StorageBackend) -> Result<Database, StoreError> {
    // The library may panic on a disk whose structure was changed.
    let unreadable = || StoreError::Corrupt("its structure can't be read".into());
    let open = || Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(backend);
    let mut db = catch_unwind(AssertUnwindSafe(open)).map_err(|_| unreadable())??;
    let check = catch_unwind(AssertUnwindSafe(|| db.check_integrity()));
    if !check.map_err(|_| unreadable())?? {
        return Err(StoreError::Corrupt("its structure was changed".into()));
    }
    Ok(db)
}

fn unreadable(name: &str) -> StoreError {
    StoreError::Corrupt(format!("the record '{name}' can't be read"))
}

fn check_format(read: &ReadTransaction) -> Result<(), StoreError> {
    let format = read_record(read, FORMAT_RECORD)?.ok_or_else(|| unreadable(FORMAT_RECORD))?;
    let format = u32::from_be_bytes(format.try_into().map_err(|_| unreadable(FORMAT_RECORD))?);
    if format > FORMAT {
        return Err(StoreError::NewerFormat(format));
    }
    Ok(())
}

fn read_record(read: &ReadTransaction, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
    let record = read.open_table(FACTS)?.get(name)?;
    record.map(|record| open_record(name, record.value()).map(<[u8]>::to_vec)).transpose()
}

fn read_log(read: &ReadTransaction) -> Result<RaftLog, StoreError> {
    let mut log = RaftLog::default();
    if let Some(bytes) = read_record(read, HARD_STATE_RECORD)? {
        log.hard_state = HardState::parse_from_bytes(&bytes).map_err(|_| unreadable(HARD_STATE_RECORD))?;
    }
    if let Some(bytes) = read_record(read, SNAPSHOT_RECORD)? {
        log.snapshot = Snapshot::parse_from_bytes(&bytes).map_err(|_| unreadable(SNAPSHOT_RECORD))?;
        log.conf_state = log.snapshot.get_metadata().get_conf_state().clone();
    }
    for record in read.open_table(LOG)?.range(log.base() + 1..)? {
        let (index, bytes) = record?;
        let name = format::entry_record(index.value());
        let entry = Entry::parse_from_bytes(open_record(&name, bytes.value())?);
        let entry = entry.map_err(|_| unreadable(&name))?;
        let next = log.base() + log.entries.len() as u64 + 1;
        if entry.index != next || index.value() != next {
            return Err(StoreError::Corrupt(format!("entry {next} is missing")));
        }
        log.entries.push(entry);
    }
    if log.hard_state.commit > log.base() + log.entries.len() as u64 {
        return Err(StoreError::Corrupt("entries that were agreed on are missing".into()));
    }
    Ok(log)
}

fn encode(message: &dyn Message) -> Result<Vec<u8>, StoreError> {
    message.write_to_bytes().map_err(|e| StoreError::Disk(e.to_string()))
}

fn write_facts(write: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut facts = write.open_table(FACTS)?;
    let mut put = |name: &str, bytes: &[u8]| -> Result<(), StoreError> {
        facts.insert(name, seal_record(name, bytes).as_slice())?;
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
    let mut log = write.open_table(LOG)?;
    if let Some(snapshot) = &batch.snapshot {
        log.retain(|index, _| !batch.replaces_log && index > snapshot.get_metadata().index)?;
    }
    if let Some(first) = batch.entries.first() {
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &batch.entries {
        let name = format::entry_record(entry.index);
        log.insert(entry.index, seal_record(&name, &encode(entry)?).as_slice())?;
    }
    Ok(())
}
