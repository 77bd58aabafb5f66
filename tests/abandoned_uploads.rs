//! Requests that are concluded while their body is still being sent, with settings that forbid
//! cancelling attempts. No upstream may run them.

mod support;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread;
use std::time::Duration;
use support::*;

const SEND_INTERVAL: Duration = Duration::from_millis(20);
const FIRST_CHUNK_BYTES: usize = 100_000;

/// Starts the program with settings that forbid cancelling attempts.
fn start_without_cancellation(upstreams: &[StubUpstream]) -> (Program, StubDiscovery) {
    let discovery = StubDiscovery::start();
    let addresses: Vec<_> = upstreams.iter().map(|upstream| upstream.address).collect();
    let config = config_with_upstreams(&addresses, discovery.address, 256);
    let config = config.replace("\"cancel\":true", "\"cancel\":false");
    (Program::start(&config, "127.0.0.1:0"), discovery)
}

/// Sends the head of a request whose time ends after the last response of a shutdown, which is due
/// 3.45 s after SIGTERM, and the first chunk of its body, which is more than is read ahead.
fn begin_upload(program: &Program, id: &str) -> Client {
    let mut client = program.client();
    client.write(&format!(
        "POST /pay HTTP/1.1\r\nRequest-Id: {id}\r\nRequest-Timeout: 4.5\r\n\
         Transfer-Encoding: chunked\r\n\r\n{FIRST_CHUNK_BYTES:x}\r\n{}\r\n",
        "x".repeat(FIRST_CHUNK_BYTES)
    ));
    client
}

fn wait_for_connection(upstream: &StubUpstream) {
    wait_until("the upstream has a connection", || {
        upstream.connection_count.load(Ordering::SeqCst) > 0
    });
}

/// A request that is rejected because the process ends must not be completed at an upstream,
/// whether its client goes on sending or sends the end of its body.
#[test]
fn a_request_rejected_during_a_shutdown_is_not_completed() {
    let upstreams = [StubResponse::Ok; 2].map(StubUpstream::start);
    let (program, _discovery) = start_without_cancellation(&upstreams);
    let mut clients = ["ab01", "ab02"].map(|id| begin_upload(&program, id));
    upstreams.iter().for_each(wait_for_connection);
    let (stop, stopped) = channel::<()>();
    let [mut endless, mut finishing] = clients.each_ref().map(Client::writer);
    let sending = thread::spawn(move || {
        while stopped.recv_timeout(SEND_INTERVAL) == Err(RecvTimeoutError::Timeout) {
            // A failed write is ignored: the program closes the connection after its response.
            let _ = endless("1\r\ny\r\n");
            let _ = finishing("1\r\ny\r\n");
        }
    });
    program.terminate();
    for client in &mut clients {
        let response = client.receive().unwrap().expect("no response");
        assert_eq!(response.status(), 503);
    }
    clients[1].write("0\r\n\r\n");
    for upstream in &upstreams {
        upstream.wait_for_close();
        assert_eq!(upstream.seen.try_iter().count(), 0);
    }
    stop.send(()).unwrap();
    sending.join().unwrap();
}

/// A client that leaves while it sends its body has not sent a request that may run.
#[test]
fn a_request_whose_client_leaves_during_its_body_is_not_completed() {
    let leave: [fn(Client); 3] = [drop, Client::reset, |client| client.half_close()];
    for leave in leave {
        let upstream = StubUpstream::start(StubResponse::Ok);
        let (program, _discovery) = start_without_cancellation(std::slice::from_ref(&upstream));
        let client = begin_upload(&program, "ab03");
        wait_for_connection(&upstream);
        leave(client);
        upstream.wait_for_close();
        assert_eq!(upstream.seen.try_iter().count(), 0);
    }
}
