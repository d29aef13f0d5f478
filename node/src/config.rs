//! What a node is told at its start and when it is to read that again: environment, JSON configuration and an
//! operator's file.

use crate::endpoint_list::EndpointList;
use crate::faktory::FaktoryConfig;
use crate::names::parse_settings;
use crate::settings_merge::EffectiveSettings;
use membership::file::FleetFile;
use membership::keys::Keys;
use membership::NAME_MAX;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The descriptors that the platform's front needs at least.
const SOCKETS_MIN: usize = 128;

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
    pub known: Option<EndpointList>,
    /// Where the platform's other nodes send their datagrams; none come if not set.
    pub peer_listen: Option<SocketAddr>,
    /// Where they are reached, by number, and come from.
    pub peers: Vec<SocketAddr>,
    /// The module's settings, and what the wires need beside them.
    pub effective_settings: EffectiveSettings,
    /// All that it was read from, less what is for starts only.
    pub text: Value,
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
    pub config: Option<Config>,
    /// The Faktory front.
    pub operator: Option<FaktoryConfig>,
    /// The talk between nodes.
    pub fleet: Option<MembershipConfig>,
}

/// What lets a node talk to others.
#[derive(Clone, PartialEq)]
pub struct MembershipConfig {
    /// The operator's file.
    pub file: FleetFile,
    /// The keys that it names.
    pub keys: Keys,
    /// The folder that the file stands in: relative names in it are meant from there.
    pub folder: PathBuf,
}

impl MembershipConfig {
    fn read(
        path: &Path,
        text: impl Fn(&PathBuf) -> Result<String, String>,
    ) -> Result<MembershipConfig, String> {
        let file =
            FleetFile::parse(&text(&path.to_path_buf())?).map_err(|e| format!("{}: {e}", path.display()))?;
        // A relative name is meant from where the file stands, wherever the node was started.
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        let at = folder.join(&file.key_file);
        let keys = Keys::parse(&text(&at)?).map_err(|e| format!("{}: {e}", at.display()))?;
        Ok(MembershipConfig { file, keys, folder })
    }
}

impl LoadedConfig {
    /// What differs from a newer one and holds until a restart.
    pub fn restart_required(&self, newer: &LoadedConfig) -> Vec<&'static str> {
        let mut all = match (&self.config, &newer.config) {
            (Some(old), Some(new)) => old.restart_required(new),
            _ => Vec::new(),
        };
        if self.operator != newer.operator {
            all.push("the operator's file");
        }
        if self.fleet.as_ref().map(|t| &t.file) != newer.fleet.as_ref().map(|t| &t.file) {
            all.push("the fleet's file");
        }
        all
    }
}

/// Where a node's configuration stands: it can be read again from there.
pub struct ConfigSources {
    /// The platform's JSON file.
    pub config: Option<PathBuf>,
    /// The operator's file of the Faktory front.
    pub operator: Option<PathBuf>,
    /// The operator's file that lets nodes talk.
    pub fleet: Option<PathBuf>,
}

impl ConfigSources {
    /// From the command line's files and the environment.
    pub fn new(operator: Option<PathBuf>, fleet: Option<PathBuf>) -> Result<ConfigSources, String> {
        let config = variable("RELAY_CONFIG").map(PathBuf::from);
        // Without a platform configuration, the second front may run alone.
        if config.is_none() && operator.is_none() {
            return Err("RELAY_CONFIG is not set".to_string());
        }
        if config.is_none() && fleet.is_some() {
            return Err("--fleet: RELAY_CONFIG is not set, so the node has no name".to_string());
        }
        Ok(ConfigSources { config, operator, fleet })
    }

    /// Reads all of it for the start: variables, where set, come before the platform's file.
    pub fn read(&self) -> Result<LoadedConfig, String> {
        self.read_with(variable)
    }

    /// Reads all of it again: the file's discovery now holds, also against the environment.
    pub fn read_again(&self) -> Result<LoadedConfig, String> {
        self.read_with(|name| variable(name).filter(|_| name != "RELAY_DISCOVERY"))
    }

    fn read_with(&self, var: impl Fn(&str) -> Option<String>) -> Result<LoadedConfig, String> {
        let text = |path: &PathBuf| {
            std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
        };
        let operator = match &self.operator {
            Some(path) => Some(FaktoryConfig::parse(&text(path)?).map_err(|error| error.to_string())?),
            None => None,
        };
        let mut config = match &self.config {
            Some(path) => Some(parse(&text(path)?, var)?),
            None => None,
        };
        if let (Some(config), Some(operator)) = (&mut config, &operator) {
            // Guards the descriptor limit where both fronts run: it is the process's.
            let left = config.limits.sockets.checked_sub(operator.connections);
            config.limits.sockets = left
                .filter(|left| *left >= SOCKETS_MIN)
                .ok_or("operator's file: connections leave the platform too few sockets")?;
        }
        let fleet = match &self.fleet {
            Some(path) => Some(MembershipConfig::read(path, text)?),
            None => None,
        };
        if fleet.is_some() && config.as_ref().is_some_and(|c| c.name.is_empty() || c.name.len() > NAME_MAX) {
            return Err(format!("--fleet: the node needs a name of 1 to {NAME_MAX} bytes"));
        }
        Ok(LoadedConfig { config, operator, fleet })
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

/// Reads a configuration's text.
pub fn parse(text: &str, var: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let mut text: Value = serde_json::from_str(text).map_err(|e| format!("configuration: {e}"))?;
    let raw: Raw = serde_json::from_value(text.clone()).map_err(|e| format!("configuration: {e}"))?;
    if let Some(keys) = text.as_object_mut() {
        keys.retain(|key, _| key != "known" && key != "seed");
    }
    let optional = |name: &str, given: Option<String>| -> Result<Option<SocketAddr>, String> {
        let Some(text) = var(name).or(given) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| format!("configuration: {name}={text} is not an address"))
    };
    let address = |name, given| optional(name, given)?.ok_or_else(|| format!("configuration: no {name}"));
    let place =
        |text: &String| text.parse().map_err(|_| format!("configuration: peers: {text} is not an address"));
    let peers = raw.peers.iter().map(place).collect::<Result<_, _>>()?;
    let (settings, names) = parse_settings(&raw.settings).map_err(|error| error.to_string())?;
    Ok(Config {
        effective_settings: EffectiveSettings { settings, names },
        text,
        listen: address("RELAY_LISTEN", raw.listen)?,
        discovery: address("RELAY_DISCOVERY", raw.discovery)?,
        management: optional("RELAY_MANAGEMENT", raw.management)?,
        name: var("RELAY_NAME").unwrap_or(raw.name),
        seed: u64::from_str_radix(&raw.seed, 16)
            .unwrap_or_else(|_| crate::dispatcher::stable_hash(&raw.seed)),
        limits: raw.limits,
        known: raw.known,
        peer_listen: optional("peer_listen", raw.peer_listen)?,
        peers,
    })
}
