//! Asks a worker for its load, where the settings allow that: the module says whom and when.

use super::attempt::AttemptRunner;
use super::fields;
use super::pool::Connection;
use bytes::Bytes;
use dispatch_policy::api::{LoadReport, WorkerId};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use std::sync::Arc;
use tokio::time::timeout;

/// A load report is a few numbers.
const BODY_MAX: usize = 4096;

/// Asks once and says what came of it, once: no answer, a late and a wrong one are a no. Its connection may take as long as
/// the settings allow to come up, the answer as long again.
pub async fn carry(runner: Arc<AttemptRunner>, worker: WorkerId) {
    let limit = 2 * runner.names.borrow().connect_timeout;
    let said = timeout(limit, ask(&runner, worker)).await.ok().flatten();
    if said.is_some() {
        runner.counters.probes_answered.add();
    }
    runner.handle.probed(worker, said.is_some(), said.flatten());
}

/// The worker's load, if it has one to tell yet; `None` where it says no, or what is none. A connection that is not read to its
/// end is closed.
async fn ask(runner: &AttemptRunner, worker: WorkerId) -> Option<Option<LoadReport>> {
    let mut connection = runner.pool.connect(worker).await.ok()?;
    let Connection { sender, address, .. } = &mut connection;
    let request =
        Request::get("/metrics/load").header(HOST, address.to_string()).body(Full::<Bytes>::default());
    let response = sender.send_request(request.ok()?).await.ok()?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, BODY_MAX).collect().await.ok()?.to_bytes();
    if sender.ready().await.is_ok() {
        runner.pool.keep(worker, connection);
    }
    if head.status != StatusCode::OK {
        return None;
    }
    match fields::load_body(&body, &runner.names.borrow()) {
        None if !body.is_empty() => None,
        told => Some(told),
    }
}
