//! Sockets: the descriptor budget that they share, counters of their traffic, and how they close.
//!
//! - [`DescriptorBudget`] divides the process's descriptors among clients, upstreams, discovery
//!   and the admin endpoint.
//! - [`Socket`] is a connection that counts its traffic; `io` implements hyper's I/O traits for it.
//! - For connections of clients, `client_input` stores the recent input and when the current
//!   request began, and `read_ahead` buffers bytes that are read from the kernel before the server
//!   reads them.
//! - For connections to upstreams, `exchange_limits` checks the reads and writes of an exchange.
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
pub use descriptor_budget::{AdminEndpoint, DescriptorBudget, DescriptorPermit, Purpose};

#[cfg(test)]
mod tests;
