//! Unit tests of the program's last moments.

use super::*;

#[test]
fn the_last_moment_follows_the_longest_deadline_and_the_listener_closes_before_it() {
    let millis = Duration::from_millis;
    for (longest, moment, closed) in [
        (0, 450, 350),
        (100, 550, 450),
        (500, 950, 800),
        (2500, 2950, 800),
    ] {
        assert_eq!(
            (last_moment(millis(longest)), still_accept(millis(longest))),
            (millis(moment), millis(closed))
        );
    }
    assert_eq!(last_moment(millis(6000)), millis(3450));
}

/// SIGKILL comes at the longest deadline, 3 s at most, and 0.7 s. A process that is held up for 0.15 s just as the last
/// answers are due has written them by then.
#[test]
fn the_last_answers_are_due_so_early_that_a_hold_up_leaves_them_whole() {
    for longest in [0, 300, 500, 2500, 3000, 9000].map(Duration::from_millis) {
        let killed = longest.min(Duration::from_secs(3)) + Duration::from_millis(700);
        assert!(
            last_moment(longest) + Duration::from_millis(150 + 50) < killed,
            "{longest:?}"
        );
    }
}

/// Whoever sends no proper request is owed an error or a close within 3 s, also by a process that is held up for 0.15 s.
#[test]
fn whoever_stops_in_the_middle_of_a_request_is_turned_away_in_time() {
    let owed = Duration::from_millis(3000 - 150);
    assert!(server::FIRST_REQUEST_TIMEOUT + server::TIMEOUT_RESPONSE_GRACE < owed);
    assert!(body::CLIENT_STALL < owed);
}
