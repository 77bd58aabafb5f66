//! What holds for any sequence of events.

use crate::harness::{attempt_ended, class, entry, request, Harness, WITH_IDEMPOTENCY_KEY};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, DeduplicationScope, DiscoveryMode, Event,
    Idempotency, ListScope, RequestId, Settings, UpstreamEntry, UpstreamState,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// What the world knows of one request.
#[derive(Default)]
struct Known {
    class: usize,
    deadline: f64,
    answered: bool,
    tries: Vec<(u64, f64, Option<AttemptOutcome>)>,
}

/// Plays random events and checks every action against the rules.
fn play(
    steps: Vec<(u8, u64, u8)>,
    hedging_allowed: bool,
    cancellation_allowed: bool,
    ask: bool,
) -> Result<(), TestCaseError> {
    let effects = [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        WITH_IDEMPOTENCY_KEY[0],
        WITH_IDEMPOTENCY_KEY[1],
        WITH_IDEMPOTENCY_KEY[2],
    ];
    let zoned = |id: u64| UpstreamEntry {
        zone: id as usize % 3,
        ..entry(id)
    };
    let mut settings = Settings {
        classes: effects.map(class).to_vec(),
        ..Settings::simple()
    };
    settings.limits.hedging_allowed = hedging_allowed;
    settings.limits.cancellation_allowed = cancellation_allowed;
    settings.discovery_mode = if ask {
        DiscoveryMode::Poll
    } else {
        DiscoveryMode::Push
    };
    let mut harness = Harness::new(settings.clone(), 0);
    harness.update_endpoints(ListScope::Full, (1..=6).map(zoned).collect());
    let mut on: BTreeMap<u64, bool> = (1..=6).map(|id| (id, true)).collect();
    let mut known: BTreeMap<u64, Known> = BTreeMap::new();
    let mut timers: Vec<(f64, u64)> = Vec::new();
    let mut next = 1;
    let quiet = std::iter::repeat_n((9, 0, 0), 4000);
    for (kind, pick, detail) in steps.into_iter().chain(quiet) {
        let open: Vec<(u64, u32)> = known
            .iter()
            .flat_map(|(id, k)| {
                k.tries
                    .iter()
                    .enumerate()
                    .map(move |(n, t)| (*id, n as u32, t.2))
            })
            .filter(|t| t.2.is_none())
            .map(|t| (t.0, t.1))
            .collect();
        // Attempts end at their deadline at the latest.
        let due = open
            .iter()
            .find(|(id, _)| known[id].deadline <= harness.now)
            .copied();
        timers.sort_by(|a, b| b.0.total_cmp(&a.0));
        let event = match kind {
            _ if due.is_some() => {
                let (id, n) = due.unwrap();
                let k = known.get_mut(&id).unwrap();
                k.tries[n as usize].2 = Some(AttemptOutcome::TimedOut);
                let (outcome, concluded) = (AttemptOutcome::TimedOut, k.answered);
                Event::AttemptEnded(AttemptResult {
                    id: RequestId(id),
                    attempt: n,
                    outcome,
                    elapsed: 1.0,
                    connection_idle: None,
                    request_concluded: concluded,
                })
            }
            _ if timers.last().is_some_and(|t| t.0 <= harness.now) => {
                Event::TimerFired(timers.pop().unwrap().1)
            }
            0..=2 => {
                let (class, deadline) = (detail as usize % 5, harness.now + 2.0);
                known.insert(
                    next,
                    Known {
                        class,
                        deadline,
                        ..Known::default()
                    },
                );
                next += 1;
                request(next - 1, class, 2.0)
            }
            3..=5 if !open.is_empty() => {
                let (id, n) = open[pick as usize % open.len()];
                let outcomes = [
                    AttemptOutcome::Success,
                    AttemptOutcome::Success,
                    AttemptOutcome::Error,
                    AttemptOutcome::InvalidResponse,
                    AttemptOutcome::Rejected,
                    AttemptOutcome::ConnectFailed,
                    AttemptOutcome::Reset,
                    AttemptOutcome::Cancelled,
                    AttemptOutcome::NotSent,
                ];
                let outcome = outcomes[detail as usize % outcomes.len()];
                let k = known.get_mut(&id).unwrap();
                k.tries[n as usize].2 = Some(outcome);
                k.answered |= outcome == AttemptOutcome::Success;
                let (concluded, elapsed) = (k.answered, 0.05);
                Event::AttemptEnded(AttemptResult {
                    id: RequestId(id),
                    attempt: n,
                    outcome,
                    elapsed,
                    connection_idle: None,
                    request_concluded: concluded,
                })
            }
            6 => {
                let (id, now_on) = (1 + pick % 6, detail % 3 != 0);
                on.insert(id, now_on);
                let state = if now_on {
                    UpstreamState::Active
                } else {
                    UpstreamState::Draining
                };
                Event::EndpointList {
                    scope: ListScope::Delta,
                    endpoints: vec![UpstreamEntry { state, ..zoned(id) }],
                }
            }
            7 if !known.is_empty() => {
                let (id, k) = known
                    .iter_mut()
                    .nth(pick as usize % next.min(5) as usize % (next - 1) as usize)
                    .unwrap();
                k.answered = true;
                Event::ClientDisconnected(RequestId(*id))
            }
            _ => {
                harness.now += 0.02;
                continue;
            }
        };
        for action in harness.handle(event) {
            match action {
                Action::StartAttempt { id, upstream, .. } => {
                    let k = known.get_mut(&id.0).unwrap();
                    prop_assert!(!k.answered, "sent after its answer");
                    prop_assert!(on[&upstream.0], "sent to a drained upstream");
                    prop_assert!(k.tries.len() < settings.limits.max_attempts as usize);
                    prop_assert!(hedging_allowed || k.tries.iter().all(|t| t.2.is_some()));
                    let ran = k
                        .tries
                        .iter()
                        .find(|t| !t.2.is_some_and(AttemptOutcome::never_started));
                    match (effects[k.class], ran) {
                        (Idempotency::NonIdempotent, Some(_)) => {
                            prop_assert!(false, "an effect twice")
                        }
                        (Idempotency::IdempotencyKey { scope }, Some(first)) => {
                            prop_assert!(
                                scope != DeduplicationScope::Cell || first.0 % 2 == upstream.0 % 2
                            );
                            prop_assert!(
                                scope != DeduplicationScope::Zone || first.0 % 3 == upstream.0 % 3
                            );
                            prop_assert!(harness.now < first.1 + 1.0);
                        }
                        _ => {}
                    }
                    k.tries.push((upstream.0, harness.now, None));
                }
                Action::Reject { id, .. } | Action::Fail { id } => {
                    let k = known.get_mut(&id.0).unwrap();
                    prop_assert!(!k.answered, "answered twice");
                    let ran = k
                        .tries
                        .iter()
                        .any(|t| !t.2.is_some_and(AttemptOutcome::never_started));
                    let bound = effects[k.class] == Idempotency::NonIdempotent
                        || WITH_IDEMPOTENCY_KEY[1..].contains(&effects[k.class]);
                    prop_assert!(
                        matches!(action, Action::Fail { .. }) || !(ran && bound),
                        "refused what may have run"
                    );
                    k.answered = true;
                }
                Action::CancelAttempt { .. } => {
                    prop_assert!(cancellation_allowed, "cancelled where that is forbidden")
                }
                Action::SetTimer { after, token } => timers.push((harness.now + after, token)),
                _ => {}
            }
        }
        for (id, k) in &known {
            prop_assert!(
                k.answered || harness.now <= k.deadline + 0.02,
                "{id} has no answer"
            );
        }
    }
    prop_assert_eq!(harness.open_and_in_flight(), (0, 0));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: prop::test_runner::RngSeed::Fixed(20_261_128),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_mix_of_events_keeps_the_rules(
        steps in prop::collection::vec((0u8..10, 0u64..1000, 0u8..120), 0..400),
        hedging_allowed: bool,
        cancellation_allowed: bool,
        ask: bool,
    ) {
        play(steps, hedging_allowed, cancellation_allowed, ask)?;
    }
}

#[test]
fn decisions_are_deterministic_when_instances_are_interleaved() {
    let settings = |peer_index| {
        let classes = [Idempotency::Idempotent, Idempotency::NonIdempotent]
            .map(class)
            .to_vec();
        Settings {
            classes,
            peer_index,
            peer_count: 2,
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        }
    };
    let start = |peer_index: usize| Harness {
        balancer: Balancer::new(settings(peer_index), 5, 100.0).unwrap(),
        now: 100.0,
    };
    let step = |harness: &mut Harness, n: u64| -> Vec<Action> {
        harness.now += 0.02;
        match n % 7 {
            0 if n == 0 => {
                harness.update_endpoints(ListScope::Cached, (1..=6).map(entry).collect())
            }
            1 | 3 | 5 => harness.handle(request(n, (n % 2) as usize, 2.0)),
            2 => harness.handle(attempt_ended(n - 1, 0, AttemptOutcome::Success)),
            4 => harness.handle(attempt_ended(n - 1, 0, AttemptOutcome::Reset)),
            6 => harness.handle(attempt_ended(n - 1, 0, AttemptOutcome::Rejected)),
            _ => harness.handle(Event::TimerFired(n.saturating_sub(5))),
        }
    };
    let alone = |peer_index| {
        let mut harness = start(peer_index);
        (0..3000).map(|n| step(&mut harness, n)).collect::<Vec<_>>()
    };
    let (first, second) = (alone(0), alone(1));
    assert_eq!(first, alone(0));
    let (mut a, mut b) = (start(0), start(1));
    for n in 0..3000 {
        assert_eq!(step(&mut a, n), first[n as usize]);
        assert_eq!(step(&mut b, n), second[n as usize]);
    }
    assert_ne!(first, second);
}
