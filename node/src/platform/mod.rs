//! Frontend for the platform's HTTP protocol: serves clients, and connects to workers and discovery.
//!
//! It executes the dispatcher's decisions and makes none itself. [`serve`] starts all of its parts.

mod answer_memory;
mod attempt;
pub mod connection_slots;
pub mod endpoint_watch;
pub mod fields;
pub mod framing;
mod in_flight_ids;
mod job_handover;
mod memory_guard;
pub mod monitored_stream;
mod offered_request;
pub mod peers;
mod pool;
mod probe;
mod rate_gossip;
mod recent_ids;
mod request_ownership;
pub mod request_progress;
pub mod resource_budget;
mod send_guard;
mod server;
mod settings_updates;
mod sliced_body;
pub mod socket;
mod startup;
mod transport;
mod update_pace;
mod worker_response;

pub use endpoint_watch::ListSharing;
pub use server::listen;

use crate::config::Config;
use crate::counters::Counters;
use crate::dispatcher::{queue, Answer, Inbox};
use crate::membership;
use crate::memory::{HeapGauge, MemoryPlan, QUEUED_EVENT_BYTES};
use crate::phase::Phases;
use crate::process_handover::Predecessor;
use crate::settings_merge::EffectiveSettings;
use bytes::Bytes;
use dispatch_policy::api::{InvalidSettings, Request};
use hyper::header::HeaderValue;
use hyper::http::uri::PathAndQuery;
use in_flight_ids::InFlightId;
use job_handover::TransferredAttempt;
use startup::Startup;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinError;

/// Error that ends the frontend.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket for datagrams from other nodes could not be bound.
    #[error("cannot listen on {address} (peers): {source}")]
    BindPeerSocket {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The decision module rejected the settings.
    #[error("settings: {0}")]
    Settings(#[source] InvalidSettings),
    /// The dispatcher's task has ended. Without this error the node would stay up but serve no request.
    #[error("the dispatcher has ended: {0:?}")]
    DispatcherEnded(Result<(), JoinError>),
}

/// A request as it is forwarded to workers, and the channel for its answer.
pub struct Job {
    id: Arc<InFlightId>,
    idempotency_key: Option<HeaderValue>,
    target: PathAndQuery,
    body: Bytes,
    /// Fields that the decision module needs.
    fields: Request,
    /// Connection of its client.
    client: Option<job_handover::ClientHandle>,
    /// Whether the predecessor has transferred it.
    is_adopted: bool,
    /// Attempt that the predecessor started, until this process continues it.
    adopted: Mutex<Option<TransferredAttempt>>,
    reply: oneshot::Sender<Answer>,
}

const _: () = assert!(Inbox::<Job>::EVENT_BYTES <= QUEUED_EVENT_BYTES, "the memory plan counts too little");

/// What the process provides to the frontend.
pub struct Dependencies {
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Life cycle of the process.
    pub phases: Phases,
    /// Address of discovery.
    pub discovery: watch::Receiver<Option<SocketAddr>>,
    /// Settings in force. The classes of the predecessor's open requests are added.
    pub effective_settings: watch::Sender<EffectiveSettings>,
    /// Set to true once the frontend can serve.
    pub ready: watch::Sender<bool>,
    /// Process that this one takes over from, if any. Its listener is passed to [`serve`].
    pub predecessor: Option<Predecessor>,
    /// Unix socket on which a successor can take over; `None` disables process handover.
    pub handover_path: Option<PathBuf>,
    /// Membership of the fleet, if configured.
    pub membership: Option<membership::Handle>,
    /// Sharing of endpoint lists among the nodes of a zone, if configured.
    pub list_sharing: Option<ListSharing>,
    /// Memory of the process.
    pub memory: ProcessMemory,
}

/// Memory that the process may use, and that it uses.
#[derive(Clone, Copy)]
pub struct ProcessMemory {
    /// Bounds of all that holds memory.
    pub plan: MemoryPlan,
    /// Reads what is allocated.
    pub heap: HeapGauge,
}

/// Serves clients until the node is told to stop or a successor has taken over, and all accepted requests are
/// answered.
///
/// # Errors
/// [`Error`]: the settings are rejected, the socket for other nodes cannot be bound, or the dispatcher has
/// ended.
pub async fn serve(config: Config, listener: TcpListener, dependencies: Dependencies) -> Result<(), Error> {
    let ready = dependencies.ready.clone();
    let listener = Arc::new(listener);
    let (handle, inbox) = queue();
    let (mut startup, predecessor) = Startup::new(config, dependencies, handle).await;
    startup.start_rate_receiver();
    let rate_publisher = startup.start_rate_publisher()?;
    let dispatcher = startup.start_dispatcher(inbox, rate_publisher)?;
    startup.start_endpoint_watch();
    startup.start_settings_updates();
    startup.offer_handover(&listener);
    let server = startup.into_server();
    if let Some(predecessor) = predecessor {
        predecessor.adopt_requests(server.clone());
    }
    ready.send_replace(true);
    tokio::select! {
        () = server.run(listener) => Ok(()),
        // The node exits with its dispatcher, so that its supervisor restarts it.
        ended = dispatcher => Err(Error::DispatcherEnded(ended)),
    }
}
