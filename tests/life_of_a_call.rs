//! Slots, queues, holds and final answers. Each test is named after the behaviour that holds.

mod common;
use common::*;
use load_balancer::*;

const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::InvalidResponse,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];

#[test]
fn every_outcome_frees_its_slot() {
    for outcome in OUTCOMES {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
        rig.on(request(1, 0, 2.0));
        assert_eq!(rig.open_and_in_flight(), (1, 1));
        rig.on(end(1, 0, outcome));
        assert_eq!(rig.balancer.load().attempts_in_flight, 0, "{outcome:?}");
    }
}

#[test]
fn an_outcome_told_twice_counts_once() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 1);
    rig.on(request(1, 0, 2.0));
    rig.on(request(2, 0, 2.0));
    rig.on(end(1, 0, AttemptOutcome::Success));
    rig.on(end(1, 0, AttemptOutcome::Success));
    assert_eq!(rig.open_and_in_flight(), (1, 1));
}

#[test]
fn a_finishing_call_wakes_a_waiter() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = rig.fill(1, 0);
    assert_eq!(
        sends(&rig.on(end(1, 0, AttemptOutcome::Success))),
        [(held, 1)]
    );
    // An error narrows the slice by up to one call, so the next end at the latest wakes the waiter.
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = rig.fill(1, 0);
    let mut woken = sends(&rig.on(end(1, 0, AttemptOutcome::Error)));
    woken.extend(sends(&rig.on(end(2, 0, AttemptOutcome::Error))));
    assert_eq!(woken, [(held, 1)]);
}

#[test]
fn a_held_call_past_its_time_is_given_up_once() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let held = rig.fill(1, 0);
    let actions = rig.later(2.1, held);
    assert!(refused(&actions, held));
    assert!(
        !rig.later(0.1, held)
            .iter()
            .any(|a| matches!(a, Action::Reject { .. })),
        "one answer only"
    );
}

#[test]
fn a_full_queue_takes_no_more() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 1);
    let refusals = (1..200)
        .filter(|id| refused(&rig.on(request(*id, 0, 2.0)), *id))
        .count();
    assert!(refusals > 100, "only {refusals} refused at once");
    assert!(rig.balancer.load().open_requests < 100);
}

#[test]
fn a_full_queue_turns_to_another_upstream() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 3);
    let mut held = 0;
    for id in 1..200 {
        let actions = rig.on(request(id, 0, 2.0));
        held += u32::from(!refused(&actions, id) && sends(&actions).is_empty());
    }
    // Each of the three queues is used, so more calls wait than any one of them takes.
    let mut one = Rig::with_classes(&[Idempotency::Idempotent], 1);
    let one_queue = (1..200)
        .filter(|id| !refused(&one.on(request(*id, 0, 2.0)), *id))
        .count()
        - one.balancer.load().attempts_in_flight;
    assert!(
        held as usize >= 3 * one_queue / 2,
        "{held} held by three, {one_queue} by one"
    );
}

#[test]
fn turns_are_even() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 5);
    let mut taken = [0; 6];
    for id in 1..=50 {
        let sent = sends(&rig.on(request(id, 0, 2.0)));
        taken[sent[0].1 as usize] += 1;
        rig.on(end(id, 0, AttemptOutcome::Success));
    }
    assert_eq!(taken, [0, 10, 10, 10, 10, 10]);
}

#[test]
fn a_rejecting_upstream_gets_a_pause() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 4);
    let sent = sends(&rig.on(request(1, 0, 2.0)));
    let bad = sent[0].1;
    let mut next = sends(&rig.on(end(1, 0, AttemptOutcome::Rejected)));
    assert_ne!(next[0].1, bad, "the retry goes elsewhere");
    for id in 2..=6 {
        next = sends(&rig.on(request(id, 0, 2.0)));
        assert!(next.iter().all(|(_, upstream)| *upstream != bad));
    }
}

#[test]
fn a_late_outcome_leaves_nothing_behind() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    rig.on(request(1, 0, 2.0));
    rig.on(Event::ClientDisconnected(RequestId(1)));
    assert_eq!(
        rig.open_and_in_flight(),
        (1, 1),
        "its slot is taken until its attempt ends"
    );
    let actions = rig.on(end(1, 0, AttemptOutcome::TimedOut));
    let log = |a: &Action| matches!(a, Action::Log { .. });
    assert!(
        actions.iter().all(log),
        "nothing is sent or answered any more: {actions:?}"
    );
    assert_eq!(rig.open_and_in_flight(), (0, 0));
}

#[test]
fn unknown_ids_are_passed_over() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    rig.on(end(99, 0, AttemptOutcome::Success));
    rig.on(request(1, 0, 2.0));
    rig.on(end(1, 5, AttemptOutcome::Success));
    rig.on(request(2, 17, 2.0));
    rig.on(Event::ClientDisconnected(RequestId(98)));
    rig.on(Event::TimerFired(97));
    rig.on(Event::ResponseStarted(RequestId(96)));
    assert_eq!(rig.open_and_in_flight(), (1, 1));
}

#[test]
fn a_call_waits_for_the_first_list() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 0);
    assert!(sends(&rig.on(request(1, 0, 2.0))).is_empty());
    assert_eq!(sends(&rig.list(ListScope::Delta, vec![entry(1)])), [(1, 1)]);
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 0);
    rig.on(request(1, 0, 2.0));
    assert!(refused(&rig.later(2.01, 1), 1));
}

#[test]
fn a_clock_going_backward_does_no_harm() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    rig.on(request(1, 0, 2.0));
    rig.now -= 50.0;
    rig.on(end(1, 0, AttemptOutcome::Success));
    assert_eq!(sends(&rig.on(request(2, 0, 2.0))).len(), 1);
}

#[test]
fn settings_that_make_no_sense_are_refused_by_name() {
    let bad = |change: fn(&mut Settings)| {
        let mut settings = Settings::simple();
        change(&mut settings);
        Balancer::new(settings, 1, 0.0).err()
    };
    assert_eq!(bad(|s| s.classes.clear()), Some(SettingsError::NoClasses));
    assert_eq!(
        bad(|s| s.classes[0].latency_objective = 0.0).map(|e| e.to_string().contains("aim")),
        Some(true)
    );
    assert!(matches!(
        bad(|s| s.rules.poll_interval = f64::NAN),
        Some(SettingsError::BadNumber(..))
    ));
    assert!(matches!(
        bad(|s| s.peer_index = 3),
        Some(SettingsError::BadIndex {
            index: 3,
            count: 1,
            ..
        })
    ));
    assert!(matches!(
        bad(|s| s.peer_count = 0),
        Some(SettingsError::BadIndex { .. })
    ));
}

/// Two classes of like latency, the second worth more.
fn two_worths() -> Settings {
    let cheap = class(Idempotency::NonIdempotent);
    let dear = Class {
        priority_weight: 5.0,
        ..cheap.clone()
    };
    Settings {
        classes: vec![cheap, dear],
        ..Settings::simple()
    }
}

#[test]
fn the_dear_are_woken_before_the_cheap() {
    let mut rig = Rig::new(two_worths(), 1);
    let cheap = rig.fill(1, 0);
    let dear = cheap + 1;
    assert!(sends(&rig.on(request(dear, 1, 2.0))).is_empty());
    assert_eq!(
        sends(&rig.on(end(1, 0, AttemptOutcome::Success))),
        [(dear, 1)]
    );
}

#[test]
fn a_flooding_tenant_waits_behind_the_others() {
    let tenant = |name: &str| Tenant {
        name: name.into(),
        quota_per_second: 10.0,
    };
    let tenants = vec![tenant("flood"), tenant("calm")];
    let mut rig = Rig::new(
        Settings {
            tenants,
            over_quota_weight: 0.1,
            ..Settings::simple()
        },
        1,
    );
    let from = |id: u64, tenant: usize| {
        let id = RequestId(id);
        Event::Request(Request {
            id,
            class: 0,
            tenant,
            remaining: 2.0,
            cost_hint: None,
            streamed: false,
        })
    };
    for id in 1..100 {
        rig.on(from(id, 0));
        if id < 95 {
            rig.on(Event::ClientDisconnected(RequestId(id)));
            rig.on(end(id, 0, AttemptOutcome::Cancelled));
        }
    }
    assert!(
        sends(&rig.on(from(200, 1))).is_empty(),
        "the slots are taken"
    );
    assert_eq!(
        sends(&rig.on(end(95, 0, AttemptOutcome::Success))),
        [(200, 1)],
        "held last, woken first"
    );
}

#[test]
fn a_silent_upstream_loses_its_turns_until_it_answers() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    let silent = sends(&rig.on(request(1, 0, 20.0)))[0].1;
    rig.now += 5.0;
    for id in 2..20 {
        assert_ne!(sends(&rig.on(request(id, 0, 2.0)))[0].1, silent);
        rig.on(end(id, 0, AttemptOutcome::Success));
    }
    // Its answer ends the silence.
    rig.on(end(1, 0, AttemptOutcome::Success));
    let back = (20..28).any(|id| {
        let sent = sends(&rig.on(request(id, 0, 2.0)))[0].1;
        rig.on(end(id, 0, AttemptOutcome::Success));
        sent == silent
    });
    assert!(back);
}

#[test]
fn a_dead_upstream_is_tried_by_one_call_at_a_time() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    let dead = sends(&rig.on(request(1, 0, 2.0)))[0].1;
    rig.on(end(1, 0, AttemptOutcome::ConnectFailed));
    for id in 100..105 {
        let to = sends(&rig.on(request(id, 0, 2.0)))[0].1;
        rig.on(end(
            id,
            0,
            if to == dead {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    rig.now += 60.0;
    let sent: Vec<u64> = (2..8)
        .flat_map(|id| sends(&rig.on(request(id, 0, 2.0))))
        .map(|s| s.1)
        .collect();
    assert_eq!(
        sent.iter().filter(|upstream| **upstream == dead).count(),
        1,
        "one trial: {sent:?}"
    );
}

#[test]
fn most_of_the_fleet_is_never_left_out() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    for id in 1..=4 {
        rig.on(request(id, 0, 20.0));
    }
    rig.now += 5.0;
    assert_eq!(
        sends(&rig.on(request(9, 0, 2.0))).len(),
        1,
        "all silent: then all are used"
    );
}

#[test]
fn churn_leaves_nothing_behind() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 4);
    for round in 0..2000_u64 {
        rig.now += 0.5;
        rig.on(request(round, 0, 2.0));
        let state = if round % 2 == 0 {
            UpstreamState::Active
        } else {
            UpstreamState::Removed
        };
        rig.list(
            ListScope::Delta,
            vec![UpstreamEntry {
                state,
                ..entry(5 + round / 2)
            }],
        );
        rig.on(end(round, 0, AttemptOutcome::Success));
    }
    rig.list(ListScope::Delta, Vec::new());
    assert_eq!(rig.open_and_in_flight(), (0, 0));
    assert!(rig.balancer.load().upstreams <= 4);
}

#[test]
fn a_silent_upstream_is_logged_once() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let mut lines = 0;
    for id in 1..=20 {
        rig.on(request(id, 0, 2.0));
        let actions = rig.on(end(id, 0, AttemptOutcome::ConnectFailed));
        lines += actions
            .iter()
            .filter(|a| matches!(a, Action::Log { .. }))
            .count();
        rig.now += 60.0;
    }
    assert_eq!(
        lines, 1,
        "one line when an upstream falls silent, not one for each trial"
    );
}

#[test]
fn a_rejected_call_is_not_held_past_its_aim() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    rig.on(request(1, 0, 2.0));
    assert!(sends(&rig.on(end(1, 0, AttemptOutcome::Rejected))).is_empty());
    assert_eq!(
        rig.balancer.load().open_requests,
        0,
        "its only upstream was tried: refused"
    );
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 2);
    let held = rig.fill(1, 0);
    rig.on(end(1, 0, AttemptOutcome::Rejected));
    rig.now += 0.95;
    let waiting = (1..=held)
        .filter(|id| refused(&rig.on(Event::TimerFired(*id)), *id))
        .count();
    assert!(waiting >= 1, "the aim of one second is as good as over");
}

#[test]
fn turns_are_even_in_the_time_that_calls_take() {
    // Upstreams 1 and 2 are of a kind that takes three times as long as that of 3 and 4.
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 0);
    let entries = (1..=4)
        .map(|id| UpstreamEntry {
            machine_kind: usize::from(id <= 2),
            ..entry(id)
        })
        .collect();
    rig.list(ListScope::Full, entries);
    let mut taken = [0; 5];
    for id in 1..=400 {
        let upstream = sends(&rig.on(request(id, 0, 2.0)))[0].1;
        let elapsed = if upstream <= 2 { 0.3 } else { 0.1 };
        taken[upstream as usize] += u32::from(id > 200);
        let (id, outcome) = (RequestId(id), AttemptOutcome::Success);
        rig.on(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            outcome,
            elapsed,
            connection_idle: None,
            request_concluded: true,
        }));
    }
    let (slow, fast) = (taken[1] + taken[2], taken[3] + taken[4]);
    assert!(
        taken[1].abs_diff(taken[2]) <= 3 && taken[3].abs_diff(taken[4]) <= 3,
        "{taken:?}"
    );
    assert!((2 * slow..4 * slow).contains(&fast), "{taken:?}");
}

/// Settings under which what never ran isn't sent again.
fn one_attempt(mut settings: Settings) -> Settings {
    settings.limits.max_attempts = 1;
    settings
}

/// Two classes at four upstreams; upstream 1 serves only the first.
fn one_class_fails(outcome: AttemptOutcome) -> (u32, u32) {
    let classes = vec![
        class(Idempotency::NonIdempotent),
        class(Idempotency::NonIdempotent),
    ];
    let mut rig = Rig::new(
        one_attempt(Settings {
            classes,
            ..Settings::simple()
        }),
        4,
    );
    let mut taken = (0, 0);
    for id in 1..=200 {
        let wanted = usize::from(id % 7 < 3);
        let upstream = sends(&rig.on(request(id, wanted, 2.0)))[0].1;
        rig.now += 0.01;
        if upstream == 1 && id > 50 {
            taken = if wanted == 0 {
                (taken.0 + 1, taken.1)
            } else {
                (taken.0, taken.1 + 1)
            };
        }
        let bad = upstream == 1 && wanted == 1;
        rig.on(end(
            id,
            0,
            if bad {
                outcome
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    taken
}

#[test]
fn an_upstream_that_leaves_one_class_unanswered_keeps_its_turns_for_the_others() {
    let (served, failed) = one_class_fails(AttemptOutcome::TimedOut);
    assert!(
        served >= 6 && failed <= 2,
        "{served} of the good class, {failed} of the bad"
    );
    let (served, unharmed) = one_class_fails(AttemptOutcome::Success);
    assert!(served >= 15 && unharmed >= 12, "{served} and {unharmed}");
}

/// Guards against an upstream that keeps drawing the calls of a class that it alone turns away: each holds a slot
/// until it comes back, and what waits behind it is given up.
#[test]
fn an_upstream_that_alone_turns_one_class_away_keeps_its_turns_for_the_others() {
    let (served, turned_away) = one_class_fails(AttemptOutcome::Rejected);
    assert!(
        served >= 15 && turned_away <= 4,
        "{served} of the good class, {turned_away} of the bad"
    );
}

#[test]
fn calls_that_all_upstreams_turn_away_bring_no_rest() {
    let mut rig = Rig::new(one_attempt(Settings::simple()), 4);
    let mut taken = [0; 5];
    for id in 1..=200 {
        // Past the pause that follows on each.
        rig.now += 1.0;
        taken[sends(&rig.on(request(id, 0, 2.0)))[0].1 as usize] += 1;
        rig.on(end(
            id,
            0,
            if id % 3 == 0 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Rejected
            },
        ));
    }
    assert!(taken[1..].iter().all(|n| *n > 20), "{taken:?}");
}

/// Calls of three classes in turn, of which one upstream of four fails every one; how many of each it draws.
fn all_classes_fail(classes: [Idempotency; 3], calls: u64) -> [u32; 3] {
    let classes = classes.map(class).to_vec();
    let mut rig = Rig::new(
        one_attempt(Settings {
            classes,
            ..Settings::simple()
        }),
        4,
    );
    let mut failed = [0; 3];
    for id in 1..=calls {
        let class = (id % 3) as usize;
        let upstream = sends(&rig.on(request(id, class, 2.0)))[0].1;
        rig.now += 0.01;
        failed[class] += u32::from(upstream == 1);
        rig.on(end(
            id,
            0,
            if upstream == 1 {
                AttemptOutcome::Error
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    failed
}

/// Guards against paying once for each class to learn that an upstream fails: what all calls there show counts.
#[test]
fn an_upstream_that_fails_all_classes_is_found_out_by_all_of_them_together() {
    let failed = all_classes_fail([Idempotency::NonIdempotent; 3], 60);
    assert!(
        failed.iter().sum::<u32>() <= 5,
        "{failed:?}; each by itself takes two"
    );
}

/// Guards against losing a call that can't be repeated to each trial of an upstream that fails, where one that can
/// be repeated tells as much.
#[test]
fn trials_of_a_failing_upstream_are_left_to_calls_that_can_be_repeated() {
    let mixed = all_classes_fail(
        [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::NonIdempotent,
        ],
        6000,
    );
    assert!(mixed[0] >= 4, "{mixed:?}: it is tried");
    assert!(mixed[1] + mixed[2] <= 6, "{mixed:?}");
    // Nobody else can try it for them.
    let alike = all_classes_fail([Idempotency::NonIdempotent; 3], 6000);
    assert!(alike.iter().all(|failed| *failed >= 4), "{alike:?}");
}

/// An outcome that came this long after its call was sent.
fn lost(id: u64, outcome: AttemptOutcome, elapsed: f64) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt: 0,
        outcome,
        elapsed,
        connection_idle: None,
        request_concluded: false,
    })
}

/// Guards against one upstream that swallows a part of a class: what it answers meanwhile is no excuse.
#[test]
fn an_overdue_call_ends_its_class_s_turns_there_though_others_are_answered() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    let there = sends(&rig.on(request(1, 0, 20.0)))[0].1;
    let mut taken = 0;
    for id in 2..60 {
        let upstream = sends(&rig.on(request(id, 0, 2.0)))[0].1;
        rig.now += 0.1;
        rig.on(end(id, 0, AttemptOutcome::Success));
        taken += u32::from(upstream == there && rig.now > 103.0);
    }
    assert_eq!(taken, 0);
    // It is ejected for as long as the silence took.
    rig.on(lost(1, AttemptOutcome::TimedOut, 6.0));
    rig.now += 5.0;
    let next: Vec<_> = (60..64)
        .map(|id| sends(&rig.on(request(id, 0, 2.0)))[0].1)
        .collect();
    assert!(!next.contains(&there), "{next:?}");
}

/// Guards against leaving out one upstream after the other where all of them lose a call now and then.
#[test]
fn losses_in_silence_that_all_upstreams_have_bring_no_rest() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    let mut id = 0;
    let mut lose_one = |rig: &mut Rig| {
        let swallowed = id;
        let there = sends(&rig.on(request(swallowed, 0, 2.0)))[0].1;
        let mut taken = 0;
        for number in 1..=24 {
            id += 1;
            let to = sends(&rig.on(request(id, 0, 2.0)))[0].1;
            rig.now += 0.08;
            rig.on(end(id, 0, AttemptOutcome::Success));
            // The first half goes by before it is overdue.
            taken += u32::from(number > 12 && to == there);
        }
        rig.on(lost(swallowed, AttemptOutcome::TimedOut, 1.92));
        id += 1;
        taken
    };
    assert_eq!(
        lose_one(&mut rig),
        0,
        "what one alone has lost does leave it out"
    );
    for _ in 0..8 {
        lose_one(&mut rig);
    }
    let late: u32 = (0..4).map(|_| lose_one(&mut rig)).sum();
    assert!(late >= 8, "{late} of 48, where an even turn is 12");
}

/// Guards against resting an upstream for what isn't its fault: a client in a hurry, or one broken connection.
#[test]
fn a_client_in_a_hurry_or_a_single_lost_connection_brings_no_rest() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Reset,
        AttemptOutcome::ConnectFailed,
    ] {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
        let there = sends(&rig.on(request(1, 0, 0.5)))[0].1;
        rig.now += 0.1;
        rig.on(lost(1, outcome, 0.1));
        let next: Vec<_> = (2..6)
            .map(|id| sends(&rig.on(request(id, 0, 2.0)))[0].1)
            .collect();
        assert!(next.contains(&there), "{outcome:?} {next:?}");
    }
}

/// Calls in flight at the only upstream once it has answered one call after these losses; two at an even slice.
fn slots_after_losses(outcomes: &[(AttemptOutcome, f64)]) -> u64 {
    let mut rig = Rig::new(one_attempt(Settings::simple()), 1);
    rig.on(request(1, 0, 2.0));
    rig.on(end(1, 0, AttemptOutcome::Success));
    for (id, (outcome, idle)) in (10..).zip(outcomes) {
        rig.now += 0.1;
        rig.on(request(id, 0, 2.0));
        rig.on(Event::AttemptEnded(AttemptResult {
            id: RequestId(id),
            attempt: 0,
            outcome: *outcome,
            elapsed: 0.001,
            connection_idle: Some(*idle),
            request_concluded: false,
        }));
    }
    // Past an ejection.
    rig.now += 20.0;
    rig.on(request(50, 0, 2.0));
    rig.on(end(50, 0, AttemptOutcome::Success));
    rig.fill(100, 0) - 100
}

/// Guards against leaving an upstream out because a client takes its time to send a body.
#[test]
fn the_time_of_a_streamed_call_begins_with_its_last_byte() {
    let turns_there = |written: bool| {
        let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 3);
        let streamed = Request {
            id: RequestId(1),
            class: 0,
            tenant: 0,
            remaining: 60.0,
            cost_hint: None,
            streamed: true,
        };
        let there = sends(&rig.on(Event::Request(streamed)))[0].1;
        rig.now += 1.0;
        if written {
            rig.on(Event::UploadCompleted(RequestId(1)));
        }
        rig.now += 10.0;
        let to: Vec<_> = (2..12)
            .map(|id| sends(&rig.on(request(id, 0, 2.0))))
            .collect();
        to.iter().flatten().filter(|(_, to)| *to == there).count()
    };
    assert!(turns_there(false) > 0, "its client still sends");
    assert_eq!(turns_there(true), 0, "it is silent");
}

/// Guards against a slice that stays narrow because connections break now and then.
#[test]
fn a_single_lost_connection_takes_no_more_from_a_slice_than_an_error_does() {
    for outcome in [AttemptOutcome::Reset, AttemptOutcome::ConnectFailed] {
        assert_eq!(slots_after_losses(&[(outcome, 0.0)]), 2, "{outcome:?}");
        // With no answer in between they are no accident.
        assert_eq!(slots_after_losses(&[(outcome, 0.0); 3]), 1, "{outcome:?}");
    }
    // What may have been dropped while idle says nothing of the upstream.
    assert_eq!(slots_after_losses(&[(AttemptOutcome::Reset, 0.5); 3]), 2);
}

/// Guards against giving up calls that may be repeated because connections break now and then.
#[test]
fn a_broken_connection_costs_a_call_that_may_be_repeated_no_answer() {
    let given_up = |outcome: AttemptOutcome| {
        let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 4);
        let mut given_up = 0;
        for id in 1..=300 {
            rig.on(request(id, 0, 2.0));
            rig.now += 0.1;
            // One attempt in twenty; what is sent again is answered.
            if id % 20 == 0 {
                let actions = rig.on(lost(id, outcome, 0.001));
                given_up += u32::from(sends(&actions).is_empty());
                rig.on(end(id, 1, AttemptOutcome::Success));
            } else {
                rig.on(end(id, 0, AttemptOutcome::Success));
            }
        }
        given_up
    };
    assert_eq!(given_up(AttemptOutcome::Reset), 0);
    assert!(
        given_up(AttemptOutcome::Error) > 5,
        "an error may tell of a crowd"
    );
}

#[test]
fn errors_that_all_upstreams_have_eject_none() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 4);
    let mut taken = [0; 5];
    for id in 1..=200 {
        taken[sends(&rig.on(request(id, 0, 2.0)))[0].1 as usize] += 1;
        rig.now += 0.01;
        rig.on(end(
            id,
            0,
            if id % 3 == 0 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Error
            },
        ));
    }
    assert!(taken[1..].iter().all(|n| *n > 20), "{taken:?}");
}

#[test]
fn a_silent_call_goes_elsewhere_where_no_copy_may_go_out() {
    let mut settings = Settings {
        classes: vec![class(Idempotency::Idempotent)],
        ..Settings::simple()
    };
    settings.limits.hedging_allowed = false;
    let mut rig = Rig::new(settings, 4);
    let first = sends(&rig.on(request(1, 0, 3.0)))[0].1;
    let actions = rig.later(1.5, 1);
    assert_eq!(
        actions,
        [Action::CancelAttempt {
            id: RequestId(1),
            attempt: 0
        }]
    );
    let again = sends(&rig.on(end(1, 0, AttemptOutcome::Cancelled)));
    assert!(again.len() == 1 && again[0].1 != first, "{again:?}");
}

#[test]
fn deeper_tiers_widen_for_calls_that_wait_though_answers_take_long() {
    let widened = |tier: usize| {
        let mut rig = Rig::new(
            Settings {
                tier,
                tier_count: 3,
                peer_count: 6,
                ..Settings::simple()
            },
            1,
        );
        for id in 1..=100 {
            rig.on(request(id, 0, 2.0));
            rig.now += 0.01;
            let (id, outcome) = (RequestId(id), AttemptOutcome::Success);
            if id.0 % 2 == 0 {
                let id = RequestId(id.0 / 2);
                rig.on(Event::AttemptEnded(AttemptResult {
                    id,
                    attempt: 0,
                    outcome,
                    elapsed: 0.9,
                    connection_idle: None,
                    request_concluded: true,
                }));
            }
        }
        rig.balancer.load().attempts_in_flight
    };
    assert!(
        widened(1) > widened(0),
        "{} deeper, {} at the entry",
        widened(1),
        widened(0)
    );
}

/// Calls at one upstream with a second between them, which end as `outcome` says after 50 ms; what is closed.
fn closes(outcome: impl Fn(u64) -> AttemptOutcome) -> usize {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    let mut closed = 0;
    for id in 1..=20 {
        rig.now += 1.0;
        let actions = rig.on(request(id, 0, 2.0));
        assert_eq!(sends(&actions).len(), 1);
        closed += actions
            .iter()
            .filter(|a| matches!(a, Action::CloseIdleConnections { .. }))
            .count();
        rig.now += 0.05;
        match outcome(id) {
            AttemptOutcome::Success => rig.on(end(id, 0, AttemptOutcome::Success)),
            outcome => rig.on(lost(id, outcome, 0.001)),
        };
    }
    closed
}

#[test]
fn idle_connections_are_closed_before_use_once_two_were_lost() {
    assert_eq!(closes(|_| AttemptOutcome::Success), 0);
    assert_eq!(
        closes(|id| if id == 2 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }),
        0,
        "one sign is none"
    );
    let often = closes(|id| {
        if id == 2 || id == 4 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }
    });
    assert!(often >= 12, "closed {often} times");
    // Nor need they be many: each may be a call that can't be repeated.
    assert!(
        closes(|id| if id == 2 || id == 11 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }) >= 6
    );
}

/// Guards against a handshake for each call where connections break whether they were idle or not.
#[test]
fn idle_connections_are_trusted_while_new_ones_break_as_well() {
    // The call after a reset finds no idle connection, so that every other reset is one of a new connection.
    let both = |id: u64| {
        if id % 6 == 2 || id % 6 == 3 {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }
    };
    assert_eq!(closes(both), 0);
    // The trust that two on idle ones took comes back with the next on a new one.
    assert_eq!(
        closes(|id| if [2, 4, 6].contains(&id) {
            AttemptOutcome::Reset
        } else {
            AttemptOutcome::Success
        }),
        1
    );
}

/// Guards against the same where calls follow each other so closely that no connection is ever idle for long.
#[test]
fn a_connection_that_was_idle_for_less_than_a_call_takes_is_not_doubted() {
    let mut rig = Rig::with_classes(&[Idempotency::NonIdempotent], 1);
    for id in 1..=40 {
        rig.now += 0.02;
        let actions = rig.on(request(id, 0, 2.0));
        assert!(
            !actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. })),
            "call {id}: {actions:?}"
        );
        rig.now += 0.1;
        match id % 4 {
            0 => rig.on(lost(id, AttemptOutcome::Reset, 0.001)),
            _ => rig.on(end(id, 0, AttemptOutcome::Success)),
        };
    }
}

#[test]
fn the_pass_of_a_crowded_caller_rests_where_callers_outnumber_upstreams() {
    let waits = |peer_count: usize| {
        let mut rig = Rig::new(
            Settings {
                peer_count,
                ..Settings::simple()
            },
            3,
        );
        for id in 1..=60 {
            rig.on(request(id, 0, 20.0));
            let (id, outcome) = (RequestId(id), AttemptOutcome::Success);
            rig.now += 1.0;
            rig.on(Event::AttemptEnded(AttemptResult {
                id,
                attempt: 0,
                outcome,
                elapsed: 0.9,
                connection_idle: None,
                request_concluded: true,
            }));
        }
        let ids = [101, 102, 103, 104];
        let sent: Vec<_> = ids
            .iter()
            .flat_map(|id| sends(&rig.on(request(*id, 0, 20.0))))
            .collect();
        let actions = rig.on(end(sent[0].0, 0, AttemptOutcome::Success));
        let held = ids
            .iter()
            .find(|id| !sent.iter().any(|s| s.0 == **id))
            .unwrap();
        let woken = sends(&actions).len();
        let timer = |a: &Action| matches!(a, Action::SetTimer { .. });
        assert!(woken > 0 || actions.iter().any(timer), "{actions:?}");
        assert_eq!(
            woken + sends(&rig.later(0.2, *held)).len(),
            1,
            "sent after the rest"
        );
        woken == 0
    };
    assert!(waits(300) && !waits(2));
}

#[test]
fn a_slice_widened_for_calls_that_waited_goes_back_slowly() {
    // Calls wait and are answered quickly, so one upstream's slice widens; then come forty calls one by one.
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 1);
    let mut sent = Vec::new();
    for id in 1..=200 {
        sent.extend(sends(&rig.on(request(id, 0, 5.0))));
        if id % 2 == 0 && !sent.is_empty() {
            let (first, _) = sent.remove(0);
            sent.extend(sends(&rig.on(end(first, 0, AttemptOutcome::Success))));
        }
        rig.now += 0.01;
    }
    let widened = rig.balancer.load().attempts_in_flight;
    assert!(widened > 3, "{widened}");
    while let Some((id, _)) = sent.pop() {
        sent.extend(sends(&rig.on(end(id, 0, AttemptOutcome::Success))));
    }
    for id in 301..=320 {
        rig.on(request(id, 0, 5.0));
        rig.on(end(id, 0, AttemptOutcome::Success));
    }
    let held = rig.fill(400, 0);
    assert!(
        held - 400 >= 4,
        "{} after {widened}; an even slice is two",
        held - 400
    );
}

/// Calls that always wait, at one upstream that answers each after `elapsed`; slots taken after so many answers.
fn slots_after(answers: u64, elapsed: impl Fn(u64) -> f64) -> usize {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 1);
    let mut sent = Vec::new();
    for id in 1..=answers {
        sent.extend(sends(&rig.on(request(id, 0, 50.0))));
        let call = AttemptResult {
            id: RequestId(sent.remove(0).0),
            attempt: 0,
            outcome: AttemptOutcome::Success,
            elapsed: elapsed(id),
            connection_idle: None,
            request_concluded: true,
        };
        sent.extend(sends(&rig.on(request(1000 + id, 0, 50.0))));
        sent.extend(sends(&rig.on(Event::AttemptEnded(call))));
        rig.now += 0.01;
    }
    rig.balancer.load().attempts_in_flight
}

/// Guards against a limit that stays at a few calls because the work alone fills much of the aim, of one second.
#[test]
fn a_slice_widens_while_answers_take_no_longer_than_the_work_does() {
    let calm = slots_after(400, |_| 0.35);
    let risen = slots_after(400, |id| if id < 100 { 0.35 } else { 0.7 });
    assert!(calm > 4, "{calm}; an even slice is two");
    assert!(risen <= 2, "{risen}");
    // One that starts in a crowd has never seen it calm.
    let crowded = slots_after(400, |_| 0.9);
    assert!(crowded <= 2, "{crowded}");
}

/// Guards against calls held before upstreams that have room: some answers come late for what befell them further on, as
/// when a connection there comes up late, and most come as soon as ever. A crowd shows in most of them.
#[test]
fn a_tail_of_late_answers_is_no_crowd() {
    let late =
        |share: u64, of: u64| move |id: u64| if id > 40 && id % of < share { 1.5 } else { 0.1 };
    let calm = slots_after(400, late(0, 1));
    for (share, of) in [(1, 4), (1, 3), (2, 5)] {
        let tail = slots_after(400, late(share, of));
        assert_eq!(tail, calm, "{share} of {of} are late");
    }
    let crowd = slots_after(400, late(3, 4));
    assert!(crowd <= 2, "{crowd}; an even slice is two");
}

/// Guards against a caller that, started again, turns calls away for long at upstreams that have room.
#[test]
fn a_fresh_slice_widens_fast_until_answers_first_are_late() {
    let fresh = slots_after(24, |_| 0.2);
    assert!(fresh >= 8, "{fresh}");
    // Late answers narrow it; from then on it widens by little.
    let before = slots_after(80, |id| if (24..56).contains(&id) { 0.9 } else { 0.2 });
    let after = slots_after(100, |id| if (24..56).contains(&id) { 0.9 } else { 0.2 });
    assert!(
        (before..=before + 3).contains(&after) && after < fresh,
        "{before} and {after}"
    );
}

/// Guards against heavy calls that are late on slow upstreams, while light ones still go to all in turn.
#[test]
fn a_heavy_call_tends_to_a_fast_upstream() {
    let mut rig = Rig::with_classes(&[Idempotency::Idempotent], 2);
    let call = |rig: &mut Rig, id: u64, hint: f64| {
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            remaining: 2.0,
            cost_hint: Some(hint),
            streamed: false,
        };
        let to = sends(&rig.on(Event::Request(request)))[0].1;
        let elapsed = hint * if to == 1 { 1.0 } else { 3.0 };
        rig.now += elapsed;
        let (id, outcome) = (RequestId(id), AttemptOutcome::Success);
        rig.on(Event::AttemptEnded(AttemptResult {
            id,
            attempt: 0,
            outcome,
            elapsed,
            connection_idle: None,
            request_concluded: true,
        }));
        to
    };
    let light: Vec<_> = (0..60).map(|id| call(&mut rig, id, 0.1)).collect();
    assert!(
        light[30..].contains(&1) && light[30..].contains(&2),
        "{light:?}"
    );
    let heavy: Vec<_> = (100..104).map(|id| call(&mut rig, id, 0.4)).collect();
    assert_eq!(heavy, [1, 1, 1, 1]);
}

/// Guards against paying again, after an upgrade, for what the process before had learned.
#[test]
fn a_balancer_that_takes_another_s_place_recalls_what_that_one_learned() {
    let settings = || {
        one_attempt(Settings {
            classes: vec![class(Idempotency::NonIdempotent)],
            ..Settings::simple()
        })
    };
    let run = |rig: &mut Rig, ids: std::ops::Range<u64>| {
        let mut drawn = 0;
        for id in ids {
            let upstream = sends(&rig.on(request(id, 0, 2.0)))[0].1;
            rig.now += 0.002;
            drawn += u32::from(upstream == 1);
            rig.on(end(
                id,
                0,
                if upstream == 1 {
                    AttemptOutcome::Error
                } else {
                    AttemptOutcome::Success
                },
            ));
        }
        drawn
    };
    let mut old = Rig::new(settings(), 4);
    assert!(
        run(&mut old, 1..40) >= 2,
        "what it costs to learn that one fails"
    );
    let text = serde_json::to_string(&old.balancer.learned_state()).unwrap();
    let drawn_by = |ahead: f64, later: f64, restarted: bool| {
        let mut new = Rig::new(settings(), 4);
        new.now = old.now + later + ahead;
        if restarted {
            let now = new.now - 50.0;
            new.list(
                ListScope::Delta,
                vec![UpstreamEntry {
                    started_at: now,
                    ..entry(1)
                }],
            );
        }
        new.balancer
            .restore(new.now, later, serde_json::from_str(&text).unwrap());
        run(&mut new, 1..40)
    };
    let drawn = |later: f64, restarted: bool| drawn_by(0.0, later, restarted);
    assert_eq!(drawn(0.1, false), 0);
    for ahead in [-3600.0, -5.0, 5.0, 3600.0] {
        assert_eq!(
            drawn_by(ahead, 0.1, false),
            0,
            "its clock is {ahead} s ahead"
        );
    }
    assert!(drawn(0.1, true) >= 2, "it may be another program now");
    assert!(drawn(60.0, false) >= 2, "too long ago");
    // Settings that have changed fit nothing.
    let mut other = Rig::with_classes(&[Idempotency::Idempotent, Idempotency::NonIdempotent], 4);
    other
        .balancer
        .restore(old.now, 0.0, serde_json::from_str(&text).unwrap());
    assert!(other.fill(1, 0) > 1);
}
