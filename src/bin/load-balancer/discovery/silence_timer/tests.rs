//! Unit tests of the silence timer.

use super::*;
use std::cell::Cell;
use std::pin::pin;

/// A chunk takes precedence over the report of silence if it is received in the event loop turn in
/// which the timer expires. It must not suppress the report if the silence continues afterwards.
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
    // The timer has expired and was not restarted, so the next wait without data is a silence.
    timer.wait(&mut pin!(sleep(second)), report).await;
    assert_eq!(reports.get(), 1);
    timer.wait(&mut pin!(sleep(second)), report).await;
    assert_eq!(reports.get(), 1, "the silence was reported again");
    timer.restart(2 * second);
    timer.wait(&mut pin!(sleep(3 * second)), report).await;
    assert_eq!(reports.get(), 2);
}
