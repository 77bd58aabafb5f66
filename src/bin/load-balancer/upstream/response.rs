//! Classifies the responses of upstreams by status and reads their bodies.

use super::headers::lists_token;
use super::AttemptError;
use crate::body::{
    Download, MemoryBudget, ReadAheadReservation, MAX_BODY_BYTES, MAX_RESPONSE_DELAY,
    READ_AHEAD_BYTES,
};
use crate::socket::Socket;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Maximum size of a response's head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum number of bytes that may precede the first part of a body (interim responses and the
/// head), or each further part (the size of a chunk and its extensions).
pub(super) const MAX_OVERHEAD_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Time before the deadline of an attempt at which a response that has begun is passed on, even if
/// it might become complete.
const HANDOVER_MARGIN: Duration = Duration::from_millis(20);

/// A successful response.
pub struct UpstreamResponse {
    /// All headers of the upstream's response, hop-by-hop headers included.
    pub headers: HeaderMap,
    /// The body, read completely or streamed.
    pub body: ResponseContent,
}

/// The body of a response.
pub enum ResponseContent {
    /// A body that has been read completely.
    Complete(Bytes),
    /// A body whose first part has been read and whose rest is streamed.
    Streamed(Box<Download>),
}

/// How a connection is used after a response.
pub(super) enum Disposition {
    /// The response is complete, and the connection can carry another request.
    Reuse,
    /// The connection is closed.
    Close,
    /// The connection carries the rest of the body. If `can_reuse` is set, it can carry another
    /// request once `completed` is notified.
    Streaming {
        completed: oneshot::Receiver<()>,
        can_reuse: bool,
    },
}

impl Disposition {
    /// Returns this disposition, without reuse if the upstream doesn't keep the connection alive.
    fn with_keep_alive(self, keep_alive: bool) -> Self {
        if keep_alive {
            return self;
        }
        match self {
            Disposition::Reuse | Disposition::Close => Disposition::Close,
            Disposition::Streaming { completed, .. } => Disposition::Streaming {
                completed,
                can_reuse: false,
            },
        }
    }
}

/// A response or the error that it is mapped to, and how its connection is used next.
pub(super) struct ReceivedResponse {
    pub(super) response: Result<UpstreamResponse, AttemptError>,
    pub(super) disposition: Disposition,
}

/// Reads the body of a response, or the first part of a large one, and classifies the response.
/// `deadline` is that of the attempt.
///
/// # Errors
///
/// Returns the error of the connection if it fails while the body is read.
pub(super) async fn read_response(
    socket: &Socket,
    memory: &MemoryBudget,
    response: Response<Incoming>,
    deadline: Instant,
) -> hyper::Result<ReceivedResponse> {
    let (head, mut body) = response.into_parts();
    if !is_framed(&head) {
        return Ok(ReceivedResponse {
            response: Err(AttemptError::InvalidResponse),
            disposition: Disposition::Close,
        });
    }
    let keep_alive =
        head.version == Version::HTTP_11 && !lists_token(&head.headers, CONNECTION, "close");
    let (response, disposition) = match classify(head.status, &head.headers) {
        Ok(()) => {
            let received = read_content(socket, memory, body, deadline).await?;
            let response = received.content.map(|body| UpstreamResponse {
                headers: head.headers,
                body,
            });
            (response, received.disposition)
        }
        Err(error) => (Err(error), discard_body(socket, &mut body).await?),
    };
    Ok(ReceivedResponse {
        response,
        disposition: disposition.with_keep_alive(keep_alive),
    })
}

/// Returns whether the head unambiguously defines where the body ends. Otherwise a truncated body
/// could be taken for a complete one, or the next response for a part of this body.
fn is_framed(head: &Parts) -> bool {
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let mut lengths = head.headers.get_all(CONTENT_LENGTH).iter();
    let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let is_number = |value: &HeaderValue| value.as_bytes().iter().all(u8::is_ascii_digit);
    match (
        lengths.next(),
        lengths.next(),
        codings.next(),
        codings.next(),
    ) {
        (Some(length), None, None, None) => is_number(length),
        (None, None, Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked"),
        // The body ends when the connection closes, which `Connection: close` has to announce.
        (None, None, None, None) => lists_token(&head.headers, CONNECTION, "close"),
        _ => false,
    }
}

/// Maps the status of a response to an [`AttemptError`]; only 200 is a success. A 503 or 504 with
/// `Not-Started: 1` means that the upstream rejected the request without starting it.
fn classify(status: StatusCode, headers: &HeaderMap) -> Result<(), AttemptError> {
    let is_marked_not_started = headers.get("not-started").is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Ok(()),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_marked_not_started => {
            Err(AttemptError::Rejected)
        }
        _ => Err(AttemptError::ErrorStatus),
    }
}

/// The body of a successful response, and how its connection is used next.
struct ReceivedContent {
    content: Result<ResponseContent, AttemptError>,
    disposition: Disposition,
}

/// Reads the body of a successful response. Only the first part of a large body is read, so that
/// the client receives this part without waiting for the rest. Less of a smaller body is read if
/// too little memory is free for reading it ahead.
async fn read_content(
    socket: &Socket,
    memory: &MemoryBudget,
    mut body: Incoming,
    deadline: Instant,
) -> hyper::Result<ReceivedContent> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Ok(ReceivedContent {
            content: Err(AttemptError::InvalidResponse),
            disposition: Disposition::Close,
        });
    }
    let is_large = length.is_some_and(|length| length > READ_AHEAD_BYTES as u64);
    let mut reservation = if is_large {
        ReadAheadReservation::none()
    } else {
        memory.reserve(length)
    };
    let max_bytes = reservation.max_bytes();
    let prefix = read_body_prefix(socket, &mut body, length, max_bytes, deadline).await?;
    if prefix.is_complete {
        return Ok(ReceivedContent {
            content: Ok(ResponseContent::Complete(concatenate(prefix.parts))),
            disposition: Disposition::Reuse,
        });
    }
    // From here on the download limits the rest of the body: its total size, and the pauses between
    // its parts.
    socket.clear_read_limit();
    let (completion, completed) = oneshot::channel();
    let parts = prefix.parts.into_iter();
    let read_ahead = parts.map(|part| reservation.attach(part)).collect();
    let download = Download::new(read_ahead, body, length, completion);
    Ok(ReceivedContent {
        content: Ok(ResponseContent::Streamed(Box::new(download))),
        disposition: Disposition::Streaming {
            completed,
            can_reuse: true,
        },
    })
}

/// The first parts of a body, or all parts if `is_complete` is set.
struct BodyPrefix {
    parts: VecDeque<Bytes>,
    is_complete: bool,
}

/// Reads the part of a body that must be received before the response is passed on: all of it, or
/// at least one part and more than `max_bytes` bytes. If the length of the body is unknown, reading
/// also ends after [`MAX_RESPONSE_DELAY`], or shortly before `deadline`, but not before the first
/// part has been read.
async fn read_body_prefix(
    socket: &Socket,
    body: &mut Incoming,
    length: Option<u64>,
    max_bytes: usize,
    deadline: Instant,
) -> hyper::Result<BodyPrefix> {
    let streaming_deadline = (Instant::now() + MAX_RESPONSE_DELAY).min(deadline - HANDOVER_MARGIN);
    let (mut parts, mut size) = (VecDeque::new(), 0);
    while size <= max_bytes {
        let frame = if length.is_none() && size > 0 {
            match timeout_at(streaming_deadline, next_frame(socket, body)).await {
                Ok(frame) => frame,
                Err(_) => break,
            }
        } else {
            next_frame(socket, body).await
        };
        let Some(frame) = frame else {
            return Ok(BodyPrefix {
                parts,
                is_complete: true,
            });
        };
        if let Ok(data) = frame?.into_data() {
            size += data.len();
            parts.push_back(data);
        }
    }
    Ok(BodyPrefix {
        parts,
        is_complete: false,
    })
}

fn concatenate(parts: VecDeque<Bytes>) -> Bytes {
    let mut body = BytesMut::new();
    for part in parts {
        body.extend_from_slice(&part);
    }
    body.freeze()
}

/// Discards the body of an error response, so that the connection can be reused. The connection is
/// closed instead if the body exceeds [`READ_AHEAD_BYTES`].
async fn discard_body(socket: &Socket, body: &mut Incoming) -> hyper::Result<Disposition> {
    let mut size = 0;
    while let Some(frame) = next_frame(socket, body).await {
        size += frame?.data_ref().map_or(0, Bytes::len);
        if size > READ_AHEAD_BYTES {
            return Ok(Disposition::Close);
        }
    }
    Ok(Disposition::Reuse)
}

/// Returns the next part of a body. The read limit starts again with each part: without a limit,
/// hyper would read an endless chunk header without returning anything.
async fn next_frame(socket: &Socket, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
    socket.set_read_limit(MAX_OVERHEAD_BYTES);
    body.frame().await
}
