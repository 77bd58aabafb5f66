//! The simulator's wire: its line format, its messages, and the adapter that runs balancers on it.
//! No decision is made here.

mod adapter;
mod line;
mod message;

pub use adapter::serve;
pub use line::WireError;
