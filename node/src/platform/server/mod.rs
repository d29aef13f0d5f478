//! Server for clients: accepts connections until the node stops or hands over, and lets all that was accepted be answered.

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
use crate::names::Names;
use crate::phase::{Phase, Phases};
use connection::ClientConnection;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// Connections that the kernel holds for us: they count as taken, so there are many.
const BACKLOG: u32 = 1024;
/// Time for which a connection over the budget is held so that its client reads the refusal.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a process that has handed over stays at least, to serve again should the new one fail.
const HANDOVER_LINGER: Duration = Duration::from_secs(5);
/// Time for which a node that was told to stop waits beyond the last deadline, for answers to reach their clients.
const LAST_ANSWER_WAIT: Duration = Duration::from_secs(1);

/// Listens on this address. With `beside`, also where a process of the node listens that hangs.
///
/// # Errors
/// The system's; without `beside`, also if the address is in use.
pub fn listen(address: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
        socket.bind(address)?;
    } else {
        // A second node that is started on this one's address by mistake must not get part of its clients: the address may
        // be shared only once it is this process's.
        socket.bind(address)?;
        if let Err(e) = socket.set_reuseport(true) {
            log::debug!(event = "address_not_shared", error:% = e; "the address cannot be shared");
        }
    }
    socket.listen(BACKLOG)
}

/// Server of one node.
pub struct Server {
    /// The dispatcher.
    pub handle: Handle<Job>,
    /// Names on the wire.
    pub names: watch::Receiver<Arc<Names>>,
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Resources for connections and requests.
    pub budget: Arc<ResourceBudget>,
    /// Life cycle of the process.
    pub phases: Phases,
    /// Its current phase.
    pub phase: watch::Receiver<Phase>,
}

impl Server {
    /// Accepts and serves; ends once the node is told to stop, or has handed over, and all that was accepted is answered.
    pub async fn run(self: Arc<Self>, listener: Arc<TcpListener>) {
        let (mut phase, mut owns_listener) = (self.phase.clone(), true);
        let mut acceptor = Acceptor::default();
        loop {
            let current = *phase.borrow_and_update();
            if current.accepts_connections() {
                owns_listener = true;
                self.accept_next(&mut acceptor, &listener, &mut phase).await;
            } else if current == Phase::Closing {
                if owns_listener {
                    self.accept_backlog(&mut acceptor, &listener).await;
                }
                break;
            } else {
                // The listener is another process's, and this one's again should that one end soon.
                owns_listener = false;
                let finished = async { tokio::join!(sleep(HANDOVER_LINGER), self.budget.clients_closed()) };
                tokio::select! {
                    _ = phase.changed() => {}
                    _ = finished => return,
                }
            }
        }
        drop(listener);
        self.wait_for_last_answers().await;
    }

    /// Accepts one connection, unless the phase changes to one that accepts none.
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

    /// Accepts what the backlog holds at the close: it counts as taken.
    async fn accept_backlog(self: &Arc<Self>, acceptor: &mut Acceptor, listener: &TcpListener) {
        while let Some(accepted) = acceptor.accept_queued(listener).await {
            self.handle_accepted(accepted).await;
        }
    }

    /// Returns once no client is left. After the wait all deadlines have passed and their answers had time to go out. A
    /// request that came just before the close counts as taken, so the process may not end earlier.
    async fn wait_for_last_answers(&self) {
        let longest_deadline = self.names.borrow().longest_deadline;
        if timeout(longest_deadline + LAST_ANSWER_WAIT, self.budget.clients_closed()).await.is_err() {
            log::warn!(event = "connections_open_at_exit"; "some client connections stayed open to the end");
        }
    }

    /// Serves a connection, or refuses its request where there is no slot for it.
    async fn handle_accepted(self: &Arc<Self>, accepted: Accepted) {
        let (server, arrived) = (self.clone(), Instant::now());
        let Accepted { socket, backlog_wait: waited } = accepted;
        if let Err(e) = socket.set_nodelay(true) {
            log::debug!(event = "client_socket_option_failed", error:% = e; "TCP_NODELAY not set");
        }
        let stream = MonitoredStream::new(Socket::new(socket));
        if let Some(slot) = self.budget.client_slots.acquire(&stream.monitor()).await {
            self.counters.connections_accepted.add();
            let waited = waited + arrived.elapsed();
            let connection = ClientConnection::new(&stream, slot, None, waited);
            tokio::spawn(async move { server.serve(stream, connection).await });
        } else if let Ok(permit) = self.budget.rejection_slots.clone().try_acquire_owned() {
            tokio::spawn(async move {
                // Past the time limit the client has had its time to send and read.
                let _ = timeout(REJECTION_TIMEOUT, server.reject_connection(stream)).await;
                drop(permit);
            });
        } else {
            // There is no descriptor left even to refuse.
            self.counters.rejected_early.add();
        }
    }

    /// Continues a job of another process; says whether this process has it now.
    pub fn adopt(
        self: &Arc<Self>,
        text: &str,
        [client, worker]: [OwnedFd; 2],
        reserved_ids: &mut HashMap<String, Arc<InFlightId>>,
    ) -> bool {
        let names = self.names.borrow().clone();
        let Ok(moving) = serde_json::from_str::<TransferredJob>(text) else { return false };
        let is_tenant_known = names.tenants.is_empty() || names.tenant(&moving.tenant).is_some();
        // A job of a class that this process does not offer keeps its rules where it is.
        if names.class(&moving.class).is_none() || !is_tenant_known {
            return false;
        }
        let Ok(socket) = Socket::received(client, moving.to_request_bytes()) else { return false };
        let stream = MonitoredStream::new(socket);
        let Some(slot) = self.budget.client_slots.acquire_transferred(&stream.monitor()) else {
            return false;
        };
        reserved_ids.remove(moving.wire_id());
        let adopted = Some(moving.to_attempt(worker));
        let connection = ClientConnection::new(&stream, slot, adopted, Duration::ZERO);
        let server = self.clone();
        tokio::spawn(async move { server.serve(stream, connection).await });
        true
    }
}
