//! Takes clients' connections.

use crate::log;
use crate::server::connection::ClientConnection;
use crate::server::listener::{Listener, PendingConnection};
use crate::server::{Server, IDLE_TIMEOUT};
use crate::socket::system_errors::{is_connection_error, is_descriptor_limit};
use crate::socket::{Purpose, Socket};
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, Instant};

/// With no room at all, a new connection waits for so many turns of the other tasks: what those that came with it have sent
/// may be unread only because they had none yet.
const MAX_PERMIT_ATTEMPTS: usize = 16;
/// After a second accept in a row that failed for want of something the next try comes this much later.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);
/// So many such failures are no passing shortage: descriptors have to be given back.
const PERSISTENT_SHORTAGE_EXCESS: u32 = 10;

/// Accepts that failed because this process or machine is short of something.
#[derive(Default)]
struct ResourceShortage {
    consecutive_failures: u32,
    /// Those that failed, less those that did not meanwhile.
    excess: u32,
}

impl ResourceShortage {
    fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.excess += 1;
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.excess = self.excess.saturating_sub(1);
    }

    /// It is no passing one.
    fn is_persistent(&self) -> bool {
        self.excess >= PERSISTENT_SHORTAGE_EXCESS
    }
}

impl Server {
    /// Takes connections until that is over. Guards against one that has been taken, and is dropped as the end comes just
    /// then.
    pub async fn accept(self: &Rc<Self>, listener: &Listener, stop: impl Future<Output = ()>) {
        let mut stop = pin!(stop);
        let mut shortage = ResourceShortage::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut stop => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => {
                    shortage.record_success();
                    self.admit_connection(accepted).await;
                }
                Err(error) => self.back_off(&mut shortage, &error).await,
            }
        }
    }

    /// Waits before the next accept, if this error asks for that. A passing shortage must not cost other clients their
    /// connections; where the process itself holds too many descriptors for long, one is closed.
    async fn back_off(&self, shortage: &mut ResourceShortage, error: &io::Error) {
        if is_connection_error(error) {
            // The next in the queue may be a good one.
            return yield_now().await;
        }
        if self
            .accept_error_logged_at
            .get()
            .is_none_or(|last| last.elapsed() > IDLE_TIMEOUT)
        {
            self.accept_error_logged_at.set(Some(Instant::now()));
            log::line(format!("accept: {error}"));
        }
        shortage.record_failure();
        if shortage.is_persistent() && is_descriptor_limit(error) {
            self.connections.evict_one().await;
        }
        match shortage.consecutive_failures {
            1 => yield_now().await,
            _ => sleep(ACCEPT_BACKOFF).await,
        }
    }

    /// Takes all connections that the kernel has taken for this listener, and closes it; not later than `until`.
    /// Those that are still in its queue when it closes are reset.
    pub async fn close(self: &Rc<Self>, listener: Listener, until: Instant) -> io::Result<()> {
        let mut shortage = ResourceShortage::default();
        loop {
            match listener.accept_now() {
                Ok(accepted) => {
                    shortage.record_success();
                    self.admit_connection(accepted).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(error) => self.back_off(&mut shortage, &error).await,
            }
        }
    }

    pub(super) async fn admit_connection(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => return log::line(format!("a connection can't be served: {error}")),
        };
        // Guards against silent connections that keep all others waiting behind them: whoever comes is taken or
        // turned away at once.
        let mut permit = self.budget.acquire(Purpose::ClientConnection);
        let mut over_capacity = false;
        for _ in 0..MAX_PERMIT_ATTEMPTS {
            if permit.is_some() {
                break;
            }
            if self.connections.evict_one().await {
                permit = self.budget.acquire(Purpose::ClientConnection);
            }
            over_capacity = permit.is_none();
            permit = permit.or_else(|| self.budget.acquire(Purpose::Rejection));
            if permit.is_none() {
                yield_now().await;
            }
        }
        // With no room even for a refusal, closing is all that is left.
        let Some(permit) = permit else { return };
        let client = ClientConnection::new(Socket::for_client(stream, permit));
        let id = self.connections.insert(client.clone());
        spawn_local(self.clone().serve(id, client, over_capacity));
    }
}
