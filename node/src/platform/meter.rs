//! Counts on the socket whether all of a request has been written: 'it never ran' hangs on that.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const HEAD_END: &[u8] = b"\r\n\r\n";

/// How much of the current request the socket has taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Written {
    matched: usize, // bytes of the head's end seen in a row
    body: usize,    // bytes after it
}

impl Written {
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

    /// Whether a request with a body of this length is written to its last byte.
    pub fn whole(&self, body: usize) -> bool {
        self.matched == HEAD_END.len() && self.body >= body
    }
}

/// The count that a connection shares with who uses it.
pub type Meter = Arc<Mutex<Written>>;

/// A connection's socket that counts what it takes.
pub struct Metered<S> {
    /// The socket.
    pub socket: S,
    /// The count.
    pub meter: Meter,
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let taken = std::task::ready!(Pin::new(&mut self.socket).poll_write(cx, bytes))?;
        if let Ok(mut written) = self.meter.lock() {
            written.note(&bytes[..taken]);
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

    #[test]
    fn a_request_is_whole_with_its_last_byte() {
        fn property(head: String, body: Vec<u8>, cuts: Vec<u8>) -> bool {
            let head = head.replace('\n', "\r"); // a head's end only at its end
            let mut bytes = format!("{head}\r\n\r\n").into_bytes();
            bytes.extend_from_slice(&body);
            let (mut written, mut at) = (Written::default(), 0);
            for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
                let to = (at + cut).min(bytes.len());
                written.note(&bytes[at..to]);
                at = to;
                if written.whole(body.len()) != (at == bytes.len()) {
                    return false;
                }
            }
            true
        }
        let generator = Gen::from_size_and_seed(100, 7); // the same in every run
        QuickCheck::new().rng(generator).quickcheck(property as fn(String, Vec<u8>, Vec<u8>) -> bool);
    }
}
