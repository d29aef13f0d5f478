//! Health checks: requests a worker's load report. The decision module decides which worker to probe, and
//! when.

use super::attempt::AttemptRunner;
use super::fields;
use super::pool::{ConnectError, Connection};
use super::sliced_body::SlicedBody;
use crate::message_body;
use dispatch_policy::api::{LoadReport, WorkerId};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use tokio::time::timeout;

/// Longest load report, in bytes: it consists of a few numbers.
const BODY_MAX: usize = 4096;

/// Why a probe failed.
#[derive(Debug, thiserror::Error)]
enum ProbeError {
    #[error("connecting failed")]
    Connect(#[from] ConnectError),
    #[error("the exchange failed")]
    Exchange(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("the worker responded with status {0}")]
    Status(StatusCode),
    #[error("the load report is malformed")]
    MalformedReport,
}

/// Probes a worker and reports one outcome: a missing, late or malformed response counts as a failure.
/// Connecting may take the connect timeout of the settings, and the response as long again.
pub async fn run(runner: Arc<AttemptRunner>, worker: WorkerId) {
    let limit = 2 * runner.names.borrow().connect_timeout;
    let result = timeout(limit, request_load(&runner, worker)).await;
    let load = result.ok().and_then(Result::ok);
    if load.is_some() {
        runner.counters.probes_answered.add();
    }
    runner.handle.probe_ended(worker, load.is_some(), load.flatten());
}

/// Requests the worker's load report; `None` if it has none yet. The connection is closed unless it is read
/// to its end.
async fn request_load(runner: &AttemptRunner, worker: WorkerId) -> Result<Option<LoadReport>, ProbeError> {
    let exchange_failed = |error: hyper::Error| ProbeError::Exchange(error.into());
    let mut connection = runner.pool.acquire(worker).await?;
    let Connection { sender, address, .. } = &mut connection;
    let request = Request::get("/metrics/load").header(HOST, address.to_string()).body(SlicedBody::default());
    let request = request.map_err(|error| ProbeError::Exchange(error.into()))?;
    let response = sender.send_request(request).await.map_err(exchange_failed)?;
    let (head, body) = response.into_parts();
    let body = message_body::read(body, BODY_MAX).await;
    let body = body.map_err(|error| ProbeError::Exchange(error.into()))?;
    if sender.ready().await.is_ok() {
        runner.pool.release(worker, connection);
    }
    if head.status != StatusCode::OK {
        return Err(ProbeError::Status(head.status));
    }
    match fields::parse_load_body(&body, &runner.names.borrow()) {
        None if !body.is_empty() => Err(ProbeError::MalformedReport),
        load => Ok(load),
    }
}
