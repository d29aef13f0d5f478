//! Client of the management server, for the commands of the command line.

use crate::message_body::{self, BodyError};
use http_body_util::Empty;
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

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response body, in bytes: enough for some ten thousand members.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Error of a call to a node.
#[derive(Debug, Error)]
#[error("{address}: {source}")]
pub struct CallError {
    /// Management address of the node.
    pub address: SocketAddr,
    /// Cause of the error.
    pub source: CallFailure,
}

/// Failure of a call.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The response did not arrive in time.
    #[error("no answer in {CALL_TIMEOUT:?}")]
    TimedOut,
    /// The connection could not be opened.
    #[error(transparent)]
    Connect(#[from] io::Error),
    /// The request is invalid, for example its path.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    /// The response body is incomplete, or longer than 4 MiB.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// Calls the node at a management address. Returns the status and the body of the response.
///
/// # Errors
/// If the node can't be reached, or no complete response arrives in time.
pub async fn call(address: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, Bytes), CallError> {
    let result = timeout(CALL_TIMEOUT, exchange(address, method, path)).await;
    result.unwrap_or(Err(CallFailure::TimedOut)).map_err(|source| CallError { address, source })
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
    let response = sender.send_request(request.body(Empty::<Bytes>::new())?).await?;
    let status = response.status();
    Ok((status, message_body::read(response.into_body(), MAX_BODY_BYTES).await?))
}
