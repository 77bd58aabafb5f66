//! The events that a balancer reports to the log, and the text of their lines.

use super::event::{AttemptOutcome, UpstreamId};
use super::settings::Class;

/// Replaces an unknown name in a line.
const UNKNOWN_NAME: &str = "?";

/// An event that operators should find in the log. Durations are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LogEvent {
    /// An upstream was ejected for the first time in a series of failures.
    Ejected {
        /// The ejected upstream.
        upstream: UpstreamId,
        /// The requests that the upstream no longer gets.
        scope: EjectionScope,
        /// Outcome of the attempt that led to the ejection.
        cause: AttemptOutcome,
        /// How long the ejection lasts.
        duration: f64,
    },
    /// An upstream has rejected several requests in a row and the endpoint list is stale, so the
    /// upstream may be draining.
    SuspectedDraining {
        /// The suspected upstream.
        upstream: UpstreamId,
    },
    /// A poll of discovery failed, or a watch broke.
    PollFailed {
        /// Time until the next poll.
        retry_in: f64,
    },
}

/// The requests that an ejected upstream no longer gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionScope {
    /// All requests.
    AllRequests,
    /// The requests of one class, given as an index into `Settings::classes`.
    Class(usize),
}

impl LogEvent {
    /// Returns the log line: what happened, where, and the figures. `upstream_name` returns the
    /// name of an upstream, or `None` if it is unknown; `classes` are those of the settings.
    #[must_use]
    pub fn text<'a>(
        &self,
        upstream_name: impl FnOnce(UpstreamId) -> Option<&'a str>,
        classes: &[Class],
    ) -> String {
        let name = |upstream| upstream_name(upstream).unwrap_or(UNKNOWN_NAME);
        match *self {
            LogEvent::Ejected {
                upstream,
                scope,
                cause,
                duration,
            } => {
                let (name, scope, cause) = (
                    name(upstream),
                    scope_text(scope, classes),
                    cause_text(cause),
                );
                format!("upstream ejected: {name}, {scope} ({duration:.1} s, after {cause})")
            }
            LogEvent::SuspectedDraining { upstream } => {
                let name = name(upstream);
                let what = "upstream left out until the endpoint list is current";
                format!("{what}: {name} (rejects all requests)")
            }
            LogEvent::PollFailed { retry_in } => {
                format!("discovery poll failed; polling again in {retry_in:.1} s")
            }
        }
    }
}

fn scope_text(scope: EjectionScope, classes: &[Class]) -> String {
    match scope {
        EjectionScope::AllRequests => "all requests".into(),
        EjectionScope::Class(index) => {
            let name = classes.get(index).map_or(UNKNOWN_NAME, |class| &class.name);
            format!("class {name}")
        }
    }
}

fn cause_text(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "success",
        AttemptOutcome::Error => "error",
        AttemptOutcome::InvalidResponse => "invalid response",
        AttemptOutcome::Rejected => "rejection",
        AttemptOutcome::TimedOut => "timeout",
        AttemptOutcome::ConnectFailed => "connection failure",
        AttemptOutcome::Reset => "connection reset",
        AttemptOutcome::Cancelled => "cancellation",
        AttemptOutcome::NotSent => "attempt that was not sent",
    }
}
