//! The accept loop, with backoff while the system is short of resources.

use crate::log;
use crate::server::connection::ClientConnection;
use crate::server::connection_table::EvictionPurpose;
use crate::server::listener::{Listener, PendingConnection};
use crate::server::Server;
use crate::socket::system_errors::{is_connection_error, is_descriptor_limit};
use crate::socket::Socket;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, Instant};

/// Delay before the next accept from the second consecutive failure on.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// A resource shortage is persistent once `ResourceShortage::excess_failures` reaches this value.
const PERSISTENT_SHORTAGE_FAILURES: u32 = 10;
/// Minimum interval between two log lines about failed accepts.
const ACCEPT_ERROR_LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counts accepts that failed because this process or the machine is short of a resource.
#[derive(Default)]
struct ResourceShortage {
    consecutive_failures: u32,
    /// Number of failures minus number of successes, never below zero.
    excess_failures: u32,
}

impl ResourceShortage {
    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.excess_failures += 1;
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.excess_failures = self.excess_failures.saturating_sub(1);
    }

    /// Returns whether the shortage has outlasted the retries, so that a descriptor has to be
    /// freed.
    fn is_persistent(&self) -> bool {
        self.excess_failures >= PERSISTENT_SHORTAGE_FAILURES
    }
}

impl Server {
    /// Accepts connections until `stop` is ready. `stop` doesn't interrupt the admission of a
    /// connection, so no accepted connection is dropped.
    pub async fn accept(self: &Rc<Self>, listener: &Listener, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        let mut shortage = ResourceShortage::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut stop => return,
                accepted = listener.accept() => accepted,
            };
            self.handle_accept_result(accepted, &mut shortage).await;
        }
    }

    /// Accepts all connections in the kernel's queue and closes the listener. Connections left in
    /// the queue would be reset by the kernel.
    ///
    /// # Errors
    ///
    /// Returns the error of accept(2) if it still fails at `deadline`.
    pub async fn close_listener(
        self: &Rc<Self>,
        listener: Listener,
        deadline: Instant,
    ) -> io::Result<()> {
        let mut shortage = ResourceShortage::default();
        loop {
            match listener.try_accept() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if Instant::now() >= deadline => return Err(error),
                accepted => self.handle_accept_result(accepted, &mut shortage).await,
            }
        }
    }

    async fn handle_accept_result(
        self: &Rc<Self>,
        accepted: io::Result<PendingConnection>,
        shortage: &mut ResourceShortage,
    ) {
        match accepted {
            Ok(connection) => {
                shortage.record_success();
                self.admit_connection(connection).await;
            }
            Err(error) => self.back_off(shortage, &error).await,
        }
    }

    /// Waits before the next accept if the error requires it. Clients keep their connections during
    /// a short shortage; if this process stays at its descriptor limit, an idle connection is
    /// evicted.
    async fn back_off(&self, shortage: &mut ResourceShortage, error: &io::Error) {
        if is_connection_error(error) {
            // The error concerns only this call, and the next accept may succeed.
            return yield_now().await;
        }
        self.log_accept_error(error);
        shortage.record_failure();
        if shortage.is_persistent() && is_descriptor_limit(error) {
            self.connections
                .evict_one(EvictionPurpose::Descriptor)
                .await;
        }
        if shortage.consecutive_failures == 1 {
            yield_now().await;
        } else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
        }
    }

    fn log_accept_error(&self, error: &io::Error) {
        let logged_at = self.accept_error_logged_at.get();
        if logged_at.is_none_or(|logged_at| logged_at.elapsed() > ACCEPT_ERROR_LOG_INTERVAL) {
            self.accept_error_logged_at.set(Some(Instant::now()));
            log::line(format!("client accept failed: {error}"));
        }
    }

    /// Starts serving a connection, or closes it if it can't be registered with the event loop or
    /// no descriptor is available.
    async fn admit_connection(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => {
                return log::line(format!(
                    "client connection not registered: {error}; closing it"
                ));
            }
        };
        let Some(permit) = self.acquire_permit().await else {
            return;
        };
        let socket = Socket::of_client(
            stream,
            permit.descriptor,
            self.receive_clock.clone(),
            self.resources.memory_limit.clone(),
        );
        let client = ClientConnection::new(socket);
        let id = self.connections.insert(client.clone());
        spawn_local(self.clone().serve(id, client, permit.admission));
    }
}
