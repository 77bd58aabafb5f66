//! Discovery watches that fail, fall silent or overlap. Changes are received nevertheless.

mod support;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// A program whose endpoint list holds one upstream, and a second upstream that a change adds.
struct WatchFixture {
    old_upstream: StubUpstream,
    new_upstream: StubUpstream,
    program: Program,
    discovery: StubDiscovery,
    known: String,
}

impl WatchFixture {
    fn new(mode: &str) -> Self {
        let (old_upstream, new_upstream) = (
            StubUpstream::start(StubResponse::Ok),
            StubUpstream::start(StubResponse::Ok),
        );
        let discovery = StubDiscovery::start();
        let known = list(
            5,
            true,
            &[endpoint("u0", old_upstream.address, "in_service")],
        );
        let config = Self::config(&known, discovery.address, mode);
        WatchFixture {
            old_upstream,
            new_upstream,
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
            endpoint("u0", self.old_upstream.address, "terminating"),
            endpoint("u1", self.new_upstream.address, "in_service"),
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
        self.old_upstream.next();
    }

    /// Waits until the change is in force: the connection that `leave_idle_connection` left is
    /// closed, and requests are sent to the new upstream only.
    fn expect_change_in_force(&self) {
        self.old_upstream
            .closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the idle connection is still open");
        assert_eq!(
            self.program
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
        self.new_upstream.next();
        assert!(self.old_upstream.seen.try_recv().is_err());
    }
}

/// Line breaks and chunk boundaries may be anywhere in a list.
#[test]
fn a_list_may_span_several_lines() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut watch = fixture.discovery.next();
    watch.send_line("");
    let text = fixture
        .change(6)
        .replace('{', "{\n  ")
        .replace(',', ",\n  ")
        .replace('[', "[\n")
        .replace(']', "\n]\n");
    let (head, tail) = text.split_at(text.len() / 2);
    watch.send_chunk(head);
    watch.send_chunk(tail);
    fixture.expect_change_in_force();
    assert!(watch.is_open() && fixture.discovery.watches.try_recv().is_err());
}

/// If a silent watch were closed before another one receives data, a change that is sent in between
/// would be missed. The silent watch therefore stays open until another one has received data.
#[test]
fn silent_watch_stays_open_until_another_receives_data() {
    for (mode, first_bytes) in [
        ("push", ""),
        ("push", "\n"),
        ("push", "\n{\"index\":6,"),
        ("ask", "\n"),
    ] {
        let fixture = WatchFixture::new(mode);
        fixture.leave_idle_connection();
        let mut first = fixture.discovery.next();
        if !first_bytes.is_empty() {
            first.send_chunk(first_bytes);
        }
        let mut second = fixture.discovery.next();
        assert!(
            second.request_line.contains("since=5"),
            "request line {:?}, expected since=5",
            second.request_line
        );
        assert!(
            first.is_open(),
            "the silent watch was closed, mode {mode}, first bytes {first_bytes:?}"
        );
        if mode == "push" {
            // The second watch is silent as well.
            let mut third = fixture.discovery.next();
            assert!(first.is_open() && second.is_open());
            third.send_line(&fixture.change(6));
        } else {
            second.send_line(&fixture.change(6));
        }
        fixture.expect_change_in_force();
        first.wait_for_close();
    }
}

/// If a watch receives only empty lines after the beginning of a list, another watch is opened, as
/// for a silent watch.
#[test]
fn empty_lines_inside_a_list_do_not_count_as_heartbeats() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut first = fixture.discovery.next();
    first.send_chunk("\n{\"index\":6,\"snapshot\":false,");
    let begun = Instant::now();
    let mut second = loop {
        first.send_chunk("\n");
        match fixture.discovery.watches.try_recv() {
            Ok(second) => break second,
            Err(_) => sleep(Duration::from_millis(20)),
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "no second watch within {TEST_TIMEOUT:?}, the empty lines keep the first alive"
        );
    };
    second.send_line(&fixture.change(6));
    fixture.expect_change_in_force();
}

/// Discovery may resume a silent watch with a later change and never send a change that the watch
/// missed. The balancer receives the missed change on the watch that it has opened in the meantime.
#[test]
fn changes_missed_by_a_silent_watch_are_received_by_the_next_one() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut first = fixture.discovery.next();
    first.send_line("");
    let mut second = fixture.discovery.next();
    // The first watch resumes with change 7 and has missed change 6.
    first.send_line(&list(
        7,
        false,
        &[endpoint("u7", fixture.new_upstream.address, "terminated")],
    ));
    second.send_line(&fixture.change(6));
    fixture.expect_change_in_force();
    second.reset();
    let reconnected = fixture.discovery.next();
    assert!(
        reconnected.request_line.contains("since=6"),
        "request line {:?}, expected since=6",
        reconnected.request_line
    );
}

/// A complete list must not be discarded if the connection is reset directly after it.
#[test]
fn complete_list_is_applied_if_its_connection_is_reset() {
    for mode in ["push", "ask"] {
        for indented in [false, true] {
            let fixture = WatchFixture::new(mode);
            fixture.leave_idle_connection();
            let mut watch = fixture.discovery.next();
            let text = fixture.change(6);
            watch.send_line(&if indented {
                text.replace(',', ",\n")
            } else {
                text
            });
            watch.reset();
            fixture.expect_change_in_force();
            let reconnected = fixture.discovery.next();
            assert!(
                reconnected.request_line.contains("since=6"),
                "request line {:?}, expected since=6",
                reconnected.request_line
            );
        }
    }
}

/// An incomplete list is not applied, and the next watch still asks for the changes since the
/// previous version.
#[test]
fn an_incomplete_list_is_discarded_and_requested_again() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut watch = fixture.discovery.next();
    let text = fixture.change(6);
    watch.send_chunk(&text[..text.len() - 1]);
    watch.reset();
    let mut reconnected = fixture.discovery.next();
    assert!(
        reconnected.request_line.contains("since=5"),
        "request line {:?}, expected since=5",
        reconnected.request_line
    );
    assert_eq!(
        fixture
            .program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    fixture.old_upstream.next();
    reconnected.send_line(&text);
    fixture.expect_change_in_force();
}

/// A malformed list neither replaces nor empties the last valid one.
#[test]
fn malformed_list_does_not_replace_the_last_valid_one() {
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
        watch.send_line(text);
        watch.wait_for_close();
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
    fixture.old_upstream.next();
}

/// Discovery may fall silent and move to another address. The watches on the old address are used
/// until the watch on the new address has received a list.
#[test]
fn discovery_address_may_change_while_a_watch_is_silent() {
    let fixture = WatchFixture::new("push");
    fixture.leave_idle_connection();
    let mut silent = fixture.discovery.next();
    silent.send_line("");
    let mut second = fixture.discovery.next();
    let new_discovery = StubDiscovery::start();
    fixture.program.reload(&WatchFixture::config(
        &fixture.known,
        new_discovery.address,
        "push",
    ));
    let mut moved_watch = new_discovery.next();
    assert!(
        moved_watch.request_line.contains("since=0"),
        "request line {:?}, expected since=0",
        moved_watch.request_line
    );
    assert!(silent.is_open() && second.is_open());
    // The old discovery resumes and sends a drain on its second watch.
    second.send_line(&fixture.change(6));
    fixture.expect_change_in_force();
    silent.wait_for_close();
    assert!(moved_watch.is_open());
    moved_watch.send_line(&list(
        2,
        true,
        &[endpoint("u1", fixture.new_upstream.address, "in_service")],
    ));
    second.wait_for_close();
    assert_eq!(
        fixture
            .program
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    fixture.new_upstream.next();
}

/// If the watch that is opened next to a silent one is reset, a third watch is opened. The silent
/// watch stays open until the third has received data.
#[test]
fn silent_watch_stays_open_until_a_failed_second_watch_is_replaced() {
    for mode in ["push", "ask"] {
        let fixture = WatchFixture::new(mode);
        fixture.leave_idle_connection();
        let mut silent = fixture.discovery.next();
        silent.send_line("");
        fixture.discovery.next().reset();
        let mut third = fixture.discovery.next();
        assert!(silent.is_open(), "the silent watch was closed, mode {mode}");
        third.send_line(&fixture.change(6));
        fixture.expect_change_in_force();
        silent.wait_for_close();
    }
}

/// The response to a pending poll is used even if later polls have been sent in the meantime.
#[test]
fn response_to_a_pending_poll_is_used_after_later_polls() {
    let fixture = WatchFixture::new("ask");
    fixture.leave_idle_connection();
    let mut pending_poll = fixture.discovery.next();
    let mut later_polls: Vec<_> = (0..3).map(|_| fixture.discovery.next()).collect();
    pending_poll.send_line(&fixture.change(6));
    fixture.expect_change_in_force();
    for watch in &mut later_polls {
        watch.wait_for_close();
    }
    assert!(pending_poll.is_open());
}

/// The backoff must not grow beyond the notification deadline of 6 s while discovery is down, so
/// the outage is longer than that. When discovery runs again, the first poll gets no response and
/// the second poll is reset.
#[test]
fn changes_after_an_outage_of_8_s_are_received_though_the_first_polls_fail() {
    for is_moved in [false, true] {
        for mode in ["push", "ask"] {
            let mut fixture = WatchFixture::new(mode);
            let (old_port, new_port) = (RefusingPort::new(), RefusingPort::new());
            let config_at = |address| WatchFixture::config(&fixture.known, address, mode);
            fixture.program = Program::start(&config_at(old_port.address), "127.0.0.1:0");
            fixture.leave_idle_connection();
            sleep(Duration::from_secs(8));
            let discovery = if is_moved {
                fixture.program.reload(&config_at(new_port.address));
                new_port.start_discovery()
            } else {
                old_port.start_discovery()
            };
            // The first poll is sent within the notification deadline.
            let mut unanswered = discovery
                .watches
                .recv_timeout(Duration::from_secs(6))
                .expect("no poll was sent within 6 s after discovery was started again");
            discovery.next().reset();
            let mut last = discovery.next();
            assert!(unanswered.is_open());
            last.send_line(&fixture.change(6));
            fixture.expect_change_in_force();
        }
    }
}

#[test]
fn a_broken_watch_resumes_at_its_last_version() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, discovery) = Program::with_upstreams(&[upstream.address]);
    let mut watch = discovery.next();
    watch.send_line(&list(
        9,
        true,
        &[endpoint("u0", upstream.address, "in_service")],
    ));
    drop(watch);
    let mut reconnected = discovery.next();
    assert!(
        reconnected.request_line.contains("since=9"),
        "request line {:?}, expected since=9",
        reconnected.request_line
    );
    // A malformed line ends the watch as well; the known list stays in force.
    reconnected.send_line("nonsense");
    assert!(discovery.next().request_line.contains("since=9"));
    assert_eq!(
        program.client().request("/read", REQUEST_ID, "").status(),
        200
    );
}

/// The watch on a server that has vanished receives nothing. If no other watch were opened, the
/// endpoint list would become outdated.
#[test]
fn another_watch_is_opened_if_one_is_silent() {
    let (_program, discovery) = Program::with_upstreams(&[refusing_address()]);
    let _silent = discovery.next();
    assert!(discovery.next().request_line.contains("since=5"));
}

/// SIGHUP does not end the process, and the known list stays in force until the new discovery has
/// sent a list. The changes from the new discovery are applied although their versions are lower
/// than those from the old discovery.
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
    watch.send_line(&list(
        90,
        true,
        &[endpoint("u0", one.address, "in_service")],
    ));
    program.reload("not a configuration");
    program.reload(&config(&known, new.address, 1024));
    // The first watch on the new discovery fails and another one is opened. The known list stays in
    // force.
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
        "request line {:?}, expected since=0",
        next.request_line
    );
    watch.send_line(&list(
        91,
        false,
        &[endpoint("u0", one.address, "in_service")],
    ));
    next.send_line(&list(3, true, &[endpoint("u0", one.address, "in_service")]));
    watch.wait_for_close();
    let changes = [
        endpoint("u0", one.address, "terminating"),
        endpoint("u1", two.address, "in_service"),
    ];
    next.send_line(&list(4, false, &changes));
    one.closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is still open");
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
