//! Calls to discovery: the whole list, or a watch for what has changed since a version.

use super::super::socket::Socket;
use crate::endpoint_list::EndpointList;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest list, in bytes: of some thousand workers.
const BODY_MAX: usize = 4 << 20;
/// Time beyond the wait of a watch after which a silent call is given up and made anew.
pub const CALL_GRACE: Duration = Duration::from_millis(1500);

/// Why a call brought no list.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No answer came.
    #[error("not reached: {0}")]
    Unreachable(#[source] ExchangeError),
    /// Discovery has no time for the call.
    #[error("turned away: {0}")]
    Rejected(StatusCode),
    /// An answer came that is no list.
    #[error("a bad list: {0}")]
    InvalidList(#[source] ListError),
}

/// Why no answer came.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection did not come up.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The exchange broke off.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be made.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The answer's body broke off.
    #[error("{0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// Nothing came in time.
    #[error("silence")]
    Timeout,
}

/// Why an answer is no list.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// It is too long.
    #[error("longer than {BODY_MAX} bytes")]
    TooLong,
    /// Its status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its body is malformed.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
}

impl<E: Into<ExchangeError>> From<E> for CallError {
    fn from(error: E) -> CallError {
        CallError::Unreachable(error.into())
    }
}

/// A call that is answered once there is something newer, or after a while.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    /// The version that is known.
    pub version: u64,
    /// Time for which discovery may wait for something newer.
    pub wait: Duration,
}

impl Watch {
    /// Path and query of a call; without a watch, it asks for the whole list.
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

/// Client of one address, with the connection that it keeps.
pub struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Sender>,
}

impl DiscoveryClient {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> DiscoveryClient {
        DiscoveryClient { address, connection: None }
    }

    /// Closes the connection; the next call makes a new one.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }

    /// Asks for the whole list, or for what has changed since a version.
    ///
    /// # Errors
    /// [`CallError`] if discovery cannot be reached, rejects the call, or answers what is no list.
    pub async fn call(&mut self, watch: Option<Watch>) -> Result<EndpointList, CallError> {
        let limit = CALL_GRACE + watch.map_or(Duration::ZERO, |watch| watch.wait);
        let exchange = self.exchange(Watch::target(watch));
        timeout(limit, exchange).await.unwrap_or_else(|_| Err(ExchangeError::Timeout.into()))
    }

    async fn exchange(&mut self, target: String) -> Result<EndpointList, CallError> {
        let host = self.address.to_string();
        let sender = self.sender().await?;
        let request = Request::get(target).header(HOST, host).body(Empty::new())?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = read_body(response).await?;
        match status {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|e| CallError::InvalidList(e.into())),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(CallError::Rejected(status))
            }
            _ => Err(CallError::InvalidList(ListError::Status(status))),
        }
    }

    /// The connection that is kept, or a new one.
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
    // The task ends with the connection, when its sender is dropped or discovery closes it.
    tokio::spawn(connection);
    Ok(sender)
}

/// Reads the body, whatever the status: only then can the connection be kept.
async fn read_body(response: Response<Incoming>) -> Result<Bytes, CallError> {
    let body = Limited::new(response.into_body(), BODY_MAX).collect().await;
    let body = body.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
        Some(_) => CallError::InvalidList(ListError::TooLong),
        None => CallError::Unreachable(ExchangeError::Body(error)),
    })?;
    Ok(body.to_bytes())
}
