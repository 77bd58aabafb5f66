//! Unit tests of the detection of duplicate request ids.

use super::*;
use tokio::time::advance;

const RETENTION: Duration = Duration::from_secs(2);
const LIMITS: RetentionLimits = RetentionLimits {
    min: RETENTION,
    preferred: RETENTION,
    memory_bytes: 1 << 20,
};

fn insert(ids: &mut RecentRequestIds, id: &str) -> Result<(), InsertError> {
    ids.insert(RequestFingerprint::of(id))
}

#[tokio::test(start_paused = true)]
async fn id_is_a_duplicate_for_one_to_two_retention_periods() {
    for age_of_generation in [0, 1000, 1999] {
        let mut ids = RecentRequestIds::new(LIMITS);
        advance(Duration::from_millis(age_of_generation)).await;
        assert_eq!(insert(&mut ids, "a"), Ok(()));
        advance(RETENTION).await;
        assert_eq!(
            insert(&mut ids, "a"),
            Err(InsertError::Duplicate),
            "generation age: {age_of_generation} ms"
        );
        advance(RETENTION).await;
        assert_eq!(
            insert(&mut ids, "a"),
            Ok(()),
            "generation age: {age_of_generation} ms"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn generation_older_than_twice_the_retention_is_dropped() {
    let mut ids = RecentRequestIds::new(LIMITS);
    assert_eq!(insert(&mut ids, "a"), Ok(()));
    assert_eq!(insert(&mut ids, "a"), Err(InsertError::Duplicate));
    advance(2 * RETENTION).await;
    assert_eq!(insert(&mut ids, "a"), Ok(()));
}

#[tokio::test(start_paused = true)]
async fn removed_id_can_be_added_again() {
    let mut ids = RecentRequestIds::new(LIMITS);
    for _ in 0..2 {
        assert_eq!(insert(&mut ids, "a"), Ok(()));
        advance(RETENTION).await;
        // Begins a new generation.
        let _ = insert(&mut ids, "b");
        ids.remove(RequestFingerprint::of("a"));
    }
}

/// Ids are retained for the preferred time only if the memory suffices, and for the minimum in any
/// case.
#[tokio::test(start_paused = true)]
async fn ids_take_limited_memory_and_are_retained_for_the_minimum() {
    let max_ids = 10;
    let mut ids = RecentRequestIds::new(RetentionLimits {
        min: RETENTION,
        preferred: 10 * RETENTION,
        memory_bytes: max_ids * GENERATIONS * BYTES_PER_FINGERPRINT,
    });
    for number in 0..max_ids {
        assert_eq!(insert(&mut ids, &number.to_string()), Ok(()));
    }
    assert_eq!(insert(&mut ids, "a"), Err(InsertError::Full));
    assert_eq!(insert(&mut ids, "0"), Err(InsertError::Duplicate));
    advance(RETENTION).await;
    assert_eq!(insert(&mut ids, "a"), Ok(()));
    assert_eq!(insert(&mut ids, "0"), Err(InsertError::Duplicate));
}
