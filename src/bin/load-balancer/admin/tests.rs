//! Unit tests of the admin endpoint's paths.

use super::*;

#[test]
fn calls_are_known_by_their_paths() {
    assert_eq!(
        Call::at("/upstreams/s-1/maint"),
        Some((Method::POST, Call::Maintain("s-1", true)))
    );
    assert_eq!(
        Call::at("/healthcheck/ok"),
        Some((Method::POST, Call::SendAway(false)))
    );
    for path in [
        "/",
        "stats",
        "/stats/",
        "/upstreams/s-1",
        "/upstreams//x",
        "/upstreams/a/b/maint",
    ] {
        assert_eq!(Call::at(path), None, "{path}");
    }
}
