//! The state of one client connection: its phase, what it has carried, and the signals by which
//! other tasks ask it to close.

mod signals;
mod stall;

use crate::server::connection::signals::{CloseSignal, EvictionSignal};
use crate::server::FIRST_REQUEST_TIMEOUT;
use crate::socket::Socket;
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// What a connection is doing now.
///
/// A connection starts in `AwaitingRequest`, and returns there after each response; a connection
/// over capacity passes through `AwaitingCapacity` on its way. `Lingering` is the last phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No request is in progress, or only its head has arrived. `Socket::request_started_at`
    /// tells the two apart.
    AwaitingRequest {
        /// When the last response ended or the last head arrived; before the first request has
        /// ended, when the connection was opened.
        since: Instant,
    },
    /// The connection was accepted over capacity and its request waits while idle connections are
    /// evicted.
    AwaitingCapacity,
    /// The body of a valid request is being read ahead.
    ReceivingBody,
    /// The request was accepted and has no final response yet.
    AwaitingResponse,
    /// The response is being streamed.
    StreamingResponse,
    /// Serving has ended; the connection stays open until the client has taken the last response.
    Lingering {
        /// The time at which the connection became idle; `None` if serving ended in the middle of
        /// a request, in which case the connection is not evicted.
        idle_since: Option<Instant>,
    },
}

impl Phase {
    /// Since when the connection is idle; `None` while it carries a request.
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

/// What a connection has carried so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestHistory {
    /// No complete request.
    Empty,
    /// Only requests that were no use of the service: health checks, invalid or rejected ones.
    NoneValid,
    /// At least one request that passed validation.
    SomeValid,
}

/// The framing of the request that is being served, or was served last.
#[derive(Default)]
struct CurrentRequest {
    /// Where it ends, in bytes from the connection's beginning; `None` if that is unknown.
    end_offset: Cell<Option<usize>>,
    /// The rest of its body is being read and discarded, as its response came before its end.
    discarding_body: Cell<bool>,
    /// It was rejected before all of it had arrived.
    rejected_incomplete: Cell<bool>,
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

    /// What the connection is doing now.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Moves the connection to another phase.
    pub(super) fn enter(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// What the connection has carried so far.
    pub(super) fn history(&self) -> RequestHistory {
        self.history.get()
    }

    /// The head of a request has arrived.
    pub(super) fn begin_request(&self) {
        self.request.discarding_body.set(false);
        self.request.end_offset.set(None);
        let since = match self.history.get() {
            RequestHistory::Empty => self.opened,
            RequestHistory::NoneValid | RequestHistory::SomeValid => Instant::now(),
        };
        self.enter(Phase::AwaitingRequest { since });
    }

    /// Stores where the current request ends, in bytes from the connection's beginning.
    pub(super) fn set_request_end(&self, end_offset: Option<usize>) {
        self.request.end_offset.set(end_offset);
    }

    /// The current request has arrived and passed validation.
    pub(super) fn record_valid_request(&self) {
        self.history.set(RequestHistory::SomeValid);
    }

    /// The response to the current request is known.
    pub(super) fn record_response(&self) {
        if self.history.get() == RequestHistory::Empty {
            self.history.set(RequestHistory::NoneValid);
        }
    }

    /// Stores whether the current request was rejected before all of it had arrived.
    pub(super) fn set_rejected_incomplete(&self, rejected_incomplete: bool) {
        self.request.rejected_incomplete.set(rejected_incomplete);
    }

    /// True if the last request was rejected before all of it had arrived.
    pub(super) fn is_rejected_incomplete(&self) -> bool {
        self.request.rejected_incomplete.get()
    }

    /// The response came before the request's end; the rest of the body is being discarded.
    pub(super) fn begin_discarding_body(&self) {
        self.request.discarding_body.set(true);
    }

    /// The rest of the body has been discarded. Does nothing if the next request has begun.
    pub(super) fn end_discarding_body(&self) {
        if self.request.discarding_body.replace(false) && self.phase() != Phase::StreamingResponse {
            self.mark_idle();
        }
    }

    /// The connection carries no request any more.
    pub(super) fn mark_idle(&self) {
        let now = Instant::now();
        self.enter(match self.phase() {
            Phase::Lingering { .. } => Phase::Lingering {
                idle_since: Some(now),
            },
            _ => Phase::AwaitingRequest { since: now },
        });
        self.socket.mark_idle();
        // The bytes of the next head are searched for in these, so the fewer remain the better.
        if self.request.end_offset.get() == Some(self.socket.read()) {
            self.socket.clear_recent_bytes();
        }
    }

    /// Serving has ended, and only the lingering close remains.
    pub(super) fn begin_lingering(&self) {
        let idle_since = self.phase().idle_since();
        self.enter(Phase::Lingering { idle_since });
    }

    /// True if bytes have arrived behind the current request. Asks the kernel if need be.
    pub(super) fn has_pipelined_bytes(&self) -> bool {
        self.request
            .end_offset
            .get()
            .is_some_and(|end| self.socket.read() > end || self.socket.has_unread())
    }

    /// True if a requested close can begin now. It waits for a request of which any byte has
    /// arrived, read or not, as its response is going to end the connection; unless the current
    /// response has already begun without saying so, and nothing has arrived behind its request.
    pub(super) fn can_close_now(&self) -> bool {
        let idle = self.socket.request_started_at().is_none() && self.socket.is_open_and_idle();
        self.phase() == Phase::StreamingResponse && !self.has_pipelined_bytes() || idle
    }

    /// Decides on an eviction: true if the connection can be closed, as no request has arrived
    /// meanwhile.
    pub(super) fn accepts_eviction(&self) -> bool {
        self.eviction.acknowledge();
        self.phase().idle_since().is_some() && !self.socket.has_unread()
    }

    /// When the first request has to be complete; `None` once there has been one.
    pub(super) fn first_request_deadline(&self) -> Option<Instant> {
        (self.history.get() == RequestHistory::Empty).then(|| self.opened + FIRST_REQUEST_TIMEOUT)
    }
}
