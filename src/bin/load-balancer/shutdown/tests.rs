//! Unit tests of the schedule of a graceful shutdown.

use super::*;

#[test]
fn the_schedule_follows_the_longest_deadline_and_the_listener_closes_before_requests_are_settled() {
    let millis = Duration::from_millis;
    for (longest, settle, accept) in [
        (0, 450, 350),
        (100, 550, 450),
        (500, 950, 800),
        (2500, 2950, 800),
    ] {
        let schedule = DrainSchedule::new(millis(longest));
        assert_eq!(
            (schedule.settle, schedule.accept),
            (millis(settle), millis(accept))
        );
    }
    assert_eq!(DrainSchedule::new(millis(6000)).settle, millis(3450));
}

/// SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and 0.7 s. A process that is
/// paused for 0.15 s just as the last responses are due has written them by then.
#[test]
fn requests_are_settled_before_sigkill_though_the_process_is_paused() {
    for longest in [0, 300, 500, 2500, 3000, 9000].map(Duration::from_millis) {
        let killed = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        let settle = DrainSchedule::new(longest).settle;
        assert!(
            settle + Duration::from_millis(150 + 50) < killed,
            "{longest:?}"
        );
    }
}
