//! Errors of a store.

use super::format::FORMAT;

/// Why a store can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk fails: it is full, read-only or gone.
    #[error("the disk refuses: {0}")]
    Disk(String),
    /// The contents are not what was written.
    #[error("it is damaged: {0}")]
    Corrupt(String),
    /// A later version of the program wrote it, in this format.
    #[error("it has format {0}, and this program knows {FORMAT} at most")]
    NewerFormat(u32),
    /// It belongs to another fleet or node.
    #[error("it belongs to node {node} of fleet {fleet}")]
    WrongOwner {
        /// The fleet that it belongs to.
        fleet: String,
        /// The node that it belongs to.
        node: String,
    },
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> StoreError {
        match error.into() {
            error @ (redb::Error::Corrupted(_) | redb::Error::UpgradeRequired(_)) => {
                StoreError::Corrupt(error.to_string())
            }
            redb::Error::Io(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                StoreError::Corrupt(error.to_string())
            }
            error => StoreError::Disk(error.to_string()),
        }
    }
}
