//! Unit tests of the statuses and texts that clients receive for requests that are not served.

use super::*;

fn check<const N: usize>(status: StatusCode, errors: [(RequestError, &str); N]) {
    for (error, text) in errors {
        assert_eq!(error.status(), status, "{error:?}");
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn invalid_requests_get_bad_request() {
    use RequestError as E;
    check(
        StatusCode::BAD_REQUEST,
        [
            (E::UnknownClass, "the path names no known class"),
            (E::UnreadableHeader("tenant"), "tenant can't be read"),
            (E::RepeatedHeader("tenant"), "tenant stands there twice"),
            (E::NotANumber("work-hint"), "work-hint is not a number"),
            (E::MissingIdempotencyKey, "Idempotency-Key is missing"),
            (
                E::UnexpectedIdempotencyKey,
                "this class has no Idempotency-Key",
            ),
            (E::MissingRequestId, "Request-Id is missing"),
            (E::MalformedRequestId, "Request-Id is malformed"),
            (E::AmbiguousBodyLength, "the end of the body is unclear"),
            (E::UnexpectedBody, "GET has no body"),
            (E::MissingPath, "the path is missing"),
            (E::Body(BodyError::Truncated), "the body is broken"),
        ],
    );
}

#[test]
fn method_and_body_errors_get_specific_statuses() {
    let expected = Method::GET;
    check(
        StatusCode::METHOD_NOT_ALLOWED,
        [(
            RequestError::MethodNotAllowed { expected },
            "this class is asked for with GET",
        )],
    );
    check(
        StatusCode::REQUEST_TIMEOUT,
        [(BodyError::Stalled.into(), "the body did not come in time")],
    );
    check(
        StatusCode::PAYLOAD_TOO_LARGE,
        [(BodyError::TooLarge.into(), "the body is too large")],
    );
}

#[test]
fn dispatcher_rejections_get_specific_statuses() {
    check(
        StatusCode::SERVICE_UNAVAILABLE,
        [(
            RejectionReason::TooManyOpen.into(),
            "too many requests are open",
        )],
    );
    check(
        StatusCode::CONFLICT,
        [(
            RejectionReason::DuplicateId.into(),
            "Request-Id has been used before",
        )],
    );
}
