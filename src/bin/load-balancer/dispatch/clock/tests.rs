//! Unit tests of the monotonic Unix clock.

use super::*;

#[test]
fn clock_is_unix_time_and_monotonic() {
    let clock = MonotonicUnixClock::new();
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("the system clock shows a time before 1970")
        .as_secs_f64();
    let (first, second) = (
        clock.seconds_at(Instant::now()),
        clock.seconds_at(Instant::now()),
    );
    assert!(second >= first && (first - unix).abs() < 60.0);
}
