use super::{ClientInput, MAX_RECENT_BYTES};

#[test]
fn bytes_of_a_body_are_not_stored_and_those_behind_it_are() {
    let input = ClientInput::new(true);
    input.record_bytes(b"headbo", 6);
    input.skip_until(8, 6);
    assert_eq!(input.recent_bytes().capacity(), 0);
    input.record_bytes(b"d", 7);
    input.record_bytes(b"ynext", 12);
    assert_eq!(*input.recent_bytes(), b"next");
}

#[test]
fn bytes_behind_a_body_that_was_read_with_its_head_are_kept() {
    let input = ClientInput::new(true);
    input.record_bytes(b"headbodynext", 12);
    input.skip_until(8, 12);
    assert_eq!(*input.recent_bytes(), b"next");
}

#[test]
fn recent_bytes_take_no_more_memory_than_their_maximum() {
    let input = ClientInput::new(true);
    for reads in 1..=20 {
        input.record_bytes(&[b'x'; 1000], reads * 1000);
        assert!(input.recent_bytes().capacity() <= MAX_RECENT_BYTES);
    }
    assert_eq!(input.recent_bytes().len(), MAX_RECENT_BYTES);
}
