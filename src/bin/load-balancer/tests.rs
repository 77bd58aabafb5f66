//! Unit tests of time limits that depend on several modules.

use super::*;
use crate::server::timeouts;
use std::time::Duration;

/// A client that does not complete its request must get an error response or a closed connection
/// within 3 s, even if the process is paused for 0.15 s.
#[test]
fn incomplete_request_is_rejected_within_3_s() {
    let latest = Duration::from_millis(3000 - 150);
    assert!(timeouts::REQUEST_ARRIVAL_TIMEOUT + timeouts::TIMEOUT_RESPONSE_GRACE < latest);
    assert!(body::CLIENT_STALL_TIMEOUT < latest);
}
