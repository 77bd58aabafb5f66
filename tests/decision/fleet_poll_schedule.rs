//! The polls of a whole fleet at one discovery.
//!
//! Discovery handles polls one after the other. Each costs it the same, also one that it refuses
//! because its turn has not come in time: a fleet that polls too often would be refused forever.

use crate::harness::entry;
use load_balancer::{Action, Balancer, DiscoveryMode, Event, ListScope, Settings};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const NOTIFICATION_DEADLINE: f64 = 6.0;
/// A call whose turn has not come by then is refused.
pub const QUEUE_TIMEOUT: f64 = 2.0;
/// With more work than this before it, in seconds, discovery refuses a call at once, at no cost.
const FULL: f64 = 4.0;
/// The fleet starts at 0 and has its lists; discovery is down between these.
const DOWN: f64 = 8.0;
const BACK: f64 = 16.0;
const END: f64 = 46.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Heard,
    Refused,
}

struct Node {
    balancer: Balancer,
    /// Calls of before count no more once it has started anew.
    life: u32,
    heard: Option<f64>,
}

/// A fleet of services of these sizes, of which a part starts anew around discovery's return.
struct Fleet {
    settings: Vec<Settings>,
    nodes: Vec<Node>,
    due: BinaryHeap<Reverse<(u64, usize, u32, Due)>>,
    /// Calls that discovery works off in a second, and when it has worked off all that it has.
    capacity: f64,
    busy: f64,
    seed: u64,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl Fleet {
    fn new(services: &[usize], capacity: f64, seed: u64) -> Self {
        let settings = services.iter().flat_map(|&size| {
            (0..size).map(move |peer_index| {
                let mut settings = Settings {
                    peer_index,
                    peer_count: size,
                    discovery_mode: DiscoveryMode::Poll,
                    ..Settings::simple()
                };
                settings.rules.notification_deadline = NOTIFICATION_DEADLINE;
                settings
            })
        });
        let settings: Vec<_> = settings.collect();
        let mut fleet = Fleet {
            settings,
            nodes: Vec::new(),
            due: BinaryHeap::new(),
            capacity,
            busy: 0.0,
            seed,
        };
        for at in 0..fleet.settings.len() {
            let node = fleet.node(at, 0, 0.0);
            fleet.nodes.push(node);
            fleet.on(at, 0.0, ListScope::Cached);
        }
        fleet
    }

    fn node(&self, at: usize, life: u32, now: f64) -> Node {
        let seed = self.seed << 32 | u64::from(life) << 16 | at as u64;
        Node {
            balancer: Balancer::new(self.settings[at].clone(), seed, now).unwrap(),
            life,
            heard: None,
        }
    }

    /// Tells a balancer of a list, and minds when it will ask for one.
    fn on(&mut self, at: usize, now: f64, scope: ListScope) {
        let mut actions = Vec::new();
        let entries = if scope == ListScope::Failed {
            Vec::new()
        } else {
            vec![entry(1)]
        };
        self.nodes[at].balancer.handle(
            now,
            Event::EndpointList {
                scope,
                endpoints: entries,
            },
            &mut actions,
        );
        for action in actions {
            if let Action::SetTimer { after, token } = action {
                self.push(at, now + after, Due::Timer(token));
            }
        }
    }

    fn push(&mut self, at: usize, time: f64, due: Due) {
        self.due
            .push(Reverse((micros(time), at, self.nodes[at].life, due)));
    }

    fn call(&mut self, at: usize, now: f64) {
        let waits = (self.busy - now).max(0.0);
        if (DOWN..BACK).contains(&now) {
            return self.push(at, now + QUEUE_TIMEOUT, Due::Refused);
        }
        if waits > FULL {
            return self.push(at, now, Due::Refused);
        }
        self.busy = self.busy.max(now) + 1.0 / self.capacity;
        match waits < QUEUE_TIMEOUT {
            true => self.push(at, self.busy, Due::Heard),
            false => self.push(at, now + QUEUE_TIMEOUT, Due::Refused),
        }
    }

    fn start_anew(&mut self, at: usize, now: f64) {
        self.nodes[at] = self.node(at, self.nodes[at].life + 1, now);
        self.on(at, now, ListScope::Cached);
    }

    /// Plays it; how long after discovery's return, or its own start, each of them had its list.
    fn play(mut self) -> Vec<f64> {
        let all = self.nodes.len();
        let mut down = false;
        let mut born = vec![BACK; all];
        // A third of them three seconds after the return, as in a release.
        let mut anew: Vec<_> = (0..all).filter(|at| at % 3 == 0).collect();
        while let Some(Reverse((time, at, life, due))) = self.due.pop() {
            let now = time as f64 / 1e6;
            if now >= END {
                break;
            }
            if now >= DOWN && !down {
                down = true;
                self.busy = 0.0;
                for at in 0..all {
                    if self.nodes[at].heard.take().is_some() {
                        self.on(at, DOWN, ListScope::Failed);
                    }
                }
            }
            if now >= BACK + 3.0 {
                for at in std::mem::take(&mut anew) {
                    born[at] = BACK + 3.0;
                    self.start_anew(at, born[at]);
                }
            }
            if life != self.nodes[at].life {
                continue;
            }
            match due {
                Due::Timer(token) => {
                    let mut actions = Vec::new();
                    self.nodes[at]
                        .balancer
                        .handle(now, Event::TimerFired(token), &mut actions);
                    let asks = actions.contains(&Action::WatchEndpoints);
                    asks.then(|| self.call(at, now));
                }
                Due::Heard if !(DOWN..BACK).contains(&now) => {
                    self.nodes[at].heard = Some(now);
                    self.on(at, now, ListScope::Delta);
                }
                Due::Heard | Due::Refused => self.on(at, now, ListScope::Failed),
            }
        }
        let took =
            |(node, born): (&Node, f64)| node.heard.map_or(f64::INFINITY, |heard| heard - born);
        let mut took: Vec<_> = self.nodes.iter().zip(born).map(took).collect();
        took.sort_by(f64::total_cmp);
        took
    }
}

/// A fleet whose refused polls are repeated too soon keeps discovery overloaded.
#[test]
fn fleet_recovers_its_lists_after_a_discovery_outage() {
    for seed in 0..6 {
        // The whole fleet asked once takes discovery six seconds.
        for services in [&[270][..], &[50, 220], &[30, 90, 150], &[500]] {
            let all = services.iter().sum::<usize>() as f64;
            let took = Fleet::new(services, all / 6.0, seed).play();
            let (half, last) = (took[took.len() / 2], took[took.len() - 1]);
            assert!(
                half < NOTIFICATION_DEADLINE && last < 4.0 * NOTIFICATION_DEADLINE,
                "{services:?}, seed {seed}: {half} {last}"
            );
        }
    }
}

/// A small fleet need not wait as a large one has to.
#[test]
fn small_fleet_recovers_within_the_notification_deadline() {
    for seed in 0..20 {
        for size in [1, 3, 6, 12] {
            let took = Fleet::new(&[size], 20.0, seed).play();
            assert!(
                took.iter().all(|took| *took < NOTIFICATION_DEADLINE - 0.4),
                "{size}, seed {seed}: {took:?}"
            );
        }
    }
}
