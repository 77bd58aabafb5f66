use super::*;

#[test]
fn head_after_the_end_of_another_request_is_found() {
    let recent =
        b"x\r\n\r\nPOST /pay HTTP/1.1\r\nREQUEST-ID: a1 \r\nContent-Length: 5\r\n\r\ncoins";
    let head = RawHead::find(recent, "a1").expect("the head of request a1 was not found");
    assert!(head.has_content_length);
    assert_eq!(head.trailing_bytes, 5);
}

#[test]
fn content_length_of_another_head_is_ignored() {
    let recent = b"POST /pay HTTP/1.1\r\nContent-Length: 0\r\nRequest-Id: a1\r\n\r\n\
        POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nRequest-Id: a2\r\n\r\n0\r\n\r\n";
    let first = RawHead::find(recent, "a1").expect("the head of request a1 was not found");
    let second = RawHead::find(recent, "a2").expect("the head of request a2 was not found");
    assert!(first.has_content_length);
    assert!(!second.has_content_length);
    assert_eq!(second.trailing_bytes, 5);
}

#[test]
fn incomplete_head_or_other_request_id_is_not_found() {
    for recent in ["", "Request-Id: a1\r\n", "Request-Id: a2\r\n\r\n"] {
        assert!(
            RawHead::find(recent.as_bytes(), "a1").is_none(),
            "head of request a1 found in {recent:?}"
        );
    }
}
