//! Configuration of a machine, and what is new with each start of a process.

use crate::keys::Keys;
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals and time limits of the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Interval between two probes of this node; each is of one member.
    pub probe_interval: Duration,
    /// Time limit for the answer to a direct probe, before indirect ones are sent.
    pub probe_timeout: Duration,
    /// Time in which a suspected member can refute before it is held dead.
    pub suspicion_timeout: Duration,
    /// Interval between two messages to a member held dead, and to a seed that is not in the view.
    pub reconnect_interval: Duration,
    /// Time after which a member that died or left is forgotten.
    pub remove_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion_timeout: Duration::from_secs(4),
            reconnect_interval: Duration::from_secs(1),
            remove_after: Duration::from_secs(24 * 3600),
        }
    }
}

/// Configuration of a machine.
#[derive(Clone)]
pub struct Config {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of the node.
    pub name: String,
    /// Zone of the node; may be empty.
    pub zone: String,
    /// Address at which other nodes reach it.
    pub advertise: SocketAddr,
    /// Addresses of the nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub keys: Keys,
    /// Intervals and time limits.
    pub timing: Timing,
}

/// Values that are new with each start of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStart {
    /// Process number, drawn at random: tells this process from every other.
    pub process_id: u64,
    /// Unix time in milliseconds, the first incarnation. If the clock was set back, the node first takes a lower one
    /// than before, and a higher one as soon as it hears of that.
    pub unix_time_ms: u64,
    /// Seed of the random numbers, among them nonces; must be secret.
    pub rng_seed: u64,
}
