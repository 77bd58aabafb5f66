//! Serves one connection.

use crate::server::connection::ClientConnection;
use crate::server::{Server, IDLE, LOOK};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use std::convert::Infallible;
use std::rc::Rc;
use tokio::time::{sleep, Instant};

const LARGEST_HEAD: usize = 32 << 10;
const MOST_HEADERS: usize = 100;

impl Server {
    pub(super) async fn serve(
        self: Rc<Self>,
        number: u64,
        client: Rc<ClientConnection>,
        refused: bool,
    ) {
        let last = refused || self.sheds();
        let mut http = http1::Builder::new();
        http.keep_alive(!refused)
            .max_buf_size(LARGEST_HEAD)
            .max_headers(MOST_HEADERS);
        client.closing.set(last || client.closing.get());
        let service = service_fn(|request: Request<Incoming>| {
            let (server, client) = (&self, &client);
            async move {
                client.discards.set(false);
                client.ends_at.set(None);
                client.idle.set(Some(if client.fresh.get() {
                    client.opened
                } else {
                    Instant::now()
                }));
                let unread = !request.body().is_end_stream();
                let refused = refused && !server.has_room_now(client).await;
                let mut answer = match refused {
                    true => server.refuse(&request),
                    false => server.answer(request, client).await,
                };
                client.fresh.set(false);
                // Whoever sends what can't be used may go on with what is no request at all.
                let turned_away = refused || answer.status().is_client_error();
                client.turned_away.set(turned_away && unread);
                if turned_away || server.ends_with_this(client) {
                    answer
                        .headers_mut()
                        .insert(CONNECTION, HeaderValue::from_static("close"));
                }
                if !client.streaming.get() {
                    client.rest();
                }
                Ok::<_, Infallible>(answer)
            }
        });
        {
            let connection = http.serve_connection(client.socket.clone(), service);
            let (stalled, left) = (client.stalled(), client.left());
            tokio::pin!(connection, stalled, left);
            loop {
                tokio::select! {
                    // A client that breaks off or sends nonsense has been told so by hyper.
                    _ = connection.as_mut() => {
                        client.over.set(true);
                        break;
                    }
                    () = client.close.notified() => {
                        // Guards against closing on a request of which a part has come, read or not: its answer is
                        // going to end the connection, unless that is on its way already.
                        let rests = client.socket.request_started_at().is_none() && client.socket.is_open_and_idle();
                        if client.streaming.get() && !client.has_more() || rests {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                    () = &mut stalled => break,
                    () = &mut left => break,
                    () = client.evicted.notified() => {
                        client.evicting.set(false);
                        if client.idle.get().is_some() && !client.socket.has_unread() {
                            break;
                        }
                        client.settled.notify_one();
                    }
                }
            }
        }
        if client.over.get() {
            tokio::select! {
                () = client.socket.linger(client.turned_away.get(), LOOK) => {}
                () = client.evicted.notified() => {}
                () = sleep(IDLE) => {}
            }
        }
        self.clients.borrow_mut().remove(&number);
        client.settled.notify_one();
    }
}
