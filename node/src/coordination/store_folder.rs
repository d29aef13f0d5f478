//! Folder of the voter's store. Opening and writing wait for the disk, so neither runs on the thread that serves jobs.

use ::coordination::{Store, StoreContents, StoreError};
use redb::backends::FileBackend;
use std::fs::{create_dir_all, File, Metadata, OpenOptions};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;
use thiserror::Error;

/// Name of the file in the folder.
const FILE_NAME: &str = "duties.redb";

/// Why a store was not opened.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// Another process of this node has it open still.
    #[error("another process has it")]
    InUse,
    /// The disk refuses for now: it is full, or fails.
    #[error("{}: {source}", folder.display())]
    Unavailable {
        folder: PathBuf,
        #[source]
        source: UnavailableCause,
    },
    /// It can't be used at all.
    #[error("{}: {source}", folder.display())]
    Unusable {
        folder: PathBuf,
        #[source]
        source: UnusableCause,
    },
}

/// Failure of the disk.
#[derive(Debug, Error)]
pub(super) enum UnavailableCause {
    #[error(transparent)]
    File(#[from] io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Why a store can't be used at all.
#[derive(Debug, Error)]
pub(super) enum UnusableCause {
    #[error(transparent)]
    Database(#[from] redb::DatabaseError),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// Opens the folder's store, or creates one. Waits for the disk.
pub(super) fn open(folder: &Path, fleet: &str, node: &str) -> Result<(Store, StoreContents), OpenError> {
    let unavailable = |source: UnavailableCause| OpenError::Unavailable { folder: folder.into(), source };
    let unusable = |source: UnusableCause| OpenError::Unusable { folder: folder.into(), source };
    let (file, location) = open_file(folder).map_err(|e| unavailable(e.into()))?;
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

/// Opens the file, and returns what tells it from a copy.
fn open_file(folder: &Path) -> io::Result<(File, u64)> {
    create_dir_all(folder)?;
    let path = folder.join(FILE_NAME);
    let is_new = !path.exists();
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path)?;
    let location = location(&file.metadata()?);
    if is_new {
        // A file whose name is not on the disk would be an empty folder at the next start.
        File::open(folder)?.sync_all()?;
    }
    Ok((file, location))
}

/// Hash of what tells a file from a copy of it: a copy is another inode, created at another time. An inode alone may be
/// given to another file.
fn location(metadata: &Metadata) -> u64 {
    let created = metadata.created().ok().and_then(|time| time.duration_since(UNIX_EPOCH).ok());
    let created_ns = created.unwrap_or_default().as_nanos() as u64;
    metadata.ino() ^ metadata.dev().rotate_left(32) ^ created_ns.rotate_left(16)
}
