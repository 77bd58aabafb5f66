//! Timeouts and intervals for client connections, shared by several modules.

use std::time::Duration;

/// Time limit for receiving a request, counted from the opening of the connection for the first
/// request and from the first byte for later ones. For a streamed body it covers only the part that
/// is read ahead. A body that arrives at the minimum rate of `Upload::read` may take longer.
pub const REQUEST_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after [`REQUEST_ARRIVAL_TIMEOUT`] in which the client can be sent an error response before
/// its connection is closed.
pub const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// A connection is closed if its next request doesn't begin within this time. After its final
/// response, a connection stays open for at most this time, so that the client can receive the
/// response.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a connection is checked for a client that has disconnected.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
