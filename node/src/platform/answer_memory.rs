//! Memory for large answers of workers. One that is longer than a short line waits for its share before it is read on, and
//! keeps what its result takes until the client has got it.

use crate::memory::LARGE_ANSWER_BYTES;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{timeout, Instant};

/// Length of an answer, in bytes, up to which it needs no share: the bound of its connection includes it.
const SMALL_ANSWER_BYTES: usize = 4 * 1024;
/// Time limit for the share of a large answer, and for reading such an answer once it has its share: a worker that sends
/// slowly must not keep the memory from others.
const LARGE_ANSWER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bytes in a KiB.
const KIB: usize = 1024;

/// Error: no share became free in time.
#[derive(Debug, thiserror::Error)]
#[error("no memory is left for the answer")]
pub struct NoMemory;

/// Memory for large answers, in KiB, which all attempts share.
pub type SharedAnswerMemory = Arc<Semaphore>;

/// Share of one answer.
pub struct AnswerMemory {
    shared: SharedAnswerMemory,
    share: Option<OwnedSemaphorePermit>,
    /// Time by which a large answer must be complete.
    deadline: Option<Instant>,
}

impl AnswerMemory {
    /// Creates the state of an answer without a share.
    pub fn new(shared: SharedAnswerMemory) -> AnswerMemory {
        AnswerMemory { shared, share: None, deadline: None }
    }

    /// Waits for a share if an answer of this length so far needs one.
    ///
    /// # Errors
    /// [`NoMemory`] if there is none in time.
    pub async fn reserve(&mut self, length: usize) -> Result<(), NoMemory> {
        if length <= SMALL_ANSWER_BYTES || self.share.is_some() {
            return Ok(());
        }
        let share = self.shared.clone().acquire_many_owned((LARGE_ANSWER_BYTES / KIB) as u32);
        let share = timeout(LARGE_ANSWER_TIMEOUT, share).await.map_err(|_| NoMemory)?;
        self.share = Some(share.map_err(|_| NoMemory)?);
        self.deadline = Some(Instant::now() + LARGE_ANSWER_TIMEOUT);
        Ok(())
    }

    /// Time by which the answer must be complete; `None` as long as it is small.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// The result of the answer. As long as it lives it keeps the part of the share that it takes.
    pub fn hold(&mut self, result: Bytes) -> Bytes {
        let kept = self.share.take().and_then(|mut share| share.split(result.len().div_ceil(KIB)));
        match kept {
            Some(share) => Bytes::from_owner(HeldResult { result, _share: share }),
            None => result,
        }
    }
}

/// A result with its share of the memory.
struct HeldResult {
    result: Bytes,
    _share: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldResult {
    fn as_ref(&self) -> &[u8] {
        &self.result
    }
}
