//! The simulator's line protocol: its format, its messages, and the adapter that runs balancers
//! behind it. All decisions are left to the decision module.

mod adapter;
mod line;
mod message;

pub use adapter::serve;
pub use line::WireError;
