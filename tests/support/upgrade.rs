//! Starts processes that share a folder, as a predecessor and its successor do.

use super::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Starts a process that has an admin endpoint and shares this folder with other processes.
pub fn start_in_folder(folder: &Path, config: &str, listen: &str) -> Program {
    start_in_folder_with(&[], folder, config, listen)
}

/// Does the same as [`start_in_folder`], with additional environment variables.
pub fn start_in_folder_with(
    variables: &[(&str, &str)],
    folder: &Path,
    config: &str,
    listen: &str,
) -> Program {
    let fixed_variables = [
        ("TMPDIR", folder.to_str().unwrap()),
        ("PROXY_CONSOLE", "127.0.0.1:0"),
    ];
    Program::start_with(&[variables, &fixed_variables].concat(), config, listen)
}

/// One upstream, a discovery service, and the folder that the processes share. Dropping the fixture
/// deletes the folder.
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

    /// Starts a process whose endpoint list has the upstream in service.
    pub fn start(&self, listen: &str) -> Program {
        self.start_with(&[], listen)
    }

    /// Does the same as [`Self::start`], with additional environment variables.
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

    /// Returns the path of the state file of the process that listens at this address.
    pub fn state_file(&self, address: SocketAddr) -> PathBuf {
        self.folder.join(format!("magpiechute-{address}.state"))
    }
}

impl Drop for UpgradeFixture {
    fn drop(&mut self) {
        // If this fails, only temporary files stay behind.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
