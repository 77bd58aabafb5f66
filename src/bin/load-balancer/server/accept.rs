//! Takes clients' connections.

use crate::log;
use crate::server::connection::ClientConnection;
use crate::server::listener::{Listener, PendingConnection};
use crate::server::{Server, IDLE};
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
const TURNS: usize = 16;
/// After a second accept in a row that failed for want of something the next try comes this much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);
/// So many such failures are no passing shortage: descriptors have to be given back.
const LASTING_SHORTAGE: u32 = 10;

/// Accepts that failed because this process or machine is short of something.
#[derive(Default)]
struct Shortage {
    in_a_row: u32,
    /// Those that failed, less those that did not meanwhile.
    excess: u32,
}

impl Shortage {
    fn goes_on(&mut self) {
        self.in_a_row += 1;
        self.excess += 1;
    }

    fn passes(&mut self) {
        self.in_a_row = 0;
        self.excess = self.excess.saturating_sub(1);
    }

    /// It is no passing one.
    fn lasts(&self) -> bool {
        self.excess >= LASTING_SHORTAGE
    }
}

impl Server {
    /// Takes connections until that is over. Guards against one that has been taken, and is dropped as the end comes just
    /// then.
    pub async fn accept(self: &Rc<Self>, listener: &Listener, over: impl Future<Output = ()>) {
        let mut over = pin!(over);
        let mut shortage = Shortage::default();
        loop {
            let accepted = tokio::select! {
                biased;
                () = &mut over => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(accepted) => {
                    shortage.passes();
                    self.admit(accepted).await;
                }
                Err(error) => self.wait_out(&mut shortage, &error).await,
            }
        }
    }

    /// Waits before the next accept, if this error asks for that. A passing shortage must not cost other clients their
    /// connections; where the process itself holds too many descriptors for long, one is closed.
    async fn wait_out(&self, shortage: &mut Shortage, error: &io::Error) {
        if is_connection_error(error) {
            // The next in the queue may be a good one.
            return yield_now().await;
        }
        if self
            .accept_failed
            .get()
            .is_none_or(|last| last.elapsed() > IDLE)
        {
            self.accept_failed.set(Some(Instant::now()));
            log::line(format!("accept: {error}"));
        }
        shortage.goes_on();
        if shortage.lasts() && is_descriptor_limit(error) {
            self.evict_idle_connection().await;
        }
        match shortage.in_a_row {
            1 => yield_now().await,
            _ => sleep(ACCEPT_AGAIN).await,
        }
    }

    /// Takes all connections that the kernel has taken for this listener, and closes it; not later than `until`.
    /// Those that are still in its queue when it closes are reset.
    pub async fn close(self: &Rc<Self>, listener: Listener, until: Instant) -> io::Result<()> {
        let mut shortage = Shortage::default();
        loop {
            match listener.accept_now() {
                Ok(accepted) => {
                    shortage.passes();
                    self.admit(accepted).await;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if Instant::now() >= until => return Err(error),
                Err(error) => self.wait_out(&mut shortage, &error).await,
            }
        }
    }

    pub(super) async fn admit(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => return log::line(format!("a connection can't be served: {error}")),
        };
        // Guards against silent connections that keep all others waiting behind them: whoever comes is taken or
        // turned away at once.
        let mut permit = self.budget.acquire(Purpose::ClientConnection);
        let mut refused = false;
        for _ in 0..TURNS {
            if permit.is_some() {
                break;
            }
            if self.evict_idle_connection().await {
                permit = self.budget.acquire(Purpose::ClientConnection);
            }
            refused = permit.is_none();
            permit = permit.or_else(|| self.budget.acquire(Purpose::Rejection));
            if permit.is_none() {
                yield_now().await;
            }
        }
        // With no room even for a refusal, closing is all that is left.
        let Some(permit) = permit else { return };
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let client = ClientConnection::new(Socket::for_client(stream, permit));
        self.clients.borrow_mut().insert(number, client.clone());
        spawn_local(self.clone().serve(number, client, refused));
    }
}
