//! The settings of one balancer: request classes, tenants, its place in the fleet, limits and
//! rules.
//!
//! Durations are seconds as `f64`. [`Settings::validate`] checks every index and every `f64` except
//! [`Rules::notification_deadline`].

use thiserror::Error;

/// Reason why settings were rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// The settings contain no request class.
    #[error("settings contain no request class")]
    NoClasses,
    /// A number is not finite or is below its minimum.
    #[error("setting {name} is out of range: {value}")]
    NumberOutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// The number that was given.
        value: f64,
    },
    /// An index is not below the number of items that it refers to.
    #[error("setting {name} is out of range: {index} is not below {count}")]
    IndexOutOfRange {
        /// Name of the setting.
        name: &'static str,
        /// The index that was given.
        index: usize,
        /// Number of items.
        count: usize,
    },
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Running a request again does no harm.
    Idempotent,
    /// A request carries an idempotency key: upstreams that share a deduplication scope drop
    /// repeats of it for [`Class::idempotency_window`].
    IdempotencyKey {
        /// The upstreams that drop each other's repeats.
        scope: DeduplicationScope,
    },
    /// A request must never run twice.
    NonIdempotent,
}

/// The upstreams that drop repeats of a request with an idempotency key if one of them has seen
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All upstreams.
    All,
    /// The upstreams of one zone.
    Zone,
    /// The upstreams of one cell.
    Cell,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class, for log lines only.
    pub name: String,
    /// Latency objective, in seconds: a response within it earns the full priority weight.
    pub latency_objective: f64,
    /// How long a client waits in total, in seconds.
    pub deadline: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// How long upstreams drop repeats in classes with an idempotency key, in seconds from the
    /// first attempt that may have run.
    pub idempotency_window: f64,
    /// Value of one response within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that a late response still earns.
    pub late_response_weight: f64,
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant, for log lines only.
    pub name: String,
    /// Quota of the tenant at all balancers together, in requests per second (0: no quota).
    pub quota_per_second: f64,
}

/// How the endpoint list is received from discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes of the list.
    Push,
    /// The balancer has to poll the list.
    Poll,
}

/// Limits on what the balancer may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether a request may have two attempts in flight at a time (a hedged request).
    pub hedging_allowed: bool,
    /// Time after which an idle connection is closed, in seconds.
    pub connection_idle_timeout: f64,
    /// Number of attempts that one connection can carry at a time.
    pub streams_per_connection: u64,
    /// Time within which a connection has to be established, in seconds; after that, the
    /// connection is given up.
    pub connect_timeout: f64,
    /// Maximum number of requests that may be open at a time.
    pub max_open_requests: usize,
    /// Largest Retry-After of a rejection, in seconds; `None`: rejections have no Retry-After.
    pub max_retry_after: Option<f64>,
}

/// Rules of the service that the balancer has to follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Time within which the endpoint list has to be polled again if there is no watch, in
    /// seconds.
    pub poll_interval: f64,
    /// Time within which the balancer has to act on a change of the endpoint list, in seconds from
    /// the time at which discovery had the change.
    pub notification_deadline: f64,
    /// Share of its full capacity that an upstream has when it starts.
    pub initial_capacity_share: f64,
    /// Length of slow start, in seconds: an upstream that started longer ago has its full
    /// capacity.
    pub slow_start_window: f64,
    /// Load above which an upstream in slow start fails, as a multiple of its present capacity.
    pub overload_multiple: f64,
}

impl Rules {
    /// Returns the least share of its full capacity that an upstream has at `now` if it started at
    /// `started_at`. Both are in seconds on the same clock; a start of 0 means long ago.
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

/// Prices of what the balancer does, as shares of the value of the service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of an attempt that crosses zones, per first attempt.
    pub cross_zone: f64,
}

/// The settings of one balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Index of this balancer among the `peer_count` balancers.
    pub peer_index: usize,
    /// Number of balancers that send to the tier with index `tier`, including this one.
    pub peer_count: usize,
    /// Index of the tier that this balancer sends to; clients send to tier 0.
    pub tier: usize,
    /// Number of tiers.
    pub tier_count: usize,
    /// Index of the zone that this balancer is in.
    pub zone: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// How the endpoint list is received.
    pub discovery_mode: DiscoveryMode,
    /// Shortest time between events, in seconds.
    pub event_interval: f64,
    /// Weight of a request beyond its tenant's quota, as a share of its class's priority weight.
    pub over_quota_weight: f64,
    /// Whether priority weights apply per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Limits on what the balancer may do.
    pub limits: Limits,
    /// Rules of the service.
    pub rules: Rules,
    /// Prices of what the balancer does.
    pub prices: Prices,
}

impl Settings {
    /// Returns settings with one idempotent class, pushed endpoint lists and moderate values: a
    /// start for tests and examples.
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

    /// Returns the share of a request's work that is done from this tier on, if all tiers do equal
    /// shares.
    #[must_use]
    pub fn remaining_tier_share(&self) -> f64 {
        (self.tier_count - self.tier) as f64 / self.tier_count as f64
    }

    /// Checks the settings that the decisions rely on.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is missing or out of range.
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

// Most settings are named in errors by the words of the settings format, because the author of the
// settings knows these. The exceptions are `tick` (`resolution`), `class deadline` (`hardLimit`),
// `limits retry after` (`maxRetryAfter`) and `prices cross zone` (`costs.crossZone`).

fn check_index(name: &'static str, index: usize, count: usize) -> Result<(), SettingsError> {
    if index < count {
        Ok(())
    } else {
        Err(SettingsError::IndexOutOfRange { name, index, count })
    }
}

fn check_number(name: &'static str, value: f64, least: f64) -> Result<(), SettingsError> {
    if value.is_finite() && value >= least {
        Ok(())
    } else {
        Err(SettingsError::NumberOutOfRange { name, value })
    }
}
