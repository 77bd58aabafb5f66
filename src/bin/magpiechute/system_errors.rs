//! What errors of system calls say: of this machine, of one connection, or of nothing but the moment.

use nix::libc;
use std::io;

/// True for an error of the system that says that this process or machine is short of descriptors, buffers or memory.
pub fn is_shortage(error: &io::Error) -> bool {
    const SHORTAGES: [i32; 4] = [libc::ENFILE, libc::EMFILE, libc::ENOBUFS, libc::ENOMEM];
    error.raw_os_error().is_some_and(|number| SHORTAGES.contains(&number))
}

/// Makes a call again that was interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// True for an error of connect that says nothing of the other side: this machine lacks something for the moment, a
/// local port or a route included, or the call was interrupted.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 6] =
        [libc::EINTR, libc::EAGAIN, libc::EADDRINUSE, libc::EADDRNOTAVAIL, libc::ENETDOWN, libc::ENETUNREACH];
    is_shortage(error) || error.raw_os_error().is_some_and(|number| LOCAL.contains(&number))
}

/// True for an error of accept that is over with the call: it was interrupted, or the connection that was next in the
/// queue has failed. See accept(2).
pub fn is_over(error: &io::Error) -> bool {
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
    error.raw_os_error().is_some_and(|number| OVER.contains(&number))
}

/// True for the error that says that this process holds as many descriptors as it may.
pub fn is_own_limit(error: &io::Error) -> bool {
    error.raw_os_error() == Some(libc::EMFILE)
}
