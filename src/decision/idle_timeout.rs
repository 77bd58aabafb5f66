//! Estimates after which idle time upstreams, or what lies between, drop connections without
//! notice.

use super::ended_attempt::EndedAttempt;
use super::event::AttemptOutcome;

/// Evidence that one response on an old connection removes; a reset adds 1. A reset costs a
/// request, a new connection a small part of one, so the resets tolerated are this share of the
/// responses.
const RESPONSE_SCORE_DECREASE: f64 = 0.04;
/// Evidence at which the timeout is lowered: two resets with few responses between them.
const DROP_SCORE_THRESHOLD: f64 = 1.5;
/// A reset within this share of the expected latency comes so soon that no work can have been
/// done.
const IMMEDIATE_RESET_SHARE: f64 = 0.1;
/// The timeout doubles in this time after it was lowered, in seconds.
const TIMEOUT_DOUBLING_SECONDS: f64 = 30.0;

/// How long an idle connection may be reused. All times are seconds.
pub(super) struct IdleTimeoutEstimator {
    timeout: f64,
    /// When `timeout` was last raised.
    updated_at: f64,
    /// How strongly recent resets suggest a shorter timeout.
    drop_score: f64,
    /// The timeout that they suggest.
    suggested_timeout: f64,
}

/// What one ended attempt says of idle connections.
enum Observation {
    /// Connections idle for this long may have been dropped.
    Dropped { idle: f64 },
    /// The connection broke though it had not been idle: connections break for other reasons.
    ResetWithoutIdle,
    /// A response came on a connection idle for this long; 0 if there was no response.
    Reused { idle: f64 },
}

impl IdleTimeoutEstimator {
    /// An estimator that starts with `max_timeout`, the time after which idle connections are
    /// closed in any case.
    pub(super) fn new(max_timeout: f64, now: f64) -> Self {
        IdleTimeoutEstimator {
            timeout: max_timeout,
            updated_at: now,
            drop_score: 0.0,
            suggested_timeout: max_timeout,
        }
    }

    /// The current estimate, raised for the time that has passed.
    pub(super) fn raise(&mut self, now: f64, max_timeout: f64) -> f64 {
        let doublings = (now - self.updated_at) / TIMEOUT_DOUBLING_SECONDS;
        self.timeout = (self.timeout * doublings.exp2()).min(max_timeout);
        self.updated_at = now;
        self.timeout
    }

    /// Adds an attempt that has ended. `suspect_idle_time` belongs to its upstream: how long the
    /// connection had been idle on which the last request was lost without notice (0: none was).
    ///
    /// Returns whether the attempt's connection may have been dropped while idle, so that its
    /// loss says nothing of the upstream.
    pub(super) fn observe(
        &mut self,
        ended: &EndedAttempt,
        suspect_idle_time: &mut f64,
        max_timeout: f64,
    ) -> bool {
        let observation = observation(ended, *suspect_idle_time);
        self.add(&observation, max_timeout);
        let is_reset = ended.outcome == AttemptOutcome::Reset;
        let is_suspect = ended.is_lost && was_idle(ended) && !is_reset;
        *suspect_idle_time = if is_suspect {
            ended.connection_idle
        } else {
            0.0
        };
        let is_beyond_timeout = ended.connection_idle > self.timeout;
        (ended.is_lost && is_beyond_timeout) || (is_reset && ended.connection_idle > 0.0)
    }

    fn add(&mut self, observation: &Observation, max_timeout: f64) {
        match *observation {
            Observation::Dropped { idle } => {
                self.drop_score += 1.0;
                self.suggested_timeout = self.suggested_timeout.min(idle / 2.0);
            }
            Observation::ResetWithoutIdle => {
                self.drop_score = (self.drop_score - 1.0).max(0.0);
                self.timeout = max_timeout;
            }
            Observation::Reused { idle } if idle > self.suggested_timeout => {
                self.drop_score = (self.drop_score - RESPONSE_SCORE_DECREASE).max(0.0);
            }
            Observation::Reused { .. } => {}
        }
        if self.drop_score >= DROP_SCORE_THRESHOLD {
            self.timeout = self.timeout.min(self.suggested_timeout);
            (self.drop_score, self.suggested_timeout) = (0.0, max_timeout);
        }
    }
}

/// Connections are quiet during a request too, so only a longer pause counts as idle.
fn was_idle(ended: &EndedAttempt) -> bool {
    ended.connection_idle > ended.expected_latency
}

/// A reset on an idle connection, or a silent loss on one followed by a response on a newer one,
/// points to connections dropped while idle. A response on a connection as old speaks against it,
/// and so does a reset on one that was new.
fn observation(ended: &EndedAttempt, suspect_idle_time: f64) -> Observation {
    let idle = ended.connection_idle;
    let is_immediate_reset = ended.outcome == AttemptOutcome::Reset
        && ended.elapsed < IMMEDIATE_RESET_SHARE * ended.expected_latency;
    if is_immediate_reset && was_idle(ended) {
        Observation::Dropped { idle }
    } else if is_immediate_reset {
        Observation::ResetWithoutIdle
    } else if ended.is_response && suspect_idle_time > 0.0 && idle < suspect_idle_time / 2.0 {
        Observation::Dropped {
            idle: suspect_idle_time,
        }
    } else {
        Observation::Reused {
            idle: if ended.is_response { idle } else { 0.0 },
        }
    }
}
