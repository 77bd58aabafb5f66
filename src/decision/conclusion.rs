//! The end of a request: its final response, and the release of its resources.

use super::action::Action;
use super::balancer::Balancer;
use super::event::RequestId;

/// Retry-After of a rejection over the expected latency. Of a few requests in flight one has
/// ended by then.
const RETRY_AFTER_SHARE: f64 = 0.25;

impl Balancer {
    /// Ends a request for which no response will come: rejected if a repeat does no harm, else
    /// failed.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        // Without it clients that come back too soon would be rejected again, and later ones
        // would waste capacity.
        let retry_after = self
            .settings
            .limits
            .max_retry_after
            .map(|max| max.min(RETRY_AFTER_SHARE * self.expected_latency(request)));
        actions.push(
            if request.is_safe_to_repeat(&self.settings.classes[request.class]) {
                Action::Reject { id, retry_after }
            } else {
                Action::Fail { id }
            },
        );
        self.conclude(id, actions);
    }

    /// The request needs no response any more: takes it out of its queue and cancels its
    /// attempts.
    pub(super) fn conclude(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let Some(request) = request.filter(|request| !request.is_concluded) else {
            return;
        };
        request.is_concluded = true;
        if self.settings.limits.cancellation_allowed {
            for (index, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    let attempt = index as u32;
                    actions.push(Action::CancelAttempt { id, attempt });
                }
            }
        }
        self.dequeue(id);
        self.unassigned.retain(|waiting| *waiting != id);
        self.release(id);
    }

    /// Forgets a request that is concluded and has no attempt in flight.
    pub(super) fn release(&mut self, id: RequestId) {
        let is_done = self
            .requests
            .get(&id)
            .is_some_and(|request| request.is_concluded && request.attempts_in_flight() == 0);
        if is_done {
            self.requests.remove(&id);
        }
    }
}
