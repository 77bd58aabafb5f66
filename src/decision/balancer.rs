//! The balancer: owns the state of all parts and passes each event to the part that handles it.
//!
//! A balancer counts its attempts in flight at each upstream. A request goes to the upstream
//! under its concurrency limit whose turn it is in the rotation; if there is none, it waits in a
//! queue until a slot becomes free or its queue time is over.

use super::action::Action;
use super::admission::RequestRate;
use super::concurrency_limit::ConcurrencyLimit;
use super::event::{Event, RequestId, UpstreamState};
use super::idle_timeout::IdleTimeoutEstimator;
use super::latency::{Congestion, LatencyEstimate};
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

/// What a balancer keeps track of. Without open requests and attempts in flight it is idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests without a final response or with attempts in flight.
    pub open_requests: usize,
    /// Attempts in flight.
    pub attempts_in_flight: usize,
    /// Upstreams that are listed or have attempts in flight.
    pub upstreams: usize,
}

/// One balancer. The modules beside this one hold the decisions, each for the state that it owns.
pub struct Balancer {
    pub(super) settings: Settings,
    pub(super) rng: Pcg64Mcg,
    /// The moment of the latest event, in seconds; it never goes back.
    pub(super) now: f64,
    pub(super) upstreams: Upstreams,
    pub(super) rotation: Rotation,
    pub(super) limit: ConcurrencyLimit,
    pub(super) slow_start: SlowStart,
    pub(super) maintenance: MaintenanceRegister,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    /// Requests that arrived while no upstream was available.
    pub(super) unassigned: VecDeque<RequestId>,
    /// Of each class.
    pub(super) latency: Vec<LatencyEstimate>,
    pub(super) congestion: Congestion,
    /// Of each tenant.
    pub(super) tenant_rates: Vec<RequestRate>,
    pub(super) retry_budget: RetryBudget,
    pub(super) idle_timeout: IdleTimeoutEstimator,
    pub(super) poll_schedule: PollSchedule,
    pub(super) start_times: StartTimeEstimator,
}

impl Balancer {
    /// A balancer that knows no upstream yet: give it an `Event::EndpointList` next. `now` is the
    /// moment on the embedder's clock, in seconds; `seed` starts the random generator.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or out of range.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let classes = settings.classes.iter();
        let latency = classes.map(|class| LatencyEstimate::new(class.latency_objective));
        let tenants = settings.tenants.iter();
        let max_idle_timeout = settings.limits.connection_idle_timeout;
        Ok(Balancer {
            latency: latency.collect(),
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
            congestion: Congestion::default(),
            retry_budget: RetryBudget::new(),
            idle_timeout: IdleTimeoutEstimator::new(max_idle_timeout, now),
            poll_schedule: PollSchedule::new(),
            start_times: StartTimeEstimator::new(now),
            settings,
        })
    }

    /// Handles one event that happened `now`, in seconds, and appends the actions that follow
    /// from it.
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

    /// What the balancer keeps track of now.
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

    /// How many upstreams that the endpoint list has in service get no request of any class now.
    #[must_use]
    pub fn excluded_upstreams(&self) -> usize {
        let is_listed = |upstream: &&Upstream| upstream.entry.state == UpstreamState::Active;
        let listed = self.upstreams.values().filter(is_listed);
        listed.filter(|upstream| self.is_excluded(upstream)).count()
    }
}
