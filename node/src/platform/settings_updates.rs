//! Applies changes of settings and fleet size to the dispatcher and the wire protocol while the node serves.

use super::pool::Pool;
use super::Job;
use crate::dispatcher::{stable_hash, Handle};
use crate::kill_time::KillTime;
use crate::names::Names;
use crate::phase::Phase;
use crate::settings_merge::EffectiveSettings;
use ::membership::FleetSize;
use dispatch_policy::api::Settings;
use std::sync::Arc;
use tokio::sync::watch;

/// Task that applies changes of settings and fleet size.
pub struct SettingsUpdates {
    /// Handle to the dispatcher.
    pub handle: Handle<Job>,
    /// Connection pool, whose timeouts are among the settings.
    pub pool: Arc<Pool>,
    /// Settings in force.
    pub effective_settings: watch::Receiver<EffectiveSettings>,
    /// Size of the fleet, if membership is configured.
    pub fleet_size: Option<watch::Receiver<FleetSize>>,
    /// Publishes the names on the wire to all parts of the frontend.
    pub names: watch::Sender<Arc<Names>>,
    /// Phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// When a stopping process may be killed.
    pub kill_time: KillTime,
}

impl SettingsUpdates {
    /// Applies each change; never returns.
    pub async fn run(mut self) {
        loop {
            let is_serving = !self.phase.borrow().is_stopping();
            let has_changed = tokio::select! {
                Ok(()) = self.effective_settings.changed() => true,
                () = fleet_size_changed(&mut self.fleet_size) => true,
                Ok(_) = self.phase.wait_for(|phase| phase.is_stopping()), if is_serving => false,
            };
            if has_changed {
                self.apply();
            }
            self.limit_outlasting_requests();
        }
    }

    /// Lets requests be answered before the process may be killed that have a longer deadline than the settings in force
    /// allow for: without a change of settings they would be answered by then.
    fn limit_outlasting_requests(&self) {
        let Some(deadline) = self.kill_time.end_deadline() else { return };
        let names = self.names.borrow();
        let is_outlasting =
            |class: &usize| self.kill_time.is_outlasted_by(names.class_rules[*class].deadline());
        let classes: Vec<usize> = (0..names.class_rules.len()).filter(is_outlasting).collect();
        if !classes.is_empty() {
            self.handle.limit_deadlines(classes, deadline);
        }
    }

    fn apply(&mut self) {
        let EffectiveSettings { settings, names } = self.effective_settings.borrow_and_update().clone();
        self.pool.set_timeouts(&names);
        self.kill_time.settings_changed(names.longest_offered_deadline());
        let fleet_size = self.fleet_size.as_mut().map(|size| size.borrow_and_update().clone());
        let settings = platform_settings(settings, &names, fleet_size.as_ref());
        // The dispatcher is updated first: no request may arrive with a class that it does not know yet.
        self.handle.update_settings(settings, names.inherits_from.clone());
        if **self.names.borrow() != names {
            self.names.send_replace(Arc::new(names));
        }
    }
}

/// Waits for the next change of the fleet size; never returns if there is no membership.
async fn fleet_size_changed(fleet_size: &mut Option<watch::Receiver<FleetSize>>) {
    if let Some(fleet_size) = fleet_size {
        if fleet_size.changed().await.is_ok() {
            return;
        }
    }
    std::future::pending().await
}

/// Completes the settings with properties of this protocol (a worker acknowledges a request with status 200,
/// and a connection to it may take up to the connect timeout) and with the state of the membership.
pub fn platform_settings(settings: Settings, names: &Names, fleet_size: Option<&FleetSize>) -> Settings {
    let max_send_delay_us = names.connect_timeout.as_micros() as u64;
    let settings = Settings { acknowledges: true, max_send_delay_us, ..settings };
    match fleet_size.filter(|size| !size.dispatcher_names.is_empty()) {
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
