//! Configuration file of the Faktory frontend; `deploy/faktory.toml` is an example.

use crate::names::{self, parse_settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// Default of [`FaktoryConfig::connections`].
const DEFAULT_CONNECTIONS: usize = 256;

/// Content of the configuration file.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaktoryConfig {
    /// Listen address for clients and workers.
    pub listen: SocketAddr,
    /// Maximum number of concurrent connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Environment variable that holds the password; `None` for a server without a password.
    pub password_variable: Option<String>,
    /// Settings of the decision module, in the format of the platform frontend.
    pub(super) settings: serde_json::Value,
}

fn default_connections() -> usize {
    DEFAULT_CONNECTIONS
}

/// Error in the configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not TOML, or has an unknown, missing or mistyped key.
    #[error("operator's file: {}", .0.message())]
    Syntax(#[source] Box<toml::de::Error>),
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[source] names::ParseError),
    /// The settings require cancellation of attempts, which the Faktory protocol does not have.
    #[error("operator's file: attempts can't be called off (Limits.Cancelling)")]
    CancellationUnsupported,
    /// The maximum number of connections is 0.
    #[error("operator's file: connections must be above zero")]
    NoConnections,
}

impl FaktoryConfig {
    /// Parses and validates the file's text.
    ///
    /// # Errors
    ///
    /// Returns the first error found in the syntax, the settings or the other values.
    pub fn parse(text: &str) -> Result<FaktoryConfig, ConfigError> {
        let config: FaktoryConfig =
            toml::from_str(text).map_err(|error| ConfigError::Syntax(Box::new(error)))?;
        let (settings, _) = parse_settings(&config.settings).map_err(ConfigError::Settings)?;
        if settings.can_cancel {
            return Err(ConfigError::CancellationUnsupported);
        }
        if config.connections == 0 {
            return Err(ConfigError::NoConnections);
        }
        Ok(config)
    }
}
