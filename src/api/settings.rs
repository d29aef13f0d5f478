//! Settings of the decision module.

use super::Micros;
use crate::table::{ClassId, RowId, TenantId};

/// What a class of requests allows after an attempt that may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be executed any number of times.
    Idempotent,
    /// It carries an idempotency key: workers that share a memory of keys drop duplicates for a while.
    WithKey(KeyScope),
    /// It may be executed at most once.
    NotIdempotent,
}

/// The workers that share a memory of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    Fleet,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Latency objective, beside `objective_per_work`.
    pub objective_us: Micros,
    /// The objective grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// Time after which the client gives up.
    pub deadline_us: Micros,
    /// Value of an answer within the objective.
    pub priority_weight: f64,
    /// The part of the value that a later answer still has.
    pub late_weight: f64,
    /// Whether it may be executed again.
    pub idempotency: Idempotency,
    /// For classes with an idempotency key: how long duplicates are dropped, from the first attempt on.
    pub deduplication_window_us: Micros,
    /// The only kind of worker that executes it, if there is one.
    pub required_kind: Option<u8>,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second within its quota, at all dispatchers together.
    pub quota_per_s: f64,
    /// Its part of the service.
    pub share: f64,
}

/// Limit on the retries that one dispatcher makes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window, however few requests were received in it.
    pub min_retries: f64,
    /// Further retries for each request received in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window_us: Micros,
}

/// Rules that every dispatcher keeps.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Age after which a polled endpoint list is out of date.
    pub poll_interval_us: Micros,
    /// The least part of its capacity that a worker has when it starts.
    pub cold_capacity_ratio: f64,
    /// Time after its start by which a worker has all of its capacity.
    pub warm_up_us: Micros,
    /// A worker that is warming up fails when it is sent this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this time.
    pub overload_window_us: Micros,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Whether a worker that is gone from the list may still be used: then only draining excludes it.
    pub soft_removal: bool,
}

/// Settings of a dispatcher. Zones, classes, tenants and kinds are indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of requests.
    pub classes: Vec<ClassSettings>,
    /// Indexes of classes that are no longer offered. They are kept for requests that are open.
    pub retired_classes: Vec<usize>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Number of dispatchers, this one included.
    pub dispatchers: u32,
    /// This dispatcher's number among them, from 0 on.
    pub ordinal: u32,
    /// The most dispatchers that may be sending to workers, where that can be more than `dispatchers`: one
    /// that seems to have gone may only be unreachable from here. 0 where nothing else is known.
    pub max_senders: u32,
    /// Identifies which dispatchers the ordinals stand for. When it changes, what peers reported is dropped.
    pub membership_epoch: u64,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether dispatchers may send each other messages.
    pub peer_messages: bool,
    /// The longest wait that clients obey; 0 where they obey none.
    pub max_retry_after_us: Micros,
    /// Whether clients' retries are not marked: they show by a shorter time left.
    pub unmarked_retries: bool,
    /// Whether workers may be probed for their load.
    pub can_probe: bool,
    /// Whether load reports contain free slots.
    pub reports_free_slots: bool,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoints: bool,
    /// Whether the list's weights are live: lowered by the requests that a worker holds from all dispatchers.
    pub live_weights: bool,
    /// Whether workers acknowledge a request at once, before they start it.
    pub acknowledges: bool,
    /// Whether workers report when the execution of a request starts.
    pub reports_start: bool,
    /// Interval between progress reports; 0 for none.
    pub progress_interval_us: Micros,
    /// Price of sending a request to another zone, as a part of its value.
    pub cross_zone_price: f64,
    /// Price of 256 bytes of peer messages for each request, as a part of its value.
    pub peer_message_price: f64,
    /// Price of opening a connection for each request, as a part of its value.
    pub handshake_price: f64,
    /// Price of a fetch from the origin for each request, as a part of its value.
    pub origin_fetch_price: f64,
    /// Time for which an idle connection stays open; 0 where unknown.
    pub idle_timeout_us: Micros,
    /// Weight of requests that were admitted and missed their objective; 0 for none.
    pub late_penalty_weight: f64,
    /// The ratio of such misses that is accepted.
    pub accepted_late_ratio: f64,
    /// Weight of the class that is served worst; 0 for none.
    pub worst_class_weight: f64,
    /// Value of a request over its tenant's quota, as a part of its usual value.
    pub over_quota_weight: f64,
    /// The least time between two events that can be told apart.
    pub clock_resolution_us: Micros,
    /// The longest time from a decision to send until the attempt begins, where the embedder has to wait for
    /// a connection.
    pub max_send_delay_us: Micros,
    /// Rules that every dispatcher keeps.
    pub rules: Rules,
}

impl Settings {
    /// Number of dispatchers that share what all of them together may send to workers.
    pub fn senders(&self) -> u32 {
        self.dispatchers.max(self.max_senders)
    }

    /// The classes that are offered.
    pub fn offered_classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        let offered = (0..self.classes.len()).filter(|class| !self.retired_classes.contains(class));
        offered.map(ClassId::new)
    }

    /// A class's settings.
    pub(crate) fn class(&self, class: ClassId) -> &ClassSettings {
        &self.classes[class.position()]
    }

    /// A tenant's settings; none where the settings name no tenant.
    pub(crate) fn tenant(&self, tenant: TenantId) -> Option<&TenantSettings> {
        self.tenants.get(tenant.position())
    }
}
