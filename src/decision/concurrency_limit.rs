//! The concurrency limit: how many attempts this balancer may have in flight at one upstream.
//!
//! The limit is an even share of the upstream's slots, times a multiplier that each upstream's
//! results change. With nothing in flight, a request is allowed whatever the limit is.

use super::congestion::Congestion;
use super::event::AttemptOutcome;
use super::moving_average::{add_sample, SLOW_SMOOTHING, SMOOTHING};
use super::upstream::{Upstream, UpstreamStats};

/// Queued requests per slot of an upstream.
const QUEUED_REQUESTS_PER_SLOT: f64 = 8.0;
/// Slots by which a limit grows with each response until congestion has been seen.
const INITIAL_GROWTH_SLOTS: f64 = 0.5;
/// The same from then on.
const GROWTH_SLOTS_AFTER_CONGESTION: f64 = 0.1;
/// What each response adds to a multiplier below 1.
const RECOVERY_STEP: f64 = 0.1;
/// Share of the time that single requests beyond the limit are allowed under congestion, where an
/// even share is less than that.
const CONGESTED_ALLOWANCE: f64 = 0.5;
/// The multiplier keeps the limit at this many slots or more.
const MIN_SLOTS: f64 = 0.5;
/// Factor of the multiplier after an error, or after one connection that broke.
const MILD_DECREASE_FACTOR: f64 = 0.9;
/// Factor of the multiplier after a loss.
const STRONG_DECREASE_FACTOR: f64 = 0.5;

/// What the last response shows of the load level.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadLevel {
    /// Responses are delayed by congestion.
    Congested,
    /// There is no congestion, but a request had to wait since the response before.
    Queueing,
    /// Neither.
    Normal,
}

/// State of the limit that all upstreams share.
pub(super) struct ConcurrencyLimit {
    /// Slots at one upstream before its multiplier; at least one.
    base_slots: f64,
    /// The same if balancers share it evenly; may be less than one.
    even_slots: f64,
    /// Share of the time in which a request may go to an upstream with nothing in flight,
    /// whatever the limit is.
    single_request_allowance: f64,
    /// A request had to wait since the last successful response.
    request_was_queued: bool,
}

impl ConcurrencyLimit {
    /// The limit before the first endpoint list.
    pub(super) fn new() -> Self {
        ConcurrencyLimit {
            base_slots: 0.0,
            even_slots: 0.0,
            single_request_allowance: 1.0,
            request_was_queued: false,
        }
    }

    /// Sets the even share after a change of the endpoint list.
    pub(super) fn set_even_slots(&mut self, even_slots: f64) {
        self.even_slots = even_slots;
        self.base_slots = even_slots.max(1.0);
    }

    /// One more attempt is within the limit, or nothing is in flight there.
    pub(super) fn has_free_slot(&self, upstream: &Upstream) -> bool {
        let in_flight = upstream.in_flight.len() as f64;
        in_flight == 0.0 || in_flight + 1.0 <= self.base_slots * upstream.stats.limit_multiplier
    }

    /// One more request may wait at this upstream.
    pub(super) fn has_queue_space(&self, upstream: &Upstream) -> bool {
        let slots = (self.base_slots * upstream.stats.limit_multiplier).max(1.0);
        (upstream.queue.len() as f64) < QUEUED_REQUESTS_PER_SLOT * slots
    }

    /// Notes that a request has to wait.
    pub(super) fn record_queued_request(&mut self) {
        self.request_was_queued = true;
    }

    /// Adapts the limit to a successful response of an upstream. `subset_covers_all`: the subset can't
    /// grow any more, so the multiplier does.
    pub(super) fn on_success(
        &mut self,
        stats: &mut UpstreamStats,
        is_congested: bool,
        congestion: &Congestion,
        subset_covers_all: bool,
    ) -> LoadLevel {
        let request_was_queued = std::mem::take(&mut self.request_was_queued);
        let load_level = if is_congested {
            LoadLevel::Congested
        } else if request_was_queued {
            LoadLevel::Queueing
        } else {
            LoadLevel::Normal
        };
        self.adapt_multiplier(
            &mut stats.limit_multiplier,
            load_level,
            congestion,
            subset_covers_all,
        );
        self.adapt_allowance(is_congested);
        load_level
    }

    fn adapt_multiplier(
        &self,
        multiplier: &mut f64,
        load_level: LoadLevel,
        congestion: &Congestion,
        subset_covers_all: bool,
    ) {
        // A limit is counted in integral attempts: unless an even share is restored completely
        // after a failure, one slot would be lost permanently.
        if *multiplier < 1.0 {
            *multiplier = (*multiplier + RECOVERY_STEP).min(1.0);
            return;
        }
        match load_level {
            LoadLevel::Congested => add_sample(multiplier, 1.0, SMOOTHING),
            LoadLevel::Normal => add_sample(multiplier, 1.0, SLOW_SMOOTHING),
            LoadLevel::Queueing if subset_covers_all => {
                // A restarted balancer has to regain its former limit soon, or it rejects
                // requests meanwhile.
                let growth = if congestion.has_occurred {
                    GROWTH_SLOTS_AFTER_CONGESTION
                } else {
                    INITIAL_GROWTH_SLOTS
                };
                *multiplier += growth / self.base_slots;
            }
            LoadLevel::Queueing => {}
        }
    }

    /// Single requests of many balancers would void the limit, so under congestion they are
    /// allowed for a part of the time only.
    fn adapt_allowance(&mut self, is_congested: bool) {
        let target = if is_congested && self.even_slots < CONGESTED_ALLOWANCE {
            CONGESTED_ALLOWANCE
        } else {
            1.0
        };
        add_sample(&mut self.single_request_allowance, target, SMOOTHING);
    }

    /// Bounds the multiplier from below, and pauses the upstream after an attempt of `elapsed`
    /// seconds for as long as the single-request allowance asks for.
    pub(super) fn apply_min_limit_and_pause(
        &self,
        stats: &mut UpstreamStats,
        elapsed: f64,
        now: f64,
    ) {
        stats.limit_multiplier = stats.limit_multiplier.max(MIN_SLOTS / self.base_slots);
        let pause = elapsed * (1.0 / self.single_request_allowance - 1.0);
        stats.paused_until = stats.paused_until.max(now + pause);
    }

    /// The single-request allowance.
    pub(super) fn single_request_allowance(&self) -> f64 {
        self.single_request_allowance
    }

    /// Restores the single-request allowance.
    pub(super) fn restore_single_request_allowance(&mut self, allowance: f64) {
        self.single_request_allowance = allowance;
    }
}

/// Lowers an upstream's limit after an error.
pub(super) fn decrease_after_error(stats: &mut UpstreamStats) {
    stats.limit_multiplier *= MILD_DECREASE_FACTOR;
}

/// Lowers an upstream's limit after an attempt that was lost. A single connection that broke
/// counts less: if the process is gone, the next connection fails too.
pub(super) fn decrease_after_loss(stats: &mut UpstreamStats, outcome: AttemptOutcome) {
    let is_single = outcome != AttemptOutcome::TimedOut
        && stats.outliers.all_requests().consecutive_failures() == 0;
    stats.limit_multiplier *= if is_single {
        MILD_DECREASE_FACTOR
    } else {
        STRONG_DECREASE_FACTOR
    };
}
