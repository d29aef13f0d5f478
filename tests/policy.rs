//! Decisions of the policy, checked by its actions alone: the rules for every request, and regressions of
//! faults.

mod common;
use common::*;
use dispatch_policy::api::*;

fn two_workers() -> Vec<Endpoint> {
    vec![ready_endpoint(1, 0, 0), ready_endpoint(2, 0, 0)]
}

#[test]
fn a_queued_request_is_shed_in_time_when_there_is_no_worker() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::NotIdempotent)]), vec![]);
    assert!(driver.submit(1, 0).is_empty());
    assert!(is_shed(&driver.advance(5 * S), 1));
}

#[test]
fn a_timeout_at_the_deadline_fails_the_request_and_nothing_follows() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::NotIdempotent)]), two_workers());
    assert!(sent_to(&driver.submit(1, 0), 1).is_some());
    driver.advance(5 * S - 25 * MS);
    assert!(is_failed(&driver.end_attempt(1, 0, Outcome::Timeout), 1));
    assert!(driver.advance(10 * S).is_empty());
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_shed() {
    for outcome in [Outcome::Error, Outcome::ConnectionLost, Outcome::Timeout, Outcome::Cancelled] {
        let mut driver = PolicyDriver::new(
            policy_settings(vec![class_settings(Idempotency::NotIdempotent)]),
            two_workers(),
        );
        driver.submit(1, 0);
        assert_eq!(driver.end_attempt(1, 0, outcome), [Action::Fail { id: 1 }]);
        assert!(driver.advance(6 * S).is_empty());
    }
}

#[test]
fn a_rejected_non_idempotent_request_is_sent_to_another_worker() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::NotIdempotent)]), two_workers());
    let first = sent_to(&driver.submit(1, 0), 1).unwrap();
    let second = sent_to(&driver.end_attempt(1, 0, Outcome::Rejected), 1).unwrap();
    assert_ne!(first, second);
}

#[test]
fn a_request_is_shed_after_its_last_allowed_attempt() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    driver.submit(1, 0);
    let mut actions = driver.end_attempt(1, 0, Outcome::Rejected);
    for attempt in 1..3 {
        actions.extend(driver.advance(60 * MS));
        actions = driver.end_attempt(1, attempt, Outcome::Rejected);
    }
    assert!(is_shed(&actions, 1));
}

#[test]
fn a_retry_with_a_key_stays_in_its_cell_and_deduplication_window() {
    let keyed = || class_settings(Idempotency::WithKey(KeyScope::Cell));
    let two_cells = || vec![ready_endpoint(1, 0, 0), ready_endpoint(2, 0, 1)];
    let mut driver =
        PolicyDriver::new(policy_settings(vec![ClassSettings { late_weight: 0.5, ..keyed() }]), two_cells());
    driver.submit(1, 0);
    // The only worker of its cell is ejected and the other cell is not allowed, so it waits and then fails.
    let actions: Vec<Action> = [driver.end_attempt(1, 0, Outcome::Error), driver.advance(5 * S)].concat();
    assert_eq!(sent_to(&actions, 1).filter(|_| driver.now < 3 * S), None);
    assert!(is_failed(&actions, 1) || sent_to(&actions, 1).is_some());
    assert!(!is_shed(&actions, 1));
    let endpoints = vec![ready_endpoint(1, 0, 0), ready_endpoint(2, 0, 0), ready_endpoint(3, 0, 1)];
    let mut driver = PolicyDriver::new(policy_settings(vec![keyed()]), endpoints);
    let first_worker = sent_to(&driver.submit(1, 0), 1).unwrap();
    let second_worker = sent_to(&driver.end_attempt(1, 0, Outcome::Error), 1);
    match first_worker {
        WorkerId(3) => assert_eq!(second_worker, None),
        WorkerId(1) => assert_eq!(second_worker, Some(WorkerId(2))),
        _ => assert_eq!(second_worker, Some(WorkerId(1))),
    }
}

#[test]
fn draining_and_removed_workers_get_no_requests() {
    for availability in [Availability::Draining, Availability::Gone] {
        let mut driver =
            PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
        driver.handle(Event::EndpointChanges(vec![Endpoint { availability, ..ready_endpoint(1, 0, 0) }]));
        for id in 0..4 {
            assert_ne!(driver.serve(id, 0), Some(WorkerId(1)));
        }
        driver.handle(Event::EndpointList(vec![ready_endpoint(1, 0, 0)]));
        assert_eq!(driver.serve(9, 0), Some(WorkerId(1)));
    }
}

#[test]
fn a_polled_list_is_watched_from_the_start_and_again_after_a_failure() {
    let settings =
        Settings { polls_endpoints: true, ..policy_settings(vec![class_settings(Idempotency::Idempotent)]) };
    let mut policy = dispatch_policy::Policy::new(settings, 1, 0).unwrap();
    let mut actions = Vec::new();
    policy.handle(0, &Event::EndpointList(two_workers()), &mut actions);
    assert!(actions.contains(&Action::WatchEndpoints));
    actions.clear();
    policy.handle(S, &Event::EndpointWatchFailed, &mut actions);
    policy.handle(4 * S, &Event::TimerExpired, &mut actions);
    assert!(actions.contains(&Action::WatchEndpoints));
}

/// Guards against a cold worker that is sent more than the rules allow, and against one that stays idle.
#[test]
fn a_worker_that_is_warming_up_gets_a_limited_share_of_requests() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![class_settings(Idempotency::Idempotent)]),
        vec![ready_endpoint(1, 0, 0)],
    );
    let started_at = driver.now;
    driver.handle(Event::EndpointChanges(vec![Endpoint { started_at, ..ready_endpoint(2, 0, 0) }]));
    // Eight requests per second are served at once, so as far as this dispatcher knows each worker can serve
    // four.
    let mut sent_at = Vec::new();
    for id in 0..160 {
        if driver.serve(id, 0) == Some(WorkerId(2)) {
            sent_at.push(driver.now);
        }
    }
    for &end in &sent_at {
        let capacity_ratio = 0.2 + 0.8 * (end - started_at) as f64 / (20 * S) as f64;
        let (allowed, recent) =
            (3.0 * 4.0 * capacity_ratio, sent_at.iter().filter(|&&at| at <= end && at + S > end).count());
        assert!(recent as f64 <= allowed + 1.0, "{recent} within 1 s, {allowed} are allowed");
    }
    assert!(sent_at.len() > 20, "{} of 160 during the warm-up", sent_at.len());
}

#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled_without_an_answer() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    driver.submit(1, 0);
    assert_eq!(driver.handle(Event::ClientDisconnected { id: 1 }), [Action::Cancel { id: 1, attempt: 0 }]);
    // The outcome arrives while the cancellation is under way.
    assert!(driver.end_attempt(1, 0, Outcome::Error).is_empty());
    assert!(driver.advance(6 * S).is_empty());
}

#[test]
fn events_of_unknown_requests_are_ignored() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    assert!(driver.end_attempt(5, 0, Outcome::Success).is_empty());
    assert!(driver.handle(Event::Started { id: 5, attempt: 2 }).is_empty());
    assert!(driver.handle(Event::ClientDisconnected { id: 5 }).is_empty());
}

/// Guards against a hung worker that keeps requests which could run elsewhere.
#[test]
fn an_idempotent_request_at_an_unresponsive_worker_is_sent_elsewhere() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    let first = sent_to(&driver.submit(1, 0), 1).unwrap();
    let actions = driver.advance(S);
    assert!(actions.contains(&Action::Cancel { id: 1, attempt: 0 }));
    let second = sent_to(&driver.end_attempt(1, 0, Outcome::Cancelled), 1);
    assert!(second.is_none() || second != Some(first));
}

/// Guards against cancelling too early: at workers with two slots, requests wait behind those of other nodes,
/// and a second attempt would miss their objective too. Each was cancelled after a typical run time, and its
/// worker ejected as unresponsive.
#[test]
fn a_request_that_would_be_late_at_any_worker_stays_for_a_long_run_time() {
    let class = ClassSettings {
        objective_us: 100 * MS,
        objective_per_work: 1.75,
        ..class_settings(Idempotency::Idempotent)
    };
    let mut driver = PolicyDriver::new(policy_settings(vec![class]), two_workers());
    for id in 10..30 {
        sent_to(&driver.submit(id, 0), id).unwrap();
        driver.handle(Event::Started { id, attempt: 0 });
        driver.advance(250 * MS);
        driver.end_attempt(id, 0, Outcome::Success);
        driver.advance(S);
    }
    sent_to(&driver.submit(1, 0), 1).unwrap();
    let is_cancelled = |actions: Vec<Action>| actions.contains(&Action::Cancel { id: 1, attempt: 0 });
    assert!(!is_cancelled(driver.advance(500 * MS)), "after twice the typical run time");
    assert!(is_cancelled(driver.advance(500 * MS)), "after a long run time without a sign of its worker");
}

/// Guards against a worker that fails requests quickly and attracts more because it has few in flight.
#[test]
fn a_worker_that_fails_quickly_attracts_no_requests() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    let failing = sent_to(&driver.submit(1, 0), 1).unwrap();
    driver.end_attempt(1, 0, Outcome::Error);
    assert!((10..20).all(|id| driver.serve(id, 0) != Some(failing)));
}

/// Guards against a worker that rejects requests at once and gets the same one again and again.
#[test]
fn each_consecutive_rejection_lengthens_the_backoff() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![class_settings(Idempotency::Idempotent)]),
        vec![ready_endpoint(1, 0, 0)],
    );
    let backoff = |driver: &mut PolicyDriver, id: RequestId| {
        driver.submit(id, 0);
        let start = driver.now;
        driver.end_attempt(id, 0, Outcome::Rejected);
        while sent_to(&driver.advance(5 * MS), id).is_none() && driver.now < start + S {}
        driver.end_attempt(id, 1, Outcome::Rejected);
        driver.now - start
    };
    let first = backoff(&mut driver, 1);
    driver.advance(S);
    assert!(backoff(&mut driver, 2) > first);
}

/// Guards against a tenant's quota that is spent on its oldest request, which has no time left.
#[test]
fn a_tenants_share_goes_to_its_newest_request() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    settings.tenants = vec![TenantSettings { quota_per_s: 1.0, share: 1.0 }];
    let mut driver = PolicyDriver::new(settings, vec![]);
    for id in 0..30 {
        driver.handle(Event::RequestReceived(Request { id, time_left_us: 5 * S, ..Request::default() }));
    }
    let sent: Vec<RequestId> = [driver.handle(Event::EndpointList(two_workers())), driver.advance(30 * MS)]
        .concat()
        .iter()
        .filter_map(|a| if let Action::Send { id, .. } = a { Some(*id) } else { None })
        .collect();
    assert!(sent.contains(&29), "{sent:?}");
}

/// Guards against hung workers that freeze the regulator's output: a dispatcher without completed requests
/// still admits new ones.
#[test]
fn a_dispatcher_without_completed_requests_still_admits() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::NotIdempotent)]), two_workers());
    for id in 0..8 {
        driver.submit(id, 0);
    }
    driver.advance(8 * S);
    for id in 0..8 {
        driver.end_attempt(id, 0, Outcome::Timeout);
    }
    driver.handle(Event::EndpointChanges(vec![ready_endpoint(3, 0, 0)]));
    driver.advance(8 * S);
    let sent = (20..24).filter(|&id| sent_to(&driver.submit(id, 0), id).is_some()).count();
    assert!(sent > 0);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut driver = PolicyDriver::new(
            policy_settings(vec![class_settings(Idempotency::Idempotent)]),
            (1..9).map(|i| ready_endpoint(i, 0, 0)).collect(),
        );
        (0..50).map(|id| driver.serve(id, 0)).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_settings_are_an_error() {
    let valid = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    let error_after = |change: fn(&mut Settings)| {
        let mut settings = valid.clone();
        change(&mut settings);
        dispatch_policy::Policy::new(settings, 1, 0).err()
    };
    assert!(error_after(|_| ()).is_none());
    assert!(error_after(|settings| settings.classes.clear()).is_some());
    assert!(error_after(|settings| settings.classes[0].deadline_us = 0).is_some());
    assert!(error_after(|settings| settings.classes[0].objective_per_work = f64::NAN).is_some());
    assert!(error_after(|settings| settings.tenants.push(TenantSettings { quota_per_s: 1.0, share: -1.0 }))
        .is_some());
}

/// Guards against a stale regulator model at low traffic: with four requests per second, several seconds are
/// pooled into one step, and the rate limit still falls when every request times out.
#[test]
fn the_rate_limit_adapts_at_low_traffic() {
    let workers = (1..20).map(|i| ready_endpoint(i, 0, 0)).collect();
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::NotIdempotent)]), workers);
    for id in 0..160 {
        if sent_to(&driver.submit(id, 0), id).is_some() {
            driver.handle(Event::Started { id, attempt: 0 });
            driver.advance(200 * MS);
            driver.end_attempt(id, 0, Outcome::Timeout);
        } else {
            driver.advance(200 * MS);
        }
        driver.advance(25 * MS);
    }
    assert!(driver.throttling_notices > 0);
}

/// Guards against timers that accumulate: one that was preceded by an earlier one set another when it
/// expired, so that their number only grew, to millions in large fleets.
#[test]
fn a_timer_preceded_by_an_earlier_one_sets_no_other() {
    let mut driver =
        PolicyDriver::new(policy_settings(vec![class_settings(Idempotency::Idempotent)]), two_workers());
    for id in 0..200 {
        driver.serve(id, 0);
    }
    assert!(driver.timers.len() <= 2, "{} timers are set", driver.timers.len());
}

/// Guards against idle connections of many dispatchers that fill the workers' connection tables.
#[test]
fn many_dispatchers_close_idle_connections_if_handshakes_are_free() {
    let closed_connections = |handshake_price: f64, dispatchers: u32| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        (settings.handshake_price, settings.idle_timeout_us, settings.dispatchers) =
            (handshake_price, 10 * S, dispatchers);
        let mut driver = PolicyDriver::new(settings, endpoints(20, |_| 0));
        for id in 0..40 {
            driver.serve(id, 0);
        }
        driver.idle_connections_closed
    };
    assert!(closed_connections(0.0, 300) > 30);
    assert_eq!(closed_connections(0.0, 3), 0);
    assert_eq!(closed_connections(0.05, 300), 0, "a handshake has a price");
}

/// Guards against a message from every dispatcher to all others each second.
#[test]
fn one_of_many_dispatchers_sends_messages_to_few_peers() {
    let receivers = |dispatchers: u32| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        (settings.dispatchers, settings.peer_messages, settings.peer_message_price) =
            (dispatchers, true, 0.01);
        settings.tenants = vec![TenantSettings { quota_per_s: f64::from(dispatchers), share: 1.0 }; 5];
        let mut driver = PolicyDriver::new(settings, two_workers());
        driver.advance(10 * S);
        driver.peer_message_receivers
    };
    assert!(receivers(700).len() <= 16 * 11);
    let all_receivers = receivers(4);
    assert!(
        (1..4).all(|peer| all_receivers.contains(&peer)) && !all_receivers.contains(&0),
        "each of a few peers gets messages, the sender itself does not"
    );
}

fn endpoints(n: u64, zone: impl Fn(u64) -> u8) -> Vec<Endpoint> {
    (0..n).map(|i| ready_endpoint(i, zone(i), 0)).collect()
}

/// Guards against placing each request on a worker without an open connection, so that each costs a
/// handshake.
#[test]
fn workers_with_open_connections_are_reused_if_handshakes_have_a_price() {
    let workers_used = |handshake_price: f64| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        (settings.handshake_price, settings.idle_timeout_us) = (handshake_price, 10 * S);
        let mut driver = PolicyDriver::new(settings, endpoints(300, |_| 0));
        (0..60).filter_map(|id| driver.serve(id, 0)).collect::<std::collections::BTreeSet<_>>().len()
    };
    assert!(workers_used(0.05) < 12, "{}", workers_used(0.05));
    assert!(workers_used(0.0) > 40, "{}", workers_used(0.0));
}

/// Guards against ejecting nearly all workers because responses are lost after execution.
#[test]
fn a_response_lost_after_execution_does_not_eject_the_worker() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![class_settings(Idempotency::NotIdempotent)]),
        vec![ready_endpoint(1, 0, 0)],
    );
    driver.submit(1, 0);
    driver.handle(Event::Started { id: 1, attempt: 0 });
    driver.advance(S / 2);
    driver.end_attempt(1, 0, Outcome::ConnectionLost);
    assert!(sent_to(&driver.submit(2, 0), 2).is_some());
}

/// Guards against workers that leave one class unanswered, but look healthy because they serve the other.
#[test]
fn a_worker_that_leaves_a_class_unanswered_is_avoided_for_that_class_only() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![
            class_settings(Idempotency::Idempotent),
            class_settings(Idempotency::NotIdempotent),
        ]),
        two_workers(),
    );
    let unresponsive = (0..4).find_map(|id| {
        let worker = sent_to(&driver.submit(id, 1), id)?;
        if worker == WorkerId(1) {
            driver.advance(2 * S); // without a response
            driver.end_attempt(id, 0, Outcome::Timeout);
            return Some(worker);
        }
        driver.handle(Event::Started { id, attempt: 0 });
        driver.end_attempt(id, 0, Outcome::Success);
        None
    });
    assert_eq!(unresponsive, Some(WorkerId(1)));
    let mut sent_to_it = [0; 2];
    for id in 10..30 {
        let class = (id % 2) as usize;
        sent_to_it[class] += usize::from(driver.serve(id, class) == unresponsive);
    }
    assert!(sent_to_it[0] > 0, "the other class is still sent there");
    assert_eq!(sent_to_it[1], 0);
}

/// Guards against sending a request to unprobed workers when the first three that it probed have no capacity.
#[test]
fn a_request_probes_more_workers_while_those_probed_have_no_capacity() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::NotIdempotent)]);
    (settings.can_probe, settings.reports_free_slots, settings.reports_start) = (true, true, false);
    let mut driver = PolicyDriver::new(settings, endpoints(400, |_| 0));
    let mut probe_count = 0;
    let mut actions =
        driver.handle(Event::RequestReceived(Request { id: 1, time_left_us: 5 * S, ..Request::default() }));
    while probe_count < 9 {
        assert!(sent_to(&actions, 1).is_none(), "sent to an unprobed worker after {probe_count} probes");
        let probed: Vec<WorkerId> = actions
            .iter()
            .filter_map(|a| if let Action::Probe { worker } = a { Some(*worker) } else { None })
            .collect();
        probe_count += probed.len();
        let report = Some(LoadReport {
            free_slots: Some(0.0),
            queued: Some(0.0),
            in_flight: Some(2.0),
            ..LoadReport::default()
        });
        actions = probed
            .iter()
            .flat_map(|&worker| driver.handle(Event::ProbeEnded { worker, responded: true, report }))
            .collect();
        actions.extend(driver.advance(20 * MS));
    }
}

/// Guards against shedding requests beyond their tenant's share only after the mean request's objective, when
/// they count as late.
#[test]
fn a_queued_request_is_shed_within_its_objective_if_lateness_is_penalized() {
    for (late_penalty_weight, shed_within_objective) in [(0.35, true), (0.0, false)] {
        let mut driver = PolicyDriver::new(
            Settings {
                late_penalty_weight,
                ..policy_settings(vec![class_settings(Idempotency::NotIdempotent)])
            },
            vec![], // no workers, so that it stays queued
        );
        driver.submit(1, 0);
        assert_eq!(is_shed(&driver.advance(160 * MS), 1), shed_within_objective);
    }
}

/// Guards against sending requests, three to each worker, into a fleet known to be full once no probe is
/// left.
#[test]
fn without_probes_left_nothing_is_sent_into_a_full_fleet() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::NotIdempotent)]);
    (settings.can_probe, settings.reports_free_slots, settings.reports_start) = (true, true, false);
    let mut driver = PolicyDriver::new(settings, endpoints(400, |_| 0));
    let mut actions =
        driver.handle(Event::RequestReceived(Request { id: 1, time_left_us: 5 * S, ..Request::default() }));
    let report = Some(LoadReport {
        free_slots: Some(0.0),
        queued: Some(0.0),
        in_flight: Some(2.0),
        ..LoadReport::default()
    });
    for _ in 0..60 {
        assert!(sent_to(&actions, 1).is_none());
        let mut next_actions = driver.advance(20 * MS);
        for action in actions {
            if let Action::Probe { worker } = action {
                next_actions.extend(driver.handle(Event::ProbeEnded { worker, responded: true, report }));
            }
        }
        actions = next_actions;
    }
}

/// Submits a request that its worker rejects; returns the worker. If every request is rejected, those beyond
/// their tenant's share stay queued and those within it are sent.
fn submit_rejected(driver: &mut PolicyDriver, id: RequestId) -> Option<WorkerId> {
    let worker = sent_to(&driver.submit(id, 0), id);
    driver.end_attempt(id, 0, Outcome::Rejected);
    driver.handle(Event::ClientDisconnected { id });
    driver.end_attempt(id, 1, Outcome::Cancelled);
    driver.advance(60 * MS);
    worker
}

#[test]
fn a_malformed_peer_message_changes_nothing() {
    let workers_with = |message: Option<(u32, Vec<u8>)>| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        (settings.dispatchers, settings.peer_messages) = (3, true);
        settings.tenants = vec![TenantSettings { quota_per_s: 30.0, share: 1.0 }; 2];
        let mut driver = PolicyDriver::new(settings, endpoints(30, |_| 0));
        let mut workers = Vec::new();
        for id in 0..120 {
            if let Some((from, bytes)) = &message {
                driver.handle(Event::PeerMessage { from: *from, bytes: bytes.clone() });
            }
            workers.push(submit_rejected(&mut driver, id));
        }
        workers
    };
    let without_message = workers_with(None);
    assert!(without_message.iter().flatten().count() > 20);
    for malformed in [(1, vec![255; 3]), (1, vec![255; 256]), (9, vec![255; 4])] {
        assert_eq!(workers_with(Some(malformed)), without_message);
    }
    assert_ne!(
        workers_with(Some((1, vec![255; 4]))),
        without_message,
        "a well-formed message changes decisions"
    );
}

/// Guards against a rate attributed to the wrong dispatcher: ordinals depend on the membership, which
/// changes.
#[test]
fn peer_rates_are_discarded_when_the_membership_epoch_changes() {
    let workers_with = |message: bool, epochs: u64| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        (settings.dispatchers, settings.peer_messages) = (3, true);
        settings.tenants = vec![TenantSettings { quota_per_s: 30.0, share: 1.0 }; 2];
        let mut driver = PolicyDriver::new(settings.clone(), endpoints(30, |_| 0));
        let mut workers = Vec::new();
        for id in 0..120 {
            if message {
                driver.handle(Event::PeerMessage { from: 1, bytes: vec![255; 4] });
            }
            let settings = Box::new(Settings { membership_epoch: id % epochs, ..settings.clone() });
            driver.handle(Event::SettingsChanged { settings, inherits_from: vec![None] });
            workers.push(submit_rejected(&mut driver, id));
        }
        workers
    };
    assert_eq!(workers_with(true, 2), workers_with(false, 2));
    assert_ne!(workers_with(true, 1), workers_with(false, 1), "within one epoch the rate counts");
}

fn request_with_key(id: RequestId, affinity_key: u64) -> Request {
    Request { id, affinity_key, time_left_us: 5 * S, ..Request::default() }
}

/// Submits a request and ends its attempt, if it gets one, with this outcome after 5 ms; returns all actions.
fn submit_and_end(driver: &mut PolicyDriver, request: Request, outcome: Outcome) -> Vec<Action> {
    let id = request.id;
    let mut actions = driver.handle(Event::RequestReceived(request));
    actions.extend(driver.advance(5 * MS));
    if sent_to(&actions, id).is_some() {
        let request_done = outcome == Outcome::Success;
        actions.extend(driver.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: 0,
            outcome,
            request_done,
            not_attributable: false,
            report: None,
        })));
    }
    actions
}

fn single_attempt_settings() -> Settings {
    Settings { max_attempts: 1, ..policy_settings(vec![class_settings(Idempotency::Idempotent)]) }
}

/// Guards against ejecting workers when all requests with some keys fail at every worker.
#[test]
fn a_key_that_fails_at_several_workers_is_quarantined_and_the_workers_are_not_ejected() {
    let mut driver = PolicyDriver::new(single_attempt_settings(), two_workers());
    let mut unsent = 0;
    for id in 0..40 {
        let good_actions =
            submit_and_end(&mut driver, request_with_key(2 * id, 1 + id % 5), Outcome::Success);
        assert!(sent_to(&good_actions, 2 * id).is_some(), "other keys are still served");
        let bad_actions = submit_and_end(&mut driver, request_with_key(2 * id + 1, 99), Outcome::Error);
        assert!(is_shed(&bad_actions, 2 * id + 1), "shed at once");
        unsent += usize::from(sent_to(&bad_actions, 2 * id + 1).is_none());
    }
    assert!(unsent >= 34, "{unsent} of 40 were shed without an attempt");
    // Once the key can be served again, a probe request ends the quarantine.
    let served_again = (100..140).filter(|&id| {
        driver.advance(300 * MS);
        sent_to(&submit_and_end(&mut driver, request_with_key(id, 99), Outcome::Success), id).is_some()
    });
    assert!(served_again.count() >= 20);
}

/// The same for crashes: a key whose requests lose their connection is suspected, unless it was recently
/// served.
#[test]
fn a_key_that_crashes_workers_is_quarantined_unless_recently_served() {
    let mut driver = PolicyDriver::new(single_attempt_settings(), endpoints(8, |_| 0));
    submit_and_end(&mut driver, request_with_key(1, 7), Outcome::Success);
    assert!(
        sent_to(&submit_and_end(&mut driver, request_with_key(2, 7), Outcome::ConnectionLost), 2).is_some()
    );
    assert!(
        sent_to(&submit_and_end(&mut driver, request_with_key(3, 7), Outcome::Success), 3).is_some(),
        "recently served, so not suspected yet"
    );
    assert!(
        sent_to(&submit_and_end(&mut driver, request_with_key(4, 99), Outcome::ConnectionLost), 4).is_some()
    );
    assert!(
        sent_to(&submit_and_end(&mut driver, request_with_key(5, 99), Outcome::ConnectionLost), 5).is_none(),
        "never served, so quarantined"
    );
}

/// Guards against idle connections that break unnoticed: each break ejected a live worker, and its request
/// was shed.
#[test]
fn a_broken_idle_connection_is_not_attributed_to_the_worker() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![class_settings(Idempotency::Idempotent)]),
        vec![ready_endpoint(1, 0, 0)],
    );
    for id in 0..5 {
        let mut actions = driver.handle(Event::RequestReceived(request_with_key(id, 99)));
        actions.extend(driver.advance(25 * MS));
        assert!(sent_to(&actions, id).is_some());
        let lost_idle_connection = AttemptEnd {
            id,
            attempt: 0,
            outcome: Outcome::ConnectionLost,
            request_done: false,
            not_attributable: true,
            report: None,
        };
        assert!(
            sent_to(&driver.handle(Event::AttemptEnded(lost_idle_connection)), id).is_some(),
            "retried at once on the same worker"
        );
        driver.end_attempt(id, 1, Outcome::Success);
    }
}

/// Guards against a wrong offered rate after a restart: a node whose first request came just before the end
/// of its first control period took that one as the offered rate, and shed half of the next second's while
/// its workers were idle.
#[test]
fn the_first_requests_after_an_idle_start_are_admitted_at_any_time() {
    for idle_ms in [0, 250, 500, 750, 900, 1_000, 5_000, 5_100, 5_200, 5_300, 5_400, 5_600, 5_800] {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        settings.tenants = vec![TenantSettings { quota_per_s: 1.0, share: 1.0 }];
        let mut driver = PolicyDriver::new(settings, endpoints(30, |_| 0));
        driver.advance(idle_ms * MS);
        for id in 0..20 {
            let actions = driver.handle(Event::RequestReceived(request_with_key(id, 0)));
            assert!(sent_to(&actions, id).is_some(), "request {id} after {idle_ms} ms");
            driver.handle(Event::Started { id, attempt: 0 });
            driver.advance(25 * MS);
        }
    }
}

/// Like the test of idle connections, but for a connection that is new or in use: one loss causes a backoff,
/// two in a row eject the worker.
#[test]
fn one_lost_connection_causes_a_backoff_and_two_in_a_row_eject_the_worker() {
    let mut driver = PolicyDriver::new(
        policy_settings(vec![class_settings(Idempotency::Idempotent)]),
        vec![ready_endpoint(1, 0, 0)],
    );
    driver.serve(0, 0);
    assert!(sent_to(&driver.submit(1, 0), 1).is_some());
    assert!(sent_to(&driver.end_attempt(1, 0, Outcome::ConnectionLost), 1).is_none(), "backoff");
    assert!(sent_to(&driver.advance(120 * MS), 1).is_some(), "not ejected: its request is sent there again");
    driver.end_attempt(1, 1, Outcome::ConnectionLost);
    driver.advance(120 * MS);
    assert!(sent_to(&driver.submit(2, 0), 2).is_none(), "ejected: the probe request comes later");
}

/// Guards against connections that go silent: their requests hung until the deadline, and the live workers
/// behind them were ejected for 10 s.
#[test]
fn an_unacknowledged_request_is_cancelled_and_its_worker_stays_in_use() {
    let settings =
        Settings { acknowledges: true, ..policy_settings(vec![class_settings(Idempotency::Idempotent)]) };
    let mut driver = PolicyDriver::new(settings, vec![ready_endpoint(1, 0, 0)]);
    driver.serve(0, 0);
    let submit_acknowledged = |driver: &mut PolicyDriver, id| {
        assert!(sent_to(&driver.submit(id, 0), id).is_some());
        driver.handle(Event::Acknowledged { id, attempt: 0 });
    };
    submit_acknowledged(&mut driver, 1);
    driver.handle(Event::Started { id: 1, attempt: 0 });
    assert!(sent_to(&driver.submit(2, 0), 2).is_some());
    let actions = driver.advance(230 * MS);
    assert!(actions.contains(&Action::Cancel { id: 2, attempt: 0 }), "{actions:?}");
    driver.end_attempt(2, 0, Outcome::Cancelled);
    driver.end_attempt(1, 0, Outcome::Success);
    submit_acknowledged(&mut driver, 3);
    assert!(
        !driver.advance(260 * MS).contains(&Action::Cancel { id: 3, attempt: 0 }),
        "an acknowledged request may wait"
    );
}

/// Guards against shedding whole classes after the restart of a site broke many connections at once.
#[test]
fn requests_lost_at_the_same_time_quarantine_no_class_or_tenant() {
    let mut driver = PolicyDriver::new(single_attempt_settings(), endpoints(30, |_| 0));
    (100..120).for_each(|id| drop(submit_and_end(&mut driver, request_with_key(id, 0), Outcome::Success)));
    (0..20).for_each(|id| drop(driver.handle(Event::RequestReceived(request_with_key(id, 0)))));
    driver.advance(5 * MS);
    (0..20).for_each(|id| drop(driver.end_attempt(id, 0, Outcome::ConnectionLost)));
    (20..30).for_each(|id| {
        assert!(sent_to(&submit_and_end(&mut driver, request_with_key(id, 0), Outcome::Success), id)
            .is_some())
    });
}

#[test]
fn a_class_that_fails_at_every_worker_is_quarantined_while_others_are_served() {
    let two_classes = vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::Idempotent)];
    let mut driver =
        PolicyDriver::new(Settings { max_attempts: 1, ..policy_settings(two_classes) }, endpoints(12, |_| 0));
    let mut unsent = 0;
    for id in 0..30 {
        (0..4).for_each(|i| {
            drop(submit_and_end(&mut driver, request_with_key(100 + 10 * id + i, 0), Outcome::Success))
        });
        driver.advance(400 * MS);
        let actions = submit_and_end(
            &mut driver,
            Request { class: 1, tenant: 0, ..request_with_key(id, 0) },
            Outcome::Error,
        );
        unsent += usize::from(sent_to(&actions, id).is_none());
    }
    assert!(unsent >= 10, "{unsent} of 30 were shed without an attempt");
}

/// Guards against a list that reports live workers as gone, so that the remaining ones are overloaded.
#[test]
fn with_soft_removal_a_worker_listed_as_gone_stays_in_use() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    settings.rules.soft_removal = true;
    let mut driver = PolicyDriver::new(settings, two_workers());
    for id in 0..4 {
        driver.serve(id, 0);
    }
    driver.handle(Event::EndpointList(vec![]));
    assert!(driver.serve(10, 0).is_some(), "an empty list removes no worker");
    let draining = Endpoint { availability: Availability::Draining, ..ready_endpoint(1, 0, 0) };
    driver.handle(Event::EndpointChanges(vec![draining]));
    let gone = |i| Endpoint { availability: Availability::Gone, ..ready_endpoint(i, 0, 0) };
    driver.handle(Event::EndpointChanges(vec![gone(1), gone(2)]));
    (20..30)
        .for_each(|id| assert_eq!(driver.serve(id, 0), Some(WorkerId(2)), "only draining excludes a worker"));
}

#[test]
fn with_soft_removal_a_failing_worker_listed_as_gone_gets_few_requests() {
    let mut settings = single_attempt_settings();
    settings.rules.soft_removal = true;
    let mut driver = PolicyDriver::new(settings, two_workers());
    driver.advance(5 * S);
    driver.handle(Event::EndpointList(vec![ready_endpoint(1, 0, 0)]));
    let mut count = 0;
    for id in 0..400 {
        let request = Request { time_left_us: 5 * S, ..request_with_key(id, 0) };
        let actions = driver.handle(Event::RequestReceived(request));
        let worker = sent_to(&[actions, driver.advance(30 * MS)].concat(), id);
        count += usize::from(worker == Some(WorkerId(2)));
        driver.end_attempt(
            id,
            0,
            if worker == Some(WorkerId(2)) { Outcome::ConnectFailed } else { Outcome::Success },
        );
    }
    assert!(count <= 2, "{count} of 400 were sent to it");
}

/// Guards against holding a request that is given up until its deadline: it is answered at once with a retry
/// delay.
#[test]
fn a_request_without_retry_budget_is_answered_at_once() {
    let mut settings =
        policy_settings(vec![ClassSettings { late_weight: 0.5, ..class_settings(Idempotency::Idempotent) }]);
    settings.rules.retry_budget = Some(RetryBudget { min_retries: 0.0, ratio: 0.0, window_us: S });
    for outcome in [Outcome::Rejected, Outcome::Error, Outcome::ConnectionLost, Outcome::ConnectFailed] {
        let mut driver = PolicyDriver::new(settings.clone(), two_workers());
        driver.submit(1, 0);
        assert_eq!(driver.end_attempt(1, 0, outcome), [Action::Reject { id: 1, retry_after_us: 2 * S }]);
        assert!(driver.advance(6 * S).is_empty());
    }
}

/// Guards against overloading the origin store: without affinity, workers fetched data for two of three
/// attempts.
#[test]
fn dispatchers_send_a_key_to_the_same_worker_if_fetches_have_a_price() {
    let settings = Settings {
        origin_fetch_price: 0.15,
        ..policy_settings(vec![class_settings(Idempotency::Idempotent)])
    };
    let first_worker = |seed, key| {
        let mut policy = dispatch_policy::Policy::new(settings.clone(), seed, S).unwrap();
        let mut actions = Vec::new();
        policy.handle(S, &Event::EndpointList(endpoints(20, |_| 0)), &mut actions);
        policy.handle(S, &Event::RequestReceived(request_with_key(1, key)), &mut actions);
        (1..15).for_each(|i| policy.handle(S + i * 20 * MS, &Event::TimerExpired, &mut actions));
        sent_to(&actions, 1).expect("sent within its slack")
    };
    for key in 1..6 {
        let workers: std::collections::BTreeSet<WorkerId> =
            (0..10).map(|seed| first_worker(seed, key)).collect();
        assert_eq!(workers.len(), 1, "key {key}");
    }
    assert!((1..12).map(|key| first_worker(0, key)).collect::<std::collections::BTreeSet<_>>().len() > 3);
}

/// Guards against avoiding a worker for all classes when it rejects one and has capacity for others.
#[test]
fn a_rejected_class_backs_off_alone_while_others_find_capacity() {
    let classes = vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::Idempotent)];
    let mut driver = PolicyDriver::new(
        Settings { max_attempts: 1, ..policy_settings(classes) },
        vec![ready_endpoint(1, 0, 0)],
    );
    let (mut id, mut rejected_count) = (0, 0);
    for _ in 0..12 {
        id += 1;
        let worker = sent_to(
            &submit_and_end(&mut driver, Request { class: 1, ..request_with_key(id, 0) }, Outcome::Rejected),
            id,
        );
        rejected_count += usize::from(worker.is_some());
        driver.advance(S);
        for _ in 0..4 {
            id += 1;
            assert!(sent_to(&driver.handle(Event::RequestReceived(request_with_key(id, 0))), id).is_some());
            driver.handle(Event::Started { id, attempt: 0 });
            driver.advance(100 * MS);
            driver.end_attempt(id, 0, Outcome::Success);
        }
    }
    id += 1;
    submit_and_end(&mut driver, Request { class: 1, ..request_with_key(id, 0) }, Outcome::Rejected);
    id += 1;
    let actions = driver.handle(Event::RequestReceived(Request { class: 1, ..request_with_key(id, 0) }));
    assert_eq!(sent_to(&actions, id), None, "the class backs off ({rejected_count} were rejected)");
    id += 1;
    assert!(
        sent_to(&driver.handle(Event::RequestReceived(request_with_key(id, 0))), id).is_some(),
        "the other class is still sent there"
    );
}

/// Guards against requests that wait for probes of workers whose load reports only repeat outdated values.
#[test]
fn workers_whose_load_reports_never_change_are_not_probed() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    (settings.reports_start, settings.can_probe, settings.reports_free_slots) = (false, true, true);
    let mut driver = PolicyDriver::new(settings, vec![ready_endpoint(1, 0, 0)]);
    let report = Some(LoadReport { free_slots: Some(3.25), ..LoadReport::default() });
    let mut probe_count = 0;
    for id in 0..40 {
        let mut actions = driver.handle(Event::RequestReceived(request_with_key(2 * id, 0)));
        let probes = actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count();
        probe_count += usize::from(id >= 30) * probes;
        for _ in 0..probes {
            actions.extend(driver.handle(Event::ProbeEnded { worker: WorkerId(1), responded: true, report }));
        }
        driver.handle(Event::RequestReceived(request_with_key(2 * id + 1, 0)));
        driver.advance(20 * MS);
        for id in [2 * id, 2 * id + 1] {
            let (outcome, request_done) = (Outcome::Success, true);
            driver.handle(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: 0,
                outcome,
                request_done,
                not_attributable: false,
                report,
            }));
        }
        driver.advance(100 * MS);
    }
    assert_eq!(probe_count, 0);
}

/// Guards against clients' retries that use up their tenant's share before new requests.
#[test]
fn an_unmarked_retry_with_less_time_left_follows_new_requests() {
    let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    settings.unmarked_retries = true;
    settings.tenants = vec![TenantSettings { quota_per_s: 1.0, share: 1.0 }];
    let mut driver = PolicyDriver::new(settings, vec![]);
    driver.submit(1, 0);
    driver.advance(780 * MS);
    driver
        .handle(Event::RequestReceived(Request { time_left_us: 5 * S - 40 * MS, ..request_with_key(2, 0) }));
    driver.handle(Event::RequestReceived(request_with_key(3, 0)));
    let actions = driver.handle(Event::EndpointList(vec![ready_endpoint(1, 0, 0)]));
    let order: Vec<RequestId> = actions
        .iter()
        .filter_map(|a| match a {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        })
        .collect();
    assert!(!order.is_empty() && order[0] != 2, "{order:?}");
}

/// Requests that are open when the settings change keep their number of attempts and their class's rules;
/// later ones follow the new settings.
#[test]
fn open_requests_keep_their_attempts_and_rules_when_settings_change() {
    let old_settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
    let mut driver = PolicyDriver::new(old_settings.clone(), two_workers());
    assert!(sent_to(&driver.submit(1, 0), 1).is_some());
    let new_settings = Settings {
        classes: vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::NotIdempotent)],
        retired_classes: vec![0],
        max_attempts: 1,
        ..old_settings.clone()
    };
    driver.handle(Event::SettingsChanged {
        settings: Box::new(new_settings),
        inherits_from: vec![None, Some(0)],
    });
    assert!(sent_to(&driver.submit(2, 1), 2).is_some());
    assert_eq!(driver.end_attempt(2, 0, Outcome::Error), [Action::Fail { id: 2 }], "not idempotent");
    let mut actions = driver.end_attempt(1, 0, Outcome::Rejected);
    actions.extend(driver.advance(S));
    assert!(sent_to(&actions, 1).is_some(), "it has attempts left: {actions:?}");
    let mut actions = driver.submit(3, 1);
    actions.extend(driver.advance(S));
    assert!(sent_to(&actions, 3).is_some());
    let rejected = driver.end_attempt(3, 0, Outcome::Rejected);
    assert!(is_shed(&rejected, 3), "only one attempt: {rejected:?}");
    // Settings that remove indexes would change the meaning of open requests, so they are ignored.
    driver.handle(Event::SettingsChanged { settings: Box::new(old_settings), inherits_from: vec![None] });
    driver.handle(Event::EndpointChanges(vec![ready_endpoint(3, 0, 0)]));
    assert!(sent_to(&driver.submit(4, 1), 4).is_some());
    assert_eq!(driver.end_attempt(4, 0, Outcome::Error), [Action::Fail { id: 4 }], "still not idempotent");
}

/// Guards against the loss of learned state: workers keep their state under new settings, and a class that
/// continues with other rules keeps its run times.
#[test]
fn learned_state_is_kept_when_settings_change() {
    let old_settings = policy_settings(vec![class_settings(Idempotency::WithKey(KeyScope::Fleet))]);
    let mut driver = PolicyDriver::new(old_settings.clone(), vec![ready_endpoint(1, 0, 0)]);
    assert!(sent_to(&driver.submit(1, 0), 1).is_some());
    driver.end_attempt(1, 0, Outcome::ConnectFailed); // ejects the worker
    let classes = vec![
        class_settings(Idempotency::WithKey(KeyScope::Fleet)),
        class_settings(Idempotency::WithKey(KeyScope::Zone)),
    ];
    let new_settings = Settings { classes, retired_classes: vec![0], ..old_settings };
    let actions = driver.handle(Event::SettingsChanged {
        settings: Box::new(new_settings),
        inherits_from: vec![None, Some(0)],
    });
    assert!(
        actions.is_empty() && sent_to(&driver.submit(2, 1), 2).is_none(),
        "the worker is still ejected: {actions:?}"
    );
}

/// Guards against a repeat outside the cell of the first attempt: the worker of an adopted request is not in the list of this
/// process, so its cell is unknown, and a repeat could go to a cell that does not know the key.
#[test]
fn a_keyed_request_of_an_unlisted_worker_is_repeated_only_if_the_whole_fleet_knows_its_key() {
    for (scope, is_repeated) in [(KeyScope::Fleet, true), (KeyScope::Zone, false), (KeyScope::Cell, false)] {
        let classes = vec![class_settings(Idempotency::WithKey(scope))];
        let mut driver = PolicyDriver::new(policy_settings(classes), vec![ready_endpoint(1, 0, 0)]);
        let request = Request { id: 1, time_left_us: 4 * S, ..Request::default() };
        let adopted = Event::RequestAdopted {
            request,
            worker: WorkerId(9),
            max_attempts: 3,
            since_sent_us: S / 10,
            since_started_us: None,
        };
        assert!(driver.handle(adopted).is_empty());
        let actions = driver.end_attempt(1, 0, Outcome::Error);
        assert_eq!(sent_to(&actions, 1).is_some(), is_repeated, "{scope:?}");
    }
}

/// Guards against review 7: workers of zones that the settings do not name counted as in one zone, also once the settings name
/// them and the list has told them again. A keyed request whose first attempt may have run goes to a worker of the same zone only
/// if both zones are known.
#[test]
fn a_request_keyed_by_zone_is_not_repeated_in_a_zone_that_may_be_another_one() {
    let in_zone = |worker: u64, zone: u8| Endpoint { zone, ..ready_endpoint(worker, 0, 0) };
    for (zones, is_repeated) in [
        ([UNKNOWN_ZONE, UNKNOWN_ZONE], false),
        ([1, UNKNOWN_ZONE], false),
        ([UNKNOWN_ZONE, 1], false),
        ([1, 2], false),
        ([1, 1], true),
    ] {
        let classes = vec![class_settings(Idempotency::WithKey(KeyScope::Zone))];
        let first = in_zone(1, UNKNOWN_ZONE);
        let mut driver = PolicyDriver::new(policy_settings(classes), vec![first]);
        driver.handle(Event::EndpointChanges(vec![in_zone(1, zones[0])]));
        let request = Request { id: 1, time_left_us: 4 * S, ..Request::default() };
        assert!(sent_to(&driver.handle(Event::RequestReceived(request)), 1).is_some());
        // The list tells another zone of the first worker while the request runs: where it ran counts.
        driver.handle(Event::EndpointChanges(vec![in_zone(1, zones[1]), in_zone(2, zones[1])]));
        let actions = driver.end_attempt(1, 0, Outcome::Error);
        assert_eq!(sent_to(&actions, 1).is_some(), is_repeated, "zones {zones:?}");
    }
}

/// An adopted request keeps the number of attempts with which it was accepted.
#[test]
fn an_adopted_request_keeps_its_number_of_attempts() {
    for (max_attempts, is_repeated) in [(1, false), (2, true)] {
        let classes = vec![class_settings(Idempotency::Idempotent)];
        let mut driver = PolicyDriver::new(
            policy_settings(classes),
            vec![ready_endpoint(1, 0, 0), ready_endpoint(2, 0, 0)],
        );
        let request = Request { id: 1, time_left_us: 4 * S, ..Request::default() };
        let (worker, since_started_us) = (WorkerId(1), None);
        let since_sent_us = S / 10;
        driver.handle(Event::RequestAdopted {
            request,
            worker,
            max_attempts,
            since_sent_us,
            since_started_us,
        });
        let actions = driver.end_attempt(1, 0, Outcome::Error);
        assert_eq!(sent_to(&actions, 1).is_some(), is_repeated, "{max_attempts} attempts");
    }
}

/// Requests adopted from another process while they run count toward the worker's limit, follow the rules of
/// their class and have one outcome. A worker that is not in the endpoint list gets no new requests.
#[test]
fn a_request_adopted_from_another_process_continues() {
    let classes = vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::NotIdempotent)];
    let mut driver = PolicyDriver::new(policy_settings(classes), vec![ready_endpoint(1, 0, 0)]);
    let adopt = |driver: &mut PolicyDriver, id, class, worker| {
        let request = Request { id, class, time_left_us: 4 * S, ..Request::default() };
        driver.handle(Event::RequestAdopted {
            request,
            worker: WorkerId(worker),
            max_attempts: 3,
            since_sent_us: S,
            since_started_us: Some(S / 2),
        })
    };
    for id in 1..3 {
        assert!(adopt(&mut driver, id, 1, 1).is_empty());
    }
    assert!(sent_to(&driver.submit(3, 0), 3).is_none(), "the concurrency limit is two");
    assert!(sent_to(&driver.end_attempt(1, 0, Outcome::Success), 3).is_some());
    assert_eq!(driver.end_attempt(2, 0, Outcome::ConnectionLost), [Action::Fail { id: 2 }], "not idempotent");
    assert!(adopt(&mut driver, 4, 0, 9).is_empty());
    let mut actions = driver.end_attempt(4, 0, Outcome::Rejected);
    actions.extend(driver.advance(S));
    assert!(actions.iter().all(|a| !matches!(a, Action::Send { worker: WorkerId(9), .. })));
    assert!(driver.advance(5 * S).iter().all(|a| !matches!(a, Action::Reject { id: 2, .. })));
}

/// A fleet so large that one dispatcher's observations of a worker say little. Two kinds, with idle weights 6
/// and 2.
fn large_fleet(classes: Vec<ClassSettings>) -> (Settings, Vec<Endpoint>) {
    let endpoint = |i: u64, kind: u8, weight: f64| Endpoint { kind, weight, ..ready_endpoint(i, 0, 0) };
    // Each kind with no, one and two requests in flight: five cores of speed 1.2, two cores of speed 1.
    let weights = [(0, 6.0), (0, 5.0), (0, 6.0 / 1.4), (1, 2.0), (1, 2.0 / 1.5), (1, 1.0)];
    let list = weights
        .iter()
        .enumerate()
        .map(|(i, (kind, weight))| endpoint(i as u64 + 1, *kind, *weight))
        .collect();
    (
        Settings {
            live_weights: true,
            dispatchers: 100,
            worst_class_weight: 0.3,
            ..policy_settings(classes)
        },
        list,
    )
}

/// Guards against overloading the small workers: each dispatcher alone would use all workers alike.
#[test]
fn many_dispatchers_place_requests_by_live_weights() {
    let (settings, list) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
    let mut driver = PolicyDriver::new(settings, list);
    let mut counts = [0; 7];
    for id in 1..=600 {
        let Some(WorkerId(worker)) = driver.serve(id, 0) else { continue };
        counts[worker as usize] += 1;
    }
    assert!(counts[1] > counts[2] && counts[2] > counts[3], "{counts:?}: fewer to fuller workers");
    assert!(counts[4] > counts[5] && counts[5] > counts[6], "{counts:?}");
    assert!(counts[1] > 4 * counts[4], "{counts:?}: in proportion to size");
    assert!(counts[4] > 0, "{counts:?}: at random, not all to the best");
}

/// Guards against a whole fleet that ejects a busy worker: behind other dispatchers' requests, an
/// acknowledged request waits as long as it can be in time, and its worker is not considered unresponsive.
#[test]
fn a_request_queued_at_a_worker_of_a_large_fleet_waits_until_it_is_late() {
    let (settings, list) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
    // The draining one shows the effect of one request on the weight; the last has five requests on its five
    // cores.
    let draining = Endpoint { availability: Availability::Draining, ..list[1].clone() };
    let list = vec![list[0].clone(), draining, Endpoint { weight: 3.0, ..list[0].clone() }];
    let mut driver = PolicyDriver::new(Settings { acknowledges: true, ..settings }, list);
    let request =
        |id| Request { id, class: 0, time_left_us: 5 * S, work_hint_us: Some(S), ..Request::default() };
    assert_eq!(sent_to(&driver.handle(Event::RequestReceived(request(1))), 1), Some(WorkerId(1)));
    assert!(driver.handle(Event::Acknowledged { id: 1, attempt: 0 }).is_empty());
    // It may start up to 0.2 s + (2 - 1 / 1.2) s after it was received.
    assert!(driver.advance(1300 * MS).is_empty());
    assert_eq!(driver.advance(300 * MS), [Action::Cancel { id: 1, attempt: 0 }]);
    assert!(is_shed(&driver.end_attempt(1, 0, Outcome::Cancelled), 1));
    assert_eq!(sent_to(&driver.submit(2, 0), 2), Some(WorkerId(1)), "the worker is not ejected");
}

/// Protects the worst-served class: the better served one leaves it the full workers.
#[test]
fn the_better_served_class_waits_for_capacity_in_a_large_fleet() {
    let (settings, list) =
        large_fleet(vec![class_settings(Idempotency::Idempotent), class_settings(Idempotency::Idempotent)]);
    let full: Vec<Endpoint> =
        list.iter().map(|e| Endpoint { weight: e.weight.min(0.5), ..e.clone() }).collect();
    let sent_classes = |second_class_late: bool, worst_class_weight: f64| {
        let mut driver = PolicyDriver::new(Settings { worst_class_weight, ..settings.clone() }, list.clone());
        if second_class_late {
            driver.handle(Event::EndpointList(full.clone()));
            // Requests of the second class repeatedly wait too long at their workers.
            for id in 1..=5 {
                driver.submit(id, 1);
                driver.advance(600 * MS);
                driver.end_attempt(id, 0, Outcome::Cancelled);
            }
        }
        driver.handle(Event::EndpointList(full.clone()));
        (sent_to(&driver.submit(11, 0), 11).is_some(), sent_to(&driver.submit(12, 1), 12).is_some())
    };
    assert_eq!(sent_classes(false, 0.3), (true, true));
    assert_eq!(sent_classes(true, 0.3), (false, true));
    assert_eq!(sent_classes(true, 0.0), (true, true), "without a weight for the worst-served class");
}

/// Guards against a cold worker that stays idle or is overloaded because one dispatcher's low traffic says
/// little about its capacity: the shares of all dispatchers together stay within its guaranteed capacity.
#[test]
fn all_dispatchers_together_use_a_part_of_a_cold_workers_capacity() {
    let total_sent = |dispatchers: u32, max_senders: u32| {
        let (settings, mut list) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
        let settings = Settings { dispatchers, max_senders, ..settings };
        let mut total = 0;
        for ordinal in 0..100 {
            let settings = Settings { ordinal, ..settings.clone() };
            let mut driver = PolicyDriver::new(settings.clone(), vec![]);
            driver.policy = dispatch_policy::Policy::new(settings, u64::from(ordinal), S).unwrap();
            list.iter_mut().for_each(|e| e.started_at = S);
            driver.handle(Event::EndpointList(list.clone()));
            // Requests of 1 s arrive so often that no slot stays unused; the first may start after some
            // seconds.
            for id in 1..=60 {
                let time_left_us = 5 * S;
                let request =
                    Request { id, class: 0, time_left_us, work_hint_us: Some(S), ..Request::default() };
                let mut actions = driver.handle(Event::RequestReceived(request));
                actions.extend(driver.advance(100 * MS));
                for action in actions {
                    let Action::Send { id, .. } = action else { continue };
                    total += 1;
                    driver.handle(Event::Started { id, attempt: 0 });
                    driver.end_attempt(id, 0, Outcome::Success);
                }
            }
        }
        f64::from(total)
    };
    // Within 6 s: six workers with a total weight of 24, at 0.2 to 0.44 of it. Three times that would break
    // the rule.
    let guaranteed = 24.0 * 0.32 * 6.0;
    // Half of the fleet considers the other half dead, but that may be a network partition: the shares stay
    // the same.
    for (dispatchers, max_senders) in [(100, 0), (50, 100)] {
        let total = total_sent(dispatchers, max_senders);
        assert!(
            total > 0.9 * guaranteed && total < 2.0 * guaranteed,
            "{dispatchers} dispatchers, {max_senders} senders: {total} sent, {guaranteed} guaranteed"
        );
    }
    assert!(
        total_sent(50, 0) > 1.5 * total_sent(50, 100),
        "in a smaller fleet each dispatcher may send more"
    );
}

/// Guards against probe requests that are few from each node and many in total: an ejected worker's next one
/// comes later the more dispatchers there are, and is sent at random where other workers have capacity.
#[test]
fn each_of_more_dispatchers_sends_fewer_probe_requests() {
    let probe_requests = |dispatchers: u32, seed: u64| {
        let (settings, list) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
        let settings = Settings { dispatchers, ..settings };
        let mut driver = PolicyDriver::new(settings.clone(), vec![]);
        driver.policy = dispatch_policy::Policy::new(settings, seed, S).unwrap();
        driver.handle(Event::EndpointList(list));
        let (mut id, mut count) = (0, 0);
        while driver.now < 200 * S {
            id += 1;
            let Some(worker) = sent_to(&driver.submit(id, 0), id) else { continue };
            let mut attempt = 0;
            if worker == WorkerId(1) {
                count += 1;
                let actions =
                    [driver.end_attempt(id, 0, Outcome::ConnectFailed), driver.advance(25 * MS)].concat();
                assert!(sent_to(&actions, id).is_some_and(|worker| worker != WorkerId(1)));
                attempt = 1;
            }
            driver.handle(Event::Started { id, attempt });
            driver.end_attempt(id, attempt, Outcome::Success);
            driver.advance(75 * MS);
        }
        count
    };
    let total_probe_requests =
        |dispatchers: u32| (0..20).map(|seed| probe_requests(dispatchers, seed)).sum::<i32>();
    let (few, many) = (total_probe_requests(33), total_probe_requests(330));
    assert!(
        few >= 20 * 20 && many >= 20 * 5 && 3 * many <= 2 * few,
        "{few} with 33 dispatchers, {many} with 330"
    );
}

/// Guards against slow start slots that no node uses: a node with a slot selects an idle cold worker as
/// likely as an idle warm one, and more likely than a full one.
#[test]
fn a_cold_worker_with_a_slot_is_selected_by_its_weight() {
    let (settings, mut list) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
    list.truncate(3);
    // The first is cold and idle; two others of its kind have five requests on five cores.
    list[0].started_at = S;
    list[1].weight = 3.0;
    list[2].weight = 3.0;
    let (mut cold, mut full) = (0, 0);
    for node in 0..1000 {
        let settings = Settings { ordinal: node % 100, ..settings.clone() };
        let mut driver = PolicyDriver::new(settings.clone(), vec![]);
        driver.policy = dispatch_policy::Policy::new(settings, u64::from(node), S).unwrap();
        driver.handle(Event::EndpointList(vec![Endpoint { weight: 5.0, started_at: 0, ..list[0].clone() }]));
        driver.handle(Event::EndpointList(list.clone()));
        driver.now = 4 * S + Micros::from(node / 100) * S;
        match sent_to(&driver.submit(1, 0), 1) {
            Some(WorkerId(1)) => cold += 1,
            Some(_) => full += 1,
            None => {}
        }
    }
    // A slot of a third of a second, at 0.3 to 0.7 of six requests per second, times three, half of it used:
    // about one slot per hundred nodes, and two of three owners select the idle worker.
    assert!((5..40).contains(&cold), "{cold} of 1000 nodes");
    assert!(cold + full == 1000, "{full} of 1000 nodes use the full ones");
}

/// Guards against a fleet that waits for an unresponsive worker: if the list shows that a worker has
/// capacity, a request that does not start there is soon sent elsewhere.
#[test]
fn a_request_that_does_not_start_despite_listed_capacity_is_sent_elsewhere() {
    let (settings, mut list) = large_fleet(vec![ClassSettings {
        objective_per_work: 8.0,
        ..class_settings(Idempotency::Idempotent)
    }]);
    list.truncate(2);
    let mut driver = PolicyDriver::new(Settings { acknowledges: true, ..settings }, list);
    let request =
        Request { id: 1, class: 0, time_left_us: 5 * S, work_hint_us: Some(S), ..Request::default() };
    let first = sent_to(&driver.handle(Event::RequestReceived(request)), 1).unwrap();
    driver.handle(Event::Acknowledged { id: 1, attempt: 0 });
    // It could be in time for seconds, but the typical time of 0.2 s without a start is enough to cancel it.
    assert_eq!(driver.advance(300 * MS), [Action::Cancel { id: 1, attempt: 0 }]);
    let second = sent_to(&driver.end_attempt(1, 0, Outcome::Cancelled), 1).unwrap();
    assert_ne!(first, second);
}

/// Guards the price of crossing zones: a purely random choice would send most requests to other zones, where
/// most workers are.
#[test]
fn few_requests_cross_zones_while_near_workers_have_capacity() {
    let (settings, _) = large_fleet(vec![class_settings(Idempotency::Idempotent)]);
    let list = (1..=40).map(|i| Endpoint { weight: 6.0, ..ready_endpoint(i, u8::from(i > 10), 0) }).collect();
    let mut driver = PolicyDriver::new(Settings { cross_zone_price: 0.03, ..settings }, list);
    let cross_zone = (1..=400).filter_map(|id| driver.serve(id, 0)).filter(|worker| worker.0 > 10).count();
    assert!((20..140).contains(&cross_zone), "{cross_zone} of 400 cross zones");
}

/// Reserves retries for lost work: rejected requests use at most half of the retry budget.
#[test]
fn rejected_requests_leave_half_of_the_retry_budget_to_lost_ones() {
    let retries_after = |outcome: Outcome| {
        let mut settings = policy_settings(vec![class_settings(Idempotency::Idempotent)]);
        settings.rules.retry_budget = Some(RetryBudget { min_retries: 8.0, ratio: 0.0, window_us: 1000 * S });
        let mut driver = PolicyDriver::new(settings, endpoints(30, |_| 0));
        let mut retries = 0;
        for id in 0..30 {
            if sent_to(&driver.submit(id, 0), id).is_none() {
                continue;
            }
            driver.handle(Event::Started { id, attempt: 0 });
            let actions = [driver.end_attempt(id, 0, outcome), driver.advance(25 * MS)].concat();
            retries += u32::from(sent_to(&actions, id).is_some());
            driver.handle(Event::Started { id, attempt: 1 });
            driver.end_attempt(id, 1, Outcome::Success);
        }
        retries
    };
    assert_eq!((retries_after(Outcome::Rejected), retries_after(Outcome::Cancelled)), (4, 8));
}
