//! Counts on the socket whether all of a request has been written: 'it never ran' hangs on that.

use super::send_guard::SendGuard;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD_END: &[u8] = b"\r\n\r\n";
/// What is kept of an answer for a move to another process; a longer one does not move.
const SAID_MAX: usize = 16 * 1024;

/// How much of the current request the socket has taken, and what has come back since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestProgress {
    said: Vec<u8>,
    matched: usize, // bytes of the head's end seen in a row
    body: usize,    // bytes after it
}

impl RequestProgress {
    /// Takes note of bytes that the socket took.
    pub fn note(&mut self, mut bytes: &[u8]) {
        while self.matched < HEAD_END.len() {
            let Some((&byte, rest)) = bytes.split_first() else { return };
            bytes = rest;
            self.matched = match (byte == HEAD_END[self.matched], byte) {
                (true, _) => self.matched + 1,
                (false, b'\r') => 1,
                _ => 0,
            };
        }
        self.body += bytes.len();
    }

    /// What has come back since the request was begun; `None` where it is too much to keep.
    pub fn response_so_far(&self) -> Option<Bytes> {
        (self.said.len() <= SAID_MAX).then(|| Bytes::copy_from_slice(&self.said))
    }

    fn heard(&mut self, bytes: &[u8]) {
        let room = (SAID_MAX + 1).saturating_sub(self.said.len()); // one more tells that it is too much
        self.said.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Whether a request with a body of this length is written to its last byte.
    pub fn is_complete(&self, body: usize) -> bool {
        self.matched == HEAD_END.len() && self.body >= body
    }
}

/// The count that a connection shares with who uses it.
pub type SharedProgress = Arc<Mutex<RequestProgress>>;

/// A connection's socket that counts what it takes.
pub struct CountingStream<S> {
    /// The socket.
    pub socket: S,
    /// The count.
    pub meter: SharedProgress,
    /// Asked before a request's first byte.
    pub guard: SendGuard,
    /// A request with a body of this length that another process has written already: it is counted and goes no
    /// further, and no answer is read before that.
    pub written: Option<usize>,
    /// Who waits for it.
    pub reader: Option<Waker>,
}

impl<S> CountingStream<S> {
    /// A socket of this process.
    pub fn new(socket: S, meter: SharedProgress) -> CountingStream<S> {
        CountingStream { socket, meter, guard: SendGuard::default(), written: None, reader: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        if self.written.is_some() {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        if let Ok(mut written) = self.meter.lock() {
            written.heard(&buf.filled()[before..]);
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let taken = match self.written {
            Some(_) => bytes.len(),
            None => {
                self.guard.check()?;
                std::task::ready!(Pin::new(&mut self.socket).poll_write(cx, bytes))?
            }
        };
        let mut whole = false;
        if let Ok(mut written) = self.meter.lock() {
            written.note(&bytes[..taken]);
            whole = self.written.is_some_and(|body| written.is_complete(body));
        }
        if whole {
            self.written = None;
            self.reader.take().into_iter().for_each(Waker::wake);
        }
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};
    use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt};

    #[test]
    fn a_request_is_whole_with_its_last_byte() {
        fn property(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
            let head = head.replace('\n', "\r"); // a head's end only at its end
            let mut bytes = format!("{head}\r\n\r\n").into_bytes();
            bytes.extend_from_slice(&body);
            let (mut written, mut at) = (RequestProgress::default(), 0);
            for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
                let to = (at + cut).min(bytes.len());
                written.note(&bytes[at..to]);
                at = to;
                if written.is_complete(body.len()) != (at == bytes.len()) {
                    return false;
                }
            }
            true
        }
        let generator = Gen::from_size_and_seed(100, 7); // the same in every run
        QuickCheck::new().rng(generator).quickcheck(property as fn(String, Vec<u8>, Vec<u8>) -> bool);
    }

    /// Guards a worker against a job written twice: what another process wrote goes no further, the next one does,
    /// and what the worker says is read and kept from then on.
    #[tokio::test]
    async fn a_request_that_another_process_wrote_is_not_written_again() {
        let (socket, mut peer) = duplex(64);
        let meter = SharedProgress::default();
        let mut metered = CountingStream { written: Some(4), ..CountingStream::new(socket, meter.clone()) };
        peer.write_all(b"said").await.unwrap();
        metered.write_all(b"POST / HTTP/1.1\r\n\r\nbo").await.unwrap();
        let mut four = [0; 4];
        let early = tokio::time::timeout(std::time::Duration::ZERO, metered.read_exact(&mut four)).await;
        assert!(early.is_err(), "no answer before the request");
        metered.write_all(b"dy").await.unwrap();
        metered.read_exact(&mut four).await.unwrap();
        assert_eq!(
            (&four, meter.lock().unwrap().response_so_far().as_deref()),
            (b"said", Some(&b"said"[..]))
        );
        metered.write_all(b"next").await.unwrap();
        peer.read_exact(&mut four).await.unwrap();
        assert_eq!(&four, b"next");
        meter.lock().unwrap().heard(&[0; SAID_MAX]);
        assert_eq!(meter.lock().unwrap().response_so_far(), None, "too much to keep");
    }
}
