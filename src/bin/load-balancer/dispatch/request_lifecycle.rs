//! The lifecycle of a request in the dispatcher, from its acceptance to its final response.

use crate::dispatch::request_table::AttemptId;
use crate::dispatch::timers::Timer;
use crate::dispatch::{
    duration_from_secs, DispatchedRequest, Dispatcher, FinalResponse, RejectionReason,
    ValidatedRequest,
};
use crate::log;
use crate::upstream::{Attempt, AttemptError, ConnectionIdleTime, UpstreamResponse};
use load_balancer::{AttemptOutcome, AttemptResult, Event, Request, RequestId, UpstreamId};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// The decision module and the attempts get a deadline that is this much earlier than the deadline
/// of the request, so that the response reaches the client in time.
const DEADLINE_MARGIN: Duration = Duration::from_millis(12);
/// A request that still has no final response this long before its deadline is concluded without
/// the decision module.
const BACKSTOP_MARGIN: Duration = Duration::from_millis(5);

impl Dispatcher {
    /// Accepts a request and passes it to the decision module.
    ///
    /// # Errors
    ///
    /// Returns a `RejectionReason` if too many requests are open or if a recent request has the
    /// same id.
    pub fn accept(
        &mut self,
        request: ValidatedRequest,
    ) -> Result<DispatchedRequest, RejectionReason> {
        let allocated = self.requests.allocate_id(&request.client_request_id)?;
        let id = allocated.id;
        let forwarded_request = Rc::new(request.forwarded_request);
        let (deadline, is_streamed) = (
            forwarded_request.deadline(),
            !forwarded_request.upload.is_complete(),
        );
        if let Some(dispatcher) = self.weak_self.upgrade().filter(|_| is_streamed) {
            let completed = forwarded_request.upload.completion_receiver();
            spawn_local(async move {
                if completed.await.is_ok() {
                    dispatcher.borrow_mut().upload_completed(id);
                }
            });
        }
        let response = self.requests.insert(allocated, forwarded_request);
        self.remove_obsolete_timers();
        self.timers
            .set(deadline - BACKSTOP_MARGIN, Timer::DeadlineBackstop(id));
        self.handle(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            remaining: (deadline - DEADLINE_MARGIN - Instant::now()).as_secs_f64(),
            cost_hint: request.cost_hint,
            is_streamed,
        }));
        Ok(DispatchedRequest { id, response })
    }

    /// Removes the timers of requests that have ended, if there are many timers. Without this, many
    /// short requests would leave timers until their deadlines.
    fn remove_obsolete_timers(&mut self) {
        let requests = &self.requests;
        self.timers.compact(|timer| match timer {
            Timer::Decision(token) => requests.is_removed(RequestId(token)),
            Timer::DeadlineBackstop(id) => requests.is_removed(id),
            Timer::ReopenWatch => false,
        });
    }

    fn upload_completed(&mut self, id: RequestId) {
        if self.requests.upload_completed(id) {
            self.handle(Event::UploadCompleted(id));
        }
    }

    /// Concludes a request whose client has closed its connection. Has no effect on a request that
    /// already has its final response.
    pub fn client_disconnected(&mut self, id: RequestId) {
        if self.requests.conclude(id, &mut self.events).is_some() {
            self.handle(Event::ClientDisconnected(id));
            self.requests.remove_if_finished(id);
        }
    }

    /// Starts an attempt. If it can't be sent, or not in time because a shutdown has moved the
    /// deadline of the request forward, its result is queued as an event immediately.
    pub(super) fn start_attempt(
        &mut self,
        id: RequestId,
        upstream: UpstreamId,
        write_within: Option<f64>,
    ) {
        let started_at = Instant::now();
        let address = self.upstreams.available_address(upstream);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let connection_idle_time = ConnectionIdleTime::default();
        let number =
            request.add_attempt(upstream, address, started_at, connection_idle_time.clone());
        let has_time = request.forwarded_request().deadline() > started_at + DEADLINE_MARGIN;
        let address = address.filter(|_| has_time && request.can_be_sent());
        let (Some(address), Some(dispatcher)) = (address, self.weak_self.upgrade()) else {
            self.events.push_back(not_sent_event(id, number));
            return;
        };
        let attempt = Attempt {
            pool: self.resources.pool.clone(),
            upstream,
            address,
            request: request.forwarded_request().clone(),
            write_deadline: write_within
                .and_then(|seconds| started_at.checked_add(duration_from_secs(seconds))),
            deadline_margin: DEADLINE_MARGIN,
            connection_idle_time,
        };
        let attempt_id = AttemptId {
            request: id,
            number,
        };
        let run = async move {
            let attempt_result = attempt.run().await;
            dispatcher
                .borrow_mut()
                .attempt_ended(attempt_id, attempt_result);
        };
        request.set_task(number, spawn_local(run).abort_handle());
    }

    /// Handles the result of an attempt that has completed or that
    /// [`Self::reject_misdirected_attempts`] ends.
    pub(super) fn attempt_ended(
        &mut self,
        attempt: AttemptId,
        attempt_result: Result<UpstreamResponse, AttemptError>,
    ) {
        if !self.requests.is_running(attempt) {
            return;
        }
        let id = attempt.request;
        let (outcome, response) = match attempt_result {
            Ok(response) => (AttemptOutcome::Success, Some(response)),
            Err(error) => (error.into(), None),
        };
        let is_abandoned = outcome == AttemptOutcome::NotSent
            && self.is_client_disconnected(id)
            && self.requests.conclude(id, &mut self.events).is_some();
        if let Some(response) = response {
            self.respond(id, FinalResponse::Served(response));
        }
        if let Some(result) = self.requests.end_attempt(attempt, outcome) {
            self.handle(Event::AttemptEnded(result));
        }
        if is_abandoned {
            self.handle(Event::ClientDisconnected(id));
            self.requests.remove_if_finished(id);
        }
    }

    fn is_client_disconnected(&self, id: RequestId) -> bool {
        let request = self.requests.get(id);
        request.is_some_and(|request| request.forwarded_request().client.is_disconnected())
    }

    /// Cancels an attempt that is still running.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let result = self
            .requests
            .end_attempt(attempt, AttemptOutcome::Cancelled);
        self.events.extend(result.map(Event::AttemptEnded));
    }

    /// Ends attempts as if the upstream had rejected them: those that have not written anything and
    /// whose upstream is no longer available at the address that was chosen for them. They were
    /// started before the change of the upstream, for example its drain, was known. Their requests
    /// would otherwise be sent to an upstream that is already draining.
    pub(super) fn reject_misdirected_attempts(&mut self) {
        let address_of = |upstream| self.upstreams.available_address(upstream);
        for attempt in self.requests.misdirected_attempts(address_of) {
            self.attempt_ended(attempt, Err(AttemptError::Rejected));
        }
    }

    /// Sends the final response, unless the request already has one or its client has
    /// disconnected.
    pub(super) fn respond(&mut self, id: RequestId, response: FinalResponse) {
        let Some(sender) = self.requests.conclude(id, &mut self.events) else {
            return;
        };
        // This fails only if the client has just disconnected and needs no response.
        let _ = sender.send(response);
        self.requests.remove_if_finished(id);
    }

    /// Sets timers that conclude all open requests by `deadline`, before the process exits. The
    /// `ShutdownDeadline` that limits the deadlines of the requests must already be set: otherwise
    /// a timer that fires finds a later deadline and is only set again.
    pub fn set_shutdown_deadline(&mut self, deadline: Instant) {
        for id in self.requests.ids() {
            self.timers
                .set(deadline - BACKSTOP_MARGIN, Timer::DeadlineBackstop(id));
        }
    }

    /// Concludes a request that the decision module has not concluded in time.
    pub(super) fn conclude_overdue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let backstop_at = request.forwarded_request().deadline() - BACKSTOP_MARGIN;
        if backstop_at > Instant::now() {
            // The client has sent more of its body, which has extended the deadline.
            self.timers.set(backstop_at, Timer::DeadlineBackstop(id));
            return;
        }
        if !request.is_pending() {
            return;
        }
        // A request with an incomplete body has not run: an upstream starts work only after it
        // has received the last byte.
        let response = if request.forwarded_request().upload.is_complete() {
            FinalResponse::Failed
        } else {
            FinalResponse::Rejected { retry_after: None }
        };
        log::line(format!("no decision before the deadline: request {}", id.0));
        self.respond(id, response);
        self.handle(Event::ClientDisconnected(id));
    }
}

/// Returns the event for an attempt that was not sent.
fn not_sent_event(id: RequestId, number: u32) -> Event {
    Event::AttemptEnded(AttemptResult {
        id,
        attempt: number,
        outcome: AttemptOutcome::NotSent,
        elapsed: 0.0,
        connection_idle: None,
        is_request_concluded: false,
    })
}
