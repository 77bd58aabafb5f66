//! The decisions of the load balancer. They do no I/O and read no clock: [`Balancer`] takes an
//! [`Event`] and returns [`Action`]s.
//!
//! | Module | What it decides or owns |
//! | --- | --- |
//! | `settings`, `event`, `action`, `log_event` | the types that the embedder uses |
//! | `balancer` | the state of all modules, and the dispatch of events |
//! | `endpoint_list`, `poll_schedule` | the list of upstreams, and when it is polled |
//! | `maintenance`, `draining`, `start_time` | the upstreams in service, and when they started |
//! | `subset`, `rotation`, `selection` | the upstream for an attempt |
//! | `concurrency_limit`, `slow_start` | how many requests an upstream gets |
//! | `outlier`, `outlier_stats` | which upstreams are ejected |
//! | `admission`, `queue` | how long a request is queued, and which one goes first |
//! | `attempts`, `idle_timeout` | the start of attempts, and their connections |
//! | `attempt_results`, `ended_attempt` | what changes when an attempt ends |
//! | `latency`, `congestion` | how long responses take, and by how much other requests delay them |
//! | `moving_average` | the moving averages that other modules use |
//! | `retry`, `conclusion` | retries, hedged requests, and the final response |
//! | `request`, `upstream` | the state of one request and of one upstream |
//! | `learned_state` | what a process hands over to the next |

mod action;
mod admission;
mod attempt_results;
mod attempts;
mod balancer;
mod conclusion;
mod concurrency_limit;
mod congestion;
mod draining;
mod ended_attempt;
mod endpoint_list;
mod event;
mod idle_timeout;
mod latency;
mod learned_state;
mod log_event;
mod maintenance;
mod moving_average;
mod outlier;
mod outlier_stats;
mod poll_schedule;
mod queue;
mod request;
mod retry;
mod rotation;
mod selection;
mod settings;
mod slow_start;
mod start_time;
mod subset;
mod upstream;

pub use action::Action;
pub use balancer::{Balancer, Load};
pub use event::{
    AttemptOutcome, AttemptResult, Event, ListScope, Maintenance, Request, RequestId,
    UpstreamEntry, UpstreamId, UpstreamState,
};
pub use learned_state::LearnedState;
pub use log_event::{EjectionScope, LogEvent};
pub use settings::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Limits, Prices, Rules, Settings,
    SettingsError, Tenant,
};
