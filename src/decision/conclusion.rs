//! The end of a request: its final response, and the release of its resources.

use super::action::Action;
use super::balancer::Balancer;
use super::event::RequestId;
use super::request::PendingRequest;

/// Retry-After of a rejection, as a share of the request's expected latency. While several requests
/// are in flight, one of them usually ends and frees its slot within this time.
const RETRY_AFTER_SHARE: f64 = 0.25;

impl Balancer {
    /// Ends a request without a final response from an upstream: rejects it if a repeat does no
    /// harm, else fails it.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        // Without a Retry-After, clients retry too soon and are rejected again, or so late that
        // capacity is wasted.
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

    /// Concludes a request that needs no further response: removes it from its queue, cancels its
    /// attempts in flight if the settings allow cancellation, and discards it if no attempt is in
    /// flight. Does nothing if the request is already concluded.
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

    /// Removes the request if it is concluded and has no attempt in flight.
    pub(super) fn release(&mut self, id: RequestId) {
        let request = self.requests.get(&id);
        if request.is_some_and(PendingRequest::is_done) {
            self.requests.remove(&id);
        }
    }
}
