//! An attempt to serve a request: from the connection to the response or an [`AttemptError`].

use super::exchange::{ExchangeProgress, FinishedExchange};
use super::{AttemptError, ConnectionPool, ForwardedRequest, UpstreamResponse};
use crate::socket::Socket;
use load_balancer::UpstreamId;
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// How long the connection of an attempt had been idle before the attempt used it; unset until the
/// attempt is about to write its first byte. All clones share one value.
#[derive(Clone, Debug, Default)]
pub struct ConnectionIdleTime(Rc<Cell<Option<Duration>>>);

impl ConnectionIdleTime {
    /// Stores the idle time; called right before the attempt writes its first byte.
    pub fn set(&self, idle: Duration) {
        self.0.set(Some(idle));
    }

    /// Resets the idle time after a connection failed before any byte of the request was written:
    /// the attempt continues on another connection.
    fn clear(&self) {
        self.0.set(None);
    }

    /// Returns the idle time, or `None` before the attempt is about to write its first byte.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.0.get()
    }
}

/// One attempt to have an upstream serve a request. [`Attempt::run`] returns `deadline_margin`
/// before the request's deadline at the latest; the rest of a large response is streamed after its
/// return. Dropping the future of `run` closes the connection.
pub struct Attempt {
    /// The pool that provides the connection and takes it back.
    pub pool: Rc<ConnectionPool>,
    /// The id of the upstream that the request is sent to.
    pub upstream: UpstreamId,
    /// The address of that upstream.
    pub address: SocketAddr,
    /// The request to forward.
    pub request: Rc<ForwardedRequest>,
    /// If set, the attempt is abandoned as [`AttemptError::NotSent`] unless the request has been
    /// written completely by this time.
    pub write_deadline: Option<Instant>,
    /// How long before the request's deadline the attempt times out, so that the response still
    /// reaches the client in time.
    pub deadline_margin: Duration,
    /// The idle time of the connection, set right before the first byte is written.
    pub connection_idle_time: ConnectionIdleTime,
}

/// The connection of an attempt: one taken from the pool, or a new one.
struct AttemptConnection {
    socket: Socket,
    /// How long a reused connection was idle; `None` for a new connection.
    idle_for: Option<Duration>,
}

/// How an exchange on one connection ended.
enum ExchangeEnd {
    Finished(FinishedExchange),
    /// The exchange failed, for example because the connection was reset, the received bytes are
    /// not valid HTTP, or the client's body could not be read.
    Broken,
    /// The deadline of the attempt passed before the exchange finished.
    DeadlinePassed,
}

impl ExchangeEnd {
    /// Returns the error with which the attempt fails if it is not continued on another connection.
    /// `is_sent` tells whether the complete request may have been written.
    fn into_error(self, is_sent: bool, progress: &ExchangeProgress<'_>) -> AttemptError {
        match self {
            // A response was received before the request was sent completely. An error response is
            // reported as it is. A successful one is reported as `ConnectFailed`, because an
            // upstream starts work only after it has received the last byte.
            ExchangeEnd::Finished(exchange) => exchange
                .response
                .err()
                .unwrap_or(AttemptError::ConnectFailed),
            ExchangeEnd::Broken | ExchangeEnd::DeadlinePassed if !is_sent => {
                AttemptError::ConnectFailed
            }
            ExchangeEnd::Broken if progress.has_response_begun() => AttemptError::InvalidResponse,
            ExchangeEnd::Broken => AttemptError::Reset,
            ExchangeEnd::DeadlinePassed => AttemptError::TimedOut,
        }
    }
}

impl Attempt {
    /// Sends the request and reads its response, or the first part of a large one.
    ///
    /// # Errors
    ///
    /// Returns an [`AttemptError`] if there is no successful response. Errors which mean that the
    /// request never ran are returned only if its last byte can't have been written, or if the
    /// upstream's response says that it was not started.
    pub async fn run(self) -> Result<UpstreamResponse, AttemptError> {
        loop {
            let connection = self.connect().await?;
            let progress = ExchangeProgress::new(&connection.socket);
            let idle_for = connection.idle_for.unwrap_or(Duration::ZERO);
            self.connection_idle_time.set(idle_for);
            let end = self.exchange_until_deadline(&progress).await?;
            let is_sent = progress.is_request_sent();
            match end {
                ExchangeEnd::Finished(exchange) if is_sent => {
                    return self.finish(connection.socket, exchange);
                }
                ExchangeEnd::Finished(_) | ExchangeEnd::Broken
                    if self.has_client_failed(is_sent) =>
                {
                    return Err(AttemptError::NotSent);
                }
                ExchangeEnd::Broken if self.can_reconnect(&connection, &progress) => {
                    self.connection_idle_time.clear();
                }
                end => return Err(end.into_error(is_sent, &progress)),
            }
        }
    }

    /// Takes an idle connection from the pool, or opens one if the client is still connected.
    async fn connect(&self) -> Result<AttemptConnection, AttemptError> {
        if let Some(reused) = self.pool.take(self.upstream, self.address) {
            return Ok(AttemptConnection {
                socket: reused.socket,
                idle_for: Some(reused.idle_for),
            });
        }
        if self.request.client.is_disconnected() {
            return Err(AttemptError::NotSent);
        }
        let socket = tokio::select! {
            biased;
            () = self.wait_for_write_deadline(|| false) => return Err(AttemptError::NotSent),
            socket = self.pool.connect(self.address) => socket?,
            () = self.wait_for_deadline() => return Err(AttemptError::ConnectFailed),
        };
        Ok(AttemptConnection {
            socket,
            idle_for: None,
        })
    }

    /// Runs the exchange until it finishes, or until the write deadline or the deadline of the
    /// attempt passes.
    async fn exchange_until_deadline(
        &self,
        progress: &ExchangeProgress<'_>,
    ) -> Result<ExchangeEnd, AttemptError> {
        tokio::select! {
            biased;
            () = self.wait_for_write_deadline(|| progress.is_request_sent()) => {
                Err(AttemptError::NotSent)
            }
            exchange = self.exchange(progress) => {
                Ok(exchange.map_or(ExchangeEnd::Broken, ExchangeEnd::Finished))
            }
            () = self.wait_for_deadline() => Ok(ExchangeEnd::DeadlinePassed),
        }
    }

    /// Returns the response to a request that was sent completely, and adds a reusable connection
    /// to the pool.
    fn finish(
        &self,
        socket: Socket,
        exchange: FinishedExchange,
    ) -> Result<UpstreamResponse, AttemptError> {
        if exchange.is_reusable {
            self.pool.put(self.upstream, self.address, socket);
        }
        exchange.response
    }

    /// Returns whether the client caused the exchange to fail: reading its body failed, or it
    /// disconnected before its request was sent.
    fn has_client_failed(&self, is_sent: bool) -> bool {
        self.request.upload.receive_error().is_some()
            || !is_sent && self.request.client.is_disconnected()
    }

    /// Returns whether the request can be sent on another connection: a reused connection failed
    /// before any byte was written, which says nothing about the health of the upstream, and the
    /// body can be sent again from its start.
    fn can_reconnect(
        &self,
        connection: &AttemptConnection,
        progress: &ExchangeProgress<'_>,
    ) -> bool {
        connection.idle_for.is_some()
            && progress.has_written_nothing()
            && self.request.upload.is_replayable()
    }

    /// Returns when the attempt times out.
    pub(super) fn deadline(&self) -> Instant {
        self.request.deadline() - self.deadline_margin
    }

    /// Waits until the attempt times out. The deadline is checked again after each sleep, as it
    /// moves back while the client sends its body, and forward when a shutdown begins.
    async fn wait_for_deadline(&self) {
        while self.deadline() > Instant::now() {
            let shutdown_deadline = &self.request.shutdown_deadline;
            shutdown_deadline.sleep_until_or_set(self.deadline()).await;
        }
    }

    /// Waits for the write deadline. Never returns if there is none, or if the request has been
    /// sent when it passes.
    ///
    /// After this deadline an upstream may have discarded its record of an earlier attempt, so that
    /// a retry delivered by a slow connection would run as a new request.
    async fn wait_for_write_deadline(&self, is_sent: impl Fn() -> bool) {
        let Some(deadline) = self.write_deadline else {
            return pending().await;
        };
        while deadline > Instant::now() {
            sleep_until(deadline).await;
        }
        if is_sent() {
            pending::<()>().await;
        }
    }
}
