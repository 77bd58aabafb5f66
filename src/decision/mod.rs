//! Every decision of the load balancer. It does no I/O and reads no clock.

mod action;
mod balancer;
mod event;
mod learned_state;
mod poll_schedule;
mod settings;
mod start_time;
mod state;

pub use action::Action;
pub use balancer::Balancer;
pub use event::*;
pub use learned_state::LearnedState;
pub use settings::*;
