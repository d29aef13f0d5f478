//! Discovery of a soak run: an agent for each node, fed from one list, each with faults of its own.

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

/// The longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// How an agent behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AgentMode {
    /// It answers at once.
    Normal,
    /// Discovery is down: it answers nothing and learns nothing; calls that wait are answered at the return.
    Down,
    /// Calls that are open at this moment, or begin in it, are never answered.
    Silent,
    /// Each call ends in a reset.
    Resetting,
    /// Each call is turned away.
    Rejecting,
    /// Each answer comes this much later, possibly after its caller has given up.
    Delayed(Duration),
}

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The worker's id.
    pub id: String,
    /// The line.
    pub line: Value,
    /// The version that changed it last.
    pub changed: u64,
    /// It is told among changes only.
    pub gone: bool,
}

/// The list of workers.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Its lines, those of workers that are gone included.
    pub entries: Vec<Entry>,
}

impl List {
    /// Sets a worker's line, as a new version.
    pub fn set(&mut self, id: &str, line: Value, gone: bool) {
        self.revision += 1;
        let changed = self.revision;
        self.entries.retain(|entry| entry.id != id);
        self.entries.push(Entry { id: id.to_string(), line, changed, gone });
    }

    /// The lines of the whole list.
    pub fn members(&self) -> Vec<&Value> {
        self.entries.iter().filter(|entry| !entry.gone).map(|entry| &entry.line).collect()
    }

    /// An answer to a call that knows this version.
    fn answer(&self, known: Option<u64>) -> Value {
        match known.filter(|known| *known > 0 && *known <= self.revision) {
            Some(known) => {
                let changed = self.entries.iter().filter(|entry| entry.changed > known);
                let changed: Vec<&Value> = changed.map(|entry| &entry.line).collect();
                json!({"revision": self.revision, "complete": false, "members": changed})
            }
            None => json!({"revision": self.revision, "complete": true, "members": self.members()}),
        }
    }
}

/// One node's agent, at two addresses: a new configuration moves the node from one to the other.
pub struct Agent {
    /// Where it listens.
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
    /// Starts one that has this list.
    ///
    /// # Errors
    /// Where an address can't be bound.
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

    /// How it behaves now.
    pub fn mode(&self) -> AgentMode {
        *self.mode.borrow()
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: AgentMode) {
        self.mode.send_replace(mode);
    }

    /// Gives it this list.
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
            let wait = Duration::from_millis(wait).min(WAIT_MAX);
            let newer = list.wait_for(|list| list.revision != known);
            let forgets = mode.wait_for(|mode| *mode == AgentMode::Silent);
            let is_forgotten = tokio::select! {
                _ = timeout(wait, newer) => false,
                _ = forgets => true,
            };
            if is_forgotten {
                return std::future::pending().await;
            }
        }
        drop(mode.wait_for(|mode| *mode != AgentMode::Down).await);
        let now = *mode.borrow();
        match now {
            AgentMode::Normal | AgentMode::Down => {}
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
        stream.write_all(text.as_bytes()).await.ok()?;
    }
}
