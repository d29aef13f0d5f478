//! TCP socket that may go to another process while it is in use: what this process does with it can be frozen at any
//! moment, and what an earlier process has read of it comes first here.

use crate::transient::{self, FailureBackoff, Retry, IMMEDIATE_RETRIES, RETRY_PAUSE};
use futures_util::FutureExt;
use rustix::net::{recv, shutdown, RecvFlags, Shutdown};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Interval between looks at a socket whose end may hide behind bytes that nobody reads.
const PEER_CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    is_frozen: bool,
    /// Bytes to be read first.
    replay: Vec<u8>,
    read: Direction,
    write: Direction,
}

/// One direction of a socket.
#[derive(Default)]
struct Direction {
    /// Who waits for the socket to thaw.
    waker: Option<Waker>,
    backoff: FailureBackoff,
}

impl Direction {
    /// The call's final result; `None` where it is to be made again, once the backoff is ready.
    fn final_result<T>(&mut self, result: io::Result<T>) -> Option<io::Result<T>> {
        let retry = match &result {
            Ok(_) => None,
            Err(e) => transient::transfer_retry(e),
        };
        let Some(retry) = retry else {
            self.backoff.reset();
            return Some(result);
        };
        self.backoff.record_failure(retry, RETRY_PAUSE);
        None
    }
}

/// What lies on a socket that nobody has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unread {
    Nothing,
    Bytes,
    End,
    /// The look itself failed: it says nothing about the other end.
    Unknown,
}

/// A socket to read and write.
pub struct Socket(Arc<Inner>);

struct Inner {
    stream: TcpStream,
    state: Mutex<State>,
}

/// Handle to a socket that something else reads and writes.
#[derive(Clone)]
pub struct SocketHandle(Arc<Inner>);

/// Observer of a socket's other end that does not keep the socket open.
#[derive(Clone)]
pub struct PeerObserver(Weak<Inner>);

impl PeerObserver {
    /// Whether the other end has closed, half-closed or reset it by now, or this process has closed it.
    pub fn is_peer_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|socket| SocketHandle(socket).is_peer_closed())
    }
}

impl Socket {
    /// A socket of this process.
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Arc::new(Inner { stream, state: Mutex::default() }))
    }

    /// A socket that another process had, and what is to be read first.
    ///
    /// # Errors
    /// The system's, if the descriptor cannot be used in this process.
    pub fn received(socket: OwnedFd, replay: Vec<u8>) -> io::Result<Socket> {
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        let state = Mutex::new(State { replay, ..State::default() });
        Ok(Socket(Arc::new(Inner { stream: TcpStream::from_std(stream)?, state })))
    }

    /// A handle to it.
    pub fn socket_handle(&self) -> SocketHandle {
        SocketHandle(self.0.clone())
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at one byte without taking it; 0 is the end of the stream.
    fn peek(&self, flags: RecvFlags) -> rustix::io::Result<usize> {
        Ok(recv(&self.stream, &mut [0u8; 1][..], RecvFlags::PEEK | flags)?.1)
    }
}

impl SocketHandle {
    /// From here on nothing is read or written until it thaws.
    pub fn freeze(&self) {
        self.0.state().is_frozen = true;
    }

    /// All continues where it stood.
    pub fn thaw(&self) {
        let mut state = self.0.state();
        state.is_frozen = false;
        let wakers = [state.read.waker.take(), state.write.waker.take()];
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Whether nothing is left that an earlier process had read.
    pub fn is_replay_done(&self) -> bool {
        self.0.state().replay.is_empty()
    }

    fn unread(&self) -> Unread {
        for _ in 0..IMMEDIATE_RETRIES {
            match self.0.peek(RecvFlags::DONTWAIT) {
                Ok(0) => return Unread::End,
                Ok(_) => return Unread::Bytes,
                Err(rustix::io::Errno::WOULDBLOCK) => return Unread::Nothing,
                Err(e) => match transient::transfer_retry(&e.into()) {
                    Some(Retry::Immediately) => {}
                    Some(Retry::AfterPause) => return Unread::Unknown,
                    None => return Unread::End,
                },
            }
        }
        Unread::Unknown
    }

    /// Whether bytes have come that nobody has read.
    pub fn has_unread(&self) -> bool {
        self.unread() == Unread::Bytes
    }

    /// Whether nothing has come that nobody has read, not even an end.
    pub fn has_nothing_unread(&self) -> bool {
        self.unread() == Unread::Nothing
    }

    /// Whether the other end has closed, half-closed or reset it by now, as far as the kernel knows.
    pub fn is_peer_closed(&self) -> bool {
        let ready = self.0.stream.ready(Interest::READABLE).now_or_never();
        let is_read_closed = matches!(ready, Some(Ok(ready)) if ready.is_read_closed());
        is_read_closed || self.unread() == Unread::End
    }

    /// Returns once the other end has closed, half-closed or reset it, also behind bytes that nobody has read. While it
    /// is frozen, that is for the process that gets it to see.
    pub async fn peer_closed(&self) {
        loop {
            let is_closed = match self.0.stream.ready(Interest::READABLE).await {
                Ok(ready) if ready.is_read_closed() => true,
                Ok(_) => {
                    // Reports 'not ready' where nothing is there, so that the next look waits for an event.
                    let peek = || Ok(self.0.peek(RecvFlags::empty())?);
                    match self.0.stream.try_io(Interest::READABLE, peek) {
                        Ok(bytes) => bytes == 0,
                        Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                        Err(e) => transient::transfer_retry(&e).is_none(),
                    }
                }
                Err(_) => true,
            };
            if is_closed && !self.0.state().is_frozen {
                return;
            }
            sleep(PEER_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// An observer of the other end.
    pub fn observer(&self) -> PeerObserver {
        PeerObserver(Arc::downgrade(&self.0))
    }

    /// The socket, for another process.
    pub fn tcp_stream(&self) -> &TcpStream {
        &self.0.stream
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        {
            let mut state = self.0.state();
            if state.is_frozen {
                state.read.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if !state.replay.is_empty() {
                let length = buf.remaining().min(state.replay.len());
                buf.put_slice(&state.replay[..length]);
                state.replay.drain(..length);
                return Poll::Ready(Ok(()));
            }
        }
        loop {
            ready!(self.0.state().read.backoff.poll_ready(cx));
            ready!(self.0.stream.poll_read_ready(cx))?;
            let read = self.0.stream.try_read_buf(buf);
            if read.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                continue;
            }
            if let Some(read) = self.0.state().read.final_result(read) {
                return Poll::Ready(read.map(|_| ()));
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        {
            let mut state = self.0.state();
            if state.is_frozen {
                state.write.waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
        }
        loop {
            ready!(self.0.state().write.backoff.poll_ready(cx));
            ready!(self.0.stream.poll_write_ready(cx))?;
            let written = self.0.stream.try_write(bytes);
            if written.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                continue;
            }
            if let Some(written) = self.0.state().write.final_result(written) {
                return Poll::Ready(written);
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut state = self.0.state();
        if state.is_frozen {
            state.write.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(match shutdown(&self.0.stream, Shutdown::Write) {
            Err(rustix::io::Errno::NOTCONN) => Ok(()), // the other end was faster
            done => done.map_err(io::Error::from),
        })
    }
}
