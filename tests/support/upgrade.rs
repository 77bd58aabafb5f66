//! Processes that share a folder, as a predecessor and its successor do.

use super::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub fn start_in_folder(folder: &Path, config: &str, listen: &str) -> Program {
    start_in_folder_with(&[], folder, config, listen)
}

pub fn start_in_folder_with(
    variables: &[(&str, &str)],
    folder: &Path,
    config: &str,
    listen: &str,
) -> Program {
    let own = [
        ("TMPDIR", folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    Program::start_with(&[variables, &own].concat(), config, listen)
}

pub struct UpgradeFixture {
    pub folder: PathBuf,
    pub upstream: StubUpstream,
    pub discovery: StubDiscovery,
}

impl UpgradeFixture {
    pub fn new() -> Self {
        UpgradeFixture {
            folder: create_temp_folder(),
            upstream: StubUpstream::start(StubResponse::Ok),
            discovery: StubDiscovery::start(),
        }
    }

    pub fn start(&self, listen: &str) -> Program {
        self.start_with(&[], listen)
    }

    /// The same with these variables.
    pub fn start_with(&self, variables: &[(&str, &str)], listen: &str) -> Program {
        let known = list(
            5,
            true,
            &[endpoint("u0", self.upstream.address, "in_service")],
        );
        start_in_folder_with(
            variables,
            &self.folder,
            &config(&known, self.discovery.address, 256),
            listen,
        )
    }

    pub fn state_file(&self, address: SocketAddr) -> PathBuf {
        self.folder.join(format!("magpiechute-{address}.state"))
    }
}

impl Drop for UpgradeFixture {
    fn drop(&mut self) {
        // A failure leaves files behind, and nothing else.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
