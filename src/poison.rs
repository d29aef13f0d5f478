//! Poison requests: requests that fail at every worker, or break their workers' connections.
//!
//! Failures are attributed to what requests share: a key, a class or a tenant. Where requests that share it
//! failed at several workers and none was served since, while others were, they are quarantined: answered at
//! once, but for single probes. The cost is that a rare key that was lost beside a poisonous one waits for
//! its probe.

use crate::api::{Micros, SECOND};
use crate::outlier::{MAX_FAILURES, PROBE_INTERVAL};
use crate::requests::RequestState;
use crate::table::{ClassId, TenantId, WorkerIndex};
use std::collections::BTreeMap;

/// What requests may share that fail alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Attribute {
    /// The key of the data that they need.
    AffinityKey(u64),
    /// Their class.
    Class(ClassId),
    /// Their tenant.
    Tenant(TenantId),
}

impl Attribute {
    /// The attributes of a request.
    pub fn of(request: &RequestState) -> impl Iterator<Item = Attribute> {
        let key = Some(request.affinity_key).filter(|key| *key != 0).map(Attribute::AffinityKey);
        key.into_iter().chain(Attribute::shared_by_many(request))
    }

    /// Its class and its tenant.
    pub fn shared_by_many(request: &RequestState) -> impl Iterator<Item = Attribute> {
        [Attribute::Class(request.class), Attribute::Tenant(request.tenant)].into_iter()
    }

    fn is_key(self) -> bool {
        matches!(self, Attribute::AffinityKey(_))
    }
}

/// Attributes that are remembered at most.
const MAX_RECORDS: usize = 4096;
/// Time for which an attribute is remembered.
const RECORD_LIFETIME: Micros = 30 * SECOND;
/// Time for which a served request speaks for those with its key that break connections.
const SERVED_LATELY: Micros = 10 * SECOND;
/// Failures within this time count as one, for a class or tenant.
const ONE_INCIDENT: Micros = PROBE_INTERVAL;
/// Failures in a row that make a class or tenant suspect, and workers at which they must have occurred: more
/// than this.
const MIN_FAILURES: u32 = 6;
const MIN_WORKERS: u32 = 2;
/// First and longest wait between probes after an error.
const PROBE_WAIT: (Micros, Micros) = (PROBE_INTERVAL, PROBE_INTERVAL << MAX_FAILURES);
/// First and longest wait between probes after a lost connection.
const CRASH_PROBE_WAIT: (Micros, Micros) = (5 * SECOND, 10 * SECOND);

/// Failures of requests with one attribute since the last that was served.
#[derive(Default)]
struct Record {
    /// Failures in a row.
    failures: u32,
    last_worker: WorkerIndex,
    /// How often the worker was another one than at the failure before.
    workers: u32,
    failed_at: Micros,
    /// When the last request was sent that was served.
    served_at: Micros,
    probe_at: Micros,
    /// Wait between probes; 0 where they are not quarantined.
    probe_wait: Micros,
}

/// Failures by attribute.
#[derive(Default)]
pub struct PoisonDetector {
    records: BTreeMap<Attribute, Record>,
}

impl PoisonDetector {
    /// Records that a request failed at a worker. Returns whether its attributes are to blame, so that the
    /// worker is not.
    pub fn record_failure(
        &mut self,
        request: &RequestState,
        worker: WorkerIndex,
        crashed: bool,
        others_served: bool,
        now: Micros,
    ) -> bool {
        let mut is_poison = false;
        for attribute in Attribute::of(request) {
            let Some(record) = self.record(attribute) else { continue };
            if !record.is_separate(attribute, worker, now) {
                continue;
            }
            record.workers += u32::from(record.workers == 0 || record.last_worker != worker);
            (record.failures, record.last_worker, record.failed_at) = (record.failures + 1, worker, now);
            if record.is_suspect(attribute, crashed, others_served, now) {
                is_poison = true;
                record.quarantine(crashed, now);
            }
        }
        is_poison
    }

    /// Records that a request that was sent then has been served.
    pub fn record_success(&mut self, request: &RequestState, sent_at: Micros) {
        for attribute in Attribute::of(request) {
            if let Some(record) = self.record(attribute).filter(|record| record.failed_at <= sent_at) {
                *record = Record { served_at: sent_at, ..Record::default() };
            }
        }
    }

    /// Whether a request is answered without being sent. Where a probe is due it is not, and counts as the
    /// probe. One lost connection may be chance: a request that was sent before goes on until its attributes
    /// failed at another worker.
    pub fn is_quarantined(&mut self, request: &RequestState, now: Micros) -> bool {
        let mut quarantined = false;
        for attribute in Attribute::of(request) {
            let Some(record) = self.records.get_mut(&attribute) else { continue };
            if record.probe_wait == 0 || (request.attempts > 0 && record.workers <= 1) {
                continue;
            }
            quarantined |= now < record.probe_at;
            if !quarantined {
                record.probe_at = now + record.probe_wait;
            }
        }
        quarantined
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Micros) {
        self.records.retain(|_, record| now < record.failed_at.max(record.served_at) + RECORD_LIFETIME);
    }

    fn record(&mut self, attribute: Attribute) -> Option<&mut Record> {
        let is_full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&attribute);
        if is_full {
            return None;
        }
        Some(self.records.entry(attribute).or_default())
    }
}

impl Record {
    /// Whether a failure counts beside the last one. Requests lost at one moment are one sign: for a class or
    /// tenant also those at several workers.
    fn is_separate(&self, attribute: Attribute, worker: WorkerIndex, now: Micros) -> bool {
        if attribute.is_key() {
            self.failed_at < now || self.last_worker != worker
        } else {
            self.failed_at + ONE_INCIDENT < now
        }
    }

    fn is_suspect(&self, attribute: Attribute, crashed: bool, others_served: bool, now: Micros) -> bool {
        if attribute.is_key() {
            let served_lately = self.served_at != 0 && now <= self.served_at + SERVED_LATELY;
            self.workers > 1 || crashed && !served_lately
        } else {
            self.failures >= MIN_FAILURES && self.workers > MIN_WORKERS && others_served
        }
    }

    fn quarantine(&mut self, crashed: bool, now: Micros) {
        let (first, longest) = if crashed { CRASH_PROBE_WAIT } else { PROBE_WAIT };
        self.probe_wait = (self.probe_wait * 2).clamp(first, longest);
        self.probe_at = now + self.probe_wait;
    }
}
