//! Scheduled calls: the holder of a call's lease makes it for the whole fleet. Each call carries the fencing token, and
//! the receiver rejects a token lower than the highest it has seen.

use super::clock::boottime;
use super::task::{Completion, Task};
use ::membership::file::ScheduledCall;
use http_body_util::Empty;
use hyper::body::Bytes;
use hyper::client::conn::http1::handshake;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum delay of a call that is due.
const CALL_DELAY: Duration = Duration::from_millis(10);

/// Outcome of a call.
pub(super) enum CallOutcome {
    /// The response was 2xx.
    Done,
    /// The response was 409 or 412: the receiver has seen a higher token.
    Rejected,
    /// The call failed.
    Failed(CallError),
}

/// Why a call failed.
#[derive(Debug, Error)]
pub(super) enum CallError {
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error(transparent)]
    Exchange(#[from] hyper::Error),
    #[error("{0}")]
    Status(StatusCode),
    #[error("no response within {CALL_TIMEOUT:?}")]
    Timeout,
}

/// State of a call while this node holds its lease.
pub(super) struct CallState {
    pub(super) next_call: Duration,
    pub(super) in_flight: bool,
}

/// Name of a call's lease.
pub(super) fn lease_name(call: &ScheduledCall) -> String {
    format!("errand/{}", call.name)
}

async fn execute(call: &ScheduledCall, lease: &str, token: u64, node: &str) -> CallOutcome {
    match timeout(CALL_TIMEOUT, post(call, lease, token, node)).await {
        Ok(Ok(status)) if status.is_success() => CallOutcome::Done,
        Ok(Ok(StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED)) => CallOutcome::Rejected,
        Ok(Ok(status)) => CallOutcome::Failed(CallError::Status(status)),
        Ok(Err(error)) => CallOutcome::Failed(error),
        Err(_) => CallOutcome::Failed(CallError::Timeout),
    }
}

async fn post(call: &ScheduledCall, lease: &str, token: u64, node: &str) -> Result<StatusCode, CallError> {
    let socket = TcpStream::connect(call.address).await?;
    let (mut sender, connection) = handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    let request = Request::post(&call.path)
        .header(HOST, call.address.to_string())
        .header("X-Duty", lease)
        .header("X-Token", token)
        .header("X-Node", node)
        .header("Content-Length", 0)
        .body(Empty::<Bytes>::new())?;
    Ok(sender.send_request(request).await?.status())
}

impl Task {
    /// Time of the next call whose lease this node holds.
    pub(super) fn next_call(&self, now: Duration) -> Duration {
        let is_held = |lease: &str| self.client.valid_token(now, lease).is_some();
        let waiting = self.calls.iter().filter(|(lease, call)| !call.in_flight && is_held(lease));
        let next = waiting.map(|(_, call)| call.next_call).min();
        next.map_or(Duration::MAX, |at| at.max(now + CALL_DELAY))
    }

    /// Starts the calls that are due. The lease is checked right before each.
    pub(super) fn start_due_calls(&mut self, now: Duration) {
        for call in &self.dependencies.settings.scheduled_calls {
            let lease = lease_name(call);
            let state = self.calls.get_mut(&lease).filter(|call| !call.in_flight && now >= call.next_call);
            let Some(state) = state else { continue };
            let Some(token) = self.client.valid_token(boottime(), &lease) else { continue };
            state.next_call = now + call.interval;
            state.in_flight = true;
            let (call, node) = (call.clone(), self.dependencies.name.clone());
            let completions = self.completions.clone();
            tokio::spawn(async move {
                let outcome = execute(&call, &lease, token, &node).await;
                // Fails once the task has ended.
                let _ = completions.send(Completion::CallDone { lease, token, outcome }).await;
            });
        }
    }

    pub(super) fn call_done(&mut self, lease: &str, token: u64, outcome: CallOutcome) {
        if let Some(state) = self.calls.get_mut(lease) {
            state.in_flight = false;
        }
        match outcome {
            CallOutcome::Done => {}
            CallOutcome::Rejected => {
                self.rejected_calls += 1;
                log::warn!(event = "act_rejected", lease = lease, token = token;
                    "scheduled call rejected: the receiver has seen a higher fencing token");
            }
            CallOutcome::Failed(error) => {
                log::warn!(event = "act_failed", lease = lease, token = token, error:% = error;
                    "scheduled call failed");
            }
        }
    }
}
