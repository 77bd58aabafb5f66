//! Reads the kernel's table of TCP connections, `/proc/net/tcp`.

/// Number of the state of an established connection.
pub(super) const ESTABLISHED: &str = "01";
/// Number of the state of a connection whose SYN has not been answered.
pub(super) const SYN_SENT: &str = "02";

/// One endpoint of a TCP connection: a row of the kernel's table.
pub(super) struct TcpEndpoint {
    pub(super) local_port: u16,
    pub(super) remote_port: u16,
    /// Number of the state, in hexadecimal digits.
    pub(super) state: String,
    /// Whether a process has a descriptor for this endpoint; if none has, the row's inode is 0.
    pub(super) has_descriptor: bool,
}

/// Returns all TCP endpoints over IPv4.
pub(super) fn tcp_endpoints() -> Vec<TcpEndpoint> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port =
        |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().skip(1).collect::<Vec<_>>());
    let endpoint = |row: Vec<&str>| TcpEndpoint {
        local_port: port(row[0]),
        remote_port: port(row[1]),
        state: row[2].to_string(),
        has_descriptor: row[8] != "0",
    };
    rows.map(endpoint).collect()
}

/// Returns the local and the remote port of each endpoint in the state `ESTABLISHED`. Such an
/// endpoint has neither closed its connection nor received a close or a reset.
pub fn established_connections() -> Vec<(u16, u16)> {
    tcp_endpoints()
        .into_iter()
        .filter(|endpoint| endpoint.state == ESTABLISHED)
        .map(|endpoint| (endpoint.local_port, endpoint.remote_port))
        .collect()
}
