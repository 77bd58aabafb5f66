//! The state of one client connection: its phase, its request history, and the signals by which
//! other tasks request that it close.

mod signals;
mod stall;

use crate::server::connection::signals::{CloseSignal, EvictionSignal};
use crate::server::connection_table::EvictionPurpose;
use crate::server::timeouts::REQUEST_ARRIVAL_TIMEOUT;
use crate::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::Instant;

/// The current activity of a connection.
///
/// A connection starts in `AwaitingRequest` and returns there after each response. It enters
/// `AwaitingCapacity` if a request whose head has been received has to wait.
/// `Lingering` is the last phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress, or only a part of the next request's head has been received.
    /// `Socket::request_started_at` distinguishes the two cases.
    AwaitingRequest {
        /// When the last response ended or the last head was received, whichever is later; until
        /// the first response, the time at which the connection was opened.
        since: Instant,
    },
    /// The head of the request has been received, and the request waits: for the tasks of other
    /// connections, or while idle connections are evicted for it.
    AwaitingCapacity,
    /// The head of the request is valid, and its body is being read ahead.
    ReceivingBody,
    /// The request was accepted and has no final response yet.
    AwaitingResponse,
    /// The response is being streamed.
    StreamingResponse,
    /// Serving has ended; the connection stays open for a limited time so that the client can
    /// receive the last response.
    Lingering {
        /// When the connection became idle; `None` if serving ended during a request, in which case
        /// the connection is not evicted.
        idle_since: Option<Instant>,
    },
}

impl Phase {
    /// Returns the time at which the connection became idle, or `None` while it carries a request.
    pub(super) fn idle_since(self) -> Option<Instant> {
        match self {
            Phase::AwaitingRequest { since } => Some(since),
            Phase::Lingering { idle_since } => idle_since,
            Phase::AwaitingCapacity
            | Phase::ReceivingBody
            | Phase::AwaitingResponse
            | Phase::StreamingResponse => None,
        }
    }
}

/// What a connection does when it is asked to be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionResponse {
    /// A request has been received in the meantime, so the connection stays open.
    Stay,
    /// The connection is closed.
    Close,
    /// The connection is closed after an error response to a request whose head is incomplete.
    Reject,
    /// The body that is being received fails, so that its request gets an error response.
    FailBody,
}

/// The requests that a connection has carried so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestHistory {
    /// No request has been answered or has passed validation.
    Empty,
    /// The connection has carried only health checks, and requests that were invalid or were
    /// rejected for lack of capacity.
    NoneValid,
    /// At least one request has passed validation.
    SomeValid,
}

/// The progress of receiving the current request, or the last one if no request is in progress.
#[derive(Default)]
struct CurrentRequest {
    /// Offset of the request's end in the bytes received on the connection; `None` if unknown.
    end_offset: Cell<Option<usize>>,
    /// Whether the rest of the body is being read and discarded, because the response was known
    /// before the body was complete.
    is_discarding_body: Cell<bool>,
    /// Whether the request was rejected before it was completely received.
    is_rejected_incomplete: Cell<bool>,
}

/// The state of one client connection, shared by its task, the connection table and the guards of
/// its responses.
pub(super) struct ClientConnection {
    pub(super) socket: Socket,
    opened: Instant,
    phase: Cell<Phase>,
    history: Cell<RequestHistory>,
    request: CurrentRequest,
    pub(super) close: CloseSignal,
    pub(super) eviction: EvictionSignal,
}

impl ClientConnection {
    pub(super) fn new(socket: Socket) -> Rc<Self> {
        let opened = Instant::now();
        Rc::new(ClientConnection {
            socket,
            opened,
            phase: Cell::new(Phase::AwaitingRequest { since: opened }),
            history: Cell::new(RequestHistory::Empty),
            request: CurrentRequest::default(),
            close: CloseSignal::default(),
            eviction: EvictionSignal::default(),
        })
    }

    /// Returns the current phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Changes the phase.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// Returns which requests the connection has carried so far.
    pub(super) fn history(&self) -> RequestHistory {
        self.history.get()
    }

    /// Records that the head of a request has been received.
    pub(super) fn begin_request(&self) {
        self.request.is_discarding_body.set(false);
        self.request.end_offset.set(None);
        let since = match self.history.get() {
            RequestHistory::Empty => self.opened,
            RequestHistory::NoneValid | RequestHistory::SomeValid => Instant::now(),
        };
        self.enter(Phase::AwaitingRequest { since });
    }

    /// Lets the tasks of other connections run before a request that was received together with the
    /// previous one. A client that sends many requests at once could otherwise have several of them
    /// served before each request of another client.
    pub(super) async fn yield_to_others(&self) {
        // Neither an eviction nor a shutdown may take the connection for idle.
        self.socket.record_request_start();
        self.enter(Phase::AwaitingCapacity);
        yield_now().await;
    }

    /// Records the current request's end as an offset in the bytes received on the connection.
    pub(super) fn set_request_end(&self, end_offset: Option<usize>) {
        self.request.end_offset.set(end_offset);
        if let Some(end_offset) = end_offset {
            self.socket.skip_recent_bytes_until(end_offset);
        }
    }

    /// Records that the current request has passed validation.
    pub(super) fn record_valid_request(&self) {
        self.history.set(RequestHistory::SomeValid);
    }

    /// Records that the response to the current request is known.
    pub(super) fn record_response(&self) {
        if self.history.get() == RequestHistory::Empty {
            self.history.set(RequestHistory::NoneValid);
        }
    }

    /// Records whether the current request was rejected before it was completely received.
    pub(super) fn set_rejected_incomplete(&self, rejected_incomplete: bool) {
        self.request.is_rejected_incomplete.set(rejected_incomplete);
    }

    /// Returns whether the last request was rejected before it was completely received.
    pub(super) fn is_rejected_incomplete(&self) -> bool {
        self.request.is_rejected_incomplete.get()
    }

    /// Records that the rest of the request body is being discarded, because the response was known
    /// before the body was complete.
    pub(super) fn begin_discarding_body(&self) {
        self.request.is_discarding_body.set(true);
    }

    /// Records that the rest of the body has been discarded. Does nothing if the next request has
    /// begun.
    pub(super) fn end_discarding_body(&self) {
        if self.request.is_discarding_body.replace(false)
            && self.phase() != Phase::StreamingResponse
        {
            self.mark_idle();
        }
    }

    /// Records that the connection no longer carries a request.
    pub(super) fn mark_idle(&self) {
        let now = Instant::now();
        self.enter(match self.phase() {
            Phase::Lingering { .. } => Phase::Lingering {
                idle_since: Some(now),
            },
            _ => Phase::AwaitingRequest { since: now },
        });
        self.socket.mark_idle();
        // The next head is searched for in the recent bytes, so bytes of requests that have ended
        // are removed to keep the search short.
        if self.request.end_offset.get() == Some(self.socket.bytes_read()) {
            self.socket.clear_recent_bytes();
        }
    }

    /// Records that serving has ended and only the lingering close remains.
    pub(super) fn begin_lingering(&self) {
        let idle_since = self.phase().idle_since();
        self.enter(Phase::Lingering { idle_since });
    }

    /// Returns whether bytes after the current request have been received. Queries the kernel if
    /// necessary.
    pub(super) fn has_pipelined_bytes(&self) -> bool {
        self.request
            .end_offset
            .get()
            .is_some_and(|end| self.socket.bytes_read() > end || self.socket.has_unread())
    }

    /// Returns whether a requested close can begin now. If any byte of a request has been received,
    /// read or unread, the close is left to the response to that request. If a response is already
    /// being streamed, its head may have been sent without an announcement of the close; in that
    /// case the close can begin unless bytes after its request have been received.
    pub(super) fn can_close_now(&self) -> bool {
        let is_idle = self.socket.request_started_at().is_none() && self.socket.is_open_and_idle();
        self.phase() == Phase::StreamingResponse && !self.has_pipelined_bytes() || is_idle
    }

    /// Decides on a requested eviction.
    pub(super) fn respond_to_eviction(&self) -> EvictionResponse {
        let is_for_memory = self.eviction.acknowledge() == Some(EvictionPurpose::Memory);
        match self.phase() {
            Phase::ReceivingBody if is_for_memory => EvictionResponse::FailBody,
            _ if self.phase().idle_since().is_none() || self.socket.has_unread() => {
                EvictionResponse::Stay
            }
            Phase::AwaitingRequest { .. }
                if is_for_memory && self.socket.request_started_at().is_some() =>
            {
                EvictionResponse::Reject
            }
            _ => EvictionResponse::Close,
        }
    }

    /// Returns whether reading the head of a request was ended for lack of memory.
    pub(super) fn is_head_refused(&self) -> bool {
        let awaits_request = matches!(self.phase(), Phase::AwaitingRequest { .. });
        awaits_request && self.socket.is_input_aborted()
    }

    /// Returns the deadline for receiving the first request, or `None` if a request has been
    /// answered or has passed validation.
    pub(super) fn first_request_deadline(&self) -> Option<Instant> {
        (self.history.get() == RequestHistory::Empty).then(|| self.opened + REQUEST_ARRIVAL_TIMEOUT)
    }
}
