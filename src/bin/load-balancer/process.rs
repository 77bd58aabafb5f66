//! The life cycle of the process: start-up, serving, graceful shutdown.

use crate::admin::Admin;
use crate::config::{Config, ConfigError};
use crate::dispatch::{longest_deadline, Dispatcher};
use crate::handover::Handover;
use crate::log;
use crate::reload::reload_on_signal;
use crate::resources::Resources;
use crate::server::listener::{Listener, PortSharing};
use crate::server::Server;
use crate::shutdown::{shut_down, ShutdownSchedule, Successor};
use crate::signals::{Signal, SIGHUP, SIGINT, SIGTERM};
use crate::socket::system_errors::retry_transient_errors;
use crate::upstream::ConnectionPool;
use load_balancer::SettingsError;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Interval at which a successor checks whether it has an endpoint list and can serve clients.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which expired idle connections to upstreams are closed.
const EXPIRED_CONNECTION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The reason why the process ended without having served clients.
#[derive(Debug, Error)]
pub enum StartError {
    /// A system call failed, possibly after retries.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The configuration is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The decision module rejects the settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The process can't listen for clients on the configured address.
    #[error("listen on {address}: {source}")]
    ClientListener {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// The process can't listen for admin requests on the configured address.
    #[error("listen on {address} for admin requests: {source}")]
    AdminListener {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
}

/// The signals that begin a graceful shutdown.
struct ShutdownSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignals {
    fn listen() -> io::Result<Self> {
        Ok(ShutdownSignals {
            terminate: Signal::listen(SIGTERM)?,
            interrupt: Signal::listen(SIGINT)?,
        })
    }

    /// Waits until one of the signals is received.
    async fn received(&self) {
        tokio::select! {
            () = self.terminate.received() => {}
            () = self.interrupt.received() => {}
        }
    }
}

/// The parts of a process that has started.
struct Process {
    name: String,
    /// The configured address for clients. Its port may be 0.
    address: SocketAddr,
    shutdown_schedule: ShutdownSchedule,
    dispatcher: Rc<RefCell<Dispatcher>>,
    server: Rc<Server>,
    handover: Rc<Handover>,
}

/// Runs the process from its start to the end of its graceful shutdown.
///
/// # Errors
///
/// Returns a [`StartError`] if the process can't start.
pub async fn run() -> Result<(), StartError> {
    let shutdown_signals = ShutdownSignals::listen()?;
    // The handler is installed before the configuration is read, because a SIGHUP without a handler
    // ends the process.
    let hangup = Signal::listen(SIGHUP)?;
    let process = Process::start(Config::load()?)?;
    spawn_local(reload_on_signal(hangup, process.dispatcher.clone()));
    tokio::select! {
        () = process.take_over() => {}
        () = shutdown_signals.received() => return Ok(()),
    }
    process.serve(shutdown_signals).await
}

impl Process {
    /// Starts all parts of the process except the listener for clients.
    fn start(config: Config) -> Result<Self, StartError> {
        let name = config.name.clone();
        let address = config.listen;
        let max_descriptors = config.max_descriptors;
        let admin_listener = config.admin.map(bind_admin_listener).transpose()?;
        // Valid settings contain finite deadlines. If the longest one is out of the range of
        // `Duration`, the schedule is computed for zero.
        let longest_deadline = longest_deadline(&config.settings.classes).unwrap_or(Duration::ZERO);
        let shutdown_schedule = ShutdownSchedule::new(longest_deadline);
        let resources = Resources::new(&config);
        let dispatcher = Dispatcher::start(config, resources.clone())?;
        let server = Server::new(dispatcher.clone(), resources.clone());
        let handover = Handover::new(
            std::env::var_os("TMPDIR").map(PathBuf::from),
            address,
            dispatcher.clone(),
            server.clone(),
            &resources,
            max_descriptors,
        );
        if let Some(listener) = admin_listener {
            let address = retry_transient_errors(|| listener.local_addr())?;
            log::line(format!("listening for admin requests: {name} at {address}"));
            let admin = Admin::new(
                dispatcher.clone(),
                server.clone(),
                handover.clone(),
                resources.descriptors,
            );
            spawn_local(admin.accept(listener));
        }
        spawn_local(server.clone().reclaim_memory());
        spawn_local(close_expired_connections(resources.pool));
        Ok(Process {
            name,
            address,
            shutdown_schedule,
            dispatcher,
            server,
            handover,
        })
    }

    /// Takes over from a predecessor, if there is one. While the predecessor still runs, waits
    /// until this process can serve clients too.
    async fn take_over(&self) {
        self.handover.take_over().await;
        while self.handover.has_peer() && !self.dispatcher.borrow().is_ready() {
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Serves clients until a shutdown signal is received, then shuts down gracefully.
    async fn serve(self, shutdown_signals: ShutdownSignals) -> Result<(), StartError> {
        let address = self.address;
        let listener = Listener::bind(address, PortSharing::Shared)
            .map_err(|source| StartError::ClientListener { address, source })?;
        let address = retry_transient_errors(|| listener.local_addr())?;
        self.server.mark_listening();
        self.handover.announce_listening(address);
        let name = &self.name;
        log::line(format!("listening for clients: {name} at {address}"));
        self.server
            .accept(&listener, shutdown_signals.received())
            .await;
        let successor = if self.handover.is_replaced() {
            Successor::Accepting
        } else {
            Successor::Absent
        };
        shut_down(
            name,
            &self.server,
            listener,
            successor,
            self.shutdown_schedule,
        )
        .await;
        Ok(())
    }
}

fn bind_admin_listener(address: SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(address, PortSharing::Exclusive)
        .map_err(|source| StartError::AdminListener { address, source })
}

async fn close_expired_connections(pool: Rc<ConnectionPool>) {
    loop {
        sleep(EXPIRED_CONNECTION_CHECK_INTERVAL).await;
        pool.close_expired();
    }
}
