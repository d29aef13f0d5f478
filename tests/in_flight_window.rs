//! The window that limits one dispatcher's requests in flight at all workers.

mod common;

use common::*;
use dispatch_policy::api::*;
use dispatch_policy::in_flight_window::InFlightWindow;

/// A window for 60 workers and 60 dispatchers.
fn in_flight_window() -> InFlightWindow {
    let mut window = InFlightWindow::default();
    window.set_fleet_size(60, 60);
    window
}

fn fill_window(window: &mut InFlightWindow) -> usize {
    let mut count = 0;
    while window.has_capacity(1.0) {
        window.record_sent(1.0);
        count += 1;
    }
    count
}

#[test]
fn a_full_window_grows_with_prompt_starts_and_shrinks_with_late_ones() {
    let mut window = in_flight_window();
    let first = fill_window(&mut window);
    assert_eq!(first, 4, "twice the minimum size, which is a share of one and a margin of one");
    let grown: usize = (0..30)
        .map(|_| {
            window.record_start(true);
            fill_window(&mut window)
        })
        .sum();
    assert!(grown > 8, "{grown}");
    (0..first + grown).for_each(|_| window.release(1.0));
    (0..30).for_each(|_| window.record_start(true));
    assert_eq!(fill_window(&mut window), first + grown, "an empty window does not grow");
    (0..1000).for_each(|_| window.record_start(false));
    (0..first + grown).for_each(|_| window.release(1.0));
    assert_eq!(fill_window(&mut window), 2, "the minimum size");
}

#[test]
fn a_request_larger_than_the_window_is_sent_alone() {
    let mut window = in_flight_window();
    assert!(window.has_capacity(64.0));
    window.record_sent(64.0);
    assert!(!window.has_capacity(1.0));
}

/// Guards against overload of workers by many dispatchers: the concurrency limit of each at a worker allows
/// at least one request.
#[test]
fn one_of_many_dispatchers_has_few_requests_in_flight_without_live_weights() {
    let in_flight = |dispatchers: u32, live_weights: bool| {
        let settings = Settings {
            dispatchers,
            live_weights,
            ..policy_settings(vec![class_settings(Idempotency::Idempotent)])
        };
        let mut driver = PolicyDriver::new(settings, (0..60).map(|i| ready_endpoint(i + 1, 0, 0)).collect());
        let mut count = 0;
        for id in 1..=60 {
            let mut actions = driver.handle(Event::RequestReceived(request(id)));
            actions.extend(driver.advance(2 * MS));
            count += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
        }
        count
    };
    assert!(in_flight(1, false) > 40);
    assert!(in_flight(60, true) > 40, "live weights show the load");
    assert_eq!(in_flight(60, false), 4);
}

fn request(id: RequestId) -> Request {
    Request { id, time_left_us: 5 * S, ..Request::default() }
}
