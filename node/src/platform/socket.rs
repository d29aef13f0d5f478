//! A TCP socket that may go to another process while it is in use: what this process does with it can be frozen
//! at any moment, and what an earlier one has read of it comes first here.

use futures_util::FutureExt;
use rustix::net::{recv, shutdown, RecvFlags, Shutdown};
use std::io::{self, ErrorKind};
use std::os::fd::OwnedFd;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Between looks at a socket whose end may hide behind bytes that nobody reads.
const LOOK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct State {
    frozen: bool,
    wakers: [Option<Waker>; 2], // of who waits for it to thaw: to read, to write
    replay: Vec<u8>,            // to be read first
}

/// Both halves of the socket, and who else has a hold on it.
pub struct Socket(Arc<Inner>);

struct Inner {
    stream: TcpStream,
    state: Mutex<State>,
}

/// A hold on a socket that something else reads and writes.
#[derive(Clone)]
pub struct Leash(Arc<Inner>);

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
    pub fn leash(&self) -> Leash {
        Leash(self.0.clone())
    }
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Leash {
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
    pub fn is_played(&self) -> bool {
        self.0.state().replay.is_empty()
    }

    /// What lies there that nobody has read: bytes, an end, an error; 'would block' where nothing has come.
    fn peek(&self) -> rustix::io::Result<usize> {
        recv(&self.0.stream, &mut [0u8; 1][..], RecvFlags::PEEK | RecvFlags::DONTWAIT).map(|(_, n)| n)
    }

    /// Whether bytes lie there that nobody has read.
    pub fn has_unread(&self) -> bool {
        self.peek().is_ok_and(|n| n > 0)
    }

    /// Whether nothing has come that nobody has read, not even an end.
    pub fn is_quiet(&self) -> bool {
        self.peek() == Err(rustix::io::Errno::WOULDBLOCK)
    }

    /// Whether the other end has closed, half-closed or reset it by now, as far as the kernel has told.
    pub fn has_ended(&self) -> bool {
        let ready = self.0.stream.ready(Interest::READABLE).now_or_never();
        let told = matches!(ready, Some(Ok(ready)) if ready.is_read_closed());
        told || !matches!(self.peek(), Ok(1..) | Err(rustix::io::Errno::WOULDBLOCK))
    }

    /// Returns once the other end has closed, half-closed or reset it, also behind bytes that nobody has read. While it
    /// is frozen that is for the process that gets it to see.
    pub async fn ended(&self) {
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
                        Err(_) => true,
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
                state.wakers[0] = Some(cx.waker().clone());
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
            ready!(self.0.stream.poll_read_ready(cx))?;
            match self.0.stream.try_read_buf(buf) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        {
            let mut state = self.0.state();
            if state.frozen {
                state.wakers[1] = Some(cx.waker().clone());
                return Poll::Pending;
            }
        }
        loop {
            ready!(self.0.stream.poll_write_ready(cx))?;
            match self.0.stream.try_write(bytes) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        let mut state = self.0.state();
        if state.frozen {
            state.wakers[1] = Some(cx.waker().clone());
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
        let leash = socket.leash();
        let mut four = [0; 4];
        leash.freeze();
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
        leash.thaw();
        assert_eq!(&reads.await.unwrap(), b"ping");
        peer.read_exact(&mut four).await.unwrap();
        assert_eq!(&four, b"pong");
    }
}
