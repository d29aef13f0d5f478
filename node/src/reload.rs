//! From SIGHUP to what a new configuration changes in a running node.

use crate::config::{ConfigSources, LoadedConfig};
use crate::settings_merge::{first_missing_key, EffectiveSettings};
use crate::signals::{Command, Signals};
use membership::keys::Keys;
use std::net::SocketAddr;
use tokio::sync::watch;

/// Owns the configuration of a running node and what may change in it.
pub struct Reload {
    sources: ConfigSources,
    running: LoadedConfig,
    discovery: watch::Sender<Option<SocketAddr>>,
    effective_settings: watch::Sender<EffectiveSettings>,
    keys: watch::Sender<Option<Keys>>,
}

impl Reload {
    /// Starts from what the fronts were told.
    pub fn new(sources: ConfigSources, started: LoadedConfig) -> Reload {
        let at = started.config.as_ref().map(|c| c.discovery);
        let effective_settings =
            started.config.as_ref().map(|c| c.effective_settings.clone()).unwrap_or_default();
        let (discovery, effective_settings) =
            (watch::Sender::new(at), watch::Sender::new(effective_settings));
        let keys = watch::Sender::new(started.fleet.as_ref().map(|t| t.keys.clone()));
        Reload { sources, running: started, discovery, effective_settings, keys }
    }

    /// Where discovery listens, as of now; `None` where no front asks it.
    pub fn discovery(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.discovery.subscribe()
    }

    /// The settings, as of now.
    pub fn effective_settings(&self) -> watch::Receiver<EffectiveSettings> {
        self.effective_settings.subscribe()
    }

    /// The keys of the talk between nodes, as of now; `None` where there is none.
    pub fn keys(&self) -> watch::Receiver<Option<Keys>> {
        self.keys.subscribe()
    }

    /// Reads everything again at each SIGHUP, as long as the process lives. Guards against a node that ends on
    /// SIGHUP: from here on the signal has a handler, whichever fronts run and whatever phase it is.
    pub fn on_signal(mut self, signals: Signals) {
        tokio::spawn(async move {
            loop {
                signals.received(Command::Reload).await;
                // All or nothing: of a file that is not whole, nothing is taken.
                match self.again() {
                    Ok(changed) => log::info!("reload: {changed}"),
                    Err(e) => log::error!("reload: the old configuration stays: {}", e.replace('\n', " ")),
                }
            }
        });
    }

    /// Checks all of it before anything changes; says what did.
    fn again(&mut self) -> Result<String, String> {
        let newer = self.sources.read_again()?;
        let mut changed = Vec::new();
        if let (Some(old), Some(new)) = (&mut self.running.config, &newer.config) {
            if let Some(key) = first_missing_key(&old.text, &new.text, "configuration") {
                return Err(format!("{key} is missing"));
            }
            let effective_settings = self.effective_settings.borrow().merged_with(&new.effective_settings);
            effective_settings.settings.validate().map_err(|e| format!("settings: {e}"))?;
            if self.effective_settings.send_if_modified(|old| {
                std::mem::replace(old, effective_settings.clone()) != effective_settings
            }) {
                let offered = (0..effective_settings.names.classes.len())
                    .filter(|n| !effective_settings.names.retired.contains(n));
                let offered: Vec<&str> =
                    offered.map(|n| effective_settings.names.classes[n].as_str()).collect();
                let most = effective_settings.settings.max_attempts;
                changed
                    .push(format!("new settings: classes {}; {most} attempts at most", offered.join(", ")));
            }
            if old.discovery != new.discovery {
                old.discovery = new.discovery;
                self.discovery.send_replace(Some(new.discovery));
                changed.push(format!("discovery is now at {}", new.discovery));
            }
            old.text = new.text.clone();
        }
        let keys = newer.fleet.as_ref().map(|t| t.keys.clone());
        if self.keys.send_if_modified(|old| std::mem::replace(old, keys.clone()) != keys) {
            changed.push("new keys for the talk between nodes".to_string());
        }
        let restart_required = self.running.restart_required(&newer);
        if !restart_required.is_empty() {
            changed
                .push(format!("changed, but in force only after a restart: {}", restart_required.join(", ")));
        }
        Ok(if changed.is_empty() { "all as before".to_string() } else { changed.join("; ") })
    }
}
