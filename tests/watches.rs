//! Discovery watches that fail, fall silent or overlap: changes are received all the same.

mod support;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// A program whose endpoint list holds one upstream, and a second upstream that a change adds.
struct WatchFixture {
    old: StubUpstream,
    new: StubUpstream,
    program: Program,
    discovery: StubDiscovery,
    known: String,
}

impl WatchFixture {
    fn new(mode: &str) -> Self {
        let (old, new) = (
            StubUpstream::start(StubResponse::Ok),
            StubUpstream::start(StubResponse::Ok),
        );
        let discovery = StubDiscovery::start();
        let known = list(5, true, &[endpoint("u0", old.address, "in_service")]);
        let config = Self::config(&known, discovery.address, mode);
        WatchFixture {
            old,
            new,
            program: Program::start(&config, "127.0.0.1:0"),
            discovery,
            known,
        }
    }

    fn config(known: &str, discovery: SocketAddr, mode: &str) -> String {
        config(known, discovery, 1024).replace(
            "\"discovery\":\"ask\"",
            &format!("\"discovery\":\"{mode}\""),
        )
    }

    /// Returns the change that drains the old upstream and puts the new one into service.
    fn change(&self, version: u64) -> String {
        let changes = [
            endpoint("u0", self.old.address, "terminating"),
            endpoint("u1", self.new.address, "in_service"),
        ];
        list(version, false, &changes)
    }

    /// Sends a request, which leaves an idle connection to the old upstream. The balancer closes
    /// that connection when it receives the change.
    fn leave_idle_connection(&self) {
        assert_eq!(
            self.program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
        self.old.next();
    }

    /// Waits until the change is in force: the connection that `leave_idle_connection` left is
    /// closed, and requests are sent to the new upstream only.
    fn expect_changed(&self) {
        self.old
            .closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the idle connection is closed");
        assert_eq!(
            self.program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
        self.new.next();
        assert!(self.old.seen.try_recv().is_err());
    }
}

/// Line breaks and chunk boundaries may be anywhere in a list.
#[test]
fn a_list_may_span_several_lines() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut watch = fixture.discovery.next();
    watch.line("");
    let text = fixture
        .change(6)
        .replace('{', "{\n  ")
        .replace(',', ",\n  ")
        .replace('[', "[\n")
        .replace(']', "\n]\n");
    let (head, tail) = text.split_at(text.len() / 2);
    watch.part(head);
    watch.part(tail);
    fixture.expect_changed();
    assert!(watch.is_open() && fixture.discovery.watches.try_recv().is_err());
}

/// A change may be sent between the close of a silent watch and the opening of the next one, which
/// may be silent as well. At least one watch is therefore open at any time.
#[test]
fn a_silent_watch_stays_open_until_another_has_received_data() {
    for (mode, begin) in [
        ("push", ""),
        ("push", "\n"),
        ("push", "\n{\"index\":6,"),
        ("ask", "\n"),
    ] {
        let fixture = WatchFixture::new(mode);
        fixture.leave_idle_connection();
        let mut first = fixture.discovery.next();
        if !begin.is_empty() {
            first.part(begin);
        }
        let mut second = fixture.discovery.next();
        assert!(
            second.request_line.contains("since=5"),
            "{}",
            second.request_line
        );
        assert!(first.is_open(), "{mode} {begin:?}");
        if mode == "push" {
            // The second watch is silent as well.
            let mut third = fixture.discovery.next();
            assert!(first.is_open() && second.is_open());
            third.line(&fixture.change(6));
        } else {
            second.line(&fixture.change(6));
        }
        fixture.expect_changed();
        first.wait_for_end();
    }
}

/// A watch that sends only empty lines behind an incomplete list is replaced like a silent one.
#[test]
fn empty_lines_inside_a_list_are_no_heartbeat() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut first = fixture.discovery.next();
    first.part("\n{\"index\":6,\"snapshot\":false,");
    let begun = Instant::now();
    let mut second = loop {
        first.part("\n");
        match fixture.discovery.watches.try_recv() {
            Ok(second) => break second,
            Err(_) => sleep(Duration::from_millis(20)),
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "no second watch within {TEST_TIMEOUT:?}, the empty lines keep the first alive"
        );
    };
    second.line(&fixture.change(6));
    fixture.expect_changed();
}

/// A watch that resumes after a silence may have missed a change and send only a later one. The
/// balancer receives the missed change on the watch that it has opened in the meantime.
#[test]
fn changes_that_a_silent_watch_has_missed_come_from_the_next_one() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut first = fixture.discovery.next();
    first.line("");
    let mut second = fixture.discovery.next();
    // The first watch resumes with change 7 and has missed change 6.
    first.line(&list(
        7,
        false,
        &[endpoint("u7", fixture.new.address, "terminated")],
    ));
    second.line(&fixture.change(6));
    fixture.expect_changed();
    second.reset();
    let again = fixture.discovery.next();
    assert!(
        again.request_line.contains("since=6"),
        "{}",
        again.request_line
    );
}

/// A complete list must not be discarded if the connection is reset directly after it.
#[test]
fn a_complete_list_is_used_though_its_connection_is_reset() {
    for mode in ["push", "ask"] {
        for indented in [false, true] {
            let fixture = WatchFixture::new(mode);
            fixture.leave_idle_connection();
            let mut watch = fixture.discovery.next();
            let text = fixture.change(6);
            watch.line(&if indented {
                text.replace(',', ",\n")
            } else {
                text
            });
            watch.reset();
            fixture.expect_changed();
            let again = fixture.discovery.next();
            assert!(
                again.request_line.contains("since=6"),
                "{}",
                again.request_line
            );
        }
    }
}

/// An incomplete list is not applied, and the next watch still asks from the previous version.
#[test]
fn an_incomplete_list_is_discarded_and_requested_again() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut watch = fixture.discovery.next();
    let text = fixture.change(6);
    watch.part(&text[..text.len() - 1]);
    watch.reset();
    let mut again = fixture.discovery.next();
    assert!(
        again.request_line.contains("since=5"),
        "{}",
        again.request_line
    );
    assert_eq!(
        fixture
            .program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    fixture.old.next();
    again.line(&text);
    fixture.expect_changed();
}

/// A malformed list neither replaces nor empties the last valid one.
#[test]
fn a_malformed_list_leaves_the_last_good_one_in_use() {
    let fixture = WatchFixture::new("push");
    let malformed = [
        "nonsense",
        "{\"index\":9,\"snapshot\":true}",
        "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\"u0\"}]}",
        "{\"index\":9,\"snapshot\":tru,\"endpoints\":[]}",
        "[]",
    ];
    for text in malformed {
        let mut watch = fixture.discovery.next();
        watch.line(text);
        watch.wait_for_end();
    }
    assert!(fixture.discovery.next().request_line.contains("since=5"));
    assert_eq!(
        fixture
            .program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    fixture.old.next();
}

/// Discovery may go down and come back at another address. The watches on the old address are used
/// until the watch on the new one has received a list.
#[test]
fn discovery_may_move_while_its_watch_is_silent() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut silent = fixture.discovery.next();
    silent.line("");
    let mut second = fixture.discovery.next();
    let elsewhere = StubDiscovery::start();
    fixture.program.reload(&WatchFixture::config(
        &fixture.known,
        elsewhere.address,
        "push",
    ));
    let mut moved = elsewhere.next();
    assert!(
        moved.request_line.contains("since=0"),
        "{}",
        moved.request_line
    );
    assert!(silent.is_open() && second.is_open());
    // The old discovery resumes and sends a drain on its second watch.
    second.line(&fixture.change(6));
    fixture.expect_changed();
    silent.wait_for_end();
    assert!(moved.is_open());
    moved.line(&list(
        2,
        true,
        &[endpoint("u1", fixture.new.address, "in_service")],
    ));
    second.wait_for_end();
    assert_eq!(
        fixture
            .program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    fixture.new.next();
}

/// A failed reconnect is retried before the notification deadline. The silent watch stays open
/// meanwhile.
#[test]
fn a_failed_reconnect_is_retried_beside_the_silent_watch() {
    for mode in ["push", "ask"] {
        let fixture = WatchFixture::new(mode);
        fixture.leave_idle_connection();
        let mut silent = fixture.discovery.next();
        silent.line("");
        fixture.discovery.next().reset();
        let mut third = fixture.discovery.next();
        assert!(silent.is_open(), "{mode}");
        third.line(&fixture.change(6));
        fixture.expect_changed();
        silent.wait_for_end();
    }
}

/// The response to a pending poll is used even if later polls have been sent in the meantime.
#[test]
fn a_queued_poll_is_used_though_others_were_made_beside_it() {
    let fixture = WatchFixture::new("ask");
    fixture.leave_idle_connection();
    let mut waiting = fixture.discovery.next();
    let mut beside: Vec<_> = (0..3).map(|_| fixture.discovery.next()).collect();
    waiting.line(&fixture.change(6));
    fixture.expect_changed();
    for watch in &mut beside {
        watch.wait_for_end();
    }
    assert!(waiting.is_open());
}

/// The backoff must not grow beyond the notification deadline of 6 s while discovery is down. When
/// discovery is back, its first poll gets no response and its second one is reset.
#[test]
fn changes_after_an_outage_of_8_s_are_received_though_the_first_calls_fail() {
    for moved in [false, true] {
        for mode in ["push", "ask"] {
            let mut fixture = WatchFixture::new(mode);
            let (away, elsewhere) = (RefusingPort::new(), RefusingPort::new());
            let at = |address| WatchFixture::config(&fixture.known, address, mode);
            fixture.program = Program::start(&at(away.address), "127.0.0.1:0");
            fixture.leave_idle_connection();
            sleep(Duration::from_secs(8));
            let back = if moved {
                fixture.program.reload(&at(elsewhere.address));
                elsewhere.start_discovery()
            } else {
                away.start_discovery()
            };
            // The first poll is sent within the notification deadline.
            let mut unanswered = back
                .watches
                .recv_timeout(Duration::from_secs(6))
                .expect("the first poll is sent within 6 s of the return");
            back.next().reset();
            let mut last = back.next();
            assert!(unanswered.is_open());
            last.line(&fixture.change(6));
            fixture.expect_changed();
        }
    }
}

#[test]
fn a_broken_watch_resumes_at_its_last_version() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, discovery) = Program::with_upstreams(&[upstream.address]);
    let mut watch = discovery.next();
    watch.line(&list(
        9,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    drop(watch);
    let mut again = discovery.next();
    assert!(
        again.request_line.contains("since=9"),
        "{}",
        again.request_line
    );
    // A malformed line ends the watch as well; the known list stays in force.
    again.line("nonsense");
    assert!(discovery.next().request_line.contains("since=9"));
    assert_eq!(
        program.client().request("/read", REQUEST_ID, "").status(),
        200
    );
}

/// The watch of a server that has vanished receives nothing, and the endpoint list would become
/// outdated.
#[test]
fn a_silent_watch_is_replaced() {
    let (_program, discovery) = Program::with_upstreams(&[refusing_address()]);
    let _silent = discovery.next();
    assert!(discovery.next().request_line.contains("since=5"));
}

/// SIGHUP does not end the process, and the known list stays in force while the new discovery is
/// connected. The changes of the new discovery are applied although their versions are lower than
/// those of the old one.
#[test]
fn a_reload_moves_the_watch_to_another_discovery() {
    let (one, two) = (
        StubUpstream::start(StubResponse::Ok),
        StubUpstream::start(StubResponse::Ok),
    );
    let (old, new) = (StubDiscovery::start(), StubDiscovery::start());
    let known = list(5, true, &[endpoint("u0", one.address, "in_service")]);
    let variables = [("PROXY_DISCOVERY", &*old.address.to_string())];
    let first = config(&known, old.address, 1024);
    let program = Program::start_with(&variables, &first, "127.0.0.1:0");
    let mut watch = old.next();
    watch.line(&list(
        90,
        true,
        &[endpoint("u0", one.address, "in_service")],
    ));
    program.reload("not a configuration");
    program.reload(&config(&known, new.address, 1024));
    // The first watch fails and is retried, and the known list stays in force.
    drop(new.next());
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    let mut next = new.next();
    assert!(
        next.request_line.contains("since=0"),
        "{}",
        next.request_line
    );
    watch.line(&list(
        91,
        false,
        &[endpoint("u0", one.address, "in_service")],
    ));
    next.line(&list(3, true, &[endpoint("u0", one.address, "in_service")]));
    watch.wait_for_end();
    let changes = [
        endpoint("u0", one.address, "terminating"),
        endpoint("u1", two.address, "in_service"),
    ];
    next.line(&list(4, false, &changes));
    one.closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is closed");
    assert_eq!(
        program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(
        (one.seen.try_iter().count(), two.seen.try_iter().count()),
        (1, 1)
    );
    assert!(old.watches.try_recv().is_err());
}
