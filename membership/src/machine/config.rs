//! Configuration of a machine, and the values that are new with each start of a process.

use crate::keys::Keys;
use std::net::SocketAddr;
use std::time::Duration;

/// Protocol intervals and timeouts.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Interval between probes; each is of one member.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a direct probe before indirect probes are sent.
    pub probe_timeout: Duration,
    /// Time in which a suspect member can refute before it is declared dead.
    pub suspicion_timeout: Duration,
    /// Interval between attempts to reach a dead member, and a seed that is not in the view.
    pub reconnect_interval: Duration,
    /// Time after which a member that died or left is removed from the view.
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
    /// Name of this node.
    pub name: String,
    /// Zone of this node; may be empty.
    pub zone: String,
    /// Address at which other nodes reach this one.
    pub advertise: SocketAddr,
    /// Addresses of the nodes to contact first; may include this node's own.
    pub seeds: Vec<SocketAddr>,
    /// Keys of the fleet.
    pub keys: Keys,
    /// Protocol intervals and timeouts.
    pub timing: Timing,
}

/// Values that are new with each start of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessStart {
    /// Random id that distinguishes this process from every other.
    pub process_id: u64,
    /// Unix time in milliseconds, used as the first incarnation. If the clock was set back, the node starts with a
    /// lower incarnation than before, and rejoins with a higher one as soon as it learns of the old one.
    pub unix_time_ms: u64,
    /// Seed of the random number generator, which also makes the nonces; must be secret.
    pub rng_seed: u64,
}
