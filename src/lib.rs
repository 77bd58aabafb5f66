//! Load balancing for services that call services: which upstream a request is sent to, how long it
//! may be queued, and when it is retried, rejected or failed. The decisions do no I/O and read no
//! clock.
//!
//! The embedder's event loop owns a [`Balancer`], reports each [`Event`] to it, and carries out the
//! returned [`Action`]s in order. With each event the embedder passes the time, in seconds on a
//! clock of its choice; the balancer's time never goes back. The embedder has to report the end of
//! each attempt, because the balancer keeps the state of a request until its last attempt has ended
//! and the request has its final response or its client has disconnected. The time to select an
//! upstream grows with the size of the subset that a balancer uses, not with the number of
//! upstreams.
//!
//! ```
//! use load_balancer::{
//!     Action, AttemptOutcome, AttemptResult, Balancer, Event, ListScope, Request, RequestId,
//!     Settings, SettingsError, UpstreamEntry, UpstreamId, UpstreamState,
//! };
//!
//! // There are six balancers; each may have one attempt at a time in flight at the upstream.
//! let settings = Settings { peer_count: 6, ..Settings::simple() };
//! let mut balancer = Balancer::new(settings, 42, 0.0)?;
//! let mut handle = |now, event| {
//!     let mut actions = Vec::new();
//!     balancer.handle(now, event, &mut actions);
//!     actions
//! };
//! let entry = UpstreamEntry {
//!     id: UpstreamId(1),
//!     zone: 0,
//!     machine_kind: 0,
//!     cell: 0,
//!     state: UpstreamState::Active,
//!     started_at: 0.0,
//! };
//! let endpoints = vec![entry.clone()];
//! handle(0.0, Event::EndpointList { scope: ListScope::Full, endpoints });
//!
//! // The first request is sent. The second one is queued, because the only slot is taken.
//! let request = |id| {
//!     Event::Request(Request {
//!         id: RequestId(id),
//!         class: 0,
//!         tenant: 0,
//!         remaining: 2.0,
//!         cost_hint: None,
//!         is_streamed: false,
//!     })
//! };
//! let actions = handle(0.1, request(1));
//! let starts = |actions: &[Action], request| {
//!     matches!(actions[0], Action::StartAttempt { id, .. } if id == RequestId(request))
//! };
//! assert!(starts(&actions, 1));
//! let actions = handle(0.2, request(2));
//! assert!(matches!(actions[..], [Action::SetTimer { token: 2, .. }]));
//!
//! // The end of the first attempt frees the slot, and the second request is sent.
//! let success = |id| {
//!     Event::AttemptEnded(AttemptResult {
//!         id: RequestId(id),
//!         attempt: 0,
//!         outcome: AttemptOutcome::Success,
//!         elapsed: 0.2,
//!         connection_idle: None,
//!         is_request_concluded: true,
//!     })
//! };
//! let actions = handle(0.3, success(1));
//! assert!(starts(&actions, 2));
//!
//! // A draining upstream gets no new requests, so the third request, which arrives at 0.6, waits
//! // until its deadline at 2.6.
//! let endpoints = vec![UpstreamEntry { state: UpstreamState::Draining, ..entry }];
//! handle(0.4, Event::EndpointList { scope: ListScope::Delta, endpoints });
//! handle(0.5, success(2));
//! let actions = handle(0.6, request(3));
//! assert!(!actions.iter().any(|action| matches!(action, Action::StartAttempt { .. })));
//! let actions = handle(2.7, Event::TimerFired(3));
//! assert_eq!(actions, [Action::Reject { id: RequestId(3), retry_after: None }]);
//! # Ok::<(), SettingsError>(())
//! ```

mod decision;
pub mod settings_format;
pub mod simulator;

pub use decision::*;
