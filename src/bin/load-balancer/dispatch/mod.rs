//! Runs the decision module: passes events to it, performs its actions, and provides its clock and
//! timers.
//!
//! Each accepted request whose client stays connected gets one final response, and the decision
//! module gets one result for each attempt that it starts. No load-balancing decision is made here.

mod clock;
mod endpoint_updates;
mod recent_request_ids;
mod request;
mod request_lifecycle;
mod request_table;
mod timers;
mod upstream_directory;

pub use recent_request_ids::RequestFingerprint;
pub use request::{DispatchedRequest, FinalResponse, RejectionReason, ValidatedRequest};

use crate::config::{Config, NameTables};
use crate::discovery::{DiscoveryService, EndpointList, WatchSet};
use crate::dispatch::clock::MonotonicUnixClock;
use crate::dispatch::recent_request_ids::RetentionLimits;
use crate::dispatch::request_table::{AttemptId, RequestTable};
use crate::dispatch::timers::{Timer, TimerQueue};
use crate::dispatch::upstream_directory::UpstreamDirectory;
use crate::log;
use crate::metrics::ProcessState;
use crate::resources::Resources;
use load_balancer::{
    Action, Balancer, Class, DiscoveryMode, Event, LearnedState, ListScope, LogEvent, SettingsError,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::mem;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Lower bound of the time for which ids are retained if the memory suffices. A client that has
/// disconnected may repeat a request some seconds later.
const MIN_PREFERRED_ID_RETENTION: Duration = Duration::from_secs(20);
/// The ids of recent requests may take the memory of the process divided by this number.
const ID_MEMORY_DIVISOR: usize = 8;

/// Owns the decision module and the state that its events and actions refer to: requests and their
/// attempts, upstreams, timers and the watches on discovery.
pub struct Dispatcher {
    /// A reference to this dispatcher. Spawned tasks that report to it get an upgraded copy.
    weak_self: Weak<RefCell<Dispatcher>>,
    balancer: Balancer,
    clock: MonotonicUnixClock,
    names: NameTables,
    classes: Vec<Class>,
    resources: Resources,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    /// Buffer for the actions of one event, empty between events. It is a field so that its
    /// allocation is reused.
    actions: Vec<Action>,
    timers: TimerQueue,
    requests: RequestTable,
    upstreams: UpstreamDirectory,
    watches: WatchSet,
}

impl Dispatcher {
    /// Starts a dispatcher whose decision module knows the endpoint list of the configuration. The
    /// attempts and watches of the dispatcher use `resources`. In push mode a watch on discovery is
    /// opened immediately.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings of `config` are invalid.
    pub fn start(
        mut config: Config,
        resources: Resources,
    ) -> Result<Rc<RefCell<Dispatcher>>, SettingsError> {
        let mode = config.settings.discovery_mode;
        let known_endpoints = EndpointList {
            snapshot: true,
            ..mem::take(&mut config.known_endpoints)
        };
        let dispatcher = Self::new(config, resources, known_endpoints.version)?;
        dispatcher
            .borrow_mut()
            .apply_list(ListScope::Cached, known_endpoints);
        if mode == DiscoveryMode::Push {
            dispatcher.borrow_mut().ensure_watch();
        }
        spawn_local(run_timers(dispatcher.clone()));
        Ok(dispatcher)
    }

    fn new(
        config: Config,
        resources: Resources,
        known_version: u64,
    ) -> Result<Rc<RefCell<Dispatcher>>, SettingsError> {
        let clock = MonotonicUnixClock::new();
        let max_open = config.settings.limits.max_open_requests;
        let max_open = max_open.min(config.max_descriptors);
        let classes = config.settings.classes.clone();
        let retention = id_retention(&classes, config.memory_bytes);
        let claims = resources.request_id_claims.clone();
        let requests = RequestTable::new(max_open, retention, claims);
        let discovery = DiscoveryService {
            address: config.discovery,
            mode: config.settings.discovery_mode,
        };
        let watches = WatchSet::new(discovery, known_version, config.seed);
        let balancer = Balancer::new(config.settings, config.seed, clock.seconds_now())?;
        Ok(Rc::new_cyclic(|weak_self| {
            RefCell::new(Dispatcher {
                weak_self: weak_self.clone(),
                balancer,
                clock,
                names: config.names,
                classes,
                upstreams: UpstreamDirectory::new(resources.pool.clone()),
                resources,
                events: VecDeque::new(),
                actions: Vec::new(),
                timers: TimerQueue::default(),
                requests,
                watches,
            })
        }))
    }

    /// Returns whether an endpoint list with at least one endpoint has been applied.
    pub fn is_ready(&self) -> bool {
        self.upstreams.has_had_endpoints()
    }

    /// Returns the names that the decision module refers to by index.
    pub fn names(&self) -> &NameTables {
        &self.names
    }

    /// Returns the request classes.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Renders the metrics as the admin endpoint returns them.
    pub fn render_metrics(&self) -> String {
        self.resources.metrics.render(&ProcessState {
            known_upstreams: self.upstreams.count(),
            excluded_upstreams: self.balancer.excluded_upstreams(),
            read_ahead_bytes: self.resources.memory.reserved_bytes(),
            read_ahead_shortages: self.resources.memory.shortages(),
            heap_bytes: self.resources.memory_limit.heap_bytes(),
            heap_limit_bytes: self.resources.memory_limit.heap_limit_bytes(),
        })
    }

    /// Records the id of a request that the other process of an upgrade accepts. Returns false if
    /// this process has a recent request with this id.
    pub fn record_peer_request(&mut self, id: RequestFingerprint) -> bool {
        self.requests.record_peer_request(id)
    }

    /// Removes the id of a request that the other process has accepted and not sent.
    pub fn remove_peer_request(&mut self, id: RequestFingerprint) {
        self.requests.remove_peer_request(id);
    }

    /// Returns the ids of recent requests.
    pub fn recent_request_ids(&self) -> Vec<RequestFingerprint> {
        self.requests.recent_ids().collect()
    }

    /// Returns the learned state of the decision module.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.learned_state()
    }

    /// Restores the learned state of an earlier process, which was saved `age` ago.
    pub fn restore_learned_state(&mut self, age: Duration, learned: LearnedState) {
        self.balancer
            .restore(self.clock.seconds_now(), age.as_secs_f64(), learned);
    }

    /// Handles an event and all events that it causes: passes each one to the decision module and
    /// performs the resulting actions.
    fn handle(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = mem::take(&mut self.actions);
            self.balancer
                .handle(self.clock.seconds_now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                upstream,
                write_within,
            } => self.start_attempt(id, upstream, write_within),
            Action::Reject { id, retry_after } => {
                self.respond(id, FinalResponse::Rejected { retry_after });
            }
            Action::Fail { id } => self.respond(id, FinalResponse::Failed),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(AttemptId {
                request: id,
                number: attempt,
            }),
            Action::CloseIdleConnections { upstream } => self.resources.pool.close_idle(upstream),
            Action::SetTimer { after, token } => {
                let at = Instant::now() + duration_from_secs(after);
                self.timers.set(at, Timer::Decision(token));
            }
            Action::WatchEndpoints => self.ensure_watch(),
            Action::Log(event) => self.log(event),
        }
    }

    fn log(&self, event: LogEvent) {
        let upstream_name = |upstream| self.upstreams.name(upstream);
        log::line(event.text(upstream_name, &self.classes));
    }

    /// Fires the timers that are due. Returns the time at which the next timer is due, or `None` if
    /// no timer is set.
    fn fire_due_timers(&mut self) -> Option<Instant> {
        while let Some(timer) = self.timers.pop_due() {
            match timer {
                Timer::Decision(token) => self.handle(Event::TimerFired(token)),
                Timer::DeadlineBackstop(id) => self.conclude_overdue(id),
                Timer::ReopenWatch => self.ensure_watch(),
            }
        }
        self.timers.next_at()
    }
}

async fn run_timers(dispatcher: Rc<RefCell<Dispatcher>>) {
    let earliest_changed = dispatcher.borrow().timers.earliest_changed();
    loop {
        let next_at = dispatcher.borrow_mut().fire_due_timers();
        match next_at {
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = earliest_changed.notified() => {}
            },
            None => earliest_changed.notified().await,
        }
    }
}

/// Returns the longest deadline of `classes`, or `None` if no `Duration` can hold it.
pub fn longest_deadline(classes: &[Class]) -> Option<Duration> {
    let longest = classes
        .iter()
        .fold(0.0, |longest: f64, class| longest.max(class.deadline));
    Duration::try_from_secs_f64(longest).ok()
}

/// Returns the limits on the ids of recent requests. They are retained for the longest deadline in
/// any case, so that no second request with the same id runs while the first may. If the memory
/// suffices they are retained longer, because a client that has disconnected may come back later.
fn id_retention(classes: &[Class], memory_bytes: usize) -> RetentionLimits {
    // A deadline that no `Duration` can hold counts as infinite. The fallback leaves room for
    // doubling, because `RecentRequestIds` computes twice the retention.
    let min = longest_deadline(classes).unwrap_or(Duration::MAX / 4);
    let windows = classes.iter().map(|class| class.idempotency_window);
    let window = Duration::try_from_secs_f64(windows.fold(0.0, f64::max));
    let preferred = min
        .max(window.unwrap_or(Duration::ZERO).min(Duration::MAX / 4))
        .max(MIN_PREFERRED_ID_RETENTION);
    RetentionLimits {
        min,
        preferred,
        memory_bytes: memory_bytes / ID_MEMORY_DIVISOR,
    }
}

/// Converts the seconds of an action into a `Duration`. Values that a `Duration` can't hold, such
/// as negative ones, become zero.
fn duration_from_secs(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

#[cfg(test)]
mod tests;
