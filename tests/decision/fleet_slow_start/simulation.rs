//! A discrete-event simulation of balancers and upstreams. All times are seconds.

use super::faults::UPSTREAM_START;
use super::scenario::Scenario;
use super::server::{Arrival, QueuedAttempt, Server, CAPACITY};
use crate::harness::{entry, request};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Event, ListScope, Maintenance, RequestId,
    Rules, Settings, UpstreamEntry, UpstreamId,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// How long the load is 50 % higher, from `UPSTREAM_START` on.
const BURST_DURATION: f64 = 6.0;
/// How long requests are measured, from `UPSTREAM_START` on.
const MEASURED_DURATION: f64 = 10.0;
/// When the arrival of requests ends.
const ARRIVALS_END: f64 = 14.0;
/// Requests that an upstream can process at the same time.
const CORES: usize = 3;
/// Requests that may be queued at an upstream.
const QUEUE_CAPACITY: usize = 12;
/// How many times a client sends a rejected request again at most.
const MAX_CLIENT_RETRIES: u32 = 2;

struct Attempt {
    upstream: u64,
    sent_at: f64,
    is_in_flight: bool,
}

struct Request {
    /// How many times the client has sent this request before.
    client_retries: u32,
    attempts: Vec<Attempt>,
    deadline: f64,
}

/// A scheduled event.
pub enum ScheduledEvent {
    RequestArrival {
        balancer: usize,
        id: u64,
        client_retries: u32,
    },
    Timer {
        balancer: usize,
        token: u64,
    },
    /// An upstream has processed a request. `started_at` identifies the upstream's process, as the
    /// event is ignored if the upstream has restarted since.
    CoreFree {
        upstream: u64,
        started_at: f64,
    },
    AttemptEnd {
        id: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent_at: f64,
    },
    Notification {
        balancer: usize,
        entries: Vec<UpstreamEntry>,
    },
    Maintenance {
        balancer: usize,
        upstream: u64,
        change: Maintenance,
    },
    /// An upstream goes down and starts after the downtime.
    Start {
        upstream: u64,
        downtime: f64,
    },
    BalancerRestart {
        balancer: usize,
    },
}

/// State of the simulation.
pub struct Simulation {
    pub scenario: Scenario,
    pub rng: Pcg64Mcg,
    settings: Settings,
    now: f64,
    /// Times in microseconds and keys of `scheduled_events`.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    scheduled_events: BTreeMap<u64, ScheduledEvent>,
    balancers: Vec<Balancer>,
    /// The latest entry of each upstream that each balancer has been notified of.
    notified: Vec<BTreeMap<u64, UpstreamEntry>>,
    servers: BTreeMap<u64, Server>,
    requests: BTreeMap<u64, Request>,
    next_key: u64,
    measured_requests: f64,
    served_requests: f64,
}

fn is_measured(time: f64) -> bool {
    (UPSTREAM_START..UPSTREAM_START + MEASURED_DURATION).contains(&time)
}

impl Simulation {
    pub fn new(scenario: Scenario, rules: Rules) -> Self {
        let mean_latency = CORES as f64 / CAPACITY;
        let mut class = Settings::simple().classes[0].clone();
        class.latency_objective = 8.0 * mean_latency;
        class.deadline = 16.0 * mean_latency;
        let mut simulation = Simulation {
            settings: Settings {
                classes: vec![class],
                peer_count: scenario.balancers,
                rules,
                ..Settings::simple()
            },
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            now: 0.0,
            schedule: BinaryHeap::new(),
            scheduled_events: BTreeMap::new(),
            balancers: Vec::new(),
            notified: vec![BTreeMap::new(); scenario.balancers],
            servers: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_key: 1,
            measured_requests: 0.0,
            served_requests: 0.0,
            scenario,
        };
        simulation.start_fleet();
        simulation.schedule_requests();
        simulation.schedule_fault();
        simulation
    }

    fn start_fleet(&mut self) {
        let entries: Vec<_> = (1..=self.scenario.upstreams as u64).map(entry).collect();
        for entry in &entries {
            self.servers.insert(entry.id.0, Server::default());
        }
        for balancer in 0..self.scenario.balancers {
            let started = self.start_balancer(balancer);
            self.balancers.push(started);
            let entries = entries.clone();
            self.schedule(0.0, ScheduledEvent::Notification { balancer, entries });
        }
    }

    fn start_balancer(&mut self, peer_index: usize) -> Balancer {
        let settings = Settings {
            peer_index,
            ..self.settings.clone()
        };
        Balancer::new(settings, self.rng.random(), self.now).unwrap()
    }

    pub fn schedule(&mut self, time: f64, scheduled: ScheduledEvent) {
        let micros = (time * 1e6).ceil() as u64;
        self.schedule.push(Reverse((micros, self.next_key)));
        self.scheduled_events.insert(self.next_key, scheduled);
        self.next_key += 1;
    }

    /// Schedules uneven traffic: some balancers get up to five times the mean.
    fn schedule_requests(&mut self) {
        let count = self.scenario.balancers;
        let weights: Vec<f64> = (0..count).map(|n| (1.0 + n as f64).powf(-0.8)).collect();
        let mean = weights.iter().sum::<f64>() / count as f64;
        let weights: Vec<f64> = weights
            .iter()
            .map(|weight| weight.min(5.0 * mean))
            .collect();
        let total_rate = self.scenario.load * self.scenario.upstreams as f64 * CAPACITY;
        let rate_per_weight = total_rate / weights.iter().sum::<f64>();
        let shift = self.rng.random_range(0..count);
        for (n, weight) in weights.iter().enumerate() {
            self.schedule_requests_of((n * 7 + shift) % count, rate_per_weight * weight);
        }
    }

    fn schedule_requests_of(&mut self, balancer: usize, rate: f64) {
        let mut time = 0.0;
        while time < ARRIVALS_END {
            let is_in_burst = (UPSTREAM_START..UPSTREAM_START + BURST_DURATION).contains(&time);
            let factor = if is_in_burst { 1.5 } else { 1.0 };
            time -= (1.0 - self.rng.random::<f64>()).ln() / (rate * factor);
            let id = self.next_request_id(balancer);
            let arrival = ScheduledEvent::RequestArrival {
                balancer,
                id,
                client_retries: 0,
            };
            self.schedule(time, arrival);
        }
    }

    /// Returns a new request id, whose remainder modulo 1000 is the balancer's index.
    fn next_request_id(&mut self, balancer: usize) -> u64 {
        self.next_key += 1;
        self.next_key * 1000 + balancer as u64
    }

    pub fn server(&mut self, id: u64) -> &mut Server {
        self.servers.get_mut(&id).unwrap()
    }

    pub fn run(&mut self) {
        while let Some(Reverse((micros, key))) = self.schedule.pop() {
            self.now = micros as f64 / 1e6;
            let scheduled = self.scheduled_events.remove(&key).unwrap();
            self.run_scheduled(scheduled);
        }
    }

    fn run_scheduled(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::RequestArrival {
                balancer,
                id,
                client_retries,
            } => self.request_arrives(balancer, id, client_retries),
            ScheduledEvent::Timer { balancer, token } => {
                self.handle(balancer, Event::TimerFired(token));
            }
            ScheduledEvent::AttemptEnd {
                id,
                attempt,
                outcome,
                sent_at,
            } => self.end_attempt(id, attempt, outcome, sent_at),
            ScheduledEvent::CoreFree {
                upstream,
                started_at,
            } => self.free_core(upstream, started_at),
            ScheduledEvent::Notification { balancer, entries } => self.notify(balancer, entries),
            ScheduledEvent::Maintenance {
                balancer,
                upstream,
                change,
            } => self.change_maintenance(balancer, upstream, change),
            ScheduledEvent::Start { upstream, downtime } => {
                self.restart_upstream(upstream, downtime);
            }
            ScheduledEvent::BalancerRestart { balancer } => self.restart_balancer(balancer),
        }
    }

    fn request_arrives(&mut self, balancer: usize, id: u64, client_retries: u32) {
        if client_retries == 0 && is_measured(self.now) {
            self.measured_requests += 1.0;
        }
        let remaining = self.settings.classes[0].deadline;
        let arrived = Request {
            client_retries,
            attempts: Vec::new(),
            deadline: self.now + remaining,
        };
        self.requests.insert(id, arrived);
        self.handle(balancer, request(id, 0, remaining));
    }

    fn notify(&mut self, balancer: usize, endpoints: Vec<UpstreamEntry>) {
        let known = endpoints.iter().map(|entry| (entry.id.0, entry.clone()));
        self.notified[balancer].extend(known);
        let scope = if self.now == 0.0 {
            ListScope::Full
        } else {
            ListScope::Delta
        };
        self.handle(balancer, Event::EndpointList { scope, endpoints });
    }

    fn change_maintenance(&mut self, balancer: usize, upstream: u64, change: Maintenance) {
        if change == Maintenance::End {
            if let Some(entry) = self.notified[balancer].get_mut(&upstream) {
                entry.started_at = UPSTREAM_START;
            }
        }
        let upstream = UpstreamId(upstream);
        self.handle(balancer, Event::Maintenance { upstream, change });
    }

    fn restart_balancer(&mut self, balancer: usize) {
        let endpoints = self.notified[balancer].values().cloned().collect();
        self.balancers[balancer] = self.start_balancer(balancer);
        let scope = ListScope::Full;
        self.handle(balancer, Event::EndpointList { scope, endpoints });
    }

    /// Starts or restarts an upstream after a downtime. The attempts in flight there are reset
    /// immediately.
    fn restart_upstream(&mut self, upstream: u64, downtime: f64) {
        let started_at = self.now + downtime;
        let server = self.servers.entry(upstream).or_default();
        server.down_until = server.down_until.max(started_at);
        server.started_at = started_at;
        server.busy_cores = 0;
        server.queue.clear();
        let mut resets = Vec::new();
        for (id, request) in &self.requests {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.upstream == upstream && attempt.is_in_flight {
                    resets.push((*id, index as u32, attempt.sent_at));
                }
            }
        }
        for (id, attempt, sent_at) in resets {
            self.schedule_end(self.now, id, attempt, AttemptOutcome::Reset, sent_at);
        }
    }

    fn schedule_end(
        &mut self,
        time: f64,
        id: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent_at: f64,
    ) {
        let end = ScheduledEvent::AttemptEnd {
            id,
            attempt,
            outcome,
            sent_at,
        };
        self.schedule(time, end);
    }

    /// Passes an event to a balancer and carries out its actions.
    fn handle(&mut self, balancer: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt { id, upstream, .. } => {
                    self.attempt_arrives(balancer, id.0, upstream.0);
                }
                Action::SetTimer { after, token } => {
                    self.schedule(self.now + after, ScheduledEvent::Timer { balancer, token });
                }
                Action::CancelAttempt { id, attempt } => self.cancel_attempt(id.0, attempt),
                Action::Reject { id, .. } => self.schedule_client_retry(balancer, id.0),
                _ => {}
            }
        }
    }

    fn cancel_attempt(&mut self, id: u64, index: u32) {
        let attempt = &self.requests[&id].attempts[index as usize];
        let (upstream, sent_at, is_in_flight) =
            (attempt.upstream, attempt.sent_at, attempt.is_in_flight);
        let queue = &mut self.server(upstream).queue;
        let cancelled = QueuedAttempt {
            request: id,
            attempt: index,
        };
        queue.retain(|queued| *queued != cancelled);
        if is_in_flight {
            let time = self.now + 0.001;
            self.schedule_end(time, id, index, AttemptOutcome::Cancelled, sent_at);
        }
    }

    /// Schedules the client's retry of a rejected request after 0.2 s, if any retries are left.
    fn schedule_client_retry(&mut self, balancer: usize, id: u64) {
        let client_retries = self.requests[&id].client_retries + 1;
        if client_retries > MAX_CLIENT_RETRIES {
            return;
        }
        let id = self.next_request_id(balancer);
        let arrival = ScheduledEvent::RequestArrival {
            balancer,
            id,
            client_retries,
        };
        self.schedule(self.now + 0.2, arrival);
    }

    fn attempt_arrives(&mut self, balancer: usize, id: u64, upstream: u64) {
        let request = self.requests.get_mut(&id).unwrap();
        let deadline = request.deadline;
        let index = request.attempts.len() as u32;
        let sent_at = self.now;
        request.attempts.push(Attempt {
            upstream,
            sent_at,
            is_in_flight: true,
        });
        self.schedule_end(deadline, id, index, AttemptOutcome::TimedOut, sent_at);
        match self.record_arrival(balancer, upstream) {
            Some(outcome) => self.schedule_end(sent_at + 0.002, id, index, outcome, sent_at),
            None => {
                self.server(upstream).queue.push_back(QueuedAttempt {
                    request: id,
                    attempt: index,
                });
                self.process_queue(upstream);
            }
        }
    }

    /// Records the arrival of an attempt, unless the connection to the upstream fails. Returns the
    /// outcome of the attempt if it is not queued.
    fn record_arrival(&mut self, balancer: usize, upstream: u64) -> Option<AttemptOutcome> {
        let time = self.now;
        let server = self.servers.get_mut(&upstream).unwrap();
        if time < server.down_until {
            return Some(AttemptOutcome::ConnectFailed);
        }
        let entry = self.notified[balancer].get(&upstream);
        let was_notified =
            entry.is_some_and(|entry| (entry.started_at - server.started_at).abs() < 1e-3);
        server.arrivals.push(Arrival { time, was_notified });
        (server.queue.len() >= QUEUE_CAPACITY).then_some(AttemptOutcome::Rejected)
    }

    fn free_core(&mut self, upstream: u64, started_at: f64) {
        let server = self.server(upstream);
        if server.started_at == started_at {
            server.busy_cores -= 1;
            self.process_queue(upstream);
        }
    }

    /// Starts queued attempts while cores are free. During slow start, an upstream processes them
    /// at its present share of capacity.
    fn process_queue(&mut self, upstream: u64) {
        loop {
            let server = self.servers.get_mut(&upstream).unwrap();
            if server.busy_cores == CORES {
                return;
            }
            let Some(QueuedAttempt {
                request: id,
                attempt,
            }) = server.queue.pop_front()
            else {
                return;
            };
            server.busy_cores += 1;
            let started_at = server.started_at;
            let rules = &self.settings.rules;
            let share = rules.slow_start_share(started_at, self.now);
            let processing_time =
                -(1.0 - self.rng.random::<f64>()).ln() * CORES as f64 / CAPACITY / share;
            let done = self.now + processing_time;
            let sent_at = self.requests[&id].attempts[attempt as usize].sent_at;
            self.schedule_end(done, id, attempt, AttemptOutcome::Success, sent_at);
            let core_free = ScheduledEvent::CoreFree {
                upstream,
                started_at,
            };
            self.schedule(done, core_free);
        }
    }

    fn end_attempt(&mut self, id: u64, index: u32, outcome: AttemptOutcome, sent_at: f64) {
        let request = self.requests.get_mut(&id).unwrap();
        let attempt = &mut request.attempts[index as usize];
        if !std::mem::take(&mut attempt.is_in_flight) {
            return;
        }
        let elapsed = self.now - sent_at;
        let is_success = outcome == AttemptOutcome::Success;
        let is_in_time = elapsed < self.settings.classes[0].deadline;
        if is_success && is_in_time && is_measured(sent_at) {
            self.served_requests += 1.0;
        }
        let result = AttemptResult {
            id: RequestId(id),
            attempt: index,
            outcome,
            elapsed,
            connection_idle: None,
            is_request_concluded: is_success,
        };
        self.handle((id % 1000) as usize, Event::AttemptEnded(result));
    }

    pub fn served_share(&self) -> f64 {
        self.served_requests / self.measured_requests
    }

    /// Returns the largest ratio of arrivals to budget of all windows of slow start.
    pub fn worst_ratio(&self) -> f64 {
        let rules = &self.settings.rules;
        let servers = self.servers.values();
        let started = servers.filter(|server| server.started_at > 0.0);
        started.fold(0.0, |worst, server| worst.max(server.worst_ratio(rules)))
    }
}
