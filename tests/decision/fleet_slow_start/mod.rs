//! Slow start of the fleet: what all balancers together send to upstreams that have just started.
//!
//! Each window of `BUDGET_WINDOW` seconds during slow start has a budget of N + 2 sqrt(N) + 2
//! arrivals. N is the product of the overload multiple, the upstream's share of capacity, and the
//! requests that a warm upstream can process in a window. The share is that at the start of the
//! window, where it is smallest. More arrivals than the budget, rejected or not, are an overload.
//! An overload counts only if more than two thirds of the arrivals came from balancers that had
//! been notified of the upstream's start.

mod faults;
mod scenario;
mod server;
mod simulation;

use faults::Fault;
use load_balancer::{Rules, Settings};
use scenario::Scenario;
use simulation::Simulation;

const SEED_COUNT: u64 = 2;
const UPSTREAM_COUNT: usize = 10;

/// The result of a simulation.
struct SimulationResult {
    /// Arrivals in the worst window, divided by its budget.
    worst_ratio: f64,
    /// Share of the measured requests that were served in time.
    served_share: f64,
}

fn simulate(scenario: Scenario) -> SimulationResult {
    let rules = Rules {
        initial_capacity_share: 0.31,
        slow_start_window: 9.0,
        overload_multiple: 3.0,
        ..Settings::simple().rules
    };
    let mut simulation = Simulation::new(scenario, rules);
    simulation.run();
    SimulationResult {
        worst_ratio: simulation.worst_ratio(),
        served_share: simulation.served_share(),
    }
}

/// Simulates each fault with a mean load of 0.7 and of 1.4 of the upstreams' capacity, and checks
/// that no upstream receives more than its budget in slow start.
fn check_all_faults(balancers: usize) {
    for fault in [
        Fault::Restart(1),
        Fault::Restart(3),
        Fault::RollingReplacement(6),
        Fault::Replacement(10),
        Fault::NetworkOutage(3),
        Fault::Maintenance(3),
        Fault::NewBalancers(3),
    ] {
        for load in [0.7, 1.4] {
            let (mut worst, mut served): (f64, f64) = (0.0, 0.0);
            for seed in 1..=SEED_COUNT {
                let result = simulate(Scenario {
                    balancers,
                    upstreams: UPSTREAM_COUNT,
                    load,
                    fault,
                    seed,
                });
                worst = worst.max(result.worst_ratio);
                served += result.served_share / SEED_COUNT as f64;
            }
            let case = format!("{balancers} balancers, {fault:?}, load {load}");
            println!("{case}: {worst:.2} times the budget, served share {served:.2}");
            assert!(
                worst <= 1.0,
                "{case}: {worst:.2} times the budget in the worst window, expected at most 1"
            );
        }
    }
}

#[test]
fn three_balancers_do_not_overload_warming_upstreams() {
    check_all_faults(3);
}

#[test]
fn ten_balancers_do_not_overload_warming_upstreams() {
    check_all_faults(10);
}

#[test]
fn thirty_balancers_do_not_overload_warming_upstreams() {
    check_all_faults(30);
}

#[test]
fn a_hundred_balancers_do_not_overload_warming_upstreams() {
    check_all_faults(100);
}

/// An upstream returned from maintenance gets requests from balancers that have it in their subset,
/// and one request from each of the others. All these requests together must not overload it more
/// than a restart does.
#[test]
fn return_from_maintenance_brings_no_more_load_than_a_restart() {
    let sum_of_worst = |fault| {
        let worst = |seed| {
            let scenario = Scenario {
                balancers: 100,
                upstreams: UPSTREAM_COUNT,
                load: 1.4,
                fault,
                seed,
            };
            simulate(scenario).worst_ratio
        };
        (1..=3).map(worst).sum::<f64>()
    };
    let sum_after_maintenance = sum_of_worst(Fault::Maintenance(3));
    let sum_after_restart = sum_of_worst(Fault::Restart(3));
    assert!(
        sum_after_maintenance <= 1.1 * sum_after_restart,
        "sums of 3 seeds: {sum_after_maintenance:.2} times the budget after maintenance, \
         {sum_after_restart:.2} after a restart; expected at most 1.1 times as much"
    );
}
