//! The faults of a simulation, which schedule events of upstreams and of balancers.

use super::simulation::{ScheduledEvent, Simulation};
use crate::harness::entry;
use load_balancer::{Maintenance, UpstreamEntry, UpstreamState};
use rand::Rng;

/// When the affected upstreams start, in seconds; in a rolling replacement, when the first of them
/// starts. From this time on, the load is 50 % higher for some seconds.
pub const UPSTREAM_START: f64 = 4.0;
/// How long an upstream is down during a restart outside maintenance, in seconds.
const DOWNTIME: f64 = 0.5;

/// A fault and the number of upstreams that it affects.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The upstreams restart at the same time.
    Restart(usize),
    /// The upstreams are replaced one after the other within seven seconds.
    RollingReplacement(usize),
    /// The upstreams are replaced at the same time.
    Replacement(usize),
    /// The upstreams restart, and connections to them fail from the beginning of the simulation
    /// until two seconds after their start.
    NetworkOutage(usize),
    /// The upstreams restart during maintenance and return to service within 0.2 s of each other.
    Maintenance(usize),
    /// The upstreams restart. Each balancer restarts with a probability of 0.7, and then loses its
    /// learned state.
    NewBalancers(usize),
}

fn started_entry(id: u64, started_at: f64) -> UpstreamEntry {
    UpstreamEntry {
        started_at,
        ..entry(id)
    }
}

fn draining_entry(id: u64) -> UpstreamEntry {
    UpstreamEntry {
        state: UpstreamState::Draining,
        ..entry(id)
    }
}

impl Simulation {
    /// Schedules the fault of this scenario.
    pub fn schedule_fault(&mut self) {
        match self.scenario.fault {
            Fault::Restart(count) => self.schedule_restart(count),
            Fault::RollingReplacement(count) => self.schedule_rolling_replacement(count as u64),
            Fault::Replacement(count) => self.schedule_replacement(count as u64),
            Fault::NetworkOutage(count) => self.schedule_network_outage(count),
            Fault::Maintenance(count) => self.schedule_maintenance(count as u64),
            Fault::NewBalancers(count) => self.schedule_new_balancers(count),
        }
    }

    /// Schedules the restart of the first `count` upstreams and returns their new entries.
    fn schedule_upstream_restarts(&mut self, count: usize) -> Vec<UpstreamEntry> {
        for upstream in 1..=count as u64 {
            let restart = ScheduledEvent::Start {
                upstream,
                downtime: DOWNTIME,
            };
            self.schedule(UPSTREAM_START - DOWNTIME, restart);
        }
        (1..=count as u64)
            .map(|id| started_entry(id, UPSTREAM_START))
            .collect()
    }

    fn schedule_restart(&mut self, count: usize) {
        let entries = self.schedule_upstream_restarts(count);
        self.schedule_notifications(UPSTREAM_START, &entries);
    }

    fn schedule_rolling_replacement(&mut self, count: u64) {
        let upstreams = self.scenario.upstreams as u64;
        for n in 0..count {
            let time = UPSTREAM_START + 7.0 * n as f64 / count as f64;
            let upstream = upstreams + 1 + n;
            let start = ScheduledEvent::Start {
                upstream,
                downtime: 0.0,
            };
            self.schedule(time, start);
            self.schedule_notifications(
                time,
                &[draining_entry(1 + n), started_entry(upstream, time)],
            );
        }
    }

    fn schedule_replacement(&mut self, count: u64) {
        let upstreams = self.scenario.upstreams as u64;
        for n in 1..=count {
            let start = ScheduledEvent::Start {
                upstream: upstreams + n,
                downtime: 0.0,
            };
            self.schedule(UPSTREAM_START, start);
        }
        let new = (1..=count).map(|n| started_entry(upstreams + n, UPSTREAM_START));
        let entries: Vec<_> = new.chain((1..=count).map(draining_entry)).collect();
        self.schedule_notifications(UPSTREAM_START, &entries);
    }

    fn schedule_network_outage(&mut self, count: usize) {
        let entries = self.schedule_upstream_restarts(count);
        for id in 1..=count as u64 {
            self.server(id).down_until = UPSTREAM_START + 2.0;
        }
        self.schedule_notifications(UPSTREAM_START, &entries);
    }

    fn schedule_maintenance(&mut self, count: u64) {
        for upstream in 1..=count {
            let restart = ScheduledEvent::Start {
                upstream,
                downtime: 1.0,
            };
            self.schedule(UPSTREAM_START - 1.0, restart);
            for balancer in 0..self.scenario.balancers {
                let delay = self.rng.random_range(0.0..0.2);
                for (time, change) in [
                    (UPSTREAM_START - 3.0 + delay, Maintenance::Begin),
                    (UPSTREAM_START + delay, Maintenance::End),
                ] {
                    let event = ScheduledEvent::Maintenance {
                        balancer,
                        upstream,
                        change,
                    };
                    self.schedule(time, event);
                }
            }
        }
    }

    fn schedule_new_balancers(&mut self, count: usize) {
        let entries = self.schedule_upstream_restarts(count);
        for balancer in 0..self.scenario.balancers {
            if self.rng.random_bool(0.7) {
                self.schedule(
                    UPSTREAM_START + 0.2,
                    ScheduledEvent::BalancerRestart { balancer },
                );
            }
        }
        self.schedule_notifications(UPSTREAM_START, &entries);
    }

    /// Schedules the notification of all balancers: most within half a second, about 15 % within
    /// three seconds.
    fn schedule_notifications(&mut self, time: f64, entries: &[UpstreamEntry]) {
        for balancer in 0..self.scenario.balancers {
            let is_late = self.rng.random_bool(0.15);
            let max_delay = if is_late { 3.0 } else { 0.5 };
            let delay = self.rng.random_range(0.0..max_delay);
            let entries = entries.to_vec();
            self.schedule(
                time + delay,
                ScheduledEvent::Notification { balancer, entries },
            );
        }
    }
}
