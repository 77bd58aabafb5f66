//! Drives one balancer through its public interface.

use load_balancer::{
    Action, AttemptOutcome, AttemptResult, Balancer, Class, DeduplicationScope, Event, Idempotency,
    ListScope, Request, RequestId, Settings, UpstreamEntry, UpstreamId, UpstreamState,
};

/// All classes of idempotency with a key.
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

/// A request class with a deduplication window of one second.
pub fn class(idempotency: Idempotency) -> Class {
    Class {
        idempotency,
        idempotency_window: 1.0,
        ..Settings::simple().classes[0].clone()
    }
}

/// These settings, but without retries.
pub fn without_retries(mut settings: Settings) -> Settings {
    settings.limits.max_attempts = 1;
    settings
}

/// An active upstream that started long ago. There are two cells.
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

/// A request whose client waits for `remaining` seconds.
pub fn request(id: u64, class: usize, remaining: f64) -> Event {
    Event::Request(Request {
        id: RequestId(id),
        class,
        tenant: 0,
        remaining,
        cost_hint: None,
        streamed: false,
    })
}

/// The end of an attempt after 0.1 s.
pub fn attempt_ended(id: u64, attempt: u32, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt,
        outcome,
        elapsed: 0.1,
        connection_idle: None,
        request_concluded: outcome == AttemptOutcome::Success,
    })
}

/// The end of a first attempt without a response, after `elapsed` seconds.
pub fn attempt_lost(id: u64, outcome: AttemptOutcome, elapsed: f64) -> Event {
    Event::AttemptEnded(AttemptResult {
        id: RequestId(id),
        attempt: 0,
        outcome,
        elapsed,
        connection_idle: None,
        request_concluded: false,
    })
}

/// A balancer and its clock.
pub struct Harness {
    pub balancer: Balancer,
    /// In seconds.
    pub now: f64,
}

impl Harness {
    /// A balancer with the upstreams 1 to `upstreams`.
    pub fn new(settings: Settings, upstreams: u64) -> Self {
        let mut harness = Harness {
            balancer: Balancer::new(settings, 7, 100.0).unwrap(),
            now: 100.0,
        };
        harness.update_endpoints(ListScope::Full, (1..=upstreams).map(entry).collect());
        harness
    }

    /// The same with one class for each of these.
    pub fn with_classes(idempotency: &[Idempotency], upstreams: u64) -> Self {
        let settings = Settings {
            classes: idempotency.iter().copied().map(class).collect(),
            ..Settings::simple()
        };
        Harness::new(settings, upstreams)
    }

    /// Open requests, and attempts in flight.
    pub fn open_and_in_flight(&self) -> (usize, usize) {
        let load = self.balancer.load();
        (load.open_requests, load.attempts_in_flight)
    }

    /// Passes an event to the balancer; returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    /// Sends a request that an upstream accepts at once; returns the upstream.
    pub fn send(&mut self, request: Event) -> u64 {
        let (_, upstream) = started_attempts(&self.handle(request))[0];
        upstream
    }

    /// Passes an endpoint list or a change of it.
    pub fn update_endpoints(
        &mut self,
        scope: ListScope,
        endpoints: Vec<UpstreamEntry>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointList { scope, endpoints })
    }

    /// Fires the timer of a request after some seconds.
    pub fn fire_timer_after(&mut self, seconds: f64, id: u64) -> Vec<Action> {
        self.now += seconds;
        self.handle(Event::TimerFired(id))
    }

    /// Fills all slots with requests numbered from `first`; returns the first one that is queued.
    pub fn fill_slots(&mut self, first: u64, class: usize) -> u64 {
        (first..)
            .find(|id| started_attempts(&self.handle(request(*id, class, 2.0))).is_empty())
            .unwrap()
    }
}

/// The attempts started: request and upstream of each.
pub fn started_attempts(actions: &[Action]) -> Vec<(u64, u64)> {
    let started = |action: &Action| match action {
        Action::StartAttempt { id, upstream, .. } => Some((id.0, upstream.0)),
        _ => None,
    };
    actions.iter().filter_map(started).collect()
}

/// The request is rejected.
pub fn is_rejected(actions: &[Action], request: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id, .. } if id.0 == request))
}

/// The request has failed.
pub fn is_failed(actions: &[Action], request: u64) -> bool {
    actions.contains(&Action::Fail {
        id: RequestId(request),
    })
}
