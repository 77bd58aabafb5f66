//! A watch on the endpoint list: one long-lived HTTP response that carries the list and then its
//! changes.

use crate::discovery::endpoint::EndpointList;
use crate::discovery::message::{MessageDecoder, MessageError};
use crate::discovery::silence_timer::SilenceTimer;
use crate::socket::{DescriptorBudget, Purpose, Socket};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use load_balancer::DiscoveryMode;
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error as _;
use std::future::{poll_fn, Future};
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use thiserror::Error;

/// In poll mode discovery may queue requests. If a request has no response after this time, it
/// stays open and another one is sent. A change must be known within 6 s after discovery has it,
/// whatever happened to the previous request. Those 6 s have to cover this timeout, a request that
/// is queued for 2 s and then refused, and the backoff after it. They also have to cover two
/// requests in a row that get no response.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2600);
/// In push mode a local agent responds immediately. In both modes this timeout also applies to a
/// discovery address from which no list is known yet, because its list is needed soon.
const PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Discovery sends a line every 2 s, an empty one if nothing has changed. A change that a broken
/// watch misses must be known within 6 s after the last line of that watch. This timeout therefore
/// has to leave enough time for the next watch and, if that watch fails too, for one more.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2500);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type EmptyBody = Empty<Bytes>;

/// Identifies a watch; no two watches of a process have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchId(pub u64);

/// A request to open a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchRequest {
    /// The id of the watch.
    pub id: WatchId,
    /// The address of discovery.
    pub address: SocketAddr,
    /// The known version of the endpoint list, or `None` if no version from this address is known.
    /// Discovery sends the changes since this version.
    pub since: Option<u64>,
    /// How this discovery service delivers lists.
    pub mode: DiscoveryMode,
}

/// Why a watch failed.
#[derive(Debug, Error)]
pub enum WatchError {
    /// All descriptors that are reserved for discovery are in use.
    #[error("no file descriptor is free")]
    NoDescriptor,
    /// The connection could not be established.
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection failed, or the data received on it is not HTTP.
    #[error("{}", root_cause(.0))]
    Http(#[from] hyper::Error),
    /// The request can't be built.
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// Discovery responded with a status other than 200.
    #[error("response status {0}")]
    Status(StatusCode),
    /// Discovery ended the response.
    #[error("the response ended")]
    Ended,
    /// The response body is not a sequence of endpoint lists.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Returns the text of the error that caused `error`, because the text of the `hyper` error itself
/// names only the step that failed.
fn root_cause(error: &hyper::Error) -> String {
    match error.source() {
        Some(cause) => cause.to_string(),
        None => error.to_string(),
    }
}

/// Receives the reports of watches, one at a time and in the order of the reported events.
pub trait WatchObserver {
    /// Called when an endpoint list or a change of it has been received.
    fn list_received(&self, watch: WatchId, list: EndpointList);
    /// Called when a complete message or an empty line has been received.
    fn watch_alive(&self, watch: WatchId);
    /// Called when the watch has received no complete message and no empty line within its timeout.
    /// The watch continues.
    fn watch_silent(&self, watch: WatchId);
    /// Called when the watch has ended.
    fn watch_failed(&self, watch: WatchId, error: &WatchError);
}

impl WatchRequest {
    fn response_timeout(&self) -> Duration {
        if self.mode == DiscoveryMode::Poll && self.since.is_some() {
            POLL_RESPONSE_TIMEOUT
        } else {
            PUSH_RESPONSE_TIMEOUT
        }
    }

    fn http_request(&self) -> Result<Request<EmptyBody>, hyper::http::Error> {
        let since = self.since.unwrap_or(0);
        Request::get(format!("/v1/servers?follow=1&since={since}"))
            .header("Host", self.address.to_string())
            .body(Empty::new())
    }
}

/// Runs a watch until it fails. A watch that falls silent continues to run.
pub async fn run_watch(
    observer: Rc<impl WatchObserver>,
    descriptors: Rc<DescriptorBudget>,
    request: WatchRequest,
) {
    let Err(error) = follow(&*observer, &descriptors, &request).await;
    observer.watch_failed(request.id, &error);
}

async fn follow(
    observer: &impl WatchObserver,
    descriptors: &Rc<DescriptorBudget>,
    watch: &WatchRequest,
) -> Result<Infallible, WatchError> {
    let permit = descriptors
        .acquire(Purpose::Discovery)
        .ok_or(WatchError::NoDescriptor)?;
    let socket = Socket::connect(watch.address, permit, CONNECT_TIMEOUT)
        .await
        .map_err(WatchError::Connect)?;
    let (sender, connection) = http1::handshake::<_, EmptyBody>(socket).await?;
    let frames_read = Cell::new(0);
    let reader = read_messages(sender, observer, watch, &frames_read);
    drive_connection(connection, reader, &frames_read).await
}

/// Sends the request of the watch and reports the messages of its response to `observer`.
async fn read_messages(
    mut sender: SendRequest<EmptyBody>,
    observer: &impl WatchObserver,
    watch: &WatchRequest,
    frames_read: &Cell<u64>,
) -> Result<Infallible, WatchError> {
    let mut silence = SilenceTimer::new(watch.response_timeout());
    let report_silence = || observer.watch_silent(watch.id);
    let mut response = pin!(sender.send_request(watch.http_request()?));
    let response = silence.wait(&mut response, report_silence).await?;
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut decoder = MessageDecoder::default();
    loop {
        let frame = silence.wait(&mut body.frame(), report_silence).await;
        let frame = frame.ok_or(WatchError::Ended)??;
        frames_read.set(frames_read.get() + 1);
        // A frame without data carries trailers.
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if decoder.decode(&chunk, |list| observer.list_received(watch.id, list))? {
            observer.watch_alive(watch.id);
            silence.restart(SILENCE_TIMEOUT);
        }
    }
}

/// Polls the connection and the reader of its response until neither makes progress, so that all
/// received data is handled in one turn of the event loop. Otherwise a request that is handled in
/// the same turn could be forwarded to an upstream whose drain has been received but not processed.
async fn drive_connection(
    connection: impl Future<Output = hyper::Result<()>>,
    reader: impl Future<Output = Result<Infallible, WatchError>>,
    frames_read: &Cell<u64>,
) -> Result<Infallible, WatchError> {
    let (mut connection, mut reader) = (pin!(connection), pin!(reader));
    let mut is_closed = false;
    poll_fn(|context| loop {
        let frames_before = frames_read.get();
        // Data received before the connection was closed still has to be read.
        is_closed = is_closed || connection.as_mut().poll(context).is_ready();
        if let Poll::Ready(result) = reader.as_mut().poll(context) {
            return Poll::Ready(result);
        }
        if frames_read.get() == frames_before {
            return Poll::Pending;
        }
    })
    .await
}
