//! Wrong or stepped wall clocks, on which the length of the slow-start window must not depend.

mod support;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";
const REQUEST_COUNT: usize = 200;

/// Returns the current Unix time in milliseconds.
fn unix_now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Four upstreams, the last of which restarts, for programs whose wall clock may be wrong.
struct SlowStartFixture {
    upstreams: Vec<StubUpstream>,
    discovery: StubDiscovery,
    /// The length of the slow-start window in seconds.
    slow_start_seconds: f64,
    folder: PathBuf,
}

impl SlowStartFixture {
    fn new(slow_start_seconds: f64) -> Self {
        let upstreams = (0..4)
            .map(|_| StubUpstream::start(StubResponse::Ok))
            .collect();
        SlowStartFixture {
            upstreams,
            discovery: StubDiscovery::start(),
            slow_start_seconds,
            folder: create_temp_folder(),
        }
    }

    /// Returns the endpoint list entry of the last upstream with the start time `since_ms`.
    fn last_endpoint(&self, since_ms: u64) -> String {
        let entry = endpoint("u3", self.upstreams[3].address, "in_service");
        entry.replace("\"since_ms\":0", &format!("\"since_ms\":{since_ms}"))
    }

    /// Starts a program whose wall clock is `ahead_seconds` ahead and whose known endpoint list has
    /// the start time `since_ms` for the last upstream.
    fn start(&self, listen: &str, ahead_seconds: i64, since_ms: u64) -> (Program, StubWatch) {
        let mut entries: Vec<_> = (0..3)
            .map(|number| {
                let address = self.upstreams[number].address;
                endpoint(&format!("u{number}"), address, "in_service")
            })
            .collect();
        entries.push(self.last_endpoint(since_ms));
        let slow_start = format!(
            "\"cold\":{},\"startCapacity\":0.05",
            self.slow_start_seconds
        );
        let config = config(&list(5, true, &entries), self.discovery.address, 256)
            .replace("\"cold\":5.0,\"startCapacity\":0.3", &slow_start);
        let wall_clock_offset = ahead_seconds.to_string();
        let variables = [
            ("PROXY_CONSOLE", "127.0.0.1:0"),
            ("TMPDIR", self.folder.to_str().unwrap()),
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS_WALL", &wall_clock_offset),
        ];
        let program = Program::start_with(&variables, &config, listen);
        (program, self.discovery.next())
    }

    /// Reports a restart of the last upstream to the program.
    fn report_restart(&self, program: &Program, watch: &mut StubWatch, since_ms: u64) {
        let other = endpoint("other", self.upstreams[0].address, "terminating");
        // In its initial period a balancer assumes that the start time of a listed upstream may lie
        // far in the past. A list from discovery ends this period, even an empty list of changes.
        watch.send_line(&list(5, false, &[]));
        watch.send_line(&list(6, false, &[self.last_endpoint(since_ms), other]));
        wait_until("the restart has been received", || {
            program.metric("upstreams_known") == 5
        });
    }

    /// Sends `REQUEST_COUNT` requests and returns how many of them the last upstream receives.
    fn count_requests_to_last_upstream(&self, program: &Program) -> usize {
        self.upstreams[3].seen.try_iter().count();
        let mut client = program.client();
        for _ in 0..REQUEST_COUNT {
            assert_eq!(client.request("/read", REQUEST_ID, "").status(), 200);
        }
        self.upstreams[3].seen.try_iter().count()
    }
}

impl Drop for SlowStartFixture {
    fn drop(&mut self) {
        // If this fails, only temporary files stay behind.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An upstream that has just restarted gets only its slow-start share, which is far below an even
/// share, a quarter of the requests. If its age were computed with a wall clock that is ahead, its
/// slow-start window would be over already.
#[test]
fn restarted_upstream_is_in_slow_start_despite_a_wrong_wall_clock() {
    for ahead_seconds in [0, 100, 3600, -100, -3600] {
        let fixture = SlowStartFixture::new(60.0);
        let (program, mut watch) = fixture.start("127.0.0.1:0", ahead_seconds, 0);
        fixture.report_restart(&program, &mut watch, unix_now_ms());
        let received = fixture.count_requests_to_last_upstream(&program);
        assert!(
            received < REQUEST_COUNT / 10,
            "the last upstream received {received} of {REQUEST_COUNT} requests, expected less than \
             a tenth; wall clock {ahead_seconds} s ahead"
        );
    }
}

/// If the age of the restarted upstream were computed with a wall clock that is behind, its
/// slow-start window would not end before that clock reaches the time of the restart.
#[test]
fn slow_start_after_a_restart_ends_in_time_despite_a_wrong_wall_clock() {
    for ahead_seconds in [0, 3600, -100, -3600] {
        let fixture = SlowStartFixture::new(0.5);
        let (program, mut watch) = fixture.start("127.0.0.1:0", ahead_seconds, 0);
        fixture.report_restart(&program, &mut watch, unix_now_ms());
        sleep(Duration::from_millis(700));
        let received = fixture.count_requests_to_last_upstream(&program);
        assert!(
            received > REQUEST_COUNT / 6,
            "the last upstream received {received} of {REQUEST_COUNT} requests, expected more than \
             a sixth; wall clock {ahead_seconds} s ahead"
        );
    }
}

/// A wall clock that is behind must not prolong the slow start of an upstream that was in the
/// endpoint list at the start of the process.
#[test]
fn slow_start_of_a_known_upstream_ends_in_time_with_the_wall_clock_behind() {
    for ahead_seconds in [0, -100, -3600] {
        let fixture = SlowStartFixture::new(0.5);
        let (program, _watch) = fixture.start("127.0.0.1:0", ahead_seconds, unix_now_ms() - 1000);
        sleep(Duration::from_millis(700));
        let received = fixture.count_requests_to_last_upstream(&program);
        assert!(
            received > REQUEST_COUNT / 6,
            "the last upstream received {received} of {REQUEST_COUNT} requests, expected more than \
             a sixth; wall clock {ahead_seconds} s ahead"
        );
    }
}

/// The successor takes the start time of the upstream from its predecessor, even if their wall
/// clocks differ because the clock was stepped between the starts of the two processes.
#[test]
fn slow_start_continues_across_an_upgrade() {
    for ahead_seconds in [0, 100, 3600, -100, -3600] {
        let (fixture, since_ms) = (SlowStartFixture::new(60.0), unix_now_ms());
        let (mut predecessor, mut watch) = fixture.start("127.0.0.1:0", ahead_seconds, 0);
        fixture.report_restart(&predecessor, &mut watch, since_ms);
        let (successor, _watch) = fixture.start(&predecessor.address.to_string(), 0, since_ms);
        predecessor.terminate();
        assert!(predecessor.wait().success());
        let received = fixture.count_requests_to_last_upstream(&successor);
        assert!(
            received < REQUEST_COUNT / 10,
            "the last upstream received {received} of {REQUEST_COUNT} requests, expected less than \
             a tenth; wall clock {ahead_seconds} s ahead"
        );
    }
}
