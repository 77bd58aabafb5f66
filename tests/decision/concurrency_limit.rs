//! The concurrency limit: how it follows failures, latency and demand.

use crate::harness::{
    attempt_ended, attempt_succeeded, request, started_attempts, without_retries, Harness,
    StartedAttempt,
};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Event, Idempotency, RequestId, Settings,
};

/// Returns how many slots the only upstream has after one attempt with each of these outcomes and a
/// final success. The number next to an outcome is how long the attempt's connection had been idle,
/// in seconds. The balancer's even share of the upstream is two slots.
fn slots_after_losses(outcomes: &[(AttemptOutcome, f64)]) -> u64 {
    let mut harness = Harness::new(without_retries(Settings::simple()), 1);
    harness.handle(request(1, 0, 2.0));
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    for (id, (outcome, idle)) in (10..).zip(outcomes) {
        harness.now += 0.1;
        harness.handle(request(id, 0, 2.0));
        harness.handle(Event::AttemptEnded(AttemptResult {
            id: RequestId(id),
            attempt: 0,
            outcome: *outcome,
            elapsed: 0.001,
            connection_idle: Some(*idle),
            is_request_concluded: false,
        }));
    }
    // The losses may eject the upstream; such an ejection lasts less than 20 s.
    harness.now += 20.0;
    harness.handle(request(50, 0, 2.0));
    harness.handle(attempt_ended(50, 0, AttemptOutcome::Success));
    harness.fill_slots(100, 0) - 100
}

/// A connection may break for many reasons, so a single broken one must not keep the limit low.
#[test]
fn single_broken_connection_does_not_keep_the_limit_low() {
    for outcome in [AttemptOutcome::Reset, AttemptOutcome::ConnectFailed] {
        assert_eq!(
            slots_after_losses(&[(outcome, 0.0)]),
            2,
            "slots after one loss: {outcome:?}"
        );
        // Three losses without a response between them count against the upstream.
        assert_eq!(
            slots_after_losses(&[(outcome, 0.0); 3]),
            1,
            "slots after three losses: {outcome:?}"
        );
    }
    // An idle connection may have been dropped on the path, so its reset does not count against
    // the upstream.
    assert_eq!(slots_after_losses(&[(AttemptOutcome::Reset, 0.5); 3]), 2);
}

/// The first tier bounds the requests that reach deeper tiers. If a deeper tier lowered its limit
/// too, the requests queued there would hold slots in the first tier.
#[test]
fn limit_grows_in_deeper_tiers_despite_slow_responses() {
    let attempts_in_tier = |tier: usize| {
        let mut harness = Harness::new(
            Settings {
                tier,
                tier_count: 3,
                peer_count: 6,
                ..Settings::simple()
            },
            1,
        );
        for id in 1..=100 {
            harness.handle(request(id, 0, 2.0));
            harness.now += 0.01;
            if id % 2 == 0 {
                harness.handle(attempt_succeeded(id / 2, 0.9));
            }
        }
        harness.balancer.load().attempts_in_flight
    };
    assert!(
        attempts_in_tier(1) > attempts_in_tier(0),
        "{} attempts in flight in tier 1, {} in tier 0",
        attempts_in_tier(1),
        attempts_in_tier(0)
    );
}

/// Whatever the limit is, a balancer may send a single request to an upstream with nothing in
/// flight. If each of many balancers always did so, the limit would have no effect. Under
/// congestion, they therefore pause after each single request.
#[test]
fn single_request_allowance_is_reduced_under_congestion_in_large_fleets() {
    let is_paused = |peer_count: usize| {
        let mut harness = Harness::new(
            Settings {
                peer_count,
                ..Settings::simple()
            },
            3,
        );
        for id in 1..=60 {
            harness.handle(request(id, 0, 20.0));
            harness.now += 1.0;
            harness.handle(attempt_succeeded(id, 0.9));
        }
        let ids = [101, 102, 103, 104];
        let started: Vec<_> = ids
            .iter()
            .flat_map(|id| started_attempts(&harness.handle(request(*id, 0, 20.0))))
            .collect();
        let actions = harness.handle(attempt_ended(
            started[0].request,
            0,
            AttemptOutcome::Success,
        ));
        let queued = ids
            .iter()
            .find(|id| !started.iter().any(|attempt| attempt.request == **id))
            .unwrap();
        let dispatched = started_attempts(&actions).len();
        let timer = |a: &Action| matches!(a, Action::SetTimer { .. });
        assert!(
            dispatched > 0 || actions.iter().any(timer),
            "expected a dispatched request or a timer, received {actions:?}"
        );
        assert_eq!(
            dispatched + started_attempts(&harness.fire_timer_after(0.2, *queued)).len(),
            1,
            "requests dispatched immediately or after the pause"
        );
        dispatched == 0
    };
    assert!(is_paused(300) && !is_paused(2));
}

#[test]
fn raised_limit_decays_slowly() {
    // The limit grows because requests are queued and responses are fast. Each of the twenty
    // requests that follow arrives after the end of the previous one, so one slot would be enough.
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let mut started = Vec::new();
    for id in 1..=200 {
        started.extend(started_attempts(&harness.handle(request(id, 0, 5.0))));
        if id % 2 == 0 && !started.is_empty() {
            let first = started.remove(0).request;
            started.extend(started_attempts(&harness.handle(attempt_ended(
                first,
                0,
                AttemptOutcome::Success,
            ))));
        }
        harness.now += 0.01;
    }
    let raised = harness.balancer.load().attempts_in_flight;
    assert!(
        raised > 3,
        "{raised} attempts in flight, expected more than 3; an even share is two"
    );
    while let Some(StartedAttempt { request: id, .. }) = started.pop() {
        started.extend(started_attempts(&harness.handle(attempt_ended(
            id,
            0,
            AttemptOutcome::Success,
        ))));
    }
    for id in 301..=320 {
        harness.handle(request(id, 0, 5.0));
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
    }
    let queued = harness.fill_slots(400, 0);
    assert!(
        queued - 400 >= 4,
        "{} slots, reduced from {raised}, expected at least 4; an even share is two",
        queued - 400
    );
}

/// Returns how many slots one upstream has after `responses` responses while requests are always
/// queued. `elapsed` returns the latency of each response in seconds, by its number from 1.
fn slots_after_responses(responses: u64, elapsed: impl Fn(u64) -> f64) -> usize {
    let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 1);
    let mut started = Vec::new();
    for id in 1..=responses {
        started.extend(started_attempts(&harness.handle(request(id, 0, 50.0))));
        let first = started.remove(0).request;
        let success = attempt_succeeded(first, elapsed(id));
        started.extend(started_attempts(&harness.handle(request(
            1000 + id,
            0,
            50.0,
        ))));
        started.extend(started_attempts(&harness.handle(success)));
        harness.now += 0.01;
    }
    harness.balancer.load().attempts_in_flight
}

/// Processing alone may take a large part of the latency objective, which is one second. Only
/// latency above the baseline therefore counts as congestion.
#[test]
fn limit_grows_while_latency_is_at_its_baseline() {
    let at_baseline = slots_after_responses(400, |_| 0.35);
    let above_baseline = slots_after_responses(400, |id| if id < 100 { 0.35 } else { 0.7 });
    assert!(
        at_baseline > 4,
        "{at_baseline} slots, expected more than 4; an even share is two"
    );
    assert!(
        above_baseline <= 2,
        "{above_baseline} slots, expected at most the even share of two"
    );
    // A balancer that starts under congestion observes no lower latency, and must not take the
    // latency under congestion for the baseline.
    let congested = slots_after_responses(400, |_| 0.9);
    assert!(
        congested <= 2,
        "{congested} slots, expected at most the even share of two"
    );
}

/// Some responses are late for reasons other than congestion, such as slow connection setup in a
/// service that the upstream calls. Congestion delays most responses.
#[test]
fn tail_latency_is_not_congestion() {
    let late =
        |count: u64, of: u64| move |id: u64| if id > 40 && id % of < count { 1.5 } else { 0.1 };
    let at_baseline = slots_after_responses(400, late(0, 1));
    for (count, of) in [(1, 4), (1, 3), (2, 5)] {
        let tail = slots_after_responses(400, late(count, of));
        assert_eq!(tail, at_baseline, "{count} of {of} responses are late");
    }
    let congested = slots_after_responses(400, late(3, 4));
    assert!(
        congested <= 2,
        "{congested} slots, expected at most the even share of two"
    );
}

/// If the limit of a restarted balancer grew slowly, the balancer would reject requests for a long
/// time although its upstreams have capacity.
#[test]
fn limit_of_a_new_balancer_grows_fast_until_congestion() {
    let fresh = slots_after_responses(24, |_| 0.2);
    assert!(
        fresh >= 8,
        "{fresh} slots after 24 responses, expected at least 8"
    );
    // Late responses lower the limit, which grows slowly once they have ended.
    let before = slots_after_responses(80, |id| if (24..56).contains(&id) { 0.9 } else { 0.2 });
    let after = slots_after_responses(100, |id| if (24..56).contains(&id) { 0.9 } else { 0.2 });
    assert!(
        (before..=before + 3).contains(&after) && after < fresh,
        "{before} slots after 80 responses, {after} after 100, {fresh} before congestion"
    );
}
