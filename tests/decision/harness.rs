//! Drives one balancer through its public interface.

use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Class, DeduplicationScope, Event, Idempotency,
    ListScope, Maintenance, Request, RequestId, Settings, UpstreamEntry, UpstreamId, UpstreamState,
};

/// Idempotency with a key, in each deduplication scope.
pub const WITH_IDEMPOTENCY_KEY: [Idempotency; 3] = [
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::All,
    },
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Zone,
    },
    Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Cell,
    },
];

/// Returns a request class with a deduplication window of one second.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        idempotency_window: 1.0,
        ..Settings::simple().classes[0].clone()
    }
}

/// Returns these settings with a limit of one attempt per request.
pub fn without_retries(mut settings: Settings) -> Settings {
    settings.limits.max_attempts = 1;
    settings
}

/// Returns an active upstream that started long ago. Even and odd ids are in different cells.
pub fn entry(id: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId(id),
        zone: 0,
        machine_kind: 0,
        cell: id as usize % 2,
        state: UpstreamState::Active,
        started_at: 0.0,
    }
}

/// Returns the event of a new request whose client waits for `remaining` seconds.
pub fn request(id: u64, class: usize, remaining: f64) -> Event {
    Event::Request(Request {
        id: RequestId(id),
        class,
        tenant: 0,
        remaining,
        cost_hint: None,
        is_streamed: false,
    })
}

/// Returns the event of an attempt that ends after 0.1 s. A success concludes the request.
pub fn attempt_ended(id: u64, attempt: u32, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt,
        outcome,
        elapsed: 0.1,
        connection_idle: None,
        is_request_concluded: outcome == AttemptOutcome::Success,
    })
}

/// Returns the event of a first attempt that succeeds after `elapsed` seconds.
pub fn attempt_succeeded(id: u64, elapsed: f64) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt: 0,
        outcome: AttemptOutcome::Success,
        elapsed,
        connection_idle: None,
        is_request_concluded: true,
    })
}

/// Returns the event of a first attempt that ends after `elapsed` seconds without concluding its
/// request.
pub fn first_attempt_failed(id: u64, outcome: AttemptOutcome, elapsed: f64) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt: 0,
        outcome,
        elapsed,
        connection_idle: None,
        is_request_concluded: false,
    })
}

/// Returns the event of an upstream that operators take out of service or return to service.
pub fn maintenance(upstream: u64, change: Maintenance) -> Event {
    Event::Maintenance {
        upstream: UpstreamId(upstream),
        change,
    }
}

/// Returns the event of an empty endpoint list with this scope.
pub fn empty_list(scope: ListScope) -> Event {
    Event::EndpointList {
        scope,
        endpoints: Vec::new(),
    }
}

/// A balancer and its clock.
pub struct Harness {
    pub balancer: Balancer,
    /// The time of the clock in seconds.
    pub now: f64,
}

impl Harness {
    /// Creates a balancer whose endpoint list has the upstreams 1 to `upstream_count`.
    pub fn new(settings: Settings, upstream_count: u64) -> Self {
        let mut harness = Harness {
            balancer: Balancer::new(settings, 7, 100.0).unwrap(),
            now: 100.0,
        };
        harness.update_endpoints(ListScope::Full, (1..=upstream_count).map(entry).collect());
        harness
    }

    /// Creates a balancer with one class for each of these values of idempotency, and an endpoint
    /// list with the upstreams 1 to `upstream_count`.
    pub fn with_classes(idempotency: &[Idempotency], upstream_count: u64) -> Self {
        let settings = Settings {
            classes: idempotency.iter().copied().map(class).collect(),
            ..Settings::simple()
        };
        Harness::new(settings, upstream_count)
    }

    /// Returns the number of open requests and the number of attempts in flight.
    pub fn open_and_in_flight(&self) -> (usize, usize) {
        let load = self.balancer.load();
        (load.open_requests, load.attempts_in_flight)
    }

    /// Passes an event to the balancer and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request that must be dispatched immediately, and returns the upstream of its first
    /// attempt.
    pub fn send(&mut self, request: Event) -> u64 {
        started_attempts(&self.handle(request))[0].upstream
    }

    /// Passes a complete endpoint list, or changes to it, to the balancer and returns its actions.
    pub fn update_endpoints(
        &mut self,
        scope: ListScope,
        endpoints: Vec<UpstreamEntry>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList { scope, endpoints })
    }

    /// Advances the clock by `seconds` and fires the timer of request `id`.
    pub fn fire_timer_after(&mut self, seconds: f64, id: u64) -> Vec<Action> {
        self.now += seconds;
        self.handle(Event::TimerFired(id))
    }

    /// Sends requests with ids from `first` on until all slots are taken. Returns the id of the
    /// first request that is not dispatched immediately.
    pub fn fill_slots(&mut self, first: u64, class: usize) -> u64 {
        (first..)
            .find(|id| started_attempts(&self.handle(request(*id, class, 2.0))).is_empty())
            .unwrap()
    }
}

/// An attempt that a balancer has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    pub request: u64,
    pub upstream: u64,
}

/// Returns the attempts that these actions start, in order.
pub fn started_attempts(actions: &[Action]) -> Vec<StartedAttempt> {
    let started = |action: &Action| match action {
        Action::StartAttempt { id, upstream, .. } => Some(StartedAttempt {
            request: id.0,
            upstream: upstream.0,
        }),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// Returns whether one of these actions rejects the request.
pub fn is_rejected(actions: &[Action], request: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id, .. } if id.0 == request))
}

/// Returns whether one of these actions fails the request.
pub fn is_failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail {
        id: RequestId(request),
    })
}
