//! Unit tests of the graceful shutdown schedule.

use super::*;

/// The listener closes before the last response is due, so that a request on the last connection
/// can still be answered.
#[test]
fn schedule_follows_the_longest_deadline() {
    let millis = Duration::from_millis;
    for (longest, response_timeout, accept_window) in [
        (0, 450, 350),
        (100, 550, 450),
        (500, 950, 800),
        (2500, 2950, 800),
    ] {
        let schedule = ShutdownSchedule::new(millis(longest));
        assert_eq!(
            (schedule.response_timeout, schedule.accept_window),
            (millis(response_timeout), millis(accept_window)),
            "response timeout and accept window for a longest deadline of {longest} ms"
        );
    }
    assert_eq!(
        ShutdownSchedule::new(millis(6000)).response_timeout,
        millis(3450),
        "response timeout for a longest deadline of 6000 ms, which exceeds the cap of 3 s"
    );
}

/// SIGKILL follows SIGTERM after the longest deadline (at most 3 s) plus 0.7 s. A process that is
/// paused for 0.15 s when the last responses are due must still have more than 0.05 s left to write
/// them before SIGKILL.
#[test]
fn responses_are_due_early_enough_before_sigkill_to_cover_a_pause() {
    for longest in [0, 300, 500, 2500, 3000, 9000].map(Duration::from_millis) {
        let killed_after = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        let response_timeout = ShutdownSchedule::new(longest).response_timeout;
        assert!(
            response_timeout + Duration::from_millis(150 + 50) < killed_after,
            "longest deadline {longest:?}: responses due after {response_timeout:?}, \
             SIGKILL after {killed_after:?}"
        );
    }
}
