//! How long it takes until what discovery has is told, whatever became of the calls before.
//!
//! Real sockets, and a clock that is moved by hand: the times are those of the program, not of the machine.

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

/// What discovery has counts as told by then; something is left to a busy process.
const TOLD: Duration = Duration::from_millis(5600);
/// By so much the clock is moved at a time,
const STEP: Duration = Duration::from_millis(20);
/// and so often all tasks and sockets have their turn meanwhile.
const TURNS: usize = 10;
/// A call that waits in turn is refused after this time.
const TURN: Duration = Duration::from_secs(2);

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const NEWS: &str = "{\"index\":6,\"endpoints\":[]}\n";

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Call {
    Swallowed,
    Refused,
    /// Refused after it has waited in turn.
    GivenUp,
    /// Reset before the first byte.
    Reset,
    ResetInList,
    /// Tells what is known already, and is reset.
    ResetAfterList,
    /// Lives for a moment, and misses all that comes.
    Silent,
    /// Told after this time, in seconds.
    Told(u64),
    /// The same on a watch that lives meanwhile.
    Lives(u64),
}
use Call::*;

/// Discovery: what becomes of the calls that come, in their order, and when they came.
struct Stand {
    address: SocketAddr,
    socket: Socket,
    script: RefCell<VecDeque<Call>>,
    came: RefCell<Vec<Instant>>,
    /// Those that nobody takes keep others out.
    waiting: RefCell<Vec<std::net::TcpStream>>,
}

impl Stand {
    /// One at which connections are refused; `Told` at once behind the script.
    fn down(script: &[Call]) -> Rc<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let script = RefCell::new(script.iter().copied().collect());
        Rc::new(Stand {
            address,
            socket,
            script,
            came: RefCell::default(),
            waiting: RefCell::default(),
        })
    }

    fn up(script: &[Call]) -> Rc<Self> {
        let stand = Self::down(script);
        stand.open();
        stand
    }

    /// From now on connections never come up.
    fn shut(&self) {
        self.socket.listen(0).unwrap();
        let wait = Duration::from_millis(100);
        let waiting =
            std::iter::from_fn(|| std::net::TcpStream::connect_timeout(&self.address, wait).ok());
        self.waiting.borrow_mut().extend(waiting);
    }

    fn open(self: &Rc<Self>) {
        self.waiting.borrow_mut().clear();
        self.socket.listen(128).unwrap();
        let listener: std::net::TcpListener = self.socket.try_clone().unwrap().into();
        listener.set_nonblocking(true).unwrap();
        let (listener, stand) = (TcpListener::from_std(listener).unwrap(), self.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(stand.clone().answer(stream));
            }
        });
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream) {
        let mut bytes = [0; 4096];
        if !stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
            return;
        }
        self.came.borrow_mut().push(Instant::now());
        let call = self.script.borrow_mut().pop_front().unwrap_or(Told(0));
        let chunk = |text: &str| format!("{HEAD}{:x}\r\n{text}\r\n", text.len());
        match call {
            GivenUp => sleep(TURN).await,
            Told(after) => sleep(Duration::from_secs(after)).await,
            _ => {}
        }
        let text = match call {
            Swallowed | Reset => String::new(),
            Refused | GivenUp => REFUSAL.into(),
            ResetInList => chunk(&NEWS[..9]),
            ResetAfterList => chunk("{\"index\":5,\"endpoints\":[]}\n"),
            Silent | Lives(_) => chunk("\n"),
            Told(_) => chunk(NEWS),
        };
        // The balancer may have closed it meanwhile.
        let _ = stream.write_all(text.as_bytes()).await;
        if matches!(call, Reset | ResetInList | ResetAfterList) {
            turns().await;
            return SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        for seconds in (0..)
            .step_by(2)
            .take_while(|_| matches!(call, Told(_) | Lives(_)))
        {
            let line = if call == Lives(seconds) { NEWS } else { "\n" };
            let line = format!("{:x}\r\n{line}\r\n", line.len());
            if stream.write_all(line.as_bytes()).await.is_err() {
                return;
            }
            sleep(Duration::from_secs(2)).await;
        }
        let _ = stream.read(&mut bytes).await;
    }

    fn calls(&self) -> usize {
        self.came.borrow().len()
    }
}

async fn turns() {
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// Moves the clock until this is so, for an hour at the most.
async fn until(mut done: impl FnMut() -> bool) {
    for _ in 0..180_000 {
        turns().await;
        if done() {
            return;
        }
        advance(STEP).await;
    }
    panic!("it never comes");
}

async fn pass(seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    until(|| Instant::now() >= end).await;
}

/// A balancer that knows an old list of this discovery.
fn start(discovery: SocketAddr, mode: DiscoveryMode, seed: u64) -> Rc<RefCell<Dispatcher>> {
    start_in_fleet(discovery, mode, seed, 1)
}

/// The same, one of so many.
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

/// The time from now until the news of this discovery are told.
async fn told(dispatcher: &RefCell<Dispatcher>, discovery: &Stand) -> Duration {
    let begin = Instant::now();
    let known = ListVersion {
        source: discovery.address,
        version: 6,
    };
    let has = |dispatcher: &Dispatcher| dispatcher.watches.known() == known;
    until(|| has(&dispatcher.borrow())).await;
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

const MODES: [DiscoveryMode; 2] = [DiscoveryMode::Push, DiscoveryMode::Poll];
const ALL: [Call; 7] = [
    Swallowed,
    Refused,
    GivenUp,
    Reset,
    ResetInList,
    ResetAfterList,
    Silent,
];

/// What may follow on a call that came to nothing.
fn sequels() -> Vec<Vec<Call>> {
    let mut all = vec![vec![], vec![GivenUp], vec![Swallowed]];
    all.extend([Refused, Reset, ResetInList].map(|call| vec![call; 3]));
    all
}

/// Guards against news that count as told before the balancer has made its next call, or while that waits: whatever
/// happened to one call in the moment in which discovery came to have them, and then to the next.
#[test]
fn what_discovery_has_is_told_in_time_whatever_became_of_the_calls_before() {
    run(async {
        let mut late = Vec::new();
        for (first, sequel) in ALL
            .iter()
            .flat_map(|first| sequels().into_iter().map(move |s| (*first, s)))
        {
            let script = [vec![first], sequel].concat();
            for mode in MODES {
                for seed in 0..4 {
                    let discovery = Stand::up(&script);
                    let dispatcher = start(discovery.address, mode, seed);
                    until(|| discovery.calls() > 0).await;
                    let time = told(&dispatcher, &discovery).await;
                    late.extend((time > TOLD).then(|| format!("{mode:?} {script:?} {time:?}")));
                }
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// Where lists are pushed, the agent's news count as told though no watch is open: one that breaks is opened again so
/// soon that the grace of a drain, 0.45 s on sockets, covers it and a hold-up of 0.15 s.
#[test]
fn a_pushed_watch_that_breaks_is_opened_again_at_once() {
    let soon = Duration::from_millis(300);
    run(async {
        for first in [Refused, Reset, ResetInList, ResetAfterList] {
            for count in [1, 2, 60] {
                let discovery = Stand::up(&vec![first; count]);
                let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
                until(|| discovery.calls() == count).await;
                let time = told(&dispatcher, &discovery).await;
                assert!(time <= soon, "{first:?} {count} {time:?}");
            }
        }
        let discovery = Stand::down(&[]);
        let dispatcher = start(discovery.address, DiscoveryMode::Push, 1);
        pass(8).await;
        discovery.open();
        let time = told(&dispatcher, &discovery).await;
        assert!(time <= soon, "{time:?}");
    });
}

/// Guards against the same at a place to which discovery has moved, also if the old one was silent just then.
#[test]
fn what_discovery_has_is_told_in_time_where_it_has_moved() {
    run(async {
        let mut late = Vec::new();
        for (first, sequel) in ALL
            .iter()
            .flat_map(|first| sequels().into_iter().map(move |s| (*first, s)))
        {
            let script = [vec![first], sequel].concat();
            for (mode, old) in MODES
                .iter()
                .flat_map(|mode| [Silent, Swallowed, Told(0)].map(|old| (*mode, old)))
            {
                let (old, new) = (Stand::up(&[old]), Stand::up(&script));
                let dispatcher = start(old.address, mode, script.len() as u64);
                until(|| old.calls() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(new.address);
                let time = told(&dispatcher, &new).await;
                late.extend((time > TOLD).then(|| format!("{mode:?} {script:?} {time:?}")));
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// Guards against waits that have grown while discovery was away, wherever it is expected.
#[test]
fn discovery_that_comes_back_is_heard_in_time() {
    run(async {
        for mode in MODES {
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
                        Stand::up(&[Silent]),
                        Stand::up(&[Swallowed]),
                        Stand::down(&[]),
                    );
                    if shut {
                        new.shut();
                    }
                    let at = |moves| if moves == 0 { new.address } else { old.address };
                    let dispatcher = start(at(moves), mode, seed);
                    // Moved to where it is not up yet, over another place, or away from there and back.
                    let ways = [
                        vec![],
                        vec![&new],
                        vec![&other, &new],
                        vec![&new, &other, &new],
                    ];
                    for place in &ways[moves] {
                        dispatcher.borrow_mut().set_discovery_address(place.address);
                        pass(1).await;
                    }
                    pass(8).await;
                    new.open();
                    let time = told(&dispatcher, &new).await;
                    assert!(time <= TOLD, "{mode:?} {moves} {shut} {time:?}");
                }
            }
        }
    });
}

/// Guards against waits that grow beyond the time after which news count as told, as those after calls that had to wait
/// in turn do in a large fleet, where no call has come to discovery at all: none of them has cost it anything.
#[test]
fn discovery_that_was_away_for_long_is_heard_in_time_in_a_fleet_of_any_size() {
    run(async {
        let mut late = Vec::new();
        for (peer_count, shut) in [30, 300, 8700]
            .iter()
            .flat_map(|n| [(*n, false), (*n, true)])
        {
            for (seed, away) in (0..8).flat_map(|seed| [(seed, 20), (seed, 60)]) {
                let discovery = Stand::down(&[]);
                if shut {
                    discovery.shut();
                }
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                pass(away).await;
                discovery.open();
                let time = told(&dispatcher, &discovery).await;
                late.extend((time > TOLD).then(|| format!("{peer_count} {shut} {away} {time:?}")));
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// Guards against the same where discovery, or what stands before it, said no at once to many calls in a row.
#[test]
fn discovery_that_refused_many_calls_at_once_is_heard_in_time_in_a_fleet_of_any_size() {
    run(async {
        let mut late = Vec::new();
        for (peer_count, call) in [30, 300, 8700]
            .iter()
            .flat_map(|n| [(*n, Refused), (*n, Reset)])
        {
            for (seed, count) in (0..8).flat_map(|seed| [(seed, 5), (seed, 9)]) {
                let discovery = Stand::up(&vec![call; count]);
                let dispatcher =
                    start_in_fleet(discovery.address, DiscoveryMode::Poll, seed, peer_count);
                until(|| discovery.calls() == count).await;
                let time = told(&dispatcher, &discovery).await;
                late.extend(
                    (time > TOLD).then(|| format!("{peer_count} {call:?} {count} {time:?}")),
                );
            }
        }
        assert!(late.is_empty(), "{late:#?}");
    });
}

/// Guards against calls that are given up and made again for ever where discovery lets them wait for long, and
/// against asking for the same once more when one of them has had its turn.
#[test]
fn a_call_that_waits_for_long_has_its_turn() {
    run(async {
        for (mode, moved) in MODES
            .iter()
            .flat_map(|mode| [(*mode, false), (*mode, true)])
        {
            let (old, other) = (Stand::up(&[Silent]), Stand::up(&[Swallowed; 60]));
            let discovery = Stand::up(&[Told(30); 60]);
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
                until(|| old.calls() > 0).await;
                dispatcher.borrow_mut().set_discovery_address(other.address);
                dispatcher
                    .borrow_mut()
                    .set_discovery_address(discovery.address);
            }
            until(|| discovery.calls() > 0).await;
            let time = told(&dispatcher, &discovery).await;
            assert!(time < Duration::from_secs(31), "{mode:?} {moved} {time:?}");
            assert_eq!(
                (
                    dispatcher.borrow().watches.len(),
                    dispatcher.borrow().watches.is_broken()
                ),
                (1, false)
            );
            let made = discovery.calls();
            pass(60).await;
            assert_eq!(discovery.calls(), made, "{mode:?}");
        }
    });
}

/// Guards against giving up a call that discovery lets wait in turn, and against making it a second time.
#[test]
fn a_call_that_has_to_wait_for_its_turn_is_not_made_twice() {
    run(async {
        for seed in 0..6 {
            let discovery = Stand::up(&[Swallowed]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            until(|| discovery.calls() > 0).await;
            // Longer than where lists are pushed, and longer than such a call may take.
            let waited = discovery.came.borrow()[0] + Duration::from_millis(2500);
            until(|| Instant::now() >= waited).await;
            assert_eq!(
                (discovery.calls(), dispatcher.borrow().watches.len()),
                (1, 1)
            );
            let discovery = Stand::up(&[GivenUp]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            until(|| discovery.calls() > 1).await;
            assert_eq!(dispatcher.borrow().watches.len(), 1);
        }
    });
}

/// Guards against a stampede of calls on a discovery that is slow: none is made before the last has had time, and
/// never many at once.
#[test]
fn calls_that_wait_are_not_made_more_often_than_they_have_to_be() {
    run(async {
        for seed in 0..6 {
            let discovery = Stand::up(&[Swallowed; 60]);
            let dispatcher = start(discovery.address, DiscoveryMode::Poll, seed);
            while discovery.calls() < 20 {
                pass(1).await;
                assert!(dispatcher.borrow().watches.len() <= MAX_WATCHES);
            }
            let came = discovery.came.borrow();
            assert!(
                came.windows(2)
                    .all(|two| two[1] - two[0] > Duration::from_millis(2500)),
                "{came:?}"
            );
        }
    });
}

/// Guards against the end of the watch at the old address while the new one is silent: there is no other.
#[test]
fn the_old_watch_is_heard_for_as_long_as_the_new_place_is_silent() {
    run(async {
        for mode in MODES {
            let (old, new) = (Stand::up(&[Lives(12)]), Stand::up(&[Swallowed; 60]));
            let dispatcher = start(old.address, mode, 1);
            until(|| old.calls() > 0).await;
            dispatcher.borrow_mut().set_discovery_address(new.address);
            assert!(
                told(&dispatcher, &old).await < Duration::from_secs(13),
                "{mode:?}"
            );
            assert!(new.calls() > 3);
        }
    });
}

/// Guards against a balancer that hears of nothing while others hold all descriptors.
#[test]
fn a_watch_is_opened_though_no_descriptor_is_free() {
    run(async {
        for mode in MODES {
            let discovery = Stand::up(&[Reset, Swallowed, Swallowed]);
            let dispatcher = start(discovery.address, mode, 1);
            let budget = dispatcher.borrow().budget.clone();
            let taken: Vec<_> =
                std::iter::from_fn(|| budget.acquire(crate::socket::Purpose::Rejection)).collect();
            // Another process takes a half of them.
            budget.set_limit(512);
            assert!(taken.len() > 512);
            until(|| discovery.calls() > 0).await;
            let time = told(&dispatcher, &discovery).await;
            assert!(time <= Duration::from_secs(6), "{mode:?} {time:?}");
        }
    });
}
