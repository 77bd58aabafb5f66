//! Handles one request: dispatches it and builds the client's response from its final response.

use crate::body::{ResponseBody, Upload};
use crate::dispatch::{
    DispatchedRequest, Dispatcher, FinalResponse, RejectionReason, RequestFingerprint,
    ValidatedRequest,
};
use crate::metrics::{InFlightRequest, RequestOutcome};
use crate::server::connection::{ClientConnection, Phase};
use crate::server::request_error::RequestError;
use crate::server::response::{
    close_connection_after, error_response, rejected_response, text_response, ClientResponse,
    StreamingGuard,
};
use crate::server::Server;
use crate::upstream::{end_to_end_headers, ResponseContent};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use load_balancer::RequestId;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::spawn_local;

/// The path of the health check for the load balancers in front of this one.
pub(super) const HEALTH_CHECK_PATH: &str = "/healthz";

impl Server {
    /// Rejects a request because a resource is short, as `reason` says. The request is counted if
    /// it names a known class and has a request id; it is not validated further.
    pub(super) fn reject_over_capacity(
        &self,
        request: &Request<Incoming>,
        reason: &str,
    ) -> ClientResponse {
        if let Some(class) = self
            .class_index(request.uri().path())
            .filter(|_| request.headers().contains_key("request-id"))
        {
            self.resources
                .metrics
                .begin_request(class)
                .end(RequestOutcome::Rejected);
        }
        text_response(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Handles a request, and returns once its response can begin.
    pub(super) async fn handle_request(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientConnection>,
    ) -> ClientResponse {
        if request.uri().path() == HEALTH_CHECK_PATH {
            return self.health_response();
        }
        let validated = match self.read_request(request, client).await {
            Ok(validated) => validated,
            Err(error) => {
                if error == RequestError::MemoryShortage {
                    self.resources.metrics.count_memory_rejection();
                }
                return error_response(&error);
            }
        };
        let upload = validated.forwarded_request.upload.clone();
        client.record_valid_request();
        let in_flight = self.resources.metrics.begin_request(validated.class);
        let dispatched = self.accept_request(validated).await;
        let DispatchedRequest { id, response } = match dispatched {
            Ok(dispatched) => dispatched,
            Err(reason) => {
                in_flight.end(match reason {
                    RejectionReason::TooManyOpen | RejectionReason::TooManyRecent => {
                        RequestOutcome::Rejected
                    }
                    RejectionReason::DuplicateId => RequestOutcome::Failed,
                });
                return error_response(&reason.into());
            }
        };
        let _cancel_on_drop = CancelOnDrop {
            dispatcher: &self.dispatcher,
            id,
        };
        client.enter(Phase::AwaitingResponse);
        client.socket.accept_request();
        // While a complete request awaits its response, nothing else reads the bytes that follow
        // it. They are read ahead, as unread bytes can hide that the client has disconnected.
        client.socket.set_read_ahead(upload.is_complete());
        let final_response = response.await;
        client.socket.set_read_ahead(false);
        if !upload.is_complete() {
            discard_rest_of_body(client, upload.clone());
        }
        self.client_response(final_response.ok(), in_flight, &upload, client)
    }

    /// Claims the id of a request at the other process of an upgrade, and accepts the request.
    async fn accept_request(
        &self,
        request: ValidatedRequest,
    ) -> Result<DispatchedRequest, RejectionReason> {
        let id = RequestFingerprint::of(&request.client_request_id);
        let claim = self.resources.request_id_claims.claim(id).await;
        let claim = claim.ok_or(RejectionReason::DuplicateId)?;
        let dispatched = self.dispatcher.borrow_mut().accept(request);
        match &dispatched {
            // A duplicate is an id of this process, which the claim must not release.
            Ok(_) | Err(RejectionReason::DuplicateId) => claim.accept(),
            Err(_) => drop(claim),
        }
        dispatched
    }

    /// Builds the client's response from the final response and counts the outcome. Without a final
    /// response the client has disconnected.
    fn client_response(
        &self,
        final_response: Option<FinalResponse>,
        in_flight: InFlightRequest,
        upload: &Upload,
        client: &Rc<ClientConnection>,
    ) -> ClientResponse {
        match final_response {
            Some(FinalResponse::Served(served)) => {
                self.served_response(&served.headers, served.body, in_flight, upload, client)
            }
            Some(FinalResponse::Rejected { retry_after }) => {
                in_flight.end(RequestOutcome::Rejected);
                rejected_response(retry_after)
            }
            Some(FinalResponse::Failed) => {
                in_flight.end(RequestOutcome::Failed);
                text_response(StatusCode::BAD_GATEWAY, "failed")
            }
            // The client has disconnected and reads no response, and no outcome is counted.
            None => {
                let mut response = text_response(StatusCode::BAD_GATEWAY, "its client has left");
                close_connection_after(&mut response);
                response
            }
        }
    }

    fn health_response(&self) -> ClientResponse {
        if self.is_ready() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Builds the response to a request that an upstream has served.
    fn served_response(
        &self,
        upstream_headers: &HeaderMap,
        content: ResponseContent,
        in_flight: InFlightRequest,
        upload: &Upload,
        client: &Rc<ClientConnection>,
    ) -> ClientResponse {
        let body = match content {
            ResponseContent::Complete(body) => {
                in_flight.end(RequestOutcome::Served);
                ResponseBody::complete(body)
            }
            // The process may be killed before a slow client has received the complete response.
            ResponseContent::Streamed(_) if self.drain_state.arrived_late(upload) => {
                in_flight.end(RequestOutcome::Failed);
                return text_response(
                    StatusCode::BAD_GATEWAY,
                    "too long an answer for a process that ends",
                );
            }
            ResponseContent::Streamed(download) => ResponseBody::streamed(
                download,
                client.socket.clone(),
                self.resources.memory.begin_stream(),
                in_flight,
                Box::new(StreamingGuard::begin(client)),
            ),
        };
        let mut response = Response::new(body);
        *response.headers_mut() = end_to_end_headers(upstream_headers);
        response
    }
}

/// Reads and discards the rest of a request body after its response is known, because a client may
/// read no response before it has sent its complete request. The task doesn't keep the connection
/// open.
fn discard_rest_of_body(client: &Rc<ClientConnection>, upload: Rc<Upload>) {
    client.begin_discarding_body();
    let client = Rc::downgrade(client);
    spawn_local(async move {
        upload.discard().await;
        if let Some(client) = client.upgrade() {
            client.end_discarding_body();
        }
    });
}

/// When dropped, notifies the dispatcher that the client has disconnected: the handler of a request
/// is dropped when its client disconnects. After the final response the notification has no effect.
struct CancelOnDrop<'a> {
    dispatcher: &'a RefCell<Dispatcher>,
    id: RequestId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        self.dispatcher.borrow_mut().client_disconnected(self.id);
    }
}
