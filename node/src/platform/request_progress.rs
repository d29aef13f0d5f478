//! Count of a request's bytes that a worker's socket has taken: only a request that is not written to its last byte
//! surely never ran.

use super::send_guard::SendGuard;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// End of an HTTP head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Bytes of an answer that are kept for a move to another process; a job with a longer one does not move.
const RESPONSE_KEPT_MAX: usize = 16 * 1024;

/// How much of the current request the socket has taken, and what of the answer has come since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProgress {
    response: Vec<u8>,
    /// Bytes of the head's end seen in a row.
    head_end_matched: usize,
    /// Bytes written after the head.
    body_written: usize,
}

impl RequestProgress {
    /// Records bytes that the socket has taken.
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

    /// Records bytes of the answer.
    pub fn record_read(&mut self, bytes: &[u8]) {
        let room = (RESPONSE_KEPT_MAX + 1).saturating_sub(self.response.len()); // one more marks it as too long
        self.response.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// What has come since the request was begun; `None` where it is too long to keep.
    pub fn response_so_far(&self) -> Option<Bytes> {
        (self.response.len() <= RESPONSE_KEPT_MAX).then(|| Bytes::copy_from_slice(&self.response))
    }

    /// Whether a request with a body of this length is written to its last byte.
    pub fn is_complete(&self, body: usize) -> bool {
        self.head_end_matched == HEAD_END.len() && self.body_written >= body
    }
}

/// Progress that a connection shares with who uses it.
pub type SharedProgress = Arc<Mutex<RequestProgress>>;

/// Stream that counts what is written to it.
pub struct CountingStream<S> {
    stream: S,
    progress: SharedProgress,
    guard: SendGuard,
    /// Length of the body of a request that another process has written already: the request is counted and goes no
    /// further, and no answer is read before that.
    already_written: Option<usize>,
    /// Who waits to read until then.
    reader: Option<Waker>,
}

impl<S> CountingStream<S> {
    /// A stream of this process.
    pub fn new(stream: S, progress: SharedProgress) -> CountingStream<S> {
        CountingStream { stream, progress, guard: SendGuard::default(), already_written: None, reader: None }
    }

    /// A stream to which another process has written the current request, with a body of this length.
    pub fn with_request_written(stream: S, progress: SharedProgress, body: usize) -> CountingStream<S> {
        CountingStream { already_written: Some(body), ..CountingStream::new(stream, progress) }
    }

    /// The stream inside.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// The count.
    pub fn progress(&self) -> SharedProgress {
        self.progress.clone()
    }

    /// The guard that is checked before a request's first byte.
    pub(super) fn guard(&self) -> SendGuard {
        self.guard.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.already_written.is_some() {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if let Ok(mut progress) = self.progress.lock() {
            progress.record_read(&buf.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let taken = match self.already_written {
            Some(_) => bytes.len(),
            None => {
                self.guard.check()?;
                ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?
            }
        };
        let mut is_replayed = false;
        if let Ok(mut progress) = self.progress.lock() {
            progress.record_written(&bytes[..taken]);
            is_replayed = self.already_written.is_some_and(|body| progress.is_complete(body));
        }
        if is_replayed {
            self.already_written = None;
            self.reader.take().into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
