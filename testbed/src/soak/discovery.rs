//! Stand-in for discovery in a soak run: one agent for each node, all serving one list, each with its own
//! faults.

use crate::wire::head;
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Longest wait of a long poll.
const LONG_POLL_MAX: Duration = Duration::from_secs(60);

/// Behavior of an agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentMode {
    /// It answers at once.
    Normal,
    /// It answers nothing and receives no list updates; waiting calls are answered once it is back.
    Down,
    /// Calls that are open when this mode begins, or arrive during it, are never answered.
    Silent,
    /// It resets the connection of each call.
    Resetting,
    /// It rejects each call with 503.
    Rejecting,
    /// Each answer is delayed by this much, possibly beyond the timeout of the caller.
    Delayed(Duration),
    /// Each answer comes in small pieces.
    SmallPieces,
}

/// Length of a small piece, in bytes.
const PIECE_BYTES: usize = 8;

/// Entry of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id of the worker.
    pub id: String,
    /// Content of the entry.
    pub content: Value,
    /// Version that last changed it.
    pub changed_at: u64,
    /// Whether it was removed; if so, it is sent only as a change.
    pub is_removed: bool,
}

/// The endpoint list.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Version.
    pub revision: u64,
    /// Entries, including those of removed workers.
    pub entries: Vec<Entry>,
}

impl List {
    /// Sets a worker's entry, as a new version.
    pub fn set(&mut self, id: &str, content: Value, is_removed: bool) {
        self.revision += 1;
        let changed_at = self.revision;
        self.entries.retain(|entry| entry.id != id);
        self.entries.push(Entry { id: id.to_string(), content, changed_at, is_removed });
    }

    /// Returns the entries of the whole list.
    pub fn members(&self) -> Vec<&Value> {
        self.entries.iter().filter(|entry| !entry.is_removed).map(|entry| &entry.content).collect()
    }

    /// Returns the answer to a call that knows this version.
    fn answer(&self, known: Option<u64>) -> Value {
        match known.filter(|known| *known > 0 && *known <= self.revision) {
            Some(known) => {
                let changed = self.entries.iter().filter(|entry| entry.changed_at > known);
                let changed: Vec<&Value> = changed.map(|entry| &entry.content).collect();
                json!({"revision": self.revision, "complete": false, "members": changed})
            }
            None => json!({"revision": self.revision, "complete": true, "members": self.members()}),
        }
    }
}

/// One node's discovery agent, at two addresses: a reload moves the node from one to the other.
pub struct Agent {
    /// Addresses at which it listens.
    pub addresses: [SocketAddr; 2],
    list: watch::Sender<Arc<List>>,
    mode: watch::Sender<AgentMode>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Agent {
    /// Starts an agent that serves this list.
    ///
    /// # Errors
    /// If an address can't be bound.
    pub async fn start(addresses: [SocketAddr; 2], list: Arc<List>) -> io::Result<Agent> {
        let (list, mode) = (watch::Sender::new(list), watch::Sender::new(AgentMode::Normal));
        let mut tasks = Vec::new();
        for address in addresses {
            let listener = TcpListener::bind(address).await?;
            let (list, mode) = (list.subscribe(), mode.subscribe());
            tasks.push(tokio::spawn(async move {
                loop {
                    let Ok((socket, _)) = listener.accept().await else { continue };
                    tokio::spawn(serve(socket, list.clone(), mode.clone()));
                }
            }));
        }
        Ok(Agent { addresses, list, mode, tasks })
    }

    /// Returns the current behavior.
    pub fn mode(&self) -> AgentMode {
        *self.mode.borrow()
    }

    /// Changes the behavior.
    pub fn set_mode(&self, mode: AgentMode) {
        self.mode.send_replace(mode);
    }

    /// Replaces the list.
    pub fn set_list(&self, list: Arc<List>) {
        self.list.send_replace(list);
    }
}

async fn serve(
    socket: TcpStream,
    mut list: watch::Receiver<Arc<List>>,
    mut mode: watch::Receiver<AgentMode>,
) -> Option<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let head = head(&mut stream).await?;
        let target = head.split(' ').nth(1)?;
        let number = |name: &str| {
            let query = target.split_once('?')?.1;
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (known, wait) = (number("index"), number("wait"));
        if let (Some(known), Some(wait)) = (known, wait) {
            let wait = Duration::from_millis(wait).min(LONG_POLL_MAX);
            let newer = list.wait_for(|list| list.revision != known);
            let becomes_silent = mode.wait_for(|mode| *mode == AgentMode::Silent);
            let is_silenced = tokio::select! {
                _ = timeout(wait, newer) => false,
                _ = becomes_silent => true,
            };
            if is_silenced {
                return std::future::pending().await;
            }
        }
        drop(mode.wait_for(|mode| *mode != AgentMode::Down).await);
        let current_mode = *mode.borrow();
        match current_mode {
            AgentMode::Normal | AgentMode::Down | AgentMode::SmallPieces => {}
            AgentMode::Silent => return std::future::pending().await,
            AgentMode::Resetting => {
                let _ = stream.get_ref().set_zero_linger();
                return None;
            }
            AgentMode::Rejecting => {
                let busy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                stream.write_all(busy.as_bytes()).await.ok()?;
                continue;
            }
            AgentMode::Delayed(span) => sleep(span).await,
        }
        let body = list.borrow().answer(known).to_string();
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let piece_bytes = if current_mode == AgentMode::SmallPieces { PIECE_BYTES } else { text.len() };
        for piece in text.as_bytes().chunks(piece_bytes) {
            stream.write_all(piece).await.ok()?;
        }
    }
}
