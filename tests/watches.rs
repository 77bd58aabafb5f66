//! Watches on discovery, and what is owed when one ends, stands still or crosses another.

mod support;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};
use support::*;

const ID: &str = "Request-Id: {id}\r\n";

/// A program with two upstreams of which one is in service.
struct Rig {
    old: StubUpstream,
    new: StubUpstream,
    program: Program,
    discovery: StubDiscovery,
    known: String,
}

impl Rig {
    fn new(mode: &str) -> Self {
        let (old, new) = (
            StubUpstream::start(StubResponse::Ok),
            StubUpstream::start(StubResponse::Ok),
        );
        let discovery = StubDiscovery::start();
        let known = list(5, true, &[endpoint("u0", old.address, "in_service")]);
        let config = Self::config(&known, discovery.address, mode);
        Rig {
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

    /// The one upstream drains, the other is in service.
    fn change(&self, index: u64) -> String {
        let news = [
            endpoint("u0", self.old.address, "terminating"),
            endpoint("u1", self.new.address, "in_service"),
        ];
        list(index, false, &news)
    }

    /// Leaves an idle connection to the upstream that is in service, so that its end shows that news have come.
    fn warm(&self) {
        assert_eq!(
            self.program.client().request("/pay", ID, "coins").status(),
            200
        );
        self.old.next();
    }

    /// The news have come: the connection that `warm` left is closed, and all goes to the other upstream.
    fn changed(&self) {
        self.old
            .closed
            .recv_timeout(TEST_TIMEOUT)
            .expect("the idle connection is closed");
        assert_eq!(
            self.program.client().request("/pay", ID, "coins").status(),
            200
        );
        self.new.next();
        assert!(self.old.seen.try_recv().is_err());
    }
}

/// Guards against a list that is lost because it stands on several lines, wherever it is cut on its way.
#[test]
fn a_list_may_be_indented_over_several_lines() {
    let rig = Rig::new("push");
    rig.warm();
    let mut watch = rig.discovery.next();
    watch.line("");
    let text = rig
        .change(6)
        .replace('{', "{\n  ")
        .replace(',', ",\n  ")
        .replace('[', "[\n")
        .replace(']', "\n]\n");
    let (head, tail) = text.split_at(text.len() / 2);
    watch.part(head);
    watch.part(tail);
    rig.changed();
    assert!(watch.is_open() && rig.discovery.watches.try_recv().is_err());
}

/// Guards against news that come while a silent watch has been closed and the next one is not open yet, and against a
/// next one that is silent too: one of them is open all the time.
#[test]
fn a_watch_that_falls_silent_stays_until_another_has_spoken() {
    for (mode, begin) in [
        ("push", ""),
        ("push", "\n"),
        ("push", "\n{\"index\":6,"),
        ("ask", "\n"),
    ] {
        let rig = Rig::new(mode);
        rig.warm();
        let mut first = rig.discovery.next();
        if !begin.is_empty() {
            first.part(begin);
        }
        let mut second = rig.discovery.next();
        assert!(
            second.request_line.contains("since=5"),
            "{}",
            second.request_line
        );
        assert!(first.is_open(), "{mode} {begin:?}");
        if mode == "push" {
            // This one is slow as well.
            let mut third = rig.discovery.next();
            assert!(first.is_open() && second.is_open());
            third.line(&rig.change(6));
        } else {
            second.line(&rig.change(6));
        }
        rig.changed();
        first.ended();
    }
}

/// Guards against half a list that is kept alive by the empty lines behind it.
#[test]
fn empty_lines_inside_a_list_are_no_sign_of_life() {
    let rig = Rig::new("push");
    rig.warm();
    let mut first = rig.discovery.next();
    first.part("\n{\"index\":6,\"snapshot\":false,");
    let begun = Instant::now();
    let mut second = loop {
        first.part("\n");
        match rig.discovery.watches.try_recv() {
            Ok(second) => break second,
            Err(_) => sleep(Duration::from_millis(20)),
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "the watch is held for alive"
        );
    };
    second.line(&rig.change(6));
    rig.changed();
}

/// Guards against a change that a watch has missed in its silence, and that is lost because it told a later one when
/// it came back.
#[test]
fn what_a_silent_watch_has_missed_comes_from_the_next_one() {
    let rig = Rig::new("push");
    rig.warm();
    let mut first = rig.discovery.next();
    first.line("");
    let mut second = rig.discovery.next();
    // The first one speaks again, but of other things, and then breaks.
    first.line(&list(
        7,
        false,
        &[endpoint("u7", rig.new.address, "terminated")],
    ));
    second.line(&rig.change(6));
    rig.changed();
    second.reset();
    let again = rig.discovery.next();
    assert!(
        again.request_line.contains("since=6"),
        "{}",
        again.request_line
    );
}

/// Guards against a list that is lost because its connection was reset right behind it.
#[test]
fn a_list_counts_though_its_connection_is_reset_behind_it() {
    for mode in ["push", "ask"] {
        for indented in [false, true] {
            let rig = Rig::new(mode);
            rig.warm();
            let mut watch = rig.discovery.next();
            let text = rig.change(6);
            watch.line(&if indented {
                text.replace(',', ",\n")
            } else {
                text
            });
            watch.reset();
            rig.changed();
            let again = rig.discovery.next();
            assert!(
                again.request_line.contains("since=6"),
                "{}",
                again.request_line
            );
        }
    }
}

/// Guards against half a list that is taken for a whole one, and against going on behind what it was.
#[test]
fn half_a_list_counts_for_nothing_and_is_asked_for_again() {
    let rig = Rig::new("push");
    rig.warm();
    let mut watch = rig.discovery.next();
    let text = rig.change(6);
    watch.part(&text[..text.len() - 1]);
    watch.reset();
    let mut again = rig.discovery.next();
    assert!(
        again.request_line.contains("since=5"),
        "{}",
        again.request_line
    );
    assert_eq!(
        rig.program.client().request("/pay", ID, "coins").status(),
        200
    );
    rig.old.next();
    again.line(&text);
    rig.changed();
}

/// Guards against a list that is thrown away, or one that is emptied, by what is no list.
#[test]
fn a_malformed_list_leaves_the_last_good_one_in_use() {
    let rig = Rig::new("push");
    let bad = [
        "nonsense",
        "{\"index\":9,\"snapshot\":true}",
        "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\"u0\"}]}",
        "{\"index\":9,\"snapshot\":tru,\"endpoints\":[]}",
        "[]",
    ];
    for text in bad {
        let mut watch = rig.discovery.next();
        watch.line(text);
        watch.ended();
    }
    assert!(rig.discovery.next().request_line.contains("since=5"));
    assert_eq!(
        rig.program.client().request("/pay", ID, "coins").status(),
        200
    );
    rig.old.next();
}

/// Guards against drains that are told while discovery is away and has moved when it comes back: the old watch holds
/// until the new one has spoken, and is heard till then.
#[test]
fn discovery_may_move_while_its_watch_is_silent() {
    let rig = Rig::new("push");
    rig.warm();
    let mut silent = rig.discovery.next();
    silent.line("");
    let mut second = rig.discovery.next();
    let elsewhere = StubDiscovery::start();
    rig.program
        .reload(&Rig::config(&rig.known, elsewhere.address, "push"));
    let mut moved = elsewhere.next();
    assert!(
        moved.request_line.contains("since=0"),
        "{}",
        moved.request_line
    );
    assert!(silent.is_open() && second.is_open());
    // The old discovery is back and tells its watches, old and new, of a drain.
    second.line(&rig.change(6));
    rig.changed();
    silent.ended();
    assert!(moved.is_open());
    moved.line(&list(
        2,
        true,
        &[endpoint("u1", rig.new.address, "in_service")],
    ));
    second.ended();
    assert_eq!(
        rig.program.client().request("/pay", ID, "coins").status(),
        200
    );
    rig.new.next();
}

/// Guards against a reopening that fails, and is not tried again before what it would tell counts as told. The silent
/// watch is heard meanwhile.
#[test]
fn a_reopening_that_fails_is_tried_again_beside_the_silent_watch() {
    for mode in ["push", "ask"] {
        let rig = Rig::new(mode);
        rig.warm();
        let mut silent = rig.discovery.next();
        silent.line("");
        rig.discovery.next().reset();
        let mut third = rig.discovery.next();
        assert!(silent.is_open(), "{mode}");
        third.line(&rig.change(6));
        rig.changed();
        silent.ended();
    }
}

/// Guards against throwing away what a call that had to wait in turn tells in the end, when others have been made
/// beside it.
#[test]
fn a_call_that_waits_is_heard_though_others_were_made_beside_it() {
    let rig = Rig::new("ask");
    rig.warm();
    let mut waiting = rig.discovery.next();
    let mut beside: Vec<_> = (0..3).map(|_| rig.discovery.next()).collect();
    waiting.line(&rig.change(6));
    rig.changed();
    beside.iter_mut().for_each(StubWatch::ended);
    assert!(waiting.is_open());
}

/// Guards against waits that grow while discovery is away, and against a call that is swallowed, and one that is reset,
/// as it comes back: what it has counts as told 6 s later.
#[test]
fn discovery_that_was_away_for_8_s_is_heard_though_calls_fail_at_its_return() {
    for moved in [false, true] {
        for mode in ["push", "ask"] {
            let mut rig = Rig::new(mode);
            let (away, elsewhere) = (RefusingPort::new(), RefusingPort::new());
            let at = |address| Rig::config(&rig.known, address, mode);
            rig.program = Program::start(&at(away.address), "127.0.0.1:0");
            rig.warm();
            sleep(Duration::from_secs(8));
            let back = if moved {
                rig.program.reload(&at(elsewhere.address));
                elsewhere.start_discovery()
            } else {
                away.start_discovery()
            };
            // Its first call is made at once, with all these seconds to spare.
            let mut swallowed = back
                .watches
                .recv_timeout(Duration::from_secs(6))
                .expect("heard in time");
            back.next().reset();
            let mut last = back.next();
            assert!(swallowed.is_open());
            last.line(&rig.change(6));
            rig.changed();
        }
    }
}

#[test]
fn a_broken_watch_is_taken_up_where_it_ended() {
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
    // A line that can't be read breaks it as well; the old list goes on to hold.
    again.line("nonsense");
    assert!(discovery.next().request_line.contains("since=9"));
    assert_eq!(program.client().request("/read", ID, "").status(), 200);
}

/// Guards against a list that grows old behind a watch whose machine has vanished.
#[test]
fn a_silent_watch_is_given_up() {
    let (_program, discovery) = Program::with_upstreams(&[refusing_address()]);
    let _silent = discovery.next();
    assert!(discovery.next().request_line.contains("since=5"));
}

/// Guards against an end by SIGHUP, against a list that is lost on the way to a new discovery, and against
/// news from there that are taken for old because the old one had counted further.
#[test]
fn sighup_moves_to_another_discovery() {
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
    // The first try fails: it goes there again, and all holds as it was.
    drop(new.next());
    assert_eq!(program.client().request("/pay", ID, "coins").status(), 200);
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
    watch.ended();
    let news = [
        endpoint("u0", one.address, "terminating"),
        endpoint("u1", two.address, "in_service"),
    ];
    next.line(&list(4, false, &news));
    one.closed
        .recv_timeout(TEST_TIMEOUT)
        .expect("the idle connection is closed");
    assert_eq!(program.client().request("/pay", ID, "coins").status(), 200);
    assert_eq!(
        (one.seen.try_iter().count(), two.seen.try_iter().count()),
        (1, 1)
    );
    assert!(old.watches.try_recv().is_err());
}
