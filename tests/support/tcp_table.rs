//! The kernel's table of TCP connections.

/// One end of a connection, as the kernel's table has it.
pub(super) struct TcpEndpoint {
    pub(super) here: u16,
    pub(super) there: u16,
    pub(super) state: String,
    /// Some process has a descriptor of it.
    pub(super) held: bool,
}

/// The kernel's table of all ends.
pub(super) fn tcp_endpoints() -> Vec<TcpEndpoint> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let port =
        |address: &str| u16::from_str_radix(address.rsplit(':').next().unwrap(), 16).unwrap();
    let rows = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().skip(1).collect::<Vec<_>>());
    let end = |row: Vec<&str>| {
        let (here, there) = (port(row[0]), port(row[1]));
        TcpEndpoint {
            here,
            there,
            state: row[2].to_string(),
            held: row[8] != "0",
        }
    };
    rows.map(end).collect()
}

/// The ports, here and there, of all ends of connections that are up and to which no close or reset has come.
pub fn established_connections() -> Vec<(u16, u16)> {
    tcp_endpoints()
        .into_iter()
        .filter(|end| end.state == "01")
        .map(|end| (end.here, end.there))
        .collect()
}
