//! HTTP client of discovery: requests the complete endpoint list, or long polls for changes since a version.

use super::super::socket::Socket;
use crate::endpoint_list::EndpointList;
use crate::message_body::{self, BodyError};
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time beyond the timeout of a long poll after which a call without a response is abandoned.
pub const CALL_GRACE: Duration = Duration::from_millis(1500);

/// Why a call returned no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No response was received.
    #[error("discovery is unreachable: {0}")]
    Unreachable(#[source] ExchangeError),
    /// Discovery is overloaded.
    #[error("discovery rejected the call: {0}")]
    Rejected(StatusCode),
    /// The response is not a valid list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(#[source] ListError),
}

/// Why no response was received.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Connecting failed.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// Sending the request or receiving the response failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// No complete response was received in time.
    #[error("timed out")]
    Timeout,
}

/// Why a response is not a valid list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// The body is too long.
    #[error("longer than {limit} bytes")]
    TooLong {
        /// Largest length of a response.
        limit: usize,
    },
    /// The status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

impl<E: Into<ExchangeError>> From<E> for CallError {
    fn from(error: E) -> CallError {
        CallError::Unreachable(error.into())
    }
}

/// A long poll: discovery responds once it has a newer version, or after a timeout.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The known version.
    pub version: u64,
    /// Time for which discovery waits for a newer version.
    pub wait: Duration,
}

impl Watch {
    /// Path and query of a call; without a watch, the call requests the complete list.
    fn target(watch: Option<Watch>) -> String {
        match watch {
            Some(Watch { version, wait }) => {
                format!("/discovery/hosts?index={version}&wait={}", wait.as_millis())
            }
            None => "/discovery/hosts".to_string(),
        }
    }
}

type Sender = SendRequest<Empty<Bytes>>;

/// Client of one address, with a persistent connection.
pub struct DiscoveryClient {
    address: SocketAddr,
    /// Largest length of a response, in bytes.
    response_bytes_max: usize,
    connection: Option<Sender>,
}

impl DiscoveryClient {
    /// Creates a client that is not connected yet.
    pub fn new(address: SocketAddr, response_bytes_max: usize) -> DiscoveryClient {
        DiscoveryClient { address, response_bytes_max, connection: None }
    }

    /// Address that is called.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection; the next call opens a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Requests the complete list, or the changes since a version.
    ///
    /// # Errors
    /// [`CallError`] if discovery is unreachable, rejects the call, or returns no valid list.
    pub async fn call(&mut self, watch: Option<Watch>) -> Result<EndpointList, CallError> {
        let limit = CALL_GRACE + watch.map_or(Duration::ZERO, |watch| watch.wait);
        let exchange = self.exchange(Watch::target(watch));
        timeout(limit, exchange).await.unwrap_or_else(|_| Err(ExchangeError::Timeout.into()))
    }

    async fn exchange(&mut self, target: String) -> Result<EndpointList, CallError> {
        let (host, limit) = (self.address.to_string(), self.response_bytes_max);
        let sender = self.sender().await?;
        let request = Request::get(target).header(HOST, host).body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = read_body(response, limit).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|e| CallError::InvalidList(e.into())),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(CallError::Rejected(status))
            }
            _ => Err(CallError::InvalidList(ListError::Status(status))),
        }
    }

    /// Returns the open connection, or opens a new one.
    async fn sender(&mut self) -> Result<&mut Sender, ExchangeError> {
        if let Some(sender) = &mut self.connection {
            if sender.ready().await.is_err() {
                self.connection = None;
            }
        }
        match &mut self.connection {
            Some(sender) => Ok(sender),
            connection => Ok(connection.insert(connect(self.address).await?)),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Sender, ExchangeError> {
    let socket = TcpStream::connect(address).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(Socket::new(socket))).await?;
    // The task ends with the connection, when the sender is dropped or discovery closes it.
    tokio::spawn(connection);
    Ok(sender)
}

/// Reads the body, whatever the status: otherwise the connection cannot be reused.
async fn read_body(response: Response<Incoming>, limit: usize) -> Result<Bytes, CallError> {
    message_body::read(response.into_body(), limit).await.map_err(|error| match error {
        BodyError::TooLong => CallError::InvalidList(ListError::TooLong { limit }),
        BodyError::Broken(error) => CallError::Unreachable(error.into()),
    })
}
