//! Invariants that hold for any sequence of events.

use crate::harness::{attempt_ended, class, entry, request, Harness, WITH_IDEMPOTENCY_KEY};
use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, DeduplicationScope, DiscoveryMode, Event,
    Idempotency, ListScope, RequestId, Settings, UpstreamEntry, UpstreamId, UpstreamState,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The idempotency of each request class, by class index.
const IDEMPOTENCY_BY_CLASS: [Idempotency; 5] = [
    Idempotency::Idempotent,
    Idempotency::NonIdempotent,
    WITH_IDEMPOTENCY_KEY[0],
    WITH_IDEMPOTENCY_KEY[1],
    WITH_IDEMPOTENCY_KEY[2],
];

/// The outcomes to draw from. Success is listed twice, so it is about twice as likely as any other.
const OUTCOMES: [AttemptOutcome; 9] = [
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

const UPSTREAM_COUNT: u64 = 6;
/// How long each client waits for its response, in seconds.
const CLIENT_TIMEOUT: f64 = 2.0;
/// How far the clock advances in a step without an event, in seconds.
const TICK: f64 = 0.02;
/// Deduplication window of the harness's classes, in seconds.
const DEDUPLICATION_WINDOW: f64 = 1.0;

/// One random step: the kind of event, the choice of its attempt, upstream or client, and its
/// detail (class, outcome or state).
type Step = (u8, u64, u8);

/// An attempt that the balancer has started.
struct SentAttempt {
    upstream: u64,
    sent_at: f64,
    outcome: Option<AttemptOutcome>,
}

impl SentAttempt {
    fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(AttemptOutcome::never_started)
    }
}

/// A request that the balancer has received.
#[derive(Default)]
struct SentRequest {
    class: usize,
    deadline: f64,
    is_concluded: bool,
    attempts: Vec<SentAttempt>,
}

impl SentRequest {
    fn idempotency(&self) -> Idempotency {
        IDEMPOTENCY_BY_CLASS[self.class]
    }

    fn first_possible_run(&self) -> Option<&SentAttempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// Runs random events and checks each action against the rules.
struct RandomRun {
    settings: Settings,
    harness: Harness,
    /// Whether each upstream is listed as active.
    is_active: BTreeMap<u64, bool>,
    requests: BTreeMap<u64, SentRequest>,
    /// Time and token of each timer that is set.
    timers: Vec<(f64, u64)>,
    next_request: u64,
}

fn entry_in_zone(id: u64) -> UpstreamEntry {
    UpstreamEntry {
        zone: id as usize % 3,
        ..entry(id)
    }
}

impl RandomRun {
    fn new(hedging_allowed: bool, cancellation_allowed: bool, mode: DiscoveryMode) -> Self {
        let mut settings = Settings {
            classes: IDEMPOTENCY_BY_CLASS.map(class).to_vec(),
            discovery_mode: mode,
            ..Settings::simple()
        };
        settings.limits.hedging_allowed = hedging_allowed;
        settings.limits.cancellation_allowed = cancellation_allowed;
        let mut harness = Harness::new(settings.clone(), 0);
        let entries = (1..=UPSTREAM_COUNT).map(entry_in_zone).collect();
        harness.update_endpoints(ListScope::Full, entries);
        RandomRun {
            settings,
            harness,
            is_active: (1..=UPSTREAM_COUNT).map(|id| (id, true)).collect(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            next_request: 1,
        }
    }

    fn run(mut self, steps: Vec<Step>) -> Result<(), TestCaseError> {
        let ticks = std::iter::repeat_n((9, 0, 0), 4000);
        for step in steps.into_iter().chain(ticks) {
            let Some(event) = self.next_event(step) else {
                self.harness.now += TICK;
                continue;
            };
            for action in self.harness.handle(event) {
                self.check_action(&action)?;
            }
            self.check_deadlines()?;
        }
        prop_assert_eq!(self.harness.open_and_in_flight(), (0, 0));
        Ok(())
    }

    /// Returns the end of an attempt whose client's deadline has passed. If there is none, returns
    /// the firing of a timer that is due, or else the event of this step. Returns `None` if the
    /// step only advances the clock.
    fn next_event(&mut self, (kind, pick, detail): Step) -> Option<Event> {
        let in_flight = self.in_flight();
        let now = self.harness.now;
        let has_expired = |(id, _): &&(u64, usize)| self.requests[id].deadline <= now;
        if let Some((id, attempt)) = in_flight.iter().find(has_expired).copied() {
            return Some(self.end_attempt(id, attempt, AttemptOutcome::TimedOut, 1.0));
        }
        self.timers.sort_by(|a, b| b.0.total_cmp(&a.0));
        if self.timers.last().is_some_and(|(time, _)| *time <= now) {
            return self.timers.pop().map(|(_, token)| Event::TimerFired(token));
        }
        match kind {
            0..=2 => Some(self.send_request(detail as usize % IDEMPOTENCY_BY_CLASS.len())),
            3..=5 if !in_flight.is_empty() => {
                let (id, attempt) = in_flight[pick as usize % in_flight.len()];
                let outcome = OUTCOMES[detail as usize % OUTCOMES.len()];
                Some(self.end_attempt(id, attempt, outcome, 0.05))
            }
            6 => Some(self.change_state(1 + pick % UPSTREAM_COUNT, detail % 3 != 0)),
            7 if !self.requests.is_empty() => Some(self.disconnect_client(pick)),
            _ => None,
        }
    }

    /// Returns the attempts in flight by request id and attempt index.
    fn in_flight(&self) -> Vec<(u64, usize)> {
        let of_request = |(id, request): (&u64, &SentRequest)| {
            let attempts = request.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.outcome.is_none());
            let id = *id;
            in_flight.map(|(index, _)| (id, index)).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(of_request).collect()
    }

    fn send_request(&mut self, class: usize) -> Event {
        let id = self.next_request;
        self.next_request += 1;
        let sent = SentRequest {
            class,
            deadline: self.harness.now + CLIENT_TIMEOUT,
            ..SentRequest::default()
        };
        self.requests.insert(id, sent);
        request(id, class, CLIENT_TIMEOUT)
    }

    fn end_attempt(
        &mut self,
        id: u64,
        attempt: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
    ) -> Event {
        let request = self.requests.get_mut(&id).unwrap();
        request.attempts[attempt].outcome = Some(outcome);
        request.is_concluded |= outcome == AttemptOutcome::Success;
        Event::AttemptEnded(AttemptResult {
            id: RequestId(id),
            attempt: attempt as u32,
            outcome,
            elapsed,
            connection_idle: None,
            is_request_concluded: request.is_concluded,
        })
    }

    fn change_state(&mut self, id: u64, is_active: bool) -> Event {
        self.is_active.insert(id, is_active);
        let state = if is_active {
            UpstreamState::Active
        } else {
            UpstreamState::Draining
        };
        let entry = UpstreamEntry {
            state,
            ..entry_in_zone(id)
        };
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints: vec![entry],
        }
    }

    fn disconnect_client(&mut self, pick: u64) -> Event {
        let sent = self.next_request - 1;
        let index = pick as usize % self.next_request.min(5) as usize % sent as usize;
        let (id, request) = self.requests.iter_mut().nth(index).unwrap();
        request.is_concluded = true;
        Event::ClientDisconnected(RequestId(*id))
    }

    fn check_action(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match action {
            Action::StartAttempt { id, upstream, .. } => self.check_attempt(*id, *upstream)?,
            Action::Reject { id, .. } => self.check_final_response(*id, true)?,
            Action::Fail { id } => self.check_final_response(*id, false)?,
            Action::CancelAttempt { .. } => {
                let is_allowed = self.settings.limits.cancellation_allowed;
                prop_assert!(
                    is_allowed,
                    "attempt cancelled though the settings do not allow it"
                );
            }
            Action::SetTimer { after, token } => {
                self.timers.push((self.harness.now + after, *token));
            }
            _ => {}
        }
        Ok(())
    }

    fn check_attempt(&mut self, id: RequestId, upstream: UpstreamId) -> Result<(), TestCaseError> {
        let limits = &self.settings.limits;
        let request = self.requests.get_mut(&id.0).unwrap();
        prop_assert!(
            !request.is_concluded,
            "an attempt of {id:?} started after the request was concluded"
        );
        prop_assert!(
            self.is_active[&upstream.0],
            "{id:?} sent to draining {upstream:?}"
        );
        prop_assert!(request.attempts.len() < limits.max_attempts as usize);
        let mut attempts = request.attempts.iter();
        let all_have_ended = attempts.all(|attempt| attempt.outcome.is_some());
        prop_assert!(limits.hedging_allowed || all_have_ended);
        if let Some(first) = request.first_possible_run() {
            check_repeat(request.idempotency(), first, upstream, self.harness.now)?;
        }
        request.attempts.push(SentAttempt {
            upstream: upstream.0,
            sent_at: self.harness.now,
            outcome: None,
        });
        Ok(())
    }

    fn check_final_response(
        &mut self,
        id: RequestId,
        is_rejection: bool,
    ) -> Result<(), TestCaseError> {
        let request = self.requests.get_mut(&id.0).unwrap();
        prop_assert!(
            !request.is_concluded,
            "final response to {id:?} after the request was concluded"
        );
        let may_have_run = request.first_possible_run().is_some();
        let idempotency = request.idempotency();
        let is_unsafe_to_repeat = idempotency == Idempotency::NonIdempotent
            || WITH_IDEMPOTENCY_KEY[1..].contains(&idempotency);
        prop_assert!(
            !(is_rejection && may_have_run && is_unsafe_to_repeat),
            "{id:?} rejected though it may have run"
        );
        request.is_concluded = true;
        Ok(())
    }

    fn check_deadlines(&self) -> Result<(), TestCaseError> {
        for (id, request) in &self.requests {
            prop_assert!(
                request.is_concluded || self.harness.now <= request.deadline + TICK,
                "request {id} is not concluded at {} s, its deadline was {} s",
                self.harness.now,
                request.deadline
            );
        }
        Ok(())
    }
}

/// Checks an attempt at `upstream` after `first`, the first attempt that may have run. Upstreams
/// whose ids are equal modulo 2 share a cell, and upstreams whose ids are equal modulo 3 a zone.
fn check_repeat(
    idempotency: Idempotency,
    first: &SentAttempt,
    upstream: UpstreamId,
    now: f64,
) -> Result<(), TestCaseError> {
    match idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => prop_assert!(
            false,
            "non-idempotent request may run a second time at {upstream:?}"
        ),
        Idempotency::IdempotencyKey { scope } => {
            let is_same_cell = first.upstream % 2 == upstream.0 % 2;
            let is_same_zone = first.upstream % 3 == upstream.0 % 3;
            prop_assert!(scope != DeduplicationScope::Cell || is_same_cell);
            prop_assert!(scope != DeduplicationScope::Zone || is_same_zone);
            prop_assert!(now < first.sent_at + DEDUPLICATION_WINDOW);
        }
    }
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
    fn random_events_keep_the_invariants(
        steps in prop::collection::vec((0u8..10, 0u64..1000, 0u8..120), 0..400),
        hedging_allowed: bool,
        cancellation_allowed: bool,
        is_polled: bool,
    ) {
        let mode = if is_polled { DiscoveryMode::Poll } else { DiscoveryMode::Push };
        RandomRun::new(hedging_allowed, cancellation_allowed, mode).run(steps)?;
    }
}

/// Returns the settings of one of two balancers.
fn settings_of_peer(peer_index: usize) -> Settings {
    Settings {
        classes: [Idempotency::Idempotent, Idempotency::NonIdempotent]
            .map(class)
            .to_vec(),
        peer_index,
        peer_count: 2,
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    }
}

fn start_peer(peer_index: usize) -> Harness {
    Harness {
        balancer: Balancer::new(settings_of_peer(peer_index), 5, 100.0).unwrap(),
        now: 100.0,
    }
}

/// Advances the clock and passes an event that depends only on `step`; returns the actions.
fn handle_step(harness: &mut Harness, step: u64) -> Vec<Action> {
    harness.now += 0.02;
    match step % 7 {
        0 if step == 0 => harness.update_endpoints(ListScope::Cached, (1..=6).map(entry).collect()),
        1 | 3 | 5 => harness.handle(request(step, (step % 2) as usize, 2.0)),
        2 => harness.handle(attempt_ended(step - 1, 0, AttemptOutcome::Success)),
        4 => harness.handle(attempt_ended(step - 1, 0, AttemptOutcome::Reset)),
        6 => harness.handle(attempt_ended(step - 1, 0, AttemptOutcome::Rejected)),
        _ => harness.handle(Event::TimerFired(step.saturating_sub(5))),
    }
}

#[test]
fn decisions_are_deterministic_when_instances_are_interleaved() {
    let actions_alone = |peer_index| {
        let mut harness = start_peer(peer_index);
        (0..3000)
            .map(|step| handle_step(&mut harness, step))
            .collect::<Vec<_>>()
    };
    let (first, second) = (actions_alone(0), actions_alone(1));
    assert_eq!(first, actions_alone(0));
    let (mut peer_0, mut peer_1) = (start_peer(0), start_peer(1));
    for step in 0..3000 {
        assert_eq!(handle_step(&mut peer_0, step), first[step as usize]);
        assert_eq!(handle_step(&mut peer_1, step), second[step as usize]);
    }
    assert_ne!(first, second);
}
