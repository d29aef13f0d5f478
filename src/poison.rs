//! Poison requests: requests that fail at every worker, or whose connections are lost at every worker.
//!
//! Failures are attributed to what requests share: a key, a class or a tenant. If requests with a common
//! attribute failed at several workers and none has been served since, while others were, they are
//! quarantined: answered at once, except for single probes. The cost: a rare key that was lost along with a
//! poisonous one must wait for its probe.

use crate::api::{Micros, SECOND};
use crate::outlier::{MAX_FAILURES, PROBE_INTERVAL};
use crate::requests::RequestState;
use crate::table::{ClassId, TenantId, WorkerIndex};
use std::collections::BTreeMap;

/// Attribute that requests with a common failure may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Attribute {
    /// Affinity key of the data that they need.
    AffinityKey(u64),
    /// Class.
    Class(ClassId),
    /// Tenant.
    Tenant(TenantId),
}

impl Attribute {
    /// Returns all attributes of a request.
    pub fn of(request: &RequestState) -> impl Iterator<Item = Attribute> {
        let key = Some(request.affinity_key).filter(|key| *key != 0).map(Attribute::AffinityKey);
        key.into_iter().chain(Attribute::class_and_tenant(request))
    }

    /// Returns the attributes that many requests share.
    pub fn class_and_tenant(request: &RequestState) -> impl Iterator<Item = Attribute> {
        [Attribute::Class(request.class), Attribute::Tenant(request.tenant)].into_iter()
    }

    fn is_key(self) -> bool {
        matches!(self, Attribute::AffinityKey(_))
    }
}

/// Maximum number of attributes tracked.
const MAX_RECORDS: usize = 4096;
/// Time for which an attribute is tracked.
const RECORD_LIFETIME: Micros = 30 * SECOND;
/// Time for which a served request shows that its key does not cause lost connections.
const RECENT_SUCCESS: Micros = 10 * SECOND;
/// For a class or tenant, failures within this time count as one.
const INCIDENT_WINDOW: Micros = PROBE_INTERVAL;
/// For a class or tenant to be suspect: the minimum number of consecutive failures, and the number of worker
/// changes that must be exceeded.
const MIN_FAILURES: u32 = 6;
const MIN_WORKER_CHANGES: u32 = 2;
/// Minimum and maximum intervals between probes after an error.
const PROBE_INTERVALS: (Micros, Micros) = (PROBE_INTERVAL, PROBE_INTERVAL << MAX_FAILURES);
/// Minimum and maximum intervals between probes after a lost connection.
const CONNECTION_LOST_PROBE_INTERVALS: (Micros, Micros) = (5 * SECOND, 10 * SECOND);

/// Consecutive failures of requests with one attribute.
#[derive(Default)]
struct FailureRecord {
    /// Number of failures since the last served request.
    failures: u32,
    last_worker: WorkerIndex,
    /// Number of failures at another worker than the failure before, counting the first failure.
    worker_changes: u32,
    failed_at: Micros,
    /// When the last served request was sent.
    served_at: Micros,
    probe_at: Micros,
    /// Interval between probes; 0 if not quarantined.
    probe_interval: Micros,
}

/// Failure records by attribute.
#[derive(Default)]
pub struct PoisonDetector {
    records: BTreeMap<Attribute, FailureRecord>,
}

impl PoisonDetector {
    /// Records that a request failed at a worker. Returns whether the failure is attributed to the request
    /// rather than the worker.
    pub fn record_failure(
        &mut self,
        request: &RequestState,
        worker: WorkerIndex,
        connection_lost: bool,
        others_served: bool,
        now: Micros,
    ) -> bool {
        let mut is_poison = false;
        for attribute in Attribute::of(request) {
            let Some(record) = self.record_for(attribute) else { continue };
            if !record.is_independent(attribute, worker, now) {
                continue;
            }
            record.worker_changes += u32::from(record.worker_changes == 0 || record.last_worker != worker);
            (record.failures, record.last_worker, record.failed_at) = (record.failures + 1, worker, now);
            if record.is_suspect(attribute, connection_lost, others_served, now) {
                is_poison = true;
                record.quarantine(connection_lost, now);
            }
        }
        is_poison
    }

    /// Records that a request sent at `sent_at` was served.
    pub fn record_success(&mut self, request: &RequestState, sent_at: Micros) {
        for attribute in Attribute::of(request) {
            if let Some(record) = self.record_for(attribute).filter(|record| record.failed_at <= sent_at) {
                *record = FailureRecord { served_at: sent_at, ..FailureRecord::default() };
            }
        }
    }

    /// Returns whether a request is to be answered without being sent. If a probe is due, the request is let
    /// through as the probe. A single lost connection may be coincidence, so a request that was sent before
    /// is retried until its attributes have failed at another worker.
    pub fn is_quarantined(&mut self, request: &RequestState, now: Micros) -> bool {
        let mut quarantined = false;
        for attribute in Attribute::of(request) {
            let Some(record) = self.records.get_mut(&attribute) else { continue };
            if record.probe_interval == 0 || (request.attempts > 0 && record.worker_changes <= 1) {
                continue;
            }
            quarantined |= now < record.probe_at;
            if !quarantined {
                record.probe_at = now + record.probe_interval;
            }
        }
        quarantined
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Micros) {
        self.records.retain(|_, record| now < record.failed_at.max(record.served_at) + RECORD_LIFETIME);
    }

    fn record_for(&mut self, attribute: Attribute) -> Option<&mut FailureRecord> {
        let is_full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&attribute);
        if is_full {
            return None;
        }
        Some(self.records.entry(attribute).or_default())
    }
}

impl FailureRecord {
    /// Returns whether a failure counts separately from the last one. Requests lost at the same time are one
    /// incident; for a class or tenant, even those at several workers.
    fn is_independent(&self, attribute: Attribute, worker: WorkerIndex, now: Micros) -> bool {
        if attribute.is_key() {
            self.failed_at < now || self.last_worker != worker
        } else {
            self.failed_at + INCIDENT_WINDOW < now
        }
    }

    fn is_suspect(
        &self,
        attribute: Attribute,
        connection_lost: bool,
        others_served: bool,
        now: Micros,
    ) -> bool {
        if attribute.is_key() {
            let served_recently = self.served_at != 0 && now <= self.served_at + RECENT_SUCCESS;
            self.worker_changes > 1 || connection_lost && !served_recently
        } else {
            self.failures >= MIN_FAILURES && self.worker_changes > MIN_WORKER_CHANGES && others_served
        }
    }

    fn quarantine(&mut self, connection_lost: bool, now: Micros) {
        let (min_interval, max_interval) =
            if connection_lost { CONNECTION_LOST_PROBE_INTERVALS } else { PROBE_INTERVALS };
        self.probe_interval = (self.probe_interval * 2).clamp(min_interval, max_interval);
        self.probe_at = now + self.probe_interval;
    }
}
