//! Serves one connection.

use crate::server::connection::{ClientConnection, Phase};
use crate::server::connection_table::ConnectionId;
use crate::server::{Server, DISCONNECT_POLL_INTERVAL, IDLE_TIMEOUT};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::time::sleep;

const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 100;

/// How the serving of a connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServingEnd {
    /// The HTTP connection has ended by itself, after its last response or on an error.
    Completed,
    /// The client has stalled or disconnected, or the connection has been evicted.
    Aborted,
}

impl Server {
    pub(super) async fn serve(
        self: Rc<Self>,
        id: ConnectionId,
        client: Rc<ClientConnection>,
        over_capacity: bool,
    ) {
        let closing = over_capacity || self.is_draining();
        let mut builder = http1::Builder::new();
        builder
            .keep_alive(!over_capacity)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        if closing {
            client.set_closing();
        }
        let service = service_fn(|request: Request<Incoming>| {
            let (server, client) = (&self, &client);
            async move {
                client.begin_request();
                let incomplete = !request.body().is_end_stream();
                let over_capacity = over_capacity && !server.wait_for_capacity(client).await;
                let mut answer = match over_capacity {
                    true => server.reject_over_capacity(&request),
                    false => server.handle_request(request, client).await,
                };
                client.record_response();
                // Whoever sends what can't be used may go on with what is no request at all.
                let rejected = over_capacity || answer.status().is_client_error();
                client.set_rejected_incomplete(rejected && incomplete);
                if rejected || server.closes_after_response(client) {
                    answer
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if client.phase() != Phase::StreamingResponse {
                    client.mark_idle();
                }
                Ok::<_, Infallible>(answer)
            }
        });
        let end = {
            let connection = builder.serve_connection(client.socket.clone(), service);
            let (stalled, disconnected) = (client.stalled(), client.disconnected());
            tokio::pin!(connection, stalled, disconnected);
            loop {
                tokio::select! {
                    // A client that breaks off or sends nonsense has been told so by hyper.
                    _ = connection.as_mut() => break ServingEnd::Completed,
                    () = client.close_requested() => {
                        // Guards against closing on a request of which a part has come, read or not: its answer is
                        // going to end the connection, unless that is on its way already.
                        let idle = client.socket.request_started_at().is_none() && client.socket.is_open_and_idle();
                        if client.phase() == Phase::StreamingResponse && !client.has_pipelined_bytes() || idle {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                    () = &mut stalled => break ServingEnd::Aborted,
                    () = &mut disconnected => break ServingEnd::Aborted,
                    () = client.eviction_requested() => {
                        if client.accepts_eviction() {
                            break ServingEnd::Aborted;
                        }
                        client.notify_eviction_decided();
                    }
                }
            }
        };
        if end == ServingEnd::Completed {
            client.begin_lingering();
            tokio::select! {
                () = client.socket.linger(client.is_rejected_incomplete(), DISCONNECT_POLL_INTERVAL) => {}
                () = client.eviction_requested() => {}
                () = sleep(IDLE_TIMEOUT) => {}
            }
        }
        self.connections.remove(id);
        client.notify_eviction_decided();
    }
}
