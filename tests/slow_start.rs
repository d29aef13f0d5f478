//! Slow start on its own: what fleets of dispatchers without shared state send in total, in simulated time.

use dispatch_policy::api::{Micros, Rules, Settings, TenantSettings, WorkerId};
use dispatch_policy::slow_start::{capacity_ratio, may_send, FleetCapacity, Sender, SlotUsage, WorkerStart};
use random_numbers::Rng;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const STEP: Micros = 20 * MS;
const SENDER_COUNTS: [u32; 8] = [1, 5, 20, 32, 33, 100, 350, 1024];
const WORKER_COUNT: u64 = 6;

/// Seeded random numbers, so that every run has the same traffic.
mod random_numbers {
    pub struct Rng(pub u64);

    impl Rng {
        /// The next number, at least 0 and less than 1.
        pub fn next_unit(&mut self) -> f64 {
            self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (self.0 >> 11) as f64 / (1u64 << 53) as f64
        }
    }
}

fn rules() -> Rules {
    Rules {
        cold_capacity_ratio: 0.13,
        warm_up_us: 24 * S,
        overload_multiple: 3.0,
        overload_window_us: 3 * S,
        ..Rules::default()
    }
}

/// Probability that a dispatcher has a request for the worker within a step, at a time since the worker's
/// start.
type Traffic = fn(sender: u32, age: Micros) -> f64;

/// Traffic and faults of a fleet.
#[derive(Clone, Copy)]
struct FleetBehavior {
    traffic: Traffic,
    /// Dispatchers learn of the worker's start after a random delay of up to this.
    max_notification_delay: Micros,
    /// When every second dispatcher restarts and loses its record of sent requests.
    restart_at: Option<Micros>,
    /// Maximum relative error of each dispatcher's estimate of the capacity.
    capacity_error: f64,
}

impl FleetBehavior {
    fn with_traffic(traffic: Traffic) -> Self {
        FleetBehavior { traffic, max_notification_delay: 0, restart_at: None, capacity_error: 0.0 }
    }
}

/// When requests of mean work were sent to a worker, in microseconds since its start.
fn sent_times(count: u32, worker: u64, capacity: f64, behavior: FleetBehavior) -> Vec<Micros> {
    let rules = rules();
    let started = 1_000 * S;
    let mut random = Rng(worker * 7919 + u64::from(count));
    let mut senders: Vec<(Sender, WorkerStart, SlotUsage, Micros)> = (0..count)
        .map(|ordinal| {
            let estimate = capacity * (1.0 + behavior.capacity_error * (2.0 * random.next_unit() - 1.0));
            let start =
                WorkerStart { worker: WorkerId(worker), started_at: started, capacity_per_s: estimate };
            let known_after = (random.next_unit() * behavior.max_notification_delay as f64) as Micros;
            (Sender { ordinal, count, started_at: 0 }, start, SlotUsage::default(), known_after)
        })
        .collect();
    let mut sent_at = Vec::new();
    for age in (0..rules.warm_up_us).step_by(STEP as usize) {
        let now = started + age;
        for (sender, start, usage, known_after) in &mut senders {
            if behavior.restart_at == Some(age) && sender.ordinal % 2 == 0 {
                (sender.started_at, *usage) = (now, SlotUsage::default());
            }
            let has_request =
                age >= *known_after && random.next_unit() < (behavior.traffic)(sender.ordinal, age);
            if has_request && may_send(&rules, *sender, *start, *usage, now, 1.0) {
                *usage = usage.record(&rules, start.started_at, now);
                sent_at.push(age);
            }
        }
    }
    sent_at
}

/// Maximum number of requests within any overload window, relative to the number that does not overload the
/// worker.
fn max_window_ratio(sent_at: &[Micros], capacity: f64) -> f64 {
    let rules = rules();
    let recent = |end: Micros| {
        sent_at.iter().filter(|&&at| at <= end && at + rules.overload_window_us > end).count() as f64
    };
    let allowed = |end: Micros| {
        let seconds = rules.overload_window_us as f64 / S as f64;
        let mean_requests = rules.overload_multiple * capacity * capacity_ratio(&rules, S, S + end) * seconds;
        mean_requests + 2.0 * mean_requests.sqrt() + 2.0
    };
    sent_at.iter().map(|&end| recent(end) / allowed(end)).fold(0.0, f64::max)
}

fn constant_traffic(_: u32, _: Micros) -> f64 {
    1.0
}

fn low_traffic(_: u32, _: Micros) -> f64 {
    0.02
}

fn uneven_traffic(sender: u32, _: Micros) -> f64 {
    if sender.is_multiple_of(10) {
        0.5
    } else {
        0.05
    }
}

fn traffic_after_idle(_: u32, age: Micros) -> f64 {
    if age < 12 * S {
        0.0
    } else {
        1.0
    }
}

/// Guards against overload by the sum of all dispatchers: whatever the traffic, no overload window of any
/// worker exceeds the limit.
#[test]
fn all_dispatchers_together_stay_within_the_limit() {
    let steady = FleetBehavior::with_traffic(constant_traffic);
    let behaviors = [
        ("steady", steady),
        ("low", FleetBehavior::with_traffic(low_traffic)),
        ("uneven", FleetBehavior::with_traffic(uneven_traffic)),
        ("after idle time", FleetBehavior::with_traffic(traffic_after_idle)),
        ("start known seconds apart", FleetBehavior { max_notification_delay: 6 * S, ..steady }),
        ("half of them restart", FleetBehavior { restart_at: Some(4 * S + 100 * MS), ..steady }),
        ("capacity estimates differ", FleetBehavior { capacity_error: 0.25, ..steady }),
    ];
    for (name, behavior) in behaviors {
        for count in SENDER_COUNTS {
            for (worker, capacity) in (0..WORKER_COUNT).zip([0.9, 3.0, 9.0].into_iter().cycle()) {
                let ratio = max_window_ratio(&sent_times(count, worker, capacity, behavior), capacity);
                assert!(ratio <= 1.0, "{name}, {count} dispatchers, {capacity}/s: {ratio:.2} of the limit");
            }
        }
    }
}

/// Guards against a worker that stays idle: dispatchers that always have a request use between half and three
/// quarters of its budget, whatever their number.
#[test]
fn budget_use_does_not_depend_on_the_number_of_dispatchers() {
    let rules = rules();
    let capacity = 3.0;
    let mean_capacity_ratio = (rules.cold_capacity_ratio + 1.0) / 2.0;
    let allowed =
        rules.overload_multiple * capacity * mean_capacity_ratio * rules.warm_up_us as f64 / S as f64;
    for count in SENDER_COUNTS {
        let sent = sent_times(count, 1, capacity, FleetBehavior::with_traffic(constant_traffic)).len() as f64;
        assert!((0.5..0.75).contains(&(sent / allowed)), "{count} dispatchers: {sent} of {allowed}");
    }
}

/// Guards against saving up unused slots: the first window after an idle time gets no more requests than
/// without it.
#[test]
fn unused_slots_expire() {
    let first_window_count =
        |sent_at: &[Micros]| sent_at.iter().filter(|&&at| (12 * S..15 * S).contains(&at)).count();
    for count in SENDER_COUNTS {
        let steady =
            first_window_count(&sent_times(count, 3, 5.0, FleetBehavior::with_traffic(constant_traffic)));
        let after_idle =
            first_window_count(&sent_times(count, 3, 5.0, FleetBehavior::with_traffic(traffic_after_idle)));
        assert!(
            after_idle <= steady + 1,
            "{count} dispatchers: {after_idle} after idle time, {steady} without"
        );
    }
}

/// Guards against a restarted process, which has lost its record of sent requests: it uses no slot that began
/// before its start.
#[test]
fn a_restarted_dispatcher_waits_for_its_next_slot() {
    let rules = rules();
    let start = WorkerStart { worker: WorkerId(1), started_at: 10 * S, capacity_per_s: 20.0 };
    let now = start.started_at + rules.overload_window_us / 3 + 500 * MS; // in the middle of the second slot
    let sender = |started_at| Sender { ordinal: 0, count: 1, started_at };
    assert!(may_send(&rules, sender(0), start, SlotUsage::default(), now, 1.0));
    assert!(!may_send(&rules, sender(now - MS), start, SlotUsage::default(), now, 1.0));
    assert!(
        may_send(&rules, sender(now - MS), start, SlotUsage::default(), now + S, 1.0),
        "in the next slot"
    );
}

/// Guards against one request with the work of many: the larger it is, the fewer slots it may use, and none
/// while it would take a large part of the budget by itself.
#[test]
fn a_request_of_many_times_the_mean_work_waits_for_a_warmer_worker() {
    let rules = rules();
    let start = WorkerStart { worker: WorkerId(1), started_at: 10 * S, capacity_per_s: 20.0 };
    let cold_owners = |size: f64| {
        let mut owners = 0;
        for (worker, slot, ordinal) in (0..10).flat_map(|worker| {
            (0..3).flat_map(move |slot| (0..40).map(move |ordinal| (worker, slot, ordinal)))
        }) {
            let start = WorkerStart { worker: WorkerId(worker), ..start };
            let sender = Sender { ordinal, count: 40, started_at: 0 };
            owners += u32::from(may_send(
                &rules,
                sender,
                start,
                SlotUsage::default(),
                start.started_at + slot * S,
                size,
            ));
        }
        owners
    };
    assert!(cold_owners(1.0) > 100);
    assert_eq!(cold_owners(14.0), 0, "over a quarter of the work that overloads it");
    let warm_slots = |size: f64| {
        let owned_slots = |ordinal| {
            let sender = Sender { ordinal, count: 40, started_at: 0 };
            (12..22)
                .filter(|slot| {
                    may_send(&rules, sender, start, SlotUsage::default(), start.started_at + slot * S, size)
                })
                .count()
        };
        (0..40).map(owned_slots).sum::<usize>() as f64
    };
    let (mean, large) = (warm_slots(1.0), warm_slots(5.0));
    assert!(
        (3.5..6.5).contains(&(mean / large)),
        "{mean} slots for a mean request, {large} for one of five times the work"
    );
}

/// Guards against a budget that depends on the requests served recently: quotas determine it where there are
/// any, so that a fleet that serves nothing still warms up its workers.
#[test]
fn quotas_determine_a_workers_capacity() {
    let fleet = FleetCapacity { served_per_s: 0.0, mean_work_s: 1.0, total_weight: 8.0 };
    let tenants = vec![TenantSettings { quota_per_s: 20.0, share: 0.5 }; 2];
    let settings = Settings { tenants, dispatchers: 300, ..Settings::default() };
    assert_eq!(fleet.worker_capacity_per_s(&settings, 2.0), 10.0);
    let without = Settings { dispatchers: 300, ..Settings::default() };
    assert_eq!(fleet.worker_capacity_per_s(&without, 2.0), 0.0);
    assert_eq!(
        FleetCapacity { served_per_s: 0.1, ..fleet }.worker_capacity_per_s(&without, 2.0),
        7.5,
        "each of 300 dispatchers is served as much"
    );
    let live = Settings { live_weights: true, ..without };
    assert_eq!(
        FleetCapacity { mean_work_s: 0.5, ..fleet }.worker_capacity_per_s(&live, 2.0),
        4.0,
        "weights count standard cores"
    );
}
