//! Reads HTTP message bodies into one buffer. The frames of a body are slices of the buffers that the HTTP library reads
//! into, so keeping them would keep a whole buffer for each piece in which the body arrives.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Why a body cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("length limit exceeded")]
    TooLong,
    /// The connection broke, or the framing is malformed.
    #[error(transparent)]
    Broken(#[from] hyper::Error),
}

/// Reads a body of at most `limit` bytes. The memory that it takes is its declared length, or up to twice its length
/// if it has none, in however many pieces it arrives.
///
/// # Errors
/// [`BodyError`] if the body is too long or cannot be read.
pub async fn read(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut buffer = BytesMut::with_capacity(declared.unwrap_or(0).min(limit));
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if buffer.len() + data.len() > limit {
            return Err(BodyError::TooLong);
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

/// Reads a body to its end, or until it is longer than `limit` bytes, and keeps nothing of it.
pub async fn discard(mut body: Incoming, limit: usize) {
    let mut length = 0;
    while let Some(Ok(frame)) = body.frame().await {
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > limit {
            return;
        }
    }
}
