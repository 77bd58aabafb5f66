//! The life of the process: start-up, serving, graceful shutdown.

use crate::admin::Admin;
use crate::config::{Config, ConfigError};
use crate::dispatch::Dispatcher;
use crate::handover::Handover;
use crate::log;
use crate::reload::reload_on_signal;
use crate::server::listener::{Listener, PortSharing};
use crate::server::Server;
use crate::shutdown::{shut_down, DrainSchedule, Successor};
use crate::signals::{Signal, SIGHUP, SIGINT, SIGTERM};
use crate::socket::system_errors::retry_transient_errors;
use crate::socket::DescriptorBudget;
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

/// Interval at which a successor looks whether the first endpoint list has arrived.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which expired idle connections are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Why the process ended without having served.
#[derive(Debug, Error)]
pub enum StartError {
    /// A call of the system failed for longer than a moment.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The configuration is invalid.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// The decision module rejects the settings.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// The address for clients can't be listened on.
    #[error("listen on {address}: {source}")]
    ClientListener {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
    /// The address for admin requests can't be listened on.
    #[error("listen on {address} for admin requests: {source}")]
    AdminListener {
        /// The address.
        address: SocketAddr,
        /// The error of the system.
        source: io::Error,
    },
}

/// The signals that end the process.
struct EndSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl EndSignals {
    fn listen() -> io::Result<Self> {
        Ok(EndSignals {
            terminate: Signal::listen(SIGTERM)?,
            interrupt: Signal::listen(SIGINT)?,
        })
    }

    /// Waits for the first of them.
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
    /// Where clients connect, as configured.
    address: SocketAddr,
    drain_schedule: DrainSchedule,
    dispatcher: Rc<RefCell<Dispatcher>>,
    server: Rc<Server>,
    handover: Rc<Handover>,
}

/// Runs the process from its start to its graceful end.
///
/// # Errors
///
/// If it can't start; see [`StartError`].
pub async fn run() -> Result<(), StartError> {
    let end = EndSignals::listen()?;
    // Before the configuration is read: an early SIGHUP would end the process.
    let hangup = Signal::listen(SIGHUP)?;
    let process = Process::start(Config::load()?)?;
    spawn_local(reload_on_signal(hangup, process.dispatcher.clone()));
    tokio::select! {
        () = process.take_over() => {}
        () = end.received() => return Ok(()),
    }
    process.serve(end).await
}

impl Process {
    /// Starts all parts but the listener for clients.
    fn start(config: Config) -> Result<Self, StartError> {
        let name = config.name.clone();
        let address = config.listen;
        let max_descriptors = config.max_descriptors;
        let budget = DescriptorBudget::new(max_descriptors, config.admin.is_some());
        let admin = config.admin.map(bind_admin).transpose()?;
        let drain_schedule = DrainSchedule::new(longest_deadline(&config));
        let dispatcher = Dispatcher::start(config, budget.clone())?;
        let server = Server::new(dispatcher.clone(), budget.clone());
        let handover = Handover::new(
            std::env::var_os("TMPDIR").map(PathBuf::from),
            address,
            dispatcher.clone(),
            server.clone(),
            budget.clone(),
            max_descriptors,
        );
        if let Some(listener) = admin {
            let address = retry_transient_errors(|| listener.local_addr())?;
            log::line(format!("listening for admin requests: {name} at {address}"));
            let admin = Admin::new(dispatcher.clone(), server.clone(), handover.clone(), budget);
            spawn_local(admin.accept(listener));
        }
        spawn_local(close_expired_connections(
            dispatcher.borrow().pool().clone(),
        ));
        Ok(Process {
            name,
            address,
            drain_schedule,
            dispatcher,
            server,
            handover,
        })
    }

    /// Takes over from a predecessor. While that serves clients, this process first waits until it
    /// can serve them too.
    async fn take_over(&self) {
        self.handover.take_over().await;
        while self.handover.has_peer() && !self.dispatcher.borrow().is_ready() {
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Serves clients until a signal ends that, then shuts down gracefully.
    async fn serve(self, end: EndSignals) -> Result<(), StartError> {
        let address = self.address;
        let listener = Listener::bind(address, PortSharing::Shared)
            .map_err(|source| StartError::ClientListener { address, source })?;
        let address = retry_transient_errors(|| listener.local_addr())?;
        self.server.open();
        self.handover.listening(address);
        let name = &self.name;
        log::line(format!("listening for clients: {name} at {address}"));
        self.server.accept(&listener, end.received()).await;
        let successor = if self.handover.is_replaced() {
            Successor::Accepting
        } else {
            Successor::Absent
        };
        shut_down(name, &self.server, listener, successor, self.drain_schedule).await;
        Ok(())
    }
}

fn bind_admin(address: SocketAddr) -> Result<Listener, StartError> {
    Listener::bind(address, PortSharing::Exclusive)
        .map_err(|source| StartError::AdminListener { address, source })
}

/// The longest deadline of a request class.
fn longest_deadline(config: &Config) -> Duration {
    let classes = config.settings.classes.iter();
    let seconds = classes.fold(0.0, |longest: f64, class| longest.max(class.deadline));
    // Valid settings hold finite deadlines; one that no `Duration` holds counts as none.
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO)
}

async fn close_expired_connections(pool: Rc<ConnectionPool>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        pool.close_expired();
    }
}
