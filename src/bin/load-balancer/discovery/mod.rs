//! Client of the discovery service: the endpoint list, and the watches that keep it up to date.

mod endpoint;
mod message;
mod silence_timer;
mod watch;
pub mod watch_set;

pub use endpoint::{Endpoint, EndpointList, EndpointStatus};
pub use watch::{run_watch, WatchError, WatchId, WatchObserver, WatchRequest};
pub use watch_set::{DiscoveryService, Reconnect, WatchSet};
