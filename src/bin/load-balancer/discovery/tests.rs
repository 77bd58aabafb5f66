//! Unit tests of the reading of lists.

use super::*;

/// What comes out of this text, cut into pieces of this size.
fn indexes(text: &str, size: usize) -> Result<Vec<u64>, String> {
    let (mut messages, mut seen) = (Messages::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        messages.take(piece, |list| seen.push(list.index))?;
    }
    Ok(seen)
}

#[test]
fn objects_may_come_in_pieces_and_over_several_lines_with_empty_lines_between_them() {
    let text = "\n{\"index\":7,\"snapshot\":true,\"endpoints\":[]}\r\n\n\r\n\
        {\n  \"index\": 8,\n  \"endpoints\": [\n    ],\n\n  \"news\": \"}]\\\\\\\"{\"\n}\n\
        {\"index\":9,\"endpoints\":[]}{\"index\":10,\"endpoints\":[]}\n{\"ind";
    for size in 1..text.len() {
        assert_eq!(
            indexes(text, size).as_deref(),
            Ok(&[7, 8, 9, 10][..]),
            "{size}"
        );
    }
}

#[test]
fn what_is_no_list_is_told_so() {
    for text in [
        "nonsense\n",
        "{}\n",
        "]\n",
        "7\n",
        "\"index\"",
        "{\"index\":7,\"endp\n{\"index\":8",
    ] {
        assert!(
            indexes(text, 3).is_err_and(|why| why.starts_with("malformed")),
            "{text}"
        );
    }
}

/// Guards against taking half a list for a sign of life: nothing whole has come.
#[test]
fn only_what_is_whole_shows_that_a_watch_lives() {
    let mut messages = Messages::default();
    let mut lives = |text: &str| messages.take(text.as_bytes(), |_| ());
    let cases = [
        ("\n", true),
        ("{\"index\":7,", false),
        ("\n\n", false),
        ("\"endpoints\":[]}", true),
    ];
    for (text, lived) in cases {
        assert_eq!(lives(text), Ok(lived), "{text}");
    }
}

/// Guards against silence that is never told because a piece came in the very turn in which it was due.
#[tokio::test(start_paused = true)]
async fn silence_is_told_though_something_came_when_it_was_due() {
    let told = std::cell::Cell::new(0);
    let tell = || told.set(told.get() + 1);
    let second = Duration::from_secs(1);
    let mut patience = SilenceTimer::new(2 * second);
    patience.wait(&mut pin!(sleep(second)), tell).await;
    tokio::time::advance(2 * second).await;
    patience.wait(&mut std::future::ready(()), tell).await;
    assert_eq!(told.get(), 0);
    // Nothing more comes for a while.
    patience.wait(&mut pin!(sleep(second)), tell).await;
    assert_eq!(told.get(), 1);
    patience.wait(&mut pin!(sleep(second)), tell).await;
    assert_eq!(told.get(), 1, "once is enough");
    patience.renew(2 * second);
    patience.wait(&mut pin!(sleep(3 * second)), tell).await;
    assert_eq!(told.get(), 2);
}
