//! When a balancer asks discovery for the list, where lists are asked for. Decides, as `src/balance.rs` does,
//! by the types beside it.

use crate::decision::{Action, DiscoveryMode, ListScope, Settings};
use rand::Rng;

/// Timer for the subscription to the list; requests use their id, which is smaller.
pub(crate) const POLL_TIMER: u64 = u64::MAX >> 1;
/// Longest waits before a call, over the time after which its news count as told: for the first one, after
/// one that failed as soon as this, and after one that waited in turn. Two of these and what they wait for
/// fit in there.
const FIRST: f64 = 0.25;
const SOON: f64 = 0.1;
const LATER: f64 = 0.12;
/// The same after any that failed, where there are many peers: a call that then waits in turn is still in
/// time.
const LONGEST: f64 = 0.6;
/// So far apart, in seconds, are the calls of all peers after failures, on the mean: what one is let cost
/// discovery.
const APART: f64 = 0.04;
/// Calls that may fail in a row, refused after they have waited in turn, before waits grow beyond the
/// longest: discovery is overrun. Those that fail at once don't count here, as they cost it nothing.
const PATIENT: i32 = 4;
/// Further doublings of that, at the most.
const DOUBLINGS: i32 = 8;

/// Calls for the list of upstreams.
pub(crate) struct PollSchedule {
    /// Those that have failed since the list was last heard.
    failures: i32,
    /// When one was last made.
    at: f64,
    /// Asked for, and not heard since the start, since a call failed or since a watch broke.
    stale: bool,
}

impl Default for PollSchedule {
    fn default() -> Self {
        PollSchedule {
            failures: 0,
            at: f64::INFINITY,
            stale: false,
        }
    }
}

impl PollSchedule {
    /// Asks now.
    pub(crate) fn ask(&mut self, now: f64) -> Action {
        self.at = now;
        Action::WatchEndpoints
    }

    /// What is listed may have changed unheard.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Takes note of news, or of a call that failed, and sets the time of the next call if there is to be
    /// one.
    ///
    /// Guards against a fleet that overruns discovery for good, as calls that are refused after their turn
    /// cost it as much as others: each balancer asks at a moment of its own, and the later the more peers it
    /// has.
    pub(crate) fn note(
        &mut self,
        scope: ListScope,
        settings: &Settings,
        now: f64,
        rng: &mut impl Rng,
        actions: &mut Vec<Action>,
    ) {
        let (failed, told) = (
            scope == ListScope::Failed,
            settings.rules.notification_deadline,
        );
        let took = (now - self.at).max(0.0);
        let late = failed && took > SOON * told;
        self.failures = match (failed, late) {
            (true, true) => self.failures + 1,
            (true, false) => (self.failures + 1).min(PATIENT),
            (false, _) => 0,
        };
        self.stale = settings.discovery_mode == DiscoveryMode::Poll
            && matches!(scope, ListScope::Cached | ListScope::Failed);
        if !self.stale {
            return;
        }
        let part = if late {
            LATER
        } else {
            [FIRST, SOON][usize::from(failed)]
        };
        let mut most = (settings.rules.poll_interval / 4.0 * f64::from(1 << self.failures.min(3)))
            .min(part * told);
        let mut least = 0.0;
        let fleet = settings.peer_count as f64 * APART;
        if failed && fleet > most {
            let doublings = (self.failures - PATIENT).clamp(0, DOUBLINGS);
            // Discovery may have come back while a call that was no call in turn was tried.
            let longest = if late {
                LONGEST * told
            } else {
                LONGEST * told - took
            };
            most = fleet.min(longest * f64::from(1 << doublings));
            // A broken watch is no sign yet that calls wait in turn.
            least = if self.failures > 1 { most / 2.0 } else { 0.0 };
        }
        let after = rng.random_range(least..most) + settings.event_interval;
        actions.push(Action::SetTimer {
            after,
            token: POLL_TIMER,
        });
        let text = format!("discovery failed, asked again in {after:.1} s");
        actions.extend(failed.then_some(Action::Log {
            upstream: None,
            text,
        }));
    }
}
