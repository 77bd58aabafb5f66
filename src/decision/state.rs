//! What a balancer keeps in mind: types and plain bookkeeping, no decisions.

use crate::decision::{
    AttemptOutcome, Class, Idempotency, RequestId, Rules, UpstreamEntry, UpstreamId, UpstreamState,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// An upstream that turns so many calls away in a row, and answers none, may be draining.
const TURNED_AWAY: u32 = 3;
/// Calls beyond those in flight that may come without answers before slow start minds.
const FEW_ANSWERS: f64 = 3.0;

/// The turn over the upstreams of the subset.
#[derive(Default)]
pub(crate) struct Rotation {
    /// Listed upstreams in this caller's own order; the first `subset` of them are turned over, `min_subset_size`
    /// of them at the least.
    pub(crate) order: Vec<UpstreamId>,
    pub(crate) min_subset_size: f64,
    pub(crate) subset_size: f64,
    /// Calls that one upstream lets this caller have in flight, before it is widened or narrowed.
    pub(crate) slots_per_upstream: f64,
    /// The same where callers share it evenly; may be under one.
    pub(crate) even_slots: f64,
    /// Share of its time that the pass is open.
    pub(crate) pass: f64,
    /// Answers have been late for the crowd at least once.
    pub(crate) congestion_seen: bool,
    /// A call had to wait since the last answer.
    pub(crate) request_queued: bool,
    /// Where the turn stands, in the same measure as `Upstream::due`.
    pub(crate) virtual_time: f64,
    /// Latency at each machine kind, over the usual.
    pub(crate) kind_latency: BTreeMap<usize, f64>,
    /// Calls that slow start counts in full before more answers come.
    pub(crate) response_credit: f64,
}

impl Rotation {
    /// The upstreams turned over, and those that are not.
    pub(crate) fn split(&self) -> (&[UpstreamId], &[UpstreamId]) {
        self.order.split_at(self.subset_size as usize)
    }

    /// One more answer. Guards against a cold upstream that has its share of all that comes, also where that is
    /// far more than a warm one takes, as when clients come again. Answers show what the subset takes: for each,
    /// so many calls count in full that a cold one gets half of what the rules allow it.
    pub(crate) fn gain_headroom(
        &mut self,
        upstreams: &BTreeMap<UpstreamId, Upstream>,
        rules: &Rules,
        now: f64,
    ) {
        let within = self.split().0.iter().map(|id| &upstreams[id]);
        let (all, warm, busy) =
            within.fold((0.0, f64::MIN_POSITIVE, 0.0), |(all, warm, busy), u| {
                (
                    all + 1.0,
                    warm + u.slow_start_share(rules, now),
                    busy + u.in_flight.len() as f64,
                )
            });
        let more = rules.overload_multiple / 2.0 * all / warm;
        self.response_credit = (self.response_credit + more).min(FEW_ANSWERS + busy);
    }

    /// The part of one more call that slow start counts, `least` of it in any case.
    pub(crate) fn count(&mut self, least: f64) -> f64 {
        let counted = self.response_credit.clamp(least, 1.0);
        self.response_credit = (self.response_credit - 1.0).max(0.0);
        counted
    }
}

/// How long an idle connection is trusted, and signs that this is too long.
pub(crate) struct IdleTimeoutEstimator {
    pub(crate) trust: f64,
    /// When `trust` was last brought up to date.
    pub(crate) at: f64,
    pub(crate) doubt: f64,
    /// The idle time that these signs point to.
    pub(crate) doubted: f64,
}

/// Doubt about idle connections is cleared at this rate by answers on old ones. A reset costs a call, a new
/// connection a small part of one: more resets than this share of the answers are too many.
const CLEARED: f64 = 0.04;
/// Two resets with few answers between them.
const ENOUGH_DOUBT: f64 = 1.5;
/// Trust in idle connections doubles again in this time, in seconds.
const TRUST_REGAINED: f64 = 30.0;

impl IdleTimeoutEstimator {
    /// Brings `trust` up to date; `most` is the time after which connections are closed anyway.
    pub(crate) fn regain(&mut self, now: f64, most: f64) {
        self.trust = (self.trust * ((now - self.at) / TRUST_REGAINED).exp2()).min(most);
        self.at = now;
    }

    /// One call has ended: it speaks against connections as `old` as that (0: it doesn't), it was on a connection
    /// that would have broken `anyway`, or it was `answered` on one idle for so long.
    pub(crate) fn weigh(&mut self, old: f64, anyway: bool, answered: f64, most: f64) {
        if old > 0.0 {
            (self.doubt, self.doubted) = (self.doubt + 1.0, self.doubted.min(old / 2.0));
        } else if anyway {
            (self.doubt, self.trust) = ((self.doubt - 1.0).max(0.0), most);
        } else if answered > self.doubted {
            self.doubt = (self.doubt - CLEARED).max(0.0);
        }
        if self.doubt >= ENOUGH_DOUBT {
            self.trust = self.trust.min(self.doubted);
            (self.doubt, self.doubted) = (0.0, most);
        }
    }
}

/// An attempt in flight at an upstream.
pub(crate) struct InFlightAttempt {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) sent: f64,
    /// When its upstream had all of it; far off while its client still sends it.
    pub(crate) upload_completed_at: f64,
    pub(crate) usual: f64,
    /// For how long its connection had been idle.
    pub(crate) idle: f64,
}

pub(crate) struct Upstream {
    pub(crate) entry: UpstreamEntry,
    /// The operators have it left out.
    pub(crate) out: bool,
    /// Calls turned away in a row, and whether it is taken for one that drains for that.
    pub(crate) consecutive_rejections: u32,
    pub(crate) suspected_draining: bool,
    /// When it is taken to have started; 0 means long ago.
    pub(crate) started: f64,
    /// When they put it back, if it may have been restarted since it was last known to start.
    pub(crate) returned: f64,
    pub(crate) in_flight: Vec<InFlightAttempt>,
    pub(crate) queue: VecDeque<RequestId>,
    /// When its next turn is, in turns taken.
    pub(crate) next_turn: f64,
    /// Since when its idle connections are idle, as far as can be known.
    pub(crate) idle: Vec<f64>,
    pub(crate) learned: UpstreamStats,
}

/// What a caller thinks of an upstream; void once its process restarts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct UpstreamStats {
    /// Its slice over the even one.
    #[serde(rename = "width")]
    pub(crate) limit_multiplier: f64,
    /// Its latency over the usual, and the answers that say so.
    pub(crate) pace: f64,
    pub(crate) answers: f64,
    /// Of all calls, then of each class.
    pub(crate) health: Vec<OutlierStats>,
    /// Share of its calls that were lost in silence, as a slow moving mean.
    #[serde(rename = "losses")]
    pub(crate) silent_loss_rate: f64,
    #[serde(rename = "full_until")]
    pub(crate) paused_until: f64,
    /// How long the connection had been idle on which the last call was lost in silence; 0: none was.
    #[serde(rename = "suspect")]
    pub(crate) suspect_idle_time: f64,
    /// Part of a turn that slow start lets it have by now.
    #[serde(rename = "credit", alias = "allowance")]
    pub(crate) slow_start_tokens: f64,
}

impl UpstreamStats {
    /// All moments in it.
    pub(crate) fn moments(&mut self) -> impl Iterator<Item = &mut f64> {
        let health = self
            .health
            .iter_mut()
            .flat_map(|health| [&mut health.last_response, &mut health.ejected_until]);
        health.chain([&mut self.paused_until])
    }
}

/// How the calls of one scope fare at an upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct OutlierStats {
    /// When one was last answered.
    #[serde(rename = "heard")]
    pub(crate) last_response: f64,
    /// Share of errors and turn-aways among its answers, as a moving mean, and how many there were.
    #[serde(rename = "faults")]
    pub(crate) error_rate: f64,
    pub(crate) answers: f64,
    /// Failures in a row that speak for ejecting it.
    #[serde(rename = "strikes", alias = "failures")]
    pub(crate) consecutive_failures: i32,
    #[serde(rename = "rest_until", alias = "ejected_until")]
    pub(crate) ejected_until: f64,
}

pub(crate) struct Attempt {
    pub(crate) to: UpstreamEntry,
    pub(crate) sent: f64,
    pub(crate) outcome: Option<AttemptOutcome>,
}

#[derive(Default)]
pub(crate) struct PendingRequest {
    pub(crate) class: usize,
    pub(crate) deadline: f64,
    pub(crate) work: f64,
    /// The part of its tenant's traffic that was beyond its share when it came.
    pub(crate) over: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Its client waits for less than the aim.
    pub(crate) short_deadline: bool,
    /// Its body still comes.
    pub(crate) streamed: bool,
    pub(crate) queued_at: Option<UpstreamId>,
    pub(crate) queue_deadline: f64,
    pub(crate) concluded: bool,
}

/// Requests a second of one tenant, as a fading mean, and when that was.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct RequestRate {
    mean: f64,
    at: f64,
}

impl RequestRate {
    /// When the last request was counted.
    pub(crate) fn moment(&mut self) -> &mut f64 {
        &mut self.at
    }

    /// Counts one request; gives back the part of the rate that is beyond the quota (0: there is none).
    pub(crate) fn beyond(&mut self, quota: f64, now: f64, window: f64) -> f64 {
        self.mean = self.mean * (-(now - self.at) / window).exp() + 1.0 / window;
        self.at = now;
        if quota > 0.0 {
            (1.0 - quota / self.mean).max(0.0)
        } else {
            0.0
        }
    }
}

/// Latency of a class and the work of one request, as moving means.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct LatencyEstimate {
    pub(crate) time: f64,
    pub(crate) work: f64,
    pub(crate) samples: f64,
    /// Latency of a unit of work when it was least of late.
    #[serde(rename = "calm")]
    pub(crate) baseline: f64,
}

impl LatencyEstimate {
    /// Takes in one answered attempt; `least` is the least weight of a sample.
    pub(crate) fn add(&mut self, time: f64, work: f64, least: f64) {
        self.samples += 1.0;
        let gain = least.max(1.0 / self.samples);
        self.time += gain * (time - self.time);
        self.work += gain * (work - self.work);
        // Follows the mean down at once, but up so slowly that no crowd of some seconds is taken for calm.
        let now = self.time / self.work;
        let up = if gain > least { 1.0 } else { least.powi(3) };
        self.baseline += if now < self.baseline { 1.0 } else { up } * (now - self.baseline);
    }

    /// The latency to expect for so much work where nothing is crowded; `most` for the class's mean request.
    pub(crate) fn baseline_latency(&self, work: f64, most: f64) -> f64 {
        self.baseline.min(most / self.work) * work
    }

    /// The latency to expect for so much work.
    pub(crate) fn latency(&self, work: f64) -> f64 {
        match self.samples > 0.0 {
            true => self.time / self.work * work,
            false => self.time,
        }
    }
}

impl PendingRequest {
    pub(crate) fn out(&self) -> usize {
        self.attempts.iter().filter(|t| t.outcome.is_none()).count()
    }
    /// The first attempt that is not known never to have run.
    pub(crate) fn first_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|t| !t.outcome.is_some_and(AttemptOutcome::never_started))
    }
    /// What is left of the time in which repeats are dropped, where one might run twice.
    pub(crate) fn window_left(&self, class: &Class, now: f64) -> Option<f64> {
        let first = self
            .first_run()
            .filter(|_| matches!(class.idempotency, Idempotency::IdempotencyKey { .. }))?;
        Some(first.sent + class.idempotency_window - now)
    }
}

impl Upstream {
    pub(crate) fn new(entry: UpstreamEntry) -> Self {
        let (out, consecutive_rejections, suspected_draining, started, returned) =
            Default::default();
        let (in_flight, queue, next_turn, idle, learned) = Default::default();
        Upstream {
            entry,
            out,
            consecutive_rejections,
            suspected_draining,
            started,
            returned,
            in_flight,
            queue,
            next_turn,
            idle,
            learned,
        }
    }

    /// The list and the operators let it have calls, and so does itself as far as can be known.
    pub(crate) fn is_available(&self) -> bool {
        self.entry.state == UpstreamState::Active && !self.out && !self.suspected_draining
    }

    /// Counts the calls that it has turned away in a row; whether they are so many that it may be draining.
    pub(crate) fn rejects_everything(&mut self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Rejected => self.consecutive_rejections += 1,
            AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::InvalidResponse => {
                self.consecutive_rejections = 0
            }
            _ => {}
        }
        self.consecutive_rejections >= TURNED_AWAY
    }

    /// The list has been heard, and goes before what was thought meanwhile.
    pub(crate) fn clear(&mut self) {
        (self.consecutive_rejections, self.suspected_draining) = (0, false);
    }

    /// Slow start lets it have a further part of a turn.
    pub(crate) fn allow(&mut self, part: f64) {
        self.learned.slow_start_tokens = (self.learned.slow_start_tokens + part).min(1.0);
    }

    /// The share of its work that it can do at the least by now.
    pub(crate) fn slow_start_share(&self, rules: &Rules, now: f64) -> f64 {
        rules.slow_start_share(self.started.max(self.returned), now)
    }
}
