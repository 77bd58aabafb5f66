//! Runs the load balancer as a process.

use super::*;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::thread;

/// A running process, which is killed when dropped. The read end of the pipe for its log is closed
/// as soon as the process listens for clients.
pub struct Program {
    child: Child,
    config: PathBuf,
    pub address: SocketAddr,
    /// The address of the admin endpoint, if one is configured.
    pub admin: Option<SocketAddr>,
}

/// Creates a folder for the files that the processes of a test share, and returns its path.
pub fn create_temp_folder() -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::SeqCst);
    // The processes create Unix sockets in it, whose paths must be short.
    let path = std::env::temp_dir().join(format!("load-balancer-{}-{number}", std::process::id()));
    std::fs::create_dir(&path).unwrap();
    path
}

/// Number of the next file or folder, so that those of a test process have different names.
static NEXT_FILE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Returns the path of the library that injects faults into system calls; the first call builds
/// it. Its source, `tests/faults/faults.c`, lists the environment variables that control it.
pub fn fault_injection_library() -> &'static str {
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
            "cc, which also links the program, failed to build {source}"
        );
        library
    })
}

/// Starts the program with this configuration, without waiting until it listens.
pub fn spawn(config: &str, listen: &str) -> Child {
    spawn_with(&[], &write_config(config), listen)
}

/// Does the same as [`spawn`], with a folder that the program shares with other processes.
pub fn spawn_in_folder(folder: &Path, config: &str, listen: &str) -> Child {
    spawn_with_variables(&[("TMPDIR", folder.to_str().unwrap())], config, listen)
}

/// Does the same as [`spawn`], with additional environment variables.
pub fn spawn_with_variables(variables: &[(&str, &str)], config: &str, listen: &str) -> Child {
    spawn_with(variables, &write_config(config), listen)
}

fn write_config(config: &str) -> PathBuf {
    let number = NEXT_FILE_NUMBER.fetch_add(1, Ordering::SeqCst);
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("config-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).unwrap();
    path
}

const PROGRAM_PATH: &str = env!("CARGO_BIN_EXE_load-balancer");

fn spawn_with(variables: &[(&str, &str)], config: &Path, listen: &str) -> Child {
    spawn_command(Command::new(PROGRAM_PATH), variables, config, listen)
}

fn spawn_command(
    mut command: Command,
    variables: &[(&str, &str)],
    config: &Path,
    listen: &str,
) -> Child {
    command
        .env("PROXY_CONFIG", config)
        .env("PROXY_LISTEN", listen)
        .env_remove("PROXY_DISCOVERY")
        .env_remove("PROXY_NAME")
        // Processes with the same TMPDIR and address treat each other as predecessor and successor.
        .env_remove("TMPDIR")
        .envs(variables.iter().copied())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

impl Program {
    /// Starts the program and waits until it listens.
    pub fn start(config: &str, listen: &str) -> Self {
        Self::start_with(&[], config, listen)
    }

    /// Starts the program with additional environment variables and waits until it listens.
    pub fn start_with(variables: &[(&str, &str)], config: &str, listen: &str) -> Self {
        let config = write_config(config);
        let child = spawn_with(variables, &config, listen);
        Self::wait_until_listening(child, config)
    }

    /// Starts the program with this limit on open files (`ulimit -n`) and additional environment
    /// variables, and waits until it listens.
    pub fn start_with_descriptor_limit(
        descriptors: usize,
        variables: &[(&str, &str)],
        config: &str,
    ) -> Self {
        let config = write_config(config);
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "ulimit -n $0 && exec $1",
            &descriptors.to_string(),
            PROGRAM_PATH,
        ]);
        let child = spawn_command(command, variables, &config, "127.0.0.1:0");
        Self::wait_until_listening(child, config)
    }

    /// Waits until the process listens, and reads its addresses from its log. Another process can
    /// be started at its address for clients even after it has ended: see [`keep_port`].
    fn wait_until_listening(mut child: Child, config: PathBuf) -> Self {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let (mut line, mut earlier_lines, mut admin) = (String::new(), String::new(), None);
        let address_at_end =
            |line: &str| line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        while !line.contains("listening for clients: ") {
            earlier_lines.push_str(&line);
            line.clear();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the process closed its log before it listened for clients: {earlier_lines}"
            );
            if line.contains("listening for admin requests: ") {
                admin = Some(address_at_end(&line));
            }
        }
        let program = Program {
            child,
            config,
            address: address_at_end(&line),
            admin,
        };
        // If this panics, the process is killed.
        keep_port(program.address);
        program
    }

    /// Starts the program with an admin endpoint, a discovery service and these upstreams, named
    /// `u0`, `u1` and so on.
    pub fn with_admin(upstreams: &[SocketAddr]) -> (Self, StubDiscovery) {
        Self::with_admin_and_descriptor_limit(upstreams, 256)
    }

    /// Does the same as [`Self::with_admin`], with this descriptor limit in the configuration.
    pub fn with_admin_and_descriptor_limit(
        upstreams: &[SocketAddr],
        max_descriptors: usize,
    ) -> (Self, StubDiscovery) {
        let discovery = StubDiscovery::start();
        let config = config_with_upstreams(upstreams, discovery.address, max_descriptors);
        (
            Self::start_with(&[("PROXY_CONSOLE", "127.0.0.1:0")], &config, "127.0.0.1:0"),
            discovery,
        )
    }

    /// Connects a client to the admin endpoint.
    pub fn connect_admin(&self) -> Client {
        Client::connect(self.admin.expect("no admin endpoint is configured")).unwrap()
    }

    /// Sends a request to the admin endpoint, such as `GET /stats`, and returns the status and the
    /// body of the response.
    pub fn admin_request(&self, method_and_path: &str) -> (u16, String) {
        let mut client = self.connect_admin();
        client.write(&format!(
            "{method_and_path} HTTP/1.1\r\nHost: console\r\n\r\n"
        ));
        let response = client
            .receive()
            .unwrap()
            .expect("the admin endpoint sent no response");
        assert!(
            client.is_closed_by_peer(),
            "the admin endpoint left the connection open after its response"
        );
        (response.status(), String::from_utf8(response.body).unwrap())
    }

    /// Returns the value of this metric, read from the admin endpoint.
    pub fn metric(&self, name: &str) -> u64 {
        let text = self.admin_request("GET /stats").1;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix(&format!("balancer.{name}:")));
        line.and_then(|line| line.split('|').next()?.parse().ok())
            .unwrap_or_else(|| panic!("no value of {name} in {text:?}"))
    }

    /// Starts the program with a discovery service and these upstreams, named `u0`, `u1` and so on.
    pub fn with_upstreams(upstreams: &[SocketAddr]) -> (Self, StubDiscovery) {
        Self::with_descriptor_limit(upstreams, 1024)
    }

    /// Does the same as [`Self::with_upstreams`], with this descriptor limit in the configuration.
    pub fn with_descriptor_limit(
        upstreams: &[SocketAddr],
        max_descriptors: usize,
    ) -> (Self, StubDiscovery) {
        let discovery = StubDiscovery::start();
        (
            Self::start(
                &config_with_upstreams(upstreams, discovery.address, max_descriptors),
                "127.0.0.1:0",
            ),
            discovery,
        )
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Connects a client.
    pub fn client(&self) -> Client {
        Client::connect(self.address).unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// Sends SIGSTOP and waits until the process is stopped. Data and signals for the process are
    /// queued until `resume` is called; SIGKILL takes effect immediately.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat_path = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat_path)
            .unwrap()
            .contains(") T ")
        {
            thread::yield_now();
        }
    }

    /// Returns whether the kernel has received the close or the reset of the client with this port,
    /// even if the process has not read it yet.
    pub fn has_received_close_from(&self, client_port: u16) -> bool {
        !established_connections().contains(&(self.address.port(), client_port))
    }

    /// Returns whether the process has a descriptor for its connection to the client with this
    /// port.
    pub fn has_connection_to(&self, client_port: u16) -> bool {
        tcp_endpoints().iter().any(|endpoint| {
            (endpoint.local_port, endpoint.remote_port) == (self.address.port(), client_port)
                && endpoint.has_descriptor
        })
    }

    /// Sends SIGCONT to the stopped process.
    pub fn resume(&self) {
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

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory_bytes(&self) -> usize {
        self.memory_bytes("VmHWM:")
    }

    /// Returns the anonymous part of the resident memory of the process, in bytes.
    pub fn anonymous_memory_bytes(&self) -> usize {
        self.memory_bytes("RssAnon:")
    }

    /// Returns the size in this field of `/proc/<pid>/status`, in bytes.
    fn memory_bytes(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let size = status.lines().find_map(|line| line.strip_prefix(field));
        let kilobytes = size.unwrap().trim().split(' ').next().unwrap();
        kilobytes.parse::<usize>().unwrap() << 10
    }

    /// Returns how many descriptors the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    /// Sends SIGKILL and waits until the process has ended.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits until the process has ended, and returns its exit status.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
