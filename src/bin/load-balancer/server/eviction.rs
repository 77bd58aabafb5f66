//! Which connections are closed first to make room.

use crate::server::connection::ClientConnection;
use std::time::Duration;
use tokio::time::Instant;

/// When room is short, connections without a request may be closed after this time,
const LONG_IDLE_AGE: Duration = Duration::from_secs(2);
/// and those on which nothing at all has come after this: the first request comes with the connection.
const UNUSED_AGE: Duration = Duration::from_millis(30);
/// A request takes no longer than this to be written, as a rule.
const SLOW_REQUEST_AGE: Duration = Duration::from_millis(500);

impl ClientConnection {
    /// How dear it is, if it may be closed to make room. Those that have waited long for a further request go first,
    /// then those that have never sent anything or only asked for health, those that don't finish their first
    /// request, those that wait for a further one, then any on which nothing but calls for health has come, and at last
    /// those whose first request still comes; among the same, the longest.
    pub(super) fn eviction_priority(&self) -> Option<(usize, Instant)> {
        let spare = !self.eviction_requested.get() && !self.socket.is_blocked();
        let since = self.idle_since.get().filter(|_| spare)?;
        let age = since.elapsed();
        let kind = match (
            self.carried_no_request.get(),
            self.socket.request_started_at(),
        ) {
            _ if self.lingering.get() => 0,
            (false, None) if age >= LONG_IDLE_AGE => 0,
            (true, None) if age >= UNUSED_AGE => 1,
            (false, None) if age >= UNUSED_AGE && !self.carried_valid_request.get() => 1,
            (_, Some(request_started_at)) if request_started_at.elapsed() >= SLOW_REQUEST_AGE => 2,
            (false, None) if age >= SLOW_REQUEST_AGE => 3,
            // Guards against shutting whoever comes with a request for the sake of those that come with nothing.
            (_, None) if !self.carried_valid_request.get() => 4,
            // Nor of those that come with half of one. The first on a connection may be shut.
            (true, Some(_)) => 5,
            _ => return None,
        };
        Some((kind, since))
    }
}
