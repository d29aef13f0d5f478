//! Follows discovery: the list that was known, then the whole list, then one watch after the other.

use super::fields::ListBody;
use super::pool::Pool;
use super::Job;
use crate::config::Names;
use crate::counters::Counters;
use crate::dispatcher::Handle;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// A list of some thousand workers.
const BODY_MAX: usize = 4 << 20;
/// For which a watch waits; a change unheard counts as told 2 s after that.
const WAIT: Duration = Duration::from_secs(5);
/// Beyond the wait, before a silent call is given up and made anew.
const SILENCE: Duration = Duration::from_millis(1500);
/// Between calls after a failure; within 200 ms the watch goes on.
const PAUSE: Duration = Duration::from_millis(50);

/// Brings the worker list to the pool and the core.
pub struct Lists {
    pub handle: Handle<Job>,
    pub pool: Arc<Pool>,
    pub names: watch::Receiver<Arc<Names>>,
    pub counters: Arc<Counters>,
    /// All workers, as told last.
    pub latest: Arc<Mutex<ListBody>>,
}

type Sender = SendRequest<Empty<Bytes>>;
type Place = watch::Receiver<Option<SocketAddr>>;

impl Lists {
    /// Feeds the list that was known, then all that discovery tells, wherever it is at each moment.
    pub async fn follow(self, mut place: Place, known: Option<ListBody>) {
        if let Some(known) = known {
            self.feed(&ListBody { complete: true, ..known });
        }
        let start = |at: Option<SocketAddr>, place: &Place| at.map(|at| Source::start(at, place.clone()));
        let first = *place.borrow_and_update();
        let mut source = start(first, &place);
        let mut next: Option<Source> = None;
        loop {
            tokio::select! {
                biased;
                Ok(()) = place.changed() => {
                    let at = *place.borrow_and_update();
                    next = start(at, &place);
                }
                // Guards the list while discovery moves: the old address counts until the new one has told all.
                list = heard(&mut next) => {
                    self.take(&list);
                    source = next.take();
                }
                list = heard(&mut source) => self.take(&list),
            }
        }
    }

    fn take(&self, list: &ListBody) {
        self.feed(list);
        self.counters.lists.add();
    }

    fn feed(&self, list: &ListBody) {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner).merge(list);
        self.pool.listed(&list.members, list.complete);
        if list.complete || !list.members.is_empty() {
            let names = self.names.borrow().clone();
            let entries = list.members.iter().map(|m| m.entry(&names)).collect();
            self.handle.list(entries, list.complete);
        }
    }
}

/// One address of discovery: its whole list first, then one watch after the other.
struct Source {
    lists: mpsc::Receiver<ListBody>,
    task: AbortHandle,
}

impl Source {
    fn start(at: SocketAddr, place: Place) -> Source {
        let (tell, lists) = mpsc::channel(1);
        Source { lists, task: tokio::spawn(calls(at, place, tell)).abort_handle() }
    }
}

impl Drop for Source {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The next list of a source; none comes where there is no source, or where it has ended.
async fn heard(source: &mut Option<Source>) -> ListBody {
    if let Some(source) = source {
        if let Some(list) = source.lists.recv().await {
            return list;
        }
    }
    std::future::pending().await
}

async fn calls(at: SocketAddr, place: Place, tell: mpsc::Sender<ListBody>) {
    let (mut version, mut connection): (Option<u64>, Option<Sender>) = (None, None);
    let mut down = false;
    loop {
        match call(&mut connection, at, version).await {
            Ok(list) => {
                version = Some(list.revision);
                if std::mem::take(&mut down) {
                    log::info!("discovery: {at} reached again");
                }
                if tell.send(list).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                // Discovery has moved: this address owes nothing more.
                if *place.borrow() != Some(at) {
                    return;
                }
                // Said once for each time that it is down, not twenty times a second.
                if !std::mem::replace(&mut down, true) || matches!(e, Trouble::Unread(_)) {
                    log::warn!("discovery: {at}: {e}");
                }
                // Guards against a list that can't be read: the whole of it is fetched anew.
                if matches!(e, Trouble::Unread(_)) {
                    version = None;
                }
                connection = None;
                sleep(PAUSE).await;
            }
        }
    }
}

#[derive(Debug)]
enum Trouble {
    /// No answer came.
    Unreached(String),
    /// An answer came that is no list.
    Unread(String),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Trouble::Unreached(e) => write!(f, "not reached: {e}"),
            Trouble::Unread(e) => write!(f, "a bad list: {e}"),
        }
    }
}

async fn call(
    connection: &mut Option<Sender>,
    at: SocketAddr,
    version: Option<u64>,
) -> Result<ListBody, Trouble> {
    let unreached = |e: &dyn std::fmt::Display| Trouble::Unreached(e.to_string());
    let target = match version {
        Some(version) => format!("/discovery/hosts?index={version}&wait={}", WAIT.as_millis()),
        None => "/discovery/hosts".to_string(),
    };
    let limit = SILENCE + if version.is_some() { WAIT } else { Duration::ZERO };
    let exchange = async {
        if let Some(sender) = connection {
            if sender.ready().await.is_err() {
                *connection = None;
            }
        }
        let sender = match connection {
            Some(sender) => sender,
            None => connection.insert(connect(at).await.map_err(|e| unreached(&e))?),
        };
        let request = Request::get(target).header(HOST, at.to_string()).body(Empty::new());
        let response = sender.send_request(request.map_err(|e| unreached(&e))?).await;
        let response = response.map_err(|e| unreached(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_MAX).collect().await;
        let body = body.map_err(|e| unreached(&e))?.to_bytes();
        if status != StatusCode::OK {
            return Err(Trouble::Unread(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|e| Trouble::Unread(e.to_string()))
    };
    timeout(limit, exchange).await.unwrap_or_else(|_| Err(Trouble::Unreached("silence".to_string())))
}

async fn connect(at: SocketAddr) -> Result<Sender, Box<dyn std::error::Error + Send + Sync>> {
    let socket = TcpStream::connect(at).await?;
    socket.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(socket)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
