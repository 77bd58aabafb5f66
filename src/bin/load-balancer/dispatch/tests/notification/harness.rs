//! Starts dispatchers on real sockets and a paused clock that the tests advance, so that measured
//! times do not depend on the speed of the machine.

use super::fake_discovery::FakeDiscovery;
use crate::discovery::watch_set::ListVersion;
use crate::dispatch::*;
use load_balancer::Settings;
use std::future::Future;
use std::net::SocketAddr;
use tokio::task::{yield_now, LocalSet};
use tokio::time::advance;

/// The step by which the clock is advanced.
const CLOCK_STEP: Duration = Duration::from_millis(20);
/// The number of times that all tasks and sockets are polled between two steps.
const YIELDS_PER_STEP: usize = 10;

pub(super) async fn yield_to_tasks() {
    for _ in 0..YIELDS_PER_STEP {
        yield_now().await;
    }
}

/// Advances the clock until `condition` holds. Panics if it does not hold within an hour.
pub(super) async fn advance_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..180_000 {
        yield_to_tasks().await;
        if condition() {
            return;
        }
        advance(CLOCK_STEP).await;
    }
    panic!("the condition does not hold within an hour");
}

pub(super) async fn advance_seconds(seconds: u64) {
    let end = Instant::now() + Duration::from_secs(seconds);
    advance_until(|| Instant::now() >= end).await;
}

/// Starts a balancer that knows version 5 of the list at this discovery address.
pub(super) fn start(
    discovery: SocketAddr,
    mode: DiscoveryMode,
    seed: u64,
) -> Rc<RefCell<Dispatcher>> {
    start_in_fleet(discovery, mode, seed, 1)
}

/// Starts a balancer like `start`, in a fleet of `peer_count` balancers.
pub(super) fn start_in_fleet(
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
    let resources = Resources::new(&config);
    Dispatcher::start(config, resources).expect("the settings are invalid")
}

/// Advances the clock until the dispatcher knows the change of `discovery`, version 6. Returns the
/// time that this took.
pub(super) async fn time_until_known(
    dispatcher: &RefCell<Dispatcher>,
    discovery: &FakeDiscovery,
) -> Duration {
    let begin = Instant::now();
    let known = ListVersion {
        source: discovery.address,
        version: 6,
    };
    let is_known = |dispatcher: &Dispatcher| dispatcher.watches.known() == known;
    advance_until(|| is_known(&dispatcher.borrow())).await;
    begin.elapsed()
}

pub(super) fn run(test: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime
        .enable_all()
        .start_paused(true)
        .build()
        .expect("the runtime can't be built");
    LocalSet::new().block_on(&runtime, test);
}
