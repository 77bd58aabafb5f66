//! The events that a balancer handles: requests, results of attempts, endpoint lists, timers.
//!
//! Times are seconds as `f64` on a clock of the embedder's choice; durations are in seconds too.

/// Identifies a request. The embedder assigns the numbers and never uses a number twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies an upstream. Every balancer of a fleet has to use the same number for an upstream,
/// such as a stable hash of its address, because the balancers divide the upstreams among
/// themselves by these numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamId(pub u64);

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

impl UpstreamId {
    /// Returns the id of the upstream with this name: an FNV-1a hash of the name. It depends
    /// neither on the process nor on the order in which names are seen.
    #[must_use]
    pub fn from_name(name: &str) -> Self {
        let add_byte = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        UpstreamId(name.as_bytes().iter().fold(FNV_OFFSET_BASIS, add_byte))
    }
}

/// The state of a listed upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// The upstream takes requests.
    Active,
    /// The upstream is draining; no new requests are sent to it.
    Draining,
    /// The upstream is no longer listed.
    Removed,
}

/// One upstream of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamEntry {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Zone of the upstream.
    pub zone: usize,
    /// Machine kind of the upstream.
    pub machine_kind: usize,
    /// Cell of the upstream. The upstreams of a cell can share a deduplication scope.
    pub cell: usize,
    /// State of the upstream.
    pub state: UpstreamState,
    /// When the upstream last started, in seconds; 0 means long ago.
    pub started_at: f64,
}

/// Which upstreams an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only the upstreams that have changed.
    Delta,
    /// All upstreams.
    Full,
    /// All upstreams as this balancer last saw them; the list may be stale.
    Cached,
    /// No upstreams: a poll failed or a watch broke. The previous list stays in force.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream served the request.
    Success,
    /// The upstream responded with an error; the attempt may have run.
    Error,
    /// The received data is not a valid response to this request, and the connection can't be
    /// reused; the attempt may have run.
    InvalidResponse,
    /// The upstream rejected the attempt before it began; it never ran.
    Rejected,
    /// No response was received in time; the attempt may have run or may still be running.
    TimedOut,
    /// No connection was established; the attempt never ran.
    ConnectFailed,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the attempt is known not to have run.
    #[must_use]
    pub fn never_started(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        )
    }
}

/// A request that has arrived. Unless its client disconnects first, it gets exactly one final
/// response: that of an upstream, or a rejection or failure by the balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// Index into `Settings::classes`.
    pub class: usize,
    /// Index into `Settings::tenants`.
    pub tenant: usize,
    /// How long the client will still wait, in seconds.
    pub remaining: f64,
    /// Expected work, in seconds on a standard core, if known.
    pub cost_hint: Option<f64>,
    /// Whether the body is still being received and forwarded; if so, `Event::UploadCompleted`
    /// follows.
    pub is_streamed: bool,
}

/// The result of an attempt. Each attempt ends once.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Seconds since the attempt was sent.
    pub elapsed: f64,
    /// How long the connection had been idle when the attempt was sent, in seconds (0 for a new
    /// connection), if the embedder knows.
    pub connection_idle: Option<f64>,
    /// Whether the request has its final response.
    pub is_request_concluded: bool,
}

/// A change of an upstream's maintenance by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Maintenance {
    /// The upstream gets no requests.
    Begin,
    /// The upstream gets requests again.
    End,
}

/// An event that the embedder reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list or a change of it was received from discovery, a poll failed, or a watch
    /// broke.
    EndpointList {
        /// Which upstreams `endpoints` covers.
        scope: ListScope,
        /// The listed upstreams.
        endpoints: Vec<UpstreamEntry>,
    },
    /// Operators take an upstream out of service or return it to service. An order holds until the
    /// next order for the same upstream, whatever the endpoint list contains. The upstream may be
    /// restarted while it is out of service.
    Maintenance {
        /// The upstream; it need not be listed now.
        upstream: UpstreamId,
        /// Whether the upstream is taken out of service or returned to service.
        change: Maintenance,
    },
    /// A request has arrived.
    Request(Request),
    /// The last byte of this streamed request has been sent to its upstream. The time after which
    /// the attempt is overdue counts from now on.
    UploadCompleted(RequestId),
    /// The response to this request is being streamed to its client, so it is the final response.
    ResponseStarted(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The client of this request has disconnected, so the request needs no response.
    ClientDisconnected(RequestId),
    /// A timer set by `Action::SetTimer` has fired; the value is its token.
    TimerFired(u64),
}
