//! Estimates the idle time after which upstreams, or devices on the path to them, drop connections
//! without notice.

use super::ended_attempt::EndedAttempt;
use super::event::AttemptOutcome;

/// Decrease of the drop score with a response on a connection that was idle for longer than the
/// suggested timeout; a sign of a dropped connection adds 1. A dropped connection costs a request,
/// whereas a new connection costs only a small part of a request, so this is also the tolerated
/// ratio of drops to such responses.
const RESPONSE_SCORE_DECREASE: f64 = 0.04;
/// Drop score at which the timeout is lowered: reached by two drops with few responses between
/// them.
const DROP_SCORE_THRESHOLD: f64 = 1.5;
/// A reset is immediate if it occurs within this share of the expected latency: no work can have
/// been done by then.
const IMMEDIATE_RESET_SHARE: f64 = 0.1;
/// Time in which the timeout doubles after it was lowered.
const TIMEOUT_DOUBLING_SECONDS: f64 = 30.0;

/// Estimates how long an idle connection may be reused. All times are in seconds.
pub(super) struct IdleTimeoutEstimator {
    timeout: f64,
    /// When `timeout` was last raised.
    updated_at: f64,
    /// How strongly recent drops suggest a shorter timeout.
    drop_score: f64,
    /// The timeout that recent drops suggest.
    suggested_timeout: f64,
}

/// What an ended attempt indicates about idle connections.
enum Observation {
    /// Connections idle for this long may have been dropped.
    Dropped { idle: f64 },
    /// The connection broke although it had not been idle, so connections break for other reasons.
    ResetWithoutIdle,
    /// There is no sign of a dropped connection. `idle` is how long the connection had been idle
    /// if a response was received, else 0.
    Reused { idle: f64 },
}

impl IdleTimeoutEstimator {
    /// Returns an estimator that starts with `max_timeout`, the time after which idle connections
    /// are closed in any case.
    pub(super) fn new(max_timeout: f64, now: f64) -> Self {
        IdleTimeoutEstimator {
            timeout: max_timeout,
            updated_at: now,
            drop_score: 0.0,
            suggested_timeout: max_timeout,
        }
    }

    /// Raises the estimate according to the time since it was last raised, up to `max_timeout`, and
    /// returns the estimate.
    pub(super) fn raise(&mut self, now: f64, max_timeout: f64) -> f64 {
        let doublings = (now - self.updated_at) / TIMEOUT_DOUBLING_SECONDS;
        self.timeout = (self.timeout * doublings.exp2()).min(max_timeout);
        self.updated_at = now;
        self.timeout
    }

    /// Adds an attempt that has ended, and updates `suspect_idle_time` of its upstream: the idle
    /// time of the attempt's connection if the attempt was lost without notice on a connection that
    /// had been idle, else 0.
    ///
    /// Returns whether the attempt's connection may have been dropped while idle. If so, a loss is
    /// no evidence against the upstream.
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

/// Returns whether the connection had been idle for longer than the expected latency. Shorter
/// pauses do not count: a connection is quiet for about that long while it waits for a response,
/// and is not dropped then.
fn was_idle(ended: &EndedAttempt) -> bool {
    ended.connection_idle > ended.expected_latency
}

/// Classifies an ended attempt. Two results indicate that idle connections are dropped: an
/// immediate reset of a connection that had been idle, and a silent loss on an idle connection that
/// is followed by a response on a connection idle for less than half as long. Two results indicate
/// the opposite: a response on a connection that had been idle for long, and an immediate reset of
/// a connection that had not been idle.
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
