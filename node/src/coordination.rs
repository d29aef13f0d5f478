//! Coordination task of a node: embeds a [`Client`] of the voters and, if the node has a state directory, a
//! [`::coordination::Voter`], and performs the operations whose leases this node holds. No request waits for it.
//!
//! | module | concern |
//! | --- | --- |
//! | `task` | event loop: inputs and timers |
//! | `handle` | commands to the task |
//! | `candidacy` | which leases this node requests |
//! | `client_host`, `voter_host` | execution of the client's and the voter's actions |
//! | `operator_requests` | operators' requests to the voters |
//! | `store_folder` | the voter's store on disk |
//! | `list_delivery` | endpoint lists between the zone's broadcast and the discovery watch |
//! | `rolling_restart`, `scheduled_call` | operations of lease holders |
//! | `status`, `operator_commands` | the status, and the commands that show it |

mod candidacy;
mod client_host;
mod clock;
mod handle;
mod list_delivery;
mod message;
mod operator_commands;
mod operator_requests;
mod rolling_restart;
mod scheduled_call;
mod status;
mod store_folder;
mod task;
mod voter_host;

pub use handle::{Handle, RestartRequestError};
pub use list_delivery::ListDelivery;
pub use message::{NodeMessage, RestartMessage, RestartRequest};
pub use operator_commands::{fetch_status, send_command, OperatorCommandError};
pub use status::{ListBroadcastStatus, Status};

use crate::counters::Counters;
use crate::membership;
use crate::phase::{Phase, Phases};
use ::coordination::{Client, Holder, Timing};
use ::membership::file::CoordinationSection;
use rolling_restart::RestartDriver;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use task::Task;
use tokio::sync::{mpsc, watch};
use voter_host::VoterHost;

/// Length of the queue of commands to the task.
const COMMAND_QUEUE_LENGTH: usize = 16;
/// Length of the queue of completed disk operations and scheduled calls.
const COMPLETION_QUEUE_LENGTH: usize = 4;

/// Dependencies of the task.
pub struct Dependencies {
    /// Name of the node.
    pub name: String,
    /// Name of the fleet.
    pub fleet_name: String,
    /// Zone of the node.
    pub zone: String,
    /// Address at which other nodes reach this node.
    pub address: SocketAddr,
    /// Coordination section of the fleet file.
    pub settings: CoordinationSection,
    /// Directory of the voter's store; `None` if this node is not a voter.
    pub state_directory: Option<PathBuf>,
    /// Membership task: messages between nodes, and the membership view.
    pub membership: membership::Handle,
    /// Phase of this process.
    pub phase: watch::Receiver<Phase>,
    /// Delivery of endpoint lists, if one node of each zone watches discovery for the others.
    pub list_delivery: Option<ListDelivery>,
    /// Transitions of the phase, for a rolling restart that drains and ends this process.
    pub phases: Phases,
    /// Counters of requests.
    pub counters: Arc<Counters>,
}

/// Starts the task.
pub fn start(mut dependencies: Dependencies) -> Handle {
    let (commands, received_commands) = mpsc::channel(COMMAND_QUEUE_LENGTH);
    let (completions, received_completions) = mpsc::channel(COMPLETION_QUEUE_LENGTH);
    let settings = &dependencies.settings;
    let timing = Timing { lease: settings.lease_duration, election: settings.election_timeout };
    let voters = settings.voters.iter().map(|(_, address)| *address).collect();
    let process =
        Holder { name: dependencies.name.clone(), process_id: dependencies.membership.process_id() };
    let phase = *dependencies.phase.borrow();
    if let Some(list_delivery) = &mut dependencies.list_delivery {
        list_delivery.set_name(&dependencies.name);
    }
    let task = Task {
        client: Client::new(process, timing, voters),
        timing,
        voter: VoterHost::default(),
        completions,
        operator_requests: BTreeMap::new(),
        calls: BTreeMap::new(),
        rejected_calls: 0,
        phase,
        restart: RestartDriver::default(),
        dependencies,
    };
    tokio::spawn(task.run(received_commands, received_completions));
    Handle::new(commands)
}
