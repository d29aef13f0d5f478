//! Exchange of tenants' request rates between dispatchers.
//!
//! A peer message has two bytes per tenant: its rate at the sender, in units of 1/64 request per second, in
//! big-endian order.

use crate::admission::Admission;
use crate::api::{Action, Micros, Settings, SECOND};
use crate::rng::Rng;
use std::collections::BTreeMap;

/// Maximum cost of peer messages, as a fraction of the requests' value.
const MAX_COST_RATIO: f64 = 0.001;
/// Maximum number of recipients in a period.
const MAX_RECIPIENTS: u32 = 16;
/// Message size, in bytes, that the configured price applies to.
const PRICED_BYTES: f64 = 256.0;
/// Maximum number of tenants in a message.
const MAX_TENANTS: usize = 128;
/// Units per request per second in an encoded rate.
const RATE_SCALE: f64 = 64.0;
/// Age at which a report expires.
const REPORT_LIFETIME: Micros = 20 * SECOND;

struct Report {
    received_at: Micros,
    /// Requests per second, by tenant.
    rates: Vec<f64>,
}

/// The latest report of each dispatcher, by its ordinal.
#[derive(Default)]
pub struct Gossip {
    reports: BTreeMap<u32, Report>,
}

impl Gossip {
    /// Processes a message from another dispatcher. Malformed messages and unknown ordinals are ignored.
    pub fn receive(&mut self, from: u32, message: &[u8], tenants: usize, settings: &Settings, now: Micros) {
        if from >= settings.dispatchers || message.len() != 2 * tenants.min(MAX_TENANTS) {
            return;
        }
        self.reports.insert(from, Report { received_at: now, rates: decode(message) });
    }

    /// Removes all reports, for when ordinals are reassigned to other dispatchers.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now - report.received_at < REPORT_LIFETIME);
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Estimates a tenant's total rate at all other dispatchers.
    pub fn rate_at_others(&self, tenant: usize, settings: &Settings) -> f64 {
        let reported: f64 = self.reports.values().filter_map(|report| report.rates.get(tenant)).sum();
        let others = f64::from(settings.dispatchers.max(1) - 1);
        reported / self.reports.len().max(1) as f64 * others
    }

    /// Sends the local rates to a few other dispatchers. All dispatchers send the same number of messages, so
    /// each one receives an unbiased sample.
    pub fn publish(settings: &Settings, admission: &Admission, rng: &mut Rng, actions: &mut Vec<Action>) {
        let count = settings.dispatchers;
        if !settings.peer_messages || count < 2 || settings.tenants.is_empty() {
            return;
        }
        let message = encode(admission.rates());
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let mean_rate = quotas / f64::from(count);
        let price = settings.peer_message_price * message.len() as f64 / PRICED_BYTES;
        let recipients = ((MAX_COST_RATIO * mean_rate / price.max(1e-9)) as u32).clamp(1, MAX_RECIPIENTS);
        let first = if recipients < count - 1 { rng.below(u64::from(count - 1)) as u32 } else { 0 };
        for step in 0..recipients.min(count - 1) {
            let to = (settings.ordinal + 1 + (first + step) % (count - 1)) % count;
            actions.push(Action::SendPeerMessage { to, bytes: message.clone() });
        }
    }
}

fn encode(rates: impl Iterator<Item = f64>) -> Vec<u8> {
    let scaled = rates.take(MAX_TENANTS).map(|rate| (rate * RATE_SCALE).min(65535.0) as u16);
    scaled.flat_map(u16::to_be_bytes).collect()
}

fn decode(message: &[u8]) -> Vec<f64> {
    let scaled = message.chunks_exact(2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]));
    scaled.map(|rate| f64::from(rate) / RATE_SCALE).collect()
}
