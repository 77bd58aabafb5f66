//! Reads how much anonymous memory of the process is resident.

use std::fs;

/// The file in which the kernel reports on the memory of the process.
const STATUS_PATH: &str = "/proc/self/status";
/// Begins the line with the resident anonymous memory, in units of 1,024 bytes.
const RESIDENT_FIELD: &str = "RssAnon:";

/// Returns the resident anonymous memory of the process in bytes, or `None` if it can't be read.
pub(super) fn resident_bytes() -> Option<usize> {
    parse_resident_bytes(&fs::read_to_string(STATUS_PATH).ok()?)
}

/// Returns the resident anonymous memory in bytes that a text in the format of proc_pid_status(5)
/// reports.
fn parse_resident_bytes(status: &str) -> Option<usize> {
    let field = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD))?;
    let kibibytes: usize = field.split_whitespace().next()?.parse().ok()?;
    kibibytes.checked_mul(1024)
}

#[cfg(test)]
mod tests;
