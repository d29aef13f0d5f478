//! Workers' starts under a dispatcher's clock that was stepped before it started: what it has seen itself
//! bounds them.

mod common;

use common::{class_settings, policy_settings, ready_endpoint, PolicyDriver, MS, S};
use dispatch_policy::api::*;

const HOUR: Micros = 3_600 * S;
/// The time now, as the machines that tell of starts have it.
const NOW: Micros = 100 * HOUR;

fn cold_settings() -> Settings {
    let tenants = vec![TenantSettings { quota_per_s: 40.0, share: 1.0 }];
    Settings { tenants, ..policy_settings(vec![class_settings(Idempotency::Idempotent)]) }
}

/// A dispatcher whose clock is off by so much, and which has had two lists of a warm worker.
fn driver(ahead: i64) -> PolicyDriver {
    let mut driver = PolicyDriver::new(cold_settings(), vec![ready_endpoint(1, 0, 0)]);
    driver.now = NOW.checked_add_signed(ahead).expect("within the range of times");
    for _ in 0..3 {
        driver.advance(S);
        driver.handle(Event::EndpointChanges(vec![]));
    }
    driver
}

/// The list's change that puts this worker into the first one's place.
fn successor(since: Micros) -> Event {
    let first = Endpoint { availability: Availability::Draining, ..ready_endpoint(1, 0, 0) };
    Event::EndpointChanges(vec![first, Endpoint { started_at: since, ..ready_endpoint(2, 0, 0) }])
}

/// How many jobs go out of 80 that are offered within two seconds.
fn jobs_sent(driver: &mut PolicyDriver, first: RequestId) -> usize {
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

/// Guards a cold worker against a clock that is an hour ahead: it has just begun to stand in the list.
#[test]
fn a_worker_that_is_new_in_the_list_is_cold_whatever_the_clock_says() {
    let cold = |ahead: i64| {
        let mut driver = driver(ahead);
        let started = driver.now.checked_add_signed(-ahead).expect("within the range of times") - S;
        driver.handle(successor(started));
        jobs_sent(&mut driver, 1)
    };
    let (right, ahead) = (cold(0), cold(HOUR as i64));
    assert!(right > 0, "it is used");
    assert!(ahead <= 2 * right, "{ahead} jobs with the clock ahead, {right} with the right one");
}

/// Guards the service against a clock that is an hour behind: a start that lies ahead of it was at the latest
/// when the worker was first listed.
#[test]
fn a_worker_is_warm_in_its_time_where_the_clock_is_behind() {
    let warm = |ahead: i64| {
        let mut driver = driver(ahead);
        let started = driver.now.checked_add_signed(-ahead).expect("within the range of times") - S;
        driver.handle(successor(started));
        for _ in 0..25 {
            driver.advance(S);
            driver.handle(Event::EndpointChanges(vec![]));
        }
        jobs_sent(&mut driver, 1)
    };
    let (right, behind) = (warm(0), warm(-(HOUR as i64)));
    assert!(right >= 70, "{right} jobs with the right clock");
    assert_eq!(behind, right, "with the clock behind, and with the right one");
}

/// Guards warm workers against being held for cold: a dispatcher that has just started knows of none when it
/// began to stand in the list, and a gap between two lists may hide a start.
#[test]
fn a_worker_that_was_there_before_is_as_old_as_its_list_says() {
    // The list that was known is old: what the first answer adds is no news.
    let mut driver = PolicyDriver::new(cold_settings(), vec![ready_endpoint(1, 0, 0)]);
    driver.now = NOW;
    driver.advance(MS);
    driver.handle(successor(NOW - 60 * S));
    assert!(jobs_sent(&mut driver, 1) >= 70);
    // Discovery was away for a minute.
    let mut driver = self::driver(0);
    driver.advance(60 * S);
    driver.handle(successor(driver.now - 55 * S));
    assert!(jobs_sent(&mut driver, 1) >= 70);
}
