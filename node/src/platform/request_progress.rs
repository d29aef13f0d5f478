//! Counts the bytes of a request that a worker's socket has accepted: only a request that was not written
//! completely is proven not to have been executed.

use super::send_guard::SendGuard;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// End of the head of an HTTP message.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Largest number of bytes of a response that are kept for a transfer to another process; a request with a
/// longer response is not transferred.
const RESPONSE_BUFFER_MAX: usize = 16 * 1024;

/// How much of the current request the socket has accepted, and the part of the response received since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProgress {
    response: Vec<u8>,
    /// Number of consecutive bytes of [`HEAD_END`] that were matched.
    head_end_matched: usize,
    /// Bytes written after the head.
    body_written: usize,
}

impl RequestProgress {
    /// Records bytes that the socket has accepted.
    pub fn record_written(&mut self, mut bytes: &[u8]) {
        while self.head_end_matched < HEAD_END.len() {
            let Some((&byte, rest)) = bytes.split_first() else { return };
            bytes = rest;
            self.head_end_matched = match (byte == HEAD_END[self.head_end_matched], byte) {
                (true, _) => self.head_end_matched + 1,
                (false, b'\r') => 1,
                _ => 0,
            };
        }
        self.body_written += bytes.len();
    }

    /// Records bytes of the response.
    pub fn record_read(&mut self, bytes: &[u8]) {
        // One byte more than the limit marks the response as too long.
        let free = (RESPONSE_BUFFER_MAX + 1).saturating_sub(self.response.len());
        self.response.extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    /// The response received so far; `None` if it is too long to be kept.
    pub fn response_so_far(&self) -> Option<Bytes> {
        (self.response.len() <= RESPONSE_BUFFER_MAX).then(|| Bytes::copy_from_slice(&self.response))
    }

    /// Whether a request with a body of this length has been written completely.
    pub fn is_complete(&self, body_len: usize) -> bool {
        self.head_end_matched == HEAD_END.len() && self.body_written >= body_len
    }
}

/// Progress that is shared between a connection's user and its stream.
pub type SharedProgress = Arc<Mutex<RequestProgress>>;

/// Stream that records the request written to it and the response read from it.
pub struct CountingStream<S> {
    stream: S,
    progress: SharedProgress,
    guard: SendGuard,
    /// Body length of the current request if another process has written it: the request is counted but not
    /// written again, and the response is read only after that.
    skipped_body_len: Option<usize>,
    /// Task that waits to read until then.
    read_waker: Option<Waker>,
}

impl<S> CountingStream<S> {
    /// Creates a stream for requests of this process.
    pub fn new(stream: S, progress: SharedProgress) -> CountingStream<S> {
        CountingStream {
            stream,
            progress,
            guard: SendGuard::default(),
            skipped_body_len: None,
            read_waker: None,
        }
    }

    /// Creates a stream to which another process has written the current request, with a body of this length.
    pub fn with_request_written(stream: S, progress: SharedProgress, body_len: usize) -> CountingStream<S> {
        CountingStream { skipped_body_len: Some(body_len), ..CountingStream::new(stream, progress) }
    }

    /// The underlying stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The recorded progress.
    pub fn progress(&self) -> SharedProgress {
        self.progress.clone()
    }

    /// The guard that is checked before a request's first byte is written.
    pub(super) fn guard(&self) -> SendGuard {
        self.guard.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.skipped_body_len.is_some() {
            self.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if let Ok(mut progress) = self.progress.lock() {
            progress.record_read(&buf.filled()[filled_before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = match self.skipped_body_len {
            Some(_) => bytes.len(),
            None => {
                self.guard.check()?;
                ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?
            }
        };
        let mut is_skipped = false;
        if let Ok(mut progress) = self.progress.lock() {
            progress.record_written(&bytes[..written]);
            is_skipped = self.skipped_body_len.is_some_and(|body_len| progress.is_complete(body_len));
        }
        if is_skipped {
            self.skipped_body_len = None;
            self.read_waker.take().into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
