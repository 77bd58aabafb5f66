//! Tests of the decisions, through the library's public interface.

mod concurrency_limit;
mod endpoint_list;
mod fleet_poll_schedule;
mod fleet_slow_start;
mod harness;
mod idempotency;
mod idle_connections;
mod invariants;
mod learned_state;
mod lifecycle;
mod maintenance;
mod outlier_classes;
mod outliers;
mod poll_schedule;
mod queues;
mod retries;
mod rotation;
mod slow_start;
