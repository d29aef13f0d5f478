//! Membership of this node in the fleet: drives a [`membership::Machine`] with sockets and timers.
//!
//! One task owns the machine and its UDP socket. It makes no decisions, and no request waits for it: other parts of
//! the node send it commands through a [`Handle`], over a bounded queue, and read its results from watch channels.
//! State synchronizations run in separate tasks.

mod datagram_budget;
mod handle;
mod log_records;
mod show;
mod sockets;
mod state_sync;
mod task;

pub use handle::{Handle, Rates, ReceivedMessage};
pub use show::{show, ShowError};
pub(crate) use sockets::bind_datagram_socket;

use crate::config::MembershipConfig;
use crate::phase::Phase;
use handle::HandleParts;
use membership::{Config, FleetSize, Machine, ProcessStart};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use task::{Outputs, Task};
use tokio::sync::{mpsc, watch};

/// Capacity of the queues to and from the task. Messages to a full queue are dropped, since newer ones follow.
const QUEUE_CAPACITY: usize = 256;
/// Maximum number of concurrent state synchronizations initiated by other nodes.
const SYNC_STREAMS_MAX: usize = 4;

/// Dependencies of the membership task.
pub struct Dependencies {
    /// Name of the node.
    pub name: String,
    /// Fleet file, and the initial keys.
    pub config: MembershipConfig,
    /// Current keys.
    pub keys: watch::Receiver<Option<membership::keys::Keys>>,
    /// Current settings, which contain the planned number of nodes.
    pub settings: watch::Receiver<crate::settings_merge::EffectiveSettings>,
    /// Phase of this process.
    pub phase: watch::Receiver<Phase>,
}

/// Error of [`start`].
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address can't be bound.
    #[error("cannot bind the membership socket to {address}: {source}")]
    Bind {
        /// Key `listen` of the fleet file.
        address: SocketAddr,
        /// Error of the system call.
        source: io::Error,
    },
}

/// Starts the membership task.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(dependencies: Dependencies) -> Result<Handle, StartError> {
    let address = dependencies.config.file.listen;
    let socket = bind_datagram_socket(address).map_err(|source| StartError::Bind { address, source })?;
    let process_start = generate_process_start();
    let file = &dependencies.config.file;
    log::info!(event = "membership_started", fleet = file.fleet, listen:% = address, advertise:% = file.advertise,
        process = process_start.process_id; "membership started");
    let machine = Machine::new(machine_config(&dependencies), process_start, Duration::ZERO);
    let planned_dispatchers = dependencies.settings.borrow().settings.dispatchers;
    let initial_size = FleetSize {
        dispatchers: planned_dispatchers,
        ordinal: 0,
        senders: planned_dispatchers,
        dispatcher_names: Vec::new(),
    };
    let (commands, received_commands) = mpsc::channel(QUEUE_CAPACITY);
    let (rates, received_rates) = mpsc::channel(QUEUE_CAPACITY);
    let (messages, received_messages) = mpsc::channel(QUEUE_CAPACITY);
    let (fleet_size, current_fleet_size) = watch::channel(initial_size);
    let (peers, current_peers) = watch::channel(Vec::new());
    let outputs = Outputs { fleet_size, peers, rates, messages };
    tokio::spawn(Task::new(machine, socket, outputs, received_commands, dependencies).run());
    Ok(Handle::new(HandleParts {
        commands,
        fleet_size: current_fleet_size,
        peers: current_peers,
        rates: received_rates,
        messages: received_messages,
        process_id: process_start.process_id,
    }))
}

fn generate_process_start() -> ProcessStart {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ProcessStart {
        process_id: fastrand::u64(..),
        unix_time_ms: unix_time.as_millis() as u64,
        rng_seed: fastrand::u64(..),
    }
}

fn machine_config(dependencies: &Dependencies) -> Config {
    let Dependencies { name, config, .. } = dependencies;
    Config {
        fleet: config.file.fleet.clone(),
        name: name.clone(),
        zone: config.file.zone.clone(),
        advertise: config.file.advertise,
        seeds: config.file.seeds.clone(),
        keys: config.keys.clone(),
        timing: config.file.timing.clone(),
    }
}
