//! Unit tests of how the time limits of several modules fit together.

use super::*;
use std::time::Duration;

/// A client that sends no complete request gets an error or a close within 3 s, also by a
/// process that is paused for 0.15 s.
#[test]
fn a_client_that_stops_in_the_middle_of_a_request_is_rejected_in_time() {
    let latest = Duration::from_millis(3000 - 150);
    assert!(server::FIRST_REQUEST_TIMEOUT + server::TIMEOUT_RESPONSE_GRACE < latest);
    assert!(body::CLIENT_STALL < latest);
}
