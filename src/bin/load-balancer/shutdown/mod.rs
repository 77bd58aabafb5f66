//! Graceful shutdown: when the process stops accepting connections, and when it exits.
//!
//! The process receives SIGKILL some time after SIGTERM: the longest deadline of a request class
//! (capped) plus a constant. Every request must have its response before that.

use crate::log;
use crate::server::listener::Listener;
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Maximum time after SIGTERM during which connections are accepted. The health checks of clients
/// have to notice the shutdown before the listener closes.
const ACCEPT_WINDOW: Duration = Duration::from_millis(800);
/// Cap of the longest deadline: SIGKILL follows SIGTERM after the longest deadline, or this time if
/// that is shorter, plus [`KILL_DELAY`].
const LONGEST_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// Constant part of the time from SIGTERM to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time before SIGKILL at which all requests must have their responses. It covers a pause of the
/// process of 0.15 s at that moment.
const RESPONSE_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(250);
/// Minimum time between the end of the accept window and the moment at which all requests must have
/// their responses.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(100);
/// After the listener has closed and the accept window has passed, connections without a streamed
/// response may stay open for the longest deadline plus this time.
const CONNECTION_GRACE: Duration = Duration::from_secs(1);
/// Interval at which the shutdown checks whether connections are still open.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Whether another process accepts client connections when this one receives SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// No other process accepts connections, so this one does for the accept window.
    Absent,
    /// A successor has taken over and accepts connections.
    Accepting,
}

/// The schedule of a graceful shutdown. Durations count from SIGTERM unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time during which connections are accepted.
    pub accept_window: Duration,
    /// Time within which all requests must have their responses.
    pub response_timeout: Duration,
    /// Time within which all connections must have ended that carry no streamed response. It starts
    /// when the listener has closed and the accept window has passed.
    pub connection_timeout: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule from the longest deadline of a request class.
    pub fn new(longest_deadline: Duration) -> Self {
        let response_timeout =
            longest_deadline.min(LONGEST_DEADLINE_CAP) + KILL_DELAY - RESPONSE_MARGIN_BEFORE_KILL;
        ShutdownSchedule {
            // A request on a connection that is accepted later might not get its response in time.
            accept_window: ACCEPT_WINDOW.min(response_timeout - LISTENER_CLOSE_MARGIN),
            response_timeout,
            connection_timeout: longest_deadline.saturating_add(CONNECTION_GRACE),
        }
    }
}

/// Shuts the server down gracefully: stops accepting connections, then waits until the requests in
/// flight have finished and all connections have ended, for at most
/// [`ShutdownSchedule::connection_timeout`]; responses that are being streamed are completed in any
/// case.
pub async fn shut_down(
    name: &str,
    server: &Rc<Server>,
    listener: Listener,
    successor: Successor,
    schedule: ShutdownSchedule,
) {
    log::line(format!("graceful shutdown started: {name}"));
    stop_accepting(server, listener, successor, schedule).await;
    let deadline = Instant::now() + schedule.connection_timeout;
    // A response that is still being streamed would be cut off. It ends when its upstream or its
    // client makes no progress.
    while Instant::now() < deadline && server.connection_count() > 0
        || server.streaming_connection_count() > 0
    {
        sleep(CONNECTION_CHECK_INTERVAL).await;
    }
    if server.connection_count() > 0 {
        let open = server.connection_count();
        log::line(format!(
            "graceful shutdown incomplete: {name} ({open} connections open)"
        ));
    }
}

/// Begins the shutdown and closes the listener. Without a successor, connections are accepted for
/// the accept window first; those left in the kernel's queue are accepted in either case. Open
/// connections that have carried no request are closed after the accept window.
async fn stop_accepting(
    server: &Rc<Server>,
    listener: Listener,
    successor: Successor,
    schedule: ShutdownSchedule,
) {
    let deadline = Instant::now() + schedule.response_timeout;
    server.begin_shutdown(deadline);
    if successor == Successor::Absent {
        server
            .accept(&listener, sleep(schedule.accept_window))
            .await;
    }
    if let Err(error) = server.close_listener(listener, deadline).await {
        log::line(format!("queued connections not accepted: {error}"));
    }
    if successor == Successor::Accepting {
        sleep(schedule.accept_window).await;
    }
    server.close_unused_connections();
}

#[cfg(test)]
mod tests;
