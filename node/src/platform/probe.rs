//! Health checks: a worker is asked for its load, where the settings allow that. The decision module says whom and when.

use super::attempt::AttemptRunner;
use super::fields;
use super::pool::{ConnectError, Connection};
use bytes::Bytes;
use dispatch_policy::api::{LoadReport, WorkerId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use tokio::time::timeout;

/// Longest load report, in bytes: it is a few numbers.
const BODY_MAX: usize = 4096;

/// Why a worker told no load.
#[derive(Debug, thiserror::Error)]
enum ProbeError {
    #[error("no connection")]
    Connect(#[from] ConnectError),
    #[error("no answer")]
    Exchange(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("the worker answered with status {0}")]
    Status(StatusCode),
    #[error("the answer is no load report")]
    NotAReport,
}

/// Probes a worker and reports the one outcome: a missing, a late and a wrong answer count as a failure. The connection may
/// take as long as the settings allow to come up, the answer as long again.
pub async fn run(runner: Arc<AttemptRunner>, worker: WorkerId) {
    let limit = 2 * runner.names.borrow().connect_timeout;
    let answer = timeout(limit, request_load(&runner, worker)).await;
    let load = answer.ok().and_then(Result::ok);
    if load.is_some() {
        runner.counters.probes_answered.add();
    }
    runner.handle.probe_ended(worker, load.is_some(), load.flatten());
}

/// The worker's load; `None` if it has none to tell yet. A connection that is not read to its end is closed.
async fn request_load(runner: &AttemptRunner, worker: WorkerId) -> Result<Option<LoadReport>, ProbeError> {
    let exchange_failed = |error: hyper::Error| ProbeError::Exchange(error.into());
    let mut connection = runner.pool.acquire(worker).await?;
    let Connection { sender, address, .. } = &mut connection;
    let request =
        Request::get("/metrics/load").header(HOST, address.to_string()).body(Full::<Bytes>::default());
    let request = request.map_err(|error| ProbeError::Exchange(error.into()))?;
    let response = sender.send_request(request).await.map_err(exchange_failed)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, BODY_MAX).collect().await.map_err(ProbeError::Exchange)?.to_bytes();
    if sender.ready().await.is_ok() {
        runner.pool.release(worker, connection);
    }
    if head.status != StatusCode::OK {
        return Err(ProbeError::Status(head.status));
    }
    match fields::load_body(&body, &runner.names.borrow()) {
        None if !body.is_empty() => Err(ProbeError::NotAReport),
        load => Ok(load),
    }
}
