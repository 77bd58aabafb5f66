//! Sockets: the descriptor budget that they share, counters of their traffic, and how they close.
//!
//! - [`DescriptorBudget`] divides the process's descriptors among clients, upstreams, discovery
//!   and the admin endpoint.
//! - [`Socket`] is a connection that counts its traffic; `io` implements hyper's I/O traits for it.
//! - For connections of clients, `client_input` stores the recent input and when the current
//!   request began, and `read_ahead` buffers bytes that are read from the kernel before the server
//!   reads them. `receive` reads them together with the kernel's receive timestamps, from which
//!   `arrival` estimates when they were sent. [`RequestArrival`] is the result for one request.
//!   `input_limit` refuses input while the process is short of memory.
//! - For connections to upstreams, `exchange_limits` checks the reads and writes of an exchange.
//! - [`NextFlush`] tells when all buffered bytes have been passed to the kernel.
//! - `closing` detects disconnects and implements the lingering close.
//! - [`system_errors`] classifies errors of system calls.

mod arrival;
mod client_input;
mod closing;
mod connection;
mod descriptor_budget;
mod exchange_limits;
mod flush;
mod input_limit;
mod io;
mod read_ahead;
mod receive;
mod receive_clock;
mod request_arrival;
pub mod system_errors;

pub use closing::UnreadInput;
pub use connection::{PeerHandle, Socket};
pub use descriptor_budget::{AdminEndpoint, DescriptorBudget, DescriptorPermit, Purpose};
pub use flush::NextFlush;
pub use receive::enable_receive_timestamps;
pub use receive_clock::ReceiveClock;
pub use request_arrival::RequestArrival;

#[cfg(test)]
mod tests;
