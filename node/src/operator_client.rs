//! One call of the command line at a node's management address.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// For the whole call.
const WAIT: Duration = Duration::from_secs(3);
/// The longest answer, in bytes: some ten thousand members.
const ANSWER_MAX: usize = 4 << 20;

/// Asks the node at this address.
pub async fn call(address: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, Bytes), String> {
    let call = timeout(WAIT, exchange(address, method, path)).await;
    call.unwrap_or_else(|_| Err(format!("no answer in {WAIT:?}"))).map_err(|e| format!("{address}: {e}"))
}

async fn exchange(address: SocketAddr, method: Method, path: &str) -> Result<(StatusCode, Bytes), String> {
    let socket = TcpStream::connect(address).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    let request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    let request = request.body(Empty::<Bytes>::new()).map_err(|e| e.to_string())?;
    let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MAX).collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}
