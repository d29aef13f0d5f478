//! Configuration of a node, at its start and when it is reloaded: environment, JSON configuration and the operators'
//! files.

use crate::dispatcher::stable_hash;
use crate::endpoint_list::EndpointList;
use crate::faktory::{self, FaktoryConfig};
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

/// Descriptors that the platform's front end needs at least.
const SOCKETS_MIN: usize = 128;

/// Error in the configuration.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Neither front end is configured.
    #[error("RELAY_CONFIG is not set")]
    NotConfigured,
    /// The fleet's file is given without the configuration that names the node.
    #[error("--fleet: RELAY_CONFIG is not set, so the node has no name")]
    FleetWithoutConfig,
    /// The node's name is unfit for the fleet.
    #[error("--fleet: the node needs a name of 1 to {NAME_MAX} bytes")]
    InvalidNodeName,
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The configuration is not JSON, or has a missing or mistyped key.
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
    /// An address that is needed is missing.
    #[error("configuration: no {0}")]
    MissingAddress(&'static str),
    /// The address of another node is malformed.
    #[error("configuration: peers: {0} is not an address")]
    InvalidPeerAddress(String),
    /// The settings are invalid.
    #[error(transparent)]
    Settings(#[from] ParseError),
    /// The operator's file of the Faktory front end is invalid.
    #[error(transparent)]
    Faktory(#[from] faktory::ConfigError),
    /// The Faktory front end's connections and the platform's do not fit the descriptor limit.
    #[error("operator's file: connections leave the platform too few sockets")]
    TooFewSockets,
    /// The fleet's file is invalid.
    #[error("{}: {source}", path.display())]
    FleetFile {
        /// Path of the file.
        path: PathBuf,
        /// The line and what is wrong with it.
        source: FileError,
    },
    /// The fleet's key file is invalid.
    #[error("{}: {source}", path.display())]
    KeyFile {
        /// Path of the file.
        path: PathBuf,
        /// The line and what is wrong with it.
        source: KeyError,
    },
}

/// The configuration file as written. The parser's messages to operators name this type: the name stays.
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

/// What the node may use.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// File descriptors of the process.
    pub sockets: usize,
    /// Memory of the process.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

/// A node's configuration.
#[derive(Clone)]
pub struct Config {
    /// The node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where operators call; off if not set.
    pub management: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The workers as last known.
    pub known_endpoints: Option<EndpointList>,
    /// Where the platform's other nodes send their datagrams; none come if not set.
    pub peer_listen: Option<SocketAddr>,
    /// Where they are reached, by number, and come from.
    pub peers: Vec<SocketAddr>,
    /// The module's settings, and what the wires need beside them.
    pub effective_settings: EffectiveSettings,
    /// All that it was read from, less what is for starts only.
    pub document: Value,
}

impl Config {
    /// What differs from a newer one and holds until a restart. (`known` and `seed` are for starts only.)
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

/// All that the fronts are told; one that is off has nothing.
#[derive(Clone)]
pub struct LoadedConfig {
    /// The platform's front.
    pub node: Option<Config>,
    /// The Faktory front.
    pub faktory: Option<FaktoryConfig>,
    /// The talk between nodes.
    pub membership: Option<MembershipConfig>,
}

/// What lets a node talk to others.
#[derive(Clone, PartialEq)]
pub struct MembershipConfig {
    /// The operator's file.
    pub file: FleetFile,
    /// The keys that it names.
    pub keys: Keys,
    /// The folder that the file stands in: relative names in it are meant from there.
    pub directory: PathBuf,
}

impl MembershipConfig {
    fn read(path: &Path) -> Result<MembershipConfig, Error> {
        let file = FleetFile::parse(&read_file(path)?);
        let file = file.map_err(|source| Error::FleetFile { path: path.to_path_buf(), source })?;
        // A relative name is meant from where the file stands, wherever the node was started.
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let key_path = folder.join(&file.key_file);
        let keys = Keys::parse(&read_file(&key_path)?);
        let keys = keys.map_err(|source| Error::KeyFile { path: key_path, source })?;
        Ok(MembershipConfig { file, keys, directory: folder })
    }
}

impl LoadedConfig {
    /// What differs from a newer one and holds until a restart.
    pub fn restart_required(&self, newer: &LoadedConfig) -> Vec<&'static str> {
        let mut all = match (&self.node, &newer.node) {
            (Some(old), Some(new)) => old.restart_required(new),
            _ => Vec::new(),
        };
        if self.faktory != newer.faktory {
            all.push("the operator's file");
        }
        if self.membership.as_ref().map(|t| &t.file) != newer.membership.as_ref().map(|t| &t.file) {
            all.push("the fleet's file");
        }
        all
    }
}

/// Where a node's configuration stands: it can be read again from there.
pub struct ConfigSources {
    /// The platform's JSON file.
    pub node: Option<PathBuf>,
    /// The operator's file of the Faktory front.
    pub faktory: Option<PathBuf>,
    /// The operator's file that lets nodes talk.
    pub membership: Option<PathBuf>,
}

impl ConfigSources {
    /// Sources from the command line's files and the environment.
    ///
    /// # Errors
    /// If no front end is configured, or a fleet's file stands without the node's configuration.
    pub fn new(operator: Option<PathBuf>, fleet: Option<PathBuf>) -> Result<ConfigSources, Error> {
        let config = variable("RELAY_CONFIG").map(PathBuf::from);
        // Without a platform configuration, the Faktory front end may run alone.
        if config.is_none() && operator.is_none() {
            return Err(Error::NotConfigured);
        }
        if config.is_none() && fleet.is_some() {
            return Err(Error::FleetWithoutConfig);
        }
        Ok(ConfigSources { node: config, faktory: operator, membership: fleet })
    }

    /// Reads all files for the start: variables, where set, come before the platform's file.
    ///
    /// # Errors
    /// The first error in a file or variable.
    pub fn read(&self) -> Result<LoadedConfig, Error> {
        self.read_with(variable)
    }

    /// Reads all files again: the file's address of discovery now holds, also against the environment.
    ///
    /// # Errors
    /// The first error in a file or variable.
    pub fn read_again(&self) -> Result<LoadedConfig, Error> {
        self.read_with(|name| variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn read_with(&self, variable: impl Fn(&str) -> Option<String>) -> Result<LoadedConfig, Error> {
        let operator = match &self.faktory {
            Some(path) => Some(FaktoryConfig::parse(&read_file(path)?)?),
            None => None,
        };
        let mut config = match &self.node {
            Some(path) => Some(parse(&read_file(path)?, variable)?),
            None => None,
        };
        if let (Some(config), Some(operator)) = (&mut config, &operator) {
            // The descriptor limit is the process's: the platform gets what the Faktory front end leaves.
            let left = config.limits.sockets.checked_sub(operator.connections);
            config.limits.sockets = left.filter(|left| *left >= SOCKETS_MIN).ok_or(Error::TooFewSockets)?;
        }
        let fleet = match &self.membership {
            Some(path) => Some(MembershipConfig::read(path)?),
            None => None,
        };
        if fleet.is_some() && config.as_ref().is_some_and(|c| c.name.is_empty() || c.name.len() > NAME_MAX) {
            return Err(Error::InvalidNodeName);
        }
        Ok(LoadedConfig { node: config, faktory: operator, membership: fleet })
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::ReadFile { path: path.to_path_buf(), source })
}

/// Parses the platform's configuration; a variable, where set, comes before the key of the same meaning.
///
/// # Errors
/// The first value that is wrong.
pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
    let mut text: Value = serde_json::from_str(text)?;
    let file: Raw = serde_json::from_value(text.clone())?;
    if let Some(keys) = text.as_object_mut() {
        keys.retain(|key, _| key != "known" && key != "seed");
    }
    let optional = |key: &'static str, given: Option<String>| match variable(key).or(given) {
        Some(text) => text.parse().map(Some).map_err(|_| Error::InvalidAddress { key, text }),
        None => Ok(None),
    };
    let address =
        |key, given| -> Result<SocketAddr, Error> { optional(key, given)?.ok_or(Error::MissingAddress(key)) };
    let peer = |text: &String| text.parse().map_err(|_| Error::InvalidPeerAddress(text.clone()));
    let peers = file.peers.iter().map(peer).collect::<Result<_, _>>()?;
    let (settings, names) = parse_settings(&file.settings)?;
    Ok(Config {
        effective_settings: EffectiveSettings { settings, names },
        document: text,
        listen: address("RELAY_LISTEN", file.listen)?,
        discovery: address("RELAY_DISCOVERY", file.discovery)?,
        management: optional("RELAY_MANAGEMENT", file.management)?,
        name: variable("RELAY_NAME").unwrap_or(file.name),
        seed: u64::from_str_radix(&file.seed, 16).unwrap_or_else(|_| stable_hash(&file.seed)),
        limits: file.limits,
        known_endpoints: file.known,
        peer_listen: optional("peer_listen", file.peer_listen)?,
        peers,
    })
}
