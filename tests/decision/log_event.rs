//! Log events: when a balancer reports them, and the text of their lines.

use crate::harness::{attempt_ended, class, request, without_retries, Harness};
use load_balancer::{
    Action, AttemptOutcome, Class, DiscoveryMode, EjectionScope, Idempotency, ListScope, LogEvent,
    Settings, UpstreamId,
};

fn classes() -> Vec<Class> {
    let named = |name: &str| Class {
        name: name.into(),
        ..class(Idempotency::NonIdempotent)
    };
    vec![named("view"), named("pay")]
}

/// Returns the log line of an event. Only upstream 3 has a name.
fn log_line(event: LogEvent) -> String {
    let name = |upstream: UpstreamId| (upstream == UpstreamId(3)).then_some("u3");
    event.text(name, &classes())
}

fn log_events(actions: &[Action]) -> Vec<LogEvent> {
    let event = |action: &Action| match action {
        Action::Log(event) => Some(*event),
        _ => None,
    };
    actions.iter().filter_map(event).collect()
}

#[test]
fn log_lines_have_the_expected_text() {
    let ejected = |upstream, scope, cause| LogEvent::Ejected {
        upstream: UpstreamId(upstream),
        scope,
        cause,
        duration: 1.24,
    };
    let all = EjectionScope::AllRequests;
    for (event, text) in [
        (
            ejected(3, all, AttemptOutcome::TimedOut),
            "upstream ejected: u3, all requests (1.2 s, after timeout)",
        ),
        (
            ejected(3, EjectionScope::Class(1), AttemptOutcome::ConnectFailed),
            "upstream ejected: u3, class pay (1.2 s, after connection failure)",
        ),
        (
            ejected(4, EjectionScope::Class(9), AttemptOutcome::Reset),
            "upstream ejected: ?, class ? (1.2 s, after connection reset)",
        ),
        (
            LogEvent::SuspectedDraining {
                upstream: UpstreamId(3),
            },
            "upstream left out until the endpoint list is current: u3 (rejects all requests)",
        ),
        (
            LogEvent::PollFailed { retry_in: 0.62 },
            "discovery poll failed; polling again in 0.6 s",
        ),
    ] {
        assert_eq!(log_line(event), text);
    }
}

#[test]
fn ejection_reports_its_scope_and_cause() {
    let settings = Settings {
        classes: classes(),
        ..Settings::simple()
    };
    let mut harness = Harness::new(without_retries(settings), 4);
    let mut events = Vec::new();
    let mut failing = None;
    for id in 1..=40 {
        let upstream = harness.send(request(id, 1, 2.0));
        harness.now += 0.01;
        let is_failing = *failing.get_or_insert(upstream) == upstream;
        let outcome = if is_failing {
            AttemptOutcome::Error
        } else {
            AttemptOutcome::Success
        };
        events.extend(log_events(&harness.handle(attempt_ended(id, 0, outcome))));
    }
    let [LogEvent::Ejected {
        upstream,
        scope,
        cause,
        duration,
    }] = events[..]
    else {
        panic!("expected one ejection, received {events:?}");
    };
    assert_eq!(Some(upstream.0), failing);
    assert_eq!(scope, EjectionScope::Class(1));
    assert_eq!(cause, AttemptOutcome::Error);
    assert!(
        duration > 0.1,
        "ejected for {duration} s, expected more than 0.1 s"
    );
}

#[test]
fn failed_poll_reports_the_delay_of_the_next_poll() {
    let settings = Settings {
        discovery_mode: DiscoveryMode::Poll,
        ..Settings::simple()
    };
    let mut harness = Harness::new(settings, 1);
    let actions = harness.update_endpoints(ListScope::Failed, Vec::new());
    let [Action::SetTimer { after, .. }, Action::Log(event)] = actions[..] else {
        panic!("expected a timer and a log event, received {actions:?}");
    };
    assert_eq!(event, LogEvent::PollFailed { retry_in: after });
}
