//! Changes of settings and cluster size, brought to the dispatcher and the wire while the node serves.

use super::pool::Pool;
use super::Job;
use crate::dispatcher::{stable_hash, Handle};
use crate::names::Names;
use crate::settings_merge::EffectiveSettings;
use ::membership::FleetSize;
use dispatch_policy::api::Settings;
use std::sync::Arc;
use tokio::sync::watch;

/// The task that brings changes to those who need them.
pub struct SettingsUpdates {
    /// The dispatcher.
    pub handle: Handle<Job>,
    /// Connections to workers, whose timeouts change.
    pub pool: Arc<Pool>,
    /// Settings in force.
    pub effective_settings: watch::Receiver<EffectiveSettings>,
    /// Size of the cluster, where membership is configured.
    pub cluster_size: Option<watch::Receiver<FleetSize>>,
    /// Names for all parts that speak on wires.
    pub names: watch::Sender<Arc<Names>>,
}

impl SettingsUpdates {
    /// Applies each change, without end.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                Ok(()) = self.effective_settings.changed() => {}
                () = changed(&mut self.cluster_size) => {}
            }
            self.apply();
        }
    }

    fn apply(&mut self) {
        let EffectiveSettings { settings, names } = self.effective_settings.borrow_and_update().clone();
        self.pool.set_timeouts(&names);
        let cluster_size = self.cluster_size.as_mut().map(|size| size.borrow_and_update().clone());
        let settings = platform_settings(settings, &names, cluster_size.as_ref());
        // The dispatcher first: no request may come with a class that it has not heard of.
        self.handle.update_settings(settings, names.previous_classes.clone());
        if **self.names.borrow() != names {
            self.names.send_replace(Arc::new(names));
        }
    }
}

/// Returns with the next change; never, where there is nothing that could change.
async fn changed(cluster_size: &mut Option<watch::Receiver<FleetSize>>) {
    if let Some(cluster_size) = cluster_size {
        if cluster_size.changed().await.is_ok() {
            return;
        }
    }
    std::future::pending().await
}

/// The settings with what this wire adds (a worker answers 200 once it has accepted a job, and its connection may take as
/// long as the settings allow to come up) and with what the membership tells.
pub fn platform_settings(settings: Settings, names: &Names, cluster_size: Option<&FleetSize>) -> Settings {
    let max_send_delay_us = names.connect_timeout.as_micros() as u64;
    let settings = Settings { acknowledges: true, max_send_delay_us, ..settings };
    match cluster_size.filter(|size| !size.dispatcher_names.is_empty()) {
        Some(size) => Settings {
            dispatchers: size.dispatchers,
            ordinal: size.ordinal,
            max_senders: size.senders,
            membership_epoch: stable_hash(&size.dispatcher_names.join("\n")),
            ..settings
        },
        None => settings,
    }
}
