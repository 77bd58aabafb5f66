//! The poll schedule of one balancer.

use crate::fleet_poll_schedule::{NOTIFICATION_DEADLINE, QUEUE_TIMEOUT};
use crate::harness::empty_list;
use load_balancer::{Action, Balancer, DiscoveryMode, Event, ListScope, Settings};

/// Balancers that start together would overload discovery if they polled at the same time.
#[test]
fn balancers_poll_at_random_times() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    let mut delays = Vec::new();
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0).unwrap();
        let mut sum = 0.0;
        for scope in [ListScope::Cached, ListScope::Failed, ListScope::Failed] {
            let mut actions = Vec::new();
            balancer.handle(sum, empty_list(scope), &mut actions);
            let Action::SetTimer { after, token } = actions[0] else {
                panic!("expected a timer first, received {actions:?}")
            };
            assert!(after < 4.0 * settings.rules.poll_interval);
            sum += after;
            let mut actions = Vec::new();
            balancer.handle(sum, Event::TimerFired(token), &mut actions);
            assert_eq!(actions, [Action::WatchEndpoints]);
            if scope == ListScope::Cached {
                assert!(
                    after < settings.rules.poll_interval,
                    "first poll after {after} s, expected less than {} s",
                    settings.rules.poll_interval
                );
                delays.push(after);
            }
        }
    }
    delays.sort_by(f64::total_cmp);
    assert!(
        delays[40] - delays[10] > 1.0,
        "first polls after {delays:?} s; indices 10 and 40 must differ by more than 1 s"
    );
}

/// The notification deadline is met even if a watch breaks and up to three of the next polls fail
/// immediately.
#[test]
fn polls_are_repeated_within_the_notification_deadline() {
    let mut settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    settings.rules.notification_deadline = 6.0;
    // Passes an empty list or a failure to the balancer and fires the timer that it sets. Returns
    // the delay of the timer.
    let next_delay = |balancer: &mut Balancer, now, scope| {
        let mut actions = Vec::new();
        balancer.handle(now, empty_list(scope), &mut actions);
        let Action::SetTimer { after, token } = actions[0] else {
            panic!("expected a timer first, received {actions:?}")
        };
        balancer.handle(now + after, Event::TimerFired(token), &mut actions);
        after
    };
    for seed in 0..50 {
        let mut balancer = Balancer::new(settings.clone(), seed, 0.0).unwrap();
        let mut now = next_delay(&mut balancer, 0.0, ListScope::Cached);
        assert!(
            now < 1.6,
            "first poll after {now} s, expected less than 1.6 s"
        );
        // A poll fails after `elapsed` seconds, and each of the next three fails immediately.
        for elapsed in [2.0, 100.0] {
            let after = next_delay(&mut balancer, now + elapsed, ListScope::Failed);
            assert!(
                after < 1.6,
                "the next poll starts {after} s after a poll that failed after {elapsed} s, \
                 expected less than 1.6 s"
            );
            now += elapsed + after;
            let mut sum = 0.0;
            for _ in 0..3 {
                sum += next_delay(&mut balancer, now + sum, ListScope::Failed);
            }
            assert!(
                sum < 2.0,
                "three delays add up to {sum} s, expected less than 2 s"
            );
            now += sum;
        }
    }
}

/// Each poll ends less than the notification deadline after the end of the previous poll, even if
/// discovery queues it until the queue timeout. A balancer therefore misses the deadline only if
/// its polls keep failing for longer than the deadline.
#[test]
fn polls_end_within_the_notification_deadline_in_fleets_of_any_size() {
    for (peer_count, seed) in [1, 3, 30, 100, 1000, 8700]
        .iter()
        .flat_map(|n| (0..50).map(move |s| (*n, s)))
    {
        let mut settings = Settings {
            peer_count,
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        };
        settings.rules.notification_deadline = NOTIFICATION_DEADLINE;
        let mut balancer = Balancer::new(settings, seed, 0.0).unwrap();
        let mut now = 0.0;
        for (count, scope) in [ListScope::Cached]
            .into_iter()
            .chain([ListScope::Failed; 4])
            .chain([ListScope::Delta])
            .enumerate()
        {
            let mut actions = Vec::new();
            balancer.handle(now, empty_list(scope), &mut actions);
            if scope == ListScope::Delta {
                assert_eq!(actions, []);
                balancer.handle(now, empty_list(ListScope::Failed), &mut actions);
            }
            let Action::SetTimer { after, token } = actions[0] else {
                panic!("expected a timer first, received {actions:?}")
            };
            assert!(
                after + QUEUE_TIMEOUT < NOTIFICATION_DEADLINE - 0.3,
                "{peer_count} peers, seed {seed}: poll {count} starts after {after} s, expected \
                 less than {NOTIFICATION_DEADLINE} s - {QUEUE_TIMEOUT} s - 0.3 s"
            );
            now += after;
            balancer.handle(now, Event::TimerFired(token), &mut actions);
            now += QUEUE_TIMEOUT;
        }
    }
}
