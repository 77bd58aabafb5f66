//! Unit tests of the estimate of when input was sent.

use super::*;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
/// Number of bytes that one read returns if more are unread.
const FULL_READ: usize = 8 * KIB;

/// An estimator, and the time at which its connection was opened.
struct Fixture {
    estimator: ArrivalEstimator,
    opened: Instant,
}

impl Fixture {
    fn new() -> Self {
        Fixture {
            estimator: ArrivalEstimator::default(),
            opened: Instant::now(),
        }
    }

    /// Reads `count` bytes at once, the last of which arrived at `arrived_at`. Times are counted
    /// from the opening of the connection.
    fn read(&mut self, count: usize, arrived_at: Duration, now: Duration) {
        let (arrived_at, now) = (self.opened + arrived_at, self.opened + now);
        self.estimator.record_read(count, Some(arrived_at), now);
    }

    /// Reads `total` bytes whose arrival the kernel has not recorded.
    fn read_all_without_timestamp(&mut self, total: usize, now: Duration) {
        for _ in 0..total / FULL_READ {
            let now = self.opened + now;
            self.estimator.record_read(FULL_READ, None, now);
        }
    }

    /// Reads `total` bytes that arrived at `arrived_at`, without emptying the receive buffer.
    fn read_all(&mut self, total: usize, arrived_at: Duration, now: Duration) {
        for _ in 0..total / FULL_READ {
            self.read(FULL_READ, arrived_at, now);
        }
    }

    fn find_empty(&mut self, now: Duration) {
        self.estimator.record_empty(self.opened + now);
    }

    fn sent_at(&self, end_offset: Option<usize>) -> Duration {
        self.estimator.sent_at(end_offset).unwrap() - self.opened
    }
}

#[test]
fn input_that_lay_unread_was_sent_when_it_arrived() {
    let mut connection = Fixture::new();
    connection.read(500, SECOND, 4 * SECOND);
    assert_eq!(connection.sent_at(None), SECOND);
}

#[test]
fn each_of_several_requests_has_its_own_arrival() {
    let mut connection = Fixture::new();
    connection.read(500, SECOND, SECOND);
    connection.find_empty(SECOND);
    connection.read(300, 2 * SECOND, 2 * SECOND);
    assert_eq!(connection.sent_at(Some(500)), SECOND);
    assert_eq!(connection.sent_at(Some(800)), 2 * SECOND);
    assert_eq!(connection.sent_at(None), 2 * SECOND);
}

/// Guards against more time for a request whose body lay in the client's kernel until the balancer
/// went on reading.
#[test]
fn input_withheld_by_a_closed_window_was_sent_before_the_window_closed() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, SECOND);
    // The rest is read later. A part of it is in the receive buffer, and more follows as soon as
    // the window is open.
    connection.read_all(64 * KIB, SECOND, 3 * SECOND);
    connection.read_all(MIB, 3 * SECOND, 3 * SECOND);
    connection.find_empty(3 * SECOND + MS);
    connection.read(KIB, 3 * SECOND + 2 * MS, 3 * SECOND + 2 * MS);
    assert_eq!(connection.sent_at(None), SECOND);
}

#[test]
fn input_withheld_after_the_receive_buffer_was_emptied_was_sent_before() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, SECOND);
    connection.find_empty(SECOND);
    // The receive buffer is full when reading goes on.
    connection.read_all(64 * KIB, SECOND + MS, 3 * SECOND);
    connection.find_empty(3 * SECOND);
    connection.read_all(64 * KIB, 3 * SECOND + MS, 3 * SECOND + MS);
    let sent_at = connection.sent_at(None);
    assert!(sent_at <= SECOND + MS, "{sent_at:?}");
}

#[test]
fn input_withheld_while_the_process_was_suspended_was_sent_before() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, 4 * SECOND);
    connection.read_all(64 * KIB, 4 * SECOND + MS, 4 * SECOND + MS);
    assert_eq!(connection.sent_at(None), SECOND);
}

/// Guards against too little time for a client that was still sending while its request was queued.
#[test]
fn input_that_arrived_while_nothing_was_read_was_sent_then() {
    let mut connection = Fixture::new();
    connection.read(KIB, SECOND, SECOND);
    connection.find_empty(SECOND);
    connection.read_all(16 * KIB, 2 * SECOND, 3 * SECOND);
    connection.read_all(32 * KIB, 3 * SECOND, 3 * SECOND);
    assert_eq!(connection.sent_at(None), 3 * SECOND);
}

/// Guards against too little time for a client that is slower than the balancer reads.
#[test]
fn a_slow_client_sends_each_part_when_it_arrives() {
    let mut connection = Fixture::new();
    for part in 1..=1000 {
        let now = part * 10 * MS;
        connection.read(640, now, now);
        connection.find_empty(now);
        let delay = now - connection.sent_at(None);
        assert!(delay < ARRIVAL_RESOLUTION, "part {part}: {delay:?}");
    }
}

/// Guards against too little time for a client that sends the rest of its body slowly, after the
/// receive window was closed for a time.
#[test]
fn a_slow_client_is_recognized_again_after_the_window_was_closed() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, SECOND);
    connection.read_all(MIB, 3 * SECOND, 3 * SECOND);
    connection.find_empty(3 * SECOND);
    assert_eq!(connection.sent_at(None), SECOND);
    for part in 1..=100 {
        let now = 3 * SECOND + part * 10 * MS;
        connection.read(640, now, now);
        connection.find_empty(now);
    }
    assert_eq!(connection.sent_at(None), 4 * SECOND);
}

/// Guards against too much time for a client whose kernel holds its bytes while an upstream reads
/// slowly: the window may have been closed by less unread input than usual.
#[test]
fn a_client_is_not_taken_for_slow_while_its_input_lies_unread() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, SECOND);
    connection.read_all(MIB, 3 * SECOND, 3 * SECOND);
    connection.find_empty(3 * SECOND);
    for part in 1..=10 {
        let now = 3 * SECOND + part * 300 * MS;
        connection.read(20 * KIB, now - 300 * MS, now);
        connection.find_empty(now);
    }
    assert_eq!(connection.sent_at(None), SECOND);
}

/// Guards against a deadline that passes while the client waits for the balancer: its kernel can't
/// hold all of a long body.
#[test]
fn the_end_of_a_long_body_is_sent_when_the_send_buffer_can_hold_it() {
    let mut connection = Fixture::new();
    let length = 16 * MIB;
    for megabyte in 1..=16 {
        let now = megabyte * SECOND;
        connection.read_all(MIB, now, now);
        let read = megabyte as usize * MIB;
        let sent_at = connection.sent_at(Some(length));
        let expected = megabyte.min(12) * SECOND;
        assert_eq!(sent_at, expected, "{read} bytes read");
    }
    assert_eq!(connection.sent_at(None), 12 * SECOND);
}

/// Guards against too little time for a request that its client sends as soon as it has received
/// the response to one that was read late.
#[test]
fn the_next_request_was_sent_after_the_previous_response() {
    let mut connection = Fixture::new();
    connection.read_all(64 * KIB, SECOND, SECOND);
    connection.read_all(MIB, 3 * SECOND, 3 * SECOND);
    connection.find_empty(3 * SECOND);
    connection.estimator.end_request();
    connection.read(500, 3 * SECOND + MS, 3 * SECOND + MS);
    assert_eq!(connection.sent_at(None), 3 * SECOND + MS);
}

#[test]
fn input_without_a_timestamp_was_sent_when_it_was_read() {
    let mut connection = Fixture::new();
    for second in 1..10 {
        let now = second * SECOND;
        connection.read_all_without_timestamp(16 * KIB, now);
        connection.find_empty(now);
        assert_eq!(connection.sent_at(None), now);
    }
}

/// Guards against more time for a request because the wall clock was stepped while its long body
/// lay unread, so that some timestamps can't be used.
#[test]
fn a_missing_timestamp_in_a_long_body_gives_no_more_time() {
    let mut connection = Fixture::new();
    let length = 6 * MIB;
    connection.read_all(MIB, SECOND, SECOND);
    connection.read_all_without_timestamp(MIB, 3 * SECOND);
    connection.read_all(4 * MIB, 4 * SECOND, 5 * SECOND);
    assert_eq!(connection.sent_at(Some(length)), SECOND);
}

#[test]
fn the_memory_for_arrivals_is_bounded() {
    let mut connection = Fixture::new();
    for part in 1..=100_000 {
        let now = part * 20 * MS;
        connection.read_all(64 * KIB, now, now);
    }
    let withheld = connection.estimator.withheld.as_ref().unwrap();
    assert!(withheld.arrivals.len() <= 66);
    assert_eq!(connection.estimator.sent.len(), MAX_ARRIVALS);
}
