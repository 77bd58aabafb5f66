//! Slow start of the fleet: what all balancers together send to upstreams that have just started.
//!
//! Reading of the rule: what the settings allow at a moment is `rules.fallMultiple` x the least
//! part of its work that `rules.startCapacity` and `rules.cold` promise by then x
//! `rules.tipAfter` x what a warm upstream takes, a figure of this world. N is that of a
//! window's first moment, so the least in it. More than N + 2 sqrt(N) + 2 arrivals in a window
//! that is no longer, turned away or not, while it is cold, are a fall. It counts where over two
//! thirds came from balancers that had been told of the start.

use crate::harness::{entry, request};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Event, ListScope, Maintenance, RequestId,
    Rules, Settings, UpstreamEntry, UpstreamId, UpstreamState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const SEEDS: u64 = 2;
const WINDOW: f64 = 3.0;
/// When upstreams start. A burst of half as much again begins there.
const START: f64 = 4.0;
const BURST: f64 = 6.0;
const END: f64 = 14.0;
/// Calls that an upstream works at a time, and those that may wait there.
const CORES: usize = 3;
const ROOM: usize = 12;
/// For how long an upstream is down before it starts again.
const DOWN: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// So many restart at once.
    Restart(usize),
    /// So many are replaced one after the other within seven seconds, each by one that joins as
    /// it leaves.
    Replace(usize),
    /// The same, all at once.
    Swap(usize),
    /// So many restart behind a network that lets nothing through for some seconds.
    Heal(usize),
    /// So many restart while operators have them out, and are put back together.
    Maintenance(usize),
    /// So many restart while seven in ten balancers are new and know nothing yet.
    Crash(usize),
}

#[derive(Clone, Copy, Debug)]
struct World {
    callers: usize,
    upstreams: usize,
    /// Traffic over the capacity of all.
    load: f64,
    trouble: Trouble,
    seed: u64,
}

/// Calls of mean work a second that a warm upstream takes: few, so that a call of each balancer
/// weighs.
const CAPACITY: f64 = 4.0;

#[derive(Default)]
struct Server {
    since: f64,
    down_until: f64,
    busy: usize,
    queue: VecDeque<(u64, u32)>,
    /// When each came, and whether its caller had been told of the start.
    came: Vec<(f64, bool)>,
}

enum What {
    Arrive {
        caller: usize,
        id: u64,
        tries: u32,
    },
    Timer {
        caller: usize,
        token: u64,
    },
    Serve {
        upstream: u64,
        generation: f64,
    },
    End {
        id: u64,
        attempt: u32,
        outcome: AttemptOutcome,
        sent: f64,
    },
    Tell {
        caller: usize,
        entries: Vec<UpstreamEntry>,
    },
    Operate {
        caller: usize,
        upstream: u64,
        out: bool,
    },
    Begin {
        upstream: u64,
        down: f64,
    },
    Renew {
        caller: usize,
    },
}

/// Where to, when, and whether it is out.
type Attempt = (u64, f64, bool);

struct Sim {
    world: World,
    settings: Settings,
    rng: Pcg64Mcg,
    now: f64,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    what: BTreeMap<u64, What>,
    balancers: Vec<Balancer>,
    /// What each balancer has been told of each upstream.
    notification_deadline: Vec<BTreeMap<u64, UpstreamEntry>>,
    servers: BTreeMap<u64, Server>,
    /// The client's tries before each call, its attempts, and when its time is up.
    calls: BTreeMap<u64, (u32, Vec<Attempt>, f64)>,
    next: u64,
    asked: f64,
    served: f64,
}

impl Sim {
    fn new(world: World, rules: Rules) -> Self {
        let work = CORES as f64 / CAPACITY;
        let mut class = Settings::simple().classes[0].clone();
        (class.latency_objective, class.deadline) = (8.0 * work, 16.0 * work);
        let settings = Settings {
            classes: vec![class],
            peer_count: world.callers,
            rules,
            ..Settings::simple()
        };
        let mut sim = Sim {
            settings,
            rng: Pcg64Mcg::seed_from_u64(world.seed),
            now: 0.0,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            balancers: Vec::new(),
            notification_deadline: vec![BTreeMap::new(); world.callers],
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            next: 1,
            asked: 0.0,
            served: 0.0,
            world,
        };
        let all: Vec<_> = (1..=world.upstreams as u64).map(entry).collect();
        all.iter()
            .for_each(|e| drop(sim.servers.insert(e.id.0, Server::default())));
        for peer_index in 0..world.callers {
            let balancer = sim.balancer(peer_index);
            sim.balancers.push(balancer);
            sim.at(
                0.0,
                What::Tell {
                    caller: peer_index,
                    entries: all.clone(),
                },
            );
        }
        sim.arrivals();
        sim.trouble();
        sim
    }

    fn balancer(&mut self, peer_index: usize) -> Balancer {
        let settings = Settings {
            peer_index,
            ..self.settings.clone()
        };
        Balancer::new(settings, self.rng.random(), self.now).unwrap()
    }

    fn at(&mut self, time: f64, what: What) {
        self.events
            .push(Reverse(((time * 1e6).ceil() as u64, self.next)));
        self.what.insert(self.next, what);
        self.next += 1;
    }

    /// Uneven traffic: some callers have up to five times the mean.
    fn arrivals(&mut self) {
        let World {
            callers,
            upstreams,
            load,
            ..
        } = self.world;
        let weights: Vec<f64> = (0..callers).map(|n| (1.0 + n as f64).powf(-0.8)).collect();
        let mean = weights.iter().sum::<f64>() / callers as f64;
        let weights: Vec<f64> = weights.iter().map(|w| w.min(5.0 * mean)).collect();
        let rate = load * upstreams as f64 * CAPACITY / weights.iter().sum::<f64>();
        let shift = self.rng.random_range(0..callers);
        for (n, weight) in weights.iter().enumerate() {
            let caller = (n * 7 + shift) % callers;
            let mut time = 0.0;
            while time < END {
                let burst = if (START..START + BURST).contains(&time) {
                    1.5
                } else {
                    1.0
                };
                time -= (1.0 - self.rng.random::<f64>()).ln() / (rate * weight * burst);
                let id = self.id(caller);
                self.at(
                    time,
                    What::Arrive {
                        caller,
                        id,
                        tries: 0,
                    },
                );
            }
        }
    }

    /// Tells all balancers within half a second, some up to three seconds late.
    fn tell(&mut self, time: f64, entries: Vec<UpstreamEntry>) {
        for caller in 0..self.world.callers {
            let late = self.rng.random_bool(0.15);
            let after = self.rng.random_range(0.0..if late { 3.0 } else { 0.5 });
            self.at(
                time + after,
                What::Tell {
                    caller,
                    entries: entries.clone(),
                },
            );
        }
    }

    fn trouble(&mut self) {
        let all = self.world.upstreams as u64;
        let started = |id: u64, since: f64| UpstreamEntry {
            started_at: since,
            ..entry(id)
        };
        let gone = |id: u64| UpstreamEntry {
            state: UpstreamState::Draining,
            ..entry(id)
        };
        let restart = |sim: &mut Sim, count: usize, down: f64| {
            for id in 1..=count as u64 {
                sim.at(START - down, What::Begin { upstream: id, down });
            }
            (1..=count as u64)
                .map(|id| started(id, START))
                .collect::<Vec<_>>()
        };
        match self.world.trouble {
            Trouble::Restart(count) => {
                let entries = restart(self, count, DOWN);
                self.tell(START, entries);
            }
            Trouble::Replace(count) => {
                for n in 0..count as u64 {
                    let time = START + 7.0 * n as f64 / count as f64;
                    self.at(
                        time,
                        What::Begin {
                            upstream: all + 1 + n,
                            down: 0.0,
                        },
                    );
                    self.tell(time, vec![gone(1 + n), started(all + 1 + n, time)]);
                }
            }
            Trouble::Swap(count) => {
                (1..=count as u64).for_each(|n| {
                    self.at(
                        START,
                        What::Begin {
                            upstream: all + n,
                            down: 0.0,
                        },
                    )
                });
                let mut entries: Vec<_> = (1..=count as u64)
                    .map(|n| started(all + n, START))
                    .collect();
                entries.extend((1..=count as u64).map(gone));
                self.tell(START, entries);
            }
            Trouble::Heal(count) => {
                let entries = restart(self, count, DOWN);
                (1..=count as u64)
                    .for_each(|id| self.servers.get_mut(&id).unwrap().down_until = START + 2.0);
                self.tell(START, entries);
            }
            Trouble::Maintenance(count) => {
                for upstream in 1..=count as u64 {
                    self.at(
                        START - 1.0,
                        What::Begin {
                            upstream,
                            down: 1.0,
                        },
                    );
                    for caller in 0..self.world.callers {
                        let after = self.rng.random_range(0.0..0.2);
                        self.at(
                            START - 3.0 + after,
                            What::Operate {
                                caller,
                                upstream,
                                out: true,
                            },
                        );
                        self.at(
                            START + after,
                            What::Operate {
                                caller,
                                upstream,
                                out: false,
                            },
                        );
                    }
                }
            }
            Trouble::Crash(count) => {
                let entries = restart(self, count, DOWN);
                for caller in 0..self.world.callers {
                    if self.rng.random_bool(0.7) {
                        self.at(START + 0.2, What::Renew { caller });
                    }
                }
                self.tell(START, entries);
            }
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((time, key))) = self.events.pop() {
            self.now = time as f64 / 1e6;
            match self.what.remove(&key).unwrap() {
                What::Arrive { caller, id, tries } => {
                    self.asked += f64::from(u8::from(
                        tries == 0 && (START..START + 10.0).contains(&self.now),
                    ));
                    let remaining = self.settings.classes[0].deadline;
                    self.calls
                        .insert(id, (tries, Vec::new(), self.now + remaining));
                    self.handle(caller, request(id, 0, remaining));
                }
                What::Timer { caller, token } => self.handle(caller, Event::TimerFired(token)),
                What::End {
                    id,
                    attempt,
                    outcome,
                    sent,
                } => self.end(id, attempt, outcome, sent),
                What::Serve {
                    upstream,
                    generation,
                } => {
                    let server = self.servers.get_mut(&upstream).unwrap();
                    if server.since == generation {
                        server.busy -= 1;
                        self.serve(upstream);
                    }
                }
                What::Tell { caller, entries } => {
                    self.notification_deadline[caller]
                        .extend(entries.iter().map(|e| (e.id.0, e.clone())));
                    let scope = if self.now == 0.0 {
                        ListScope::Full
                    } else {
                        ListScope::Delta
                    };
                    self.handle(
                        caller,
                        Event::EndpointList {
                            scope,
                            endpoints: entries,
                        },
                    );
                }
                What::Operate {
                    caller,
                    upstream,
                    out,
                } => {
                    if let Some(e) = self.notification_deadline[caller]
                        .get_mut(&upstream)
                        .filter(|_| !out)
                    {
                        e.started_at = START;
                    }
                    self.handle(
                        caller,
                        Event::Maintenance {
                            upstream: UpstreamId(upstream),
                            change: if out {
                                Maintenance::Begin
                            } else {
                                Maintenance::End
                            },
                        },
                    );
                }
                What::Begin { upstream, down } => self.begin(upstream, down),
                What::Renew { caller } => {
                    let entries: Vec<_> = self.notification_deadline[caller]
                        .values()
                        .cloned()
                        .collect();
                    self.balancers[caller] = self.balancer(caller);
                    self.handle(
                        caller,
                        Event::EndpointList {
                            scope: ListScope::Full,
                            endpoints: entries,
                        },
                    );
                }
            }
        }
    }

    fn begin(&mut self, upstream: u64, down: f64) {
        let since = self.now + down;
        let server = self.servers.entry(upstream).or_default();
        server.down_until = server.down_until.max(since);
        (server.since, server.busy) = (since, 0);
        server.queue.clear();
        // What was there is reset.
        let mut lost = Vec::new();
        for (id, (_, tries, _)) in &self.calls {
            let there = tries
                .iter()
                .enumerate()
                .filter(|(_, t)| t.0 == upstream && t.2);
            lost.extend(there.map(|(n, t)| (*id, n as u32, t.1)));
        }
        for (id, attempt, sent) in lost {
            self.at(
                self.now,
                What::End {
                    id,
                    attempt,
                    outcome: AttemptOutcome::Reset,
                    sent,
                },
            );
        }
    }

    /// Gives one event to a balancer and does what it says.
    fn handle(&mut self, caller: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[caller].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartAttempt { id, upstream, .. } => self.arrive(caller, id.0, upstream.0),
                Action::SetTimer { after, token } => {
                    self.at(self.now + after, What::Timer { caller, token })
                }
                Action::CancelAttempt { id, attempt } => {
                    let (upstream, sent, out) = self.calls[&id.0].1[attempt as usize];
                    self.servers
                        .get_mut(&upstream)
                        .unwrap()
                        .queue
                        .retain(|(held, n)| (*held, *n) != (id.0, attempt));
                    if out {
                        let outcome = AttemptOutcome::Cancelled;
                        self.at(
                            self.now + 0.001,
                            What::End {
                                id: id.0,
                                attempt,
                                outcome,
                                sent,
                            },
                        );
                    }
                }
                // The client comes again, twice at the most.
                Action::Reject { id, .. } if self.calls[&id.0].0 < 2 => {
                    let (tries, id) = (self.calls[&id.0].0 + 1, self.id(caller));
                    self.at(self.now + 0.2, What::Arrive { caller, id, tries });
                }
                _ => {}
            }
        }
    }

    fn id(&mut self, caller: usize) -> u64 {
        self.next += 1;
        self.next * 1000 + caller as u64
    }

    /// One attempt comes to an upstream.
    fn arrive(&mut self, caller: usize, id: u64, upstream: u64) {
        let (_, tries, due) = self.calls.get_mut(&id).unwrap();
        let due = *due;
        tries.push((upstream, self.now, true));
        let (attempt, sent) = (tries.len() as u32 - 1, self.now);
        self.at(
            due,
            What::End {
                id,
                attempt,
                outcome: AttemptOutcome::TimedOut,
                sent,
            },
        );
        let server = self.servers.get_mut(&upstream).unwrap();
        let mut refusal = (sent < server.down_until).then_some(AttemptOutcome::ConnectFailed);
        if refusal.is_none() {
            let told = self.notification_deadline[caller]
                .get(&upstream)
                .is_some_and(|e| (e.started_at - server.since).abs() < 1e-3);
            server.came.push((sent, told));
            refusal = (server.queue.len() >= ROOM).then_some(AttemptOutcome::Rejected);
        }
        match refusal {
            Some(outcome) => self.at(
                sent + 0.002,
                What::End {
                    id,
                    attempt,
                    outcome,
                    sent,
                },
            ),
            None => {
                server.queue.push_back((id, attempt));
                self.serve(upstream);
            }
        }
    }

    /// Takes the next calls into work. A cold upstream is slower by as much as the settings
    /// allow it.
    fn serve(&mut self, upstream: u64) {
        loop {
            let server = self.servers.get_mut(&upstream).unwrap();
            if server.busy == CORES {
                return;
            }
            let Some((id, attempt)) = server.queue.pop_front() else {
                return;
            };
            server.busy += 1;
            let share = self.settings.rules.slow_start_share(server.since, self.now);
            let work = -(1.0 - self.rng.random::<f64>()).ln() * CORES as f64 / CAPACITY / share;
            let (generation, done) = (server.since, self.now + work);
            let sent = self.calls[&id].1[attempt as usize].1;
            self.at(
                done,
                What::End {
                    id,
                    attempt,
                    outcome: AttemptOutcome::Success,
                    sent,
                },
            );
            self.at(
                done,
                What::Serve {
                    upstream,
                    generation,
                },
            );
        }
    }

    fn end(&mut self, id: u64, attempt: u32, outcome: AttemptOutcome, sent: f64) {
        let tried = &mut self.calls.get_mut(&id).unwrap().1[attempt as usize];
        if !std::mem::take(&mut tried.2) {
            return;
        }
        let elapsed = self.now - sent;
        let good =
            outcome == AttemptOutcome::Success && elapsed < self.settings.classes[0].deadline;
        self.served += f64::from(u8::from(good && (START..START + 10.0).contains(&sent)));
        let concluded = outcome == AttemptOutcome::Success;
        let end = AttemptResult {
            id: RequestId(id),
            attempt,
            outcome,
            elapsed,
            connection_idle: None,
            request_concluded: concluded,
        };
        self.handle((id % 1000) as usize, Event::AttemptEnded(end));
    }

    /// The worst window of all upstreams that have started: its arrivals over the budget.
    fn worst(&self) -> f64 {
        let mut worst: f64 = 0.0;
        for server in self.servers.values().filter(|s| s.since > 0.0) {
            let warm = server.since + self.settings.rules.slow_start_window;
            let cold = server
                .came
                .iter()
                .filter(|c| c.0 >= server.since && c.0 < warm);
            let came: Vec<_> = cold.collect();
            for (first, (begin, _)) in came.iter().enumerate() {
                let share = self.settings.rules.slow_start_share(server.since, *begin);
                let allowed = self.settings.rules.overload_multiple * CAPACITY * share * WINDOW;
                let budget = allowed + 2.0 * allowed.sqrt() + 2.0;
                let (mut all, mut told) = (0.0, 0.0);
                for (_, knew) in came[first..].iter().take_while(|c| c.0 < begin + WINDOW) {
                    all += 1.0;
                    told += f64::from(u8::from(*knew));
                    if told > all * 2.0 / 3.0 {
                        worst = worst.max(all / budget);
                    }
                }
            }
        }
        worst
    }
}

/// The worst window over its budget, and the share of the calls served from the start on.
fn play(world: World) -> (f64, f64) {
    let rules = Rules {
        initial_capacity_share: 0.31,
        slow_start_window: 9.0,
        overload_multiple: 3.0,
        ..Settings::simple().rules
    };
    let mut sim = Sim::new(world, rules);
    sim.run();
    (sim.worst(), sim.served / sim.asked)
}

/// Plays all troubles, with calls that the fleet can do, and twice as many as it can.
fn play_all(callers: usize) {
    use Trouble::*;
    let upstreams = 10;
    for trouble in [
        Restart(1),
        Restart(3),
        Replace(6),
        Swap(10),
        Heal(3),
        Maintenance(3),
        Crash(3),
    ] {
        for load in [0.7, 1.4] {
            let plays = (1..=SEEDS).map(|seed| {
                play(World {
                    callers,
                    upstreams,
                    load,
                    trouble,
                    seed,
                })
            });
            let (worst, served) = plays.fold((0.0, 0.0), |(worst, sum), (w, s)| {
                (f64::max(worst, w), sum + s)
            });
            let served = served / SEEDS as f64;
            println!(
                "{callers} balancers, {trouble:?}, load {load}: {worst:.2} of the budget, served {served:.2}"
            );
            assert!(
                worst <= 1.0,
                "{callers} balancers, {trouble:?}, load {load}: {worst:.2} of the budget"
            );
        }
    }
}

#[test]
fn three_balancers_spare_cold_upstreams() {
    play_all(3);
}

#[test]
fn ten_balancers_spare_cold_upstreams() {
    play_all(10);
}

#[test]
fn thirty_balancers_spare_cold_upstreams() {
    play_all(30);
}

#[test]
fn a_hundred_balancers_spare_cold_upstreams() {
    play_all(100);
}

/// Guards against an upstream that gets its part twice once operators have put it back: from the
/// callers that turn it over, and a first call from each of the others.
#[test]
fn one_put_back_gets_no_more_from_a_large_fleet_than_one_that_restarts() {
    let worst = |trouble| {
        let world = |seed| World {
            callers: 100,
            upstreams: 10,
            load: 1.4,
            trouble,
            seed,
        };
        (1..=3).map(|seed| play(world(seed)).0).sum::<f64>()
    };
    let (back, restarted) = (worst(Trouble::Maintenance(3)), worst(Trouble::Restart(3)));
    assert!(
        back <= 1.1 * restarted,
        "{back:.2} against {restarted:.2} of three budgets"
    );
}
