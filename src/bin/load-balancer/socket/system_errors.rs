//! Classifies errors of system calls: whether they are caused by this machine or by one connection,
//! and whether a retry may succeed.

use nix::libc;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// How long a call that fails with a transient error at startup is retried.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between two retries of a call at startup.
const STARTUP_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Returns whether `error` is one of the operating system errors `numbers`.
fn has_error_number(error: &io::Error, numbers: &[i32]) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| numbers.contains(&number))
}

/// Returns whether this process or machine lacks descriptors, buffers, memory, or epoll watches
/// (ENOSPC of `epoll_ctl(2)`).
#[must_use]
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    const EXHAUSTION: [i32; 5] = [
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ENOSPC,
    ];
    has_error_number(error, &EXHAUSTION)
}

/// Repeats a call while it is interrupted by a signal.
///
/// # Errors
///
/// Returns any error of the call except EINTR.
pub fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Returns whether a retry of the call may succeed, regardless of which system call failed.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    const TRANSIENT: [i32; 3] = [libc::EINTR, libc::EAGAIN, libc::EIO];
    is_resource_exhaustion(error) || has_error_number(error, &TRANSIENT)
}

/// Repeats a call at startup while it fails with a transient error, for a limited time. Blocking
/// the thread between the calls is acceptable, as no request is served yet.
///
/// # Errors
///
/// Returns the first error that isn't transient, or the last transient error once
/// [`STARTUP_RETRY_TIMEOUT`] has passed.
pub fn retry_transient_errors<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + STARTUP_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < deadline => {
                thread::sleep(STARTUP_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}

/// Returns whether an error of `connect(2)` says nothing about the peer: this machine temporarily
/// lacks a resource, a local port or a route, or the call was interrupted.
#[must_use]
pub fn is_local_error(error: &io::Error) -> bool {
    const LOCAL: [i32; 6] = [
        libc::EINTR,
        libc::EAGAIN,
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::ENETDOWN,
        libc::ENETUNREACH,
    ];
    is_resource_exhaustion(error) || has_error_number(error, &LOCAL)
}

/// Returns whether an error of `accept(2)` affects this call only: it was interrupted, or the next
/// connection in the queue has failed.
#[must_use]
pub fn is_connection_error(error: &io::Error) -> bool {
    const CONNECTION: [i32; 11] = [
        libc::EINTR,
        libc::ECONNABORTED,
        libc::EPERM,
        libc::EPROTO,
        libc::ENETDOWN,
        libc::ENOPROTOOPT,
        libc::EHOSTDOWN,
        libc::ENONET,
        libc::EHOSTUNREACH,
        libc::EOPNOTSUPP,
        libc::ENETUNREACH,
    ];
    has_error_number(error, &CONNECTION)
}

/// Returns whether this process has reached its descriptor limit (EMFILE).
#[must_use]
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}
