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
/// SIGKILL follows SIGTERM after the longest deadline, of which no more than this counts,
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// and this much more.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Requests are settled this long before SIGKILL: the process may be paused for 0.15 s just then.
const KILL_MARGIN: Duration = Duration::from_millis(250);
/// The listener closes this long before requests are settled.
const LAST_REQUEST_MARGIN: Duration = Duration::from_millis(100);
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

/// The schedule of a shutdown, as spans of time from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    /// Connections are accepted for so long.
    pub accept: Duration,
    /// All requests are settled by then.
    pub settle: Duration,
    /// Once the listener is closed, connections have so long to end.
    pub connections: Duration,
}

impl DrainSchedule {
    /// The schedule where this is the longest deadline of a request class.
    pub fn new(longest_deadline: Duration) -> Self {
        let settle = longest_deadline.min(MAX_KILL_DEADLINE) + KILL_DELAY - KILL_MARGIN;
        DrainSchedule {
            // A request that is accepted later could not be settled any more.
            accept: ACCEPT_WINDOW.min(settle - LAST_REQUEST_MARGIN),
            settle,
            connections: longest_deadline.saturating_add(CONNECTION_GRACE),
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
    schedule: DrainSchedule,
) {
    log::line(format!("graceful shutdown started: {name}"));
    drain(server, listener, successor, schedule).await;
    let connections_ended = async {
        while server.connections() > 0 {
            sleep(CONNECTION_CHECK_INTERVAL).await;
        }
    };
    if timeout(schedule.connections, connections_ended)
        .await
        .is_err()
    {
        let open = server.connections();
        log::line(format!(
            "graceful shutdown incomplete: {name} ({open} connections open)"
        ));
    }
}

/// Accepts for a while, unless a successor does, then what the kernel still holds, and closes the
/// listener.
async fn drain(
    server: &Rc<Server>,
    listener: Listener,
    successor: Successor,
    schedule: DrainSchedule,
) {
    let settle_by = Instant::now() + schedule.settle;
    server.drain(settle_by);
    if successor == Successor::Absent {
        server.accept(&listener, sleep(schedule.accept)).await;
    }
    if let Err(error) = server.close(listener, settle_by).await {
        log::line(format!("closing the listener failed: {error}"));
    }
    if successor == Successor::Accepting {
        sleep(schedule.accept).await;
    }
    server.drain_new_connections();
}

#[cfg(test)]
mod tests;
