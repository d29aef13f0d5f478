//! Clients that load one node with what takes much memory or time and completes nothing: large messages in small pieces,
//! messages that stop half way, heads of many fields, and requests at full speed on one connection.

use crate::wire::{head, length, request};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Length of a large body, in bytes.
const LARGE_BODY_BYTES: usize = 60_000;
/// Number of short fields of an open head: nearly as many as a node reads.
const SHORT_FIELDS: usize = 2_200;
/// Pause between two pieces of a message.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pause before a client that was closed connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Kind of a flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flood {
    /// Large bodies, a byte at a time.
    SmallPieces,
    /// Large bodies that stop half way.
    StoppedBodies,
    /// Heads of very many short fields that do not end.
    OpenHeads,
    /// Valid requests with ever new ids and hardly any time left, on one connection at full speed.
    NewIds,
    /// Requests that are rejected, on one connection at full speed.
    UnsoundRequests,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Flood; 5] =
        [Flood::SmallPieces, Flood::StoppedBodies, Flood::OpenHeads, Flood::NewIds, Flood::UnsoundRequests];

    /// Number of connections, of as many clients as there may be.
    fn connections(self, clients: usize) -> usize {
        match self {
            Flood::SmallPieces | Flood::StoppedBodies | Flood::OpenHeads => clients,
            Flood::NewIds | Flood::UnsoundRequests => 1,
        }
    }
}

/// Floods a node for this time.
pub async fn run(flood: Flood, node: SocketAddr, clients: usize, span: Duration) {
    let mut connections = JoinSet::new();
    for client in 0..flood.connections(clients) {
        connections.spawn(reconnect(flood, node, client));
    }
    let _ = timeout(span, connections.join_next()).await; // the clients never end by themselves
}

async fn reconnect(flood: Flood, node: SocketAddr, client: usize) {
    let mut connection = 0;
    loop {
        connection += 1;
        let id = format!("flood-{client}-{connection}");
        if let Ok(stream) = TcpStream::connect(node).await {
            let _ = send(flood, stream, &id).await; // a connection that is closed is part of the flood
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

async fn send(flood: Flood, mut stream: TcpStream, id: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let large = || request("check", id, 1.5, &"x".repeat(LARGE_BODY_BYTES));
    match flood {
        Flood::SmallPieces => {
            let text = large();
            let (head, body) = text.split_at(text.len() - LARGE_BODY_BYTES);
            stream.write_all(head.as_bytes()).await.ok()?;
            for byte in body.as_bytes().chunks(1) {
                stream.write_all(byte).await.ok()?;
                sleep(PIECE_PAUSE).await;
            }
            None
        }
        Flood::StoppedBodies => {
            let text = large();
            stream.write_all(&text.as_bytes()[..text.len() - LARGE_BODY_BYTES / 2]).await.ok()?;
            wait_for_close(&mut stream).await
        }
        Flood::OpenHeads => {
            let fields: String = (0..SHORT_FIELDS).map(|n| format!("a{n}:b\r\n")).collect();
            stream.write_all(format!("POST /check HTTP/1.1\r\n{fields}").as_bytes()).await.ok()?;
            wait_for_close(&mut stream).await
        }
        Flood::NewIds => repeat_requests(stream, |n| hopeless_request(&format!("{id}-{n}"))).await,
        Flood::UnsoundRequests => {
            repeat_requests(stream, |n| hopeless_request(&format!("{id}-{n}")).replace("sava", "nobody"))
                .await
        }
    }
}

async fn wait_for_close(stream: &mut TcpStream) -> Option<()> {
    while stream.read(&mut [0; 512]).await.ok()? > 0 {}
    None
}

/// A request whose client hardly waits, so that it goes to no worker.
fn hopeless_request(id: &str) -> String {
    request("check", id, 1.0, "").replace("1.000", "0.0001")
}

/// Sends requests, each after the answer to the one before, until the connection is closed.
async fn repeat_requests(stream: TcpStream, text: impl Fn(usize) -> String) -> Option<()> {
    let mut stream = BufReader::new(stream);
    for n in 0.. {
        stream.write_all(text(n).as_bytes()).await.ok()?;
        let head = head(&mut stream).await?;
        let mut body = vec![0; length(&head)];
        stream.read_exact(&mut body).await.ok()?;
    }
    None
}
