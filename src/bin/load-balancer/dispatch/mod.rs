//! Drives the decision module: its clock and timers, and the ledger of open requests and their attempts.
//!
//! Each request that is taken gets one final answer, and the module hears of one outcome for each attempt
//! that it sends. No decision is made here.

use crate::body::MemoryBudget;
use crate::config::NameTables;
use crate::discovery::{self, Endpoint, EndpointList};
use crate::log;
use crate::metrics::Metrics;
use crate::socket::DescriptorBudget;
use crate::upstream::{Attempt, AttemptError, ConnectionPool, ForwardedRequest, UpstreamResponse};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Class, DiscoveryMode, Event, LearnedState,
    ListScope, Maintenance, Request, RequestId, UpstreamEntry, UpstreamId, UpstreamState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// The module is told that a client waits this much shorter, so that its answer is there in time.
const MARGIN: Duration = Duration::from_millis(12);
/// An answer that the module still owes then is given for it, so that no client is left without one.
const DEADLINE_BACKSTOP: Duration = Duration::from_millis(5);
/// Where lists are pushed, what the agent has counts as told with no watch open too. A broken watch is opened again after
/// this time, so that the grace of a drain covers it,
const REWATCH: Duration = Duration::from_millis(20);
/// and after this one if so many calls in a row have failed.
const REWATCH_LATER: Duration = Duration::from_millis(250);
const MANY_FAILURES: u32 = 10;
/// A watch that has lived for less counts as one of these, though it has told something: it may have told a whole list.
const SHORT_WATCH: Duration = Duration::from_secs(1);
/// Where they are asked for, another call is made beside a silent watch after this time at the most. Guards against
/// watches that fall silent together and come back in step.
const ASIDE: Duration = Duration::from_millis(150);
/// Watches that are followed at a time, of which all but the newest are silent. No more than discovery has descriptors.
const MOST_WATCHES: usize = 4;
/// A new discovery that can't be watched is tried again after this time at the most. Guards against all
/// balancers, told at once to move there, that come back in step.
const MOVE_AGAIN: Duration = Duration::from_millis(400);

/// The final answer to a request.
pub enum FinalResponse {
    Served(UpstreamResponse),
    Rejected { retry_after: Option<f64> },
    Failed,
}

/// Seconds since the Unix epoch that never step: the system's clock is read once.
#[derive(Clone, Copy)]
struct Clock {
    start: Instant,
    unix: f64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: unix.as_secs_f64(),
        }
    }

    fn at(&self, moment: Instant) -> f64 {
        self.unix + (moment - self.start).as_secs_f64()
    }
}

/// Why a request is not taken.
#[derive(Debug, PartialEq)]
pub enum RejectionReason {
    /// Too many are open.
    TooManyOpen,
    /// Its name has come before: it may still be out, so it would run beside itself.
    DuplicateId,
}

/// The names of requests that came lately. Guards against a request under the name of one that is open, or was
/// a moment ago: each name stays for the longest deadline at the least, and twice that at the most.
struct Recent {
    keep: Duration,
    since: Instant,
    new: HashSet<String>,
    old: HashSet<String>,
}

impl Recent {
    fn new(keep: Duration) -> Self {
        Recent {
            keep,
            since: Instant::now(),
            new: HashSet::new(),
            old: HashSet::new(),
        }
    }

    /// Notes a name; false if it is known.
    fn add(&mut self, name: String) -> bool {
        let age = self.since.elapsed();
        if age >= self.keep {
            let last = std::mem::take(&mut self.new);
            self.old = if age < 2 * self.keep {
                last
            } else {
                HashSet::new()
            };
            self.since = Instant::now();
        }
        !self.old.contains(&name) && self.new.insert(name)
    }
}

/// A request that has come in.
pub struct AcceptedRequest {
    /// What its client calls it, and nobody calls another.
    pub name: String,
    pub class: usize,
    pub tenant: usize,
    pub cost_hint: Option<f64>,
    pub forward: ForwardedRequest,
}

/// A request in the ledger; it stays until it is answered and its attempts have ended.
struct Open {
    forward: Rc<ForwardedRequest>,
    reply: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<Out>,
}

/// An attempt that was sent.
struct Out {
    upstream: UpstreamId,
    /// Where it was sent, if it was.
    address: Option<SocketAddr>,
    sent: Instant,
    /// Set once its first byte was about to be written: for how long its connection had been idle.
    begun: Rc<Cell<Option<Duration>>>,
    /// `None` once it has ended.
    task: Option<AbortHandle>,
}

struct Target {
    name: String,
    address: SocketAddr,
    since: f64,
    state: UpstreamState,
}

/// What is due at a moment.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    DeadlineBackstop(RequestId),
    ReopenWatch,
}

/// Owns the decision module and all that it speaks of.
pub struct Dispatcher {
    me: Weak<RefCell<Dispatcher>>,
    balancer: Balancer,
    clock: Clock,
    discovery: (SocketAddr, DiscoveryMode),
    names: NameTables,
    classes: Vec<Class>,
    most_open: usize,
    budget: Rc<DescriptorBudget>,
    metrics: Rc<Metrics>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryBudget>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    rewind: Rc<Notify>,
    open: HashMap<RequestId, Open>,
    recent: Recent,
    last_id: u64,
    targets: HashMap<UpstreamId, Target>,
    /// The names of those that the operators have left out.
    out: BTreeMap<UpstreamId, String>,
    /// The version of the list up to which nothing has been missed, and whose versions these are.
    index: u64,
    source: SocketAddr,
    listed: bool,
    /// The watches that are followed, the newest at the end. The list comes from the first of them; the others are to
    /// take its place once they have spoken.
    watches: Vec<Watching>,
    last_watch: u64,
    /// Watches in a row that have failed soon.
    failed_watches: u32,
    jitter: Pcg64Mcg,
}

/// A watch on discovery that is being followed.
struct Watching {
    number: u64,
    address: SocketAddr,
    /// The version that it has told of last.
    index: u64,
    /// It has been silent for so long that something may be missing in what it tells.
    broken: bool,
    /// Something whole has come on it.
    spoke: bool,
    opened: Instant,
    task: AbortHandle,
}

impl Drop for Watching {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Dispatcher {
    /// A driver that has told the module the list of old, `known`.
    pub fn start(
        config: crate::config::Config,
        budget: Rc<DescriptorBudget>,
    ) -> Result<Rc<RefCell<Dispatcher>>, load_balancer::SettingsError> {
        let clock = Clock::new();
        let limits = &config.settings.limits;
        let metrics = Metrics::new(&config.names.classes);
        let memory = MemoryBudget::new(config.memory_bytes);
        let (connect, idle) = (limits.connect_timeout, limits.connection_idle_timeout);
        let pool = ConnectionPool::new(
            budget.clone(),
            metrics.clone(),
            memory.clone(),
            connect,
            idle,
        );
        let most_open = limits.max_open_requests.min(config.max_descriptors);
        let discovery = (config.discovery, config.settings.discovery_mode);
        let classes = config.settings.classes.clone();
        let longest = classes
            .iter()
            .fold(0.0, |longest: f64, class| longest.max(class.deadline));
        let longest = Duration::try_from_secs_f64(longest).unwrap_or(Duration::MAX / 4);
        let balancer = Balancer::new(config.settings, config.seed, clock.at(Instant::now()))?;
        let dispatcher = Rc::new_cyclic(|me: &Weak<RefCell<Dispatcher>>| {
            RefCell::new(Dispatcher {
                me: me.clone(),
                balancer,
                clock,
                discovery,
                names: config.names,
                classes,
                most_open,
                budget,
                metrics,
                pool: Rc::new(pool),
                memory,
                events: VecDeque::new(),
                actions: Vec::new(),
                timers: BinaryHeap::new(),
                rewind: Rc::default(),
                open: HashMap::new(),
                recent: Recent::new(longest),
                last_id: 0,
                targets: HashMap::new(),
                out: BTreeMap::new(),
                index: 0,
                source: discovery.0,
                listed: false,
                watches: Vec::new(),
                last_watch: 0,
                failed_watches: 0,
                jitter: Pcg64Mcg::seed_from_u64(config.seed),
            })
        });
        let known = EndpointList {
            snapshot: true,
            ..config.known_endpoints
        };
        dispatcher.borrow_mut().index = known.index;
        dispatcher.borrow_mut().apply(ListScope::Cached, known);
        if discovery.1 == DiscoveryMode::Push {
            dispatcher.borrow_mut().subscribe();
        }
        spawn_local(run_timers(dispatcher.clone()));
        Ok(dispatcher)
    }

    /// True once a list with upstreams is there.
    pub fn is_ready(&self) -> bool {
        self.listed
    }

    /// Names of classes and tenants.
    pub fn names(&self) -> &NameTables {
        &self.names
    }

    /// The idle connections to upstreams.
    pub fn pool(&self) -> &Rc<ConnectionPool> {
        &self.pool
    }

    /// Where requests that end are counted.
    pub fn metrics(&self) -> &Rc<Metrics> {
        &self.metrics
    }

    /// All that operators are told in figures.
    pub fn render_metrics(&self) -> String {
        self.metrics
            .render(self.targets.len(), self.balancer.excluded())
    }

    /// The memory for what is read ahead of bodies.
    pub fn memory(&self) -> Rc<MemoryBudget> {
        self.memory.clone()
    }

    /// What the module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.balancer.knowledge()
    }

    /// Gives the module what the one before has learned and written down this long ago.
    pub fn restore(&mut self, age: Duration, knowledge: LearnedState) {
        self.balancer
            .recall(self.clock.at(Instant::now()), age.as_secs_f64(), knowledge);
    }

    /// The request classes.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Takes a request; its final answer comes through the channel.
    pub fn accept(
        &mut self,
        taken: AcceptedRequest,
    ) -> Result<(RequestId, oneshot::Receiver<FinalResponse>), RejectionReason> {
        if self.open.len() >= self.most_open {
            return Err(RejectionReason::TooManyOpen);
        }
        if !self.recent.add(taken.name) {
            return Err(RejectionReason::DuplicateId);
        }
        self.last_id += 1;
        let id = RequestId(self.last_id);
        let (reply, answer) = oneshot::channel();
        let forward = Rc::new(taken.forward);
        let (deadline, streamed) = (forward.deadline(), forward.upload.is_streamed());
        if let Some(dispatcher) = self.me.upgrade().filter(|_| streamed) {
            let whole = forward.upload.completed();
            spawn_local(async move {
                if whole.await.is_ok() {
                    dispatcher.borrow_mut().body_whole(id);
                }
            });
        }
        self.open.insert(
            id,
            Open {
                forward,
                reply: Some(reply),
                attempts: Vec::new(),
            },
        );
        self.schedule(deadline - DEADLINE_BACKSTOP, Due::DeadlineBackstop(id));
        self.tell(Event::Request(Request {
            id,
            class: taken.class,
            tenant: taken.tenant,
            remaining: (deadline - MARGIN - Instant::now()).as_secs_f64(),
            cost_hint: taken.cost_hint,
            streamed,
        }));
        Ok((id, answer))
    }

    /// The last byte of a streamed body has been read: only now its upstream can begin.
    fn body_whole(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if let Some(out) = open.attempts.last_mut().filter(|out| out.task.is_some()) {
            out.sent = Instant::now();
            self.tell(Event::UploadCompleted(id));
        }
    }

    /// The client has closed its connection, or has its answer already.
    pub fn client_disconnected(&mut self, id: RequestId) {
        if self.conclude(id).is_some() {
            self.tell(Event::ClientDisconnected(id));
            self.forget(id);
        }
    }

    /// Discovery has sent a list, or what changed.
    pub fn endpoint_list_received(&mut self, watch: u64, list: EndpointList) {
        let waited = self
            .watches
            .iter()
            .any(|watching| watching.number == watch && !watching.spoke);
        self.watch_alive(watch);
        let Some(watching) = self
            .watches
            .first_mut()
            .filter(|first| first.number == watch)
        else {
            return;
        };
        // What a call waited for in turn tells all since the version asked for. Guards against discovery answering
        // those that were made beside it as well.
        if waited && watching.address == self.discovery.0 {
            watching.broken = false;
            self.watches.truncate(1);
        }
        let watching = &mut self.watches[0];
        if watching.address != self.source {
            // A new discovery counts its versions by itself.
            (self.source, self.index) = (watching.address, 0);
            log::line(format!("the list comes from {}", self.source));
        }
        // Guards against old news: within a watch the versions only rise.
        if !list.snapshot && list.index < watching.index {
            return;
        }
        watching.index = list.index;
        watching.broken &= !list.snapshot;
        if !watching.broken {
            self.index = list.index;
        }
        self.apply(
            if list.snapshot {
                ListScope::Full
            } else {
                ListScope::Delta
            },
            list,
        );
    }

    /// The watch has told something. Guards against news of an old watch after those of a newer one.
    pub fn watch_alive(&mut self, watch: u64) {
        if let Some(at) = self
            .watches
            .iter()
            .position(|watching| watching.number == watch)
        {
            self.watches[at].spoke = true;
            self.watches.drain(..at);
        }
    }

    /// The watch has told nothing whole for too long. Guards against news that are told between its end and the next
    /// one's beginning: it stays until another has spoken.
    pub fn watch_silent(&mut self, watch: u64) {
        let Some(at) = self
            .watches
            .iter()
            .position(|watching| watching.number == watch)
        else {
            return;
        };
        log::line("discovery is silent".into());
        self.watches[at].broken = true;
        match self.discovery.1 {
            // Those whose watches fall silent together come back one by one.
            DiscoveryMode::Poll => {
                let wait = ASIDE.mul_f64(self.jitter.random_range(0.0..1.0));
                self.schedule(Instant::now() + wait, Due::ReopenWatch);
            }
            DiscoveryMode::Push => self.subscribe(),
        }
    }

    /// The watch has ended.
    pub fn watch_failed(&mut self, watch: u64, why: &str) {
        let Some(at) = self
            .watches
            .iter()
            .position(|watching| watching.number == watch)
        else {
            return;
        };
        let lived = self.watches[at].opened.elapsed() >= SHORT_WATCH;
        self.failed_watches = if lived && self.watches[at].spoke {
            1
        } else {
            self.failed_watches + 1
        };
        if self.failed_watches < MANY_FAILURES || self.failed_watches % MANY_FAILURES == 0 {
            log::line(format!("discovery failed: {why}"));
        }
        let failed = self.watches.remove(at);
        let is_replaced = self.watches.len() > at;
        // Guards against asking late, and the old address, when the old discovery ends its watches: the new
        // one is on its way.
        if is_replaced || failed.address != self.discovery.0 {
            return;
        }
        if self.source != self.discovery.0 {
            let wait = MOVE_AGAIN.mul_f64(self.jitter.random_range(0.25..1.0));
            return self.schedule(Instant::now() + wait, Due::ReopenWatch);
        }
        match self.discovery.1 {
            DiscoveryMode::Poll => self.tell(Event::EndpointList {
                scope: ListScope::Failed,
                endpoints: Vec::new(),
            }),
            DiscoveryMode::Push => {
                let wait = if self.failed_watches < MANY_FAILURES {
                    REWATCH
                } else {
                    REWATCH_LATER
                };
                self.schedule(Instant::now() + wait, Due::ReopenWatch);
            }
        }
    }

    /// Discovery is to be found elsewhere from now on. The list and the watch on the old address hold until
    /// the new one has spoken.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        if address != self.discovery.0 {
            self.discovery.0 = address;
            // What was asked at a place between the two has told nothing, and is not waited for.
            self.watches
                .retain(|watching| [self.source, address].contains(&watching.address));
            self.open_watch();
        }
    }

    fn apply(&mut self, scope: ListScope, list: EndpointList) {
        self.listed |= !list.endpoints.is_empty();
        if list.snapshot {
            self.targets
                .values_mut()
                .for_each(|target| target.state = UpstreamState::Removed);
        }
        let entries = list
            .endpoints
            .into_iter()
            .map(|endpoint| self.entry(endpoint))
            .collect();
        for id in self
            .targets
            .keys()
            .filter(|id| self.address(**id).is_none())
        {
            self.pool.remove(*id);
        }
        self.tell(Event::EndpointList {
            scope,
            endpoints: entries,
        });
        self.stop_unbegun();
        self.targets
            .retain(|_, target| target.state != UpstreamState::Removed);
    }

    fn entry(&mut self, endpoint: Endpoint) -> UpstreamEntry {
        let id = UpstreamId::of(&endpoint.name);
        let state = match endpoint.status.as_str() {
            "in_service" => UpstreamState::Active,
            "terminated" => UpstreamState::Removed,
            // Also a status that is not known yet: nothing new goes there.
            _ => UpstreamState::Draining,
        };
        let since = endpoint.since_ms / 1000.0;
        if self.targets.get(&id).is_some_and(|old| old.since != since) {
            self.pool.remove(id);
        }
        if state == UpstreamState::Active && !self.out.contains_key(&id) {
            self.pool.allow(id, endpoint.address);
        }
        self.targets.insert(
            id,
            Target {
                name: endpoint.name,
                address: endpoint.address,
                since,
                state,
            },
        );
        let number =
            |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        UpstreamEntry {
            id,
            zone: number(&self.names.zones, &endpoint.zone),
            machine_kind: number(&self.names.kinds, &endpoint.kind),
            cell: endpoint.group,
            state,
            started_at: since,
        }
    }

    /// Where the upstream is, if it may have calls.
    fn address(&self, upstream: UpstreamId) -> Option<SocketAddr> {
        let target = self
            .targets
            .get(&upstream)
            .filter(|target| target.state == UpstreamState::Active)?;
        (!self.out.contains_key(&upstream)).then_some(target.address)
    }

    /// The operators leave this upstream out, or use it again; false if none of this name is known.
    pub fn set_maintenance(&mut self, name: &str, out: bool) -> bool {
        let upstream = UpstreamId::of(name);
        if !self.targets.contains_key(&upstream) && !self.out.contains_key(&upstream) {
            return false;
        }
        self.set_out(name, out);
        true
    }

    /// The names of the upstreams that the operators have left out.
    pub fn upstreams_in_maintenance(&self) -> impl Iterator<Item = &str> {
        self.out.values().map(String::as_str)
    }

    /// The operators have left these out, and no others, known or not.
    pub fn restore_maintenance(&mut self, names: &BTreeSet<String>) {
        let back: Vec<_> = self
            .out
            .values()
            .filter(|name| !names.contains(*name))
            .cloned()
            .collect();
        back.iter().for_each(|name| self.set_out(name, false));
        let is_new = |name: &&String| !self.out.contains_key(&UpstreamId::of(name));
        let new: Vec<_> = names.iter().filter(is_new).collect();
        new.into_iter().for_each(|name| self.set_out(name, true));
    }

    fn set_out(&mut self, name: &str, out: bool) {
        let upstream = UpstreamId::of(name);
        log::line(format!(
            "{name}: {} by the operators",
            if out { "left out" } else { "used again" }
        ));
        if out {
            self.out.insert(upstream, name.to_string());
            self.pool.remove(upstream);
        } else {
            self.out.remove(&upstream);
            self.address(upstream)
                .into_iter()
                .for_each(|address| self.pool.allow(upstream, address));
        }
        self.tell(Event::Maintenance {
            upstream,
            change: if out {
                Maintenance::Begin
            } else {
                Maintenance::End
            },
        });
        self.stop_unbegun();
    }

    /// Guards against a call that was decided before a drain was told and begins after it: what has not
    /// written its first byte to an upstream that is off, or is no more where it was, is turned away here, in its stead.
    fn stop_unbegun(&mut self) {
        let mut stopped = Vec::new();
        for (id, open) in &self.open {
            for (number, out) in open.attempts.iter().enumerate() {
                let off = self
                    .address(out.upstream)
                    .is_none_or(|now| Some(now) != out.address);
                if off && out.task.is_some() && out.begun.get().is_none() {
                    stopped.push((*id, number));
                }
            }
        }
        stopped.sort();
        stopped
            .into_iter()
            .for_each(|(id, number)| self.attempt_ended(id, number, Err(AttemptError::Rejected)));
    }

    /// Tells the module, and carries out what it says, until there is nothing more to tell.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer
                .handle(self.clock.at(Instant::now()), event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(action));
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                id,
                upstream,
                write_within,
            } => self.send(id, upstream, write_within),
            Action::Reject { id, retry_after } => {
                self.answer(id, FinalResponse::Rejected { retry_after })
            }
            Action::Fail { id } => self.answer(id, FinalResponse::Failed),
            Action::CancelAttempt { id, attempt } => {
                if let Some(event) = self.end(id, attempt as usize, AttemptOutcome::Cancelled) {
                    self.events.push_back(event);
                }
            }
            Action::CloseIdleConnections { upstream } => self.pool.close_idle(upstream),
            Action::SetTimer { after, token } => {
                let after = Duration::try_from_secs_f64(after).unwrap_or_default();
                self.schedule(Instant::now() + after, Due::Timer(token));
            }
            Action::WatchEndpoints => self.subscribe(),
            Action::Log { upstream, text } => {
                let name = upstream
                    .and_then(|id| self.targets.get(&id))
                    .map(|target| target.name.as_str());
                log::line(format!(
                    "{}{}{text}",
                    name.unwrap_or(""),
                    if name.is_some() { ": " } else { "" }
                ));
            }
        }
    }

    fn send(&mut self, id: RequestId, upstream: UpstreamId, write_within: Option<f64>) {
        let sent = Instant::now();
        let after =
            |seconds| sent.checked_add(Duration::try_from_secs_f64(seconds).unwrap_or_default());
        let address = self.address(upstream);
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        let number = open.attempts.len();
        let begun = Rc::new(Cell::new(None));
        open.attempts.push(Out {
            upstream,
            address,
            sent,
            begun: begun.clone(),
            task: None,
        });
        let out = &mut open.attempts[number];
        // What a stream has given to one upstream is not there for another.
        let can_go = open.reply.is_some() && open.forward.upload.is_replayable();
        let attempt = address.filter(|_| can_go).map(|address| Attempt {
            pool: self.pool.clone(),
            upstream,
            address,
            request: open.forward.clone(),
            write_deadline: write_within.and_then(after),
            deadline_margin: MARGIN,
            connection_idle: begun,
        });
        match (attempt, self.me.upgrade()) {
            (Some(attempt), Some(dispatcher)) => {
                let run = async move {
                    let ended = attempt.run().await;
                    dispatcher.borrow_mut().attempt_ended(id, number, ended);
                };
                out.task = Some(spawn_local(run).abort_handle());
            }
            // Nothing was sent, so the outcome follows at once.
            _ => self.events.push_back(Event::AttemptEnded(AttemptResult {
                id,
                attempt: number as u32,
                outcome: AttemptOutcome::NotSent,
                elapsed: 0.0,
                connection_idle: None,
                request_concluded: false,
            })),
        }
    }

    /// An attempt has ended by itself.
    fn attempt_ended(
        &mut self,
        id: RequestId,
        number: usize,
        ended: Result<UpstreamResponse, AttemptError>,
    ) {
        let (outcome, answer) = match ended {
            Ok(answer) => (AttemptOutcome::Success, Some(answer)),
            Err(error) => (error.into(), None),
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if open
            .attempts
            .get(number)
            .is_none_or(|out| out.task.is_none())
        {
            return;
        }
        // It was not sent because its client has left, if that is so.
        let gone = outcome == AttemptOutcome::NotSent && open.forward.client.is_disconnected();
        let gone = gone && self.conclude(id).is_some();
        if let Some(answer) = answer {
            self.answer(id, FinalResponse::Served(answer));
        }
        if let Some(event) = self.end(id, number, outcome) {
            self.tell(event);
        }
        if gone {
            self.tell(Event::ClientDisconnected(id));
            self.forget(id);
        }
    }

    /// Closes an attempt in the ledger; the event to tell of it, if it was still out.
    fn end(&mut self, id: RequestId, number: usize, outcome: AttemptOutcome) -> Option<Event> {
        let open = self.open.get_mut(&id)?;
        let concluded = open.reply.is_none();
        let out = open.attempts.get_mut(number)?;
        out.task.take()?.abort();
        let elapsed = out.sent.elapsed().as_secs_f64();
        let idle = out.begun.get().map(|idle| idle.as_secs_f64());
        self.forget(id);
        Some(Event::AttemptEnded(AttemptResult {
            id,
            attempt: number as u32,
            outcome,
            elapsed,
            connection_idle: idle,
            request_concluded: concluded,
        }))
    }

    /// Nothing is owed any more, unless that has been so before. Guards against sending on what nobody waits for:
    /// attempts of which nothing has been written end here, also where those that are out may not be cancelled.
    fn conclude(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalResponse>> {
        let open = self.open.get_mut(&id)?;
        let reply = open.reply.take()?;
        let unbegun = |(number, out): (usize, &Out)| out.begun.get().is_none().then_some(number);
        let stopped: Vec<_> = open
            .attempts
            .iter()
            .enumerate()
            .filter_map(unbegun)
            .collect();
        for number in stopped {
            let event = self.end(id, number, AttemptOutcome::NotSent);
            self.events.extend(event);
        }
        Some(reply)
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, answer: FinalResponse) {
        let Some(reply) = self.conclude(id) else {
            return;
        };
        // A client that has just gone takes no answer; none is owed to it.
        let _ = reply.send(answer);
        self.forget(id);
    }

    /// Frees what is kept for a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        let done = |open: &Open| {
            open.reply.is_none() && open.attempts.iter().all(|out| out.task.is_none())
        };
        if self.open.get(&id).is_some_and(done) {
            self.open.remove(&id);
        }
    }

    /// Opens a watch, unless the newest is as good as that.
    fn subscribe(&mut self) {
        let newest = self.watches.last();
        if newest.is_none_or(|watching| watching.address != self.discovery.0 || watching.broken) {
            self.open_watch();
        }
    }

    fn open_watch(&mut self) {
        let (address, asked) = (self.discovery.0, self.discovery.1 == DiscoveryMode::Poll);
        let Some(dispatcher) = self.me.upgrade() else {
            return;
        };
        self.last_watch += 1;
        let (number, since) = (
            self.last_watch,
            (self.source == address).then_some(self.index),
        );
        let watch = discovery::Watch {
            number,
            address,
            since,
            asked,
        };
        let task =
            spawn_local(discovery::watch(dispatcher, self.budget.clone(), watch)).abort_handle();
        let index = since.unwrap_or(0);
        let opened = Instant::now();
        self.watches.push(Watching {
            number,
            address,
            index,
            broken: false,
            spoke: false,
            opened,
            task,
        });
        if self.watches.len() > MOST_WATCHES {
            // The list comes from the first, and the second is the next to have its turn. Guards against calls that
            // all end before discovery comes to them, and against the end of a watch that hears at the old address.
            self.watches.remove(2);
        }
    }

    fn schedule(&mut self, at: Instant, due: Due) {
        if self
            .timers
            .peek()
            .is_none_or(|Reverse((first, _))| at < *first)
        {
            self.rewind.notify_one();
        }
        self.timers.push(Reverse((at, due)));
    }

    /// The process is to end: what is open has its answer by then.
    pub fn set_drain_deadline(&mut self, settled: Instant) {
        let open: Vec<_> = self.open.keys().copied().collect();
        open.into_iter()
            .for_each(|id| self.schedule(settled - DEADLINE_BACKSTOP, Due::DeadlineBackstop(id)));
    }

    /// When a request that is open has to have its answer.
    fn last_call(&self, id: RequestId) -> Option<Instant> {
        self.open
            .get(&id)
            .map(|open| open.forward.deadline() - DEADLINE_BACKSTOP)
    }

    /// Does what is due by now; tells when the next is.
    fn run_due(&mut self) -> Option<Instant> {
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > Instant::now() {
                return Some(at);
            }
            self.timers.pop();
            match due {
                Due::Timer(token) => self.tell(Event::TimerFired(token)),
                Due::ReopenWatch => self.subscribe(),
                Due::DeadlineBackstop(id) if self.last_call(id) > Some(Instant::now()) => {
                    // Its client has sent more of it meanwhile.
                    self.last_call(id)
                        .into_iter()
                        .for_each(|at| self.schedule(at, due));
                }
                Due::DeadlineBackstop(id) => {
                    let open = self.open.get(&id).filter(|open| open.reply.is_some());
                    if let Some(unsent) = open.map(|open| open.forward.upload.is_streamed()) {
                        log::line(format!("request {} had no decision in time", id.0));
                        // No upstream begins before the last byte.
                        let answer = if unsent {
                            FinalResponse::Rejected { retry_after: None }
                        } else {
                            FinalResponse::Failed
                        };
                        self.answer(id, answer);
                        self.tell(Event::ClientDisconnected(id));
                    }
                }
            }
        }
        None
    }
}

async fn run_timers(dispatcher: Rc<RefCell<Dispatcher>>) {
    let rewind = dispatcher.borrow().rewind.clone();
    loop {
        let next = dispatcher.borrow_mut().run_due();
        match next {
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = rewind.notified() => {}
            },
            None => rewind.notified().await,
        }
    }
}

#[cfg(test)]
mod tests;
