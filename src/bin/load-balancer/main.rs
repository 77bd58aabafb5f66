//! The load balancer process, which runs the decision module on real sockets. See README.md for its
//! configuration, and `docs/architecture.md` for how its parts work together.

mod admin;
mod body;
mod config;
mod discovery;
mod dispatch;
mod handover;
mod log;
mod memory;
mod metrics;
mod process;
mod reload;
mod resources;
mod retry;
mod server;
mod shutdown;
mod shutdown_deadline;
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
    // If the log thread can't be started, only log lines are lost.
    let _ = retry_transient_errors(log::start);
    match block_on_process() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("load-balancer: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Makes any panic abort the process. If only the panicking task ended, the process might go on to
/// accept clients that it can't serve.
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
