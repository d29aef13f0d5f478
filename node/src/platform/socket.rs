//! A TCP socket that may go to another process while it is in use: what this process does with it can be frozen
//! at any moment, and what an earlier one has read of it comes first here.

use crate::transient::{self, Again, PAUSE, REPEATS_AT_ONCE};
use futures_util::FutureExt;
use rustix::net::{recv, shutdown, RecvFlags, Shutdown};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

/// Between looks at a socket whose end may hide behind bytes that nobody reads.
const LOOK: Duration = Duration::from_millis(50);

/// Places of the two directions.
const READ: usize = 0;
const WRITE: usize = 1;

#[derive(Default)]
struct State {
    frozen: bool,
    wakers: [Option<Waker>; 2], // of who waits for it to thaw: to read, to write
    replay: Vec<u8>,            // to be read first
    pauses: [Pause; 2],         // before a call that failed is made again: to read, to write
}

/// The calls that failed in a row, and the pause after many.
#[derive(Default)]
struct Pause {
    failures: u32,
    timer: Option<Pin<Box<Sleep>>>,
}

impl Pause {
    /// Ready once the call may be made.
    fn poll(&mut self, cx: &mut Context) -> Poll<()> {
        if let Some(timer) = &mut self.timer {
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
        Poll::Ready(())
    }

    /// Takes note of a call's end. `None` where it is to be made again, by the next [`Pause::poll`].
    fn outlasts<T>(&mut self, result: io::Result<T>) -> Option<io::Result<T>> {
        let again = match &result {
            Ok(_) => None,
            Err(e) => transient::of_transfer(e),
        };
        let Some(again) = again else {
            self.failures = 0;
            return Some(result);
        };
        self.failures += 1;
        if again == Again::Soon || self.failures >= REPEATS_AT_ONCE {
            self.failures = 0;
            self.timer = Some(Box::pin(sleep(PAUSE)));
        }
        None
    }
}

/// What lies on a socket that nobody has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ahead {
    Nothing,
    Bytes,
    End,
    /// The look itself failed: it tells nothing of the other end.
    Unknown,
}

/// Both halves of the socket, and who else has a hold on it.
pub struct Socket(Arc<Inner>);

struct Inner {
    stream: TcpStream,
    state: Mutex<State>,
}

/// A hold on a socket that something else reads and writes.
#[derive(Clone)]
pub struct SocketHandle(Arc<Inner>);

/// Sees whether a socket's other end is there, and does not keep the socket open.
#[derive(Clone)]
pub struct PeerObserver(Weak<Inner>);

impl PeerObserver {
    /// Whether the other end has closed, half-closed or reset it by now, or this process has.
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
    pub fn received(socket: OwnedFd, replay: Vec<u8>) -> io::Result<Socket> {
        let stream = std::net::TcpStream::from(socket);
        stream.set_nonblocking(true)?;
        let state = Mutex::new(State { replay, ..State::default() });
        Ok(Socket(Arc::new(Inner { stream: TcpStream::from_std(stream)?, state })))
    }

    /// A hold on it.
    pub fn socket_handle(&self) -> SocketHandle {
        SocketHandle(self.0.clone())
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SocketHandle {
    /// From here on nothing is read or written until it thaws.
    pub fn freeze(&self) {
        self.0.state().frozen = true;
    }

    /// All goes on where it stood.
    pub fn thaw(&self) {
        let mut state = self.0.state();
        state.frozen = false;
        state.wakers.iter_mut().filter_map(Option::take).for_each(Waker::wake);
    }

    /// Whether nothing is left that an earlier process had read.
    pub fn is_replay_done(&self) -> bool {
        self.0.state().replay.is_empty()
    }

    /// The one look ahead: what lies there that nobody has read.
    fn ahead(&self) -> Ahead {
        for _ in 0..REPEATS_AT_ONCE {
            match recv(&self.0.stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT) {
                Ok((_, 0)) => return Ahead::End,
                Ok(_) => return Ahead::Bytes,
                Err(rustix::io::Errno::WOULDBLOCK) => return Ahead::Nothing,
                Err(e) => match transient::of_transfer(&e.into()) {
                    Some(Again::Now) => {}
                    Some(Again::Soon) => return Ahead::Unknown,
                    None => return Ahead::End,
                },
            }
        }
        Ahead::Unknown
    }

    /// Whether bytes lie there that nobody has read.
    pub fn has_unread(&self) -> bool {
        self.ahead() == Ahead::Bytes
    }

    /// Whether nothing has come that nobody has read, not even an end.
    pub fn has_nothing_unread(&self) -> bool {
        self.ahead() == Ahead::Nothing
    }

    /// Whether the other end has closed, half-closed or reset it by now, as far as the kernel has told.
    pub fn is_peer_closed(&self) -> bool {
        let ready = self.0.stream.ready(Interest::READABLE).now_or_never();
        let told = matches!(ready, Some(Ok(ready)) if ready.is_read_closed());
        told || self.ahead() == Ahead::End
    }

    /// Returns once the other end has closed, half-closed or reset it, also behind bytes that nobody has read. While it
    /// is frozen that is for the process that gets it to see.
    pub async fn peer_closed(&self) {
        loop {
            let ready = self.0.stream.ready(Interest::READABLE).await;
            let over = match ready {
                Ok(ready) if ready.is_read_closed() => true,
                Ok(_) => {
                    // Says 'not ready' where nothing is there, so that the next look waits for news.
                    let peek = || Ok(recv(&self.0.stream, &mut [0u8; 1][..], RecvFlags::PEEK)?.1);
                    match self.0.stream.try_io(Interest::READABLE, peek) {
                        Ok(bytes) => bytes == 0,
                        Err(e) if e.kind() == ErrorKind::WouldBlock => continue,
                        Err(e) => transient::of_transfer(&e).is_none(),
                    }
                }
                Err(_) => true,
            };
            if over && !self.0.state().frozen {
                return;
            }
            sleep(LOOK).await;
        }
    }

    /// For who only looks.
    pub fn observer(&self) -> PeerObserver {
        PeerObserver(Arc::downgrade(&self.0))
    }

    /// The socket, for another process.
    pub fn descriptor(&self) -> &TcpStream {
        &self.0.stream
    }
}

impl AsyncRead for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        {
            let mut state = self.0.state();
            if state.frozen {
                state.wakers[READ] = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if !state.replay.is_empty() {
                let n = buf.remaining().min(state.replay.len());
                buf.put_slice(&state.replay[..n]);
                state.replay.drain(..n);
                return Poll::Ready(Ok(()));
            }
        }
        loop {
            ready!(self.0.state().pauses[READ].poll(cx));
            ready!(self.0.stream.poll_read_ready(cx))?;
            let read = self.0.stream.try_read_buf(buf);
            if read.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                continue;
            }
            if let Some(read) = self.0.state().pauses[READ].outlasts(read) {
                return Poll::Ready(read.map(|_| ()));
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        {
            let mut state = self.0.state();
            if state.frozen {
                state.wakers[WRITE] = Some(cx.waker().clone());
                return Poll::Pending;
            }
        }
        loop {
            ready!(self.0.state().pauses[WRITE].poll(cx));
            ready!(self.0.stream.poll_write_ready(cx))?;
            let written = self.0.stream.try_write(bytes);
            if written.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
                continue;
            }
            if let Some(written) = self.0.state().pauses[WRITE].outlasts(written) {
                return Poll::Ready(written);
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut state = self.0.state();
        if state.frozen {
            state.wakers[WRITE] = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(match shutdown(&self.0.stream, Shutdown::Write) {
            Err(rustix::io::Errno::NOTCONN) => Ok(()), // the other end was faster
            done => done.map_err(io::Error::from),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::time::timeout;

    /// Guards what is on its way while a socket moves: frozen, nothing is read or written; thawed, all goes on.
    #[tokio::test(start_paused = true)]
    async fn a_frozen_socket_neither_reads_nor_writes_and_goes_on_where_it_stood() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let mut socket = Socket::new(listener.accept().await.unwrap().0);
        let socket_handle = socket.socket_handle();
        let mut four = [0; 4];
        socket_handle.freeze();
        peer.write_all(b"ping").await.unwrap();
        let hour = Duration::from_secs(3600);
        assert!(timeout(hour, socket.read_exact(&mut four)).await.is_err());
        assert!(timeout(hour, socket.write_all(b"pong")).await.is_err());
        assert!(timeout(hour, socket.shutdown()).await.is_err());
        let reads = tokio::spawn(async move {
            socket.read_exact(&mut four).await.unwrap();
            socket.write_all(b"pong").await.unwrap();
            four
        });
        tokio::task::yield_now().await;
        socket_handle.thaw();
        assert_eq!(&reads.await.unwrap(), b"ping");
        peer.read_exact(&mut four).await.unwrap();
        assert_eq!(&four, b"pong");
    }
}
