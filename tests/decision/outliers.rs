//! Outlier detection of silent upstreams, and panic mode.

use crate::harness::{attempt_ended, attempt_lost, request, started_attempts, Harness};
use load_balancer::{Action, AttemptOutcome, Event, Idempotency, Request, RequestId};

#[test]
fn silent_upstream_gets_no_requests_until_it_responds() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let silent = started_attempts(&harness.handle(request(1, 0, 20.0)))[0].1;
    harness.now += 5.0;
    for id in 2..20 {
        assert_ne!(
            started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1,
            silent
        );
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
    }
    // Its answer ends the silence.
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    let back = (20..28).any(|id| {
        let sent = started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1;
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        sent == silent
    });
    assert!(back);
}

#[test]
fn ejected_upstream_gets_one_trial_request_at_a_time() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let dead = started_attempts(&harness.handle(request(1, 0, 2.0)))[0].1;
    harness.handle(attempt_ended(1, 0, AttemptOutcome::ConnectFailed));
    for id in 100..105 {
        let to = started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1;
        harness.handle(attempt_ended(
            id,
            0,
            if to == dead {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    harness.now += 60.0;
    let sent: Vec<u64> = (2..8)
        .flat_map(|id| started_attempts(&harness.handle(request(id, 0, 2.0))))
        .map(|s| s.1)
        .collect();
    assert_eq!(
        sent.iter().filter(|upstream| **upstream == dead).count(),
        1,
        "one trial: {sent:?}"
    );
}

#[test]
fn panic_mode_uses_all_upstreams_when_most_are_silent() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    for id in 1..=4 {
        harness.handle(request(id, 0, 20.0));
    }
    harness.now += 5.0;
    assert_eq!(
        started_attempts(&harness.handle(request(9, 0, 2.0))).len(),
        1,
        "all silent: then all are used"
    );
}

#[test]
fn ejection_is_logged_once() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 1);
    let mut lines = 0;
    for id in 1..=20 {
        harness.handle(request(id, 0, 2.0));
        let actions = harness.handle(attempt_ended(id, 0, AttemptOutcome::ConnectFailed));
        lines += actions
            .iter()
            .filter(|a| matches!(a, Action::Log { .. }))
            .count();
        harness.now += 60.0;
    }
    assert_eq!(
        lines, 1,
        "one line when an upstream falls silent, not one for each trial"
    );
}

/// An upstream may lose a part of a class and respond to the rest.
#[test]
fn overdue_attempt_excludes_its_class_though_others_get_responses() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let there = started_attempts(&harness.handle(request(1, 0, 20.0)))[0].1;
    let mut taken = 0;
    for id in 2..60 {
        let upstream = started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1;
        harness.now += 0.1;
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        taken += u32::from(upstream == there && harness.now > 103.0);
    }
    assert_eq!(taken, 0);
    // It is ejected for as long as the silence took.
    harness.handle(attempt_lost(1, AttemptOutcome::TimedOut, 6.0));
    harness.now += 5.0;
    let next: Vec<_> = (60..64)
        .map(|id| started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1)
        .collect();
    assert!(!next.contains(&there), "{next:?}");
}

/// Where all upstreams lose a request now and then, ejections would go round.
#[test]
fn silent_losses_at_all_upstreams_eject_none() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let mut id = 0;
    let mut lose_one = |harness: &mut Harness| {
        let swallowed = id;
        let there = started_attempts(&harness.handle(request(swallowed, 0, 2.0)))[0].1;
        let mut taken = 0;
        for number in 1..=24 {
            id += 1;
            let to = started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1;
            harness.now += 0.08;
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
            // The first half goes by before it is overdue.
            taken += u32::from(number > 12 && to == there);
        }
        harness.handle(attempt_lost(swallowed, AttemptOutcome::TimedOut, 1.92));
        id += 1;
        taken
    };
    assert_eq!(
        lose_one(&mut harness),
        0,
        "what one alone has lost does leave it out"
    );
    for _ in 0..8 {
        lose_one(&mut harness);
    }
    let late: u32 = (0..4).map(|_| lose_one(&mut harness)).sum();
    assert!(late >= 8, "{late} of 48, where an even turn is 12");
}

/// The upstream is to blame for neither.
#[test]
fn short_client_deadline_or_single_broken_connection_ejects_none() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Reset,
        AttemptOutcome::ConnectFailed,
    ] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
        let there = started_attempts(&harness.handle(request(1, 0, 0.5)))[0].1;
        harness.now += 0.1;
        harness.handle(attempt_lost(1, outcome, 0.1));
        let next: Vec<_> = (2..6)
            .map(|id| started_attempts(&harness.handle(request(id, 0, 2.0)))[0].1)
            .collect();
        assert!(next.contains(&there), "{outcome:?} {next:?}");
    }
}

/// The upstream is not to blame for a slow upload.
#[test]
fn streamed_request_is_overdue_only_after_its_upload() {
    let turns_there = |written: bool| {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 3);
        let streamed = Request {
            id: RequestId(1),
            class: 0,
            tenant: 0,
            remaining: 60.0,
            cost_hint: None,
            streamed: true,
        };
        let there = started_attempts(&harness.handle(Event::Request(streamed)))[0].1;
        harness.now += 1.0;
        if written {
            harness.handle(Event::UploadCompleted(RequestId(1)));
        }
        harness.now += 10.0;
        let to: Vec<_> = (2..12)
            .map(|id| started_attempts(&harness.handle(request(id, 0, 2.0))))
            .collect();
        to.iter().flatten().filter(|(_, to)| *to == there).count()
    };
    assert!(turns_there(false) > 0, "its client still sends");
    assert_eq!(turns_there(true), 0, "it is silent");
}
