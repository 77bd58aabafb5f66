//! Runs the load balancer on loopback sockets, with stub upstreams, a stub discovery service and
//! clients. Each test target uses a part of this.
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

/// The longest time that a step of a test takes, also on a busy machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `holds` returns true, and panics with `what` after `TEST_TIMEOUT`.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}
