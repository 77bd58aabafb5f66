use super::{ReadAheadBuffer, ReadAheadUsage};
use std::rc::Rc;

/// An idle connection must not keep the memory of requests that were read ahead on it.
#[test]
fn memory_is_released_when_the_buffer_becomes_empty() {
    let usage = Rc::new(ReadAheadUsage::default());
    let buffer = ReadAheadBuffer::new(usage.clone());
    buffer.append(&[1; 100_000]);
    assert_eq!(usage.0.get(), 100_000);
    let mut target = [0; 60_000];
    assert_eq!(buffer.take(&mut target), Some(60_000));
    assert_eq!(buffer.take(&mut target), Some(40_000));
    assert_eq!(usage.0.get(), 0);
    assert_eq!(buffer.bytes.borrow().capacity(), 0);
}

#[test]
fn little_of_the_memory_is_unused() {
    let buffer = ReadAheadBuffer::new(Rc::default());
    for _ in 0..40 {
        buffer.append(&[1; 3000]);
        let bytes = buffer.bytes.borrow();
        assert!(bytes.capacity() <= bytes.len() + bytes.len() / 4 + 4096);
    }
}

#[test]
fn discarded_input_takes_no_memory() {
    let usage = Rc::new(ReadAheadUsage::default());
    let buffer = ReadAheadBuffer::new(usage.clone());
    buffer.append(&[1; 1000]);
    buffer.discard();
    buffer.append(&[1; 1000]);
    assert_eq!(usage.0.get(), 0);
    assert_eq!(buffer.bytes.borrow().capacity(), 0);
    assert_eq!(buffer.take(&mut [0; 10]), Some(0));
}
