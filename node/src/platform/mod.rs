//! Frontend of the platform's protocol: clients on one side, workers and discovery on the other.
//!
//! It carries out what the dispatcher decides, and decides nothing itself. [`serve`] starts all of its parts.

mod attempt;
pub mod connection_slots;
pub mod endpoint_watch;
pub mod fields;
pub mod framing;
mod in_flight_ids;
mod job_handover;
pub mod monitored_stream;
pub mod peers;
mod pool;
mod probe;
mod rate_gossip;
pub mod request_progress;
pub mod resource_budget;
mod send_guard;
mod server;
mod settings_updates;
pub mod socket;
mod startup;
mod transport;

pub use endpoint_watch::ListSharing;
pub use server::listen;

use crate::config::Config;
use crate::counters::Counters;
use crate::dispatcher::{queue, Answer};
use crate::membership;
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

/// Failure that ends the frontend.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket for datagrams of other nodes could not be bound.
    #[error("cannot listen on {address} (peers): {source}")]
    BindPeerSocket {
        /// The configured address.
        address: SocketAddr,
        /// The system's answer.
        source: io::Error,
    },
    /// The decision module does not accept the settings.
    #[error("settings: {0}")]
    Settings(#[source] InvalidSettings),
    /// The dispatcher's task has ended: without it the node could stay up and decide nothing.
    #[error("the core has ended: {0:?}")]
    DispatcherEnded(Result<(), JoinError>),
}

/// A request as it is forwarded to workers, and the way back to its client.
pub struct Job {
    id: Arc<InFlightId>,
    /// Its idempotency key.
    key: Option<HeaderValue>,
    target: PathAndQuery,
    body: Bytes,
    /// What the dispatcher's decisions need of it.
    fields: Request,
    /// Its client's connection.
    client: Option<job_handover::ClientHandle>,
    /// An attempt that another process started, until it is continued here.
    adopted: Mutex<Option<TransferredAttempt>>,
    reply: oneshot::Sender<Answer>,
}

/// What the frontend needs of its process.
pub struct Dependencies {
    /// Counters of this frontend.
    pub counters: Arc<Counters>,
    /// Life cycle of the process.
    pub phases: Phases,
    /// Address of discovery.
    pub discovery: watch::Receiver<Option<SocketAddr>>,
    /// Settings in force.
    pub effective_settings: watch::Receiver<EffectiveSettings>,
    /// Set once the frontend can serve.
    pub ready: watch::Sender<bool>,
    /// The process that this one takes over from; its listener comes separately.
    pub predecessor: Option<Predecessor>,
    /// Unix socket at which the next process takes over, if it may.
    pub handover_path: Option<PathBuf>,
    /// Cluster membership, where it is configured.
    pub fleet: Option<membership::Handle>,
    /// Sharing of endpoint lists among the nodes of a zone, where it is configured.
    pub list_sharing: Option<ListSharing>,
}

/// Serves clients until the node is told to stop, or another process has taken over, and all accepted requests are
/// answered.
///
/// # Errors
/// [`Error`]: the settings are refused, the socket for other nodes cannot be bound, or the dispatcher has ended.
pub async fn serve(config: Config, listener: TcpListener, dependencies: Dependencies) -> Result<(), Error> {
    let ready = dependencies.ready.clone();
    let listener = Arc::new(listener);
    let (handle, inbox) = queue();
    let (mut startup, predecessor) = Startup::new(config, dependencies, handle).await;
    startup.start_receiving_rates();
    let rate_publisher = startup.start_rate_publisher()?;
    let dispatcher = startup.start_dispatcher(inbox, rate_publisher)?;
    startup.start_endpoint_watch();
    startup.start_settings_updates();
    startup.offer_handover(&listener);
    let server = startup.into_server();
    if let Some(predecessor) = predecessor {
        predecessor.adopt_jobs(server.clone());
    }
    ready.send_replace(true);
    tokio::select! {
        () = server.run(listener) => Ok(()),
        // The node ends with its dispatcher and is started anew.
        ended = dispatcher => Err(Error::DispatcherEnded(ended)),
    }
}
