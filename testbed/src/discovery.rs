//! Stand-in for discovery: serves a versioned list of workers, at once or by long poll, and counts the calls.

use crate::wire::head;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Longest wait of a long poll.
const LONG_POLL_MAX: Duration = Duration::from_secs(60);

/// A discovery service; stops when dropped.
pub struct Discovery {
    /// Address at which it listens.
    pub address: SocketAddr,
    list: watch::Sender<(u64, Vec<Value>)>,
    calls: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Discovery {
    /// Starts discovery with these entries, as version 1.
    ///
    /// # Errors
    /// If the address can't be bound.
    pub async fn start(address: SocketAddr, members: Vec<Value>) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (list, updates) = watch::channel((1, members));
        let calls = Arc::new(AtomicU64::new(0));
        let call_counter = calls.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else { continue };
                tokio::spawn(serve(socket, updates.clone(), call_counter.clone()));
            }
        });
        Ok(Discovery { address, list, calls, task })
    }

    /// Replaces the list and increments its version.
    pub fn publish(&self, members: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, members));
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.list.borrow().0
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}

async fn serve(
    socket: TcpStream,
    mut list: watch::Receiver<(u64, Vec<Value>)>,
    calls: Arc<AtomicU64>,
) -> Option<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let head = head(&mut stream).await?;
        calls.fetch_add(1, Ordering::Relaxed);
        let target = head.split(' ').nth(1)?;
        let number = |name: &str| {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        if let (Some(index), Some(wait)) = (number("index"), number("wait")) {
            let wait = Duration::from_millis(wait).min(LONG_POLL_MAX);
            // A long poll that times out is answered with the current list.
            let _ = timeout(wait, list.wait_for(|(version, _)| *version > index)).await;
        }
        let (revision, members) = list.borrow().clone();
        let body = json!({"revision": revision, "complete": true, "members": members}).to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await.ok()?;
    }
}
