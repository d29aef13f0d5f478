//! Admission: which requests leave their tenants' queues, and in which order.
//!
//! Each tenant has a token bucket that its quota fills; the rate limit fills one more for requests over the
//! quotas. Within a tenant the newest request comes first: where a queue forms, its oldest requests have no
//! time left to be of use.

use crate::api::{Micros, RequestId, Settings, SECOND};
use crate::gossip::Gossip;
use crate::requests::{Phase, Requests};
use crate::table::{RowId, Table, TenantId};
use std::collections::VecDeque;

/// Time for which unused quota is kept: short bursts are within the quota.
const BURST_S: f64 = 4.0;
/// Time for which an unused rate limit is kept.
const SHARED_BURST_S: f64 = 0.2;
/// Quota used over quota stated: counts differ between dispatchers, and a rejected request within it costs
/// more.
const QUOTA_SLACK: f64 = 1.3;
/// The part of its quota that a tenant within it uses.
const TYPICAL_QUOTA_USE: f64 = 0.75;
/// The rate limit that counts as none, in requests a second.
const MAX_RATE_PER_S: f64 = 1e6;
/// Quota where the settings name no tenant, in requests a second.
const UNLIMITED_PER_S: f64 = 1e9;

/// Queue and token bucket of a tenant.
struct TenantQueue {
    queue: VecDeque<RequestId>,
    /// Clients' retries, which are worth less.
    retries: VecDeque<RequestId>,
    tokens: f64,
    /// This dispatcher's part of the quota, in requests a second.
    quota_per_s: f64,
    /// Requests received in a second, smoothed.
    rate_per_s: f64,
    /// Requests received in this period.
    received: f64,
}

impl Default for TenantQueue {
    fn default() -> Self {
        TenantQueue {
            queue: VecDeque::new(),
            retries: VecDeque::new(),
            tokens: 1.0,
            quota_per_s: 0.0,
            rate_per_s: 0.0,
            received: 0.0,
        }
    }
}

/// Tenants' queues and the buckets that let requests out of them.
pub struct Admission {
    tenants: Table<TenantId, TenantQueue>,
    /// The tenant that was last looked at for requests over the quotas.
    turn: usize,
    /// Tokens of the rate limit.
    tokens: f64,
    filled_at: Micros,
}

impl Admission {
    /// Empty queues of one tenant.
    pub fn new(now: Micros) -> Admission {
        Admission { tenants: Table::default(), turn: 0, tokens: 1.0, filled_at: now }
    }

    /// Provides for this many tenants.
    pub fn resize(&mut self, tenants: usize) {
        self.tenants.grow_to(TenantId::new(tenants.max(1) - 1), TenantQueue::default);
    }

    /// Number of tenants, at least one.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Tenants' rates here, in requests a second.
    pub fn rates(&self) -> impl Iterator<Item = f64> + '_ {
        self.tenants.rows().iter().map(|tenant| tenant.rate_per_s)
    }

    /// Queues a request that was received.
    pub fn enqueue(&mut self, tenant: TenantId, id: RequestId) {
        let tenant = &mut self.tenants[tenant];
        tenant.queue.push_back(id);
        tenant.received += 1.0;
    }

    /// Queues a client's retry behind all first requests. It does not count as offered.
    pub fn enqueue_retry(&mut self, tenant: TenantId, id: RequestId) {
        self.tenants[tenant].retries.push_back(id);
    }

    /// Whether a request is queued that is no client's retry.
    pub fn any_queued(&self) -> bool {
        self.tenants.rows().iter().any(|tenant| !tenant.queue.is_empty())
    }

    /// Ends a period of the rates' estimates.
    pub fn end_period(&mut self, gain: f64) {
        for tenant in self.tenants.rows_mut() {
            tenant.rate_per_s += gain * (std::mem::take(&mut tenant.received) - tenant.rate_per_s);
        }
    }

    /// Admits requests: first within the tenants' quotas, then, unless the fleet is saturated, over them,
    /// evenly among tenants, up to the rate limit. What one tenant leaves, others use.
    pub fn admit(&mut self, now: Micros, limit_per_s: f64, saturated: bool, requests: &mut Requests) {
        let quota_part = self.refill(now, limit_per_s);
        let limit_per_s = limit_per_s.min(MAX_RATE_PER_S);
        for tenant in self.tenants.ids() {
            // A retry is admitted where the tenant leaves much of its quota: else first requests come first.
            let half = (self.tenants[tenant].quota_per_s * quota_part * BURST_S + 2.0) / 2.0;
            while self.tenants[tenant].tokens >= 1.0 {
                let retries = self.tenants[tenant].tokens >= half;
                if !self.admit_one(tenant, true, retries, now, requests) {
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

    /// Fills the buckets, and returns the part of the quotas that the rate limit allows.
    fn refill(&mut self, now: Micros, limit_per_s: f64) -> f64 {
        let elapsed_s = (now - self.filled_at) as f64 / SECOND as f64;
        self.filled_at = now;
        let quotas: f64 = self.tenants.rows().iter().map(|tenant| tenant.quota_per_s).sum();
        let quota_part = if limit_per_s < quotas { limit_per_s / quotas } else { 1.0 };
        for tenant in self.tenants.rows_mut() {
            let rate = tenant.quota_per_s * quota_part;
            tenant.tokens = (tenant.tokens + rate * elapsed_s).min(rate * BURST_S + 2.0);
        }
        let limit_per_s = limit_per_s.min(MAX_RATE_PER_S);
        self.tokens = (self.tokens + limit_per_s * elapsed_s).min(limit_per_s * SHARED_BURST_S + 1.0);
        quota_part
    }

    fn admit_over_quota(&mut self, now: Micros, requests: &mut Requests) {
        let tenants = self.tenants.len();
        let mut idle = 0;
        while self.tokens >= 1.0 && idle < tenants && !requests.any_waiting_over_quota() {
            self.turn = (self.turn + 1) % tenants;
            idle += 1;
            if self.admit_one(TenantId::new(self.turn), false, true, now, requests) {
                self.tokens -= 1.0;
                idle = 0;
            }
        }
    }

    fn admit_one(
        &mut self,
        tenant: TenantId,
        within_quota: bool,
        retries: bool,
        now: Micros,
        requests: &mut Requests,
    ) -> bool {
        let tenant = &mut self.tenants[tenant];
        loop {
            let retry = |tenant: &mut TenantQueue| if retries { tenant.retries.pop_back() } else { None };
            let Some(id) = tenant.queue.pop_back().or_else(|| retry(tenant)) else { return false };
            let queued = requests.get_mut(id).filter(|request| request.phase == Phase::Queued);
            let Some(request) = queued else { continue };
            request.admitted_at = now;
            request.within_quota = within_quota;
            requests.wait(id);
            return true;
        }
    }

    /// Sets this dispatcher's parts of the quotas, which hold for all dispatchers together: the part of each
    /// tenant's requests that comes here, as peers report. Without reports it is the part of the median
    /// tenant, which one far over its quota does not move.
    pub fn set_quotas(&mut self, settings: &Settings, gossip: &mut Gossip, is_new: bool, now: Micros) {
        if settings.tenants.is_empty() {
            self.tenants[TenantId::default()].quota_per_s = UNLIMITED_PER_S;
            return;
        }
        let even = 1.0 / f64::from(settings.dispatchers.max(1));
        let mut parts = self.quota_uses(settings);
        parts.sort_by(f64::total_cmp);
        let median =
            if parts.is_empty() || is_new { even } else { parts[parts.len() / 2] / TYPICAL_QUOTA_USE };
        gossip.expire(now);
        let ids = self.tenants.ids();
        for id in ids {
            let Some(quota) = settings.tenant(id) else { break };
            let tenant = &mut self.tenants[id];
            let elsewhere = gossip.rate_elsewhere(id.position(), settings);
            let reported = tenant.rate_per_s / (tenant.rate_per_s + elsewhere).max(1e-9);
            let part = if gossip.is_empty() || is_new { median.clamp(even, 1.0) } else { reported };
            tenant.quota_per_s = QUOTA_SLACK * quota.quota_per_s * part;
        }
    }

    /// Rates here over quotas, of the tenants that have one.
    fn quota_uses(&self, settings: &Settings) -> Vec<f64> {
        let tenants = settings.tenants.iter().zip(self.tenants.rows());
        let with_quota = tenants.filter(|(settings, _)| settings.quota_per_s > 0.0);
        with_quota.map(|(settings, tenant)| tenant.rate_per_s / settings.quota_per_s).collect()
    }
}
