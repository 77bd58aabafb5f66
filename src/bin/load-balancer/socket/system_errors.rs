//! What errors of system calls say: of this machine, of one connection, or of nothing but the moment.

use nix::libc;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A passing shortage is waited out for this long at a start, and the call made again this often.
const STARTUP_RETRY_LIMIT: Duration = Duration::from_secs(4);
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(20);

/// True for an error of the system that says that this process or machine is short of descriptors, buffers, memory, or
/// places to watch descriptors (ENOSPC of epoll_ctl(2)).
pub fn is_resource_exhaustion(error: &io::Error) -> bool {
    const SHORTAGES: [i32; 5] = [
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ENOSPC,
    ];
    error
        .raw_os_error()
        .is_some_and(|number| SHORTAGES.contains(&number))
}

/// Makes a call again that was interrupted.
pub fn retry_on_interrupt<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// True for an error that may be over a moment later, whatever was called.
pub fn is_transient(error: &io::Error) -> bool {
    const PASSING: [i32; 3] = [libc::EINTR, libc::EAGAIN, libc::EIO];
    is_resource_exhaustion(error)
        || error
            .raw_os_error()
            .is_some_and(|number| PASSING.contains(&number))
}

/// Makes a call of a start again while it fails for a moment. The thread sleeps between: nobody is served yet.
pub fn retry_transient_errors<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + STARTUP_RETRY_LIMIT;
    loop {
        match call() {
            Err(error) if is_transient(&error) && Instant::now() < until => {
                thread::sleep(STARTUP_RETRY_DELAY)
            }
            result => return result,
        }
    }
}

/// True for an error of connect that says nothing of the other side: this machine lacks something for the moment, a
/// local port or a route included, or the call was interrupted.
pub fn is_local_error(error: &io::Error) -> bool {
    const LOCAL: [i32; 6] = [
        libc::EINTR,
        libc::EAGAIN,
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::ENETDOWN,
        libc::ENETUNREACH,
    ];
    is_resource_exhaustion(error)
        || error
            .raw_os_error()
            .is_some_and(|number| LOCAL.contains(&number))
}

/// True for an error of accept that is over with the call: it was interrupted, or the connection that was next in the
/// queue has failed. See accept(2).
pub fn is_connection_error(error: &io::Error) -> bool {
    const OVER: [i32; 11] = [
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
    error
        .raw_os_error()
        .is_some_and(|number| OVER.contains(&number))
}

/// True for the error that says that this process holds as many descriptors as it may.
pub fn is_descriptor_limit(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}
