//! Server for clients: accepts connections until the node stops or hands over, and answers all accepted
//! requests.

mod connection;
mod request;
mod response;

use super::in_flight_ids::InFlightId;
use super::job_handover::TransferredJob;
use super::monitored_stream::MonitoredStream;
use super::resource_budget::ResourceBudget;
use super::socket::Socket;
use super::Job;
use crate::acceptor::{Accepted, Acceptor};
use crate::counters::Counters;
use crate::dispatcher::Handle;
use crate::kill_time::KillTime;
use crate::names::Names;
use crate::phase::Phase;
use connection::ClientConnection;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Length of the kernel's accept queue. It is long because connections in it count as accepted and get an
/// answer.
const LISTEN_BACKLOG: u32 = 1024;
/// Time limit for sending a rejection over a connection beyond the descriptor budget.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time for which a process keeps running after handover, to resume serving if its successor fails.
const HANDOVER_MIN_LIFETIME: Duration = Duration::from_secs(5);
/// Time after the last deadline for which a stopping node waits until answers have reached their clients.
const FINAL_ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Listens on this address. With `share_address`, also where an unresponsive process of this node still
/// listens.
///
/// # Errors
/// The operating system's; without `share_address`, also if the address is in use.
pub fn listen(address: SocketAddr, share_address: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if share_address {
        socket.set_reuseport(true)?;
        socket.bind(address)?;
    } else {
        // `SO_REUSEPORT` is set only after binding: otherwise a second node that is started on this address
        // by mistake would get part of the clients.
        socket.bind(address)?;
        if let Err(e) = socket.set_reuseport(true) {
            log::debug!(event = "address_not_shared", error:% = e; "the address cannot be shared");
        }
    }
    socket.listen(LISTEN_BACKLOG)
}

/// Server of one node.
pub struct Server {
    /// Handle to the dispatcher.
    pub handle: Handle<Job>,
    /// Names and settings of the wire protocol.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Budget for connections and requests.
    pub budget: Arc<ResourceBudget>,
    /// When a stopping process may be killed.
    pub kill_time: KillTime,
    /// Current phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// Whether this process accepted connections until it was stopped, and accepts no more.
    pub has_released_listener: AtomicBool,
}

impl Server {
    /// Accepts and serves connections until the node is told to stop or has handed over, and all accepted
    /// requests are answered.
    pub async fn run(self: Arc<Self>, listener: Arc<TcpListener>) {
        let (mut phase, mut owns_listener) = (self.phase.clone(), true);
        let mut acceptor = Acceptor::new(self.budget.queued_since.clone());
        loop {
            let current = *phase.borrow_and_update();
            if current.accepts_connections() {
                owns_listener = true;
                self.accept_next(&mut acceptor, &listener, &mut phase).await;
            } else if current == Phase::Closing {
                if owns_listener {
                    self.accept_backlog(&mut acceptor, &listener).await;
                    self.has_released_listener.store(true, Ordering::Relaxed);
                }
                break;
            } else {
                // The successor owns the listener. If it ends soon, the phase changes and this process
                // accepts again.
                owns_listener = false;
                let finished =
                    async { tokio::join!(sleep(HANDOVER_MIN_LIFETIME), self.budget.clients_closed()) };
                tokio::select! {
                    _ = phase.changed() => {}
                    _ = finished => return,
                }
            }
        }
        drop(listener);
        self.wait_for_final_answers().await;
    }

    /// Accepts one connection, or returns when the phase no longer accepts connections.
    async fn accept_next(
        self: &Arc<Self>,
        acceptor: &mut Acceptor,
        listener: &TcpListener,
        phase: &mut watch::Receiver<Phase>,
    ) {
        let accepted = tokio::select! {
            biased;
            accepted = acceptor.accept(listener) => Some(accepted),
            _ = phase.wait_for(|p| !p.accepts_connections()) => None,
        };
        acceptor.stop_watching();
        if let Some(accepted) = accepted {
            self.handle_accepted(accepted).await;
        }
    }

    /// Accepts the connections that are in the backlog when the listener closes: their clients expect an
    /// answer.
    async fn accept_backlog(self: &Arc<Self>, acceptor: &mut Acceptor, listener: &TcpListener) {
        while let Some(accepted) = acceptor.accept_queued(listener).await {
            self.handle_accepted(accepted).await;
        }
    }

    /// Waits until no client is connected, at most until all deadlines have passed and their answers had time
    /// to be sent. The process must not exit earlier, because a request that came just before the listener
    /// closed is to be answered.
    async fn wait_for_final_answers(&self) {
        let longest_deadline = self.names.borrow().longest_open_deadline();
        if timeout(longest_deadline + FINAL_ANSWER_GRACE, self.budget.clients_closed()).await.is_err() {
            log::warn!(event = "connections_open_at_exit"; "client connections are still open at exit");
        }
    }

    /// Serves a connection, or sheds its request if there is no free connection slot.
    async fn handle_accepted(self: &Arc<Self>, accepted: Accepted) {
        let (server, accepted_at) = (self.clone(), Instant::now());
        let Accepted { socket, backlog_wait } = accepted;
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!(event = "client_socket_option_failed", error:% = e; "TCP_NODELAY not set");
        }
        let stream = MonitoredStream::new(Socket::new(socket));
        log::debug!(event = "client_connection_accepted", peer:? = stream.get_ref().peer_address(), backlog_wait:?;
            "client connection accepted");
        if let Some(slot) = self.budget.client_slots.acquire(&stream.monitor()).await {
            self.counters.connections_accepted.add();
            let accept_delay = backlog_wait + accepted_at.elapsed();
            let connection = ClientConnection::new(&stream, slot, None, accept_delay);
            tokio::spawn(async move { server.serve(stream, connection).await });
        } else if let Ok(permit) = self.budget.rejection_slots.clone().try_acquire_owned() {
            tokio::spawn(async move {
                // A timeout needs no handling: the client had enough time to send its request and to read the
                // answer.
                let _ = timeout(REJECTION_TIMEOUT, server.reject_connection(stream)).await;
                drop(permit);
            });
        } else {
            // No descriptor is left even for a rejection: the connection is closed without an answer.
            log::debug!(event = "client_connection_dropped", peer:? = stream.get_ref().peer_address();
                "no descriptor is left: connection closed unread");
            self.counters.rejected_early.add();
        }
    }

    /// Adopts a request from the predecessor, with its sockets. Returns whether this process continues it.
    pub fn adopt_request(
        self: &Arc<Self>,
        record: &str,
        [client, worker]: [OwnedFd; 2],
        reserved_ids: &mut HashMap<String, Arc<InFlightId>>,
    ) -> bool {
        let names = self.names.borrow().clone();
        let Ok(transferred) = serde_json::from_str::<TransferredJob>(record) else { return false };
        let transferred = transferred.after_transit();
        let numbers = match transferred.numbers(&names) {
            Ok(numbers) => numbers,
            Err(error) => {
                log::debug!(event = "request_not_adopted", wire_id = transferred.wire_id(), reason:% = error;
                    "request stays with the predecessor, under the rules with which it was accepted");
                return false;
            }
        };
        let Ok(socket) = Socket::received(client, transferred.to_request_bytes()) else { return false };
        let stream = MonitoredStream::new(socket);
        let Some(slot) = self.budget.client_slots.acquire_transferred(&stream.monitor()) else {
            stream.get_ref().socket_handle().release(); // the predecessor keeps the connection
            return false;
        };
        slot.set_busy(); // it has a request, although this process has not read it yet
        reserved_ids.remove(transferred.wire_id());
        let adopted = Some(transferred.to_attempt(worker, numbers));
        let connection = ClientConnection::new(&stream, slot, adopted, Duration::ZERO);
        let server = self.clone();
        tokio::spawn(async move { server.serve(stream, connection).await });
        true
    }
}
