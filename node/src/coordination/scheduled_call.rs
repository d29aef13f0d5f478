//! One call of an errand: the token goes along, and whoever is called refuses one that is lower than it has seen.

use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use membership::file::ScheduledCall;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// For one call.
const WAIT: Duration = Duration::from_secs(5);

/// How a call ended.
pub enum Outcome {
    /// It was answered with 2xx.
    Done,
    /// It was answered with 409 or 412: a later holder has been seen.
    Refused,
    /// Anything else.
    Failed(String),
}

/// Makes the call.
pub async fn run(call: &ScheduledCall, duty: &str, token: u64, node: &str) -> Outcome {
    match timeout(WAIT, post(call, duty, token, node)).await {
        Ok(Ok(status)) if status.is_success() => Outcome::Done,
        Ok(Ok(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED)) => Outcome::Refused,
        Ok(Ok(status)) => Outcome::Failed(status.to_string()),
        Ok(Err(e)) => Outcome::Failed(e),
        Err(_) => Outcome::Failed(format!("no answer in {WAIT:?}")),
    }
}

async fn post(call: &ScheduledCall, duty: &str, token: u64, node: &str) -> Result<StatusCode, String> {
    let socket = TcpStream::connect(call.address).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(socket)).await.map_err(|e| e.to_string())?;
    tokio::spawn(connection);
    let request = Request::post(&call.path)
        .header(HOST, call.address.to_string())
        .header("X-Duty", duty)
        .header("X-Token", token)
        .header("X-Node", node)
        .header("Content-Length", 0)
        .body(Empty::<Bytes>::new());
    let answer = sender.send_request(request.map_err(|e| e.to_string())?).await;
    Ok(answer.map_err(|e| e.to_string())?.status())
}
