//! Requests whose ids come again, which must not run twice.

mod support;
use std::thread::sleep;
use std::time::Duration;
use support::*;

/// The longest deadline of the classes, in seconds.
const DEADLINE_SECONDS: f64 = 0.3;
/// Longer than the longest deadline several times over.
const LATER: Duration = Duration::from_millis(1500);
const REQUESTS: usize = 4;

fn headers(id: &str) -> String {
    format!("Request-Id: {id}\r\n")
}

/// Returns how many requests for `/pay` have reached this upstream.
fn count_runs(upstream: &StubUpstream) -> usize {
    let runs = upstream.seen.try_iter();
    runs.filter(|run| run.start_line.contains("/pay")).count()
}

/// A client that disconnects after its request was sent may come back with the same id after the
/// deadline. The request may have run, so it must not be sent again.
#[test]
fn request_is_not_run_again_when_its_client_returns_after_disconnecting() {
    let upstream = StubUpstream::start(StubResponse::Hold);
    let discovery = StubDiscovery::start();
    let config = config_with_upstreams(&[upstream.address], discovery.address, 256).replace(
        "\"aim\":5.0,\"hardLimit\":10.0",
        &format!("\"aim\":0.2,\"hardLimit\":{DEADLINE_SECONDS}"),
    );
    let program = Program::start(&config, "127.0.0.1:0");
    for number in 0..REQUESTS {
        let mut client = program.client();
        client
            .send("/pay", &headers(&format!("id{number}")), "coins")
            .unwrap();
        upstream.next();
    }
    upstream.release();
    for pause in [Duration::ZERO, LATER, LATER] {
        sleep(pause);
        for number in 0..REQUESTS {
            let headers = headers(&format!("id{number}"));
            let response = program.client().request("/pay", &headers, "coins");
            assert_eq!(response.status(), 409, "id{number}");
        }
    }
    assert_eq!(count_runs(&upstream), 0);
}

/// A request that was never sent has not run, so its client may send it again.
#[test]
fn request_that_was_never_sent_is_served_when_it_comes_again() {
    let upstream = StubUpstream::start(StubResponse::Ok);
    let (program, _discovery) = Program::with_upstreams(&[upstream.address]);
    let without_time = format!("{}Request-Timeout: 0\r\n", headers("id"));
    let response = program.client().request("/pay", &without_time, "coins");
    assert_eq!(response.status(), 503);
    let response = program.client().request("/pay", &headers("id"), "coins");
    assert_eq!(response.status(), 200);
    assert_eq!(count_runs(&upstream), 1);
}

/// Connects clients until this process serves one, and returns it. During an upgrade the kernel
/// chooses the process for a connection.
fn client_of(program: &Program) -> Client {
    loop {
        let served = program.metric("served.read");
        let mut client = program.client();
        let response = client.request("/read", "Request-Id: {id}\r\n", "");
        assert_eq!(response.status(), 200);
        if program.metric("served.read") > served {
            return client;
        }
    }
}

/// Sends a request on a new connection to this process, and returns the status of the response.
fn status(program: &Program, headers: &str) -> u16 {
    let mut client = client_of(program);
    client.request("/pay", headers, "coins").status()
}

/// An id must not run twice when it comes again at the other process of an upgrade, whichever of
/// the two has run it, and also after the predecessor has ended.
#[test]
fn request_is_not_run_again_at_the_other_process_of_an_upgrade() {
    let fixture = UpgradeFixture::new();
    let mut old = fixture.start("127.0.0.1:0");
    assert_eq!(status(&old, &headers("before")), 200);
    let new = fixture.start(&old.address.to_string());
    assert_eq!(status(&new, &headers("before")), 409);
    for (first, second, id) in [(&old, &new, "at-old"), (&new, &old, "at-new")] {
        assert_eq!(status(first, &headers(id)), 200);
        assert_eq!(status(second, &headers(id)), 409);
    }
    old.terminate();
    assert!(old.wait().success());
    for id in ["before", "at-old", "at-new"] {
        assert_eq!(status(&new, &headers(id)), 409, "{id}");
    }
    assert_eq!(status(&new, &headers("after")), 200);
    assert_eq!(count_runs(&fixture.upstream), 4);
}

/// A request that one process of an upgrade has rejected unsent may be sent by the other.
#[test]
fn request_that_was_never_sent_is_served_by_the_other_process_of_an_upgrade() {
    let fixture = UpgradeFixture::new();
    let old = fixture.start("127.0.0.1:0");
    let new = fixture.start(&old.address.to_string());
    for (first, second, id) in [(&old, &new, "at-old"), (&new, &old, "at-new")] {
        let without_time = format!("{}Request-Timeout: 0\r\n", headers(id));
        assert_eq!(status(first, &without_time), 503);
        assert_eq!(status(second, &headers(id)), 200);
        assert_eq!(status(first, &headers(id)), 409);
    }
    assert_eq!(count_runs(&fixture.upstream), 2);
}

/// Clients send the same ids to both processes of an upgrade at the same time.
#[test]
fn simultaneous_requests_at_both_processes_of_an_upgrade_run_at_most_once() {
    let fixture = UpgradeFixture::new();
    let old = fixture.start("127.0.0.1:0");
    let new = fixture.start(&old.address.to_string());
    let mut served = 0;
    for number in 0..40 {
        let mut clients = [&old, &new].map(client_of);
        let headers = headers(&format!("id{number}"));
        for client in &mut clients {
            client.send("/pay", &headers, "coins").unwrap();
        }
        let statuses = clients.map(|mut client| client.receive().unwrap().unwrap().status());
        assert!(statuses.contains(&409), "{statuses:?}");
        served += statuses.iter().filter(|status| **status == 200).count();
    }
    assert_eq!(count_runs(&fixture.upstream), served);
}
