//! The admin endpoint: health check, metrics, maintenance of upstreams and draining of clients.
//! Each connection carries one request.

mod request;
mod response;

use crate::admin::request::AdminRequest;
use crate::admin::response::{text_response, AdminError, AdminResponse};
use crate::dispatch::Dispatcher;
use crate::handover::Handover;
use crate::log;
use crate::server::listener::{Listener, PendingConnection};
use crate::server::{ClientDrain, Server};
use crate::socket::{DescriptorBudget, DescriptorPermit, Purpose, Socket};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use percent_encoding::percent_decode_str;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Time after which a connection is closed, whether or not its client has read the response.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 64;
/// Maximum size of a request body. No request needs a body; one of up to this size is read and
/// ignored.
const MAX_BODY_BYTES: usize = 4 << 10;
/// Pause after a failed accept(2) on the admin listener.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The server of the admin endpoint.
pub struct Admin {
    dispatcher: Rc<RefCell<Dispatcher>>,
    server: Rc<Server>,
    handover: Rc<Handover>,
    descriptors: Rc<DescriptorBudget>,
    /// Connections that have no response yet, keyed by their numbers, so that the first entry is
    /// the oldest one. Notifying an entry closes its connection.
    unanswered_connections: RefCell<BTreeMap<u64, Rc<Notify>>>,
    next_connection_number: Cell<u64>,
}

impl Admin {
    /// Creates an admin endpoint that reports on and controls these parts of the process.
    pub fn new(
        dispatcher: Rc<RefCell<Dispatcher>>,
        server: Rc<Server>,
        handover: Rc<Handover>,
        descriptors: Rc<DescriptorBudget>,
    ) -> Rc<Self> {
        Rc::new(Admin {
            dispatcher,
            server,
            handover,
            descriptors,
            unanswered_connections: RefCell::default(),
            next_connection_number: Cell::new(0),
        })
    }

    /// Accepts and serves connections on `listener` until the future is dropped.
    pub async fn accept(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(accepted) => self.admit(accepted).await,
                Err(error) => {
                    let interval = ACCEPT_RETRY_INTERVAL.as_secs_f64();
                    log::line(format!(
                        "admin accept failed: {error}; retrying in {interval} s"
                    ));
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Registers an accepted connection with the event loop and serves it, if a descriptor permit
    /// is available.
    async fn admit(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => {
                return log::line(format!(
                    "admin connection not registered: {error}; closing it"
                ));
            }
        };
        if let Some(permit) = self.acquire_permit().await {
            spawn_local(self.clone().serve(Socket::new(stream, permit)));
        }
    }

    /// Returns a descriptor permit for one connection. If none is free, closes the oldest
    /// connection that has no response yet, so that clients that send no request can't lock
    /// out the others.
    async fn acquire_permit(&self) -> Option<DescriptorPermit> {
        if let Some(permit) = self.descriptors.acquire(Purpose::Admin) {
            return Some(permit);
        }
        if let Some(oldest) = self.unanswered_connections.borrow().values().next() {
            oldest.notify_one();
        }
        // Lets the task of the notified connection run and release its permit.
        yield_now().await;
        yield_now().await;
        self.descriptors.acquire(Purpose::Admin)
    }

    async fn serve(self: Rc<Self>, socket: Socket) {
        let number = self.next_connection_number.get();
        self.next_connection_number.set(number + 1);
        let evicted = Rc::new(Notify::new());
        self.unanswered_connections
            .borrow_mut()
            .insert(number, evicted.clone());
        let service = service_fn(|request| async {
            let response = self.respond(request).await;
            self.unanswered_connections.borrow_mut().remove(&number);
            Ok::<_, Infallible>(response)
        });
        let mut http = http1::Builder::new();
        http.keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        tokio::select! {
            // hyper rejects malformed requests itself.
            _ = timeout(CONNECTION_TIMEOUT, http.serve_connection(socket, service)) => {}
            () = evicted.notified() => {}
        }
        self.unanswered_connections.borrow_mut().remove(&number);
    }

    async fn respond(&self, request: Request<Incoming>) -> AdminResponse {
        match self.handle(request).await {
            Ok(text) => text_response(StatusCode::OK, &text),
            Err(error) => error.response(),
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<String, AdminError> {
        let (head, body) = request.into_parts();
        let request = AdminRequest::from_path(head.uri.path()).ok_or(AdminError::UnknownPath)?;
        if head.method != request.method() {
            return Err(AdminError::WrongMethod(request.method()));
        }
        discard_body(body).await?;
        self.execute(request)
    }

    fn execute(&self, request: AdminRequest) -> Result<String, AdminError> {
        match request {
            AdminRequest::Health => {
                if !self.server.is_ready() {
                    return Err(AdminError::NotReady);
                }
                Ok("ready".into())
            }
            AdminRequest::Metrics => Ok(self.dispatcher.borrow().render_metrics()),
            AdminRequest::DrainClients(drain) => {
                let change = match drain {
                    ClientDrain::Begin => "began",
                    ClientDrain::End => "ended",
                };
                log::line(format!("client drain {change}: by admin request"));
                self.server.drain_clients(drain);
                Ok("done".into())
            }
            AdminRequest::SetMaintenance { upstream, change } => {
                let name = percent_decode_str(upstream)
                    .decode_utf8()
                    .map_err(|_| AdminError::MalformedUpstreamName)?;
                // The change is confirmed only after it has been stored, because a successor must
                // know of it.
                self.handover.set_maintenance(&name, change)?;
                Ok("done".into())
            }
        }
    }
}

/// Reads a request body and ignores it.
async fn discard_body(body: Incoming) -> Result<(), AdminError> {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(AdminError::BodyTooLarge);
    }
    match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(_) => Ok(()),
        Err(error) if error.is::<LengthLimitError>() => Err(AdminError::BodyTooLarge),
        Err(_) => Err(AdminError::MalformedBody),
    }
}

#[cfg(test)]
mod tests;
