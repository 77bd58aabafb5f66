//! Unit tests of the figures that the balancer sends and shows.

use super::*;

#[test]
fn an_ending_counts_once_and_a_client_that_left_under_none() {
    let stats = Stats::new(&["a".into(), "b".into()]);
    let (one, two, three, gone) = (stats.take(0), stats.take(1), stats.take(1), stats.take(1));
    one.end(Ending::Served);
    one.end(Ending::Failed);
    two.end(Ending::Refused);
    stats.attempt_written();
    drop((one, gone));
    let text = stats.render(7, 2);
    let expected = "balancer.served.a:1|c\nbalancer.refused.a:0|c\nbalancer.failed.a:0|c\n\
        balancer.served.b:0|c\nbalancer.refused.b:1|c\nbalancer.failed.b:0|c\n\
        balancer.attempts:1|c\nbalancer.in_flight:1|g\nbalancer.upstreams_known:7|g\n\
        balancer.upstreams_excluded:2|g\n";
    assert_eq!(text, expected);
    three.end(Ending::Failed);
    assert!(stats
        .render(0, 0)
        .contains("balancer.failed.b:1|c\nbalancer.attempts:1|c\nbalancer.in_flight:0|g"));
}
