//! Attempts at upstreams, and the pool of idle connections to them.
//!
//! An [`Attempt`] takes a connection from the [`ConnectionPool`] or opens one, transfers a
//! [`ForwardedRequest`] and its response over the connection (`exchange`), and returns an
//! [`UpstreamResponse`] or an [`AttemptError`]. `response` classifies responses by status and reads
//! their bodies.

mod attempt;
mod error;
mod exchange;
mod headers;
mod pool;
mod request;
mod response;

pub use attempt::{Attempt, ConnectionIdleTime};
pub use error::AttemptError;
pub use headers::end_to_end_headers;
pub use pool::ConnectionPool;
pub use request::ForwardedRequest;
pub use response::{ResponseContent, UpstreamResponse};

#[cfg(test)]
mod tests;
