//! Unit tests of the conversion of receive timestamps.

use super::*;

const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// The wall clock at the first reading.
const WALL: Duration = Duration::from_secs(1_000_000);

/// Returns a reading `elapsed` after `first`, with a wall clock that has been stepped by `step`
/// seconds.
fn reading_after(first: ClockReading, elapsed: Duration, step: i32) -> ClockReading {
    let wall = first.wall + elapsed;
    let stepped_by = Duration::from_secs(step.unsigned_abs().into());
    ClockReading {
        monotonic: first.monotonic + elapsed,
        wall: if step < 0 {
            wall - stepped_by
        } else {
            wall + stepped_by
        },
    }
}

fn first_reading() -> ClockReading {
    ClockReading {
        monotonic: Instant::now(),
        wall: WALL,
    }
}

#[test]
fn a_timestamp_is_converted_to_the_monotonic_time_of_the_arrival() {
    let first = first_reading();
    let clock = ReceiveClock::starting_at(first);
    let now = reading_after(first, 5 * SECOND, 0);
    assert_eq!(
        clock.monotonic(WALL + 2 * SECOND, now),
        Some(first.monotonic + 2 * SECOND)
    );
}

/// Guards against requests that are rejected because the wall clock was stepped between their
/// arrival and their read, so that they seem to have arrived long before.
#[test]
fn a_step_of_the_wall_clock_makes_no_arrival_earlier() {
    for step in [-3600, -2, -1, 1, 2, 3600] {
        let first = first_reading();
        let clock = ReceiveClock::starting_at(first);
        let arrival = reading_after(first, SECOND, 0);
        for elapsed in [3 * SECOND, 4 * SECOND] {
            let now = reading_after(first, elapsed, step);
            let time = clock.monotonic(arrival.wall, now);
            assert!(
                time.is_none_or(|time| (arrival.monotonic..=now.monotonic).contains(&time)),
                "step {step}: {time:?}"
            );
        }
    }
}

#[test]
fn timestamps_are_converted_again_after_a_step_of_the_wall_clock() {
    for step in [-3600, -2, 2, 3600] {
        let first = first_reading();
        let clock = ReceiveClock::starting_at(first);
        let detected = reading_after(first, 3 * SECOND, step);
        clock.monotonic(detected.wall, detected);
        let arrival = reading_after(first, 4 * SECOND, step);
        let now = reading_after(first, 6 * SECOND, step);
        assert_eq!(
            clock.monotonic(arrival.wall, now),
            Some(arrival.monotonic),
            "step {step}"
        );
    }
}

#[test]
fn a_timestamp_from_before_the_first_reading_is_not_converted() {
    let first = first_reading();
    let clock = ReceiveClock::starting_at(first);
    let now = reading_after(first, SECOND, 0);
    assert_eq!(clock.monotonic(WALL - HOUR, now), None);
}
