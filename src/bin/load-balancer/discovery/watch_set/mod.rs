//! The watches that are open at a time, and which of them counts.
//!
//! A silent watch stays open until a newer one has come alive, so several can be open at once. The
//! oldest is authoritative: endpoint lists are accepted from it alone. As soon as a newer watch
//! shows that it is alive, all older ones are closed.

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

/// Where lists are pushed, a failed watch is reopened after this time. What the agent has counts
/// as known even while no watch is open, so the grace period of a drain has to cover the gap.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// The same after `FAILURES_UNTIL_SLOW_RECONNECT` in a row.
const SLOW_RECONNECT_DELAY: Duration = Duration::from_millis(250);
/// From then on only every so many failures are logged, too.
const FAILURES_UNTIL_SLOW_RECONNECT: u32 = 10;
/// A watch that ends sooner counts as one more failure in a row, even if a complete list came on
/// it.
const MIN_HEALTHY_WATCH_AGE: Duration = Duration::from_secs(1);
/// Where lists are polled, another watch is opened beside a silent one after a random delay of at
/// most this time, so that balancers whose watches fall silent together don't poll in step.
const MAX_POLL_JITTER: Duration = Duration::from_millis(150);
/// A watch on a new discovery address that failed is reopened after a random delay of at most this
/// time. All balancers are moved at once, and would otherwise reconnect in step.
const MAX_MOVE_DELAY: Duration = Duration::from_millis(400);
/// As a share of `MAX_MOVE_DELAY`.
const MIN_MOVE_DELAY_SHARE: f64 = 0.25;
/// Watches that are open at a time. The descriptors that are reserved for discovery cover one
/// more.
pub const MAX_WATCHES: usize = 4;

/// Where discovery is, and how lists come from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryService {
    /// Its address.
    pub address: SocketAddr,
    /// How lists come from it.
    pub mode: DiscoveryMode,
}

/// The version of the endpoint list up to which no change was missed. Each discovery address
/// counts its versions by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// The address of the discovery that counts.
    pub source: SocketAddr,
    /// The version.
    pub version: u64,
}

/// When a watch is opened in the place of one that failed or is silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reconnect {
    /// Not at all: a newer watch is open or is about to be opened.
    Superseded,
    /// At once.
    Now,
    /// After this time, by `WatchSet::ensure_watch`.
    After(Duration),
    /// When the poll schedule says so; it has to learn of the failure.
    ByPollSchedule,
}

impl Reconnect {
    /// The end of a log line.
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
    /// The oldest first.
    watches: Vec<OpenWatch>,
    last_id: u64,
    /// How many watches in a row have failed early.
    consecutive_failures: u32,
    jitter: Pcg64Mcg,
}

/// An open watch; closed when it is dropped.
struct OpenWatch {
    id: WatchId,
    address: SocketAddr,
    /// The version that came last.
    version: u64,
    /// It has been silent for so long that changes may be missing on it.
    is_broken: bool,
    /// Something complete has come on it.
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
    /// A set with no open watch. `known_version` is the version of the list that is known from
    /// this discovery, 0 if none is; `seed` is that of the random delays.
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

    /// The watch that is to be opened, unless the newest one is on the right address and not
    /// broken. Its task is passed to `set_task`.
    #[must_use]
    pub fn ensure_watch(&mut self) -> Option<WatchRequest> {
        let is_usable =
            |watch: &OpenWatch| watch.address == self.discovery.address && !watch.is_broken;
        if self.watches.last().is_some_and(is_usable) {
            return None;
        }
        Some(self.add_watch())
    }

    /// Moves to another discovery address; the watch that is to be opened there, if it is another.
    /// The list and the watch on the old address stay in force until the new watch is alive.
    #[must_use]
    pub fn set_address(&mut self, address: SocketAddr) -> Option<WatchRequest> {
        if address == self.discovery.address {
            return None;
        }
        self.discovery.address = address;
        // Watches on addresses in between, on which nothing came, are of no more use.
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
            // The first is authoritative, possibly on the old address, and the second has
            // waited longest where discovery queues calls; closing either would lose its place.
            self.watches.remove(2);
        }
        WatchRequest {
            id,
            address,
            since,
            mode: self.discovery.mode,
        }
    }

    /// The task that runs this watch; it is aborted when the watch is closed.
    pub fn set_task(&mut self, id: WatchId, task: AbortHandle) {
        match self.position(id) {
            Some(position) => self.watches[position].task = Some(task),
            None => task.abort(),
        }
    }

    fn position(&self, id: WatchId) -> Option<usize> {
        self.watches.iter().position(|watch| watch.id == id)
    }

    /// Notes that something complete has come on this watch: the older ones are closed, so that
    /// none of their lists is accepted after those of a newer watch.
    pub fn mark_alive(&mut self, id: WatchId) {
        if let Some(position) = self.position(id) {
            self.watches[position].is_alive = true;
            self.watches.drain(..position);
        }
    }

    /// A list has come on this watch; true if it is accepted, false if it is out of date.
    #[must_use]
    pub fn accept_list(&mut self, id: WatchId, list: &EndpointList) -> bool {
        let is_first_message = self
            .position(id)
            .is_some_and(|position| !self.watches[position].is_alive);
        self.mark_alive(id);
        let Some(watch) = self.watches.first_mut().filter(|first| first.id == id) else {
            return false;
        };
        // The first response to a call holds all changes since the version that was asked for,
        // however long the call was queued. The calls that were made beside it are no longer
        // needed.
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
        // The versions of a watch only rise, so this change is already known.
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

    /// Notes that this watch has been silent for too long. It stays open until a newer one is
    /// alive, as changes may still come on it.
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

    /// Removes a watch that has ended.
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

    /// When the watch on `address` that failed is reopened.
    fn reconnect_after_failure(&mut self, address: SocketAddr, is_newest: bool) -> Reconnect {
        // Where discovery has moved, the watches on the old address are expected to end, and the
        // one on the new address is open or about to be opened.
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
