//! Client of a node's management address, for the commands of the command line.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time for a whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest answer, in bytes: some ten thousand members.
const MAX_ANSWER: usize = 4 << 20;

/// Error of a call to a node.
#[derive(Debug, Error)]
#[error("{address}: {source}")]
pub struct CallError {
    /// Management address of the node.
    pub address: SocketAddr,
    /// The failure.
    pub source: CallFailure,
}

/// Failure of a call.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The answer did not come in time.
    #[error("no answer in {CALL_TIMEOUT:?}")]
    TimedOut,
    /// The connection did not come up.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request can't be made, as with a path that is none.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The exchange broke.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The answer broke off, or is longer than 4 MiB.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Calls the node at a management address. Returns the status and the body of its answer.
///
/// # Errors
/// Where the node can't be reached, or no whole answer comes in time.
pub async fn call(address: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, Bytes), CallError> {
    let exchanged = timeout(CALL_TIMEOUT, exchange(address, method, path)).await;
    exchanged.unwrap_or(Err(CallFailure::TimedOut)).map_err(|source| CallError { address, source })
}

async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), CallFailure> {
    let socket = TcpStream::connect(address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    let answer = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await.map_err(CallFailure::Body)?;
    Ok((status, body.to_bytes()))
}
