//! Drives the decision module: its clock and timers, and the ledger of open requests and their attempts.
//!
//! Each request that is taken gets one final answer, and the module hears of one outcome for each attempt
//! that it sends. No decision is made here.

mod clock;
mod recent_request_ids;
mod timers;

use crate::body::MemoryBudget;
use crate::config::NameTables;
use crate::discovery::{
    run_watch, DiscoveryEndpoint, Endpoint, EndpointList, EndpointStatus, Reconnect, WatchError,
    WatchId, WatchObserver, WatchRequest, WatchSet,
};
use crate::dispatch::clock::MonotonicUnixClock;
use crate::dispatch::recent_request_ids::RecentRequestIds;
use crate::dispatch::timers::{Timer, TimerQueue};
use crate::log;
use crate::metrics::Metrics;
use crate::socket::DescriptorBudget;
use crate::upstream::{Answer, Attempt, AttemptEnd, ConnectionPool, ForwardedRequest};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Class, DiscoveryMode, Event, LearnedState,
    ListScope, Maintenance, Request, RequestId, UpstreamEntry, UpstreamId, UpstreamState,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// The module is told that a client waits this much shorter, so that its answer is there in time.
const MARGIN: Duration = Duration::from_millis(12);
/// An answer that the module still owes then is given for it, so that no client is left without one.
const DEADLINE_BACKSTOP: Duration = Duration::from_millis(5);
/// The final answer to a request.
pub enum FinalResponse {
    Served(Answer),
    Rejected { retry_after: Option<f64> },
    Failed,
}

/// Why a request is not taken.
#[derive(Debug, PartialEq)]
pub enum RejectionReason {
    /// Too many are open.
    TooManyOpen,
    /// Its name has come before: it may still be out, so it would run beside itself.
    DuplicateId,
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

/// Owns the decision module and all that it speaks of.
pub struct Dispatcher {
    me: Weak<RefCell<Dispatcher>>,
    balancer: Balancer,
    clock: MonotonicUnixClock,
    names: NameTables,
    classes: Vec<Class>,
    most_open: usize,
    budget: Rc<DescriptorBudget>,
    metrics: Rc<Metrics>,
    pool: Rc<ConnectionPool>,
    memory: Rc<MemoryBudget>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: TimerQueue,
    open: HashMap<RequestId, Open>,
    recent: RecentRequestIds,
    last_id: u64,
    targets: HashMap<UpstreamId, Target>,
    /// The names of those that the operators have left out.
    out: BTreeMap<UpstreamId, String>,
    listed: bool,
    watches: WatchSet,
}

impl Dispatcher {
    /// A driver that has told the module the list of old, `known`.
    pub fn start(
        config: crate::config::Config,
        budget: Rc<DescriptorBudget>,
    ) -> Result<Rc<RefCell<Dispatcher>>, load_balancer::SettingsError> {
        let clock = MonotonicUnixClock::new();
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
        let discovery = DiscoveryEndpoint {
            address: config.discovery,
            mode: config.settings.discovery_mode,
        };
        let watches = WatchSet::new(discovery, config.known_endpoints.version, config.seed);
        let classes = config.settings.classes.clone();
        let longest = classes
            .iter()
            .fold(0.0, |longest: f64, class| longest.max(class.deadline));
        let longest = Duration::try_from_secs_f64(longest).unwrap_or(Duration::MAX / 4);
        let balancer = Balancer::new(config.settings, config.seed, clock.seconds_now())?;
        let dispatcher = Rc::new_cyclic(|me: &Weak<RefCell<Dispatcher>>| {
            RefCell::new(Dispatcher {
                me: me.clone(),
                balancer,
                clock,
                names: config.names,
                classes,
                most_open,
                budget,
                metrics,
                pool: Rc::new(pool),
                memory,
                events: VecDeque::new(),
                actions: Vec::new(),
                timers: TimerQueue::default(),
                open: HashMap::new(),
                recent: RecentRequestIds::new(longest),
                last_id: 0,
                targets: HashMap::new(),
                out: BTreeMap::new(),
                listed: false,
                watches,
            })
        });
        let known = EndpointList {
            snapshot: true,
            ..config.known_endpoints
        };
        dispatcher.borrow_mut().apply(ListScope::Cached, known);
        if discovery.mode == DiscoveryMode::Push {
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
            .recall(self.clock.seconds_now(), age.as_secs_f64(), knowledge);
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
        if !self.recent.insert(taken.name) {
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
        self.timers
            .set(deadline - DEADLINE_BACKSTOP, Timer::DeadlineBackstop(id));
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

    /// Where discovery is from now on. The list and the watch on the old address hold until the new one
    /// has spoken.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        let request = self.watches.set_address(address);
        self.open_watch(request);
    }

    /// Opens a watch, unless the newest is as good as that.
    fn subscribe(&mut self) {
        let request = self.watches.ensure_watch();
        self.open_watch(request);
    }

    fn open_watch(&mut self, request: Option<WatchRequest>) {
        if let (Some(request), Some(dispatcher)) = (request, self.me.upgrade()) {
            let watch = run_watch(dispatcher, self.budget.clone(), request);
            let task = spawn_local(watch).abort_handle();
            self.watches.set_task(request.id, task);
        }
    }

    fn reconnect(&mut self, reconnect: Reconnect) {
        match reconnect {
            Reconnect::Superseded => {}
            Reconnect::Now => self.subscribe(),
            Reconnect::After(delay) => self.timers.set(Instant::now() + delay, Timer::ReopenWatch),
            Reconnect::ByPollSchedule => self.tell(Event::EndpointList {
                scope: ListScope::Failed,
                endpoints: Vec::new(),
            }),
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
        let state = match endpoint.status {
            EndpointStatus::InService => UpstreamState::Active,
            EndpointStatus::Draining => UpstreamState::Draining,
            EndpointStatus::Terminated => UpstreamState::Removed,
        };
        let since = endpoint.started_at_ms / 1000.0;
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
            machine_kind: number(&self.names.kinds, &endpoint.machine_kind),
            cell: endpoint.cell,
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
            .for_each(|(id, number)| self.attempt_ended(id, number, Err(AttemptOutcome::Rejected)));
    }

    /// Tells the module, and carries out what it says, until there is nothing more to tell.
    fn tell(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer
                .handle(self.clock.seconds_now(), event, &mut actions);
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
                self.timers
                    .set(Instant::now() + after, Timer::Decision(token));
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
            margin: MARGIN,
            begun,
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
    fn attempt_ended(&mut self, id: RequestId, number: usize, ended: AttemptEnd) {
        let (outcome, answer) = match ended {
            Ok(answer) => (AttemptOutcome::Success, Some(answer)),
            Err(outcome) => (outcome, None),
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

    /// The process is to end: what is open has its answer by then.
    pub fn set_drain_deadline(&mut self, settled: Instant) {
        let open: Vec<_> = self.open.keys().copied().collect();
        for id in open {
            self.timers
                .set(settled - DEADLINE_BACKSTOP, Timer::DeadlineBackstop(id));
        }
    }

    /// Fires the timers that are due; when the next one fires.
    fn run_due_timers(&mut self) -> Option<Instant> {
        while let Some(timer) = self.timers.pop_due() {
            match timer {
                Timer::Decision(token) => self.tell(Event::TimerFired(token)),
                Timer::ReopenWatch => self.subscribe(),
                Timer::DeadlineBackstop(id) => self.answer_overdue(id),
            }
        }
        self.timers.next_at()
    }

    /// Answers a request that the decision module has not answered in time.
    fn answer_overdue(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let backstop_at = open.forward.deadline() - DEADLINE_BACKSTOP;
        if backstop_at > Instant::now() {
            // The client has sent more of its body, so the deadline has moved.
            return self.timers.set(backstop_at, Timer::DeadlineBackstop(id));
        }
        if open.reply.is_none() {
            return;
        }
        let never_ran = open.forward.upload.is_streamed();
        log::line(format!("request {} had no decision in time", id.0));
        // No upstream begins before the last byte.
        let answer = if never_ran {
            FinalResponse::Rejected { retry_after: None }
        } else {
            FinalResponse::Failed
        };
        self.answer(id, answer);
        self.tell(Event::ClientDisconnected(id));
    }
}

impl WatchObserver for RefCell<Dispatcher> {
    fn list_received(&self, watch: WatchId, list: EndpointList) {
        let mut dispatcher = self.borrow_mut();
        if dispatcher.watches.accept_list(watch, &list) {
            let scope = if list.snapshot {
                ListScope::Full
            } else {
                ListScope::Delta
            };
            dispatcher.apply(scope, list);
        }
    }

    fn watch_alive(&self, watch: WatchId) {
        self.borrow_mut().watches.alive(watch);
    }

    fn watch_silent(&self, watch: WatchId) {
        let mut dispatcher = self.borrow_mut();
        let reconnect = dispatcher.watches.silent(watch);
        dispatcher.reconnect(reconnect);
    }

    fn watch_failed(&self, watch: WatchId, error: &WatchError) {
        let mut dispatcher = self.borrow_mut();
        let reconnect = dispatcher.watches.failed(watch, error);
        dispatcher.reconnect(reconnect);
    }
}

async fn run_timers(dispatcher: Rc<RefCell<Dispatcher>>) {
    let earlier_timer = dispatcher.borrow().timers.earlier_timer();
    loop {
        let next_at = dispatcher.borrow_mut().run_due_timers();
        match next_at {
            Some(at) => tokio::select! {
                () = sleep_until(at) => {}
                () = earlier_timer.notified() => {}
            },
            None => earlier_timer.notified().await,
        }
    }
}

#[cfg(test)]
mod tests;
