//! Operator's file of the Faktory front: see `deploy/faktory.toml`.

use crate::names::{self, parse_settings};
use serde::Deserialize;
use std::net::SocketAddr;

/// Connections that the front accepts at most, unless the file says otherwise.
const DEFAULT_CONNECTIONS: usize = 256;

/// Content of the operator's file.
#[derive(Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FaktoryConfig {
    /// Address at which clients and workers connect.
    pub listen: SocketAddr,
    /// Most connections at a time.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Environment variable that holds the password; `None` if there is no password.
    pub password_variable: Option<String>,
    /// Classes, tenants and rules, named as in the platform's settings.
    pub(super) settings: serde_json::Value,
}

fn default_connections() -> usize {
    DEFAULT_CONNECTIONS
}

/// Error in the operator's file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The text is not TOML, or has an unknown, missing or mistyped key.
    #[error("operator's file: {}", .0.message())]
    Syntax(#[source] Box<toml::de::Error>),
    /// The settings are invalid.
    #[error("{0}")]
    Settings(#[source] names::ParseError),
    /// The settings require that attempts can be cancelled.
    #[error("operator's file: attempts can't be called off (Limits.Cancelling)")]
    Cancelling,
    /// No connection is allowed.
    #[error("operator's file: connections must be above zero")]
    NoConnections,
}

impl FaktoryConfig {
    /// Parses and validates the text of the file.
    ///
    /// # Errors
    ///
    /// Returns the first error found: of the syntax, of the settings, or of a value.
    pub fn parse(text: &str) -> Result<FaktoryConfig, ConfigError> {
        let config: FaktoryConfig =
            toml::from_str(text).map_err(|error| ConfigError::Syntax(Box::new(error)))?;
        let (settings, _) = parse_settings(&config.settings).map_err(ConfigError::Settings)?;
        if settings.can_cancel {
            return Err(ConfigError::Cancelling);
        }
        if config.connections == 0 {
            return Err(ConfigError::NoConnections);
        }
        Ok(config)
    }
}
