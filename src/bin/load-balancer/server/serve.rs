//! Serves one connection.

use crate::server::connection::ClientConnection;
use crate::server::{Server, DISCONNECT_POLL_INTERVAL, IDLE_TIMEOUT};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::time::{sleep, Instant};

const MAX_HEAD_BYTES: usize = 32 << 10;
const MAX_HEADERS: usize = 100;

impl Server {
    pub(super) async fn serve(
        self: Rc<Self>,
        number: u64,
        client: Rc<ClientConnection>,
        over_capacity: bool,
    ) {
        let closing = over_capacity || self.is_draining();
        let mut builder = http1::Builder::new();
        builder
            .keep_alive(!over_capacity)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        client
            .close_requested
            .set(closing || client.close_requested.get());
        let service = service_fn(|request: Request<Incoming>| {
            let (server, client) = (&self, &client);
            async move {
                client.discarding_body.set(false);
                client.request_end.set(None);
                client
                    .idle_since
                    .set(Some(if client.carried_no_request.get() {
                        client.opened
                    } else {
                        Instant::now()
                    }));
                let incomplete = !request.body().is_end_stream();
                let over_capacity = over_capacity && !server.wait_for_capacity(client).await;
                let mut answer = match over_capacity {
                    true => server.reject_over_capacity(&request),
                    false => server.handle_request(request, client).await,
                };
                client.carried_no_request.set(false);
                // Whoever sends what can't be used may go on with what is no request at all.
                let rejected_before_complete = over_capacity || answer.status().is_client_error();
                client
                    .rejected_before_complete
                    .set(rejected_before_complete && incomplete);
                if rejected_before_complete || server.closes_after_response(client) {
                    answer
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if !client.streaming.get() {
                    client.mark_idle();
                }
                Ok::<_, Infallible>(answer)
            }
        });
        {
            let connection = builder.serve_connection(client.socket.clone(), service);
            let (stalled, disconnected) = (client.stalled(), client.disconnected());
            tokio::pin!(connection, stalled, disconnected);
            loop {
                tokio::select! {
                    // A client that breaks off or sends nonsense has been told so by hyper.
                    _ = connection.as_mut() => {
                        client.lingering.set(true);
                        break;
                    }
                    () = client.close.notified() => {
                        // Guards against closing on a request of which a part has come, read or not: its answer is
                        // going to end the connection, unless that is on its way already.
                        let idle = client.socket.request_started_at().is_none() && client.socket.is_open_and_idle();
                        if client.streaming.get() && !client.has_pipelined_bytes() || idle {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                    () = &mut stalled => break,
                    () = &mut disconnected => break,
                    () = client.evict.notified() => {
                        client.eviction_requested.set(false);
                        if client.idle_since.get().is_some() && !client.socket.has_unread() {
                            break;
                        }
                        client.settled.notify_one();
                    }
                }
            }
        }
        if client.lingering.get() {
            tokio::select! {
                () = client.socket.linger(client.rejected_before_complete.get(), DISCONNECT_POLL_INTERVAL) => {}
                () = client.evict.notified() => {}
                () = sleep(IDLE_TIMEOUT) => {}
            }
        }
        self.clients.borrow_mut().remove(&number);
        client.settled.notify_one();
    }
}
