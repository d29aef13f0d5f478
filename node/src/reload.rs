//! Reload of the configuration at SIGHUP: determines which changes take effect in the running node, and distributes
//! them.

use crate::config::{self, ConfigSources, LoadedConfig};
use crate::settings_merge::{first_missing_key, EffectiveSettings};
use crate::signals::{Command, Signals};
use dispatch_policy::api::InvalidSettings;
use membership::keys::Keys;
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::watch;

/// Error of a reload. The running configuration is unchanged then.
#[derive(Debug, Error)]
enum ReloadError {
    /// A file can't be read or parsed.
    #[error(transparent)]
    Configuration(config::Error),
    /// The newer configuration lacks a key that the running one has.
    #[error("{key} is missing")]
    MissingKey { key: String },
    /// The decision module rejects the newer settings merged with the running ones.
    #[error("settings: {0}")]
    Settings(#[source] InvalidSettings),
}

/// Change found by a reload.
enum Change {
    Settings { classes: Vec<String>, max_attempts: u32 },
    Discovery(SocketAddr),
    MembershipKeys,
    RestartRequired(Vec<&'static str>),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Change::Settings { classes, max_attempts } => {
                write!(f, "new settings: classes {}; {max_attempts} attempts at most", classes.join(", "))
            }
            Change::Discovery(address) => write!(f, "discovery is now at {address}"),
            Change::MembershipKeys => f.write_str("new membership keys"),
            Change::RestartRequired(keys) => {
                write!(f, "changed, but in force only after a restart: {}", keys.join(", "))
            }
        }
    }
}

/// Configuration of a running node, and channels to the parts that apply its changes.
pub struct Reload {
    sources: ConfigSources,
    running: LoadedConfig,
    discovery: watch::Sender<Option<SocketAddr>>,
    effective_settings: watch::Sender<EffectiveSettings>,
    keys: watch::Sender<Option<Keys>>,
}

impl Reload {
    /// Takes the configuration with which the node was started.
    pub fn new(sources: ConfigSources, initial: LoadedConfig) -> Reload {
        let config = initial.node.as_ref();
        let discovery = config.map(|config| config.discovery);
        let settings = config.map(|config| config.effective_settings.clone()).unwrap_or_default();
        Reload {
            sources,
            discovery: watch::Sender::new(discovery),
            effective_settings: watch::Sender::new(settings),
            keys: watch::Sender::new(membership_keys(&initial)),
            running: initial,
        }
    }

    /// Subscribes to discovery's address; `None` if no frontend uses discovery.
    pub fn discovery(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.discovery.subscribe()
    }

    /// The settings in force, with which later ones are merged.
    pub fn effective_settings(&self) -> watch::Sender<EffectiveSettings> {
        self.effective_settings.clone()
    }

    /// Subscribes to the membership keys; `None` if membership is off.
    pub fn keys(&self) -> watch::Receiver<Option<Keys>> {
        self.keys.subscribe()
    }

    /// Starts a task that reloads at each SIGHUP until the process ends. It also prevents SIGHUP from ending the
    /// process, whichever frontends run and in every phase.
    pub fn on_signal(mut self, signals: Signals) {
        tokio::spawn(async move {
            loop {
                signals.received(Command::Reload).await;
                log_outcome(self.reload());
            }
        });
    }

    /// Reads the configuration again and applies all of it or, if any part is invalid, none.
    fn reload(&mut self) -> Result<Vec<Change>, ReloadError> {
        let newer = self.sources.read_again().map_err(ReloadError::Configuration)?;
        let settings = self.checked_settings(&newer)?;
        // Nothing can fail from here on.
        let changes = [
            settings.and_then(|settings| self.apply_settings(settings)),
            self.apply_discovery(&newer),
            self.apply_keys(&newer),
            self.restart_required(&newer),
        ];
        Ok(changes.into_iter().flatten().collect())
    }

    /// The newer settings merged with the running ones; `None` if the platform frontend is off.
    fn checked_settings(&self, newer: &LoadedConfig) -> Result<Option<EffectiveSettings>, ReloadError> {
        let (Some(old), Some(new)) = (&self.running.node, &newer.node) else { return Ok(None) };
        if let Some(key) = first_missing_key(&old.document, &new.document, "configuration") {
            return Err(ReloadError::MissingKey { key });
        }
        let merged = self.effective_settings.borrow().merged_with(&new.effective_settings);
        merged.settings.validate().map_err(ReloadError::Settings)?;
        Ok(Some(merged))
    }

    fn apply_settings(&mut self, settings: EffectiveSettings) -> Option<Change> {
        let change = settings_change(&settings);
        send_if_changed(&self.effective_settings, settings).then_some(change)
    }

    fn apply_discovery(&mut self, newer: &LoadedConfig) -> Option<Change> {
        let (Some(old), Some(new)) = (&mut self.running.node, &newer.node) else { return None };
        old.document = new.document.clone();
        if old.discovery == new.discovery {
            return None;
        }
        old.discovery = new.discovery;
        self.discovery.send_replace(Some(new.discovery));
        Some(Change::Discovery(new.discovery))
    }

    fn apply_keys(&mut self, newer: &LoadedConfig) -> Option<Change> {
        send_if_changed(&self.keys, membership_keys(newer)).then_some(Change::MembershipKeys)
    }

    fn restart_required(&self, newer: &LoadedConfig) -> Option<Change> {
        let keys = self.running.restart_required(newer);
        (!keys.is_empty()).then_some(Change::RestartRequired(keys))
    }
}

fn membership_keys(config: &LoadedConfig) -> Option<Keys> {
    config.membership.as_ref().map(|membership| membership.keys.clone())
}

/// Summary of new settings: the classes offered, and the maximum number of attempts.
fn settings_change(settings: &EffectiveSettings) -> Change {
    let names = &settings.names;
    let offered = (0..names.classes.len()).filter(|number| !names.retired_classes.contains(number));
    Change::Settings {
        classes: offered.map(|number| names.classes[number].clone()).collect(),
        max_attempts: settings.settings.max_attempts,
    }
}

/// Sends a value and notifies the receivers if it differs from the current one. Returns whether it does.
fn send_if_changed<T: PartialEq>(channel: &watch::Sender<T>, value: T) -> bool {
    channel.send_if_modified(|current| {
        let differs = *current != value;
        *current = value;
        differs
    })
}

fn log_outcome(outcome: Result<Vec<Change>, ReloadError>) {
    match outcome {
        Ok(changes) if changes.is_empty() => {
            log::info!(event = "configuration_unchanged"; "configuration read again; nothing has changed");
        }
        Ok(changes) => {
            let changes: Vec<String> = changes.iter().map(Change::to_string).collect();
            log::info!(event = "configuration_reloaded", changes = changes.join("; "); "configuration reloaded");
        }
        Err(error) => {
            let error = error.to_string().replace('\n', " ");
            log::error!(event = "configuration_rejected", error; "the old configuration stays");
        }
    }
}
