use super::*;

/// Clients and the tests of other programs rely on these.
#[test]
fn each_error_has_its_status_and_text() {
    let expected = Method::GET;
    for (error, status, text) in [
        (
            RequestError::UnknownClass,
            400,
            "the path names no known class",
        ),
        (
            RequestError::MethodNotAllowed { expected },
            405,
            "this class is asked for with GET",
        ),
        (
            RequestError::UnreadableHeader("tenant"),
            400,
            "tenant can't be read",
        ),
        (
            RequestError::RepeatedHeader("tenant"),
            400,
            "tenant stands there twice",
        ),
        (
            RequestError::NotANumber("work-hint"),
            400,
            "work-hint is not a number",
        ),
        (
            RequestError::MissingIdempotencyKey,
            400,
            "Idempotency-Key is missing",
        ),
        (
            RequestError::UnexpectedIdempotencyKey,
            400,
            "this class has no Idempotency-Key",
        ),
        (RequestError::MissingRequestId, 400, "Request-Id is missing"),
        (
            RequestError::MalformedRequestId,
            400,
            "Request-Id is malformed",
        ),
        (
            RequestError::AmbiguousBodyLength,
            400,
            "the end of the body is unclear",
        ),
        (RequestError::UnexpectedBody, 400, "GET has no body"),
        (RequestError::MissingPath, 400, "the path is missing"),
        (BodyError::Truncated.into(), 400, "the body is broken"),
        (
            BodyError::Stalled.into(),
            408,
            "the body did not come in time",
        ),
        (BodyError::TooLarge.into(), 413, "the body is too large"),
        (
            RejectionReason::TooManyOpen.into(),
            503,
            "too many requests are open",
        ),
        (
            RejectionReason::DuplicateId.into(),
            409,
            "Request-Id has been used before",
        ),
    ] {
        assert_eq!(error.status().as_u16(), status, "{error:?}");
        assert_eq!(error.to_string(), text, "{error:?}");
    }
}
