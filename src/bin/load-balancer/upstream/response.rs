//! Responses of upstreams: their classification, and how their bodies are read.

use super::headers::lists_token;
use super::AttemptError;
use crate::body::{Download, MemoryBudget, MAX_BODY_BYTES, MAX_RESPONSE_DELAY, READ_AHEAD_BYTES};
use crate::socket::Socket;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};
use std::collections::VecDeque;
use tokio::sync::oneshot;
use tokio::time::{timeout_at, Instant};

/// Largest head of a response, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes that may come before the first part of a body (the head and interim responses), and
/// before each further part (a chunk's size and its extensions).
pub(super) const MAX_OVERHEAD_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// A successful response.
pub struct UpstreamResponse {
    /// All headers that the upstream sent.
    pub headers: HeaderMap,
    /// The body.
    pub body: ResponseContent,
}

/// The body of a response.
pub enum ResponseContent {
    /// A body that has been read completely.
    Complete(Bytes),
    /// A body whose beginning has been read.
    Streamed(Box<Download>),
}

/// What becomes of a connection after a response.
pub(super) enum Disposition {
    Reuse,
    Close,
    /// It carries the rest of the body. If `reuse` is set, it can be reused once `completed` is
    /// notified.
    Streaming {
        completed: oneshot::Receiver<()>,
        can_reuse: bool,
    },
}

impl Disposition {
    /// Rules out reuse if the upstream doesn't keep the connection alive.
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

/// A response, or the error that it stands for, and what becomes of its connection.
pub(super) struct ReceivedResponse {
    pub(super) response: Result<UpstreamResponse, AttemptError>,
    pub(super) disposition: Disposition,
}

/// Reads a response, or the beginning of a large one.
///
/// # Errors
///
/// Those of the connection while the body is read.
pub(super) async fn read_response(
    socket: &Socket,
    memory: &MemoryBudget,
    response: Response<Incoming>,
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
            let received = read_content(socket, memory, body).await?;
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

/// True if the head says unambiguously where the body ends. Otherwise a part of the body could be
/// taken for all of it, or the next response for a part of this one.
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
        // The body ends with the connection, which has to be declared.
        (None, None, None, None) => lists_token(&head.headers, CONNECTION, "close"),
        _ => false,
    }
}

/// Maps a status to the error that it stands for.
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

/// The body of a successful response, and what becomes of its connection.
struct ReceivedContent {
    content: Result<ResponseContent, AttemptError>,
    disposition: Disposition,
}

/// Reads the body of a successful response, or the beginning of a large one, as its client is
/// waiting for that.
async fn read_content(
    socket: &Socket,
    memory: &MemoryBudget,
    mut body: Incoming,
) -> hyper::Result<ReceivedContent> {
    let length = body.size_hint().exact();
    if length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Ok(ReceivedContent {
            content: Err(AttemptError::InvalidResponse),
            disposition: Disposition::Close,
        });
    }
    let permit = memory.try_acquire();
    let is_large =
        permit.is_none() || length.is_some_and(|length| length > READ_AHEAD_BYTES as u64);
    let prefix = read_body_prefix(socket, &mut body, length, is_large).await?;
    if prefix.is_complete {
        return Ok(ReceivedContent {
            content: Ok(ResponseContent::Complete(concatenate(prefix.parts))),
            disposition: Disposition::Reuse,
        });
    }
    // From here on the stall timer limits the rest of the body.
    socket.clear_read_limit();
    let (completion, completed) = oneshot::channel();
    let download = Download::new(prefix.parts, body, length, completion, permit);
    Ok(ReceivedContent {
        content: Ok(ResponseContent::Streamed(Box::new(download))),
        disposition: Disposition::Streaming {
            completed,
            can_reuse: true,
        },
    })
}

/// The first parts of a body, or all of them.
struct BodyPrefix {
    parts: VecDeque<Bytes>,
    is_complete: bool,
}

/// Reads as much of a body as is held back: the first part of a large one, else up to
/// [`READ_AHEAD_BYTES`], and of one of unknown length what comes within [`MAX_RESPONSE_DELAY`].
async fn read_body_prefix(
    socket: &Socket,
    body: &mut Incoming,
    length: Option<u64>,
    is_large: bool,
) -> hyper::Result<BodyPrefix> {
    let streaming_deadline = Instant::now() + MAX_RESPONSE_DELAY;
    let (mut parts, mut size) = (VecDeque::new(), 0);
    while size <= READ_AHEAD_BYTES && !(is_large && size > 0) {
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

/// Reads the body of an error, so that the connection can be reused; a large one is not read.
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

/// The next part of a body. The read limit applies anew to each part, as hyper would read an
/// endless chunk header without passing anything on.
async fn next_frame(socket: &Socket, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
    socket.set_read_limit(MAX_OVERHEAD_BYTES);
    body.frame().await
}
