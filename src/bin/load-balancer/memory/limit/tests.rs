use super::{MemoryLimit, MemoryPressure, MemoryUsage};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{advance, timeout};

const MEBIBYTE: usize = 1 << 20;

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(0) };
    static RESIDENT: Cell<Option<usize>> = const { Cell::new(None) };
}

/// Returns the limit of a process with 32 MiB whose memory the functions below set.
fn limit() -> Rc<MemoryLimit> {
    set_usage(0, None);
    let usage = MemoryUsage {
        allocated: || ALLOCATED.get(),
        resident: || RESIDENT.get(),
    };
    MemoryLimit::with_usage(32 * MEBIBYTE, usage)
}

fn set_usage(allocated: usize, resident: Option<usize>) {
    ALLOCATED.set(allocated);
    RESIDENT.set(resident);
}

#[test]
fn pressure_rises_with_what_is_allocated() {
    let limit = limit();
    assert_eq!(limit.pressure(), MemoryPressure::None);
    set_usage(limit.heap_limit_bytes() * 9 / 10, None);
    assert_eq!(limit.pressure(), MemoryPressure::High);
    set_usage(limit.heap_limit_bytes(), None);
    assert_eq!(limit.pressure(), MemoryPressure::Critical);
}

#[test]
fn heap_limit_leaves_room_for_the_rest_of_the_process() {
    let unknown_resident = limit().heap_limit_bytes();
    set_usage(0, Some(MEBIBYTE));
    let limit = MemoryLimit::new(32 * MEBIBYTE);
    assert_eq!(limit.heap_limit_bytes(), 28 * MEBIBYTE);
    assert!(unknown_resident < limit.heap_limit_bytes());
    let tiny = MemoryLimit::new(1);
    assert_eq!(tiny.heap_limit_bytes(), 8 * MEBIBYTE);
}

#[tokio::test(start_paused = true)]
async fn limit_is_lowered_when_nearly_all_memory_is_resident() {
    let limit = limit();
    set_usage(16 * MEBIBYTE, Some(29 * MEBIBYTE));
    assert_eq!(limit.pressure(), MemoryPressure::Critical);
    // The allocator keeps what has been freed, so the same resident memory lowers it no further.
    let lowered = limit.heap_limit_bytes();
    set_usage(14 * MEBIBYTE, Some(29 * MEBIBYTE));
    advance(Duration::from_secs(1)).await;
    assert_eq!(limit.pressure(), MemoryPressure::None);
    assert_eq!(limit.heap_limit_bytes(), lowered);
    set_usage(15 * MEBIBYTE, Some(30 * MEBIBYTE));
    advance(Duration::from_secs(1)).await;
    assert_eq!(limit.pressure(), MemoryPressure::Critical);
}

#[test]
fn two_processes_share_the_memory() {
    let limit = limit();
    let alone = limit.heap_limit_bytes();
    limit.set_process_count(2);
    assert!(limit.heap_limit_bytes() < alone / 2);
    limit.set_process_count(1);
    assert_eq!(limit.heap_limit_bytes(), alone);
}

#[tokio::test(start_paused = true)]
async fn check_reports_a_shortage() {
    let limit = limit();
    let is_reported = || timeout(Duration::from_secs(1), limit.shortage());
    assert_eq!(limit.check(), MemoryPressure::None);
    assert!(is_reported().await.is_err());
    set_usage(limit.heap_limit_bytes(), None);
    assert_eq!(limit.check(), MemoryPressure::Critical);
    assert!(is_reported().await.is_ok());
}
