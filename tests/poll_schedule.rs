//! Lists that are asked for: the calls of a whole fleet at one discovery, and what a balancer does meanwhile.
//!
//! Discovery takes calls in turn, one after the other. Each costs it the same, also one that is refused because its
//! turn has not come in time: a fleet that asks too often is refused for ever, whatever time passes.

mod common;
use common::*;
use load_balancer::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const TOLD: f64 = 6.0;
/// A call whose turn has not come by then is refused.
const TURN: f64 = 2.0;
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
                settings.rules.notification_deadline = TOLD;
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
            return self.push(at, now + TURN, Due::Refused);
        }
        if waits > FULL {
            return self.push(at, now, Due::Refused);
        }
        self.busy = self.busy.max(now) + 1.0 / self.capacity;
        match waits < TURN {
            true => self.push(at, self.busy, Due::Heard),
            false => self.push(at, now + TURN, Due::Refused),
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

/// Guards against a fleet that keeps discovery overrun once it has been: calls that are refused after their turn are
/// made again so soon that none ever has its turn in time.
#[test]
fn a_fleet_has_its_lists_again_after_discovery_was_down() {
    for seed in 0..6 {
        // The whole fleet asked once takes discovery six seconds.
        for services in [&[270][..], &[50, 220], &[30, 90, 150], &[500]] {
            let all = services.iter().sum::<usize>() as f64;
            let took = Fleet::new(services, all / 6.0, seed).play();
            let (half, last) = (took[took.len() / 2], took[took.len() - 1]);
            assert!(
                half < TOLD && last < 4.0 * TOLD,
                "{services:?}, seed {seed}: {half} {last}"
            );
        }
    }
}

/// Guards against a small fleet that waits for the sake of a crowd that it is not.
#[test]
fn a_small_fleet_has_its_lists_before_their_news_count_as_told() {
    for seed in 0..20 {
        for size in [1, 3, 6, 12] {
            let took = Fleet::new(&[size], 20.0, seed).play();
            assert!(
                took.iter().all(|took| *took < TOLD - 0.4),
                "{size}, seed {seed}: {took:?}"
            );
        }
    }
}

/// Guards against a call that would have its turn only after its news count as told, in a fleet of any size, where not
/// all calls have failed for longer than that.
#[test]
fn no_fleet_is_so_large_that_a_call_comes_too_late() {
    for (peer_count, seed) in [1, 3, 30, 100, 1000, 8700]
        .iter()
        .flat_map(|n| (0..50).map(move |s| (*n, s)))
    {
        let mut settings = Settings {
            peer_count,
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        };
        settings.rules.notification_deadline = TOLD;
        let mut balancer = Balancer::new(settings, seed, 0.0).unwrap();
        let mut now = 0.0;
        for (count, scope) in [ListScope::Cached]
            .into_iter()
            .chain([ListScope::Failed; 4])
            .chain([ListScope::Delta])
            .enumerate()
        {
            let mut actions = Vec::new();
            balancer.handle(
                now,
                Event::EndpointList {
                    scope,
                    endpoints: vec![],
                },
                &mut actions,
            );
            if scope == ListScope::Delta {
                assert_eq!(actions, []);
                balancer.handle(
                    now,
                    Event::EndpointList {
                        scope: ListScope::Failed,
                        endpoints: vec![],
                    },
                    &mut actions,
                );
            }
            let Action::SetTimer { after, token } = actions[0] else {
                panic!("{actions:?}")
            };
            assert!(after + TURN < TOLD - 0.3, "{peer_count} {count} {after}");
            now += after;
            balancer.handle(now, Event::TimerFired(token), &mut actions);
            now += TURN;
        }
    }
}

/// A balancer whose list is stale (or not), of so many upstreams of which the first `full` turn every call away; how
/// many calls each of those had.
fn play_calls(stale: bool, upstreams: u64, full: u64, calls: u64) -> (Rig, Vec<usize>) {
    let mut settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.classes[0].deadline = 60.0;
    let mut rig = Rig::new(settings, upstreams);
    if stale {
        rig.list(ListScope::Failed, vec![]);
    }
    let mut had = vec![0; upstreams as usize + 1];
    send_calls(&mut rig, 1, full, calls, &mut had);
    (rig, had)
}

fn send_calls(rig: &mut Rig, first: u64, full: u64, calls: u64, had: &mut [usize]) {
    for id in first..first + calls {
        rig.now += 0.5;
        let mut actions = rig.on(request(id, 0, 60.0));
        let mut attempt = 0;
        while let Some((_, upstream)) = sends(&actions).into_iter().find(|(sent, _)| *sent == id) {
            had[upstream as usize] += 1;
            let outcome = if upstream <= full {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::Success
            };
            actions = rig.on(end(id, attempt, outcome));
            attempt += 1;
        }
    }
}

/// Guards against calls that go on to upstreams which drain while the list can't be heard: they say so themselves.
#[test]
fn behind_a_stale_list_upstreams_that_turn_all_away_are_left_out() {
    let (mut rig, mut had) = play_calls(true, 6, 2, 300);
    assert!(had[1] <= 3 && had[2] <= 3, "{had:?}");
    assert_eq!(rig.balancer.excluded_upstreams(), 2, "operators are told");
    // It is heard again, and lists them still: they are tried as before.
    rig.list(ListScope::Delta, vec![]);
    let before = had.clone();
    send_calls(&mut rig, 1000, 0, 300, &mut had);
    assert!(had[1] > before[1] && had[2] > before[2], "{had:?}");
}

/// Guards against a list that is heard and not believed, and against a crowd that is taken for a release.
#[test]
fn upstreams_that_turn_calls_away_are_tried_again_where_the_list_is_heard_or_most_do() {
    let (_, had) = play_calls(false, 6, 2, 300);
    assert!(had[1] > 3 && had[2] > 3, "{had:?}");
    let (_, had) = play_calls(true, 6, 6, 300);
    assert!(
        had[1..].iter().filter(|had| **had > 3).count() >= 3,
        "{had:?}"
    );
}
