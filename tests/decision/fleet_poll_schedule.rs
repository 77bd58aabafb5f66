//! Simulates a fleet of balancers that poll the same discovery.
//!
//! Discovery handles polls one at a time. A poll that times out in the queue is refused but costs
//! discovery as much as any other, so a fleet that polls too often would be refused forever.
//! All times are seconds.

use crate::harness::entry;
use load_balancer::{Action, Balancer, DiscoveryMode, Event, ListScope, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const NOTIFICATION_DEADLINE: f64 = 6.0;
/// Discovery refuses a poll that has been queued for this long.
pub const QUEUE_TIMEOUT: f64 = 2.0;
/// If handling the polls in the queue takes longer than this, discovery refuses a new poll
/// immediately and at no cost.
const MAX_QUEUED_WORK: f64 = 4.0;
/// Discovery is down from this time until `OUTAGE_END`. The fleet starts at 0, so it has time to
/// receive its lists before the outage.
const OUTAGE_START: f64 = 8.0;
const OUTAGE_END: f64 = 16.0;
/// A third of the fleet restarts at this time, as in a release.
const RESTART_AT: f64 = OUTAGE_END + 3.0;
const SIMULATION_END: f64 = 46.0;

/// An event with the time and the node for which it is scheduled, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledStep {
    /// Time of the event in microseconds.
    micros: u64,
    node: usize,
    incarnation: u32,
    event: ScheduledEvent,
}

/// An event of one node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// The timer with this token fires.
    Timer(u64),
    /// The endpoint list is received.
    List,
    /// The poll is refused.
    Refusal,
}

/// A balancer of the fleet.
struct Node {
    balancer: Balancer,
    /// Number of restarts. Events that were scheduled before a restart are dropped.
    incarnation: u32,
    /// When the list was received; `None` until then, and while it is stale.
    list_since: Option<f64>,
}

/// The balancers of several services, and the discovery that they poll.
struct Fleet {
    settings: Vec<Settings>,
    nodes: Vec<Node>,
    schedule: BinaryHeap<Reverse<ScheduledStep>>,
    /// Polls that discovery handles per second.
    capacity: f64,
    /// When discovery will have handled all polls in its queue.
    busy_until: f64,
    seed: u64,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn is_in_outage(now: f64) -> bool {
    (OUTAGE_START..OUTAGE_END).contains(&now)
}

fn settings(peer_index: usize, peer_count: usize) -> Settings {
    let mut settings = Settings {
        peer_index,
        peer_count,
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.rules.notification_deadline = NOTIFICATION_DEADLINE;
    settings
}

impl Fleet {
    fn new(services: &[usize], capacity: f64, seed: u64) -> Self {
        let peers = services
            .iter()
            .flat_map(|&size| (0..size).map(move |peer_index| settings(peer_index, size)));
        let mut fleet = Fleet {
            settings: peers.collect(),
            nodes: Vec::new(),
            schedule: BinaryHeap::new(),
            capacity,
            busy_until: 0.0,
            seed,
        };
        for index in 0..fleet.settings.len() {
            let node = fleet.start_node(index, 0, 0.0);
            fleet.nodes.push(node);
            fleet.pass_list(index, 0.0, ListScope::Cached);
        }
        fleet
    }

    fn start_node(&self, index: usize, incarnation: u32, now: f64) -> Node {
        let seed = self.seed << 32 | u64::from(incarnation) << 16 | index as u64;
        Node {
            balancer: Balancer::new(self.settings[index].clone(), seed, now).unwrap(),
            incarnation,
            list_since: None,
        }
    }

    /// Passes a list, or a failed poll, to a balancer and schedules the timer that it sets, if any.
    fn pass_list(&mut self, index: usize, now: f64, scope: ListScope) {
        let mut actions = Vec::new();
        let endpoints = if scope == ListScope::Failed {
            Vec::new()
        } else {
            vec![entry(1)]
        };
        let event = Event::EndpointList { scope, endpoints };
        self.nodes[index].balancer.handle(now, event, &mut actions);
        for action in actions {
            if let Action::SetTimer { after, token } = action {
                self.schedule(index, now + after, ScheduledEvent::Timer(token));
            }
        }
    }

    fn schedule(&mut self, index: usize, time: f64, event: ScheduledEvent) {
        self.schedule.push(Reverse(ScheduledStep {
            micros: micros(time),
            node: index,
            incarnation: self.nodes[index].incarnation,
            event,
        }));
    }

    /// Schedules the list, or the refusal, with which discovery answers a poll.
    fn poll(&mut self, index: usize, now: f64) {
        let queued_work = (self.busy_until - now).max(0.0);
        if is_in_outage(now) {
            return self.schedule(index, now + QUEUE_TIMEOUT, ScheduledEvent::Refusal);
        }
        if queued_work > MAX_QUEUED_WORK {
            return self.schedule(index, now, ScheduledEvent::Refusal);
        }
        self.busy_until = self.busy_until.max(now) + 1.0 / self.capacity;
        if queued_work < QUEUE_TIMEOUT {
            self.schedule(index, self.busy_until, ScheduledEvent::List);
        } else {
            self.schedule(index, now + QUEUE_TIMEOUT, ScheduledEvent::Refusal);
        }
    }

    /// Marks all lists as stale, and reports a failed poll to each balancer that had received its
    /// list.
    fn begin_outage(&mut self) {
        self.busy_until = 0.0;
        for index in 0..self.nodes.len() {
            if self.nodes[index].list_since.take().is_some() {
                self.pass_list(index, OUTAGE_START, ListScope::Failed);
            }
        }
    }

    fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        self.nodes[index] = self.start_node(index, incarnation, RESTART_AT);
        self.pass_list(index, RESTART_AT, ListScope::Cached);
    }

    fn run_scheduled(&mut self, index: usize, now: f64, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Timer(token) => {
                let mut actions = Vec::new();
                let event = Event::TimerFired(token);
                self.nodes[index].balancer.handle(now, event, &mut actions);
                if actions.contains(&Action::WatchEndpoints) {
                    self.poll(index, now);
                }
            }
            ScheduledEvent::List if !is_in_outage(now) => {
                self.nodes[index].list_since = Some(now);
                self.pass_list(index, now, ListScope::Delta);
            }
            ScheduledEvent::List | ScheduledEvent::Refusal => {
                self.pass_list(index, now, ListScope::Failed);
            }
        }
    }

    /// Runs the simulation. Returns how long each balancer waited for its list, in ascending order:
    /// from the end of the outage, or from its restart if it was restarted. The wait of a balancer
    /// that received no list is infinite.
    fn run(mut self) -> Vec<f64> {
        let count = self.nodes.len();
        let mut waiting_since = vec![OUTAGE_END; count];
        let mut outage_has_begun = false;
        let mut to_restart: Vec<_> = (0..count).filter(|index| index % 3 == 0).collect();
        while let Some(Reverse(next)) = self.schedule.pop() {
            let now = next.micros as f64 / 1e6;
            if now >= SIMULATION_END {
                break;
            }
            if now >= OUTAGE_START && !outage_has_begun {
                outage_has_begun = true;
                self.begin_outage();
            }
            if now >= RESTART_AT {
                for index in std::mem::take(&mut to_restart) {
                    waiting_since[index] = RESTART_AT;
                    self.restart(index);
                }
            }
            if next.incarnation == self.nodes[next.node].incarnation {
                self.run_scheduled(next.node, now, next.event);
            }
        }
        let wait =
            |(node, since): (&Node, f64)| node.list_since.map_or(f64::INFINITY, |at| at - since);
        let mut waits: Vec<_> = self.nodes.iter().zip(waiting_since).map(wait).collect();
        waits.sort_by(f64::total_cmp);
        waits
    }
}

/// A fleet whose refused polls are repeated too soon keeps discovery overloaded.
#[test]
fn fleet_recovers_its_lists_after_a_discovery_outage() {
    for seed in 0..6 {
        for services in [&[270][..], &[50, 220], &[30, 90, 150], &[500]] {
            // Discovery needs six seconds for one poll of each balancer.
            let balancers = services.iter().sum::<usize>() as f64;
            let waits = Fleet::new(services, balancers / 6.0, seed).run();
            let (median, longest) = (waits[waits.len() / 2], waits[waits.len() - 1]);
            assert!(
                median < NOTIFICATION_DEADLINE && longest < 4.0 * NOTIFICATION_DEADLINE,
                "services {services:?}, seed {seed}: median {median} s, longest {longest} s; \
                 limits: {NOTIFICATION_DEADLINE} s and 4 times {NOTIFICATION_DEADLINE} s"
            );
        }
    }
}

/// The polls of a small fleet do not overload discovery, so they need not be delayed like those of
/// a large one.
#[test]
fn small_fleet_recovers_within_the_notification_deadline() {
    for seed in 0..20 {
        for size in [1, 3, 6, 12] {
            let waits = Fleet::new(&[size], 20.0, seed).run();
            assert!(
                waits.iter().all(|wait| *wait < NOTIFICATION_DEADLINE - 0.4),
                "{size} balancers, seed {seed}: waits {waits:?} s, expected less than \
                 {NOTIFICATION_DEADLINE} s - 0.4 s"
            );
        }
    }
}
