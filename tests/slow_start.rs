//! The limiter of cold workers, alone: what fleets of dispatchers that share nothing send together, in
//! emulated time.

use dispatch_policy::api::{Micros, Rules, Settings, TenantSettings, WorkerId};
use dispatch_policy::slow_start::{capacity_ratio, may_send, FleetCapacity, Sender, SlotUsage, WorkerStart};
use rand_free::Sequence;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const STEP: Micros = 20 * MS;
const SENDERS: [u32; 8] = [1, 5, 20, 32, 33, 100, 350, 1024];
const WORKERS: u64 = 6;

/// Seeded numbers, so that each run sees the same traffic.
mod rand_free {
    pub struct Sequence(pub u64);

    impl Sequence {
        /// The next number, from 0 up to 1.
        pub fn part(&mut self) -> f64 {
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

/// Traffic: the chance that a dispatcher wants to send to a worker within a step, at a time after the start.
type Traffic = fn(sender: u32, age: Micros) -> f64;

/// How a fleet behaves beside its traffic.
#[derive(Clone, Copy)]
struct Behaviour {
    traffic: Traffic,
    /// Dispatchers hear of the start at any time within this.
    told_within: Micros,
    /// Every second dispatcher restarts then and forgets what it sent.
    restart_at: Option<Micros>,
    /// Each dispatcher's guess at the capacity is off by up to this part.
    guess_error: f64,
}

impl Behaviour {
    fn of(traffic: Traffic) -> Self {
        Behaviour { traffic, told_within: 0, restart_at: None, guess_error: 0.0 }
    }
}

/// When a worker was sent jobs of mean work, in microseconds after its start.
fn sends(count: u32, worker: u64, capacity: f64, behaviour: Behaviour) -> Vec<Micros> {
    let rules = rules();
    let started = 1_000 * S;
    let mut random = Sequence(worker * 7919 + u64::from(count));
    let mut senders: Vec<(Sender, WorkerStart, SlotUsage, Micros)> = (0..count)
        .map(|ordinal| {
            let guess = capacity * (1.0 + behaviour.guess_error * (2.0 * random.part() - 1.0));
            let start = WorkerStart { worker: WorkerId(worker), started_at: started, capacity_per_s: guess };
            let told = (random.part() * behaviour.told_within as f64) as Micros;
            (Sender { ordinal, count, started_at: 0 }, start, SlotUsage::default(), told)
        })
        .collect();
    let mut sent = Vec::new();
    for age in (0..rules.warm_up_us).step_by(STEP as usize) {
        let now = started + age;
        for (sender, start, used, told) in &mut senders {
            if behaviour.restart_at == Some(age) && sender.ordinal % 2 == 0 {
                (sender.started_at, *used) = (now, SlotUsage::default());
            }
            let wants = age >= *told && random.part() < (behaviour.traffic)(sender.ordinal, age);
            if wants && may_send(&rules, *sender, *start, *used, now, 1.0) {
                *used = used.record(&rules, start.started_at, now);
                sent.push(age);
            }
        }
    }
    sent
}

/// The most that came within any fall time, over what leaves the worker standing.
fn worst(sent: &[Micros], capacity: f64) -> f64 {
    let rules = rules();
    let within = |end: Micros| {
        sent.iter().filter(|&&at| at <= end && at + rules.overload_window_us > end).count() as f64
    };
    let allowed = |end: Micros| {
        let seconds = rules.overload_window_us as f64 / S as f64;
        let mean = rules.overload_multiple * capacity * capacity_ratio(&rules, S, S + end) * seconds;
        mean + 2.0 * mean.sqrt() + 2.0
    };
    sent.iter().map(|&end| within(end) / allowed(end)).fold(0.0, f64::max)
}

fn always(_: u32, _: Micros) -> f64 {
    1.0
}

fn thin(_: u32, _: Micros) -> f64 {
    0.02
}

fn uneven(sender: u32, _: Micros) -> f64 {
    if sender.is_multiple_of(10) {
        0.5
    } else {
        0.05
    }
}

fn after_silence(_: u32, age: Micros) -> f64 {
    if age < 12 * S {
        0.0
    } else {
        1.0
    }
}

/// Guards against the sum: no span of any worker gets more than leaves it standing, whatever the traffic is.
#[test]
fn all_dispatchers_together_stay_within_the_budget() {
    let steady = Behaviour::of(always);
    let behaviours = [
        ("steady", steady),
        ("thin", Behaviour::of(thin)),
        ("uneven", Behaviour::of(uneven)),
        ("after silence", Behaviour::of(after_silence)),
        ("told seconds apart", Behaviour { told_within: 6 * S, ..steady }),
        ("half restart", Behaviour { restart_at: Some(4 * S + 100 * MS), ..steady }),
        ("guesses differ", Behaviour { guess_error: 0.25, ..steady }),
    ];
    for (name, behaviour) in behaviours {
        for count in SENDERS {
            for (worker, capacity) in (0..WORKERS).zip([0.9, 3.0, 9.0].into_iter().cycle()) {
                let share = worst(&sends(count, worker, capacity, behaviour), capacity);
                assert!(share <= 1.0, "{name}, {count} dispatchers, {capacity}/s: {share:.2} of the bound");
            }
        }
    }
}

/// Guards against a worker that stands idle: dispatchers that always have a job use most of half of its
/// budget, and as much of it however many they are.
#[test]
fn the_budget_is_used_by_one_dispatcher_and_by_a_thousand() {
    let rules = rules();
    let capacity = 3.0;
    let mean_warmth = (rules.cold_capacity_ratio + 1.0) / 2.0;
    let allowed = rules.overload_multiple * capacity * mean_warmth * rules.warm_up_us as f64 / S as f64;
    for count in SENDERS {
        let sent = sends(count, 1, capacity, Behaviour::of(always)).len() as f64;
        assert!((0.5..0.75).contains(&(sent / allowed)), "{count} dispatchers: {sent} of {allowed}");
    }
}

/// Guards against credit that is saved up: the first span after a silence gets no more than it does without
/// one.
#[test]
fn a_slot_that_is_not_used_lapses() {
    let first = |sent: &[Micros]| sent.iter().filter(|&&at| (12 * S..15 * S).contains(&at)).count();
    for count in SENDERS {
        let steady = first(&sends(count, 3, 5.0, Behaviour::of(always)));
        let silent = first(&sends(count, 3, 5.0, Behaviour::of(after_silence)));
        assert!(silent <= steady + 1, "{count} dispatchers: {silent} after silence, {steady} without");
    }
}

/// Guards against a process that has forgotten what it sent: it uses no slot that began before it did.
#[test]
fn a_dispatcher_that_restarts_waits_for_its_next_slot() {
    let rules = rules();
    let start = WorkerStart { worker: WorkerId(1), started_at: 10 * S, capacity_per_s: 20.0 };
    let now = start.started_at + rules.overload_window_us / 3 + 500 * MS; // in the middle of the second slot
    let sender = |started| Sender { ordinal: 0, count: 1, started_at: started };
    assert!(may_send(&rules, sender(0), start, SlotUsage::default(), now, 1.0));
    assert!(!may_send(&rules, sender(now - MS), start, SlotUsage::default(), now, 1.0));
    assert!(
        may_send(&rules, sender(now - MS), start, SlotUsage::default(), now + S, 1.0),
        "in the next slot"
    );
}

/// Guards against one job that is worth many: it goes to the worker the seldomer the larger it is, and not
/// while it would be a large part of the budget by itself.
#[test]
fn a_job_of_many_times_the_mean_waits_for_a_warmer_worker() {
    let rules = rules();
    let start = WorkerStart { worker: WorkerId(1), started_at: 10 * S, capacity_per_s: 20.0 };
    let owners_while_cold = |size: f64| {
        let mut owners = 0;
        for (worker, slot, ordinal) in
            (0..10).flat_map(|w| (0..3).flat_map(move |s| (0..40).map(move |o| (w, s, o))))
        {
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
    assert!(owners_while_cold(1.0) > 100);
    assert_eq!(owners_while_cold(14.0), 0, "over a quarter of what makes it fall");
    let all = |size: f64| {
        let owned = |ordinal| {
            let sender = Sender { ordinal, count: 40, started_at: 0 };
            (12..22)
                .filter(|slot| {
                    may_send(&rules, sender, start, SlotUsage::default(), start.started_at + slot * S, size)
                })
                .count()
        };
        (0..40).map(owned).sum::<usize>() as f64
    };
    let (mean, large) = (all(1.0), all(5.0));
    assert!(
        (3.5..6.5).contains(&(mean / large)),
        "{mean} slots for a mean job, {large} for one of five times"
    );
}

/// Guards against a budget that goes with what was served lately: quotas tell it where there are any, so a
/// fleet that serves nothing still warms its workers up.
#[test]
fn quotas_tell_what_a_worker_can_do() {
    let fleet = FleetCapacity { served_per_s: 0.0, mean_work_s: 1.0, total_weight: 8.0 };
    let tenants = vec![TenantSettings { quota_per_s: 20.0, share: 0.5 }; 2];
    let settings = Settings { tenants, dispatchers: 300, ..Settings::default() };
    assert_eq!(fleet.worker_capacity_per_s(&settings, 2.0), 10.0);
    let without = Settings { dispatchers: 300, ..Settings::default() };
    assert_eq!(fleet.worker_capacity_per_s(&without, 2.0), 0.0);
    assert_eq!(
        FleetCapacity { served_per_s: 0.1, ..fleet }.worker_capacity_per_s(&without, 2.0),
        7.5,
        "each of 300 serves as much"
    );
    let live = Settings { live_weights: true, ..without };
    assert_eq!(
        FleetCapacity { mean_work_s: 0.5, ..fleet }.worker_capacity_per_s(&live, 2.0),
        4.0,
        "sizes are in standard cores"
    );
}
