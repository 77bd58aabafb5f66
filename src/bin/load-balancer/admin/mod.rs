//! The admin endpoint: health, figures, and what operators say about upstreams and clients. One call a connection.

use crate::dispatch::Dispatcher;
use crate::handover::Handover;
use crate::log;
use crate::server::listener::{Listener, PendingConnection};
use crate::server::{ClientDrain, Server};
use crate::socket::{DescriptorBudget, Purpose, Socket};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// A call is read and its answer taken within this time, or its connection is closed.
const WHOLE_CALL: Duration = Duration::from_secs(2);
const LARGEST_HEAD: usize = 8 << 10;
const MOST_HEADERS: usize = 64;
/// No call needs a body; one of this size is read and passed over.
const MAX_BODY_BYTES: usize = 4 << 10;
/// After a failed accept the next try comes this much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(10);

/// Serves the operators.
pub struct Admin {
    dispatcher: Rc<RefCell<Dispatcher>>,
    server: Rc<Server>,
    handover: Rc<Handover>,
    budget: Rc<DescriptorBudget>,
    /// Whoever has not asked yet, the one that has waited longest first.
    waiting: RefCell<BTreeMap<u64, Rc<Notify>>>,
    accepted: Cell<u64>,
}

/// What a call asks for.
#[derive(Debug, PartialEq)]
enum Call<'a> {
    Ready,
    Metrics,
    /// Leave this upstream out, or use it again.
    Maintain(&'a str, bool),
    /// Send clients away, or end that.
    SendAway(bool),
}

impl<'a> Call<'a> {
    /// What stands at this path, and the method that it is asked for with.
    fn at(path: &'a str) -> Option<(Method, Self)> {
        let parts: Vec<_> = path.strip_prefix('/')?.split('/').collect();
        Some(match parts[..] {
            ["healthcheck"] => (Method::GET, Call::Ready),
            ["stats"] => (Method::GET, Call::Metrics),
            ["healthcheck", "fail"] => (Method::POST, Call::SendAway(true)),
            ["healthcheck", "ok"] => (Method::POST, Call::SendAway(false)),
            ["upstreams", id, "maint"] => (Method::POST, Call::Maintain(id, true)),
            ["upstreams", id, "ready"] => (Method::POST, Call::Maintain(id, false)),
            _ => return None,
        })
    }
}

impl Admin {
    pub fn new(
        dispatcher: Rc<RefCell<Dispatcher>>,
        server: Rc<Server>,
        handover: Rc<Handover>,
        budget: Rc<DescriptorBudget>,
    ) -> Rc<Self> {
        let (waiting, accepted) = Default::default();
        Rc::new(Admin {
            dispatcher,
            server,
            handover,
            budget,
            waiting,
            accepted,
        })
    }

    /// Takes connections until dropped.
    pub async fn accept(self: Rc<Self>, listener: Listener) {
        loop {
            match listener.accept().await {
                Ok(accepted) => self.admit(accepted).await,
                Err(error) => {
                    log::line(format!("console: accept: {error}"));
                    sleep(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    async fn admit(self: &Rc<Self>, accepted: PendingConnection) {
        let stream = match accepted.register().await {
            Ok(stream) => stream,
            Err(error) => {
                return log::line(format!("console: a connection can't be served: {error}"))
            }
        };
        let mut permit = self.budget.acquire(Purpose::Admin);
        if permit.is_none() {
            // Guards against callers that say nothing and keep out the one that asks.
            let oldest = self.waiting.borrow().values().next().cloned();
            oldest.into_iter().for_each(|oldest| oldest.notify_one());
            // Lets its task close the connection.
            yield_now().await;
            yield_now().await;
            permit = self.budget.acquire(Purpose::Admin);
        }
        let Some(permit) = permit else { return };
        spawn_local(self.clone().serve(Socket::new(stream, permit)));
    }

    async fn serve(self: Rc<Self>, socket: Socket) {
        let number = self.accepted.get();
        self.accepted.set(number + 1);
        let evicted = Rc::new(Notify::new());
        self.waiting.borrow_mut().insert(number, evicted.clone());
        let service = service_fn(|request| async {
            let answer = self.answer(request).await;
            self.waiting.borrow_mut().remove(&number);
            Ok::<_, Infallible>(answer)
        });
        let mut http = http1::Builder::new();
        http.keep_alive(false)
            .max_buf_size(LARGEST_HEAD)
            .max_headers(MOST_HEADERS);
        tokio::select! {
            // A caller that breaks off or sends nonsense has been told so by hyper.
            _ = timeout(WHOLE_CALL, http.serve_connection(socket, service)) => {}
            () = evicted.notified() => {}
        }
        self.waiting.borrow_mut().remove(&number);
    }

    async fn answer(&self, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Some((method, call)) = Call::at(head.uri.path()) else {
            return text(StatusCode::NOT_FOUND, "no such call");
        };
        if head.method != method {
            let mut answer = text(
                StatusCode::METHOD_NOT_ALLOWED,
                &format!("this is asked for with {method}"),
            );
            if let Ok(method) = HeaderValue::from_str(method.as_str()) {
                answer.headers_mut().insert(ALLOW, method);
            }
            return answer;
        }
        let too_large = || text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
            return too_large();
        }
        match Limited::new(body, MAX_BODY_BYTES).collect().await {
            Ok(_) => self.carry_out(call),
            Err(error) if error.is::<LengthLimitError>() => too_large(),
            Err(_) => text(StatusCode::BAD_REQUEST, "the body is broken"),
        }
    }

    fn carry_out(&self, call: Call) -> Answer {
        match call {
            Call::Ready if self.server.is_ready() => text(StatusCode::OK, "ready"),
            Call::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            Call::Metrics => text(StatusCode::OK, &self.dispatcher.borrow().render_metrics()),
            Call::SendAway(away) => {
                log::line(format!(
                    "console: clients are {}",
                    if away { "sent away" } else { "welcome again" }
                ));
                self.server.drain_clients(if away {
                    ClientDrain::Start
                } else {
                    ClientDrain::Stop
                });
                text(StatusCode::OK, "done")
            }
            Call::Maintain(id, out) => {
                let Ok(name) = percent_decode_str(id).decode_utf8() else {
                    return text(StatusCode::BAD_REQUEST, "the id can't be read");
                };
                // Guards against a yes that an upgrade would undo.
                match self.handover.maintain(&name, out) {
                    Ok(true) => text(StatusCode::OK, "done"),
                    Ok(false) => text(StatusCode::NOT_FOUND, "no such upstream"),
                    Err(_) => text(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "done, but an upgrade now would undo it",
                    ),
                }
            }
        }
    }
}

type Answer = Response<Full<Bytes>>;

fn text(status: StatusCode, text: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(format!("{}\n", text.trim_end()))));
    *response.status_mut() = status;
    response.headers_mut().insert(
        CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    response
}

#[cfg(test)]
mod tests;
