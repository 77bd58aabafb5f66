//! Reads and checks requests.

use crate::body::{BodyError, Upload};
use crate::dispatch::AcceptedRequest;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::raw_head::RawHead;
use crate::server::{Server, FIRST_REQUEST_TIMEOUT};
use crate::upstream::{end_to_end_headers, ForwardedRequest};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Method, Request, StatusCode};
use load_balancer::Idempotency;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;
use tokio::time::Instant;

const MAX_REQUEST_ID_BYTES: usize = 128;

impl Server {
    /// Reads a request whole and checks it.
    pub(super) async fn read_request(
        &self,
        request: Request<Incoming>,
        client: &ClientConnection,
    ) -> Result<AcceptedRequest, RequestError> {
        let received_at = Instant::now();
        let (head, body) = request.into_parts();
        let bad = |what: &str| RequestError(StatusCode::BAD_REQUEST, what.to_string());
        // A header that may stand there once.
        let header = |name: &'static str| {
            let mut values = head.headers.get_all(name).into_iter();
            match (values.next().map(HeaderValue::to_str), values.next()) {
                (None, None) => Ok(None),
                (Some(Ok(text)), None) => Ok(Some(text.trim())),
                (Some(Err(_)), None) => Err(bad(&format!("{name} can't be read"))),
                (_, Some(_)) => Err(bad(&format!("{name} stands there twice"))),
            }
        };
        let number = |name: &'static str| match header(name)?.map(f64::from_str) {
            None => Ok(None),
            Some(Ok(value)) if value.is_finite() && value >= 0.0 => Ok(Some(value)),
            Some(_) => Err(bad(&format!("{name} is not a number"))),
        };
        let (class, tenant, limit) = {
            let dispatcher = self.dispatcher.borrow();
            let class = self
                .class_index(head.uri.path())
                .ok_or_else(|| bad("the path names no known class"))?;
            let tenants = &dispatcher.names().tenants;
            let tenant = header("tenant")?;
            // One that the settings don't name has no quota, and so no number among them.
            let tenant = tenants
                .iter()
                .position(|t| Some(t.as_str()) == tenant)
                .unwrap_or(tenants.len());
            let settings = &dispatcher.classes()[class];
            let method = if settings.idempotency == Idempotency::Idempotent {
                Method::GET
            } else {
                Method::POST
            };
            if head.method != method {
                return Err(RequestError(
                    StatusCode::METHOD_NOT_ALLOWED,
                    format!("this class is asked for with {method}"),
                ));
            }
            // Guards against a repeat that no upstream could know for one.
            match (&settings.idempotency, header("idempotency-key")?) {
                (Idempotency::IdempotencyKey { .. }, None | Some("")) => {
                    return Err(bad("Idempotency-Key is missing"))
                }
                (Idempotency::Idempotent | Idempotency::NonIdempotent, Some(_)) => {
                    return Err(bad("this class has no Idempotency-Key"))
                }
                _ => {}
            }
            (class, tenant, settings.deadline)
        };
        let name = match header("request-id")? {
            None | Some("") => return Err(bad("Request-Id is missing")),
            Some(id)
                if id.len() > MAX_REQUEST_ID_BYTES
                    || !id.bytes().all(|byte| byte.is_ascii_graphic()) =>
            {
                return Err(bad("Request-Id is malformed"));
            }
            Some(id) => id.to_string(),
        };
        let raw = RawHead::find(&client.socket.recent_bytes(), &name);
        // Guards against a request that hides another: beside a coding, a length may say otherwise, and not
        // everyone on the way believes the same of the two.
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        if chunked && raw.as_ref().is_none_or(|raw| raw.has_content_length) {
            return Err(bad("the end of the body is unclear"));
        }
        let body_begins = raw.map(|raw| client.socket.read() - raw.trailing_bytes);
        let wait = number("request-timeout")?.unwrap_or(limit).min(limit);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or_default();
        let cost_hint = number("work-hint")?.map(|micros| micros / 1e6);
        let request_started_at = client.socket.request_started_at().unwrap_or(received_at);
        let first = client
            .first_request_deadline()
            .unwrap_or(request_started_at + FIRST_REQUEST_TIMEOUT);
        // Its body is timed by itself.
        client.enter(Phase::ReceivingBody);
        let read = Upload::read(body, &self.memory, first, &self.drain_deadline);
        let upload = read.await.map_err(|broken| {
            let status = match broken {
                BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::Stalled => StatusCode::REQUEST_TIMEOUT,
                BodyError::Truncated => StatusCode::BAD_REQUEST,
            };
            RequestError(status, broken.to_string())
        })?;
        // Guards against a client that sends several requests at once and waits for the later ones from then on.
        upload.set_last_progress(client.socket.last_read());
        let length = upload.length().filter(|_| !chunked);
        client.set_request_end(
            body_begins
                .zip(length)
                .map(|(begin, length)| begin + length as usize),
        );
        if head.method == Method::GET && upload.length() != Some(0) {
            return Err(bad("GET has no body"));
        }
        let mut headers = end_to_end_headers(&head.headers);
        match upload.length() {
            Some(0) if !head.headers.contains_key(CONTENT_LENGTH) => {}
            Some(length) => drop(headers.insert(CONTENT_LENGTH, HeaderValue::from(length))),
            None => {}
        }
        let uri = match head.uri.path_and_query() {
            Some(path) => path.clone().into(),
            None => return Err(bad("the path is missing")),
        };
        // Guards against a request that is still open when the process is killed, and so is lost.
        let settled = self.drain_deadline.clone();
        let upload = Rc::new(upload);
        let client = client.socket.peer();
        let forward = ForwardedRequest {
            method: head.method,
            uri,
            headers,
            upload,
            client,
            wait,
            settled,
        };
        Ok(AcceptedRequest {
            name,
            class,
            tenant,
            cost_hint,
            forward,
        })
    }
}

/// Why a request was not taken.
pub(super) struct RequestError(pub(super) StatusCode, pub(super) String);
