//! The task that serves one client connection, from its first request to its lingering close.

use crate::body::ResponseBody;
use crate::metrics::CloseReason;
use crate::server::capacity::Admission;
use crate::server::connection::{ClientConnection, EvictionResponse, Phase};
use crate::server::connection_table::ConnectionId;
use crate::server::handler::HEALTH_CHECK_PATH;
use crate::server::response::{close_connection_after, ClientResponse};
use crate::server::timeouts::{DISCONNECT_CHECK_INTERVAL, IDLE_TIMEOUT};
use crate::server::Server;
use crate::socket::{Socket, UnreadInput};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::Request;
use std::convert::Infallible;
use std::error::Error;
use std::rc::Rc;
use tokio::time::sleep;

const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 100;
/// The response to a request whose head is not read to its end for lack of memory.
const REFUSED_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// How serving a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServingEnd {
    /// The HTTP connection ended by itself, after its last response or on an error.
    Completed,
    /// The connection was closed without a further response.
    Aborted(CloseReason),
    /// The head of a request was incomplete and is not read to its end, for lack of memory.
    HeadRefused,
}

impl Server {
    /// Serves a connection until it is closed, and removes it from the table.
    pub(super) async fn serve(
        self: Rc<Self>,
        id: ConnectionId,
        client: Rc<ClientConnection>,
        admission: Admission,
    ) {
        if admission == Admission::OverCapacity || self.drain_state.is_active() {
            client.close.request_initially();
        }
        let service = service_fn(|request| self.serve_request(request, &client, admission));
        let connection = http_builder(admission).serve_connection(client.socket.clone(), service);
        match drive(connection, &client).await {
            ServingEnd::Completed => linger(&client).await,
            ServingEnd::Aborted(reason) => self.resources.metrics.count_close(reason),
            ServingEnd::HeadRefused => {
                self.resources.metrics.count_close(CloseReason::HeadRefused);
                client.socket.send_now(REFUSED_HEAD_RESPONSE);
                client.set_rejected_incomplete(true);
                linger(&client).await;
            }
        }
        self.connections.remove(id);
        client.eviction.notify_decided();
    }

    async fn serve_request(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
        admission: Admission,
    ) -> Result<ClientResponse, Infallible> {
        let is_buffered = client.socket.request_started_at().is_none();
        client.begin_request();
        if is_buffered {
            client.yield_to_others().await;
        }
        let is_incomplete = !request.body().is_end_stream();
        let is_over_capacity =
            admission == Admission::OverCapacity && !self.wait_for_capacity(client).await;
        let is_memory_short =
            request.uri().path() != HEALTH_CHECK_PATH && !self.wait_for_memory(client).await;
        let mut response = if is_over_capacity {
            self.reject_over_capacity(&request, "no descriptor is free")
        } else if is_memory_short {
            self.resources.metrics.count_memory_rejection();
            self.reject_over_capacity(&request, "too little memory is free")
        } else {
            self.handle_request(request, client).await
        };
        client.record_response();
        // The bytes after an invalid request are not necessarily the beginning of another request,
        // so the connection is closed.
        let is_rejected = is_over_capacity || response.status().is_client_error();
        let is_unread = is_rejected || is_memory_short || client.socket.is_input_aborted();
        client.set_rejected_incomplete(is_unread && is_incomplete);
        if is_rejected
            || is_unread && is_incomplete
            || self.drain_state.closes_after_response(client)
        {
            close_connection_after(&mut response);
        }
        if client.phase() != Phase::StreamingResponse {
            client.mark_idle();
        }
        Ok(response)
    }
}

fn http_builder(admission: Admission) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(admission == Admission::WithinCapacity)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder
}

/// Runs the HTTP connection until it ends or has to be aborted, and drops it.
async fn drive<S>(connection: http1::Connection<Socket, S>, client: &ClientConnection) -> ServingEnd
where
    S: HttpService<Incoming, ResBody = ResponseBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (stalled, disconnected) = (client.stalled(), client.disconnected());
    tokio::pin!(connection, stalled, disconnected);
    loop {
        tokio::select! {
            // On an error hyper has sent the client a response if it could.
            _ = connection.as_mut() => {
                return if client.is_head_refused() {
                    ServingEnd::HeadRefused
                } else {
                    ServingEnd::Completed
                };
            }
            () = client.close.requested() => {
                if client.can_close_now() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = &mut stalled => return ServingEnd::Aborted(CloseReason::Stalled),
            () = &mut disconnected => return ServingEnd::Aborted(CloseReason::Disconnected),
            () = client.eviction.requested() => {
                match client.respond_to_eviction() {
                    EvictionResponse::Close => return ServingEnd::Aborted(CloseReason::Evicted),
                    EvictionResponse::Reject => {
                        client.socket.abort_input();
                        client.eviction.notify_decided();
                        return ServingEnd::HeadRefused;
                    }
                    EvictionResponse::FailBody => client.socket.abort_input(),
                    EvictionResponse::Stay => {}
                }
                client.eviction.notify_decided();
            }
        }
    }
}

/// Keeps the connection open until the client has received the last response, the connection is
/// evicted, or [`IDLE_TIMEOUT`] expires.
async fn linger(client: &ClientConnection) {
    client.begin_lingering();
    let unread = if client.is_rejected_incomplete() {
        UnreadInput::Discard
    } else {
        UnreadInput::Keep
    };
    tokio::select! {
        () = client.socket.linger(unread, DISCONNECT_CHECK_INTERVAL) => {}
        () = client.eviction.requested() => {}
        () = sleep(IDLE_TIMEOUT) => {}
    }
}
