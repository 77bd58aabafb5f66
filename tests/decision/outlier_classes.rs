//! Outlier detection by request class.

use crate::harness::{attempt_ended, class, request, without_retries, Harness};
use load_balancer::{AttemptOutcome, Idempotency, Settings};

/// Sends 200 requests of two classes to four upstreams. At upstream 1, requests of the second class
/// end with `outcome`; all others succeed. Returns how many requests of each class upstream 1
/// receives after the first 50 requests.
fn fail_one_class(outcome: AttemptOutcome) -> [u32; 2] {
    let classes = vec![
        class(Idempotency::NonIdempotent),
        class(Idempotency::NonIdempotent),
    ];
    let mut harness = Harness::new(
        without_retries(Settings {
            classes,
            ..Settings::simple()
        }),
        4,
    );
    let mut counts = [0; 2];
    for id in 1..=200 {
        let class_index = usize::from(id % 7 < 3);
        let upstream = harness.send(request(id, class_index, 2.0));
        harness.now += 0.01;
        if upstream == 1 && id > 50 {
            counts[class_index] += 1;
        }
        let is_failure = upstream == 1 && class_index == 1;
        harness.handle(attempt_ended(
            id,
            0,
            if is_failure {
                outcome
            } else {
                AttemptOutcome::Success
            },
        ));
    }
    counts
}

#[test]
fn upstream_that_times_out_for_one_class_still_gets_the_other() {
    let [served, failed] = fail_one_class(AttemptOutcome::TimedOut);
    assert!(
        served >= 6 && failed <= 2,
        "{served} requests of the served class, expected at least 6; {failed} of the other, \
         expected at most 2"
    );
    let [first_class, second_class] = fail_one_class(AttemptOutcome::Success);
    assert!(
        first_class >= 15 && second_class >= 12,
        "{first_class} and {second_class} requests of two served classes, expected at least 15 \
         and 12"
    );
}

/// Each rejected request holds a slot until the rejection is received, so the upstream must not
/// keep getting the class that it rejects.
#[test]
fn upstream_that_alone_rejects_one_class_still_gets_the_other() {
    let [served, rejected] = fail_one_class(AttemptOutcome::Rejected);
    assert!(
        served >= 15 && rejected <= 4,
        "{served} requests of the served class, expected at least 15; {rejected} of the other, \
         expected at most 4"
    );
}

#[test]
fn rejections_by_all_upstreams_eject_none() {
    let mut harness = Harness::new(without_retries(Settings::simple()), 4);
    let mut counts = [0; 5];
    for id in 1..=200 {
        // The interval is longer than the pause that follows each rejection.
        harness.now += 1.0;
        counts[harness.send(request(id, 0, 2.0)) as usize] += 1;
        harness.handle(attempt_ended(
            id,
            0,
            if id % 3 == 0 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Rejected
            },
        ));
    }
    assert!(
        counts[1..].iter().all(|n| *n > 20),
        "requests by upstream {counts:?}, expected more than 20 each"
    );
}

#[test]
fn errors_at_all_upstreams_eject_none() {
    let mut harness = Harness::with_classes(&[Idempotency::NonIdempotent], 4);
    let mut counts = [0; 5];
    for id in 1..=200 {
        counts[harness.send(request(id, 0, 2.0)) as usize] += 1;
        harness.now += 0.01;
        harness.handle(attempt_ended(
            id,
            0,
            if id % 3 == 0 {
                AttemptOutcome::Success
            } else {
                AttemptOutcome::Error
            },
        ));
    }
    assert!(
        counts[1..].iter().all(|n| *n > 20),
        "requests by upstream {counts:?}, expected more than 20 each"
    );
}

/// Sends requests of three classes in turn to four upstreams. Upstream 1 responds to each request
/// with an error. Returns how many requests of each class upstream 1 receives.
fn fail_all_classes(classes: [Idempotency; 3], requests: u64) -> [u32; 3] {
    let classes = classes.map(class).to_vec();
    let mut harness = Harness::new(
        without_retries(Settings {
            classes,
            ..Settings::simple()
        }),
        4,
    );
    let mut failed = [0; 3];
    for id in 1..=requests {
        let class = (id % 3) as usize;
        let upstream = harness.send(request(id, class, 2.0));
        harness.now += 0.01;
        failed[class] += u32::from(upstream == 1);
        harness.handle(attempt_ended(
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

#[test]
fn failures_of_all_classes_count_together() {
    let failed = fail_all_classes([Idempotency::NonIdempotent; 3], 60);
    assert!(
        failed.iter().sum::<u32>() <= 5,
        "{failed:?} failures by class, expected at most 5 in all; each class would fail twice if \
         the classes were counted separately"
    );
}

/// A trial request may fail, and is lost if it can't be repeated.
#[test]
fn trial_requests_are_idempotent_if_possible() {
    let mixed = fail_all_classes(
        [
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::NonIdempotent,
        ],
        6000,
    );
    assert!(
        mixed[0] >= 4,
        "{mixed:?} failures by class, expected at least 4 trial requests of the first"
    );
    assert!(
        mixed[1] + mixed[2] <= 6,
        "{mixed:?} failures by class, expected at most 6 of the other two classes"
    );
    // Without an idempotent class, non-idempotent requests are used as trial requests.
    let non_idempotent = fail_all_classes([Idempotency::NonIdempotent; 3], 6000);
    assert!(
        non_idempotent.iter().all(|failed| *failed >= 4),
        "{non_idempotent:?} failures by class, expected at least 4 of each"
    );
}
