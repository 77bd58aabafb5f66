//! Requests that are rejected before anything is forwarded: malformed requests, and requests whose
//! id is in use.

mod support;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

#[test]
fn an_invalid_request_is_rejected_and_not_forwarded() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    // One byte more than the largest body that is accepted, 32 MiB.
    let oversized = format!("{REQUEST_ID}Content-Length: 33554433\r\n");
    let cases = [
        ("/other", REQUEST_ID.to_string(), "", 400),
        ("/read", String::new(), "", 400),
        ("/hold", REQUEST_ID.to_string(), "", 400),
        (
            "/read",
            format!("{REQUEST_ID}Request-Timeout: soon\r\n"),
            "",
            400,
        ),
        (
            "/read",
            format!("{REQUEST_ID}Request-Timeout: -1\r\n"),
            "",
            400,
        ),
        ("/read", format!("{REQUEST_ID}Work-Hint: inf\r\n"), "", 400),
        ("/read", format!("{REQUEST_ID}no colon\r\n"), "", 400),
        ("/pay", oversized, "", 413),
    ];
    for (path, headers, body, status) in cases {
        let mut client = program.client();
        client.send(path, &headers, body).unwrap();
        assert_eq!(
            client.receive().unwrap().unwrap().status(),
            status,
            "{path} {headers}"
        );
    }
    assert!(upstream.seen.try_recv().is_err());
}

/// Invalid requests, each with the status of its rejection. The test appends a valid request to
/// each of them.
const INVALID_REQUESTS: [(u16, &str); 12] = [
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff04\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    (
        400,
        "POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nRequest-Id: ff05\r\n\
         content-length:4\r\n\r\n0\r\n\r\n",
    ),
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff05\r\n\
         Transfer-Encoding: gzip, chunked, x\r\n\r\n0\r\n\r\n",
    ),
    (400, "POST /pay HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff06\r\nContent-Length: -1\r\n\r\n",
    ),
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff07\r\nContent-Length: 1\r\n\
         Content-Length: 2\r\n\r\n",
    ),
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff08\r\nRequest-Id: ff09\r\n\r\n",
    ),
    (405, "GET /pay HTTP/1.1\r\nRequest-Id: ff0a\r\n\r\n"),
    (
        400,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff0b\r\nIdempotency-Key: k\r\n\r\n",
    ),
    (
        400,
        "GET /read HTTP/1.1\r\nRequest-Id: ff0c\r\nContent-Length: 1\r\n\r\nx",
    ),
    (
        413,
        "POST /pay HTTP/1.1\r\nRequest-Id: ff0d\r\nContent-Length: 62914560\r\n\r\n",
    ),
    (400, "\0\0nonsense\r\n\r\n"),
];

/// The connection is closed after a 4xx: the bytes after a rejected request cannot be framed, and a
/// request that is hidden in its body must not be served.
#[test]
fn a_rejected_request_ends_its_connection() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let hidden = "POST /pay HTTP/1.1\r\nRequest-Id: ff03\r\nContent-Length: 1\r\n\r\nx";
    let oversized_head = format!("POST /pay HTTP/1.1\r\nNews: {}", "x".repeat(60_000));
    let cases = INVALID_REQUESTS.map(|(status, start)| (status, format!("{start}{hidden}")));
    for (status, text) in cases.into_iter().chain([(431, oversized_head)]) {
        let mut client = program.client();
        client.write(&text);
        assert_eq!(
            client.receive().unwrap().map(|response| response.status()),
            Some(status),
            "{text:.99}"
        );
        assert!(client.is_closed_by_peer());
    }
    assert!(upstream.seen.try_recv().is_err());
}

/// A second request with the same id would run at the same time as the first.
#[test]
fn a_request_whose_id_is_in_flight_is_rejected() {
    let upstream = StubUpstream::start(StubResponse::NoResponse);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let (mut one, mut two) = (program.client(), program.client());
    one.send(
        "/pay",
        "Request-Id: ff10\r\nRequest-Timeout: 2.0\r\n",
        "coins",
    )
    .unwrap();
    upstream.next();
    assert_eq!(
        two.request("/pay", "Request-Id: ff10\r\n", "coins")
            .status(),
        409
    );
    assert_eq!(one.receive().unwrap().unwrap().status(), 502);
    assert!(upstream.seen.try_recv().is_err());
}
