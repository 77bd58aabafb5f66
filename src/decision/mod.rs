//! The decisions of the load balancer. They do no I/O and read no clock: [`Balancer`] takes an
//! [`Event`] and returns [`Action`]s.
//!
//! | Module | What it decides or owns |
//! | --- | --- |
//! | `settings`, `event`, `action` | the types that the embedder uses |
//! | `balancer` | the state of all parts; dispatch of events |
//! | `endpoint_list`, `maintenance`, `poll_schedule`, `start_time` | which upstreams there are |
//! | `subset`, `rotation`, `selection` | the upstream for an attempt |
//! | `concurrency_limit`, `slow_start`, `outlier` | which upstreams accept a request now |
//! | `admission`, `queue` | how long a request waits, and which one goes first |
//! | `attempts`, `ended_attempt`, `idle_timeout`, `latency` | starting attempts; what results show |
//! | `retry`, `conclusion` | retries, hedged requests, and the final response |
//! | `request`, `upstream` | the state of one request and of one upstream |
//! | `learned_state` | what a process hands to the next |

mod action;
mod admission;
mod attempts;
mod balancer;
mod conclusion;
mod concurrency_limit;
mod ended_attempt;
mod endpoint_list;
mod event;
mod idle_timeout;
mod latency;
mod learned_state;
mod maintenance;
mod outlier;
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
pub use settings::{
    Class, DeduplicationScope, DiscoveryMode, Idempotency, Limits, Prices, Rules, Settings,
    SettingsError, Tenant,
};
