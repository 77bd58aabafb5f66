//! Time limits on clients that are used in several modules.

use std::time::Duration;

/// Time limit for receiving a request, counted from the opening of the connection for the first
/// request and from the first byte for later ones. For a streamed body it covers only the part that
/// is read ahead. A body that arrives at the minimum rate of `Upload::read` may take longer.
pub const REQUEST_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time after [`REQUEST_ARRIVAL_TIMEOUT`] in which the client can be sent an error response before
/// its connection is closed.
pub const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// A connection is closed if its next request doesn't begin within this time, or if its client
/// takes longer than this to receive the end of the last response.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a connection is checked for a client that has disconnected.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
