//! Settings of the decision module.

use super::Micros;
use crate::table::{ClassId, RowId, TenantId};

/// Whether requests of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// They may be executed any number of times.
    Idempotent,
    /// They carry an idempotency key: workers that share a key store drop duplicates for a limited time.
    WithKey(KeyScope),
    /// They may be executed at most once.
    NotIdempotent,
}

/// Which workers share a store of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All workers.
    Fleet,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    /// Fixed part of the latency objective.
    pub objective_us: Micros,
    /// Variable part of the latency objective, as a multiple of the request's work.
    pub objective_per_work: f64,
    /// Time after which the client stops waiting.
    pub deadline_us: Micros,
    /// Value of an answer that meets the objective.
    pub priority_weight: f64,
    /// Value of a late answer, as a fraction of `priority_weight`.
    pub late_weight: f64,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Time from the first attempt for which duplicates are dropped; for classes with an idempotency key.
    pub deduplication_window_us: Micros,
    /// Machine type that is required to execute requests; `None` for any.
    pub required_kind: Option<u8>,
}

/// Settings of a tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSettings {
    /// Quota in requests per second, for all dispatchers together.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}

/// Limit on the retries of one dispatcher.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are allowed in each window regardless of the number of requests.
    pub min_retries: f64,
    /// Additional retries for each request received in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_us: Micros,
}

/// Rules that all dispatchers follow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Age after which a polled endpoint list is considered stale.
    pub poll_interval_us: Micros,
    /// Capacity of a worker that has just started, as a fraction of its full capacity.
    pub cold_capacity_ratio: f64,
    /// Time that a worker takes from its start to reach its full capacity.
    pub warm_up_us: Micros,
    /// A worker that is warming up fails when it is sent this multiple of its current capacity for the
    /// duration of `overload_window_us`.
    pub overload_multiple: f64,
    /// Duration of an overload that makes a worker that is warming up fail.
    pub overload_window_us: Micros,
    /// The retry budget; `None` for no limit.
    pub retry_budget: Option<RetryBudget>,
    /// Whether workers that were removed from the list may still be used; only draining then excludes them.
    pub soft_removal: bool,
}

/// Settings of a dispatcher. Zones, classes, tenants and machine types are given by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<ClassSettings>,
    /// Indexes of classes that are no longer offered. They are kept for open requests.
    pub retired_classes: Vec<usize>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSettings>,
    /// Number of dispatchers, including this one.
    pub dispatchers: u32,
    /// Ordinal of this dispatcher, from 0.
    pub ordinal: u32,
    /// Maximum number of dispatchers that may still send to workers. It can exceed `dispatchers`, since one
    /// that seems to be gone may only be unreachable from here. 0 if unknown.
    pub max_senders: u32,
    /// Identifies the assignment of ordinals to dispatchers. When it changes, reports of peers are dropped.
    pub membership_epoch: u64,
    /// Zone of this dispatcher.
    pub zone: u8,
    /// Maximum number of attempts of a request.
    pub max_attempts: u32,
    /// Whether attempts can be cancelled.
    pub can_cancel: bool,
    /// Whether dispatchers may send each other peer messages.
    pub peer_messages: bool,
    /// Longest suggested retry delay that clients respect; 0 if they respect none.
    pub max_retry_after_us: Micros,
    /// Whether clients do not mark their retries. Such retries are detected by their shorter remaining time.
    pub unmarked_retries: bool,
    /// Whether workers may be probed for load reports.
    pub can_probe: bool,
    /// Whether load reports contain free slots.
    pub reports_free_slots: bool,
    /// Whether the endpoint list has to be polled.
    pub polls_endpoints: bool,
    /// Whether the list has live weights, which decrease with a worker's requests from all dispatchers.
    pub live_weights: bool,
    /// Whether workers acknowledge a request immediately, before they start it.
    pub acknowledges: bool,
    /// Whether workers report when they start to execute a request.
    pub reports_start: bool,
    /// Interval of the workers' progress reports; 0 for none.
    pub progress_interval_us: Micros,
    /// Price of sending a request to another zone, as a fraction of the request's value.
    pub cross_zone_price: f64,
    /// Price of 256 bytes of peer messages per request, as a fraction of the request's value.
    pub peer_message_price: f64,
    /// Price of opening a connection for a request, as a fraction of the request's value.
    pub handshake_price: f64,
    /// Price of fetching a request's data from the origin, as a fraction of the request's value.
    pub origin_fetch_price: f64,
    /// Time for which idle connections stay open; 0 if unknown.
    pub idle_timeout_us: Micros,
    /// Weight of admitted requests that missed their objective; 0 for none.
    pub late_penalty_weight: f64,
    /// Accepted ratio of such late requests.
    pub accepted_late_ratio: f64,
    /// Weight of the worst-served class; 0 for none.
    pub worst_class_weight: f64,
    /// Value of a request over its tenant's quota, as a fraction of its usual value.
    pub over_quota_weight: f64,
    /// Resolution of the clock.
    pub clock_resolution_us: Micros,
    /// Longest time from the decision to send until the attempt begins, as the embedder may have to wait for
    /// a connection.
    pub max_send_delay_us: Micros,
    /// Rules that all dispatchers follow.
    pub rules: Rules,
}

impl Settings {
    /// Number of dispatchers among which the workers' capacity is divided.
    pub fn senders(&self) -> u32 {
        self.dispatchers.max(self.max_senders)
    }

    /// The classes that are offered to clients.
    pub fn offered_classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        let offered = (0..self.classes.len()).filter(|class| !self.retired_classes.contains(class));
        offered.map(ClassId::new)
    }

    /// A class's settings.
    pub(crate) fn class(&self, class: ClassId) -> &ClassSettings {
        &self.classes[class.position()]
    }

    /// A tenant's settings; `None` if no tenants are configured.
    pub(crate) fn tenant(&self, tenant: TenantId) -> Option<&TenantSettings> {
        self.tenants.get(tenant.position())
    }
}
