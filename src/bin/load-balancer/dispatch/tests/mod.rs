//! Unit tests of the driver: what is settled, and what is then forgotten.

mod notification;

use super::*;
use crate::body::Upload;
use crate::config::Config;
use crate::upstream::ResponseContent;
use hyper::{HeaderMap, Method, Uri};
use load_balancer::Settings;
use std::future::Future;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

fn endpoint(name: &str, address: SocketAddr) -> Endpoint {
    let (zone, kind, status) = ("z".into(), "std".into(), "in_service".into());
    Endpoint {
        name: name.into(),
        address,
        zone,
        kind,
        group: 0,
        status,
        since_ms: 0.0,
    }
}

fn start(endpoints: Vec<Endpoint>) -> Rc<RefCell<Dispatcher>> {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    let config = Config {
        name: "n".into(),
        listen: nowhere,
        discovery: nowhere,
        admin: None,
        seed: 1,
        max_descriptors: 1024,
        memory_bytes: 32 << 20,
        known_endpoints: EndpointList {
            index: 1,
            snapshot: true,
            endpoints,
        },
        settings: Settings {
            discovery_mode: DiscoveryMode::Poll,
            ..Settings::simple()
        },
        names: NameTables::default(),
    };
    Dispatcher::start(config, DescriptorBudget::new(1024, false)).expect("good settings")
}

fn request(wait: Duration) -> AcceptedRequest {
    let (method, uri, headers) = (Method::GET, Uri::from_static("/call"), HeaderMap::new());
    let upload = Rc::new(Upload::empty());
    let (client, settled) = Default::default();
    let forward = ForwardedRequest {
        method,
        uri,
        headers,
        upload,
        client,
        timeout: wait,
        drain_deadline: settled,
    };
    thread_local!(static LAST: Cell<u64> = const { Cell::new(0) });
    let name = LAST.with(|last| last.replace(last.get() + 1).to_string());
    AcceptedRequest {
        name,
        class: 0,
        tenant: 0,
        cost_hint: None,
        forward,
    }
}

/// An upstream that answers with this text, or reads on for ever.
async fn peer(answer: Option<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                let mut bytes = [0; 4096];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    if let Some(text) = answer {
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
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards against answers given twice or never, outcomes that the module never hears of, and state that
/// stays: whatever the upstreams do and whichever clients leave, all is free in the end.
#[test]
fn every_request_is_settled_once_and_then_forgotten() {
    run(async {
        let served = peer(Some("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")).await;
        let endpoints = vec![
            endpoint("served", served),
            endpoint(
                "failing",
                peer(Some("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")).await,
            ),
            endpoint("silent", peer(None).await),
            endpoint("garbled", peer(Some("what?\r\n\r\n")).await),
        ];
        let dispatcher = start(endpoints);
        let mut waiting = Vec::new();
        for number in 0..60 {
            let (id, answer) = dispatcher
                .borrow_mut()
                .accept(request(Duration::from_secs(1)))
                .expect("room");
            match number % 5 {
                0 => dispatcher.borrow_mut().client_disconnected(id),
                _ => waiting.push((id, answer)),
            }
            sleep(Duration::from_millis(2)).await;
        }
        let mut bodies = 0;
        for (id, answer) in waiting {
            if let FinalResponse::Served(answer) = answer.await.expect("a final answer") {
                assert!(matches!(answer.body, ResponseContent::Complete(body) if body == "hi"));
                bodies += 1;
            }
            // The client has its answer: that it goes now changes nothing.
            dispatcher.borrow_mut().client_disconnected(id);
        }
        assert!(bodies > 0);
        let free =
            || dispatcher.borrow().open.is_empty() && dispatcher.borrow().balancer.load().1 == 0;
        let all_free = async {
            while !free() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(20), all_free)
            .await
            .expect("all is free in the end");
        assert_eq!(dispatcher.borrow().balancer.load().0, 0);
        assert!(dispatcher.borrow().events.is_empty());
    });
}

#[test]
fn an_answer_that_the_module_owes_is_given_before_the_client_s_time_is_up() {
    run(async {
        let dispatcher = start(vec![endpoint("silent", peer(None).await)]);
        let deadline = Duration::from_millis(400);
        let (_, answer) = dispatcher
            .borrow_mut()
            .accept(request(deadline))
            .expect("room");
        // The timers that the module asked for are lost.
        dispatcher
            .borrow_mut()
            .timers
            .retain(|Reverse((_, due))| matches!(due, Due::DeadlineBackstop(_)));
        dispatcher.borrow_mut().open.values_mut().for_each(|open| {
            open.attempts
                .iter()
                .for_each(|out| out.task.iter().for_each(AbortHandle::abort));
        });
        let answer = timeout(Duration::from_secs(20), answer)
            .await
            .expect("in time")
            .expect("one");
        assert!(matches!(answer, FinalResponse::Failed));
        assert_eq!(
            dispatcher.borrow().balancer.load().0,
            dispatcher.borrow().open.len()
        );
    });
}

#[test]
fn too_many_open_requests_are_not_taken() {
    run(async {
        let dispatcher = start(vec![endpoint("silent", peer(None).await)]);
        dispatcher.borrow_mut().most_open = 2;
        let take = || {
            dispatcher
                .borrow_mut()
                .accept(request(Duration::from_secs(5)))
        };
        let kept = (take(), take());
        assert!(kept.0.is_ok() && kept.1.is_ok());
        assert_eq!(take().err(), Some(RejectionReason::TooManyOpen));
    });
}

#[test]
fn an_upstream_is_known_by_its_name_wherever_it_is() {
    run(async {
        let dispatcher = start(Vec::new());
        let at = |host| SocketAddr::from(([127, 0, 0, host], 9000));
        let one = dispatcher.borrow_mut().entry(endpoint("s", at(1)));
        let two = dispatcher.borrow_mut().entry(endpoint("s", at(2)));
        assert_eq!((one.id, one.started_at), (two.id, 0.0));
        assert_ne!(
            one.id,
            dispatcher.borrow_mut().entry(endpoint("t", at(1))).id
        );
        assert_eq!(dispatcher.borrow().targets[&one.id].address, at(2));
    });
}

#[test]
fn the_clock_is_unix_time_and_never_steps_back() {
    let clock = Clock::new();
    let unix = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("after 1970")
        .as_secs_f64();
    let (first, second) = (clock.at(Instant::now()), clock.at(Instant::now()));
    assert!(second >= first && (first - unix).abs() < 60.0);
}
