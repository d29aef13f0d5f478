//! Disk in memory that simulates a full or read-only disk, crashes with torn writes, and corruption.

use rand::rngs::SmallRng;
use rand::RngExt;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    /// Content at the last sync, if crashes are simulated.
    synced: Option<Vec<u8>>,
    /// Writes since the last sync: offset and data.
    unsynced_writes: Vec<(u64, Vec<u8>)>,
    operations: u64,
    /// Number of operations after which all fail.
    fails_after: Option<u64>,
    is_full: bool,
}

/// Disk in memory. It outlives its owner; clones share the same content.
#[derive(Clone, Debug, Default)]
pub struct MemDisk(Arc<Mutex<Inner>>);

impl MemDisk {
    /// Creates an empty disk.
    pub fn new() -> MemDisk {
        MemDisk::default()
    }

    /// Creates an empty disk that tracks syncs, so that crashes can be simulated.
    pub fn with_crash_tracking() -> MemDisk {
        let disk = MemDisk::default();
        disk.lock().synced = Some(Vec::new());
        disk
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of writes, syncs and changes of length so far.
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    /// Lets all operations after this one fail, as after a power loss.
    pub fn fail_after(&self, operation: u64) {
        self.lock().fails_after = Some(operation);
    }

    /// Sets whether writes fail, as on a full or read-only disk.
    pub fn set_full(&self, is_full: bool) {
        self.lock().is_full = is_full;
    }

    /// Returns the disk after a crash: what was synced, with a random subset of later writes, some of them
    /// torn.
    pub fn after_crash(&self, rng: &mut SmallRng) -> MemDisk {
        let inner = self.lock();
        let mut bytes = inner.synced.clone().unwrap_or_else(|| inner.bytes.clone());
        for (at, data) in &inner.unsynced_writes {
            if rng.random_bool(0.5) {
                let is_complete = rng.random_bool(0.7);
                let length = if is_complete { data.len() } else { rng.random_range(0..=data.len()) };
                write_at(&mut bytes, *at, &data[..length]);
            }
        }
        let synced = inner.synced.is_some().then(|| bytes.clone());
        MemDisk(Arc::new(Mutex::new(Inner { bytes, synced, ..Inner::default() })))
    }

    /// Returns an independent copy of the current content, to be used as a stale copy later.
    pub fn copy(&self) -> MemDisk {
        let inner = self.lock();
        MemDisk(Arc::new(Mutex::new(Inner { bytes: inner.bytes.clone(), ..Inner::default() })))
    }

    /// Returns the content.
    pub fn bytes(&self) -> Vec<u8> {
        self.lock().bytes.clone()
    }

    /// Inverts one bit.
    pub fn flip_bit(&self, bit: u64) {
        let mut inner = self.lock();
        let length = inner.bytes.len() as u64 * 8;
        if length > 0 {
            inner.bytes[(bit % length / 8) as usize] ^= 1 << (bit % 8);
        }
    }

    /// Truncates the content.
    pub fn truncate(&self, length: usize) {
        self.lock().bytes.truncate(length);
    }
}

fn write_at(bytes: &mut Vec<u8>, at: u64, data: &[u8]) {
    let (from, to) = (at as usize, at as usize + data.len());
    if bytes.len() < to {
        bytes.resize(to, 0);
    }
    bytes[from..to].copy_from_slice(data);
}

impl Inner {
    fn count_operation(&mut self) -> Result<(), Error> {
        self.operations += 1;
        if self.fails_after.is_some_and(|limit| self.operations > limit) {
            return Err(Error::other("simulated power loss"));
        }
        if self.is_full {
            return Err(Error::new(ErrorKind::StorageFull, "no space left on the disk"));
        }
        Ok(())
    }
}

impl StorageBackend for MemDisk {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.lock().bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let inner = self.lock();
        let from = offset as usize;
        let content = inner.bytes.get(from..from + out.len());
        out.copy_from_slice(content.ok_or(Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.count_operation()?;
        inner.bytes.resize(length as usize, 0);
        if let Some(synced) = &mut inner.synced {
            synced.resize(length as usize, 0);
        }
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.count_operation()?;
        if inner.synced.is_some() {
            inner.synced = Some(inner.bytes.clone());
            inner.unsynced_writes.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.count_operation()?;
        write_at(&mut inner.bytes, offset, data);
        if inner.synced.is_some() {
            inner.unsynced_writes.push((offset, data.to_vec()));
        }
        Ok(())
    }
}
