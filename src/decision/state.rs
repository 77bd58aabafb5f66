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
pub(crate) struct Turns {
    /// Listed upstreams in this caller's own order; the first `subset` of them are turned over, `least_subset`
    /// of them at the least.
    pub(crate) order: Vec<UpstreamId>,
    pub(crate) least_subset: f64,
    pub(crate) subset: f64,
    /// Calls that one upstream lets this caller have in flight, before it is widened or narrowed.
    pub(crate) slice: f64,
    /// The same where callers share it evenly; may be under one.
    pub(crate) even: f64,
    /// Share of its time that the pass is open.
    pub(crate) pass: f64,
    /// Answers have been late for the crowd at least once.
    pub(crate) met_crowd: bool,
    /// A call had to wait since the last answer.
    pub(crate) pressed: bool,
    /// Where the turn stands, in the same measure as `Upstream::due`.
    pub(crate) turn: f64,
    /// Latency at each machine kind, over the usual.
    pub(crate) paces: BTreeMap<usize, f64>,
    /// Calls that slow start counts in full before more answers come.
    pub(crate) headroom: f64,
}

impl Turns {
    /// The upstreams turned over, and those that are not.
    pub(crate) fn split(&self) -> (&[UpstreamId], &[UpstreamId]) {
        self.order.split_at(self.subset as usize)
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
                    busy + u.flights.len() as f64,
                )
            });
        let more = rules.overload_multiple / 2.0 * all / warm;
        self.headroom = (self.headroom + more).min(FEW_ANSWERS + busy);
    }

    /// The part of one more call that slow start counts, `least` of it in any case.
    pub(crate) fn count(&mut self, least: f64) -> f64 {
        let counted = self.headroom.clamp(least, 1.0);
        self.headroom = (self.headroom - 1.0).max(0.0);
        counted
    }
}

/// How long an idle connection is trusted, and signs that this is too long.
pub(crate) struct IdleTrust {
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

impl IdleTrust {
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
pub(crate) struct Flight {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) sent: f64,
    /// When its upstream had all of it; far off while its client still sends it.
    pub(crate) whole: f64,
    pub(crate) usual: f64,
    /// For how long its connection had been idle.
    pub(crate) idle: f64,
}

pub(crate) struct Upstream {
    pub(crate) entry: UpstreamEntry,
    /// The operators have it left out.
    pub(crate) out: bool,
    /// Calls turned away in a row, and whether it is taken for one that drains for that.
    pub(crate) turned_away: u32,
    pub(crate) suspected: bool,
    /// When it is taken to have started; 0 means long ago.
    pub(crate) started: f64,
    /// When they put it back, if it may have been restarted since it was last known to start.
    pub(crate) returned: f64,
    pub(crate) flights: Vec<Flight>,
    pub(crate) queue: VecDeque<RequestId>,
    /// When its next turn is, in turns taken.
    pub(crate) due: f64,
    /// Since when its idle connections are idle, as far as can be known.
    pub(crate) idle: Vec<f64>,
    pub(crate) learned: Learned,
}

/// What a caller thinks of an upstream; void once its process restarts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Learned {
    /// Its slice over the even one.
    pub(crate) width: f64,
    /// Its latency over the usual, and the answers that say so.
    pub(crate) pace: f64,
    pub(crate) answers: f64,
    /// Of all calls, then of each class.
    pub(crate) health: Vec<Health>,
    /// Share of its calls that were lost in silence, as a slow moving mean.
    pub(crate) losses: f64,
    pub(crate) full_until: f64,
    /// How long the connection had been idle on which the last call was lost in silence; 0: none was.
    pub(crate) suspect: f64,
    /// Part of a turn that slow start lets it have by now.
    #[serde(rename = "credit", alias = "allowance")]
    pub(crate) allowance: f64,
}

impl Learned {
    /// All moments in it.
    pub(crate) fn moments(&mut self) -> impl Iterator<Item = &mut f64> {
        let health = self
            .health
            .iter_mut()
            .flat_map(|health| [&mut health.heard, &mut health.ejected_until]);
        health.chain([&mut self.full_until])
    }
}

/// How the calls of one scope fare at an upstream.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Health {
    /// When one was last answered.
    pub(crate) heard: f64,
    /// Share of errors and turn-aways among its answers, as a moving mean, and how many there were.
    pub(crate) faults: f64,
    pub(crate) answers: f64,
    /// Failures in a row that speak for ejecting it.
    #[serde(rename = "strikes", alias = "failures")]
    pub(crate) failures: i32,
    #[serde(rename = "rest_until", alias = "ejected_until")]
    pub(crate) ejected_until: f64,
}

pub(crate) struct Try {
    pub(crate) to: UpstreamEntry,
    pub(crate) sent: f64,
    pub(crate) outcome: Option<AttemptOutcome>,
}

#[derive(Default)]
pub(crate) struct Call {
    pub(crate) class: usize,
    pub(crate) deadline: f64,
    pub(crate) work: f64,
    /// The part of its tenant's traffic that was beyond its share when it came.
    pub(crate) over: f64,
    pub(crate) tries: Vec<Try>,
    /// Its client waits for less than the aim.
    pub(crate) hurried: bool,
    /// Its body still comes.
    pub(crate) streamed: bool,
    pub(crate) held_at: Option<UpstreamId>,
    pub(crate) hold_until: f64,
    pub(crate) concluded: bool,
}

/// Requests a second of one tenant, as a fading mean, and when that was.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Rate {
    mean: f64,
    at: f64,
}

impl Rate {
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
pub(crate) struct Usual {
    pub(crate) time: f64,
    pub(crate) work: f64,
    pub(crate) samples: f64,
    /// Latency of a unit of work when it was least of late.
    pub(crate) calm: f64,
}

impl Usual {
    /// Takes in one answered attempt; `least` is the least weight of a sample.
    pub(crate) fn add(&mut self, time: f64, work: f64, least: f64) {
        self.samples += 1.0;
        let gain = least.max(1.0 / self.samples);
        self.time += gain * (time - self.time);
        self.work += gain * (work - self.work);
        // Follows the mean down at once, but up so slowly that no crowd of some seconds is taken for calm.
        let now = self.time / self.work;
        let up = if gain > least { 1.0 } else { least.powi(3) };
        self.calm += if now < self.calm { 1.0 } else { up } * (now - self.calm);
    }

    /// The latency to expect for so much work where nothing is crowded; `most` for the class's mean request.
    pub(crate) fn calm_latency(&self, work: f64, most: f64) -> f64 {
        self.calm.min(most / self.work) * work
    }

    /// The latency to expect for so much work.
    pub(crate) fn latency(&self, work: f64) -> f64 {
        match self.samples > 0.0 {
            true => self.time / self.work * work,
            false => self.time,
        }
    }
}

impl Call {
    pub(crate) fn out(&self) -> usize {
        self.tries.iter().filter(|t| t.outcome.is_none()).count()
    }
    /// The first attempt that is not known never to have run.
    pub(crate) fn first_run(&self) -> Option<&Try> {
        self.tries
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
        let (out, turned_away, suspected, started, returned) = Default::default();
        let (flights, queue, due, idle, learned) = Default::default();
        Upstream {
            entry,
            out,
            turned_away,
            suspected,
            started,
            returned,
            flights,
            queue,
            due,
            idle,
            learned,
        }
    }

    /// The list and the operators let it have calls, and so does itself as far as can be known.
    pub(crate) fn is_on(&self) -> bool {
        self.entry.state == UpstreamState::Active && !self.out && !self.suspected
    }

    /// Counts the calls that it has turned away in a row; whether they are so many that it may be draining.
    pub(crate) fn turns_all_away(&mut self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::Rejected => self.turned_away += 1,
            AttemptOutcome::Success | AttemptOutcome::Error | AttemptOutcome::InvalidResponse => {
                self.turned_away = 0
            }
            _ => {}
        }
        self.turned_away >= TURNED_AWAY
    }

    /// The list has been heard, and goes before what was thought meanwhile.
    pub(crate) fn clear(&mut self) {
        (self.turned_away, self.suspected) = (0, false);
    }

    /// Slow start lets it have a further part of a turn.
    pub(crate) fn allow(&mut self, part: f64) {
        self.learned.allowance = (self.learned.allowance + part).min(1.0);
    }

    /// The share of its work that it can do at the least by now.
    pub(crate) fn slow_start_share(&self, rules: &Rules, now: f64) -> f64 {
        rules.slow_start_share(self.started.max(self.returned), now)
    }
}
