//! Unit tests of the silence timer.

use super::*;
use std::cell::Cell;
use std::pin::pin;

/// A chunk that is received in the turn in which the timer expires must not suppress the report of
/// the silence after it.
#[tokio::test(start_paused = true)]
async fn silence_after_a_chunk_at_the_timeout_is_reported() {
    let reports = Cell::new(0);
    let report = || reports.set(reports.get() + 1);
    let second = Duration::from_secs(1);
    let mut timer = SilenceTimer::new(2 * second);
    timer.wait(&mut pin!(sleep(second)), report).await;
    tokio::time::advance(2 * second).await;
    timer.wait(&mut std::future::ready(()), report).await;
    assert_eq!(reports.get(), 0);
    // No data is received for a second.
    timer.wait(&mut pin!(sleep(second)), report).await;
    assert_eq!(reports.get(), 1);
    timer.wait(&mut pin!(sleep(second)), report).await;
    assert_eq!(reports.get(), 1, "one report per silence");
    timer.restart(2 * second);
    timer.wait(&mut pin!(sleep(3 * second)), report).await;
    assert_eq!(reports.get(), 2);
}
