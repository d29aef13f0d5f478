//! Handles events that concern no single request: period ends, endpoint lists and settings changes.

use super::{Policy, TimerKind};
use crate::api::{Action, Endpoint, Notice, Settings, SECOND};
use crate::endpoints::FleetModels;
use crate::gossip::Gossip;
use crate::run_time::ClassHistory;
use crate::table::{ClassId, RowId};

/// Divisor of the poll interval that gives the base delay before a failed poll is retried, and the bounds of
/// that delay.
const POLL_RETRY_DIVISOR: u64 = 20;
const MIN_POLL_RETRY_DELAY: u64 = SECOND / 10;
const MAX_POLL_RETRY_DELAY: u64 = SECOND;

impl Policy {
    /// Ends a period: updates rates, quotas and the admission rate, and sends the rates to other dispatchers.
    pub(super) fn end_period(&mut self, actions: &mut Vec<Action>) {
        self.schedule(SECOND, TimerKind::PeriodEnd);
        let Some(gain) = self.rate_control.end_period(self.now) else {
            return Gossip::publish(&self.settings, &self.admission, &mut self.rng, actions);
        };
        self.admission.end_period(gain);
        Gossip::publish(&self.settings, &self.admission, &mut self.rng, actions);
        self.set_quotas();
        self.endpoints.end_period();
        self.reports.end_period();
        self.poison.expire(self.now);
        if let Some(notice) = self.rate_control.step() {
            self.notify(notice, actions);
        }
    }

    fn set_quotas(&mut self) {
        let rates_are_new = self.rate_control.is_new(self.now);
        self.admission.set_quotas(&self.settings, &mut self.gossip, rates_are_new, self.now);
    }

    /// Applies new settings. Learned state is kept under the same indexes; settings that lack an existing
    /// class or tenant are ignored.
    pub(super) fn configure(&mut self, settings: Settings, inherits_from: &[Option<usize>]) {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        if classes < self.classes.len() || tenants < self.settings.tenants.len() {
            return;
        }
        for (position, class) in settings.classes.iter().enumerate().skip(self.classes.len()) {
            let inherited = inherits_from.get(position).copied().flatten().map(ClassId::new);
            let history = match inherited.and_then(|other| self.classes.get(other)) {
                Some(base) => ClassHistory::inheriting(base),
                None => ClassHistory::from_objective(class.objective_us),
            };
            self.classes.push(history);
            self.rate_control.add_class();
        }
        self.admission.resize(tenants);
        if settings.membership_epoch != self.settings.membership_epoch {
            self.gossip.clear(); // ordinals now identify different dispatchers
        }
        self.settings = settings;
        self.set_quotas();
    }

    pub(super) fn update_endpoints(&mut self, endpoints: &[Endpoint], is_full: bool) {
        let models = FleetModels { kinds: &mut self.kinds, live_weights: &mut self.live_weights };
        self.endpoints.update(endpoints, is_full, &self.settings, models, self.now);
        self.window.set_fleet_size(self.endpoints.ready_count(), self.settings.senders());
    }

    /// Retries a failed poll until it succeeds, so that the list does not become outdated unnoticed.
    pub(super) fn endpoint_watch_failed(&mut self, actions: &mut Vec<Action>) {
        let base_delay = (self.settings.rules.poll_interval_us / POLL_RETRY_DIVISOR)
            .clamp(MIN_POLL_RETRY_DELAY, MAX_POLL_RETRY_DELAY);
        let delay = base_delay / 2 + self.rng.below(base_delay);
        self.schedule(delay, TimerKind::WatchEndpoints);
        self.notify(Notice::EndpointListUnavailable, actions);
    }
}
