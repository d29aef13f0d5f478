//! Whole states over a stream: the one that is asked sends a number, the one that asks its state, and gets one back.

use fleet::{Asked, FRAME_MAX};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// For one exchange, from its connection on.
const WAIT: Duration = Duration::from_secs(2);

/// What a stream wants of the machine.
pub enum Request {
    /// This node's state, for one that sent a number.
    Ask { to: SocketAddr, challenge: u64, reply: oneshot::Sender<(Asked, Vec<u8>)> },
    /// The answer to a state that came.
    Answer { challenge: u64, bytes: Vec<u8>, reply: oneshot::Sender<Vec<u8>> },
    /// The answer that came.
    Take { asked: Asked, bytes: Vec<u8> },
    /// The exchange that this node began is over.
    Done,
}

/// Begins an exchange, from the address at which this node is known.
pub async fn ask(own: SocketAddr, to: SocketAddr, machine: &mpsc::Sender<Request>) -> io::Result<()> {
    let exchange = async {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(own.ip(), 0))?;
        let mut stream = socket.connect(to).await?;
        let challenge = stream.read_u64().await?;
        let (reply, state) = oneshot::channel();
        put(machine, Request::Ask { to, challenge, reply }).await?;
        let (asked, state) = state.await.map_err(|_| ErrorKind::BrokenPipe)?;
        write(&mut stream, &state).await?;
        let bytes = read(&mut stream).await?;
        put(machine, Request::Take { asked, bytes }).await
    };
    timeout(WAIT, exchange).await?
}

/// Answers one that begins.
pub async fn answer(mut stream: TcpStream, challenge: u64, machine: mpsc::Sender<Request>) -> io::Result<()> {
    let exchange = async {
        stream.write_u64(challenge).await?;
        let bytes = read(&mut stream).await?;
        let (reply, state) = oneshot::channel();
        put(&machine, Request::Answer { challenge, bytes, reply }).await?;
        // No word where the machine refuses it.
        let state = state.await.map_err(|_| ErrorKind::InvalidData)?;
        write(&mut stream, &state).await
    };
    timeout(WAIT, exchange).await?
}

async fn put(machine: &mpsc::Sender<Request>, request: Request) -> io::Result<()> {
    machine.send(request).await.map_err(|_| ErrorKind::BrokenPipe.into())
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(bytes).await
}

async fn read(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    // Guards memory against a length that somebody made up.
    if length > FRAME_MAX {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut bytes = Vec::new();
    stream.take(length as u64).read_to_end(&mut bytes).await?;
    if bytes.len() < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(bytes)
}
