//! The set of open watches, and which of them is authoritative.
//!
//! A silent watch stays open until a newer watch is alive, so several watches can be open at the
//! same time. The oldest one is authoritative: endpoint lists are accepted only from it. As soon as
//! a newer watch is alive, all older watches are closed.

use crate::discovery::endpoint::EndpointList;
use crate::discovery::watch::{WatchError, WatchId, WatchRequest};
use crate::log;
use load_balancer::DiscoveryMode;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// In push mode a failed watch is reopened after this time. A change counts as known to the
/// balancer as soon as the local discovery agent has it, even if no watch is open. The time without
/// a watch therefore has to be within the grace period of a drain.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// In push mode a watch is reopened after this time, instead of `RECONNECT_DELAY`, once
/// `FAILURES_UNTIL_SLOW_RECONNECT` watches in a row have failed.
const SLOW_RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// From this many failures in a row on, reconnects in push mode are slow, and a failure is logged
/// only if the number of failures in a row is a multiple of this.
const FAILURES_UNTIL_SLOW_RECONNECT: u32 = 10;
/// A watch that ends before this age counts as one more failure in a row, even if it has received a
/// complete list.
const MIN_HEALTHY_WATCH_AGE: Duration = Duration::from_secs(1);
/// In poll mode another watch is opened in addition to a silent one after a random delay of at most
/// this time, so that balancers whose watches fall silent together do not poll in step.
const MAX_POLL_JITTER: Duration = Duration::from_millis(150);
/// A failed watch on a new discovery address is reopened after a random delay of at most this time.
/// All balancers switch to a new address at the same time and would otherwise reconnect in step.
const MAX_MOVE_DELAY: Duration = Duration::from_millis(400);
/// The minimum delay before a failed watch on a new discovery address is reopened, as a share of
/// `MAX_MOVE_DELAY`.
const MIN_MOVE_DELAY_SHARE: f64 = 0.25;
/// The maximum number of watches that are open at a time. One more descriptor than this is reserved
/// for discovery.
pub const MAX_WATCHES: usize = 4;

/// The discovery service: its address and how it delivers lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryService {
    /// The address of the service.
    pub address: SocketAddr,
    /// How the service delivers lists.
    pub mode: DiscoveryMode,
}

/// The version of the endpoint list up to which no change was missed. Each discovery address
/// numbers its versions independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// The discovery address that the version is from.
    pub source: SocketAddr,
    /// The version number.
    pub version: u64,
}

/// When the replacement of a failed or silent watch is opened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reconnect {
    /// No watch is opened, because a newer watch is open or is about to be opened.
    Superseded,
    /// The watch is opened immediately.
    Now,
    /// The watch is opened after this time, by a call of `WatchSet::ensure_watch`.
    After(Duration),
    /// The poll schedule determines when the watch is opened; the failure has to be reported to it.
    ByPollSchedule,
}

impl Reconnect {
    /// Returns the part of a log line that says when the replacement is opened.
    fn describe(self) -> String {
        match self {
            Reconnect::Superseded => "a newer watch replaces it".into(),
            Reconnect::Now => "reconnecting".into(),
            Reconnect::After(delay) => format!("reconnecting in {:.2} s", delay.as_secs_f64()),
            Reconnect::ByPollSchedule => "reconnecting on the poll schedule".into(),
        }
    }
}

/// The open watches.
pub struct WatchSet {
    discovery: DiscoveryService,
    known: ListVersion,
    /// Ordered by age, the oldest first.
    watches: Vec<OpenWatch>,
    last_id: u64,
    /// The number of failed watches in a row. The failure of a watch that was alive and has reached
    /// `MIN_HEALTHY_WATCH_AGE` restarts the count at 1.
    consecutive_failures: u32,
    jitter: Pcg64Mcg,
}

/// An open watch. Dropping it closes the watch.
struct OpenWatch {
    id: WatchId,
    address: SocketAddr,
    /// The last version that was received on the watch; before the first list, the requested one.
    version: u64,
    /// Whether the watch has been silent for so long that it may have missed changes.
    is_broken: bool,
    /// Whether a complete message or an empty line has been received on the watch.
    is_alive: bool,
    opened_at: Instant,
    task: Option<AbortHandle>,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

impl WatchSet {
    /// Creates a set without open watches. `known_version` is the version of the list that is known
    /// from this discovery service, or 0 if none is known; `seed` seeds the random delays.
    pub fn new(discovery: DiscoveryService, known_version: u64, seed: u64) -> Self {
        WatchSet {
            discovery,
            known: ListVersion {
                source: discovery.address,
                version: known_version,
            },
            watches: Vec::new(),
            last_id: 0,
            consecutive_failures: 0,
            jitter: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Adds a watch, unless the newest one uses the current address and is not broken. Returns the
    /// request to open the added watch, whose task has to be passed to `set_task`.
    #[must_use]
    pub fn ensure_watch(&mut self) -> Option<WatchRequest> {
        let is_usable =
            |watch: &OpenWatch| watch.address == self.discovery.address && !watch.is_broken;
        if self.watches.last().is_some_and(is_usable) {
            return None;
        }
        Some(self.add_watch())
    }

    /// Switches to another discovery address. Returns the request to open a watch on it, or `None`
    /// if the address is unchanged. The watch on the old address stays in use until the new watch
    /// is alive, and the known version of its endpoint list until the new watch receives a list.
    #[must_use]
    pub fn set_address(&mut self, address: SocketAddr) -> Option<WatchRequest> {
        if address == self.discovery.address {
            return None;
        }
        self.discovery.address = address;
        // Watches on intermediate addresses, from which no list was accepted, are not needed.
        let source = self.known.source;
        self.watches
            .retain(|watch| [source, address].contains(&watch.address));
        Some(self.add_watch())
    }

    fn add_watch(&mut self) -> WatchRequest {
        let address = self.discovery.address;
        self.last_id += 1;
        let id = WatchId(self.last_id);
        let since = (self.known.source == address).then_some(self.known.version);
        self.watches.push(OpenWatch {
            id,
            address,
            version: since.unwrap_or(0),
            is_broken: false,
            is_alive: false,
            opened_at: Instant::now(),
            task: None,
        });
        if self.watches.len() > MAX_WATCHES {
            // The first watch stays open because it is authoritative, possibly on the old address.
            // If discovery queues requests, the second one has waited longest and would lose its
            // place in the queue if it were closed.
            self.watches.remove(2);
        }
        WatchRequest {
            id,
            address,
            since,
            mode: self.discovery.mode,
        }
    }

    /// Sets the task that runs a watch. The task is aborted when the watch is closed.
    pub fn set_task(&mut self, id: WatchId, task: AbortHandle) {
        match self.position(id) {
            Some(position) => self.watches[position].task = Some(task),
            None => task.abort(),
        }
    }

    fn position(&self, id: WatchId) -> Option<usize> {
        self.watches.iter().position(|watch| watch.id == id)
    }

    /// Records that a complete message or an empty line was received on a watch. All older watches
    /// are closed, so that none of their lists is accepted after a list of this watch.
    pub fn mark_alive(&mut self, id: WatchId) {
        if let Some(position) = self.position(id) {
            self.watches[position].is_alive = true;
            self.watches.drain(..position);
        }
    }

    /// Records that a list was received on a watch. Returns true if the list is accepted, or false
    /// if the watch has been closed or the list is out of date.
    #[must_use]
    pub fn accept_list(&mut self, id: WatchId, list: &EndpointList) -> bool {
        let is_first_message = self
            .position(id)
            .is_some_and(|position| !self.watches[position].is_alive);
        self.mark_alive(id);
        let Some(watch) = self.watches.first_mut().filter(|first| first.id == id) else {
            return false;
        };
        // The first message of a watch contains all changes since the requested version, however
        // long the request was queued. The newer watches are no longer needed.
        if is_first_message && watch.address == self.discovery.address {
            watch.is_broken = false;
            self.watches.truncate(1);
        }
        let watch = &mut self.watches[0];
        if watch.address != self.known.source {
            self.known = ListVersion {
                source: watch.address,
                version: 0,
            };
            log::line(format!("endpoint list source changed: {}", watch.address));
        }
        // The versions on a watch only increase, so this change is already known.
        if !list.snapshot && list.version < watch.version {
            return false;
        }
        watch.version = list.version;
        watch.is_broken &= !list.snapshot;
        if !watch.is_broken {
            self.known.version = list.version;
        }
        true
    }

    /// Records that a watch has been silent for too long. The watch stays open until a newer one is
    /// alive, because changes may still be received on it.
    #[must_use]
    pub fn mark_silent(&mut self, id: WatchId) -> Reconnect {
        let Some(position) = self.position(id) else {
            return Reconnect::Superseded;
        };
        let watch = &mut self.watches[position];
        watch.is_broken = true;
        let reconnect = match self.discovery.mode {
            DiscoveryMode::Poll => {
                Reconnect::After(MAX_POLL_JITTER.mul_f64(self.jitter.random_range(0.0..1.0)))
            }
            DiscoveryMode::Push => Reconnect::Now,
        };
        log::line(format!(
            "discovery watch silent: {}; {}",
            watch.address,
            reconnect.describe()
        ));
        reconnect
    }

    /// Removes a watch that has failed.
    #[must_use]
    pub fn remove_failed(&mut self, id: WatchId, error: &WatchError) -> Reconnect {
        let Some(position) = self.position(id) else {
            return Reconnect::Superseded;
        };
        let failed = self.watches.remove(position);
        let was_healthy = failed.is_alive && failed.opened_at.elapsed() >= MIN_HEALTHY_WATCH_AGE;
        self.consecutive_failures = if was_healthy {
            1
        } else {
            self.consecutive_failures + 1
        };
        let is_newest = self.watches.len() == position;
        let reconnect = self.reconnect_after_failure(failed.address, is_newest);
        let failures = self.consecutive_failures;
        if failures < FAILURES_UNTIL_SLOW_RECONNECT || failures % FAILURES_UNTIL_SLOW_RECONNECT == 0
        {
            log::line(format!(
                "discovery watch failed: {}: {error}; {} ({failures} in a row)",
                failed.address,
                reconnect.describe()
            ));
        }
        reconnect
    }

    /// Determines when the failed watch on `address` is reopened.
    fn reconnect_after_failure(&mut self, address: SocketAddr, is_newest: bool) -> Reconnect {
        // After a switch of the discovery address, watches on the old address are expected to fail,
        // and the watch on the new address is open or about to be opened.
        if !is_newest || address != self.discovery.address {
            return Reconnect::Superseded;
        }
        if self.known.source != self.discovery.address {
            let share = self.jitter.random_range(MIN_MOVE_DELAY_SHARE..1.0);
            return Reconnect::After(MAX_MOVE_DELAY.mul_f64(share));
        }
        match self.discovery.mode {
            DiscoveryMode::Poll => Reconnect::ByPollSchedule,
            DiscoveryMode::Push if self.consecutive_failures < FAILURES_UNTIL_SLOW_RECONNECT => {
                Reconnect::After(RECONNECT_DELAY)
            }
            DiscoveryMode::Push => Reconnect::After(SLOW_RECONNECT_DELAY),
        }
    }
}

#[cfg(test)]
mod tests;
