//! Directory of the voter's store. Opening and writing block on the disk, so neither runs on the thread that serves
//! requests.

use ::coordination::{Store, StoreContents, StoreError};
use redb::backends::FileBackend;
use std::fs::{create_dir_all, File, Metadata, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;
use thiserror::Error;

/// Name of the database file.
const FILE_NAME: &str = "duties.redb";

/// Why a store was not opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// Another process of this node still has it open.
    #[error("another process has the store open")]
    InUse,
    /// The disk is full or fails, which may be temporary.
    #[error("{}: {source}", directory.display())]
    Unavailable {
        directory: PathBuf,
        #[source]
        source: UnavailableCause,
    },
    /// It can't be used, and a retry would not help.
    #[error("{}: {source}", directory.display())]
    Unusable {
        directory: PathBuf,
        #[source]
        source: UnusableCause,
    },
}

/// Why a store can't be opened for now.
#[derive(Debug, Error)]
pub(super) enum UnavailableCause {
    #[error(transparent)]
    File(#[from] io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Why a store can't be used.
#[derive(Debug, Error)]
pub(super) enum UnusableCause {
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Opens or creates the store in a directory. Blocks on the disk.
pub(super) fn open(directory: &Path, fleet: &str, node: &str) -> Result<(Store, StoreContents), OpenError> {
    let unavailable =
        |source: UnavailableCause| OpenError::Unavailable { directory: directory.into(), source };
    let unusable = |source: UnusableCause| OpenError::Unusable { directory: directory.into(), source };
    let (file, location) = open_file(directory).map_err(|e| unavailable(e.into()))?;
    let backend = match FileBackend::new(file) {
        Ok(backend) => backend,
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => return Err(OpenError::InUse),
        Err(error) => return Err(unusable(error.into())),
    };
    match Store::open(backend, fleet, node, fastrand::u64(1..), location) {
        Ok(opened) => Ok(opened),
        Err(StoreError::Disk(error)) if error.contains("already open") => Err(OpenError::InUse),
        Err(error @ StoreError::Disk(_)) => Err(unavailable(error.into())),
        Err(error) => Err(unusable(error.into())),
    }
}

/// Opens or creates the file, and returns it with its [`location`].
fn open_file(directory: &Path) -> io::Result<(File, u64)> {
    create_dir_all(directory)?;
    let path = directory.join(FILE_NAME);
    let is_new = !path.exists();
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
    let location = location(&file.metadata()?);
    if is_new {
        // Unless the directory entry is durable, the next start may find an empty directory.
        File::open(directory)?.sync_all()?;
    }
    Ok((file, location))
}

/// Hash that distinguishes a file from copies of it: a copy has another inode and creation time. The inode number alone
/// may be reused for another file.
fn location(metadata: &Metadata) -> u64 {
    let created = metadata.created().ok().and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    let created_ns = created.unwrap_or_default().as_nanos() as u64;
    metadata.ino() ^ metadata.dev().rotate_left(32) ^ created_ns.rotate_left(16)
}
