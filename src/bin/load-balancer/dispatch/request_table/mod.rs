//! The open requests and their attempts.

use crate::dispatch::recent_request_ids::RecentRequestIds;
use crate::dispatch::request::{FinalResponse, RejectionReason};
use crate::upstream::{ConnectionIdle, ForwardedRequest};
use load_balancer::{AttemptOutcome, AttemptResult, Event, RequestId, UpstreamId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The requests that are open. A request stays until it has its final response and its attempts
/// have ended.
pub struct RequestTable {
    max_open: usize,
    requests: HashMap<RequestId, OpenRequest>,
    recent_ids: RecentRequestIds,
    last_id: u64,
}

/// An open request.
pub struct OpenRequest {
    forwarded_request: Rc<ForwardedRequest>,
    /// Where the final response goes; `None` once it has been sent or the client has disconnected.
    response: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<AttemptRecord>,
}

/// An attempt of a request.
struct AttemptRecord {
    upstream: UpstreamId,
    /// Where it was sent; `None` if the upstream was not available.
    address: Option<SocketAddr>,
    /// Its duration counts from here: from the decision to start it, or from the last byte of a
    /// streamed body.
    measured_from: Instant,
    connection_idle: ConnectionIdle,
    /// `None` if it never ran or has ended.
    task: Option<AbortHandle>,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number, from 0 in the order sent.
    pub number: u32,
}

impl AttemptRecord {
    fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// True if the attempt may have written something.
    fn has_written(&self) -> bool {
        self.connection_idle.get().is_some()
    }

    /// Ends the attempt; its result, unless it has ended before.
    fn end(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        request_concluded: bool,
    ) -> Option<AttemptResult> {
        self.task.take()?.abort();
        Some(AttemptResult {
            id: id.request,
            attempt: id.number,
            outcome,
            elapsed: self.measured_from.elapsed().as_secs_f64(),
            connection_idle: self.connection_idle.get().map(|idle| idle.as_secs_f64()),
            request_concluded,
        })
    }
}

impl OpenRequest {
    /// The request as it is forwarded.
    pub fn forwarded_request(&self) -> &Rc<ForwardedRequest> {
        &self.forwarded_request
    }

    /// True if its final response is still to be sent.
    pub fn is_pending(&self) -> bool {
        self.response.is_some()
    }

    /// True if an attempt may be sent. A body that was streamed to one upstream can't be sent to
    /// another.
    pub fn can_be_sent(&self) -> bool {
        self.is_pending() && self.forwarded_request.upload.is_replayable()
    }

    /// Adds an attempt that does not run yet; its number.
    pub fn add_attempt(
        &mut self,
        upstream: UpstreamId,
        address: Option<SocketAddr>,
        started_at: Instant,
        connection_idle: ConnectionIdle,
    ) -> u32 {
        self.attempts.push(AttemptRecord {
            upstream,
            address,
            measured_from: started_at,
            connection_idle,
            task: None,
        });
        (self.attempts.len() - 1) as u32
    }

    /// The task that runs an attempt; it is aborted when the attempt ends.
    pub fn set_task(&mut self, number: u32, task: AbortHandle) {
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.task = Some(task);
        }
    }

    fn is_running(&self, number: u32) -> bool {
        let attempt = self.attempts.get(number as usize);
        attempt.is_some_and(AttemptRecord::is_running)
    }

    fn is_finished(&self) -> bool {
        !self.is_pending() && !self.attempts.iter().any(AttemptRecord::is_running)
    }
}

impl RequestTable {
    /// An empty table. At most `max_open` requests may be open; their ids are known for
    /// `id_retention` at the least.
    pub fn new(max_open: usize, id_retention: Duration) -> Self {
        RequestTable {
            max_open,
            requests: HashMap::new(),
            recent_ids: RecentRequestIds::new(id_retention),
            last_id: 0,
        }
    }

    /// The id of a new request, which its client calls `client_request_id`.
    ///
    /// # Errors
    ///
    /// If the request can't be accepted.
    pub fn allocate_id(&mut self, client_request_id: String) -> Result<RequestId, RejectionReason> {
        if self.requests.len() >= self.max_open {
            return Err(RejectionReason::TooManyOpen);
        }
        if !self.recent_ids.insert(client_request_id) {
            return Err(RejectionReason::DuplicateId);
        }
        self.last_id += 1;
        Ok(RequestId(self.last_id))
    }

    /// Adds a request; its final response comes on the channel.
    pub fn insert(
        &mut self,
        id: RequestId,
        forwarded_request: Rc<ForwardedRequest>,
    ) -> oneshot::Receiver<FinalResponse> {
        let (sender, receiver) = oneshot::channel();
        let request = OpenRequest {
            forwarded_request,
            response: Some(sender),
            attempts: Vec::new(),
        };
        self.requests.insert(id, request);
        receiver
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// An open request.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// The open requests.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.keys().copied()
    }

    /// True if this attempt has not ended.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        let request = self.requests.get(&attempt.request);
        request.is_some_and(|request| request.is_running(attempt.number))
    }

    /// The body of a request is complete: the time of its attempt begins now, as an upstream
    /// starts work with the last byte. False if no attempt is running.
    #[must_use]
    pub fn upload_completed(&mut self, id: RequestId) -> bool {
        let request = self.requests.get_mut(&id);
        let attempt = request.and_then(|request| request.attempts.last_mut());
        let Some(attempt) = attempt.filter(|attempt| attempt.is_running()) else {
            return false;
        };
        attempt.measured_from = Instant::now();
        true
    }

    /// Ends an attempt; its result, unless it has ended before.
    pub fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&attempt.request)?;
        let request_concluded = !request.is_pending();
        let record = request.attempts.get_mut(attempt.number as usize)?;
        let result = record.end(attempt, outcome, request_concluded)?;
        self.remove_if_finished(attempt.request);
        Some(result)
    }

    /// Concludes a request: returns where its final response goes, or `None` if it was concluded
    /// before. Its attempts that have not written anything end, even where running attempts may
    /// not be cancelled, as nobody waits for them any more; their results are appended to
    /// `events`.
    pub fn conclude(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
    ) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let response = request.response.take()?;
        let events_before = events.len();
        for (number, attempt) in (0..).zip(&mut request.attempts) {
            if !attempt.has_written() {
                let attempt_id = AttemptId {
                    request: id,
                    number,
                };
                let result = attempt.end(attempt_id, AttemptOutcome::NotSent, true);
                events.extend(result.map(Event::AttemptEnded));
            }
        }
        if events.len() > events_before {
            self.remove_if_finished(id);
        }
        Some(response)
    }

    /// Removes a request that has its final response and no running attempt.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if self.get(id).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// The attempts, in order, that run and have not written anything, and whose upstream is no
    /// longer available at the address that they were sent to.
    pub fn misdirected_attempts(
        &self,
        address_of: impl Fn(UpstreamId) -> Option<SocketAddr>,
    ) -> Vec<AttemptId> {
        let mut misdirected = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in (0..).zip(&request.attempts) {
                let address = address_of(attempt.upstream);
                let is_misdirected = address.is_none() || address != attempt.address;
                if is_misdirected && attempt.is_running() && !attempt.has_written() {
                    misdirected.push(AttemptId {
                        request: *id,
                        number,
                    });
                }
            }
        }
        misdirected.sort();
        misdirected
    }
}

#[cfg(test)]
mod tests;
