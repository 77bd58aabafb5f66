//! Wall clocks that are stepped: how long an upstream counts as cold is a span of real time.

mod peers;
use peers::*;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const ID: &str = "Request-Id: {id}\r\n";
const CALLS: usize = 200;

/// Four upstreams, and a program whose wall clock is ahead by so many seconds.
struct Rig {
    upstreams: Vec<Upstream>,
    program: Program,
    watch: Watch,
    _discovery: DiscoveryPeer,
}

impl Rig {
    /// Upstreams are cold for so many seconds; the last one is known to have started so many seconds ago, if it has.
    fn start(ahead: i64, cold: f64, age: Option<f64>) -> Self {
        let upstreams: Vec<_> = (0..4).map(|_| Upstream::start(Reply::Ok)).collect();
        let discovery = DiscoveryPeer::start();
        let mut entries = entries(&upstreams);
        if let Some(age) = age {
            entries[3] = started(upstreams[3].address, age);
        }
        let config = config(&list(5, true, &entries), discovery.address, 256).replace(
            "\"cold\":5.0,\"startCapacity\":0.3",
            &format!("\"cold\":{cold},\"startCapacity\":0.05"),
        );
        let ahead = ahead.to_string();
        let variables =
            [("PROXY_CONSOLE", "127.0.0.1:0"), ("LD_PRELOAD", failing_calls()), ("FAULTS_WALL", &ahead)];
        let program = Program::start_with(&variables, &config, "127.0.0.1:0");
        let watch = discovery.next();
        Rig { upstreams, program, watch, _discovery: discovery }
    }

    /// Discovery tells that the last one has just started again.
    fn restart(&mut self) {
        let other = endpoint("other", self.upstreams[0].address, "terminating");
        self.watch.line(&list(6, false, &[started(self.upstreams[3].address, 0.0), other]));
        until("that is told", || self.program.figure("upstreams_known") == 5);
    }

    /// The calls of `CALLS` that the last one gets.
    fn share(&self) -> usize {
        self.upstreams[3].seen.try_iter().count();
        let mut client = self.program.client();
        (0..CALLS).for_each(|_| assert_eq!(client.ask("/read", ID, "").status(), 200));
        self.upstreams[3].seen.try_iter().count()
    }
}

fn entries(upstreams: &[Upstream]) -> Vec<String> {
    let entries = upstreams.iter().enumerate();
    entries.map(|(n, upstream)| endpoint(&format!("u{n}"), upstream.address, "in_service")).collect()
}

/// The entry of the last one, which started so many seconds ago.
fn started(address: SocketAddr, age: f64) -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() - age;
    endpoint("u3", address, "in_service")
        .replace("\"since_ms\":0", &format!("\"since_ms\":{}", (since * 1e3) as u64))
}

/// Whatever the wall clock says, one that has just started gets its cold share. A clock that is ahead would have it warm.
#[test]
fn an_upstream_that_starts_again_is_spared_whatever_the_wall_clock_says() {
    for ahead in [0, 100, 3600, -100, -3600] {
        let mut rig = Rig::start(ahead, 60.0, None);
        rig.restart();
        let share = rig.share();
        assert!(share < CALLS / 10, "{share} calls of {CALLS}, {ahead} s ahead");
    }
}

/// And it is warm in time. A clock that is behind would have it cold until it has caught up.
#[test]
fn an_upstream_that_has_started_again_is_warm_in_time_whatever_the_wall_clock_says() {
    for ahead in [0, 3600, -100, -3600] {
        let mut rig = Rig::start(ahead, 0.5, None);
        rig.restart();
        sleep(Duration::from_millis(700));
        let share = rig.share();
        assert!(share > CALLS / 6, "{share} calls of {CALLS}, {ahead} s ahead");
    }
}

/// The same for one that was known at the start.
#[test]
fn an_upstream_of_the_known_list_is_warm_in_time_though_the_wall_clock_is_behind() {
    for ahead in [0, -100, -3600] {
        let rig = Rig::start(ahead, 0.5, Some(1.0));
        sleep(Duration::from_millis(700));
        let share = rig.share();
        assert!(share > CALLS / 6, "{share} calls of {CALLS}, {ahead} s ahead");
    }
}
