//! Slow start: limits the requests that all dispatchers together send to a worker that is warming up.
//!
//! A worker that has just started has only a part of its capacity, and fails when it is sent more than a
//! multiple of that within a window ([`Rules::overload_multiple`], [`Rules::overload_window_us`]).
//! Dispatchers share no state, so the budget is divided by time: the worker's age is divided into time slots,
//! and each slot is owned by as many dispatchers as its budget allows requests. The owners follow from the
//! worker's id, the slot number and the dispatcher's ordinal, so all dispatchers agree without messages.
//!
//! - The budget counts work, not requests. A request of several times the mean work may be sent in
//!   correspondingly fewer slots, and one that would take a large part of the budget by itself is not sent
//!   until the worker has more capacity.
//! - Unused slots expire: no budget is saved up, regardless of earlier traffic.
//! - A dispatcher uses no slot that began before its own start, so that after a restart it can't use a slot
//!   twice.
//! - The algorithm is the same for any number of dispatchers. A single one owns all slots; of a thousand,
//!   each owns few.
//! - If dispatchers disagree on their number or on the worker's capacity, their slots are effectively random:
//!   the total is then Poisson distributed with the same mean.

use crate::api::{Micros, Rules, Settings, WorkerId};
use crate::rng::{mix, unit_hash};

/// Time slots per overload window. A window that begins within a slot overlaps one more.
const SLOTS_PER_OVERLOAD_WINDOW: Micros = 3;
/// Minimum length of a time slot, for rules without an overload window.
const MIN_SLOT_US: Micros = 50_000;
/// Lower bound of the mean work of a request.
const MIN_MEAN_WORK_S: f64 = 0.001;
/// Fraction of the allowed requests that is used at a capacity of zero.
const COLD_BUDGET_RATIO: f64 = 0.45;
/// Additional fraction at full capacity, where the total work of many requests varies less. It grows in
/// proportion to the capacity.
const WARM_UP_BUDGET_RATIO: f64 = 0.25;
/// Maximum size of a request, as a fraction of the work that makes the worker fail within the overload
/// window, so that a few simultaneous ones stay below it.
const MAX_REQUEST_RATIO: f64 = 0.25;
/// Steps of low-discrepancy sequences (from the golden ratio and the square root of 2).
const OWNER_STEP: f64 = 0.618_033_988_749_894_9;
const PHASE_STEP: f64 = 0.414_213_562_373_095_1;

/// A dispatcher among all those that send to the same workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    /// Its ordinal, from 0.
    pub ordinal: u32,
    /// Number of dispatchers.
    pub count: u32,
    /// Its start time, by the same clock as workers' start times.
    pub started_at: Micros,
}

impl Sender {
    /// This dispatcher, according to its settings.
    pub fn of(settings: &Settings, started_at: Micros) -> Sender {
        Sender { ordinal: settings.ordinal, count: settings.senders(), started_at }
    }
}

/// One dispatcher's estimate of the capacity of all workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetCapacity {
    /// Requests per second that were served for this dispatcher.
    pub served_per_s: f64,
    /// Mean work of a request, in seconds on a standard core.
    pub mean_work_s: f64,
    /// Sum of the workers' weights.
    pub total_weight: f64,
}

impl FleetCapacity {
    /// Capacity of a warm worker of this weight, in requests per second.
    ///
    /// The sum of the quotas is taken as the fleet's capacity, since it is the same at all dispatchers.
    /// Without quotas, live weights count standard cores; otherwise all dispatchers are assumed to be served
    /// as much as this one.
    pub fn worker_capacity_per_s(&self, settings: &Settings, weight: f64) -> f64 {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        if quotas > 0.0 {
            return quotas * weight / self.total_weight.max(f64::EPSILON);
        }
        if settings.live_weights {
            return weight / self.mean_work_s.max(MIN_MEAN_WORK_S);
        }
        let served = self.served_per_s * f64::from(settings.senders());
        served * weight / self.total_weight.max(f64::EPSILON)
    }
}

/// The start of a worker that may be warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerStart {
    /// The worker.
    pub worker: WorkerId,
    /// Its start time; 0 for long ago.
    pub started_at: Micros,
    /// Its capacity once it is warm, in requests per second.
    pub capacity_per_s: f64,
}

/// Number of requests sent to a worker in the last time slot used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    slot: u64,
    requests: u32,
}

/// Lower bound of a worker's current capacity as a fraction of its full capacity: grows from the rules'
/// `cold_capacity_ratio` to 1 after its start.
pub fn capacity_ratio(rules: &Rules, started_at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(started_at);
    if started_at == 0 || age >= rules.warm_up_us {
        return 1.0;
    }
    let warm_up_progress = age as f64 / rules.warm_up_us as f64;
    rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio).max(0.0) * warm_up_progress
}

/// Whether this dispatcher may send one more request to the worker now. `size` is the request's work relative
/// to the mean.
pub fn may_send(
    rules: &Rules,
    sender: Sender,
    start: WorkerStart,
    used: SlotUsage,
    now: Micros,
    size: f64,
) -> bool {
    if capacity_ratio(rules, start.started_at, now) >= 1.0 {
        return true;
    }
    let slot = slot_number(rules, start.started_at, now);
    let requests_sent = if used.slot == slot { used.requests } else { 0 };
    let slot_started_at = start.started_at + slot * slot_length_us(rules);
    // Small requests count as mean ones, since they cost connections and their work may be underestimated.
    let size = size.max(1.0);
    slot_started_at >= sender.started_at
        && size <= max_request_size(rules, start, slot)
        && requests_sent < requests_in_slot(rules, sender, start, slot, size)
}

impl SlotUsage {
    /// Records a request that was sent to the worker.
    pub fn record(self, rules: &Rules, started_at: Micros, now: Micros) -> SlotUsage {
        let slot = slot_number(rules, started_at, now);
        let requests_before = if self.slot == slot { self.requests } else { 0 };
        SlotUsage { slot, requests: requests_before + 1 }
    }
}

fn slot_length_us(rules: &Rules) -> Micros {
    (rules.overload_window_us / SLOTS_PER_OVERLOAD_WINDOW).max(MIN_SLOT_US)
}

/// Slot number, counted from the worker's start. Slots of workers that start simultaneously are aligned, but
/// have different owners.
fn slot_number(rules: &Rules, started_at: Micros, now: Micros) -> u64 {
    now.saturating_sub(started_at) / slot_length_us(rules)
}

/// Requests of mean work that the rules allow within a time, based on the capacity at the slot's beginning.
fn allowed_requests(rules: &Rules, start: WorkerStart, slot: u64, duration_us: Micros) -> f64 {
    let seconds = duration_us as f64 / 1_000_000.0;
    rules.overload_multiple * start.capacity_per_s * slot_capacity_ratio(rules, start, slot) * seconds
}

fn slot_capacity_ratio(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    capacity_ratio(rules, start.started_at, start.started_at + slot * slot_length_us(rules))
}

/// Requests of mean work that all dispatchers together may send within a slot.
fn slot_budget(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    let budget_ratio = COLD_BUDGET_RATIO + WARM_UP_BUDGET_RATIO * slot_capacity_ratio(rules, start, slot);
    budget_ratio * allowed_requests(rules, start, slot, slot_length_us(rules))
}

/// Maximum work of a request relative to the mean. A mean request is always allowed.
fn max_request_size(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    let window_requests = allowed_requests(rules, start, slot, rules.overload_window_us);
    let overload_requests = window_requests + 2.0 * window_requests.sqrt() + 2.0;
    (MAX_REQUEST_RATIO * overload_requests).max(1.0)
}

/// Number of requests of a size that this dispatcher may send within a slot.
///
/// The dispatchers are placed at distances of 1 on a ring whose length is their number. Those within the
/// slot's budget of its position on the ring may send one request, or more if the budget exceeds the length.
fn requests_in_slot(rules: &Rules, sender: Sender, start: WorkerStart, slot: u64, size: f64) -> u32 {
    let ring_length = f64::from(sender.count.max(1));
    let worker_hash = mix(start.worker.0 ^ mix(start.started_at));
    let first_owner = (unit_hash(worker_hash) + slot as f64 * OWNER_STEP).fract() * ring_length;
    let phase = (unit_hash(worker_hash.wrapping_add(1)) + slot as f64 * PHASE_STEP).fract();
    let distance = (f64::from(sender.ordinal) + first_owner.floor() + phase) % ring_length;
    let request_count = ((slot_budget(rules, start, slot) / size - distance) / ring_length).ceil();
    request_count.clamp(0.0, f64::from(u32::MAX)) as u32
}
