//! Admission: which requests leave their tenants' queues, and in which order.
//!
//! Each tenant has a token bucket that is refilled at its quota; a shared bucket, refilled at the rate limit,
//! admits requests over the quotas. Within a tenant the newest request is admitted first: when a queue builds
//! up, its oldest requests have too little time left to be of use.

use crate::api::{Micros, RequestId, Settings, SECOND};
use crate::gossip::Gossip;
use crate::request_queue::RequestQueue;
use crate::requests::{RequestStatus, Requests};
use crate::table::{RowId, Table, TenantId};

/// Time for which unused quota accumulates: short bursts count as within the quota.
const BURST_S: f64 = 4.0;
/// Time for which an unused rate limit accumulates.
const SHARED_BURST_S: f64 = 0.2;
/// Ratio of the enforced quota to the configured one: counts differ between dispatchers, and rejecting a
/// request within its quota costs more than admitting one over it.
const QUOTA_SLACK: f64 = 1.3;
/// Fraction of its quota that a tenant within its quota typically uses.
const TYPICAL_QUOTA_UTILIZATION: f64 = 0.75;
/// Rate limit that is treated as unlimited, in requests per second.
const MAX_RATE_PER_S: f64 = 1e6;
/// Quota used if the settings list no tenants, in requests per second.
const UNLIMITED_PER_S: f64 = 1e9;

/// Queues and token bucket of a tenant.
struct TenantQueue {
    queue: RequestQueue,
    /// Retries by clients, which are worth less than first requests.
    retries: RequestQueue,
    tokens: f64,
    /// This dispatcher's share of the quota, in requests per second.
    quota_per_s: f64,
    /// Smoothed rate of received requests, per second.
    rate_per_s: f64,
    /// Number of requests received in the current period.
    received: f64,
}

impl Default for TenantQueue {
    fn default() -> Self {
        TenantQueue {
            queue: RequestQueue::default(),
            retries: RequestQueue::default(),
            tokens: 1.0,
            quota_per_s: 0.0,
            rate_per_s: 0.0,
            received: 0.0,
        }
    }
}

/// Tenants' queues, and the token buckets that admit requests from them.
pub struct Admission {
    tenants: Table<TenantId, TenantQueue>,
    /// The tenant last tried for requests over the quotas.
    last_tenant: usize,
    /// Tokens of the shared bucket, refilled at the rate limit.
    tokens: f64,
    refilled_at: Micros,
}

impl Admission {
    /// Creates an admission state without tenants.
    pub fn new(now: Micros) -> Admission {
        Admission { tenants: Table::default(), last_tenant: 0, tokens: 1.0, refilled_at: now }
    }

    /// Adds queues until there are this many tenants.
    pub fn resize(&mut self, tenants: usize) {
        self.tenants.grow_to(TenantId::new(tenants.max(1) - 1), TenantQueue::default);
    }

    /// Returns the number of tenants, at least one.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the tenants' request rates at this dispatcher, per second.
    pub fn rates(&self) -> impl Iterator<Item = f64> + '_ {
        self.tenants.rows().iter().map(|tenant| tenant.rate_per_s)
    }

    /// Queues a received request.
    pub fn enqueue(&mut self, tenant: TenantId, id: RequestId, requests: &Requests) {
        let tenant = &mut self.tenants[tenant];
        tenant.queue.push(id, |id| requests.is_queued(id));
        tenant.received += 1.0;
    }

    /// Queues a client's retry behind all first requests. It does not count towards the tenant's rate.
    pub fn enqueue_retry(&mut self, tenant: TenantId, id: RequestId, requests: &Requests) {
        self.tenants[tenant].retries.push(id, |id| requests.is_queued(id));
    }

    /// Returns whether any request other than a client's retry is queued.
    pub fn any_queued(&self) -> bool {
        self.tenants.rows().iter().any(|tenant| !tenant.queue.is_empty())
    }

    /// Ends a period and updates the estimated rates.
    pub fn end_period(&mut self, gain: f64) {
        for tenant in self.tenants.rows_mut() {
            tenant.rate_per_s += gain * (std::mem::take(&mut tenant.received) - tenant.rate_per_s);
        }
    }

    /// Admits requests: first within the tenants' quotas, then over them, evenly among tenants and up to the
    /// rate limit, unless the fleet is saturated. What one tenant does not use, others may.
    pub fn admit(&mut self, now: Micros, limit_per_s: f64, saturated: bool, requests: &mut Requests) {
        let quota_scale = self.refill(now, limit_per_s);
        let limit_per_s = limit_per_s.min(MAX_RATE_PER_S);
        for tenant in self.tenants.ids() {
            // Retries are only admitted if the tenant has much of its quota left; otherwise first requests
            // take precedence.
            let retry_threshold = (self.tenants[tenant].quota_per_s * quota_scale * BURST_S + 2.0) / 2.0;
            while self.tenants[tenant].tokens >= 1.0 {
                let allow_retries = self.tenants[tenant].tokens >= retry_threshold;
                if !self.admit_one(tenant, true, allow_retries, now, requests) {
                    break;
                }
                self.tenants[tenant].tokens -= 1.0;
                self.tokens = (self.tokens - 1.0).max(-limit_per_s);
            }
        }
        if !saturated {
            self.admit_over_quota(now, requests);
        }
    }

    /// Refills the buckets, and returns the fraction of the quotas that the rate limit allows.
    fn refill(&mut self, now: Micros, limit_per_s: f64) -> f64 {
        let elapsed_s = (now - self.refilled_at) as f64 / SECOND as f64;
        self.refilled_at = now;
        let quotas: f64 = self.tenants.rows().iter().map(|tenant| tenant.quota_per_s).sum();
        let quota_scale = if limit_per_s < quotas { limit_per_s / quotas } else { 1.0 };
        for tenant in self.tenants.rows_mut() {
            let rate = tenant.quota_per_s * quota_scale;
            tenant.tokens = (tenant.tokens + rate * elapsed_s).min(rate * BURST_S + 2.0);
        }
        let limit_per_s = limit_per_s.min(MAX_RATE_PER_S);
        self.tokens = (self.tokens + limit_per_s * elapsed_s).min(limit_per_s * SHARED_BURST_S + 1.0);
        quota_scale
    }

    fn admit_over_quota(&mut self, now: Micros, requests: &mut Requests) {
        let tenants = self.tenants.len();
        let mut skipped = 0;
        while self.tokens >= 1.0 && skipped < tenants && !requests.any_waiting_over_quota() {
            self.last_tenant = (self.last_tenant + 1) % tenants;
            skipped += 1;
            if self.admit_one(TenantId::new(self.last_tenant), false, true, now, requests) {
                self.tokens -= 1.0;
                skipped = 0;
            }
        }
    }

    fn admit_one(
        &mut self,
        tenant: TenantId,
        within_quota: bool,
        allow_retries: bool,
        now: Micros,
        requests: &mut Requests,
    ) -> bool {
        let tenant = &mut self.tenants[tenant];
        loop {
            let retry =
                |tenant: &mut TenantQueue| if allow_retries { tenant.retries.pop_newest() } else { None };
            let Some(id) = tenant.queue.pop_newest().or_else(|| retry(tenant)) else { return false };
            let queued = requests.get_mut(id).filter(|request| request.status == RequestStatus::Queued);
            let Some(request) = queued else { continue };
            request.admitted_at = now;
            request.within_quota = within_quota;
            requests.mark_waiting(id);
            return true;
        }
    }

    /// Sets this dispatcher's shares of the quotas, which apply to all dispatchers together: the fraction of
    /// each tenant's requests that arrives here, according to peer reports. Without reports, the share of the
    /// median tenant is used, which a tenant far over its quota does not distort.
    pub fn set_quotas(&mut self, settings: &Settings, gossip: &mut Gossip, rates_are_new: bool, now: Micros) {
        if settings.tenants.is_empty() {
            self.tenants[TenantId::default()].quota_per_s = UNLIMITED_PER_S;
            return;
        }
        let equal_share = 1.0 / f64::from(settings.dispatchers.max(1));
        let mut quota_shares = self.quota_utilizations(settings);
        quota_shares.sort_by(f64::total_cmp);
        let median = if quota_shares.is_empty() || rates_are_new {
            equal_share
        } else {
            quota_shares[quota_shares.len() / 2] / TYPICAL_QUOTA_UTILIZATION
        };
        gossip.expire(now);
        let ids = self.tenants.ids();
        for id in ids {
            let Some(quota) = settings.tenant(id) else { break };
            let tenant = &mut self.tenants[id];
            let rate_at_others = gossip.rate_at_others(id.position(), settings);
            let reported = tenant.rate_per_s / (tenant.rate_per_s + rate_at_others).max(1e-9);
            let share =
                if gossip.is_empty() || rates_are_new { median.clamp(equal_share, 1.0) } else { reported };
            tenant.quota_per_s = QUOTA_SLACK * quota.quota_per_s * share;
        }
    }

    /// Returns the ratio of the local rate to the quota, for the tenants that have a quota.
    fn quota_utilizations(&self, settings: &Settings) -> Vec<f64> {
        let tenants = settings.tenants.iter().zip(self.tenants.rows());
        let with_quota = tenants.filter(|(settings, _)| settings.quota_per_s > 0.0);
        with_quota.map(|(settings, tenant)| tenant.rate_per_s / settings.quota_per_s).collect()
    }
}
