//! Handles one request.

use crate::body::ResponseBody;
use crate::dispatch::{Dispatcher, FinalResponse, RejectionReason};
use crate::metrics::RequestOutcome;
use crate::server::connection::{ClientConnection, Phase};
use crate::server::request::RequestError;
use crate::server::response::{text_response, ClientResponse, StreamingGuard};
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
    pub(super) fn reject_over_capacity(&self, request: &Request<Incoming>) -> ClientResponse {
        let class = self
            .class_index(request.uri().path())
            .filter(|_| request.headers().contains_key("request-id"));
        class.into_iter().for_each(|class| {
            self.metrics
                .begin_request(class)
                .end(RequestOutcome::Rejected)
        });
        text_response(StatusCode::SERVICE_UNAVAILABLE, "no descriptor is free")
    }

    pub(super) fn class_index(&self, path: &str) -> Option<usize> {
        let name = path.split('/').nth(1).unwrap_or_default();
        self.dispatcher
            .borrow()
            .names()
            .classes
            .iter()
            .position(|class| class == name)
    }

    pub(super) async fn handle_request(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
    ) -> ClientResponse {
        if request.uri().path() == "/healthz" {
            return match self.is_ready() {
                true => text_response(StatusCode::OK, "ready"),
                false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            };
        }
        let taken = match self.read_request(request, client).await {
            Ok(taken) => taken,
            Err(RequestError(status, text)) => return text_response(status, &text),
        };
        let upload = taken.forward.upload.clone();
        client.record_valid_request();
        let request = self.metrics.begin_request(taken.class);
        let (id, answer) = match self.dispatcher.borrow_mut().accept(taken) {
            Ok(taken) => taken,
            Err(RejectionReason::TooManyOpen) => {
                request.end(RequestOutcome::Rejected);
                return text_response(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "too many requests are open",
                );
            }
            Err(RejectionReason::DuplicateId) => {
                request.end(RequestOutcome::Failed);
                return text_response(StatusCode::CONFLICT, "Request-Id has been used before");
            }
        };
        // Dropped with this future when the client goes away first.
        let _cancel_on_drop = CancelOnDrop {
            dispatcher: &self.dispatcher,
            id,
        };
        client.enter(Phase::AwaitingResponse);
        // Nobody reads what comes behind a request that is whole before it has its answer.
        client.socket.set_read_ahead(!upload.is_streamed());
        let answer = answer.await;
        client.socket.set_read_ahead(false);
        if upload.is_streamed() {
            client.begin_discarding_body();
            // Its connection doesn't stay open for this.
            let (upload, client) = (upload.clone(), Rc::downgrade(client));
            spawn_local(async move {
                upload.discard().await;
                // Its next request may have begun by now.
                if let Some(client) = client.upgrade() {
                    client.end_discarding_body();
                }
            });
        }
        match answer {
            Ok(FinalResponse::Served(served)) => {
                let body =
                    match served.body {
                        ResponseContent::Complete(body) => {
                            request.end(RequestOutcome::Served);
                            ResponseBody::whole(body)
                        }
                        // Guards against a long answer that the end of the process cuts off, though its request came
                        // when that was near: it could not be finished for a slow client.
                        ResponseContent::Streamed(_)
                            if self.late_request_cutoff.get().is_some_and(
                                |late_request_cutoff| upload.last_progress() > late_request_cutoff,
                            ) =>
                        {
                            request.end(RequestOutcome::Failed);
                            return text_response(
                                StatusCode::BAD_GATEWAY,
                                "too long an answer for a process that ends",
                            );
                        }
                        ResponseContent::Streamed(download) => ResponseBody::streamed(
                            download,
                            request,
                            Box::new(StreamingGuard::begin(client)),
                        ),
                    };
                let mut response = Response::new(body);
                *response.headers_mut() = end_to_end_headers(&served.headers);
                response
            }
            Ok(FinalResponse::Rejected { retry_after }) => {
                request.end(RequestOutcome::Rejected);
                let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let value =
                    retry_after.and_then(|t| HeaderValue::from_str(&format!("{t:.3}")).ok());
                value.map(|value| response.headers_mut().insert("retry-after", value));
                response
            }
            Ok(FinalResponse::Failed) => {
                request.end(RequestOutcome::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
            // None is owed, as the client has left; it counts under no ending.
            Err(_) => {
                let mut answer = text_response(StatusCode::BAD_GATEWAY, "its client has left");
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
