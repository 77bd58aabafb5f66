//! Time limits on clients that several parts of the server share.

use std::time::Duration;

/// The time for a request to arrive: for the first one since the connection was opened, for a
/// further one since its first byte. Of a body that takes longer only the beginning counts.
pub const REQUEST_ARRIVAL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The time after [`REQUEST_ARRIVAL_TIMEOUT`] in which the client can be sent an error response
/// before its connection is closed.
pub const TIMEOUT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// A connection is closed if its next request doesn't begin within this time, or if its client
/// takes longer than this for the end of the last response.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a connection is checked for a client that has disconnected.
pub const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
