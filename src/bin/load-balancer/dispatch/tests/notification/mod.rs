//! Tests how long it takes until a change of the endpoint list is known, whatever the outcomes of
//! earlier requests to discovery are.

mod fake_discovery;
mod harness;

use super::super::*;
use crate::discovery::watch_set::MAX_WATCHES;
use fake_discovery::{FakeDiscovery, RequestOutcome, RequestOutcome::*};
use harness::{advance_seconds, advance_until, run, start, start_in_fleet, time_until_known};

/// The time within which a change must be known in these tests. The notification deadline is 6 s;
/// the remaining 0.4 s allow for a busy process.
const NOTIFICATION_DEADLINE: Duration = Duration::from_millis(5600);

const ALL_MODES: [DiscoveryMode; 2] = [DiscoveryMode::Push, DiscoveryMode::Poll];
const ALL_FAILURES: [RequestOutcome; 7] = [
    Unanswered,
    Refused,
    QueuedThenRefused,
    Reset,
    ResetInList,
    ResetAfterList,
    Silent,
];

/// Returns alternative scripts for the requests that follow a failed one.
fn script_tails() -> Vec<Vec<RequestOutcome>> {
    let mut all = vec![vec![], vec![QueuedThenRefused], vec![Unanswered]];
    all.extend([Refused, Reset, ResetInList].map(|outcome| vec![outcome; 3]));
    all
}

/// If discovery has a change when a request fails, the change must be known in time. The next
/// requests therefore have to be sent soon enough, even if some of them fail too.
#[test]
fn changes_are_known_in_time_after_failed_requests() {
    run(async {
        let mut late_changes = Vec::new();
        for (first, tail) in ALL_FAILURES
            .iter()
            .flat_map(|first| script_tails().into_iter().map(move |tail| (*first, tail)))
        {
            let script = [vec![first], tail].concat();
            for mode in ALL_MODES {
                for seed in 0..4 {
                    let discovery = FakeDiscovery::listening(&script);
                    let dispatcher = start(discovery.address, mode, seed);
                    advance_until(|| discovery.request_count() > 0).await;
                    let time = time_until_known(&dispatcher, &discovery).await;
                    late_changes.extend(
                        (time > NOTIFICATION_DEADLINE)
                            .then(|| format!("{mode:?}, {script:?}: known after {time:?}")),
                    );
                }
            }
        }
        assert!(
            late_changes.is_empty(),
            "known after more than {NOTIFICATION_DEADLINE:?}: {late_changes:#?}"
        );
    });
}

/// In push mode watches connect to a local agent. A change counts as known as soon as this agent
/// has it, even if no watch is open. On real sockets the grace period of a drain is 0.45 s. This
/// period has to cover a stall of 0.15 s, which leaves 0.3 s until a failed watch is reopened.
#[test]
fn failed_push_watch_is_reopened_within_the_grace_period() {
    let reconnect_limit = Duration::from_millis(300);
    run(async {
        for first in [Refused, Reset, ResetInList, ResetAfterList] {
            for count in [1, 2, 60] {
                let discovery = FakeDiscovery::listening(&vec![first; count]);
                let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
                advance_until(|| discovery.request_count() == count).await;
                let time = time_until_known(&dispatcher, &discovery).await;
                assert!(
                    time <= reconnect_limit,
                    "{count} x {first:?}: known after {time:?}, limit {reconnect_limit:?}"
                );
            }
        }
        let discovery = FakeDiscovery::not_listening(&[]);
        let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
        advance_seconds(8).await;
        discovery.listen();
        let time = time_until_known(&dispatcher, &discovery).await;
        assert!(
            time <= reconnect_limit,
            "outage: known after {time:?}, limit {reconnect_limit:?}"
        );
    });
}

/// After a switch to a new discovery address, changes must be known in time for all outcomes of the
/// first requests there, also if the old address was silent at the switch.
#[test]
fn changes_are_known_in_time_after_an_address_change() {
    run(async {
        let mut late_changes = Vec::new();
        for (first, tail) in ALL_FAILURES
            .iter()
            .flat_map(|first| script_tails().into_iter().map(move |tail| (*first, tail)))
        {
            let script = [vec![first], tail].concat();
            for (mode, old) in ALL_MODES
                .iter()
                .flat_map(|mode| [Silent, Unanswered, AnsweredAfter(0)].map(|old| (*mode, old)))
            {
                let (old, new) = (
                    FakeDiscovery::listening(&[old]),
                    FakeDiscovery::listening(&script),
                );
                let dispatcher = start(old.address, mode, script.len() as u64);
                advance_until(|| old.request_count() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(new.address);
                let time = time_until_known(&dispatcher, &new).await;
                late_changes.extend(
                    (time > NOTIFICATION_DEADLINE)
                        .then(|| format!("{mode:?}, {script:?}: known after {time:?}")),
                );
            }
        }
        assert!(
            late_changes.is_empty(),
            "known after more than {NOTIFICATION_DEADLINE:?}: {late_changes:#?}"
        );
    });
}

/// The backoff grows while discovery is down. It must stay so short that changes are known in time
/// once discovery is up, even if the discovery address was changed during the outage.
#[test]
fn changes_are_known_in_time_after_discovery_was_down() {
    run(async {
        for mode in ALL_MODES {
            for (seed, moves) in [
                (1, 0),
                (2, 0),
                (3, 0),
                (4, 1),
                (5, 1),
                (6, 2),
                (7, 2),
                (8, 3),
            ] {
                for is_backlog_full in [false, true] {
                    let (old, other, new) = (
                        FakeDiscovery::listening(&[Silent]),
                        FakeDiscovery::listening(&[Unanswered]),
                        FakeDiscovery::not_listening(&[]),
                    );
                    if is_backlog_full {
                        new.fill_backlog();
                    }
                    let initial_address =
                        |moves| if moves == 0 { new.address } else { old.address };
                    let dispatcher = start(initial_address(moves), mode, seed);
                    // Discovery is not up yet at the address `new`. The balancer has this address
                    // from the beginning, switches to it directly or by way of `other`, or switches
                    // to it, then to `other` and back to `new`.
                    let routes = [
                        vec![],
                        vec![&new],
                        vec![&other, &new],
                        vec![&new, &other, &new],
                    ];
                    for next in &routes[moves] {
                        dispatcher.borrow_mut().set_discovery_address(next.address);
                        advance_seconds(1).await;
                    }
                    advance_seconds(8).await;
                    new.listen();
                    let time = time_until_known(&dispatcher, &new).await;
                    assert!(
                        time <= NOTIFICATION_DEADLINE,
                        "{mode:?}, {moves} moves, full backlog {is_backlog_full}: \
                        known after {time:?}, limit {NOTIFICATION_DEADLINE:?}"
                    );
                }
            }
        }
    });
}

/// The backoff after queued requests grows with the fleet and may exceed the time within which a
/// change must be known. It must not grow if no request has reached discovery, because then none
/// has put load on it.
#[test]
fn changes_are_known_in_time_after_a_long_outage_in_a_fleet_of_any_size() {
    run(async {
        let mut late_changes = Vec::new();
        for (peer_count, is_backlog_full) in [30, 300, 8700]
            .iter()
            .flat_map(|peer_count| [(*peer_count, false), (*peer_count, true)])
        {
            for (seed, outage_seconds) in (0..8).flat_map(|seed| [(seed, 20), (seed, 60)]) {
                let discovery = FakeDiscovery::not_listening(&[]);
                if is_backlog_full {
                    discovery.fill_backlog();
                }
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                advance_seconds(outage_seconds).await;
                discovery.listen();
                let time = time_until_known(&dispatcher, &discovery).await;
                late_changes.extend((time > NOTIFICATION_DEADLINE).then(|| {
                    format!(
                        "{peer_count} peers, full backlog {is_backlog_full}, \
                        outage of {outage_seconds} s: known after {time:?}"
                    )
                }));
            }
        }
        assert!(
            late_changes.is_empty(),
            "known after more than {NOTIFICATION_DEADLINE:?}: {late_changes:#?}"
        );
    });
}

/// Changes must be known in time after discovery, or a proxy in front of it, has refused many
/// requests in a row without queueing them.
#[test]
fn changes_are_known_in_time_after_many_refusals_in_a_fleet_of_any_size() {
    run(async {
        let mut late_changes = Vec::new();
        for (peer_count, outcome) in [30, 300, 8700]
            .iter()
            .flat_map(|peer_count| [(*peer_count, Refused), (*peer_count, Reset)])
        {
            for (seed, count) in (0..8).flat_map(|seed| [(seed, 5), (seed, 9)]) {
                let discovery = FakeDiscovery::listening(&vec![outcome; count]);
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                advance_until(|| discovery.request_count() == count).await;
                let time = time_until_known(&dispatcher, &discovery).await;
                late_changes.extend(
                    (time > NOTIFICATION_DEADLINE)
                        .then(|| format!("{peer_count} peers, {count} x {outcome:?}: {time:?}")),
                );
            }
        }
        assert!(
            late_changes.is_empty(),
            "known after more than {NOTIFICATION_DEADLINE:?}: {late_changes:#?}"
        );
    });
}

/// Requests that discovery queues for a long time must not be closed in favour of newer ones,
/// because then no request would get a response. Once a request has a response, all other requests
/// must be closed and not sent again.
#[test]
fn long_queued_request_is_answered() {
    run(async {
        for (mode, is_address_changed) in ALL_MODES
            .iter()
            .flat_map(|mode| [(*mode, false), (*mode, true)])
        {
            let (old, other) = (
                FakeDiscovery::listening(&[Silent]),
                FakeDiscovery::listening(&[Unanswered; 60]),
            );
            let discovery = FakeDiscovery::listening(&[AnsweredAfter(30); 60]);
            let dispatcher = start(
                if is_address_changed {
                    old.address
                } else {
                    discovery.address
                },
                mode,
                1,
            );
            if is_address_changed {
                advance_until(|| old.request_count() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(other.address);
                dispatcher
                    .borrow_mut()
                    .set_discovery_address(discovery.address);
            }
            advance_until(|| discovery.request_count() > 0).await;
            let time = time_until_known(&dispatcher, &discovery).await;
            assert!(
                time < Duration::from_secs(31),
                "{mode:?}, address changed {is_address_changed}: known after {time:?}, limit 31 s"
            );
            assert_eq!(
                (
                    dispatcher.borrow().watches.len(),
                    dispatcher.borrow().watches.is_broken()
                ),
                (1, false)
            );
            let request_count = discovery.request_count();
            advance_seconds(60).await;
            assert_eq!(discovery.request_count(), request_count, "{mode:?}");
        }
    });
}

/// A queued request must be neither closed nor sent a second time before the response timeout of
/// poll mode.
#[test]
fn queued_request_is_not_repeated() {
    run(async {
        for seed in 0..6 {
            let discovery = FakeDiscovery::listening(&[Unanswered]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            advance_until(|| discovery.request_count() > 0).await;
            // 2.5 s exceed the response timeout in push mode and the time for which discovery
            // queues a request, but not the response timeout in poll mode.
            let check_at = discovery.request_times.borrow()[0] + Duration::from_millis(2500);
            advance_until(|| Instant::now() >= check_at).await;
            assert_eq!(
                (discovery.request_count(), dispatcher.borrow().watches.len()),
                (1, 1)
            );
            let discovery = FakeDiscovery::listening(&[QueuedThenRefused]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            advance_until(|| discovery.request_count() > 1).await;
            assert_eq!(dispatcher.borrow().watches.len(), 1);
        }
    });
}

/// A slow discovery service must not be flooded: no request is sent within 2.5 s of the previous
/// one, and at most `MAX_WATCHES` requests are open at the same time.
#[test]
fn slow_discovery_is_not_flooded() {
    run(async {
        for seed in 0..6 {
            let discovery = FakeDiscovery::listening(&[Unanswered; 60]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            while discovery.request_count() < 20 {
                advance_seconds(1).await;
                assert!(dispatcher.borrow().watches.len() <= MAX_WATCHES);
            }
            let request_times = discovery.request_times.borrow();
            assert!(
                request_times
                    .windows(2)
                    .all(|pair| pair[1] - pair[0] > Duration::from_millis(2500)),
                "{request_times:?}"
            );
        }
    });
}

/// While the new address is silent, the watch on the old one is the only source of changes.
#[test]
fn old_watch_stays_authoritative_while_the_new_address_is_silent() {
    run(async {
        for mode in ALL_MODES {
            let (old, new) = (
                FakeDiscovery::listening(&[ChangesAfter(12)]),
                FakeDiscovery::listening(&[Unanswered; 60]),
            );
            let dispatcher = start(old.address, mode, 1);
            advance_until(|| old.request_count() > 0).await;
            dispatcher.borrow_mut().set_discovery_address(new.address);
            assert!(
                time_until_known(&dispatcher, &old).await < Duration::from_secs(13),
                "{mode:?}"
            );
            assert!(new.request_count() > 3);
        }
    });
}

/// Descriptors are reserved for discovery, whatever clients and upstreams use.
#[test]
fn watch_is_opened_when_all_other_descriptors_are_in_use() {
    run(async {
        for mode in ALL_MODES {
            let discovery = FakeDiscovery::listening(&[Reset, Unanswered, Unanswered]);
            let dispatcher = start(discovery.address, mode, 1);
            let budget = dispatcher.borrow().resources.descriptors.clone();
            let permits: Vec<_> =
                std::iter::from_fn(|| budget.acquire(crate::socket::Purpose::Rejection)).collect();
            // Another process takes half of the descriptors.
            budget.set_limit(512);
            assert!(permits.len() > 512);
            advance_until(|| discovery.request_count() > 0).await;
            let time = time_until_known(&dispatcher, &discovery).await;
            assert!(
                time <= Duration::from_secs(6),
                "{mode:?}: known after {time:?}, limit 6 s"
            );
        }
    });
}
