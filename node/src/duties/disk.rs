//! The voter's folder on a real disk. Opening and writing wait for the disk, so neither ever runs on the thread that serves
//! jobs.

use duties::{Store, StoreContents, StoreError};
use redb::backends::FileBackend;
use std::fs::{create_dir_all, File, OpenOptions};
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::UNIX_EPOCH;

/// The file in the folder.
const FILE: &str = "duties.redb";

/// Why a folder was not taken.
#[derive(Debug)]
pub enum Why {
    /// Another process of this node has it still.
    InUse,
    /// The disk refuses for now: it is full, or fails.
    Refused(String),
    /// It can't be used at all.
    Bad(String),
}

/// Opens the folder's store, or makes one. Waits for the disk.
pub fn open(folder: &Path, fleet: &str, name: &str) -> Result<(Store, StoreContents), Why> {
    let bad = |what: &dyn std::fmt::Display| Why::Bad(format!("{}: {what}", folder.display()));
    let refused = |e: &std::io::Error| Why::Refused(format!("{}: {e}", folder.display()));
    create_dir_all(folder).map_err(|e| refused(&e))?;
    let path = folder.join(FILE);
    let is_new = !path.exists();
    let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
    let file = file.map_err(|e| refused(&e))?;
    let meta = file.metadata().map_err(|e| refused(&e))?;
    if is_new {
        // A file whose name is not on the disk would be an empty folder at the next start.
        File::open(folder).and_then(|f| f.sync_all()).map_err(|e| refused(&e))?;
    }
    let backend = match FileBackend::new(file) {
        Ok(backend) => backend,
        Err(redb::DatabaseError::DatabaseAlreadyOpen) => return Err(Why::InUse),
        Err(e) => return Err(bad(&e)),
    };
    // A copy of the file is another inode, made at another time: it is no voter. An inode alone may be given out again.
    let made = meta.created().ok().and_then(|t| t.duration_since(UNIX_EPOCH).ok()).unwrap_or_default();
    let place = meta.ino() ^ meta.dev().rotate_left(32) ^ (made.as_nanos() as u64).rotate_left(16);
    match Store::open(backend, fleet, name, fastrand::u64(1..), place) {
        Ok(opened) => Ok(opened),
        Err(StoreError::Disk(e)) if e.contains("already open") => Err(Why::InUse),
        Err(e @ StoreError::Disk(_)) => Err(Why::Refused(format!("{}: {e}", folder.display()))),
        Err(e) => Err(bad(&e)),
    }
}
