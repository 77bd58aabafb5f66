//! The concurrency limit: how many attempts this balancer may have in flight at one upstream.
//!
//! The limit is this balancer's even share of the upstream's slots, or one slot if the share is
//! less, times a multiplier that is adapted to the results of the attempts there. If nothing is in
//! flight at the upstream, one request is allowed whatever the limit is.

use super::congestion::Congestion;
use super::event::AttemptOutcome;
use super::moving_average::{add_sample, SLOW_SMOOTHING, SMOOTHING};
use super::upstream::{Upstream, UpstreamStats};

/// Requests that may be queued at an upstream per slot of its concurrency limit.
const QUEUED_REQUESTS_PER_SLOT: f64 = 8.0;
/// Slots by which each response raises a limit while requests are queued, before congestion has
/// occurred.
const INITIAL_GROWTH_SLOTS: f64 = 0.5;
/// Slots by which each response raises a limit while requests are queued, once congestion has
/// occurred.
const GROWTH_SLOTS_AFTER_CONGESTION: f64 = 0.1;
/// What each successful response adds to a multiplier below 1.
const RECOVERY_STEP: f64 = 0.1;
/// Single-request allowance under congestion, unless the even share of slots is at least this
/// value.
const CONGESTED_ALLOWANCE: f64 = 0.5;
/// Smallest limit, in slots, that the multiplier may lead to.
const MIN_SLOTS: f64 = 0.5;
/// Factor by which the multiplier is reduced after an error or a single connection failure.
const MILD_DECREASE_FACTOR: f64 = 0.9;
/// Factor by which the multiplier is reduced after any other loss.
const STRONG_DECREASE_FACTOR: f64 = 0.5;

/// Load at the time of a successful response; the limit and the subset are adapted to it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadLevel {
    /// Responses are delayed by congestion.
    Congested,
    /// There is no congestion, but a request found no free slot since the previous successful
    /// response.
    Queueing,
    /// There is no congestion, and no request had to wait for a slot.
    Normal,
}

/// State of the concurrency limit that all upstreams share.
pub(super) struct ConcurrencyLimit {
    /// Limit at an upstream before its multiplier is applied, in slots; at least 1.
    base_slots: f64,
    /// Slots at an upstream if the balancers share it evenly; may be less than 1.
    even_slots: f64,
    /// Share of the time in which a request may be sent to an upstream with nothing in flight,
    /// whatever the limit is: the single-request allowance.
    single_request_allowance: f64,
    /// Whether a request found no free slot since the last successful response.
    request_was_queued: bool,
}

impl ConcurrencyLimit {
    /// Returns the limit before the first endpoint list.
    pub(super) fn new() -> Self {
        ConcurrencyLimit {
            base_slots: 0.0,
            even_slots: 0.0,
            single_request_allowance: 1.0,
            request_was_queued: false,
        }
    }

    /// Sets the even share of slots after a change of the endpoint list.
    pub(super) fn set_even_slots(&mut self, even_slots: f64) {
        self.even_slots = even_slots;
        self.base_slots = even_slots.max(1.0);
    }

    /// Returns whether one more attempt at the upstream is within the limit or nothing is in
    /// flight there.
    pub(super) fn has_free_slot(&self, upstream: &Upstream) -> bool {
        let in_flight = upstream.in_flight.len() as f64;
        in_flight == 0.0 || in_flight + 1.0 <= self.base_slots * upstream.stats.limit_multiplier
    }

    /// Returns whether one more request may be queued at the upstream.
    pub(super) fn has_queue_space(&self, upstream: &Upstream) -> bool {
        let slots = (self.base_slots * upstream.stats.limit_multiplier).max(1.0);
        (upstream.queue.len() as f64) < QUEUED_REQUESTS_PER_SLOT * slots
    }

    /// Records that a request found no free slot.
    pub(super) fn record_queued_request(&mut self) {
        self.request_was_queued = true;
    }

    /// Adapts the limit to a successful response of an upstream, and returns the load level. If
    /// `subset_covers_all`, the subset can't grow any further, so the multiplier grows instead
    /// while requests are queued.
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
        // Attempts are whole numbers, so a limit that stayed just below the even share after a
        // failure would permanently be one slot lower. The even share is therefore restored
        // completely.
        if *multiplier < 1.0 {
            *multiplier = (*multiplier + RECOVERY_STEP).min(1.0);
            return;
        }
        match load_level {
            LoadLevel::Congested => add_sample(multiplier, 1.0, SMOOTHING),
            LoadLevel::Normal => add_sample(multiplier, 1.0, SLOW_SMOOTHING),
            LoadLevel::Queueing if subset_covers_all => {
                // Until congestion occurs the limit grows quickly: a restarted balancer rejects
                // requests until it has regained its former limit.
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

    /// Adapts the single-request allowance. If each of many balancers sent a single request beyond
    /// the limit, the limit would have no effect, so under congestion they may do so only for a
    /// part of the time.
    fn adapt_allowance(&mut self, is_congested: bool) {
        let target = if is_congested && self.even_slots < CONGESTED_ALLOWANCE {
            CONGESTED_ALLOWANCE
        } else {
            1.0
        };
        add_sample(&mut self.single_request_allowance, target, SMOOTHING);
    }

    /// Applies the lower bound of the multiplier. Pauses the upstream after an attempt of
    /// `elapsed` seconds, so that single requests are in flight only for the allowed share of the
    /// time.
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

    /// Returns the single-request allowance.
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

/// Lowers an upstream's limit after a lost attempt. A single connection failure has a smaller
/// effect: it does not show that the upstream's process is gone. If the process is gone, the next
/// connection fails too and has the full effect.
pub(super) fn decrease_after_loss(stats: &mut UpstreamStats, outcome: AttemptOutcome) {
    let is_single = outcome != AttemptOutcome::TimedOut
        && stats.outliers.all_requests().consecutive_failures() == 0;
    stats.limit_multiplier *= if is_single {
        MILD_DECREASE_FACTOR
    } else {
        STRONG_DECREASE_FACTOR
    };
}
