//! Slow start: limits what all dispatchers together send to a worker that has just started.
//!
//! A worker that has just started can do only a part of its work, and fails when it is sent more than a
//! multiple of that within a span ([`Rules::overload_multiple`], [`Rules::overload_window_us`]). Dispatchers
//! share no state, so the budget is divided by time: the worker's age is cut into slots, and each slot
//! belongs to as many dispatchers as the budget of that slot allows requests. Which ones follows from the
//! worker's id, the slot's number and the dispatcher's ordinal alone, so all of them agree without a message.
//!
//! - The rule counts work, not requests. A request of several times the mean is sent in so many times fewer
//!   slots, and one that would be a large part of the budget by itself is not sent until the worker is
//!   warmer.
//! - A slot that its owners leave unused lapses: nothing is saved up, whatever the traffic was before.
//! - A dispatcher uses no slot that began before its own start, so one that has restarted and forgotten what
//!   it sent can't send it again.
//! - The law is the same for any number of dispatchers. One alone owns all slots; of a thousand, each owns
//!   few.
//! - Where dispatchers disagree on their number or on the worker's capacity, their slots fall at random: the
//!   sum then varies as a Poisson count of the same mean.

use crate::api::{Micros, Rules, Settings, WorkerId};
use crate::rng::{mix, unit_hash};

/// Slots in the span in which a worker may fail. A span that begins within a slot touches one more.
const SLOTS_IN_SPAN: Micros = 3;
/// The shortest slot, in microseconds: for rules without a span.
const SHORTEST_SLOT: Micros = 50_000;
/// The least work that a mean request is taken to be, in seconds.
const SHORTEST_WORK: f64 = 0.001;
/// The part of the rule's budget that is used while the worker can do nothing yet ...
const BUDGET_COLD: f64 = 0.45;
/// ... and what more of it is used once it is warm: the sums of many requests vary less.
const BUDGET_WARM: f64 = 0.25;
/// The largest request, as a part of what makes the worker fall within the span: a few that come together
/// stay below.
const LARGEST_REQUEST: f64 = 0.25;
/// Steps of a sequence that fills an interval evenly (the golden ratio, and the square root of 2).
const OWNER_STEP: f64 = 0.618_033_988_749_894_9;
const PHASE_STEP: f64 = 0.414_213_562_373_095_1;

/// Who a dispatcher is among all that send to the same workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sender {
    /// Its number, from 0 on.
    pub ordinal: u32,
    /// How many there are.
    pub count: u32,
    /// When it started, in microseconds of the clock that workers' starts are told in.
    pub started_at: Micros,
}

impl Sender {
    /// This dispatcher, as its settings number it.
    pub fn of(settings: &Settings, started_at: Micros) -> Sender {
        Sender { ordinal: settings.ordinal, count: settings.senders(), started_at }
    }
}

/// What one dispatcher knows of what the fleet of workers can do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetCapacity {
    /// Requests a second that were served here.
    pub served_per_s: f64,
    /// The mean request's work, in seconds of a standard core.
    pub mean_work_s: f64,
    /// Sum of the workers' weights.
    pub total_weight: f64,
}

impl FleetCapacity {
    /// Requests a second that a worker of this size can do once it is warm.
    ///
    /// Quotas are parts of what the whole fleet can do, and the same at all dispatchers. Where there are
    /// none, sizes under live weights are in standard cores; else what is served here stands for as much at
    /// each dispatcher.
    pub fn worker_capacity_per_s(&self, settings: &Settings, size: f64) -> f64 {
        let quotas: f64 = settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum();
        if quotas > 0.0 {
            return quotas * size / self.total_weight.max(f64::EPSILON);
        }
        if settings.live_weights {
            return size / self.mean_work_s.max(SHORTEST_WORK);
        }
        let served = self.served_per_s * f64::from(settings.senders());
        served * size / self.total_weight.max(f64::EPSILON)
    }
}

/// A worker that may be warming up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerStart {
    /// The worker.
    pub worker: WorkerId,
    /// When it started, in microseconds; 0 for long ago.
    pub started_at: Micros,
    /// Requests a second that it can do once it is warm.
    pub capacity_per_s: f64,
}

/// What a dispatcher has used of the newest slot in which it sent to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotUsage {
    slot: u64,
    requests: u32,
}

/// The part of its capacity that a worker surely has that started at `at`, from the rules' least share up to
/// 1.
pub fn capacity_ratio(rules: &Rules, at: Micros, now: Micros) -> f64 {
    let age = now.saturating_sub(at);
    if at == 0 || age >= rules.warm_up_us {
        return 1.0;
    }
    let grown = age as f64 / rules.warm_up_us as f64;
    rules.cold_capacity_ratio + (1.0 - rules.cold_capacity_ratio).max(0.0) * grown
}

/// Whether this dispatcher may send the worker one more request now, whose work is `size` times that of a
/// mean request.
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
    let slot = slot_at(rules, start.started_at, now);
    let sent = if used.slot == slot { used.requests } else { 0 };
    let begins = start.started_at + slot * slot_length(rules);
    // Many small requests cost more than their work: connections, and guesses that err.
    let size = size.max(1.0);
    begins >= sender.started_at
        && size <= largest_request(rules, start, slot)
        && sent < requests_in_slot(rules, sender, start, slot, size)
}

impl SlotUsage {
    /// Counts a request that was sent to the worker.
    pub fn record(self, rules: &Rules, started: Micros, now: Micros) -> SlotUsage {
        let slot = slot_at(rules, started, now);
        let before = if self.slot == slot { self.requests } else { 0 };
        SlotUsage { slot, requests: before + 1 }
    }
}

fn slot_length(rules: &Rules) -> Micros {
    (rules.overload_window_us / SLOTS_IN_SPAN).max(SHORTEST_SLOT)
}

/// The number of the slot, counted from the worker's start. The first slots of two workers that start at once
/// begin at once; which dispatchers own them differs.
fn slot_at(rules: &Rules, started: Micros, now: Micros) -> u64 {
    now.saturating_sub(started) / slot_length(rules)
}

/// What the rule allows the worker within a time, as requests of mean work. The capacity at the slot's
/// beginning counts.
fn allowed(rules: &Rules, start: WorkerStart, slot: u64, time: Micros) -> f64 {
    let seconds = time as f64 / 1_000_000.0;
    rules.overload_multiple * start.capacity_per_s * slot_capacity_ratio(rules, start, slot) * seconds
}

fn slot_capacity_ratio(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    capacity_ratio(rules, start.started_at, start.started_at + slot * slot_length(rules))
}

/// The requests of mean work that all dispatchers together may send within a slot.
fn budget(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    let part = BUDGET_COLD + BUDGET_WARM * slot_capacity_ratio(rules, start, slot);
    part * allowed(rules, start, slot, slot_length(rules))
}

/// The largest request that may be sent, over the mean request's work. A mean request always may.
fn largest_request(rules: &Rules, start: WorkerStart, slot: u64) -> f64 {
    let span = allowed(rules, start, slot, rules.overload_window_us);
    let falls_at = span + 2.0 * span.sqrt() + 2.0;
    (LARGEST_REQUEST * falls_at).max(1.0)
}

/// The requests of this size that this dispatcher may send within a slot.
///
/// All dispatchers stand at distances of 1 on a ring whose length is their number; those that lie within
/// `budget` of the slot's place on it may send one request, or more if the budget goes round more than once.
fn requests_in_slot(rules: &Rules, sender: Sender, start: WorkerStart, slot: u64, size: f64) -> u32 {
    let ring = f64::from(sender.count.max(1));
    let hash = mix(start.worker.0 ^ mix(start.started_at));
    let owner = (unit_hash(hash) + slot as f64 * OWNER_STEP).fract() * ring;
    let phase = (unit_hash(hash.wrapping_add(1)) + slot as f64 * PHASE_STEP).fract();
    let place = (f64::from(sender.ordinal) + owner.floor() + phase) % ring;
    let rounds = ((budget(rules, start, slot) / size - place) / ring).ceil();
    rounds.clamp(0.0, f64::from(u32::MAX)) as u32
}
