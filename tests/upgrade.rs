//! A new version of the real program beside the old one.

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

const ID: &str = "Request-Id: {id}\r\n";

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

    fn state(&self, address: SocketAddr) -> PathBuf {
        self.folder.join(format!("magpiechute-{address}.state"))
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        // What it is for is over.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Guards against connections that are lost from one version to the next: clients that open one
/// for each request never find a closed listener.
#[test]
fn clients_that_come_during_an_upgrade_are_all_served() {
    let rig = Rig::new();
    let mut old = rig.start("127.0.0.1:0");
    let address = old.address;
    let (stop, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (stop, served) = (stop.clone(), served.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let mut client = Client::connect(address).expect("somebody listens");
                    assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
                    served.fetch_add(1, Ordering::SeqCst);
                }
            })
        })
        .collect();
    let more = |count: u64| {
        let goal = served.load(Ordering::SeqCst) + count;
        while served.load(Ordering::SeqCst) < goal {
            assert!(
                !clients.iter().any(|client| client.is_finished()),
                "a client was turned away"
            );
            thread::sleep(Duration::from_millis(1));
        }
    };
    more(20);
    let new = rig.start(&address.to_string());
    assert_eq!(new.address, address);
    assert_eq!(new.call("GET /healthcheck").0, 200);
    more(20);
    old.terminate();
    more(20);
    assert!(old.wait().success());
    more(20);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("no client was turned away");
    }
}

/// Guards against an old version that takes new connections to its end, though a new one is there
/// for them.
#[test]
fn a_replaced_process_stops_listening_and_finishes_what_it_has() {
    let rig = Rig::new();
    let mut old = rig.start("127.0.0.1:0");
    rig.upstream.set(Reply::Silent);
    let mut waiting = old.client();
    waiting
        .send("/pay", &format!("{ID}Request-Timeout: 2.0\r\n"), "coins")
        .unwrap();
    rig.upstream.next();
    let new = rig.start(&old.address.to_string());
    rig.upstream.set(Reply::Ok);
    old.terminate();
    // Its answer comes, and the process ends after that.
    assert_eq!(waiting.receive().unwrap().unwrap().status(), 502);
    assert!(old.wait().success());
    for _ in 0..10 {
        assert_eq!(new.client().ask("/pay", ID, "coins").status(), 200);
    }
}

/// Guards against an operator's word that an upgrade forgets, or that only one of two processes
/// hears.
#[test]
fn what_operators_left_out_stays_out_over_an_upgrade() {
    let rig = Rig::new();
    let old = rig.start("127.0.0.1:0");
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    let new = rig.start(&old.address.to_string());
    assert_eq!(new.figure("upstreams_excluded"), 1);
    assert_eq!(new.call("POST /upstreams/u0/ready").0, 200);
    let both = |count| {
        while [&old, &new]
            .iter()
            .any(|program| program.figure("upstreams_excluded") != count)
        {
            thread::sleep(Duration::from_millis(1));
        }
    };
    both(0);
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    both(1);
    drop(old);
    // Nor does the process after the next forget it.
    let newest = rig.start(&new.address.to_string());
    assert_eq!(newest.figure("upstreams_excluded"), 1);
}

/// Guards against clients that a new process takes before it knows any upstream.
#[test]
fn a_new_process_takes_clients_only_once_it_knows_an_upstream() {
    let rig = Rig::new();
    let old = rig.start("127.0.0.1:0");
    let address = old.address.to_string();
    let mut watch = rig.discovery.next();
    watch.line("");
    let (folder, ignorant) = (
        &rig.folder,
        config(&list(0, true, &[]), rig.discovery.address, 256),
    );
    thread::scope(|scope| {
        let new = scope.spawn(move || start(folder, &ignorant, &address));
        let mut watch = rig.discovery.next();
        for _ in 0..20 {
            assert_eq!(old.client().ask("/pay", ID, "coins").status(), 200);
        }
        assert!(!new.is_finished(), "it listens without an upstream");
        watch.line(&list(
            6,
            true,
            &[endpoint("u0", rig.upstream.address, "in_service")],
        ));
        let new = new.join().unwrap();
        assert_eq!(new.call("GET /healthcheck").0, 200);
    });
}

/// Guards against two processes that together hold more than one may.
#[test]
fn both_processes_share_one_balancer_s_descriptors() {
    let rig = Rig::new();
    let old = rig.start("127.0.0.1:0");
    let idle: Vec<_> = (0..120).map(|_| old.client()).collect();
    assert_eq!(old.call("GET /healthcheck").0, 200);
    let new = rig.start(&old.address.to_string());
    let more: Vec<_> = (0..250).map(|_| new.client()).collect();
    for program in [&old, &new] {
        assert_eq!(program.call("GET /healthcheck").0, 200);
    }
    let held = old.descriptors() + new.descriptors();
    assert!(held <= 256, "{held}");
    drop((idle, more));
}

/// Guards against names that only one version knows: the two read each other's state, the old one
/// also what operators say to the new one.
#[test]
fn a_version_with_older_names_and_this_one_read_each_other_s_state() {
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
        "the old version finds all that it wrote"
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
    std::fs::write(rig.state(address), state).unwrap();
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
    std::fs::write(rig.state(address), state).unwrap();
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
        assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
        assert_eq!(client.ask("/read", ID, "").status(), 200);
    }
    assert_eq!(program.call("POST /upstreams/u0/maint").0, 200);
    let written = std::fs::read(rig.state(program.address)).unwrap();
    let written = serde_json::from_slice(&written).unwrap();
    let recorded = serde_json::from_str(STATE_OF_47C951F).unwrap();
    assert_eq!(field_paths(&written), field_paths(&recorded));
}

#[test]
fn a_torn_or_foreign_state_is_passed_over() {
    let rig = Rig::new();
    let old = rig.start("127.0.0.1:0");
    let address = old.address;
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    drop(old);
    let text = std::fs::read(rig.state(address)).unwrap();
    let foreign = String::from_utf8(text.clone())
        .unwrap()
        .replace(&address.to_string(), "127.0.0.9:1");
    for (state, excluded) in [
        (&text[..], 1),
        (&text[..text.len() - 1], 0),
        (foreign.as_bytes(), 0),
        (&b"\xff\x00"[..], 0),
    ] {
        std::fs::write(rig.state(address), state).unwrap();
        let program = rig.start(&address.to_string());
        assert_eq!(program.figure("upstreams_excluded"), excluded);
        assert_eq!(program.call("GET /healthcheck").0, 200);
    }
}

/// Guards against a yes that an upgrade would undo.
#[test]
fn a_state_that_cannot_be_kept_is_owed_a_no() {
    let rig = Rig::new();
    let program = rig.start("127.0.0.1:0");
    std::fs::create_dir(Path::new(&rig.state(program.address)).with_extension("new")).unwrap();
    assert_eq!(program.call("POST /upstreams/u0/maint").0, 500);
    assert_eq!(
        program
            .client()
            .ask("/pay", &format!("{ID}Request-Timeout: 1.0\r\n"), "coins")
            .status(),
        503
    );
}

/// What operators say to a new process before it has heard the old one goes beside what they have
/// said to that one.
#[test]
fn what_operators_say_to_a_new_process_at_once_undoes_nothing() {
    let rig = Rig::new();
    let other = Upstream::start(Reply::Ok);
    let known = [("u0", rig.upstream.address), ("u1", other.address)];
    let known = known.map(|(name, address)| endpoint(name, address, "in_service"));
    let config = config(&list(5, true, &known), rig.discovery.address, 256);
    let old = start(&rig.folder, &config, "127.0.0.1:0");
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    old.hold();
    let variables = [
        ("TMPDIR", rig.folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    let mut new = spawn_by_variables(&variables, &config, &old.address.to_string());
    let mut log = BufReader::new(new.stderr.take().unwrap())
        .lines()
        .map(Result::unwrap);
    let console = log
        .find(|line| line.contains("listening for admin requests: "))
        .unwrap();
    let console: SocketAddr = console.rsplit(' ').next().unwrap().parse().unwrap();
    let mut operator = Client::connect(console).unwrap();
    operator.write("POST /upstreams/u1/maint HTTP/1.1\r\nHost: console\r\n\r\n");
    assert_eq!(
        operator.receive().unwrap().expect("an answer").status(),
        200
    );
    old.go_on();
    assert!(log.any(|line| line.contains("listening for clients: ")));
    until("the old one leaves out both", || {
        old.figure("upstreams_excluded") == 2
    });
    let mut operator = Client::connect(console).unwrap();
    operator.write("GET /stats HTTP/1.1\r\nHost: console\r\n\r\n");
    let figures = operator.receive().unwrap().expect("an answer").body;
    assert!(
        String::from_utf8(figures)
            .unwrap()
            .contains("upstreams_excluded:2|"),
        "so does the new one"
    );
    new.kill().unwrap();
    new.wait().unwrap();
}

/// A folder that takes no writes for a while keeps nothing from outlasting the process once it
/// does.
#[test]
fn what_can_not_be_kept_at_once_is_kept_later() {
    // ENOSPC, EIO; 8 is more than are made before the answer.
    for faults in ["write:28:1:1:8", "rename:5:1:1:8"] {
        let rig = Rig::new();
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults)];
        let old = rig.start_with(&variables, "127.0.0.1:0");
        assert_eq!(old.call("POST /upstreams/u0/maint").0, 500, "{faults}");
        until("it is kept", || rig.state(old.address).exists());
        let new = rig.start(&old.address.to_string());
        until("it is known", || new.figure("upstreams_excluded") == 1);
    }
}

/// Nor is an upgrade impossible because the socket at which the next process is awaited could not
/// be made at once.
#[test]
fn the_next_process_is_awaited_though_the_folder_was_full_for_a_while() {
    let rig = Rig::new();
    // The third bind of a process is that of this socket, after those of its two listeners.
    let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", "bind:28:3:1:2")];
    let old = rig.start_with(&variables, "127.0.0.1:0");
    assert_eq!(old.client().ask("/pay", ID, "coins").status(), 200);
    until("the next one is awaited", || {
        rig.state(old.address).with_extension("sock").exists()
    });
    let new = rig.start(&old.address.to_string());
    until("they have met", || {
        old.call("GET /healthcheck").0 == 200 && new.call("GET /healthcheck").0 == 200
    });
    assert!(old.descriptors() + new.descriptors() <= 256);
}

/// Guards against a new process that takes itself for the only one, and does not hear what
/// operators have said, because a call that it makes for that fails for a moment: EIO, EAGAIN,
/// ENOMEM, ENFILE.
#[test]
fn a_new_process_knows_of_the_old_one_though_its_calls_fail_for_a_moment() {
    for faults in [
        "open:5:2:1:3",
        "open:23:2:1:3",
        "connect_unix:11:1:1:3",
        "connect_unix:12:1:1:3",
        "socket_unix:23:1:1:3",
    ] {
        let rig = Rig::new();
        let old = rig.start("127.0.0.1:0");
        assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults)];
        let new = rig.start_with(&variables, &old.address.to_string());
        assert_eq!(new.figure("upstreams_excluded"), 1, "{faults}");
        assert_eq!(old.call("POST /upstreams/u0/ready").0, 200);
        until("it is heard of", || new.figure("upstreams_excluded") == 0);
    }
}

/// Guards against two processes of an upgrade that lose each other over a call that is
/// interrupted or short of memory.
#[test]
fn what_operators_say_goes_on_between_processes_though_their_calls_are_interrupted() {
    for (call, error) in ["recv", "send"]
        .iter()
        .flat_map(|call| [4, 105, 12].map(|error| (*call, error)))
    {
        let rig = Rig::new();
        let faults = format!("{call}:{error}:1:2:1000000");
        let variables = [("LD_PRELOAD", failing_calls()), ("FAULTS", faults.as_str())];
        let old = rig.start_with(&variables, "127.0.0.1:0");
        let new = rig.start_with(&variables, &old.address.to_string());
        for round in 0..10 {
            let (teller, hearer) = if round % 2 == 0 {
                (&old, &new)
            } else {
                (&new, &old)
            };
            assert_eq!(teller.call("POST /upstreams/u0/maint").0, 200, "{faults}");
            until("it is out", || hearer.figure("upstreams_excluded") == 1);
            assert_eq!(hearer.call("POST /upstreams/u0/ready").0, 200, "{faults}");
            until("it is back", || teller.figure("upstreams_excluded") == 0);
        }
    }
}

/// Guards against a new process that looks for the old one between the moment in which that says
/// that it listens and the making of the socket at which they meet: the third bind takes half a
/// second.
#[test]
fn a_process_that_says_it_listens_awaits_the_next_one() {
    let rig = Rig::new();
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "bind:-500:3:1:1"),
    ];
    let old = rig.start_with(&variables, "127.0.0.1:0");
    let new = rig.start(&old.address.to_string());
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    until("it is heard of", || new.figure("upstreams_excluded") == 1);
}

/// Guards against two processes that take themselves for alone because the connection on which
/// they meet ends at once: the old one can't watch it (ENOMEM).
#[test]
fn a_new_process_meets_the_old_one_though_their_first_connection_ends_at_once() {
    let rig = Rig::new();
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "epoll_ctl_accepted:12:1:1:1"),
    ];
    let old = rig.start_with(&variables, "127.0.0.1:0");
    until("the next one is awaited", || {
        rig.state(old.address).with_extension("sock").exists()
    });
    let new = rig.start(&old.address.to_string());
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    until("it is heard of", || new.figure("upstreams_excluded") == 1);
}

/// Guards against a state that is lost because SIGKILL came between its writing and its taking
/// the old one's place.
#[test]
fn a_kill_before_a_state_takes_its_place_leaves_the_one_before() {
    let rig = Rig::new();
    // The first rename is that of the socket, the second keeps the first state; the third lasts
    // for a minute.
    let variables = [
        ("LD_PRELOAD", failing_calls()),
        ("FAULTS", "rename:-60000:3:1:1"),
    ];
    let mut old = rig.start_with(&variables, "127.0.0.1:0");
    let (address, state) = (old.address, rig.state(old.address));
    assert_eq!(old.call("POST /upstreams/u0/maint").0, 200);
    let before = std::fs::read(&state).unwrap();
    let mut operator = old.operator();
    operator.write("POST /upstreams/u0/ready HTTP/1.1\r\nHost: console\r\n\r\n");
    until("it is written aside", || {
        state.with_extension("new").exists()
    });
    old.kill();
    assert_eq!(std::fs::read(&state).unwrap(), before);
    let new = rig.start(&address.to_string());
    assert_eq!(
        new.figure("upstreams_excluded"),
        1,
        "nobody had a yes to its return"
    );
}

/// Guards against clients that are lost because the new process is told to end before it is ready.
#[test]
fn sigterm_to_a_new_process_that_is_not_ready_leaves_the_old_one_serving() {
    let rig = Rig::new();
    let old = rig.start("127.0.0.1:0");
    let mut client = old.client();
    assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    // It knows of no upstream, and discovery says nothing.
    let empty = config(&list(5, true, &[]), rig.discovery.address, 256);
    let mut new = spawn_in(&rig.folder, &empty, &old.address.to_string());
    let mut log = BufReader::new(new.stderr.take().unwrap()).lines();
    assert!(
        log.any(|line| line.unwrap().contains("peer process found")),
        "they have met"
    );
    assert!(Command::new("kill")
        .args(["-TERM", &new.id().to_string()])
        .status()
        .unwrap()
        .success());
    assert!(new.wait().unwrap().success());
    assert_eq!(client.ask("/pay", ID, "coins").status(), 200);
    assert_eq!(old.client().ask("/pay", ID, "coins").status(), 200);
    assert_eq!(old.call("GET /healthcheck").0, 200);
}
