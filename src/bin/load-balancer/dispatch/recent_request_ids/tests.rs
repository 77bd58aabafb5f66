//! Unit tests of the detection of duplicate request ids.

use super::*;
use tokio::time::advance;

const RETENTION: Duration = Duration::from_secs(2);

#[tokio::test(start_paused = true)]
async fn id_is_a_duplicate_for_one_to_two_retention_periods() {
    for age_of_generation in [0, 1000, 1999] {
        let mut ids = RecentRequestIds::new(RETENTION);
        advance(Duration::from_millis(age_of_generation)).await;
        assert!(ids.insert("a".into()));
        advance(RETENTION).await;
        assert!(
            !ids.insert("a".into()),
            "generation age: {age_of_generation} ms"
        );
        advance(RETENTION).await;
        assert!(
            ids.insert("a".into()),
            "generation age: {age_of_generation} ms"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn generation_older_than_twice_the_retention_is_dropped() {
    let mut ids = RecentRequestIds::new(RETENTION);
    assert!(ids.insert("a".into()));
    assert!(!ids.insert("a".into()));
    advance(2 * RETENTION).await;
    assert!(ids.insert("a".into()));
}
