//! magpiechute, the balancer on real sockets. See README.md for what it is told and what it promises.

mod admin;
mod bodies;
mod config;
mod discovery;
mod driver;
mod listener;
mod log;
mod raw_head;
mod server;
mod signals;
mod socket;
mod state_file;
mod stats;
mod steady;
mod system_errors;
mod upgrade;
mod upstream;

use admin::Admin;
use config::{Config, ConfigError};
use driver::Driver;
use listener::Listener;
use server::Server;
use signals::{Signal, SIGHUP, SIGINT, SIGTERM};
use socket::Budget;
use std::cell::RefCell;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use system_errors::outlasting;
use tokio::runtime;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};
use upgrade::Upgrade;

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
    let _ = outlasting(log::start);
    let result = outlasting(|| runtime::Builder::new_current_thread().enable_all().build())
        .map_err(Into::into)
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run()));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("magpiechute: {error}");
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
    let (name, address, sockets) = (config.name.clone(), config.listen, config.sockets);
    let budget = Budget::new(sockets, config.console.is_some());
    let admin = match config.console {
        Some(address) => Some(
            Listener::bind(address, false)
                .map_err(|error| format!("listen on {address} for operators: {error}"))?,
        ),
        None => None,
    };
    let longest = config
        .settings
        .classes
        .iter()
        .fold(0.0, |longest: f64, c| longest.max(c.deadline));
    let driver = Driver::start(config, budget.clone())?;
    let server = Server::new(driver.clone(), budget.clone());
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    let upgrade = Upgrade::new(
        folder,
        address,
        driver.clone(),
        server.clone(),
        budget.clone(),
        sockets,
    );
    if let Some(listener) = admin {
        let address = outlasting(|| listener.local_addr())?;
        log::line(format!("{name} takes operators' calls at {address}"));
        spawn_local(
            Admin::new(driver.clone(), server.clone(), upgrade.clone(), budget).accept(listener),
        );
    }
    let pool = driver.borrow().pool().clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            pool.sweep();
        }
    });
    let reloaded = driver.clone();
    spawn_local(async move {
        loop {
            hangup.received().await;
            reload(&reloaded).await;
        }
    });
    let ready = async {
        upgrade.succeed().await;
        // Guards against taking clients from an old process before they can be served. Once that has gone, nobody else
        // listens.
        while upgrade.is_beside() && !driver.borrow().is_ready() {
            sleep(LOOK).await;
        }
    };
    tokio::select! {
        () = ready => {}
        () = terminate.received() => return Ok(()),
        () = interrupt.received() => return Ok(()),
    }
    let listener =
        Listener::bind(address, true).map_err(|error| format!("listen on {address}: {error}"))?;
    let address = outlasting(|| listener.local_addr())?;
    server.open();
    upgrade.settle(address);
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
    drain(&server, listener, upgrade.replaced(), longest).await;
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
async fn reload(driver: &RefCell<Driver>) {
    let until = Instant::now() + READ_PATIENCE;
    let mut read = Config::reload();
    while matches!(read, Err(ConfigError::Unreadable(..))) && Instant::now() < until {
        sleep(READ_AGAIN).await;
        read = Config::reload();
    }
    match read {
        Ok(config) => {
            log::line(format!("{} has read its configuration again", config.name));
            driver.borrow_mut().move_discovery(config.discovery);
        }
        Err(error) => log::line(format!("the configuration stays as it was: {error}")),
    }
}

/// Goes on accepting for a while, unless a new process takes the clients' connections, then until the kernel holds no
/// more, and closes the listener.
async fn drain(server: &Rc<Server>, listener: Listener, replaced: bool, longest: Duration) {
    let settled = Instant::now() + last_moment(longest);
    server.drain(settled);
    let still_accept = still_accept(longest);
    if !replaced {
        server.accept(&listener, sleep(still_accept)).await;
    }
    if let Err(error) = server.close(listener, settled).await {
        log::line(format!("close: {error}"));
    }
    if replaced {
        sleep(still_accept).await;
    }
    server.drain_fresh();
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
#[path = "../../../tests/unit/magpiechute.rs"]
mod tests;
