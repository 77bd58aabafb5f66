//! Every decision of the balancer; its settings, events and actions are beside it.
//!
//! After "Limit upstream module for nginx": a balancer counts its calls in flight at each upstream. A call
//! takes the round-robin turn over upstreams under their limit, else waits in the queue of one of them until
//! a finishing call frees a slot, and is given up when its hold time runs out. In order of a call's life.

use crate::decision::poll_schedule::{PollSchedule, POLL_TIMER};
use crate::decision::start_time::StartTimeEstimator;
use crate::decision::state::*;
use crate::decision::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};

/// Calls that all callers together are presumed to keep in flight at one upstream, to begin with ("a few").
const FEW_CALLS: f64 = 2.0;
/// Upstreams that a caller turns over at the least, so that it has somewhere to go when some fail.
const LEAST_SUBSET: usize = 3;
/// Calls that may wait for each call that an upstream's slice lets run.
const BACKLOG_PER_SLOT: f64 = 8.0;
/// Share of the time left after the usual latency that a call may be held; twice it where late answers earn.
const HOLD_SHARE: f64 = 0.4;
/// A silence this many times the usual latency marks an upstream as hung.
const SILENCE: f64 = 6.0;
/// Answers take this share of what their aim leaves beyond the calm latency, on the mean: slices and
/// the subset are narrowed, not widened.
const CROWDED: f64 = 0.25;
/// A class that takes more than this share of its aim on the mean is not calm, whatever was seen of it: a
/// caller may have started in a crowd.
const CALM: f64 = 0.5;
/// Weight of one sample in a moving mean.
const GAIN: f64 = 0.1;
/// Part of a call by which a slice widens with each answer until the caller first meets a crowd.
const START: f64 = 0.5;
/// Share of the answered calls that may be tried again after an attempt that may have run.
const RETRY_SHARE: f64 = 0.02;
/// What a try after a spoilt answer or a broken connection takes of that share. Guards against giving up, or
/// passing up as an error, what is known to have met no crowd: the retries that make a jam worse are those
/// after errors and silence. Still bounded, to a tenth of the answered calls: could hurt where the breaking
/// itself comes with load.
const BROKEN_RETRY: f64 = 0.2;
/// Most of a caller's upstreams are not left out together, whatever is thought of them.
const PANIC_SHARE: f64 = 0.5;
/// An outlier is ejected for this many usual latencies, doubled by each failure up to `MOST_FAILURES`.
const EJECTION_TIME: f64 = 4.0;
const MOST_FAILURES: i32 = 4;
/// Part of a call that slow start counts where answers do not keep up with calls. Guards against standing
/// still where all upstreams are cold and none has answered yet.
const UNANSWERED: f64 = 0.1;
/// An upstream whose share of errors in a class is by so much larger than that of its peers fails by itself.
const OUTLIER: f64 = 0.3;
/// An upstream is believed to serve until seen otherwise, as if it had answered so many calls.
const BELIEF: f64 = 3.0;
/// Share of the time that the pass of a crowded caller is open where an even slice would be less.
const OPEN: f64 = 0.5;
/// A refused client comes back after this share of the usual latency: of a few calls, one has ended by then.
const COME_BACK: f64 = 0.25;
/// Rotation by which a heavy call is taken for more than one, and usual latencies that its loss counts for, at
/// the most.
const MOST_EXCESS: f64 = 4.0;

/// One balancer.
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) now: f64,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) rotation: Rotation,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// Calls that came while no upstream was listed.
    unassigned: VecDeque<RequestId>,
    /// Upstreams that the operators have left out, and since when.
    in_maintenance: BTreeMap<UpstreamId, f64>,
    /// Those put back: when, and whether they have had no call since.
    returned: BTreeMap<UpstreamId, (f64, bool)>,
    pub(crate) latency: Vec<LatencyEstimate>,
    pub(crate) tenant_rates: Vec<RequestRate>,
    retry_budget: f64,
    pub(crate) congestion: f64,
    poll_schedule: PollSchedule,
    start_times: StartTimeEstimator,
    idle_timeout: IdleTimeoutEstimator,
}

impl Balancer {
    /// A balancer that knows no upstream yet: give it an `Event::EndpointList` next.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let usual = |c: &Class| LatencyEstimate {
            time: c.latency_objective / SILENCE,
            work: 1.0,
            samples: 0.0,
            baseline: 0.0,
        };
        let most = settings.limits.connection_idle_timeout;
        Ok(Balancer {
            latency: settings.classes.iter().map(usual).collect(),
            tenant_rates: settings
                .tenants
                .iter()
                .map(|_| RequestRate::default())
                .collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            upstreams: BTreeMap::new(),
            rotation: Rotation {
                pass: 1.0,
                ..Rotation::default()
            },
            requests: BTreeMap::new(),
            unassigned: VecDeque::new(),
            in_maintenance: BTreeMap::new(),
            returned: BTreeMap::new(),
            retry_budget: 1.0,
            congestion: 0.0,
            poll_schedule: PollSchedule::default(),
            start_times: StartTimeEstimator::new(now),
            idle_timeout: IdleTimeoutEstimator {
                trust: most,
                at: now,
                doubt: 0.0,
                doubted: most,
            },
            settings: settings,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointList { scope, endpoints } => self.on_list(scope, endpoints, actions),
            Event::Maintenance { upstream, change } => {
                self.on_maintenance(upstream, change == Maintenance::Begin, actions)
            }
            Event::Request(request) => self.on_request(request, actions),
            Event::UploadCompleted(id) => self.on_written(id),
            Event::ResponseStarted(id) => self
                .requests
                .get_mut(&id)
                .into_iter()
                .for_each(|c| c.concluded = true),
            Event::AttemptEnded(end) => self.on_outcome(end, actions),
            Event::ClientDisconnected(id) => self.conclude(id, actions),
            Event::TimerFired(POLL_TIMER) => actions.push(self.poll_schedule.ask(self.now)),
            Event::TimerFired(token) => self.on_timer(RequestId(token), actions),
        }
    }

    /// Requests open, slots taken (both 0 when all is done), and upstreams listed or with calls in flight.
    pub fn load(&self) -> (usize, usize, usize) {
        let slots = self.upstreams.values().map(|u| u.in_flight.len()).sum();
        (self.requests.len(), slots, self.upstreams.len())
    }

    /// Upstreams of the list that get no call of any class now, though the list would let them.
    pub fn excluded(&self) -> usize {
        let avoided = |u: &&Upstream| {
            !u.is_available()
                || (0..self.settings.classes.len()).all(|class| !self.is_eligible(u, class))
        };
        let on = self
            .upstreams
            .values()
            .filter(|u| u.entry.state == UpstreamState::Active);
        on.filter(avoided).count()
    }

    fn on_list(
        &mut self,
        scope: ListScope,
        entries: Vec<UpstreamEntry>,
        actions: &mut Vec<Action>,
    ) {
        self.poll_schedule
            .note(scope, &self.settings, self.now, &mut self.rng, actions);
        if !self.poll_schedule.is_stale() {
            self.upstreams.values_mut().for_each(Upstream::clear);
        }
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.upstreams
                .values_mut()
                .for_each(|u| u.entry.state = UpstreamState::Removed);
        }
        for entry in entries {
            let fresh = self.initial_stats();
            let u = self
                .upstreams
                .entry(entry.id)
                .or_insert_with(|| Upstream::new(entry.clone()));
            // A restarted process: nothing learned of the old one holds, but what is in flight there
            // still frees its slots by its own outcomes.
            if u.learned.limit_multiplier == 0.0 || u.entry.started_at != entry.started_at {
                (u.learned, u.returned) = (fresh, 0.0);
                u.started = self.start_times.began(entry.started_at, self.now);
            }
            u.out = self.in_maintenance.contains_key(&entry.id);
            u.entry = entry;
        }
        self.start_times.note(scope, self.now);
        self.endpoints_changed(actions);
    }

    /// The operators' word goes before that of discovery, which may tell of a restart late or not at all:
    /// what comes back counts as cold unless it is known to be warm.
    fn on_maintenance(&mut self, upstream: UpstreamId, out: bool, actions: &mut Vec<Action>) {
        let fresh = self.initial_stats();
        let known = match out {
            true => Some(*self.in_maintenance.entry(upstream).or_insert(self.now)),
            false => self.in_maintenance.remove(&upstream),
        };
        let Some(left) = known else { return };
        self.returned.remove(&upstream);
        self.returned
            .extend((!out).then_some((upstream, (self.now, true))));
        let Some(u) = self.upstreams.get_mut(&upstream).filter(|u| u.out != out) else {
            return;
        };
        u.out = out;
        if !out {
            u.returned = if u.started < left { self.now } else { 0.0 };
            u.learned = fresh;
        }
        self.endpoints_changed(actions);
    }

    /// What is thought of an upstream of which nothing is known.
    fn initial_stats(&mut self) -> UpstreamStats {
        let health = || OutlierStats {
            last_response: self.now,
            ..OutlierStats::default()
        };
        let health = (0..=self.settings.classes.len())
            .map(|_| health())
            .collect();
        UpstreamStats {
            limit_multiplier: 1.0,
            slow_start_tokens: self.rng.random(),
            health,
            ..UpstreamStats::default()
        }
    }

    /// Another upstream may be used, or one no more.
    fn endpoints_changed(&mut self, actions: &mut Vec<Action>) {
        self.choose_subset();
        // Calls held for an upstream that drains or went, or for any at all, find another place.
        let mut moving = std::mem::take(&mut self.unassigned);
        for u in self.upstreams.values_mut().filter(|u| !u.is_available()) {
            moving.append(&mut u.queue);
        }
        moving.into_iter().for_each(|id| self.assign(id, actions));
        self.upstreams
            .retain(|_, u| u.entry.state == UpstreamState::Active || !u.in_flight.is_empty());
    }

    /// Guards against a limit that is void because callers outnumber it: each caller turns over an even
    /// subset of the fleet, of its own zone where crossing is priced, just large enough for whole slices.
    fn choose_subset(&mut self) {
        let on: Vec<_> = self
            .upstreams
            .values()
            .filter(|u| u.is_available())
            .collect();
        let (listed, peers) = (on.len(), self.settings.peer_count);
        let few = FEW_CALLS * (self.settings.tier_count - self.settings.tier) as f64;
        let size = ((few * listed as f64 / peers as f64).ceil() as usize)
            .max(LEAST_SUBSET)
            .min(listed);
        let far = |u: &Upstream| {
            self.settings.prices.cross_zone > 0.0 && u.entry.zone != self.settings.zone
        };
        let near = on.iter().filter(|u| !far(u)).count();
        let pool = if near >= LEAST_SUBSET { near } else { listed };
        let least = size.min(pool);
        let subsets = (pool / size.max(1)).max(1);
        let rank = if near >= LEAST_SUBSET {
            self.settings.peer_index / self.settings.zone_count
        } else {
            self.settings.peer_index
        };
        let round = (rank / subsets) as u64;
        let shuffled = |id: u64| Pcg64Mcg::seed_from_u64(id.wrapping_add(round)).random::<u64>();
        let key = |u: &&Upstream| (far(u), shuffled(u.entry.id.0), u.entry.id);
        let mut order: Vec<_> = on.iter().map(|u| (key(u), u.entry.id)).collect();
        order.sort();
        self.rotation.order = order.into_iter().map(|(_, id)| id).collect();
        self.rotation.order[..pool].rotate_left((rank % subsets * size).min(pool));
        self.rotation.min_subset_size = least as f64;
        self.rotation.subset_size = self
            .rotation
            .subset_size
            .clamp(self.rotation.min_subset_size, listed as f64);
        self.rotation.even_slots = few * listed as f64 / (least * peers).max(1) as f64;
        self.rotation.slots_per_upstream = self.rotation.even_slots.max(1.0);
    }

    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Request {
            id,
            class,
            tenant,
            remaining,
            cost_hint,
            streamed,
        } = request;
        let Some(c) = self
            .settings
            .classes
            .get(class)
            .filter(|_| !self.requests.contains_key(&id))
        else {
            return;
        };
        let work = cost_hint.filter(|h| *h > 0.0).unwrap_or(1.0);
        let usual = self.latency[class].latency(work);
        // At the entry a call is shed while its aim can still be met by others; deeper, work has been spent
        // on it above, so it waits as long as an answer can still come.
        let patience = if c.late_response_weight > 0.0 {
            2.0 * HOLD_SHARE
        } else {
            HOLD_SHARE
        };
        let left = match self.settings.tier {
            0 => remaining.min(patience * (c.latency_objective - usual).max(usual)),
            _ => remaining - (usual / 2.0).min(remaining / 2.0),
        };
        let (deadline, queue_deadline) = (self.now + remaining, self.now + left);
        let quota = self
            .settings
            .tenants
            .get(tenant)
            .map_or(0.0, |t| t.quota_per_second)
            / self.settings.peer_count as f64;
        let over = self
            .tenant_rates
            .get_mut(tenant)
            .map_or(0.0, |r| r.beyond(quota, self.now, c.deadline));
        let short_deadline = remaining < c.latency_objective;
        let call = PendingRequest {
            class,
            deadline,
            work,
            over,
            queue_deadline,
            short_deadline,
            streamed,
            ..PendingRequest::default()
        };
        self.slow_start();
        self.requests.insert(id, call);
        self.assign(id, actions);
    }

    /// Worth for the time a call takes, from which it is woken or shed when there is not enough for all.
    /// Guards the other tenants against one that sends more than its share.
    fn value(&self, id: RequestId) -> f64 {
        let call = &self.requests[&id];
        let priority_weight = self.settings.classes[call.class].priority_weight
            * if self.settings.weight_by_work {
                call.work
            } else {
                1.0
            };
        let over = call.over * (1.0 - self.settings.over_quota_weight);
        priority_weight * (1.0 - over) / self.usual_of(id)
    }

    /// The latency to expect for this call.
    fn usual_of(&self, id: RequestId) -> f64 {
        self.latency[self.requests[&id].class].latency(self.requests[&id].work)
    }

    /// Sends the call if the turn finds a ready upstream, else holds it.
    fn assign(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.requests.get(&id).filter(|c| !c.concluded) else {
            return;
        };
        if call.queue_deadline < self.now && call.attempts.is_empty() {
            return self.give_up(id, actions);
        }
        match self.select_upstream(id) {
            Some(upstream) => self.send(id, upstream, actions),
            None => self.enqueue(id, actions),
        }
    }

    /// The round-robin turn, among the upstreams of the subset that are ready for this call. One that the
    /// operators have put back goes first, once. Guards against one that they see idle because the caller has
    /// gone back to fewer upstreams meanwhile.
    fn select_upstream(&self, id: RequestId) -> Option<UpstreamId> {
        let panic = self.in_panic_mode(self.requests[&id].class);
        let owed = self.returned.iter().filter(|(_, (_, owed))| *owed);
        let mut back = owed.filter_map(|(id, _)| self.upstreams.get(id));
        let back = back
            .find(|u| self.accepts(u, id, panic))
            .map(|u| u.entry.id);
        back.or_else(|| {
            self.next_in_rotation(|u| self.accepts(u, id, panic).then_some(self.excess(id)))
        })
    }

    /// Guards against leaving out so many for a class that the rest is pushed over, or that its calls are
    /// turned away while trouble deeper down is blamed on all.
    fn in_panic_mode(&self, class: usize) -> bool {
        let within = &self.rotation.order[..self.rotation.subset_size as usize];
        let unfit = within
            .iter()
            .filter(|u| !self.is_eligible(&self.upstreams[u], class))
            .count();
        unfit as f64 > PANIC_SHARE * within.len() as f64
    }

    /// The upstream in turn of those that may take part; calls ahead of it there count as rotation.
    fn next_in_rotation(&self, ahead: impl Fn(&Upstream) -> Option<f64>) -> Option<UpstreamId> {
        let due = |u: &Upstream| {
            Some(u.next_turn.max(self.rotation.virtual_time) + self.pace(u) * ahead(u)?)
        };
        let within = self.rotation.split().0.iter().map(|id| &self.upstreams[id]);
        Some(
            within
                .filter_map(|u| Some((due(u)?, u.entry.id)))
                .min_by(|a, b| a.0.total_cmp(&b.0))?
                .1,
        )
    }

    /// The turns that a call heavier than the usual one takes beyond its own. Guards against heavy calls that
    /// are late on slow upstreams: counted to their end, turns take them to fast ones. Hints are rough,
    /// so the excess is bounded.
    fn excess(&self, id: RequestId) -> f64 {
        let (work, usual) = (
            self.requests[&id].work,
            &self.latency[self.requests[&id].class],
        );
        if usual.samples > 0.0 {
            (work / usual.work - 1.0).clamp(0.0, MOST_EXCESS)
        } else {
            0.0
        }
    }

    /// Guards against a slow upstream that gathers as many calls as a fast one: turns are even in the time
    /// that calls take, not in calls. What a caller has seen of an upstream is little, so its machine kind
    /// stands in for it at first. Could hurt where a kind is slow for one class only.
    fn pace(&self, u: &Upstream) -> f64 {
        let kind = self
            .rotation
            .kind_latency
            .get(&u.entry.machine_kind)
            .copied()
            .unwrap_or(1.0);
        let sure = u.learned.answers / (u.learned.answers + 1.0 / GAIN);
        kind + sure * (u.learned.pace - kind)
    }

    /// Under its slice, or with nothing in flight from here (the pass).
    fn accepts(&self, u: &Upstream, id: RequestId, panic: bool) -> bool {
        let busy = u.in_flight.len() as f64;
        let under = busy == 0.0
            || busy + 1.0 <= self.rotation.slots_per_upstream * u.learned.limit_multiplier;
        let warm = u.learned.slow_start_tokens >= 1.0
            || u.slow_start_share(&self.settings.rules, self.now) == 1.0;
        let open = self.now >= u.learned.paused_until && warm;
        under
            && open
            && (panic || self.is_eligible(u, self.requests[&id].class))
            && self.may_attempt(id, u)
    }

    /// Guards against pushing over a cold upstream, also when the others are down: each call that comes
    /// entitles each upstream of the subset to an even part of a turn, a cold one to its warm share of it.
    /// None is saved up outside, lest many callers whose subset widens together spend it at once; but for
    /// one that operators have put back, for which each call counts as one over the whole list. The
    /// fleet outside gives it as much as its own callers then, so while it may be cold, each side gives half.
    fn slow_start(&mut self) {
        let counted = self.rotation.count(UNANSWERED);
        let (within, beyond) = self.rotation.split();
        let all = self.rotation.order.len() as f64;
        let owed = beyond
            .iter()
            .filter(|id| self.returned.get(id).is_some_and(|(_, owed)| *owed));
        let owed = owed.map(|id| (id, all));
        for (id, among) in within
            .iter()
            .map(|id| (id, self.rotation.subset_size))
            .chain(owed)
        {
            let returned = self
                .returned
                .get(id)
                .is_some_and(|(at, _)| self.now - at < self.settings.rules.slow_start_window);
            let sides = if returned && self.rotation.min_subset_size < all {
                2.0
            } else {
                1.0
            };
            let u = self.upstreams.get_mut(id).expect("listed");
            u.allow(counted * u.slow_start_share(&self.settings.rules, self.now) / among / sides);
        }
    }

    /// Guards against an upstream that is hung, dead, or fails one class while it serves the others: no
    /// turns while it is silent for far longer than calls take, nor while it is ejected; then one
    /// call at a time until one is answered. Judged for all calls there, and for those of each class.
    fn is_eligible(&self, u: &Upstream, class: usize) -> bool {
        let well = |scope: usize, calls: usize| {
            let h = &u.learned.health[scope];
            self.now >= h.ejected_until && (h.consecutive_failures == 0 || calls == 0)
        };
        let (mut same, mut overdue, mut unheard) = (0, false, 0);
        for f in &u.in_flight {
            same += usize::from(f.class == class);
            // Guards against an upstream that loses a part of one class's calls: those that it answers don't
            // excuse the one that is overdue.
            if self.overdue(f) {
                overdue |= f.class == class;
                unheard += usize::from(u.learned.health[0].last_response <= f.sent);
            }
        }
        let silent = unheard > 1 || (overdue || unheard > 0) && !self.loses_as_peers(u);
        !silent && well(0, u.in_flight.len()) && well(1 + class, same)
    }

    /// Guards against leaving out one upstream after the other where calls are lost on the way to any of
    /// them: a single loss there says nothing of the upstream. Could hurt where all but one hang in turn.
    fn loses_as_peers(&self, u: &Upstream) -> bool {
        let within = self
            .rotation
            .split()
            .0
            .iter()
            .filter(|id| **id != u.entry.id);
        let shares = within.map(|id| self.upstreams[id].learned.silent_loss_rate);
        let (sum, peers) =
            shares.fold((0.0, 0.0), |(sum, peers), share| (sum + share, peers + 1.0));
        sum > 0.0 && u.learned.silent_loss_rate <= 2.0 * sum / peers
    }

    fn overdue(&self, f: &InFlightAttempt) -> bool {
        self.now - f.upload_completed_at > SILENCE * f.usual
    }

    /// What the class's effect, the list and the limits allow.
    fn may_attempt(&self, id: RequestId, u: &Upstream) -> bool {
        let (call, limits) = (&self.requests[&id], &self.settings.limits);
        let open = u.is_available() && !call.concluded;
        let tried = call.attempts.iter().any(|t| t.to.id == u.entry.id);
        let spent = call.attempts.len() >= limits.max_attempts as usize
            || (call.out() > 0 && !limits.hedging_allowed);
        if !open || tried || spent || self.now >= call.deadline {
            return false;
        }
        let class = &self.settings.classes[call.class];
        let Some(first) = call.first_run() else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { scope } => {
                let in_group = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => first.to.zone == u.entry.zone,
                    DeduplicationScope::Cell => first.to.cell == u.entry.cell,
                };
                in_group
                    && call
                        .window_left(class, self.now)
                        .is_some_and(|left| left > self.settings.event_interval)
            }
        }
    }

    fn send(&mut self, id: RequestId, upstream: UpstreamId, actions: &mut Vec<Action>) {
        // Hints are rough: no silence is measured by less than the usual work.
        let class = &self.latency[self.requests[&id].class];
        let usual = self.usual_of(id).max(class.latency(class.work));
        let (pace, sent) = (self.pace(&self.upstreams[&upstream]), self.now);
        let idle = self.open_connection(upstream, actions);
        let call = self
            .requests
            .get_mut(&id)
            .expect("a call being sent is known");
        let u = self
            .upstreams
            .get_mut(&upstream)
            .expect("a chosen upstream is listed");
        self.returned
            .entry(upstream)
            .and_modify(|(_, owed)| *owed = false);
        u.learned.slow_start_tokens = (u.learned.slow_start_tokens - 1.0).max(0.0);
        call.queued_at = None;
        let within = call.window_left(&self.settings.classes[call.class], sent);
        call.attempts.push(Attempt {
            to: u.entry.clone(),
            sent,
            outcome: None,
        });
        let (class, whole) = (call.class, if call.streamed { f64::INFINITY } else { sent });
        u.in_flight.push(InFlightAttempt {
            id,
            class,
            sent,
            upload_completed_at: whole,
            usual,
            idle,
        });
        self.rotation.virtual_time = self.rotation.virtual_time.max(u.next_turn);
        u.next_turn = self.rotation.virtual_time + pace;
        actions.push(Action::StartAttempt {
            id,
            upstream,
            write_within: within,
        });
        if self.settings.classes[class].idempotency != Idempotency::NonIdempotent
            && sent + SILENCE * usual < call.deadline
        {
            self.set_timer(id, SILENCE * usual, actions);
        }
    }

    /// Guards against taking the time in which a client sends for silence of the upstream.
    fn on_written(&mut self, id: RequestId) {
        let Some(call) = self.requests.get_mut(&id) else {
            return;
        };
        call.streamed = false;
        let to = call
            .attempts
            .last()
            .and_then(|t| self.upstreams.get_mut(&t.to.id));
        let flight = to.and_then(|u| u.in_flight.iter_mut().find(|f| f.id == id));
        flight
            .into_iter()
            .for_each(|f| f.upload_completed_at = self.now);
    }

    /// Guards against connections that were dropped unseen while idle: those idle for longer than is trusted
    /// are closed before use. Returns for how long the one to be used was idle. Costs handshakes, if it errs.
    fn open_connection(&mut self, upstream: UpstreamId, actions: &mut Vec<Action>) -> f64 {
        let most = self.settings.limits.connection_idle_timeout;
        self.idle_timeout.regain(self.now, most);
        let idle = &mut self
            .upstreams
            .get_mut(&upstream)
            .expect("a chosen upstream is listed")
            .idle;
        idle.retain(|since| self.now - since < most);
        if idle
            .first()
            .is_some_and(|since| self.now - since > self.idle_timeout.trust)
        {
            idle.clear();
            actions.push(Action::CloseIdleConnections { upstream });
        }
        idle.pop().map_or(0.0, |since| self.now - since)
    }

    fn set_timer(&self, id: RequestId, after: f64, actions: &mut Vec<Action>) {
        // A microsecond more, lest rounding lets the timer come before its time.
        actions.push(Action::SetTimer {
            after: after.max(0.0) + 1e-6,
            token: id.0,
        });
    }

    /// Puts the call into the queue of the upstream whose turn it is; a full queue turns it to the next.
    fn enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.rotation.order.is_empty() {
            self.unassigned.push_back(id);
            let call = self.requests.get_mut(&id).expect("held");
            call.queue_deadline = call.deadline;
            return self.set_timer(id, self.requests[&id].deadline - self.now, actions);
        }
        self.rotation.request_queued = true;
        let class = self.requests[&id].class;
        let panic = self.in_panic_mode(class);
        let room = |u: &Upstream| {
            let backlog = BACKLOG_PER_SLOT
                * (self.rotation.slots_per_upstream * u.learned.limit_multiplier).max(1.0);
            (u.queue.len() as f64) < backlog
                && (panic || self.is_eligible(u, class))
                && self.may_attempt(id, u)
        };
        let Some(at) = self.next_in_rotation(|u| room(u).then_some(u.queue.len() as f64)) else {
            return self.give_up(id, actions);
        };
        self.upstreams
            .get_mut(&at)
            .expect("listed")
            .queue
            .push_back(id);
        self.requests.get_mut(&id).expect("held").queued_at = Some(at);
        self.set_timer(id, self.requests[&id].queue_deadline - self.now, actions);
        self.wake(at, actions);
    }

    fn dequeue(&mut self, id: RequestId) {
        let call = self.requests.get_mut(&id).expect("known");
        if let Some(u) = call
            .queued_at
            .take()
            .and_then(|at| self.upstreams.get_mut(&at))
        {
            u.queue.retain(|held| *held != id);
        }
    }

    fn on_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.requests.get(&id).filter(|c| !c.concluded) else {
            return;
        };
        if call.out() == 0 && self.now >= call.queue_deadline {
            return self.give_up(id, actions);
        }
        if call.queued_at.is_some() {
            return self
                .select_upstream(id)
                .into_iter()
                .for_each(|free| self.wake(free, actions));
        }
        // Guards against a call that was lost in silence: where a repeat is allowed, it goes elsewhere once
        // it has taken far longer than calls do; as a second copy if two may be out.
        let only = call
            .attempts
            .last()
            .filter(|t| call.out() == 1 && t.outcome.is_none());
        let hung = |u: &&Upstream| u.in_flight.iter().any(|f| f.id == id && self.overdue(f));
        if self.retry_budget < 1.0
            || only
                .and_then(|t| self.upstreams.get(&t.to.id))
                .filter(hung)
                .is_none()
        {
            return;
        }
        if !self.settings.limits.hedging_allowed && self.settings.limits.cancellation_allowed {
            actions.push(Action::CancelAttempt {
                id,
                attempt: call.attempts.len() as u32 - 1,
            });
        } else if let Some(upstream) = self.select_upstream(id) {
            self.retry_budget -= 1.0;
            self.send(id, upstream, actions);
        }
    }

    fn on_outcome(&mut self, end: AttemptResult, actions: &mut Vec<Action>) {
        let Some(call) = self.requests.get_mut(&end.id) else {
            return;
        };
        let tried = call.attempts.get_mut(end.attempt as usize);
        let Some(tried) = tried.filter(|t| t.outcome.is_none()) else {
            return;
        };
        tried.outcome = Some(end.outcome);
        let upstream = tried.to.id;
        self.record_result(upstream, &end, actions);
        if end.request_concluded || end.outcome == AttemptOutcome::Success {
            self.conclude(end.id, actions);
        }
        // Guards against a leak of calls whose last attempt ends after their answer.
        self.forget(end.id);
        if self
            .requests
            .get(&end.id)
            .is_some_and(|c| !c.concluded && c.out() == 0)
        {
            self.retry(end.id, end.outcome, actions);
        }
        self.suspect_draining(upstream, end.outcome, actions);
        self.wake(upstream, actions);
    }

    /// Guards against an upstream that drains while the list can't be heard: one that turns away call after
    /// call is taken at its word until then. Not where so many do: they are crowded.
    fn suspect_draining(
        &mut self,
        upstream: UpstreamId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let away = self
            .upstreams
            .get_mut(&upstream)
            .is_some_and(|u| u.rejects_everything(outcome) && u.is_available());
        let suspected_draining = || {
            self.upstreams
                .values()
                .filter(|u| u.suspected_draining)
                .count() as f64
        };
        let few = |n: f64| n < PANIC_SHARE * (self.rotation.order.len() as f64 + n);
        if away && self.poll_schedule.is_stale() && few(suspected_draining()) {
            self.upstreams
                .entry(upstream)
                .and_modify(|u| u.suspected_draining = true);
            let text = "left out until the list is heard, as it turns all away".into();
            actions.push(Action::Log {
                upstream: Some(upstream),
                text,
            });
            self.endpoints_changed(actions);
        }
    }

    /// Frees the attempt's slot, and widens or narrows the upstream's slice.
    fn record_result(
        &mut self,
        upstream: UpstreamId,
        end: &AttemptResult,
        actions: &mut Vec<Action>,
    ) {
        let PendingRequest {
            class,
            work,
            short_deadline,
            ..
        } = self.requests[&end.id];
        let u = self
            .upstreams
            .get_mut(&upstream)
            .expect("kept while in flight");
        let Some(slot) = u.in_flight.iter().position(|f| f.id == end.id) else {
            return;
        };
        let (flight, kind) = (u.in_flight.remove(slot), u.entry.machine_kind);
        // Guards against belief where there is learned_state: an idle connection may have been closed since.
        let idle = end.connection_idle.unwrap_or(flight.idle);
        use AttemptOutcome::{
            Cancelled, ConnectFailed, Error, InvalidResponse, Rejected, Reset, Success, TimedOut,
        };
        let kept = matches!(end.outcome, Success | Error | Rejected);
        let answer = kept || end.outcome == InvalidResponse;
        // Guards against blaming the upstream for a client that gives up before the aim.
        let long = end.elapsed > SILENCE * flight.usual;
        let lost = end.outcome == Cancelled && long
            || end.outcome == TimedOut && (long || !short_deadline)
            || matches!(end.outcome, ConnectFailed | Reset);
        if kept && (self.settings.limits.streams_per_connection == 1 || u.in_flight.is_empty()) {
            u.idle.push(self.now);
        }
        let u = &mut u.learned;
        // A reset on an idle connection, or silence on one and then an answer on a fresher one, speaks for
        // connections dropped while idle; an answer on one as old speaks against it. So does a reset on one
        // that was new, or idle for no longer than it is quiet during a call: connections break anyway.
        let idled = idle > flight.usual;
        // One that comes before any work could be done.
        let broken = end.outcome == Reset && end.elapsed < GAIN * flight.usual;
        let old = match broken {
            true if idled => idle,
            false if answer && idle < u.suspect_idle_time / 2.0 => u.suspect_idle_time,
            _ => 0.0,
        };
        self.idle_timeout.weigh(
            old,
            broken,
            if answer { idle } else { 0.0 },
            self.settings.limits.connection_idle_timeout,
        );
        u.suspect_idle_time = if lost && idled && end.outcome != Reset {
            idle
        } else {
            0.0
        };
        // A connection that may have been dropped while idle says nothing of the upstream.
        let stale = lost && idle > self.idle_timeout.trust || end.outcome == Reset && idle > 0.0;
        match end.outcome {
            Success => {
                let pace =
                    (end.elapsed / self.latency[class].latency(work)).clamp(1.0 / SILENCE, SILENCE);
                let kind = self.rotation.kind_latency.entry(kind).or_insert(1.0);
                *kind += GAIN * (pace - *kind);
                u.answers += 1.0;
                u.pace += GAIN.max(1.0 / u.answers) * (pace - u.pace);
                self.retry_budget = (self.retry_budget + RETRY_SHARE).min(10.0);
                self.latency[class].add(end.elapsed, work, GAIN);
                // Guards against taking work that fills much of the aim, or bad luck of some calls, for a
                // crowd: that makes what is beyond the calm latency, and shows in most answers.
                let latency_objective = self.settings.classes[class].latency_objective
                    * self.settings.remaining_tier_share();
                let calm = self.latency[class].baseline_latency(work, CALM * latency_objective);
                if calm < latency_objective {
                    let risen = ((end.elapsed - calm) / (latency_objective - calm))
                        .clamp(-1.0, 2.0 * CROWDED);
                    self.congestion += GAIN * (risen - self.congestion);
                }
                // Deeper, a call that waits keeps a slot above, and what comes is bounded there.
                let crowded = self.settings.tier == 0 && self.congestion > CROWDED;
                self.rotation.congestion_seen |= crowded;
                // Guards against a caller that starts again and, wide as it was before, turns calls away for
                // long: until it meets a crowd, its slices grow by a share of themselves.
                let step = if self.rotation.congestion_seen {
                    GAIN
                } else {
                    START
                };
                // A call that had to wait lets one answer widen: first the subset, then the slices. Without
                // such need both go back.
                let (most, request_queued) = (
                    self.rotation.order.len() as f64,
                    std::mem::take(&mut self.rotation.request_queued),
                );
                if u.limit_multiplier < 1.0 {
                    // Guards against a slot that is lost for good to one failure, be it a spoilt answer, an
                    // error from a tier behind or a time-out: limits are in whole calls, so what it took from
                    // an even slice comes back all the way. Could hurt where an upstream fails up to a half
                    // of its calls for being crowded: its slice stays even.
                    u.limit_multiplier = (u.limit_multiplier + GAIN).min(1.0);
                } else if crowded || !request_queued {
                    let back = if crowded { GAIN } else { GAIN * GAIN };
                    u.limit_multiplier += back * (1.0 - u.limit_multiplier);
                } else if self.rotation.subset_size == most {
                    u.limit_multiplier += step / self.rotation.slots_per_upstream;
                }
                // Guards against a pass from each of many callers, which voids the limit: it rests.
                let pass = if crowded && self.rotation.even_slots < OPEN {
                    OPEN
                } else {
                    1.0
                };
                self.rotation.pass += GAIN * (pass - self.rotation.pass);
                let steps = if request_queued {
                    [0.5, -0.5]
                } else {
                    [-GAIN, -0.5]
                };
                self.rotation.subset_size =
                    (self.rotation.subset_size + steps[usize::from(crowded)]).clamp(
                        self.rotation.min_subset_size,
                        most.max(self.rotation.min_subset_size),
                    );
            }
            // Not a spoilt answer, which says nothing of the upstream's load.
            Error => u.limit_multiplier *= 1.0 - GAIN,
            // Guards against a full upstream drawing every call, as nothing of ours is in flight there.
            Rejected => u.paused_until = self.now + flight.usual,
            ConnectFailed | Reset | TimedOut
                if u.health[0].last_response <= flight.sent && !stale =>
            {
                // Guards against narrowing for a connection that broke by itself: where the process is gone,
                // the next doesn't come up either.
                let single = end.outcome != TimedOut && u.health[0].consecutive_failures == 0;
                u.limit_multiplier *= if single { 1.0 - GAIN } else { 0.5 };
            }
            _ => {}
        }
        u.limit_multiplier = u
            .limit_multiplier
            .max(0.5 / self.rotation.slots_per_upstream);
        u.paused_until = u
            .paused_until
            .max(self.now + end.elapsed * (1.0 / self.rotation.pass - 1.0));
        if answer && end.outcome != Rejected {
            self.rotation
                .gain_headroom(&self.upstreams, &self.settings.rules, self.now);
        }
        if (answer || lost) && !stale {
            self.detect_outlier(upstream, &flight, end, lost, actions);
        }
    }

    /// Ejects an upstream for silent_loss_rate while it answered nothing, or one class at it also for one that was
    /// lost in silence, or for errors and turn-aways that its peers don't have.
    fn detect_outlier(
        &mut self,
        upstream: UpstreamId,
        f: &InFlightAttempt,
        end: &AttemptResult,
        lost: bool,
        actions: &mut Vec<Action>,
    ) {
        let outcome = end.outcome;
        // Guards against minutes of ejection after a heavy call. Hints are rough: what they add is bounded.
        let usual = f.usual.min(MOST_EXCESS * self.latency[f.class].time);
        let in_silence = lost
            && matches!(
                outcome,
                AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
            );
        let silent_loss_rate = &mut self
            .upstreams
            .get_mut(&upstream)
            .expect("kept while in flight")
            .learned
            .silent_loss_rate;
        *silent_loss_rate += GAIN * GAIN * (f64::from(u8::from(in_silence)) - *silent_loss_rate);
        let common = in_silence && self.loses_as_peers(&self.upstreams[&upstream]);
        // Guards against an upstream that fails fast and so is free soonest for the next call (a black hole),
        // be it a bad release, a full disk or a dependency that it alone has lost. Errors that all have, as
        // when they are passed up from a deeper tier, leave out none. Could hurt where few calls come: some
        // errors in a row by chance cost an ejection. Turning a class away counts as much: the call can go
        // elsewhere, but it has held a slot until it came back.
        let fault = matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Rejected);
        let within = self.rotation.split().0.iter().filter(|id| **id != upstream);
        let peers: Vec<_> = within
            .map(|id| &self.upstreams[id].learned.health)
            .collect();
        // Without peers there is nothing to compare with.
        let usual_faults = |scope: usize| {
            let sum: f64 = peers.iter().map(|health| health[scope].error_rate).sum();
            if peers.is_empty() {
                1.0
            } else {
                sum / peers.len() as f64
            }
        };
        let name = &self.settings.classes[f.class].name;
        let scopes =
            [(0, "all calls"), (1 + f.class, name)].map(|(n, what)| (n, what, usual_faults(n)));
        // Guards against learning once for each class what the calls of all classes tell together.
        let (mut fails_all, mut ejected, mut cleared, mut logged) = (false, 0.0, false, false);
        let health = &mut self
            .upstreams
            .get_mut(&upstream)
            .expect("kept while in flight")
            .learned
            .health;
        for (scope, what, usual_faults) in scopes {
            let h = &mut health[scope];
            h.last_response = if lost { h.last_response } else { self.now };
            if fault || outcome == AttemptOutcome::Success {
                h.answers += 1.0;
                h.error_rate += GAIN.max(1.0 / (h.answers + BELIEF))
                    * (f64::from(u8::from(fault)) - h.error_rate);
            }
            let outlier = h.error_rate > usual_faults + OUTLIER;
            fails_all |= scope == 0 && outlier;
            if outcome == AttemptOutcome::Success {
                cleared |= scope > 0 && h.consecutive_failures > 0;
                h.consecutive_failures = if outlier && scope > 0 {
                    h.consecutive_failures
                } else {
                    0
                };
            } else if lost && (h.last_response <= f.sent || in_silence && scope > 0 && !common)
                || fault && scope > 0 && (outlier || fails_all) && self.now >= h.ejected_until
            {
                h.consecutive_failures = (h.consecutive_failures + 1).min(MOST_FAILURES);
                // One connection that breaks says little: if the process is gone, the next doesn't come up.
                // Nor does one call that is lost where all lose some.
                let single = common
                    || matches!(
                        outcome,
                        AttemptOutcome::Reset | AttemptOutcome::ConnectFailed
                    );
                let first = if single { 2 } else { 1 };
                if h.consecutive_failures < first {
                    continue;
                }
                // Guards against losing one call after the other to a long silence: a trial may cost as
                // much again.
                let silence = if in_silence { end.elapsed } else { 0.0 };
                let time =
                    (EJECTION_TIME * usual * f64::from(1 << h.consecutive_failures)).max(silence);
                h.ejected_until = self.now + time;
                ejected = if scope > 0 { time } else { ejected };
                let text = format!("{what} ejected for {time:.1} s after {outcome:?}");
                let line = Action::Log {
                    upstream: Some(upstream),
                    text,
                };
                actions.extend((h.consecutive_failures == first && !logged).then_some(line));
                logged = true;
            }
        }
        // Guards against losing calls that can't be repeated to trials: where one that can be tells as much,
        // the others come after it, and wait longer if it fails.
        if self.settings.classes[f.class].idempotency != Idempotency::NonIdempotent
            && (ejected > 0.0 || cleared)
        {
            let after = if cleared {
                self.now
            } else {
                self.now + 2.0 * ejected
            };
            for (h, class) in health[1..].iter_mut().zip(&self.settings.classes) {
                if h.consecutive_failures > 0 && class.idempotency == Idempotency::NonIdempotent {
                    h.ejected_until = if cleared {
                        h.ejected_until.min(after)
                    } else {
                        h.ejected_until.max(after)
                    };
                }
            }
        }
    }

    /// The call's last attempt came back without an answer: once more, if that does no harm and can help.
    fn retry(&mut self, id: RequestId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let call = &self.requests[&id];
        let until = call.deadline - self.usual_of(id) / 2.0;
        let price = match outcome {
            AttemptOutcome::InvalidResponse | AttemptOutcome::Reset => BROKEN_RETRY,
            outcome if outcome.never_started() => 0.0,
            _ => 1.0,
        };
        if self.now > until || self.retry_budget < price || outcome == AttemptOutcome::NotSent {
            return self.give_up(id, actions);
        }
        self.retry_budget -= price;
        self.assign(id, actions);
    }

    /// A freed slot goes to the upstream's own queue, else to the longest queue of the caller's others.
    fn wake(&mut self, upstream: UpstreamId, actions: &mut Vec<Action>) {
        loop {
            let u = &self.upstreams[&upstream];
            let longest = |a: &&UpstreamId| (self.upstreams[a].queue.len(), std::cmp::Reverse(**a));
            let other = || self.rotation.split().0.iter().max_by_key(longest);
            let from = Some(&upstream)
                .filter(|_| !u.queue.is_empty())
                .or_else(other)
                .unwrap_or(&upstream);
            let queue = self.upstreams[from].queue.iter().rev().copied();
            let Some(id) = queue.max_by(|a, b| self.value(*a).total_cmp(&self.value(*b))) else {
                return;
            };
            if !self.accepts(u, id, self.in_panic_mode(self.requests[&id].class)) {
                let rest = u.learned.paused_until - self.now;
                if rest > 0.0 {
                    self.set_timer(id, rest, actions);
                }
                return;
            }
            self.dequeue(id);
            self.send(id, upstream, actions);
        }
    }

    /// The final answer where none came: refused where that is true, else failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let call = &self.requests[&id];
        let harmless = match self.settings.classes[call.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
            } => true,
            _ => call.first_run().is_none(),
        };
        // Guards against clients that guess when to ask again: too soon it finds all full, later it is late.
        let retry_after = self
            .settings
            .limits
            .max_retry_after
            .map(|most| most.min(COME_BACK * self.usual_of(id)));
        actions.push(if harmless {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.conclude(id, actions);
    }

    /// Nothing is owed any more: the call leaves its queue, and what is out is called off.
    fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.requests.get_mut(&id).filter(|c| !c.concluded) else {
            return;
        };
        call.concluded = true;
        if self.settings.limits.cancellation_allowed {
            let out = call
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, t)| t.outcome.is_none());
            actions.extend(out.map(|(n, _)| Action::CancelAttempt {
                id,
                attempt: n as u32,
            }));
        }
        self.dequeue(id);
        self.unassigned.retain(|held| *held != id);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|c| c.concluded && c.out() == 0)
        {
            self.requests.remove(&id);
        }
    }
}
