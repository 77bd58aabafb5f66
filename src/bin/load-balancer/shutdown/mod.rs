//! Graceful shutdown: when the process stops accepting, and when it ends.
//!
//! SIGKILL follows SIGTERM after the longest deadline of the settings, capped, and a constant. By
//! then every request has its response.

use crate::log;
use crate::server::listener::Listener;
use crate::server::Server;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Connections are accepted for up to this long after SIGTERM: clients' health checks have to
/// notice it first.
const ACCEPT_WINDOW: Duration = Duration::from_millis(800);
/// SIGKILL follows SIGTERM after the longest deadline, but at most this time, and [`KILL_DELAY`].
const LONGEST_DEADLINE_CAP: Duration = Duration::from_secs(3);
/// The constant part of the time from SIGTERM to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// All requests have their responses this long before SIGKILL: the process may be paused for
/// 0.15 s just then.
const RESPONSE_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(250);
/// The listener closes this long before that.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(100);
/// Once the listener is closed, connections have the longest deadline and this to end.
const CONNECTION_GRACE: Duration = Duration::from_secs(1);
/// Interval at which open connections are counted.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Who accepts clients' connections from SIGTERM on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// Nobody else: this process goes on for a while.
    Absent,
    /// A process that has taken over.
    Accepting,
}

/// The schedule of a graceful shutdown, as spans of time from SIGTERM unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Connections are accepted for this long.
    pub accept_window: Duration,
    /// All requests have their responses within this time.
    pub response_timeout: Duration,
    /// Connections have this long to end, counted from when the listener is closed.
    pub connection_timeout: Duration,
}

impl ShutdownSchedule {
    /// The schedule where this is the longest deadline of a request class.
    pub fn new(longest_deadline: Duration) -> Self {
        let response_timeout =
            longest_deadline.min(LONGEST_DEADLINE_CAP) + KILL_DELAY - RESPONSE_MARGIN_BEFORE_KILL;
        ShutdownSchedule {
            // A request that is accepted later could not have its response in time.
            accept_window: ACCEPT_WINDOW.min(response_timeout - LISTENER_CLOSE_MARGIN),
            response_timeout,
            connection_timeout: longest_deadline.saturating_add(CONNECTION_GRACE),
        }
    }
}

/// Shuts the server down gracefully: stops accepting, waits for the requests in flight, and
/// returns once all connections have ended or their time is over.
pub async fn shut_down(
    name: &str,
    server: &Rc<Server>,
    listener: Listener,
    successor: Successor,
    schedule: ShutdownSchedule,
) {
    log::line(format!("graceful shutdown started: {name}"));
    stop_accepting(server, listener, successor, schedule).await;
    let connections_ended = async {
        while server.connection_count() > 0 {
            sleep(CONNECTION_CHECK_INTERVAL).await;
        }
    };
    if timeout(schedule.connection_timeout, connections_ended)
        .await
        .is_err()
    {
        let open = server.connection_count();
        log::line(format!(
            "graceful shutdown incomplete: {name} ({open} connections open)"
        ));
    }
}

/// Begins the shutdown, accepts connections for the accept window unless a successor does, then
/// those in the kernel's queue, and closes the listener.
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
