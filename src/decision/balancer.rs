//! The balancer: owns the state of all modules and dispatches each event to the module that
//! handles it.
//!
//! The balancer counts its attempts in flight at each upstream. A request goes to the next upstream
//! of the rotation that accepts it; an upstream at its concurrency limit accepts none. If no
//! upstream accepts the request, it is queued until a slot becomes free or its queue deadline has
//! passed, or given up immediately if no queue has space.

use super::action::Action;
use super::admission::RequestRate;
use super::concurrency_limit::ConcurrencyLimit;
use super::event::{Event, RequestId, UpstreamState};
use super::idle_timeout::IdleTimeoutEstimator;
use super::latency::LatencyModel;
use super::maintenance::MaintenanceRegister;
use super::poll_schedule::{PollSchedule, POLL_TIMER};
use super::request::PendingRequest;
use super::retry::RetryBudget;
use super::rotation::Rotation;
use super::settings::{Settings, SettingsError};
use super::slow_start::SlowStart;
use super::start_time::StartTimeEstimator;
use super::upstream::{Upstream, Upstreams};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// The load of a balancer. A balancer is idle if it has neither open requests nor attempts in
/// flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests without a final response or with attempts in flight.
    pub open_requests: usize,
    /// Attempts in flight.
    pub attempts_in_flight: usize,
    /// Upstreams that are in service according to the endpoint list, and others that had attempts
    /// in flight at the last change of the available upstreams.
    pub upstreams: usize,
}

/// A load balancer. It owns the state of all modules; each module implements the decisions on its
/// part of the state.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    /// Time of the latest event, in seconds; it never goes back.
    pub(super) now: f64,
    pub(super) upstreams: Upstreams,
    pub(super) rotation: Rotation,
    pub(super) limit: ConcurrencyLimit,
    pub(super) slow_start: SlowStart,
    pub(super) maintenance: MaintenanceRegister,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that wait for any upstream to become available.
    pub(super) unassigned: VecDeque<RequestId>,
    pub(super) latency: LatencyModel,
    /// Request rate of each tenant.
    pub(super) tenant_rates: Vec<RequestRate>,
    pub(super) retry_budget: RetryBudget,
    pub(super) idle_timeout: IdleTimeoutEstimator,
    pub(super) poll_schedule: PollSchedule,
    pub(super) start_times: StartTimeEstimator,
}

impl Balancer {
    /// Creates a balancer that knows no upstream yet: give it an `Event::EndpointList` next. `now`
    /// is the time on the embedder's clock, in seconds; `seed` initializes the random number
    /// generator.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is missing or out of range.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let tenants = settings.tenants.iter();
        let max_idle_timeout = settings.limits.connection_idle_timeout;
        Ok(Balancer {
            latency: LatencyModel::new(&settings),
            tenant_rates: tenants.map(|_| RequestRate::default()).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            upstreams: Upstreams::new(),
            rotation: Rotation::default(),
            limit: ConcurrencyLimit::new(),
            slow_start: SlowStart::default(),
            maintenance: MaintenanceRegister::default(),
            requests: BTreeMap::new(),
            unassigned: VecDeque::new(),
            retry_budget: RetryBudget::new(),
            idle_timeout: IdleTimeoutEstimator::new(max_idle_timeout, now),
            poll_schedule: PollSchedule::new(),
            start_times: StartTimeEstimator::new(now),
            settings,
        })
    }

    /// Handles one event that happened at `now`, in seconds, and appends the resulting actions to
    /// `actions`.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointList { scope, endpoints } => {
                self.on_endpoint_list(scope, endpoints, actions);
            }
            Event::Maintenance { upstream, change } => {
                self.on_maintenance(upstream, change, actions);
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::UploadCompleted(id) => self.on_upload_completed(id),
            Event::ResponseStarted(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.is_concluded = true;
                }
            }
            Event::AttemptEnded(result) => self.on_attempt_ended(&result, actions),
            Event::ClientDisconnected(id) => self.conclude(id, actions),
            Event::TimerFired(POLL_TIMER) => actions.push(self.poll_schedule.poll(self.now)),
            Event::TimerFired(token) => self.on_request_timer(RequestId(token), actions),
        }
    }

    /// Returns the settings that the balancer was created with.
    #[must_use]
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> Load {
        let upstreams = self.upstreams.values();
        let in_flight = upstreams.map(|upstream| upstream.in_flight.len());
        Load {
            open_requests: self.requests.len(),
            attempts_in_flight: in_flight.sum(),
            upstreams: self.upstreams.len(),
        }
    }

    /// Returns the number of upstreams that are in service according to the endpoint list but
    /// unavailable or ineligible for every class, for example in maintenance or ejected. In panic
    /// mode, ineligible upstreams are counted although they get requests.
    #[must_use]
    pub fn excluded_upstreams(&self) -> usize {
        let is_listed = |upstream: &&Upstream| upstream.entry.state == UpstreamState::Active;
        let listed = self.upstreams.values().filter(is_listed);
        listed.filter(|upstream| self.is_excluded(upstream)).count()
    }
}
