//! What happens apart from requests: periods end, endpoint lists and settings change.

use super::{Due, Policy};
use crate::api::{Action, Endpoint, Notice, Settings, SECOND};
use crate::endpoints::FleetModels;
use crate::gossip::Gossip;
use crate::run_time::ClassHistory;
use crate::table::{ClassId, RowId};

/// Parts of the poll interval that a failed poll is repeated after, and the bounds of that wait.
const POLLS_AGAIN: u64 = 20;
const MIN_POLL_WAIT: u64 = SECOND / 10;
const MAX_POLL_WAIT: u64 = SECOND;

impl Policy {
    /// Ends a period: rates, quotas and the admission rate are set anew, and rates are sent to other
    /// dispatchers.
    pub(super) fn end_period(&mut self, out: &mut Vec<Action>) {
        self.schedule(SECOND, Due::PeriodEnd);
        let Some(gain) = self.rate.end_period(self.now) else {
            return Gossip::publish(&self.settings, &self.admission, &mut self.rng, out);
        };
        self.admission.end_period(gain);
        Gossip::publish(&self.settings, &self.admission, &mut self.rng, out);
        self.set_quotas();
        self.endpoints.end_period();
        self.reports.end_period();
        self.poison.expire(self.now);
        if let Some(notice) = self.rate.step() {
            self.notify(notice, out);
        }
    }

    fn set_quotas(&mut self) {
        let is_new = self.rate.is_new(self.now);
        self.admission.set_quotas(&self.settings, &mut self.gossip, is_new, self.now);
    }

    /// Takes new settings. What was learned stays under the same indexes; settings that lack some of them are
    /// ignored.
    pub(super) fn configure(&mut self, settings: Settings, inherits_from: &[Option<usize>]) {
        let (classes, tenants) = (settings.classes.len(), settings.tenants.len());
        if classes < self.classes.len() || tenants < self.settings.tenants.len() {
            return;
        }
        for (position, class) in settings.classes.iter().enumerate().skip(self.classes.len()) {
            let continued = inherits_from.get(position).copied().flatten().map(ClassId::new);
            let history = match continued.and_then(|other| self.classes.get(other)) {
                Some(other) => ClassHistory::inheriting(other),
                None => ClassHistory::from_objective(class.objective_us),
            };
            self.classes.push(history);
            self.rate.add_class();
        }
        self.admission.resize(tenants);
        if settings.membership_epoch != self.settings.membership_epoch {
            self.gossip.clear(); // ordinals stand for other dispatchers now
        }
        self.settings = settings;
        self.set_quotas();
    }

    pub(super) fn update_endpoints(&mut self, endpoints: &[Endpoint], is_full: bool) {
        let models = FleetModels { kinds: &mut self.kinds, live_weights: &mut self.live_weights };
        self.endpoints.update(endpoints, is_full, &self.settings, models, self.now);
        self.window.set_fleet_size(self.endpoints.ready(), self.settings.senders());
    }

    /// Repeats a failed poll until one succeeds, so that the list does not go out of date unseen.
    pub(super) fn endpoint_watch_failed(&mut self, out: &mut Vec<Action>) {
        let wait = (self.settings.rules.poll_interval_us / POLLS_AGAIN).clamp(MIN_POLL_WAIT, MAX_POLL_WAIT);
        let after = wait / 2 + self.rng.below(wait);
        self.schedule(after, Due::WatchEndpoints);
        self.notify(Notice::EndpointListUnavailable, out);
    }
}
