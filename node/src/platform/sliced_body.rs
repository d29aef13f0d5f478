//! Message body that the HTTP library gets in slices. It copies each slice into the write buffer of the connection, which
//! keeps its capacity, so that a whole body would take its length again for each connection.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Length of a slice, in bytes.
const SLICE_BYTES: usize = 4 * 1024;

/// Body that consists of these bytes.
#[derive(Clone, Debug, Default)]
pub struct SlicedBody(Bytes);

impl SlicedBody {
    /// Creates a body.
    pub fn new(bytes: Bytes) -> SlicedBody {
        SlicedBody(bytes)
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.0.len().min(SLICE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.0.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.len() as u64)
    }
}
