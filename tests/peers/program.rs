//! The program under test.

use super::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread;

/// A program that is running; killed when dropped. Nobody reads its log once it listens, and it has to go on.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    /// Where operators connect, if the configuration names an address for them.
    pub console: Option<SocketAddr>,
}

/// A new folder for what programs of one test leave to each other.
pub fn folder() -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    // Sockets have short names.
    let path = std::env::temp_dir().join(format!("load-balancer-{}-{number}", std::process::id()));
    std::fs::create_dir(&path).unwrap();
    path
}

static FILES: AtomicU64 = AtomicU64::new(0);

/// The library that makes system calls of a program fail; see there for its variables.
pub fn failing_calls() -> &'static str {
    static LIBRARY: OnceLock<String> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let library = format!(
            "{}/faults-{}.so",
            env!("CARGO_TARGET_TMPDIR"),
            std::process::id()
        );
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/faults/faults.c");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-o", &library, source, "-ldl"])
            .status();
        assert!(
            built.unwrap().success(),
            "the C compiler that links the program builds this too"
        );
        library
    })
}

/// Starts the program on a configuration, without waiting for it.
pub fn spawn(config: &str, listen: &str) -> Child {
    spawn_with(&[], &write_config(config), listen)
}

/// The same for one that shares a folder with others.
pub fn spawn_in(folder: &Path, config: &str, listen: &str) -> Child {
    spawn_by_variables(&[("TMPDIR", folder.to_str().unwrap())], config, listen)
}

/// The same with these variables.
pub fn spawn_by_variables(variables: &[(&str, &str)], config: &str, listen: &str) -> Child {
    spawn_with(variables, &write_config(config), listen)
}

fn write_config(config: &str) -> PathBuf {
    let number = FILES.fetch_add(1, Ordering::SeqCst);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    path
}

const PROGRAM: &str = env!("CARGO_BIN_EXE_load-balancer");

fn spawn_with(variables: &[(&str, &str)], config: &Path, listen: &str) -> Child {
    spawn_by(Command::new(PROGRAM), variables, config, listen)
}

fn spawn_by(mut run: Command, variables: &[(&str, &str)], config: &Path, listen: &str) -> Child {
    run.env("PROXY_CONFIG", config)
        .env("PROXY_LISTEN", listen)
        .env_remove("PROXY_DISCOVERY")
        .env_remove("PROXY_NAME")
        // Programs that share it take each other for one balancer.
        .env_remove("TMPDIR")
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

impl Program {
    pub fn start(config: &str, listen: &str) -> Self {
        Self::start_with(&[], config, listen)
    }

    pub fn start_with(variables: &[(&str, &str)], config: &str, listen: &str) -> Self {
        let config = write_config(config);
        let child = spawn_with(variables, &config, listen);
        Self::of(child, config)
    }

    /// A program that the system lets hold so many descriptors, whatever its configuration says.
    pub fn start_limited(descriptors: usize, variables: &[(&str, &str)], config: &str) -> Self {
        let config = write_config(config);
        let mut run = Command::new("sh");
        run.args([
            "-c",
            "ulimit -n $0 && exec $1",
            &descriptors.to_string(),
            PROGRAM,
        ]);
        let child = spawn_by(run, variables, &config, "127.0.0.1:0");
        Self::of(child, config)
    }

    fn of(mut child: Child, config: PathBuf) -> Self {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut console) = (String::new(), None);
        let last = |line: &str| line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        while !line.contains("listening for clients: ") {
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the program ended before it listened"
            );
            if line.contains("listening for admin requests: ") {
                console = Some(last(&line));
            }
        }
        Program {
            child,
            config,
            address: last(&line),
            console,
        }
    }

    /// A program with a console and these upstreams.
    pub fn with_console(upstreams: &[SocketAddr]) -> (Self, DiscoveryPeer) {
        Self::with_console_and(upstreams, 256)
    }

    /// The same with so many descriptors.
    pub fn with_console_and(upstreams: &[SocketAddr], sockets: usize) -> (Self, DiscoveryPeer) {
        let discovery = DiscoveryPeer::start();
        let config = config_of(upstreams, discovery.address, sockets);
        (
            Self::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0"),
            discovery,
        )
    }

    pub fn operator(&self) -> Client {
        Client::connect(self.console.expect("a console")).unwrap()
    }

    /// An operator's call; its status and text.
    pub fn call(&self, call: &str) -> (u16, String) {
        let mut operator = self.operator();
        operator.write(&format!("{call} HTTP/1.1\r\nHost: console\r\n\r\n"));
        let answer = operator.receive().unwrap().expect("an answer");
        assert!(operator.is_closed(), "one call to a connection");
        (answer.status(), String::from_utf8(answer.body).unwrap())
    }

    /// The figure of this name.
    pub fn figure(&self, name: &str) -> u64 {
        let text = self.call("GET /stats").1;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("balancer.{name}:")));
        line.and_then(|line| line.split('|').next()?.parse().ok())
            .unwrap_or_else(|| panic!("{name} in {text}"))
    }

    /// A program with these upstreams, named `u0`, `u1` and so on, and a discovery of its own.
    pub fn with(upstreams: &[SocketAddr]) -> (Self, DiscoveryPeer) {
        Self::with_sockets(upstreams, 1024)
    }

    pub fn with_sockets(upstreams: &[SocketAddr], sockets: usize) -> (Self, DiscoveryPeer) {
        let discovery = DiscoveryPeer::start();
        (
            Self::start(
                &config_of(upstreams, discovery.address, sockets),
                "127.0.0.1:0",
            ),
            discovery,
        )
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the file of its configuration and tells it so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Holds the program still until it is to go on; what it is told meanwhile waits for that.
    pub fn hold(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            thread::yield_now();
        }
    }

    /// True once the close or the reset of the client with this port has reached the machine of the program, read or not.
    pub fn has_end_of(&self, client: u16) -> bool {
        !established().contains(&(self.address.port(), client))
    }

    /// True while its end of the connection of the client with this port is open.
    pub fn holds(&self, client: u16) -> bool {
        ends()
            .iter()
            .any(|end| (end.here, end.there) == (self.address.port(), client) && end.held)
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([name, &id])
            .status()
            .unwrap()
            .success());
    }

    /// The most memory that it has held so far, in bytes.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .unwrap();
        line.trim()
            .split(' ')
            .next()
            .unwrap()
            .parse::<usize>()
            .unwrap()
            << 10
    }

    /// The descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
