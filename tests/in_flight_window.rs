//! The window over a dispatcher's jobs at all workers.

mod common;

use common::*;
use dispatch_policy::api::*;
use dispatch_policy::in_flight_window::InFlightWindow;

/// A window for 60 workers and as many dispatchers.
fn window() -> InFlightWindow {
    let mut window = InFlightWindow::default();
    window.set_fleet_size(60, 60);
    window
}

fn fill(window: &mut InFlightWindow) -> usize {
    let mut jobs = 0;
    while window.has_capacity(1.0) {
        window.record_sent(1.0);
        jobs += 1;
    }
    jobs
}

#[test]
fn it_grows_by_prompt_starts_while_it_is_full_and_shrinks_by_late_ones() {
    let mut window = window();
    let first = fill(&mut window);
    assert_eq!(first, 4, "twice a part of one and one more");
    let grown: usize = (0..30)
        .map(|_| {
            window.record_start(true);
            fill(&mut window)
        })
        .sum();
    assert!(grown > 8, "{grown}");
    (0..first + grown).for_each(|_| window.release(1.0));
    (0..30).for_each(|_| window.record_start(true));
    assert_eq!(fill(&mut window), first + grown, "while it stands empty it does not grow");
    (0..1000).for_each(|_| window.record_start(false));
    (0..first + grown).for_each(|_| window.release(1.0));
    assert_eq!(fill(&mut window), 2, "the least");
}

#[test]
fn a_job_larger_than_the_window_goes_alone() {
    let mut window = window();
    assert!(window.has_capacity(64.0));
    window.record_sent(64.0);
    assert!(!window.has_capacity(1.0));
}

/// Guards against workers that many dispatchers fill many times over: each one's cap at a worker is a job at
/// least.
#[test]
fn one_of_many_dispatchers_has_few_jobs_out_where_no_list_tells_of_load() {
    let jobs_out = |dispatchers: u32, live_weights: bool| {
        let set = Settings {
            dispatchers,
            live_weights,
            ..policy_settings(vec![class_settings(Idempotency::Idempotent)])
        };
        let mut driver = PolicyDriver::new(set, (0..60).map(|i| ready_endpoint(i + 1, 0, 0)).collect());
        let mut jobs_out = 0;
        for id in 1..=60 {
            let mut actions = driver.handle(Event::RequestReceived(request(id)));
            actions.extend(driver.advance(2 * MS));
            jobs_out += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        }
        jobs_out
    };
    assert!(jobs_out(1, false) > 40);
    assert!(jobs_out(60, true) > 40, "live weights tell");
    assert_eq!(jobs_out(60, false), 4);
}

fn request(id: RequestId) -> Request {
    Request { id, time_left_us: 5 * S, ..Request::default() }
}
