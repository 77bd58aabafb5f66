//! How long it takes until a change of the endpoint list is known, whatever became of the calls
//! before.
//!
//! Real sockets and a clock that the tests advance: the times are those of the program, not of the
//! machine.

use super::super::*;
use crate::discovery::watch_set::{ListVersion, MAX_WATCHES};
use load_balancer::Settings;
use socket2::{Domain, SockRef, Socket, Type};
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, LocalSet};
use tokio::time::{advance, sleep};

/// A change has to be known by then; the rest of the 6 s is for a busy process.
const NOTIFICATION_DEADLINE: Duration = Duration::from_millis(5600);
/// The clock is advanced by this much at a time.
const CLOCK_STEP: Duration = Duration::from_millis(20);
/// How often all tasks and sockets are polled in between.
const YIELDS_PER_STEP: usize = 10;
/// A queued call is refused after this time.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const CHANGE: &str = "{\"index\":6,\"endpoints\":[]}\n";

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Unanswered,
    Refused,
    /// Refused after it was queued.
    QueuedThenRefused,
    /// Reset before the first byte.
    Reset,
    ResetInList,
    /// Answered with a version that is known already, and then reset.
    ResetAfterList,
    /// Alive for a moment, and silent from then on.
    Silent,
    /// Answered with the change after this time, in seconds.
    AnsweredAfter(u64),
    /// Alive, and answered with the change after this time, in seconds.
    ChangesAfter(u64),
}
use CallOutcome::*;

/// A discovery service with a script: the outcomes of the calls in their order. Records when they
/// came.
struct FakeDiscovery {
    address: SocketAddr,
    socket: Socket,
    script: RefCell<VecDeque<CallOutcome>>,
    called_at: RefCell<Vec<Instant>>,
    /// Connections that are never accepted fill the listener's backlog.
    backlog: RefCell<Vec<std::net::TcpStream>>,
}

impl FakeDiscovery {
    /// One that refuses connections until `listen`. Calls beyond the script are answered at once.
    fn not_listening(script: &[CallOutcome]) -> Rc<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let script = RefCell::new(script.iter().copied().collect());
        Rc::new(FakeDiscovery {
            address,
            socket,
            script,
            called_at: RefCell::default(),
            backlog: RefCell::default(),
        })
    }

    fn listening(script: &[CallOutcome]) -> Rc<Self> {
        let discovery = Self::not_listening(script);
        discovery.listen();
        discovery
    }

    /// From now on no connection is established.
    fn fill_backlog(&self) {
        self.socket.listen(0).unwrap();
        let wait = Duration::from_millis(100);
        let waiting =
            std::iter::from_fn(|| std::net::TcpStream::connect_timeout(&self.address, wait).ok());
        self.backlog.borrow_mut().extend(waiting);
    }

    fn listen(self: &Rc<Self>) {
        self.backlog.borrow_mut().clear();
        self.socket.listen(128).unwrap();
        let listener: std::net::TcpListener = self.socket.try_clone().unwrap().into();
        listener.set_nonblocking(true).unwrap();
        let (listener, discovery) = (TcpListener::from_std(listener).unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(discovery.clone().answer(stream));
            }
        });
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = [0; 4096];
        if !stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            return;
        }
        self.called_at.borrow_mut().push(Instant::now());
        let call = self
            .script
            .borrow_mut()
            .pop_front()
            .unwrap_or(AnsweredAfter(0));
        let chunk = |text: &str| format!("{RESPONSE_HEAD}{:x}\r\n{text}\r\n", text.len());
        match call {
            QueuedThenRefused => sleep(QUEUE_TIMEOUT).await,
            AnsweredAfter(after) => sleep(Duration::from_secs(after)).await,
            _ => {}
        }
        let text = match call {
            Unanswered | Reset => String::new(),
            Refused | QueuedThenRefused => REFUSAL.into(),
            ResetInList => chunk(&CHANGE[..9]),
            ResetAfterList => chunk("{\"index\":5,\"endpoints\":[]}\n"),
            Silent | ChangesAfter(_) => chunk("\n"),
            AnsweredAfter(_) => chunk(CHANGE),
        };
        // Fails if the balancer has closed the connection meanwhile.
        let _ = stream.write_all(text.as_bytes()).await;
        if matches!(call, Reset | ResetInList | ResetAfterList) {
            yield_to_tasks().await;
            return SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        for seconds in (0..)
            .step_by(2)
            .take_while(|_| matches!(call, AnsweredAfter(_) | ChangesAfter(_)))
        {
            let line = if call == ChangesAfter(seconds) {
                CHANGE
            } else {
                "\n"
            };
            let line = format!("{:x}\r\n{line}\r\n", line.len());
            if stream.write_all(line.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_secs(2)).await;
        }
        let _ = stream.read(&mut bytes).await;
    }

    fn call_count(&self) -> usize {
        self.called_at.borrow().len()
    }
}

async fn yield_to_tasks() {
    for _ in 0..YIELDS_PER_STEP {
        yield_now().await;
    }
}

/// Advances the clock until this holds, for an hour at the most.
async fn advance_until(mut done: impl FnMut() -> bool) {
    for _ in 0..180_000 {
        yield_to_tasks().await;
        if done() {
            return;
        }
        advance(CLOCK_STEP).await;
    }
    panic!("it never comes");
}

async fn advance_seconds(seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    advance_until(|| Instant::now() >= end).await;
}

/// A balancer that knows an old list of this discovery.
fn start(discovery: SocketAddr, mode: DiscoveryMode, seed: u64) -> Rc<RefCell<Dispatcher>> {
    start_in_fleet(discovery, mode, seed, 1)
}

/// The same in a fleet of this size.
fn start_in_fleet(
    discovery: SocketAddr,
    mode: DiscoveryMode,
    seed: u64,
    peer_count: usize,
) -> Rc<RefCell<Dispatcher>> {
    let mut settings = Settings {
        discovery_mode: mode,
        peer_count,
        ..Settings::simple()
    };
    settings.rules.notification_deadline = 6.0;
    let config = Config {
        name: "n".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 9)),
        discovery,
        admin: None,
        seed,
        max_descriptors: 1024,
        memory_bytes: 32 << 20,
        known_endpoints: EndpointList {
            version: 5,
            snapshot: true,
            endpoints: Vec::new(),
        },
        settings,
        names: NameTables::default(),
    };
    Dispatcher::start(config, DescriptorBudget::new(1024, false)).expect("good settings")
}

/// The time from now until the change of this discovery is known.
async fn time_until_known(dispatcher: &RefCell<Dispatcher>, discovery: &FakeDiscovery) -> Duration {
    let begin = Instant::now();
    let known = ListVersion {
        source: discovery.address,
        version: 6,
    };
    let has = |dispatcher: &Dispatcher| dispatcher.watches.known() == known;
    advance_until(|| has(&dispatcher.borrow())).await;
    begin.elapsed()
}

fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

const ALL_MODES: [DiscoveryMode; 2] = [DiscoveryMode::Push, DiscoveryMode::Poll];
const ALL_FAILURES: [CallOutcome; 7] = [
    Unanswered,
    Refused,
    QueuedThenRefused,
    Reset,
    ResetInList,
    ResetAfterList,
    Silent,
];

/// What may become of the calls after one that failed.
fn later_calls() -> Vec<Vec<CallOutcome>> {
    let mut all = vec![vec![], vec![QueuedThenRefused], vec![Unanswered]];
    all.extend([Refused, Reset, ResetInList].map(|call| vec![call; 3]));
    all
}

/// A change that discovery has when a call fails has to be known in time: the next call comes soon
/// enough, whatever becomes of it.
#[test]
fn changes_are_known_in_time_whatever_became_of_earlier_calls() {
    run(async {
        let mut late = Vec::new();
        for (first, later) in ALL_FAILURES
            .iter()
            .flat_map(|first| later_calls().into_iter().map(move |s| (*first, s)))
        {
            let script = [vec![first], later].concat();
            for mode in ALL_MODES {
                for seed in 0..4 {
                    let discovery = FakeDiscovery::listening(&script);
                    let dispatcher = start(discovery.address, mode, seed);
                    advance_until(|| discovery.call_count() > 0).await;
                    let time = time_until_known(&dispatcher, &discovery).await;
                    late.extend(
                        (time > NOTIFICATION_DEADLINE)
                            .then(|| format!("{mode:?} {script:?} {time:?}")),
                    );
                }
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// Where lists are pushed, what the agent has counts as known while no watch is open. A failed
/// watch is reopened so soon that the grace period of a drain, 0.45 s on sockets, covers the gap
/// and a stall of 0.15 s.
#[test]
fn a_pushed_watch_that_fails_is_reopened_at_once() {
    let soon = Duration::from_millis(300);
    run(async {
        for first in [Refused, Reset, ResetInList, ResetAfterList] {
            for count in [1, 2, 60] {
                let discovery = FakeDiscovery::listening(&vec![first; count]);
                let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
                advance_until(|| discovery.call_count() == count).await;
                let time = time_until_known(&dispatcher, &discovery).await;
                assert!(time <= soon, "{first:?} {count} {time:?}");
            }
        }
        let discovery = FakeDiscovery::not_listening(&[]);
        let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
        advance_seconds(8).await;
        discovery.listen();
        let time = time_until_known(&dispatcher, &discovery).await;
        assert!(time <= soon, "{time:?}");
    });
}

/// The same on an address to which discovery has moved, also if the old one was silent just then.
#[test]
fn changes_are_known_in_time_after_discovery_has_moved() {
    run(async {
        let mut late = Vec::new();
        for (first, later) in ALL_FAILURES
            .iter()
            .flat_map(|first| later_calls().into_iter().map(move |s| (*first, s)))
        {
            let script = [vec![first], later].concat();
            for (mode, old) in ALL_MODES
                .iter()
                .flat_map(|mode| [Silent, Unanswered, AnsweredAfter(0)].map(|old| (*mode, old)))
            {
                let (old, new) = (
                    FakeDiscovery::listening(&[old]),
                    FakeDiscovery::listening(&script),
                );
                let dispatcher = start(old.address, mode, script.len() as u64);
                advance_until(|| old.call_count() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(new.address);
                let time = time_until_known(&dispatcher, &new).await;
                late.extend(
                    (time > NOTIFICATION_DEADLINE).then(|| format!("{mode:?} {script:?} {time:?}")),
                );
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// The backoff that has grown while discovery was down has to be short enough, wherever it comes
/// up.
#[test]
fn changes_are_known_in_time_after_discovery_was_down() {
    run(async {
        for mode in ALL_MODES {
            for (seed, moves) in [
                (1, 0),
                (2, 0),
                (3, 0),
                (4, 1),
                (5, 1),
                (6, 2),
                (7, 2),
                (8, 3),
            ] {
                for shut in [false, true] {
                    let (old, other, new) = (
                        FakeDiscovery::listening(&[Silent]),
                        FakeDiscovery::listening(&[Unanswered]),
                        FakeDiscovery::not_listening(&[]),
                    );
                    if shut {
                        new.fill_backlog();
                    }
                    let at = |moves| if moves == 0 { new.address } else { old.address };
                    let dispatcher = start(at(moves), mode, seed);
                    // Moved to where it is not up yet, directly or over another address, or away
                    // and back.
                    let ways = [
                        vec![],
                        vec![&new],
                        vec![&other, &new],
                        vec![&new, &other, &new],
                    ];
                    for place in &ways[moves] {
                        dispatcher.borrow_mut().set_discovery_address(place.address);
                        advance_seconds(1).await;
                    }
                    advance_seconds(8).await;
                    new.listen();
                    let time = time_until_known(&dispatcher, &new).await;
                    assert!(
                        time <= NOTIFICATION_DEADLINE,
                        "{mode:?} {moves} {shut} {time:?}"
                    );
                }
            }
        }
    });
}

/// The backoff after calls that were queued grows with the fleet, beyond the time by which a
/// change has to be known. It must not grow where no call has reached discovery: none of them has
/// cost it anything.
#[test]
fn changes_are_known_in_time_after_a_long_outage_in_a_fleet_of_any_size() {
    run(async {
        let mut late = Vec::new();
        for (peer_count, shut) in [30, 300, 8700]
            .iter()
            .flat_map(|n| [(*n, false), (*n, true)])
        {
            for (seed, away) in (0..8).flat_map(|seed| [(seed, 20), (seed, 60)]) {
                let discovery = FakeDiscovery::not_listening(&[]);
                if shut {
                    discovery.fill_backlog();
                }
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                advance_seconds(away).await;
                discovery.listen();
                let time = time_until_known(&dispatcher, &discovery).await;
                late.extend(
                    (time > NOTIFICATION_DEADLINE)
                        .then(|| format!("{peer_count} {shut} {away} {time:?}")),
                );
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// The same where discovery, or a proxy before it, refused many calls in a row at once.
#[test]
fn changes_are_known_in_time_after_many_refusals_in_a_fleet_of_any_size() {
    run(async {
        let mut late = Vec::new();
        for (peer_count, call) in [30, 300, 8700]
            .iter()
            .flat_map(|n| [(*n, Refused), (*n, Reset)])
        {
            for (seed, count) in (0..8).flat_map(|seed| [(seed, 5), (seed, 9)]) {
                let discovery = FakeDiscovery::listening(&vec![call; count]);
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                advance_until(|| discovery.call_count() == count).await;
                let time = time_until_known(&dispatcher, &discovery).await;
                late.extend(
                    (time > NOTIFICATION_DEADLINE)
                        .then(|| format!("{peer_count} {call:?} {count} {time:?}")),
                );
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// A call that discovery queues for long must not be given up for newer calls for ever, and the
/// calls that were made beside it must not be made again once it is answered.
#[test]
fn a_call_that_is_queued_for_long_is_answered() {
    run(async {
        for (mode, moved) in ALL_MODES
            .iter()
            .flat_map(|mode| [(*mode, false), (*mode, true)])
        {
            let (old, other) = (
                FakeDiscovery::listening(&[Silent]),
                FakeDiscovery::listening(&[Unanswered; 60]),
            );
            let discovery = FakeDiscovery::listening(&[AnsweredAfter(30); 60]);
            let dispatcher = start(
                if moved {
                    old.address
                } else {
                    discovery.address
                },
                mode,
                1,
            );
            if moved {
                advance_until(|| old.call_count() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(other.address);
                dispatcher
                    .borrow_mut()
                    .set_discovery_address(discovery.address);
            }
            advance_until(|| discovery.call_count() > 0).await;
            let time = time_until_known(&dispatcher, &discovery).await;
            assert!(time < Duration::from_secs(31), "{mode:?} {moved} {time:?}");
            assert_eq!(
                (
                    dispatcher.borrow().watches.len(),
                    dispatcher.borrow().watches.is_broken()
                ),
                (1, false)
            );
            let made = discovery.call_count();
            advance_seconds(60).await;
            assert_eq!(discovery.call_count(), made, "{mode:?}");
        }
    });
}

/// A queued call is neither given up nor made a second time.
#[test]
fn a_queued_call_is_not_made_twice() {
    run(async {
        for seed in 0..6 {
            let discovery = FakeDiscovery::listening(&[Unanswered]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            advance_until(|| discovery.call_count() > 0).await;
            // Longer than where lists are pushed, and longer than such a call may take.
            let waited = discovery.called_at.borrow()[0] + Duration::from_millis(2500);
            advance_until(|| Instant::now() >= waited).await;
            assert_eq!(
                (discovery.call_count(), dispatcher.borrow().watches.len()),
                (1, 1)
            );
            let discovery = FakeDiscovery::listening(&[QueuedThenRefused]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            advance_until(|| discovery.call_count() > 1).await;
            assert_eq!(dispatcher.borrow().watches.len(), 1);
        }
    });
}

/// A slow discovery must not be flooded: no call is made before the last one has had time, and
/// never many at once.
#[test]
fn queued_calls_are_made_no_more_often_than_needed() {
    run(async {
        for seed in 0..6 {
            let discovery = FakeDiscovery::listening(&[Unanswered; 60]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            while discovery.call_count() < 20 {
                advance_seconds(1).await;
                assert!(dispatcher.borrow().watches.len() <= MAX_WATCHES);
            }
            let called_at = discovery.called_at.borrow();
            assert!(
                called_at
                    .windows(2)
                    .all(|two| two[1] - two[0] > Duration::from_millis(2500)),
                "{called_at:?}"
            );
        }
    });
}

/// While the new address is silent, the watch on the old one is the only source of changes.
#[test]
fn the_old_watch_stays_in_force_while_the_new_address_is_silent() {
    run(async {
        for mode in ALL_MODES {
            let (old, new) = (
                FakeDiscovery::listening(&[ChangesAfter(12)]),
                FakeDiscovery::listening(&[Unanswered; 60]),
            );
            let dispatcher = start(old.address, mode, 1);
            advance_until(|| old.call_count() > 0).await;
            dispatcher.borrow_mut().set_discovery_address(new.address);
            assert!(
                time_until_known(&dispatcher, &old).await < Duration::from_secs(13),
                "{mode:?}"
            );
            assert!(new.call_count() > 3);
        }
    });
}

/// Discovery has descriptors of its own, whatever clients and upstreams hold.
#[test]
fn a_watch_is_opened_though_no_descriptor_is_free_for_others() {
    run(async {
        for mode in ALL_MODES {
            let discovery = FakeDiscovery::listening(&[Reset, Unanswered, Unanswered]);
            let dispatcher = start(discovery.address, mode, 1);
            let budget = dispatcher.borrow().budget.clone();
            let taken: Vec<_> =
                std::iter::from_fn(|| budget.acquire(crate::socket::Purpose::Rejection)).collect();
            // Another process takes a half of them.
            budget.set_limit(512);
            assert!(taken.len() > 512);
            advance_until(|| discovery.call_count() > 0).await;
            let time = time_until_known(&dispatcher, &discovery).await;
            assert!(time <= Duration::from_secs(6), "{mode:?} {time:?}");
        }
    });
}
