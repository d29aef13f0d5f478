//! TCP socket that can be transferred to another process while in use. Reads and writes of this process can
//! be frozen at any time, and bytes that were read before a transfer are replayed first after it.
//!
//! Two processes may hold a socket during a transfer. Closing it therefore shuts it down first, so that its peer sees
//! the end at once; the process that does not own it drops its descriptor without that.

use crate::transient::{self, FailureBackoff, Retry, IMMEDIATE_RETRIES, RETRY_PAUSE};
use futures_util::FutureExt;
use rustix::io::ioctl_fionread;
use rustix::net::{recv, shutdown, RecvFlags, Shutdown};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Number of unread bytes behind its request from which on a client counts as gone: it waits for one answer at a time, and
/// once the receive window is full the kernel does not learn of its close.
const UNREAD_BYTES_MAX: u64 = 32 * 1024;
/// Polling interval for the end of a stream that may be hidden behind unread bytes.
const PEER_CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What this process may do with a socket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Access {
    /// It owns the socket.
    #[default]
    Owned,
    /// The owner is undecided: reads, writes and closes wait.
    Frozen,
    /// Another process owns the socket; this one only drops its descriptor.
    Released,
}

#[derive(Default)]
struct State {
    access: Access,
    /// Whether another process may hold the socket, too.
    is_shared: bool,
    /// Bytes that are returned before those of the socket.
    replay: Vec<u8>,
    read: Direction,
    write: Direction,
}

/// One direction of a socket.
#[derive(Default)]
struct Direction {
    /// Task that waits until the socket is thawed.
    waker: Option<Waker>,
    backoff: FailureBackoff,
}

impl Direction {
    /// Final result of a call; `None` if it has to be repeated once the backoff is ready.
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

/// Unread input of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unread {
    Nothing,
    Bytes,
    End,
    /// The check itself failed, which says nothing about the peer.
    Unknown,
}

/// Socket to read and write.
pub struct Socket(Arc<Inner>);

struct Inner {
    stream: TcpStream,
    state: Mutex<State>,
}

/// Handle to a [`Socket`] that another task reads and writes.
#[derive(Clone)]
pub struct SocketHandle(Arc<Inner>);

/// Observer of a socket's peer that does not keep the socket open.
#[derive(Clone)]
pub struct PeerObserver(Weak<Inner>);

impl PeerObserver {
    /// Whether the peer has closed, half-closed or reset the connection, or this process has closed the
    /// socket.
    pub fn is_peer_closed(&self) -> bool {
        self.0.upgrade().is_none_or(|socket| SocketHandle(socket).is_peer_closed())
    }
}

impl Socket {
    /// Wraps a stream that this process opened or accepted.
    pub fn new(stream: TcpStream) -> Socket {
        Socket(Arc::new(Inner { stream, state: Mutex::default() }))
    }

    /// Wraps a socket that another process transferred, with the bytes to read first.
    ///
    /// # Errors
    /// The operating system's, if the descriptor cannot be used in this process.
    pub fn received(socket: OwnedFd, replay: Vec<u8>) -> io::Result<Socket> {
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        let state = Mutex::new(State { replay, is_shared: true, ..State::default() });
        Ok(Socket(Arc::new(Inner { stream: TcpStream::from_std(stream)?, state })))
    }

    /// Address of the peer; `None` if the connection has ended.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.socket_handle().peer_address()
    }

    /// Handle to this socket.
    pub fn socket_handle(&self) -> SocketHandle {
        SocketHandle(self.0.clone())
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the connection for all holders of the socket, if this process owns it.
    fn shut_down(&self) {
        if self.state().access == Access::Owned {
            // Fails if the peer has already ended the connection.
            let _ = shutdown(&self.stream, Shutdown::Both);
        }
    }

    /// Peeks at one byte; 0 means the end of the stream.
    fn peek(&self, flags: RecvFlags) -> rustix::io::Result<usize> {
        Ok(recv(&self.stream, &mut [0u8; 1][..], RecvFlags::PEEK | flags)?.1)
    }
}

impl SocketHandle {
    /// Suspends all reads, writes and closes until [`Self::thaw`], because the socket is passed to another process.
    pub fn freeze(&self) {
        let mut state = self.0.state();
        (state.access, state.is_shared) = (Access::Frozen, true);
    }

    /// Gives the socket up: another process owns it.
    pub fn release(&self) {
        self.0.state().access = Access::Released;
    }

    /// Ends the connection for all holders of the socket: its peer sees the end when this returns, whoever still
    /// holds a descriptor. No effect if another process owns the socket or the owner is undecided.
    pub fn close(&self) {
        self.0.shut_down();
    }

    /// Number of bytes ever written to the socket by all its holders; `None` if the kernel does not say.
    pub fn bytes_written(&self) -> Option<u64> {
        tcp_info::bytes_written(&self.0.stream).ok()
    }

    /// Resumes reads and writes.
    pub fn thaw(&self) {
        let mut state = self.0.state();
        state.access = Access::Owned;
        let wakers = [state.read.waker.take(), state.write.waker.take()];
        wakers.into_iter().flatten().for_each(Waker::wake);
    }

    /// Address of the peer; `None` if the connection has ended.
    pub fn peer_address(&self) -> Option<SocketAddr> {
        self.0.stream.peer_addr().ok()
    }

    /// Whether all replayed bytes have been read.
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

    /// Whether received bytes are unread.
    pub fn has_unread(&self) -> bool {
        self.unread() == Unread::Bytes
    }

    /// Whether there is nothing to read, not even the end of the stream.
    pub fn has_nothing_unread(&self) -> bool {
        self.unread() == Unread::Nothing
    }

    /// Whether so many bytes are unread that a close of the peer may be hidden behind them.
    fn may_hide_close(&self) -> bool {
        ioctl_fionread(&self.0.stream).is_ok_and(|unread| unread >= UNREAD_BYTES_MAX)
    }

    /// Whether the peer has closed, half-closed or reset the connection, as far as the kernel knows, or has sent so much
    /// that the kernel might not know it.
    pub fn is_peer_closed(&self) -> bool {
        let ready = self.0.stream.ready(Interest::READABLE).now_or_never();
        let is_read_closed = matches!(ready, Some(Ok(ready)) if ready.is_read_closed());
        is_read_closed || self.unread() == Unread::End || self.may_hide_close()
    }

    /// Waits until the peer has closed, half-closed or reset the connection, even behind unread bytes, or has sent so much
    /// that its close might not be seen. While
    /// this process does not own the socket this does not return: the owner has to detect the close.
    pub async fn peer_closed(&self) {
        loop {
            let is_closed = match self.0.stream.ready(Interest::READABLE).await {
                Ok(ready) if ready.is_read_closed() => true,
                Ok(_) => {
                    // Clears the readiness if there is nothing to read, so that the next iteration waits for
                    // an event.
                    let peek = || Ok(self.0.peek(RecvFlags::empty())?);
                    match self.0.stream.try_io(Interest::READABLE, peek) {
                        Ok(bytes) => bytes == 0 || self.may_hide_close(),
                        Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                        Err(e) => transient::transfer_retry(&e).is_none(),
                    }
                }
                Err(_) => true,
            };
            if is_closed && self.0.state().access == Access::Owned {
                return;
            }
            sleep(PEER_CLOSED_POLL_INTERVAL).await;
        }
    }

    /// Observer of the peer.
    pub fn observer(&self) -> PeerObserver {
        PeerObserver(Arc::downgrade(&self.0))
    }

    /// The stream, for passing its descriptor to another process.
    pub fn tcp_stream(&self) -> &TcpStream {
        &self.0.stream
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let is_shared = self.0.state().is_shared;
        if is_shared {
            self.0.shut_down();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        {
            let mut state = self.0.state();
            if state.access != Access::Owned {
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
            if state.access != Access::Owned {
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
        if state.access != Access::Owned {
            state.write.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(match shutdown(&self.0.stream, Shutdown::Write) {
            Err(rustix::io::Errno::NOTCONN) => Ok(()), // the peer has already closed the connection
            done => done.map_err(io::Error::from),
        })
    }
}
