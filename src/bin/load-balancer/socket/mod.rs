//! Sockets: the budget of descriptors that all of them share, their traffic, and how they close.
//!
//! - [`DescriptorBudget`] divides the process's descriptors among clients, upstreams, discovery
//!   and the admin endpoint.
//! - [`Socket`] is a connection with counters, with hyper's I/O traits in `io`.
//! - Of clients' connections, `client_input` holds the latest bytes and the start of a request,
//!   and `read_ahead` the bytes that were read before the server asked for them.
//! - Of upstreams' connections, `exchange_limits` holds what an attempt requires.
//! - `closing` detects disconnects and implements the lingering close.
//! - [`system_errors`] classifies errors of system calls.

mod client_input;
mod closing;
mod connection;
mod descriptor_budget;
mod exchange_limits;
mod io;
mod read_ahead;
pub mod system_errors;

pub use closing::UnreadInput;
pub use connection::{PeerHandle, Socket};
pub use descriptor_budget::{DescriptorBudget, DescriptorPermit, Purpose};

#[cfg(test)]
mod tests;
