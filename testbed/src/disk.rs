//! A disk in memory that can be full, read-only, torn by a crash, or changed behind its owner's back.

use rand::rngs::SmallRng;
use rand::RngExt;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Inner {
    bytes: Vec<u8>,
    /// What was there at the last sync, where crashes are tried.
    synced: Option<Vec<u8>>,
    /// What was written since: where, and what.
    pending: Vec<(u64, Vec<u8>)>,
    steps: u64,
    /// After so many steps all fail.
    fails_at: Option<u64>,
    refuses: bool,
}

/// A disk; it stays what it is when its owner dies. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemDisk(Arc<Mutex<Inner>>);

impl MemDisk {
    /// An empty disk.
    pub fn new() -> MemDisk {
        MemDisk::default()
    }

    /// One that remembers what was synced, so that a crash can be tried.
    pub fn that_crashes() -> MemDisk {
        let disk = MemDisk::default();
        disk.lock().synced = Some(Vec::new());
        disk
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes, syncs and changes of length so far.
    pub fn steps(&self) -> u64 {
        self.lock().steps
    }

    /// From this step on, all fail, as if the power had gone.
    pub fn fail_at(&self, step: u64) {
        self.lock().fails_at = Some(step);
    }

    /// Whether it refuses to be written, as a full or read-only one does.
    pub fn refuse(&self, refuses: bool) {
        self.lock().refuses = refuses;
    }

    /// What is on it after a crash: what was synced, and of what was written since a drawn part, the last of it torn.
    pub fn crashed(&self, rng: &mut SmallRng) -> MemDisk {
        let inner = self.lock();
        let mut bytes = inner.synced.clone().unwrap_or_else(|| inner.bytes.clone());
        for (at, what) in &inner.pending {
            if rng.random_bool(0.5) {
                let whole = rng.random_bool(0.7);
                let length = if whole { what.len() } else { rng.random_range(0..=what.len()) };
                put(&mut bytes, *at, &what[..length]);
            }
        }
        let synced = inner.synced.is_some().then(|| bytes.clone());
        MemDisk(Arc::new(Mutex::new(Inner { bytes, synced, ..Inner::default() })))
    }

    /// A copy as it is now: an older folder, later.
    pub fn copy(&self) -> MemDisk {
        let inner = self.lock();
        MemDisk(Arc::new(Mutex::new(Inner { bytes: inner.bytes.clone(), ..Inner::default() })))
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        self.lock().bytes.clone()
    }

    /// Turns one bit.
    pub fn flip(&self, bit: u64) {
        let mut inner = self.lock();
        let length = inner.bytes.len() as u64 * 8;
        if length > 0 {
            inner.bytes[(bit % length / 8) as usize] ^= 1 << (bit % 8);
        }
    }

    /// Cuts it off.
    pub fn cut(&self, length: usize) {
        self.lock().bytes.truncate(length);
    }
}

fn put(bytes: &mut Vec<u8>, at: u64, what: &[u8]) {
    let (from, to) = (at as usize, at as usize + what.len());
    if bytes.len() < to {
        bytes.resize(to, 0);
    }
    bytes[from..to].copy_from_slice(what);
}

impl Inner {
    fn step(&mut self) -> Result<(), Error> {
        self.steps += 1;
        if self.fails_at.is_some_and(|at| self.steps > at) {
            return Err(Error::other("the power is gone"));
        }
        if self.refuses {
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
        let part = inner.bytes.get(from..from + out.len());
        out.copy_from_slice(part.ok_or(Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.step()?;
        inner.bytes.resize(length as usize, 0);
        if let Some(synced) = &mut inner.synced {
            synced.resize(length as usize, 0);
        }
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.step()?;
        if inner.synced.is_some() {
            inner.synced = Some(inner.bytes.clone());
            inner.pending.clear();
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let mut inner = self.lock();
        inner.step()?;
        put(&mut inner.bytes, offset, data);
        if inner.synced.is_some() {
            inner.pending.push((offset, data.to_vec()));
        }
        Ok(())
    }
}
