//! Configuration of a node, read at the start and at each reload: environment variables, the node's JSON file, and
//! the TOML files of the Faktory frontend and of the fleet.

use crate::dispatcher::stable_hash;
use crate::endpoint_list::EndpointList;
use crate::faktory::{self, FaktoryConfig};
use crate::memory::{Frontends, MemoryPlan};
use crate::names::{parse_settings, ParseError};
use crate::settings_merge::EffectiveSettings;
use membership::file::{FileError, FleetFile};
use membership::keys::{KeyError, Keys};
use membership::NAME_MAX;
use serde::Deserialize;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Fewest descriptors with which the platform frontend works.
const MIN_PLATFORM_SOCKETS: usize = 128;

/// Error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No frontend is configured.
    #[error("RELAY_CONFIG is not set")]
    NotConfigured,
    /// A fleet file is given without the configuration that names the node.
    #[error("--fleet: RELAY_CONFIG is not set, so the node has no name")]
    FleetWithoutConfig,
    /// The node's name is empty or too long for a fleet.
    #[error("--fleet: the node needs a name of 1 to {NAME_MAX} bytes")]
    InvalidNodeName,
    /// A file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The configuration is not valid JSON, or has a missing or mistyped key.
    #[error("configuration: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A value is not an address.
    #[error("configuration: {key}={text} is not an address")]
    InvalidAddress {
        /// Environment variable or key.
        key: &'static str,
        /// The value.
        text: String,
    },
    /// A required address is missing.
    #[error("configuration: {0} is not set")]
    MissingAddress(&'static str),
    /// The address of a peer is malformed.
    #[error("configuration: peers: {0} is not an address")]
    InvalidPeerAddress(String),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The Faktory frontend's file is invalid.
    #[error(transparent)]
    Faktory(#[from] faktory::ConfigError),
    /// The connections of the Faktory frontend leave too few descriptors for the platform frontend.
    #[error("operator's file: connections leave the platform too few sockets")]
    TooFewSockets,
    /// The fleet file is invalid.
    #[error("{}: {source}", path.display())]
    FleetFile {
        /// Path of the file.
        path: PathBuf,
        /// The line and its error.
        source: FileError,
    },
    /// The key file of the fleet is invalid.
    #[error("{}: {source}", path.display())]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// The line and its error.
        source: KeyError,
    },
}

/// The configuration file as deserialized. Error messages that operators read name this type, so its name is fixed.
#[derive(Deserialize)]
struct Raw {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<EndpointList>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    settings: Value,
}

/// Resource limits of the process.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// Configuration of the node and its platform frontend.
#[derive(Clone)]
pub struct Config {
    /// Name of the node.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the management server, which is off without one.
    pub management: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Resource limits.
    pub limits: Limits,
    /// Endpoint list until discovery answers.
    pub known_endpoints: Option<EndpointList>,
    /// Address at which datagrams of peers arrive; none are received without one.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers, by number: to which datagrams are sent and from which they are accepted.
    pub peers: Vec<SocketAddr>,
    /// Settings of the decision module, and what the frontends need in addition.
    pub effective_settings: EffectiveSettings,
    /// The file's content, without the keys that only a start uses.
    pub document: Value,
}

impl Config {
    /// Keys that differ in a newer configuration and take effect only after a restart. (Only a start uses `known` and
    /// `seed`.)
    fn restart_required(&self, newer: &Config) -> Vec<&'static str> {
        [
            ("name", self.name != newer.name),
            ("listen", self.listen != newer.listen),
            ("management", self.management != newer.management),
            ("limits", self.limits != newer.limits),
            ("peers", (self.peer_listen, &self.peers) != (newer.peer_listen, &newer.peers)),
        ]
        .into_iter()
        .filter_map(|(name, differs)| differs.then_some(name))
        .collect()
    }
}

/// All configuration as read; parts that are off are `None`.
#[derive(Clone)]
pub struct LoadedConfig {
    /// The node and its platform frontend.
    pub node: Option<Config>,
    /// The Faktory frontend.
    pub faktory: Option<FaktoryConfig>,
    /// Membership and coordination.
    pub membership: Option<MembershipConfig>,
}

/// Configuration of membership and coordination.
#[derive(Clone, PartialEq)]
pub struct MembershipConfig {
    /// The fleet file.
    pub file: FleetFile,
    /// The keys in the file's key file.
    pub keys: Keys,
    /// Directory of the file, to which relative paths in it refer.
    pub directory: PathBuf,
}

impl MembershipConfig {
    fn read(path: &Path) -> Result<MembershipConfig, Error> {
        let file = FleetFile::parse(&read_file(path)?);
        let file = file.map_err(|source| Error::FleetFile { path: path.to_path_buf(), source })?;
        // Relative to the file, not to the directory in which the node was started.
        let directory = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let key_path = directory.join(&file.key_file);
        let keys = Keys::parse(&read_file(&key_path)?);
        let keys = keys.map_err(|source| Error::KeyFile { path: key_path, source })?;
        Ok(MembershipConfig { file, keys, directory })
    }
}

impl LoadedConfig {
    /// Division of the memory limit among the configured frontends.
    pub fn memory_plan(&self) -> MemoryPlan {
        let frontends = match (&self.node, &self.faktory) {
            (Some(_), Some(_)) => Frontends::Both,
            (None, Some(_)) => Frontends::Faktory,
            (_, None) => Frontends::Platform,
        };
        let limits = self.node.as_ref().map_or(Limits::default(), |node| node.limits);
        MemoryPlan::new(limits.memory_mb, frontends)
    }

    /// Keys and files that differ in a newer configuration and take effect only after a restart.
    pub fn restart_required(&self, newer: &LoadedConfig) -> Vec<&'static str> {
        let mut changed = match (&self.node, &newer.node) {
            (Some(old), Some(new)) => old.restart_required(new),
            _ => Vec::new(),
        };
        if self.faktory != newer.faktory {
            changed.push("the Faktory file");
        }
        if self.membership.as_ref().map(|m| &m.file) != newer.membership.as_ref().map(|m| &m.file) {
            changed.push("the fleet file");
        }
        changed
    }
}

/// Files of a node's configuration, which can be read again.
pub struct ConfigSources {
    /// JSON file of the node.
    pub node: Option<PathBuf>,
    /// TOML file of the Faktory frontend.
    pub faktory: Option<PathBuf>,
    /// TOML file of the fleet.
    pub membership: Option<PathBuf>,
}

impl ConfigSources {
    /// Sources from the command line's files and RELAY_CONFIG.
    ///
    /// # Errors
    /// If no frontend is configured, or a fleet file is given without the node's configuration.
    pub fn new(faktory: Option<PathBuf>, membership: Option<PathBuf>) -> Result<ConfigSources, Error> {
        let node = environment_variable("RELAY_CONFIG").map(PathBuf::from);
        // Without the node's configuration, the Faktory frontend may run alone.
        if node.is_none() && faktory.is_none() {
            return Err(Error::NotConfigured);
        }
        if node.is_none() && membership.is_some() {
            return Err(Error::FleetWithoutConfig);
        }
        Ok(ConfigSources { node, faktory, membership })
    }

    /// Reads all files for the start. Environment variables override the node's file.
    ///
    /// # Errors
    /// The first error in a file or variable.
    pub fn read(&self) -> Result<LoadedConfig, Error> {
        self.read_with(environment_variable)
    }

    /// Reads all files again for a reload. RELAY_DISCOVERY no longer overrides the file, so that a reload can
    /// change the address of discovery.
    ///
    /// # Errors
    /// The first error in a file or variable.
    pub fn read_again(&self) -> Result<LoadedConfig, Error> {
        self.read_with(|name| environment_variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn read_with(&self, variable: impl Fn(&str) -> Option<String>) -> Result<LoadedConfig, Error> {
        let faktory = match &self.faktory {
            Some(path) => Some(FaktoryConfig::parse(&read_file(path)?)?),
            None => None,
        };
        let mut node = match &self.node {
            Some(path) => Some(parse(&read_file(path)?, variable)?),
            None => None,
        };
        if let (Some(node), Some(faktory)) = (&mut node, &faktory) {
            // The limit is that of the process: the platform frontend gets what the Faktory frontend leaves.
            let left = node.limits.sockets.checked_sub(faktory.connections);
            node.limits.sockets =
                left.filter(|left| *left >= MIN_PLATFORM_SOCKETS).ok_or(Error::TooFewSockets)?;
        }
        let membership = match &self.membership {
            Some(path) => Some(MembershipConfig::read(path)?),
            None => None,
        };
        if membership.is_some() && node.as_ref().is_some_and(|c| c.name.is_empty() || c.name.len() > NAME_MAX)
        {
            return Err(Error::InvalidNodeName);
        }
        Ok(LoadedConfig { node, faktory, membership })
    }
}

/// Value of an environment variable; an empty one counts as unset.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadFile { path: path.to_path_buf(), source })
}

/// Parses the node's configuration. A variable that is set overrides the key of the same meaning.
///
/// # Errors
/// The first invalid value.
pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
    let mut document: Value = serde_json::from_str(text)?;
    let file: Raw = serde_json::from_value(document.clone())?;
    if let Some(keys) = document.as_object_mut() {
        keys.retain(|key, _| key != "known" && key != "seed");
    }
    let optional_address = |key: &'static str, configured: Option<String>| match variable(key).or(configured)
    {
        Some(text) => text.parse().map(Some).map_err(|_| Error::InvalidAddress { key, text }),
        None => Ok(None),
    };
    let required_address = |key, configured| -> Result<SocketAddr, Error> {
        optional_address(key, configured)?.ok_or(Error::MissingAddress(key))
    };
    let parse_peer = |text: &String| text.parse().map_err(|_| Error::InvalidPeerAddress(text.clone()));
    let peers = file.peers.iter().map(parse_peer).collect::<Result<_, _>>()?;
    let (settings, names) = parse_settings(&file.settings)?;
    Ok(Config {
        effective_settings: EffectiveSettings { settings, names },
        document,
        listen: required_address("RELAY_LISTEN", file.listen)?,
        discovery: required_address("RELAY_DISCOVERY", file.discovery)?,
        management: optional_address("RELAY_MANAGEMENT", file.management)?,
        name: variable("RELAY_NAME").unwrap_or(file.name),
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| stable_hash(&file.seed)),
        limits: file.limits,
        known_endpoints: file.known,
        peer_listen: optional_address("peer_listen", file.peer_listen)?,
        peers,
    })
}
