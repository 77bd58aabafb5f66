//! The load balancer on real sockets. See README.md for what it is told and what it promises.

mod admin;
mod body;
mod config;
mod discovery;
mod dispatch;
mod handover;
mod log;
mod metrics;
mod server;
mod signals;
mod socket;
mod upstream;

use admin::Admin;
use config::{Config, ConfigError};
use dispatch::Dispatcher;

use handover::Handover;
use server::listener::{Listener, PortSharing};
use server::Server;
use signals::{Signal, SIGHUP, SIGINT, SIGTERM};
use socket::system_errors::retry_transient_errors;
use socket::DescriptorBudget;
use std::cell::RefCell;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::runtime;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// After SIGTERM connections are still taken for this long: the front has yet to notice.
const STILL_ACCEPT: Duration = Duration::from_millis(800);
/// SIGKILL follows SIGTERM after the longest deadline, of which no more than this counts,
const KILL_CAP: Duration = Duration::from_secs(3);
/// and this much more.
const KILL_EXTRA: Duration = Duration::from_millis(700);
/// What comes after SIGTERM is settled this much before that: the process may be held up for 0.15 s just then.
const SPARE: Duration = Duration::from_millis(250);
/// The listener closes this much before all is settled.
const LAST_REQUEST: Duration = Duration::from_millis(100);
/// What has been taken by then is settled within the longest deadline, and this much more.
const SETTLE: Duration = Duration::from_secs(1);
/// A new configuration that can't be opened is tried again for this long, this often: discovery may have moved.
const READ_PATIENCE: Duration = Duration::from_secs(2);
const READ_AGAIN: Duration = Duration::from_millis(50);
/// Whether the first list has come is looked up this often.
const LOOK: Duration = Duration::from_millis(10);
/// Idle connections are looked through this often.
const SWEEP: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    // Guards against a balancer that lives on without its driver: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    // Without a thread for the log its lines are lost, and nothing else.
    let _ = retry_transient_errors(log::start);
    let result =
        retry_transient_errors(|| runtime::Builder::new_current_thread().enable_all().build())
            .map_err(Into::into)
            .and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let terminate = Signal::listen(SIGTERM)?;
    let interrupt = Signal::listen(SIGINT)?;
    // Guards against an end by SIGHUP before there is anything to load again.
    let hangup = Signal::listen(SIGHUP)?;
    let config = Config::load()?;
    let (name, address, sockets) = (config.name.clone(), config.listen, config.max_descriptors);
    let budget = DescriptorBudget::new(sockets, config.admin.is_some());
    let admin = match config.admin {
        Some(address) => Some(
            Listener::bind(address, PortSharing::Exclusive)
                .map_err(|error| format!("listen on {address} for operators: {error}"))?,
        ),
        None => None,
    };
    let longest = config
        .settings
        .classes
        .iter()
        .fold(0.0, |longest: f64, c| longest.max(c.deadline));
    let dispatcher = Dispatcher::start(config, budget.clone())?;
    let server = Server::new(dispatcher.clone(), budget.clone());
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let handover = Handover::new(
        folder,
        address,
        dispatcher.clone(),
        server.clone(),
        budget.clone(),
        sockets,
    );
    if let Some(listener) = admin {
        let address = retry_transient_errors(|| listener.local_addr())?;
        log::line(format!("{name} takes operators' calls at {address}"));
        spawn_local(
            Admin::new(dispatcher.clone(), server.clone(), handover.clone(), budget)
                .accept(listener),
        );
    }
    let pool = dispatcher.borrow().pool().clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            pool.close_expired();
        }
    });
    let reloaded = dispatcher.clone();
    spawn_local(async move {
        loop {
            hangup.received().await;
            reload(&reloaded).await;
        }
    });
    let ready = async {
        handover.take_over().await;
        // Guards against taking clients from an old process before they can be served. Once that has gone, nobody else
        // listens.
        while handover.has_peer() && !dispatcher.borrow().is_ready() {
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = ready => {}
        () = terminate.received() => return Ok(()),
        () = interrupt.received() => return Ok(()),
    }
    let listener = Listener::bind(address, PortSharing::Shared)
        .map_err(|error| format!("listen on {address}: {error}"))?;
    let address = retry_transient_errors(|| listener.local_addr())?;
    server.open();
    handover.settle(address);
    log::line(format!("{name} listens on {address}"));
    let ended = async {
        tokio::select! {
            () = terminate.received() => {}
            () = interrupt.received() => {}
        }
    };
    server.accept(&listener, ended).await;
    log::line(format!("{name} drains"));
    let longest = Duration::try_from_secs_f64(longest).unwrap_or_default();
    drain(&server, listener, handover.is_replaced(), longest).await;
    // What was taken is settled before its deadline; then its answer is written.
    let over = async {
        while server.connections() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    if timeout(longest + SETTLE, over).await.is_err() {
        log::line(format!(
            "{name} ends with {} connections open",
            server.connections()
        ));
    }
    Ok(())
}

/// Reads the configuration again, all of it; one that is bad changes nothing, and one that can't be opened is tried again
/// for a while. What the balancer can take over while it runs is the address of discovery.
async fn reload(dispatcher: &RefCell<Dispatcher>) {
    let until = Instant::now() + READ_PATIENCE;
    let mut read = Config::reload();
    while matches!(read, Err(ConfigError::Unreadable(..))) && Instant::now() < until {
        sleep(READ_AGAIN).await;
        read = Config::reload();
    }
    match read {
        Ok(config) => {
            log::line(format!("{} has read its configuration again", config.name));
            dispatcher
                .borrow_mut()
                .set_discovery_address(config.discovery);
        }
        Err(error) => log::line(format!("the configuration stays as it was: {error}")),
    }
}

/// Goes on accepting for a while, unless a new process takes the clients' connections, then until the kernel holds no
/// more, and closes the listener.
async fn drain(server: &Rc<Server>, listener: Listener, is_replaced: bool, longest: Duration) {
    let settled = Instant::now() + last_moment(longest);
    server.drain(settled);
    let still_accept = still_accept(longest);
    if !is_replaced {
        server.accept(&listener, sleep(still_accept)).await;
    }
    if let Err(error) = server.close(listener, settled).await {
        log::line(format!("close: {error}"));
    }
    if is_replaced {
        sleep(still_accept).await;
    }
    server.drain_new_connections();
}

/// From SIGTERM to the moment by which all is settled, where the longest deadline is this.
fn last_moment(longest: Duration) -> Duration {
    longest.min(KILL_CAP) + KILL_EXTRA - SPARE
}

/// How long connections are still taken then. Guards against one that is taken and can't be settled any more.
fn still_accept(longest: Duration) -> Duration {
    STILL_ACCEPT.min(last_moment(longest) - LAST_REQUEST)
}

#[cfg(test)]
mod tests;
