//! The settings of one balancer: request classes, tenants, its place in the fleet, limits and
//! rules.
//!
//! Durations are seconds as `f64`. [`Settings::validate`] checks every figure that the decisions
//! rely on.

use thiserror::Error;

/// Why a set of settings was not accepted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There must be at least one request class.
    #[error("settings name no request class")]
    NoClasses,
    /// A duration or share that must be finite and positive (or not negative) is not.
    #[error("setting {0} is out of range: {1}")]
    BadNumber(&'static str, f64),
    /// An index points outside of what it counts.
    #[error("setting {name} is {index}, but there are only {count}")]
    BadIndex {
        /// Which setting.
        name: &'static str,
        /// The index given.
        index: usize,
        /// How many there are.
        count: usize,
    },
}

/// Whether an upstream may run a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It carries an idempotency key: upstreams that share a deduplication scope drop repeats of
    /// it for [`Class::idempotency_window`].
    IdempotencyKey {
        /// Which upstreams drop each other's repeats.
        scope: DeduplicationScope,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// Which upstreams drop repeats of a request with an idempotency key that one of them has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for log lines only.
    pub name: String,
    /// Latency objective, in seconds: a response within it earns the full priority weight.
    pub latency_objective: f64,
    /// How long a client waits in all, in seconds.
    pub deadline: f64,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// How long upstreams drop repeats, in seconds from the first attempt that may have run; for
    /// classes with an idempotency key.
    pub idempotency_window: f64,
    /// Value of one response within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response still earns.
    pub late_response_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for log lines only.
    pub name: String,
    /// Requests per second, over all balancers, that are within its quota (0: no quota).
    pub quota_per_second: f64,
}

/// How the endpoint list comes from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed.
    Push,
    /// The list has to be polled.
    Poll,
}

/// What the balancer may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// A request may have two attempts in flight at a time (a hedged request).
    pub hedging_allowed: bool,
    /// An idle connection closes after this time, in seconds.
    pub connection_idle_timeout: f64,
    /// Attempts that one connection carries at a time.
    pub streams_per_connection: u64,
    /// A connection that is not established after this time, in seconds, is given up.
    pub connect_timeout: f64,
    /// Most requests that may be open at a time.
    pub max_open_requests: usize,
    /// Longest Retry-After that a rejection may carry, in seconds; `None`: it may carry
    /// none.
    pub max_retry_after: Option<f64>,
}

/// The rules of the service that the balancer has to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Without a watch, the endpoint list has to be polled again within this time, in seconds.
    pub poll_interval: f64,
    /// A change counts as notified this long after discovery had it, in seconds, whether or not
    /// it arrived.
    pub notification_deadline: f64,
    /// Share of its capacity that an upstream has when it starts.
    pub initial_capacity_share: f64,
    /// Length of slow start in seconds: an upstream older than this has its full capacity.
    pub slow_start_window: f64,
    /// An upstream in slow start fails under more than this multiple of its present capacity.
    pub overload_multiple: f64,
}

impl Rules {
    /// The least share of its full capacity that an upstream has `now` if it started at
    /// `started_at`; both in seconds on one clock, 0 stands for long ago.
    #[must_use]
    pub fn slow_start_share(&self, started_at: f64, now: f64) -> f64 {
        let age = now - started_at;
        if started_at <= 0.0 || age >= self.slow_start_window {
            return 1.0;
        }
        let initial = self.initial_capacity_share;
        initial + (1.0 - initial) * age.max(0.0) / self.slow_start_window
    }
}

/// What things cost, as shares of the value of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones, per first attempt.
    pub cross_zone: f64,
}

/// The configuration of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// This balancer's number among its `peer_count` peers.
    pub peer_index: usize,
    /// Balancers that send to this tier.
    pub peer_count: usize,
    /// The tier that this balancer sends to; 0 is where clients come in.
    pub tier: usize,
    /// How many tiers there are.
    pub tier_count: usize,
    /// The zone that this balancer is in.
    pub zone: usize,
    /// How many zones there are.
    pub zone_count: usize,
    /// How the endpoint list comes.
    pub discovery_mode: DiscoveryMode,
    /// Events come no more often than this, in seconds.
    pub event_interval: f64,
    /// Weight of a request beyond its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight: f64,
    /// Priority weights count per unit of work, not per request.
    pub weight_by_work: bool,
    /// What the balancer may do.
    pub limits: Limits,
    /// The rules of the service.
    pub rules: Rules,
    /// What things cost.
    pub prices: Prices,
}

impl Settings {
    /// Settings with one idempotent class, pushed endpoint lists and moderate figures: a start
    /// for tests and examples.
    #[must_use]
    pub fn simple() -> Self {
        Settings {
            classes: vec![Class {
                name: "call".into(),
                latency_objective: 1.0,
                deadline: 2.0,
                idempotency: Idempotency::Idempotent,
                idempotency_window: 0.0,
                priority_weight: 1.0,
                late_response_weight: 0.0,
            }],
            tenants: Vec::new(),
            peer_index: 0,
            peer_count: 1,
            tier: 0,
            tier_count: 1,
            zone: 0,
            zone_count: 1,
            discovery_mode: DiscoveryMode::Push,
            event_interval: 0.001,
            over_quota_weight: 1.0,
            weight_by_work: false,
            limits: Limits {
                max_attempts: 3,
                cancellation_allowed: true,
                hedging_allowed: true,
                connection_idle_timeout: 60.0,
                streams_per_connection: 1,
                connect_timeout: 0.25,
                max_open_requests: 20_000,
                max_retry_after: None,
            },
            rules: Rules {
                poll_interval: 10.0,
                notification_deadline: f64::INFINITY,
                initial_capacity_share: 0.2,
                slow_start_window: 10.0,
                overload_multiple: 3.0,
            },
            prices: Prices::default(),
        }
    }

    /// The share of a request's work that is done from this tier on, if all tiers do the same.
    #[must_use]
    pub fn remaining_tier_share(&self) -> f64 {
        (self.tier_count - self.tier) as f64 / self.tier_count as f64
    }

    /// Checks what the balancer relies on.
    ///
    /// # Errors
    ///
    /// The first setting that is missing or out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        check_index("me", self.peer_index, self.peer_count)?;
        check_index("tier", self.tier, self.tier_count)?;
        check_index("zone", self.zone, self.zone_count)?;
        for class in &self.classes {
            class.validate()?;
        }
        for tenant in &self.tenants {
            check_number("tenant quota", tenant.quota_per_second, 0.0)?;
        }
        check_number("over share worth", self.over_quota_weight, 0.0)?;
        check_number("prices cross zone", self.prices.cross_zone, 0.0)?;
        check_number("tick", self.event_interval, 0.0)?;
        self.limits.validate()?;
        self.rules.validate()
    }
}

impl Class {
    fn validate(&self) -> Result<(), SettingsError> {
        check_number("class aim", self.latency_objective, f64::MIN_POSITIVE)?;
        check_number("class deadline", self.deadline, f64::MIN_POSITIVE)?;
        check_number("class worth", self.priority_weight, 0.0)?;
        check_number("class dedup window", self.idempotency_window, 0.0)?;
        check_number("class late share", self.late_response_weight, 0.0)
    }
}

impl Limits {
    fn validate(&self) -> Result<(), SettingsError> {
        check_number("limits conn idle", self.connection_idle_timeout, 0.0)?;
        check_number(
            "limits connect timeout",
            self.connect_timeout,
            f64::MIN_POSITIVE,
        )?;
        let retry_after = self.max_retry_after.unwrap_or(0.0);
        check_number("limits retry after", retry_after, 0.0)
    }
}

impl Rules {
    fn validate(&self) -> Result<(), SettingsError> {
        check_number("rules ask within", self.poll_interval, f64::MIN_POSITIVE)?;
        check_number("rules cold", self.slow_start_window, 0.0)?;
        check_number(
            "rules fall multiple",
            self.overload_multiple,
            f64::MIN_POSITIVE,
        )?;
        check_number(
            "rules start capacity",
            self.initial_capacity_share,
            f64::MIN_POSITIVE,
        )
    }
}

// Errors name a setting as the settings' own format does, for whoever wrote them.

fn check_index(name: &'static str, index: usize, count: usize) -> Result<(), SettingsError> {
    if index < count {
        Ok(())
    } else {
        Err(SettingsError::BadIndex { name, index, count })
    }
}

fn check_number(name: &'static str, value: f64, least: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= least {
        Ok(())
    } else {
        Err(SettingsError::BadNumber(name, value))
    }
}
