//! Errors of a store.

use super::format::FORMAT;

/// Error of opening or writing a store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The disk failed: it is full, read-only or unavailable.
    #[error("storage failed: {0}")]
    Disk(String),
    /// The contents differ from what was written.
    #[error("the store is corrupt: {0}")]
    Corrupt(String),
    /// A later version of the program wrote the store, in this format.
    #[error("the store has format {0}; this program supports formats up to {FORMAT}")]
    NewerFormat(u32),
    /// The store belongs to another fleet or node.
    #[error("the store belongs to node {node} of fleet {fleet}")]
    WrongOwner {
        /// Fleet that the store belongs to.
        fleet: String,
        /// Node that the store belongs to.
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
