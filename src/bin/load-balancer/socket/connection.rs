//! A TCP connection that counts its traffic and is shared by all clones of its handle.

use super::client_input::ClientInput;
use super::exchange_limits::ExchangeLimits;
use super::flush::FlushCounter;
use super::input_limit::InputLimit;
use super::read_ahead::ReadAheadBuffer;
use super::receive_clock::ReceiveClock;
use super::system_errors::is_local_error;
use super::DescriptorPermit;
use crate::memory::MemoryLimit;
use crate::metrics::Metrics;
use std::cell::{Cell, Ref};
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout_at, Instant};

/// Delay before retrying a connect that failed with a local error, such as a lack of ports.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A handle to a TCP connection. All clones share the connection, which is closed when the last of
/// them is dropped.
#[derive(Clone, Debug)]
pub struct Socket(pub(super) Rc<Inner>);

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) stream: TcpStream,
    pub(super) received: TrafficCounter,
    pub(super) sent: TrafficCounter,
    /// Whether a write waits until the kernel accepts more bytes.
    pub(super) is_write_blocked: Cell<bool>,
    pub(super) flushes: FlushCounter,
    pub(super) client_input: ClientInput,
    /// The clock of the receive timestamps; `None` if the arrival of input is not recorded.
    pub(super) receive_clock: Option<Rc<ReceiveClock>>,
    pub(super) read_ahead: ReadAheadBuffer,
    pub(super) input_limit: InputLimit,
    pub(super) exchange: ExchangeLimits,
    _permit: DescriptorPermit,
}

/// The number of bytes transferred in one direction, and the time of the last progress: see
/// [`Socket::last_read`] and [`Socket::last_written`].
#[derive(Debug)]
pub(super) struct TrafficCounter {
    bytes: Cell<usize>,
    last_progress: Cell<Instant>,
}

impl TrafficCounter {
    fn new() -> Self {
        TrafficCounter {
            bytes: Cell::new(0),
            last_progress: Cell::new(Instant::now()),
        }
    }

    pub(super) fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    pub(super) fn record_progress(&self) {
        self.last_progress.set(Instant::now());
    }
}

impl Socket {
    /// Opens a connection to `address`. Local errors, such as a lack of ports, are retried until
    /// `timeout` has passed.
    ///
    /// # Errors
    ///
    /// Returns the error of the last connect, or `TimedOut` if that connect is still pending after
    /// `timeout`.
    pub async fn connect(
        address: SocketAddr,
        permit: DescriptorPermit,
        timeout: Duration,
    ) -> io::Result<Self> {
        let deadline = Instant::now() + timeout;
        loop {
            match timeout_at(deadline, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => return Ok(Self::new(stream, permit)),
                Ok(Err(error))
                    if is_local_error(&error)
                        && Instant::now() + CONNECT_RETRY_INTERVAL < deadline =>
                {
                    sleep(CONNECT_RETRY_INTERVAL).await;
                }
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(io::ErrorKind::TimedOut.into()),
            }
        }
    }

    /// Wraps an established connection.
    #[must_use]
    pub fn new(stream: TcpStream, permit: DescriptorPermit) -> Self {
        Self::wrap(stream, permit, None, None)
    }

    /// Wraps a connection that a client opened to send requests. Its recent input is stored, and
    /// when the input was sent. `memory` limits the input of requests.
    #[must_use]
    pub fn of_client(
        stream: TcpStream,
        permit: DescriptorPermit,
        receive_clock: Rc<ReceiveClock>,
        memory: Rc<MemoryLimit>,
    ) -> Self {
        Self::wrap(stream, permit, Some(receive_clock), Some(memory))
    }

    fn wrap(
        stream: TcpStream,
        permit: DescriptorPermit,
        receive_clock: Option<Rc<ReceiveClock>>,
        memory: Option<Rc<MemoryLimit>>,
    ) -> Self {
        // A failure is harmless: without TCP_NODELAY, small writes are only delayed.
        let _ = stream.set_nodelay(true);
        Socket(Rc::new(Inner {
            stream,
            received: TrafficCounter::new(),
            sent: TrafficCounter::new(),
            is_write_blocked: Cell::new(false),
            flushes: FlushCounter::default(),
            client_input: ClientInput::new(receive_clock.is_some()),
            receive_clock,
            read_ahead: ReadAheadBuffer::new(permit.read_ahead_usage()),
            input_limit: InputLimit::new(memory),
            exchange: ExchangeLimits::none(),
            _permit: permit,
        }))
    }

    /// Returns the number of bytes that have been read from the connection. Bytes that were only
    /// read ahead are not counted until they are taken from the read-ahead buffer.
    #[must_use]
    pub fn bytes_read(&self) -> usize {
        self.0.received.bytes.get()
    }

    /// Returns the number of bytes that the kernel has accepted for sending.
    #[must_use]
    pub fn bytes_written(&self) -> usize {
        self.0.sent.bytes.get()
    }

    /// Returns when a read last returned input, the end of input or an error from the kernel.
    #[must_use]
    pub fn last_read(&self) -> Instant {
        self.0.received.last_progress.get()
    }

    /// Returns when the kernel last accepted bytes for sending.
    #[must_use]
    pub fn last_written(&self) -> Instant {
        self.0.sent.last_progress.get()
    }

    /// Returns whether a write waits for space in the send buffer, which the peer frees by reading.
    #[must_use]
    pub fn is_write_blocked(&self) -> bool {
        self.0.is_write_blocked.get()
    }

    /// Marks a client's connection as idle: the next byte read belongs to a new request.
    pub fn mark_idle(&self) {
        self.0.client_input.mark_idle();
        self.0.input_limit.begin_request(self.bytes_read());
    }

    /// Records that a request has begun whose head was read together with the previous request.
    pub fn record_request_start(&self) {
        self.0.client_input.record_request_start();
    }

    /// Records that the current request of a client has been accepted, so that the rest of its
    /// input is read even if memory is short.
    pub fn accept_request(&self) {
        self.0.input_limit.accept_request();
    }

    /// Makes all further reads of a client's connection fail, because memory is short.
    pub fn abort_input(&self) {
        self.0.input_limit.abort();
    }

    /// Returns whether reads fail because memory is short.
    #[must_use]
    pub fn is_input_aborted(&self) -> bool {
        self.0.input_limit.is_aborted()
    }

    /// Sends as many of these bytes as the kernel accepts at once.
    pub fn send_now(&self, bytes: &[u8]) {
        // An error means that the peer has gone.
        let _ = self.0.stream.try_write(bytes);
    }

    /// Returns when the first byte was read since the connection was last marked idle, or `None` if
    /// none has been read since.
    #[must_use]
    pub fn request_started_at(&self) -> Option<Instant> {
        self.0.client_input.request_started_at()
    }

    /// Returns the most recent bytes read from a client, up to a limit.
    #[must_use]
    pub fn recent_bytes(&self) -> Ref<'_, Vec<u8>> {
        self.0.client_input.recent_bytes()
    }

    /// Drops the recent bytes before `end_offset`, the end of the current request in the input, and
    /// stores none before it.
    pub fn skip_recent_bytes_until(&self, end_offset: usize) {
        let bytes_read = self.bytes_read();
        self.0.client_input.skip_until(end_offset, bytes_read);
    }

    /// Clears the recent bytes.
    pub fn clear_recent_bytes(&self) {
        self.0.client_input.clear_recent_bytes();
    }

    /// Begins an exchange with an upstream on behalf of `client`. The first write of the exchange
    /// fails unless the connection is open and idle, the first and the last write fail if the
    /// client has disconnected, and reading more than `max_received` bytes fails.
    pub fn begin_exchange(&self, client: PeerHandle, max_received: usize) {
        let max_received = self.bytes_read().saturating_add(max_received);
        self.0.exchange.begin(client, max_received);
    }

    /// Limits the exchange to receiving `max_received` bytes from now on.
    pub fn set_read_limit(&self, max_received: usize) {
        let max_received = self.bytes_read().saturating_add(max_received);
        self.0.exchange.set_max_received(max_received);
    }

    /// Removes the limit on received bytes from the exchange.
    pub fn clear_read_limit(&self) {
        self.0.exchange.set_max_received(usize::MAX);
    }

    /// Declares where the request of the exchange ends at the earliest, as a value of
    /// [`Self::bytes_written`]. The attempt is counted in `metrics` once bytes are written up to
    /// that position.
    pub fn set_request_end(&self, position: usize, metrics: Rc<Metrics>) {
        self.0.exchange.set_request_end(position, metrics);
        self.0.exchange.record_sent(self.bytes_written());
    }

    /// Enables or disables reading ahead in [`Self::is_disconnected`]. Enable it only while nothing
    /// else reads from the connection.
    pub fn set_read_ahead(&self, enabled: bool) {
        self.0.read_ahead.set_enabled(enabled);
    }

    /// Returns a handle that tells whether the peer is connected, without keeping the connection
    /// open.
    #[must_use]
    pub fn peer(&self) -> PeerHandle {
        PeerHandle(Some(Rc::downgrade(&self.0)))
    }
}

/// A weak handle to a connection that tells whether its peer is connected. The default handle
/// refers to no connection and never reports a disconnect.
#[derive(Clone, Debug, Default)]
pub struct PeerHandle(Option<Weak<Inner>>);

impl PeerHandle {
    /// Returns whether the peer has disconnected or this process has closed the connection.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        let Some(connection) = &self.0 else {
            return false;
        };
        connection
            .upgrade()
            .is_none_or(|inner| Socket(inner).is_disconnected())
    }

    /// Returns the earliest time at which the peer can have sent the last byte before `end_offset`
    /// in its input (`None`: the last byte that was read). Returns `None` if nothing is known.
    pub(super) fn sent_at(&self, end_offset: Option<usize>) -> Option<Instant> {
        let inner = self.0.as_ref()?.upgrade()?;
        let sent_at = inner.client_input.arrivals().sent_at(end_offset);
        sent_at
    }
}
