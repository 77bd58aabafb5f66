//! Unit tests of the message decoder.

use super::*;

/// Decodes `text` in chunks of `chunk_size` bytes and returns the versions of its lists.
fn versions(text: &str, chunk_size: usize) -> Result<Vec<u64>, MessageError> {
    let (mut decoder, mut versions) = (MessageDecoder::default(), Vec::new());
    for chunk in text.as_bytes().chunks(chunk_size) {
        decoder.decode(chunk, |list| versions.push(list.version))?;
    }
    Ok(versions)
}

#[test]
fn messages_are_decoded_across_chunks_lines_and_keep_alives() {
    let text = "\n{\"index\":7,\"snapshot\":true,\"endpoints\":[]}\r\n\n\r\n\
        {\n  \"index\": 8,\n  \"endpoints\": [\n    ],\n\n  \"news\": \"}]\\\\\\\"{\"\n}\n\
        {\"index\":9,\"endpoints\":[]}{\"index\":10,\"endpoints\":[]}\n{\"ind";
    for chunk_size in 1..text.len() {
        assert_eq!(
            versions(text, chunk_size).ok().as_deref(),
            Some(&[7, 8, 9, 10][..]),
            "chunks of {chunk_size} bytes"
        );
    }
}

#[test]
fn message_that_is_not_an_endpoint_list_is_malformed() {
    for text in [
        "nonsense\n",
        "{}\n",
        "]\n",
        "7\n",
        "\"index\"",
        "{\"index\":7,\"endp\n{\"index\":8",
    ] {
        assert!(
            versions(text, 3).is_err_and(|error| error.to_string().starts_with("malformed")),
            "{text:?} is not reported as malformed"
        );
    }
}

/// An incomplete message does not show that a watch is alive, because its rest may never be
/// received.
#[test]
fn only_complete_messages_and_empty_lines_show_that_a_watch_is_alive() {
    let mut decoder = MessageDecoder::default();
    let mut is_alive = |text: &str| decoder.decode(text.as_bytes(), |_| ());
    let cases = [
        ("\n", true),
        ("{\"index\":7,", false),
        ("\n\n", false),
        ("\"endpoints\":[]}", true),
    ];
    for (text, expected) in cases {
        assert_eq!(is_alive(text).ok(), Some(expected), "after {text:?}");
    }
}
