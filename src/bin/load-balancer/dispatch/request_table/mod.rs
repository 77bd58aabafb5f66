//! The open requests and their attempts.

use crate::dispatch::recent_request_ids::{
    InsertError, RecentRequestIds, RequestFingerprint, RetentionLimits,
};
use crate::dispatch::request::{FinalResponse, RejectionReason};
use crate::handover::RequestIdClaims;
use crate::upstream::{ConnectionIdleTime, ForwardedRequest};
use load_balancer::{AttemptOutcome, AttemptResult, Event, RequestId, UpstreamId};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The open requests. A request stays in the table until it is concluded and all its attempts have
/// ended.
pub struct RequestTable {
    max_open: usize,
    requests: HashMap<RequestId, OpenRequest>,
    recent_ids: RecentRequestIds,
    /// Told of ids that are removed from `recent_ids`.
    claims: Rc<RequestIdClaims>,
    last_id: u64,
}

/// The id of a request whose client has given it another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AllocatedId {
    /// The id of this process.
    pub id: RequestId,
    fingerprint: RequestFingerprint,
}

/// An open request.
pub struct OpenRequest {
    /// Fingerprint of the id that the client gave the request.
    fingerprint: RequestFingerprint,
    forwarded_request: Rc<ForwardedRequest>,
    /// Sends the final response; `None` once the request is concluded, which means that the
    /// response has been sent or the client has disconnected.
    response: Option<oneshot::Sender<FinalResponse>>,
    attempts: Vec<AttemptRecord>,
}

/// An attempt of a request.
struct AttemptRecord {
    upstream: UpstreamId,
    /// The address chosen for the attempt; `None` if the upstream was not available.
    address: Option<SocketAddr>,
    /// The time from which the duration of the attempt is measured: its start or, once a streamed
    /// body has been received completely, the time of the last byte.
    measured_from: Instant,
    connection_idle_time: ConnectionIdleTime,
    /// The task that runs the attempt; `None` while the attempt is not running.
    task: Option<AbortHandle>,
}

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within its request, counted from 0 in the order of starting.
    pub number: u32,
}

impl AttemptRecord {
    fn is_running(&self) -> bool {
        self.task.is_some()
    }

    /// Returns whether the attempt may have written any bytes to its upstream.
    fn has_written(&self) -> bool {
        self.connection_idle_time.get().is_some()
    }

    /// Ends the attempt. Returns its result, or `None` if it is not running.
    fn end(
        &mut self,
        id: AttemptId,
        outcome: AttemptOutcome,
        is_request_concluded: bool,
    ) -> Option<AttemptResult> {
        self.task.take()?.abort();
        Some(AttemptResult {
            id: id.request,
            attempt: id.number,
            outcome,
            elapsed: self.measured_from.elapsed().as_secs_f64(),
            connection_idle: self
                .connection_idle_time
                .get()
                .map(|idle| idle.as_secs_f64()),
            is_request_concluded,
        })
    }
}

impl OpenRequest {
    /// Returns the request in the form that is sent to upstreams.
    pub fn forwarded_request(&self) -> &Rc<ForwardedRequest> {
        &self.forwarded_request
    }

    /// Returns whether the request is not concluded yet.
    pub fn is_pending(&self) -> bool {
        self.response.is_some()
    }

    /// Returns whether a new attempt may be sent. A body that was streamed to one upstream can't be
    /// sent to another.
    pub fn can_be_sent(&self) -> bool {
        self.is_pending() && self.forwarded_request.upload.is_replayable()
    }

    /// Adds an attempt that does not run yet. Returns its number.
    pub fn add_attempt(
        &mut self,
        upstream: UpstreamId,
        address: Option<SocketAddr>,
        started_at: Instant,
        connection_idle_time: ConnectionIdleTime,
    ) -> u32 {
        self.attempts.push(AttemptRecord {
            upstream,
            address,
            measured_from: started_at,
            connection_idle_time,
            task: None,
        });
        (self.attempts.len() - 1) as u32
    }

    /// Sets the task that runs an attempt. The task is aborted when the attempt ends.
    pub fn set_task(&mut self, number: u32, task: AbortHandle) {
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.task = Some(task);
        }
    }

    fn is_running(&self, number: u32) -> bool {
        let attempt = self.attempts.get(number as usize);
        attempt.is_some_and(AttemptRecord::is_running)
    }

    /// Returns whether any attempt may have written bytes to its upstream.
    fn has_written(&self) -> bool {
        self.attempts.iter().any(AttemptRecord::has_written)
    }

    fn is_finished(&self) -> bool {
        !self.is_pending() && !self.attempts.iter().any(AttemptRecord::is_running)
    }
}

impl RequestTable {
    /// Creates an empty table for at most `max_open` open requests. The ids that clients give their
    /// requests are retained within `id_retention` if the requests were sent to an upstream.
    pub fn new(
        max_open: usize,
        id_retention: RetentionLimits,
        claims: Rc<RequestIdClaims>,
    ) -> Self {
        RequestTable {
            max_open,
            requests: HashMap::new(),
            recent_ids: RecentRequestIds::new(id_retention),
            claims,
            last_id: 0,
        }
    }

    /// Allocates an id for a new request. `client_request_id` is the id that its client gave it.
    ///
    /// # Errors
    ///
    /// Returns a `RejectionReason` if too many requests are open, if a recent request has the same
    /// `client_request_id`, or if too many ids are retained.
    pub fn allocate_id(&mut self, client_request_id: &str) -> Result<AllocatedId, RejectionReason> {
        if self.requests.len() >= self.max_open {
            return Err(RejectionReason::TooManyOpen);
        }
        let fingerprint = RequestFingerprint::of(client_request_id);
        self.recent_ids
            .insert(fingerprint)
            .map_err(|error| match error {
                InsertError::Duplicate => RejectionReason::DuplicateId,
                InsertError::Full => RejectionReason::TooManyRecent,
            })?;
        self.last_id += 1;
        Ok(AllocatedId {
            id: RequestId(self.last_id),
            fingerprint,
        })
    }

    /// Adds a request. Returns the receiver of its final response.
    pub fn insert(
        &mut self,
        allocated: AllocatedId,
        forwarded_request: Rc<ForwardedRequest>,
    ) -> oneshot::Receiver<FinalResponse> {
        let (sender, receiver) = oneshot::channel();
        let request = OpenRequest {
            fingerprint: allocated.fingerprint,
            forwarded_request,
            response: Some(sender),
            attempts: Vec::new(),
        };
        self.requests.insert(allocated.id, request);
        receiver
    }

    /// Returns an open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Returns an open request for modification.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns the ids of the open requests.
    pub fn ids(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.keys().copied()
    }

    /// Returns whether the attempt is running.
    pub fn is_running(&self, attempt: AttemptId) -> bool {
        let request = self.requests.get(&attempt.request);
        request.is_some_and(|request| request.is_running(attempt.number))
    }

    /// Records that the body of a request is complete. The duration of its last attempt is measured
    /// from now, because an upstream starts work only when it has received the last byte. Returns
    /// false if that attempt is not running.
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

    /// Ends an attempt. Returns its result, or `None` if it is not running.
    pub fn end_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Option<AttemptResult> {
        let request = self.requests.get_mut(&attempt.request)?;
        let is_request_concluded = !request.is_pending();
        let record = request.attempts.get_mut(attempt.number as usize)?;
        let result = record.end(attempt, outcome, is_request_concluded)?;
        self.remove_if_finished(attempt.request);
        Some(result)
    }

    /// Concludes a request. Returns the sender for its final response, or `None` if it is already
    /// concluded. A body that is not complete is not forwarded any more. The attempts that have not
    /// written anything are ended even if the settings forbid cancelling running attempts, because
    /// no client waits for them any longer. The results of the ended attempts are appended to
    /// `events`.
    pub fn conclude(
        &mut self,
        id: RequestId,
        events: &mut VecDeque<Event>,
    ) -> Option<oneshot::Sender<FinalResponse>> {
        let request = self.requests.get_mut(&id)?;
        let response = request.response.take()?;
        request.forwarded_request.upload.abandon();
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

    /// Removes a request if it is concluded and has no running attempt. If no attempt has written
    /// anything, the request has not run, and its id may be used again.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        if !self.get(id).is_some_and(OpenRequest::is_finished) {
            return;
        }
        let request = self.requests.remove(&id);
        if let Some(request) = request.filter(|request| !request.has_written()) {
            self.recent_ids.remove(request.fingerprint);
            self.claims.release(request.fingerprint);
        }
    }

    /// Records the id of a request that the other process of an upgrade accepts. Returns false if
    /// there is a recent request with this id.
    pub fn record_peer_request(&mut self, id: RequestFingerprint) -> bool {
        self.recent_ids.insert(id) != Err(InsertError::Duplicate)
    }

    /// Removes the id of a request that the other process has accepted and not sent.
    pub fn remove_peer_request(&mut self, id: RequestFingerprint) {
        self.recent_ids.remove(id);
    }

    /// Returns the ids of recent requests.
    pub fn recent_ids(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        self.recent_ids.iter()
    }

    /// Returns whether a timer of this request has no effect any more, because the request was
    /// removed. Returns false for a number that is no id of a request so far.
    pub fn is_removed(&self, id: RequestId) -> bool {
        id.0 <= self.last_id && !self.requests.contains_key(&id)
    }

    /// Returns, ordered by id, the running attempts that have not written anything and whose
    /// upstream is no longer available at the address that was chosen for them.
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
