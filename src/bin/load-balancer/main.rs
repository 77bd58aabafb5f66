//! The load balancer as a process on real sockets. See README.md for its configuration, and
//! `docs/architecture.md` for how its parts work together.

mod admin;
mod body;
mod config;
mod discovery;
mod dispatch;
mod handover;
mod log;
mod metrics;
mod process;
mod reload;
mod retry;
mod server;
mod shutdown;
mod signals;
mod socket;
mod upstream;

use process::StartError;
use socket::system_errors::retry_transient_errors;
use std::process::ExitCode;
use tokio::runtime;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    abort_on_panic();
    // Without a thread for the log its lines are lost, and nothing else.
    let _ = retry_transient_errors(log::start);
    match block_on_process() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Makes a panic anywhere end the process: without one of its tasks it would accept clients that
/// it can't serve.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
}

fn block_on_process() -> Result<(), StartError> {
    let runtime =
        retry_transient_errors(|| runtime::Builder::new_current_thread().enable_all().build())?;
    LocalSet::new().block_on(&runtime, process::run())
}

#[cfg(test)]
mod tests;
