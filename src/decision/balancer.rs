//! Every decision of the balancer; its settings, events and actions are beside it.
//!
//! After "Limit upstream module for nginx": a balancer counts its calls in flight at each upstream. A call
//! takes the round-robin turn over upstreams under their limit, else waits in the queue of one of them until
//! a finishing call frees a slot, and is given up when its hold time runs out. In order of a call's life.

use crate::decision::poll_schedule::{Asking, POLL_TIMER};
use crate::decision::start_time::Starts;
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
/// Turns by which a heavy call is taken for more than one, and usual latencies that its loss counts for, at
/// the most.
const MOST_EXCESS: f64 = 4.0;

/// One balancer.
pub struct Balancer {
    pub(crate) cfg: Settings,
    rng: Pcg64Mcg,
    pub(crate) now: f64,
    pub(crate) upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(crate) turns: Turns,
    calls: BTreeMap<RequestId, Call>,
    /// Calls that came while no upstream was listed.
    unplaced: VecDeque<RequestId>,
    /// Upstreams that the operators have left out, and since when.
    out: BTreeMap<UpstreamId, f64>,
    /// Those put back: when, and whether they have had no call since.
    back: BTreeMap<UpstreamId, (f64, bool)>,
    pub(crate) usual: Vec<Usual>,
    pub(crate) rates: Vec<Rate>,
    retries: f64,
    pub(crate) strain: f64,
    asking: Asking,
    starts: Starts,
    idle: IdleTrust,
}

impl Balancer {
    /// A balancer that knows no upstream yet: give it an `Event::EndpointList` next.
    pub fn new(settings: Settings, seed: u64, now: f64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let usual = |c: &Class| Usual {
            time: c.latency_objective / SILENCE,
            work: 1.0,
            samples: 0.0,
            calm: 0.0,
        };
        let most = settings.limits.connection_idle_timeout;
        Ok(Balancer {
            usual: settings.classes.iter().map(usual).collect(),
            rates: settings.tenants.iter().map(|_| Rate::default()).collect(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            upstreams: BTreeMap::new(),
            turns: Turns {
                pass: 1.0,
                ..Turns::default()
            },
            calls: BTreeMap::new(),
            unplaced: VecDeque::new(),
            out: BTreeMap::new(),
            back: BTreeMap::new(),
            retries: 1.0,
            strain: 0.0,
            asking: Asking::default(),
            starts: Starts::new(now),
            idle: IdleTrust {
                trust: most,
                at: now,
                doubt: 0.0,
                doubted: most,
            },
            cfg: settings,
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
                .calls
                .get_mut(&id)
                .into_iter()
                .for_each(|c| c.concluded = true),
            Event::AttemptEnded(end) => self.on_outcome(end, actions),
            Event::ClientDisconnected(id) => self.conclude(id, actions),
            Event::TimerFired(POLL_TIMER) => actions.push(self.asking.ask(self.now)),
            Event::TimerFired(token) => self.on_timer(RequestId(token), actions),
        }
    }

    /// Requests open, slots taken (both 0 when all is done), and upstreams listed or with calls in flight.
    pub fn load(&self) -> (usize, usize, usize) {
        let slots = self.upstreams.values().map(|u| u.flights.len()).sum();
        (self.calls.len(), slots, self.upstreams.len())
    }

    /// Upstreams of the list that get no call of any class now, though the list would let them.
    pub fn excluded(&self) -> usize {
        let avoided = |u: &&Upstream| {
            !u.is_on() || (0..self.cfg.classes.len()).all(|class| !self.fit(u, class))
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
        self.asking
            .note(scope, &self.cfg, self.now, &mut self.rng, actions);
        if !self.asking.is_stale() {
            self.upstreams.values_mut().for_each(Upstream::clear);
        }
        if matches!(scope, ListScope::Full | ListScope::Cached) {
            self.upstreams
                .values_mut()
                .for_each(|u| u.entry.state = UpstreamState::Removed);
        }
        for entry in entries {
            let fresh = self.unlearned();
            let u = self
                .upstreams
                .entry(entry.id)
                .or_insert_with(|| Upstream::new(entry.clone()));
            // A restarted process: nothing learned of the old one holds, but what is in flight there
            // still frees its slots by its own outcomes.
            if u.learned.width == 0.0 || u.entry.started_at != entry.started_at {
                (u.learned, u.returned) = (fresh, 0.0);
                u.started = self.starts.began(entry.started_at, self.now);
            }
            u.out = self.out.contains_key(&entry.id);
            u.entry = entry;
        }
        self.starts.note(scope, self.now);
        self.relist(actions);
    }

    /// The operators' word goes before that of discovery, which may tell of a restart late or not at all:
    /// what comes back counts as cold unless it is known to be warm.
    fn on_maintenance(&mut self, upstream: UpstreamId, out: bool, actions: &mut Vec<Action>) {
        let fresh = self.unlearned();
        let known = match out {
            true => Some(*self.out.entry(upstream).or_insert(self.now)),
            false => self.out.remove(&upstream),
        };
        let Some(left) = known else { return };
        self.back.remove(&upstream);
        self.back
            .extend((!out).then_some((upstream, (self.now, true))));
        let Some(u) = self.upstreams.get_mut(&upstream).filter(|u| u.out != out) else {
            return;
        };
        u.out = out;
        if !out {
            u.returned = if u.started < left { self.now } else { 0.0 };
            u.learned = fresh;
        }
        self.relist(actions);
    }

    /// What is thought of an upstream of which nothing is known.
    fn unlearned(&mut self) -> Learned {
        let health = || Health {
            heard: self.now,
            ..Health::default()
        };
        let health = (0..=self.cfg.classes.len()).map(|_| health()).collect();
        Learned {
            width: 1.0,
            allowance: self.rng.random(),
            health,
            ..Learned::default()
        }
    }

    /// Another upstream may be used, or one no more.
    fn relist(&mut self, actions: &mut Vec<Action>) {
        self.divide_fleet();
        // Calls held for an upstream that drains or went, or for any at all, find another place.
        let mut moving = std::mem::take(&mut self.unplaced);
        for u in self.upstreams.values_mut().filter(|u| !u.is_on()) {
            moving.append(&mut u.queue);
        }
        moving.into_iter().for_each(|id| self.place(id, actions));
        self.upstreams
            .retain(|_, u| u.entry.state == UpstreamState::Active || !u.flights.is_empty());
    }

    /// Guards against a limit that is void because callers outnumber it: each caller turns over an even
    /// subset of the fleet, of its own zone where crossing is priced, just large enough for whole slices.
    fn divide_fleet(&mut self) {
        let on: Vec<_> = self.upstreams.values().filter(|u| u.is_on()).collect();
        let (listed, peers) = (on.len(), self.cfg.peer_count);
        let few = FEW_CALLS * (self.cfg.tier_count - self.cfg.tier) as f64;
        let size = ((few * listed as f64 / peers as f64).ceil() as usize)
            .max(LEAST_SUBSET)
            .min(listed);
        let far = |u: &Upstream| self.cfg.prices.cross_zone > 0.0 && u.entry.zone != self.cfg.zone;
        let near = on.iter().filter(|u| !far(u)).count();
        let pool = if near >= LEAST_SUBSET { near } else { listed };
        let least = size.min(pool);
        let subsets = (pool / size.max(1)).max(1);
        let rank = if near >= LEAST_SUBSET {
            self.cfg.peer_index / self.cfg.zone_count
        } else {
            self.cfg.peer_index
        };
        let round = (rank / subsets) as u64;
        let shuffled = |id: u64| Pcg64Mcg::seed_from_u64(id.wrapping_add(round)).random::<u64>();
        let key = |u: &&Upstream| (far(u), shuffled(u.entry.id.0), u.entry.id);
        let mut order: Vec<_> = on.iter().map(|u| (key(u), u.entry.id)).collect();
        order.sort();
        self.turns.order = order.into_iter().map(|(_, id)| id).collect();
        self.turns.order[..pool].rotate_left((rank % subsets * size).min(pool));
        self.turns.least_subset = least as f64;
        self.turns.subset = self
            .turns
            .subset
            .clamp(self.turns.least_subset, listed as f64);
        self.turns.even = few * listed as f64 / (least * peers).max(1) as f64;
        self.turns.slice = self.turns.even.max(1.0);
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
            .cfg
            .classes
            .get(class)
            .filter(|_| !self.calls.contains_key(&id))
        else {
            return;
        };
        let work = cost_hint.filter(|h| *h > 0.0).unwrap_or(1.0);
        let usual = self.usual[class].latency(work);
        // At the entry a call is shed while its aim can still be met by others; deeper, work has been spent
        // on it above, so it waits as long as an answer can still come.
        let patience = if c.late_response_weight > 0.0 {
            2.0 * HOLD_SHARE
        } else {
            HOLD_SHARE
        };
        let left = match self.cfg.tier {
            0 => remaining.min(patience * (c.latency_objective - usual).max(usual)),
            _ => remaining - (usual / 2.0).min(remaining / 2.0),
        };
        let (deadline, hold_until) = (self.now + remaining, self.now + left);
        let quota = self
            .cfg
            .tenants
            .get(tenant)
            .map_or(0.0, |t| t.quota_per_second)
            / self.cfg.peer_count as f64;
        let over = self
            .rates
            .get_mut(tenant)
            .map_or(0.0, |r| r.beyond(quota, self.now, c.deadline));
        let hurried = remaining < c.latency_objective;
        let call = Call {
            class,
            deadline,
            work,
            over,
            hold_until,
            hurried,
            streamed,
            ..Call::default()
        };
        self.slow_start();
        self.calls.insert(id, call);
        self.place(id, actions);
    }

    /// Worth for the time a call takes, from which it is woken or shed when there is not enough for all.
    /// Guards the other tenants against one that sends more than its share.
    fn value(&self, id: RequestId) -> f64 {
        let call = &self.calls[&id];
        let priority_weight = self.cfg.classes[call.class].priority_weight
            * if self.cfg.weight_by_work {
                call.work
            } else {
                1.0
            };
        let over = call.over * (1.0 - self.cfg.over_quota_weight);
        priority_weight * (1.0 - over) / self.usual_of(id)
    }

    /// The latency to expect for this call.
    fn usual_of(&self, id: RequestId) -> f64 {
        self.usual[self.calls[&id].class].latency(self.calls[&id].work)
    }

    /// Sends the call if the turn finds a ready upstream, else holds it.
    fn place(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.concluded) else {
            return;
        };
        if call.hold_until < self.now && call.tries.is_empty() {
            return self.give_up(id, actions);
        }
        match self.take_turn(id) {
            Some(upstream) => self.send(id, upstream, actions),
            None => self.hold(id, actions),
        }
    }

    /// The round-robin turn, among the upstreams of the subset that are ready for this call. One that the
    /// operators have put back goes first, once. Guards against one that they see idle because the caller has
    /// gone back to fewer upstreams meanwhile.
    fn take_turn(&self, id: RequestId) -> Option<UpstreamId> {
        let panic = self.panic(self.calls[&id].class);
        let owed = self.back.iter().filter(|(_, (_, owed))| *owed);
        let mut back = owed.filter_map(|(id, _)| self.upstreams.get(id));
        let back = back.find(|u| self.ready(u, id, panic)).map(|u| u.entry.id);
        back.or_else(|| self.first_due(|u| self.ready(u, id, panic).then_some(self.excess(id))))
    }

    /// Guards against leaving out so many for a class that the rest is pushed over, or that its calls are
    /// turned away while trouble deeper down is blamed on all.
    fn panic(&self, class: usize) -> bool {
        let within = &self.turns.order[..self.turns.subset as usize];
        let unfit = within
            .iter()
            .filter(|u| !self.fit(&self.upstreams[u], class))
            .count();
        unfit as f64 > PANIC_SHARE * within.len() as f64
    }

    /// The upstream in turn of those that may take part; calls ahead of it there count as turns.
    fn first_due(&self, ahead: impl Fn(&Upstream) -> Option<f64>) -> Option<UpstreamId> {
        let due = |u: &Upstream| Some(u.due.max(self.turns.turn) + self.pace(u) * ahead(u)?);
        let within = self.turns.split().0.iter().map(|id| &self.upstreams[id]);
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
        let (work, usual) = (self.calls[&id].work, &self.usual[self.calls[&id].class]);
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
            .turns
            .paces
            .get(&u.entry.machine_kind)
            .copied()
            .unwrap_or(1.0);
        let sure = u.learned.answers / (u.learned.answers + 1.0 / GAIN);
        kind + sure * (u.learned.pace - kind)
    }

    /// Under its slice, or with nothing in flight from here (the pass).
    fn ready(&self, u: &Upstream, id: RequestId, panic: bool) -> bool {
        let busy = u.flights.len() as f64;
        let under = busy == 0.0 || busy + 1.0 <= self.turns.slice * u.learned.width;
        let warm =
            u.learned.allowance >= 1.0 || u.slow_start_share(&self.cfg.rules, self.now) == 1.0;
        let open = self.now >= u.learned.full_until && warm;
        under && open && (panic || self.fit(u, self.calls[&id].class)) && self.may_send(id, u)
    }

    /// Guards against pushing over a cold upstream, also when the others are down: each call that comes
    /// entitles each upstream of the subset to an even part of a turn, a cold one to its warm share of it.
    /// None is saved up outside, lest many callers whose subset widens together spend it at once; but for
    /// one that operators have put back, for which each call counts as one over the whole list. The
    /// fleet outside gives it as much as its own callers then, so while it may be cold, each side gives half.
    fn slow_start(&mut self) {
        let counted = self.turns.count(UNANSWERED);
        let (within, beyond) = self.turns.split();
        let all = self.turns.order.len() as f64;
        let owed = beyond
            .iter()
            .filter(|id| self.back.get(id).is_some_and(|(_, owed)| *owed));
        let owed = owed.map(|id| (id, all));
        for (id, among) in within.iter().map(|id| (id, self.turns.subset)).chain(owed) {
            let returned = self
                .back
                .get(id)
                .is_some_and(|(at, _)| self.now - at < self.cfg.rules.slow_start_window);
            let sides = if returned && self.turns.least_subset < all {
                2.0
            } else {
                1.0
            };
            let u = self.upstreams.get_mut(id).expect("listed");
            u.allow(counted * u.slow_start_share(&self.cfg.rules, self.now) / among / sides);
        }
    }

    /// Guards against an upstream that is hung, dead, or fails one class while it serves the others: no
    /// turns while it is silent for far longer than calls take, nor while it is ejected; then one
    /// call at a time until one is answered. Judged for all calls there, and for those of each class.
    fn fit(&self, u: &Upstream, class: usize) -> bool {
        let well = |scope: usize, calls: usize| {
            let h = &u.learned.health[scope];
            self.now >= h.ejected_until && (h.failures == 0 || calls == 0)
        };
        let (mut same, mut overdue, mut unheard) = (0, false, 0);
        for f in &u.flights {
            same += usize::from(f.class == class);
            // Guards against an upstream that loses a part of one class's calls: those that it answers don't
            // excuse the one that is overdue.
            if self.overdue(f) {
                overdue |= f.class == class;
                unheard += usize::from(u.learned.health[0].heard <= f.sent);
            }
        }
        let silent = unheard > 1 || (overdue || unheard > 0) && !self.loses_as_others(u);
        !silent && well(0, u.flights.len()) && well(1 + class, same)
    }

    /// Guards against leaving out one upstream after the other where calls are lost on the way to any of
    /// them: a single loss there says nothing of the upstream. Could hurt where all but one hang in turn.
    fn loses_as_others(&self, u: &Upstream) -> bool {
        let within = self.turns.split().0.iter().filter(|id| **id != u.entry.id);
        let shares = within.map(|id| self.upstreams[id].learned.losses);
        let (sum, peers) =
            shares.fold((0.0, 0.0), |(sum, peers), share| (sum + share, peers + 1.0));
        sum > 0.0 && u.learned.losses <= 2.0 * sum / peers
    }

    fn overdue(&self, f: &Flight) -> bool {
        self.now - f.whole > SILENCE * f.usual
    }

    /// What the class's effect, the list and the limits allow.
    fn may_send(&self, id: RequestId, u: &Upstream) -> bool {
        let (call, limits) = (&self.calls[&id], &self.cfg.limits);
        let open = u.is_on() && !call.concluded;
        let tried = call.tries.iter().any(|t| t.to.id == u.entry.id);
        let spent = call.tries.len() >= limits.max_attempts as usize
            || (call.out() > 0 && !limits.hedging_allowed);
        if !open || tried || spent || self.now >= call.deadline {
            return false;
        }
        let class = &self.cfg.classes[call.class];
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
                        .is_some_and(|left| left > self.cfg.event_interval)
            }
        }
    }

    fn send(&mut self, id: RequestId, upstream: UpstreamId, actions: &mut Vec<Action>) {
        // Hints are rough: no silence is measured by less than the usual work.
        let class = &self.usual[self.calls[&id].class];
        let usual = self.usual_of(id).max(class.latency(class.work));
        let (pace, sent) = (self.pace(&self.upstreams[&upstream]), self.now);
        let idle = self.open_connection(upstream, actions);
        let call = self.calls.get_mut(&id).expect("a call being sent is known");
        let u = self
            .upstreams
            .get_mut(&upstream)
            .expect("a chosen upstream is listed");
        self.back
            .entry(upstream)
            .and_modify(|(_, owed)| *owed = false);
        u.learned.allowance = (u.learned.allowance - 1.0).max(0.0);
        call.held_at = None;
        let within = call.window_left(&self.cfg.classes[call.class], sent);
        call.tries.push(Try {
            to: u.entry.clone(),
            sent,
            outcome: None,
        });
        let (class, whole) = (call.class, if call.streamed { f64::INFINITY } else { sent });
        u.flights.push(Flight {
            id,
            class,
            sent,
            whole,
            usual,
            idle,
        });
        self.turns.turn = self.turns.turn.max(u.due);
        u.due = self.turns.turn + pace;
        actions.push(Action::StartAttempt {
            id,
            upstream,
            write_within: within,
        });
        if self.cfg.classes[class].idempotency != Idempotency::NonIdempotent
            && sent + SILENCE * usual < call.deadline
        {
            self.wake_me(id, SILENCE * usual, actions);
        }
    }

    /// Guards against taking the time in which a client sends for silence of the upstream.
    fn on_written(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.streamed = false;
        let to = call
            .tries
            .last()
            .and_then(|t| self.upstreams.get_mut(&t.to.id));
        let flight = to.and_then(|u| u.flights.iter_mut().find(|f| f.id == id));
        flight.into_iter().for_each(|f| f.whole = self.now);
    }

    /// Guards against connections that were dropped unseen while idle: those idle for longer than is trusted
    /// are closed before use. Returns for how long the one to be used was idle. Costs handshakes, if it errs.
    fn open_connection(&mut self, upstream: UpstreamId, actions: &mut Vec<Action>) -> f64 {
        let most = self.cfg.limits.connection_idle_timeout;
        self.idle.regain(self.now, most);
        let idle = &mut self
            .upstreams
            .get_mut(&upstream)
            .expect("a chosen upstream is listed")
            .idle;
        idle.retain(|since| self.now - since < most);
        if idle
            .first()
            .is_some_and(|since| self.now - since > self.idle.trust)
        {
            idle.clear();
            actions.push(Action::CloseIdleConnections { upstream });
        }
        idle.pop().map_or(0.0, |since| self.now - since)
    }

    fn wake_me(&self, id: RequestId, after: f64, actions: &mut Vec<Action>) {
        // A microsecond more, lest rounding lets the timer come before its time.
        actions.push(Action::SetTimer {
            after: after.max(0.0) + 1e-6,
            token: id.0,
        });
    }

    /// Puts the call into the queue of the upstream whose turn it is; a full queue turns it to the next.
    fn hold(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.turns.order.is_empty() {
            self.unplaced.push_back(id);
            let call = self.calls.get_mut(&id).expect("held");
            call.hold_until = call.deadline;
            return self.wake_me(id, self.calls[&id].deadline - self.now, actions);
        }
        self.turns.pressed = true;
        let class = self.calls[&id].class;
        let panic = self.panic(class);
        let room = |u: &Upstream| {
            let backlog = BACKLOG_PER_SLOT * (self.turns.slice * u.learned.width).max(1.0);
            (u.queue.len() as f64) < backlog
                && (panic || self.fit(u, class))
                && self.may_send(id, u)
        };
        let Some(at) = self.first_due(|u| room(u).then_some(u.queue.len() as f64)) else {
            return self.give_up(id, actions);
        };
        self.upstreams
            .get_mut(&at)
            .expect("listed")
            .queue
            .push_back(id);
        self.calls.get_mut(&id).expect("held").held_at = Some(at);
        self.wake_me(id, self.calls[&id].hold_until - self.now, actions);
        self.wake(at, actions);
    }

    fn unhold(&mut self, id: RequestId) {
        let call = self.calls.get_mut(&id).expect("known");
        if let Some(u) = call
            .held_at
            .take()
            .and_then(|at| self.upstreams.get_mut(&at))
        {
            u.queue.retain(|held| *held != id);
        }
    }

    fn on_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id).filter(|c| !c.concluded) else {
            return;
        };
        if call.out() == 0 && self.now >= call.hold_until {
            return self.give_up(id, actions);
        }
        if call.held_at.is_some() {
            return self
                .take_turn(id)
                .into_iter()
                .for_each(|free| self.wake(free, actions));
        }
        // Guards against a call that was lost in silence: where a repeat is allowed, it goes elsewhere once
        // it has taken far longer than calls do; as a second copy if two may be out.
        let only = call
            .tries
            .last()
            .filter(|t| call.out() == 1 && t.outcome.is_none());
        let hung = |u: &&Upstream| u.flights.iter().any(|f| f.id == id && self.overdue(f));
        if self.retries < 1.0
            || only
                .and_then(|t| self.upstreams.get(&t.to.id))
                .filter(hung)
                .is_none()
        {
            return;
        }
        if !self.cfg.limits.hedging_allowed && self.cfg.limits.cancellation_allowed {
            actions.push(Action::CancelAttempt {
                id,
                attempt: call.tries.len() as u32 - 1,
            });
        } else if let Some(upstream) = self.take_turn(id) {
            self.retries -= 1.0;
            self.send(id, upstream, actions);
        }
    }

    fn on_outcome(&mut self, end: AttemptResult, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&end.id) else {
            return;
        };
        let tried = call.tries.get_mut(end.attempt as usize);
        let Some(tried) = tried.filter(|t| t.outcome.is_none()) else {
            return;
        };
        tried.outcome = Some(end.outcome);
        let upstream = tried.to.id;
        self.learn(upstream, &end, actions);
        if end.request_concluded || end.outcome == AttemptOutcome::Success {
            self.conclude(end.id, actions);
        }
        // Guards against a leak of calls whose last attempt ends after their answer.
        self.forget(end.id);
        if self
            .calls
            .get(&end.id)
            .is_some_and(|c| !c.concluded && c.out() == 0)
        {
            self.again(end.id, end.outcome, actions);
        }
        self.suspect_drain(upstream, end.outcome, actions);
        self.wake(upstream, actions);
    }

    /// Guards against an upstream that drains while the list can't be heard: one that turns away call after
    /// call is taken at its word until then. Not where so many do: they are crowded.
    fn suspect_drain(
        &mut self,
        upstream: UpstreamId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let away = self
            .upstreams
            .get_mut(&upstream)
            .is_some_and(|u| u.turns_all_away(outcome) && u.is_on());
        let suspected = || self.upstreams.values().filter(|u| u.suspected).count() as f64;
        let few = |n: f64| n < PANIC_SHARE * (self.turns.order.len() as f64 + n);
        if away && self.asking.is_stale() && few(suspected()) {
            self.upstreams
                .entry(upstream)
                .and_modify(|u| u.suspected = true);
            let text = "left out until the list is heard, as it turns all away".into();
            actions.push(Action::Log {
                upstream: Some(upstream),
                text,
            });
            self.relist(actions);
        }
    }

    /// Frees the attempt's slot, and widens or narrows the upstream's slice.
    fn learn(&mut self, upstream: UpstreamId, end: &AttemptResult, actions: &mut Vec<Action>) {
        let Call {
            class,
            work,
            hurried,
            ..
        } = self.calls[&end.id];
        let u = self
            .upstreams
            .get_mut(&upstream)
            .expect("kept while in flight");
        let Some(slot) = u.flights.iter().position(|f| f.id == end.id) else {
            return;
        };
        let (flight, kind) = (u.flights.remove(slot), u.entry.machine_kind);
        // Guards against belief where there is knowledge: an idle connection may have been closed since.
        let idle = end.connection_idle.unwrap_or(flight.idle);
        use AttemptOutcome::{
            Cancelled, ConnectFailed, Error, InvalidResponse, Rejected, Reset, Success, TimedOut,
        };
        let kept = matches!(end.outcome, Success | Error | Rejected);
        let answer = kept || end.outcome == InvalidResponse;
        // Guards against blaming the upstream for a client that gives up before the aim.
        let long = end.elapsed > SILENCE * flight.usual;
        let lost = end.outcome == Cancelled && long
            || end.outcome == TimedOut && (long || !hurried)
            || matches!(end.outcome, ConnectFailed | Reset);
        if kept && (self.cfg.limits.streams_per_connection == 1 || u.flights.is_empty()) {
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
            false if answer && idle < u.suspect / 2.0 => u.suspect,
            _ => 0.0,
        };
        self.idle.weigh(
            old,
            broken,
            if answer { idle } else { 0.0 },
            self.cfg.limits.connection_idle_timeout,
        );
        u.suspect = if lost && idled && end.outcome != Reset {
            idle
        } else {
            0.0
        };
        // A connection that may have been dropped while idle says nothing of the upstream.
        let stale = lost && idle > self.idle.trust || end.outcome == Reset && idle > 0.0;
        match end.outcome {
            Success => {
                let pace =
                    (end.elapsed / self.usual[class].latency(work)).clamp(1.0 / SILENCE, SILENCE);
                let kind = self.turns.paces.entry(kind).or_insert(1.0);
                *kind += GAIN * (pace - *kind);
                u.answers += 1.0;
                u.pace += GAIN.max(1.0 / u.answers) * (pace - u.pace);
                self.retries = (self.retries + RETRY_SHARE).min(10.0);
                self.usual[class].add(end.elapsed, work, GAIN);
                // Guards against taking work that fills much of the aim, or bad luck of some calls, for a
                // crowd: that makes what is beyond the calm latency, and shows in most answers.
                let latency_objective =
                    self.cfg.classes[class].latency_objective * self.cfg.remaining_tier_share();
                let calm = self.usual[class].calm_latency(work, CALM * latency_objective);
                if calm < latency_objective {
                    let risen = ((end.elapsed - calm) / (latency_objective - calm))
                        .clamp(-1.0, 2.0 * CROWDED);
                    self.strain += GAIN * (risen - self.strain);
                }
                // Deeper, a call that waits keeps a slot above, and what comes is bounded there.
                let crowded = self.cfg.tier == 0 && self.strain > CROWDED;
                self.turns.met_crowd |= crowded;
                // Guards against a caller that starts again and, wide as it was before, turns calls away for
                // long: until it meets a crowd, its slices grow by a share of themselves.
                let step = if self.turns.met_crowd { GAIN } else { START };
                // A call that had to wait lets one answer widen: first the subset, then the slices. Without
                // such need both go back.
                let (most, pressed) = (
                    self.turns.order.len() as f64,
                    std::mem::take(&mut self.turns.pressed),
                );
                if u.width < 1.0 {
                    // Guards against a slot that is lost for good to one failure, be it a spoilt answer, an
                    // error from a tier behind or a time-out: limits are in whole calls, so what it took from
                    // an even slice comes back all the way. Could hurt where an upstream fails up to a half
                    // of its calls for being crowded: its slice stays even.
                    u.width = (u.width + GAIN).min(1.0);
                } else if crowded || !pressed {
                    let back = if crowded { GAIN } else { GAIN * GAIN };
                    u.width += back * (1.0 - u.width);
                } else if self.turns.subset == most {
                    u.width += step / self.turns.slice;
                }
                // Guards against a pass from each of many callers, which voids the limit: it rests.
                let pass = if crowded && self.turns.even < OPEN {
                    OPEN
                } else {
                    1.0
                };
                self.turns.pass += GAIN * (pass - self.turns.pass);
                let steps = if pressed { [0.5, -0.5] } else { [-GAIN, -0.5] };
                self.turns.subset = (self.turns.subset + steps[usize::from(crowded)])
                    .clamp(self.turns.least_subset, most.max(self.turns.least_subset));
            }
            // Not a spoilt answer, which says nothing of the upstream's load.
            Error => u.width *= 1.0 - GAIN,
            // Guards against a full upstream drawing every call, as nothing of ours is in flight there.
            Rejected => u.full_until = self.now + flight.usual,
            ConnectFailed | Reset | TimedOut if u.health[0].heard <= flight.sent && !stale => {
                // Guards against narrowing for a connection that broke by itself: where the process is gone,
                // the next doesn't come up either.
                let single = end.outcome != TimedOut && u.health[0].failures == 0;
                u.width *= if single { 1.0 - GAIN } else { 0.5 };
            }
            _ => {}
        }
        u.width = u.width.max(0.5 / self.turns.slice);
        u.full_until = u
            .full_until
            .max(self.now + end.elapsed * (1.0 / self.turns.pass - 1.0));
        if answer && end.outcome != Rejected {
            self.turns
                .gain_headroom(&self.upstreams, &self.cfg.rules, self.now);
        }
        if (answer || lost) && !stale {
            self.detect_outlier(upstream, &flight, end, lost, actions);
        }
    }

    /// Ejects an upstream for losses while it answered nothing, or one class at it also for one that was
    /// lost in silence, or for errors and turn-aways that its peers don't have.
    fn detect_outlier(
        &mut self,
        upstream: UpstreamId,
        f: &Flight,
        end: &AttemptResult,
        lost: bool,
        actions: &mut Vec<Action>,
    ) {
        let outcome = end.outcome;
        // Guards against minutes of ejection after a heavy call. Hints are rough: what they add is bounded.
        let usual = f.usual.min(MOST_EXCESS * self.usual[f.class].time);
        let in_silence = lost
            && matches!(
                outcome,
                AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
            );
        let losses = &mut self
            .upstreams
            .get_mut(&upstream)
            .expect("kept while in flight")
            .learned
            .losses;
        *losses += GAIN * GAIN * (f64::from(u8::from(in_silence)) - *losses);
        let common = in_silence && self.loses_as_others(&self.upstreams[&upstream]);
        // Guards against an upstream that fails fast and so is free soonest for the next call (a black hole),
        // be it a bad release, a full disk or a dependency that it alone has lost. Errors that all have, as
        // when they are passed up from a deeper tier, leave out none. Could hurt where few calls come: some
        // errors in a row by chance cost an ejection. Turning a class away counts as much: the call can go
        // elsewhere, but it has held a slot until it came back.
        let fault = matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Rejected);
        let within = self.turns.split().0.iter().filter(|id| **id != upstream);
        let peers: Vec<_> = within
            .map(|id| &self.upstreams[id].learned.health)
            .collect();
        // Without peers there is nothing to compare with.
        let usual_faults = |scope: usize| {
            let sum: f64 = peers.iter().map(|health| health[scope].faults).sum();
            if peers.is_empty() {
                1.0
            } else {
                sum / peers.len() as f64
            }
        };
        let name = &self.cfg.classes[f.class].name;
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
            h.heard = if lost { h.heard } else { self.now };
            if fault || outcome == AttemptOutcome::Success {
                h.answers += 1.0;
                h.faults +=
                    GAIN.max(1.0 / (h.answers + BELIEF)) * (f64::from(u8::from(fault)) - h.faults);
            }
            let outlier = h.faults > usual_faults + OUTLIER;
            fails_all |= scope == 0 && outlier;
            if outcome == AttemptOutcome::Success {
                cleared |= scope > 0 && h.failures > 0;
                h.failures = if outlier && scope > 0 { h.failures } else { 0 };
            } else if lost && (h.heard <= f.sent || in_silence && scope > 0 && !common)
                || fault && scope > 0 && (outlier || fails_all) && self.now >= h.ejected_until
            {
                h.failures = (h.failures + 1).min(MOST_FAILURES);
                // One connection that breaks says little: if the process is gone, the next doesn't come up.
                // Nor does one call that is lost where all lose some.
                let single = common
                    || matches!(
                        outcome,
                        AttemptOutcome::Reset | AttemptOutcome::ConnectFailed
                    );
                let first = if single { 2 } else { 1 };
                if h.failures < first {
                    continue;
                }
                // Guards against losing one call after the other to a long silence: a trial may cost as
                // much again.
                let silence = if in_silence { end.elapsed } else { 0.0 };
                let time = (EJECTION_TIME * usual * f64::from(1 << h.failures)).max(silence);
                h.ejected_until = self.now + time;
                ejected = if scope > 0 { time } else { ejected };
                let text = format!("{what} ejected for {time:.1} s after {outcome:?}");
                let line = Action::Log {
                    upstream: Some(upstream),
                    text,
                };
                actions.extend((h.failures == first && !logged).then_some(line));
                logged = true;
            }
        }
        // Guards against losing calls that can't be repeated to trials: where one that can be tells as much,
        // the others come after it, and wait longer if it fails.
        if self.cfg.classes[f.class].idempotency != Idempotency::NonIdempotent
            && (ejected > 0.0 || cleared)
        {
            let after = if cleared {
                self.now
            } else {
                self.now + 2.0 * ejected
            };
            for (h, class) in health[1..].iter_mut().zip(&self.cfg.classes) {
                if h.failures > 0 && class.idempotency == Idempotency::NonIdempotent {
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
    fn again(&mut self, id: RequestId, outcome: AttemptOutcome, actions: &mut Vec<Action>) {
        let call = &self.calls[&id];
        let until = call.deadline - self.usual_of(id) / 2.0;
        let price = match outcome {
            AttemptOutcome::InvalidResponse | AttemptOutcome::Reset => BROKEN_RETRY,
            outcome if outcome.never_started() => 0.0,
            _ => 1.0,
        };
        if self.now > until || self.retries < price || outcome == AttemptOutcome::NotSent {
            return self.give_up(id, actions);
        }
        self.retries -= price;
        self.place(id, actions);
    }

    /// A freed slot goes to the upstream's own queue, else to the longest queue of the caller's others.
    fn wake(&mut self, upstream: UpstreamId, actions: &mut Vec<Action>) {
        loop {
            let u = &self.upstreams[&upstream];
            let longest = |a: &&UpstreamId| (self.upstreams[a].queue.len(), std::cmp::Reverse(**a));
            let other = || self.turns.split().0.iter().max_by_key(longest);
            let from = Some(&upstream)
                .filter(|_| !u.queue.is_empty())
                .or_else(other)
                .unwrap_or(&upstream);
            let queue = self.upstreams[from].queue.iter().rev().copied();
            let Some(id) = queue.max_by(|a, b| self.value(*a).total_cmp(&self.value(*b))) else {
                return;
            };
            if !self.ready(u, id, self.panic(self.calls[&id].class)) {
                let rest = u.learned.full_until - self.now;
                if rest > 0.0 {
                    self.wake_me(id, rest, actions);
                }
                return;
            }
            self.unhold(id);
            self.send(id, upstream, actions);
        }
    }

    /// The final answer where none came: refused where that is true, else failed.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let call = &self.calls[&id];
        let harmless = match self.cfg.classes[call.class].idempotency {
            Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
            } => true,
            _ => call.first_run().is_none(),
        };
        // Guards against clients that guess when to ask again: too soon it finds all full, later it is late.
        let retry_after = self
            .cfg
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
        let Some(call) = self.calls.get_mut(&id).filter(|c| !c.concluded) else {
            return;
        };
        call.concluded = true;
        if self.cfg.limits.cancellation_allowed {
            let out = call
                .tries
                .iter()
                .enumerate()
                .filter(|(_, t)| t.outcome.is_none());
            actions.extend(out.map(|(n, _)| Action::CancelAttempt {
                id,
                attempt: n as u32,
            }));
        }
        self.unhold(id);
        self.unplaced.retain(|held| *held != id);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self
            .calls
            .get(&id)
            .is_some_and(|c| c.concluded && c.out() == 0)
        {
            self.calls.remove(&id);
        }
    }
}
