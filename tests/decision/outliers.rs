//! Outlier detection of silent upstreams, and panic mode.

use crate::harness::{attempt_ended, first_attempt_failed, request, started_attempts, Harness};
use load_balancer::{Action, AttemptOutcome, Event, Idempotency, Request, RequestId};

#[test]
fn silent_upstream_gets_no_requests_until_it_responds() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let silent = harness.send(request(1, 0, 20.0));
    harness.now += 5.0;
    for id in 2..20 {
        assert_ne!(harness.send(request(id, 0, 2.0)), silent);
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
    }
    // The response to request 1 ends the upstream's silence.
    harness.handle(attempt_ended(1, 0, AttemptOutcome::Success));
    let is_used_again = (20..28).any(|id| {
        let upstream = harness.send(request(id, 0, 2.0));
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        upstream == silent
    });
    assert!(is_used_again);
}

#[test]
fn ejected_upstream_gets_one_trial_request_at_a_time() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let failing = harness.send(request(1, 0, 2.0));
    harness.handle(attempt_ended(1, 0, AttemptOutcome::ConnectFailed));
    for id in 100..105 {
        let upstream = harness.send(request(id, 0, 2.0));
        harness.handle(attempt_ended(
            id,
            0,
            if upstream == failing {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    harness.now += 60.0;
    let upstreams: Vec<u64> = (2..8)
        .flat_map(|id| started_attempts(&harness.handle(request(id, 0, 2.0))))
        .map(|started| started.upstream)
        .collect();
    assert_eq!(
        upstreams
            .iter()
            .filter(|upstream| **upstream == failing)
            .count(),
        1,
        "trial requests to upstream {failing}; upstreams of all requests: {upstreams:?}"
    );
}

#[test]
fn panic_mode_dispatches_requests_while_all_upstreams_are_silent() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    for id in 1..=4 {
        harness.handle(request(id, 0, 20.0));
    }
    harness.now += 5.0;
    assert_eq!(
        started_attempts(&harness.handle(request(9, 0, 2.0))).len(),
        1,
        "attempts started while all upstreams are silent"
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
            .filter(|a| matches!(a, Action::Log(_)))
            .count();
        harness.now += 60.0;
    }
    assert_eq!(
        lines, 1,
        "log lines for the first ejection and the failed trials"
    );
}

/// An upstream may lose some requests of a class and respond to the others, so its other responses
/// do not show that it is healthy.
#[test]
fn overdue_attempt_excludes_its_upstream_despite_other_responses() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let upstream_of_lost_request = harness.send(request(1, 0, 20.0));
    let mut count = 0;
    // Request 1 is sent at 100 s and is overdue 1 s later. Requests are counted after 103 s, when
    // it has long been overdue.
    for id in 2..60 {
        let upstream = harness.send(request(id, 0, 2.0));
        harness.now += 0.1;
        harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
        count += u32::from(upstream == upstream_of_lost_request && harness.now > 103.0);
    }
    assert_eq!(
        count, 0,
        "requests sent to the upstream of the overdue request"
    );
    // The ejection lasts at least as long as the lost attempt took, 6 s, so it is still in force
    // after 5 s.
    harness.handle(first_attempt_failed(1, AttemptOutcome::TimedOut, 6.0));
    harness.now += 5.0;
    let upstreams: Vec<_> = (60..64)
        .map(|id| harness.send(request(id, 0, 2.0)))
        .collect();
    assert!(
        !upstreams.contains(&upstream_of_lost_request),
        "upstream {upstream_of_lost_request} got a request during its ejection; upstreams of the \
         requests: {upstreams:?}"
    );
}

/// If every upstream loses single requests silently, the fault lies on the path to all upstreams.
/// Ejecting an upstream after each loss would exclude one upstream after the other and prevent no
/// loss.
#[test]
fn silent_losses_at_all_upstreams_eject_none() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let mut id = 0;
    // Loses one request silently while 24 others succeed. Returns how many of the last 12 are sent
    // to the upstream of the lost request.
    let mut lose_one = |harness: &mut Harness| {
        let lost = id;
        let upstream_of_lost_request = harness.send(request(lost, 0, 2.0));
        let mut count = 0;
        for number in 1..=24 {
            id += 1;
            let upstream = harness.send(request(id, 0, 2.0));
            harness.now += 0.08;
            harness.handle(attempt_ended(id, 0, AttemptOutcome::Success));
            // The lost request is overdue after 1 s or earlier, so it is overdue when the 14th of
            // these requests is sent, which is after 1.04 s.
            count += u32::from(number > 12 && upstream == upstream_of_lost_request);
        }
        harness.handle(first_attempt_failed(lost, AttemptOutcome::TimedOut, 1.92));
        id += 1;
        count
    };
    assert_eq!(
        lose_one(&mut harness),
        0,
        "requests sent to the only upstream with a loss, while its attempt is overdue"
    );
    for _ in 0..8 {
        lose_one(&mut harness);
    }
    let while_overdue: u32 = (0..4).map(|_| lose_one(&mut harness)).sum();
    assert!(
        while_overdue >= 8,
        "{while_overdue} of 48 requests sent to the upstream of the overdue request, expected at \
         least 8; an even share is 12"
    );
}

/// The upstream is not to blame for a short client deadline, an early cancellation or a single
/// broken connection.
#[test]
fn short_client_deadline_or_single_broken_connection_ejects_none() {
    for outcome in [
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Reset,
        AttemptOutcome::ConnectFailed,
    ] {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
        let upstream_of_lost_request = harness.send(request(1, 0, 0.5));
        harness.now += 0.1;
        harness.handle(first_attempt_failed(1, outcome, 0.1));
        let upstreams: Vec<_> = (2..6).map(|id| harness.send(request(id, 0, 2.0))).collect();
        assert!(
            upstreams.contains(&upstream_of_lost_request),
            "{outcome:?} at upstream {upstream_of_lost_request}, which got none of the next \
             requests; their upstreams: {upstreams:?}"
        );
    }
}

/// The upstream is not to blame if the client uploads the request slowly.
#[test]
fn streamed_request_is_overdue_only_after_its_upload() {
    let requests_to_upstream = |is_uploaded: bool| {
        let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 3);
        let streamed = Request {
            id: RequestId(1),
            class: 0,
            tenant: 0,
            remaining: 60.0,
            cost_hint: None,
            is_streamed: true,
        };
        let uploading_to = harness.send(Event::Request(streamed));
        harness.now += 1.0;
        if is_uploaded {
            harness.handle(Event::UploadCompleted(RequestId(1)));
        }
        harness.now += 10.0;
        (2..12)
            .flat_map(|id| started_attempts(&harness.handle(request(id, 0, 2.0))))
            .filter(|started| started.upstream == uploading_to)
            .count()
    };
    assert!(
        requests_to_upstream(false) > 0,
        "the upstream got no request while the client was uploading"
    );
    assert_eq!(
        requests_to_upstream(true),
        0,
        "requests sent to the upstream of the overdue request"
    );
}
