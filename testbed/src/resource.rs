//! Stand-in for a resource on which only one node may operate at a time: accepts calls with a fencing token,
//! rejects tokens lower than the highest so far, and records all calls.

use crate::history_check::FencedOperation;
use crate::wire::{field, head};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::Instant;

#[derive(Default)]
struct State {
    operations: Vec<FencedOperation>,
    highest_token: u64,
}

/// A resource; stops when dropped.
pub struct Resource {
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl Drop for Resource {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Resource {
    /// Starts a resource at this address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Resource> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (state, start) = (Arc::new(Mutex::new(State::default())), Instant::now());
        let shared = state.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((socket, _)) = listener.accept().await else { continue };
                tokio::spawn(serve(socket, shared.clone(), start));
            }
        });
        Ok(Resource { address, state, task })
    }

    /// Returns all calls in the order of their arrival. Their start times are not known here: an accepted
    /// call counts as started on arrival, a rejected one as started at time zero.
    pub fn operations(&self) -> Vec<FencedOperation> {
        lock(&self.state).operations.clone()
    }
}

async fn serve(socket: TcpStream, state: Arc<Mutex<State>>, start: Instant) -> Option<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let head = head(&mut stream).await?;
        let token: u64 = field(&head, "x-token")?.parse().ok()?;
        let process = field(&head, "x-node")?;
        let accepted = {
            let (mut s, arrived_at) = (lock(&state), start.elapsed());
            let accepted = token >= s.highest_token;
            s.highest_token = s.highest_token.max(token);
            let started_at = if accepted { arrived_at } else { Duration::ZERO };
            s.operations.push(FencedOperation { started_at, arrived_at, process, token, accepted });
            accepted
        };
        let status = if accepted { "204 No Content" } else { "409 Conflict" };
        stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await.ok()?;
    }
}
