//! Unit tests of the watch set, and accessors for other unit tests.

use super::*;

impl WatchSet {
    /// Returns the known version of the endpoint list.
    pub fn known(&self) -> ListVersion {
        self.known
    }

    /// Returns the number of open watches.
    pub fn len(&self) -> usize {
        self.watches.len()
    }

    /// Returns whether the authoritative watch may have missed changes.
    pub fn is_broken(&self) -> bool {
        self.watches[0].is_broken
    }

    fn ids(&self) -> Vec<u64> {
        self.watches.iter().map(|watch| watch.id.0).collect()
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn watch_set(mode: DiscoveryMode) -> WatchSet {
    let discovery = DiscoveryService {
        address: address(1),
        mode,
    };
    WatchSet::new(discovery, 5, 1)
}

fn list(version: u64, snapshot: bool) -> EndpointList {
    EndpointList {
        version,
        snapshot,
        endpoints: Vec::new(),
    }
}

/// Opens a watch. Panics if the newest open watch is still usable.
fn open(watches: &mut WatchSet) -> WatchRequest {
    watches
        .ensure_watch()
        .expect("a usable watch is already open")
}

#[test]
fn usable_watch_is_not_reopened() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let request = open(&mut watches);
    assert_eq!((request.address, request.since), (address(1), Some(5)));
    assert_eq!(watches.ensure_watch(), None);
    assert_eq!(watches.mark_silent(request.id), Reconnect::Now);
    assert_ne!(open(&mut watches).id, request.id);
    assert_eq!(watches.len(), 2);
}

#[test]
fn alive_watch_closes_older_watches() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let old = open(&mut watches).id;
    watches.mark_alive(old);
    assert_eq!(watches.mark_silent(old), Reconnect::Now);
    let new = open(&mut watches).id;
    assert!(
        watches.accept_list(old, &list(6, true)),
        "the list of the silent old watch was not accepted"
    );
    watches.mark_alive(new);
    assert_eq!(watches.ids(), [new.0]);
    assert!(!watches.accept_list(old, &list(7, true)));
    assert_eq!(watches.mark_silent(old), Reconnect::Superseded);
}

/// The first list contains all changes since the requested version, however late it is received.
#[test]
fn first_list_of_a_silent_watch_closes_newer_watches() {
    let mut watches = watch_set(DiscoveryMode::Poll);
    let first = open(&mut watches).id;
    assert!(matches!(watches.mark_silent(first), Reconnect::After(_)));
    let second = open(&mut watches).id;
    assert!(watches.accept_list(first, &list(6, false)));
    assert_eq!((watches.ids(), watches.is_broken()), (vec![first.0], false));
    assert_eq!(watches.known().version, 6);
    assert!(!watches.accept_list(second, &list(7, false)));
}

#[test]
fn stale_change_is_rejected() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let watch = open(&mut watches).id;
    assert!(watches.accept_list(watch, &list(7, false)));
    assert!(!watches.accept_list(watch, &list(6, false)));
    assert_eq!(watches.known().version, 7);
    assert!(
        watches.accept_list(watch, &list(6, true)),
        "the full list was not accepted"
    );
    assert_eq!(watches.known().version, 6);
}

#[test]
fn changes_on_a_broken_watch_raise_the_known_version_only_after_a_full_list() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let watch = open(&mut watches).id;
    assert!(watches.accept_list(watch, &list(6, false)));
    assert_eq!(watches.mark_silent(watch), Reconnect::Now);
    assert!(watches.accept_list(watch, &list(8, false)));
    assert_eq!(watches.known().version, 6);
    assert!(watches.accept_list(watch, &list(9, true)));
    assert_eq!(watches.known().version, 9);
}

#[test]
fn full_watch_set_keeps_the_two_oldest_and_two_newest_watches() {
    let mut watches = watch_set(DiscoveryMode::Push);
    for _ in 0..10 {
        let watch = open(&mut watches).id;
        assert_eq!(watches.mark_silent(watch), Reconnect::Now);
        assert!(watches.len() <= MAX_WATCHES);
    }
    assert_eq!(watches.ids(), [1, 2, 9, 10]);
}

#[test]
fn first_list_of_a_new_address_replaces_the_known_version() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let old = open(&mut watches).id;
    assert_eq!(watches.set_address(address(1)), None, "unchanged address");
    let between = watches.set_address(address(2)).expect("no watch to open");
    let new = watches.set_address(address(3)).expect("no watch to open");
    assert_eq!((between.since, new.since), (None, None));
    assert_eq!(watches.ids(), [old.0, new.id.0]);
    assert!(
        watches.accept_list(old, &list(6, false)),
        "the list of the old watch was not accepted"
    );
    assert!(watches.accept_list(new.id, &list(1, false)));
    assert_eq!(watches.ids(), [new.id.0]);
    let (source, version) = (address(3), 1);
    assert_eq!(watches.known(), ListVersion { source, version });
}

#[tokio::test(start_paused = true)]
async fn push_reconnects_slow_down_after_many_failures() {
    let mut watches = watch_set(DiscoveryMode::Push);
    for failure in 1..=12 {
        let watch = open(&mut watches).id;
        let delay = if failure < 10 { 20 } else { 250 };
        assert_eq!(
            watches.remove_failed(watch, &WatchError::Ended),
            Reconnect::After(Duration::from_millis(delay)),
            "failure {failure}"
        );
    }
    // A watch that was alive for long enough resets the count of failures.
    let watch = open(&mut watches).id;
    watches.mark_alive(watch);
    tokio::time::advance(MIN_HEALTHY_WATCH_AGE).await;
    assert_eq!(
        watches.remove_failed(watch, &WatchError::Ended),
        Reconnect::After(RECONNECT_DELAY)
    );
}

#[test]
fn failed_poll_watch_is_reopened_by_the_poll_schedule() {
    let mut watches = watch_set(DiscoveryMode::Poll);
    let watch = open(&mut watches).id;
    let reconnect = watches.mark_silent(watch);
    assert!(matches!(reconnect, Reconnect::After(delay) if delay < MAX_POLL_JITTER));
    assert_eq!(
        watches.remove_failed(watch, &WatchError::Ended),
        Reconnect::ByPollSchedule
    );
}

#[test]
fn failed_watch_on_the_old_address_is_not_reopened() {
    for mode in [DiscoveryMode::Push, DiscoveryMode::Poll] {
        let mut watches = watch_set(mode);
        let old = open(&mut watches).id;
        let new = watches
            .set_address(address(2))
            .expect("no watch to open")
            .id;
        assert_eq!(
            watches.remove_failed(old, &WatchError::Ended),
            Reconnect::Superseded
        );
        let reconnect = watches.remove_failed(new, &WatchError::Ended);
        assert!(
            matches!(reconnect, Reconnect::After(delay)
                if (MAX_MOVE_DELAY / 4..MAX_MOVE_DELAY).contains(&delay)),
            "{reconnect:?}, expected between a quarter and all of {MAX_MOVE_DELAY:?}"
        );
    }
}
