//! An attempt: from the connection to the response or the reason why there is none.

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

/// For how long the connection of an attempt had been idle before; `None` until the attempt is
/// about to write its first byte. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct ConnectionIdle(Rc<Cell<Option<Duration>>>);

impl ConnectionIdle {
    /// The attempt is about to write its first byte on a connection that had been idle for `idle`.
    pub fn set(&self, idle: Duration) {
        self.0.set(Some(idle));
    }

    /// The attempt has written nothing, and goes on with another connection.
    fn clear(&self) {
        self.0.set(None);
    }

    /// The time, once the first byte was about to be written.
    #[must_use]
    pub fn get(&self) -> Option<Duration> {
        self.0.get()
    }
}

/// One attempt to have an upstream serve a request. It ends at the request's deadline at the
/// latest; dropping its future closes the connection.
pub struct Attempt {
    /// Where connections are taken from and put back.
    pub pool: Rc<ConnectionPool>,
    /// The upstream's id.
    pub upstream: UpstreamId,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The request to forward.
    pub request: Rc<ForwardedRequest>,
    /// If set, the request must be written completely by then, or not be sent at all.
    pub write_deadline: Option<Instant>,
    /// How long before the request's deadline the attempt ends, so that the response reaches the
    /// client in time.
    pub deadline_margin: Duration,
    /// Set right before the first byte is written.
    pub connection_idle: ConnectionIdle,
}

/// The connection of an attempt.
struct AttemptConnection {
    socket: Socket,
    /// How long a reused connection was idle; `None` for a new one.
    idle_for: Option<Duration>,
}

/// How an exchange ended.
enum ExchangeEnd {
    Finished(FinishedExchange),
    /// The connection broke, or carried something that is not HTTP.
    Broken,
    /// The deadline passed first.
    DeadlinePassed,
}

impl ExchangeEnd {
    /// The error of an exchange that has no valid response and is not repeated.
    fn into_error(self, is_sent: bool, progress: &ExchangeProgress<'_>) -> AttemptError {
        match self {
            // A response that precedes the end of its request is valid only if it is an error.
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
    /// Sends the request and reads its response, or the beginning of a large one.
    ///
    /// # Errors
    ///
    /// [`AttemptError`]. Errors that mean that the request never ran are returned only if its last
    /// byte can't have been written, or if the upstream says so.
    pub async fn run(self) -> Result<UpstreamResponse, AttemptError> {
        loop {
            let connection = self.connect().await?;
            let progress = ExchangeProgress::new(&connection.socket);
            let idle_for = connection.idle_for.unwrap_or(Duration::ZERO);
            self.connection_idle.set(idle_for);
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
                    self.connection_idle.clear();
                }
                end => return Err(end.into_error(is_sent, &progress)),
            }
        }
    }

    /// Takes an idle connection or opens one, the latter only for a client that still waits.
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

    /// Runs the exchange until one of the deadlines.
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

    /// The response to a request that was sent completely.
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

    /// True if the client is the reason that the exchange failed: its body broke off, or it
    /// disconnected before its request was sent.
    fn has_client_failed(&self, is_sent: bool) -> bool {
        self.request.upload.error().is_some() || !is_sent && self.request.client.is_disconnected()
    }

    /// True if the request can go on another connection: a reused one was found broken before
    /// anything was written, which says nothing about the upstream.
    fn can_reconnect(
        &self,
        connection: &AttemptConnection,
        progress: &ExchangeProgress<'_>,
    ) -> bool {
        connection.idle_for.is_some()
            && progress.has_written_nothing()
            && self.request.upload.is_replayable()
    }

    pub(super) fn deadline(&self) -> Instant {
        self.request.deadline() - self.deadline_margin
    }

    /// Waits for the deadline, which moves while the client sends its body.
    async fn wait_for_deadline(&self) {
        while self.deadline() > Instant::now() {
            sleep_until(self.deadline()).await;
        }
    }

    /// Waits for the write deadline. Never returns if there is none, or if the request was sent by
    /// then.
    ///
    /// After the deadline upstreams may have forgotten an earlier attempt, so that a retry on a
    /// slow connection would run as a new request.
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
