//! Runs the load balancer on loopback sockets, with stub upstreams, a stub discovery service and
//! clients. Unused items are allowed, as each test target uses only some of them.
#![allow(dead_code, unused_imports)]

mod client;
mod config;
mod discovery;
mod message;
mod ports;
mod program;
mod tcp_table;
mod upgrade;
mod upstream;

pub use client::*;
pub use config::*;
pub use discovery::*;
pub use message::*;
pub use ports::*;
pub use program::*;
pub use tcp_table::*;
pub use upgrade::*;
pub use upstream::*;

use std::thread;
use std::time::{Duration, Instant};

/// Time limit of one step of a test, long enough for a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` returns true. Panics after `TEST_TIMEOUT` with a message that
/// ends with "waiting until" and `description`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < TEST_TIMEOUT,
            "timed out after {TEST_TIMEOUT:?} waiting until {description}"
        );
        thread::sleep(Duration::from_millis(2));
    }
}
