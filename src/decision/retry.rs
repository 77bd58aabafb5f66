//! Retries and hedged requests.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{AttemptOutcome, RequestId};
use super::request::PendingRequest;

/// Budget that each successful response adds, in retries.
const RETRIES_PER_RESPONSE: f64 = 0.02;
/// Largest budget, in retries.
const MAX_BUDGET: f64 = 10.0;
/// Budget cost of a retry after an invalid response or a broken connection. An overload rarely
/// causes these failures, so their retries cost less. Errors and time-outs are often due to an
/// overload, which retries increase.
const BROKEN_CONNECTION_COST: f64 = 0.2;
/// Budget cost of a hedged request, or of any other retry of an attempt that may have run.
const FULL_COST: f64 = 1.0;

/// The budget for hedged requests and for retries of attempts that may have run, in retries.
pub(super) struct RetryBudget(f64);

impl RetryBudget {
    /// Returns a budget of one retry.
    pub(super) fn new() -> Self {
        RetryBudget(1.0)
    }

    /// Adds the retries that one successful response allows.
    pub(super) fn add_response(&mut self) {
        self.0 = (self.0 + RETRIES_PER_RESPONSE).min(MAX_BUDGET);
    }

    fn covers(&self, cost: f64) -> bool {
        self.0 >= cost
    }

    fn spend(&mut self, cost: f64) {
        self.0 -= cost;
    }
}

fn retry_cost(outcome: AttemptOutcome) -> f64 {
    match outcome {
        AttemptOutcome::InvalidResponse | AttemptOutcome::Reset => BROKEN_CONNECTION_COST,
        outcome if outcome.never_started() => 0.0,
        _ => FULL_COST,
    }
}

impl Balancer {
    /// Retries a request whose last attempt ended without a final response, if the attempt was
    /// sent, the budget allows a retry and a response can still be received in time; else gives the
    /// request up.
    pub(super) fn retry(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.requests[&id];
        let latest_start = request.deadline - self.expected_latency(request) / 2.0;
        let cost = retry_cost(outcome);
        let is_not_sent = outcome == AttemptOutcome::NotSent;
        if self.now > latest_start || !self.retry_budget.covers(cost) || is_not_sent {
            return self.give_up(id, actions);
        }
        self.retry_budget.spend(cost);
        self.assign(id, actions);
    }

    /// Handles a timer of this request: its queue deadline may have passed, the pause of an
    /// upstream may have ended, or its only attempt may be overdue.
    pub(super) fn on_request_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.get(&id);
        let Some(request) = request.filter(|request| !request.is_concluded) else {
            return;
        };
        if request.attempts_in_flight() == 0 && self.now >= request.queue_deadline {
            self.give_up(id, actions);
        } else if request.queued_upstream.is_some() {
            if let Some(upstream) = self.select_upstream(request) {
                self.dispatch_queued(upstream, actions);
            }
        } else if self.retry_budget.covers(FULL_COST) && self.only_attempt_is_overdue(id, request) {
            self.replace_overdue_attempt(id, actions);
        }
    }

    fn only_attempt_is_overdue(&self, id: RequestId, request: &PendingRequest) -> bool {
        let last = request.attempts.last();
        let Some(only) =
            last.filter(|attempt| request.attempts_in_flight() == 1 && attempt.outcome.is_none())
        else {
            return false;
        };
        let upstream = self.upstreams.get(&only.upstream.id);
        upstream.is_some_and(|upstream| {
            let mut in_flight = upstream.in_flight.iter();
            in_flight.any(|attempt| attempt.request == id && attempt.is_overdue(self.now))
        })
    }

    /// Sends a hedged request if an upstream accepts it. If the limits allow cancellation but not
    /// two attempts in flight, cancels the overdue attempt instead; the end of that attempt leads
    /// to a retry.
    fn replace_overdue_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let limits = &self.settings.limits;
        let request = &self.requests[&id];
        if !limits.hedging_allowed && limits.cancellation_allowed {
            let attempt = request.attempts.len() as u32 - 1;
            actions.push(Action::CancelAttempt { id, attempt });
        } else if let Some(upstream) = self.select_upstream(request) {
            self.retry_budget.spend(FULL_COST);
            self.start_attempt(id, upstream, actions);
        }
    }
}
