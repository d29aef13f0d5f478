//! A stand-in for something that only one node may act on at a time: it takes calls with a token, refuses one that is lower
//! than it has seen, and records them all.

use crate::history_check::Act;
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
    acts: Vec<Act>,
    highest: u64,
}

/// A resource; it ends with this value.
pub struct Resource {
    /// Where it listens.
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
    /// Starts one.
    ///
    /// # Errors
    /// Where the address can't be bound.
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

    /// All calls so far, in the order in which they came. When each was begun is not known here: one that was taken counts as
    /// begun when it came, one that was refused as begun long before.
    pub fn acts(&self) -> Vec<Act> {
        lock(&self.state).acts.clone()
    }
}

async fn serve(socket: TcpStream, state: Arc<Mutex<State>>, start: Instant) -> Option<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let head = head(&mut stream).await?;
        let token: u64 = field(&head, "x-token")?.parse().ok()?;
        let who = field(&head, "x-node")?;
        let taken = {
            let (mut s, came) = (lock(&state), start.elapsed());
            let taken = token >= s.highest;
            s.highest = s.highest.max(token);
            let begun = if taken { came } else { Duration::ZERO };
            s.acts.push(Act { begun, came, who, token, taken });
            taken
        };
        let status = if taken { "204 No Content" } else { "409 Conflict" };
        stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes()).await.ok()?;
    }
}
