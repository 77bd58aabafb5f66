//! Unit tests of the program's last moments.

use super::*;

#[test]
fn the_last_moment_follows_the_longest_deadline_and_the_listener_closes_before_it() {
    let millis = Duration::from_millis;
    for (longest, moment, closed) in [(0, 600, 500), (100, 700, 600), (500, 1100, 800), (2500, 3100, 800)] {
        assert_eq!(
            (last_moment(millis(longest)), still_accept(millis(longest))),
            (millis(moment), millis(closed))
        );
    }
    assert_eq!(last_moment(millis(6000)), millis(3600));
}
