//! Unit tests of the figures that the balancer sends and shows.

use super::*;

#[test]
fn an_ending_counts_once_and_a_client_that_left_under_none() {
    let metrics = Metrics::new(&["a".into(), "b".into()]);
    let (one, two, three, gone) = (
        metrics.begin_request(0),
        metrics.begin_request(1),
        metrics.begin_request(1),
        metrics.begin_request(1),
    );
    one.end(RequestOutcome::Served);
    one.end(RequestOutcome::Failed);
    two.end(RequestOutcome::Rejected);
    metrics.count_attempt();
    drop((one, gone));
    let text = metrics.render(7, 2);
    let expected = "balancer.served.a:1|c\nbalancer.refused.a:0|c\nbalancer.failed.a:0|c\n\
        balancer.served.b:0|c\nbalancer.refused.b:1|c\nbalancer.failed.b:0|c\n\
        balancer.attempts:1|c\nbalancer.in_flight:1|g\nbalancer.upstreams_known:7|g\n\
        balancer.upstreams_excluded:2|g\n";
    assert_eq!(text, expected);
    three.end(RequestOutcome::Failed);
    assert!(metrics
        .render(0, 0)
        .contains("balancer.failed.b:1|c\nbalancer.attempts:1|c\nbalancer.in_flight:0|g"));
}
