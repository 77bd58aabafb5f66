//! Unit tests of the request table, and accessors for other unit tests.

use super::*;
use std::future::pending;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};

impl RequestTable {
    /// Returns the number of open requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Sets the maximum number of open requests.
    pub fn set_max_open(&mut self, max_open: usize) {
        self.max_open = max_open;
    }

    /// Aborts the tasks of all attempts, so that no attempt reports a result.
    pub fn abort_tasks(&mut self) {
        for request in self.requests.values() {
            for attempt in &request.attempts {
                attempt.task.iter().for_each(AbortHandle::abort);
            }
        }
    }
}

const UPSTREAM: UpstreamId = UpstreamId(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a table with one open request, its id, and the receiver of its final response.
fn table_with_a_request() -> (RequestTable, RequestId, oneshot::Receiver<FinalResponse>) {
    let mut table = RequestTable::new(
        1,
        RetentionLimits {
            min: Duration::from_secs(1),
            preferred: Duration::from_secs(1),
            memory_bytes: 1 << 20,
        },
        Rc::default(),
    );
    let allocated = table.allocate_id("a").expect("the request is rejected");
    let response = table.insert(
        allocated,
        Rc::new(ForwardedRequest::without_client(Duration::from_secs(1))),
    );
    (table, allocated.id, response)
}

/// Adds an attempt that runs until it is aborted.
fn add_running_attempt(table: &mut RequestTable, id: RequestId) -> (AttemptId, ConnectionIdleTime) {
    let idle = ConnectionIdleTime::default();
    let request = table.get_mut(id).expect("the request is not open");
    let number = request.add_attempt(UPSTREAM, Some(address(1)), Instant::now(), idle.clone());
    request.set_task(number, spawn_local(pending::<()>()).abort_handle());
    let attempt = AttemptId {
        request: id,
        number,
    };
    (attempt, idle)
}

fn run(test: impl FnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("the runtime can't be built");
    LocalSet::new().block_on(&runtime, async { test() });
}

#[test]
fn request_is_rejected_at_the_open_limit_or_with_a_duplicate_id() {
    run(|| {
        let (mut table, id, _response) = table_with_a_request();
        let (attempt, idle) = add_running_attempt(&mut table, id);
        idle.set(Duration::ZERO);
        assert_eq!(table.allocate_id("b"), Err(RejectionReason::TooManyOpen));
        assert!(table.conclude(id, &mut VecDeque::new()).is_some());
        table.end_attempt(attempt, AttemptOutcome::Cancelled);
        assert_eq!(table.allocate_id("a"), Err(RejectionReason::DuplicateId));
        let next = table.allocate_id("b").map(|allocated| allocated.id);
        assert_eq!(next, Ok(RequestId(id.0 + 1)));
    });
}

#[test]
fn request_stays_until_it_is_concluded_and_its_attempts_have_ended() {
    run(|| {
        let (mut table, id, _response) = table_with_a_request();
        let (first, _) = add_running_attempt(&mut table, id);
        let (second, idle) = add_running_attempt(&mut table, id);
        idle.set(Duration::ZERO);
        let result = table.end_attempt(first, AttemptOutcome::Reset);
        assert!(result.is_some_and(|result| !result.is_request_concluded));
        assert_eq!(table.end_attempt(first, AttemptOutcome::Reset), None);
        assert!(table.conclude(id, &mut VecDeque::new()).is_some());
        assert!(table.conclude(id, &mut VecDeque::new()).is_none());
        table.remove_if_finished(id);
        assert!(table.is_running(second) && table.len() == 1);
        let result = table.end_attempt(second, AttemptOutcome::Success);
        assert!(result.is_some_and(|result| result.is_request_concluded));
        assert_eq!(table.len(), 0);
    });
}

#[test]
fn concluding_a_request_ends_its_unwritten_attempts() {
    run(|| {
        let (mut table, id, _response) = table_with_a_request();
        let (unwritten, _) = add_running_attempt(&mut table, id);
        let (written, idle) = add_running_attempt(&mut table, id);
        idle.set(Duration::ZERO);
        let mut events = VecDeque::new();
        assert!(table.conclude(id, &mut events).is_some());
        let ended: Vec<_> = events.into_iter().collect();
        assert!(matches!(&ended[..], [Event::AttemptEnded(result)]
            if result.attempt == unwritten.number && result.outcome == AttemptOutcome::NotSent));
        assert!(!table.is_running(unwritten) && table.is_running(written));
    });
}

#[test]
fn unwritten_attempt_is_misdirected_if_its_upstream_moved_or_was_removed() {
    run(|| {
        let (mut table, id, _response) = table_with_a_request();
        let (unwritten, _) = add_running_attempt(&mut table, id);
        let (_, idle) = add_running_attempt(&mut table, id);
        idle.set(Duration::ZERO);
        let at = |address| move |_| address;
        let if_unchanged = table.misdirected_attempts(at(Some(address(1))));
        let if_moved = table.misdirected_attempts(at(Some(address(2))));
        let if_removed = table.misdirected_attempts(at(None));
        assert_eq!((if_unchanged, if_moved), (vec![], vec![unwritten]));
        assert_eq!(if_removed, [unwritten]);
    });
}

/// A request that was never sent has not run, so its client may repeat it. One that was sent may
/// have run.
#[test]
fn id_is_retained_only_if_the_request_was_sent() {
    run(|| {
        for is_sent in [false, true] {
            let (mut table, id, _response) = table_with_a_request();
            let (attempt, idle) = add_running_attempt(&mut table, id);
            if is_sent {
                idle.set(Duration::ZERO);
            }
            assert!(table.conclude(id, &mut VecDeque::new()).is_some());
            table.end_attempt(attempt, AttemptOutcome::Cancelled);
            table.remove_if_finished(id);
            assert!(table.is_removed(id));
            let repeated = table.allocate_id("a").map(|_| ());
            let expected = if is_sent {
                Err(RejectionReason::DuplicateId)
            } else {
                Ok(())
            };
            assert_eq!(repeated, expected);
        }
    });
}
