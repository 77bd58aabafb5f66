//! Slow start of one balancer's upstreams.

use crate::harness::{
    attempt_ended, class, entry, request, started_attempts, Harness, StartedAttempt,
};
use load_balancer::{
    AttemptOutcome, Balancer, Event, Idempotency, ListScope, Settings, UpstreamEntry,
};

/// Sends 200 requests and returns how many of them go to upstream 10, the last of ten upstreams.
fn requests_to_the_last(harness: &mut Harness) -> u32 {
    let mut count = 0;
    for id in 1..=200 {
        count += u32::from(harness.send(request(id, 0, 2.0)) == 10);
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
    }
    count
}

#[test]
fn warming_upstream_gets_its_share_of_capacity() {
    // One of ten upstreams started `age` seconds ago with a fifth of its capacity.
    let count = |age: f64| {
        let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 9);
        harness.update_endpoints(
            ListScope::Delta,
            vec![UpstreamEntry {
                started_at: harness.now,
                ..entry(10)
            }],
        );
        harness.now += age;
        requests_to_the_last(&mut harness)
    };
    assert!(
        (2..=5).contains(&count(0.0)),
        "{} of 200 requests at the start, expected 2 to 5",
        count(0.0)
    );
    assert!(
        (9..=13).contains(&count(5.0)),
        "{} of 200 requests half-way, expected 9 to 13",
        count(5.0)
    );
    assert_eq!(count(10.0), 20);
}

/// Adds an upstream that started at `started_at` to the endpoint list.
fn list_upstream(harness: &mut Harness, id: u64, started_at: f64) {
    let started = UpstreamEntry {
        started_at,
        ..entry(id)
    };
    harness.update_endpoints(ListScope::Delta, vec![started]);
}

#[test]
fn upstream_age_does_not_depend_on_wall_clocks() {
    for clock_offset in [-3600.0, -5.0, 0.0, 5.0, 3600.0] {
        let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 9);
        harness.now += 10_000.0;
        let started_at = harness.now - clock_offset;
        list_upstream(&mut harness, 10, started_at);
        let count = requests_to_the_last(&mut harness);
        assert!(
            (2..=5).contains(&count),
            "{count} of 200 requests at the start, expected 2 to 5; clock {clock_offset} s fast"
        );
        harness.now += 10.0;
        let count = requests_to_the_last(&mut harness);
        assert!(
            (18..=22).contains(&count),
            "{count} of 200 requests after slow start, expected 18 to 22; clock {clock_offset} s \
             fast"
        );
    }
}

/// When a start is listed, the age of the upstream is the delay between the start and its listing,
/// less the smallest such delay seen so far.
#[test]
fn start_listed_late_counts_as_older() {
    // A network fault may delay the listing of the second start.
    for (delay, min, max) in [(0.5, 2, 5), (5.5, 9, 13), (10.5, 18, 22)] {
        let mut harness = Harness::with_classes(&[Idempotency::Idempotent], 9);
        let now = harness.now;
        list_upstream(&mut harness, 9, now - 0.5);
        harness.now += 20.0;
        let now = harness.now;
        list_upstream(&mut harness, 10, now - delay);
        let count = requests_to_the_last(&mut harness);
        assert!(
            (min..=max).contains(&count),
            "{count} of 200 requests, expected {min} to {max}; listed {delay} s after the start"
        );
    }
}

/// Upstreams in the first list of a new balancer may have started long before the balancer. The ten
/// upstreams here started 20 s before it and are past slow start, so each request is dispatched
/// immediately.
#[test]
fn upstreams_of_the_first_list_may_be_past_slow_start() {
    for scope in [ListScope::Cached, ListScope::Full, ListScope::Delta] {
        let settings = Settings {
            classes: vec![class(Idempotency::Idempotent)],
            ..Settings::simple()
        };
        let mut harness = Harness {
            balancer: Balancer::new(settings, 7, 100.0).unwrap(),
            now: 100.0,
        };
        let started_at = harness.now - 20.0;
        let started = |id| UpstreamEntry {
            started_at,
            ..entry(id)
        };
        harness.update_endpoints(scope, (1..=10).map(started).collect());
        for id in 1..=100 {
            let actions = harness.handle(request(id, 0, 2.0));
            assert_eq!(
                started_attempts(&actions).len(),
                1,
                "attempts started for request {id}, first list {scope:?}"
            );
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        }
    }
}

#[test]
fn warming_upstream_gets_only_its_share_while_others_reject() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 3);
    harness.update_endpoints(
        ListScope::Delta,
        vec![UpstreamEntry {
            started_at: harness.now,
            ..entry(4)
        }],
    );
    // Three upstreams reject all requests, but the warming upstream gets no more than its share.
    let (mut id, mut to_warming) = (1, 0);
    while id <= 100 {
        let mut started = started_attempts(&harness.handle(request(id, 0, 2.0)));
        let mut attempt = 0;
        while let Some(StartedAttempt {
            request: id,
            upstream,
        }) = started.first().copied()
        {
            to_warming += usize::from(upstream == 4);
            let outcome = if upstream == 4 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Rejected
            };
            started = started_attempts(&harness.handle(attempt_ended(id, attempt, outcome)));
            attempt += 1;
        }
        harness.fire_timer_after(0.5, id);
        harness.now -= 0.5;
        id += 1;
    }
    assert!(
        to_warming <= 10,
        "{to_warming} of 100 requests sent to the warming upstream, expected at most 10"
    );
}

#[test]
fn new_balancers_do_not_overload_a_warming_upstream() {
    let mut first_requests = 0;
    for seed in 0..100 {
        let mut balancer = Balancer::new(Settings::simple(), seed, 100.0).unwrap();
        let mut actions = Vec::new();
        let entries = vec![
            entry(1),
            UpstreamEntry {
                started_at: 99.9,
                ..entry(2)
            },
        ];
        balancer.handle(
            100.0,
            Event::EndpointList {
                scope: ListScope::Cached,
                endpoints: entries,
            },
            &mut actions,
        );
        for id in 1..=2 {
            balancer.handle(100.0, request(id, 0, 2.0), &mut actions);
        }
        first_requests += started_attempts(&actions)
            .iter()
            .filter(|started| started.upstream == 2)
            .count();
    }
    assert!(
        first_requests <= 50,
        "{first_requests} requests of 100 new balancers sent to the warming upstream immediately, \
         expected at most 50"
    );
}

#[test]
fn balancers_with_growing_subsets_do_not_overload_a_warming_upstream() {
    // The subset of each of forty balancers has three of nine upstreams. Then a tenth upstream is
    // listed that stays at a hundredth of its capacity. Each balancer sends 600 requests one at a
    // time, and then more than its slots allow, so that it queues requests and grows its subset.
    let mut to_warming = 0;
    for peer_index in 0..40 {
        let mut settings = Settings {
            peer_index,
            peer_count: 40,
            ..Settings::simple()
        };
        (
            settings.rules.initial_capacity_share,
            settings.rules.slow_start_window,
        ) = (0.01, 1e6);
        let mut harness = Harness::new(settings, 9);
        harness.update_endpoints(
            ListScope::Delta,
            vec![UpstreamEntry {
                started_at: harness.now,
                ..entry(10)
            }],
        );
        let mut id = 1;
        for _ in 0..600 {
            harness.handle(request(id, 0, 20.0));
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
            id += 1;
        }
        let mut started: Vec<u64> = Vec::new();
        for _ in 0..60 {
            let mut actions = harness.handle(request(id, 0, 20.0));
            actions.extend(harness.handle(request(id + 1, 0, 20.0)));
            if id % 4 == 1 && !started.is_empty() {
                actions.extend(harness.handle(attempt_ended(
                    started.remove(0),
                    0,
                    AttemptOutcome::Success,
                )));
            }
            id += 2;
            started.extend(
                started_attempts(&actions)
                    .iter()
                    .map(|attempt| attempt.request),
            );
            to_warming += started_attempts(&actions)
                .iter()
                .filter(|attempt| attempt.upstream == 10)
                .count();
        }
    }
    assert!(
        to_warming <= 8,
        "{to_warming} requests of 40 balancers to the warming upstream, expected at most 8"
    );
}
