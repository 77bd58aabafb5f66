//! Reads and validates requests: first the head, then the part of the body that is read ahead.

use crate::body::{BodyError, Upload};
use crate::dispatch::ValidatedRequest;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::raw_head::RawHead;
use crate::server::request_error::RequestError;
use crate::server::timeouts::REQUEST_ARRIVAL_TIMEOUT;
use crate::server::Server;
use crate::socket::{RequestArrival, Socket};
use crate::upstream::{end_to_end_headers, ForwardedRequest};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request};
use load_balancer::Idempotency;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

const MAX_REQUEST_ID_BYTES: usize = 128;

/// The contents of a valid request head.
struct ValidatedHead {
    request_id: String,
    /// Index in the settings' list of classes.
    class: usize,
    /// Index in the settings' list of tenants; one past the last for a tenant not in the list.
    tenant: usize,
    /// How long the client waits for the response.
    timeout: Duration,
    /// The work that the client expects the request to cause, in seconds.
    cost_hint: Option<f64>,
    framing: BodyFraming,
}

/// Position and encoding of a request's body in the bytes of its connection.
struct BodyFraming {
    /// Offset of the body in the bytes received on the connection; `None` if the head is no longer
    /// among the stored bytes.
    start_offset: Option<usize>,
    is_chunked: bool,
}

impl Server {
    /// Returns the index of the class that a request's path names.
    pub(super) fn class_index(&self, path: &str) -> Option<usize> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.dispatcher
            .borrow()
            .names()
            .classes
            .iter()
            .position(|class| class == name)
    }

    /// Reads and validates a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is invalid or its body is not received.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<ValidatedRequest, RequestError> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let validated = self.validate_head(&head, &client.socket)?;
        let end_offset = validated.framing.end_offset(&body);
        client.set_request_end(end_offset);
        let arrival = RequestArrival::new(client.socket.peer(), end_offset);
        let upload = self
            .receive_body(body, client, received_at, arrival)
            .await
            .map_err(|error| {
                if client.socket.is_input_aborted() {
                    RequestError::MemoryShortage
                } else {
                    error.into()
                }
            })?;
        let forwarded_request = self.forwarded_request(head, upload, validated.timeout, client)?;
        Ok(ValidatedRequest {
            client_request_id: validated.request_id,
            class: validated.class,
            tenant: validated.tenant,
            cost_hint: validated.cost_hint,
            forwarded_request,
        })
    }

    fn validate_head(&self, head: &Parts, socket: &Socket) -> Result<ValidatedHead, RequestError> {
        let class = self
            .class_index(head.uri.path())
            .ok_or(RequestError::UnknownClass)?;
        let dispatcher = self.dispatcher.borrow();
        let tenant = tenant_index(&head.headers, &dispatcher.names().tenants)?;
        let settings = &dispatcher.classes()[class];
        check_method(&head.method, &settings.idempotency)?;
        check_idempotency_key(&head.headers, &settings.idempotency)?;
        let request_id = request_id(&head.headers)?.to_string();
        let framing = BodyFraming::find(&head.headers, socket, &request_id)?;
        let timeout = request_timeout(&head.headers, settings.deadline)?;
        let cost_hint = numeric_header(&head.headers, "work-hint")?.map(|micros| micros / 1e6);
        Ok(ValidatedHead {
            request_id,
            class,
            tenant,
            timeout,
            cost_hint,
            framing,
        })
    }

    async fn receive_body(
        &self,
        body: Incoming,
        client: &ClientConnection,
        received_at: Instant,
        arrival: RequestArrival,
    ) -> Result<Upload, BodyError> {
        let request_started_at = client.socket.request_started_at().unwrap_or(received_at);
        let deadline = client
            .first_request_deadline()
            .unwrap_or(request_started_at + REQUEST_ARRIVAL_TIMEOUT);
        client.enter(Phase::ReceivingBody);
        Upload::read(
            body,
            arrival,
            &self.resources.memory,
            deadline,
            self.drain_state.shutdown_deadline(),
        )
        .await
    }

    fn forwarded_request(
        &self,
        head: Parts,
        upload: Upload,
        timeout: Duration,
        client: &ClientConnection,
    ) -> Result<ForwardedRequest, RequestError> {
        if head.method == Method::GET && upload.length() != Some(0) {
            return Err(RequestError::UnexpectedBody);
        }
        let headers = forwarded_headers(&head.headers, upload.length());
        let path = head.uri.path_and_query().ok_or(RequestError::MissingPath)?;
        Ok(ForwardedRequest {
            method: head.method,
            uri: path.clone().into(),
            headers,
            upload: Rc::new(upload),
            client: client.socket.peer(),
            timeout,
            shutdown_deadline: self.drain_state.shutdown_deadline().clone(),
        })
    }
}

impl BodyFraming {
    /// Finds where the body begins and whether it is chunked.
    ///
    /// # Errors
    ///
    /// Returns an error if the request has both Transfer-Encoding and Content-Length, or if it has
    /// a Transfer-Encoding and its head is no longer among the stored bytes. Recipients disagree on
    /// which of the two headers takes precedence, so one request could be smuggled inside another.
    fn find(headers: &HeaderMap, socket: &Socket, request_id: &str) -> Result<Self, RequestError> {
        let raw_head = RawHead::find(&socket.recent_bytes(), request_id);
        let is_chunked = headers.contains_key(TRANSFER_ENCODING);
        if is_chunked && raw_head.as_ref().is_none_or(|raw| raw.has_content_length) {
            return Err(RequestError::AmbiguousBodyLength);
        }
        Ok(BodyFraming {
            start_offset: raw_head.map(|raw| socket.bytes_read() - raw.trailing_bytes),
            is_chunked,
        })
    }

    /// Returns the offset of the body's end in the bytes received on the connection, if known. The
    /// end of a chunked body is unknown, as the body's length doesn't include the chunk headers.
    fn end_offset(&self, body: &Incoming) -> Option<usize> {
        let length = body.size_hint().exact().filter(|_| !self.is_chunked);
        self.start_offset
            .zip(length)
            .map(|(start, length)| start + length as usize)
    }
}

/// Returns the value of a header that may occur at most once.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).into_iter();
    match (values.next().map(HeaderValue::to_str), values.next()) {
        (None, None) => Ok(None),
        (Some(Ok(text)), None) => Ok(Some(text.trim())),
        (Some(Err(_)), None) => Err(RequestError::UnreadableHeader(name)),
        (_, Some(_)) => Err(RequestError::RepeatedHeader(name)),
    }
}

/// Returns the value of a header that holds a finite, non-negative number.
fn numeric_header(headers: &HeaderMap, name: &'static str) -> Result<Option<f64>, RequestError> {
    match single_header(headers, name)?.map(f64::from_str) {
        None => Ok(None),
        Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
        Some(_) => Err(RequestError::NotANumber(name)),
    }
}

/// Returns the index of the request's tenant. A tenant that is not in the settings has no quota,
/// and an index one past the last.
fn tenant_index(headers: &HeaderMap, tenants: &[String]) -> Result<usize, RequestError> {
    let name = single_header(headers, "tenant")?;
    Ok(tenants
        .iter()
        .position(|tenant| Some(tenant.as_str()) == name)
        .unwrap_or(tenants.len()))
}

fn check_method(method: &Method, idempotency: &Idempotency) -> Result<(), RequestError> {
    let expected = if *idempotency == Idempotency::Idempotent {
        Method::GET
    } else {
        Method::POST
    };
    if *method == expected {
        Ok(())
    } else {
        Err(RequestError::MethodNotAllowed { expected })
    }
}

/// Checks that a request has an idempotency key if its class requires one, and none otherwise.
/// Without the key an upstream could not recognize a retry.
fn check_idempotency_key(
    headers: &HeaderMap,
    idempotency: &Idempotency,
) -> Result<(), RequestError> {
    match (idempotency, single_header(headers, "idempotency-key")?) {
        (Idempotency::IdempotencyKey { .. }, None | Some("")) => {
            Err(RequestError::MissingIdempotencyKey)
        }
        (Idempotency::Idempotent | Idempotency::NonIdempotent, Some(_)) => {
            Err(RequestError::UnexpectedIdempotencyKey)
        }
        _ => Ok(()),
    }
}

fn request_id(headers: &HeaderMap) -> Result<&str, RequestError> {
    let is_well_formed = |id: &str| {
        id.len() <= MAX_REQUEST_ID_BYTES && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match single_header(headers, "request-id")? {
        None | Some("") => Err(RequestError::MissingRequestId),
        Some(id) if is_well_formed(id) => Ok(id),
        Some(_) => Err(RequestError::MalformedRequestId),
    }
}

/// Returns how long the client waits: the value of Request-Timeout, but at most the deadline of its
/// class (in seconds), which is also the default.
fn request_timeout(headers: &HeaderMap, class_deadline: f64) -> Result<Duration, RequestError> {
    let seconds = numeric_header(headers, "request-timeout")?
        .unwrap_or(class_deadline)
        .min(class_deadline);
    // The conversion fails only for a class deadline beyond the range of `Duration`.
    Ok(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::ZERO))
}

/// Returns the headers to forward to the upstream, with the body's length if it is known. An empty
/// body gets a Content-Length only if the received request had one.
fn forwarded_headers(received: &HeaderMap, body_length: Option<u64>) -> HeaderMap {
    let mut headers = end_to_end_headers(received);
    if let Some(length) = body_length {
        if length > 0 || received.contains_key(CONTENT_LENGTH) {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
    }
    headers
}
