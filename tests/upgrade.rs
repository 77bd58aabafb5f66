//! Upgrades: a successor of the real program beside its predecessor.

mod peers;
use load_balancer::LearnedState;
use peers::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const REQUEST_ID: &str = "Request-Id: {id}\r\n";

fn start(folder: &Path, config: &str, listen: &str) -> Program {
    start_with(&[], folder, config, listen)
}

fn start_with(variables: &[(&str, &str)], folder: &Path, config: &str, listen: &str) -> Program {
    let own = [
        ("TMPDIR", folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    Program::start_with(&[variables, &own].concat(), config, listen)
}

struct Rig {
    folder: PathBuf,
    upstream: Upstream,
    discovery: DiscoveryPeer,
}

impl Rig {
    fn new() -> Self {
        Rig {
            folder: folder(),
            upstream: Upstream::start(Reply::Ok),
            discovery: DiscoveryPeer::start(),
        }
    }

    fn start(&self, listen: &str) -> Program {
        self.start_with(&[], listen)
    }

    /// The same with these variables.
    fn start_with(&self, variables: &[(&str, &str)], listen: &str) -> Program {
        let known = list(
            5,
            true,
            &[endpoint("u0", self.upstream.address, "in_service")],
        );
        start_with(
            variables,
            &self.folder,
            &config(&known, self.discovery.address, 256),
            listen,
        )
    }

    fn state_file(&self, address: SocketAddr) -> PathBuf {
        self.folder.join(format!("magpiechute-{address}.state"))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // A failure leaves files behind, and nothing else.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Clients that open a connection for each request never find a closed listener.
#[test]
fn all_clients_are_served_during_an_upgrade() {
    let rig = Rig::new();
    let mut predecessor = rig.start("127.0.0.1:0");
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
                    let mut client = Client::connect(address).expect("a process listens");
                    assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let more = |count: u64| {
        let goal = served.load(Ordering::SeqCst) + count;
        while served.load(Ordering::SeqCst) < goal {
            assert!(
                !clients.iter().any(thread::JoinHandle::is_finished),
                "a client was rejected"
            );
            thread::sleep(Duration::from_millis(1));
        }
    };
    more(20);
    let successor = rig.start(&address.to_string());
    assert_eq!(successor.address, address);
    assert_eq!(successor.call("GET /healthcheck").0, 200);
    more(20);
    predecessor.terminate();
    more(20);
    assert!(predecessor.wait().success());
    more(20);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no client was rejected");
    }
}

/// New connections go to the successor from then on.
#[test]
fn a_replaced_process_stops_listening_and_finishes_its_requests() {
    let rig = Rig::new();
    let mut predecessor = rig.start("127.0.0.1:0");
    rig.upstream.set(Reply::Silent);
    let mut waiting = predecessor.client();
    waiting
        .send(
            "/pay",
            &format!("{REQUEST_ID}Request-Timeout: 2.0\r\n"),
            "coins",
        )
        .unwrap();
    rig.upstream.next();
    let successor = rig.start(&predecessor.address.to_string());
    rig.upstream.set(Reply::Ok);
    predecessor.terminate();
    // The response is sent before the process ends.
    assert_eq!(waiting.receive().unwrap().unwrap().status(), 502);
    assert!(predecessor.wait().success());
    for _ in 0..10 {
        assert_eq!(
            successor.client().ask("/pay", REQUEST_ID, "coins").status(),
            200
        );
    }
}

#[test]
fn maintenance_outlasts_an_upgrade_and_both_processes_learn_of_changes() {
    let rig = Rig::new();
    let predecessor = rig.start("127.0.0.1:0");
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    let successor = rig.start(&predecessor.address.to_string());
    assert_eq!(successor.figure("upstreams_excluded"), 1);
    assert_eq!(successor.call("POST /upstreams/u0/ready").0, 200);
    let both = |count| {
        while [&predecessor, &successor]
            .iter()
            .any(|program| program.figure("upstreams_excluded") != count)
        {
            thread::sleep(Duration::from_millis(1));
        }
    };
    both(0);
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    both(1);
    drop(predecessor);
    // The successor of the successor restores it too.
    let newest = rig.start(&successor.address.to_string());
    assert_eq!(newest.figure("upstreams_excluded"), 1);
}

#[test]
fn a_successor_accepts_clients_only_once_it_knows_an_upstream() {
    let rig = Rig::new();
    let predecessor = rig.start("127.0.0.1:0");
    let address = predecessor.address.to_string();
    let mut watch = rig.discovery.next();
    watch.line("");
    let (folder, empty) = (
        &rig.folder,
        config(&list(0, true, &[]), rig.discovery.address, 256),
    );
    thread::scope(|scope| {
        let successor = scope.spawn(move || start(folder, &empty, &address));
        let mut watch = rig.discovery.next();
        for _ in 0..20 {
            assert_eq!(
                predecessor
                    .client()
                    .ask("/pay", REQUEST_ID, "coins")
                    .status(),
                200
            );
        }
        assert!(!successor.is_finished(), "it listens without an upstream");
        watch.line(&list(
            6,
            true,
            &[endpoint("u0", rig.upstream.address, "in_service")],
        ));
        let successor = successor.join().unwrap();
        assert_eq!(successor.call("GET /healthcheck").0, 200);
    });
}

#[test]
fn both_processes_together_keep_to_the_descriptor_limit_of_one() {
    let rig = Rig::new();
    let predecessor = rig.start("127.0.0.1:0");
    let idle: Vec<_> = (0..120).map(|_| predecessor.client()).collect();
    assert_eq!(predecessor.call("GET /healthcheck").0, 200);
    let successor = rig.start(&predecessor.address.to_string());
    let more: Vec<_> = (0..250).map(|_| successor.client()).collect();
    for program in [&predecessor, &successor] {
        assert_eq!(program.call("GET /healthcheck").0, 200);
    }
    let held = predecessor.descriptors() + successor.descriptors();
    assert!(held <= 256, "{held}");
    drop((idle, more));
}

/// Stored fields were renamed in between; the older version also reads the maintenance set by
/// this one.
#[test]
fn versions_with_older_field_names_and_this_one_read_each_other_s_state() {
    let learned = r#"{"width":1.0,"pace":1.5,"answers":3.0,"health":[{"heard":9.0,"faults":0.1,"answers":3.0,
        "strikes":2,"rest_until":12.5}],"losses":0.0,"full_until":0.0,"suspect":0.0,"credit":0.25}"#;
    let old = format!(
        r#"{{"at":10.0,"upstreams":{{"7":[1.0,0.0,{learned}]}},"usual":[],"rates":[],"paces":{{"0":1.0}},
        "reach":4.5,"pass":1.0,"met_crowd":false,"strain":0.0}}"#
    );
    let json = |text: &str| serde_json::from_str::<serde_json::Value>(text).unwrap();
    let read = |text: &str| serde_json::from_str::<LearnedState>(text).unwrap();
    assert_eq!(
        serde_json::to_value(read(&old)).unwrap(),
        json(&old),
        "the older version finds all that it wrote"
    );
    let names = [
        ("strikes", "failures"),
        ("rest_until", "ejected_until"),
        ("credit", "allowance"),
        ("reach", "subset"),
    ];
    let new = names
        .iter()
        .fold(old.clone(), |text, (old, new)| text.replace(old, new));
    assert_ne!(new, old);
    assert_eq!(serde_json::to_value(read(&new)).unwrap(), json(&old));

    let rig = Rig::new();
    let address = rig.start("127.0.0.1:0").address;
    let state = format!(r#"{{"balancer":"{address}","out":["u0"],"knowledge":{old}}}"#);
    std::fs::write(rig.state_file(address), state).unwrap();
    assert_eq!(
        rig.start(&address.to_string()).figure("upstreams_excluded"),
        1
    );
}

/// A state file that version 47c951f wrote: `u0` and `u1` were listed and had served requests,
/// and operators had taken `u0` out of service.
const STATE_OF_47C951F: &str = include_str!("data/state-47c951f.json");

/// The paths of all fields of a JSON value. List elements and entries keyed by a number count as
/// one, `*`.
fn field_paths(value: &serde_json::Value) -> BTreeSet<String> {
    fn collect(path: &str, value: &serde_json::Value, paths: &mut BTreeSet<String>) {
        paths.insert(path.to_string());
        if let Some(fields) = value.as_object() {
            for (name, value) in fields {
                let is_number = name.parse::<u64>().is_ok();
                let name = if is_number { "*" } else { name };
                collect(&format!("{path}.{name}"), value, paths);
            }
        }
        for element in value.as_array().into_iter().flatten() {
            collect(&format!("{path}.*"), element, paths);
        }
    }
    let mut paths = BTreeSet::new();
    collect("", value, &mut paths);
    paths
}

/// The maintenance and the learned state that the version in service has written hold in this one.
#[test]
fn a_state_file_of_the_version_in_service_is_read() {
    let recorded: serde_json::Value = serde_json::from_str(STATE_OF_47C951F).unwrap();
    let recorded_address = recorded["balancer"].as_str().unwrap();
    let rig = Rig::new();
    let address = rig.start("127.0.0.1:0").address;
    let state = STATE_OF_47C951F.replace(recorded_address, &address.to_string());
    std::fs::write(rig.state_file(address), state).unwrap();
    let program = rig.start(&address.to_string());
    assert_eq!(program.figure("upstreams_excluded"), 1);
    assert_eq!(program.call("POST /upstreams/u0/ready").0, 200);
    assert_eq!(program.figure("upstreams_excluded"), 0);

    let learned: LearnedState = serde_json::from_value(recorded["knowledge"].clone()).unwrap();
    assert_eq!(
        serde_json::to_value(learned).unwrap(),
        recorded["knowledge"]
    );
}

/// The version in service finds every field in a state file of this one, and no others.
#[test]
fn a_state_file_has_the_fields_of_the_version_in_service() {
    let rig = Rig::new();
    let program = rig.start("127.0.0.1:0");
    let mut client = program.client();
    for _ in 0..3 {
        assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
        assert_eq!(client.ask("/read", REQUEST_ID, "").status(), 200);
    }
    assert_eq!(program.call("POST /upstreams/u0/maint").0, 200);
    let written = std::fs::read(rig.state_file(program.address)).unwrap();
    let written = serde_json::from_slice(&written).unwrap();
    let recorded = serde_json::from_str(STATE_OF_47C951F).unwrap();
    assert_eq!(field_paths(&written), field_paths(&recorded));
}

#[test]
fn an_incomplete_or_foreign_state_file_is_ignored() {
    let rig = Rig::new();
    let predecessor = rig.start("127.0.0.1:0");
    let address = predecessor.address;
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    drop(predecessor);
    let text = std::fs::read(rig.state_file(address)).unwrap();
    let foreign = String::from_utf8(text.clone())
        .unwrap()
        .replace(&address.to_string(), "127.0.0.9:1");
    for (state, excluded) in [
        (&text[..], 1),
        (&text[..text.len() - 1], 0),
        (foreign.as_bytes(), 0),
        (&b"\xff\x00"[..], 0),
    ] {
        std::fs::write(rig.state_file(address), state).unwrap();
        let program = rig.start(&address.to_string());
        assert_eq!(program.figure("upstreams_excluded"), excluded);
        assert_eq!(program.call("GET /healthcheck").0, 200);
    }
}

/// An upgrade would undo it.
#[test]
fn a_change_that_cannot_be_stored_is_answered_with_an_error() {
    let rig = Rig::new();
    let program = rig.start("127.0.0.1:0");
    std::fs::create_dir(Path::new(&rig.state_file(program.address)).with_extension("new")).unwrap();
    assert_eq!(program.call("POST /upstreams/u0/maint").0, 500);
    assert_eq!(
        program
            .client()
            .ask(
                "/pay",
                &format!("{REQUEST_ID}Request-Timeout: 1.0\r\n"),
                "coins"
            )
            .status(),
        503
    );
}

/// The predecessor's changes are in the file before the successor has heard from it.
#[test]
fn maintenance_set_on_a_successor_at_once_keeps_that_of_the_predecessor() {
    let rig = Rig::new();
    let other = Upstream::start(Reply::Ok);
    let known = [("u0", rig.upstream.address), ("u1", other.address)];
    let known = known.map(|(name, address)| endpoint(name, address, "in_service"));
    let config = config(&list(5, true, &known), rig.discovery.address, 256);
    let predecessor = start(&rig.folder, &config, "127.0.0.1:0");
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    predecessor.hold();
    let variables = [
        ("TMPDIR", rig.folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    let mut successor = spawn_by_variables(&variables, &config, &predecessor.address.to_string());
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
            .expect("a response")
            .status(),
        200
    );
    predecessor.go_on();
    assert!(log.any(|line| line.contains("listening for clients: ")));
    until("the predecessor has both in maintenance", || {
        predecessor.figure("upstreams_excluded") == 2
    });
    let mut admin_client = Client::connect(admin).unwrap();
    admin_client.write("GET /stats HTTP/1.1\r\nHost: console\r\n\r\n");
    let figures = admin_client.receive().unwrap().expect("a response").body;
    assert!(
        String::from_utf8(figures)
            .unwrap()
            .contains("upstreams_excluded:2|"),
        "so has the successor"
    );
    successor.kill().unwrap();
    successor.wait().unwrap();
}

/// The folder takes no writes for a while.
#[test]
fn a_failed_write_of_the_state_file_is_retried() {
    // ENOSPC, EIO; 8 is more than are made before the response.
    for faults in ["write:28:1:1:8", "rename:5:1:1:8"] {
        let rig = Rig::new();
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults)];
        let predecessor = rig.start_with(&variables, "127.0.0.1:0");
        assert_eq!(
            predecessor.call("POST /upstreams/u0/maint").0,
            500,
            "{faults}"
        );
        until("the state is stored", || {
            rig.state_file(predecessor.address).exists()
        });
        let successor = rig.start(&predecessor.address.to_string());
        until("the maintenance is restored", || {
            successor.figure("upstreams_excluded") == 1
        });
    }
}

/// The folder is full for a while.
#[test]
fn a_failed_creation_of_the_handover_socket_is_retried() {
    let rig = Rig::new();
    // The third bind of a process is that of the handover socket, after its two listeners.
    let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", "bind:28:3:1:2")];
    let predecessor = rig.start_with(&variables, "127.0.0.1:0");
    assert_eq!(
        predecessor
            .client()
            .ask("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    until("a successor is awaited", || {
        rig.state_file(predecessor.address)
            .with_extension("sock")
            .exists()
    });
    let successor = rig.start(&predecessor.address.to_string());
    until("they have met", || {
        predecessor.call("GET /healthcheck").0 == 200 && successor.call("GET /healthcheck").0 == 200
    });
    assert!(predecessor.descriptors() + successor.descriptors() <= 256);
}

/// Otherwise it would take itself for the only process and miss the maintenance: EIO, EAGAIN,
/// ENOMEM, ENFILE.
#[test]
fn a_successor_finds_its_predecessor_though_its_calls_fail_for_a_moment() {
    for faults in [
        "open:5:2:1:3",
        "open:23:2:1:3",
        "connect_unix:11:1:1:3",
        "connect_unix:12:1:1:3",
        "socket_unix:23:1:1:3",
    ] {
        let rig = Rig::new();
        let predecessor = rig.start("127.0.0.1:0");
        assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults)];
        let successor = rig.start_with(&variables, &predecessor.address.to_string());
        assert_eq!(successor.figure("upstreams_excluded"), 1, "{faults}");
        assert_eq!(predecessor.call("POST /upstreams/u0/ready").0, 200);
        until("the change has arrived", || {
            successor.figure("upstreams_excluded") == 0
        });
    }
}

#[test]
fn changes_arrive_at_the_peer_though_calls_are_interrupted_or_lack_memory() {
    for (call, error) in ["recv", "send"]
        .iter()
        .flat_map(|call| [4, 105, 12].map(|error| (*call, error)))
    {
        let rig = Rig::new();
        let faults = format!("{call}:{error}:1:2:1000000");
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults.as_str())];
        let predecessor = rig.start_with(&variables, "127.0.0.1:0");
        let successor = rig.start_with(&variables, &predecessor.address.to_string());
        for round in 0..10 {
            let (sender, receiver) = if round % 2 == 0 {
                (&predecessor, &successor)
            } else {
                (&successor, &predecessor)
            };
            assert_eq!(sender.call("POST /upstreams/u0/maint").0, 200, "{faults}");
            until("maintenance has begun", || {
                receiver.figure("upstreams_excluded") == 1
            });
            assert_eq!(receiver.call("POST /upstreams/u0/ready").0, 200, "{faults}");
            until("maintenance has ended", || {
                sender.figure("upstreams_excluded") == 0
            });
        }
    }
}

/// A successor may be started as soon as that line is logged. The third bind, that of the
/// handover socket, takes half a second.
#[test]
fn a_process_that_reports_that_it_listens_already_awaits_a_successor() {
    let rig = Rig::new();
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "bind:-500:3:1:1"),
    ];
    let predecessor = rig.start_with(&variables, "127.0.0.1:0");
    let successor = rig.start(&predecessor.address.to_string());
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    until("the change has arrived", || {
        successor.figure("upstreams_excluded") == 1
    });
}

/// The predecessor can't register the connection (ENOMEM).
#[test]
fn a_successor_connects_again_if_the_first_connection_ends_at_once() {
    let rig = Rig::new();
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "epoll_ctl_accepted:12:1:1:1"),
    ];
    let predecessor = rig.start_with(&variables, "127.0.0.1:0");
    until("a successor is awaited", || {
        rig.state_file(predecessor.address)
            .with_extension("sock")
            .exists()
    });
    let successor = rig.start(&predecessor.address.to_string());
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    until("the change has arrived", || {
        successor.figure("upstreams_excluded") == 1
    });
}

#[test]
fn a_kill_during_a_write_of_the_state_file_leaves_the_previous_state() {
    let rig = Rig::new();
    // The first rename is that of the handover socket, the second that of the first state file;
    // the third takes a minute.
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "rename:-60000:3:1:1"),
    ];
    let mut predecessor = rig.start_with(&variables, "127.0.0.1:0");
    let (address, state) = (predecessor.address, rig.state_file(predecessor.address));
    assert_eq!(predecessor.call("POST /upstreams/u0/maint").0, 200);
    let before = std::fs::read(&state).unwrap();
    let mut admin_client = predecessor.operator();
    admin_client.write("POST /upstreams/u0/ready HTTP/1.1\r\nHost: console\r\n\r\n");
    until("the new state is written", || {
        state.with_extension("new").exists()
    });
    predecessor.kill();
    assert_eq!(std::fs::read(&state).unwrap(), before);
    let successor = rig.start(&address.to_string());
    assert_eq!(
        successor.figure("upstreams_excluded"),
        1,
        "its return was never confirmed"
    );
}

#[test]
fn sigterm_to_a_successor_that_is_not_ready_leaves_the_predecessor_serving() {
    let rig = Rig::new();
    let predecessor = rig.start("127.0.0.1:0");
    let mut client = predecessor.client();
    assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
    // It knows no upstream, and discovery sends nothing.
    let empty = config(&list(5, true, &[]), rig.discovery.address, 256);
    let mut successor = spawn_in(&rig.folder, &empty, &predecessor.address.to_string());
    let mut log = BufReader::new(successor.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "they have met"
    );
    assert!(Command::new("kill")
        .args(["-TERM", &successor.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(successor.wait().unwrap().success());
    assert_eq!(client.ask("/pay", REQUEST_ID, "coins").status(), 200);
    assert_eq!(
        predecessor
            .client()
            .ask("/pay", REQUEST_ID, "coins")
            .status(),
        200
    );
    assert_eq!(predecessor.call("GET /healthcheck").0, 200);
}
