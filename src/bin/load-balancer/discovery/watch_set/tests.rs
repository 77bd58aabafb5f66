//! Unit tests of the watch set, and what other unit tests may see of it.

use super::*;

impl WatchSet {
    /// The version of the endpoint list that is known.
    pub fn known(&self) -> ListVersion {
        self.known
    }

    /// How many watches are open.
    pub fn len(&self) -> usize {
        self.watches.len()
    }

    /// True if changes may be missing on the watch that is authoritative.
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

/// Opens a watch that has to be opened.
fn open(watches: &mut WatchSet) -> WatchRequest {
    watches.ensure_watch().expect("no watch is good")
}

#[test]
fn a_good_watch_is_not_opened_twice() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let request = open(&mut watches);
    assert_eq!((request.address, request.since), (address(1), Some(5)));
    assert_eq!(watches.ensure_watch(), None);
    assert_eq!(watches.silent(request.id), Reconnect::Now);
    assert_ne!(open(&mut watches).id, request.id);
    assert_eq!(watches.len(), 2);
}

#[test]
fn a_newer_watch_that_is_alive_closes_the_older_ones() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let old = open(&mut watches).id;
    watches.alive(old);
    assert_eq!(watches.silent(old), Reconnect::Now);
    let new = open(&mut watches).id;
    assert!(watches.accept_list(old, &list(6, true)), "still followed");
    watches.alive(new);
    assert_eq!(watches.ids(), [new.0]);
    assert!(!watches.accept_list(old, &list(7, true)));
    assert_eq!(watches.silent(old), Reconnect::Superseded);
}

/// The first response holds all changes since the version that was asked for, however late it
/// comes.
#[test]
fn the_first_list_of_a_silent_watch_closes_those_that_were_opened_beside_it() {
    let mut watches = watch_set(DiscoveryMode::Poll);
    let first = open(&mut watches).id;
    assert!(matches!(watches.silent(first), Reconnect::After(_)));
    let second = open(&mut watches).id;
    assert!(watches.accept_list(first, &list(6, false)));
    assert_eq!((watches.ids(), watches.is_broken()), (vec![first.0], false));
    assert_eq!(watches.known().version, 6);
    assert!(!watches.accept_list(second, &list(7, false)));
}

#[test]
fn a_change_that_is_older_than_the_watch_has_told_is_not_accepted() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let watch = open(&mut watches).id;
    assert!(watches.accept_list(watch, &list(7, false)));
    assert!(!watches.accept_list(watch, &list(6, false)));
    assert_eq!(watches.known().version, 7);
    assert!(watches.accept_list(watch, &list(6, true)), "a full list");
    assert_eq!(watches.known().version, 6);
}

#[test]
fn changes_on_a_broken_watch_do_not_raise_the_known_version_until_a_full_list_comes() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let watch = open(&mut watches).id;
    assert!(watches.accept_list(watch, &list(6, false)));
    assert_eq!(watches.silent(watch), Reconnect::Now);
    assert!(watches.accept_list(watch, &list(8, false)));
    assert_eq!(watches.known().version, 6);
    assert!(watches.accept_list(watch, &list(9, true)));
    assert_eq!(watches.known().version, 9);
}

#[test]
fn at_most_so_many_watches_are_open_and_the_first_two_and_the_newest_stay() {
    let mut watches = watch_set(DiscoveryMode::Push);
    for _ in 0..10 {
        let watch = open(&mut watches).id;
        assert_eq!(watches.silent(watch), Reconnect::Now);
        assert!(watches.len() <= MAX_WATCHES);
    }
    assert_eq!(watches.ids(), [1, 2, 9, 10]);
}

#[test]
fn a_new_address_counts_its_versions_by_itself_once_its_watch_has_sent_a_list() {
    let mut watches = watch_set(DiscoveryMode::Push);
    let old = open(&mut watches).id;
    assert_eq!(watches.set_address(address(1)), None, "the same");
    let between = watches.set_address(address(2)).expect("another");
    let new = watches.set_address(address(3)).expect("another");
    assert_eq!((between.since, new.since), (None, None));
    assert_eq!(watches.ids(), [old.0, new.id.0]);
    assert!(watches.accept_list(old, &list(6, false)), "still followed");
    assert!(watches.accept_list(new.id, &list(1, false)));
    assert_eq!(watches.ids(), [new.id.0]);
    let (source, version) = (address(3), 1);
    assert_eq!(watches.known(), ListVersion { source, version });
}

#[tokio::test(start_paused = true)]
async fn a_pushed_watch_is_reopened_soon_and_later_after_many_failures() {
    let mut watches = watch_set(DiscoveryMode::Push);
    for failure in 1..=12 {
        let watch = open(&mut watches).id;
        let delay = if failure < 10 { 20 } else { 250 };
        assert_eq!(
            watches.failed(watch, &WatchError::Ended),
            Reconnect::After(Duration::from_millis(delay)),
            "{failure}"
        );
    }
    // One that was alive for long enough ends the series.
    let watch = open(&mut watches).id;
    watches.alive(watch);
    tokio::time::advance(MIN_HEALTHY_WATCH).await;
    assert_eq!(
        watches.failed(watch, &WatchError::Ended),
        Reconnect::After(RECONNECT_DELAY)
    );
}

#[test]
fn a_polled_watch_that_fails_is_reopened_by_the_poll_schedule() {
    let mut watches = watch_set(DiscoveryMode::Poll);
    let watch = open(&mut watches).id;
    let jitter = watches.silent(watch);
    assert!(matches!(jitter, Reconnect::After(delay) if delay < MAX_POLL_JITTER));
    assert_eq!(
        watches.failed(watch, &WatchError::Ended),
        Reconnect::ByPollSchedule
    );
}

#[test]
fn a_watch_on_the_old_address_that_fails_is_not_reopened() {
    for mode in [DiscoveryMode::Push, DiscoveryMode::Poll] {
        let mut watches = watch_set(mode);
        let old = open(&mut watches).id;
        let new = watches.set_address(address(2)).expect("another").id;
        assert_eq!(
            watches.failed(old, &WatchError::Ended),
            Reconnect::Superseded
        );
        let delay = watches.failed(new, &WatchError::Ended);
        assert!(
            matches!(delay, Reconnect::After(delay)
                if (MAX_MOVE_DELAY / 4..MAX_MOVE_DELAY).contains(&delay)),
            "{delay:?}"
        );
    }
}
