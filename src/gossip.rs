//! Rates of tenants' requests, exchanged between dispatchers.
//!
//! A message has two bytes for each tenant: its rate at the sender, in 64ths of a request a second, high byte
//! first.

use crate::admission::Admission;
use crate::api::{Action, Micros, Settings, SECOND};
use crate::rng::Rng;
use std::collections::BTreeMap;

/// The part of requests' value that messages may cost.
const MAX_COST: f64 = 0.001;
/// Dispatchers that are sent a message in a period, at most.
const MAX_RECIPIENTS: u32 = 16;
/// Bytes of a message that the price in the settings is for.
const PRICED_BYTES: f64 = 256.0;
/// Tenants in a message, at most.
const MAX_TENANTS: usize = 128;
/// Resolution of a rate in a message: parts of a request a second.
const RATE_SCALE: f64 = 64.0;
/// Age at which a report is dropped.
const REPORT_LIFETIME: Micros = 20 * SECOND;

struct Report {
    received_at: Micros,
    /// Requests a second, by tenant.
    rates: Vec<f64>,
}

/// The last report of each dispatcher that sent one, by its ordinal.
#[derive(Default)]
pub struct Gossip {
    reports: BTreeMap<u32, Report>,
}

impl Gossip {
    /// Takes a message of another dispatcher. One that is malformed, or from an ordinal that is not there, is
    /// ignored.
    pub fn receive(&mut self, from: u32, message: &[u8], tenants: usize, settings: &Settings, now: Micros) {
        if from >= settings.dispatchers || message.len() != 2 * tenants.min(MAX_TENANTS) {
            return;
        }
        self.reports.insert(from, Report { received_at: now, rates: decode(message) });
    }

    /// Drops all reports, as when the ordinals stand for other dispatchers.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now - report.received_at < REPORT_LIFETIME);
    }

    /// Whether no report is left.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Estimate of a tenant's rate at all other dispatchers together.
    pub fn rate_elsewhere(&self, tenant: usize, settings: &Settings) -> f64 {
        let reported: f64 = self.reports.values().filter_map(|report| report.rates.get(tenant)).sum();
        let others = f64::from(settings.dispatchers.max(1) - 1);
        reported / self.reports.len().max(1) as f64 * others
    }

    /// Messages with the rates here, to a few other dispatchers. All dispatchers send as many, so that what
    /// each one hears is a fair sample.
    pub fn publish(settings: &Settings, admission: &Admission, rng: &mut Rng, out: &mut Vec<Action>) {
        let count = settings.dispatchers;
        if !settings.peer_messages || count < 2 || settings.tenants.is_empty() {
            return;
        }
        let message = encode(admission.rates());
        let quotas = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
        let mean_rate = quotas / f64::from(count);
        let price = settings.peer_message_price * message.len() as f64 / PRICED_BYTES;
        let recipients = ((MAX_COST * mean_rate / price.max(1e-9)) as u32).clamp(1, MAX_RECIPIENTS);
        let first = if recipients < count - 1 { rng.below(u64::from(count - 1)) as u32 } else { 0 };
        for step in 0..recipients.min(count - 1) {
            let to = (settings.ordinal + 1 + (first + step) % (count - 1)) % count;
            out.push(Action::SendPeerMessage { to, bytes: message.clone() });
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
