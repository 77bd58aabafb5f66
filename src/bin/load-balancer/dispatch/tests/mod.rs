//! Unit tests of the dispatcher: each request gets one final response, and its state is freed.

mod notification;

use super::*;
use crate::discovery::{Endpoint, EndpointStatus};
use crate::upstream::{ForwardedRequest, ResponseContent};
use load_balancer::Settings;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: name.into(),
        address,
        zone: "z".into(),
        machine_kind: "std".into(),
        cell: 0,
        status: EndpointStatus::InService,
        started_at_ms: 0.0,
    }
}

fn start(endpoints: Vec<Endpoint>) -> Rc<RefCell<Dispatcher>> {
    let unused_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let config = Config {
        name: "n".into(),
        listen: unused_address,
        discovery: unused_address,
        admin: None,
        seed: 1,
        max_descriptors: 1024,
        memory_bytes: 32 << 20,
        known_endpoints: EndpointList {
            version: 1,
            snapshot: true,
            endpoints,
        },
        settings: Settings {
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        },
        names: NameTables::default(),
    };
    let resources = Resources::new(&config);
    Dispatcher::start(config, resources).expect("the settings are invalid")
}

fn request_with_deadline(request_timeout: Duration) -> ValidatedRequest {
    thread_local!(static LAST_ID: Cell<u64> = const { Cell::new(0) });
    let client_request_id = LAST_ID.with(|last| last.replace(last.get() + 1).to_string());
    ValidatedRequest {
        client_request_id,
        class: 0,
        tenant: 0,
        cost_hint: None,
        forwarded_request: ForwardedRequest::without_client(request_timeout),
    }
}

/// Starts an upstream that responds to each request with `response`, or never if it is `None`.
async fn spawn_upstream(response: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("no port can be bound");
    let address = listener.local_addr().expect("the listener is not bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    if let Some(text) = response {
                        let _ = stream.write_all(text.as_bytes()).await;
                    }
                }
            });
        }
    });
    address
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can't be built");
    LocalSet::new().block_on(&runtime, test);
}

/// Whether upstreams serve, fail, stay silent or send garbage, each request whose client stays
/// connected gets one final response, the decision module gets a result for each attempt, and no
/// state is left at the end.
#[test]
fn every_request_gets_one_final_response_and_is_removed() {
    run(async {
        let serving_address =
            spawn_upstream(Some("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")).await;
        let endpoints = vec![
            endpoint("served", serving_address),
            endpoint(
                "failing",
                spawn_upstream(Some("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")).await,
            ),
            endpoint("silent", spawn_upstream(None).await),
            endpoint("garbled", spawn_upstream(Some("what?\r\n\r\n")).await),
        ];
        let dispatcher = start(endpoints);
        let mut pending = Vec::new();
        for number in 0..60 {
            let DispatchedRequest { id, response } = dispatcher
                .borrow_mut()
                .accept(request_with_deadline(Duration::from_secs(1)))
                .expect("the request is rejected");
            match number % 5 {
                0 => dispatcher.borrow_mut().client_disconnected(id),
                _ => pending.push((id, response)),
            }
            sleep(Duration::from_millis(2)).await;
        }
        let mut served_count = 0;
        for (id, response) in pending {
            if let FinalResponse::Served(served) =
                response.await.expect("the response channel was closed")
            {
                assert!(matches!(served.body, ResponseContent::Complete(body) if body == "hi"));
                served_count += 1;
            }
            // After the final response a disconnect of the client has no effect.
            dispatcher.borrow_mut().client_disconnected(id);
        }
        assert!(served_count > 0);
        let is_empty = || {
            dispatcher.borrow().requests.len() == 0
                && dispatcher.borrow().balancer.load().attempts_in_flight == 0
        };
        let all_removed = async {
            while !is_empty() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(20), all_removed)
            .await
            .expect("requests or attempts are left after 20 s");
        assert_eq!(dispatcher.borrow().balancer.load().open_requests, 0);
        assert!(dispatcher.borrow().events.is_empty());
    });
}

#[test]
fn request_without_a_decision_is_concluded_before_its_deadline() {
    run(async {
        let dispatcher = start(vec![endpoint("silent", spawn_upstream(None).await)]);
        let deadline = Duration::from_millis(400);
        let DispatchedRequest { response, .. } = dispatcher
            .borrow_mut()
            .accept(request_with_deadline(deadline))
            .expect("the request is rejected");
        // The timers of the decision module are dropped and the attempts are aborted, so that only
        // the backstop can conclude the request.
        dispatcher
            .borrow_mut()
            .timers
            .retain(|timer| matches!(timer, Timer::DeadlineBackstop(_)));
        dispatcher.borrow_mut().requests.abort_tasks();
        let response = timeout(Duration::from_secs(20), response)
            .await
            .expect("no final response within 20 s")
            .expect("the response channel was closed");
        assert!(matches!(response, FinalResponse::Failed));
        assert_eq!(
            dispatcher.borrow().balancer.load().open_requests,
            dispatcher.borrow().requests.len()
        );
    });
}

#[test]
fn too_many_open_requests_are_rejected() {
    run(async {
        let dispatcher = start(vec![endpoint("silent", spawn_upstream(None).await)]);
        dispatcher.borrow_mut().requests.set_max_open(2);
        let accept = || {
            dispatcher
                .borrow_mut()
                .accept(request_with_deadline(Duration::from_secs(5)))
        };
        let accepted = (accept(), accept());
        assert!(accepted.0.is_ok() && accepted.1.is_ok());
        assert_eq!(accept().err(), Some(RejectionReason::TooManyOpen));
    });
}

#[test]
fn upstream_is_identified_by_name_not_by_address() {
    run(async {
        let dispatcher = start(Vec::new());
        let at = |host| SocketAddr::from(([127, 0, 0, host], 9000));
        let update = |endpoint| {
            let dispatcher = &mut *dispatcher.borrow_mut();
            dispatcher.upstreams.update(endpoint, &dispatcher.names)
        };
        let one = update(endpoint("s", at(1)));
        let two = update(endpoint("s", at(2)));
        assert_eq!((one.id, one.started_at), (two.id, 0.0));
        assert_ne!(one.id, update(endpoint("t", at(1))).id);
        assert_eq!(
            dispatcher.borrow().upstreams.available_address(one.id),
            Some(at(2))
        );
    });
}
