//! State synchronization over TCP: the responder sends a nonce, the initiator its full state, the responder its own.
//!
//! Each full state is a frame: a big-endian length of four bytes, then at most [`FRAME_MAX`] bytes.

use membership::{PendingSync, FRAME_MAX};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Time limit of one synchronization; for the initiator, it includes the connection setup.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Request of a synchronization to the membership task, which owns the machine.
pub enum SyncRequest {
    /// Creates this node's full state for a responder that sent this challenge.
    CreateState { to: SocketAddr, challenge: u64, reply: oneshot::Sender<(PendingSync, Vec<u8>)> },
    /// Applies the initiator's full state and creates this node's; no reply if it is rejected.
    Respond { challenge: u64, bytes: Vec<u8>, reply: oneshot::Sender<Vec<u8>> },
    /// Applies the responder's full state.
    Apply { pending: PendingSync, bytes: Vec<u8> },
    /// Reports that the synchronization that this node initiated has ended.
    Ended,
}

/// Initiates a synchronization, from this node's own IP address.
///
/// # Errors
///
/// Fails if the connection fails, the responder rejects the state, or the time limit expires.
pub async fn initiate(
    own_address: SocketAddr,
    to: SocketAddr,
    requests: &mpsc::Sender<SyncRequest>,
) -> io::Result<()> {
    let exchange = async {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(own_address.ip(), 0))?;
        let mut stream = socket.connect(to).await?;
        let challenge = stream.read_u64().await?;
        let (reply, state) = oneshot::channel();
        submit(requests, SyncRequest::CreateState { to, challenge, reply }).await?;
        let (pending, state) = state.await.map_err(|_| ErrorKind::BrokenPipe)?;
        write_frame(&mut stream, &state).await?;
        let bytes = read_frame(&mut stream).await?;
        submit(requests, SyncRequest::Apply { pending, bytes }).await
    };
    timeout(SYNC_TIMEOUT, exchange).await?
}

/// Responds to a synchronization that another node initiates.
///
/// # Errors
///
/// Fails if the connection fails, this node rejects the state, or the time limit expires.
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
        // There is no reply if the machine rejects the state.
        let state = state.await.map_err(|_| ErrorKind::InvalidData)?;
        write_frame(&mut stream, &state).await
    };
    timeout(SYNC_TIMEOUT, exchange).await?
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
    // Bounds memory against a forged length.
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
