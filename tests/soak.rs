//! Soak test: runs the program from its start to SIGKILL, with load and faults drawn from a seed.
//!
//! Clients reuse connections that stay open, upstreams fail, and SIGHUP and SIGTERM are sent
//! repeatedly. Some runs have many idle clients, and some have failing system calls. SIGKILL is
//! sent at the earliest time that the protocol allows.
//!
//! A few seeds run by default. `SOAK_SEEDS=FIRST..END` selects others; END itself is not run.

mod support;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use support::*;

const DEFAULT_SEEDS: Range<u64> = 1..9;
/// The longest deadline of the classes.
const DEADLINE_SECONDS: f64 = 0.5;
/// The time from the first SIGTERM to SIGKILL: the longest deadline plus 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(1200);
/// Time after SIGTERM within which the protocol allows clients to open new connections.
const NEW_CONNECTION_PERIOD: Duration = Duration::from_millis(400);
/// Time after its deadline within which a request has to get its final response.
const LATE_TOLERANCE: Duration = Duration::from_millis(500);
/// The additional delay that is allowed on a busy machine.
const BUSY_TOLERANCE: Duration = Duration::from_millis(1000);
const CLIENTS: u64 = 8;
/// The number of idle clients in a crowded run, which exceeds the program's capacity.
const IDLE_CLIENTS: usize = 150;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    /// A response with this status was received.
    Responded(u16),
    /// A new connection was closed without a response.
    Closed,
    /// The reused connection was closed, and no process was listening when the request was to be
    /// sent again.
    Undeliverable,
    /// The client disconnected before the response.
    Abandoned,
}

/// A request that was sent, with its outcome.
struct RequestRecord {
    /// Identifies the request at the upstreams.
    path: String,
    outcome: Outcome,
    sent: Instant,
    duration: Duration,
}

/// Returns the seeds of `SOAK_SEEDS`, or the default ones.
fn seeds() -> Range<u64> {
    let parse = |text: String| {
        let (first, end) = text
            .split_once("..")
            .expect("SOAK_SEEDS is not of the form FIRST..END");
        first.parse().unwrap()..end.parse().unwrap()
    };
    std::env::var("SOAK_SEEDS").map_or(DEFAULT_SEEDS, parse)
}

/// A client that sends one request after the other and reuses its connection until it is closed.
struct SoakClient {
    address: SocketAddr,
    rng: Pcg64Mcg,
    open_connection: Option<Client>,
}

impl SoakClient {
    /// Sends a request. Returns `None` if no process is listening.
    fn request(&mut self, path: &str) -> Option<Outcome> {
        let is_new_connection = self.open_connection.is_none();
        let client = self
            .open_connection
            .take()
            .or_else(|| Client::connect(self.address).ok())?;
        let timeout: f64 = self.rng.random_range(0.1..DEADLINE_SECONDS);
        let headers = format!(
            "Request-Id: {}\r\nRequest-Timeout: {timeout:.3}\r\n",
            path.replace('/', "-")
        );
        let outcome = self.request_on(client, path, &headers);
        if outcome != Outcome::Closed || is_new_connection {
            return Some(outcome);
        }
        // The reused connection was closed without a response, so the request is sent again
        // unchanged on a new one.
        let new_connection = Client::connect(self.address).ok();
        Some(new_connection.map_or(Outcome::Undeliverable, |client| {
            self.request_on(client, path, &headers)
        }))
    }

    /// Sends a request on the connection of `client` and keeps the connection if it stays open.
    fn request_on(&mut self, mut client: Client, path: &str, headers: &str) -> Outcome {
        let sent = client.send(
            path,
            headers,
            if path.starts_with("/pay") {
                "coins"
            } else {
                ""
            },
        );
        if sent.is_ok() && self.rng.random_bool(0.05) {
            sleep(Duration::from_millis(self.rng.random_range(0..20)));
            return Outcome::Abandoned;
        }
        let Ok(Some(response)) = client.receive() else {
            return Outcome::Closed;
        };
        let has_close_header = response.header("connection") == Some("close");
        self.open_connection = Some(client).filter(|_| !has_close_header);
        Outcome::Responded(response.status())
    }

    /// Sends requests until `stop` is set, and returns them.
    fn send_until(mut self, stop: &AtomicBool, name: &str) -> Vec<RequestRecord> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::SeqCst) {
            let class = ["read", "pay"][self.rng.random_range(0..2)];
            let (path, sent) = (
                format!("/{class}/{name}/{}", requests.len()),
                Instant::now(),
            );
            let outcome = self.request(&path);
            requests.extend(outcome.map(|outcome| RequestRecord {
                path,
                outcome,
                sent,
                duration: sent.elapsed(),
            }));
            sleep(Duration::from_millis(self.rng.random_range(1..25)));
        }
        requests
    }
}

/// Makes upstreams fail and sends signals to the program, the last of which is SIGKILL. Returns the
/// time of the first SIGTERM.
fn inject_disruptions(
    rng: &mut Pcg64Mcg,
    program: &mut Program,
    upstreams: &[StubUpstream],
    configs: &[String],
) -> Instant {
    let pause =
        |rng: &mut Pcg64Mcg, max_ms| sleep(Duration::from_millis(rng.random_range(0..max_ms)));
    let responses = [
        StubResponse::Ok,
        StubResponse::Ok,
        StubResponse::Rejected,
        StubResponse::Close,
        StubResponse::NoResponse,
        StubResponse::Status(500),
    ];
    for _ in 0..rng.random_range(1..6) {
        upstreams[rng.random_range(0..upstreams.len())]
            .set_response(responses[rng.random_range(0..responses.len())]);
        pause(rng, 150);
    }
    for _ in 0..rng.random_range(0..4) {
        program.reload(&configs[rng.random_range(0..configs.len())]);
        pause(rng, 120);
    }
    program.terminate();
    let sigterm_time = Instant::now();
    let kill_time = sigterm_time + KILL_DELAY;
    for _ in 0..rng.random_range(0..4) {
        if rng.random_bool(0.5) {
            program.terminate();
        } else {
            program.reload(&configs[rng.random_range(0..configs.len())]);
        }
        pause(rng, 200);
    }
    sleep(kill_time.saturating_duration_since(Instant::now()));
    program.kill();
    sigterm_time
}

/// Draws the system call faults of a run and the offset of its wall clock, as values of the
/// variables `FAULTS` and `FAULTS_WALL`.
fn draw_faults(rng: &mut Pcg64Mcg) -> (String, &'static str) {
    const CALLS: [(&str, &[u32]); 11] = [
        ("accept4", &[4, 24, 103, 105]),
        ("connect", &[4, 99, 101]),
        ("socket", &[23, 105]),
        ("recv", &[4, 12, 105]),
        ("send", &[4, 12, 105]),
        ("writev", &[4, 12, 105]),
        ("poll", &[4]),
        ("epoll_wait", &[4]),
        ("epoll_ctl", &[12, 28]),
        ("epoll_ctl_accepted", &[12, 28]),
        ("open", &[5, 23, 24]),
    ];
    let first = rng.random_range(0..CALLS.len());
    let mut fault = |number: usize| {
        // Each fault is in a different call, and only some invocations of the call fail.
        let (call, errors) = CALLS[(first + 2 * number) % CALLS.len()];
        let error = errors[rng.random_range(0..errors.len())];
        format!(
            "{call}:{error}:{}:{}:1000000",
            rng.random_range(1..20),
            rng.random_range(2..9)
        )
    };
    let faults = [fault(0), fault(1), fault(2)].join(",");
    (
        faults,
        ["0", "5", "-5", "3600", "-3600"][rng.random_range(0..5)],
    )
}

/// The environment of a run: upstreams, two discovery services and parameters drawn from the seed.
struct Scenario {
    seed: u64,
    rng: Pcg64Mcg,
    /// Whether idle clients use up the program's descriptors.
    is_crowded: bool,
    upstreams: Vec<StubUpstream>,
    /// Keeps the discovery services of `configs` running.
    _discoveries: [StubDiscovery; 2],
    /// A configuration for each discovery service.
    configs: Vec<String>,
    /// The injected system call faults, as the value of the variable `FAULTS`.
    faults: String,
    /// How far the program's wall clock is ahead, in seconds.
    wall_clock_offset: &'static str,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let upstreams: Vec<_> = (0..rng.random_range(2..5))
            .map(|_| StubUpstream::start(StubResponse::Ok))
            .collect();
        let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
        let discoveries = [StubDiscovery::start(), StubDiscovery::start()];
        let configs = discoveries.iter().map(|discovery| {
            config_with_upstreams(&addresses, discovery.address, 128)
                .replace(
                    "\"aim\":5.0,\"hardLimit\":10.0",
                    &format!("\"aim\":0.25,\"hardLimit\":{DEADLINE_SECONDS}"),
                )
                .replace("\"connectTimeout\":1.0", "\"connectTimeout\":0.1")
        });
        let configs = configs.collect();
        let (faults, wall_clock_offset) = if seed % 2 == 0 {
            draw_faults(&mut rng)
        } else {
            (String::new(), "0")
        };
        Scenario {
            seed,
            rng,
            is_crowded: seed % 3 == 0,
            upstreams,
            _discoveries: discoveries,
            configs,
            faults,
            wall_clock_offset,
        }
    }

    fn start_program(&self) -> Program {
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", &self.faults),
            ("FAULTS_WALL", self.wall_clock_offset),
        ];
        Program::start_with(&variables, &self.configs[0], "127.0.0.1:0")
    }

    /// Runs the program and its clients until SIGKILL. Returns the requests and the time of the
    /// first SIGTERM.
    fn run(&mut self) -> (Vec<RequestRecord>, Instant) {
        let mut program = self.start_program();
        let (address, seed) = (program.address, self.seed);
        let stop = AtomicBool::new(false);
        scope(|scope| {
            let stop = &stop;
            let send = |number| {
                let client = SoakClient {
                    address,
                    rng: Pcg64Mcg::seed_from_u64(seed << 8 | number),
                    open_connection: None,
                };
                scope.spawn(move || client.send_until(stop, &format!("{seed}/{number}")))
            };
            let clients: Vec<_> = (0..CLIENTS).map(send).collect();
            let idle_count = if self.is_crowded { IDLE_CLIENTS } else { 0 };
            let idle: Vec<_> = (0..idle_count).map(|_| Client::connect(address)).collect();
            let sigterm_time =
                inject_disruptions(&mut self.rng, &mut program, &self.upstreams, &self.configs);
            stop.store(true, Ordering::SeqCst);
            drop(idle);
            let requests = clients
                .into_iter()
                .flat_map(|client| client.join().unwrap())
                .collect();
            (requests, sigterm_time)
        })
    }

    /// Returns how often the request of each path reached an upstream that did not reject it.
    fn runs_by_path(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::<String, usize>::new();
        let seen = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.seen.try_iter());
        for message in seen.filter(|message| !message.is_rejected) {
            let path = message
                .start_line
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_string();
            *runs.entry(path).or_default() += 1;
        }
        runs
    }

    /// Prints a summary of the run.
    fn print_summary(&self, requests: &[RequestRecord], violations: usize) {
        let count = |outcome: Outcome| {
            requests
                .iter()
                .filter(|request| request.outcome == outcome)
                .count()
        };
        println!(
            "seed {}: {} requests, {} served, {} closed, {} undeliverable, {} violations, \
             faults {:?}, wall clock {} s ahead",
            self.seed,
            requests.len(),
            count(Outcome::Responded(200)),
            count(Outcome::Closed),
            count(Outcome::Undeliverable),
            violations,
            self.faults,
            self.wall_clock_offset
        );
    }
}

/// Returns the rule that a request violates, if any.
fn violated_rule(
    request: &RequestRecord,
    runs: usize,
    sent_after_sigterm: Duration,
    is_crowded: bool,
) -> Option<&'static str> {
    let (is_idempotent, duration) = (request.path.starts_with("/read"), request.duration);
    let latest = Duration::from_secs_f64(DEADLINE_SECONDS) + LATE_TOLERANCE + BUSY_TOLERANCE;
    match request.outcome {
        _ if !is_idempotent && runs > 1 => Some("run twice"),
        Outcome::Responded(200) if runs == 0 => Some("served by no upstream"),
        Outcome::Responded(429 | 503) if !is_idempotent && runs > 0 => {
            Some("rejected though it may have run")
        }
        Outcome::Responded(400..=499) => Some("rejected as invalid"),
        Outcome::Responded(_) if duration > latest => Some("response too late"),
        Outcome::Closed | Outcome::Undeliverable if runs > 0 => Some("run without a response"),
        // A new connection may be closed unread while idle clients use up the descriptors. Later
        // than 0.4 s after SIGTERM, the protocol allows no new connections, so this rule does not
        // apply to them.
        Outcome::Closed if !is_crowded && sent_after_sigterm < NEW_CONNECTION_PERIOD => {
            Some("new connection closed without a response")
        }
        // A connection that may be closed unread must still be closed before SIGKILL.
        Outcome::Closed
            if sent_after_sigterm < NEW_CONNECTION_PERIOD
                && sent_after_sigterm + duration >= KILL_DELAY =>
        {
            Some("connection left open until SIGKILL")
        }
        _ => None,
    }
}

/// Runs the scenario of `seed` and returns descriptions of the violations.
fn run_seed(seed: u64) -> Vec<String> {
    let mut scenario = Scenario::new(seed);
    let (requests, sigterm_time) = scenario.run();
    let runs_by_path = scenario.runs_by_path();
    let mut violations = Vec::new();
    for request in &requests {
        let sent_after_sigterm = request.sent.saturating_duration_since(sigterm_time);
        let runs = runs_by_path.get(&request.path).copied().unwrap_or(0);
        let rule = violated_rule(request, runs, sent_after_sigterm, scenario.is_crowded);
        let RequestRecord {
            path,
            outcome,
            duration,
            ..
        } = request;
        let description = format!(
            "seed {seed}: {path} {outcome:?} in {duration:?}, sent {sent_after_sigterm:?} after \
                SIGTERM, {runs} runs"
        );
        if *outcome == Outcome::Closed {
            println!("{description}");
        }
        violations.extend(rule.map(|rule| format!("{rule}: {description}")));
    }
    scenario.print_summary(&requests, violations.len());
    violations
}

#[test]
fn no_request_is_lost_or_run_twice_from_start_to_sigkill() {
    let violations: Vec<_> = seeds().flat_map(run_seed).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}
