//! State synchronization over TCP. The responder sends a nonce, the initiator its state, the responder its own.
//!
//! Frames are a length of four bytes, big endian, and at most [`FRAME_MAX`] bytes.

use membership::{PendingSync, FRAME_MAX};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Time limit of one synchronization, from its connection on.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Request of a stream to the task that owns the machine.
pub enum SyncRequest {
    /// Returns this node's state, for a responder that sent this challenge.
    Open { to: SocketAddr, challenge: u64, reply: oneshot::Sender<(PendingSync, Vec<u8>)> },
    /// Applies an initiator's state and returns this node's; no reply if it is rejected.
    Respond { challenge: u64, bytes: Vec<u8>, reply: oneshot::Sender<Vec<u8>> },
    /// Applies a responder's state.
    Finish { pending: PendingSync, bytes: Vec<u8> },
    /// The synchronization that this node initiated has ended.
    Done,
}

/// Initiates a synchronization, from the address at which this node is known.
///
/// # Errors
///
/// Fails if the connection fails, the responder rejects the state, or the time limit is over.
pub async fn initiate(
    own: SocketAddr,
    to: SocketAddr,
    requests: &mpsc::Sender<SyncRequest>,
) -> io::Result<()> {
    let exchange = async {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(own.ip(), 0))?;
        let mut stream = socket.connect(to).await?;
        let challenge = stream.read_u64().await?;
        let (reply, state) = oneshot::channel();
        submit(requests, SyncRequest::Open { to, challenge, reply }).await?;
        let (pending, state) = state.await.map_err(|_| ErrorKind::BrokenPipe)?;
        write_frame(&mut stream, &state).await?;
        let bytes = read_frame(&mut stream).await?;
        submit(requests, SyncRequest::Finish { pending, bytes }).await
    };
    timeout(TIMEOUT, exchange).await?
}

/// Responds to a synchronization that another node initiates.
///
/// # Errors
///
/// Fails if the connection fails, this node rejects the state, or the time limit is over.
pub async fn respond(
    mut stream: TcpStream,
    challenge: u64,
    requests: mpsc::Sender<SyncRequest>,
) -> io::Result<()> {
    let exchange = async {
        stream.write_u64(challenge).await?;
        let bytes = read_frame(&mut stream).await?;
        let (reply, state) = oneshot::channel();
        submit(&requests, SyncRequest::Respond { challenge, bytes, reply }).await?;
        // The machine sends no reply to a state that it rejects.
        let state = state.await.map_err(|_| ErrorKind::InvalidData)?;
        write_frame(&mut stream, &state).await
    };
    timeout(TIMEOUT, exchange).await?
}

async fn submit(requests: &mpsc::Sender<SyncRequest>, request: SyncRequest) -> io::Result<()> {
    requests.send(request).await.map_err(|_| ErrorKind::BrokenPipe.into())
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(bytes).await
}

async fn read_frame(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    // Guards memory against a forged length.
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
