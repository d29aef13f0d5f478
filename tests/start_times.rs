//! Start times of workers at a dispatcher whose clock was stepped before it started: they are bounded by what
//! it has observed itself.

mod common;

use common::{class_settings, policy_settings, ready_endpoint, PolicyDriver, MS, S};
use dispatch_policy::api::*;

const HOUR: Micros = 3_600 * S;
/// The current time by the clocks of the machines that report start times.
const NOW: Micros = 100 * HOUR;

fn cold_settings() -> Settings {
    let tenants = vec![TenantSettings { quota_per_s: 40.0, share: 1.0 }];
    Settings { tenants, ..policy_settings(vec![class_settings(Idempotency::Idempotent)]) }
}

/// A dispatcher whose clock differs by this offset and which has received several lists with a warm worker.
fn driver(clock_offset: i64) -> PolicyDriver {
    let mut driver = PolicyDriver::new(cold_settings(), vec![ready_endpoint(1, 0, 0)]);
    driver.now = NOW.checked_add_signed(clock_offset).expect("within the range of times");
    for _ in 0..3 {
        driver.advance(S);
        driver.handle(Event::EndpointChanges(vec![]));
    }
    driver
}

/// A change of the list that replaces the first worker by one with this start time.
fn replace_first_worker(started_at: Micros) -> Event {
    let draining = Endpoint { availability: Availability::Draining, ..ready_endpoint(1, 0, 0) };
    Event::EndpointChanges(vec![draining, Endpoint { started_at, ..ready_endpoint(2, 0, 0) }])
}

/// How many of 80 requests within two seconds are sent.
fn requests_sent(driver: &mut PolicyDriver, first: RequestId) -> usize {
    let mut count = 0;
    for id in first..first + 80 {
        for action in driver.submit(id, 0) {
            let Action::Send { id, .. } = action else { continue };
            count += 1;
            driver.handle(Event::Started { id, attempt: 0 });
            driver.end_attempt(id, 0, Outcome::Success);
        }
    }
    count
}

/// Guards against overload of a cold worker when the clock is an hour ahead: it has only just appeared in the
/// list.
#[test]
fn a_worker_that_is_new_in_the_list_is_cold_if_the_clock_is_ahead() {
    let sent_while_cold = |clock_offset: i64| {
        let mut driver = driver(clock_offset);
        let started = driver.now.checked_add_signed(-clock_offset).expect("within the range of times") - S;
        driver.handle(replace_first_worker(started));
        requests_sent(&mut driver, 1)
    };
    let (correct, ahead) = (sent_while_cold(0), sent_while_cold(HOUR as i64));
    assert!(correct > 0, "the cold worker is used");
    assert!(ahead <= 2 * correct, "{ahead} requests with the clock ahead, {correct} with the correct clock");
}

/// Guards against an idle worker when the clock is an hour behind: a start time in the future is taken as the
/// time when the worker was first listed.
#[test]
fn a_worker_warms_up_in_time_if_the_clock_is_behind() {
    let sent_after_warm_up = |clock_offset: i64| {
        let mut driver = driver(clock_offset);
        let started = driver.now.checked_add_signed(-clock_offset).expect("within the range of times") - S;
        driver.handle(replace_first_worker(started));
        for _ in 0..25 {
            driver.advance(S);
            driver.handle(Event::EndpointChanges(vec![]));
        }
        requests_sent(&mut driver, 1)
    };
    let (correct, behind) = (sent_after_warm_up(0), sent_after_warm_up(-(HOUR as i64)));
    assert!(correct >= 70, "{correct} requests with the correct clock");
    assert_eq!(behind, correct, "with the clock behind and with the correct clock");
}

/// Guards against treating warm workers as cold: a dispatcher that has just started does not know when
/// workers first appeared in the list, and an interval without lists may hide a start.
#[test]
fn a_worker_listed_before_is_as_old_as_the_list_says() {
    // The known list is old, so workers that the first new list adds need not be new.
    let mut driver = PolicyDriver::new(cold_settings(), vec![ready_endpoint(1, 0, 0)]);
    driver.now = NOW;
    driver.advance(MS);
    driver.handle(replace_first_worker(NOW - 60 * S));
    assert!(requests_sent(&mut driver, 1) >= 70);
    // Discovery was unavailable for a minute.
    let mut driver = self::driver(0);
    driver.advance(60 * S);
    driver.handle(replace_first_worker(driver.now - 55 * S));
    assert!(requests_sent(&mut driver, 1) >= 70);
}
