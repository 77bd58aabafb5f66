//! The events that a balancer handles: requests, results of attempts, endpoint lists, timers.
//!
//! Moments are seconds as `f64` on a clock of the embedder's choice; durations are seconds too.

/// A request, numbered by the embedder; an id is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An upstream server. Every balancer of a fleet has to know an upstream by the same number (a
/// stable hash of its address will do): the balancers divide the fleet by these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

impl UpstreamId {
    /// The number of the upstream of this name (FNV-1a): it depends neither on the process nor on
    /// the order in which names were met.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let add_byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        UpstreamId(name.as_bytes().iter().fold(FNV_OFFSET_BASIS, add_byte))
    }
}

/// The state of a listed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes requests.
    Active,
    /// It is draining: nothing new goes there.
    Draining,
    /// It is gone.
    Removed,
}

/// One upstream of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Which upstream.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: usize,
    /// Its machine kind.
    pub machine_kind: usize,
    /// Its cell: the upstreams of a cell drop each other's repeats.
    pub cell: usize,
    /// Its state.
    pub state: UpstreamState,
    /// When it last started, in seconds; 0: long ago.
    pub started_at: f64,
}

/// What an endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only what changed.
    Delta,
    /// All upstreams.
    Full,
    /// All upstreams as this balancer last saw them; may be stale.
    Cached,
    /// A poll failed or a watch broke; the previous list stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Success,
    /// The upstream responded with an error; it may have run.
    Error,
    /// What came can't be read as the response to this request, and its connection is of no
    /// further use; it may have run.
    InvalidResponse,
    /// Rejected before it began; it never ran.
    Rejected,
    /// No response in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// True if the attempt is known not to have run.
    #[must_use]
    pub fn never_started(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// A request that arrived; the balancer gives it exactly one final response.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index into `Settings::classes`.
    pub class: usize,
    /// Index into `Settings::tenants`.
    pub tenant: usize,
    /// How long its client still waits, in seconds.
    pub remaining: f64,
    /// Expected work, in seconds on a standard core.
    pub cost_hint: Option<f64>,
    /// Its body is still being received and forwarded; `Event::UploadCompleted` follows.
    pub streamed: bool,
}

/// How one attempt ended. Each attempt ends once.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// Which request.
    pub id: RequestId,
    /// Which attempt, from 0 in the order sent.
    pub attempt: u32,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Seconds since it was sent.
    pub elapsed: f64,
    /// For how many seconds its connection had been idle (0: it was new), if the embedder knows.
    pub connection_idle: Option<f64>,
    /// The request has its final response.
    pub request_concluded: bool,
}

/// Whether operators have taken an upstream out of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Maintenance {
    /// It gets no requests.
    Begin,
    /// It gets requests again.
    End,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list or a change of it came from discovery, or a poll failed.
    EndpointList {
        /// What `endpoints` stand for.
        scope: ListScope,
        /// The upstreams of the list.
        endpoints: Vec<UpstreamEntry>,
    },
    /// Operators take an upstream out of service or put it back. This holds until they say
    /// otherwise, whatever discovery lists; the upstream may be restarted while it is out.
    Maintenance {
        /// Which upstream; it need not be listed now.
        upstream: UpstreamId,
        /// Whether it goes out or comes back.
        change: Maintenance,
    },
    /// A request arrived.
    Request(Request),
    /// The last byte of this streamed request has gone to its upstream, whose time begins now.
    UploadCompleted(RequestId),
    /// The response to this request is being streamed to its client: it is final.
    ResponseStarted(RequestId),
    /// An attempt ended.
    AttemptEnded(AttemptResult),
    /// The client of this request disconnected; it needs no response.
    ClientDisconnected(RequestId),
    /// A timer that `Action::SetTimer` set has fired; this is its token.
    TimerFired(u64),
}
