//! Unit tests of the memory budget for reading ahead.

use super::*;
use crate::memory::MemoryLimit;

/// The total memory of a process whose budget is enough for two large bodies, in bytes.
const PROCESS_BYTES: usize = 2 * READ_AHEAD_BYTES * MEMORY_DIVISOR;

#[test]
fn a_body_reserves_at_most_its_length() {
    let budget = MemoryBudget::new(PROCESS_BYTES, MemoryLimit::new(1 << 40));
    let reservations = [Some(212), Some(32 << 20), None].map(|length| budget.reserve(length));
    assert_eq!(budget.reserved_bytes(), 212 + READ_AHEAD_BYTES);
    assert_eq!(budget.shortages(), 1);
    let limits = reservations.each_ref().map(ReadAheadReservation::max_bytes);
    assert_eq!(
        limits,
        [
            READ_AHEAD_BYTES,
            READ_AHEAD_BYTES,
            UNRESERVED_READ_AHEAD_BYTES
        ]
    );
    drop(reservations);
    assert_eq!(budget.reserved_bytes(), 0);
}

/// A short body must not wait, or be streamed, because others hold the memory.
#[test]
fn a_short_body_may_be_read_completely_while_no_memory_is_free() {
    let budget = MemoryBudget::new(PROCESS_BYTES, MemoryLimit::new(1 << 40));
    let _holders = [budget.reserve(None), budget.reserve(None)];
    assert_eq!(budget.reserved_bytes(), 2 * READ_AHEAD_BYTES);
    assert!(budget.reserve(Some(212)).max_bytes() >= 212);
}

/// Memory must not be counted as free while the bytes still wait to be written to a connection.
#[test]
fn memory_is_released_with_the_last_clone_of_the_bytes_it_is_reserved_for() {
    let budget = MemoryBudget::new(PROCESS_BYTES, MemoryLimit::new(1 << 40));
    let mut reservation = budget.reserve(None);
    let parts = ["one", "three"].map(|part| reservation.attach(Bytes::from(part)));
    drop(reservation);
    assert_eq!(budget.reserved_bytes(), "one".len() + "three".len());
    let [first, second] = parts;
    let first_being_written = first.clone();
    drop((first, second));
    assert_eq!(budget.reserved_bytes(), "one".len());
    assert_eq!(&first_being_written[..], b"one");
    drop(first_being_written);
    assert_eq!(budget.reserved_bytes(), 0);
}

#[test]
fn bytes_without_reserved_memory_are_returned_unchanged() {
    let budget = MemoryBudget::new(PROCESS_BYTES, MemoryLimit::new(1 << 40));
    let _holders = [budget.reserve(None), budget.reserve(None)];
    for mut reservation in [budget.reserve(None), ReadAheadReservation::none()] {
        assert_eq!(&reservation.attach(Bytes::from("part"))[..], b"part");
    }
    assert_eq!(budget.reserved_bytes(), 2 * READ_AHEAD_BYTES);
}

#[test]
fn streamed_bodies_share_their_memory_equally() {
    let budget = MemoryBudget::new(PROCESS_BYTES, MemoryLimit::new(1 << 40));
    let first = budget.begin_stream();
    let alone = first.max_bytes();
    let others = [budget.begin_stream(), budget.begin_stream()];
    assert_eq!(first.max_bytes(), alone / 3);
    drop(others);
    assert_eq!(first.max_bytes(), alone);
}
