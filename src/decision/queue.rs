//! Queues: requests that wait for a slot of an upstream, or for any upstream to become available.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{RequestId, UpstreamId};
use std::cmp::Reverse;

/// Added to the delay of each request timer, so that rounding does not make it fire early.
const TIMER_MARGIN_SECONDS: f64 = 1e-6;

/// Returns the action that sets a timer for this request, to fire in `after` seconds.
pub(super) fn request_timer(id: RequestId, after: f64) -> Action {
    Action::SetTimer {
        after: after.max(0.0) + TIMER_MARGIN_SECONDS,
        token: id.0,
    }
}

impl Balancer {
    /// Starts an attempt if an upstream accepts the request, else queues it. A request whose queue
    /// deadline has passed before its first attempt is given up.
    pub(super) fn assign(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|request| !request.is_concluded) else {
            return;
        };
        if request.queue_deadline < self.now && request.attempts.is_empty() {
            return self.give_up(id, actions);
        }
        match self.select_upstream(request) {
            Some(upstream) => self.start_attempt(id, upstream, actions),
            None => self.enqueue(id, actions),
        }
    }

    /// Queues the request at an upstream, or gives it up if no queue accepts it.
    fn enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.rotation.is_empty() {
            return self.await_upstream(id, actions);
        }
        self.limit.record_queued_request();
        let Some(upstream_id) = self.select_queue(&self.requests[&id]) else {
            return self.give_up(id, actions);
        };
        let upstream = self.upstreams.get_mut(&upstream_id);
        upstream
            .expect("the rotation contains only listed upstreams")
            .queue
            .push_back(id);
        let request = self.requests.get_mut(&id).expect("the request is pending");
        request.queued_upstream = Some(upstream_id);
        actions.push(request_timer(id, request.queue_deadline - self.now));
        self.dispatch_queued(upstream_id, actions);
    }

    /// Lets the request wait until an upstream becomes available, at most until its deadline.
    fn await_upstream(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.unassigned.push_back(id);
        let request = self.requests.get_mut(&id).expect("the request is pending");
        request.queue_deadline = request.deadline;
        actions.push(request_timer(id, request.deadline - self.now));
    }

    /// Removes the request from the queue that it is in, if any.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).expect("the request is pending");
        let Some(upstream) = request.queued_upstream.take() else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&upstream) {
            upstream.queue.retain(|queued| *queued != id);
        }
    }

    /// Gives free slots of an upstream to requests from its own queue or, if that is empty, from
    /// the longest queue in the subset. Requests with the largest weight per second go first.
    pub(super) fn dispatch_queued(&mut self, upstream_id: UpstreamId, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_queued(upstream_id) {
            let upstream = &self.upstreams[&upstream_id];
            let request = &self.requests[&id];
            if !self.accepts(upstream, request, self.outlier_policy(request.class)) {
                let pause = upstream.stats.paused_until - self.now;
                if pause > 0.0 {
                    actions.push(request_timer(id, pause));
                }
                return;
            }
            self.dequeue(id);
            self.start_attempt(id, upstream_id, actions);
        }
    }

    fn next_queued(&self, upstream: UpstreamId) -> Option<RequestId> {
        let length = |id: UpstreamId| self.upstreams[&id].queue.len();
        let longest = || {
            let subset = self.rotation.subset().iter().copied();
            subset.max_by_key(|id| (length(*id), Reverse(*id)))
        };
        let own = Some(upstream).filter(|id| length(*id) > 0);
        let queue = &self.upstreams[&own.or_else(longest)?].queue;
        // `max_by` returns the last of several equal elements, so the queue is reversed to find
        // the oldest request.
        let candidates = queue.iter().rev().copied();
        let weight = |id: RequestId| self.weight_per_second(id);
        candidates.max_by(|a, b| weight(*a).total_cmp(&weight(*b)))
    }
}
