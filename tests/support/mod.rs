//! The real program, and small loopback peers for it: upstreams, discovery and a client.
//! Each test file uses a part of them.
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

/// No step of a test takes longer, also on a busy machine; whoever waits for so long has failed.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until this holds; whatever it waits for has to come.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "{what}");
        thread::sleep(Duration::from_millis(2));
    }
}
