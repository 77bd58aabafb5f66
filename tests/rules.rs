//! The four rules, each as one balancer alone must keep it.

mod common;
use common::*;
use load_balancer::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const KEYED: [Idempotency; 3] = [
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::All,
    },
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Zone,
    },
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
    },
];

#[test]
fn an_unsafe_call_that_may_have_run_fails() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
        rig.on(request(1, 0, 2.0));
        let actions = rig.on(end(1, 0, outcome));
        assert!(
            sends(&actions).is_empty() && failed(&actions, 1),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn an_unsafe_call_that_never_ran_is_sent_again() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed] {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
        let first = sends(&rig.on(request(1, 0, 2.0)));
        let second = sends(&rig.on(end(1, 0, outcome)));
        assert!(
            second.len() == 1 && second[0].1 != first[0].1,
            "{outcome:?}"
        );
    }
}

/// A call that is given up is answered at once; when to come back is said where the settings allow it.
#[test]
fn a_refusal_tells_when_to_come_back() {
    for (most, at_most) in [(None, 0.0), (Some(0.01), 0.01), (Some(2.0), 2.0)] {
        let mut settings = Settings::simple();
        settings.limits.max_retry_after = most;
        let mut rig = Rig::new(settings, 1);
        rig.on(request(1, 0, 2.0));
        let actions = rig.on(end(1, 0, AttemptOutcome::Rejected));
        let told = actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        });
        let told = told.expect("refused at once");
        assert_eq!(told.is_some(), most.is_some());
        assert!(told.is_none_or(|t| t > 0.0 && t <= at_most), "{told:?}");
    }
}

#[test]
fn attempts_stop_at_the_cap() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 9);
    rig.on(request(1, 0, 2.0));
    rig.on(end(1, 0, AttemptOutcome::Rejected));
    rig.on(end(1, 1, AttemptOutcome::Rejected));
    let actions = rig.on(end(1, 2, AttemptOutcome::Rejected));
    assert!(refused(&actions, 1) && sends(&actions).is_empty());
}

#[test]
fn a_keyed_repeat_stays_in_its_group_and_window() {
    for idempotency in KEYED {
        let mut rig = Rig::with_classes(&[idempotency], 8);
        let first = sends(&rig.on(request(1, 0, 5.0)))[0].1;
        let again = sends(&rig.on(end(1, 0, AttemptOutcome::Reset)));
        assert_eq!(again.len(), 1, "{idempotency:?}");
        let same_cell = again[0].1 % 2 == first % 2;
        assert!(
            same_cell
                || idempotency
                    != Idempotency::IdempotencyKey {
                        scope: DeduplicationScope::Cell
                    }
        );
        let mut rig = Rig::with_classes(&[idempotency], 8);
        rig.on(request(1, 0, 5.0));
        rig.now += 1.5;
        let actions = rig.on(end(1, 0, AttemptOutcome::Reset));
        assert!(sends(&actions).is_empty(), "the window is over");
        assert_eq!(
            refused(&actions, 1),
            idempotency
                == Idempotency::IdempotencyKey {
                    scope: DeduplicationScope::All
                }
        );
    }
}

/// Guards against a repeat that goes out inside the window and gets there after it.
#[test]
fn a_keyed_repeat_is_told_how_long_it_may_take_to_be_written() {
    let within = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::StartAttempt { write_within, .. } => Some(*write_within),
            _ => None,
        })
    };
    for (idempotency, limited) in KEYED
        .map(|keyed| (keyed, true))
        .into_iter()
        .chain([(Idempotency::Idempotent, false)])
    {
        let mut rig = Rig::with_classes(&[idempotency], 8);
        assert_eq!(within(&rig.on(request(1, 0, 5.0))), Some(None));
        rig.now += 0.25;
        assert_eq!(
            within(&rig.on(end(1, 0, AttemptOutcome::Reset))),
            Some(limited.then_some(0.75)),
            "{idempotency:?}"
        );
        // One that never ran may come as late as it likes.
        assert_eq!(within(&rig.on(request(2, 0, 5.0))), Some(None));
        assert_eq!(
            within(&rig.on(end(2, 0, AttemptOutcome::Rejected))),
            Some(None)
        );
    }
}

#[test]
fn a_second_copy_goes_out_only_where_allowed() {
    for hedging_allowed in [true, false] {
        let mut settings = Settings::simple();
        settings.limits.hedging_allowed = hedging_allowed;
        let mut rig = Rig::new(settings, 4);
        rig.on(request(1, 0, 3.0));
        assert_eq!(
            sends(&rig.later(1.5, 1)).len(),
            usize::from(hedging_allowed)
        );
    }
}

#[test]
fn an_unsafe_call_gets_no_second_copy() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    rig.on(request(1, 0, 3.0));
    assert!(sends(&rig.later(1.5, 1)).is_empty());
}

#[test]
fn a_draining_or_absent_upstream_gets_nothing() {
    for state in [UpstreamState::Draining, UpstreamState::Removed] {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 2);
        let held = rig.fill(1, 0);
        // What waits for the drained one moves to the other's queue, and is sent there only.
        rig.list(ListScope::Delta, vec![UpstreamEntry { state, ..entry(1) }]);
        for id in 1..held {
            assert!(sends(&rig.on(end(id, 0, AttemptOutcome::Success)))
                .iter()
                .all(|(_, upstream)| *upstream == 2));
        }
        for id in 1000..1020 {
            assert!(sends(&rig.on(request(id, 0, 2.0)))
                .iter()
                .all(|(_, upstream)| *upstream == 2));
        }
    }
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    rig.list(ListScope::Full, vec![entry(2)]);
    assert_eq!(sends(&rig.on(request(1, 0, 2.0))), [(1, 2)]);
}

/// Guards against calls to an upstream that operators work on: their word goes before that of discovery.
#[test]
fn an_upstream_in_maintenance_gets_nothing_whatever_is_listed() {
    let maintain = |upstream, out| Event::Maintenance {
        upstream: UpstreamId(upstream),
        change: if out {
            Maintenance::Begin
        } else {
            Maintenance::End
        },
    };
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    rig.fill(1, 0);
    let held = rig.balancer.load().open_requests as u64;
    // What waits there moves; what is out ends by itself.
    assert!(sends(&rig.on(maintain(1, true))).is_empty());
    rig.on(maintain(1, true));
    let relisted = UpstreamEntry {
        started_at: 90.0,
        ..entry(1)
    };
    rig.list(ListScope::Full, vec![relisted.clone(), entry(2)]);
    rig.list(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Removed,
            ..relisted
        }],
    );
    rig.list(ListScope::Delta, vec![entry(1)]);
    for id in 1..=held {
        let woken = sends(&rig.on(end(id, 0, AttemptOutcome::Success)));
        assert!(woken.iter().all(|(_, to)| *to == 2), "{woken:?}");
    }
    let later: Vec<_> = (50..60)
        .flat_map(|id| sends(&rig.on(request(id, 0, 2.0))))
        .collect();
    assert!(
        !later.is_empty() && later.iter().all(|(_, to)| *to == 2),
        "{later:?}"
    );
    assert_eq!(rig.balancer.excluded_upstreams(), 1);
    rig.on(maintain(1, false));
    assert_eq!(rig.balancer.excluded_upstreams(), 0);
    // Unknown ones are no trouble.
    rig.on(maintain(77, false));
}

/// Guards against pushing over an upstream that was restarted while it was out: what is not known to be warm is cold.
#[test]
fn an_upstream_put_back_is_spared_like_one_that_has_just_started() {
    let shares = |restarted: Option<f64>, known_before: bool| {
        let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 3);
        rig.on(Event::Maintenance {
            upstream: UpstreamId(1),
            change: Maintenance::Begin,
        });
        let news = UpstreamEntry {
            started_at: restarted.unwrap_or(0.0),
            ..entry(1)
        };
        rig.now += 5.0;
        let list = |rig: &mut Rig| rig.list(ListScope::Delta, vec![news.clone()]);
        known_before.then(|| list(&mut rig));
        rig.on(Event::Maintenance {
            upstream: UpstreamId(1),
            change: Maintenance::End,
        });
        (!known_before).then(|| list(&mut rig));
        let calls = (1..=300).map(|id| {
            let to = sends(&rig.on(request(id, 0, 2.0)))[0].1;
            rig.on(end(id, 0, AttemptOutcome::Success));
            to
        });
        calls.filter(|to| *to == 1).count()
    };
    for (restarted, known_before) in [
        (None, true),
        (None, false),
        (Some(104.0), true),
        (Some(104.0), false),
    ] {
        let count = shares(restarted, known_before);
        assert!(
            (15..=50).contains(&count),
            "{count} of 300 for {restarted:?}, {known_before}"
        );
    }
}

/// Guards against an upstream that stays idle after the operators have put it back, as a caller that needs but a
/// part of the fleet may not come to it by itself.
#[test]
fn an_upstream_put_back_is_used_soon_also_by_a_caller_that_needs_few() {
    let mut rig = Rig::new(
        Settings {
            peer_count: 40,
            ..Settings::simple()
        },
        12,
    );
    let call = |rig: &mut Rig, id: u64| {
        let to = sends(&rig.on(request(id, 0, 2.0)))[0].1;
        rig.now += 0.05;
        rig.on(end(id, 0, AttemptOutcome::Success));
        to
    };
    let maintain = |upstream, out| Event::Maintenance {
        upstream: UpstreamId(upstream),
        change: if out {
            Maintenance::Begin
        } else {
            Maintenance::End
        },
    };
    let used: Vec<_> = (1..60).map(|id| call(&mut rig, id)).collect();
    let idle: Vec<_> = (1..=12).filter(|id| !used.contains(id)).collect();
    assert!(idle.len() > 5, "few are needed");
    rig.on(maintain(idle[0], true));
    // It is restarted, and forgotten meanwhile.
    rig.list(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Removed,
            ..entry(idle[0])
        }],
    );
    rig.list(
        ListScope::Delta,
        vec![UpstreamEntry {
            started_at: rig.now,
            ..entry(idle[0])
        }],
    );
    // The second call to put it back says nothing new.
    rig.on(maintain(idle[0], false));
    rig.on(maintain(idle[0], false));
    let back: Vec<_> = (100..200).map(|id| call(&mut rig, id)).collect();
    assert_eq!(
        back.iter().filter(|id| **id == idle[0]).count(),
        1,
        "{back:?}"
    );
    assert!(!back.iter().any(|id| idle[1..].contains(id)), "{back:?}");
}

#[test]
fn calls_held_for_a_drained_upstream_move() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = rig.fill(1, 0);
    rig.list(
        ListScope::Delta,
        vec![UpstreamEntry {
            state: UpstreamState::Draining,
            ..entry(1)
        }],
    );
    assert_eq!(
        sends(&rig.list(ListScope::Delta, vec![entry(2)])),
        [(held, 2)]
    );
}

/// The calls of 200 that the last of ten upstreams gets.
fn calls_of_the_last(rig: &mut Rig) -> u32 {
    let mut taken = 0;
    for id in 1..=200 {
        taken += u32::from(sends(&rig.on(request(id, 0, 2.0)))[0].1 == 10);
        rig.on(end(id, 0, AttemptOutcome::Success));
    }
    taken
}

#[test]
fn a_cold_upstream_takes_its_warm_share_of_turns() {
    // One of ten starts at a fifth of its work, some time ago.
    let taken = |age: f64| {
        let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 9);
        rig.list(
            ListScope::Delta,
            vec![UpstreamEntry {
                started_at: rig.now,
                ..entry(10)
            }],
        );
        rig.now += age;
        calls_of_the_last(&mut rig)
    };
    assert!((2..=5).contains(&taken(0.0)), "{} at the start", taken(0.0));
    assert!((9..=13).contains(&taken(5.0)), "{} half way", taken(5.0));
    assert_eq!(taken(10.0), 20);
}

/// A start that a list tells late, or that lies ahead: the wall clock may be wrong, and how late the promptest one came
/// shows by how much it may be.
#[test]
fn the_age_of_an_upstream_is_not_taken_from_a_clock_that_may_be_wrong() {
    let told = |rig: &mut Rig, id: u64, since: f64| {
        rig.list(
            ListScope::Delta,
            vec![UpstreamEntry {
                started_at: since,
                ..entry(id)
            }],
        );
    };
    for ahead in [-3600.0, -5.0, 0.0, 5.0, 3600.0] {
        let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 9);
        rig.now += 10_000.0;
        let since = rig.now - ahead;
        told(&mut rig, 10, since);
        let taken = calls_of_the_last(&mut rig);
        assert!(
            (2..=5).contains(&taken),
            "{taken} at the start, {ahead} s ahead"
        );
        rig.now += 10.0;
        let taken = calls_of_the_last(&mut rig);
        assert!(
            (18..=22).contains(&taken),
            "{taken} once it is warm, {ahead} s ahead"
        );
    }
    // One is heard of after half a second, the next, once a network heals, after more than it takes to warm up.
    for (late, least, most) in [(0.5, 2, 5), (5.5, 9, 13), (10.5, 18, 22)] {
        let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 9);
        let now = rig.now;
        told(&mut rig, 9, now - 0.5);
        rig.now += 20.0;
        let now = rig.now;
        told(&mut rig, 10, now - late);
        let taken = calls_of_the_last(&mut rig);
        assert!(
            (least..=most).contains(&taken),
            "{taken}, told {late} s late"
        );
    }
    // What a balancer is told at its own start lies behind it: ten that started long before take every call.
    for scope in [ListScope::Cached, ListScope::Full, ListScope::Delta] {
        let settings = Settings {
            classes: vec![class(Idempotency::Idempotent)],
            ..Settings::simple()
        };
        let mut rig = Rig {
            balancer: Balancer::new(settings, 7, 100.0).unwrap(),
            now: 100.0,
        };
        let since = rig.now - 20.0;
        rig.list(
            scope,
            (1..=10)
                .map(|id| UpstreamEntry {
                    started_at: since,
                    ..entry(id)
                })
                .collect(),
        );
        for id in 1..=100 {
            assert_eq!(sends(&rig.on(request(id, 0, 2.0))).len(), 1, "{scope:?}");
            rig.on(end(id, 0, AttemptOutcome::Success));
        }
    }
}

#[test]
fn cold_upstreams_keep_to_their_share_when_the_others_are_down() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 3);
    rig.list(
        ListScope::Delta,
        vec![UpstreamEntry {
            started_at: rig.now,
            ..entry(4)
        }],
    );
    // The three warm ones reject all; the cold one still gets no more than its part of even turns.
    let (mut next, mut cold) = (1, 0);
    while next <= 100 {
        let mut sent = sends(&rig.on(request(next, 0, 2.0)));
        let mut attempt = 0;
        while let Some((id, upstream)) = sent.first().copied() {
            cold += usize::from(upstream == 4);
            let outcome = if upstream == 4 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Rejected
            };
            sent = sends(&rig.on(end(id, attempt, outcome)));
            attempt += 1;
        }
        rig.later(0.5, next);
        rig.now -= 0.5;
        next += 1;
    }
    assert!(cold <= 10, "{cold} of 100 calls");
}

#[test]
fn a_fresh_balancer_spares_a_cold_upstream() {
    let mut first = 0;
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
        first += sends(&actions)
            .iter()
            .filter(|(_, upstream)| *upstream == 2)
            .count();
    }
    assert!(
        first <= 50,
        "{first} of 100 fresh balancers sent to it at once"
    );
}

#[test]
fn balancers_ask_discovery_at_moments_of_their_own() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    let mut waits = Vec::new();
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0).unwrap();
        let mut sum = 0.0;
        for scope in [ListScope::Cached, ListScope::Failed, ListScope::Failed] {
            let mut actions = Vec::new();
            balancer.handle(
                sum,
                Event::EndpointList {
                    scope,
                    endpoints: Vec::new(),
                },
                &mut actions,
            );
            let Action::SetTimer { after, token } = actions[0] else {
                panic!("{actions:?}")
            };
            assert!(after < 4.0 * settings.rules.poll_interval);
            sum += after;
            let mut actions = Vec::new();
            balancer.handle(sum, Event::TimerFired(token), &mut actions);
            assert_eq!(actions, [Action::WatchEndpoints]);
            if scope == ListScope::Cached {
                assert!(after < settings.rules.poll_interval, "asked in time");
                waits.push(after);
            }
        }
    }
    waits.sort_by(f64::total_cmp);
    assert!(
        waits[40] - waits[10] > 1.0,
        "they ask at moments of their own"
    );
}

/// Guards against news that count as told before a balancer has asked, or one whose watch broke has asked again and,
/// where it is refused at once, twice more.
#[test]
fn discovery_is_asked_again_before_its_news_count_as_told() {
    let mut settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.rules.notification_deadline = 6.0;
    let wait = |balancer: &mut Balancer, now, scope| {
        let mut actions = Vec::new();
        balancer.handle(
            now,
            Event::EndpointList {
                scope,
                endpoints: Vec::new(),
            },
            &mut actions,
        );
        let Action::SetTimer { after, token } = actions[0] else {
            panic!("{actions:?}")
        };
        balancer.handle(now + after, Event::TimerFired(token), &mut actions);
        after
    };
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0).unwrap();
        let mut now = wait(&mut balancer, 0.0, ListScope::Cached);
        assert!(now < 1.6, "{now}");
        // Called `taken` ago, it fails; then again and again at once.
        for taken in [2.0, 100.0] {
            let after = wait(&mut balancer, now + taken, ListScope::Failed);
            assert!(after < 1.6, "{after}");
            now += taken + after;
            let mut sum = 0.0;
            for _ in 0..3 {
                sum += wait(&mut balancer, now + sum, ListScope::Failed);
            }
            assert!(sum < 2.0, "{sum}");
            now += sum;
        }
    }
}

/// What the world knows of one request.
#[derive(Default)]
struct Known {
    class: usize,
    deadline: f64,
    answered: bool,
    tries: Vec<(u64, f64, Option<AttemptOutcome>)>,
}

/// Plays random events and checks every action against the rules.
fn play(
    steps: Vec<(u8, u64, u8)>,
    hedging_allowed: bool,
    cancellation_allowed: bool,
    ask: bool,
) -> Result<(), TestCaseError> {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        KEYED[0],
        KEYED[1],
        KEYED[2],
    ];
    let zoned = |id: u64| UpstreamEntry {
        zone: id as usize % 3,
        ..entry(id)
    };
    let mut settings = Settings {
        classes: effects.map(class).to_vec(),
        ..Settings::simple()
    };
    settings.limits.hedging_allowed = hedging_allowed;
    settings.limits.cancellation_allowed = cancellation_allowed;
    settings.discovery_mode = if ask {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Push
    };
    let mut rig = Rig::new(settings.clone(), 0);
    rig.list(ListScope::Full, (1..=6).map(zoned).collect());
    let mut on: BTreeMap<u64, bool> = (1..=6).map(|id| (id, true)).collect();
    let mut known: BTreeMap<u64, Known> = BTreeMap::new();
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut next = 1;
    let quiet = std::iter::repeat_n((9, 0, 0), 4000);
    for (kind, pick, detail) in steps.into_iter().chain(quiet) {
        let open: Vec<(u64, u32)> = known
            .iter()
            .flat_map(|(id, k)| {
                k.tries
                    .iter()
                    .enumerate()
                    .map(move |(n, t)| (*id, n as u32, t.2))
            })
            .filter(|t| t.2.is_none())
            .map(|t| (t.0, t.1))
            .collect();
        // Attempts end at their deadline at the latest.
        let due = open
            .iter()
            .find(|(id, _)| known[id].deadline <= rig.now)
            .copied();
        timers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let event = match kind {
            _ if due.is_some() => {
                let (id, n) = due.unwrap();
                let k = known.get_mut(&id).unwrap();
                k.tries[n as usize].2 = Some(AttemptOutcome::TimedOut);
                let (outcome, concluded) = (AttemptOutcome::TimedOut, k.answered);
                Event::AttemptEnded(AttemptResult {
                    id: RequestId(id),
                    attempt: n,
                    outcome,
                    elapsed: 1.0,
                    connection_idle: None,
                    request_concluded: concluded,
                })
            }
            _ if timers.last().is_some_and(|t| t.0 <= rig.now) => {
                Event::TimerFired(timers.pop().unwrap().1)
            }
            0..=2 => {
                let (class, deadline) = (detail as usize % 5, rig.now + 2.0);
                known.insert(
                    next,
                    Known {
                        class,
                        deadline,
                        ..Known::default()
                    },
                );
                next += 1;
                request(next - 1, class, 2.0)
            }
            3..=5 if !open.is_empty() => {
                let (id, n) = open[pick as usize % open.len()];
                let outcomes = [
                    AttemptOutcome::Success,
                    AttemptOutcome::Success,
                    AttemptOutcome::Error,
                    AttemptOutcome::InvalidResponse,
                    AttemptOutcome::Rejected,
                    AttemptOutcome::ConnectFailed,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Cancelled,
                    AttemptOutcome::NotSent,
                ];
                let outcome = outcomes[detail as usize % outcomes.len()];
                let k = known.get_mut(&id).unwrap();
                k.tries[n as usize].2 = Some(outcome);
                k.answered |= outcome == AttemptOutcome::Success;
                let (concluded, elapsed) = (k.answered, 0.05);
                Event::AttemptEnded(AttemptResult {
                    id: RequestId(id),
                    attempt: n,
                    outcome,
                    elapsed,
                    connection_idle: None,
                    request_concluded: concluded,
                })
            }
            6 => {
                let (id, now_on) = (1 + pick % 6, detail % 3 != 0);
                on.insert(id, now_on);
                let state = if now_on {
                    UpstreamState::Active
                } else {
                    UpstreamState::Draining
                };
                Event::EndpointList {
                    scope: ListScope::Delta,
                    endpoints: vec![UpstreamEntry { state, ..zoned(id) }],
                }
            }
            7 if !known.is_empty() => {
                let (id, k) = known
                    .iter_mut()
                    .nth(pick as usize % next.min(5) as usize % (next - 1) as usize)
                    .unwrap();
                k.answered = true;
                Event::ClientDisconnected(RequestId(*id))
            }
            _ => {
                rig.now += 0.02;
                continue;
            }
        };
        for action in rig.on(event) {
            match action {
                Action::StartAttempt { id, upstream, .. } => {
                    let k = known.get_mut(&id.0).unwrap();
                    prop_assert!(!k.answered, "sent after its answer");
                    prop_assert!(on[&upstream.0], "sent to a drained upstream");
                    prop_assert!(k.tries.len() < settings.limits.max_attempts as usize);
                    prop_assert!(hedging_allowed || k.tries.iter().all(|t| t.2.is_some()));
                    let ran = k
                        .tries
                        .iter()
                        .find(|t| !t.2.is_some_and(AttemptOutcome::never_started));
                    match (effects[k.class], ran) {
                        (Idempotency::NonIdempotent, Some(_)) => {
                            prop_assert!(false, "an effect twice")
                        }
                        (Idempotency::IdempotencyKey { scope }, Some(first)) => {
                            prop_assert!(
                                scope != DeduplicationScope::Cell || first.0 % 2 == upstream.0 % 2
                            );
                            prop_assert!(
                                scope != DeduplicationScope::Zone || first.0 % 3 == upstream.0 % 3
                            );
                            prop_assert!(rig.now < first.1 + 1.0);
                        }
                        _ => {}
                    }
                    k.tries.push((upstream.0, rig.now, None));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let k = known.get_mut(&id.0).unwrap();
                    prop_assert!(!k.answered, "answered twice");
                    let ran = k
                        .tries
                        .iter()
                        .any(|t| !t.2.is_some_and(AttemptOutcome::never_started));
                    let bound = effects[k.class] == Idempotency::NonIdempotent
                        || KEYED[1..].contains(&effects[k.class]);
                    prop_assert!(
                        matches!(action, Action::Fail { .. }) || !(ran && bound),
                        "refused what may have run"
                    );
                    k.answered = true;
                }
                Action::CancelAttempt { .. } => {
                    prop_assert!(cancellation_allowed, "cancelled where that is forbidden")
                }
                Action::SetTimer { after, token } => timers.push((rig.now + after, token)),
                _ => {}
            }
        }
        for (id, k) in &known {
            prop_assert!(
                k.answered || rig.now <= k.deadline + 0.02,
                "{id} has no answer"
            );
        }
    }
    prop_assert_eq!(rig.open_and_in_flight(), (0, 0));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_128),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_mix_of_events_keeps_the_rules(
        steps in prop::collection::vec((0u8..10, 0u64..1000, 0u8..120), 0..400),
        hedging_allowed: bool,
        cancellation_allowed: bool,
        ask: bool,
    ) {
        play(steps, hedging_allowed, cancellation_allowed, ask)?;
    }
}

#[test]
fn a_started_stream_is_left_alone() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 3);
    rig.on(request(1, 0, 2.0));
    assert!(rig.on(Event::ResponseStarted(RequestId(1))).is_empty());
    assert!(rig.later(30.0, 1).is_empty(), "it has no deadline any more");
    assert_eq!(
        rig.open_and_in_flight(),
        (1, 1),
        "its slot is taken while it streams"
    );
    assert!(rig.on(end(1, 0, AttemptOutcome::Success)).is_empty());
    assert_eq!(rig.open_and_in_flight(), (0, 0));
}

#[test]
fn callers_whose_subset_widens_together_spare_a_cold_upstream() {
    // Forty callers turn over three of nine upstreams each; a tenth is listed that stays at a hundredth of its
    // work. After many calls each, all have to wait at once and widen their subset to it.
    let mut cold = 0;
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
        let mut rig = Rig::new(settings, 9);
        rig.list(
            ListScope::Delta,
            vec![UpstreamEntry {
                started_at: rig.now,
                ..entry(10)
            }],
        );
        let mut id = 1;
        for _ in 0..600 {
            rig.on(request(id, 0, 20.0));
            rig.on(end(id, 0, AttemptOutcome::Success));
            id += 1;
        }
        let mut sent: Vec<u64> = Vec::new();
        for _ in 0..60 {
            let mut actions = rig.on(request(id, 0, 20.0));
            actions.extend(rig.on(request(id + 1, 0, 20.0)));
            if id % 4 == 1 && !sent.is_empty() {
                actions.extend(rig.on(end(sent.remove(0), 0, AttemptOutcome::Success)));
            }
            id += 2;
            sent.extend(sends(&actions).iter().map(|s| s.0));
            cold += sends(&actions).iter().filter(|s| s.1 == 10).count();
        }
    }
    assert!(cold <= 8, "{cold} calls from 40 callers");
}

#[test]
fn the_same_events_bring_the_same_actions_also_when_instances_are_interleaved() {
    let settings = |peer_index| {
        let classes = [Idempotency::Idempotent, Idempotency::NonIdempotent]
            .map(class)
            .to_vec();
        Settings {
            classes,
            peer_index,
            peer_count: 2,
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        }
    };
    let start = |peer_index: usize| Rig {
        balancer: Balancer::new(settings(peer_index), 5, 100.0).unwrap(),
        now: 100.0,
    };
    let step = |rig: &mut Rig, n: u64| -> Vec<Action> {
        rig.now += 0.02;
        match n % 7 {
            0 if n == 0 => rig.list(ListScope::Cached, (1..=6).map(entry).collect()),
            1 | 3 | 5 => rig.on(request(n, (n % 2) as usize, 2.0)),
            2 => rig.on(end(n - 1, 0, AttemptOutcome::Success)),
            4 => rig.on(end(n - 1, 0, AttemptOutcome::Reset)),
            6 => rig.on(end(n - 1, 0, AttemptOutcome::Rejected)),
            _ => rig.on(Event::TimerFired(n.saturating_sub(5))),
        }
    };
    let alone = |peer_index| {
        let mut rig = start(peer_index);
        (0..3000).map(|n| step(&mut rig, n)).collect::<Vec<_>>()
    };
    let (first, second) = (alone(0), alone(1));
    assert_eq!(first, alone(0));
    let (mut a, mut b) = (start(0), start(1));
    for n in 0..3000 {
        assert_eq!(step(&mut a, n), first[n as usize]);
        assert_eq!(step(&mut b, n), second[n as usize]);
    }
    assert_ne!(first, second);
}
