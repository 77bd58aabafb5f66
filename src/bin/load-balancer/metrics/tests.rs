//! Unit tests of the metrics of the admin endpoint.

use super::*;

#[test]
fn each_request_counts_under_at_most_one_outcome() {
    let metrics = Metrics::new(&["a".into(), "b".into()]);
    let served = metrics.begin_request(0);
    let rejected = metrics.begin_request(1);
    let failed = metrics.begin_request(1);
    let disconnected = metrics.begin_request(1);
    served.end(RequestOutcome::Served);
    served.end(RequestOutcome::Failed);
    rejected.end(RequestOutcome::Rejected);
    metrics.count_attempt();
    drop((served, disconnected));
    let text = metrics.render(&ProcessState {
        known_upstreams: 7,
        excluded_upstreams: 2,
        read_ahead_bytes: 65_536,
        read_ahead_shortages: 3,
        heap_bytes: 2048,
        heap_limit_bytes: 4096,
    });
    let expected = "balancer.served.a:1|c\nbalancer.refused.a:0|c\nbalancer.failed.a:0|c\n\
        balancer.served.b:0|c\nbalancer.refused.b:1|c\nbalancer.failed.b:0|c\n\
        balancer.attempts:1|c\nbalancer.in_flight:1|g\nbalancer.upstreams_known:7|g\n\
        balancer.upstreams_excluded:2|g\nbalancer.read_ahead_bytes:65536|g\n\
        balancer.read_ahead_shortages:3|c\n\
        balancer.heap_bytes:2048|g\n\
        balancer.heap_limit_bytes:4096|g\n\
        balancer.refused_memory:0|c\n\
        balancer.closed_stalled:0|c\n\
        balancer.closed_disconnected:0|c\n\
        balancer.closed_evicted:0|c\n\
        balancer.closed_head_refused:0|c\n";
    assert_eq!(text, expected);
    failed.end(RequestOutcome::Failed);
    assert!(metrics
        .render(&ProcessState::default())
        .contains("balancer.failed.b:1|c\nbalancer.attempts:1|c\nbalancer.in_flight:0|g"));
}
