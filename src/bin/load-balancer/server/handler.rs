//! Handles one request.

use crate::body::ResponseBody;
use crate::dispatch::{Dispatcher, FinalResponse, RejectionReason};
use crate::metrics::RequestOutcome;
use crate::server::connection::ClientConnection;
use crate::server::request::RequestError;
use crate::server::response::{plain, Answer, Streaming};
use crate::server::Server;
use crate::upstream::{end_to_end_headers, ResponseContent};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, Response, StatusCode};
use load_balancer::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::spawn_local;

impl Server {
    /// There is no room for whoever asks. A request is refused like any other, and counted.
    pub(super) fn refuse(&self, request: &Request<Incoming>) -> Answer {
        let class = self
            .class_of(request.uri().path())
            .filter(|_| request.headers().contains_key("request-id"));
        class.into_iter().for_each(|class| {
            self.metrics
                .begin_request(class)
                .end(RequestOutcome::Rejected)
        });
        plain(StatusCode::SERVICE_UNAVAILABLE, "no descriptor is free")
    }

    pub(super) fn class_of(&self, path: &str) -> Option<usize> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.dispatcher
            .borrow()
            .names()
            .classes
            .iter()
            .position(|class| class == name)
    }

    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
    ) -> Answer {
        if request.uri().path() == "/healthz" {
            return match self.is_ready() {
                true => plain(StatusCode::OK, "ready"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            };
        }
        let taken = match self.read(request, client).await {
            Ok(taken) => taken,
            Err(RequestError(status, text)) => return plain(status, &text),
        };
        let upload = taken.forward.upload.clone();
        client.fresh.set(false);
        client.asked.set(true);
        let request = self.metrics.begin_request(taken.class);
        let (id, answer) = match self.dispatcher.borrow_mut().accept(taken) {
            Ok(taken) => taken,
            Err(RejectionReason::TooManyOpen) => {
                request.end(RequestOutcome::Rejected);
                return plain(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too many requests are open",
                );
            }
            Err(RejectionReason::DuplicateId) => {
                request.end(RequestOutcome::Failed);
                return plain(StatusCode::CONFLICT, "Request-Id has been used before");
            }
        };
        // Dropped with this future when the client goes away first.
        let _gone = CancelOnDrop {
            dispatcher: &self.dispatcher,
            id,
        };
        client.waits.set(true);
        // Nobody reads what comes behind a request that is whole before it has its answer.
        client.socket.set_read_ahead(!upload.is_streamed());
        let answer = answer.await;
        client.waits.set(false);
        client.socket.set_read_ahead(false);
        if upload.is_streamed() {
            client.discards.set(true);
            // Its connection doesn't stay open for this.
            let (upload, client) = (upload.clone(), Rc::downgrade(client));
            spawn_local(async move {
                upload.discard().await;
                // Its next request may have begun by now.
                let client = client
                    .upgrade()
                    .filter(|client| client.discards.replace(false));
                client
                    .filter(|client| !client.streaming.get())
                    .inspect(|client| client.rest());
            });
        }
        match answer {
            Ok(FinalResponse::Served(served)) => {
                let body = match served.body {
                    ResponseContent::Complete(body) => {
                        request.end(RequestOutcome::Served);
                        ResponseBody::whole(body)
                    }
                    // Guards against a long answer that the end of the process cuts off, though its request came
                    // when that was near: it could not be finished for a slow client.
                    ResponseContent::Streamed(_)
                        if self
                            .late
                            .get()
                            .is_some_and(|late| upload.last_progress() > late) =>
                    {
                        request.end(RequestOutcome::Failed);
                        return plain(
                            StatusCode::BAD_GATEWAY,
                            "too long an answer for a process that ends",
                        );
                    }
                    ResponseContent::Streamed(download) => ResponseBody::streamed(
                        download,
                        request,
                        Box::new(Streaming::begin(client)),
                    ),
                };
                let mut response = Response::new(body);
                *response.headers_mut() = end_to_end_headers(&served.headers);
                response
            }
            Ok(FinalResponse::Rejected { retry_after }) => {
                request.end(RequestOutcome::Rejected);
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let value =
                    retry_after.and_then(|t| HeaderValue::from_str(&format!("{t:.3}")).ok());
                value.map(|value| response.headers_mut().insert("retry-after", value));
                response
            }
            Ok(FinalResponse::Failed) => {
                request.end(RequestOutcome::Failed);
                plain(StatusCode::BAD_GATEWAY, "failed")
            }
            // None is owed, as the client has left; it counts under no ending.
            Err(_) => {
                let mut answer = plain(StatusCode::BAD_GATEWAY, "its client has left");
                answer
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
                answer
            }
        }
    }
}

/// Tells the driver when a request is over for its client; after an answer that says nothing.
struct CancelOnDrop<'a> {
    dispatcher: &'a RefCell<Dispatcher>,
    id: RequestId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.dispatcher.borrow_mut().client_disconnected(self.id);
    }
}
