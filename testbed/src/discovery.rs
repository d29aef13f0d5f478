//! Discovery as a stand-in: a list of workers with a version, served whole or as watches, and a count of the calls.

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

/// Longest duration of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// A discovery; it ends with this value.
pub struct Discovery {
    /// Where it listens.
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
    /// Starts one with these lines of workers, as version 1.
    ///
    /// # Errors
    /// Where the address can't be bound.
    pub async fn start(address: SocketAddr, members: Vec<Value>) -> io::Result<Discovery> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (list, told) = watch::channel((1, members));
        let calls = Arc::new(AtomicU64::new(0));
        let counted = calls.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else { continue };
                tokio::spawn(serve(socket, told.clone(), counted.clone()));
            }
        });
        Ok(Discovery { address, list, calls, task })
    }

    /// The list from here on.
    pub fn publish(&self, members: Vec<Value>) {
        self.list.send_modify(|list| *list = (list.0 + 1, members));
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.list.borrow().0
    }

    /// The calls so far.
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
            let wait = Duration::from_millis(wait).min(WAIT_MAX);
            // Over is over: a watch that heard nothing is told the list as it is.
            let _ = timeout(wait, list.wait_for(|(version, _)| *version > index)).await;
        }
        let (revision, members) = list.borrow().clone();
        let body = json!({"revision": revision, "complete": true, "members": members}).to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await.ok()?;
    }
}
