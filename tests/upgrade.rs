//! Upgrades: a successor is started while its predecessor still runs, and takes over its clients.

mod support;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Clients that open a connection for each request must find a listening process at all times.
#[test]
fn all_clients_are_served_during_an_upgrade() {
    let fixture = UpgradeFixture::new();
    let mut predecessor = fixture.start("127.0.0.1:0");
    let address = predecessor.address;
    let (stop, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, served) = (stop.clone(), served.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let mut client = Client::connect(address).expect("no process is listening");
                    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let wait_for_responses = |count: u64| {
        let goal = served.load(Ordering::SeqCst) + count;
        while served.load(Ordering::SeqCst) < goal {
            assert!(
                !clients.iter().any(thread::JoinHandle::is_finished),
                "a client stopped after a failed request"
            );
            thread::sleep(Duration::from_millis(1));
        }
    };
    wait_for_responses(20);
    let successor = fixture.start(&address.to_string());
    assert_eq!(successor.address, address);
    assert_eq!(successor.admin_request("GET /healthcheck").0, 200);
    wait_for_responses(20);
    predecessor.terminate();
    wait_for_responses(20);
    assert!(predecessor.wait().success());
    wait_for_responses(20);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client
            .join()
            .expect("a client stopped after a failed request");
    }
}

/// Once the predecessor has stopped listening, all new connections go to the successor. The
/// predecessor completes its requests before it exits.
#[test]
fn predecessor_stops_listening_and_completes_its_requests() {
    let fixture = UpgradeFixture::new();
    let mut predecessor = fixture.start("127.0.0.1:0");
    fixture.upstream.set_response(StubResponse::NoResponse);
    let mut waiting = predecessor.client();
    waiting
        .send(
            "/pay",
            &format!("{REQUEST_ID}Request-Timeout: 2.0\r\n"),
            "coins",
        )
        .unwrap();
    fixture.upstream.next();
    let successor = fixture.start(&predecessor.address.to_string());
    fixture.upstream.set_response(StubResponse::Ok);
    predecessor.terminate();
    // The predecessor sends the response before it exits.
    assert_eq!(waiting.receive().unwrap().unwrap().status(), 502);
    assert!(predecessor.wait().success());
    for _ in 0..10 {
        assert_eq!(
            successor
                .client()
                .request("/pay", REQUEST_ID, "coins")
                .status(),
            200
        );
    }
}

#[test]
fn maintenance_survives_an_upgrade_and_changes_reach_both_processes() {
    let fixture = UpgradeFixture::new();
    let predecessor = fixture.start("127.0.0.1:0");
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    let successor = fixture.start(&predecessor.address.to_string());
    assert_eq!(successor.metric("upstreams_excluded"), 1);
    assert_eq!(successor.admin_request("POST /upstreams/u0/ready").0, 200);
    let wait_for_excluded_on_both = |count| {
        while [&predecessor, &successor]
            .iter()
            .any(|program| program.metric("upstreams_excluded") != count)
        {
            thread::sleep(Duration::from_millis(1));
        }
    };
    wait_for_excluded_on_both(0);
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    wait_for_excluded_on_both(1);
    drop(predecessor);
    // A further successor restores the maintenance too.
    let newest = fixture.start(&successor.address.to_string());
    assert_eq!(newest.metric("upstreams_excluded"), 1);
}

#[test]
fn a_successor_accepts_clients_only_once_it_knows_an_upstream() {
    let fixture = UpgradeFixture::new();
    let predecessor = fixture.start("127.0.0.1:0");
    let address = predecessor.address.to_string();
    let mut watch = fixture.discovery.next();
    watch.send_line("");
    let (folder, empty) = (
        &fixture.folder,
        config(&list(0, true, &[]), fixture.discovery.address, 256),
    );
    thread::scope(|scope| {
        let successor = scope.spawn(move || start_in_folder(folder, &empty, &address));
        let mut watch = fixture.discovery.next();
        for _ in 0..20 {
            assert_eq!(
                predecessor
                    .client()
                    .request("/pay", REQUEST_ID, "coins")
                    .status(),
                200
            );
        }
        assert!(
            !successor.is_finished(),
            "the successor is listening for clients without a known upstream"
        );
        watch.send_line(&list(
            6,
            true,
            &[endpoint("u0", fixture.upstream.address, "in_service")],
        ));
        let successor = successor.join().unwrap();
        assert_eq!(successor.admin_request("GET /healthcheck").0, 200);
    });
}

#[test]
fn predecessor_and_successor_share_one_descriptor_limit() {
    let fixture = UpgradeFixture::new();
    let predecessor = fixture.start("127.0.0.1:0");
    let idle: Vec<_> = (0..120).map(|_| predecessor.client()).collect();
    assert_eq!(predecessor.admin_request("GET /healthcheck").0, 200);
    let successor = fixture.start(&predecessor.address.to_string());
    let later_clients: Vec<_> = (0..250).map(|_| successor.client()).collect();
    for program in [&predecessor, &successor] {
        assert_eq!(program.admin_request("GET /healthcheck").0, 200);
    }
    let open_descriptors_of_both = predecessor.open_descriptors() + successor.open_descriptors();
    assert!(
        open_descriptors_of_both <= 256,
        "{open_descriptors_of_both} descriptors are open, the limit is 256"
    );
    drop((idle, later_clients));
}

/// While the predecessor is suspended, the successor knows the predecessor's maintenance only from
/// the state file. The successor must keep that maintenance when it receives a maintenance request
/// itself.
#[test]
fn successor_keeps_the_maintenance_of_a_suspended_predecessor() {
    let fixture = UpgradeFixture::new();
    let other = StubUpstream::start(StubResponse::Ok);
    let known = [("u0", fixture.upstream.address), ("u1", other.address)];
    let known = known.map(|(name, address)| endpoint(name, address, "in_service"));
    let config = config(&list(5, true, &known), fixture.discovery.address, 256);
    let predecessor = start_in_folder(&fixture.folder, &config, "127.0.0.1:0");
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    predecessor.suspend();
    let variables = [
        ("TMPDIR", fixture.folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    let mut successor = spawn_with_variables(&variables, &config, &predecessor.address.to_string());
    let mut log = BufReader::new(successor.stderr.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let admin = log
        .find(|line| line.contains("listening for admin requests: "))
        .unwrap();
    let admin: SocketAddr = admin.rsplit(' ').next().unwrap().parse().unwrap();
    let mut admin_client = Client::connect(admin).unwrap();
    admin_client.write("POST /upstreams/u1/maint HTTP/1.1\r\nHost: console\r\n\r\n");
    assert_eq!(
        admin_client
            .receive()
            .unwrap()
            .expect("no response")
            .status(),
        200
    );
    predecessor.resume();
    assert!(log.any(|line| line.contains("listening for clients: ")));
    wait_until("the predecessor has both upstreams in maintenance", || {
        predecessor.metric("upstreams_excluded") == 2
    });
    let mut admin_client = Client::connect(admin).unwrap();
    admin_client.write("GET /stats HTTP/1.1\r\nHost: console\r\n\r\n");
    let metrics = admin_client.receive().unwrap().expect("no response").body;
    assert!(
        String::from_utf8(metrics)
            .unwrap()
            .contains("upstreams_excluded:2|"),
        "the successor does not have both upstreams in maintenance"
    );
    successor.kill().unwrap();
    successor.wait().unwrap();
}

#[test]
fn predecessor_keeps_serving_after_sigterm_to_an_unready_successor() {
    let fixture = UpgradeFixture::new();
    let predecessor = fixture.start("127.0.0.1:0");
    let mut client = predecessor.client();
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    // The successor knows no upstream and discovery sends nothing, so it is not ready.
    let empty = config(&list(5, true, &[]), fixture.discovery.address, 256);
    let mut successor = spawn_in_folder(&fixture.folder, &empty, &predecessor.address.to_string());
    let mut log = BufReader::new(successor.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "the successor did not find its predecessor"
    );
    assert!(Command::new("kill")
        .args(["-TERM", &successor.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(successor.wait().unwrap().success());
    assert_eq!(client.request("/pay", REQUEST_ID, "coins").status(), 200);
    assert_eq!(
        predecessor
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(predecessor.admin_request("GET /healthcheck").0, 200);
}
