//! Failures of system calls that a handover depends on, and a kill during a write of the state
//! file.

mod support;
use support::*;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

/// Writes to the folder of the state file fail temporarily.
#[test]
fn a_failed_write_of_the_state_file_is_retried() {
    // `write` fails with ENOSPC, `rename` with EIO. The first 8 calls fail, which is more than the
    // process makes before it responds to the admin request.
    for faults in ["write:28:1:1:8", "rename:5:1:1:8"] {
        let fixture = UpgradeFixture::new();
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", faults),
        ];
        let predecessor = fixture.start_with(&variables, "127.0.0.1:0");
        assert_eq!(
            predecessor.admin_request("POST /upstreams/u0/maint").0,
            500,
            "{faults}"
        );
        wait_until("the state is stored", || {
            fixture.state_file(predecessor.address).exists()
        });
        let successor = fixture.start(&predecessor.address.to_string());
        wait_until("the maintenance is restored", || {
            successor.metric("upstreams_excluded") == 1
        });
    }
}

/// The folder of the handover socket is temporarily full (ENOSPC).
#[test]
fn a_failed_creation_of_the_handover_socket_is_retried() {
    let fixture = UpgradeFixture::new();
    // A process binds its two listeners first, and the handover socket with the third bind.
    let variables = [
        ("LD_PRELOAD", fault_injection_library()),
        ("FAULTS", "bind:28:3:1:2"),
    ];
    let predecessor = fixture.start_with(&variables, "127.0.0.1:0");
    assert_eq!(
        predecessor
            .client()
            .request("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    wait_until("the handover socket exists", || {
        fixture
            .state_file(predecessor.address)
            .with_extension("sock")
            .exists()
    });
    let successor = fixture.start(&predecessor.address.to_string());
    wait_until("both processes are ready", || {
        predecessor.admin_request("GET /healthcheck").0 == 200
            && successor.admin_request("GET /healthcheck").0 == 200
    });
    assert!(predecessor.open_descriptors() + successor.open_descriptors() <= 256);
}

/// Without a connection to its predecessor, a successor would act as the only process and miss
/// changes of the maintenance. Without the state file, it would not know which upstreams are in
/// maintenance. The calls fail with EIO, ENFILE, EAGAIN or ENOMEM.
#[test]
fn successor_finds_its_predecessor_despite_transient_call_failures() {
    for faults in [
        "open:5:2:1:3",
        "open:23:2:1:3",
        "connect_unix:11:1:1:3",
        "connect_unix:12:1:1:3",
        "socket_unix:23:1:1:3",
    ] {
        let fixture = UpgradeFixture::new();
        let predecessor = fixture.start("127.0.0.1:0");
        assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", faults),
        ];
        let successor = fixture.start_with(&variables, &predecessor.address.to_string());
        assert_eq!(successor.metric("upstreams_excluded"), 1, "{faults}");
        assert_eq!(predecessor.admin_request("POST /upstreams/u0/ready").0, 200);
        wait_until("the successor has ended the maintenance", || {
            successor.metric("upstreams_excluded") == 0
        });
    }
}

#[test]
fn changes_reach_the_peer_despite_failing_recv_and_send() {
    // Every second call of recv or send fails with one of EINTR, ENOBUFS and ENOMEM.
    for (call, error) in ["recv", "send"]
        .iter()
        .flat_map(|call| [4, 105, 12].map(|error| (*call, error)))
    {
        let fixture = UpgradeFixture::new();
        let faults = format!("{call}:{error}:1:2:1000000");
        let variables = [
            ("LD_PRELOAD", fault_injection_library()),
            ("FAULTS", faults.as_str()),
        ];
        let predecessor = fixture.start_with(&variables, "127.0.0.1:0");
        let successor = fixture.start_with(&variables, &predecessor.address.to_string());
        for round in 0..10 {
            let (sender, receiver) = if round % 2 == 0 {
                (&predecessor, &successor)
            } else {
                (&successor, &predecessor)
            };
            assert_eq!(
                sender.admin_request("POST /upstreams/u0/maint").0,
                200,
                "{faults}"
            );
            wait_until("maintenance has begun", || {
                receiver.metric("upstreams_excluded") == 1
            });
            assert_eq!(
                receiver.admin_request("POST /upstreams/u0/ready").0,
                200,
                "{faults}"
            );
            wait_until("maintenance has ended", || {
                sender.metric("upstreams_excluded") == 0
            });
        }
    }
}

/// A successor may be started as soon as its predecessor logs that it is listening. The
/// predecessor's third bind, which creates the handover socket, takes half a second. A successor
/// would therefore miss a socket that is created only after the log line.
#[test]
fn successor_can_connect_as_soon_as_listening_is_logged() {
    let fixture = UpgradeFixture::new();
    let variables = [
        ("LD_PRELOAD", fault_injection_library()),
        ("FAULTS", "bind:-500:3:1:1"),
    ];
    let predecessor = fixture.start_with(&variables, "127.0.0.1:0");
    let successor = fixture.start(&predecessor.address.to_string());
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    wait_until("the successor has begun the maintenance", || {
        successor.metric("upstreams_excluded") == 1
    });
}

/// The predecessor fails to register the successor's first connection with epoll (ENOMEM) and
/// closes that connection.
#[test]
fn successor_reconnects_if_its_first_connection_ends_immediately() {
    let fixture = UpgradeFixture::new();
    let variables = [
        ("LD_PRELOAD", fault_injection_library()),
        ("FAULTS", "epoll_ctl_accepted:12:1:1:1"),
    ];
    let predecessor = fixture.start_with(&variables, "127.0.0.1:0");
    wait_until("the handover socket exists", || {
        fixture
            .state_file(predecessor.address)
            .with_extension("sock")
            .exists()
    });
    let successor = fixture.start(&predecessor.address.to_string());
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    wait_until("the successor has begun the maintenance", || {
        successor.metric("upstreams_excluded") == 1
    });
}

#[test]
fn kill_during_a_state_file_write_keeps_the_previous_state() {
    let fixture = UpgradeFixture::new();
    // The first rename is for the handover socket, and the second for the first state file. The
    // third, for the new state, takes a minute, so that the kill interrupts it.
    let variables = [
        ("LD_PRELOAD", fault_injection_library()),
        ("FAULTS", "rename:-60000:3:1:1"),
    ];
    let mut predecessor = fixture.start_with(&variables, "127.0.0.1:0");
    let (address, state_file) = (predecessor.address, fixture.state_file(predecessor.address));
    assert_eq!(predecessor.admin_request("POST /upstreams/u0/maint").0, 200);
    let previous_state = std::fs::read(&state_file).unwrap();
    let mut admin_client = predecessor.connect_admin();
    admin_client.write("POST /upstreams/u0/ready HTTP/1.1\r\nHost: console\r\n\r\n");
    wait_until("the temporary file of the new state exists", || {
        state_file.with_extension("new").exists()
    });
    predecessor.kill();
    assert_eq!(std::fs::read(&state_file).unwrap(), previous_state);
    let successor = fixture.start(&address.to_string());
    assert_eq!(
        successor.metric("upstreams_excluded"),
        1,
        "u0 is in service although the request to end its maintenance got no response"
    );
}
