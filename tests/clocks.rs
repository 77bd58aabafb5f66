//! Wall clocks that are stepped: how long an upstream counts as cold is a span of real time.

mod support;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const CALLS: usize = 200;

/// Now, in Unix milliseconds.
fn now() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Four upstreams, the last of which starts again, and a program whose wall clock may be wrong.
struct SlowStartFixture {
    upstreams: Vec<StubUpstream>,
    discovery: StubDiscovery,
    /// For so many seconds upstreams are cold.
    cold: f64,
    folder: PathBuf,
}

impl SlowStartFixture {
    fn new(cold: f64) -> Self {
        let upstreams = (0..4)
            .map(|_| StubUpstream::start(StubResponse::Ok))
            .collect();
        SlowStartFixture {
            upstreams,
            discovery: StubDiscovery::start(),
            cold,
            folder: create_temp_folder(),
        }
    }

    /// The entry of the last one, with the start that is listed.
    fn last(&self, since: u64) -> String {
        let entry = endpoint("u3", self.upstreams[3].address, "in_service");
        entry.replace("\"since_ms\":0", &format!("\"since_ms\":{since}"))
    }

    /// A program whose wall clock is ahead by so many seconds, and that knows of this start of the last one.
    fn program(&self, listen: &str, ahead: i64, since: u64) -> (Program, StubWatch) {
        let mut entries: Vec<_> = (0..3)
            .map(|n| endpoint(&format!("u{n}"), self.upstreams[n].address, "in_service"))
            .collect();
        entries.push(self.last(since));
        let cold = format!("\"cold\":{},\"startCapacity\":0.05", self.cold);
        let config = config(&list(5, true, &entries), self.discovery.address, 256)
            .replace("\"cold\":5.0,\"startCapacity\":0.3", &cold);
        let ahead = ahead.to_string();
        let variables = [
            ("PROXY_CONSOLE", "127.0.0.1:0"),
            ("TMPDIR", self.folder.to_str().unwrap()),
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS_WALL", &ahead),
        ];
        let program = Program::start_with(&variables, &config, listen);
        (program, self.discovery.next())
    }

    /// Discovery tells this program that the last one has started again.
    fn restart(&self, program: &Program, watch: &mut StubWatch, since: u64) {
        let other = endpoint("other", self.upstreams[0].address, "terminating");
        // Nothing has changed before.
        watch.line(&list(5, false, &[]));
        watch.line(&list(6, false, &[self.last(since), other]));
        wait_until("that is told", || program.metric("upstreams_known") == 5);
    }

    /// The calls of `CALLS` that the last one gets.
    fn share(&self, program: &Program) -> usize {
        self.upstreams[3].seen.try_iter().count();
        let mut client = program.client();
        (0..CALLS).for_each(|_| assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200));
        self.upstreams[3].seen.try_iter().count()
    }
}

impl Drop for SlowStartFixture {
    fn drop(&mut self) {
        // What it is for is over.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Whatever the wall clock says, one that has just started gets its cold share. A clock that is ahead would have it
/// warm.
#[test]
fn a_restarted_upstream_is_in_slow_start_whatever_the_wall_clock_says() {
    for ahead in [0, 100, 3600, -100, -3600] {
        let fixture = SlowStartFixture::new(60.0);
        let (program, mut watch) = fixture.program("127.0.0.1:0", ahead, 0);
        fixture.restart(&program, &mut watch, now());
        let share = fixture.share(&program);
        assert!(
            share < CALLS / 10,
            "{share} calls of {CALLS}, {ahead} s ahead"
        );
    }
}

/// And it is warm in time. A clock that is behind would have it cold until it has caught up.
#[test]
fn slow_start_after_a_restart_ends_in_time_whatever_the_wall_clock_says() {
    for ahead in [0, 3600, -100, -3600] {
        let fixture = SlowStartFixture::new(0.5);
        let (program, mut watch) = fixture.program("127.0.0.1:0", ahead, 0);
        fixture.restart(&program, &mut watch, now());
        sleep(Duration::from_millis(700));
        let share = fixture.share(&program);
        assert!(
            share > CALLS / 6,
            "{share} calls of {CALLS}, {ahead} s ahead"
        );
    }
}

/// The same for one that was known at the start.
#[test]
fn slow_start_of_a_known_upstream_ends_in_time_though_the_wall_clock_is_behind() {
    for ahead in [0, -100, -3600] {
        let fixture = SlowStartFixture::new(0.5);
        let (program, _watch) = fixture.program("127.0.0.1:0", ahead, now() - 1000);
        sleep(Duration::from_millis(700));
        let share = fixture.share(&program);
        assert!(
            share > CALLS / 6,
            "{share} calls of {CALLS}, {ahead} s ahead"
        );
    }
}

/// A new process knows from the old one when an upstream has started, also where their wall clocks differ: one was
/// stepped between the two starts.
#[test]
fn a_successor_continues_the_slow_start_that_its_predecessor_has_seen_begin() {
    for ahead in [0, 100, 3600, -100, -3600] {
        let (fixture, since) = (SlowStartFixture::new(60.0), now());
        let (mut old, mut watch) = fixture.program("127.0.0.1:0", ahead, 0);
        fixture.restart(&old, &mut watch, since);
        let (new, _watch) = fixture.program(&old.address.to_string(), 0, since);
        old.terminate();
        assert!(old.wait().success());
        let share = fixture.share(&new);
        assert!(
            share < CALLS / 10,
            "{share} calls of {CALLS}, {ahead} s ahead"
        );
    }
}
